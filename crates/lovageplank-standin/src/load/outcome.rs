//! What a call came to.

use lovageplank_core::prelude::*;

record! { key =>
    /// How a call ended.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum Ending {
        /// The whole answer to this very call.
        Whole,
        /// An answer that speaks of an error.
        Refused {
            /// The HTTP status; 200 for an error event within a stream.
            status: u16,
            /// The error's code.
            code: String,
            /// Whether the answer says that the call certainly didn't run.
            not_run: bool
        },
        /// Neither answer nor refusal came in time.
        Lost {
            /// What was seen instead.
            reason: String
        },
        /// The answer stopped before its end and without an error event.
        Cut {
            /// What was seen instead of the end.
            reason: String
        },
        /// The answer to another call.
        Crossed {
            /// What showed it.
            reason: String
        },
    }
}

/// What a call came to, with all that the verdict needs.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The call's number.
    pub number: usize,
    /// Hash of the text, for a model call.
    pub hash: Option<u64>,
    /// The idempotency key, for a plain call.
    pub key: Option<String>,
    /// Whether a stream was asked for.
    pub stream: bool,
    /// How it ended.
    pub ending: Ending,
    /// `X-Lovageplank-Request-Id` of the answer.
    pub request_id: Option<String>,
    /// `X-Lovageplank-Cold-Ms` of the answer.
    pub cold_ms: Option<u64>,
    /// Microseconds by which the call started after its planned time.
    pub late_us: u64,
    /// Microseconds from the planned time to the end.
    pub took_us: u64,
    /// Microseconds from the planned time to the first token of a stream.
    pub first_token_us: Option<u64>,
    /// Microseconds between the tokens of a stream.
    pub gaps_us: Vec<u64>,
    /// Times that the driver tried again after a refusal.
    pub retries: u32,
}
