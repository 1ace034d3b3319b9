//! Decides which replicas should be loaded where.
//!
//! A [`Planner`] takes in what routers report and what loads took; [`Planner::decide`] compares the
//! demand with the engines' replicas and returns commands to commit. It is a plan, not a
//! reservation: the ledger has the last word on memory and replica counts.
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
//! let entry = ModelDemand { waiting: 1, deadline_in_ms: Some(30_000), ..ModelDemand::new("lime") };
//! planner.observe_demand(0, "r1", &DemandReport { models: vec![entry] });
//! let actions = planner.decide(0, &tree, &[engine]);
//! assert!(matches!(&actions[..], [Action::Load { .. }]));
//! ```
//!
//! What it keeps to: a load is decided only where memory is free in the worst case; else idle
//! replicas are drained first, the ones cheapest to bring back before others. A replica with
//! requests is never drained to make room. One replica serves a burst unless more than a batch is
//! waiting. Replicas of one model are spread over failure domains.

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

use crate::backend::Cached;
use crate::prelude::*;
use crate::view::{Phase, ReplicaId};

pub use config::Config;
pub use planner::Planner;
pub use usage::{Meter, Usage};

/// An engine with the replicas that the ledger counts on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Its unique name.
    pub id: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
    /// Services that it serves.
    pub services: BTreeSet<Name>,
    /// Weights cached on its instance.
    pub cached: Cached,
    /// Whether its lease runs and it takes new work.
    pub live: bool,
    /// Replicas that it holds or may come to hold.
    pub replicas: Vec<Replica>,
    /// Accelerator memory that is free in the worst case, in megabytes.
    pub free_mb: u64,
}

impl Engine {
    /// A live engine that holds nothing and serves no service.
    pub fn new(id: impl Into<Name>, failure_domain: impl Into<Name>, memory_mb: u64) -> Engine {
        Engine {
            id: id.into(),
            failure_domain: failure_domain.into(),
            memory_mb,
            services: BTreeSet::new(),
            cached: Cached::default(),
            live: true,
            replicas: Vec::new(),
            free_mb: memory_mb,
        }
    }

    /// Names the engine's replica of a model's version.
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
    /// What may be done with it.
    pub phase: Phase,
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
    /// Requests that run on it.
    pub running: u32,
    /// Adapters that it holds.
    pub adapters: BTreeSet<Name>,
    /// Whether a command for it may still execute.
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
        /// Accelerator memory in megabytes that it needs.
        memory_mb: u64,
        /// Replicas of the model that may be loaded at once.
        limit: u32,
    },
    /// Give a replica no new work, then unload it.
    Drain {
        /// Which replica.
        replica: ReplicaId,
    },
    /// Load an adapter onto a replica.
    LoadAdapter {
        /// Which replica.
        replica: ReplicaId,
        /// Which adapter.
        adapter: Name,
    },
    /// Unload an adapter from a replica.
    UnloadAdapter {
        /// Which replica.
        replica: ReplicaId,
        /// Which adapter.
        adapter: Name,
    },
}
