//! What a control process knows.

use super::entries::{self, Entries};
use crate::config;
use lovageplank_core::consensus::{Id, Index, MemberInfo, Membership, Role, Term};
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::document::{Document, Outcome, Store};
use lovageplank_core::fleet::group::{Change, Reconfigurator};
use lovageplank_core::fleet::message::{LoadedModels, Message};
use lovageplank_core::fleet::placement::Planner;
use lovageplank_core::fleet::registry::{
    Announcement, CachedWeights, Change as Seen, LoadedModel, Registry, Stage,
};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::link::{EncodedFrame, Link};
use lovageplank_wire::Frame;
use tokio::sync::oneshot;

/// Intervals between announcements after which entry processes are told which servers live. They
/// avoid a server after four, and hear it from each control process.
const LIVES_BEATS: u64 = 3;

/// How an announcement came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The server called this process.
    Direct,
    /// Another control process passed it on.
    Passed,
}

/// State of a control process; see the module's text.
pub(crate) struct State {
    own: Id,
    pub(super) store: Store,
    /// The document in force, decoded.
    pub(super) deployment: Option<Arc<Deployment>>,
    /// The last entry that was applied.
    pub(super) applied: Index,
    pub(super) registry: Registry,
    pub(super) entries: Entries,
    /// Links to control processes.
    controls: BTreeMap<u64, Link>,
    keeper: Reconfigurator,
    pub(super) membership: Membership,
    pub(super) role: Role,
    pub(super) term: Term,
    leader: Option<Id>,
    /// Set while this process leads.
    pub(super) planner: Option<Planner>,
    heartbeat_ms: Millis,
    /// When entry processes were told last which servers live.
    lives_told_at: Millis,
    /// What entry processes were told last of each engine.
    told: BTreeMap<Name, LoadedModels>,
    next_ticket: u64,
    /// Writers that wait for their entry, first by ticket and then by place in the log.
    proposed: BTreeMap<u64, oneshot::Sender<Option<Outcome>>>,
    placed: BTreeMap<Index, (Term, oneshot::Sender<Option<Outcome>>)>,
    /// Readers; one that can't be answered is dropped.
    reads: BTreeMap<u64, oneshot::Sender<Option<Arc<Document>>>>,
}

impl State {
    pub(super) fn new(own: Id, config: &config::Control) -> State {
        State {
            own,
            store: Store::default(),
            deployment: None,
            applied: Index::default(),
            registry: Registry::default(),
            entries: Entries::default(),
            controls: BTreeMap::new(),
            keeper: Reconfigurator::new(clock::boottime_ms(), config.losses),
            membership: Membership::default(),
            role: Role::Follower,
            term: Term::default(),
            leader: None,
            planner: None,
            heartbeat_ms: config.common.heartbeat_ms,
            lives_told_at: 0,
            told: BTreeMap::new(),
            next_ticket: 1,
            proposed: BTreeMap::new(),
            placed: BTreeMap::new(),
            reads: BTreeMap::new(),
        }
    }

    /// Whether this process leads, as far as it knows.
    pub(super) fn leads(&self) -> bool {
        self.role == Role::Leader
    }

    /// Control address of the leader, if it is known and another process.
    pub(super) fn leader_address(&self) -> Option<Name> {
        let leader = self.leader.filter(|id| *id != self.own)?;
        let mut members = self.membership.members();
        members
            .find(|(id, _)| *id == leader)
            .map(|(_, voter)| voter.name.clone())
    }

    /// A writer waits for the outcome of a proposal.
    pub(super) fn proposal(&mut self) -> (u64, oneshot::Receiver<Option<Outcome>>) {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.ticket();
        self.proposed.insert(ticket, sender);
        (ticket, receiver)
    }

    /// A reader waits until the state is known to be current.
    pub(super) fn read(&mut self) -> (u64, oneshot::Receiver<Option<Arc<Document>>>) {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.ticket();
        self.reads.insert(ticket, sender);
        (ticket, receiver)
    }

    fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// A proposal has a place in the log, or was refused.
    pub(super) fn placed(&mut self, ticket: u64, place: Option<(Term, Index)>) {
        let Some(writer) = self.proposed.remove(&ticket) else {
            return;
        };
        match place {
            Some((term, index)) => drop(self.placed.insert(index, (term, writer))),
            None => drop(writer.send(None)),
        }
    }

    /// A read may be answered from the state, or not.
    pub(super) fn read_done(&mut self, ticket: u64, current: bool) {
        let reader = self.reads.remove(&ticket).filter(|_| current);
        if let Some(reader) = reader {
            // The reader may have gone.
            let _ = reader.send(self.store.current().cloned());
        }
    }

    /// An entry was committed; `document` is what it holds, if anything.
    pub(super) fn apply(&mut self, term: Term, index: Index, document: Option<Document>) -> bool {
        self.applied = index;
        let outcome = document.map(|d| self.store.apply(d));
        if let Some((placed, writer)) = self.placed.remove(&index) {
            let _ = writer.send(outcome.filter(|_| placed == term));
        }
        outcome == Some(Outcome::InForce)
    }

    /// A snapshot replaces the state. An older document doesn't: versions never go back.
    pub(super) fn restore(&mut self, index: Index, document: Option<Document>) -> bool {
        self.applied = index;
        self.placed.clear();
        document.is_some_and(|d| self.store.apply(d) == Outcome::InForce)
    }

    /// Role, term or leader changed; `planner` is used if this process begins to lead.
    pub(super) fn set_role(
        &mut self,
        role: Role,
        term: Term,
        leader: Option<Id>,
        planner: impl FnOnce() -> Planner,
    ) {
        let led = self.leads() && self.term == term;
        self.role = role;
        self.term = term;
        self.leader = leader;
        if !self.leads() {
            self.planner = None;
            return;
        }
        if !led || self.planner.is_none() {
            let mut planner = planner();
            let now = clock::boottime_ms();
            for server in self.registry.iter() {
                planner.observe(now, &server.announcement);
            }
            self.planner = Some(planner);
            self.told.clear();
        }
    }

    /// A backend server announced itself. Control processes hear of it from the one that it called.
    /// Entry processes hear from all of them what they have to obey at once, and other details from
    /// the leader, or from all while none is known.
    pub(super) fn announced(&mut self, said: Announcement, source: Source) -> Seen {
        let now = clock::boottime_ms();
        let known = self.registry.get(&said.id).map(|s| &s.announcement);
        let leaves = known.and_then(|k| k.leaves_in_ms) != said.leaves_in_ms;
        let details = known.is_none_or(|k| details(k) != details(&said));
        let id = said.id.clone();
        let change = self.registry.observe(now, said);
        let Some(server) = self.registry.get(&id).filter(|_| change != Seen::Ignored) else {
            return change;
        };
        if let Some(planner) = &mut self.planner {
            planner.observe(now, &server.announcement);
        }
        let urgent = change != Seen::Renewed || leaves;
        let tells = urgent || details && (self.leads() || self.leader.is_none());
        if !tells && source == Source::Passed {
            return change;
        }
        let message = Message::ServerAnnounced(Box::new(server.announcement.clone()));
        let Some(encoded) = entries::encode(message) else {
            return change;
        };
        if tells {
            self.entries.send(&encoded);
        }
        if source == Source::Direct {
            self.send_to_controls(&encoded);
        }
        change
    }

    /// Tells entry processes now and then which servers have announced themselves since the last
    /// time.
    pub(super) fn tell_live(&mut self, now: Millis) {
        if now < self.lives_told_at + LIVES_BEATS * self.heartbeat_ms {
            return;
        }
        let since = self.lives_told_at;
        let heard = self.registry.iter().filter(|s| s.last_heard_at >= since);
        let live = heard.filter(|s| s.announcement.stage != Stage::Gone);
        let live = live.map(|s| (s.announcement.id.clone(), s.announcement.incarnation));
        self.entries.tell(Message::LiveServers(live.collect()));
        self.lives_told_at = now;
    }

    /// A backend server left: entry processes hear of it from all control processes, those from the
    /// one that it told.
    pub(super) fn left(&mut self, id: Name, born_ms: Option<u64>, source: Source) {
        let changed = self.registry.mark_gone(clock::boottime_ms(), &id, born_ms);
        if changed != Seen::Ignored
            && let Some(planner) = &mut self.planner
        {
            planner.remove(&id);
        }
        let message = Message::ServerGone {
            server: id,
            incarnation: born_ms,
        };
        let Some(encoded) = entries::encode(message) else {
            return;
        };
        self.entries.send(&encoded);
        if source == Source::Direct {
            self.send_to_controls(&encoded);
        }
    }

    /// Forgets all about backend servers that have been silent for so long.
    pub(super) fn forget_silent(&mut self, now: Millis, silent_ms: Millis) {
        self.registry.expire(now, silent_ms);
        let registry = &self.registry;
        self.told.retain(|id, _| registry.get(id).is_some());
        if let Some(planner) = &mut self.planner {
            planner.retain(|id| registry.get(id).is_some());
        }
    }

    /// Sends a message to the other control processes, once to each.
    fn send_to_controls(&self, message: &EncodedFrame) {
        let mut told = BTreeSet::new();
        for link in self.controls.values().rev() {
            if told.insert(link.peer.id) {
                link.send_encoded(message);
            }
        }
    }

    /// Tells entry processes what engines hold, where that has changed.
    pub(super) fn tell_holdings(&mut self) {
        let Some(planner) = &self.planner else {
            return;
        };
        let holdings = planner.loaded_models(clock::boottime_ms());
        let changed: Vec<LoadedModels> = holdings
            .into_iter()
            .filter(|h| self.told.get(&h.server).is_none_or(|t| differs(t, h)))
            .collect();
        if changed.is_empty() {
            return;
        }
        for holding in &changed {
            self.told.insert(holding.server.clone(), holding.clone());
        }
        self.entries.tell(Message::LoadedModels {
            term: self.term.0,
            engines: changed,
        });
    }

    /// A document is in force: the leader tells entry processes at once, the others only those
    /// that don't hear of it, so that it isn't sent several times over slow links.
    pub(super) fn tell_document(&mut self) {
        if let Some(document) = self.store.current().filter(|_| self.role == Role::Leader) {
            self.entries.tell_document(document);
        }
    }

    /// Tells entry processes that obey an older document for a while.
    pub(super) fn tell_late_entries(&mut self) {
        if let Some(document) = self.store.current() {
            self.entries.tell_late(document);
        }
    }

    /// A link to an entry process came up: it gets everything.
    pub(super) fn entry_up(&mut self, link: Link) {
        let tell = |message: Message| link.send(Frame::Fleet(Box::new(message)));
        if !self.membership.voters.is_empty() {
            link.send(Frame::Members(self.voter_links()));
        }
        if let Some(document) = self.store.current() {
            tell(Message::Document(Document::clone(document)));
        }
        for server in self.registry.iter() {
            tell(Message::ServerAnnounced(Box::new(
                server.announcement.clone(),
            )));
        }
        if self.leads() {
            tell(Message::LoadedModels {
                term: self.term.0,
                engines: self.told.values().cloned().collect(),
            });
        }
        self.entries.up(link, self.store.version());
    }

    /// A link to a control process came up: it hears of all backend servers.
    pub(super) fn control_up(&mut self, link: Link) {
        for server in self.registry.iter() {
            let said = Box::new(server.announcement.clone());
            link.send(Frame::Fleet(Box::new(Message::ServerAnnounced(said))));
        }
        let voter = MemberInfo::new(link.peer.instance.clone(), link.peer.address.clone());
        let id = Id(link.peer.id);
        self.keeper.process_connected(id, voter);
        if link.peer.role == lovageplank_wire::Role::Observer {
            self.keeper.mark_observer(id);
        }
        self.controls.insert(link.id, link);
    }

    /// A link to a control process went down.
    pub(super) fn control_down(&mut self, link: u64) {
        let Some(link) = self.controls.remove(&link) else {
            return;
        };
        let id = link.peer.id;
        if !self.controls.values().any(|other| other.peer.id == id) {
            self.keeper
                .process_disconnected(clock::boottime_ms(), Id(id));
        }
    }

    /// The members changed.
    pub(super) fn set_members(&mut self, membership: Membership) {
        self.membership = membership;
        let voters = self.voter_links();
        self.entries.tell_members(&voters);
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
    pub(super) fn group_change(&self) -> Option<Change> {
        if !self.leads() {
            return None;
        }
        self.keeper
            .next_change(clock::boottime_ms(), self.own, &self.membership)
    }
}

/// What an announcement says beside that the server lives.
fn details(said: &Announcement) -> (&[LoadedModel], &CachedWeights, u32) {
    (&said.loaded, &said.cached_weights, said.slots)
}

/// Whether entry processes should hear of the difference; milliseconds alone don't count.
fn differs(told: &LoadedModels, now: &LoadedModels) -> bool {
    let models =
        |h: &LoadedModels| -> Vec<Name> { h.loading.iter().map(|(m, _)| m.clone()).collect() };
    told.incarnation != now.incarnation || told.loaded != now.loaded || models(told) != models(now)
}
