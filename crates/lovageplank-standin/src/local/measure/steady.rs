//! Calls at a steady rate: for adapters, and of the plain service.

use eyre::{Result, eyre};
use lovageplank_core::settings::Kind;

use super::{Figures, service};
use crate::load::{Arrivals, Config, Share};
use crate::local::Deployment;

/// Calls a second.
const CALLS_PER_S: f64 = 40.0;

/// Milliseconds for which calls start.
const DURATION_MS: u64 = 3_000;

/// Milliseconds within which a call must be answered.
const DEADLINE_MS: u64 = 15_000;

/// Calls for all adapters of the model that has most.
pub fn adapters(deployment: &Deployment, figures: &mut Figures) -> Result<()> {
    let (name, service) = service(deployment, Kind::Engine)?;
    let models = service.models.iter();
    let (model, entry) = models
        .max_by_key(|(_, model)| model.adapters.len())
        .filter(|(_, model)| !model.adapters.is_empty())
        .ok_or_else(|| eyre!("no model has adapters"))?;
    let mut share = Share::model(&*name, &**model).streamed_percent(50);
    for adapter in entry.adapters.keys() {
        share = share.adapter(&**adapter);
    }
    let report = steady(deployment, "adapters", share).run()?;
    let title = format!("Adapters of one model ({})", entry.adapters.len());
    figures.add(&title, &report);
    Ok(())
}

/// Calls of the plain service, which may run at most once each.
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
