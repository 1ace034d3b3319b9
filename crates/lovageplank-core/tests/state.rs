//! The state machine as a whole: checks at apply, resent and concurrent changes, snapshots.

use lovageplank_core::idempotency::{Answer, Claim, Key, Outcome, Verdict};
use lovageplank_core::ledger::{self, Action, Adoption, Engine, Load, Observation};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Accepted, Change, ChangeId, Edit, Refusal, Version};
use lovageplank_core::state::{Command, Denial, Machine, Reply};
use lovageplank_core::view::ReplicaId;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

fn edit(path: &str, value: Value) -> Edit {
    Edit {
        path: path.into(),
        value: Some(value),
    }
}

fn change(id: &str, base: u64, edits: Vec<Edit>) -> Command {
    Command::Change(Change {
        id: ChangeId(id.into()),
        base: Version(base),
        author: "office".into(),
        at_ms: 0,
        edits,
    })
}

fn document() -> Value {
    json!({
        "settings": {"max_replicas": 2},
        "services": {
            "drafting": {"models": {
                "lime": {"version": "2", "memory_mb": 60, "adapters": {"moss": {}}},
                "sand": {"version": "1", "memory_mb": 30, "settings": {"max_replicas": 1}},
            }},
            "orders": {"kind": "plain"},
        },
    })
}

/// A machine with the settings of `document`, engine `e` of service `drafting` and engine `f` of
/// another service.
fn machine() -> Machine {
    let mut machine = Machine::default();
    let entries = [
        change("first", 0, vec![edit("", document())]),
        Command::Register(Engine::new("e", 1, 100).services(["drafting"])),
        Command::Register(Engine::new("f", 1, 100).services(["other"])),
    ];
    for (entry, index) in entries.iter().zip(1..) {
        let reply = machine.apply(index, entry);
        assert!(
            matches!(reply, Reply::Changed(_) | Reply::Noted),
            "{reply:?}"
        );
    }
    machine
}

fn replica(model: &str, version: &str, engine: &str) -> ReplicaId {
    ReplicaId {
        model: model.into(),
        version: version.into(),
        engine: engine.into(),
    }
}

fn load(replica: ReplicaId, memory_mb: u64, limit: u32, surge: u32) -> Command {
    Command::Ledger(Action::Load(Load {
        replica,
        memory_mb,
        limit,
        surge,
        replace_lost: false,
    }))
}

/// A deposed or faulty leader may propose decisions that the settings tree does not allow.
#[test]
fn decisions_are_checked_against_the_tree_in_force() {
    let lime = || replica("lime", "2", "e");
    let service = || Name::from("drafting");
    let adoption = Adoption {
        replica: lime(),
        memory_mb: 60,
        limit: 3,
        surge: 0,
    };
    let adapter = Action::LoadAdapter {
        replica: lime(),
        adapter: "gone".into(),
    };
    let rows = [
        (load(replica("clay", "1", "e"), 60, 1, 0), Denial::Model),
        (
            load(replica("lime", "2", "f"), 60, 1, 0),
            Denial::Service { service: service() },
        ),
        (
            load(replica("lime", "1", "e"), 60, 1, 0),
            Denial::Version {
                version: "2".into(),
            },
        ),
        (load(lime(), 59, 1, 0), Denial::Memory { memory_mb: 60 }),
        (load(lime(), 60, 3, 0), Denial::Limit { max_replicas: 2 }),
        (load(lime(), 60, 2, 3), Denial::Limit { max_replicas: 2 }),
        (
            load(replica("sand", "1", "e"), 30, 2, 0),
            Denial::Limit { max_replicas: 1 },
        ),
        (
            Command::Ledger(Action::Adopt(adoption)),
            Denial::Limit { max_replicas: 2 },
        ),
        (Command::Ledger(adapter), Denial::Adapter),
    ];
    for (command, denial) in rows {
        let mut machine = machine();
        let ledger = machine.ledger.clone();
        assert_eq!(
            machine.apply(9, &command),
            Reply::Denied(denial),
            "{command:?}"
        );
        assert_eq!(machine.ledger, ledger);
    }
    let mut machine = machine();
    assert!(matches!(
        machine.apply(9, &load(lime(), 60, 2, 0)),
        Reply::Intent(_)
    ));
}

/// A settings change is applied between a leader's decision and the decision's own entry.
#[test]
fn decision_planned_under_an_older_tree_is_denied() {
    let mut machine = machine();
    let lower = edit("services/drafting/models/lime/max_replicas", json!(0));
    machine.apply(4, &change("lower", 1, vec![lower]));
    let denial = Denial::Limit { max_replicas: 0 };
    let late = load(replica("lime", "2", "e"), 60, 1, 0);
    assert_eq!(machine.apply(5, &late), Reply::Denied(denial));
}

#[test]
fn second_of_two_changes_on_the_same_base_is_refused() {
    let mut machine = machine();
    let a = change("a", 1, vec![edit("priority", json!(1))]);
    let b = change(
        "b",
        1,
        vec![edit("queue_limit", json!(1)), edit("priority", json!(2))],
    );
    let version = Version(2);
    assert_eq!(machine.apply(4, &a), Reply::Changed(Accepted { version }));
    let conflict = Refusal::Conflict {
        current: version,
        paths: vec!["priority".into()],
        complete: true,
    };
    assert_eq!(machine.apply(5, &b), Reply::Unchanged(conflict.clone()));
    // Both replies were lost, and both changes are sent again.
    assert_eq!(machine.apply(6, &a), Reply::Changed(Accepted { version }));
    assert_eq!(machine.apply(7, &b), Reply::Unchanged(conflict));
    let other = change("a", 2, vec![edit("priority", json!(3))]);
    assert_eq!(
        machine.apply(8, &other),
        Reply::Unchanged(Refusal::Reused { version })
    );
    assert_eq!(machine.settings.version(), version);
}

/// Each change is sent twice, as if its first reply was lost. The machine is restored from a
/// snapshot at every 50th version, and before all changes are sent a third time.
#[test]
fn five_hundred_changes_survive_restarts_and_resends() {
    let mut machine = machine();
    let mut changes = Vec::new();
    for version in 1..=500 {
        let path = ["priority", "services/drafting/priority"][usize::from(version % 2 == 0)];
        let edits = vec![
            edit(path, json!(version % 10)),
            edit("queue_limit", json!(version)),
        ];
        changes.push(change(&format!("c{version}"), version, edits));
    }
    let mut index = 3;
    for (command, version) in changes.iter().zip(2..) {
        let accepted = Reply::Changed(Accepted {
            version: Version(version),
        });
        index += 2;
        assert_eq!(machine.apply(index - 1, command), accepted);
        if version % 50 == 0 {
            machine =
                Machine::decode(&machine.encode()).expect("a snapshot that Machine::encode wrote");
        }
        assert_eq!(machine.apply(index, command), accepted);
    }
    let restored =
        Machine::decode(&machine.encode()).expect("a snapshot that Machine::encode wrote");
    assert_eq!(restored, machine);
    assert_eq!(restored.settings.version(), Version(501));
    let effective = restored.settings.tree().effective("drafting", None, None);
    assert_eq!((effective.queue_limit, effective.priority), (500, 0));
    let mut restored = restored;
    for (command, version) in changes.iter().zip(2..) {
        index += 1;
        let version = Version(version);
        assert_eq!(
            restored.apply(index, command),
            Reply::Changed(Accepted { version })
        );
    }
    assert_eq!(restored.settings, machine.settings);
}

#[test]
fn time_never_goes_back_and_entries_are_applied_once() {
    let mut machine = machine();
    let claim = |key: &str, at_ms| {
        Command::Claim(Claim {
            key: Key {
                service: "orders".into(),
                caller: "office".into(),
                key: key.into(),
            },
            fingerprint: 7,
            router: "r".into(),
            router_incarnation: 1,
            attempt: at_ms,
            at_ms,
            ttl_ms: 100,
        })
    };
    let complete = |claim, at_ms| {
        Command::Complete(Outcome {
            claim,
            answer: Answer::Executed { status: 200 },
            at_ms,
        })
    };
    let run = |claim| Reply::Claimed(Verdict::Run { claim });
    assert_eq!(machine.apply(4, &claim("k", 1_000)), run(4));
    // The next leader's clock is behind; the outcome must still be kept for its full `ttl_ms`.
    assert_eq!(machine.apply(5, &complete(4, 10)), Reply::Completed(true));
    let first = Reply::Claimed(Verdict::Done(Answer::Executed { status: 200 }));
    assert_eq!(machine.apply(6, &claim("k", 1_099)), first);
    assert_eq!(machine.apply(7, &claim("k", 1_100)), run(7));
    let before = machine.clone();
    assert_eq!(machine.apply(7, &claim("l", 1_101)), Reply::Repeated);
    assert_eq!(machine, before);
}

fn random_command(rng: &mut StdRng, machine: &Machine) -> Command {
    let model = *["lime", "sand"]
        .choose(rng)
        .expect("the choice is not empty");
    let version = if model == "lime" { "2" } else { "1" };
    let replica = replica(model, version, "e");
    let number = rng.random_range(0..40_u64);
    let token = machine.applied.saturating_sub(number % 6);
    match rng.random_range(0..11) {
        0 => change(&format!("c{number}"), machine.settings.version().0, {
            vec![
                edit("queue_limit", json!(number)),
                edit("caller_rate", json!(1.5)),
            ]
        }),
        1..4 => load(replica, 60, 1, 0),
        4 => Command::Ledger(Action::Drain(replica)),
        5 => Command::Ledger(Action::Unload(replica)),
        6 => Command::Ledger(Action::Resolve {
            token,
            send: 1,
            outcome: ledger::Outcome::Done,
        }),
        7 => Command::Ledger(Action::Observe(Observation {
            engine: "e".into(),
            incarnation: 1,
            loaded: Vec::new(),
            basis: token,
        })),
        8 => Command::Claim(Claim {
            key: Key {
                service: "orders".into(),
                caller: "office".into(),
                key: number.to_string().into(),
            },
            fingerprint: 7,
            router: "r".into(),
            router_incarnation: 1,
            attempt: token,
            at_ms: number,
            ttl_ms: 1_000,
        }),
        9 => Command::Complete(Outcome {
            claim: token,
            answer: Answer::Whole {
                status: 200,
                content_type: "text/plain".into(),
                body: vec![0, 255, 7],
            },
            at_ms: number,
        }),
        _ => Command::Abandon {
            router: "r".into(),
            incarnation: 0,
            at_ms: number,
        },
    }
}

#[test]
fn replicas_agree_whenever_they_are_restored() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut machine = machine();
        let mut other = machine.clone();
        for index in 4..300 {
            let command = random_command(&mut rng, &machine);
            let sent =
                Command::decode(&command.encode()).expect("a command that Command::encode wrote");
            assert_eq!(sent, command);
            let reply = machine.apply(index, &command);
            assert_eq!(other.apply(index, &sent), reply);
            machine
                .ledger
                .check()
                .expect("the ledger's invariants hold");
            if rng.random_bool(0.05) {
                other = Machine::decode(&other.encode())
                    .expect("a snapshot that Machine::encode wrote");
            }
        }
        assert_eq!(other.encode(), machine.encode(), "seed {seed}");
    }
}

/// Truncated and extended encodings and unknown snapshot formats are errors; flipped bits must
/// not cause a panic.
#[test]
fn damaged_entries_and_snapshots_do_not_panic() {
    let mut rng = StdRng::seed_from_u64(1);
    let snapshot = machine().encode();
    let entry = change("c", 0, vec![edit("", document())]).encode();
    for _ in 0..3_000 {
        for whole in [&snapshot, &entry] {
            let mut bytes = whole.clone();
            let offset = rng.random_range(0..bytes.len());
            if rng.random() {
                bytes[offset] ^= 1 << rng.random_range(0..8);
            } else {
                bytes.truncate(offset);
                assert!(Machine::decode(&bytes).is_err() && Command::decode(&bytes).is_err());
            }
            // A flipped bit may leave a valid encoding, but decoding it must not panic.
            let _ = (Machine::decode(&bytes), Command::decode(&bytes));
        }
    }
    let mut trailing = entry.clone();
    trailing.push(0);
    let error = Command::decode(&trailing).expect_err("a trailing byte is an error");
    assert_eq!(error.to_string(), "1 bytes after the end of the value");
    let mut newer_format = snapshot;
    newer_format[0] = 2;
    let error = Machine::decode(&newer_format).expect_err("an unknown format is an error");
    assert_eq!(error.to_string(), "snapshot format 2, expected 1");
}
