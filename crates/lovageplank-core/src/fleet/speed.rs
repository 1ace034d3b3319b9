//! How fast servers work, by what they state and by how fast they stream.
//!
//! Servers of some services state their load in each response, some of them also how long work takes on
//! their machine at this moment. That changes within some hundred milliseconds, while a router sends the
//! same server a request every twenty seconds or so. So routers report what they are told to the leader,
//! which relays what differs from what routers assume.
//!
//! *Slowness* is the time that work takes, relative to the usual time: 1 is as usual, 2 takes twice as long.
//!
//! - [`Estimate`]: the current and the long-term slowness of one server.
//! - [`Table`]: the estimates of a router, and what it reports.
//! - [`Collector`]: the estimates of the leader, and what it relays.
//! - [`Timer`]: measures how fast the events of a stream arrive.

mod collector;
mod estimate;
mod table;
mod timer;

pub use collector::Collector;
pub use estimate::{Average, Estimate, HALF_LIFE_MS, MAX_AGE_MS};
pub use table::{Identity, Table};
pub use timer::Timer;

use crate::prelude::*;

/// Protocol version since which processes know messages about the speed of servers.
pub const PROTOCOL: u32 = 7;
/// Hundredths of the usual time that a server may state at most.
const PERCENT_MAX: u32 = 10_000;
/// Requests for each slot that a server may state at most, running and waiting each.
const REQUESTS_PER_SLOT_MAX: u64 = 8;

record! { copy =>
    /// What a server states of its load in a response.
    pub struct Figures {
        /// Requests that it runs.
        pub running: u32,
        /// Requests that wait for a slot.
        pub waiting: u32,
        /// Requests that it runs at once.
        pub slots: u32,
        /// How long work takes on its machine at this moment, in hundredths of the usual time.
        pub percent: Option<u32>,
    }
}

impl Figures {
    /// Whether a server can be in this state. Others are ignored: they would draw all requests to a server
    /// or keep all from it.
    pub fn is_plausible(&self) -> bool {
        let most = u64::from(self.slots) * REQUESTS_PER_SLOT_MAX;
        let is_load_plausible = u64::from(self.running) <= most && u64::from(self.waiting) <= most;
        let is_speed_plausible = self
            .percent
            .is_none_or(|percent| (1..=PERCENT_MAX).contains(&percent));
        self.slots > 0 && is_load_plausible && is_speed_plausible
    }

    /// Requests that it has, running or waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

// The fields have short outer names: these messages are sent several times a second.
record! { key =>
    /// What an incarnation of a server has stated of its speed.
    pub struct Statement {
        /// Name of the server.
        #[serde(rename = "s")]
        pub server: Name,
        /// The incarnation that stated it.
        #[serde(rename = "b")]
        pub incarnation: u64,
        /// How long work takes there, in hundredths of the usual time.
        #[serde(rename = "p")]
        pub percent: u32,
        /// Milliseconds since the response.
        #[serde(rename = "a")]
        pub age_ms: u64,
    }
}

record! { key =>
    /// How fast an incarnation of a server has streamed to one router, since its previous report.
    pub struct Pace {
        /// Name of the server.
        #[serde(rename = "s")]
        pub server: Name,
        /// The incarnation.
        #[serde(rename = "b")]
        pub incarnation: u64,
        /// Mean time between two events, in hundredths of that of all servers with the same model.
        #[serde(rename = "p")]
        pub percent: u32,
        /// Measurements that it is the mean of.
        #[serde(rename = "n")]
        pub samples: u32,
    }
}

record! { key =>
    /// Long-term speed of an incarnation of a server, from the statements and measurements of all routers.
    pub struct Lasting {
        /// Name of the server.
        #[serde(rename = "s")]
        pub server: Name,
        /// The incarnation.
        #[serde(rename = "b")]
        pub incarnation: u64,
        /// Mean of what it stated, in hundredths of the usual time.
        #[serde(rename = "m")]
        pub stated_percent: u32,
        /// Statements that it is the mean of.
        #[serde(rename = "k")]
        pub statements: u32,
        /// Mean time between two events, in hundredths of that of all servers with the same model.
        #[serde(rename = "p")]
        pub pace_percent: u32,
        /// Measurements that it is the mean of.
        #[serde(rename = "n")]
        pub samples: u32,
    }
}

record! { key =>
    /// What a router tells the leader of the speed of servers.
    #[derive(Default)]
    pub struct Report {
        /// The newest statement of each server since the previous report.
        #[serde(rename = "f", default)]
        pub statements: Vec<Statement>,
        /// How fast servers have streamed.
        #[serde(rename = "l", default)]
        pub paces: Vec<Pace>,
    }
}

record! { key =>
    /// What the leader tells routers of the speed of servers.
    #[derive(Default)]
    pub struct Relay {
        /// Statements that differ from what routers assume.
        #[serde(rename = "f", default)]
        pub statements: Vec<Statement>,
        /// Long-term speeds that have changed, or haven't been sent for long.
        #[serde(rename = "l", default)]
        pub lasting: Vec<Lasting>,
    }
}

/// A slowness from hundredths.
fn ratio(percent: u32) -> f64 {
    f64::from(percent) / 100.0
}

/// A slowness in hundredths.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
fn percent(ratio: f64) -> u32 {
    (ratio * 100.0).round() as u32
}
