//! The state of a control process.

use super::content::Content;
use super::deferral_log::DeferralLog;
use super::documents::Documents;
use super::full_update::FullUpdate;
use super::packed;
use super::places::Places;
use super::quarantine::Quarantine;
use super::quota::Quotas;
use super::routers::Routers;
use super::starvation_log::StarvationLog;
use super::totals::Totals;
use crate::config;
use lovageplank_core::consensus::{Id, Index, MemberInfo, Membership, Role, Term};
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::document::{Document, DocumentState, Outcome};
use lovageplank_core::fleet::group::{Change as MembershipChange, Reconfigurator};
use lovageplank_core::fleet::message::{EngineModels, Message};
use lovageplank_core::fleet::origin::Ledger;
use lovageplank_core::fleet::permit;
use lovageplank_core::fleet::placement::Planner;
use lovageplank_core::fleet::readmission;
use lovageplank_core::fleet::registry::{
    Announcement, Change as RegistryChange, Departure, Registry, Stage,
};
use lovageplank_core::fleet::retry_budget::RetryPermits;
use lovageplank_core::fleet::server_limit::{ServerPermits, Statement};
use lovageplank_core::fleet::sizes::Sizes;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::link::Link;
use lovageplank_wire::Frame;
use tokio::sync::{Notify, oneshot};

/// Number of announcement intervals between two broadcasts of a list of the live servers to
/// routers. Every control process sends such broadcasts. Routers avoid a server that was neither
/// announced nor listed for four intervals, so a longer time between broadcasts would make them
/// avoid live servers.
const LIVENESS_INTERVALS: u64 = 3;

/// How an announcement or a departure reached this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// By a call of the backend server.
    Direct,
    /// By a message of another control process.
    Relayed,
}

/// The registry, the replicated document, linked processes and pending calls of a control process.
pub(crate) struct State {
    own_id: Id,
    own_domain: Name,
    /// The replicated document.
    pub(super) document_store: DocumentState,
    /// What routers are sent of it.
    pub(super) documents: Documents,
    /// The document in force, decoded.
    pub(super) deployment: Option<Arc<Deployment>>,
    /// What models take that engines loaded by an earlier document; replicated.
    pub(super) sizes: Sizes,
    /// Index of the last log entry that was applied.
    pub(super) applied: Index,
    pub(super) registry: Registry,
    readmissions: readmission::Tracker,
    pub(super) routers: Routers,
    /// Links to control processes, by link id.
    pub(super) control_links: BTreeMap<u64, Link>,
    reconfigurator: Reconfigurator,
    pub(super) membership: Membership,
    pub(super) role: Role,
    pub(super) term: Term,
    leader: Option<Id>,
    /// Set while this process is the leader.
    pub(super) planner: Option<Planner>,
    pub(super) retry_permits: RetryPermits,
    /// Set if the settings have quotas.
    pub(super) quotas: Option<Quotas>,
    /// Set while this process is the leader.
    pub(super) server_permits: Option<ServerPermits>,
    /// Set while this process is the leader.
    pub(super) places: Option<Places>,
    pub(super) quarantine: Quarantine,
    /// Admitted versions of servers' software, and where streams began.
    pub(super) origins: Ledger,
    /// Term of the last log entry that was applied.
    applied_term: Term,
    /// Loads that the planner deferred, as logged.
    pub(super) deferral_log: DeferralLog,
    starvation_log: StarvationLog,
    announcement_interval_ms: Millis,
    /// Time of the last broadcast of the live servers.
    liveness_sent_at: Millis,
    /// Loaded models of each engine as last broadcast to routers.
    sent_models: BTreeMap<Name, EngineModels>,
    full_update: FullUpdate,
    pub(super) totals: Totals,
    next_request_id: u64,
    /// Writers whose proposal has no log index yet, by request id.
    pending_proposals: BTreeMap<u64, oneshot::Sender<Option<Outcome>>>,
    /// Writers whose proposal is in the log but not applied, with its term, by log index.
    logged_proposals: BTreeMap<Index, (Term, oneshot::Sender<Option<Outcome>>)>,
    /// Readers of the document, by request id; one that can't be answered is dropped.
    pending_reads: BTreeMap<u64, oneshot::Sender<Option<Arc<Document>>>>,
}

impl State {
    /// The state at the start. `broadcasts_wake` is notified when there is something to be sent to all routers.
    pub(super) fn new(own_id: Id, config: &config::Control, broadcasts_wake: Arc<Notify>) -> State {
        State {
            own_id,
            own_domain: config.common.domain.clone(),
            document_store: DocumentState::default(),
            documents: Documents::new(config.link_bytes_per_s, own_id.0),
            deployment: None,
            sizes: Sizes::default(),
            applied: Index::default(),
            registry: Registry::default(),
            readmissions: readmission::Tracker::new(config.common.announcement_interval_ms),
            routers: Routers::new(config.link_bytes_per_s, broadcasts_wake),
            control_links: BTreeMap::new(),
            reconfigurator: Reconfigurator::new(clock::boottime_ms(), config.tolerated_failures),
            membership: Membership::default(),
            role: Role::Follower,
            term: Term::default(),
            leader: None,
            planner: None,
            retry_permits: RetryPermits::new(config.retry_limit.clone()),
            quotas: config.quota.clone().map(Quotas::new),
            server_permits: None,
            places: None,
            quarantine: Quarantine::default(),
            origins: Ledger::default(),
            applied_term: Term::default(),
            deferral_log: DeferralLog::default(),
            starvation_log: StarvationLog::default(),
            announcement_interval_ms: config.common.announcement_interval_ms,
            liveness_sent_at: 0,
            sent_models: BTreeMap::new(),
            full_update: FullUpdate::default(),
            totals: Totals::default(),
            next_request_id: 1,
            pending_proposals: BTreeMap::new(),
            logged_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
        }
    }

    /// Whether this process is the leader as far as it knows.
    pub(super) fn leads(&self) -> bool {
        self.role == Role::Leader
    }

    /// Whether this process is the leader and has applied an entry of its own term, and so all entries of
    /// former leaders.
    pub(super) fn has_current_log(&self) -> bool {
        self.leads() && self.applied_term == self.term
    }

    /// Control address of the leader, if it is known and isn't this process.
    pub(super) fn leader_address(&self) -> Option<Name> {
        let leader = self.leader.filter(|id| *id != self.own_id)?;
        let mut members = self.membership.members();
        members
            .find(|(id, _)| *id == leader)
            .map(|(_, member)| member.name.clone())
    }

    /// Registers a writer. Returns a request id for the proposal and a receiver of the proposal's
    /// outcome. The outcome is `None` if the voter refused the proposal, or if an entry of another
    /// term was committed at its log index.
    pub(super) fn new_proposal(&mut self) -> (u64, oneshot::Receiver<Option<Outcome>>) {
        let (sender, receiver) = oneshot::channel();
        let request_id = self.new_request_id();
        self.pending_proposals.insert(request_id, sender);
        (request_id, receiver)
    }

    /// Registers a reader. Returns a request id and a receiver, which gets the document once the
    /// state is known to be current, or an error if that can't be confirmed.
    pub(super) fn new_read(&mut self) -> (u64, oneshot::Receiver<Option<Arc<Document>>>) {
        let (sender, receiver) = oneshot::channel();
        let request_id = self.new_request_id();
        self.pending_reads.insert(request_id, sender);
        (request_id, receiver)
    }

    fn new_request_id(&mut self) -> u64 {
        self.next_request_id += 1;
        self.next_request_id
    }

    /// Records the log position of a proposal, or answers its writer if the voter refused it.
    pub(super) fn proposal_logged(&mut self, request_id: u64, position: Option<(Term, Index)>) {
        let Some(writer) = self.pending_proposals.remove(&request_id) else {
            return;
        };
        match position {
            Some((term, index)) => drop(self.logged_proposals.insert(index, (term, writer))),
            None => drop(writer.send(None)),
        }
    }

    /// Answers a reader if the state is `current`, and drops it otherwise.
    pub(super) fn finish_read(&mut self, request_id: u64, current: bool) {
        let reader = self.pending_reads.remove(&request_id).filter(|_| current);
        if let Some(reader) = reader {
            // The reader may have timed out.
            let _ = reader.send(self.document_store.current().cloned());
        }
    }

    /// Applies a committed log entry and its content, if it has any; returns whether its document is
    /// now in force.
    pub(super) fn apply(&mut self, term: Term, index: Index, content: Option<Content>) -> bool {
        self.applied = index;
        self.applied_term = term;
        let content = content.unwrap_or_default();
        self.apply_origins(content.admitted, content.begun);
        self.apply_reservations(&content.reserved);
        self.apply_quota(term, content.quota.as_ref());
        if let Some(verdicts) = content.verdicts {
            self.quarantine.set_verdicts(verdicts);
        }
        if term == self.term && self.quarantine.log_applied() {
            self.send_held_keys();
        }
        let outcome = content.document.map(|d| self.document_store.apply(d));
        if let Some((proposal_term, writer)) = self.logged_proposals.remove(&index) {
            let _ = writer.send(outcome.filter(|_| proposal_term == term));
        }
        outcome == Some(Outcome::InForce)
    }

    /// Replaces the state by a snapshot; returns whether its document is now in force. An older
    /// document is ignored, because versions never go back. Writers whose proposal is in the log get
    /// no outcome.
    pub(super) fn restore(&mut self, index: Index, content: Content) -> bool {
        self.applied = index;
        self.logged_proposals.clear();
        let verdicts = content.verdicts.unwrap_or_default();
        self.quarantine.set_verdicts(verdicts);
        self.apply_origins(content.admitted, content.begun);
        self.apply_reservations(&content.reserved);
        self.restore_quotas(&content.quota_counted);
        self.sizes.restore(&content.sizes.unwrap_or_default());
        content
            .document
            .is_some_and(|d| self.document_store.apply(d) == Outcome::InForce)
    }

    /// Records that a document is in force, by its decoded form.
    pub(super) fn set_deployment(&mut self, deployment: Deployment) {
        self.sizes.list(&deployment);
        if let Some(planner) = &mut self.planner {
            planner.set_sizes(&self.sizes);
        }
        self.deployment = Some(Arc::new(deployment));
        self.set_quota_limits();
    }

    /// Records which models and adapters callers ask for and no engine loads.
    pub(super) fn record_starvation(&mut self, now: Millis) {
        if let (Some(planner), Some(deployment)) = (&mut self.planner, &self.deployment) {
            self.starvation_log.record(now, planner, deployment);
        }
    }

    /// Records a change of role, term or leader. `new_planner` is called if this process becomes the
    /// leader of a term.
    pub(super) fn set_role(
        &mut self,
        role: Role,
        term: Term,
        leader: Option<Id>,
        new_planner: impl FnOnce() -> Planner,
    ) {
        let already_led = self.leads() && self.term == term;
        self.role = role;
        self.term = term;
        self.leader = leader;
        if !self.leads() {
            self.planner = None;
            self.starvation_log.resign();
            self.retry_permits.resign();
            self.resign_quotas();
            self.server_permits = None;
            self.places = None;
            self.quarantine.resign();
            self.origins.resign();
            return;
        }
        if !already_led || self.planner.is_none() {
            let mut planner = new_planner();
            planner.set_sizes(&self.sizes);
            let now = clock::boottime_ms();
            for server in self.registry.iter() {
                planner.observe(now, &server.announcement);
            }
            self.planner = Some(planner);
            self.retry_permits.resign();
            // Before the first term there was no leader that could have issued permits.
            self.server_permits = Some(ServerPermits::new(now, term.0 <= 1));
            self.places = Some(Places::new(now, term));
            self.lead_quotas(term);
            self.quarantine.lead(now, term);
            self.sent_models.clear();
            self.full_update.forget_loaded_models();
            self.begin_totals(now);
        }
    }

    /// Issues a router permits for requests to a server, if this process is the leader.
    pub(super) fn issue_server_permits(
        &mut self,
        link: u64,
        statement: &Statement,
        request: &permit::Request,
    ) {
        let Some(permits) = &mut self.server_permits else {
            return;
        };
        let grant = permits.issue(clock::boottime_ms(), statement, request);
        let server = statement.server.clone();
        if grant.permits > 0 {
            let instance = self.routers.name(link);
            tracing::info!(event = "server_permits", %server, ?instance, permits = grant.permits);
        }
        self.routers
            .send(link, Message::ServerPermitGrant { server, grant });
    }

    /// Records an announcement of a backend server and forwards it, unless the registry ignores it. A server that was
    /// taken for gone, and runs, is readmitted.
    ///
    /// - To the other control processes, if the server called this process.
    /// - To the linked routers, if the incarnation, lifecycle stage or departure time is new.
    /// - To the linked routers also if it [is news](Announcement::is_news) to them, but then only if this
    ///   process leads or knows no leader.
    pub(super) fn observe_announcement(
        &mut self,
        mut announcement: Announcement,
        source: Source,
    ) -> RegistryChange {
        let now = clock::boottime_ms();
        if self
            .readmissions
            .observe(now, &self.registry, &announcement)
        {
            tracing::warn!(event = "server_readmitted", id = %announcement.id, born_ms = announcement.incarnation, number = announcement.number);
            announcement.presence.readmitted_at = Some(announcement.number);
        }
        let known = self.registry.get(&announcement.id).map(|s| &s.announcement);
        let leave_time_changed = known.and_then(|k| k.leaves_in_ms) != announcement.leaves_in_ms;
        let has_leader = self.leader.is_some();
        let is_news = known.is_none_or(|known| announcement.is_news(known, has_leader));
        let id = announcement.id.clone();
        let change = self.registry.observe(now, announcement);
        let Some(server) = self
            .registry
            .get(&id)
            .filter(|_| change != RegistryChange::Ignored)
        else {
            return change;
        };
        if let Some(planner) = &mut self.planner {
            planner.observe(now, &server.announcement);
        }
        let urgent = change != RegistryChange::Renewed || leave_time_changed;
        let notify_routers = urgent || is_news && (self.leads() || !has_leader);
        if !notify_routers && source == Source::Relayed {
            return change;
        }
        let announcement = server.announcement.clone();
        self.forward_announcement(announcement, notify_routers, source);
        change
    }

    /// Records what a router reports: an incarnation of a backend server has said in an answer that it leaves.
    /// Forwards that as an announcement, unless it is known.
    pub(super) fn server_leaving(&mut self, id: &Name, incarnation: u64) -> RegistryChange {
        let now = clock::boottime_ms();
        let change = self.registry.mark_leaving(now, id, incarnation);
        let known = self.registry.get(id);
        if let Some(server) = known.filter(|_| change == RegistryChange::Moved) {
            let announcement = server.announcement.clone();
            if let Some(planner) = &mut self.planner {
                planner.observe(now, &announcement);
            }
            self.forward_announcement(announcement, true, Source::Direct);
        }
        change
    }

    /// Sends an announcement to the linked routers, if they are to have it, and to the other control processes,
    /// unless one of them relayed it.
    fn forward_announcement(
        &mut self,
        announcement: Announcement,
        notify_routers: bool,
        source: Source,
    ) {
        let message = Message::ServerAnnounced(Box::new(announcement));
        if source == Source::Direct {
            self.send_to_control_processes(&message);
        }
        if notify_routers {
            self.routers.broadcast(message);
        }
    }

    /// Broadcasts to routers which servers have announced themselves since the last broadcast, if
    /// one is due.
    pub(super) fn send_live_servers(&mut self, now: Millis) {
        if now < self.liveness_sent_at + LIVENESS_INTERVALS * self.announcement_interval_ms {
            return;
        }
        let since = self.liveness_sent_at;
        let recent = self.registry.iter().filter(|s| s.last_contact_at >= since);
        let live = recent.filter(|s| s.announcement.stage != Stage::Gone);
        let live = live.map(|s| (s.announcement.id.clone(), s.announcement.incarnation));
        self.routers.broadcast(Message::LiveServers(live.collect()));
        self.liveness_sent_at = now;
    }

    /// Records the departure of a backend server and forwards it: to the linked routers if it changes anything, and to
    /// the other control processes if the server called this process.
    ///
    /// A server that leaves doesn't name its incarnation. Processes that read of it late would take it for a later
    /// one, so that the departure says it. It is none if this process doesn't know the server; another control
    /// process may.
    pub(super) fn server_gone(&mut self, id: Name, departure: Option<Departure>, source: Source) {
        let now = clock::boottime_ms();
        let change = departure.map_or(RegistryChange::Ignored, |departure| {
            self.registry.mark_departed(now, &id, departure)
        });
        tracing::info!(event = "server_gone", %id, born_ms = departure.map(|d| d.incarnation),
            number = departure.map(|d| d.number), ?source, ?change);
        if change != RegistryChange::Ignored
            && let Some(planner) = &mut self.planner
        {
            planner.remove(&id);
        }
        let message = Message::server_gone(id, departure);
        if source == Source::Direct {
            self.send_to_control_processes(&message);
        }
        if change != RegistryChange::Ignored {
            self.routers.broadcast(message);
        }
    }

    /// Removes all state of backend servers that the registry no longer keeps: those that have been
    /// silent for `retention_ms`, and those that departed longer ago than the registry's own
    /// retention.
    pub(super) fn expire_servers(&mut self, now: Millis, retention_ms: Millis) {
        self.registry.expire(now, retention_ms);
        self.readmissions.expire(&self.registry);
        let registry = &self.registry;
        let known = self.sent_models.len();
        self.sent_models.retain(|id, _| registry.get(id).is_some());
        if self.sent_models.len() < known {
            self.full_update.forget_loaded_models();
        }
        if let Some(planner) = &mut self.planner {
            planner.retain(|id| registry.get(id).is_some());
        }
    }

    /// Sends a message to each of the other control processes once, however many links it has.
    pub(super) fn send_to_control_processes(&self, message: &Message) {
        if let Some(encoded) = packed::encode(message.clone()) {
            self.each_control_process(|link| {
                link.send_encoded(&encoded);
            });
        }
    }

    /// Sends something on one link to each of the other control processes.
    pub(super) fn each_control_process(&self, send: impl Fn(&Link)) {
        let mut sent_to = BTreeSet::new();
        for link in self.control_links.values().rev() {
            if sent_to.insert(link.peer.id) {
                send(link);
            }
        }
    }

    /// Broadcasts the loaded models of engines to routers, where they differ from the last broadcast.
    pub(super) fn send_loaded_models(&mut self) {
        let Some(planner) = &self.planner else {
            return;
        };
        let engines = planner.loaded_models(clock::boottime_ms());
        let changed: Vec<EngineModels> = engines
            .into_iter()
            .filter(|engine| {
                self.sent_models
                    .get(&engine.server)
                    .is_none_or(|sent| differs(sent, engine))
            })
            .collect();
        if changed.is_empty() {
            return;
        }
        self.full_update.forget_loaded_models();
        for engine in &changed {
            self.sent_models
                .insert(engine.server.clone(), engine.clone());
        }
        self.routers.broadcast(Message::LoadedModels {
            term: self.term.0,
            engines: changed,
        });
    }

    /// Adds a router whose link came up, and sends it the voters and all announcements; if this process is the leader,
    /// also the loaded models. The document follows once the router has said which version it applies.
    pub(super) fn router_connected(&mut self, link: Link) {
        let send = |message: Message| link.send(Frame::Fleet(Box::new(message)));
        if !self.membership.voters.is_empty() {
            link.send(Frame::Members(self.voter_link_addresses()));
        }
        // A router serves requests once it has a document; it must know the held keys by then.
        self.quarantine.send_to_router(&link);
        let admitted = self.origins.admitted();
        if admitted.number > 0 {
            send(Message::AdmittedVersions(admitted.clone()));
        }
        if let Some(totals) = self.all_totals(clock::boottime_ms()) {
            link.send(Frame::Fleet(Box::new(totals)));
        }
        self.full_update.send_announcements(&self.registry, &link);
        if self.leads() {
            self.full_update
                .send_loaded_models(self.term.0, &self.sent_models, &link);
        }
        let near = link.peer.failure_domain == self.own_domain;
        let now = clock::boottime_ms();
        self.documents.spread.connected(now, link.id, near);
        self.routers.connected(link);
    }

    /// Adds a link to a control process, and sends it all announcements.
    pub(super) fn control_connected(&mut self, link: Link) {
        self.full_update.send_announcements(&self.registry, &link);
        if let Some(list) = self.quarantine.for_control() {
            list.send_on(&link);
        }
        let member = MemberInfo::new(link.peer.instance.clone(), link.peer.address.clone());
        let id = Id(link.peer.id);
        self.reconfigurator.process_connected(id, member);
        if link.peer.role == lovageplank_wire::Role::Observer {
            self.reconfigurator.mark_observer(id);
        }
        self.control_links.insert(link.id, link);
    }

    /// Removes a link to a control process; without another link the process counts as disconnected.
    pub(super) fn control_disconnected(&mut self, link: u64) {
        let Some(link) = self.control_links.remove(&link) else {
            return;
        };
        let id = link.peer.id;
        if !self.control_links.values().any(|other| other.peer.id == id) {
            self.reconfigurator
                .process_disconnected(clock::boottime_ms(), Id(id));
        }
    }

    /// Replaces the membership and sends the voters to routers.
    pub(super) fn set_members(&mut self, membership: Membership) {
        self.membership = membership;
        let voters = self.voter_link_addresses();
        self.routers.send_voters(&voters);
    }

    /// Ids and link addresses of the voters. Routers need no other links: one voter is the leader,
    /// and every message that routers need comes from voters.
    fn voter_link_addresses(&self) -> Vec<(u64, Name)> {
        let voters = self.membership.voters.iter();
        voters.map(|(id, v)| (id.0, v.address.clone())).collect()
    }

    /// Link addresses of all members of the control group.
    pub(super) fn member_link_addresses(&self) -> Vec<Name> {
        let members = self.membership.members();
        members.map(|(_, member)| member.address.clone()).collect()
    }

    /// The membership change that is due, if this process is the leader.
    pub(super) fn next_group_change(&self) -> Option<MembershipChange> {
        if !self.leads() {
            return None;
        }
        self.reconfigurator
            .next_change(clock::boottime_ms(), self.own_id, &self.membership)
    }
}

/// Whether routers need an update. Changes of the milliseconds until a model is loaded don't count.
fn differs(sent: &EngineModels, current: &EngineModels) -> bool {
    let loading_names = |engine: &EngineModels| -> Vec<Name> {
        engine.loading.iter().map(|(m, _)| m.clone()).collect()
    };
    sent.incarnation != current.incarnation
        || sent.loaded != current.loaded
        || loading_names(sent) != loading_names(current)
}
