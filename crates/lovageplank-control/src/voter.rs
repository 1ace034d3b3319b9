//! The thread that drives consensus and the disk.
//!
//! One turn takes all that waits, steps the node for each input, writes what must be durable, syncs
//! once, and only then sends, applies and answers: that is the group commit. Everything that is
//! committed goes in order to the controller's ring.

use crate::status::Status;
use eyre::{Result, WrapErr};
use flume::{Receiver, Sender};
use lovageplank_core::consensus::{
    self, Id, Index, MemberInfo, Membership, Node, Output, Refusal, Role, Snapshot, Stored, Term,
};
use lovageplank_core::fleet::bootstrap::{Bootstrap, Peer};
pub use lovageplank_core::fleet::group::Change;
use lovageplank_core::fleet::group::successor;
use lovageplank_core::prelude::*;
use lovageplank_disk::Folder;
use lovageplank_process::clock;
use lovageplank_process::link::{self, Link};
use lovageplank_wire::{Frame, Hello};
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Inputs that one turn takes at the most.
const BATCH: usize = 512;

/// Milliseconds between turns when nothing arrives.
const TICK_MS: u64 = 10;

/// Time between looks for room on a full disk.
const SPACE_CHECK: Duration = Duration::from_secs(1);

/// Ticket of a hand-over, which no asker uses.
const HAND_OVER: u64 = u64::MAX;

/// Asks the voter for something; `ticket` returns in [`Report::Outcome`].
#[derive(Debug)]
pub enum Request {
    /// Commits a command.
    Propose {
        /// Chosen by the asker.
        ticket: u64,
        /// The encoded command.
        data: Vec<u8>,
    },
    /// Changes the group's membership.
    Member {
        /// Chosen by the asker.
        ticket: u64,
        /// The change.
        change: Change,
    },
    /// Asks whether the state machine is current; see [`Report::Read`].
    Read {
        /// Chosen by the asker.
        ticket: u64,
    },
    /// Asks the node, if it leads, to hand its office to the voter that has most of the log.
    HandOver,
    /// Hands over the state machine's state, so that the log can be truncated.
    Snapshot {
        /// Last entry that the state contains.
        index: Index,
        /// The encoded state.
        data: Arc<[u8]>,
    },
}

/// What the voter tells the controller.
#[derive(Debug)]
pub enum Report {
    /// A committed entry, in order.
    Apply(consensus::Entry),
    /// Replaces the state machine; `None` for an empty one. Requests without an outcome stay so.
    Restore(Option<Snapshot>),
    /// The log is long enough for a snapshot at this entry.
    SnapshotDue,
    /// A request entered the log at an index and term, or was refused.
    Outcome {
        /// From the request.
        ticket: u64,
        /// Where it stands in the log.
        entry: Result<(Term, Index), Refusal>,
    },
    /// Answers [`Request::Read`].
    Read {
        /// From the request.
        ticket: u64,
        /// Whether the state, as applied so far, includes all that was committed before the request.
        current: bool,
    },
    /// Role, term or leader changed.
    Role {
        /// The new role.
        role: Role,
        /// The new term.
        term: Term,
        /// Who leads, if known.
        leader: Option<Id>,
    },
    /// The members changed.
    Members(Membership),
    /// A control process connected.
    Up(Link),
    /// A control process disconnected.
    Down(u64),
    /// A frame of another control process that isn't consensus.
    Frame {
        /// The link it came on.
        link: u64,
        /// The frame.
        frame: Frame,
    },
}

/// The voter's rings and identity.
pub struct Config {
    /// How consensus is tuned; holds the identity.
    pub consensus: consensus::Config,
    /// Name of this instance.
    pub instance: Name,
    /// This process's link address.
    pub address: Name,
    /// Whether this node may vote; one that keeps nothing only copies the log.
    pub votes: bool,
    /// Instances that form the group at its first start.
    pub founders: Vec<Name>,
    /// Events of links to control processes.
    pub links: Receiver<link::Event>,
    /// Requests of the controller.
    pub requests: Receiver<Request>,
    /// Reports to the controller.
    pub reports: Sender<Report>,
    /// What other threads may know at any time.
    pub status: Arc<Status>,
    /// Ends the thread.
    pub stop: CancellationToken,
}

/// Drives one node; see the module's text.
pub struct Driver {
    config: Config,
    node: Node,
    folder: Folder,
    links: BTreeMap<u64, Link>,
    /// The link to use for each peer: the one that came up last.
    peers: BTreeMap<Id, u64>,
    founding: Bootstrap,
    outputs: Vec<Output>,
    /// Tickets of inputs whose `Accepted` or `Refused` is awaited, in order.
    tickets: VecDeque<u64>,
    /// Reports that found the controller's ring full, in order; never blocks consensus.
    backlog: VecDeque<Report>,
    membership: Membership,
    snapshot_asked: bool,
    /// Whether the disk had room lately.
    writable: bool,
    space_checked: Instant,
}

/// What ended a wait.
enum Wake {
    Link(link::Event),
    Request(Request),
    Nothing,
}

impl Driver {
    /// A driver over what the data folder holds.
    pub fn new(config: Config, folder: Folder, stored: Stored) -> Driver {
        let formed = stored.snapshot.is_some();
        let restored = Report::Restore(stored.snapshot.clone());
        let now = clock::awake_ms();
        let node = Node::new(config.consensus.clone(), stored, Membership::default(), now);
        let own = Peer {
            member: MemberInfo::new(config.instance.clone(), config.address.clone()),
            can_vote: config.votes,
        };
        let founding = Bootstrap::new(node.id(), own, config.founders.clone(), formed);
        Driver {
            node,
            folder,
            links: BTreeMap::new(),
            peers: BTreeMap::new(),
            founding,
            outputs: Vec::new(),
            tickets: VecDeque::new(),
            backlog: VecDeque::from([restored]),
            membership: Membership::default(),
            snapshot_asked: false,
            writable: true,
            space_checked: Instant::now(),
            config,
        }
    }

    /// Runs until stopped. An error means that the disk can't be trusted any more.
    pub fn run(mut self) -> Result<()> {
        while !self.config.stop.is_cancelled() {
            self.take_inputs();
            self.form_group();
            self.check_space()?;
            self.step(consensus::Input::Tick);
            self.persist()?;
            self.release();
            self.report_changes();
            self.publish_status();
        }
        Ok(())
    }

    fn now() -> Millis {
        clock::awake_ms()
    }

    fn step(&mut self, input: consensus::Input) {
        let now = Self::now();
        let outputs = self.node.step(now, input);
        self.outputs.extend(outputs);
    }

    /// Waits a tick for the first input, then takes all that is there, links first.
    fn take_inputs(&mut self) {
        match self.wait() {
            Wake::Link(event) => self.take_event(event),
            Wake::Request(request) => self.take_request(request),
            Wake::Nothing => {}
        }
        for _ in 0..BATCH {
            let Ok(event) = self.config.links.try_recv() else {
                break;
            };
            self.take_event(event);
        }
        for _ in 0..BATCH {
            let Ok(request) = self.config.requests.try_recv() else {
                break;
            };
            self.take_request(request);
        }
    }

    fn wait(&self) -> Wake {
        flume::Selector::new()
            .recv(&self.config.links, |event| {
                event.map_or(Wake::Nothing, Wake::Link)
            })
            .recv(&self.config.requests, |request| {
                request.map_or(Wake::Nothing, Wake::Request)
            })
            .wait_timeout(Duration::from_millis(TICK_MS))
            .unwrap_or(Wake::Nothing)
    }

    fn take_request(&mut self, request: Request) {
        match request {
            Request::Propose { ticket, data } => {
                self.tickets.push_back(ticket);
                self.step(consensus::Input::Propose { data });
            }
            Request::Member { ticket, change } => {
                self.tickets.push_back(ticket);
                self.step(match change {
                    Change::Learner(id, info) => consensus::Input::AddLearner { id, info },
                    Change::Promote(id) => consensus::Input::Promote { id },
                    Change::Remove(id) => consensus::Input::Remove { id },
                });
            }
            Request::Read { ticket } => self.step(consensus::Input::ReadIndex { token: ticket }),
            Request::HandOver => self.hand_over(),
            Request::Snapshot { index, data } => {
                self.snapshot_asked = false;
                self.step(consensus::Input::Snapshot { index, data });
            }
        }
    }

    fn hand_over(&mut self) {
        let own = self.node.id();
        let voters = self.node.membership().voters.keys().copied();
        let others = voters.filter(|id| *id != own);
        // Links are numbered in the order in which they came up.
        let connected = others.filter_map(|id| Some((id, *self.peers.get(&id)?)));
        let known = connected.filter_map(|(id, link)| Some((id, self.node.matched(id)?, link)));
        let next = successor(known, self.node.last_index());
        if self.node.role() == Role::Leader
            && let Some(to) = next
        {
            tracing::info!(event = "hand_over", %to);
            // Its outcome is seen as a change of role; nobody waits for the answer.
            self.tickets.push_back(HAND_OVER);
            self.step(consensus::Input::TransferLeadership { to });
        }
    }

    fn take_event(&mut self, event: link::Event) {
        match event {
            link::Event::Up(link) => self.link_up(link),
            link::Event::Down { link, reason } => self.link_down(link, &reason),
            link::Event::Frame { link, frame } => self.take_frame(link, frame),
        }
    }

    fn link_up(&mut self, link: Link) {
        tracing::info!(event = "link_up", peer = %link.peer.instance, link = link.id);
        link.send(Frame::Group(self.group_of_node()));
        self.peers.insert(Id(link.peer.id), link.id);
        self.links.insert(link.id, link.clone());
        self.report(Report::Up(link));
    }

    fn link_down(&mut self, id: u64, reason: &str) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        tracing::warn!(event = "link_down", peer = %link.peer.instance, link = id, reason);
        let peer = Id(link.peer.id);
        if self.peers.get(&peer) == Some(&id) {
            self.peers.remove(&peer);
            let other = self
                .links
                .values()
                .find(|l| l.peer.id == peer.0)
                .map(|l| l.id);
            self.peers.extend(other.map(|other| (peer, other)));
        }
        self.founding.remove_peer(peer);
        self.report(Report::Down(id));
    }

    fn take_frame(&mut self, link: u64, frame: Frame) {
        let Some(peer) = self.links.get(&link).map(|l| l.peer.clone()) else {
            return;
        };
        match frame {
            Frame::Consensus(message) => {
                self.step(consensus::Input::Receive {
                    from: Id(peer.id),
                    message,
                });
            }
            Frame::Group(group) => self.take_group(&peer, group),
            frame => self.report(Report::Frame { link, frame }),
        }
    }

    /// A node without a group of its own reports the group that it hears of: its members have to
    /// be met before they can add it.
    fn take_group(&mut self, peer: &Hello, group: Option<Membership>) {
        if let Some(group) = &group
            && self.node.membership().voters.is_empty()
        {
            self.report(Report::Members(group.clone()));
        }
        let member = MemberInfo::new(peer.instance.clone(), peer.address.clone());
        let known = Peer {
            member,
            can_vote: peer.role == lovageplank_wire::Role::Control,
        };
        self.founding.update_peer(Id(peer.id), known, group);
    }

    /// What peers are told: the members once there are any.
    fn group_of_node(&self) -> Option<Membership> {
        let membership = self.node.membership();
        if membership.voters.is_empty() {
            return self.founding.designated().cloned();
        }
        Some(membership.clone())
    }

    fn tell_group(&self) {
        let group = self.group_of_node();
        for link in self.links.values() {
            link.send(Frame::Group(group.clone()));
        }
    }

    /// Founds the group, or joins the one that a founder has formed, if that is due.
    fn form_group(&mut self) {
        if let Some(appointed) = self.founding.designate() {
            tracing::info!(event = "group_appointed", voters = ?appointed.voters);
            self.tell_group();
        }
        let Some(membership) = self.founding.form() else {
            return;
        };
        if self.node.last_index() != Index::default() {
            return;
        }
        tracing::info!(event = "group_formed", voters = membership.voters.len());
        let snapshot = Snapshot {
            index: Index::default(),
            term: Term::default(),
            membership,
            data: Arc::from([]),
        };
        let stored = Stored {
            vote: self.node.vote(),
            snapshot: Some(snapshot.clone()),
            entries: Vec::new(),
        };
        let now = Self::now();
        self.outputs.push(Output::SaveSnapshot(snapshot));
        self.node = Node::new(
            self.config.consensus.clone(),
            stored,
            Membership::default(),
            now,
        );
    }

    /// Writes and syncs what must be durable before anything else of the turn is carried out.
    fn persist(&mut self) -> Result<()> {
        if !self.outputs.iter().any(Output::is_persistence) {
            return Ok(());
        }
        let began = Instant::now();
        self.folder.write(&self.outputs);
        let synced = self.folder.sync();
        metrics::histogram!("lovageplank_sync_seconds").record(began.elapsed());
        match synced {
            Err(error) if error.is_full() => self.refuse_writes(&error),
            other => other.wrap_err("write the log"),
        }
    }

    /// The disk is full: starts again from what it holds, follows and reads, but takes no entries.
    fn refuse_writes(&mut self, error: &lovageplank_disk::Error) -> Result<()> {
        tracing::error!(event = "disk_full", %error);
        self.outputs.clear();
        self.tickets.clear();
        let stored = self.folder.reload().wrap_err("read the log again")?;
        self.report(Report::Restore(stored.snapshot.clone()));
        let now = Self::now();
        self.node = Node::new(
            self.config.consensus.clone(),
            stored,
            Membership::default(),
            now,
        );
        self.writable = false;
        self.step(consensus::Input::Writable(false));
        Ok(())
    }

    /// Takes entries again once there is room.
    fn check_space(&mut self) -> Result<()> {
        if self.writable || self.space_checked.elapsed() < SPACE_CHECK {
            return Ok(());
        }
        self.space_checked = Instant::now();
        if self.folder.check_space().wrap_err("check for space")? {
            tracing::info!(event = "disk_has_room");
            self.writable = true;
            self.step(consensus::Input::Writable(true));
        }
        Ok(())
    }

    /// Sends, applies and answers.
    fn release(&mut self) {
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::SaveVote(_)
                | Output::Append { .. }
                | Output::SaveSnapshot(_)
                | Output::Compact { .. } => {}
                Output::ReadReady { token } => self.report(Report::Read {
                    ticket: token,
                    current: true,
                }),
                Output::ReadRefused { token, .. } => self.report(Report::Read {
                    ticket: token,
                    current: false,
                }),
                Output::Send { to, message } => self.send(to, message),
                Output::Apply(entry) => self.report(Report::Apply(entry)),
                Output::Restore(snapshot) => self.report(Report::Restore(Some(snapshot))),
                Output::Accepted { index, term } => self.answer(Ok((term, index))),
                Output::Refused { reason } => self.answer(Err(reason)),
                Output::RoleChanged { role, term, leader } => {
                    tracing::info!(event = "role", ?role, term = term.0, ?leader);
                    self.report(Report::Role { role, term, leader });
                }
            }
        }
    }

    fn send(&self, to: Id, message: consensus::Message) {
        let link = self.peers.get(&to).and_then(|id| self.links.get(id));
        if let Some(link) = link {
            link.send(Frame::Consensus(message));
        }
    }

    fn answer(&mut self, entry: Result<(Term, Index), Refusal>) {
        if let Some(ticket) = self.tickets.pop_front()
            && ticket != HAND_OVER
        {
            self.report(Report::Outcome { ticket, entry });
        }
    }

    fn report_changes(&mut self) {
        if *self.node.membership() != self.membership {
            self.membership = self.node.membership().clone();
            self.tell_group();
            self.report(Report::Members(self.membership.clone()));
        }
        if self.node.snapshot_due() && !self.snapshot_asked {
            self.snapshot_asked = true;
            self.report(Report::SnapshotDue);
        }
        while let Some(report) = self.backlog.pop_front() {
            if let Err(flume::TrySendError::Full(report)) = self.config.reports.try_send(report) {
                self.backlog.push_front(report);
                break;
            }
        }
    }

    fn report(&mut self, report: Report) {
        self.backlog.push_back(report);
    }

    fn publish_status(&self) {
        let leads = self.node.role() == Role::Leader;
        let contact = leads && self.node.has_quorum_contact(Self::now());
        self.config.status.publish(self.node.term(), leads, contact);
    }
}
