//! Loads from the weight store that are in progress, as the leader tells the processes that may succeed it.
//!
//! At a store that bears few loads, one that begins beside others takes longer for all of its time. A new leader can't
//! ask an engine that has left what it was loading, nor an engine that loads which model it is. So each control process
//! keeps the leader's list.

use crate::prelude::*;

/// Protocol version since which control processes know the message.
pub const PROTOCOL: u32 = 8;

record! { key =>
    /// A load from the weight store that is in progress.
    pub struct Load {
        /// Name of the engine.
        pub server: Name,
        /// Incarnation of the engine.
        #[serde(rename = "born_ms")]
        pub incarnation: u64,
        /// Name of the model.
        pub model: Name,
        /// Milliseconds until the load is expected to have ended.
        pub remaining_ms: u64,
    }
}

record! { key =>
    /// All loads from the weight store that a leader knows of.
    #[derive(Default)]
    pub struct Loads {
        /// Term of the leader.
        pub term: u64,
        /// The loads.
        pub loads: Vec<Load>,
    }
}

/// What a control process was last told of the loads in progress.
#[derive(Clone, Debug, Default)]
pub struct Record {
    told_at: Millis,
    last: Loads,
}

impl Record {
    /// Records what a leader tells. What leaders of earlier terms tell is ignored.
    pub fn update(&mut self, now: Millis, loads: Loads) {
        if loads.term >= self.last.term {
            self.told_at = now;
            self.last = loads;
        }
    }

    /// Returns the loads that should still be in progress.
    pub fn in_progress(&self, now: Millis) -> Vec<Load> {
        let passed_ms = now.saturating_sub(self.told_at);
        let loads = self.last.loads.iter();
        let in_progress = loads.filter(|load| load.remaining_ms > passed_ms);
        let in_progress = in_progress.map(|load| Load {
            remaining_ms: load.remaining_ms - passed_ms,
            ..load.clone()
        });
        in_progress.collect()
    }
}
