//! Finds out at which version of the servers' software a stream began that its caller takes up.

use super::Shared;
use super::refusal::{Cause, Refusal};
use super::request::Call;
use lovageplank_core::fleet::deployment::RequestKind;
use lovageplank_core::fleet::dispatch::Software;
use lovageplank_core::fleet::origin::Answer;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::time::Duration;
use tokio::time::timeout;

/// Milliseconds for which the leader's answer is waited for. It covers the election of a leader.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// Milliseconds after which a question without an answer is looked at again.
const RECHECK_MS: u64 = 50;
/// Milliseconds after which the caller may ask again if no leader has answered.
const UNANSWERED_RETRY_AFTER_MS: u64 = 1_000;

/// Binds a request that takes up a stream to the version that began the stream; returns other requests as
/// they are. A request whose stream has an unknown origin is refused: it can't go on.
pub(super) async fn bind(shared: &Arc<Shared>, call: &Arc<Call>) -> Result<Arc<Call>, Refusal> {
    let Some(after) = call.head.last_event_id.as_deref() else {
        return Ok(call.clone());
    };
    // `resumes` is the id of the request that brought the stream's first event.
    tracing::info!(event = "taken_up", id = %call.id, route = %call.route.name, resumes = ?call.head.resumes, after);
    if call.route.kind != RequestKind::Resumable {
        return Ok(call.clone());
    }
    let found = find(shared, call).await;
    let (outcome, origin) = match found {
        Found::Answer(Answer::Known(origin)) if call.services().any(|s| s == origin.service) => {
            ("known", Ok(origin))
        }
        // The route leads to other services now.
        Found::Answer(Answer::Known(_)) => ("moved", Err((Cause::VersionGone, None))),
        Found::Answer(Answer::Unknown) => ("unknown", Err((Cause::OriginUnknown, None))),
        Found::NoAnswer => {
            let retry_after_ms = Some(UNANSWERED_RETRY_AFTER_MS);
            ("unanswered", Err((Cause::OriginUnknown, retry_after_ms)))
        }
    };
    metrics::counter!("lovageplank_entry_taken_up_total", "origin" => outcome).increment(1);
    let origin = origin?;
    tracing::info!(event = "bound", id = %call.id, service = %origin.service, software = %origin.software);
    let mut bound = Call::clone(call);
    bound.spec.service = origin.service;
    bound.spec.software = Software::Only(origin.software);
    Ok(Arc::new(bound))
}

/// What was found out about a stream.
enum Found {
    Answer(Answer),
    /// No leader has answered in time.
    NoAnswer,
}

/// Finds out where the stream began. Asks the leader unless it began here.
async fn find(shared: &Arc<Shared>, call: &Call) -> Found {
    let stream = call.head.resumes.clone();
    let mut changes = shared.state_changes.subscribe();
    let question = {
        let mut state = shared.state();
        let streams = state.dispatcher.streams_mut();
        if let Some(origin) = stream.as_ref().and_then(|stream| streams.known(stream)) {
            return Found::Answer(Answer::Known(origin.clone()));
        }
        Question {
            number: streams.ask(stream, call.services()),
            shared: shared.clone(),
        }
    };
    let give_up_at = (clock::boottime_ms() + ANSWER_TIMEOUT_MS).min(call.spec.start_by);
    loop {
        if clock::boottime_ms() >= give_up_at {
            return Found::NoAnswer;
        }
        let answer = {
            let state = shared.state();
            shared.notify_leader(&state);
            state.dispatcher.streams().answer(question.number)
        };
        if let Some(answer) = answer {
            return Found::Answer(answer);
        }
        // A change and the timeout both lead to another look.
        let _ = timeout(Duration::from_millis(RECHECK_MS), changes.changed()).await;
    }
}

/// An open question to the leader, closed when it is dropped.
struct Question {
    number: u64,
    shared: Arc<Shared>,
}

impl Drop for Question {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.dispatcher.streams_mut().close(self.number);
    }
}
