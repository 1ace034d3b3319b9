//! Control processes are killed; settings and requests must not be lost.

use super::small_deployment::{self, LOAD_MS, streamed_load};
use lovageplank_core::settings::{Edit, Version};
use lovageplank_standin::load::{Arrivals, RouterSelection};
use lovageplank_standin::local::Deployment;
use lovageplank_standin::record::{Snapshot, max_replicas};
use lovageplank_wire::call::OperatorRequest;
use serde_json::{Value, json};
use std::time::Duration;

/// Milliseconds within which an operator's call must succeed, with retries.
const ANSWER_TIMEOUT_MS: u64 = 30_000;

/// Number of calls in the burst: four for each router.
const BURST_CALLS: u32 = 12;

#[test]
fn killing_the_leader_during_a_load_loses_and_repeats_no_request() {
    let mut small = small_deployment::start();
    let deployment = &mut small.deployment;
    let changed = change(deployment, 1, 50_000);
    let mut burst = streamed_load(deployment, "leader", "lime-notes")
        .arrivals(Arrivals::Bursts {
            size: BURST_CALLS,
            every_ms: 1_000,
        })
        .duration_ms(1_000)
        .router_selection(RouterSelection::RoundRobin);
    for address in deployment.router_addresses() {
        burst = burst.fixed(address);
    }
    let calls = {
        let burst = burst.clone();
        std::thread::spawn(move || burst.send().unwrap())
    };
    wait_for_load(deployment);
    let leader = leader(deployment);
    deployment.controls_mut()[leader].kill();
    let outcomes = calls.join().unwrap();
    let report = burst.judge(&outcomes, &pages(deployment));
    assert!(report.verdict.is_clean(), "{report}");
    assert_eq!(report.whole, u64::from(BURST_CALLS), "{report}");
    assert_eq!(report.verdict.reruns, 0, "{report}");
    let max_counts = max_replicas(&pages(deployment));
    assert_eq!(
        max_counts["lime-notes"], 1,
        "maximum number of replicas of lime-notes at once"
    );
    assert!(
        version(deployment) >= changed,
        "a settings version was lost"
    );
    let next = change(deployment, version(deployment), 40_000);
    deployment.controls_mut()[leader].restart().unwrap();
    deployment.wait_in_force(Version(next)).unwrap();
    small.deployment.stop();
}

#[test]
fn killing_all_control_processes_after_500_changes_keeps_the_tree() {
    let mut small = small_deployment::start();
    let deployment = &mut small.deployment;
    let mut last = version(deployment);
    for n in 0..500 {
        last = change(deployment, last, 10_000 + n);
    }
    let tree = tree(deployment);
    for control in deployment.controls_mut() {
        control.kill();
    }
    for control in deployment.controls_mut() {
        control.restart().unwrap();
    }
    assert_eq!(version(deployment), last);
    assert_eq!(self::tree(deployment), tree);
    deployment.wait_in_force(Version(last)).unwrap();
    assert_eq!(change(deployment, last, 9_000), last + 1);
    small.deployment.stop();
}

/// Waits until an engine has recorded the start of a load.
fn wait_for_load(deployment: &Deployment) {
    for _ in 0..LOAD_MS {
        if !max_replicas(&pages(deployment)).is_empty() {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("no engine started a load");
}

fn pages(deployment: &Deployment) -> Vec<Snapshot> {
    let page = |address: &String| {
        attohttpc::get(format!("http://{address}/records"))
            .send()
            .unwrap()
            .json()
            .unwrap()
    };
    deployment.backend_addresses().iter().map(page).collect()
}

fn leader(deployment: &Deployment) -> usize {
    let status = answer(deployment, &OperatorRequest::Status);
    let name = status["leader"].as_str().unwrap();
    let mut controls = deployment.controls().iter();
    controls.position(|c| c.name() == name).unwrap()
}

fn version(deployment: &Deployment) -> u64 {
    let status = answer(deployment, &OperatorRequest::Status);
    status["settings_version"].as_u64().unwrap()
}

fn tree(deployment: &Deployment) -> Value {
    let call = OperatorRequest::Settings {
        path: String::new(),
        effective: false,
    };
    answer(deployment, &call)
}

/// Makes a change against the version `base` and returns the new version.
fn change(deployment: &Deployment, base: u64, deadline_ms: u64) -> u64 {
    let edit = Edit {
        path: "services/drafting/deadline_ms".into(),
        value: Some(json!(deadline_ms)),
    };
    let change = OperatorRequest::Change {
        id: format!("change-{base}").into(),
        base: Version(base),
        author: "test".into(),
        edits: vec![edit],
    };
    answer(deployment, &change)["version"].as_u64().unwrap()
}

fn answer(deployment: &Deployment, call: &OperatorRequest) -> Value {
    let operators = deployment.operators();
    operators.wait_for(call, ANSWER_TIMEOUT_MS).unwrap()
}
