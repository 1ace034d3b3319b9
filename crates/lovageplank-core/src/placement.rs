//! Decides which engine loads and unloads which model.
//!
//! A [`Planner`] receives the routers' demand reports and the durations of loads.
//! [`Planner::decide`] compares the demand with the replicas on the engines and returns commands
//! to commit. A decision reserves nothing: the ledger checks memory and replica counts when a
//! command is committed, and may refuse it.
//!
//! ```
//! use lovageplank_core::demand::{DemandReport, ModelDemand};
//! use lovageplank_core::placement::{Action, Config, Engine, Planner};
//! use lovageplank_core::settings::Tree;
//! let tree = Tree::parse(r#"{"services": {"drafting": {"kind": "engine",
//!     "models": {"lime": {"version": "1", "memory_mb": 16000}}}}}"#).unwrap();
//! let mut engine = Engine::new("e1", "salt", 80_000);
//! engine.services.insert("drafting".into());
//! let mut planner = Planner::new(Config::new().seed(7));
//! let lime = ModelDemand { waiting: 1, deadline_in_ms: Some(30_000), ..ModelDemand::new("lime") };
//! planner.observe_demand(0, "r1", &DemandReport { models: vec![lime] });
//! let actions = planner.decide(0, &tree, &[engine]);
//! assert!(matches!(&actions[..], [Action::Load { .. }]));
//! ```
//!
//! Rules:
//!
//! - A load starts only on an engine whose memory is free in the worst case. Otherwise idle
//!   replicas are drained first, those with the lowest expected cost of a reload before others.
//! - A replica that runs requests is never drained to free memory.
//! - A burst gets one replica unless more requests wait and run than fit into one batch.
//! - Engines in failure domains without a replica of the model are preferred.

mod adapters;
mod choice;
mod config;
mod drains;
mod fleet;
mod loads;
mod planner;
mod target;
mod tracker;
mod usage;

use crate::backend::CachedWeights;
use crate::prelude::*;
use crate::view::{Phase, ReplicaId};

pub use config::Config;
pub use planner::Planner;
pub use usage::{Meter, Usage};

/// An engine and the replicas that the ledger records on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Unique name.
    pub id: Name,
    /// Failure domain.
    pub failure_domain: Name,
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
    /// Services whose models the engine may load.
    pub services: BTreeSet<Name>,
    /// Weights cached in main memory and on disk of the engine's instance.
    pub cached: CachedWeights,
    /// Whether the engine's lease is valid and it accepts new work.
    pub live: bool,
    /// Replicas that occupy accelerator memory or may come to occupy it.
    pub replicas: Vec<Replica>,
    /// Accelerator memory in megabytes that is free in the worst case.
    pub free_mb: u64,
}

impl Engine {
    /// A live engine without replicas, cached weights or services.
    pub fn new(id: impl Into<Name>, failure_domain: impl Into<Name>, memory_mb: u64) -> Engine {
        Engine {
            id: id.into(),
            failure_domain: failure_domain.into(),
            memory_mb,
            services: BTreeSet::new(),
            cached: CachedWeights::default(),
            live: true,
            replicas: Vec::new(),
            free_mb: memory_mb,
        }
    }

    /// The id of a replica on this engine.
    pub fn replica_id(&self, replica: &Replica) -> ReplicaId {
        ReplicaId {
            model: replica.model.clone(),
            version: replica.version.clone(),
            engine: self.id.clone(),
        }
    }
}

/// A replica on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// The model.
    pub model: Name,
    /// The model's version.
    pub version: Name,
    /// Whether the replica is loading, ready or draining.
    pub phase: Phase,
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
    /// Requests that are running.
    pub running: u32,
    /// Loaded adapters.
    pub adapters: BTreeSet<Name>,
    /// Whether a command for the replica may still execute on the engine.
    pub unresolved: bool,
}

/// A command to commit.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Load a replica.
    Load {
        /// The model.
        model: Name,
        /// The model's version.
        version: Name,
        /// The engine that loads it.
        engine: Name,
        /// Accelerator memory in megabytes that the replica needs.
        memory_mb: u64,
        /// Maximum number of replicas of the model.
        limit: u32,
    },
    /// Send a replica no new requests, then unload it.
    Drain {
        /// The replica.
        replica: ReplicaId,
    },
    /// Load an adapter onto a replica.
    LoadAdapter {
        /// The replica.
        replica: ReplicaId,
        /// The adapter.
        adapter: Name,
    },
    /// Unload an adapter from a replica.
    UnloadAdapter {
        /// The replica.
        replica: ReplicaId,
        /// The adapter.
        adapter: Name,
    },
}
