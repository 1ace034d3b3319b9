//! At which version of a service's software each stream began.
//!
//! Servers of one service may run several versions of their software side by side, and what two versions
//! write doesn't fit together. A stream goes on only at the version that made its first event. Its caller
//! may take it up at a router that never saw it, after the router that did has ended.
//!
//! - A version is *admitted* by an entry of the replicated log before a resumable stream begins at it. So a
//!   stream whose service has one admitted version began at that one, and nothing needs to be recorded.
//! - Where a stream may have begun at several versions, its router records the origin at all control
//!   processes with the first event. The leader replicates the records, a batch at a time.
//! - A router that is asked to go on with a stream that it doesn't know asks the leader. Without an answer, or
//!   if the leader doesn't know either, the stream doesn't go on: nobody guesses.

mod ledger;
mod streams;

pub use ledger::Ledger;
pub use streams::Streams;

use super::message::Message;
use crate::prelude::*;

/// Milliseconds after the end of a caller's timeout for which its stream may still be taken up.
const KEEP_MARGIN_MS: Millis = 5_000;
/// Longest time, in milliseconds, for which an origin is kept.
const KEEP_MAX_MS: Millis = 600_000;

record! { key =>
    /// A version of the software of a service's servers.
    pub struct Origin {
        /// Name of the service.
        pub service: Name,
        /// The version; empty if servers name none.
        pub software: Name,
    }
}

record! { key =>
    /// A stream whose first event has arrived.
    pub struct Begun {
        /// Id of the caller's request that brought the event.
        pub stream: Name,
        /// Where it was made.
        pub origin: Origin,
        /// Milliseconds for which the stream may be taken up.
        pub keep_ms: u64,
    }
}

record! { key =>
    /// The admitted versions of all services.
    #[derive(Default)]
    pub struct Admitted {
        /// Grows with each change.
        pub number: u64,
        /// Versions by service.
        pub versions: BTreeMap<Name, BTreeSet<Name>>,
    }
}

record! { key =>
    /// A question to the leader: where did a stream begin?
    pub struct Question {
        /// Number of the question at the router that asks.
        pub number: u64,
        /// Id of the request that brought the first event, if the caller names it.
        pub stream: Option<Name>,
        /// Services in which it may have begun.
        pub services: Vec<Name>,
    }
}

record! { key =>
    /// The leader's answer to a question.
    pub enum Answer {
        /// The stream began there.
        Known(Origin),
        /// It isn't known where.
        Unknown,
    }
}

impl Admitted {
    /// Whether streams may begin at this version.
    pub fn contains(&self, service: &str, software: &str) -> bool {
        let versions = self.versions.get(service);
        versions.is_some_and(|versions| versions.contains(software))
    }

    /// The only place where a stream of these services can have begun; `None` if there are several, or none.
    pub fn sole_origin<'a>(&self, services: impl IntoIterator<Item = &'a Name>) -> Option<Origin> {
        let services: BTreeSet<&Name> = services.into_iter().collect();
        let known = services
            .into_iter()
            .filter_map(|service| Some((service, self.versions.get(service)?)));
        let mut origins = known.flat_map(|(service, versions)| {
            versions.iter().map(|software| Origin {
                service: service.clone(),
                software: software.clone(),
            })
        });
        origins.next().filter(|_| origins.next().is_none())
    }
}

/// Where a stream began, for as long as it may be taken up.
#[derive(Clone, Debug)]
struct Kept {
    origin: Origin,
    until: Millis,
}

impl Kept {
    fn new(now: Millis, origin: Origin, keep_ms: u64) -> Kept {
        Kept {
            origin,
            until: now + keep_ms,
        }
    }

    /// Whether the time has passed for which it may be taken up.
    fn is_over(&self, now: Millis) -> bool {
        self.until < now
    }

    /// The stream with this id as others are told of it.
    fn begun(&self, now: Millis, stream: &Name) -> Begun {
        Begun {
            stream: stream.clone(),
            origin: self.origin.clone(),
            keep_ms: self.until.saturating_sub(now),
        }
    }
}

/// Streams are kept until these times, and are too many. Returns the time before which the eighth of them ends
/// that is dropped, so that the work of dropping is small for each stream.
fn drop_before(mut ends: Vec<Millis>) -> Millis {
    ends.sort_unstable();
    ends.get(ends.len() / 8).map_or(0, |end| end + 1)
}

/// Milliseconds for which a stream may be taken up whose caller waits for `timeout_ms` in all.
pub fn keep_ms(timeout_ms: u64) -> u64 {
    timeout_ms.saturating_add(KEEP_MARGIN_MS).min(KEEP_MAX_MS)
}
