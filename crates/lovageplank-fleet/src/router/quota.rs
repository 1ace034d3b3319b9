//! Charges requests to the quotas of their tenants.

use super::Shared;
use super::call::History;
use super::refusal::{Cause, Refusal};
use super::request::Call;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::quota::{
    self as core, ANSWER_TIMEOUT_MS, Answer, Decision, Outcome, Pool, Share,
};
use lovageplank_core::fleet::request::Work;
use lovageplank_core::fleet::tenant::Unit;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Milliseconds after which a message for a request that waits may be repeated.
const REPEAT_CHECK_MS: u64 = 100;
/// Milliseconds after which a caller may come back if the leader doesn't answer; as many more are drawn.
const UNKNOWN_RETRY_AFTER_MS: u64 = 750;

/// What this router may charge, and the requests that wait for the leader's answer.
pub(crate) struct Quotas {
    share: Share,
    /// By their number in `share`.
    waiting: BTreeMap<u64, oneshot::Sender<Result<Charge, Refused>>>,
}

impl Quotas {
    /// Nothing, at the start of a process. `session` is a random number.
    pub(super) fn new(session: u64) -> Quotas {
        Quotas {
            share: Share::new(session),
            waiting: BTreeMap::new(),
        }
    }

    /// The message for the leader that is due, if there is one.
    pub(super) fn take_ask(&mut self, now: Millis) -> Option<Message> {
        let ask = self.share.take_ask(now)?;
        metrics::counter!("lovageplank_entry_quota_asks_total").increment(1);
        Some(Message::QuotaAsk(ask))
    }
}

/// Why a request isn't charged.
#[derive(Clone, Copy, Debug)]
enum Refused {
    /// The quota is used up; milliseconds until more is free.
    OverQuota(u64),
    /// The leader doesn't answer.
    Unknown,
}

/// What was charged for a request. It is given back when this value is dropped, unless the request was sent.
pub(super) struct Charge {
    shared: Arc<Shared>,
    charged: core::Charge,
    is_settled: AtomicBool,
}

impl Charge {
    fn new(shared: &Arc<Shared>, charged: core::Charge) -> Charge {
        Charge {
            shared: shared.clone(),
            charged,
            is_settled: AtomicBool::new(false),
        }
    }

    fn settle(&self) {
        if !self.is_settled.swap(true, Ordering::Relaxed) {
            let mut state = self.shared.state();
            let now = clock::boottime_ms();
            state.quotas.share.settle(now, &self.charged);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !*self.is_settled.get_mut() {
            let mut state = self.shared.state();
            let now = clock::boottime_ms();
            state.quotas.share.give_back(now, &self.charged);
        }
    }
}

/// Records that a request is sent: what was charged for it isn't given back.
pub(super) fn settle(history: &History) {
    if let Some(charge) = &history.charge {
        charge.settle();
    }
}

/// Charges a request to the quota of its tenant, if that has one. Another router that passed it on has charged it.
pub(super) async fn charge(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
) -> Result<Option<Arc<Charge>>, Refusal> {
    let Some((pool, amount)) = price(shared, call) else {
        return Ok(None);
    };
    let charged = match decide(shared, &pool, amount) {
        Begun::Decided(decided) => decided,
        Begun::Waits(waiting, receiver) => wait(waiting, receiver, call.deadline).await,
    };
    match charged {
        Ok(charge) => Ok(Some(Arc::new(charge))),
        Err(Refused::OverQuota(again_ms)) => {
            tracing::info!(event = "quota_refused", id = %call.id, tenant = %pool.tenant, tokens = amount, again_ms);
            Err((Cause::OverQuota, Some(again_ms)))
        }
        Err(Refused::Unknown) => {
            let again_ms = UNKNOWN_RETRY_AFTER_MS + rand::random_range(0..=UNKNOWN_RETRY_AFTER_MS);
            tracing::info!(event = "quota_unknown", id = %call.id, tenant = %pool.tenant, tokens = amount, again_ms);
            Err((Cause::QuotaUnknown, Some(again_ms)))
        }
    }
}

/// What a request is charged to, and how much; `None` if it isn't charged.
fn price(shared: &Shared, call: &Call) -> Option<(Pool, u64)> {
    if call.is_relayed {
        return None;
    }
    shared.config.quota.as_ref()?;
    let tenant = call.spec.tenant.as_ref()?;
    let quota = tenant.quota.as_ref().filter(|q| q.rate_per_s > 0)?;
    let amount = match quota.unit {
        Unit::Requests => 1,
        Unit::Tokens => call.spec.work.map_or(quota.plain_tokens, Work::tokens),
    };
    let pool = Pool {
        tenant: tenant.name.clone(),
        unit: quota.unit,
    };
    Some((pool, amount))
}

/// How far the charge of a request has come.
enum Begun {
    Decided(Result<Charge, Refused>),
    Waits(Waiting, oneshot::Receiver<Result<Charge, Refused>>),
}

fn decide(shared: &Arc<Shared>, pool: &Pool, amount: u64) -> Begun {
    let now = clock::boottime_ms();
    let mut state = shared.state();
    let quotas = &mut state.quotas;
    let decision = quotas.share.charge(now, pool, amount);
    if quotas.share.has_ask(now) {
        shared.leader_messages.notify_one();
    }
    match decision {
        Decision::Charged(charge) => Begun::Decided(Ok(Charge::new(shared, charge))),
        Decision::Refused { again_ms } => Begun::Decided(Err(Refused::OverQuota(again_ms))),
        Decision::Wait(number) => {
            let (sender, receiver) = oneshot::channel();
            quotas.waiting.insert(number, sender);
            let waiting = Waiting {
                shared: shared.clone(),
                pool: pool.clone(),
                number,
                since: now,
            };
            Begun::Waits(waiting, receiver)
        }
    }
}

/// Waits for the leader's answer, at most until the request's deadline.
async fn wait(
    waiting: Waiting,
    mut receiver: oneshot::Receiver<Result<Charge, Refused>>,
    deadline: Millis,
) -> Result<Charge, Refused> {
    let until = deadline.min(waiting.since + ANSWER_TIMEOUT_MS);
    loop {
        let left_ms = until.saturating_sub(clock::boottime_ms());
        let interval = Duration::from_millis(left_ms.min(REPEAT_CHECK_MS));
        if let Ok(answered) = timeout(interval, &mut receiver).await {
            return answered.unwrap_or(Err(Refused::Unknown));
        }
        if clock::boottime_ms() >= until {
            return Err(Refused::Unknown);
        }
        waiting.shared.leader_messages.notify_one();
    }
}

/// A request that waits until this value is dropped.
struct Waiting {
    shared: Arc<Shared>,
    pool: Pool,
    number: u64,
    since: Millis,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let waited_ms = clock::boottime_ms().saturating_sub(self.since);
        metrics::histogram!("lovageplank_entry_quota_waits_seconds")
            .record(Duration::from_millis(waited_ms));
        let mut state = self.shared.state();
        state.quotas.waiting.remove(&self.number);
        state.quotas.share.leave(&self.pool, self.number);
    }
}

/// Passes the leader's answer on to the requests that wait. What is charged for one that is gone is given back.
pub(super) fn answered(shared: &Arc<Shared>, answer: &Answer) {
    let now = clock::boottime_ms();
    let mut state = shared.state();
    let outcomes = state.quotas.share.answered(now, answer);
    pass_on(shared, state, outcomes);
}

/// Reports what was charged since, if that is due.
pub(super) fn refresh(shared: &Arc<Shared>) {
    let now = clock::boottime_ms();
    let mut state = shared.state();
    let outcomes = state.quotas.share.expire(now);
    pass_on(shared, state, outcomes);
}

/// Tells a new leader what this router holds.
pub(super) fn leader_changed(shared: &Shared) {
    shared.state().quotas.share.leader_changed();
    shared.leader_messages.notify_one();
}

fn pass_on(
    shared: &Arc<Shared>,
    mut state: std::sync::MutexGuard<'_, super::State>,
    outcomes: Vec<(u64, Outcome)>,
) {
    let quotas = &mut state.quotas;
    let waiting: Vec<_> = outcomes
        .into_iter()
        .map(|(number, outcome)| (quotas.waiting.remove(&number), outcome))
        .collect();
    if quotas.share.has_ask(clock::boottime_ms()) {
        shared.leader_messages.notify_one();
    }
    // A charge that is dropped locks the state.
    drop(state);
    for (sender, outcome) in waiting {
        let charged = match outcome {
            Outcome::Charged(charge) => Ok(Charge::new(shared, charge)),
            Outcome::Refused { again_ms } => Err(Refused::OverQuota(again_ms)),
            Outcome::Unknown => Err(Refused::Unknown),
        };
        if let Some(sender) = sender {
            // A charge that can't be sent is dropped.
            let _ = sender.send(charged);
        }
    }
}
