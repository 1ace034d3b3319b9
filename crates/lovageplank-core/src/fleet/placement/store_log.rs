//! Which loads from the weight store begin and end, for logs.
//!
//! The store is shared by all engines and bears few loads at a time, so each load that it spends on a
//! model is one that another model waits for.

use super::Planner;
use super::demand::Want;
use super::engine::StoreLoad;
use super::load_cost::is_cached;
use crate::prelude::*;

/// Events that are kept at most until they are taken.
const EVENTS_MAX: usize = 256;

/// A load from the store that has begun or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// The planner has chosen the load; models that it needs the memory of are unloaded first.
    Begun {
        /// Name of the engine.
        engine: Name,
        /// Name of the model.
        model: Name,
        /// For whom it is loaded.
        purpose: Purpose,
        /// Engines that have the model already.
        holders: Holders,
        /// Models that callers ask for and no engine has, this one included.
        missing: usize,
        /// Loads from the store that are in progress, this one included.
        concurrent: usize,
        /// Loads that the store is believed to sustain.
        limit: usize,
    },
    /// A report has shown the end of the load.
    Ended {
        /// Name of the engine.
        engine: Name,
        /// Name of the model.
        model: Name,
        /// Milliseconds since the command.
        took_ms: u64,
        /// Milliseconds that it takes at full speed.
        min_ms: u64,
        /// Loads from the store that were in progress when it began, this one included.
        concurrent: usize,
        /// Loads that the store is believed to sustain from now on.
        limit: usize,
    },
}

record! { copy =>
    /// Numbers of engines that accept requests and have a model.
    #[derive(Default)]
    pub struct Holders {
        /// Those that have it loaded.
        pub loaded: usize,
        /// Those that have its weights cached, whether it is loaded there or not.
        pub cached: usize,
    }
}

record! { copy =>
    /// For whom a model is loaded.
    pub enum Purpose {
        /// Requests wait for it.
        Waiting,
        /// Requests for it were refused, or fill its engines.
        Requested,
        /// Nobody has asked for it lately.
        Ahead,
    }
}

impl Purpose {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Waiting => "waiting",
            Purpose::Requested => "requested",
            Purpose::Ahead => "ahead",
        }
    }
}

impl Planner {
    /// Returns the loads from the store that have begun or ended since the last call.
    pub fn take_store_events(&mut self) -> Vec<StoreEvent> {
        std::mem::take(&mut self.store_events)
    }

    /// Returns how many engines have a model.
    pub fn holders(&self, now: Millis, model: &Name) -> Holders {
        let mut holders = Holders::default();
        for engine in self.engines.values().filter(|e| e.is_alive(now)) {
            holders.loaded += usize::from(engine.loaded.contains_key(model));
            holders.cached += usize::from(is_cached(engine, model));
        }
        holders
    }

    /// Records that a load from the store begins.
    pub(super) fn store_load_begun(
        &mut self,
        now: Millis,
        service: &Name,
        engine: &Name,
        want: &Want,
        concurrent: usize,
        missing: usize,
    ) {
        self.store_limiter.load_started(now);
        let purpose = if want.waiting > 0 {
            Purpose::Waiting
        } else if self.is_asked_for(now, service, &want.model) {
            Purpose::Requested
        } else {
            Purpose::Ahead
        };
        self.record_store_event(StoreEvent::Begun {
            engine: engine.clone(),
            model: want.model.clone(),
            purpose,
            holders: self.holders(now, &want.model),
            missing,
            concurrent,
            limit: self.store_limiter.concurrent_loads(),
        });
    }

    /// Records that a load from the store has ended, which shows how many loads the store sustains.
    pub(super) fn store_load_ended(&mut self, now: Millis, engine: &str, load: &StoreLoad) {
        let took_ms = now.saturating_sub(load.since);
        let pending = self.engines.values().filter_map(|e| e.pending_store_load());
        let is_last = pending
            .into_iter()
            .all(|other| !other.began_with(load.since));
        self.store_limiter
            .load_ended(now, took_ms, load.min_ms, load.concurrent, is_last);
        self.record_store_event(StoreEvent::Ended {
            engine: engine.into(),
            model: load.model.clone(),
            took_ms,
            min_ms: load.min_ms,
            concurrent: load.concurrent,
            limit: self.store_limiter.concurrent_loads(),
        });
    }

    fn record_store_event(&mut self, event: StoreEvent) {
        if self.store_events.len() < EVENTS_MAX {
            self.store_events.push(event);
        }
    }
}
