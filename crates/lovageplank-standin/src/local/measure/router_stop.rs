//! Measures a router that stops gracefully under load.

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use lovageplank_core::settings::Kind;

use super::{Figures, Table, millis, service, some_models};
use crate::load::{Arrivals, Config, Outcome, Share};
use crate::local::{Deployment, STOP_TIMEOUT_MS};

/// Calls per second of callers that look up routers. Spread over the models, they use about half of
/// the requests that the models can batch.
const CALLS_PER_S: f64 = 100.0;

/// Milliseconds within which these calls start.
const DURATION_MS: u64 = 8_000;

/// Calls per second of callers that use the address of the stopping router without a lookup.
const DIRECT_CALLS_PER_S: f64 = 30.0;

/// Milliseconds from the start of the calls until SIGTERM is sent to the router.
const STOP_AFTER_MS: u64 = 2_000;

/// Milliseconds after SIGTERM for which callers may still use the router's address: the time to
/// live of an answer to `/v1/entries`. The calls without a lookup start no later than that.
const ENTRY_TTL_MS: u64 = 2_000;

/// Tokens per answer, enough that many answers are in progress when the router stops.
const TOKENS: u32 = 200;

/// Stops the last router while callers stream answers through it and through all others.
pub fn run(deployment: &mut Deployment, figures: &mut Figures) -> Result<()> {
    let last = deployment.routers().len() - 1;
    let router_address = deployment.routers()[last].address().to_string();
    let name = deployment.routers()[last].name().to_owned();
    let (lookup_load, direct_load) = (
        lookup_load(deployment)?,
        direct_load(deployment, &router_address)?,
    );
    let (lookup_calls, direct_calls) = (send(&lookup_load), send(&direct_load));
    std::thread::sleep(Duration::from_millis(STOP_AFTER_MS));
    let began = Instant::now();
    let router = &mut deployment.routers_mut()[last];
    router.terminate();
    let code = router.wait(Duration::from_millis(STOP_TIMEOUT_MS));
    let took = began.elapsed();
    let (lookup_outcomes, direct_outcomes) = (join(lookup_calls)?, join(direct_calls)?);
    let pages = super::backend_pages(deployment)?;
    let report = lookup_load.judge(&lookup_outcomes, &pages);
    figures.add("Stop of a router, callers that ask for entries", &report);
    let report = direct_load.judge(&direct_outcomes, &pages);
    figures.add("Stop of a router, callers that hold its address", &report);
    figures.expect(code == Some(0), format!("{name} ended with {code:?}"));
    let mut table = Table::new("", ["router", "exit code", "ms from SIGTERM to the end"]);
    let code = code.map_or("none".into(), |code| code.to_string());
    table.row([name, code, millis(took)]);
    figures.tables.push(table);
    Ok(())
}

fn lookup_load(deployment: &Deployment) -> Result<Config> {
    let mut config = load(deployment, "leave-asking", CALLS_PER_S)?.duration_ms(DURATION_MS);
    for address in deployment.router_addresses() {
        config = config.lookup_address(address);
    }
    Ok(config)
}

fn direct_load(deployment: &Deployment, router: &str) -> Result<Config> {
    let config = load(deployment, "leave-holding", DIRECT_CALLS_PER_S)?;
    Ok(config
        .duration_ms(STOP_AFTER_MS + ENTRY_TTL_MS)
        .fixed(router))
}

fn load(deployment: &Deployment, run: &str, per_s: f64) -> Result<Config> {
    let (name, service) = service(deployment, Kind::Engine)?;
    let mut config = Config::new(run).arrivals(Arrivals::Poisson { per_s });
    for model in some_models(&service) {
        let share = Share::model(&*name, &**model).streamed_percent(100);
        config = config.share(share.tokens(TOKENS));
    }
    Ok(config)
}

type Sent = JoinHandle<Result<Vec<Outcome>, crate::load::Error>>;

fn send(config: &Config) -> Sent {
    let config = config.clone();
    std::thread::spawn(move || config.send())
}

fn join(sent: Sent) -> Result<Vec<Outcome>> {
    let sent = sent.join().map_err(|_| eyre!("the load driver panicked"))?;
    Ok(sent?)
}
