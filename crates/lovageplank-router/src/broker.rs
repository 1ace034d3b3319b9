//! The decision thread, which owns [`State`], and its input channel.
//!
//! The channel is bounded. Arrivals may fill half of it and are refused at once beyond that. The
//! other half is reserved for inputs of requests in progress, whose number is bounded, so that an
//! overload of arrivals can't delay the ends of attempts.

use crate::clock::Clock;
use crate::control::Control;
use crate::decision::{Arrival, AttemptResult, Identity, Model, State, Verdict};
use crate::objectives::Objectives;
use crate::refusal::{Code, Refusal};
use flume::{Receiver, RecvTimeoutError, Sender};
use lovageplank_core::backend::ServerReport;
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Version;
use lovageplank_core::slo::Ack;
use lovageplank_core::view::{Instance, Update};
use std::collections::HashMap;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::oneshot;

/// Inputs that may wait for the decision thread. Beyond it, inputs are dropped and counted as
/// lost.
const INPUT_QUEUE_MAX: usize = 32_768;
/// Waiting inputs from which arrivals are refused.
const ARRIVALS_MAX: usize = INPUT_QUEUE_MAX / 2;
/// Milliseconds between heartbeats.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Minimum milliseconds from one heartbeat to a requested one.
const HEARTBEAT_MIN_INTERVAL_MS: u64 = 5;
/// Heartbeats whose sending time is kept. The answer to an older one doesn't extend the lease.
const SENT_HEARTBEATS_MAX: usize = 64;
/// Inputs that are handled before the timers are checked again.
const INPUT_BATCH_MAX: usize = 256;

/// An event or query for the decision thread.
pub enum Input {
    /// A request arrived.
    Arrive(Arrival, oneshot::Sender<Verdict>),
    /// An attempt ended; a failed one is followed by another verdict.
    AttemptEnded {
        /// Id of the request.
        id: u64,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
        /// Receives the next verdict; `None` if no other verdict follows.
        reply: Option<oneshot::Sender<Verdict>>,
    },
    /// A request's caller disconnected, or its call was given up.
    Cancel(u64),
    /// An update of the view.
    Update(Update),
    /// The leader renewed the lease.
    Lease {
        /// Sequence number of the heartbeat that is answered.
        heartbeat: u64,
        /// Milliseconds from the sending of that heartbeat to the end of the lease.
        lease_ms: u64,
    },
    /// A new link to a control process is up; a heartbeat is due at once.
    Connected,
    /// The leader's acknowledgement of this router's counts of finished requests.
    Merged(Ack),
    /// A backend server's load report.
    Report(ServerReport),
    /// A backend server announced that it leaves.
    ServerLeaving {
        /// Its name.
        server: Name,
        /// Its incarnation.
        incarnation: u64,
    },
    /// Start to leave: direct callers to other instances.
    Leave,
    /// Query for instances: model or service, failure domain.
    Entries(
        Name,
        Option<Name>,
        oneshot::Sender<(Vec<Instance>, Version)>,
    ),
    /// Query for the models.
    Models(oneshot::Sender<Vec<Model>>),
    /// Query for the router's status.
    Status(oneshot::Sender<Status>),
    /// Ends the thread.
    Stop,
}

/// Status of the router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Whether callers may use this instance.
    pub ready: bool,
    /// Version of the settings tree in force at this router.
    pub version: Version,
    /// Number of requests in progress.
    pub in_progress: usize,
    /// Largest body that any service allows, in bytes.
    pub body_limit: u64,
}

/// Handle to the decision thread.
#[derive(Clone)]
pub struct Broker {
    inputs: Sender<Input>,
}

impl Broker {
    /// Creates the channel; [`spawn`] starts the thread that reads it.
    pub fn channel() -> (Broker, Receiver<Input>) {
        let (inputs, receiver) = flume::bounded(INPUT_QUEUE_MAX);
        (Broker { inputs }, receiver)
    }

    /// Sender for inputs of the control group.
    pub fn inputs(&self) -> Sender<Input> {
        self.inputs.clone()
    }

    /// Submits a request and returns the first verdict on it.
    pub async fn submit(&self, arrival: Arrival) -> Verdict {
        if self.inputs.len() >= ARRIVALS_MAX {
            return Verdict::Refuse(overloaded_refusal());
        }
        let (reply, verdict) = oneshot::channel();
        if self.inputs.try_send(Input::Arrive(arrival, reply)).is_err() {
            return Verdict::Refuse(overloaded_refusal());
        }
        verdict.await.unwrap_or_else(|_| stopped_verdict())
    }

    /// Reports that an attempt failed and returns the next verdict.
    pub async fn failed(&self, id: u64, attempt: u32, result: AttemptResult) -> Verdict {
        let (reply, verdict) = oneshot::channel();
        self.notify(Input::AttemptEnded {
            id,
            attempt,
            result,
            reply: Some(reply),
        });
        verdict.await.unwrap_or_else(|_| stopped_verdict())
    }

    /// Reports that an attempt gave a complete answer.
    pub fn answered(&self, id: u64, attempt: u32, first_byte_ms: u64) {
        let result = AttemptResult::Answered { first_byte_ms };
        self.notify(Input::AttemptEnded {
            id,
            attempt,
            result,
            reply: None,
        });
    }

    /// Sends an input that needs no reply.
    ///
    /// The channel has space for all inputs of requests in progress; an input is lost only if the
    /// thread has ended.
    pub fn notify(&self, input: Input) {
        if self.inputs.try_send(input).is_err() {
            metrics::counter!("lovageplank_router_inputs_lost_total").increment(1);
        }
    }

    /// Instances for a model or service, best first, and the version of the settings tree.
    pub async fn entries(&self, key: Name, domain: Option<Name>) -> (Vec<Instance>, Version) {
        let (reply, answer) = oneshot::channel();
        self.notify(Input::Entries(key, domain, reply));
        answer.await.unwrap_or_default()
    }

    /// Models and adapters of the settings tree.
    pub async fn models(&self) -> Vec<Model> {
        let (reply, answer) = oneshot::channel();
        self.notify(Input::Models(reply));
        answer.await.unwrap_or_default()
    }

    /// Status of the router.
    pub async fn status(&self) -> Result<Status, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.notify(Input::Status(reply));
        answer.await.map_err(|_| overloaded_refusal())
    }
}

fn overloaded_refusal() -> Refusal {
    let message = "this instance has more to decide than it can; try another";
    Refusal::new(Code::Overloaded, message).retry_after_ms(1_000)
}

/// The verdict for a request whose decision thread has ended. The thread ends only when all work
/// is done or the process stops at once.
fn stopped_verdict() -> Verdict {
    Verdict::Refuse(Refusal::new(
        Code::OutcomeUnknown,
        "this instance has stopped",
    ))
}

/// Starts the decision thread.
pub fn spawn(
    identity: Identity,
    seed: u64,
    clock: Clock,
    inputs: Receiver<Input>,
    control: Arc<dyn Control>,
    objectives: Objectives,
) -> std::io::Result<JoinHandle<()>> {
    let thread = DecisionThread {
        state: State::new(identity, seed),
        clock,
        inputs,
        control,
        objectives,
        replies: HashMap::new(),
        sequence: 0,
        heartbeats_sent: BTreeMap::new(),
        next_heartbeat: 0,
        last_heartbeat: 0,
    };
    std::thread::Builder::new()
        .name("decisions".into())
        .spawn(move || thread.run())
}

struct DecisionThread {
    state: State,
    clock: Clock,
    inputs: Receiver<Input>,
    control: Arc<dyn Control>,
    objectives: Objectives,
    /// Recipients of verdicts, by request id; a request has at most one.
    replies: HashMap<u64, oneshot::Sender<Verdict>>,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// When the last heartbeats were sent, by sequence number.
    heartbeats_sent: BTreeMap<u64, Millis>,
    /// When the next heartbeat is due.
    next_heartbeat: Millis,
    last_heartbeat: Millis,
}

impl DecisionThread {
    fn run(mut self) {
        loop {
            let now = self.clock.now();
            let due = self
                .state
                .next_tick()
                .map_or(self.next_heartbeat, |at| at.min(self.next_heartbeat));
            let wait = Duration::from_millis(due.saturating_sub(now));
            match self.inputs.recv_timeout(wait) {
                Ok(input) => {
                    if !self.handle_batch(input) {
                        return;
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.tick();
        }
    }

    /// Handles `first` and the inputs that wait; returns false if the thread must end.
    fn handle_batch(&mut self, first: Input) -> bool {
        let mut next = Some(first);
        for _ in 0..INPUT_BATCH_MAX {
            let Some(input) = next.take().or_else(|| self.inputs.try_recv().ok()) else {
                break;
            };
            if matches!(input, Input::Stop) {
                return false;
            }
            self.handle(input);
            self.send_verdicts();
        }
        true
    }

    fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Arrive(arrival, reply) => {
                self.replies.insert(arrival.id, reply);
                self.state.arrive(now, arrival);
            }
            Input::AttemptEnded {
                id,
                attempt,
                result,
                reply,
            } => {
                // If the attempt isn't in progress, the reply is dropped, which ends the wait for a
                // verdict.
                if self.state.attempt_ended(now, id, attempt, result)
                    && let Some(reply) = reply
                {
                    self.replies.insert(id, reply);
                }
            }
            Input::Cancel(id) => {
                self.replies.remove(&id);
                self.state.cancel(now, id);
            }
            Input::Update(update) => {
                if !self.state.apply(now, &update) {
                    self.control.resync();
                }
                // The leader waits for the acknowledgement of the update.
                self.next_heartbeat = now;
            }
            Input::Lease {
                heartbeat,
                lease_ms,
            } => {
                if let Some(sent_at) = self.heartbeats_sent.get(&heartbeat) {
                    self.state.extend_lease(sent_at + lease_ms);
                }
            }
            Input::Connected => self.next_heartbeat = now,
            Input::Merged(ack) => self.objectives.acknowledge(ack),
            Input::Report(report) => self.state.apply_report(now, &report),
            Input::ServerLeaving {
                server,
                incarnation,
            } => self.state.mark_server_leaving(&server, incarnation),
            Input::Leave => self.state.start_leaving(),
            Input::Entries(..) | Input::Models(_) | Input::Status(_) => {
                self.answer_query(now, input);
            }
            Input::Stop => {}
        }
    }

    /// Answers a query; an answer that nobody waits for is dropped.
    fn answer_query(&self, now: Millis, query: Input) {
        match query {
            Input::Entries(key, domain, reply) => {
                let entries = self.state.entries(&key, domain.as_deref());
                let _ = reply.send((entries, self.state.version()));
            }
            Input::Models(reply) => {
                let _ = reply.send(self.state.models());
            }
            Input::Status(reply) => {
                let status = Status {
                    ready: self.state.ready(now),
                    version: self.state.version(),
                    in_progress: self.state.in_progress(),
                    body_limit: self.state.body_limit(),
                };
                let _ = reply.send(status);
            }
            _ => {}
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if self.state.next_tick().is_some_and(|at| at <= now) {
            self.state.tick(now);
            self.send_verdicts();
        }
        self.objectives
            .process(now, self.state.tree(), &*self.control);
        if self.state.take_heartbeat_request() {
            self.next_heartbeat = self
                .next_heartbeat
                .min(now.max(self.last_heartbeat + HEARTBEAT_MIN_INTERVAL_MS));
        }
        if now >= self.next_heartbeat {
            self.send_heartbeat(now);
        }
    }

    fn send_heartbeat(&mut self, now: Millis) {
        self.sequence += 1;
        self.heartbeats_sent.insert(self.sequence, now);
        if self.heartbeats_sent.len() > SENT_HEARTBEATS_MAX {
            self.heartbeats_sent.pop_first();
        }
        self.control
            .heartbeat(self.state.heartbeat(now, self.sequence));
        self.last_heartbeat = now;
        self.next_heartbeat = now + HEARTBEAT_INTERVAL_MS;
        gauge("lovageplank_requests_in_progress", self.state.in_progress());
        gauge("lovageplank_requests_waiting", self.state.queued());
        gauge("lovageplank_inputs_waiting", self.inputs.len());
    }

    /// Sends verdicts to their calls. A verdict whose call has ended is dropped; that call sends
    /// [`Input::Cancel`].
    fn send_verdicts(&mut self) {
        for (id, verdict) in self.state.take_verdicts() {
            if let Some(reply) = self.replies.remove(&id) {
                let _ = reply.send(verdict);
            }
        }
    }
}

#[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
fn gauge(name: &'static str, value: usize) {
    metrics::gauge!(name).set(value as f64);
}
