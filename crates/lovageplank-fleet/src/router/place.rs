//! Places for requests at brittle servers.

use super::Shared;
use super::call::History;
use super::refusal::{Cause, Refusal};
use super::request::Call;
use lovageplank_core::fleet::dispatch::Target;
use lovageplank_core::fleet::place::Answer;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Longest time in milliseconds for which a request waits for a place, beside that of the messages.
const WAIT_MAX_MS: u64 = 250;
/// The time until a request's latency objective divided by this bounds the wait, too.
const OBJECTIVE_DIVISOR: u64 = 2;
/// Milliseconds for the question and the answer.
const RESPONSE_TIMEOUT_MS: u64 = 100;
/// Milliseconds after which a caller may come back if no leader gives places; as many more are drawn.
const NO_LEADER_RETRY_AFTER_MS: u64 = 750;

/// A place that the request it is for hasn't used yet. It is given back when this value is dropped.
pub(crate) struct Reservation {
    shared: Arc<Shared>,
    server: Name,
    is_used: bool,
}

impl Reservation {
    fn new(shared: &Arc<Shared>, server: &Name) -> Reservation {
        Reservation {
            shared: shared.clone(),
            server: server.clone(),
            is_used: false,
        }
    }

    /// Records that the request counts as running at its server now.
    pub(super) fn use_up(mut self) {
        self.is_used = true;
        let mut state = self.shared.state();
        state.dispatcher.place_used(&self.server);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.is_used {
            let mut state = self.shared.state();
            state.dispatcher.give_back_place(&self.server);
            self.shared.notify_leader(&state);
        }
    }
}

/// The leader's answer to a question for a place.
pub(crate) enum Outcome {
    Given(Reservation),
    Refused { retry_after_ms: u64 },
    NotYet,
}

/// Gets a place at one of some brittle servers, the best one first; without one, the request is sent to `other`
/// or refused.
pub(super) async fn reserve(
    shared: &Arc<Shared>,
    call: &Call,
    servers: &[Target],
    other: Option<Target>,
    history: &History,
) -> Result<(Target, Option<Reservation>), Refusal> {
    let retry_after_ms = match ask(shared, call, servers).await {
        Some(Outcome::Given(reserved)) => {
            let target = servers.iter().find(|target| target.id == reserved.server);
            // A leader gives places only at servers that it was asked about.
            return match target {
                Some(target) => Ok((target.clone(), Some(reserved))),
                None => Err(history.refusal(Cause::Brittle, NO_LEADER_RETRY_AFTER_MS)),
            };
        }
        Some(Outcome::Refused { retry_after_ms }) => retry_after_ms,
        Some(Outcome::NotYet) | None => {
            let now = clock::boottime_ms();
            let kept = shared.state().dispatcher.keep_place(now, servers);
            if let Some(target) = kept {
                let reserved = Reservation::new(shared, &target.id);
                return Ok((target, Some(reserved)));
            }
            NO_LEADER_RETRY_AFTER_MS + rand::random_range(0..=NO_LEADER_RETRY_AFTER_MS)
        }
    };
    match other {
        Some(target) => Ok((target, None)),
        None => Err(history.refusal(Cause::Brittle, retry_after_ms)),
    }
}

/// Asks the leader; `None` if it doesn't answer in time, or isn't known.
async fn ask(shared: &Arc<Shared>, call: &Call, servers: &[Target]) -> Option<Outcome> {
    let now = clock::boottime_ms();
    let until_objective_ms = call.spec.objective_at.saturating_sub(now);
    let wait_ms = (until_objective_ms / OBJECTIVE_DIVISOR).min(WAIT_MAX_MS);
    let (sender, receiver) = oneshot::channel();
    let _question = {
        let mut state = shared.state();
        if now >= state.place_leader_until {
            return None;
        }
        let number = state.dispatcher.ask_for_place(now, servers, wait_ms)?;
        state.place_questions.insert(number, sender);
        shared.notify_leader(&state);
        Question {
            shared: shared.clone(),
            number,
        }
    };
    let limit = Duration::from_millis(wait_ms + RESPONSE_TIMEOUT_MS);
    timeout(limit.min(call.time_left()), receiver)
        .await
        .ok()?
        .ok()
}

/// A question that is open until this value is dropped.
struct Question {
    shared: Arc<Shared>,
    number: u64,
}

impl Drop for Question {
    fn drop(&mut self) {
        self.shared.state().place_questions.remove(&self.number);
    }
}

/// Passes the leader's answer on to the request that asked. A place for one that is gone is given back.
pub(super) fn answered(shared: &Arc<Shared>, number: u64, answer: &Answer) {
    let waiting = {
        let mut state = shared.state();
        state.dispatcher.place_answered(answer);
        state.place_questions.remove(&number)
    };
    // The state isn't locked here: a place that is dropped locks it.
    let outcome = match answer {
        Answer::Given { server, .. } => Outcome::Given(Reservation::new(shared, server)),
        Answer::Refused { retry_after_ms } => Outcome::Refused {
            retry_after_ms: *retry_after_ms,
        },
        Answer::NotYet => Outcome::NotYet,
    };
    if let Some(sender) = waiting {
        // An outcome that can't be sent is dropped.
        let _ = sender.send(outcome);
    }
}
