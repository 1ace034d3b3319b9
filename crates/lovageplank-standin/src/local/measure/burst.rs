//! Measures a burst for cold models at all routers at once.

use std::thread::JoinHandle;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Kind;
use lovageplank_wire::call::OperatorRequest;
use tokio_util::sync::CancellationToken;

use super::{Figures, Table, engine_pages, service, some_models};
use crate::load::{Arrivals, Config, RouterSelection, Share};
use crate::local::{Deployment, OperatorClient};
use crate::record::{ReplicaChange, ReplicaEvent, Snapshot, max_replicas};

/// Calls in the burst per model and router, on average: models are drawn at random.
const CALLS_PER_MODEL_AND_ROUTER: usize = 2;

/// Deadline of a call in milliseconds. A call without an answer by then, plus the slack of the load
/// driver, counts as lost.
const DEADLINE_MS: u64 = 30_000;

/// Milliseconds between two samples of the decided replicas. A replica that is decided and removed
/// between two samples is missed.
const SAMPLE_INTERVAL_MS: u64 = 25;

/// Sends the burst and checks that no model was loaded more often, or had more replicas at once,
/// than was decided.
pub fn run(deployment: &Deployment, figures: &mut Figures) -> Result<()> {
    let (name, service) = service(deployment, Kind::Engine)?;
    let models = some_models(&service);
    let calls = models.len() * CALLS_PER_MODEL_AND_ROUTER * deployment.routers().len();
    let mut config = Config::new("burst")
        .arrivals(Arrivals::Bursts {
            size: u32::try_from(calls)?,
            every_ms: 1_000,
        })
        .duration_ms(1_000)
        .router_selection(RouterSelection::RoundRobin)
        .clients(u32::try_from(calls)?)
        .deadline_ms(DEADLINE_MS);
    for model in &models {
        config = config.share(Share::model(&*name, &***model).streamed_percent(100));
    }
    for address in deployment.router_addresses() {
        config = config.fixed(address);
    }
    for address in deployment.backend_addresses() {
        config = config.records(address);
    }
    let sampler = Sampler::start(deployment.operators().clone());
    let report = config.run()?;
    let decided = sampler.stop()?;
    figures.add("Burst for cold models at all routers at once", &report);
    let pages = engine_pages(deployment)?;
    let columns = [
        "model",
        "loads decided",
        "loads begun",
        "most replicas decided at once",
        "most replicas at once",
    ];
    let mut table = Table::new("", columns);
    for model in models {
        let model_figures = ModelFigures {
            loads_decided: count_loads_decided(deployment, model)?,
            loads_begun: count_loads_begun(&pages, model),
            max_replicas_decided: decided.get(model).copied().unwrap_or(0),
            max_replicas: max_replicas(&pages).get(model).copied().unwrap_or(0),
        };
        model_figures.add_row(model, &mut table, figures);
    }
    figures.tables.push(table);
    Ok(())
}

/// Loads and replicas of one model, as decided by the control group and as recorded by the engines.
struct ModelFigures {
    loads_decided: usize,
    loads_begun: usize,
    max_replicas_decided: u32,
    max_replicas: u32,
}

impl ModelFigures {
    fn add_row(&self, model: &Name, table: &mut Table, figures: &mut Figures) {
        table.row([
            model.to_string(),
            self.loads_decided.to_string(),
            self.loads_begun.to_string(),
            self.max_replicas_decided.to_string(),
            self.max_replicas.to_string(),
        ]);
        let holds = self.loads_begun <= self.loads_decided
            && self.max_replicas <= self.max_replicas_decided;
        figures.expect(holds, format!("{model} has more loads than decided"));
    }
}

/// Counts the decided loads of a model in the logs of the control processes.
fn count_loads_decided(deployment: &Deployment, model: &str) -> Result<usize> {
    let needle = format!(r#"event=decided action="Load {{ model: \"{model}\""#);
    let mut count = 0;
    for control in deployment.controls() {
        let log =
            std::fs::read_to_string(control.log()).wrap_err("read the log of a control process")?;
        count += log.matches(&needle).count();
    }
    Ok(count)
}

/// Counts the loads of a model that engines began.
fn count_loads_begun(pages: &[Snapshot], model: &Name) -> usize {
    let events = pages.iter().flat_map(|page| &page.replicas);
    let begun =
        |event: &&ReplicaEvent| event.model == *model && event.change == ReplicaChange::LoadStarted;
    events.filter(begun).count()
}

/// A thread that polls the control group for the decided replicas.
struct Sampler {
    stop: CancellationToken,
    thread: JoinHandle<BTreeMap<Name, u32>>,
}

impl Sampler {
    fn start(operators: OperatorClient) -> Sampler {
        let stop = CancellationToken::new();
        let until = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut max_decided = BTreeMap::new();
            while !until.is_cancelled() {
                sample(&operators, &mut max_decided);
                std::thread::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS));
            }
            sample(&operators, &mut max_decided);
            max_decided
        });
        Sampler { stop, thread }
    }

    /// Stops the thread and returns the maximum number of replicas of each model that were decided
    /// at once.
    fn stop(self) -> Result<BTreeMap<Name, u32>> {
        self.stop.cancel();
        self.thread
            .join()
            .map_err(|_| eyre!("the thread that samples decided replicas panicked"))
    }
}

fn sample(operators: &OperatorClient, max_decided: &mut BTreeMap<Name, u32>) {
    let Ok(models) = operators.call(&OperatorRequest::Models) else {
        return;
    };
    for row in models.as_array().into_iter().flatten() {
        let model = Name::from(row["model"].as_str().unwrap_or_default());
        let replicas = row["replicas"].as_array().map_or(0, Vec::len);
        let replicas = u32::try_from(replicas).unwrap_or(u32::MAX);
        let highest = max_decided.entry(model).or_default();
        *highest = (*highest).max(replicas);
    }
}
