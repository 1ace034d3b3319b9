//! Tests of the plain-service and weight-store stand-ins through real sockets.

use lovageplank_standin::fault::{Faults, RequestFault};
use lovageplank_standin::service::{Config, Service};
use lovageplank_standin::store::{Config as Store, StoreFaults};

#[path = "support/client.rs"]
mod client;

use client::{complete, eventually, load, post};

fn call(service: &Service, key: &str) -> attohttpc::Result<attohttpc::Response> {
    attohttpc::post(format!("http://{}/svc/orders/book", service.address()))
        .header("Idempotency-Key", key)
        .header("X-Lovageplank-Request-Id", format!("id-{key}"))
        .text(format!("body of {key}"))
        .send()
}

#[test]
fn echoes_the_body_and_counts_runs() {
    let service = Config::new("s1").start().unwrap();
    for _ in 0..2 {
        let response = call(&service, "k").unwrap();
        assert_eq!(response.headers()["x-lovageplank-request-id"], "id-k");
        assert_eq!(response.text().unwrap(), "body of k");
    }
    let records = service.records();
    assert_eq!(records.keys["k"].runs, 2);
    assert_eq!(records.requests["id-k"].finished, 2);
}

#[test]
fn request_faults_affect_answers() {
    // The fault, how often the call runs, and whether the response has the complete body of the
    // call.
    let cases = [
        (RequestFault::ResetBeforeRead, 0, false),
        (RequestFault::ResetDuringRead, 0, false),
        (RequestFault::ResetAfterRead, 1, false),
        (RequestFault::Late { ms: 20 }, 1, true),
        (RequestFault::HalfAnswer, 1, false),
        (RequestFault::WrongAnswer, 1, false),
        (RequestFault::RunTwice, 2, true),
    ];
    for (fault, runs, body_expected) in cases {
        let service = Config::new("s1").start().unwrap();
        service.set_faults(Faults {
            request: Some(fault),
            times: Some(1),
            ..Faults::default()
        });
        let text = call(&service, "k").and_then(attohttpc::Response::text);
        let matches = text.is_ok_and(|text| text == "body of k");
        assert_eq!(matches, body_expected, "{fault:?}");
        let keys = service.records().keys;
        assert_eq!(keys.get("k").map_or(0, |key| key.runs), runs, "{fault:?}");
    }
}

#[test]
fn a_leaving_service_rejects_calls() {
    let service = Config::new("s1").start().unwrap();
    service.leave();
    assert_eq!(call(&service, "k").unwrap().status().as_u16(), 503);
    let record = &service.records().keys["k"];
    assert_eq!((record.runs, record.refused), (0, 1));
}

#[test]
fn an_engine_loads_through_the_store() {
    let store = Store::new().load_ms(5).loads_per_s(0.0).start().unwrap();
    let engine = lovageplank_standin::engine::Config::new("e1")
        .store(store.address())
        .start()
        .unwrap();
    post(engine.address(), "/commands", &load("l", 1, "mason", 100));
    eventually("the engine announces a loaded replica", || {
        engine
            .announcement()
            .loaded
            .iter()
            .any(|replica| !replica.loading)
    });
    let body = serde_json::json!({"model": "mason", "prompt": "x"});
    assert!(complete(engine.address(), "r", &body).unwrap().is_success());
    assert_eq!(store.records().weights["mason"], 1);
}

#[test]
fn a_failed_load_removes_the_replica() {
    let store = Store::new().start().unwrap();
    store.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });
    let engine = lovageplank_standin::engine::Config::new("e1")
        .store(store.address())
        .start()
        .unwrap();
    post(engine.address(), "/commands", &load("l", 1, "mason", 100));
    eventually("the engine announces no replica", || {
        engine.announcement().loaded.is_empty()
    });
    assert!(store.records().weights.is_empty());
}

#[test]
fn loads_beyond_full_speed_share_the_store_bandwidth() {
    let store = Store::new()
        .full_speed(1)
        .load_ms(50)
        .loads_per_s(0.0)
        .start()
        .unwrap();
    let address = store.address();
    let start = std::time::Instant::now();
    let loads: Vec<_> = (0..3)
        .map(|number| {
            std::thread::spawn(move || {
                attohttpc::get(format!("http://{address}/weights/m{number}")).send()
            })
        })
        .collect();
    for load in loads {
        assert!(load.join().unwrap().unwrap().is_success());
    }
    // Three loads of 50 ms at full speed can't complete earlier, whatever the machine's speed.
    assert!(start.elapsed().as_millis() >= 150);
}
