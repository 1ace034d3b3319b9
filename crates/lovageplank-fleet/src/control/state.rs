//! The state of a control process.

use super::routers::{self, Routers};
use crate::config;
use lovageplank_core::consensus::{Id, Index, MemberInfo, Membership, Role, Term};
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::document::{Document, DocumentState, Outcome};
use lovageplank_core::fleet::group::{Change as MembershipChange, Reconfigurator};
use lovageplank_core::fleet::message::{EngineModels, Message};
use lovageplank_core::fleet::placement::Planner;
use lovageplank_core::fleet::registry::{
    Announcement, CachedWeights, Change as RegistryChange, LoadedModel, Registry, Stage,
};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::link::{Encoded, Link};
use lovageplank_wire::Frame;
use tokio::sync::oneshot;

/// Announcement intervals between two broadcasts of the live servers to routers. Routers avoid a
/// server after four intervals without news of it, and receive the broadcasts of every control
/// process.
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
    pub(super) store: DocumentState,
    /// The document in force, decoded.
    pub(super) deployment: Option<Arc<Deployment>>,
    /// Index of the last log entry that was applied.
    pub(super) applied: Index,
    pub(super) registry: Registry,
    pub(super) routers: Routers,
    /// Links to control processes, by link id.
    controls: BTreeMap<u64, Link>,
    reconfigurator: Reconfigurator,
    pub(super) membership: Membership,
    pub(super) role: Role,
    pub(super) term: Term,
    leader: Option<Id>,
    /// Set while this process is the leader.
    pub(super) planner: Option<Planner>,
    heartbeat_ms: Millis,
    /// Time of the last broadcast of the live servers.
    liveness_sent_at: Millis,
    /// Loaded models of each engine as last broadcast to routers.
    sent_models: BTreeMap<Name, EngineModels>,
    next_request_id: u64,
    /// Writers whose proposal has no log index yet, by request id.
    pending_proposals: BTreeMap<u64, oneshot::Sender<Option<Outcome>>>,
    /// Writers whose proposal is in the log but not applied, with its term, by log index.
    logged_proposals: BTreeMap<Index, (Term, oneshot::Sender<Option<Outcome>>)>,
    /// Readers of the document, by request id; one that can't be answered is dropped.
    pending_reads: BTreeMap<u64, oneshot::Sender<Option<Arc<Document>>>>,
}

impl State {
    pub(super) fn new(own_id: Id, config: &config::Control) -> State {
        State {
            own_id,
            store: DocumentState::default(),
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

    /// Whether this process is the leader as far as it knows.
    pub(super) fn leads(&self) -> bool {
        self.role == Role::Leader
    }

    /// Control address of the leader, if it is known and isn't this process.
    pub(super) fn leader_address(&self) -> Option<Name> {
        let leader = self.leader.filter(|id| *id != self.own_id)?;
        let mut members = self.membership.members();
        members
            .find(|(id, _)| *id == leader)
            .map(|(_, voter)| voter.name.clone())
    }

    /// Registers a writer: returns a request id for the proposal and a receiver of its outcome,
    /// `None` if it was refused or another log entry took its index.
    pub(super) fn new_proposal(&mut self) -> (u64, oneshot::Receiver<Option<Outcome>>) {
        let (sender, receiver) = oneshot::channel();
        let request_id = self.new_request_id();
        self.pending_proposals.insert(request_id, sender);
        (request_id, receiver)
    }

    /// Registers a reader: returns a request id and a receiver of the document, which is answered
    /// once the state is known to be current.
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
            let _ = reader.send(self.store.current().cloned());
        }
    }

    /// Applies a committed log entry and its document, if it has one; returns whether that document
    /// is now in force.
    pub(super) fn apply(&mut self, term: Term, index: Index, document: Option<Document>) -> bool {
        self.applied = index;
        let outcome = document.map(|d| self.store.apply(d));
        if let Some((proposal_term, writer)) = self.logged_proposals.remove(&index) {
            let _ = writer.send(outcome.filter(|_| proposal_term == term));
        }
        outcome == Some(Outcome::InForce)
    }

    /// Replaces the state by a snapshot; returns whether its document is now in force. An older
    /// document is ignored, because versions never go back. Writers whose proposal is in the log get
    /// no outcome.
    pub(super) fn restore(&mut self, index: Index, document: Option<Document>) -> bool {
        self.applied = index;
        self.logged_proposals.clear();
        document.is_some_and(|d| self.store.apply(d) == Outcome::InForce)
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

    /// Records and forwards an announcement of a backend server. Other control processes receive it
    /// from the one that the server called. Routers receive a new incarnation, lifecycle stage or
    /// departure time from every control process, and other changed details from the leader only,
    /// or from every control process that knows no leader.
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

    /// Broadcasts to routers which servers have announced themselves since the last broadcast, if
    /// one is due.
    pub(super) fn send_live_servers(&mut self, now: Millis) {
        if now < self.liveness_sent_at + LIVENESS_INTERVALS * self.heartbeat_ms {
            return;
        }
        let since = self.liveness_sent_at;
        let recent = self.registry.iter().filter(|s| s.last_contact_at >= since);
        let live = recent.filter(|s| s.announcement.stage != Stage::Gone);
        let live = live.map(|s| (s.announcement.id.clone(), s.announcement.incarnation));
        self.routers.broadcast(Message::LiveServers(live.collect()));
        self.liveness_sent_at = now;
    }

    /// Records and forwards the departure of a backend server. Other control processes receive it
    /// from the one that the server called, routers from every control process.
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

    /// Removes all state of backend servers that have been silent for `retention_ms` or that departed
    /// long ago.
    pub(super) fn expire_servers(&mut self, now: Millis, retention_ms: Millis) {
        self.registry.expire(now, retention_ms);
        let registry = &self.registry;
        self.sent_models.retain(|id, _| registry.get(id).is_some());
        if let Some(planner) = &mut self.planner {
            planner.retain(|id| registry.get(id).is_some());
        }
    }

    /// Sends a message to each of the other control processes once, however many links it has.
    fn send_to_controls(&self, message: &Encoded) {
        let mut sent_to = BTreeSet::new();
        for link in self.controls.values().rev() {
            if sent_to.insert(link.peer.id) {
                link.send_encoded(message);
            }
        }
    }

    /// Broadcasts the loaded models of engines to routers, where they differ from the last broadcast.
    pub(super) fn send_loaded_models(&mut self) {
        let Some(planner) = &self.planner else {
            return;
        };
        let engines = planner.loaded_models(clock::awake_ms());
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
        for engine in &changed {
            self.sent_models
                .insert(engine.server.clone(), engine.clone());
        }
        self.routers.broadcast(Message::LoadedModels {
            term: self.term.0,
            engines: changed,
        });
    }

    /// Sends a new document to all routers if this process is the leader. Other control processes
    /// send it only to routers that don't apply it in time, so that slow links don't carry it several
    /// times.
    pub(super) fn send_document(&mut self) {
        if let Some(document) = self.store.current().filter(|_| self.role == Role::Leader) {
            self.routers.send_document(document);
        }
    }

    /// Sends the document in force to routers that haven't applied it in time.
    pub(super) fn resend_document(&mut self) {
        if let Some(document) = self.store.current() {
            self.routers.resend_document(document);
        }
    }

    /// Adds a router whose link came up, and sends it the voters, the document, all announcements
    /// and, from the leader, the loaded models.
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

    /// Adds a link to a control process, and sends it all announcements.
    pub(super) fn control_connected(&mut self, link: Link) {
        for server in self.registry.iter() {
            let announcement = Box::new(server.announcement.clone());
            link.send(Frame::Fleet(Box::new(Message::ServerAnnounced(
                announcement,
            ))));
        }
        let voter = MemberInfo::new(link.peer.instance.clone(), link.peer.address.clone());
        let id = Id(link.peer.id);
        self.reconfigurator.process_connected(id, voter);
        if link.peer.role == lovageplank_wire::Role::Observer {
            self.reconfigurator.mark_observer(id);
        }
        self.controls.insert(link.id, link);
    }

    /// Removes a link to a control process; without another link the process counts as disconnected.
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

    /// Replaces the membership and sends the voters to routers.
    pub(super) fn set_members(&mut self, membership: Membership) {
        self.membership = membership;
        let voters = self.voter_links();
        self.routers.send_members(&voters);
    }

    /// Ids and link addresses of the voters. Routers need no other links: one voter is the leader,
    /// and every message that routers need comes from voters.
    fn voter_links(&self) -> Vec<(u64, Name)> {
        let voters = self.membership.voters.iter();
        voters.map(|(id, v)| (id.0, v.address.clone())).collect()
    }

    /// Link addresses of all members of the control group.
    pub(super) fn member_links(&self) -> Vec<Name> {
        let members = self.membership.members();
        members.map(|(_, voter)| voter.address.clone()).collect()
    }

    /// The membership change that is due, if this process is the leader.
    pub(super) fn next_group_change(&self) -> Option<MembershipChange> {
        if !self.leads() {
            return None;
        }
        self.reconfigurator
            .next_change(clock::awake_ms(), self.own_id, &self.membership)
    }
}

/// Loaded models, cached weights and slots of an announcement.
fn details(announcement: &Announcement) -> (&[LoadedModel], &CachedWeights, u32) {
    (
        &announcement.loaded,
        &announcement.cached_weights,
        announcement.slots,
    )
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
