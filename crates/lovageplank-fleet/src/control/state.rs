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
use super::store_loads::StoreLoads;
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
use lovageplank_core::fleet::registry::Registry;
use lovageplank_core::fleet::retry_budget::RetryPermits;
use lovageplank_core::fleet::server_limit::{ServerPermits, Statement};
use lovageplank_core::fleet::sizes::Sizes;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::link::Link;
use lovageplank_wire::Frame;
use tokio::sync::{Notify, oneshot};

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
    pub(super) readmissions: readmission::Tracker,
    pub(super) routers: Routers,
    /// Links to control processes, by link id.
    pub(super) control_links: BTreeMap<u64, Link>,
    reconfigurator: Reconfigurator,
    pub(super) membership: Membership,
    pub(super) role: Role,
    pub(super) term: Term,
    pub(super) leader: Option<Id>,
    /// Set while this process is the leader.
    pub(super) planner: Option<Planner>,
    pub(super) store_loads: StoreLoads,
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
    deferral_log: DeferralLog,
    starvation_log: StarvationLog,
    pub(super) announcement_interval_ms: Millis,
    /// Time of the last broadcast of the live servers.
    pub(super) liveness_sent_at: Millis,
    /// Loaded models of each engine as last broadcast to routers.
    pub(super) sent_models: BTreeMap<Name, EngineModels>,
    pub(super) full_update: FullUpdate,
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
            store_loads: StoreLoads::default(),
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

    /// Logs which loads the planner deferred.
    pub(super) fn record_deferrals(&mut self, now: Millis) {
        if let Some(planner) = &self.planner {
            self.deferral_log.record(now, planner);
        }
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
            planner.inherit_store_loads(now, self.store_loads.in_progress(now));
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
