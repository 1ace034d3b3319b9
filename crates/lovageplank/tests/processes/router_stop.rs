//! A router that is stopped while callers receive streams from it.

use super::small_deployment::{self, streamed_load};
use lovageplank_standin::load::{Arrivals, Config};
use std::time::Duration;

/// Milliseconds of load before SIGTERM is sent to the router.
const LOAD_BEFORE_STOP_MS: u64 = 1_500;

/// Milliseconds for which callers may cache a router's address: the time to live of `/v1/entries`.
const ADDRESS_TTL_MS: u64 = 2_000;

/// Milliseconds after SIGTERM within which the router must exit.
const STOP_TIMEOUT_MS: u64 = 60_000;

#[test]
fn stopping_router_breaks_no_stream_and_serves_callers_that_cached_its_address() {
    let mut small = small_deployment::start();
    let deployment = &mut small.deployment;
    let arrivals = Arrivals::Poisson { per_s: 20.0 };
    let base = |run: &str| streamed_load(deployment, run, "lime-notes").arrivals(arrivals.clone());
    let mut lookup_load = base("asking").duration_ms(LOAD_BEFORE_STOP_MS + 2 * ADDRESS_TTL_MS);
    for address in deployment.router_addresses() {
        lookup_load = lookup_load.lookup_address(address);
    }
    let fixed_load = base("holding")
        .duration_ms(LOAD_BEFORE_STOP_MS + ADDRESS_TTL_MS)
        .fixed(deployment.router_addresses()[0].as_str());
    let runs: Vec<_> = [lookup_load, fixed_load].into_iter().map(start).collect();
    std::thread::sleep(Duration::from_millis(LOAD_BEFORE_STOP_MS));
    let router = &mut deployment.routers_mut()[0];
    router.terminate();
    let code = router.wait(Duration::from_millis(STOP_TIMEOUT_MS));
    for run in runs {
        let report = run.join().unwrap();
        assert!(report.verdict.is_clean(), "{report}");
        assert_eq!(report.whole, report.calls, "{report}");
    }
    assert_eq!(
        code,
        Some(0),
        "exit code of the router after a graceful stop"
    );
    small.deployment.stop();
}

fn start(config: Config) -> std::thread::JoinHandle<lovageplank_standin::load::Report> {
    std::thread::spawn(move || config.run().unwrap())
}
