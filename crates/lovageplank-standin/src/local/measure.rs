//! Measures a running deployment with the services and models of its settings tree.
//!
//! ```no_run
//! use lovageplank_standin::local::{Config, measure};
//! let mut deployment = Config::new("examples/haddad").start().unwrap();
//! let figures = measure::run(&mut deployment).unwrap();
//! println!("{figures}");
//! deployment.stop();
//! ```
//!
//! The steps are a burst for cold models at all routers at once, calls for adapters, calls of the
//! plain service, settings changes, and a router that stops under load. Each step except the
//! settings changes sends calls with the load driver and compares the outcomes with the records of
//! the stand-ins. The figures are printed as Markdown, so that they can be copied to a page. On
//! loopback there is no network distance between failure domains and clients; over real networks,
//! latencies are longer by the round-trip time.

use std::fmt;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Kind, Service, Tree};

use super::{Deployment, Process};
use crate::client;
use crate::load::Report;
use crate::record::Snapshot;

mod burst;
mod change;
mod router_stop;
mod steady;

/// Maximum number of models that calls use, of those that the settings tree lists.
const MAX_MODELS: usize = 10;

/// Step from one of these models to the next in the service's list, which is cyclic.
const MODEL_STEP: usize = 7;

/// Timeout in milliseconds for fetching the records of one backend server. Beyond it the
/// measurement fails.
const RECORDS_TIMEOUT_MS: u64 = 10_000;

/// A table of figures.
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    fn new<const N: usize>(title: &str, columns: [&str; N]) -> Table {
        Table {
            title: title.to_owned(),
            columns: columns.map(str::to_owned).to_vec(),
            rows: Vec::new(),
        }
    }

    fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }
}

/// Figures and violated expectations of a measurement.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    tables: Vec<Table>,
    violations: Vec<String>,
}

impl Figures {
    /// Returns the violated expectations; empty after a clean measurement.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Records `message` as a violated expectation unless `holds` is true.
    fn expect(&mut self, holds: bool, message: impl Into<String>) {
        if !holds {
            self.violations.push(message.into());
        }
    }

    /// Adds the report of a load run, which must be clean and have only complete answers.
    fn add(&mut self, title: &str, report: &Report) {
        self.expect(report.verdict.is_clean(), format!("{title}: {report}"));
        self.expect(
            report.whole == report.calls,
            format!("{title}: {} of {} calls whole", report.whole, report.calls),
        );
        self.tables.push(verdict(title, report));
        self.tables.push(times(report));
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for table in &self.tables {
            if !table.title.is_empty() {
                writeln!(f, "### {}\n", table.title)?;
            }
            writeln!(f, "| {} |", table.columns.join(" | "))?;
            writeln!(f, "|{}", " --- |".repeat(table.columns.len()))?;
            for row in &table.rows {
                writeln!(f, "| {} |", row.join(" | "))?;
            }
            writeln!(f)?;
        }
        for violation in &self.violations {
            writeln!(f, "BROKEN {violation}")?;
        }
        Ok(())
    }
}

/// Runs all steps in order. The last one stops a router and does not restart it.
///
/// Fails if a step cannot be run; violated expectations are returned in the figures.
pub fn run(deployment: &mut Deployment) -> Result<Figures> {
    let mut figures = Figures::default();
    deployment.wait_for_engines()?;
    let mut start = Table::new("Start", ["figure", "ms"]);
    start.row([
        "all processes started until the tree was in force".into(),
        millis(deployment.start_time()),
    ]);
    figures.tables.push(start);
    burst::run(deployment, &mut figures).wrap_err("burst for cold models")?;
    steady::adapters(deployment, &mut figures).wrap_err("adapters")?;
    steady::plain(deployment, &mut figures).wrap_err("plain service")?;
    change::run(deployment, &mut figures).wrap_err("settings changes")?;
    router_stop::run(deployment, &mut figures).wrap_err("stop of a router")?;
    Ok(figures)
}

/// Returns the first service of a kind, with its name.
fn service(deployment: &Deployment, kind: Kind) -> Result<(Name, Service)> {
    let tree = Tree::from_value(&deployment.example().tree)
        .map_err(|errors| eyre!("the settings tree is invalid: {errors:?}"))?;
    let found = tree.services.into_iter().find(|(_, s)| s.kind == kind);
    found.ok_or_else(|| eyre!("the settings tree has no service of kind {kind:?}"))
}

/// Returns up to [`MAX_MODELS`] models, spread over the list of the service, so that they differ in
/// where their weights are cached.
fn some_models(service: &Service) -> BTreeSet<&Name> {
    let models = service.models.keys().cycle();
    let count = MAX_MODELS.min(service.models.len());
    models.step_by(MODEL_STEP).take(count).collect()
}

/// Fetches the records of all engines.
fn engine_pages(deployment: &Deployment) -> Result<Vec<Snapshot>> {
    deployment.engines().iter().map(page).collect()
}

/// Fetches the records of all backend servers.
fn backend_pages(deployment: &Deployment) -> Result<Vec<Snapshot>> {
    let servers = deployment.engines().iter().chain(deployment.services());
    servers.map(page).collect()
}

fn page(server: &Process) -> Result<Snapshot> {
    let timeout = Duration::from_millis(RECORDS_TIMEOUT_MS);
    client::get_json(&server.address().to_string(), "/records", timeout)
        .wrap_err_with(|| format!("fetch the records of {}", server.name()))
}

fn verdict(title: &str, report: &Report) -> Table {
    let columns = [
        "calls",
        "whole",
        "refused",
        "lost",
        "doubled",
        "cut",
        "crossed",
        "ran though refused",
    ];
    let mut table = Table::new(title, columns);
    let verdict = &report.verdict;
    let refused: Vec<String> = report
        .refused
        .iter()
        .map(|(reason, count)| format!("{count} × {reason}"))
        .collect();
    table.row([
        report.calls.to_string(),
        report.whole.to_string(),
        if refused.is_empty() {
            "0".into()
        } else {
            refused.join(", ")
        },
        verdict.lost.len().to_string(),
        verdict.doubled.len().to_string(),
        verdict.cut.len().to_string(),
        verdict.crossed.len().to_string(),
        verdict.ran_though_refused.len().to_string(),
    ]);
    table
}

fn times(report: &Report) -> Table {
    let mut table = Table::new("", ["ms", "count", "p50", "p90", "p99", "max"]);
    for (kind, times) in &report.times {
        let cell = |us: u64| millis(Duration::from_micros(us));
        table.row([
            kind.clone(),
            times.count.to_string(),
            cell(times.p50_us),
            cell(times.p90_us),
            cell(times.p99_us),
            cell(times.max_us),
        ]);
    }
    table
}

/// Formats a time in milliseconds with one decimal.
fn millis(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1_000.0)
}
