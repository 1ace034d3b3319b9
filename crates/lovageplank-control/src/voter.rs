//! The thread that runs the consensus node and writes its log to the disk.
//!
//! Each iteration steps the node with all waiting inputs, writes what must be durable, and syncs
//! once (group commit). Only then does it send messages and report committed entries and outcomes.
//! Committed entries are reported to the controller in log order.

mod group;
mod lag;

use crate::status::LeaderStatus;
use eyre::{Result, WrapErr};
use flume::{Receiver, Sender};
use lag::Lags;
use lovageplank_core::consensus::{
    self, Id, Index, MemberInfo, Membership, Node, Output, Refusal, Role, Snapshot, StoredState,
    Term,
};
use lovageplank_core::fleet::bootstrap::{Bootstrap, Peer};
pub use lovageplank_core::fleet::group::Change;
use lovageplank_core::fleet::group::successor;
use lovageplank_core::prelude::*;
use lovageplank_disk::Folder;
use lovageplank_process::clock;
use lovageplank_process::link::{self, Link};
use lovageplank_wire::Frame;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Maximum number of link events, and of requests, that one iteration receives after its first
/// input. The rest waits for the next iteration.
const MAX_INPUTS_PER_ITERATION: usize = 512;

/// Maximum number of milliseconds that an iteration waits for an input, so that the node's timeouts
/// are checked at least this often.
const TICK_MS: u64 = 10;

/// Interval between checks whether a full disk has space again.
const SPACE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Request id of a leadership transfer, whose outcome isn't reported; no other request uses it.
const TRANSFER_REQUEST_ID: u64 = u64::MAX;

/// A request to the voter. Its `request_id` is chosen by the sender and returned with the outcome.
#[derive(Debug)]
pub enum Request {
    /// Proposes a log entry; see [`Report::Outcome`].
    Propose {
        /// Identifies the proposal.
        request_id: u64,
        /// The content of the entry.
        data: Vec<u8>,
    },
    /// Proposes a change of the control group's membership; see [`Report::Outcome`].
    ChangeMembership {
        /// Identifies the proposal.
        request_id: u64,
        /// The change.
        change: Change,
    },
    /// Requests a linearizable read; see [`Report::Read`].
    Read {
        /// Identifies the read.
        request_id: u64,
    },
    /// On a leader, transfers leadership to the connected voter with the most complete log. Of
    /// those that have the whole log, it is the one that connected last.
    TransferLeadership,
    /// Saves a snapshot of the state machine, so that the log can be truncated.
    Snapshot {
        /// Index of the last entry that the state contains.
        index: Index,
        /// The encoded state.
        data: Arc<[u8]>,
    },
}

/// A report of the voter to the controller.
#[derive(Debug)]
pub enum Report {
    /// Applies a committed entry. Entries come in log order.
    Apply(consensus::Entry),
    /// Replaces the state machine, by an empty one for `None`. Requests that have no outcome yet
    /// get none.
    Restore(Option<Snapshot>),
    /// Requests a [`Request::Snapshot`]: enough entries were applied since the last one.
    SnapshotDue,
    /// A proposal was appended to the leader's log, or refused. It is committed if an entry with
    /// this term is applied at this index; an entry with another term there replaced it.
    Outcome {
        /// From the request.
        request_id: u64,
        /// Term and index of the appended entry, or why it was refused.
        position: Result<(Term, Index), Refusal>,
    },
    /// The answer to [`Request::Read`].
    Read {
        /// From the request.
        request_id: u64,
        /// Whether the state, with all entries reported so far, includes all entries that were
        /// committed before the request.
        current: bool,
    },
    /// Role, term or leader changed.
    Role {
        /// The node's role.
        role: Role,
        /// The node's term.
        term: Term,
        /// The leader of the term, if known.
        leader: Option<Id>,
    },
    /// The control group's membership. A node without a group reports the one that a peer sent.
    Members(Membership),
    /// A link to a control process came up.
    Up(Link),
    /// The link with this number went down.
    Down(u64),
    /// A frame from another control process that concerns neither consensus nor membership.
    Frame {
        /// Number of the link on which it arrived.
        link: u64,
        /// The frame.
        frame: Frame,
    },
}

/// Configuration, identity and channels of the voter.
pub struct Config {
    /// Identity and timeouts of the consensus node.
    pub consensus: consensus::Config,
    /// Name of this instance.
    pub instance: Name,
    /// Link address of this process.
    pub address: Name,
    /// Whether this node may vote. A process that keeps no data on disk may not: it only replicates
    /// the log.
    pub votes: bool,
    /// Names of the instances that bootstrap the control group.
    pub initial_voters: Vec<Name>,
    /// Events of links to control processes.
    pub links: Receiver<link::Event>,
    /// Requests of the controller.
    pub requests: Receiver<Request>,
    /// Reports to the controller.
    pub reports: Sender<Report>,
    /// Leadership, published for other threads.
    pub status: Arc<LeaderStatus>,
    /// Ends the thread.
    pub stop: CancellationToken,
}

/// Runs one consensus node with its links and its data folder.
pub struct Driver {
    config: Config,
    node: Node,
    folder: Folder,
    links: BTreeMap<u64, Link>,
    /// Number of the link on which messages are sent to each peer: the one that came up last.
    peers: BTreeMap<Id, u64>,
    bootstrap: Bootstrap,
    outputs: Vec<Output>,
    /// Request ids of proposals that the node has neither accepted nor refused, in the order in
    /// which it will do so.
    pending_request_ids: VecDeque<u64>,
    /// Reports not yet sent to the controller, in order. Unbounded, so that a full channel doesn't
    /// block consensus.
    queued_reports: VecDeque<Report>,
    membership: Membership,
    snapshot_requested: bool,
    lags: Lags,
    /// Whether the last write or check found space on the disk.
    writable: bool,
    space_checked_at: Instant,
}

/// The first input of an iteration; `Nothing` if none arrived in time or a channel is closed.
enum Wake {
    Link(link::Event),
    Request(Request),
    Nothing,
}

impl Driver {
    /// A driver that continues from `stored`, the content of the data folder.
    pub fn new(config: Config, folder: Folder, stored: StoredState) -> Driver {
        let has_group = stored.snapshot.is_some();
        let restored = Report::Restore(stored.snapshot.clone());
        let now = clock::boottime_ms();
        let node = Node::new(config.consensus.clone(), stored, Membership::default(), now);
        let own_peer = Peer {
            member: MemberInfo::new(config.instance.clone(), config.address.clone()),
            can_vote: config.votes,
        };
        let bootstrap = Bootstrap::new(
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
            lags: Lags::default(),
            writable: true,
            space_checked_at: Instant::now(),
            config,
        }
    }

    /// Runs until stopped. Fails on a disk error other than a full disk, after which the state of
    /// the files is unknown.
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
            self.lags.observe(&self.node, Self::now());
        }
        Ok(())
    }

    fn now() -> Millis {
        clock::boottime_ms()
    }

    fn step(&mut self, input: consensus::Input) {
        let now = Self::now();
        let outputs = self.node.step(now, input);
        self.outputs.extend(outputs);
    }

    /// Waits for the first input, then receives waiting link events and after them waiting
    /// requests.
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
                    Change::Learner(id, info) => consensus::Input::AddLearner { id, info },
                    Change::Promote(id) => consensus::Input::Promote { id },
                    Change::Remove(id) => consensus::Input::Remove { id },
                });
            }
            Request::Read { request_id } => {
                self.step(consensus::Input::ReadIndex { token: request_id });
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
        // Link numbers increase in the order in which links came up.
        let connected = others.filter_map(|id| Some((id, *self.peers.get(&id)?)));
        let candidates =
            connected.filter_map(|(id, link)| Some((id, self.node.matched(id)?, link)));
        let target = successor(candidates, self.node.last_index());
        if self.node.role() == Role::Leader
            && let Some(to) = target
        {
            tracing::info!(event = "hand_over", %to);
            // The transfer shows as a change of role, so its outcome isn't reported.
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
        self.bootstrap.remove_peer(peer);
        self.queue_report(Report::Down(id));
    }

    fn handle_frame(&mut self, link: u64, frame: Frame) {
        let Some(peer) = self.links.get(&link).map(|l| l.peer.clone()) else {
            return;
        };
        match frame {
            Frame::Consensus(message) => self.receive(Id(peer.id), message),
            Frame::Group(group) => self.handle_group(&peer, group),
            frame => self.queue_report(Report::Frame { link, frame }),
        }
    }

    /// Writes and syncs the outputs that must be durable before the other outputs are executed.
    fn persist(&mut self) -> Result<()> {
        if !self.outputs.iter().any(Output::is_persistence) {
            return Ok(());
        }
        let began = Instant::now();
        self.folder.stage(&self.outputs);
        let synced = self.folder.sync();
        metrics::histogram!("lovageplank_sync_seconds").record(began.elapsed());
        match synced {
            Err(error) if error.is_storage_full() => self.enter_read_only(&error),
            other => other.wrap_err("write the log"),
        }
    }

    /// Handles a full disk: drops the outputs that were not written and restarts the node from the
    /// data folder. The node then follows the leader, but accepts no entries until there is space.
    fn enter_read_only(&mut self, error: &lovageplank_disk::Error) -> Result<()> {
        tracing::error!(event = "disk_full", %error);
        self.outputs.clear();
        self.pending_request_ids.clear();
        let stored = self
            .folder
            .reload()
            .wrap_err("reload the log after the disk was full")?;
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

    /// Accepts entries again once the disk has space.
    fn check_space(&mut self) -> Result<()> {
        if self.writable || self.space_checked_at.elapsed() < SPACE_CHECK_INTERVAL {
            return Ok(());
        }
        self.space_checked_at = Instant::now();
        if self
            .folder
            .ensure_reserve()
            .wrap_err("check for space on the disk")?
        {
            tracing::info!(event = "disk_has_room");
            self.writable = true;
            self.step(consensus::Input::Writable(true));
        }
        Ok(())
    }

    /// Executes the node's outputs that need no write, after the others are durable.
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
                    if role != Role::Leader {
                        self.lags
                            .log_loss_of_office(self.node.membership(), Self::now());
                    }
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
