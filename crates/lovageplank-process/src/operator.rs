//! Operators' requests over HTTP: `POST /v1/operator` with a bearer token.
//!
//! The body is the JSON form of an [`OperatorRequest`], such as `"status"` or
//! `{"settings":{"path":"","effective":true}}`.

use crate::http::{Body, json};
use hyper::{HeaderMap, Response, StatusCode, header};
use lovageplank_wire::call::{OperatorRequest, RefusalCode};
use lovageplank_wire::{Answer, Refusal};
use serde_json::json;

/// Path of operators' requests.
pub const PATH: &str = "/v1/operator";

/// Whether the headers contain the operators' token. The time for a token of the right length
/// doesn't depend on its content.
pub fn authorized(headers: &HeaderMap, token: &str) -> bool {
    let given = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let Some(given) = given else { return false };
    let differ = |(a, b): (u8, u8)| a ^ b;
    given.len() == token.len()
        && given
            .bytes()
            .zip(token.bytes())
            .map(differ)
            .fold(0, |a, b| a | b)
            == 0
}

/// Parses the body of an operator's request. Fails with [`RefusalCode::Invalid`].
pub fn parse(body: &[u8]) -> Result<OperatorRequest, Refusal> {
    serde_json::from_slice(body).map_err(|e| {
        Refusal::new(
            RefusalCode::Invalid,
            format!("the body is no operator's call: {e}"),
        )
    })
}

/// HTTP status for a kind of refusal.
pub fn status(code: RefusalCode) -> StatusCode {
    match code {
        RefusalCode::NoLeader | RefusalCode::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
        RefusalCode::Unknown => StatusCode::GATEWAY_TIMEOUT,
        RefusalCode::Conflict => StatusCode::CONFLICT,
        RefusalCode::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalCode::NotFound => StatusCode::NOT_FOUND,
        RefusalCode::Forbidden => StatusCode::FORBIDDEN,
    }
}

/// HTTP response for an answer.
pub fn respond(answer: &Answer) -> Response<Body> {
    match answer {
        Answer::Done => json(StatusCode::OK, &json!({})),
        Answer::Operator(value) => json(StatusCode::OK, value),
        Answer::Grant(grant) => json(StatusCode::OK, &json!(grant)),
        Answer::Refused(refusal) => refuse(refusal),
        other @ Answer::Claim(_) => json(
            StatusCode::OK,
            &serde_json::to_value(other).unwrap_or_default(),
        ),
    }
}

/// HTTP response for a refusal.
pub fn refuse(refusal: &Refusal) -> Response<Body> {
    let error = json!({
        "code": refusal.code,
        "message": refusal.message,
        "not_run": refusal.code != RefusalCode::Unknown,
        "details": refusal.details,
    });
    json(status(refusal.code), &json!({ "error": error }))
}

/// HTTP response for a request without a valid token.
pub fn forbidden() -> Response<Body> {
    let refusal = Refusal::new(
        RefusalCode::Forbidden,
        "send the operators' token: Authorization: Bearer …",
    );
    refuse(&refusal)
}
