//! Engines with what is decided but doesn't show yet.

use super::track::Track;
use super::{Engine, Resident};
use crate::prelude::*;
use crate::view::{Phase, ReplicaId};

/// One engine in the planner's eyes.
#[derive(Debug)]
pub(super) struct Place<'a> {
    pub(super) engine: &'a Engine,
    /// Memory that is free now, pending loads taken off.
    pub(super) free_mb: u64,
    /// Memory that drains in progress will free.
    pub(super) coming_mb: u64,
    /// Models that hold or await memory here.
    pub(super) models: BTreeSet<Name>,
    /// Replicas that can serve and are not about to leave.
    pub(super) ready: Vec<&'a Resident>,
}

/// All live engines.
pub(super) struct Fleet<'a> {
    pub(super) places: Vec<Place<'a>>,
}

impl<'a> Fleet<'a> {
    /// Folds the decided loads and drains into the engines.
    pub(super) fn new(engines: &'a [Engine], track: &Track) -> Fleet<'a> {
        let places = engines
            .iter()
            .filter(|e| e.live)
            .map(|e| Place::new(e, track))
            .collect();
        Fleet { places }
    }

    /// Replicas of a model that serve, with their engines.
    pub(super) fn ready<'b>(
        &'b self,
        model: &'b str,
    ) -> impl Iterator<Item = (&'b Place<'a>, &'a Resident)> {
        self.places
            .iter()
            .flat_map(|p| p.ready.iter().map(move |r| (p, *r)))
            .filter(move |(_, r)| *r.model == *model)
    }

    /// Engines that hold or await a replica of a model in any phase.
    pub(super) fn holders<'b>(&'b self, model: &'b str) -> impl Iterator<Item = &'b Place<'a>> {
        self.places.iter().filter(move |p| p.models.contains(model))
    }

    /// Takes memory for a load.
    pub(super) fn reserve(&mut self, index: usize, model: &Name, memory_mb: u64) {
        let place = &mut self.places[index];
        place.free_mb = place.free_mb.saturating_sub(memory_mb);
        place.models.insert(model.clone());
    }

    /// Marks memory that drains will free as promised to a load.
    pub(super) fn promise(&mut self, index: usize, memory_mb: u64) {
        let place = &mut self.places[index];
        let short_mb = memory_mb.saturating_sub(place.free_mb);
        place.free_mb = place.free_mb.saturating_sub(memory_mb);
        place.coming_mb = place.coming_mb.saturating_sub(short_mb);
    }

    /// Takes a replica that is to be drained off those that serve.
    pub(super) fn drain(&mut self, replica: &ReplicaId) {
        for place in &mut self.places {
            if place.engine.id == replica.engine {
                place.drain(replica);
            }
        }
    }
}

impl<'a> Place<'a> {
    fn new(engine: &'a Engine, track: &Track) -> Place<'a> {
        let mut place = Place {
            engine,
            free_mb: engine.free_mb,
            coming_mb: 0,
            models: BTreeSet::new(),
            ready: Vec::new(),
        };
        for resident in &engine.residents {
            place.add(resident, track);
        }
        let unseen = track
            .loads
            .iter()
            .filter(|(id, load)| id.engine == engine.id && !load.seen);
        for (id, load) in unseen {
            place.free_mb = place.free_mb.saturating_sub(load.memory_mb);
            place.models.insert(id.model.clone());
        }
        place
    }

    fn add(&mut self, resident: &'a Resident, track: &Track) {
        self.models.insert(resident.model.clone());
        let leaving = resident.phase == Phase::Draining
            || track.drain_pending(&self.engine.replica_id(resident));
        if leaving {
            self.coming_mb += resident.memory_mb;
        } else if resident.phase == Phase::Ready && !resident.unresolved {
            self.ready.push(resident);
        }
    }

    fn drain(&mut self, replica: &ReplicaId) {
        let leaves = |r: &&Resident| r.model == replica.model && r.version == replica.version;
        let freed_mb: u64 = self
            .ready
            .iter()
            .filter(|r| leaves(r))
            .map(|r| r.memory_mb)
            .sum();
        self.coming_mb += freed_mb;
        self.ready.retain(|r| !leaves(r));
    }

    /// Whether nothing holds or awaits memory here.
    pub(super) fn is_empty(&self) -> bool {
        self.models.is_empty()
    }
}
