//! Messages on a link.

use crate::call::{Answer, Call};
use crate::hello::{Hello, Proof};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Version;
use lovageplank_core::view::Update;

record! { data =>
    /// One message on a link.
    pub enum Frame {
        /// Opens a link.
        Hello(Hello),
        /// Shows that the sender holds the deployment's key.
        Proof(Proof),
        /// Why the sender closes the link.
        Reject(Name),
        /// Asks for a sign of life.
        Ping {
            /// Returned in the answer.
            nonce: u64,
        },
        /// A sign of life.
        Pong {
            /// From the ping.
            nonce: u64,
        },
        /// Router to control: it lives, and what it has.
        Heartbeat(Heartbeat),
        /// Control to router: the answer to a heartbeat.
        Lease(Lease),
        /// Control to router: what changed.
        Update(Update),
        /// Asks for a call to be carried out.
        Call {
            /// Matches the answer to the call; unique on the link.
            id: u64,
            /// What to do.
            call: Call,
        },
        /// Answers a call.
        Answer {
            /// From the call.
            id: u64,
            /// The outcome.
            answer: Answer,
        },
    }
}

record! { key =>
    /// What a router tells the leader at each heartbeat.
    pub struct Heartbeat {
        /// Grows by one with each heartbeat on the link.
        pub sequence: u64,
        /// Version of the settings tree that the router applies.
        pub tree: Version,
        /// Sequence of the last update that it applied.
        pub view: u64,
        /// Whether it asks callers to leave.
        pub leaving: bool,
        /// Demand that changed since the heartbeat before.
        pub demand: Vec<Demand>,
    }
}

record! { key =>
    /// Demand for one model at one router.
    pub struct Demand {
        /// The model.
        pub model: Name,
        /// Requests that wait.
        pub waiting: u32,
        /// Requests that run.
        pub running: u32,
        /// Requests that arrived since the heartbeat before.
        pub arrivals: u32,
        /// Milliseconds until the first deadline among those that wait.
        pub deadline_in_ms: u64,
        /// Adapters that those which wait or run need.
        pub adapters: BTreeSet<Name>,
    }
}

record! { key =>
    /// Says that the router's view holds for a while longer.
    pub struct Lease {
        /// Term of the leader that grants it.
        pub term: u64,
        /// Whether the sender leads; if not, nothing is granted.
        pub leads: bool,
        /// The heartbeat that is answered; the lease counts from when it was sent.
        pub heartbeat: u64,
        /// How long the view holds, in milliseconds.
        pub lease_ms: u64,
    }
}
