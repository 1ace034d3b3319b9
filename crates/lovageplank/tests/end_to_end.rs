//! All roles in one process: a cold model with a streamed response, a plain service's call, and a
//! settings change.

use lovageplank::deployment::{Config, Deployment};
use lovageplank_core::settings::{Edit, Version};
use lovageplank_wire::call::OperatorRequest;
use serde_json::{Value, json};
use std::time::Duration;

fn post(deployment: &Deployment, router: usize, path: &str, body: &Value) -> (u16, String) {
    let address = deployment.routers()[router].address;
    let response = attohttpc::post(format!("http://{address}{path}"))
        .read_timeout(Duration::from_secs(30))
        .json(body)
        .unwrap()
        .send()
        .unwrap();
    let status = response.status().as_u16();
    (status, response.text().unwrap())
}

fn completion(model: &str, stream: bool) -> Value {
    json!({ "model": model, "prompt": "repoint the arch", "max_tokens": 4, "stream": stream })
}

#[test]
fn cold_model_is_loaded_once_and_its_response_streams_completely() {
    let deployment = Config::default().load_ms(100).start().unwrap();
    let (status, text) = post(
        &deployment,
        0,
        "/v1/completions",
        &completion("lime-notes:salt", true),
    );
    assert_eq!(status, 200, "{text}");
    assert_eq!(text.matches("data: {").count(), 4, "{text}");
    assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
    let (status, text) = post(
        &deployment,
        1,
        "/v1/completions",
        &completion("lime-notes", false),
    );
    assert_eq!(status, 200, "{text}");
    let models = deployment.operator_call(&OperatorRequest::Models).unwrap();
    let loaded = models
        .as_array()
        .unwrap()
        .iter()
        .find(|m| m["model"] == "lime-notes")
        .unwrap();
    assert_eq!(loaded["replicas"].as_array().unwrap().len(), 1, "{models}");
}

#[test]
fn plain_call_is_relayed_and_unknown_models_are_refused_as_not_run() {
    let deployment = Config::default().start().unwrap();
    let (status, text) = post(
        &deployment,
        1,
        "/svc/orders/stone",
        &json!({ "stone": "lime" }),
    );
    assert_eq!(status, 200, "{text}");
    assert!(text.contains("lime"), "{text}");
    let (status, text) = post(
        &deployment,
        0,
        "/v1/completions",
        &completion("nothing", false),
    );
    assert_eq!(status, 404, "{text}");
    let refusal: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(refusal["error"]["not_run"], true, "{text}");
}

#[test]
fn settings_change_is_in_force_everywhere_and_an_old_base_conflicts() {
    let deployment = Config::default().start().unwrap();
    let change = |base: u64, id: &str| OperatorRequest::Change {
        id: id.into(),
        base: Version(base),
        author: "test".into(),
        edits: vec![Edit {
            path: "services/drafting/deadline_ms".into(),
            value: Some(json!(9_000)),
        }],
    };
    let answer = deployment.operator_call(&change(1, "first")).unwrap();
    assert_eq!(answer["version"], 2);
    deployment.wait_in_force(Version(2)).unwrap();
    assert!(deployment.operator_call(&change(1, "second")).is_err());
    let resent = deployment.operator_call(&change(1, "first")).unwrap();
    assert_eq!(
        resent["version"], 2,
        "a resent change returns the version of its first answer"
    );
}
