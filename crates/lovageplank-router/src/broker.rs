//! The thread that owns the decisions, and the channel that feeds it.
//!
//! The channel is bounded. Arrivals may fill half of it and are refused at once beyond that; the
//! other half is kept for what requests in progress have to tell, of which there is a bounded
//! number, so that an overload of arrivals can't hold up their ends.

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

/// Inputs that may wait.
const INPUT_QUEUE_MAX: usize = 32_768;
/// Inputs beyond which arrivals are refused.
const ARRIVALS_MAX: usize = INPUT_QUEUE_MAX / 2;
/// Milliseconds between heartbeats.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Milliseconds between heartbeats at the least, however urgent.
const HEARTBEAT_MIN_INTERVAL_MS: u64 = 5;
/// Heartbeats whose sending time is remembered.
const SENT_HEARTBEATS_MAX: usize = 64;
/// Inputs that are handled between two looks at the timers.
const INPUT_BATCH_MAX: usize = 256;

/// What the decision thread is told or asked.
pub enum Input {
    /// A request arrived.
    Arrive(Arrival, oneshot::Sender<Verdict>),
    /// An attempt ended; a failed one gets a further verdict.
    AttemptEnded {
        /// The request.
        id: u64,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
        /// Takes the next verdict; none when no further one is due.
        reply: Option<oneshot::Sender<Verdict>>,
    },
    /// A request's caller went.
    Cancel(u64),
    /// The control group told what changed.
    Update(Update),
    /// The control group renewed the lease.
    Lease {
        /// The heartbeat that is answered.
        heartbeat: u64,
        /// Milliseconds from its sending.
        lease_ms: u64,
    },
    /// The link to the leader is new: tell it at once.
    Connected,
    /// The leader told how far it has merged this router's counts.
    Merged(Ack),
    /// A backend server reported its load.
    Report(ServerReport),
    /// A backend server said that it leaves.
    ServerLeaving {
        /// Its name.
        server: Name,
        /// Its incarnation.
        incarnation: u64,
    },
    /// Ask callers to leave from now on.
    Leave,
    /// Asks for instances: model or service, failure domain.
    Entries(
        Name,
        Option<Name>,
        oneshot::Sender<(Vec<Instance>, Version)>,
    ),
    /// Asks for the models.
    Models(oneshot::Sender<Vec<Model>>),
    /// Asks how the router stands.
    Status(oneshot::Sender<Status>),
    /// End the thread.
    Stop,
}

/// How the router stands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Whether callers may be sent here.
    pub ready: bool,
    /// Version of the settings tree in force here.
    pub version: Version,
    /// Requests in progress.
    pub in_progress: usize,
    /// Bytes that the largest allowed body may have.
    pub body_limit: u64,
}

/// Feeds the decision thread.
#[derive(Clone)]
pub struct Broker {
    inputs: Sender<Input>,
}

impl Broker {
    /// Makes the channel; [`spawn`] starts the thread that reads it.
    pub fn channel() -> (Broker, Receiver<Input>) {
        let (inputs, receiver) = flume::bounded(INPUT_QUEUE_MAX);
        (Broker { inputs }, receiver)
    }

    /// The channel, for those who tell what the control group says.
    pub fn inputs(&self) -> Sender<Input> {
        self.inputs.clone()
    }

    /// Asks what is to become of a request.
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

    /// Tells that an attempt failed and asks what is to be done next.
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

    /// Tells that a request has its answer.
    pub fn answered(&self, id: u64, attempt: u32, first_byte_ms: u64) {
        let result = AttemptResult::Answered { first_byte_ms };
        self.notify(Input::AttemptEnded {
            id,
            attempt,
            result,
            reply: None,
        });
    }

    /// Tells something that asks for no answer.
    ///
    /// The channel has room for all that requests in progress can tell; an input is lost only
    /// when the thread has ended.
    pub fn notify(&self, input: Input) {
        if self.inputs.try_send(input).is_err() {
            metrics::counter!("lovageplank_router_inputs_lost_total").increment(1);
        }
    }

    /// Instances for a model or service, best first, with the version of the tree.
    pub async fn entries(&self, key: Name, domain: Option<Name>) -> (Vec<Instance>, Version) {
        let (reply, answer) = oneshot::channel();
        self.notify(Input::Entries(key, domain, reply));
        answer.await.unwrap_or_default()
    }

    /// The models that the tree allows.
    pub async fn models(&self) -> Vec<Model> {
        let (reply, answer) = oneshot::channel();
        self.notify(Input::Models(reply));
        answer.await.unwrap_or_default()
    }

    /// How the router stands.
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

/// The thread ends only when all work is done or the process must stop at once.
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
    /// Where verdicts go; a request has at most one open reply.
    replies: HashMap<u64, oneshot::Sender<Verdict>>,
    /// Number of the last heartbeat.
    sequence: u64,
    /// When the last heartbeats were sent.
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

    /// Handles what has come; returns false when the thread is to end.
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
                // A reply that is dropped here tells the asker that nothing more will come.
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
                // The leader waits for acknowledgements of changes.
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
                self.answer_query(now, input)
            }
            Input::Stop => {}
        }
    }

    /// Answers a question; an asker that went is no loss.
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

    /// Hands out verdicts; one whose asker went is dropped, and its `Gone` follows.
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
