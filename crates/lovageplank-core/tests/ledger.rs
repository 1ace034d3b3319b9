//! Tests the ledger with scripts of log entries and the reply expected to each.

use lovageplank_core::backend::LoadedReplica;
use lovageplank_core::ledger::{
    Action, Adoption, Engine, Ledger, Load, Observation, Outcome, Phase, Refusal, Reply,
};
use lovageplank_core::view::{self, ReplicaId};
use std::collections::BTreeSet;

/// Name, script and the replicas recorded at the end.
///
/// The line number in a script, from 1, is the log index. Replicas are written as
/// `model@version/engine`. `checks` and `ignores` register an engine that checks or ignores fencing
/// tokens, with its incarnation. A load has memory in megabytes, limit, surge and `replace_lost`. A
/// report has engine, incarnation, basis and replicas; `...` marks one that is still loading.
const CASES: &[(&str, &str, &str)] = &[
    (
        "a repeated load commits one command",
        "\
         checks e 1 = ok
         load lime@1/e 60 = send 1 of 2
         load lime@1/e 60 = Exists
         resolve 2 1 Done = ok
         load lime@1/e 60 = Exists",
        "lime@1/e Ready",
    ),
    (
        "a burst of loads on two engines stays within the limit of one replica",
        "\
         checks e 1 = ok
         checks f 1 = ok
         load lime@1/e 60 = send 1 of 3
         load lime@1/f 60 = Limit { counted: 1 }",
        "lime@1/e Loading",
    ),
    (
        "memory is reserved before the load is sent",
        "\
         checks e 1 = ok
         load lime@1/e 60 = send 1 of 2
         load salt@1/e 41 = Memory { free_mb: 40 }
         load salt@1/e 40 = send 1 of 4
         load kapar@1/e 1 = Memory { free_mb: 0 }
         load kapar@1/e 0 = Memory { free_mb: 0 }",
        "lime@1/e Loading, salt@1/e Loading",
    ),
    (
        "an unloaded replica keeps its reservation while the answer to a send of its load is missing",
        "\
         ignores e 1 = ok
         load lime@1/e 60 = send 1 of 2
         resend 2 = send 2 of 2
         resolve 2 2 Done = ok
         resolve 2 2 Done = ok
         drain lime@1/e = ok
         unload lime@1/e = send 1 of 7
         resolve 7 1 Done = ok
         load salt@1/e 60 = Memory { free_mb: 40 }
         resolve 2 1 Done = ok
         report e 1 10 lime@1 = ready 0 gone 0 found 1",
        "lime@1/e Found",
    ),
    (
        "an unload on an engine that checks tokens frees the memory despite an open load",
        "\
         checks e 1 = ok
         load lime@1/e 60 = send 1 of 2
         resend 2 = send 2 of 2
         resolve 2 2 Done = ok
         drain lime@1/e = ok
         unload lime@1/e = send 1 of 6
         resolve 6 1 Done = ok
         load salt@1/e 100 = send 1 of 8",
        "salt@1/e Loading",
    ),
    (
        "a restart during a load drops the load and its reservation",
        "\
         ignores e 1 = ok
         load lime@1/e 60 = send 1 of 2
         resolve 2 1 Accepted = ok
         lost e 1 = ok
         load salt@1/e 40 = Lost
         ignores e 2 = ok
         resolve 2 1 Done = UnknownCommand
         load salt@1/e 100 = send 1 of 8",
        "salt@1/e Loading",
    ),
    (
        "a report requested before the load was accepted proves no absence",
        "\
         checks e 1 = ok
         load lime@1/e 60 = send 1 of 2
         report e 1 0 = ready 0 gone 0 found 0
         report e 1 2 = ready 0 gone 0 found 0
         resolve 2 1 Accepted = ok
         report e 1 4 = ready 0 gone 0 found 0
         report e 1 5 lime@1... = ready 0 gone 0 found 0",
        "lime@1/e Loading",
    ),
    (
        "an accepted load that a later report omits has failed",
        "\
         checks e 1 = ok
         load lime@1/e 60 = send 1 of 2
         resolve 2 1 Accepted = ok
         report e 1 3 = ready 0 gone 1 found 0",
        "",
    ),
    (
        "a rejected resend keeps the reservation while a deposed leader's send may still arrive",
        "\
         ignores e 1 = ok
         load lime@1/e 60 = send 1 of 2
         resend 2 = send 2 of 2
         resolve 2 2 Rejected = ok
         load salt@1/e 60 = Memory { free_mb: 40 }
         resolve 2 1 NotSent = ok
         report e 1 6 = ready 0 gone 0 found 0
         load salt@1/e 60 = send 1 of 8",
        "salt@1/e Loading",
    ),
    (
        "a replica can't load again while a send of its unload is open",
        "\
         ignores e 1 = ok
         load lime@1/e 60 = send 1 of 2
         resolve 2 1 Done = ok
         drain lime@1/e = ok
         unload lime@1/e = send 1 of 5
         resend 5 = send 2 of 5
         resolve 5 2 Done = ok
         load lime@1/e 60 = Outstanding { token: 5 }
         load salt@1/e 100 = send 1 of 9
         resolve 5 1 Done = ok",
        "salt@1/e Loading",
    ),
    (
        "a reported replica isn't ready while an earlier unload is open",
        "\
         checks e 1 = ok
         load lime@1/e 60 = send 1 of 2
         resend 2 = send 2 of 2
         resolve 2 2 Done = ok
         drain lime@1/e = ok
         unload lime@1/e = send 1 of 6
         report e 1 6 = ready 0 gone 1 found 0
         load lime@1/e 60 = send 1 of 8
         report e 1 8 lime@1 = ready 0 gone 0 found 0
         resolve 8 1 Done = ok",
        "lime@1/e Ready",
    ),
    (
        "an unsent copy of a load proves nothing about its other copies",
        "\
         ignores e 1 = ok
         load lime@1/e 60 = send 1 of 2
         resend 2 = send 2 of 2
         resolve 2 2 NotSent = ok
         resend 2 = send 3 of 2
         resolve 2 3 NotSent = ok
         resolve 2 1 Accepted = ok",
        "lime@1/e Loading",
    ),
    (
        "a replica returns to service only when every send of its unload was rejected",
        "\
         ignores e 1 = ok
         load lime@1/e 60 = send 1 of 2
         resolve 2 1 Done = ok
         unload lime@1/e = Phase
         drain lime@1/e = ok
         unload lime@1/e = send 1 of 6
         resend 6 = send 2 of 6
         resolve 6 2 Rejected = ok
         undrain lime@1/e = Phase
         resolve 6 1 Rejected = ok
         undrain lime@1/e = ok",
        "lime@1/e Ready",
    ),
    (
        "a model has at most one unresolved command per engine",
        "\
         checks e 1 = ok
         load lime@1/e 30 = send 1 of 2
         load lime@2/e 30 1 1 false = Busy { token: 2 }
         unload lime@1/e = Busy { token: 2 }",
        "lime@1/e Loading",
    ),
    (
        "a new version loads alongside the old one only within surge and memory",
        "\
         checks e 1 = ok
         load lime@1/e 60 = send 1 of 2
         resolve 2 1 Done = ok
         load lime@2/e 40 = Limit { counted: 1 }
         load lime@2/e 60 1 1 false = Memory { free_mb: 40 }
         load lime@2/e 40 1 1 false = send 1 of 6",
        "lime@1/e Ready, lime@2/e Loading",
    ),
    (
        "surge doesn't raise the limit of the new version",
        "\
         checks e 1 = ok
         checks f 1 = ok
         checks g 1 = ok
         load lime@1/e 60 = send 1 of 4
         load lime@2/f 60 1 2 false = send 1 of 5
         load lime@2/g 60 1 2 false = Limit { counted: 2 }",
        "lime@1/e Loading, lime@2/f Loading",
    ),
    (
        "a lost engine's replica counts unless replace_lost is set",
        "\
         checks e 1 = ok
         checks f 1 = ok
         load lime@1/e 60 = send 1 of 3
         resolve 3 1 Done = ok
         lost e 1 = ok
         load lime@1/f 60 = Limit { counted: 1 }
         load lime@1/f 60 1 0 true = send 1 of 7
         checks e 1 = ok
         adopt lime@1/e = Limit { counted: 1 }
         drain lime@1/e = ok
         unload lime@1/e = send 1 of 11",
        "lime@1/e Unloading, lime@1/f Loading",
    ),
    (
        "a forgotten engine registers only under a larger incarnation",
        "\
         checks e 1 = ok
         load lime@1/e 60 = send 1 of 2
         forget e = InSight
         lost e 1 = ok
         forget e = ok
         checks e 1 = Stale { current: 1 }
         checks e 2 = ok",
        "",
    ),
    (
        "a found replica reserves memory and can be adopted once",
        "\
         checks e 1 = ok
         report e 1 0 lime@1 = ready 0 gone 0 found 1
         load salt@1/e 60 = Memory { free_mb: 40 }
         adopt lime@1/e = ok
         adopt lime@1/e = Phase",
        "lime@1/e Ready",
    ),
    (
        "a report with an old basis doesn't restore an unloaded replica",
        "\
         ignores e 1 = ok
         load lime@1/e 60 = send 1 of 2
         resolve 2 1 Done = ok
         drain lime@1/e = ok
         unload lime@1/e = send 1 of 5
         resolve 5 1 Done = ok
         report e 1 4 lime@1 = ready 0 gone 0 found 0
         load lime@1/e 60 = send 1 of 8
         report e 1 4 lime@1 = ready 0 gone 0 found 0
         report e 1 0 lime@1 = ready 0 gone 0 found 0
         report e 1 8 lime@1 = ready 1 gone 0 found 0",
        "lime@1/e Ready",
    ),
    (
        "earlier incarnations and unknown names are refused",
        "\
         checks e 3 = ok
         checks e 2 = Stale { current: 3 }
         ignores e 3 = Incarnation
         report e 2 0 lime@1 = Stale { current: 3 }
         lost e 2 = Stale { current: 3 }
         load lime@1/x 60 = UnknownEngine
         drain lime@1/e = UnknownReplica
         resend 9 = UnknownCommand
         resolve 9 1 Done = UnknownCommand",
        "",
    ),
    (
        "an accepted load can be unloaded before it finishes",
        "\
         checks e 1 = ok
         load lime@1/e 60 = send 1 of 2
         unload lime@1/e = Busy { token: 2 }
         resolve 2 1 Accepted = ok
         unload lime@1/e = send 1 of 5
         resolve 5 1 Rejected = ok
         report e 1 6 lime@1 = ready 0 gone 0 found 1",
        "lime@1/e Found",
    ),
    (
        "an adapter on a ready replica has at most one command",
        "\
         checks e 1 = ok
         load lime@1/e 60 = send 1 of 2
         load_adapter lime@1/e = Phase
         resolve 2 1 Done = ok
         unload_adapter lime@1/e = UnknownReplica
         load_adapter lime@1/e = send 1 of 6
         load_adapter lime@1/e = Busy { token: 6 }
         resolve 6 1 Done = ok
         load_adapter lime@1/e = Exists",
        "lime@1/e Ready+",
    ),
];

/// Applies one script line without its expected reply.
fn apply(ledger: &mut Ledger, index: u64, line: &str) -> Result<Reply, Refusal> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let action = match words[..] {
        ["checks", id, incarnation] => {
            let engine = Engine::new(id, number(incarnation), 100);
            return ledger.register(index, engine);
        }
        ["ignores", id, incarnation] => {
            let engine = Engine::new(id, number(incarnation), 100).fencing(false);
            return ledger.register(index, engine);
        }
        ["load", id, memory_mb] => load(id, memory_mb, ["1", "0", "false"]),
        ["load", id, memory_mb, limit, surge, lost] => load(id, memory_mb, [limit, surge, lost]),
        ["adopt", id] => Action::Adopt(Adoption {
            replica: replica(id),
            memory_mb: 60,
            limit: 1,
            surge: 0,
        }),
        ["drain", id] => Action::Drain(replica(id)),
        ["undrain", id] => Action::Undrain(replica(id)),
        ["unload", id] => Action::Unload(replica(id)),
        ["load_adapter", id] => Action::LoadAdapter {
            replica: replica(id),
            adapter: "moss".into(),
        },
        ["unload_adapter", id] => Action::UnloadAdapter {
            replica: replica(id),
            adapter: "moss".into(),
        },
        ["resend", token] => Action::Resend {
            token: number(token),
        },
        ["resolve", token, send, outcome] => Action::Resolve {
            token: number(token),
            send: send.parse().expect("send should be an unsigned integer"),
            outcome: match outcome {
                "Accepted" => Outcome::Accepted,
                "Done" => Outcome::Done,
                "Rejected" => Outcome::Rejected,
                "NotSent" => Outcome::NotSent,
                other => panic!("unknown outcome: {other}"),
            },
        },
        ["report", engine, incarnation, basis, ref loaded @ ..] => Action::Observe(Observation {
            engine: engine.into(),
            incarnation: number(incarnation),
            loaded: loaded.iter().map(|text| loaded_model(text)).collect(),
            basis: number(basis),
        }),
        ["lost", engine, incarnation] => Action::Lost {
            engine: engine.into(),
            incarnation: number(incarnation),
        },
        ["forget", engine] => Action::Forget {
            engine: engine.into(),
        },
        _ => panic!("malformed script line: {line}"),
    };
    ledger.apply(index, &action)
}

fn number(text: &str) -> u64 {
    text.parse()
        .expect("line should contain an unsigned integer")
}

fn replica(text: &str) -> ReplicaId {
    let (model, rest) = text.split_once('@').expect("replica should contain `@`");
    let (version, engine) = rest.split_once('/').expect("replica should contain `/`");
    ReplicaId {
        model: model.into(),
        version: version.into(),
        engine: engine.into(),
    }
}

fn load(id: &str, memory_mb: &str, [limit, surge, lost]: [&str; 3]) -> Action {
    Action::Load(Load {
        replica: replica(id),
        memory_mb: number(memory_mb),
        limit: limit.parse().expect("limit should be an unsigned integer"),
        surge: surge.parse().expect("surge should be an unsigned integer"),
        replace_lost: lost == "true",
    })
}

fn loaded_model(text: &str) -> LoadedReplica {
    let (model, version) = text
        .trim_end_matches("...")
        .split_once('@')
        .expect("replica should contain `@`");
    LoadedReplica {
        model: model.into(),
        version: version.into(),
        adapters: BTreeSet::new(),
        memory_mb: 60,
        fencing_token: 0,
        loading: text.ends_with("..."),
        running: 0,
    }
}

fn describe_result(result: &Result<Reply, Refusal>) -> String {
    match result {
        Ok(Reply::Command(record)) => format!("send {} of {}", record.sends, record.token),
        Ok(Reply::Changed) => "ok".into(),
        Ok(Reply::Observed(o)) => format!(
            "ready {} gone {} found {}",
            o.ready.len(),
            o.gone.len(),
            o.found.len()
        ),
        Err(refusal) => format!("{refusal:?}"),
    }
}

fn describe_replicas(ledger: &Ledger) -> String {
    let replicas = ledger.replica_states().map(|(id, state)| {
        let adapters = if state.adapters.is_empty() { "" } else { "+" };
        let found = if state.decided.is_none() { "!" } else { "" };
        let (model, version, engine) = (id.model, id.version, id.engine);
        format!(
            "{model}@{version}/{engine} {:?}{adapters}{found}",
            state.phase
        )
    });
    replicas.collect::<Vec<_>>().join(", ")
}

#[test]
fn each_script_gives_the_expected_replies_and_replicas() {
    for (name, script, expected_replicas) in CASES {
        let mut ledger = Ledger::default();
        for (line, index) in script.lines().zip(1..) {
            let (entry, expected) = line
                .split_once(" = ")
                .expect("script line should have an expected reply");
            let result = apply(&mut ledger, index, entry);
            assert_eq!(describe_result(&result), expected, "{name}, line {index}");
            ledger.check().expect(name);
        }
        assert_eq!(describe_replicas(&ledger), *expected_replicas, "{name}");
    }
}

#[test]
fn routers_receive_only_decided_replicas_of_connected_engines() {
    let mut ledger = Ledger::default();
    let script = [
        "checks e 1",
        "checks f 1",
        "load lime@1/e 60",
        "load salt@1/f 60",
        "resolve 3 1 Done",
        "report f 1 0 kapar@1",
    ];
    for (line, index) in script.iter().zip(1..) {
        apply(&mut ledger, index, line).expect(line);
    }
    let routed = |ledger: &Ledger| -> Vec<(ReplicaId, view::Phase)> {
        let replicas = ledger.replicas().into_iter();
        replicas.map(|r| (r.id, r.phase)).collect()
    };
    let lime = (replica("lime@1/e"), view::Phase::Ready);
    let salt = (replica("salt@1/f"), view::Phase::Loading);
    assert_eq!(routed(&ledger), [lime, salt.clone()]);
    assert_eq!(ledger.surplus(), [replica("kapar@1/f")]);
    assert_eq!(ledger.reserved_mb("f"), 120);
    assert_eq!(ledger.free_mb("f"), 0);
    assert_eq!(
        ledger.replica_state(&salt.0).map(|p| p.phase),
        Some(Phase::Loading)
    );
    apply(&mut ledger, 7, "lost e 1").expect("the entry should be accepted");
    assert_eq!(routed(&ledger), [salt]);
}
