//! Claims, verdicts, outcomes and the records kept of them.

use crate::prelude::*;

/// Size counted for a record in addition to its key and answer, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 256;

record! { key =>
    /// Identity of a request over all its attempts.
    pub struct Key {
        /// The service that the request addresses.
        pub service: Name,
        /// The caller; equal keys of two callers identify different requests.
        pub caller: Name,
        /// The caller's idempotency key.
        pub key: Name,
    }
}

impl Key {
    /// Size of a record with this key and no answer, in bytes.
    pub(super) fn bytes(&self) -> usize {
        RECORD_OVERHEAD_BYTES + 2 * (self.caller.len() + self.key.len())
    }
}

record! { key =>
    /// A router's claim of the right to run a request.
    pub struct Claim {
        /// Identity of the request.
        pub key: Key,
        /// Hash of the request's method, path and body.
        pub fingerprint: u64,
        /// Name of the router.
        pub router: Name,
        /// Incarnation of the router's process.
        pub router_incarnation: u64,
        /// Number of the claim, unique within the incarnation. A router that did not receive the
        /// verdict repeats the claim under the same number and gets the same permission, which
        /// allows one dispatch in all.
        pub attempt: u64,
        /// Unix milliseconds on the leader's clock.
        pub at_ms: u64,
        /// Time that the outcome is kept, in milliseconds.
        pub ttl_ms: u64,
    }
}

record! { key =>
    /// The reply to a claim.
    #[serde(rename_all = "snake_case")]
    pub enum Verdict {
        /// The router may dispatch the request once.
        Run {
            /// Log index of the claim, by which its [`Outcome`] refers to it.
            claim: u64,
        },
        /// Another claim of the key is pending; the request may be running.
        InProgress,
        /// The recorded outcome.
        Done(Answer),
        /// The key was claimed with another fingerprint, so it belongs to another request.
        Mismatch,
        /// A limit of the service or of the number of services is reached; the request is not run.
        Full,
        /// The claiming router's incarnation has ended; the request is not run.
        Stale,
        /// The caller's name or the key exceeds [`MAX_KEY_BYTES`](super::MAX_KEY_BYTES); the request is
        /// not run.
        Malformed,
    }
}

record! { key =>
    /// The outcome of a claim.
    pub struct Outcome {
        /// Log index of the claim.
        pub claim: u64,
        /// What a repeated request gets.
        pub answer: Answer,
        /// Unix milliseconds on the leader's clock.
        pub at_ms: u64,
    }
}

record! { key =>
    /// What a repeated request gets.
    #[serde(rename_all = "snake_case")]
    pub enum Answer {
        /// The whole answer to the request.
        Whole {
            /// HTTP status.
            status: u16,
            /// Media type of the body.
            content_type: Name,
            /// The body.
            #[serde(with = "super::bytes")]
            body: Vec<u8>,
        },
        /// The request was run and answered, but the answer was not kept.
        Executed {
            /// HTTP status.
            status: u16,
        },
        /// The request may have been run.
        Unknown,
        /// The request was not run and may be sent again.
        NotRun,
    }
}

impl Answer {
    /// The answer itself, or [`Answer::Executed`] if a whole answer is larger than `bytes`.
    pub(super) fn limited_to(&self, bytes: usize) -> Answer {
        match self {
            Answer::Whole { status, .. } if self.bytes() > bytes => {
                Answer::Executed { status: *status }
            }
            answer => answer.clone(),
        }
    }

    /// Size of the body and media type, in bytes; 0 for an answer without a body.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Answer::Whole {
                content_type, body, ..
            } => content_type.len() + body.len(),
            Answer::Executed { .. } | Answer::Unknown | Answer::NotRun => 0,
        }
    }
}

record! { data =>
    /// The record kept of a request.
    pub(super) struct Record {
        /// Log index of the claim.
        pub claim: u64,
        pub fingerprint: u64,
        pub router: Name,
        pub router_incarnation: u64,
        pub attempt: u64,
        pub ttl_ms: u64,
        /// `None` while the claim is pending.
        pub answer: Option<Answer>,
        /// Expiry time in Unix milliseconds; set with the answer.
        pub expires_ms: Option<u64>,
    }
}

impl Record {
    pub fn new(index: u64, claim: &Claim) -> Record {
        Record {
            claim: index,
            fingerprint: claim.fingerprint,
            router: claim.router.clone(),
            router_incarnation: claim.router_incarnation,
            attempt: claim.attempt,
            ttl_ms: claim.ttl_ms,
            answer: None,
            expires_ms: None,
        }
    }

    pub fn verdict(&self, claim: &Claim) -> Verdict {
        if self.fingerprint != claim.fingerprint {
            return Verdict::Mismatch;
        }
        let same_claim = self.router == claim.router
            && self.router_incarnation == claim.router_incarnation
            && self.attempt == claim.attempt;
        match &self.answer {
            Some(answer) => Verdict::Done(answer.clone()),
            None if same_claim => Verdict::Run { claim: self.claim },
            None => Verdict::InProgress,
        }
    }
}
