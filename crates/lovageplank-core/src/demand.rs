//! Demand for models, summed over routers.
//!
//! Each router reports all models that it has requests for. The reports are summed by model, so
//! that a burst spread over many routers counts as one demand.
//!
//! ```
//! use lovageplank_core::demand::{DemandReport, ModelDemand, Table};
//! let mut table = Table::new(5_000);
//! for router in ["r1", "r2"] {
//!     let lime = ModelDemand { waiting: 3, deadline_in_ms: Some(900), ..ModelDemand::new("lime") };
//!     table.observe(0, router, &DemandReport { models: vec![lime] });
//! }
//! assert_eq!(table.total("lime").waiting, 6);
//! ```
//!
//! A report replaces the router's previous one, so the next report makes up for a lost one. The
//! demand of a router that stops reporting is dropped after the timeout given to [`Table::new`];
//! its callers have no connection left by then.

use crate::prelude::*;

record! { data =>
    /// Demand of one router; models without an entry have none.
    #[derive(Default)]
    pub struct DemandReport {
        /// One entry per model.
        pub models: Vec<ModelDemand>,
    }
}

record! { data =>
    /// Demand for one model at one router.
    pub struct ModelDemand {
        /// The model.
        pub model: Name,
        /// Number of requests that wait for a replica.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub waiting: u32,
        /// Milliseconds until the earliest deadline of the waiting requests.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub deadline_in_ms: Option<u64>,
        /// Milliseconds until the latest deadline of the waiting requests; if absent,
        /// `deadline_in_ms` applies.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub last_deadline_in_ms: Option<u64>,
        /// Number of requests that arrived since the router's previous report, including refused
        /// ones.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub arrivals: u32,
        /// Number of running requests.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub running: u32,
        /// Number of waiting and running requests by adapter.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub adapters: BTreeMap<Name, u32>,
    }
}

/// Lets serde omit counts that are zero; it passes them by reference.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl ModelDemand {
    /// Demand without any request.
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

/// Demand for one model over all routers. Deadlines are on the clock of the `now` that
/// [`Table::observe`] receives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Total {
    /// Number of requests that wait for a replica.
    pub waiting: u32,
    /// Earliest deadline of the waiting requests.
    pub deadline: Option<Millis>,
    /// Latest deadline of the waiting requests.
    pub last_deadline: Option<Millis>,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting and running requests by adapter.
    pub adapters: BTreeMap<Name, u32>,
}

impl Total {
    /// Adds one router's demand, reported at `received`.
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

/// The latest report of each router.
///
/// Invariant: after [`Table::expire`], every report is younger than `report_timeout_ms`.
#[derive(Clone, Debug)]
pub struct Table {
    report_timeout_ms: u64,
    routers: BTreeMap<Name, (Millis, DemandReport)>,
}

impl Table {
    /// An empty table; a router's demand expires `report_timeout_ms` after its latest report.
    pub fn new(report_timeout_ms: u64) -> Table {
        Table {
            report_timeout_ms,
            routers: BTreeMap::new(),
        }
    }

    /// Records a router's report, which replaces its previous one.
    pub fn observe(&mut self, now: Millis, router: &str, report: &DemandReport) {
        self.routers.insert(router.into(), (now, report.clone()));
    }

    /// Removes reports that are `report_timeout_ms` or older.
    pub fn expire(&mut self, now: Millis) {
        let report_timeout_ms = self.report_timeout_ms;
        self.routers
            .retain(|_, (received, _)| now.saturating_sub(*received) < report_timeout_ms);
    }

    /// Demand for every model that a report names.
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
