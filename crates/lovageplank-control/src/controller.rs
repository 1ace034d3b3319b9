//! The thread that holds the replicated state and makes the leader's decisions.
//!
//! It applies committed entries, handles calls and routers' heartbeats, plans replicas, has
//! commands sent to engines, and publishes changes to routers. State that must survive the leader
//! goes through the log. All other state is soft: the next leader rebuilds it from announcements
//! and heartbeats.

mod burn;
mod calls;
mod engines;
mod operators;
mod placing;
mod proposals;
mod publish;
mod routers;
mod serving;
mod voters;

use crate::engine_client::{EngineRequest, EngineResponse};
use crate::http::Submission;
use crate::status::LeaderStatus;
use crate::voter::{Report, Request};
use flume::{Receiver, Sender};
use lovageplank_core::backend::Announcement;
use lovageplank_core::consensus::{
    Entry, Id, Index, Membership, Payload, Role, SNAPSHOT_BYTES_MAX, Snapshot, Term,
};
use lovageplank_core::membership;
use lovageplank_core::placement::{self, Planner};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Version;
use lovageplank_core::state::{Command, Machine};
use lovageplank_core::view::{ReplicaId, ServerLoad};
use lovageplank_process::link::{self, Link};
use lovageplank_wire::{Answer, Frame};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

pub use calls::{HEARTBEAT_MS, SERVER_LEASE_MS};
pub use routers::LEASE_MS;

/// Maximum number of milliseconds that an iteration waits for an input, so that periodic tasks run
/// at least this often.
const TICK_MS: u64 = 10;

/// Maximum number of inputs of one kind, other than the voter's reports, that one iteration
/// receives after its first input. The rest waits for the next iteration.
const MAX_INPUTS_PER_ITERATION: usize = 256;

/// Milliseconds between runs of the planner if a change or waiting requests were reported since the
/// last run.
const PLAN_URGENT_INTERVAL_MS: u64 = 10;

/// Milliseconds between runs of the planner while requests wait for replicas.
const PLAN_WAITING_INTERVAL_MS: u64 = 50;

/// Milliseconds between runs of the planner while no requests wait.
const PLAN_IDLE_INTERVAL_MS: u64 = 500;

/// Milliseconds after a heartbeat with waiting requests during which requests count as waiting.
const WAITING_REPORT_VALID_MS: u64 = 2_000;

/// Milliseconds that a new leader collects announcements before it plans and publishes. Longer than
/// [`HEARTBEAT_MS`], so that every backend server can announce itself first. One that announces
/// itself later is missing from the first view that routers receive.
const ANNOUNCEMENT_WAIT_MS: u64 = 1_300;

/// Identity and channels of the controller.
pub struct Config {
    /// Identity of this process in the control group.
    pub id: Id,
    /// Name of this instance.
    pub instance: Name,
    /// Requests to the voter.
    pub voter: Sender<Request>,
    /// Reports of the voter.
    pub reports: Receiver<Report>,
    /// Events of links to routers.
    pub links: Receiver<link::Event>,
    /// Calls received over HTTP.
    pub calls: Receiver<Submission>,
    /// Requests to the engine client.
    pub engine_requests: Sender<EngineRequest>,
    /// Results from the engine client.
    pub engine_responses: Receiver<EngineResponse>,
    /// Leadership as last published by the voter.
    pub status: Arc<LeaderStatus>,
    /// Seed of the planner's random choices.
    pub seed: u64,
    /// Ends the thread.
    pub stop: CancellationToken,
}

/// Destination of an answer.
#[derive(Debug)]
enum Responder {
    /// An HTTP handler of this process.
    Local(oneshot::Sender<Answer>),
    /// The peer on a link, with the id of its call.
    Link(Link, u64),
}

impl Responder {
    fn send(self, answer: Answer) {
        match self {
            Responder::Local(sender) => drop(sender.send(answer)),
            Responder::Link(link, id) => drop(link.send(Frame::Answer { id, answer })),
        }
    }
}

/// Applies committed entries and, on the leader, decides about replicas, leases and settings.
pub struct Controller {
    config: Config,
    started_at: Instant,
    machine: Machine,
    applied_index: Index,
    /// Whether a snapshot was requested and not yet sent to the voter.
    snapshot_due: bool,
    /// Term of the last applied entry.
    applied_term: Term,
    role: Role,
    term: Term,
    leader: Option<Id>,
    membership: Membership,
    /// When this process started to lead: it is the leader and has applied an entry of its own
    /// term. `None` while it doesn't lead.
    leading_since: Option<Millis>,
    proposals: proposals::Proposals,
    /// Links to other control processes.
    control_links: BTreeMap<u64, Link>,
    forwarded: calls::Forwarded,
    waiting_calls: operators::Waiting,
    routers: routers::Routers,
    publisher: publish::Publisher,
    published_at: Millis,
    /// The newest version of the settings tree that this leader published, and when.
    published_tree: Option<(Version, Millis)>,
    servers: membership::Table,
    announcements: BTreeMap<Name, Announcement>,
    server_loads: BTreeMap<Name, ServerLoad>,
    engine_tracker: engines::Tracker,
    planner: Planner,
    planned_at: Millis,
    plan_urgent: bool,
    /// When a router last reported waiting requests.
    waiting_reported_at: Millis,
    /// When models without a ready replica are expected to have one, by the last run of the
    /// planner.
    forecasts: BTreeMap<Name, publish::Forecast>,
    /// Whether the view for routers may have changed since it was last published.
    view_changed: bool,
    drains: BTreeMap<ReplicaId, placing::Drain>,
    /// Instances that operators drain and whose routers have not yet reported that they leave.
    drained_instances: BTreeSet<Name>,
    burn_rates: burn::BurnRates,
    /// Learners to be promoted to voters, with the time of the last attempt.
    promotion_attempts: BTreeMap<Id, Millis>,
}

impl Controller {
    /// A controller with an empty state machine, which the voter's first report restores.
    pub fn new(config: Config) -> Controller {
        let servers = membership::Config::default().lease_ms(SERVER_LEASE_MS);
        Controller {
            started_at: Instant::now(),
            machine: Machine::default(),
            applied_index: Index::default(),
            snapshot_due: false,
            applied_term: Term::default(),
            role: Role::Learner,
            term: Term::default(),
            leader: None,
            membership: Membership::default(),
            leading_since: None,
            proposals: proposals::Proposals::default(),
            control_links: BTreeMap::new(),
            forwarded: calls::Forwarded::default(),
            waiting_calls: operators::Waiting::default(),
            routers: routers::Routers::default(),
            publisher: publish::Publisher::default(),
            published_at: 0,
            published_tree: None,
            servers: membership::Table::new(servers),
            announcements: BTreeMap::new(),
            server_loads: BTreeMap::new(),
            engine_tracker: engines::Tracker::default(),
            planner: Planner::new(placement::Config::new().seed(config.seed)),
            planned_at: 0,
            plan_urgent: false,
            waiting_reported_at: 0,
            forecasts: BTreeMap::new(),
            view_changed: false,
            drains: BTreeMap::new(),
            drained_instances: BTreeSet::new(),
            burn_rates: burn::BurnRates::default(),
            promotion_attempts: BTreeMap::new(),
            config,
        }
    }

    /// Runs until stopped.
    pub fn run(mut self) {
        while !self.config.stop.is_cancelled() {
            self.receive_inputs();
            self.resume_operator_calls();
            self.forwarded.expire(self.now());
            if self.leading_since.is_some() {
                self.run_leader_tasks();
            }
        }
    }

    fn now(&self) -> Millis {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Wall-clock time in Unix milliseconds.
    fn wall_ms() -> u64 {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }

    /// Waits for the first input, then receives those that are waiting, the voter's reports first.
    fn receive_inputs(&mut self) {
        self.wait_for_input();
        while let Ok(report) = self.config.reports.try_recv() {
            self.handle_voter_report(report);
        }
        for _ in 0..MAX_INPUTS_PER_ITERATION {
            let Ok(response) = self.config.engine_responses.try_recv() else {
                break;
            };
            self.handle_engine_response(response);
        }
        for _ in 0..MAX_INPUTS_PER_ITERATION {
            let Ok(event) = self.config.links.try_recv() else {
                break;
            };
            self.handle_router_event(event);
        }
        for _ in 0..MAX_INPUTS_PER_ITERATION {
            let Ok(submission) = self.config.calls.try_recv() else {
                break;
            };
            self.handle_call(submission.call, Responder::Local(submission.answer_sender));
        }
    }

    /// Handles one input, or none if none arrives within [`TICK_MS`].
    fn wait_for_input(&mut self) {
        enum Wake {
            Report(Report),
            EngineResponse(EngineResponse),
            Link(link::Event),
            Call(Submission),
            Nothing,
        }
        let wake = flume::Selector::new()
            .recv(&self.config.reports, |r| {
                r.map_or(Wake::Nothing, Wake::Report)
            })
            .recv(&self.config.engine_responses, |r| {
                r.map_or(Wake::Nothing, Wake::EngineResponse)
            })
            .recv(&self.config.links, |r| r.map_or(Wake::Nothing, Wake::Link))
            .recv(&self.config.calls, |r| r.map_or(Wake::Nothing, Wake::Call))
            .wait_timeout(Duration::from_millis(TICK_MS))
            .unwrap_or(Wake::Nothing);
        match wake {
            Wake::Report(report) => self.handle_voter_report(report),
            Wake::EngineResponse(response) => self.handle_engine_response(response),
            Wake::Link(event) => self.handle_router_event(event),
            Wake::Call(s) => self.handle_call(s.call, Responder::Local(s.answer_sender)),
            Wake::Nothing => {}
        }
    }

    fn handle_voter_report(&mut self, report: Report) {
        match report {
            Report::Apply(entry) => self.apply(&entry),
            Report::Restore(snapshot) => self.restore(snapshot),
            Report::SnapshotDue => self.send_snapshot(),
            Report::Outcome {
                request_id,
                position,
            } => self.handle_proposal_outcome(request_id, position),
            // This controller requests no reads: operators' reads rely on the leader's quorum
            // contact.
            Report::Read { .. } => {}
            Report::Role { role, term, leader } => self.handle_role_change(role, term, leader),
            Report::Members(membership) => self.handle_membership(membership),
            Report::Up(link) => drop(self.control_links.insert(link.id, link)),
            Report::Down(link) => self.handle_control_disconnect(link),
            Report::Frame { link, frame } => self.handle_control_frame(link, frame),
        }
    }

    fn handle_membership(&mut self, membership: Membership) {
        self.membership = membership;
        if self.leading_since.is_some() {
            self.routers.announce_leader(self.term.0, &self.membership);
        }
    }

    fn apply(&mut self, entry: &Entry) {
        self.applied_index = entry.index;
        let reply = match &entry.payload {
            Payload::Data(data) => self.apply_command(entry.index, data),
            Payload::Noop | Payload::Voters(_) => None,
        };
        self.resolve_proposal(entry.index, entry.term, reply);
        self.applied_term = entry.term;
        if self.snapshot_due {
            self.send_snapshot();
        }
        self.view_changed = true;
        self.start_leading_if_ready();
    }

    fn apply_command(
        &mut self,
        index: Index,
        data: &[u8],
    ) -> Option<lovageplank_core::state::Reply> {
        match Command::decode(data) {
            Ok(command) => Some(self.machine.apply(index.0, &command)),
            Err(error) => {
                // Every control process skips this entry, so their states stay equal.
                tracing::error!(event = "entry_skipped", index = index.0, %error);
                None
            }
        }
    }

    fn restore(&mut self, snapshot: Option<Snapshot>) {
        self.abandon_proposals();
        let (index, data) = match snapshot {
            Some(snapshot) => (snapshot.index, snapshot.data),
            None => (Index::default(), Arc::from([])),
        };
        self.applied_index = index;
        if data.is_empty() {
            self.machine = Machine::default();
            return;
        }
        match Machine::decode(&data) {
            Ok(machine) => self.machine = machine,
            Err(error) => {
                tracing::error!(event = "snapshot_unreadable", index = index.0, %error);
                self.config.stop.cancel();
            }
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "a snapshot has far less than 2^52 bytes"
    )]
    fn send_snapshot(&mut self) {
        let data: Arc<[u8]> = Arc::from(self.machine.encode());
        metrics::gauge!("lovageplank_snapshot_bytes").set(data.len() as f64);
        if data.len() > SNAPSHOT_BYTES_MAX {
            tracing::error!(
                event = "snapshot_too_large",
                bytes = data.len(),
                limit = SNAPSHOT_BYTES_MAX
            );
        }
        let request = Request::Snapshot {
            index: self.applied_index,
            data,
        };
        // If the channel is full, the snapshot is sent after the next applied entry.
        self.snapshot_due = self.config.voter.try_send(request).is_err();
    }

    fn handle_role_change(&mut self, role: Role, term: Term, leader: Option<Id>) {
        self.role = role;
        self.leader = leader;
        if role != Role::Leader || term != self.term {
            self.stop_leading();
        }
        self.term = term;
        self.start_leading_if_ready();
    }

    /// Starts leading once both the election and the first entry of the term are known, which may
    /// be reported in either order.
    fn start_leading_if_ready(&mut self) {
        let current = self.role == Role::Leader && self.applied_term == self.term;
        if current && self.leading_since.is_none() {
            self.start_leading();
        }
    }

    /// Starts leading with empty soft state. With the first entry of its own term, this process has
    /// applied all entries that former leaders committed.
    fn start_leading(&mut self) {
        let now = self.now();
        tracing::info!(
            event = "leads",
            term = self.term.0,
            applied = self.applied_index.0
        );
        self.leading_since = Some(now);
        self.publisher = publish::Publisher::default();
        self.published_tree = None;
        self.drains.clear();
        self.announcements.clear();
        self.server_loads.clear();
        self.engine_tracker = engines::Tracker::default();
        self.burn_rates = burn::BurnRates::default();
        self.planner = Planner::new(placement::Config::new().seed(self.config.seed));
        let config = membership::Config::default().lease_ms(SERVER_LEASE_MS);
        self.servers = membership::Table::new(config);
        self.grant_engine_leases(now);
        self.routers.reset_streams(self.term.0);
        self.routers.announce_leader(self.term.0, &self.membership);
    }

    fn stop_leading(&mut self) {
        if self.leading_since.take().is_some() {
            tracing::warn!(event = "leads_no_more", term = self.term.0);
        }
        self.promotion_attempts.clear();
        self.routers.reset_streams(self.term.0);
    }

    /// Runs the periodic tasks of a leader.
    fn run_leader_tasks(&mut self) {
        let now = self.now();
        self.expire_servers(now);
        self.routers.expire(now);
        self.abandon_claims(now);
        self.resend_and_poll(now);
        if now >= self.plan_due(now) {
            self.plan(now);
        }
        self.unload_drained_replicas(now);
        self.publish(now);
        self.promote_learners(now);
        self.check_burn_alerts(now);
    }

    /// When the planner should run next: the interval is shortest if a change is reported, longer
    /// while requests wait, and longest otherwise.
    fn plan_due(&self, now: Millis) -> Millis {
        let interval = if self.plan_urgent {
            PLAN_URGENT_INTERVAL_MS
        } else if now < self.waiting_reported_at + WAITING_REPORT_VALID_MS {
            PLAN_WAITING_INTERVAL_MS
        } else {
            PLAN_IDLE_INTERVAL_MS
        };
        self.planned_at + interval
    }

    /// Whether this process has led for [`ANNOUNCEMENT_WAIT_MS`].
    fn announcements_collected(&self, now: Millis) -> bool {
        self.leading_since
            .is_some_and(|since| now >= since + ANNOUNCEMENT_WAIT_MS)
    }
}
