//! What the router needs from the control group.
//!
//! The trait stands at the edge of the process: [`link::Link`] speaks to the real control group,
//! tests give their own. What the control group tells comes as [`Input`](crate::broker::Input)s.

pub mod link;

use futures_util::future::BoxFuture;
use lovageplank_core::prelude::*;
use lovageplank_wire::{Answer, Heartbeat};

pub use lovageplank_wire::call::Call;

/// The control group as the router uses it.
pub trait Control: Send + Sync + 'static {
    /// Sends a heartbeat; its answer comes as an input. Never blocks.
    fn heartbeat(&self, beat: Heartbeat);

    /// Asks for the whole view again, after a gap in the updates.
    fn resync(&self);

    /// Carries out a call at the leader.
    fn call(&self, call: Call) -> BoxFuture<'static, Answer>;

    /// Claims an idempotency key; [`Claimed::New`] only once a quorum has the claim on disk.
    fn claim(&self, claim: Claim) -> BoxFuture<'static, Claimed>;

    /// Records the outcome of a claimed request.
    fn complete(&self, completion: Completion) -> BoxFuture<'static, bool>;
}

record! { key =>
    /// A claim of an idempotency key before a request is dispatched.
    pub struct Claim {
        /// The service; keys of different services don't meet.
        pub service: Name,
        /// The caller's key.
        pub key: Name,
        /// Hash of method, path and body, so that a key used for another request shows.
        pub fingerprint: u64,
        /// The request that claims.
        pub request_id: Name,
        /// Milliseconds for which the record is kept.
        pub ttl_ms: u64,
    }
}

record! { key =>
    /// The control group's answer to a claim.
    pub enum Claimed {
        /// The claim is committed; the request may be dispatched.
        New,
        /// Another request with the key is in progress.
        InProgress,
        /// A request with the key ran; this is its answer.
        Done(Stored),
        /// A request with the key ran or may have run; its answer is lost.
        Unknown,
        /// The key was used for a request with another fingerprint.
        Mismatch,
        /// The control group could not be reached, or did not answer in time.
        Unavailable,
    }
}

record! { key =>
    /// A stored answer.
    pub struct Stored {
        /// HTTP status.
        pub status: u16,
        /// `Content-Type`; empty if there was none.
        pub content_type: Name,
        /// The body.
        pub body: Vec<u8>,
    }
}

record! { key =>
    /// The outcome of a claimed request.
    pub struct Completion {
        /// The service.
        pub service: Name,
        /// The caller's key.
        pub key: Name,
        /// The request that claimed.
        pub request_id: Name,
        /// What happened.
        pub outcome: Outcome,
    }
}

record! { key =>
    /// What happened to a claimed request.
    pub enum Outcome {
        /// It ran; the answer is kept.
        Answered(Stored),
        /// It ran or may have run; there is no answer to keep.
        Unknown,
        /// It provably did not run: the key is free again.
        NotRun,
    }
}
