//! Engines that answer as their interface requires.

use crate::samples::loaded_model;
use lovageplank_core::fleet::placement::Report;
use lovageplank_core::fleet::registry::CachedWeights;
use lovageplank_core::prelude::*;

/// Copies that fit on the disk of an engine.
pub const COPIES: usize = 11;

#[derive(Clone, Debug, Default)]
pub struct FakeEngine {
    pub commands: u64,
    pub loaded: BTreeMap<Name, BTreeSet<Name>>,
    /// Copies on its disk, the least recently used first.
    pub copies: Vec<Name>,
    pub loading: Option<Loading>,
    /// States that reports may show, with the time of each.
    pub past: Vec<(Millis, Report)>,
}

#[derive(Clone, Debug)]
pub struct Loading {
    pub model: Name,
    pub from_store: bool,
    pub ends_at: Millis,
}

impl FakeEngine {
    pub fn report(&self) -> Report {
        let loaded = self.loaded.iter().map(|(model, adapters)| {
            let adapters: Vec<&str> = adapters.iter().map(|a| &**a).collect();
            loaded_model(model, &adapters)
        });
        Report {
            incarnation: 1_000,
            accepted_commands: self.commands,
            busy: self.loading.is_some(),
            loaded: loaded.collect(),
            loading_adapters: Vec::new(),
            cached_weights: Some(self.cached_weights()),
        }
    }

    pub fn cached_weights(&self) -> CachedWeights {
        CachedWeights {
            memory: BTreeSet::new(),
            disk: self.copies.iter().cloned().collect(),
        }
    }

    /// Records that the model was used last, and drops the copy that wasn't used for longest if the disk is full.
    pub fn use_copy(&mut self, model: &Name) {
        self.copies.retain(|copy| copy != model);
        self.copies.push(model.clone());
        if self.copies.len() > COPIES {
            self.copies.remove(0);
        }
    }

    pub fn loads(&self, model: &Name) -> bool {
        let loading = self.loading.as_ref();
        loading.is_some_and(|loading| loading.model == *model)
    }

    pub fn loads_from_store(&self) -> bool {
        self.loading
            .as_ref()
            .is_some_and(|loading| loading.from_store)
    }
}
