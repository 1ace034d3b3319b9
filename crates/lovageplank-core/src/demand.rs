//! Demand for models, merged over routers.
//!
//! Each router reports all models that it has requests for; the merge holds one line per model, so
//! that a burst at many routers is one demand.
//!
//! ```
//! use lovageplank_core::demand::{DemandReport, ModelDemand, Table};
//! let mut table = Table::new(5_000);
//! for router in ["r1", "r2"] {
//!     let model_demand = ModelDemand { waiting: 3, deadline_in_ms: Some(900), ..ModelDemand::new("lime") };
//!     table.observe(0, router, &DemandReport { models: vec![model_demand] });
//! }
//! assert_eq!(table.total("lime").waiting, 6);
//! ```
//!
//! A batch replaces what the same router said before, so a lost batch heals with the next one. A
//! router that falls silent takes its lines with it after the silence that the table was made
//! with; its callers have no connection left by then.

use crate::prelude::*;

record! { data =>
    /// What one router has requests for; models that it doesn't name have none.
    #[derive(Default)]
    pub struct DemandReport {
        /// One entry per model.
        pub models: Vec<ModelDemand>,
    }
}

record! { data =>
    /// Demand of one router for one model.
    pub struct ModelDemand {
        /// The model.
        pub model: Name,
        /// Requests that wait for a replica.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub waiting: u32,
        /// Milliseconds until the most urgent deadline among those that wait.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub deadline_in_ms: Option<u64>,
        /// Milliseconds until the last deadline among those that wait; the most urgent when absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub last_deadline_in_ms: Option<u64>,
        /// Requests that came since the router's last batch, refused ones included.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub arrivals: u32,
        /// Requests that run.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub running: u32,
        /// Adapters that requests which wait or run want, each with their number.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub adapters: BTreeMap<Name, u32>,
    }
}

/// Lets serde leave out counts that are zero; it passes them by reference.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde asks for a reference"
)]
fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl ModelDemand {
    /// An entry without any request.
    pub fn new(model: impl Into<Name>) -> ModelDemand {
        ModelDemand {
            model: model.into(),
            waiting: 0,
            deadline_in_ms: None,
            last_deadline_in_ms: None,
            arrivals: 0,
            running: 0,
            adapters: BTreeMap::new(),
        }
    }
}

/// Demand for one model over all routers, with deadlines on the driver's clock.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Total {
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// The most urgent deadline among those that wait.
    pub deadline: Option<Millis>,
    /// The last deadline among those that wait.
    pub last_deadline: Option<Millis>,
    /// Requests that run.
    pub running: u32,
    /// Adapters wanted, each with the number of requests.
    pub adapters: BTreeMap<Name, u32>,
}

impl Total {
    /// Adds what one router has.
    fn add(&mut self, received: Millis, model_demand: &ModelDemand) {
        self.waiting += model_demand.waiting;
        self.running += model_demand.running;
        for (adapter, count) in &model_demand.adapters {
            *self.adapters.entry(adapter.clone()).or_default() += count;
        }
        if model_demand.waiting == 0 {
            return;
        }
        let first = model_demand.deadline_in_ms.map(|ms| received + ms);
        let last = model_demand
            .last_deadline_in_ms
            .map(|ms| received + ms)
            .or(first);
        self.deadline = [self.deadline, first].into_iter().flatten().min();
        self.last_deadline = self.last_deadline.max(last);
    }
}

/// The last batch of each router.
///
/// Invariant: holds no batch that is older than `silent_ms` after [`Table::expire`].
#[derive(Clone, Debug)]
pub struct Table {
    report_timeout_ms: u64,
    routers: BTreeMap<Name, (Millis, DemandReport)>,
}

impl Table {
    /// An empty table; a router counts as silent after `silent_ms` without a batch.
    pub fn new(report_timeout_ms: u64) -> Table {
        Table {
            report_timeout_ms,
            routers: BTreeMap::new(),
        }
    }

    /// Takes a router's batch in place of the one before.
    pub fn observe(&mut self, now: Millis, router: &str, report: &DemandReport) {
        self.routers.insert(router.into(), (now, report.clone()));
    }

    /// Forgets routers that fell silent.
    pub fn expire(&mut self, now: Millis) {
        let report_timeout_ms = self.report_timeout_ms;
        self.routers
            .retain(|_, (received, _)| now.saturating_sub(*received) < report_timeout_ms);
    }

    /// Demand for every model that has any.
    pub fn totals(&self) -> BTreeMap<Name, Total> {
        let mut totals = BTreeMap::<Name, Total>::new();
        for (received, report) in self.routers.values() {
            for model_demand in &report.models {
                totals
                    .entry(model_demand.model.clone())
                    .or_default()
                    .add(*received, model_demand);
            }
        }
        totals
    }

    /// Demand for one model.
    pub fn total(&self, model: &str) -> Total {
        let mut total = Total::default();
        for (received, report) in self.routers.values() {
            for model_demand in report.models.iter().filter(|e| *e.model == *model) {
                total.add(*received, model_demand);
            }
        }
        total
    }
}
