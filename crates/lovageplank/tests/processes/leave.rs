//! A router that stops while callers stream from it.

use super::example::{self, streams};
use lovageplank_standin::load::{Arrivals, Config};
use std::time::Duration;

/// Milliseconds of load before the router is asked to stop.
const BEFORE_MS: u64 = 1_500;

/// Milliseconds for which callers may keep an address: the time to live of `/v1/entries`.
const HELD_MS: u64 = 2_000;

/// Milliseconds within which the router must have ended.
const END_MS: u64 = 60_000;

#[test]
fn stopping_router_cuts_no_stream_and_serves_callers_that_hold_its_address() {
    let mut small = example::start();
    let deployment = &mut small.deployment;
    let arrivals = Arrivals::Poisson { per_s: 20.0 };
    let base = |run: &str| streams(deployment, run, "lime-notes").arrivals(arrivals.clone());
    let mut asking = base("asking").duration_ms(BEFORE_MS + 2 * HELD_MS);
    for address in deployment.router_addresses() {
        asking = asking.ask(address);
    }
    let holding = base("holding")
        .duration_ms(BEFORE_MS + HELD_MS)
        .fixed(deployment.router_addresses()[0].as_str());
    let runs: Vec<_> = [asking, holding].into_iter().map(start).collect();
    std::thread::sleep(Duration::from_millis(BEFORE_MS));
    let router = &mut deployment.routers_mut()[0];
    router.terminate();
    let code = router.wait(Duration::from_millis(END_MS));
    for run in runs {
        let report = run.join().unwrap();
        assert!(report.verdict.is_clean(), "{report}");
        assert_eq!(report.whole, report.calls, "{report}");
    }
    assert_eq!(code, Some(0), "the router stopped gracefully");
    small.deployment.stop();
}

fn start(config: Config) -> std::thread::JoinHandle<lovageplank_standin::load::Report> {
    std::thread::spawn(move || config.run().unwrap())
}
