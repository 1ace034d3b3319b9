//! Requests with an idempotency key.
//!
//! The claim is committed by the control group before the first dispatch, after the wait in the
//! queue: so a refusal before that needs no record, and a resend meets a claim only if the first
//! request may have run.

use super::{Run, refuse};
use crate::answer::Whole;
use crate::control::{Claim, Claimed, Completion, Outcome, Stored};
use crate::decision::Dispatch;
use crate::refusal::{Code, Refusal};
use hyper::{Response, StatusCode, header};
use lovageplank_process::http::{self, Body};
use std::time::Duration;

/// Bytes of an answer that is kept for a second call.
const STORED_BYTES: usize = 16 << 10;
/// Times that the outcome is told to the control group before it is given up.
const COMPLETE_TRIES: u32 = 10;
/// Milliseconds between two such tries.
const COMPLETE_PAUSE_MS: u64 = 500;

impl Run {
    /// Claims the call's key, if it has one and didn't yet; a response ends the call.
    pub(super) async fn claim(&mut self, dispatch: &Dispatch) -> Option<Response<Body>> {
        let key = self.call.key.clone()?;
        if self.claimed {
            return None;
        }
        let claim = Claim {
            service: self.call.arrival.target.name().clone(),
            key,
            fingerprint: self.fingerprint(),
            request_id: self.call.request_id.clone(),
            ttl_ms: dispatch.idempotency_ttl_ms,
        };
        let refusal = match self.context.control.claim(claim).await {
            Claimed::New => {
                self.claimed = true;
                return None;
            }
            Claimed::Done(stored) => return Some(self.replay(stored)),
            Claimed::InProgress => {
                let message = "another request with this key is in progress; wait for it";
                Refusal::new(Code::ClaimInProgress, message).retry_after_ms(1_000)
            }
            Claimed::Unknown => Refusal::new(
                Code::OutcomeUnknown,
                "a request with this key may have run, and its answer was not kept",
            ),
            Claimed::Mismatch => Refusal::new(
                Code::KeyReused,
                "this key was used for another request; take a new one",
            ),
            Claimed::Unavailable => {
                let message = "the control group can't record the key now";
                Refusal::new(Code::ControlUnavailable, message).retry_after_ms(1_000)
            }
        };
        self.guard.abandon(refusal.code.name());
        Some(refuse(&refusal, &self.call.request_id))
    }

    fn replay(&mut self, stored: Stored) -> Response<Body> {
        self.guard.abandon("replayed");
        let mut response = Response::new(http::full(stored.body));
        *response.status_mut() =
            StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        if let Ok(kind) = header::HeaderValue::from_str(&stored.content_type) {
            headers.insert(header::CONTENT_TYPE, kind);
        }
        self.add_headers(headers);
        response
    }

    /// FNV-1a with 64 bits over method, path and body.
    fn fingerprint(&self) -> u64 {
        let parts = [
            self.call.method.as_str().as_bytes(),
            self.call.path.as_bytes(),
            &self.call.body,
        ];
        let bytes = parts
            .iter()
            .flat_map(|part| part.iter().copied().chain([0]));
        bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
    }

    pub(super) fn complete_answered(&self, whole: &Whole) {
        if whole.body.len() > STORED_BYTES {
            return self.complete(Outcome::Unknown);
        }
        let content_type = whole
            .headers
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        self.complete(Outcome::Answered(Stored {
            status: whole.status.as_u16(),
            content_type: content_type.into(),
            body: whole.body.to_vec(),
        }));
    }

    pub(super) fn complete_refused(&self, refusal: &Refusal) {
        self.complete(if refusal.code.not_run() {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        });
    }

    pub(super) fn complete_stream(&self) {
        self.complete(Outcome::Unknown);
    }

    /// Tells the control group what happened, until it has taken it.
    fn complete(&self, outcome: Outcome) {
        let Some(key) = self.call.key.clone().filter(|_| self.claimed) else {
            return;
        };
        let completion = Completion {
            service: self.call.arrival.target.name().clone(),
            key,
            request_id: self.call.request_id.clone(),
            outcome,
        };
        let control = self.context.control.clone();
        self.context.tasks.spawn(async move {
            for _ in 0..COMPLETE_TRIES {
                if control.complete(completion.clone()).await {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(COMPLETE_PAUSE_MS)).await;
            }
            tracing::warn!(event = "outcome_not_recorded", request_id = %completion.request_id);
        });
    }
}
