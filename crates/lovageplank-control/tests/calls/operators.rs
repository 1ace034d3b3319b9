//! Status codes and messages of HTTP requests, and operators' calls.

use crate::daemon::Daemon;
use serde_json::{Value, json};

/// Method, path, `Authorization` header and body of a request; status and a part of the answer.
type Row = (
    &'static str,
    &'static str,
    Option<&'static str>,
    &'static str,
    u16,
    &'static str,
);

const VALID_TOKEN: Option<&str> = Some("Bearer operators-0123456789");

const REQUESTS: &[Row] = &[
    ("GET", "/healthz", None, "", 200, "ok"),
    ("GET", "/metrics", None, "", 200, ""),
    (
        "POST",
        "/v1/operator",
        VALID_TOKEN,
        "\"status\"",
        200,
        "settings_version",
    ),
    ("POST", "/v1/operator", None, "\"status\"", 403, "forbidden"),
    (
        "POST",
        "/v1/operator",
        Some("Bearer operators-0123456788"),
        "\"status\"",
        403,
        "send the operators' token",
    ),
    (
        "POST",
        "/v1/operator",
        Some("Bearer operators-012345678"),
        "\"status\"",
        403,
        "forbidden",
    ),
    (
        "POST",
        "/v1/operator",
        Some("Bearer "),
        "\"status\"",
        403,
        "forbidden",
    ),
    (
        "POST",
        "/v1/operator",
        Some("operators-0123456789"),
        "\"status\"",
        403,
        "forbidden",
    ),
    (
        "POST",
        "/v1/operator",
        Some("Basic operators-0123456789"),
        "\"status\"",
        403,
        "forbidden",
    ),
    (
        "POST",
        "/v1/operator",
        VALID_TOKEN,
        "",
        422,
        "the body is no operator's call",
    ),
    (
        "POST",
        "/v1/operator",
        VALID_TOKEN,
        "{",
        422,
        "the body is no operator's call",
    ),
    (
        "POST",
        "/v1/operator",
        VALID_TOKEN,
        "\"statsu\"",
        422,
        "unknown variant `statsu`",
    ),
    (
        "POST",
        "/v1/operator",
        VALID_TOKEN,
        "{\"change\":{\"id\":\"a\"}}",
        422,
        "missing field `base`",
    ),
    (
        "POST",
        "/v1/operator",
        VALID_TOKEN,
        "{\"history\":{\"limit\":-1}}",
        422,
        "the body is no operator's call",
    ),
    (
        "POST",
        "/v1/operator",
        VALID_TOKEN,
        "\"status\" 1",
        422,
        "trailing characters",
    ),
    (
        "GET",
        "/v1/operator",
        VALID_TOKEN,
        "",
        404,
        "GET /v1/operator is not served here",
    ),
    (
        "POST",
        "/v1/operators",
        VALID_TOKEN,
        "\"status\"",
        404,
        "POST /v1/operators is not served here",
    ),
    ("POST", "/", None, "", 404, "POST / is not served here"),
    (
        "POST",
        "/v1/announce",
        None,
        "",
        422,
        "does not have the right shape",
    ),
    (
        "POST",
        "/v1/announce",
        None,
        "{}",
        422,
        "missing field `id`",
    ),
    (
        "POST",
        "/v1/announce",
        None,
        "[]",
        422,
        "does not have the right shape",
    ),
    (
        "POST",
        "/v1/report",
        None,
        "{\"id\":\"e\"}",
        422,
        "missing field `incarnation`",
    ),
    ("GET", "/v1/announce", None, "", 404, "is not served here"),
];

#[test]
fn requests_return_the_expected_status_and_message() {
    let daemon = Daemon::start();
    for (method, path, token, body, status, expected_text) in REQUESTS {
        let (actual_status, answer) = daemon.send_request(method, path, *token, body);
        let context = format!("{method} {path} {token:?} {body}: {answer}");
        assert_eq!(actual_status, *status, "{context}");
        assert!(answer.to_string().contains(expected_text), "{context}");
        if *status != 200 {
            assert_eq!(answer["error"]["not_run"], true, "{context}");
        }
    }
    let (status, _) = daemon.send_request("POST", "/v1/report", None, &" ".repeat((4 << 20) + 1));
    assert_eq!(status, 413);
}

/// Operators' calls at settings version 2, each with its status and parts of the answer.
fn operators_calls() -> Vec<(Value, u16, &'static [&'static str])> {
    vec![
        (
            json!({"settings": {"path": "deadline_ms", "effective": false}}),
            200,
            &["5000", "\"version\":2"],
        ),
        (
            json!({"settings": {"path": "", "effective": true}}),
            200,
            &["deadline_ms", "5000"],
        ),
        (
            json!({"settings": {"path": "a/b", "effective": false}}),
            404,
            &["a/b: no such place"],
        ),
        (
            json!({"settings": {"path": "deadlin_ms", "effective": false}}),
            404,
            &["did you mean"],
        ),
        (
            json!({"history": {"limit": 1}}),
            200,
            &["\"version\":2", "\"author\":\"office\"", "c2"],
        ),
        (json!({"history": {"limit": 0}}), 200, &["[]"]),
        (json!({"diff": {"from": 1, "to": 2}}), 200, &["deadline_ms"]),
        (
            json!({"diff": {"from": 1, "to": 9}}),
            404,
            &["version 9 is not kept; 0 to 2 are"],
        ),
        (
            json!({"rollback": {"id": "r1", "base": 2, "author": "office", "to": 9}}),
            404,
            &["history goes back"],
        ),
        (
            json!({"rollback": {"id": "r2", "base": 1, "author": "office", "to": 1}}),
            409,
            &["version 2"],
        ),
        (
            json!({"in_force": {"version": 9}}),
            200,
            &["\"in_force\":false"],
        ),
        (
            json!({"drain": {"instance": "router-9"}}),
            404,
            &["no instance is called router-9"],
        ),
        (
            json!({"voter_add": {"instance": "control-9"}}),
            404,
            &["control-9"],
        ),
        (
            json!({"voter_remove": {"instance": "control-1"}}),
            422,
            &["the last voter can't be removed"],
        ),
        (json!("instances"), 200, &["[]"]),
        (json!("engines"), 200, &["[]"]),
        (json!("models"), 200, &["[]"]),
        (json!({"burn": {"window_ms": 0}}), 200, &[]),
    ]
}

#[test]
fn operator_calls_return_the_expected_status_and_text() {
    let daemon = Daemon::start();
    let edits = |value: u64| json!([{"path": "deadline_ms", "value": value}]);
    assert_eq!(
        daemon.change("c1", 0, &edits(4_000)),
        (200, json!({"version": 1}))
    );
    assert_eq!(
        daemon.change("c2", 1, &edits(5_000)),
        (200, json!({"version": 2}))
    );
    for (call, status, expected_texts) in operators_calls() {
        let (actual_status, answer) = daemon.operator_call(&call);
        assert_eq!(actual_status, status, "{call}: {answer}");
        let text = answer.to_string();
        assert!(
            expected_texts
                .iter()
                .all(|expected_text| text.contains(expected_text)),
            "{call}: {answer}"
        );
    }
}

#[test]
fn changes_are_idempotent_conflicts_name_paths_and_invalid_changes_apply_nothing() {
    let daemon = Daemon::start();
    let valid = json!([{"path": "deadline_ms", "value": 4_000}]);
    assert_eq!(daemon.change("c1", 0, &valid), (200, json!({"version": 1})));
    // A repeated change with the same id gets the first answer; another change with that id is
    // refused.
    assert_eq!(daemon.change("c1", 0, &valid), (200, json!({"version": 1})));
    let other = json!([{"path": "deadline_ms", "value": 4_001}]);
    let (status, answer) = daemon.change("c1", 1, &other);
    assert_eq!(status, 422, "{answer}");
    assert!(answer.to_string().contains("mint a new id"), "{answer}");

    let (status, answer) = daemon.change("c2", 0, &other);
    let error = &answer["error"];
    assert_eq!(
        (status, &error["code"]),
        (409, &json!("conflict")),
        "{answer}"
    );
    assert_eq!(error["details"]["current"], 1, "{answer}");
    assert_eq!(
        error["details"]["paths"],
        json!(["deadline_ms"]),
        "{answer}"
    );

    let invalid = json!([
        {"path": "priority", "value": 10},
        {"path": "deadlin_ms", "value": 1},
        {"path": "queue_limit", "value": 5},
    ]);
    let (status, answer) = daemon.change("c3", 1, &invalid);
    let error = &answer["error"];
    assert_eq!(
        (status, &error["code"]),
        (422, &json!("invalid")),
        "{answer}"
    );
    let details = json!([
        "priority: expects a whole number from 0 to 9",
        "deadlin_ms: unknown name \"deadlin_ms\"; did you mean \"deadline_ms\"?",
    ]);
    assert_eq!(error["details"], details);
    let (_, tree) = daemon.operator_call(&json!({"settings": {"path": "", "effective": false}}));
    assert_eq!(tree["version"], 1);
    assert_eq!(tree["value"]["settings"], json!({"deadline_ms": 4_000}));
}

#[test]
fn change_is_in_force_without_routers() {
    let daemon = Daemon::start();
    let edits = json!([{"path": "deadline_ms", "value": 4_000}]);
    daemon.change("c1", 0, &edits);
    let in_force = |version: u64| json!({"in_force": {"version": version}});
    daemon.wait_until("the change is in force", |daemon| {
        daemon.operator_call(&in_force(1)).1["in_force"] == true
    });
    assert_eq!(daemon.operator_call(&in_force(2)).1["in_force"], false);
}
