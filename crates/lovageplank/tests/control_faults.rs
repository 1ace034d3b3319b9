//! Faults of the control group, engines and commands between real daemons, one row each.
//!
//! Every row asks for cold models under its fault, then checks the engines' own records: no model
//! had more replicas than were decided, no engine took a load that didn't fit, no request ran twice.

use lovageplank::deployment::{Config, Deployment};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Edit, Version};
use lovageplank_standin::fault::{CommandFault, Faults};
use lovageplank_standin::record::ReplicaChange;
use lovageplank_wire::call::Operator;
use serde_json::json;
use std::thread::JoinHandle;
use std::time::Duration;

/// Milliseconds that a load takes here: long enough to strike in its middle.
const LOAD_MS: u64 = 600;

/// Milliseconds from the requests to the fault.
const MIDDLE_MS: u64 = 250;

struct Row {
    name: &'static str,
    config: Config,
    before: fn(&mut Deployment),
    during: fn(&mut Deployment),
    after: fn(&mut Deployment),
}

fn nothing(_: &mut Deployment) {}

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

fn cut_leader(deployment: &mut Deployment) {
    let leader = deployment.leader().unwrap();
    deployment.cut_control(leader, true, false);
}

fn heal(deployment: &mut Deployment) {
    for n in 0..3 {
        deployment.cut_control(n, false, true);
    }
}

/// Ends the engine that is loading.
fn kill_loading_engine(deployment: &mut Deployment) {
    let loading = deployment
        .engines()
        .iter()
        .position(|e| !e.records().replicas.is_empty());
    deployment.kill_engine(loading.expect("an engine loads"));
}

fn rows() -> Vec<Row> {
    let row = |name, config, before, during, after| Row {
        name,
        config,
        before,
        during,
        after,
    };
    vec![
        row("no fault", base(), nothing, nothing, nothing),
        row(
            "leader ends in the middle of a load",
            base(),
            nothing,
            kill_leader,
            nothing,
        ),
        row(
            "leader ends in the middle of a load; engines ignore tokens",
            base().fencing(false),
            nothing,
            kill_leader,
            nothing,
        ),
        row(
            "leader cut off silently, then back",
            base().proxied(true),
            nothing,
            cut_leader,
            heal,
        ),
        row(
            "engine dies in the middle of a load",
            base(),
            nothing,
            kill_loading_engine,
            nothing,
        ),
        row(
            "the answer to a command is lost",
            base(),
            |d| command_fault(d, CommandFault::LoseAnswer),
            nothing,
            nothing,
        ),
        row(
            "the answer to a command is lost and the leader ends; engines ignore tokens",
            base().fencing(false),
            |d| command_fault(d, CommandFault::LoseAnswer),
            kill_leader,
            nothing,
        ),
        row(
            "an engine never answers a command",
            base(),
            |d| command_fault(d, CommandFault::Hang),
            nothing,
            nothing,
        ),
    ]
}

#[test]
fn replicas_stay_within_what_was_decided() {
    let running: Vec<_> = rows()
        .into_iter()
        .map(|row| std::thread::spawn(move || run(row)))
        .collect();
    for row in running {
        row.join().unwrap();
    }
}

fn run(row: Row) {
    let mut deployment = row.config.start().unwrap();
    (row.before)(&mut deployment);
    let asked = ask_everywhere(&deployment);
    std::thread::sleep(Duration::from_millis(MIDDLE_MS));
    (row.during)(&mut deployment);
    for answer in asked {
        let (status, text) = answer.join().unwrap();
        assert_eq!(status, 200, "{}: {text}", row.name);
    }
    (row.after)(&mut deployment);
    check_records(row.name, &deployment);
}

/// Asks for two cold models at every router, several times each.
fn ask_everywhere(deployment: &Deployment) -> Vec<JoinHandle<(u16, String)>> {
    let mut asked = Vec::new();
    for router in deployment.routers() {
        for n in 0..4 {
            let address = router.address;
            let model = ["lime-notes", "arch-summary"][n % 2];
            let body =
                json!({ "model": model, "prompt": format!("{address} {n}"), "max_tokens": 3 });
            asked.push(std::thread::spawn(move || {
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
    asked
}

/// The engines' own records against what may have been decided: one replica per model, and one
/// more for each engine that was lost.
fn check_records(name: &str, deployment: &Deployment) {
    let mut events: Vec<(u64, Name, bool)> = Vec::new();
    for engine in deployment.engines() {
        let page = engine.records();
        assert_eq!(page.overcommitted, 0, "{name}");
        assert_eq!(page.overcommit_attempts, 0, "{name}");
        for (text, request) in &page.texts {
            assert!(
                request.runs <= 1,
                "{name}: {text} ran {} times",
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
    for (_, model, begins) in events {
        let count = loaded.entry(model.clone()).or_default();
        *count += if begins { 1 } else { -1 };
        assert!(*count <= 1, "{name}: {count} replicas of {model}");
    }
}

#[test]
fn a_leader_that_is_cut_off_neither_commits_nor_claims_to_be_in_force() {
    let deployment = base().proxied(true).start().unwrap();
    let old = deployment.leader().unwrap();
    deployment.cut_control(old, true, true);
    let change = |id: &str, value: u64| Operator::Change {
        id: id.into(),
        base: Version(1),
        author: "test".into(),
        edits: vec![Edit {
            path: "deadline_ms".into(),
            value: Some(json!(value)),
        }],
    };
    let refused = deployment.operate_at(old, &change("at-the-old-leader", 1_000));
    assert!(
        refused.is_err(),
        "a leader without a quorum accepted a change: {refused:?}"
    );
    let accepted = retry(|| deployment.operate(&change("at-the-new-leader", 2_000)).ok());
    assert_eq!(accepted["version"], 2);
    deployment.wait_in_force(Version(2)).unwrap();
    deployment.cut_control(old, false, true);
    let value = retry(|| {
        let settings = Operator::Settings {
            path: "deadline_ms".into(),
            effective: false,
        };
        let answer = deployment.operate_at(old, &settings).ok()?;
        (answer["version"] == 2).then_some(answer)
    });
    assert_eq!(value["value"], 2_000, "{value}");
}

#[test]
fn all_control_processes_end_at_once_after_many_changes() {
    let mut deployment = Config::default().controls(3).routers(1).start().unwrap();
    for n in 0..100 {
        let edit = Edit {
            path: "deadline_ms".into(),
            value: Some(json!(1_000 + n)),
        };
        let change = Operator::Change {
            id: format!("change-{n}").into(),
            base: Version(1 + n),
            author: "test".into(),
            edits: vec![edit],
        };
        deployment.operate(&change).unwrap();
    }
    for n in 0..3 {
        deployment.stop_control(n);
    }
    for n in 0..3 {
        deployment.restart_control(n).unwrap();
    }
    let settings = Operator::Settings {
        path: "deadline_ms".into(),
        effective: false,
    };
    let answer = retry(|| deployment.operate(&settings).ok());
    assert_eq!(answer["version"], 101);
    assert_eq!(answer["value"], 1_099);
    deployment.wait_in_force(Version(101)).unwrap();
}

/// The role of a member as the leader sees it.
fn role(deployment: &Deployment, instance: &str) -> Option<String> {
    let status = deployment.operate(&Operator::Status).ok()?;
    let members = status["members"].as_array()?;
    let member = members.iter().find(|m| m["instance"] == instance)?;
    member["role"].as_str().map(str::to_owned)
}

#[test]
fn a_replaced_voter_carries_the_group_when_a_second_one_is_lost_right_after() {
    let mut deployment = Config::default().controls(3).routers(2).start().unwrap();
    let change = |base: u64| Operator::Change {
        id: format!("change-{base}").into(),
        base: Version(base),
        author: "test".into(),
        edits: vec![Edit {
            path: "deadline_ms".into(),
            value: Some(json!(1_000 + base)),
        }],
    };
    deployment.operate(&change(1)).unwrap();
    deployment.stop_control(2);
    deployment.join_control().unwrap();
    let add = Operator::VoterAdd {
        instance: "control-3".into(),
    };
    retry(|| deployment.operate(&add).ok());
    retry(|| (role(&deployment, "control-3")? == "voter").then_some(()));
    let remove = Operator::VoterRemove {
        instance: "control-2".into(),
    };
    retry(|| deployment.operate(&remove).ok());
    retry(|| role(&deployment, "control-2").is_none().then_some(()));
    // Of the two founders that are left, the one that leads, or the first.
    let second = deployment.leader().unwrap() % 3;
    deployment.stop_control(second);
    let answer = retry(|| deployment.operate(&change(2)).ok());
    assert_eq!(answer["version"], 3);
    deployment.wait_in_force(Version(3)).unwrap();
}

/// Asks until there is an answer, at most some twenty seconds.
fn retry<T>(mut ask: impl FnMut() -> Option<T>) -> T {
    for _ in 0..400 {
        if let Some(answer) = ask() {
            return answer;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("no answer");
}
