//! Whether a router reaches any server of a service, from its own attempts to open connections.
//!
//! One server that can't be reached has a fault of its own. If several can't be reached one after the other
//! and none can in between, it is the router that is cut off: a server's announcements go to control
//! processes, so they say nothing about the router's own paths.

use crate::prelude::*;

/// Servers that can't be reached, one after the other, from which the router counts as cut off.
const UNREACHED_MIN: usize = 3;
/// Milliseconds for which a failed attempt counts.
const FAILURE_TTL_MS: Millis = 2_000;

/// A change of what a router reaches of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It reaches no server of the service any more.
    CutOff,
    /// It reaches one again.
    Restored,
}

/// What a router knows of its paths to the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// When each server last couldn't be reached, since a connection to any of them was opened.
    unreached: BTreeMap<Name, Millis>,
    is_cut_off: bool,
}

impl Reach {
    /// Records that a connection to a server was opened.
    pub fn opened(&mut self) -> Option<Change> {
        self.unreached.clear();
        std::mem::take(&mut self.is_cut_off).then_some(Change::Restored)
    }

    /// Records that no connection to a server could be opened. `known` is the number of servers of the
    /// service that accept requests: if they are few, all of them have to be out of reach.
    pub fn failed(&mut self, now: Millis, address: &Name, known: usize) -> Option<Change> {
        self.unreached.retain(|_, at| now < *at + FAILURE_TTL_MS);
        self.unreached.insert(address.clone(), now);
        let enough = UNREACHED_MIN.min(known.max(2));
        if self.is_cut_off || self.unreached.len() < enough {
            return None;
        }
        self.is_cut_off = true;
        Some(Change::CutOff)
    }

    /// Whether the router reaches no server of the service.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }
}
