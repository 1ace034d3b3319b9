//! Claims, outcomes and what is kept of them.

use crate::prelude::*;

/// Bytes that a record takes besides its texts, counted towards a service's room.
const RECORD_OVERHEAD_BYTES: usize = 256;

record! { key =>
    /// Names a request over all its attempts.
    pub struct Key {
        /// The service that it is for.
        pub service: Name,
        /// The caller; two callers' equal keys are different requests.
        pub caller: Name,
        /// The caller's idempotency key.
        pub key: Name,
    }
}

impl Key {
    /// Bytes that a record with this key counts for before it has an answer.
    pub(super) fn bytes(&self) -> usize {
        RECORD_OVERHEAD_BYTES + 2 * (self.caller.len() + self.key.len())
    }
}

record! { key =>
    /// A router's wish to run a request.
    pub struct Claim {
        /// The request.
        pub key: Key,
        /// Hash of the request's method, path and body.
        pub fingerprint: u64,
        /// The router.
        pub router: Name,
        /// The router's incarnation.
        pub router_incarnation: u64,
        /// Number of the claim, unique within the incarnation: a router that lost the verdict
        /// claims again under the same number and gets the same permission, once in all.
        pub attempt: u64,
        /// Unix milliseconds on the leader's clock.
        pub at_ms: u64,
        /// Milliseconds that the outcome is kept.
        pub ttl_ms: u64,
    }
}

record! { key =>
    /// The answer to a claim.
    #[serde(rename_all = "snake_case")]
    pub enum Verdict {
        /// The router may dispatch the request, once.
        Run {
            /// Index of the claim, to be named with the outcome.
            claim: u64,
        },
        /// Another attempt may be running.
        InProgress,
        /// The first attempt's outcome.
        Done(Answer),
        /// The key belongs to another request.
        Mismatch,
        /// No room; the request is not run.
        Full,
        /// The router's incarnation has ended; the request is not run.
        Stale,
        /// The caller's name or the key is too long; the request is not run.
        Malformed,
    }
}

record! { key =>
    /// What came of a claim.
    pub struct Outcome {
        /// Index of the claim.
        pub claim: u64,
        /// What the caller gets.
        pub answer: Answer,
        /// Unix milliseconds on the leader's clock.
        pub at_ms: u64,
    }
}

record! { key =>
    /// What a caller gets who sends a request again.
    #[serde(rename_all = "snake_case")]
    pub enum Answer {
        /// The first answer.
        Whole {
            /// HTTP status.
            status: u16,
            /// Media type of the body.
            content_type: Name,
            /// The body.
            #[serde(with = "super::bytes")]
            body: Vec<u8>,
        },
        /// The request was run and answered; the answer was not kept.
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
    /// The answer with a body of at most `bytes`, or without it.
    pub(super) fn limited_to(&self, bytes: usize) -> Answer {
        match self {
            Answer::Whole { status, .. } if self.bytes() > bytes => {
                Answer::Executed { status: *status }
            }
            answer => answer.clone(),
        }
    }

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
    /// What is kept of a request.
    pub(super) struct Record {
        /// Index of the claim.
        pub claim: u64,
        pub fingerprint: u64,
        pub router: Name,
        pub router_incarnation: u64,
        pub attempt: u64,
        pub ttl_ms: u64,
        /// `None` while the claim is live.
        pub answer: Option<Answer>,
        /// Unix milliseconds; set with the answer.
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
        let own = self.router == claim.router
            && self.router_incarnation == claim.router_incarnation
            && self.attempt == claim.attempt;
        match &self.answer {
            Some(answer) => Verdict::Done(answer.clone()),
            None if own => Verdict::Run { claim: self.claim },
            None => Verdict::InProgress,
        }
    }
}
