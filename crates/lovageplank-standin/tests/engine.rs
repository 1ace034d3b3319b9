//! The engine stand-in through real sockets.

use lovageplank_standin::engine::{Config, Engine, text};
use serde_json::json;

#[path = "support/client.rs"]
mod client;

use client::{complete, eventually, load, post};

fn engine() -> Engine {
    Config::new("e1")
        .memory_mb(1_000)
        .first_token_ms(1, 1)
        .token_ms(1)
        .load_ms(1)
        .start()
        .expect("port 0 is free")
}

fn engine_with(model: &str) -> Engine {
    let engine = engine();
    let (status, _) = post(engine.address(), "/commands", &load("load", 1, model, 100));
    assert_eq!(status, 202);
    eventually("the model is loaded", || !is_loading(&engine));
    engine
}

fn is_loading(engine: &Engine) -> bool {
    engine.announcement().loaded.iter().any(|held| held.loading)
}

#[test]
fn answers_with_a_text_of_its_prompt() {
    let engine = engine_with("mason");
    let body = json!({"model": "mason", "prompt": "arch", "max_tokens": 4});
    let response = complete(engine.address(), "r1", &body).unwrap();
    assert_eq!(response.headers()["x-lovageplank-request-id"], "r1");
    assert_eq!(response.headers()["x-lovageplank-attempt"], "1");
    let answer: serde_json::Value = response.json().unwrap();
    let expected = text::whole(text::hash("mason", None, "arch"), 4);
    assert_eq!(answer["choices"][0]["text"], expected.as_str());
    assert_eq!(engine.records().requests["r1"].finished, 1);
}

#[test]
fn streams_tokens_and_ends_with_done() {
    let engine = engine_with("mason");
    let body = json!({"model": "mason", "prompt": "arch", "max_tokens": 3, "stream": true});
    let answer = complete(engine.address(), "r1", &body)
        .unwrap()
        .text()
        .unwrap();
    let events: Vec<_> = answer.split_terminator("\n\n").collect();
    assert_eq!(events.len(), 4, "{answer}");
    let hash = text::hash("mason", None, "arch");
    for (position, event) in (0..).zip(&events[..3]) {
        assert!(event.contains(&text::token(hash, position)), "{event}");
    }
    assert_eq!(events[3], "data: [DONE]");
}
