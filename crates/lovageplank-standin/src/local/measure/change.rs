//! Measures the time until a settings change is in force at every router.

use std::time::{Duration, Instant};

use eyre::Result;
use lovageplank_core::settings::{Edit, Version};
use lovageplank_wire::call::OperatorRequest;
use serde_json::json;

use super::{Figures, Table, millis};
use crate::local::Deployment;

/// Number of changes, made one after the other.
const CHANGE_COUNT: u64 = 20;

/// Milliseconds within which a change must be in force at every router. Beyond it the change counts
/// as a violated expectation.
const IN_FORCE_TIMEOUT_MS: u64 = 5_000;

/// Milliseconds between two checks whether a change is in force, which limits the resolution of the
/// measured time.
const POLL_INTERVAL_MS: u64 = 2;

/// Makes the changes and measures the time of each.
pub fn run(deployment: &Deployment, figures: &mut Figures) -> Result<()> {
    let mut accepted = Vec::new();
    let mut in_force = Vec::new();
    for n in 0..CHANGE_COUNT {
        let status = deployment.operators().call(&OperatorRequest::Status)?;
        let base = Version(status["settings_version"].as_u64().unwrap_or(0));
        let began = Instant::now();
        let version = change(deployment, base, n)?;
        accepted.push(began.elapsed());
        let in_time = wait_in_force(deployment, version, began);
        in_force.push(began.elapsed());
        figures.expect(in_time, format!("version {} is not in force", version.0));
    }
    let columns = ["ms", "count", "p50", "max"];
    let mut table = Table::new("Settings changes at ten routers", columns);
    table.row(summary("until accepted", accepted));
    table.row(summary("until in force at every router", in_force));
    figures.tables.push(table);
    Ok(())
}

fn change(deployment: &Deployment, base: Version, n: u64) -> Result<Version> {
    let edit = Edit {
        path: "deadline_ms".into(),
        value: Some(json!(60_000 + n)),
    };
    let answer = deployment.operators().call(&OperatorRequest::Change {
        id: format!("measure-{}", base.0).into(),
        base,
        author: "measure".into(),
        edits: vec![edit],
    })?;
    Ok(Version(answer["version"].as_u64().unwrap_or(0)))
}

fn wait_in_force(deployment: &Deployment, version: Version, began: Instant) -> bool {
    while began.elapsed() < Duration::from_millis(IN_FORCE_TIMEOUT_MS) {
        let answer = deployment
            .operators()
            .call(&OperatorRequest::InForce { version });
        if answer.is_ok_and(|a| a["in_force"] == true) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
    false
}

fn summary(kind: &str, mut times: Vec<Duration>) -> [String; 4] {
    times.sort();
    let middle = times.get(times.len() / 2).copied().unwrap_or_default();
    let longest = times.last().copied().unwrap_or_default();
    [
        kind.to_owned(),
        times.len().to_string(),
        millis(middle),
        millis(longest),
    ]
}
