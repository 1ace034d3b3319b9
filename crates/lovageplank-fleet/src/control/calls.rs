//! Handles calls of operators and backend servers.
//!
//! Every control process accepts announcements. The document is written and read at the leader;
//! other control processes redirect to it.

use super::Shared;
use super::content::Content;
use super::servers::Source;
use super::state::State;
use crate::dialect::{CallError, ControlCall};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use lovageplank_control::voter;
use lovageplank_core::fleet::document::{Document, Outcome};
use lovageplank_core::fleet::registry::{Announcement, Change, Stage};
use lovageplank_core::prelude::*;
use lovageplank_process::body::Use;
use lovageplank_process::http::{self, Body, Limits};
use std::time::Duration;

/// Milliseconds that a write or read of the document waits for consensus. After this timeout it is
/// answered with 503, and it isn't known whether a written document comes into force.
const CONSENSUS_TIMEOUT_MS: u64 = 900;

/// Milliseconds for which a read of the document waits for memory.
const ROOM_TIMEOUT_MS: u64 = 5_000;

pub(super) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    limits: Limits,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let share = shared.body_budget.share_for(Use::Upload);
    let body = match http::read_body_within(body, limits, share).await {
        Ok(body) => body,
        Err(error) => {
            tracing::info!(event = "call_unread", method = %head.method, path = head.uri.path(),
                status = error.status().as_u16(), reason = error.message());
            return error.refusal();
        }
    };
    match shared.dialect.parse_call(&head.method, &head.uri, &body) {
        Ok(ControlCall::Announce(announcement)) => announce(&shared, &announcement),
        Ok(ControlCall::Deregister { id, incarnation }) => deregister(&shared, id, incarnation),
        Ok(ControlCall::Write(deployment)) => {
            let document = Document::new(deployment.version, &body);
            write(&shared, &head.uri, document).await
        }
        Ok(ControlCall::Read) => read(&shared, &head.uri).await,
        Err(error) => refuse(&head.method, &head.uri, &error),
    }
}

fn refuse(method: &Method, uri: &Uri, error: &CallError) -> Response<Body> {
    let (status, reason) = match error {
        CallError::Unknown => (StatusCode::NOT_FOUND, "there is no such call".to_owned()),
        CallError::Unreadable(detail) => (StatusCode::BAD_REQUEST, detail.clone()),
        CallError::Invalid(detail) => (StatusCode::BAD_REQUEST, detail.to_string()),
    };
    tracing::info!(event = "call_refused", %method, path = uri.path(), status = status.as_u16(), reason);
    http::text(status, reason)
}

fn announce(shared: &Shared, announcement: &Announcement) -> Response<Body> {
    if let Err(reason) = announcement.check() {
        tracing::info!(event = "announcement_refused", id = %announcement.id, address = %announcement.address, reason);
        return http::text(StatusCode::BAD_REQUEST, reason.into());
    }
    let mut state = shared.state();
    if let Some(deployment) = &state.deployment
        && !deployment.services.contains_key(&announcement.service)
    {
        return http::text(StatusCode::BAD_REQUEST, "unknown service".into());
    }
    let change = state.observe_announcement(announcement.clone(), Source::Direct);
    // `born_ms` is the incarnation: when the server's process started, in Unix milliseconds.
    // `number` is the sequence number of the announcement within the incarnation.
    if matches!(change, Change::New | Change::Moved) || announcement.stage != Stage::Ready {
        tracing::info!(event = "server_seen", id = %announcement.id, born_ms = announcement.incarnation, number = announcement.number,
            address = %announcement.address, software = %announcement.software, stage = ?announcement.stage, ?change, leaves_in_ms = announcement.leaves_in_ms);
    }
    log_if_taken_for_gone(&state, announcement);
    if change == Change::New {
        shared.planner_wake.notify_one();
        shared.origins_wake.notify_one();
    }
    http::json(StatusCode::OK, &serde_json::json!({}))
}

/// Tells a server that is gone from one that announces itself, though it is taken for gone.
fn log_if_taken_for_gone(state: &State, announcement: &Announcement) {
    let known = state.registry.get(&announcement.id);
    let is_gone = known.is_some_and(|known| known.announcement.stage == Stage::Gone);
    if !is_gone {
        return;
    }
    metrics::counter!("lovageplank_control_announcements_of_gone_servers_total").increment(1);
    tracing::info!(event = "gone_server_announces", id = %announcement.id, born_ms = announcement.incarnation, number = announcement.number,
        address = %announcement.address, known_born_ms = known.map(|known| known.announcement.incarnation));
}

fn deregister(shared: &Shared, id: Name, incarnation: Option<u64>) -> Response<Body> {
    tracing::info!(event = "server_left", id = %id, born_ms = incarnation);
    let mut state = shared.state();
    let departure = state.registry.departure(&id, incarnation, None);
    if let Some(Err(reason)) = departure.map(|departure| departure.check()) {
        return http::text(StatusCode::BAD_REQUEST, reason.into());
    }
    state.server_gone(id, departure, Source::Direct);
    http::json(StatusCode::OK, &serde_json::json!({}))
}

async fn write(shared: &Shared, uri: &Uri, document: Document) -> Response<Body> {
    let version = document.version;
    // The registered proposal, or the leader's address if this process doesn't lead.
    let registered = {
        let mut state = shared.state();
        if state.leads() {
            Ok(state.new_proposal())
        } else {
            Err(state.leader_address())
        }
    };
    let (request_id, outcome) = match registered {
        Ok(registered) => registered,
        Err(leader) => return redirect_to_leader(uri, leader),
    };
    shared.send_to_voter(voter::Request::Propose {
        request_id,
        data: Content::from(document).encode(),
    });
    let outcome = tokio::time::timeout(Duration::from_millis(CONSENSUS_TIMEOUT_MS), outcome).await;
    let Ok(Ok(Some(outcome))) = outcome else {
        // Unless the voter refused the proposal, it may still be committed: then it isn't known
        // whether the document was written.
        tracing::warn!(event = "document_unclear", version);
        return unavailable("the outcome is not known; send it again");
    };
    tracing::info!(event = "document_written", version, ?outcome);
    // Then a document with the same or a higher version was already in force, and nothing changed.
    let overtaken = outcome == Outcome::Overtaken;
    let body = serde_json::json!({"version": version, "overtaken": overtaken});
    http::json(StatusCode::OK, &body)
}

async fn read(shared: &Shared, uri: &Uri) -> Response<Body> {
    let registered = {
        let mut state = shared.state();
        if state.leads() {
            Ok(state.new_read())
        } else {
            Err(state.leader_address())
        }
    };
    let (request_id, answer) = match registered {
        Ok(registered) => registered,
        Err(leader) => return redirect_to_leader(uri, leader),
    };
    shared.send_to_voter(voter::Request::Read { request_id });
    match tokio::time::timeout(Duration::from_millis(CONSENSUS_TIMEOUT_MS), answer).await {
        Ok(Ok(Some(document))) => document_response(shared, &document).await,
        Ok(Ok(None)) => unavailable("no document has been written yet"),
        _ => unavailable("it is not known which document is the newest"),
    }
}

/// The response with a document, whose bytes are counted until the caller has read them.
async fn document_response(shared: &Shared, document: &Document) -> Response<Body> {
    let share = shared.body_budget.share();
    let mut bytes = document.bytes();
    if let Ok(unpacked) = &bytes
        && share.grow_to(unpacked.len()).is_err()
    {
        // The bytes aren't kept while there is no room for them.
        let length = unpacked.len();
        drop(bytes);
        let room = Duration::from_millis(ROOM_TIMEOUT_MS);
        let reserved = tokio::time::timeout(room, share.reserve(length)).await;
        if !matches!(reserved, Ok(Ok(()))) {
            return unavailable("too many answers are being read; send it again later");
        }
        bytes = document.bytes();
    }
    match bytes {
        Ok(bytes) => {
            let mut response = http::held(bytes, share);
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            tracing::error!(event = "document_unreadable", version = document.version, %error);
            unavailable("the document is damaged")
        }
    }
}

/// Redirects to the leader, if one is known.
fn redirect_to_leader(uri: &Uri, leader: Option<Name>) -> Response<Body> {
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
