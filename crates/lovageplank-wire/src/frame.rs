//! Messages on a link.

use crate::call::{Answer, Call};
use crate::hello::{Hello, Proof};
use lovageplank_core::consensus::{Membership, Message};
use lovageplank_core::demand::DemandReport;
use lovageplank_core::fleet::message::Message as FleetMessage;
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Version;
use lovageplank_core::slo::{Ack, Delta};
use lovageplank_core::view::{ReplicaId, Update};

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
        /// Control to control: a consensus message.
        Consensus(Message),
        /// Control to control: the members that the sender's log names; `None` before the group
        /// was formed.
        Group(Option<Membership>),
        /// Router to control: it lives, and what it has.
        Heartbeat(Heartbeat),
        /// Control to router: identities and link addresses of the group's members, so that routers
        /// find members that their settings files don't name.
        Members(Vec<(u64, Name)>),
        /// Control to router: the answer to a heartbeat.
        Lease(Lease),
        /// Control to router: what changed.
        Update(Box<Update>),
        /// Router to control: counts of finished requests.
        Objectives(Delta),
        /// Control to router: how far the leader has merged the router's counts.
        Merged(Ack),
        /// Between instances of a deployment whose servers announce themselves.
        Fleet(Box<FleetMessage>),
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

record! { data =>
    /// What a router tells the leader at each heartbeat.
    pub struct Heartbeat {
        /// Grows by one with each heartbeat on the link.
        pub sequence: u64,
        /// Version of the settings tree that the router applies.
        pub tree: Version,
        /// Sequence of the last update that it applied.
        pub view: u64,
        /// Whether it asks callers to leave.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub leaving: bool,
        /// Replicas that drain and on which this router still has requests.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub busy: Vec<ReplicaId>,
        /// All models that the router has requests for.
        pub demand: DemandReport,
    }
}

record! { key =>
    /// Says that the router's view holds for a while longer.
    pub struct Lease {
        /// Term of the leader that grants it.
        pub term: u64,
        /// Whether the sender leads; if not, nothing is granted.
        pub leads: bool,
        /// The heartbeat that is answered; the lease counts from when it was sent. Zero when a new
        /// leader makes itself known.
        pub heartbeat: u64,
        /// How long the view holds, in milliseconds.
        pub lease_ms: u64,
    }
}
