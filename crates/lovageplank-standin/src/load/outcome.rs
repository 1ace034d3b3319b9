//! Outcomes of calls.

use lovageplank_core::prelude::*;

record! { key =>
    /// How a call ended.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum Ending {
        /// The complete answer to this call.
        Whole,
        /// An error answer, or an error event within a stream.
        Refused {
            /// The HTTP status; 200 for an error event within a stream.
            status: u16,
            /// The error's code; `unnamed` if the body has none.
            code: String,
            /// Whether the answer states that the call certainly did not run.
            not_run: bool
        },
        /// Neither answer nor refusal: the connection broke, or the time was up.
        Lost {
            /// The last error, or the timeout.
            reason: String
        },
        /// The answer ended early and without an error event.
        Cut {
            /// How the answer ended.
            reason: String
        },
        /// The answer differs from the expected one, as an answer to another call would.
        Crossed {
            /// The difference that was found.
            reason: String
        },
    }
}

/// The outcome of a call, with the data for the verdict and the report.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Position of the call in the plan.
    pub number: usize,
    /// Hash that identifies the answer's text, for a model call.
    pub hash: Option<u64>,
    /// The idempotency key, for a plain call.
    pub key: Option<String>,
    /// Whether a streamed answer was requested.
    pub stream: bool,
    /// How the call ended.
    pub ending: Ending,
    /// `X-Lovageplank-Request-Id` of the answer.
    pub request_id: Option<String>,
    /// `X-Lovageplank-Cold-Ms` of the answer.
    pub cold_ms: Option<u64>,
    /// Microseconds by which the call started after its planned start.
    pub late_us: u64,
    /// Microseconds from the planned start to the end.
    pub took_us: u64,
    /// Microseconds from the planned start to the first token of a stream.
    pub first_token_us: Option<u64>,
    /// Microseconds between successive tokens of a stream.
    pub gaps_us: Vec<u64>,
    /// Times that the call was sent again, after a 503 with `Retry-After` or a broken connection.
    pub retries: u32,
}
