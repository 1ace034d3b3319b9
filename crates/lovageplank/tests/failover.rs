//! With three control processes, the other two continue with the same settings after the leader
//! stops.

use lovageplank::deployment::Config;
use lovageplank_core::settings::{Edit, Version};
use lovageplank_wire::call::OperatorRequest;
use serde_json::json;

fn change(base: u64, id: &str, value: u64) -> OperatorRequest {
    let edit = Edit {
        path: "services/drafting/deadline_ms".into(),
        value: Some(json!(value)),
    };
    OperatorRequest::Change {
        id: id.into(),
        base: Version(base),
        author: "test".into(),
        edits: vec![edit],
    }
}

#[test]
fn settings_survive_a_leader_change_and_a_resent_change_applies_once() {
    let mut deployment = Config::default().controls(3).routers(3).start().unwrap();
    let answer = deployment.operator_call(&change(1, "c-1", 9_000)).unwrap();
    assert_eq!(answer["version"], 2);
    let leader = leader(&deployment);
    deployment.stop_control(leader);
    let resent = retry(|| deployment.operator_call(&change(1, "c-1", 9_000)).ok());
    assert_eq!(
        resent["version"], 2,
        "a resent change returns the version of its first answer"
    );
    let next = deployment.operator_call(&change(2, "c-2", 8_000)).unwrap();
    assert_eq!(next["version"], 3);
    deployment.wait_in_force(Version(3)).unwrap();
    deployment.restart_control(leader).unwrap();
    let history = deployment
        .operator_call(&OperatorRequest::History { limit: 10 })
        .unwrap();
    assert_eq!(history.as_array().unwrap().len(), 3, "{history}");
}

fn leader(deployment: &lovageplank::deployment::Deployment) -> usize {
    let status = deployment.operator_call(&OperatorRequest::Status).unwrap();
    let name = status["leader"].as_str().unwrap().to_owned();
    name.rsplit('-').next().unwrap().parse().unwrap()
}

/// Repeats `attempt` until it returns a value; panics after about ten seconds.
fn retry<T>(mut attempt: impl FnMut() -> Option<T>) -> T {
    for _ in 0..200 {
        if let Some(answer) = attempt() {
            return answer;
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    panic!("no attempt succeeded");
}
