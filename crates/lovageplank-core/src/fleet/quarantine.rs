//! Quarantine of requests under which servers end.
//!
//! A request may end the process of every server that begins to run it. Retries and resumed streams
//! then end one server after the other, and no router sees enough of the ends to know why. So routers
//! report to the leader which requests a server had not begun to answer when it ended, by their
//! [keys](Key): what they have in common with other requests. The leader's [`Tracker`] counts the
//! ends under each key and the requests with it that began to be answered, and tells all routers
//! which keys are held:
//!
//! - *Suspected*: a server ended under it, and fewer than [`BEGUN_TO_CLEAR`] requests with it have
//!   begun since the end before. Requests with such a key are sent one at a time over all routers,
//!   each as a *trial* that the leader allows; one more at a time for each that begins. So at most one
//!   more server ends at a time.
//! - *Quarantined*: several servers ended in a row under it, at least one of them in a trial.
//!   Of several such keys it is the one that the fewest requests have in common that counts.
//!   Requests are refused. A few trials, further and further apart, show whether the verdict was
//!   wrong or no longer holds.
//!
//! A key that requests have in common with sound ones is cleared by those that are being answered;
//! each [`Gate`] of a router reports them as soon as the key is held.
//!
//! Costs: nothing is sent while no server ends. When many end at once, hundreds of keys are held, and hundreds of
//! routers are told: whole [lists](List) go only to who has none, others get what has [changed](Change), and of that
//! routers get what they act on.

mod case;
mod change;
mod gate;
mod tracker;

pub use change::{Change, Fit, Sent, Update};
pub use gate::{Check, Gate};
pub use tracker::Tracker;

use crate::prelude::*;

/// Protocol version since which processes know changes of lists.
pub const PROTOCOL: u32 = 6;
/// Requests with a key that must begin after a server ended under it until it is no longer held.
pub const BEGUN_TO_CLEAR: usize = 3;
/// Milliseconds for which a request that began before an end shows that the end had another cause.
pub const EVIDENCE_MS: Millis = 5_000;
/// Milliseconds from the first event of a response until the request counts as begun. If a server
/// ends sooner, the event may have been sent just before.
pub const BEGUN_AFTER_MS: Millis = 100;

record! { copy =>
    /// What requests to a service have in common.
    pub enum Key {
        /// A part of their prompts, by its id.
        Part(u64),
        /// They are the same request, sent again by its caller; by a hash of what makes it the same.
        Request(u64),
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Key::Part(id) => write!(f, "part {id:x}"),
            Key::Request(hash) => write!(f, "request {hash:x}"),
        }
    }
}

record! { key =>
    /// A key that is held, as the leader relays it to routers and control processes.
    pub struct Held {
        /// Name of the service.
        pub service: Name,
        /// The key.
        pub key: Key,
        /// Whether requests with it are refused; otherwise they are sent one at a time.
        pub quarantined: bool,
        /// Number of keys before it in the requests that have it, at most.
        pub rank: u32,
        /// The last servers that ended under it in a row, with their incarnations.
        pub servers: Vec<(Name, u64)>,
        /// Trials since it was quarantined.
        pub probes: u32,
        /// Milliseconds until the next trial, if it is quarantined.
        pub probe_in_ms: u64,
    }
}

impl Held {
    /// The same without the time until the next trial, which doesn't count as a change.
    fn timeless(&self) -> Held {
        Held {
            probe_in_ms: 0,
            ..self.clone()
        }
    }

    /// What routers act on.
    fn for_routers(&self) -> Held {
        Held {
            rank: 0,
            servers: Vec::new(),
            ..self.clone()
        }
    }
}

/// Whether the same keys are held for the same reasons; the time until the next trial doesn't count.
pub fn are_same(a: &[Held], b: &[Held]) -> bool {
    a.iter()
        .map(Held::timeless)
        .eq(b.iter().map(Held::timeless))
}

record! { copy =>
    /// A request that has begun to be answered.
    pub struct Begun {
        /// Time of its first event, by the router's clock.
        pub at: Millis,
        /// Milliseconds since then.
        pub age_ms: u64,
    }
}

record! { key =>
    /// A key, and the router's requests that have it and have begun lately, newest first, at most
    /// [`BEGUN_TO_CLEAR`].
    pub struct Evidence {
        /// The key.
        pub key: Key,
        /// The requests.
        pub begun: Vec<Begun>,
    }
}

record! { key =>
    /// All keys that are held, in the order in which the leader has sent such lists.
    #[derive(Default)]
    pub struct List {
        /// Term of the leader.
        pub term: u64,
        /// Number of the list within the term.
        pub number: u64,
        /// The keys.
        pub held: Vec<Held>,
    }
}

impl List {
    /// Whether this list replaces another one.
    pub fn is_newer_than(&self, other: &List) -> bool {
        (self.term, self.number) > (other.term, other.number)
    }

    /// Whether a later list has keys that aren't in this one, or that are held in another way.
    pub fn has_new_in(&self, later: &List) -> bool {
        let known: BTreeMap<(&Name, Key), Held> = self
            .held
            .iter()
            .map(|held| ((&held.service, held.key), held.timeless()))
            .collect();
        later
            .held
            .iter()
            .any(|held| known.get(&(&held.service, held.key)) != Some(&held.timeless()))
    }

    /// The list with what routers act on.
    #[must_use]
    pub fn for_routers(&self) -> List {
        List {
            held: self.held.iter().map(Held::for_routers).collect(),
            ..*self
        }
    }
}

record! { key =>
    /// A router's report that a server ended before it began to answer a request.
    pub struct End {
        /// Name of the server.
        pub server: Name,
        /// Its incarnation.
        pub incarnation: u64,
        /// Name of the service.
        pub service: Name,
        /// Keys of the request, from the one that most requests have in common to the one that the
        /// fewest do, with what the router knows of each.
        pub keys: Vec<Evidence>,
    }
}

record! { key =>
    /// A router's request to send a request that has keys which are held.
    pub struct TrialRequest {
        /// Number of the trial at this router's process.
        pub number: u64,
        /// Name of the service.
        pub service: Name,
        /// Keys of the request.
        pub keys: Vec<Key>,
    }
}

record! { copy =>
    /// The leader's response to a [`TrialRequest`].
    pub enum Answer {
        /// The request may be sent.
        Send,
        /// Another request with one of the keys is being tried.
        Wait,
        /// A key is quarantined.
        Refuse {
            /// Milliseconds until the next trial.
            retry_after_ms: u64,
        },
    }
}
