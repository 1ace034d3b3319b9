//! The two deployments: engines, models, store and rhythm.

use crate::assumptions::{
    BATCH_SIZE, ENGINE_MB, INITIAL_DISK_CACHE_MODELS, MODEL_MB, STORE_MB_PER_MS,
};
use lovageplank_core::placement::Engine;
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Kind, Model, Service, Tree, Values};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A user's deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its failure domains.
    pub domains: &'static [&'static str],
    /// Engines that serve models.
    pub engines: usize,
    /// Instances that callers come in by.
    pub routers: usize,
    /// Models.
    pub models: usize,
    /// Loads per second that the weight store starts.
    pub store_rate: f64,
    /// Milliseconds that a caller waits unless it asks for less.
    pub deadline_ms: u64,
    /// Hours at which many models wake together.
    pub peaks: &'static [f64],
    /// Activity by hour of the day, 0 to 1.
    pub activity: [f64; 24],
    /// Weights of a second of waiting and of an idle accelerator second.
    pub weights: (f64, f64),
    /// Whether a load leaves the weights in the caches of the engine's instance.
    pub caches_fill: bool,
}

/// Haddad & Sons: a working day from six to five, peaks when shifts start.
pub const HADDAD: Deployment = Deployment {
    name: "haddad",
    domains: &["amman-east", "amman-west", "salt"],
    engines: 12,
    routers: 9,
    models: 65,
    store_rate: 4.0,
    deadline_ms: 30_000,
    peaks: &[6.5, 12.5, 15.0],
    activity: [
        0.05, 0.05, 0.05, 0.05, 0.1, 0.3, 1.0, 1.0, 0.9, 0.8, 0.8, 0.7, 0.9, 0.9, 0.8, 0.9, 0.7,
        0.4, 0.2, 0.2, 0.1, 0.1, 0.05, 0.05,
    ],
    weights: (100.0, 1.0),
    caches_fill: true,
};

/// Pustaka Bersama: school hours, then a peak of children in the evening.
pub const PUSTAKA: Deployment = Deployment {
    name: "pustaka",
    domains: &["shah-alam", "klang", "kapar", "puncak-alam"],
    engines: 9,
    routers: 10,
    models: 50,
    store_rate: 3.0,
    deadline_ms: 60_000,
    peaks: &[8.0, 19.5, 21.0],
    activity: [
        0.05, 0.03, 0.03, 0.03, 0.05, 0.1, 0.2, 0.5, 0.6, 0.6, 0.5, 0.5, 0.6, 0.6, 0.5, 0.4, 0.4,
        0.4, 0.6, 0.9, 1.0, 1.0, 0.6, 0.2,
    ],
    weights: (10.0, 1.0),
    caches_fill: true,
};

impl Deployment {
    /// The settings tree, with the given weights.
    pub fn tree(&self, seed: u64, weights: (f64, f64)) -> Tree {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x7ee);
        let models = (0..self.models).map(|index| {
            let memory_mb = rng.random_range(MODEL_MB.0..=MODEL_MB.1);
            let model = Model {
                version: "1".into(),
                memory_mb,
                settings: Values {
                    load_ms: Some(memory_mb / STORE_MB_PER_MS),
                    ..Values::default()
                },
                ..Model::default()
            };
            (model_name(index), model)
        });
        let service = Service {
            kind: Kind::Engine,
            models: models.collect(),
            ..Service::default()
        };
        Tree {
            settings: Values {
                deadline_ms: Some(self.deadline_ms),
                batch_size: Some(BATCH_SIZE),
                cold_start_weight: Some(weights.0),
                idle_weight: Some(weights.1),
                store_loads_per_second: Some(self.store_rate),
                ..Values::default()
            },
            services: BTreeMap::from([("assistant".into(), service)]),
        }
    }

    /// The engines, empty, with some weights on their disks.
    pub fn fleet(&self, seed: u64) -> Vec<Engine> {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0xd15c);
        let mut engines = Vec::new();
        for index in 0..self.engines {
            let domain = self.domains[index % self.domains.len()];
            let mut engine = Engine::new(format!("e{index:02}"), domain, ENGINE_MB);
            engine.services.insert("assistant".into());
            for _ in 0..INITIAL_DISK_CACHE_MODELS {
                let model = model_name(rng.random_range(0..self.models));
                engine.cached.disk.insert(model);
            }
            engines.push(engine);
        }
        engines
    }
}

/// Name of a model by index.
pub fn model_name(index: usize) -> Name {
    format!("m{index:02}").into()
}
