//! The policies that are compared.

use crate::baseline::Baseline;
use crate::deployment::Deployment;
use lovageplank_core::demand::DemandReport;
use lovageplank_core::load::Source;
use lovageplank_core::placement::{Action, Engine, Planner};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Tree;
use lovageplank_core::view::ReplicaId;

/// A policy to measure.
#[derive(Clone, Debug)]
pub enum Policy {
    /// The planner, with its own cost weights or the deployment's.
    Planner(Box<Planner>, Option<(f64, f64)>),
    /// Loads first come, first served, least-recently-used eviction and a fixed keep-alive.
    Baseline(Baseline),
}

impl Policy {
    /// Cost weights of a second of waiting and of an idle accelerator second.
    pub fn weights(&self, deployment: &Deployment) -> (f64, f64) {
        match self {
            Policy::Planner(_, Some(weights)) => *weights,
            Policy::Planner(_, None) | Policy::Baseline(_) => deployment.weights,
        }
    }

    /// Passes a router's demand report to the planner.
    pub fn observe_demand(&mut self, now: Millis, router: usize, report: &DemandReport) {
        if let Policy::Planner(planner, _) = self {
            planner.observe_demand(now, &format!("r{router}"), report);
        }
    }

    /// Reports the end of a successful load to the planner.
    pub fn observe_load(&mut self, now: Millis, id: &ReplicaId, source: Source, took_ms: u64) {
        if let Policy::Planner(planner, _) = self {
            planner.observe_load(now, &id.model, &id.engine, source, took_ms, true);
        }
    }

    /// Decides what to do now.
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
