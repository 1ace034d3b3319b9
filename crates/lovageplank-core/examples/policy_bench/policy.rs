//! The policies that are compared.

use crate::baseline::Baseline;
use crate::deployment::Deployment;
use lovageplank_core::demand::DemandReport;
use lovageplank_core::load::Source;
use lovageplank_core::placement::{Action, Engine, Planner};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Tree;
use lovageplank_core::view::ReplicaId;

/// A policy under measurement.
#[derive(Clone, Debug)]
pub enum Policy {
    /// The planner, with weights of its own or the deployment's.
    Planner(Box<Planner>, Option<(f64, f64)>),
    /// First come, least recently used, fixed keep-alive.
    Baseline(Baseline),
}

impl Policy {
    /// Weights of a second of waiting and of an idle second.
    pub fn weights(&self, deployment: &Deployment) -> (f64, f64) {
        match self {
            Policy::Planner(_, Some(weights)) => *weights,
            Policy::Planner(_, None) | Policy::Baseline(_) => deployment.weights,
        }
    }

    /// Takes in a router's demand.
    pub fn observe_demand(&mut self, now: Millis, router: usize, batch: &DemandReport) {
        if let Policy::Planner(planner, _) = self {
            planner.observe_demand(now, &format!("r{router}"), batch);
        }
    }

    /// Takes in the end of a load.
    pub fn observe_load(&mut self, now: Millis, id: &ReplicaId, source: Source, took_ms: u64) {
        if let Policy::Planner(planner, _) = self {
            planner.observe_load(now, &id.model, &id.engine, source, took_ms, true);
        }
    }

    /// What to do now.
    pub fn decide(
        &mut self,
        now: Millis,
        tree: &Tree,
        engines: &[Engine],
        waiting: &BTreeMap<Name, u32>,
    ) -> Vec<Action> {
        match self {
            Policy::Planner(planner, _) => planner.decide(now, tree, engines),
            Policy::Baseline(baseline) => baseline.decide(now, tree, engines, waiting),
        }
    }
}
