//! The router's decisions: refusals, leases, adapters, drains, limits and overload. All tests run
//! in virtual time.

use lovageplank_core::backend::{Kind, State as BackendState};
use lovageplank_core::prelude::*;
use lovageplank_core::retry::Outcome;
use lovageplank_core::route::ServerOutcome;
use lovageplank_core::settings::{Tree, Version};
use lovageplank_core::view::{Backend, Phase, Replica, ReplicaId, Update};
use lovageplank_router::decision::{
    Arrival, AttemptResult, Failure, Identity, State, Target, Verdict,
};
use lovageplank_router::refusal::{Code, Refusal};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BinaryHeap, HashMap};

const TREE: &str = r#"{
    "settings": {"deadline_ms": 1000, "caller_rate": 100000, "retry_ratio": 1.0},
    "services": {
        "drafting": {"kind": "engine", "models": {
            "lime": {"version": "1", "memory_mb": 1, "adapters": {"arch": {}, "dome": {}}},
            "once": {"version": "1", "memory_mb": 1, "settings": {"idempotent": false}}}},
        "orders": {"kind": "plain", "settings": {"idempotent": false, "concurrency_limit": 3}}
    }
}"#;

const LEASE_UNTIL: Millis = 1_000_000;

fn backend(id: &str, kind: Kind, service: &str) -> Backend {
    Backend {
        id: id.into(),
        incarnation: 1,
        address: "127.0.0.1:1".into(),
        kind,
        failure_domain: "salt".into(),
        services: BTreeSet::from([service.into()]),
        state: BackendState::Ready,
    }
}

fn replica(engine: &str, model: &str, phase: Phase, adapters: &[&str]) -> Replica {
    Replica {
        id: ReplicaId {
            model: model.into(),
            version: "1".into(),
            engine: engine.into(),
        },
        phase,
        adapters: adapters.iter().map(|a| Name::from(*a)).collect(),
        ready_in_ms: 0,
    }
}

/// A router with a lease, a plain service and two engines, each with a ready replica of all
/// `models`.
fn state(models: &[&str]) -> State {
    let identity = Identity {
        instance: "r1".into(),
        failure_domain: "salt".into(),
    };
    let mut state = State::new(identity, 1);
    state.extend_lease(LEASE_UNTIL);
    let engines = ["e1", "e2"];
    let mut backends: Vec<Backend> = engines
        .iter()
        .map(|e| backend(e, Kind::Engine, "drafting"))
        .collect();
    backends.push(backend("s1", Kind::Service, "orders"));
    let update = Update {
        full: true,
        tree: Some((Version(1), Arc::new(Tree::parse(TREE).unwrap()))),
        backends,
        replicas: engines
            .iter()
            .flat_map(|e| models.iter().map(|m| replica(e, m, Phase::Ready, &[])))
            .collect(),
        ..Update::default()
    };
    assert!(state.apply(0, &update));
    state
}

fn arrival(id: u64, model: &str, received: Millis) -> Arrival {
    let (model, adapter) = model
        .split_once(':')
        .map_or((model, None), |(m, a)| (m, Some(a)));
    let target = match model {
        "orders" => Target::Service(model.into()),
        _ => Target::Model {
            model: model.into(),
            adapter: adapter.map(Name::from),
            version: None,
            service: None,
        },
    };
    Arrival {
        id,
        target,
        caller: "office".into(),
        priority: None,
        deadline_ms: None,
        bytes: 10,
        prefix: 0,
        received,
    }
}

fn failed(outcome: Outcome, server_outcome: ServerOutcome, code: Code) -> AttemptResult {
    let message = "step".into();
    AttemptResult::Failed(Failure {
        outcome,
        server_outcome,
        code,
        message,
    })
}

const UNKNOWN: (Outcome, ServerOutcome, Code) = (
    Outcome::Unknown,
    ServerOutcome::Failed,
    Code::OutcomeUnknown,
);
const NOT_SENT: (Outcome, ServerOutcome, Code) = (
    Outcome::NotRun,
    ServerOutcome::Failed,
    Code::BackendUnreachable,
);
const DENIED: (Outcome, ServerOutcome, Code) =
    (Outcome::NotRun, ServerOutcome::Denied, Code::NoCapacity);

/// Runs one request whose attempts fail as `failures` lists; those after them succeed. Returns the
/// final refusal, if any, and the number of attempts made.
fn run(model: &str, failures: &[(Outcome, ServerOutcome, Code)]) -> (Option<Refusal>, u32) {
    let mut state = state(&["lime", "once"]);
    let mut attempts = 0;
    state.arrive(0, arrival(1, model, 0));
    for now in 0..5_000 {
        state.tick(now);
        for (_, verdict) in state.take_verdicts() {
            match verdict {
                Verdict::Refuse(refusal) => {
                    assert_eq!(
                        state.in_progress(),
                        0,
                        "requests in progress after a refusal"
                    );
                    return (Some(refusal), attempts);
                }
                Verdict::Dispatch(dispatch) => {
                    attempts += 1;
                    assert_eq!(dispatch.attempt, attempts, "number of the attempt");
                    let Some((outcome, server_outcome, code)) = failures.get(attempts as usize - 1)
                    else {
                        let result = AttemptResult::Answered { first_byte_ms: 1 };
                        assert!(state.attempt_ended(now, 1, attempts, result));
                        return (None, attempts);
                    };
                    let result = failed(*outcome, *server_outcome, *code);
                    assert!(state.attempt_ended(now, 1, attempts, result));
                }
            }
        }
    }
    panic!("no final verdict");
}

#[test]
fn a_refusal_is_marked_not_run_only_if_no_attempt_may_have_run() {
    // Model or service, failures of its attempts, code of the refusal (none: answered), attempts.
    let cases: [(&str, &[_], Option<Code>, u32); 9] = [
        ("lime", &[], None, 1),
        ("lime", &[NOT_SENT], None, 2),
        ("lime", &[NOT_SENT; 3], Some(Code::BackendUnreachable), 3),
        (
            "lime",
            &[UNKNOWN, NOT_SENT, NOT_SENT],
            Some(Code::OutcomeUnknown),
            3,
        ),
        (
            "lime",
            &[
                UNKNOWN, DENIED, DENIED, DENIED, DENIED, DENIED, DENIED, DENIED, DENIED, DENIED,
                DENIED,
            ],
            Some(Code::OutcomeUnknown),
            0,
        ),
        ("once", &[UNKNOWN], Some(Code::OutcomeUnknown), 1),
        ("once", &[NOT_SENT, UNKNOWN], Some(Code::OutcomeUnknown), 2),
        (
            "orders",
            &[NOT_SENT, UNKNOWN],
            Some(Code::OutcomeUnknown),
            2,
        ),
        ("orders", &[DENIED; 3], Some(Code::NoCapacity), 3),
    ];
    for (model, failures, code, attempts) in cases {
        let (refusal, attempts_made) = run(model, failures);
        assert_eq!(
            refusal.map(|r| r.code),
            code,
            "refusal of {model} {failures:?}"
        );
        // 0 means any number: how often a denied request is dispatched again depends on the time.
        assert!(
            attempts == 0 || attempts_made == attempts,
            "attempts of {model} {failures:?}: {attempts_made}, expected {attempts}"
        );
    }
}

#[test]
fn an_expired_lease_stops_dispatch_and_refuses_waiting_requests() {
    let mut state = state(&["lime"]);
    state.arrive(0, arrival(1, "once", 0));
    assert!(
        state.take_verdicts().is_empty(),
        "the request waits for a load of its model"
    );
    state.tick(1_000);
    let deadline_passed: Vec<_> = state.take_verdicts();
    assert!(matches!(&deadline_passed[..], [(1, Verdict::Refuse(r))] if r.code == Code::Late));
    let now = LEASE_UNTIL;
    let waiting = arrival(2, "once", now - 1);
    state.arrive(now - 1, waiting);
    state.take_verdicts();
    state.tick(now);
    let refused: Vec<_> = state.take_verdicts();
    assert!(matches!(&refused[..], [(2, Verdict::Refuse(r))] if r.code == Code::LeaseLapsed));
    state.arrive(now, arrival(3, "lime", now));
    let refused: Vec<_> = state.take_verdicts();
    assert!(matches!(&refused[..], [(3, Verdict::Refuse(r))] if r.code == Code::LeaseLapsed));
}

#[test]
fn a_missing_adapter_does_not_delay_other_requests() {
    let mut state = state(&["lime"]);
    for id in 0..100 {
        state.arrive(0, arrival(id, "lime:arch", 0));
    }
    assert!(state.take_verdicts().is_empty());
    state.arrive(1, arrival(200, "lime", 1));
    state.tick(20);
    let verdicts = state.take_verdicts();
    assert!(
        matches!(&verdicts[..], [(200, Verdict::Dispatch(_))]),
        "{verdicts:?}"
    );
    // Once the adapter is loaded, requests fill the batch of its replica, and no more.
    let arch = replica("e1", "lime", Phase::Ready, &["arch"]);
    assert!(state.apply(
        30,
        &Update {
            sequence: 1,
            replicas: vec![arch],
            ..Update::default()
        }
    ));
    let dispatched = state.take_verdicts();
    assert!(
        dispatched
            .iter()
            .all(|(_, v)| matches!(v, Verdict::Dispatch(d) if &*d.server == "e1"))
    );
    assert!(
        (15..=16).contains(&dispatched.len()),
        "dispatched: {}, expected 15 or 16",
        dispatched.len()
    );
}

#[test]
fn a_draining_replica_is_reported_busy_until_its_requests_end() {
    let mut state = state(&[]);
    let ready = replica("e1", "lime", Phase::Ready, &[]);
    let draining = replica("e1", "lime", Phase::Draining, &[]);
    let update = |sequence, replica: &Replica| Update {
        sequence,
        replicas: vec![replica.clone()],
        ..Update::default()
    };
    assert!(state.apply(0, &update(1, &ready)));
    state.arrive(0, arrival(1, "lime", 0));
    assert_eq!(
        state.heartbeat(0, 1).busy,
        [],
        "busy replicas before the drain"
    );
    assert!(state.apply(1, &update(2, &draining)));
    assert_eq!(
        state.heartbeat(1, 2).busy,
        std::slice::from_ref(&draining.id)
    );
    state.arrive(2, arrival(2, "lime", 2));
    state.attempt_ended(3, 1, 1, AttemptResult::Answered { first_byte_ms: 1 });
    let heartbeat = state.heartbeat(3, 3);
    assert_eq!((heartbeat.busy.len(), heartbeat.view), (0, 2), "busy, view");
    let demand = &heartbeat.demand.models[0];
    assert_eq!(
        (demand.waiting, demand.running, demand.arrivals),
        (1, 0, 1),
        "waiting, running, arrivals"
    );
    assert_eq!(demand.deadline_in_ms, Some(999), "deadline_in_ms");
}

#[test]
fn the_concurrency_limit_of_a_service_is_enforced() {
    let mut state = state(&[]);
    for id in 0..5 {
        state.arrive(0, arrival(id, "orders", 0));
    }
    let verdicts = state.take_verdicts();
    let refused = |v: &&(u64, Verdict)| matches!(&v.1, Verdict::Refuse(r) if r.code == Code::ConcurrencyLimit);
    assert_eq!(verdicts.iter().filter(refused).count(), 2, "refusals");
    state.cancel(1, 0);
    state.arrive(1, arrival(9, "orders", 1));
    assert!(matches!(
        &state.take_verdicts()[..],
        [(9, Verdict::Dispatch(_))]
    ));
}

/// For any sequence of events: every request is answered, gets one final verdict or is cancelled.
/// A request that isn't idempotent is dispatched again only with proof that it did not run.
#[test]
fn every_request_gets_one_final_verdict() {
    bolero::check!()
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|events| {
            let mut state = state(&["lime", "once"]);
            // Open requests: model or service, and the attempt in progress.
            let mut open: BTreeMap<u64, (&str, Option<u32>)> = BTreeMap::new();
            let mut may_run: HashMap<u64, bool> = HashMap::new();
            let mut now = 0;
            for (index, (event, selector)) in events.iter().enumerate() {
                now += u64::from(selector % 64);
                let id = index as u64;
                let running: Vec<(u64, u32)> = open
                    .iter()
                    .filter_map(|(id, (_, a))| Some((*id, (*a)?)))
                    .collect();
                let selected = running
                    .get(usize::from(*selector) % running.len().max(1))
                    .copied();
                match event % 8 {
                    0 | 1 => {
                        let model =
                            ["lime", "once", "orders", "lime:arch"][usize::from(selector % 4)];
                        open.insert(id, (model, None));
                        state.arrive(now, arrival(id, model, now));
                    }
                    2 => {
                        if let Some((id, _)) = open.pop_first() {
                            state.cancel(now, id);
                        }
                    }
                    3 => state.tick(now),
                    kind => {
                        let Some((id, attempt)) = selected else {
                            continue;
                        };
                        let (result, ran) = match kind {
                            4 => (AttemptResult::Answered { first_byte_ms: 1 }, true),
                            5 => (failed(UNKNOWN.0, UNKNOWN.1, UNKNOWN.2), true),
                            6 => (failed(NOT_SENT.0, NOT_SENT.1, NOT_SENT.2), false),
                            _ => (failed(DENIED.0, DENIED.1, DENIED.2), false),
                        };
                        let answered = kind == 4;
                        if ran {
                            may_run.insert(id, true);
                        }
                        if answered {
                            open.remove(&id);
                        } else {
                            open.get_mut(&id).unwrap().1 = None;
                        }
                        assert!(state.attempt_ended(now, id, attempt, result));
                        assert!(!state.attempt_ended(
                            now,
                            id,
                            attempt,
                            AttemptResult::Answered { first_byte_ms: 1 }
                        ));
                    }
                }
                for (id, verdict) in state.take_verdicts() {
                    let request = open.get_mut(&id).expect("a verdict for an open request");
                    let ran = may_run.contains_key(&id);
                    match verdict {
                        Verdict::Dispatch(dispatch) => {
                            assert!(request.1.is_none(), "request {id} has two attempts at once");
                            assert!(!ran || request.0.starts_with("lime"), "request {id} may have run and isn't idempotent, but is dispatched again");
                            request.1 = Some(dispatch.attempt);
                        }
                        Verdict::Refuse(refusal) => {
                            assert!(!(ran && refusal.code.not_run()), "not_run for a request that may have run: {refusal:?}");
                            open.remove(&id);
                        }
                    }
                }
                assert_eq!(state.in_progress(), open.len(), "requests in progress");
            }
            // Long after all deadlines, only dispatched requests are left.
            state.tick(now + 10_000);
            let refused = state.take_verdicts().len();
            let running = open
                .values()
                .filter(|(_, attempt)| attempt.is_some())
                .count();
            assert_eq!(open.len(), running + refused, "open requests after all deadlines");
        });
}

const ENGINES: [&str; 2] = ["e1", "e2"];
const BATCH_SIZE: u32 = 16;
const SERVICE_MS: u32 = 100;
const RUN_MS: u64 = 10_000;

/// An engine that runs up to `BATCH_SIZE` requests at once and queues the others.
#[derive(Default)]
struct Engine {
    running: BinaryHeap<std::cmp::Reverse<(Millis, u64, u32)>>,
    queue: std::collections::VecDeque<(u64, u32)>,
    max_requests: usize,
}

/// Simulates a load in percent of the capacity. Returns the number of answers in time and the
/// highest number of requests that an engine had at once.
fn goodput(load_percent: u32, seed: u64) -> (u64, usize) {
    let mut state = state(&["lime"]);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut engines: BTreeMap<Name, Engine> = ENGINES.map(|e| (e.into(), Engine::default())).into();
    let mut deadlines: HashMap<u64, Millis> = HashMap::new();
    let arrivals_per_s = load_percent * 10 * 2 * BATCH_SIZE / SERVICE_MS;
    let (mut id, mut in_time) = (0, 0);
    for now in 0..RUN_MS {
        for engine in engines.values_mut() {
            while engine.running.peek().is_some_and(|end| end.0.0 <= now) {
                let (end, id, attempt) = engine.running.pop().unwrap().0;
                state.attempt_ended(
                    now,
                    id,
                    attempt,
                    AttemptResult::Answered {
                        first_byte_ms: SERVICE_MS.into(),
                    },
                );
                in_time += u64::from(end <= deadlines[&id]);
            }
        }
        let arrivals =
            arrivals_per_s / 1_000 + u32::from(rng.random_ratio(arrivals_per_s % 1_000, 1_000));
        for _ in 0..arrivals {
            id += 1;
            deadlines.insert(id, now + 1_000);
            state.arrive(now, arrival(id, "lime", now));
        }
        if state.next_tick().is_some_and(|at| at <= now) {
            state.tick(now);
        }
        for (id, verdict) in state.take_verdicts() {
            if let Verdict::Dispatch(dispatch) = verdict {
                let engine = engines.get_mut(&dispatch.server).unwrap();
                engine.queue.push_back((id, dispatch.attempt));
            }
        }
        for engine in engines.values_mut() {
            engine.max_requests = engine
                .max_requests
                .max(engine.running.len() + engine.queue.len());
            while engine.running.len() < BATCH_SIZE as usize
                && let Some((id, attempt)) = engine.queue.pop_front()
            {
                let service_ms = u64::from(rng.random_range(SERVICE_MS / 2..=SERVICE_MS * 3 / 2));
                engine
                    .running
                    .push(std::cmp::Reverse((now + service_ms, id, attempt)));
            }
        }
    }
    (
        in_time,
        engines.values().map(|e| e.max_requests).max().unwrap(),
    )
}

#[test]
fn goodput_holds_above_capacity_and_no_engine_exceeds_its_batch_size() {
    for seed in 0..3 {
        let load_percents = [90, 100, 120, 200, 500];
        let runs = load_percents.map(|load_percent| goodput(load_percent, seed));
        println!(
            "seed {seed}: loads {load_percents:?}, (answers in time, most at an engine) {runs:?}"
        );
        let peak = runs.iter().map(|r| r.0).max().unwrap();
        for run in &runs[3..] {
            assert!(
                run.0 * 10 >= peak * 9,
                "answers in time above capacity: {run:?}, peak {peak}"
            );
        }
        // The default batch size.
        assert!(
            runs.iter().all(|run| run.1 <= 16),
            "requests at one engine: {runs:?}"
        );
    }
}
