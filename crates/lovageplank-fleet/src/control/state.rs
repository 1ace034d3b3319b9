//! What a control process knows.

use super::routers::{self, Routers};
use crate::config;
use lovageplank_core::consensus::{Id, Index, Membership, Role, Term, Voter};
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::document::{Document, Outcome, Store};
use lovageplank_core::fleet::group::{Change as MembershipChange, Reconfigurator};
use lovageplank_core::fleet::message::{LoadedModels, Message};
use lovageplank_core::fleet::placement::Planner;
use lovageplank_core::fleet::registry::{
    Announcement, CachedWeights, Change as RegistryChange, LoadedModel, Registry, Stage,
};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::link::{Encoded, Link};
use lovageplank_wire::Frame;
use tokio::sync::oneshot;

/// Intervals between announcements after which entry processes are told which servers live. They
/// avoid a server after four, and hear it from each control process.
const LIVENESS_INTERVALS: u64 = 3;

/// How an announcement came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The server called this process.
    Direct,
    /// Another control process passed it on.
    Relayed,
}

/// State of a control process; see the module's text.
pub(crate) struct State {
    own_id: Id,
    pub(super) store: Store,
    /// The document in force, decoded.
    pub(super) deployment: Option<Arc<Deployment>>,
    /// The last entry that was applied.
    pub(super) applied: Index,
    pub(super) registry: Registry,
    pub(super) routers: Routers,
    /// Links to control processes.
    controls: BTreeMap<u64, Link>,
    reconfigurator: Reconfigurator,
    pub(super) membership: Membership,
    pub(super) role: Role,
    pub(super) term: Term,
    leader: Option<Id>,
    /// Set while this process leads.
    pub(super) planner: Option<Planner>,
    heartbeat_ms: Millis,
    /// When entry processes were told last which servers live.
    liveness_sent_at: Millis,
    /// What entry processes were told last of each engine.
    sent_models: BTreeMap<Name, LoadedModels>,
    next_request_id: u64,
    /// Writers that wait for their entry, first by ticket and then by place in the log.
    pending_proposals: BTreeMap<u64, oneshot::Sender<Option<Outcome>>>,
    logged_proposals: BTreeMap<Index, (Term, oneshot::Sender<Option<Outcome>>)>,
    /// Readers; one that can't be answered is dropped.
    pending_reads: BTreeMap<u64, oneshot::Sender<Option<Arc<Document>>>>,
}

impl State {
    pub(super) fn new(own_id: Id, config: &config::Control) -> State {
        State {
            own_id,
            store: Store::default(),
            deployment: None,
            applied: Index::default(),
            registry: Registry::default(),
            routers: Routers::default(),
            controls: BTreeMap::new(),
            reconfigurator: Reconfigurator::new(clock::awake_ms(), config.tolerated_failures),
            membership: Membership::default(),
            role: Role::Follower,
            term: Term::default(),
            leader: None,
            planner: None,
            heartbeat_ms: config.common.heartbeat_ms,
            liveness_sent_at: 0,
            sent_models: BTreeMap::new(),
            next_request_id: 1,
            pending_proposals: BTreeMap::new(),
            logged_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
        }
    }

    /// Whether this process leads, as far as it knows.
    pub(super) fn leads(&self) -> bool {
        self.role == Role::Leader
    }

    /// Control address of the leader, if it is known and another process.
    pub(super) fn leader_address(&self) -> Option<Name> {
        let leader = self.leader.filter(|id| *id != self.own_id)?;
        let mut members = self.membership.members();
        members
            .find(|(id, _)| *id == leader)
            .map(|(_, voter)| voter.name.clone())
    }

    /// A writer waits for the outcome of a proposal.
    pub(super) fn new_proposal(&mut self) -> (u64, oneshot::Receiver<Option<Outcome>>) {
        let (sender, receiver) = oneshot::channel();
        let request_id = self.new_request_id();
        self.pending_proposals.insert(request_id, sender);
        (request_id, receiver)
    }

    /// A reader waits until the state is known to be current.
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

    /// A proposal has a place in the log, or was refused.
    pub(super) fn proposal_logged(&mut self, request_id: u64, position: Option<(Term, Index)>) {
        let Some(writer) = self.pending_proposals.remove(&request_id) else {
            return;
        };
        match position {
            Some((term, index)) => drop(self.logged_proposals.insert(index, (term, writer))),
            None => drop(writer.send(None)),
        }
    }

    /// A read may be answered from the state, or not.
    pub(super) fn finish_read(&mut self, request_id: u64, current: bool) {
        let reader = self.pending_reads.remove(&request_id).filter(|_| current);
        if let Some(reader) = reader {
            // The reader may have gone.
            let _ = reader.send(self.store.current().cloned());
        }
    }

    /// An entry was committed; `document` is what it holds, if anything.
    pub(super) fn apply(&mut self, term: Term, index: Index, document: Option<Document>) -> bool {
        self.applied = index;
        let outcome = document.map(|d| self.store.apply(d));
        if let Some((proposal_term, writer)) = self.logged_proposals.remove(&index) {
            let _ = writer.send(outcome.filter(|_| proposal_term == term));
        }
        outcome == Some(Outcome::InForce)
    }

    /// A snapshot replaces the state. An older document doesn't: versions never go back.
    pub(super) fn restore(&mut self, index: Index, document: Option<Document>) -> bool {
        self.applied = index;
        self.logged_proposals.clear();
        document.is_some_and(|d| self.store.apply(d) == Outcome::InForce)
    }

    /// Role, term or leader changed; `planner` is used if this process begins to lead.
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
            return;
        }
        if !already_led || self.planner.is_none() {
            let mut planner = new_planner();
            let now = clock::awake_ms();
            for server in self.registry.iter() {
                planner.observe(now, &server.announcement);
            }
            self.planner = Some(planner);
            self.sent_models.clear();
        }
    }

    /// A backend server announced itself. Control processes hear of it from the one that it called.
    /// Entry processes hear from all of them what they have to obey at once, and other details from
    /// the leader, or from all while none is known.
    pub(super) fn observe_announcement(
        &mut self,
        announcement: Announcement,
        source: Source,
    ) -> RegistryChange {
        let now = clock::awake_ms();
        let known = self.registry.get(&announcement.id).map(|s| &s.announcement);
        let leave_time_changed = known.and_then(|k| k.leaves_in_ms) != announcement.leaves_in_ms;
        let details_changed = known.is_none_or(|k| details(k) != details(&announcement));
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
        let notify_routers = urgent || details_changed && (self.leads() || self.leader.is_none());
        if !notify_routers && source == Source::Relayed {
            return change;
        }
        let message = Message::ServerAnnounced(Box::new(server.announcement.clone()));
        let Some(encoded) = routers::encode(message) else {
            return change;
        };
        if notify_routers {
            self.routers.broadcast_encoded(&encoded);
        }
        if source == Source::Direct {
            self.send_to_controls(&encoded);
        }
        change
    }

    /// Tells entry processes now and then which servers have announced themselves since the last
    /// time.
    pub(super) fn send_live_servers(&mut self, now: Millis) {
        if now < self.liveness_sent_at + LIVENESS_INTERVALS * self.heartbeat_ms {
            return;
        }
        let since = self.liveness_sent_at;
        let recent = self.registry.iter().filter(|s| s.last_heard_at >= since);
        let live = recent.filter(|s| s.announcement.stage != Stage::Gone);
        let live = live.map(|s| (s.announcement.id.clone(), s.announcement.incarnation));
        self.routers.broadcast(Message::LiveServers(live.collect()));
        self.liveness_sent_at = now;
    }

    /// A backend server left: entry processes hear of it from all control processes, those from the
    /// one that it told.
    pub(super) fn server_gone(&mut self, id: Name, incarnation: Option<u64>, source: Source) {
        let changed = self.registry.mark_gone(clock::awake_ms(), &id, incarnation);
        if changed != RegistryChange::Ignored
            && let Some(planner) = &mut self.planner
        {
            planner.remove(&id);
        }
        let message = Message::ServerGone {
            server: id,
            incarnation,
        };
        let Some(encoded) = routers::encode(message) else {
            return;
        };
        self.routers.broadcast_encoded(&encoded);
        if source == Source::Direct {
            self.send_to_controls(&encoded);
        }
    }

    /// Forgets all about backend servers that have been silent for so long.
    pub(super) fn expire_servers(&mut self, now: Millis, retention_ms: Millis) {
        self.registry.expire(now, retention_ms);
        let registry = &self.registry;
        self.sent_models.retain(|id, _| registry.get(id).is_some());
        if let Some(planner) = &mut self.planner {
            planner.retain(|id| registry.get(id).is_some());
        }
    }

    /// Sends a message to the other control processes, once to each.
    fn send_to_controls(&self, message: &Encoded) {
        let mut sent_to = BTreeSet::new();
        for link in self.controls.values().rev() {
            if sent_to.insert(link.peer.id) {
                link.send_encoded(message);
            }
        }
    }

    /// Tells entry processes what engines hold, where that has changed.
    pub(super) fn send_loaded_models(&mut self) {
        let Some(planner) = &self.planner else {
            return;
        };
        let engines = planner.loaded_models(clock::awake_ms());
        let changed: Vec<LoadedModels> = engines
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
        for engine in &changed {
            self.sent_models
                .insert(engine.server.clone(), engine.clone());
        }
        self.routers.broadcast(Message::LoadedModels {
            term: self.term.0,
            engines: changed,
        });
    }

    /// A document is in force: the leader tells entry processes at once, the others only those
    /// that don't hear of it, so that it isn't sent several times over slow links.
    pub(super) fn send_document(&mut self) {
        if let Some(document) = self.store.current().filter(|_| self.role == Role::Leader) {
            self.routers.send_document(document);
        }
    }

    /// Tells entry processes that obey an older document for a while.
    pub(super) fn resend_document(&mut self) {
        if let Some(document) = self.store.current() {
            self.routers.resend_document(document);
        }
    }

    /// A link to an entry process came up: it gets everything.
    pub(super) fn router_connected(&mut self, link: Link) {
        let send = |message: Message| link.send(Frame::Fleet(Box::new(message)));
        if !self.membership.voters.is_empty() {
            link.send(Frame::Members(self.voter_links()));
        }
        if let Some(document) = self.store.current() {
            send(Message::Document(Document::clone(document)));
        }
        for server in self.registry.iter() {
            send(Message::ServerAnnounced(Box::new(
                server.announcement.clone(),
            )));
        }
        if self.leads() {
            send(Message::LoadedModels {
                term: self.term.0,
                engines: self.sent_models.values().cloned().collect(),
            });
        }
        self.routers.connected(link, self.store.version());
    }

    /// A link to a control process came up: it hears of all backend servers.
    pub(super) fn control_connected(&mut self, link: Link) {
        for server in self.registry.iter() {
            let announcement = Box::new(server.announcement.clone());
            link.send(Frame::Fleet(Box::new(Message::ServerAnnounced(
                announcement,
            ))));
        }
        let voter = Voter::new(link.peer.instance.clone(), link.peer.address.clone());
        let id = Id(link.peer.id);
        self.reconfigurator.process_connected(id, voter);
        if link.peer.role == lovageplank_wire::Role::Observer {
            self.reconfigurator.mark_observer(id);
        }
        self.controls.insert(link.id, link);
    }

    /// A link to a control process went down.
    pub(super) fn control_disconnected(&mut self, link: u64) {
        let Some(link) = self.controls.remove(&link) else {
            return;
        };
        let id = link.peer.id;
        if !self.controls.values().any(|other| other.peer.id == id) {
            self.reconfigurator
                .process_disconnected(clock::awake_ms(), Id(id));
        }
    }

    /// The members changed.
    pub(super) fn set_members(&mut self, membership: Membership) {
        self.membership = membership;
        let voters = self.voter_links();
        self.routers.send_members(&voters);
    }

    /// Identities and link addresses of the voters, one of which leads; all that entry processes
    /// need to be told comes from them.
    fn voter_links(&self) -> Vec<(u64, Name)> {
        let voters = self.membership.voters.iter();
        voters.map(|(id, v)| (id.0, v.address.clone())).collect()
    }

    /// Link addresses of all members.
    pub(super) fn member_links(&self) -> Vec<Name> {
        let members = self.membership.members();
        members.map(|(_, voter)| voter.address.clone()).collect()
    }

    /// The change of the group that is due, if this process leads.
    pub(super) fn next_group_change(&self) -> Option<MembershipChange> {
        if !self.leads() {
            return None;
        }
        self.reconfigurator
            .next_change(clock::awake_ms(), self.own_id, &self.membership)
    }
}

/// What an announcement says beside that the server lives.
fn details(announcement: &Announcement) -> (&[LoadedModel], &CachedWeights, u32) {
    (
        &announcement.loaded,
        &announcement.cached_weights,
        announcement.slots,
    )
}

/// Whether entry processes should hear of the difference; milliseconds alone don't count.
fn differs(sent: &LoadedModels, current: &LoadedModels) -> bool {
    let loading_names = |engine: &LoadedModels| -> Vec<Name> {
        engine.loading.iter().map(|(m, _)| m.clone()).collect()
    };
    sent.incarnation != current.incarnation
        || sent.loaded != current.loaded
        || loading_names(sent) != loading_names(current)
}
