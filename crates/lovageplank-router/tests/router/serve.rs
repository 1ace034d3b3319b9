//! Waiting, streaming, keys, leases, entries and the graceful stop.

use crate::backend::{Act, Backend, EVENTS, wait};
use crate::client::{self, Answer};
use crate::control::{self, Bench, replica};
use lovageplank_core::prelude::*;
use lovageplank_core::view::{Phase, Replica};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Sends a completion call from another thread.
fn spawn(
    address: SocketAddr,
    model: &'static str,
    deadline_ms: &'static str,
) -> JoinHandle<Answer> {
    std::thread::spawn(move || {
        let headers = [("x-lovageplank-deadline-ms", deadline_ms)];
        client::complete(address, model, &headers, false)
    })
}

fn order(bench: &Bench, key: &str, body: &str) -> Answer {
    let headers = [("idempotency-key", key)];
    client::send(
        bench.router.address,
        "POST",
        "/svc/orders/new",
        &headers,
        body,
    )
}

fn open(address: SocketAddr, model: &str, stream: bool) -> TcpStream {
    let body = format!(r#"{{"model":"{model}","prompt":"p","stream":{stream}}}"#);
    let mut caller = TcpStream::connect(address).unwrap();
    let request = client::request("POST", "/v1/completions", &[], &body);
    caller.write_all(request.as_bytes()).unwrap();
    caller
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    caller
}

#[test]
fn events_are_passed_on_as_they_come_and_a_caller_that_goes_cancels() {
    let engine = Backend::start(&[Act::HeldStream(2)]);
    let bench = control::start(&[&engine]);
    let mut caller = open(bench.router.address, "lime", true);
    let mut got = String::new();
    let mut buffer = [0; 1_024];
    while !got.contains("{\"token\":1}") {
        let read = caller.read(&mut buffer).unwrap();
        assert!(read > 0, "the stream ended: {got}");
        got.push_str(std::str::from_utf8(&buffer[..read]).unwrap());
    }
    drop(caller);
    engine.wait("cancel", |seen| seen.cancels.len() == 1);
    let id = engine.seen.lock().unwrap().cancels[0].clone();
    assert!(engine.seen.lock().unwrap().heads[0].contains(&id));
}

#[test]
fn a_caller_that_goes_cancels_a_whole_answer() {
    let engine = Backend::start(&[Act::Hang]);
    let bench = control::start(&[&engine]);
    let caller = open(bench.router.address, "lime", false);
    engine.wait("run", |seen| seen.runs == 1);
    drop(caller);
    engine.wait("cancel", |seen| seen.cancels.len() == 1);
    bench.wait_beat("no demand after the run", |beat| {
        beat.demand.models.is_empty()
    });
}

#[test]
fn a_caller_that_goes_while_it_waits_is_forgotten() {
    let bench = control::start(&[&Backend::start(&[])]);
    let caller = open(bench.router.address, "cold", false);
    bench.wait_beat("waiting", |beat| waiting(beat, "cold") == 1);
    drop(caller);
    let last_is_empty = || {
        let beats = bench.control.beats.lock().unwrap();
        beats.last().unwrap().demand.models.is_empty()
    };
    wait("no demand", last_is_empty);
}

fn waiting(beat: &lovageplank_wire::Heartbeat, model: &str) -> u32 {
    let models = &beat.demand.models;
    models
        .iter()
        .find(|entry| &*entry.model == model)
        .map_or(0, |entry| entry.waiting)
}

#[test]
fn a_cold_model_is_announced_at_once_and_served_when_ready() {
    let engine = Backend::start(&[]);
    let bench = control::start(&[&engine]);
    let calls: Vec<_> = (0..5)
        .map(|_| spawn(bench.router.address, "cold", "3000"))
        .collect();
    bench.wait_beat("demand", |beat| waiting(beat, "cold") == 5);
    assert_eq!(engine.runs(), 0);
    bench.set_replica(replica(0, "cold", Phase::Ready));
    for call in calls {
        let answer = call.join().unwrap();
        assert_eq!((answer.status, answer.body.as_str()), (200, "whole answer"));
        assert!(answer.header("x-lovageplank-cold-ms").is_some());
        assert_eq!(answer.header("x-lovageplank-attempts"), Some("1"));
    }
    assert_eq!(engine.runs(), 5);
}

#[test]
fn a_wait_that_is_pointless_is_refused_before_its_deadline() {
    for (ready_in_ms, code) in [(Some(60_000), "late"), (None, "no_capacity")] {
        let bench = control::start(&[&Backend::start(&[])]);
        let waiting = spawn(bench.router.address, "cold", "3000");
        bench.wait_beat("waiting", |beat| self::waiting(beat, "cold") == 1);
        // What waits is given up at once, and what comes later is not let in.
        bench.expect("cold", ready_in_ms);
        let given_up = waiting.join().unwrap();
        let refused = spawn(bench.router.address, "cold", "3000").join().unwrap();
        for answer in [given_up, refused] {
            assert_eq!((answer.status, answer.code().as_str()), (503, code));
            assert_eq!(answer.error("not_run"), true);
            assert!(answer.header("retry-after").is_some());
        }
    }
}

#[test]
fn a_wait_ends_at_the_deadline() {
    let bench = control::start(&[&Backend::start(&[])]);
    let began = Instant::now();
    let answer = spawn(bench.router.address, "cold", "200").join().unwrap();
    assert!(began.elapsed() >= Duration::from_millis(200));
    assert_eq!((answer.status, answer.code().as_str()), (503, "late"));
    assert_eq!(answer.error("not_run"), true);
}

#[test]
fn a_server_that_dies_while_a_request_waits_harms_none() {
    let (dying, living) = (Backend::refusing(), Backend::start(&[]));
    let bench = control::start(&[&dying, &living]);
    let call = spawn(bench.router.address, "cold", "3000");
    bench.wait_beat("waiting", |beat| waiting(beat, "cold") == 1);
    bench.set_replica(replica(0, "cold", Phase::Loading));
    bench.set_replica(replica(0, "cold", Phase::Ready));
    bench.set_replica(replica(1, "cold", Phase::Ready));
    assert_eq!(call.join().unwrap().body, "whole answer");
    assert_eq!(living.runs(), 1);
}

#[test]
fn an_adapter_is_waited_for() {
    let engine = Backend::start(&[Act::AdapterNotLoaded]);
    let bench = control::start(&[&engine]);
    let call = spawn(bench.router.address, "lime:arch", "3000");
    bench.wait_beat("adapter wanted", |beat| {
        let models = &beat.demand.models;
        models
            .iter()
            .any(|entry| entry.adapters.contains_key("arch"))
    });
    // The base replica is asked in vain before the adapter is there.
    engine.wait("base asked", |seen| seen.heads.len() == 1);
    bench.set_replica(Replica {
        adapters: BTreeSet::from(["arch".into()]),
        ..replica(0, "lime", Phase::Ready)
    });
    let answer = call.join().unwrap();
    assert_eq!(answer.body, "whole answer");
    assert_eq!(
        (engine.runs(), answer.header("x-lovageplank-attempts")),
        (1, Some("2"))
    );
}

#[test]
fn a_key_runs_once() {
    let service = Backend::start(&[]);
    let bench = control::start(&[&service]);
    let first = order(&bench, "k1", "stone");
    assert_eq!(first.body, "whole answer");
    let replayed = || order(&bench, "k1", "stone");
    wait("outcome recorded", || replayed().status != 409);
    assert_eq!(replayed().body, first.body);
    let other = order(&bench, "k1", "another stone");
    assert_eq!((other.status, other.code().as_str()), (422, "key_reused"));
    assert_eq!(service.runs(), 1);
}

#[test]
fn a_key_whose_outcome_is_lost_never_runs_again() {
    let service = Backend::start(&[Act::ResetAfterRun]);
    let bench = control::start(&[&service]);
    let first = order(&bench, "k1", "stone");
    assert_eq!(
        (first.status, first.code().as_str()),
        (504, "outcome_unknown")
    );
    wait("outcome recorded", || {
        order(&bench, "k1", "stone").status != 409
    });
    let second = order(&bench, "k1", "stone");
    assert_eq!(
        (second.status, second.code().as_str()),
        (504, "outcome_unknown")
    );
    assert_eq!(service.runs(), 1);
}

#[test]
fn a_key_whose_request_did_not_run_is_free_again() {
    let refusing = Backend::refusing();
    let bench = control::start(&[&refusing]);
    let first = order(&bench, "k1", "stone");
    assert_eq!((first.status, first.error("not_run")), (503, true.into()));
    let claims = || bench.control.claims.lock().unwrap().1.len();
    wait("claim freed", || claims() == 0);
}

#[test]
fn a_key_in_progress_is_told_so_and_goes_on_without_its_caller() {
    let service = Backend::start(&[Act::Late(400)]);
    let bench = control::start(&[&service]);
    let headers = [("idempotency-key", "k1")];
    let mut caller = TcpStream::connect(bench.router.address).unwrap();
    let request = client::request("POST", "/svc/orders/new", &headers, "stone");
    caller.write_all(request.as_bytes()).unwrap();
    service.wait("run", |seen| seen.runs == 1);
    let second = order(&bench, "k1", "stone");
    assert_eq!(
        (second.status, second.code().as_str()),
        (409, "claim_in_progress")
    );
    drop(caller);
    wait("outcome recorded", || {
        order(&bench, "k1", "stone").status == 200
    });
    assert_eq!(service.runs(), 1);
}

#[test]
fn without_control_a_key_is_refused_and_after_the_lease_everything() {
    let service = Backend::start(&[]);
    let bench = control::start(&[&service]);
    bench.control.up.store(false, Ordering::SeqCst);
    let keyed = order(&bench, "k1", "stone");
    assert_eq!(
        (keyed.status, keyed.code().as_str()),
        (503, "control_unavailable")
    );
    assert_eq!(keyed.error("not_run"), true);
    assert_eq!(service.runs(), 0);
    wait("lease lapsed", || {
        client::get(bench.router.address, "/readyz").status == 503
    });
    let refused = client::complete(bench.router.address, "lime", &[], false);
    assert_eq!(
        (refused.status, refused.code().as_str()),
        (503, "lease_lapsed")
    );
    assert_eq!(refused.error("not_run"), true);
    assert_eq!(refused.error("entries")[0], "127.0.0.1:2");
    assert_eq!(service.runs(), 0);
}

#[test]
fn entries_prefer_the_callers_domain_among_the_same_few() {
    let bench = control::start(&[&Backend::start(&[])]);
    let entries = |query: &str| {
        let answer = client::get(bench.router.address, &format!("/v1/entries?{query}"));
        let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
        assert_eq!(
            (body["ttl_ms"].as_u64(), body["version"].as_u64()),
            (Some(2_000), Some(1))
        );
        body["entries"].as_array().unwrap().clone()
    };
    let near = entries("service=drafting&model=lime");
    assert_eq!(near.len(), 3);
    assert_eq!(near[2]["failure_domain"], "far");
    let far = entries("model=lime:arch@1&failure_domain=far");
    assert_eq!(far[0]["failure_domain"], "far");
}

#[test]
fn a_leaving_server_gets_no_more_requests_at_once() {
    let (near, far) = (Backend::start(&[]), Backend::start(&[]));
    let bench = control::start(&[&near, &far]);
    let leaving = format!(
        r#"{{"id":"e0","incarnation":1,"address":"{}","kind":"engine","failure_domain":"salt",
            "services":["drafting"],"state":"leaving"}}"#,
        near.address
    );
    let answer = client::send(bench.router.address, "POST", "/v1/announce", &[], &leaving);
    assert_eq!(
        (answer.status, answer.body.contains("lease_ms")),
        (200, true)
    );
    for _ in 0..20 {
        assert_eq!(
            client::complete(bench.router.address, "lime", &[], false).status,
            200
        );
    }
    assert_eq!((near.runs(), far.runs()), (0, 20));
}

#[test]
fn a_graceful_stop_cuts_nothing() {
    let engine = Backend::start(&[Act::Late(600), Act::Stream(EVENTS)]);
    let bench = control::start(&[&engine]);
    let address = bench.router.address;
    let call = spawn(address, "lime", "3000");
    engine.wait("run", |seen| seen.runs == 1);
    let control = bench.control.clone();
    let stopping = std::thread::spawn(move || bench.router.stop());
    let told = || {
        control
            .beats
            .lock()
            .unwrap()
            .iter()
            .any(|beat| beat.leaving)
    };
    wait("leaving told", told);
    assert_eq!(call.join().unwrap().body, "whole answer");
    stopping.join().unwrap();
    assert!(TcpStream::connect(address).is_err());
}

#[test]
fn operators_need_their_token() {
    let bench = control::start(&[&Backend::start(&[])]);
    let operate = |token: &str| {
        let headers = [("authorization", token)];
        client::send(
            bench.router.address,
            "POST",
            "/v1/operator",
            &headers,
            "\"status\"",
        )
    };
    assert_eq!(operate("Bearer operators-token-1").status, 200);
    assert_eq!(operate("Bearer operators-token-2").status, 403);
    assert_eq!(operate("operators-token-1").status, 403);
}

#[test]
fn models_are_listed_with_their_state() {
    let bench = control::start(&[&Backend::start(&[])]);
    let answer = client::get(bench.router.address, "/v1/models");
    let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    let state = |id: &str| {
        let models = body["data"].as_array().unwrap();
        let model = models.iter().find(|model| model["id"] == id).unwrap();
        model["state"].as_str().unwrap().to_owned()
    };
    assert_eq!(state("lime"), "loaded");
    assert_eq!(state("lime:arch"), "cold");
    assert_eq!(state("cold"), "cold");
}
