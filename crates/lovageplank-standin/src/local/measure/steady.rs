//! Measures calls at a steady rate, for adapters and of the plain service.

use eyre::{Result, eyre};
use lovageplank_core::settings::Kind;

use super::{Figures, service};
use crate::load::{Arrivals, Config, Share};
use crate::local::Deployment;

/// Calls per second.
const CALLS_PER_S: f64 = 40.0;

/// Milliseconds within which calls start.
const DURATION_MS: u64 = 3_000;

/// Deadline of a call in milliseconds. A call without an answer by then, plus the slack of the load
/// driver, counts as lost.
const DEADLINE_MS: u64 = 15_000;

/// Sends calls for all adapters of the model with the most adapters.
pub fn adapters(deployment: &Deployment, figures: &mut Figures) -> Result<()> {
    let (name, service) = service(deployment, Kind::Engine)?;
    let models = service.models.iter();
    let (model, entry) = models
        .max_by_key(|(_, model)| model.adapters.len())
        .filter(|(_, model)| !model.adapters.is_empty())
        .ok_or_else(|| eyre!("no model of the first engine service has adapters"))?;
    let mut share = Share::model(&*name, &**model).streamed_percent(50);
    for adapter in entry.adapters.keys() {
        share = share.adapter(&**adapter);
    }
    let report = steady(deployment, "adapters", share).run()?;
    let title = format!("Adapters of one model ({})", entry.adapters.len());
    figures.add(&title, &report);
    Ok(())
}

/// Sends calls of the plain service, each of which may run at most once.
pub fn plain(deployment: &Deployment, figures: &mut Figures) -> Result<()> {
    let (name, _) = service(deployment, Kind::Plain)?;
    let share = Share::plain(&*name, "orders");
    let report = steady(deployment, "plain", share).run()?;
    figures.add("Plain service, calls that may not be repeated", &report);
    Ok(())
}

fn steady(deployment: &Deployment, run: &str, share: Share) -> Config {
    let mut config = Config::new(run)
        .arrivals(Arrivals::Poisson { per_s: CALLS_PER_S })
        .duration_ms(DURATION_MS)
        .deadline_ms(DEADLINE_MS)
        .share(share);
    for address in deployment.router_addresses() {
        config = config.lookup_address(address);
    }
    for address in deployment.backend_addresses() {
        config = config.records(address);
    }
    config
}
