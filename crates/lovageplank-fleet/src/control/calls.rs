//! Calls of operators and backend servers.
//!
//! Announcements are taken by every control process. The document is written and read at the
//! leader; other processes name its address.

use super::Shared;
use super::pump::encode;
use super::state::Source;
use crate::dialect::{Call, Rejected};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use lovageplank_control::voter;
use lovageplank_core::fleet::document::{Document, Outcome};
use lovageplank_core::fleet::registry::{Announcement, Change, Stage};
use lovageplank_core::prelude::*;
use lovageplank_process::http::{self, Body, Limits};
use std::time::Duration;

/// Milliseconds that a writer or reader of the document waits.
const WAIT_MS: u64 = 900;

pub(super) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    limits: Limits,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let body = match http::read_body(body, limits).await {
        Ok(body) => body,
        Err(error) => return http::text(error.status(), error.message().into()),
    };
    match shared.dialect.call(&head.method, &head.uri, &body) {
        Ok(Call::Announce(said)) => announced(&shared, &said),
        Ok(Call::Leave { id, born_ms }) => left(&shared, id, born_ms),
        Ok(Call::Write(deployment)) => {
            let document = Document::new(deployment.version, &body);
            write(&shared, &head.uri, document).await
        }
        Ok(Call::Read) => read(&shared, &head.uri).await,
        Err(rejected) => refuse(&head.method, &head.uri, &rejected),
    }
}

fn refuse(method: &Method, uri: &Uri, rejected: &Rejected) -> Response<Body> {
    let (status, reason) = match rejected {
        Rejected::Unknown => (StatusCode::NOT_FOUND, "there is no such call".to_owned()),
        Rejected::Unreadable(why) => (StatusCode::BAD_REQUEST, why.clone()),
        Rejected::Invalid(why) => (StatusCode::BAD_REQUEST, why.to_string()),
    };
    tracing::info!(event = "call_refused", %method, path = uri.path(), status = status.as_u16(), reason);
    http::text(status, reason)
}

fn announced(shared: &Shared, said: &Announcement) -> Response<Body> {
    let mut state = shared.state();
    if let Some(deployment) = &state.deployment
        && !deployment.services.contains_key(&said.service)
    {
        return http::text(StatusCode::BAD_REQUEST, "unknown service".into());
    }
    let change = state.announced(said.clone(), Source::Direct);
    if matches!(change, Change::New | Change::Moved) || said.stage != Stage::Ready {
        tracing::info!(event = "server_seen", id = %said.id, born_ms = said.born_ms, number = said.number,
            stage = ?said.stage, ?change, leaves_in_ms = ?said.leaves_in_ms);
    }
    if change == Change::New {
        shared.wake.notify_one();
    }
    http::json(StatusCode::OK, &serde_json::json!({}))
}

fn left(shared: &Shared, id: Name, born_ms: Option<u64>) -> Response<Body> {
    tracing::info!(event = "server_left", id = %id, ?born_ms);
    shared.state().left(id, born_ms, Source::Direct);
    http::json(StatusCode::OK, &serde_json::json!({}))
}

async fn write(shared: &Shared, uri: &Uri, document: Document) -> Response<Body> {
    let version = document.version;
    let waits = {
        let mut state = shared.state();
        if state.leads() {
            Ok(state.proposal())
        } else {
            Err(state.leader_address())
        }
    };
    let (ticket, outcome) = match waits {
        Ok(waits) => waits,
        Err(leader) => return elsewhere(uri, leader),
    };
    shared.ask_voter(voter::Request::Propose {
        request_id: ticket,
        data: encode(&document),
    });
    let outcome = tokio::time::timeout(Duration::from_millis(WAIT_MS), outcome).await;
    let Ok(Ok(Some(outcome))) = outcome else {
        tracing::warn!(event = "document_unclear", version);
        return unavailable("the outcome is not known; send it again");
    };
    tracing::info!(event = "document_written", version, ?outcome);
    let overtaken = outcome == Outcome::Overtaken;
    let body = serde_json::json!({"version": version, "overtaken": overtaken});
    http::json(StatusCode::OK, &body)
}

async fn read(shared: &Shared, uri: &Uri) -> Response<Body> {
    let waits = {
        let mut state = shared.state();
        if state.leads() {
            Ok(state.read())
        } else {
            Err(state.leader_address())
        }
    };
    let (ticket, answer) = match waits {
        Ok(waits) => waits,
        Err(leader) => return elsewhere(uri, leader),
    };
    shared.ask_voter(voter::Request::Read { request_id: ticket });
    match tokio::time::timeout(Duration::from_millis(WAIT_MS), answer).await {
        Ok(Ok(Some(document))) => {
            let bytes = match document.bytes() {
                Ok(bytes) => bytes,
                Err(error) => {
                    tracing::error!(event = "document_unreadable", version = document.version, %error);
                    return unavailable("the document is damaged");
                }
            };
            let mut response = Response::new(http::full(bytes));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Ok(Ok(None)) => unavailable("no document has been written yet"),
        _ => unavailable("it is not known which document is the newest"),
    }
}

/// Names the leader's address, if there is one.
fn elsewhere(uri: &Uri, leader: Option<Name>) -> Response<Body> {
    let Some(leader) = leader else {
        return unavailable("no leader is known");
    };
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    let mut response = http::text(StatusCode::TEMPORARY_REDIRECT, "ask the leader".into());
    if let Ok(location) = HeaderValue::from_str(&format!("http://{leader}{path}")) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    response
}

fn unavailable(reason: &str) -> Response<Body> {
    http::text(StatusCode::SERVICE_UNAVAILABLE, reason.into())
}
