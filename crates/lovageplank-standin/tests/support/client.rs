//! Helpers for the integration tests.
#![allow(dead_code, reason = "each test program uses some of them")]

use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Timeout in seconds of each [`eventually`] and each request; beyond it, the test fails.
const DEADLINE_S: u64 = 20;

/// Interval in milliseconds at which [`eventually`] checks its condition.
const POLL_INTERVAL_MS: u64 = 5;

/// Waits until the condition holds; panics with `what` if it doesn't within [`DEADLINE_S`].
pub fn eventually(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(DEADLINE_S);
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "still false after {DEADLINE_S} s: {what}"
        );
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}

/// Posts JSON and returns the status and the JSON body of the response.
pub fn post(address: impl std::fmt::Display, path: &str, body: &Value) -> (u16, Value) {
    let response = attohttpc::post(format!("http://{address}{path}"))
        .timeout(Duration::from_secs(DEADLINE_S))
        .json(body)
        .expect("a JSON value can be serialized")
        .send()
        .expect("the stand-in responds to a POST request");
    let status = response.status().as_u16();
    (status, response.json().expect("the response body is JSON"))
}

/// Sends a completion request with a request id; an error means that the connection broke.
pub fn complete(
    address: impl std::fmt::Display,
    id: &str,
    body: &Value,
) -> attohttpc::Result<attohttpc::Response> {
    attohttpc::post(format!("http://{address}/v1/completions"))
        .timeout(Duration::from_secs(DEADLINE_S))
        .header("X-Lovageplank-Request-Id", id)
        .header("X-Lovageplank-Attempt", "1")
        .json(body)?
        .send()
}

/// Returns a load command for version 1 of a model.
pub fn load(id: &str, token: u64, model: &str, memory_mb: u64) -> Value {
    json!({
        "command_id": id,
        "fencing_token": token,
        "op": "load",
        "model": model,
        "version": "1",
        "memory_mb": memory_mb,
    })
}

/// Returns an address on which nothing listens.
pub fn unused_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}
