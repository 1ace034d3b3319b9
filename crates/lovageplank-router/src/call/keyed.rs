//! Requests with an idempotency key.
//!
//! The control group commits the claim of a key after the wait in the queue and before the first
//! attempt. A refusal before that needs no record, and a resend finds a claim only if the first
//! request may have run.

use super::{ActiveCall, Call, Context, refusal_response};
use crate::answer::CompleteAnswer;
use crate::control::{Call as ControlCall, Control};
use crate::decision::Dispatch;
use crate::refusal::{Code, Refusal};
use hyper::{Response, StatusCode, header};
use lovageplank_core::idempotency::{Answer, Claim, Key, MAX_ANSWER_BYTES, Outcome, Verdict};
use lovageplank_core::prelude::*;
use lovageplank_process::http::{self, Body};
use lovageplank_wire::Answer as ControlAnswer;
use std::time::Duration;
use tokio::time::timeout_at;

/// Attempts to record an outcome, or to free a claim, at the control group. After that, the claim
/// stays as it is.
const CONTROL_RETRIES_MAX: u32 = 20;
/// Milliseconds between two of these attempts.
const CONTROL_RETRY_MS: u64 = 500;

impl ActiveCall {
    /// Claims the call's key, unless it has none or has claimed it before. A returned response ends
    /// the call.
    pub(super) async fn claim_key(&mut self, dispatch: &Dispatch) -> Option<Response<Body>> {
        let key = self.call.key.clone()?;
        if self.claim.is_some() {
            return None;
        }
        let claim = new_claim(&self.context, &self.call, key, dispatch.idempotency_ttl_ms);
        let until = self.context.clock.at(dispatch.deadline);
        let reply = timeout_at(until, request_claim(&*self.context.control, claim.clone())).await;
        let refusal = match reply {
            Ok(Some(Verdict::Run { claim })) => {
                self.claim = Some(claim);
                return None;
            }
            Ok(Some(Verdict::Done(answer))) => return Some(self.replay(answer)),
            Ok(Some(verdict)) => claim_refusal(&verdict),
            Ok(None) | Err(_) => {
                // The claim may have been committed. It is freed, because the request won't run.
                let control = self.context.control.clone();
                self.context.tasks.spawn(release_claim(control, claim));
                let message = "the control group can't record the key now";
                Refusal::new(Code::ControlUnavailable, message).retry_after_ms(1_000)
            }
        };
        self.guard.abandon(refusal.code.name());
        Some(refusal_response(&refusal, &self.call.request_id))
    }

    fn replay(&mut self, answer: Answer) -> Response<Body> {
        let (status, content_type, body) = match answer {
            Answer::Whole {
                status,
                content_type,
                body,
            } => (status, content_type, body),
            other => {
                let refusal = claim_refusal(&Verdict::Done(other));
                self.guard.abandon(refusal.code.name());
                return refusal_response(&refusal, &self.call.request_id);
            }
        };
        self.guard.abandon("replayed");
        let mut response = Response::new(http::full(body));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        if let Ok(kind) = header::HeaderValue::from_str(&content_type) {
            headers.insert(header::CONTENT_TYPE, kind);
        }
        self.add_headers(headers);
        response
    }

    pub(super) fn complete_answered(&self, answer: &CompleteAnswer) {
        let status = answer.status.as_u16();
        let content_type = answer
            .headers
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        self.complete(if answer.body.len() > MAX_ANSWER_BYTES {
            Answer::Executed { status }
        } else {
            Answer::Whole {
                status,
                content_type: content_type.into(),
                body: answer.body.to_vec(),
            }
        });
    }

    pub(super) fn complete_refused(&self, refusal: &Refusal) {
        self.complete(if refusal.code.not_run() {
            Answer::NotRun
        } else {
            Answer::Unknown
        });
    }

    pub(super) fn complete_stream(&self) {
        let status = StatusCode::OK.as_u16();
        self.complete(Answer::Executed { status });
    }

    /// Records the outcome at the control group, with retries.
    fn complete(&self, answer: Answer) {
        let Some(claim) = self.claim else {
            return;
        };
        let control = self.context.control.clone();
        self.context
            .tasks
            .spawn(async move { complete(&*control, claim, answer).await });
    }
}

/// Requests the verdict on a claim; `None` if no answer came, so that the claim may be committed.
async fn request_claim(control: &dyn Control, claim: Claim) -> Option<Verdict> {
    match control.call(ControlCall::Claim(claim)).await {
        ControlAnswer::Claim(verdict) => Some(verdict),
        _ => None,
    }
}

async fn complete(control: &dyn Control, claim: u64, answer: Answer) {
    let outcome = Outcome {
        claim,
        answer,
        at_ms: 0,
    };
    for _ in 0..CONTROL_RETRIES_MAX {
        let call = ControlCall::Complete(outcome.clone());
        if !matches!(control.call(call).await, ControlAnswer::Refused(_)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(CONTROL_RETRY_MS)).await;
    }
    tracing::warn!(event = "outcome_not_recorded", claim);
}

/// Frees a claim whose verdict was lost, by requesting the verdict again.
async fn release_claim(control: Arc<dyn Control>, claim: Claim) {
    for _ in 0..CONTROL_RETRIES_MAX {
        tokio::time::sleep(Duration::from_millis(CONTROL_RETRY_MS)).await;
        match request_claim(&*control, claim.clone()).await {
            Some(Verdict::Run { claim }) => {
                return complete(&*control, claim, Answer::NotRun).await;
            }
            Some(_) => return,
            None => {}
        }
    }
}

fn new_claim(context: &Context, call: &Call, key: Name, ttl_ms: u64) -> Claim {
    Claim {
        key: Key {
            service: call.arrival.target.name().clone(),
            caller: call.key_scope.clone(),
            key,
        },
        fingerprint: fingerprint(call),
        router: context.instance.clone(),
        router_incarnation: context.incarnation,
        attempt: call.arrival.id,
        at_ms: 0,
        ttl_ms,
    }
}

/// 64-bit FNV-1a hash of method, path and body, each followed by a zero byte.
fn fingerprint(call: &Call) -> u64 {
    let parts = [
        call.method.as_str().as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ];
    let bytes = parts
        .iter()
        .flat_map(|part| part.iter().copied().chain([0]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The refusal for a request whose key doesn't allow it to be dispatched.
fn claim_refusal(verdict: &Verdict) -> Refusal {
    match verdict {
        Verdict::InProgress => {
            let message = "another request with this key is in progress; wait for it";
            Refusal::new(Code::ClaimInProgress, message).retry_after_ms(1_000)
        }
        Verdict::Done(Answer::Executed { status }) => {
            let message = format!("the request ran with status {status}; its answer was not kept");
            Refusal::new(Code::OutcomeUnknown, message)
        }
        Verdict::Done(_) => {
            let message = "a request with this key may have run, and its answer is lost";
            Refusal::new(Code::OutcomeUnknown, message)
        }
        Verdict::Mismatch => {
            let message = "this key was used for another request; take a new one";
            Refusal::new(Code::KeyReused, message)
        }
        Verdict::Malformed => Refusal::new(Code::Malformed, "the key or caller is too long"),
        Verdict::Full | Verdict::Stale | Verdict::Run { .. } => {
            let message = "the control group has no room for the key now";
            Refusal::new(Code::ControlUnavailable, message).retry_after_ms(1_000)
        }
    }
}
