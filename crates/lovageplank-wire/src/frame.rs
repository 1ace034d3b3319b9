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
    #[derive(strum::IntoStaticStr)]
    pub enum Frame {
        /// Opens a link.
        Hello(Hello),
        /// Proves that the sender has the deployment's key.
        Proof(Proof),
        /// The reason why the sender closes the link.
        Reject(Name),
        /// Keeps an idle link from being closed; needs no answer.
        Ping {
            /// Matches an answer to the ping.
            nonce: u64,
        },
        /// Answers a ping; this build sends none.
        Pong {
            /// The ping's nonce.
            nonce: u64,
        },
        /// Control to control: a consensus message.
        Consensus(Message),
        /// Control to control: the membership in the sender's log; `None` before the control group
        /// is bootstrapped.
        Group(Option<Membership>),
        /// Router to control: the router's liveness and state.
        Heartbeat(Heartbeat),
        /// Control to router: identities and link addresses of the control group's members, so that
        /// routers find members that their settings files don't name.
        Members(Vec<(u64, Name)>),
        /// Control to router: the answer to a heartbeat.
        Lease(Lease),
        /// Control to router: changes of the router's view.
        Update(Box<Update>),
        /// Router to control: counts of finished requests.
        Objectives(Delta),
        /// Control to router: the range of the router's counts that the leader has merged.
        Merged(Ack),
        /// A message between instances of a deployment whose backend servers announce themselves.
        Fleet(Box<FleetMessage>),
        /// Requests the execution of a call.
        Call {
            /// Matches the answer to the call; unique on the link.
            id: u64,
            /// The call.
            call: Call,
        },
        /// Answers a call.
        Answer {
            /// Id of the call.
            id: u64,
            /// The outcome.
            answer: Answer,
        },
    }
}

impl Frame {
    /// Name of its kind, for logs and metrics; that of the message within, if there is one.
    pub fn kind(&self) -> &'static str {
        match self {
            Frame::Fleet(message) => message.kind(),
            frame => frame.into(),
        }
    }

    /// The protocol version since which processes know this frame.
    pub fn protocol(&self) -> u32 {
        match self {
            Frame::Fleet(message) => message.protocol(),
            _ => 1,
        }
    }
}

record! { data =>
    /// State that a router sends to the leader in each heartbeat.
    pub struct Heartbeat {
        /// Grows by one with each heartbeat on the link.
        pub sequence: u64,
        /// Version of the settings tree that the router applies.
        pub tree: Version,
        /// Sequence of the last update that the router applied.
        pub view: u64,
        /// Whether the router is draining and asks its callers to leave.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub leaving: bool,
        /// Draining replicas on which this router still has requests.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub busy: Vec<ReplicaId>,
        /// Demand for all models that the router has requests for.
        pub demand: DemandReport,
    }
}

record! { key =>
    /// Extends the time for which a router may use its view.
    pub struct Lease {
        /// Term of the sender.
        pub term: u64,
        /// Whether the sender is the leader; if not, it grants no lease.
        pub leads: bool,
        /// Sequence of the heartbeat that this answers; the lease starts when that heartbeat was
        /// sent. Zero if a new leader announces itself.
        pub heartbeat: u64,
        /// Duration of the lease in milliseconds; 0 if none is granted.
        pub lease_ms: u64,
    }
}
