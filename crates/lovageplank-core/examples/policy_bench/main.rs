//! Compares cold starts and idle accelerator time of the planner with baseline policies.
//!
//! ```text
//! cargo run --release -p lovageplank-core --example policy_bench -- --seeds 11-15
//! cargo run --release -p lovageplank-core --example policy_bench -- --seeds 11-15 --curve docs/policy-tradeoff.svg
//! ```
//!
//! Runs in virtual time with simulated engines, weight store and routers; `assumptions.rs` has
//! their parameters. All policies get the same trace, and requests are refused by the same rule.

mod assumptions;
mod baseline;
mod curve;
mod deployment;
mod outcome;
mod policy;
mod simulation;
mod trace;

use crate::baseline::Baseline;
use crate::deployment::{Deployment, HADDAD, PUSTAKA};
use crate::outcome::Outcome;
use crate::policy::Policy;
use crate::trace::Trace;
use lovageplank_core::placement::Config;
use std::ops::RangeInclusive;
use std::thread;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let value = |name: &str| {
        let index = args.iter().position(|a| a == name)?;
        args.get(index + 1).cloned()
    };
    let seeds = value("--seeds").map_or(1..=5, |text| parse_seeds(&text));
    let only = value("--deployment");
    let mut deployments = [HADDAD, PUSTAKA];
    for deployment in &mut deployments {
        deployment.caches_fill = !args.iter().any(|a| a == "--static-caches");
    }
    let deployments = deployments
        .iter()
        .filter(|d| only.as_ref().is_none_or(|name| d.name == name));
    for deployment in deployments.clone() {
        match value("--ratios") {
            Some(ratios) => compare_ratios(deployment, &seeds, &ratios),
            None => compare(deployment, &seeds),
        }
    }
    if let Some(path) = value("--curve") {
        curve::write(&path, deployments, &seeds);
    }
}

/// Parses a range such as `11-15` or a single seed such as `3`.
fn parse_seeds(text: &str) -> RangeInclusive<u64> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let parse = |t: &str| t.parse().expect("--seeds takes N or N-M");
    parse(first)..=parse(last)
}

/// Prints one line per policy.
fn compare(deployment: &Deployment, seeds: &RangeInclusive<u64>) {
    print_head(deployment, seeds);
    print_line("planner", &measure(deployment, seeds, &planner(None)));
    for (name, keep_alive_s, prefer_cached) in [
        ("fixed 60 s", 60, false),
        ("fixed 600 s", 600, false),
        ("fixed 60 s, cache", 60, true),
        ("fixed 600 s, cache", 600, true),
    ] {
        let baseline = Baseline::new(keep_alive_s * 1_000, prefer_cached);
        let outcome = measure(deployment, seeds, &Policy::Baseline(baseline));
        print_line(name, &outcome);
    }
}

/// Prints one line per ratio of the cost weights; `ratios` is a list such as `1,10,100`.
fn compare_ratios(deployment: &Deployment, seeds: &RangeInclusive<u64>, ratios: &str) {
    print_head(deployment, seeds);
    for text in ratios.split(',') {
        let ratio = text
            .parse()
            .expect("--ratios takes numbers separated by commas");
        let outcome = measure(deployment, seeds, &planner(Some((ratio, 1.0))));
        print_line(&format!("ratio {text}"), &outcome);
    }
}

fn print_head(deployment: &Deployment, seeds: &RangeInclusive<u64>) {
    println!(
        "{} seeds {}-{}",
        deployment.name,
        seeds.start(),
        seeds.end()
    );
    println!(
        "{:<22} {:>8} {:>7} {:>7} {:>7} {:>9} {:>7} {:>5} {:>9} {:>12} {:>9} {:>20}",
        "policy",
        "requests",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "waited",
        "refused",
        "late",
        "idle h/d",
        "replica h/d",
        "cold p99",
        "loads mem/disk/store"
    );
}

fn print_line(name: &str, outcome: &Outcome) {
    let [memory, disk, store] = outcome.loads;
    println!(
        "{:<22} {:>8} {:>7} {:>7} {:>7} {:>9} {:>7} {:>5} {:>9.2} {:>12.2} {:>9} {:>20}",
        name,
        outcome.cold_ms.len(),
        outcome.quantile(0.5),
        outcome.quantile(0.95),
        outcome.quantile(0.99),
        outcome.cold(),
        outcome.refused,
        outcome.late,
        outcome.idle_hours(),
        outcome.usage.replica_idle_s / 3_600.0 / f64::from(outcome.runs.max(1)),
        outcome.cold_quantile(0.99),
        format!("{memory}/{disk}/{store}"),
    );
}

/// A planner with the given cost weights, or the deployment's.
fn planner(weights: Option<(f64, f64)>) -> Policy {
    Policy::Planner(Box::new(Config::new().seed(1).build()), weights)
}

/// Runs a policy over all seeds, one thread per seed, and sums the outcomes.
fn measure(deployment: &Deployment, seeds: &RangeInclusive<u64>, policy: &Policy) -> Outcome {
    let mut sum = Outcome::default();
    thread::scope(|scope| {
        let runs: Vec<_> = seeds
            .clone()
            .map(|seed| {
                let policy = policy.clone();
                scope.spawn(move || {
                    let trace = Trace::new(deployment, seed);
                    simulation::run(deployment, &trace, seed, policy)
                })
            })
            .collect();
        for run in runs {
            sum.add(&run.join().expect("a simulation run panicked"));
        }
    });
    sum
}
