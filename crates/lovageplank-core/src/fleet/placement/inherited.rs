//! Loads from the weight store that no engine's known state shows: those of former leaders, and those whose engines
//! have left meanwhile.

use super::Planner;
use super::engine::Engine;
use crate::fleet::store::Load;
use crate::prelude::*;

/// A load from the store that counts until it should have ended.
#[derive(Clone, Debug)]
pub(super) struct Inherited {
    pub(super) server: Name,
    incarnation: u64,
    pub(super) model: Name,
    pub(super) ends_at: Millis,
}

impl Inherited {
    fn is_at(&self, engine: &Engine) -> bool {
        engine.incarnation == self.incarnation
    }
}

impl Planner {
    /// Records the loads from the weight store that a former leader began. Has to be called when this planner begins.
    pub fn inherit_store_loads(&mut self, now: Millis, loads: impl IntoIterator<Item = Load>) {
        let loads = loads.into_iter().map(|load| Inherited {
            server: load.server,
            incarnation: load.incarnation,
            model: load.model,
            ends_at: now + load.remaining_ms,
        });
        self.inherited.extend(loads);
    }

    /// Returns the loads from the weight store in progress, for processes that may succeed this leader.
    pub fn store_loads(&self, now: Millis) -> Vec<Load> {
        let own = self.engines.iter().filter_map(|(id, engine)| {
            let load = engine.store_load()?;
            Some(Load {
                server: id.clone(),
                incarnation: engine.incarnation,
                model: load.model.clone(),
                remaining_ms: load.ends_at().saturating_sub(now),
            })
        });
        let inherited = self.inherited.iter().map(|load| Load {
            server: load.server.clone(),
            incarnation: load.incarnation,
            model: load.model.clone(),
            remaining_ms: load.ends_at.saturating_sub(now),
        });
        own.chain(inherited).collect()
    }

    /// Keeps the load from the store of an engine that leaves: the store may go on with it.
    pub(super) fn keep_store_load(&mut self, id: &str) {
        let Some((id, engine)) = self.engines.get_key_value(id) else {
            return;
        };
        if let Some(load) = engine.store_load() {
            self.inherited.push(Inherited {
                server: id.clone(),
                incarnation: engine.incarnation,
                ends_at: load.ends_at(),
                model: load.model,
            });
        }
    }

    /// Drops the loads that should have ended, and those at engines that have reported since and carry out nothing.
    pub(super) fn expire_inherited(&mut self, now: Millis) {
        let engines = &self.engines;
        self.inherited.retain(|load| {
            let engine = engines
                .get(&load.server)
                .filter(|engine| load.is_at(engine));
            now < load.ends_at && engine.is_none_or(|engine| !engine.has_known_state())
        });
    }

    /// The inherited load of an engine that is here.
    pub(super) fn inherited_at(&self, id: &Name, engine: &Engine) -> Option<&Inherited> {
        let mut loads = self.inherited.iter();
        loads.find(|load| load.server == *id && load.is_at(engine))
    }

    /// Loads from the store that are in progress or about to begin.
    pub(super) fn store_loads_active(&self, now: Millis) -> usize {
        let engines = self.engines.iter().filter(|(_, e)| e.loads_from_store(now));
        let others = engines.filter(|(id, engine)| self.inherited_at(id, engine).is_none());
        others.count() + self.inherited.len()
    }

    /// Milliseconds until the first load from the store in progress should have ended; `None` without one.
    pub(super) fn first_store_end_ms(&self, now: Millis) -> Option<Millis> {
        let engines = self.engines.iter().filter(|(_, e)| e.loads_from_store(now));
        let others = engines.filter(|(id, engine)| self.inherited_at(id, engine).is_none());
        let others = others.map(|(_, engine)| {
            let other_load_ms = engine.other_store_load_ms(now, self.longest_store_ms);
            let own_ms = engine.store_load().map(|_| engine.remaining_ms(now));
            // Until its command is sent, a load has all of its time before it.
            other_load_ms.or(own_ms).unwrap_or(self.longest_store_ms)
        });
        let inherited = self.inherited.iter();
        let inherited = inherited.map(|load| load.ends_at.saturating_sub(now));
        others.chain(inherited).min()
    }
}
