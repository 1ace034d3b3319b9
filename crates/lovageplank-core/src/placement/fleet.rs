//! The engines with the decided loads and drains that they don't report yet.

use super::tracker::Tracker;
use super::{Engine, Replica};
use crate::prelude::*;
use crate::view::{Phase, ReplicaId};

/// One engine with its pending loads and drains applied.
#[derive(Debug)]
pub(super) struct EngineView<'a> {
    pub(super) engine: &'a Engine,
    /// Free memory in megabytes, without the memory of pending loads.
    pub(super) free_mb: u64,
    /// Memory in megabytes that drains in progress will free.
    pub(super) draining_mb: u64,
    /// Models with a replica in any phase or a pending load.
    pub(super) models: BTreeSet<Name>,
    /// Replicas that serve and have no drain or unresolved command.
    pub(super) ready: Vec<&'a Replica>,
}

/// All live engines.
pub(super) struct Fleet<'a> {
    pub(super) engines: Vec<EngineView<'a>>,
}

impl<'a> Fleet<'a> {
    /// Applies pending loads and drains to the live engines.
    pub(super) fn new(engines: &'a [Engine], tracker: &Tracker) -> Fleet<'a> {
        let engines = engines
            .iter()
            .filter(|e| e.live)
            .map(|e| EngineView::new(e, tracker))
            .collect();
        Fleet { engines }
    }

    /// Ready replicas of a model, with their engines.
    pub(super) fn ready<'b>(
        &'b self,
        model: &'b str,
    ) -> impl Iterator<Item = (&'b EngineView<'a>, &'a Replica)> {
        self.engines
            .iter()
            .flat_map(|v| v.ready.iter().map(move |r| (v, *r)))
            .filter(move |(_, r)| *r.model == *model)
    }

    /// Engines with a replica of a model in any phase or a pending load of it.
    pub(super) fn engines_with<'b>(
        &'b self,
        model: &'b str,
    ) -> impl Iterator<Item = &'b EngineView<'a>> {
        self.engines
            .iter()
            .filter(move |v| v.models.contains(model))
    }

    /// Reserves free memory for a load that starts.
    pub(super) fn reserve(&mut self, index: usize, model: &Name, memory_mb: u64) {
        let view = &mut self.engines[index];
        view.free_mb = view.free_mb.saturating_sub(memory_mb);
        view.models.insert(model.clone());
    }

    /// Reserves memory for a load that starts later: free memory first, then memory that drains
    /// will free.
    pub(super) fn reserve_draining(&mut self, index: usize, memory_mb: u64) {
        let view = &mut self.engines[index];
        let short_mb = memory_mb.saturating_sub(view.free_mb);
        view.free_mb = view.free_mb.saturating_sub(memory_mb);
        view.draining_mb = view.draining_mb.saturating_sub(short_mb);
    }

    /// Moves a replica that will be drained out of the ready ones and counts its memory as
    /// draining.
    pub(super) fn drain(&mut self, replica: &ReplicaId) {
        for view in &mut self.engines {
            if view.engine.id == replica.engine {
                view.drain(replica);
            }
        }
    }
}

impl<'a> EngineView<'a> {
    fn new(engine: &'a Engine, tracker: &Tracker) -> EngineView<'a> {
        let mut view = EngineView {
            engine,
            free_mb: engine.free_mb,
            draining_mb: 0,
            models: BTreeSet::new(),
            ready: Vec::new(),
        };
        for replica in &engine.replicas {
            view.add(replica, tracker);
        }
        let unreported = tracker
            .loads
            .iter()
            .filter(|(id, load)| id.engine == engine.id && !load.reported);
        for (id, load) in unreported {
            view.free_mb = view.free_mb.saturating_sub(load.memory_mb);
            view.models.insert(id.model.clone());
        }
        view
    }

    fn add(&mut self, replica: &'a Replica, tracker: &Tracker) {
        self.models.insert(replica.model.clone());
        let draining = replica.phase == Phase::Draining
            || tracker.drain_pending(&self.engine.replica_id(replica));
        if draining {
            self.draining_mb += replica.memory_mb;
        } else if replica.phase == Phase::Ready && !replica.unresolved {
            self.ready.push(replica);
        }
    }

    fn drain(&mut self, replica: &ReplicaId) {
        let is_drained = |r: &&Replica| r.model == replica.model && r.version == replica.version;
        let freed_mb: u64 = self
            .ready
            .iter()
            .filter(|r| is_drained(r))
            .map(|r| r.memory_mb)
            .sum();
        self.draining_mb += freed_mb;
        self.ready.retain(|r| !is_drained(r));
    }

    /// Whether the engine has no replica and no pending load.
    pub(super) fn is_empty(&self) -> bool {
        self.models.is_empty()
    }
}
