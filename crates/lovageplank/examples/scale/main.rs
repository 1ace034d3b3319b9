//! Measures the cost of the control plane at a given size, with real control processes and one real
//! router. Stand-ins replace the other routers and the engines' announcements.
//!
//! ```sh
//! cargo build --release --workspace
//! cargo run --release -p lovageplank --example scale -- --routers 60 --engines 250 --adapters 5000
//! ```
//!
//! Prints one line of JSON. Byte counts are of encoded frames, without TCP and WebSocket headers.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and measured values are far below the types' limits"
)]

mod fleet;
mod process;
mod tree;

use eyre::{Result, bail};
use fleet::Fleet;
use lovageplank::client::operator_call;
use lovageplank_core::settings::{Edit, Version};
use lovageplank_wire::call::OperatorRequest;
use pico_args::Arguments;
use process::{KEY, Processes};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Seconds before the measurement, so that it doesn't include the routers' first updates.
const SETTLE_S: u64 = 5;

/// Size of the deployment and load of the measurement.
struct Scenario {
    routers: usize,
    engines: usize,
    models: usize,
    adapters: usize,
    /// Models with requests running at each router.
    active: usize,
    changes_per_s: f64,
    seconds: u64,
}

fn main() -> Result<()> {
    let mut args = Arguments::from_env();
    let scenario = Scenario {
        routers: args.opt_value_from_str("--routers")?.unwrap_or(10),
        engines: args.opt_value_from_str("--engines")?.unwrap_or(15),
        models: args.opt_value_from_str("--models")?.unwrap_or(65),
        adapters: args.opt_value_from_str("--adapters")?.unwrap_or(75),
        active: args.opt_value_from_str("--active")?.unwrap_or(3),
        changes_per_s: args.opt_value_from_str("--changes")?.unwrap_or(0.0),
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(10),
    };
    if let Some(arg) = args.finish().first() {
        bail!("unknown argument {arg:?}");
    }
    println!("{}", measure(&scenario)?);
    Ok(())
}

fn measure(scenario: &Scenario) -> Result<Value> {
    let processes = Processes::start()?;
    let tree = tree::tree(scenario.models, scenario.adapters);
    let version = apply_first_tree(&processes, &tree)?;
    let fleet = Fleet::start(
        scenario.routers,
        scenario.engines,
        scenario.active,
        &processes.links(),
    )?;
    fleet.wait_version(version, Duration::from_mins(1))?;
    std::thread::sleep(Duration::from_secs(SETTLE_S));
    let before = processes.usage()?;
    let bytes = fleet.bytes();
    let began = Instant::now();
    let delays = apply_changes(scenario, &processes, &fleet, version)?;
    std::thread::sleep(Duration::from_secs(scenario.seconds).saturating_sub(began.elapsed()));
    let elapsed_s = began.elapsed().as_secs_f64();
    let after = processes.usage()?;
    let bytes = fleet.bytes().since(&bytes);
    let routers = scenario.routers as f64;
    Ok(json!({
        "routers": scenario.routers,
        "engines": scenario.engines,
        "models": scenario.models,
        "adapters": scenario.adapters,
        "active_models": scenario.active,
        "changes": delays.len(),
        "seconds": round(elapsed_s),
        "processes": after.iter().zip(&before).map(|(a, b)| a.since(b, elapsed_s)).collect::<Vec<_>>(),
        "router_in_bytes_per_s": round(bytes.received as f64 / routers / elapsed_s),
        "router_out_bytes_per_s": round(bytes.sent as f64 / routers / elapsed_s),
        "announcement_bytes_per_s": round(bytes.announced as f64 / routers / elapsed_s),
        "first_update_bytes": fleet.first_update_bytes(),
        "in_force_ms": quantiles(delays),
    }))
}

/// Applies the first settings tree, retrying until there is a leader; fails after 30 s.
fn apply_first_tree(processes: &Processes, tree: &Value) -> Result<Version> {
    let edit = Edit {
        path: String::new(),
        value: Some(tree.clone()),
    };
    let call = OperatorRequest::Change {
        id: "scale-tree".into(),
        base: Version(0),
        author: "scale".into(),
        edits: vec![edit],
    };
    let began = Instant::now();
    loop {
        match operator_call(processes.http(), KEY, &call) {
            Ok(answer) => return Ok(Version(answer["version"].as_u64().unwrap_or(0))),
            Err(error) if began.elapsed() > Duration::from_secs(30) => return Err(error),
            Err(_) => std::thread::sleep(Duration::from_millis(100)),
        }
    }
}

/// Makes changes at the given rate. Returns for each the milliseconds from its acceptance until the
/// last stand-in router has applied it.
fn apply_changes(
    scenario: &Scenario,
    processes: &Processes,
    fleet: &Fleet,
    mut version: Version,
) -> Result<Vec<f64>> {
    let mut delays = Vec::new();
    if scenario.changes_per_s <= 0.0 {
        return Ok(delays);
    }
    let began = Instant::now();
    let mut due = Duration::ZERO;
    while began.elapsed() < Duration::from_secs(scenario.seconds) {
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        due += Duration::from_secs_f64(1.0 / scenario.changes_per_s);
        let edit = Edit {
            path: "services/drafting/models/model-0/deadline_ms".into(),
            value: Some(json!(10_000 + version.0)),
        };
        let call = OperatorRequest::Change {
            id: format!("scale-{}", version.0).into(),
            base: version,
            author: "scale".into(),
            edits: vec![edit],
        };
        let answer = operator_call(processes.http(), KEY, &call)?;
        let accepted = Instant::now();
        version = Version(answer["version"].as_u64().unwrap_or(0));
        fleet.wait_version(version, Duration::from_secs(10))?;
        delays.push(accepted.elapsed().as_secs_f64() * 1_000.0);
    }
    Ok(delays)
}

fn quantiles(mut values: Vec<f64>) -> Value {
    if values.is_empty() {
        return Value::Null;
    }
    values.sort_by(f64::total_cmp);
    let at = |q: f64| round(values[((values.len() - 1) as f64 * q).round() as usize]);
    json!({ "p50": at(0.5), "p99": at(0.99), "max": at(1.0) })
}

/// Rounds to two decimals.
fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
