//! Whether a router reaches servers at all, from its own attempts to open connections.
//!
//! One server that can't be reached has a fault of its own. If several can't be reached one after the other
//! and none can in between, it is the router that is cut off: a server's announcements go to control
//! processes, so they say nothing about the router's own paths.

use crate::prelude::*;

/// Servers that can't be reached, one after the other, from which the router counts as cut off.
const UNREACHED_MIN: usize = 3;
/// Milliseconds for which a failed attempt counts.
const FAILURE_TTL_MS: Millis = 2_000;

/// A change of what a router reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It reaches no server any more.
    CutOff,
    /// It reaches a server again.
    Restored,
}

/// What a router knows of its paths to servers.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// When each server last couldn't be reached, since a connection to any server was opened.
    unreached: BTreeMap<Name, Millis>,
    is_cut_off: bool,
}

impl Reach {
    /// Records that a connection to a server was opened.
    pub fn opened(&mut self) -> Option<Change> {
        self.unreached.clear();
        std::mem::take(&mut self.is_cut_off).then_some(Change::Restored)
    }

    /// Records that no connection to a server could be opened. `known` is the number of servers that the
    /// router may send requests to: if they are few, all of them have to be out of reach.
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

    /// Whether the router reaches no server.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Whether a server other than this one couldn't be reached lately, and none has been reached since.
    pub fn has_failed_elsewhere(&self, now: Millis, address: &str) -> bool {
        let mut others = self
            .unreached
            .iter()
            .filter(|(other, _)| &***other != address);
        others.any(|(_, at)| now < *at + FAILURE_TTL_MS)
    }
}
