//! Places for requests at [brittle](super::brittle) servers.
//!
//! A request is sent to a brittle server only in a *place*, which the leader gives, so that all routers together
//! have no more requests there than the server has room for. A place ends with its request. How much room a server
//! has is learned from its responses (`room`).
//!
//! - A router that is killed loses its places; the leader counts them until its link has been down for some time.
//! - A place that a router has received, but not used, is given back.
//! - A new leader gives none until routers have told it what they have at each server. Until a leader gives places,
//!   a router has no more requests at a brittle server than it had when it last heard of one.
//! - Requests of routers that don't know of places are counted by their load reports.
//!
//! Costs, for each request to a brittle server: a question, an answer and a report; none for other servers.

mod issuer;
mod room;
mod router;

pub use issuer::{Issuer, Reply};
pub use router::{End, Places};

use crate::prelude::*;

/// The protocol version since which processes know of places.
pub const PROTOCOL: u32 = 2;

record! { key =>
    /// A brittle server that a place is wanted at, or was used at.
    pub struct Server {
        /// Its name.
        pub id: Name,
        /// Its incarnation.
        pub incarnation: u64,
        /// Requests that it runs concurrently.
        pub slots: u32,
        /// Rejections in a second that it bears.
        pub tolerated: u32,
    }
}

record! { key =>
    /// A router's question for a place.
    pub struct Request {
        /// Number of the question, which the answer repeats.
        pub number: u64,
        /// The service of the servers.
        pub service: Name,
        /// Servers that the request may be sent to, the best one first.
        pub servers: Vec<Server>,
        /// Milliseconds for which the request may wait for a place.
        pub wait_ms: u64,
    }
}

record! { copy =>
    /// Number of a place among those of all leaders: the term of the leader, and a number that increases.
    #[derive(Default)]
    pub struct Number {
        /// Term of the leader that gave the place.
        pub term: u64,
        /// Number among the leader's places.
        pub place: u64,
    }
}

record! { key =>
    /// The leader's answer to a [`Request`].
    pub enum Answer {
        /// There is a place.
        Given {
            /// Name of the server.
            server: Name,
            /// Number of the place.
            place: Number,
        },
        /// There is none.
        Refused {
            /// Milliseconds after which the caller may come back.
            retry_after_ms: u64,
        },
        /// The leader doesn't give places yet.
        NotYet,
    }
}

record! { key =>
    /// A router's report of its requests at a brittle server.
    pub struct Usage {
        /// The server.
        pub server: Server,
        /// Its service.
        pub service: Name,
        /// Requests that the router has there, and places that it hasn't used yet.
        pub requests: u32,
        /// The last place that the router has received; those up to it count in `requests`, or are given back.
        pub seen: Number,
        /// Requests that the server rejected since the last report.
        pub rejected: u32,
        /// Requests that the server answered since then.
        pub answered: u32,
        /// Requests whose connection broke since then.
        pub broken: u32,
    }
}
