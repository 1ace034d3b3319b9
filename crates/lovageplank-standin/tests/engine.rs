//! Tests of the engine stand-in through real sockets.

use std::io::{BufRead, BufReader};
use std::net::TcpStream;

use lovageplank_standin::engine::{Config, Engine, text};
use lovageplank_standin::fault::{Faults, RequestFault};
use lovageplank_standin::record::ReplicaChange;
use serde_json::{Value, json};

#[path = "support/client.rs"]
mod client;

use client::{complete, eventually, load, post};

/// Time in milliseconds between tokens, so long that requests are still running when they are
/// checked.
const SLOW_TOKEN_MS: u64 = 10_000;

fn config() -> Config {
    Config::new("e1")
        .memory_mb(1_000)
        .first_token_ms(1, 1)
        .token_ms(1)
        .load_ms(1)
}

/// Starts an engine and loads the model `mason` with fencing token 5.
fn start(config: Config) -> Engine {
    let engine = config.start().expect("port 0 is free");
    let (status, _) = post(
        engine.address(),
        "/commands",
        &load("load", 5, "mason", 100),
    );
    assert_eq!(status, 202);
    eventually("the load of mason completes", || !is_loading(&engine));
    engine
}

fn is_loading(engine: &Engine) -> bool {
    engine
        .announcement()
        .loaded
        .iter()
        .any(|replica| replica.loading)
}

fn inject_fault(engine: &Engine, fault: RequestFault) {
    engine.set_faults(Faults {
        request: Some(fault),
        times: Some(1),
        ..Faults::default()
    });
}

fn completion_body(tokens: u32, stream: bool) -> Value {
    json!({"model": "mason", "prompt": "arch", "max_tokens": tokens, "stream": stream})
}

fn expected_text(tokens: u32) -> String {
    text::full_text(text::hash("mason", None, "arch"), tokens)
}

/// Reads events until the stream ends or breaks; returns them and whether the stream ended cleanly.
fn read_events(response: attohttpc::Response) -> (Vec<String>, bool) {
    let (_, _, reader) = response.split();
    let mut events = Vec::new();
    for line in BufReader::new(reader).lines() {
        match line {
            Ok(line) => events.extend(line.strip_prefix("data: ").map(str::to_owned)),
            Err(_) => return (events, false),
        }
    }
    (events, true)
}

#[test]
fn answers_with_the_text_of_its_prompt() {
    let engine = start(config());
    let response = complete(engine.address(), "r1", &completion_body(4, false)).unwrap();
    assert_eq!(response.headers()["x-lovageplank-request-id"], "r1");
    assert_eq!(response.headers()["x-lovageplank-attempt"], "1");
    let answer: Value = response.json().unwrap();
    assert_eq!(answer["choices"][0]["text"], expected_text(4).as_str());
    let record = &engine.records().requests["r1"];
    assert_eq!((record.runs, record.finished, record.tokens), (1, 1, 4));
}

#[test]
fn answers_chat_completions() {
    let engine = start(config());
    let chat = json!({
        "model": "mason@1",
        "messages": [{"role": "user", "content": "arch"}],
        "max_tokens": 2,
    });
    let (status, answer) = post(engine.address(), "/v1/chat/completions", &chat);
    let hash = text::hash("mason", None, "user: arch\n");
    assert_eq!(status, 200);
    let content = &answer["choices"][0]["message"]["content"];
    assert_eq!(*content, text::full_text(hash, 2).as_str());
}

#[test]
fn streams_tokens_and_ends_with_done() {
    let engine = start(config());
    let response = complete(engine.address(), "r1", &completion_body(3, true)).unwrap();
    let (events, ended_cleanly) = read_events(response);
    assert!(ended_cleanly);
    assert_eq!(events.len(), 4, "{events:?}");
    let hash = text::hash("mason", None, "arch");
    for (position, event) in (0..).zip(&events[..3]) {
        assert!(event.contains(&text::token(hash, position)), "{event}");
    }
    assert_eq!(events[3], "[DONE]");
}

#[test]
fn resumes_at_an_offset() {
    let engine = start(config());
    let response = attohttpc::post(format!("http://{}/v1/completions", engine.address()))
        .header("X-Lovageplank-Request-Id", "r1")
        .header("X-Resume-Offset", "2")
        .json(&completion_body(3, true))
        .unwrap()
        .send()
        .unwrap();
    let (events, _) = read_events(response);
    assert_eq!(events.len(), 2, "{events:?}");
    assert!(events[0].contains("-2 "), "{events:?}");
    let record = &engine.records().requests["r1"];
    assert_eq!((record.runs, record.resumed), (0, 1));
}

#[test]
fn rejects_invalid_requests_with_their_error_codes() {
    let engine = start(config());
    let completions = "/v1/completions";
    let cases = [
        (completions, json!({"prompt": "x"}), 400, "bad_request"),
        (
            completions,
            json!({"model": "a:", "prompt": "x"}),
            400,
            "bad_request",
        ),
        (completions, json!({"model": "mason"}), 400, "bad_request"),
        (
            completions,
            json!({"model": "other", "prompt": "x"}),
            404,
            "model_not_loaded",
        ),
        (
            completions,
            json!({"model": "mason@2", "prompt": "x"}),
            404,
            "model_not_loaded",
        ),
        (
            completions,
            json!({"model": "mason:a", "prompt": "x"}),
            404,
            "adapter_not_loaded",
        ),
        ("/commands", json!({"op": "load"}), 400, "bad_command"),
        (
            "/commands",
            json!({"command_id": "c", "fencing_token": 9, "op": "load"}),
            400,
            "bad_command",
        ),
        ("/fault", json!({"requets": null}), 400, "bad_fault"),
        ("/nowhere", json!({}), 404, "unknown_path"),
    ];
    for (path, body, status, code) in cases {
        let (actual_status, answer) = post(engine.address(), path, &body);
        let actual = (
            actual_status,
            &answer["error"]["code"],
            &answer["error"]["not_run"],
        );
        assert_eq!(
            actual,
            (status, &json!(code), &json!(true)),
            "{path} {body}"
        );
    }
}

#[test]
fn answers_to_commands_repeat_their_ids() {
    let engine = start(config());
    for (command, status) in [(load("l", 6, "tagger", 100), 202), (json!({}), 400)] {
        let response = attohttpc::post(format!("http://{}/commands", engine.address()))
            .header("X-Lovageplank-Request-Id", "6")
            .header("X-Lovageplank-Attempt", "2")
            .json(&command)
            .unwrap()
            .send()
            .unwrap();
        let ids = ["x-lovageplank-request-id", "x-lovageplank-attempt"]
            .map(|name| response.headers()[name].to_str().unwrap().to_owned());
        assert_eq!(response.status().as_u16(), status, "{command}");
        assert_eq!(ids, ["6", "2"], "{command}");
    }
}

#[test]
fn rejects_stale_fencing_tokens_when_fencing_is_on() {
    // Whether fencing is on, the fencing token, and the expected status. The highest token that the
    // engine has received for the model is 5.
    let cases = [
        (true, 4, 409),
        (true, 5, 202),
        (true, 6, 202),
        (false, 4, 202),
    ];
    for (fencing, token, expected) in cases {
        let engine = start(config().fencing(fencing));
        let mut command = load("again", token, "mason", 100);
        command["op"] = json!("unload");
        let (status, _) = post(engine.address(), "/commands", &command);
        assert_eq!(status, expected, "fencing {fencing}, token {token}");
        let stale = u32::from(expected == 409);
        assert_eq!(engine.records().stale_commands, stale);
        assert_eq!(engine.announcement().loaded.is_empty(), expected == 202);
    }
}

#[test]
fn executes_a_command_once() {
    let engine = start(config());
    let mut unload = load("u", 6, "mason", 100);
    unload["op"] = json!("unload");
    assert_eq!(post(engine.address(), "/commands", &unload).0, 202);
    // A repetition of the first load command must not load the model a second time.
    let (status, _) = post(
        engine.address(),
        "/commands",
        &load("load", 5, "mason", 100),
    );
    assert_eq!(status, 202);
    assert!(engine.announcement().loaded.is_empty());
    assert_eq!(engine.records().repeated_commands, 1);
}

#[test]
fn rejects_loads_that_exceed_free_memory() {
    let engine = start(config());
    let (status, answer) = post(engine.address(), "/commands", &load("big", 1, "big", 901));
    assert_eq!(
        (status, &answer["error"]["code"]),
        (507, &json!("out_of_memory"))
    );
    engine.set_faults(Faults {
        ignore_memory: true,
        ..Faults::default()
    });
    let (status, _) = post(engine.address(), "/commands", &load("big2", 1, "big", 901));
    assert_eq!(status, 202);
    let records = engine.records();
    assert_eq!((records.overcommit_attempts, records.overcommitted), (1, 1));
}

#[test]
fn serves_an_adapter_after_loading_it() {
    let engine = start(config());
    let mut command = load("a", 6, "mason", 0);
    command["op"] = json!("load_adapter");
    command["adapter"] = json!("salt");
    assert_eq!(post(engine.address(), "/commands", &command).0, 202);
    eventually("the adapter salt is loaded with fencing token 6", || {
        let loaded = engine.announcement().loaded;
        loaded[0].adapters.contains("salt") && loaded[0].fencing_token == 6
    });
    let body = json!({"model": "mason:salt", "prompt": "arch", "max_tokens": 1});
    let (status, answer) = post(engine.address(), "/v1/completions", &body);
    let hash = text::hash("mason", Some("salt"), "arch");
    assert_eq!(status, 200);
    assert_eq!(answer["choices"][0]["text"], text::token(hash, 0).as_str());
}

#[test]
fn cancel_and_unload_end_streams() {
    let cases = [("cancelled", 0), ("unloaded", 1)];
    for (code, cut_by_unload) in cases {
        let engine = start(config().token_ms(SLOW_TOKEN_MS));
        let response = complete(engine.address(), "r1", &completion_body(9, true)).unwrap();
        if code == "cancelled" {
            let (_, answer) = post(engine.address(), "/cancel/r1", &json!({}));
            assert_eq!(answer["cancelled"], 1);
        } else {
            let mut unload = load("u", 6, "mason", 100);
            unload["op"] = json!("unload");
            post(engine.address(), "/commands", &unload);
        }
        let (events, ended_cleanly) = read_events(response);
        assert!(ended_cleanly);
        assert!(events.last().unwrap().contains(code), "{events:?}");
        let records = engine.records();
        assert_eq!(records.requests["r1"].cancelled, 1);
        assert_eq!(records.cut_by_unload, cut_by_unload);
    }
}

#[test]
fn queues_beyond_the_batch_size_and_frees_the_slot_of_a_disconnected_client() {
    let engine = start(config().batch(1).token_ms(SLOW_TOKEN_MS));
    let first = complete(engine.address(), "r1", &completion_body(9, true)).unwrap();
    let second = complete(engine.address(), "r2", &completion_body(1, true)).unwrap();
    eventually("one request runs and one is queued", || {
        engine.running() == 1 && engine.queued() == 1
    });
    drop(first);
    let (events, ended_cleanly) = read_events(second);
    assert!(ended_cleanly && events.len() == 2, "{events:?}");
    eventually("request r1 is recorded as cancelled", || {
        engine.records().requests["r1"].cancelled == 1
    });
}

#[test]
fn request_faults_affect_unstreamed_answers() {
    // The fault, whether the request runs, and whether a response with a readable body is received.
    let cases = [
        (RequestFault::ResetBeforeRead, false, false),
        (RequestFault::ResetDuringRead, false, false),
        (RequestFault::ResetAfterRead, true, false),
        (RequestFault::Late { ms: 20 }, true, true),
        (RequestFault::WrongRequestId, true, true),
        (RequestFault::WrongAnswer, true, true),
        (RequestFault::CutAfter { tokens: 2 }, true, false),
    ];
    for (fault, runs, responds) in cases {
        let engine = start(config());
        inject_fault(&engine, fault);
        let result = complete(engine.address(), "r1", &completion_body(4, false));
        assert_eq!(result.is_ok(), responds, "{fault:?}: {result:?}");
        let ran = engine.records().requests.contains_key("r1");
        assert_eq!(ran, runs, "{fault:?}");
        if let Ok(response) = result {
            let id = response.headers()["x-lovageplank-request-id"].clone();
            assert_eq!(id == "r1", fault != RequestFault::WrongRequestId);
            let answer: Value = response.json().unwrap();
            let is_expected_text = answer["choices"][0]["text"] == expected_text(4).as_str();
            assert_eq!(is_expected_text, fault != RequestFault::WrongAnswer);
        }
        let next_response = complete(engine.address(), "r2", &completion_body(4, false)).unwrap();
        assert!(
            next_response.is_success(),
            "request r2 must succeed: the fault is set for one request"
        );
    }
}

#[test]
fn request_faults_break_streams() {
    // The fault, and how many events are received before the stream breaks.
    let cases = [
        (RequestFault::CutAfter { tokens: 2 }, 2),
        (RequestFault::HalfAnswer, 3),
        (RequestFault::DieAfter { tokens: 4 }, 4),
    ];
    for (fault, events_received) in cases {
        let engine = start(config().token_ms(50));
        inject_fault(&engine, fault);
        let response = complete(engine.address(), "r1", &completion_body(6, true)).unwrap();
        let (events, ended_cleanly) = read_events(response);
        assert!(!ended_cleanly, "{fault:?}");
        assert_eq!(events.len(), events_received, "{fault:?}: {events:?}");
        let crashes = matches!(fault, RequestFault::DieAfter { .. });
        assert_eq!(engine.is_stopped(), crashes, "{fault:?}");
    }
}

#[test]
fn half_answer_fault_truncates_an_unstreamed_answer() {
    let engine = start(config());
    inject_fault(&engine, RequestFault::HalfAnswer);
    let response = complete(engine.address(), "r1", &completion_body(4, false)).unwrap();
    let declared: usize = response.headers()["content-length"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    let received = response.bytes().map_or(0, |body| body.len());
    assert!(
        received < declared,
        "received {received} bytes, content-length is {declared}"
    );
}

#[test]
fn die_mid_load_stops_the_engine_during_a_load() {
    let engine = start(config().load_ms(20));
    engine.set_faults(Faults {
        die_mid_load: true,
        ..Faults::default()
    });
    let address = engine.address();
    post(address, "/commands", &load("l", 1, "tagger", 100));
    eventually("the engine is stopped", || engine.is_stopped());
    eventually("the engine's port is closed", || {
        TcpStream::connect(address).is_err()
    });
    let replicas = engine.records().replicas;
    let of_tagger = replicas.iter().filter(|event| &*event.model == "tagger");
    let changes: Vec<_> = of_tagger.map(|event| event.change).collect();
    assert_eq!(changes, [ReplicaChange::LoadStarted, ReplicaChange::Died]);
}

#[test]
fn refuses_connections_while_the_fault_is_set() {
    let engine = start(config());
    let address = engine.address();
    let refuse = |refuse_ms| {
        engine.set_faults(Faults {
            refuse_ms,
            ..Faults::default()
        });
    };
    refuse(Some(0));
    eventually("connections are refused", || {
        TcpStream::connect(address).is_err()
    });
    refuse(None);
    eventually("connections are accepted", || {
        TcpStream::connect(address).is_ok()
    });
    refuse(Some(50));
    eventually("connections are refused", || {
        TcpStream::connect(address).is_err()
    });
    eventually("connections are accepted", || {
        TcpStream::connect(address).is_ok()
    });
}

#[test]
fn stop_waits_for_running_requests() {
    let engine = start(config().token_ms(20));
    let address = engine.address();
    let response = complete(address, "r1", &completion_body(5, true)).unwrap();
    let stopping = std::thread::spawn(move || engine.stop());
    let (events, ended_cleanly) = read_events(response);
    assert!(ended_cleanly && events.len() == 6, "{events:?}");
    stopping.join().unwrap();
    assert!(TcpStream::connect(address).is_err());
}
