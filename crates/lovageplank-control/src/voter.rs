//! The thread that drives consensus and the disk.
//!
//! One turn takes all that waits, steps the node for each input, writes what must be durable, syncs
//! once, and only then sends, applies and answers: that is the group commit. Everything that is
//! committed goes in order to the controller's ring.

use crate::status::LeaderStatus;
use eyre::{Result, WrapErr};
use flume::{Receiver, Sender};
use lovageplank_core::consensus::{
    self, Id, Index, Membership, Node, Output, Refusal, Role, Snapshot, Stored, Term, Voter,
};
use lovageplank_core::fleet::founding::{Founding, Peer};
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
const MAX_INPUTS_PER_ITERATION: usize = 512;

/// Milliseconds between turns when nothing arrives.
const TICK_MS: u64 = 10;

/// Time between looks for room on a full disk.
const SPACE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Ticket of a hand-over, which no asker uses.
const TRANSFER_REQUEST_ID: u64 = u64::MAX;

/// Asks the voter for something; `ticket` returns in [`Report::Outcome`].
#[derive(Debug)]
pub enum Request {
    /// Commits a command.
    Propose {
        /// Chosen by the asker.
        request_id: u64,
        /// The encoded command.
        data: Vec<u8>,
    },
    /// Changes the group's membership.
    ChangeMembership {
        /// Chosen by the asker.
        request_id: u64,
        /// The change.
        change: Change,
    },
    /// Asks whether the state machine is current; see [`Report::Read`].
    Read {
        /// Chosen by the asker.
        request_id: u64,
    },
    /// Asks the node, if it leads, to hand its office to the voter that has most of the log.
    TransferLeadership,
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
        request_id: u64,
        /// Where it stands in the log.
        position: Result<(Term, Index), Refusal>,
    },
    /// Answers [`Request::Read`].
    Read {
        /// From the request.
        request_id: u64,
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
    pub initial_voters: Vec<Name>,
    /// Events of links to control processes.
    pub links: Receiver<link::Event>,
    /// Requests of the controller.
    pub requests: Receiver<Request>,
    /// Reports to the controller.
    pub reports: Sender<Report>,
    /// What other threads may know at any time.
    pub status: Arc<LeaderStatus>,
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
    bootstrap: Founding,
    outputs: Vec<Output>,
    /// Tickets of inputs whose `Accepted` or `Refused` is awaited, in order.
    pending_request_ids: VecDeque<u64>,
    /// Reports that found the controller's ring full, in order; never blocks consensus.
    queued_reports: VecDeque<Report>,
    membership: Membership,
    snapshot_requested: bool,
    /// Whether the disk had room lately.
    writable: bool,
    space_checked_at: Instant,
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
        let has_group = stored.snapshot.is_some();
        let restored = Report::Restore(stored.snapshot.clone());
        let now = clock::awake_ms();
        let node = Node::new(config.consensus.clone(), stored, Membership::default(), now);
        let own_peer = Peer {
            voter: Voter::new(config.instance.clone(), config.address.clone()),
            votes: config.votes,
        };
        let bootstrap = Founding::new(
            node.id(),
            own_peer,
            config.initial_voters.clone(),
            has_group,
        );
        Driver {
            node,
            folder,
            links: BTreeMap::new(),
            peers: BTreeMap::new(),
            bootstrap,
            outputs: Vec::new(),
            pending_request_ids: VecDeque::new(),
            queued_reports: VecDeque::from([restored]),
            membership: Membership::default(),
            snapshot_requested: false,
            writable: true,
            space_checked_at: Instant::now(),
            config,
        }
    }

    /// Runs until stopped. An error means that the disk can't be trusted any more.
    pub fn run(mut self) -> Result<()> {
        while !self.config.stop.is_cancelled() {
            self.receive_inputs();
            self.bootstrap_group();
            self.check_space()?;
            self.step(consensus::Input::Tick);
            self.persist()?;
            self.execute_outputs();
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
    fn receive_inputs(&mut self) {
        match self.wait_for_input() {
            Wake::Link(event) => self.handle_link_event(event),
            Wake::Request(request) => self.handle_request(request),
            Wake::Nothing => {}
        }
        for _ in 0..MAX_INPUTS_PER_ITERATION {
            let Ok(event) = self.config.links.try_recv() else {
                break;
            };
            self.handle_link_event(event);
        }
        for _ in 0..MAX_INPUTS_PER_ITERATION {
            let Ok(request) = self.config.requests.try_recv() else {
                break;
            };
            self.handle_request(request);
        }
    }

    fn wait_for_input(&self) -> Wake {
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

    fn handle_request(&mut self, request: Request) {
        match request {
            Request::Propose { request_id, data } => {
                self.pending_request_ids.push_back(request_id);
                self.step(consensus::Input::Propose { data });
            }
            Request::ChangeMembership { request_id, change } => {
                self.pending_request_ids.push_back(request_id);
                self.step(match change {
                    Change::Learner(id, voter) => consensus::Input::AddLearner { id, voter },
                    Change::Promote(id) => consensus::Input::Promote { id },
                    Change::Remove(id) => consensus::Input::Remove { id },
                });
            }
            Request::Read { request_id } => {
                self.step(consensus::Input::ReadIndex { token: request_id })
            }
            Request::TransferLeadership => self.transfer_leadership(),
            Request::Snapshot { index, data } => {
                self.snapshot_requested = false;
                self.step(consensus::Input::Snapshot { index, data });
            }
        }
    }

    fn transfer_leadership(&mut self) {
        let own_id = self.node.id();
        let voters = self.node.membership().voters.keys().copied();
        let others = voters.filter(|id| *id != own_id);
        // Links are numbered in the order in which they came up.
        let connected = others.filter_map(|id| Some((id, *self.peers.get(&id)?)));
        let candidates =
            connected.filter_map(|(id, link)| Some((id, self.node.matched(id)?, link)));
        let target = successor(candidates, self.node.last_index());
        if self.node.role() == Role::Leader
            && let Some(to) = target
        {
            tracing::info!(event = "hand_over", %to);
            // Its outcome is seen as a change of role; nobody waits for the answer.
            self.pending_request_ids.push_back(TRANSFER_REQUEST_ID);
            self.step(consensus::Input::TransferLeadership { to });
        }
    }

    fn handle_link_event(&mut self, event: link::Event) {
        match event {
            link::Event::Up(link) => self.link_up(link),
            link::Event::Down { link, reason } => self.link_down(link, &reason),
            link::Event::Frame { link, frame } => self.handle_frame(link, frame),
        }
    }

    fn link_up(&mut self, link: Link) {
        tracing::info!(event = "link_up", peer = %link.peer.instance, link = link.id);
        link.send(Frame::Group(self.advertised_membership()));
        self.peers.insert(Id(link.peer.id), link.id);
        self.links.insert(link.id, link.clone());
        self.queue_report(Report::Up(link));
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
        self.bootstrap.forget(peer);
        self.queue_report(Report::Down(id));
    }

    fn handle_frame(&mut self, link: u64, frame: Frame) {
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
            Frame::Group(group) => self.handle_group(&peer, group),
            frame => self.queue_report(Report::Frame { link, frame }),
        }
    }

    /// A node without a group of its own reports the group that it hears of: its members have to
    /// be met before they can add it.
    fn handle_group(&mut self, peer: &Hello, group: Option<Membership>) {
        if let Some(group) = &group
            && self.node.membership().voters.is_empty()
        {
            self.queue_report(Report::Members(group.clone()));
        }
        let voter = Voter::new(peer.instance.clone(), peer.address.clone());
        let bootstrap_peer = Peer {
            voter,
            votes: peer.role == lovageplank_wire::Role::Control,
        };
        self.bootstrap.learn(Id(peer.id), bootstrap_peer, group);
    }

    /// What peers are told: the members once there are any.
    fn advertised_membership(&self) -> Option<Membership> {
        let membership = self.node.membership();
        if membership.voters.is_empty() {
            return self.bootstrap.appointed().cloned();
        }
        Some(membership.clone())
    }

    fn broadcast_membership(&self) {
        let group = self.advertised_membership();
        for link in self.links.values() {
            link.send(Frame::Group(group.clone()));
        }
    }

    /// Founds the group, or joins the one that a founder has formed, if that is due.
    fn bootstrap_group(&mut self) {
        if let Some(designated) = self.bootstrap.appoint() {
            tracing::info!(event = "group_appointed", voters = ?designated.voters);
            self.broadcast_membership();
        }
        let Some(membership) = self.bootstrap.form() else {
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
            Err(error) if error.is_full() => self.enter_read_only(&error),
            other => other.wrap_err("write the log"),
        }
    }

    /// The disk is full: starts again from what it holds, follows and reads, but takes no entries.
    fn enter_read_only(&mut self, error: &lovageplank_disk::Error) -> Result<()> {
        tracing::error!(event = "disk_full", %error);
        self.outputs.clear();
        self.pending_request_ids.clear();
        let stored = self.folder.reload().wrap_err("read the log again")?;
        self.queue_report(Report::Restore(stored.snapshot.clone()));
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
        if self.writable || self.space_checked_at.elapsed() < SPACE_CHECK_INTERVAL {
            return Ok(());
        }
        self.space_checked_at = Instant::now();
        if self.folder.check_space().wrap_err("check for space")? {
            tracing::info!(event = "disk_has_room");
            self.writable = true;
            self.step(consensus::Input::Writable(true));
        }
        Ok(())
    }

    /// Sends, applies and answers.
    fn execute_outputs(&mut self) {
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::SaveVote(_)
                | Output::Append { .. }
                | Output::SaveSnapshot(_)
                | Output::Compact { .. } => {}
                Output::ReadReady { token } => self.queue_report(Report::Read {
                    request_id: token,
                    current: true,
                }),
                Output::ReadRefused { token, .. } => self.queue_report(Report::Read {
                    request_id: token,
                    current: false,
                }),
                Output::Send { to, message } => self.send(to, message),
                Output::Apply(entry) => self.queue_report(Report::Apply(entry)),
                Output::Restore(snapshot) => self.queue_report(Report::Restore(Some(snapshot))),
                Output::Accepted { index, term } => self.report_outcome(Ok((term, index))),
                Output::Refused { reason } => self.report_outcome(Err(reason)),
                Output::RoleChanged { role, term, leader } => {
                    tracing::info!(event = "role", ?role, term = term.0, ?leader);
                    self.queue_report(Report::Role { role, term, leader });
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

    fn report_outcome(&mut self, position: Result<(Term, Index), Refusal>) {
        if let Some(request_id) = self.pending_request_ids.pop_front()
            && request_id != TRANSFER_REQUEST_ID
        {
            self.queue_report(Report::Outcome {
                request_id,
                position,
            });
        }
    }

    fn report_changes(&mut self) {
        if *self.node.membership() != self.membership {
            self.membership = self.node.membership().clone();
            self.broadcast_membership();
            self.queue_report(Report::Members(self.membership.clone()));
        }
        if self.node.snapshot_due() && !self.snapshot_requested {
            self.snapshot_requested = true;
            self.queue_report(Report::SnapshotDue);
        }
        while let Some(report) = self.queued_reports.pop_front() {
            if let Err(flume::TrySendError::Full(report)) = self.config.reports.try_send(report) {
                self.queued_reports.push_front(report);
                break;
            }
        }
    }

    fn queue_report(&mut self, report: Report) {
        self.queued_reports.push_back(report);
    }

    fn publish_status(&self) {
        let is_leader = self.node.role() == Role::Leader;
        let quorum_contact = is_leader && self.node.has_quorum_contact(Self::now());
        self.config
            .status
            .publish(self.node.term(), is_leader, quorum_contact);
    }
}
