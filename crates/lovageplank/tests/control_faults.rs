//! Faults of the control group, of engines and of commands in a deployment of real daemons.
//!
//! Each case requests cold models during its fault, then checks the engines' own records: no model
//! had more replicas than were decided, no engine was sent a load that didn't fit, and no request
//! was executed twice.

use lovageplank::deployment::{Config, Deployment};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Edit, Version};
use lovageplank_standin::fault::{CommandFault, Faults};
use lovageplank_standin::record::ReplicaChange;
use lovageplank_wire::call::OperatorRequest;
use serde_json::json;
use std::thread::JoinHandle;
use std::time::Duration;

/// Milliseconds that a load takes: longer than [`FAULT_DELAY_MS`], so that faults occur during it.
const LOAD_MS: u64 = 600;

/// Milliseconds from sending the requests to the fault.
const FAULT_DELAY_MS: u64 = 250;

struct Case {
    name: &'static str,
    config: Config,
    before: fn(&mut Deployment),
    during: fn(&mut Deployment),
    after: fn(&mut Deployment),
}

fn no_op(_: &mut Deployment) {}

fn base() -> Config {
    Config::default()
        .controls(3)
        .routers(3)
        .engines(3)
        .services(0)
        .load_ms(LOAD_MS)
}

fn command_fault(deployment: &Deployment, command: CommandFault) {
    for engine in deployment.engines() {
        engine.set_faults(Faults {
            command: Some(command),
            command_times: Some(1),
            ..Faults::default()
        });
    }
}

fn kill_leader(deployment: &mut Deployment) {
    let leader = deployment.leader().unwrap();
    deployment.stop_control(leader);
}

fn partition_leader(deployment: &mut Deployment) {
    let leader = deployment.leader().unwrap();
    deployment.partition_control(leader, true, false);
}

fn heal_partition(deployment: &mut Deployment) {
    for n in 0..3 {
        deployment.partition_control(n, false, true);
    }
}

/// Kills the first engine that has recorded a load.
fn kill_loading_engine(deployment: &mut Deployment) {
    let loading = deployment
        .engines()
        .iter()
        .position(|e| !e.records().replicas.is_empty());
    deployment.kill_engine(loading.expect("an engine has recorded a load"));
}

fn cases() -> Vec<Case> {
    let case = |name, config, before, during, after| Case {
        name,
        config,
        before,
        during,
        after,
    };
    vec![
        case("no fault", base(), no_op, no_op, no_op),
        case(
            "leader stops during a load",
            base(),
            no_op,
            kill_leader,
            no_op,
        ),
        case(
            "leader stops during a load; engines ignore fencing tokens",
            base().fencing(false),
            no_op,
            kill_leader,
            no_op,
        ),
        case(
            "leader is partitioned, then reconnected",
            base().proxied(true),
            no_op,
            partition_leader,
            heal_partition,
        ),
        case(
            "engine is killed during a load",
            base(),
            no_op,
            kill_loading_engine,
            no_op,
        ),
        case(
            "response to a command is lost",
            base(),
            |d| command_fault(d, CommandFault::LoseAnswer),
            no_op,
            no_op,
        ),
        case(
            "response to a command is lost and the leader stops; engines ignore fencing tokens",
            base().fencing(false),
            |d| command_fault(d, CommandFault::LoseAnswer),
            kill_leader,
            no_op,
        ),
        case(
            "engine never responds to a command",
            base(),
            |d| command_fault(d, CommandFault::Hang),
            no_op,
            no_op,
        ),
    ]
}

#[test]
fn replicas_never_exceed_the_decided_number() {
    let threads: Vec<_> = cases()
        .into_iter()
        .map(|case| std::thread::spawn(move || run(case)))
        .collect();
    for case in threads {
        case.join().unwrap();
    }
}

fn run(case: Case) {
    let mut deployment = case.config.start().unwrap();
    (case.before)(&mut deployment);
    let requests = request_cold_models(&deployment);
    std::thread::sleep(Duration::from_millis(FAULT_DELAY_MS));
    (case.during)(&mut deployment);
    for answer in requests {
        let (status, text) = answer.join().unwrap();
        assert_eq!(status, 200, "{}: {text}", case.name);
    }
    (case.after)(&mut deployment);
    check_records(case.name, &deployment);
}

/// Requests two cold models, twice each, at every router.
fn request_cold_models(deployment: &Deployment) -> Vec<JoinHandle<(u16, String)>> {
    let mut requests = Vec::new();
    for router in deployment.routers() {
        for n in 0..4 {
            let address = router.address;
            let model = ["lime-notes", "arch-summary"][n % 2];
            let body =
                json!({ "model": model, "prompt": format!("{address} {n}"), "max_tokens": 3 });
            requests.push(std::thread::spawn(move || {
                let response = attohttpc::post(format!("http://{address}/v1/completions"))
                    .read_timeout(Duration::from_secs(40))
                    .json(&body)
                    .unwrap()
                    .send()
                    .unwrap();
                (response.status().as_u16(), response.text().unwrap())
            }));
        }
    }
    requests
}

/// Checks the records of the running engines: at most one replica per model at a time, no
/// overcommitted memory, no request executed twice. The records of a killed engine are gone with
/// it, so its replica doesn't count.
fn check_records(name: &str, deployment: &Deployment) {
    let mut events: Vec<(u64, Name, bool)> = Vec::new();
    for engine in deployment.engines() {
        let page = engine.records();
        assert_eq!(page.overcommitted, 0, "{name}");
        assert_eq!(page.overcommit_attempts, 0, "{name}");
        for (text, request) in &page.texts {
            assert!(
                request.runs <= 1,
                "{name}: request {text} ran {} times, expected at most 1",
                request.runs
            );
        }
        for event in page.replicas {
            match event.change {
                ReplicaChange::LoadStarted => events.push((event.at_us, event.model, true)),
                ReplicaChange::LoadFailed | ReplicaChange::Unloaded | ReplicaChange::Died => {
                    events.push((event.at_us, event.model, false));
                }
                ReplicaChange::Loaded => {}
            }
        }
    }
    assert!(!events.is_empty(), "{name}: the engines recorded no load");
    events.sort();
    let mut loaded: BTreeMap<Name, i64> = BTreeMap::new();
    for (_, model, load_started) in events {
        let count = loaded.entry(model.clone()).or_default();
        *count += if load_started { 1 } else { -1 };
        assert!(
            *count <= 1,
            "{name}: {count} replicas of {model}, expected at most 1"
        );
    }
}

#[test]
fn partitioned_leader_commits_nothing_and_catches_up_afterwards() {
    let deployment = base().proxied(true).start().unwrap();
    let old_leader = deployment.leader().unwrap();
    deployment.partition_control(old_leader, true, true);
    let change = |id: &str, value: u64| OperatorRequest::Change {
        id: id.into(),
        base: Version(1),
        author: "test".into(),
        edits: vec![Edit {
            path: "deadline_ms".into(),
            value: Some(json!(value)),
        }],
    };
    let refused = deployment.operator_call_at(old_leader, &change("at-the-old-leader", 1_000));
    assert!(
        refused.is_err(),
        "a leader without a quorum accepted a change: {refused:?}"
    );
    let accepted = retry(|| {
        deployment
            .operator_call(&change("at-the-new-leader", 2_000))
            .ok()
    });
    assert_eq!(accepted["version"], 2);
    deployment.wait_in_force(Version(2)).unwrap();
    deployment.partition_control(old_leader, false, true);
    let value = retry(|| {
        let settings = OperatorRequest::Settings {
            path: "deadline_ms".into(),
            effective: false,
        };
        let answer = deployment.operator_call_at(old_leader, &settings).ok()?;
        (answer["version"] == 2).then_some(answer)
    });
    assert_eq!(value["value"], 2_000, "{value}");
}

#[test]
fn settings_survive_a_stop_of_all_control_processes() {
    let mut deployment = Config::default().controls(3).routers(1).start().unwrap();
    for n in 0..100 {
        let edit = Edit {
            path: "deadline_ms".into(),
            value: Some(json!(1_000 + n)),
        };
        let change = OperatorRequest::Change {
            id: format!("change-{n}").into(),
            base: Version(1 + n),
            author: "test".into(),
            edits: vec![edit],
        };
        deployment.operator_call(&change).unwrap();
    }
    for n in 0..3 {
        deployment.stop_control(n);
    }
    for n in 0..3 {
        deployment.restart_control(n).unwrap();
    }
    let settings = OperatorRequest::Settings {
        path: "deadline_ms".into(),
        effective: false,
    };
    let answer = retry(|| deployment.operator_call(&settings).ok());
    assert_eq!(answer["version"], 101);
    assert_eq!(answer["value"], 1_099);
    deployment.wait_in_force(Version(101)).unwrap();
}

/// The role of a control group's member in the leader's status; `None` if it isn't a member.
fn role(deployment: &Deployment, instance: &str) -> Option<String> {
    let status = deployment.operator_call(&OperatorRequest::Status).ok()?;
    let members = status["members"].as_array()?;
    let member = members.iter().find(|m| m["instance"] == instance)?;
    member["role"].as_str().map(str::to_owned)
}

#[test]
fn group_commits_after_replacing_one_voter_and_losing_another() {
    let mut deployment = Config::default().controls(3).routers(2).start().unwrap();
    let change = |base: u64| OperatorRequest::Change {
        id: format!("change-{base}").into(),
        base: Version(base),
        author: "test".into(),
        edits: vec![Edit {
            path: "deadline_ms".into(),
            value: Some(json!(1_000 + base)),
        }],
    };
    deployment.operator_call(&change(1)).unwrap();
    deployment.stop_control(2);
    deployment.join_control().unwrap();
    let add = OperatorRequest::VoterAdd {
        instance: "control-3".into(),
    };
    retry(|| deployment.operator_call(&add).ok());
    retry(|| (role(&deployment, "control-3")? == "voter").then_some(()));
    let remove = OperatorRequest::VoterRemove {
        instance: "control-2".into(),
    };
    retry(|| deployment.operator_call(&remove).ok());
    retry(|| role(&deployment, "control-2").is_none().then_some(()));
    // Stop one of the two initial voters that are left: the leader if it is one, else control-0.
    let second_lost = deployment.leader().unwrap() % 3;
    deployment.stop_control(second_lost);
    let answer = retry(|| deployment.operator_call(&change(2)).ok());
    assert_eq!(answer["version"], 3);
    deployment.wait_in_force(Version(3)).unwrap();
}

/// Repeats `attempt` until it returns a value; panics after about twenty seconds.
fn retry<T>(mut attempt: impl FnMut() -> Option<T>) -> T {
    for _ in 0..400 {
        if let Some(answer) = attempt() {
            return answer;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("no attempt succeeded");
}
