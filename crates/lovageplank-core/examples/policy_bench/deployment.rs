//! The two simulated deployments: engines, models, weight store and daily activity.

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
    /// Name.
    pub name: &'static str,
    /// Failure domains.
    pub domains: &'static [&'static str],
    /// Number of engines.
    pub engines: usize,
    /// Number of routers.
    pub routers: usize,
    /// Number of models.
    pub models: usize,
    /// Loads per second that the weight store starts.
    pub store_rate: f64,
    /// Default deadline in milliseconds.
    pub deadline_ms: u64,
    /// Hours of the day at which sessions of many models start together.
    pub peaks: &'static [f64],
    /// Activity by hour of the day, 0 to 1.
    pub activity: [f64; 24],
    /// Cost weights of a second of waiting and of an idle accelerator second.
    pub weights: (f64, f64),
    /// Whether a load adds the weights to the caches of the engine's instance.
    pub caches_fill: bool,
}

/// Haddad & Sons: a working day from six in the morning to five in the afternoon, peaks when shifts
/// start.
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

/// Pustaka Bersama: school hours, then an evening peak from children.
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
    /// The settings tree with the given cost weights.
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

    /// The engines, without replicas and with some cached weights on their disks.
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
