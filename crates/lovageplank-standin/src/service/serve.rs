//! The plain service's HTTP interface.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Bytes;

use super::Core;
use crate::announce::AnnouncementSource;
use crate::fault::{Faults, RequestFault};
use crate::http::{Call, Handler, Peer, Response};
use crate::record::{Increment, RequestKeys};

/// Delay in milliseconds before a fault cuts a connection, so that bytes already written are sent.
const FLUSH_MS: u64 = 10;

impl Handler for Core {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/fault") => fault(&self, call).await,
            ("POST", "/leave") => {
                self.leave();
                Response::json(200, &serde_json::json!({"state": "leaving"}))
            }
            ("GET", "/records") => Response::json(200, &self.snapshot()),
            ("GET", "/state") => Response::json(200, &self.announcement()),
            ("GET", "/healthz") => Response::json(200, &serde_json::json!({"ok": true})),
            _ => run(self, call).await,
        }
    }
}

async fn fault(core: &Core, call: Call) -> Response {
    match call.read_json::<Faults>("bad_fault").await {
        Ok(faults) => {
            core.set_faults(faults);
            Response::json(200, &core.faults.get())
        }
        Err(response) => response,
    }
}

async fn run(core: Arc<Core>, mut call: Call) -> Response {
    let fault = core.faults.next_request_fault();
    match fault {
        Some(RequestFault::ResetBeforeRead) => return reset(&call.peer).await,
        Some(RequestFault::ResetDuringRead) => {
            call.read_some().await;
            return reset(&call.peer).await;
        }
        _ => {}
    }
    let text = |name| call.header(name).map(str::to_owned);
    let keys = RequestKeys {
        request_id: text("x-lovageplank-request-id"),
        idempotency_key: text("idempotency-key"),
        text: None,
    };
    let attempt = text("x-lovageplank-attempt");
    let content_type = text("content-type");
    let peer = call.peer.clone();
    let body = match call.read().await {
        Ok(body) => body,
        Err(response) => return response,
    };
    if core.leaving.load(Ordering::SeqCst) {
        core.records.count(&keys, Increment::Refused);
        let response = Response::error(503, "leaving", "the service takes no new work");
        return echo_headers(response, keys.request_id, attempt);
    }
    // A separate task, so that the call continues if its client disconnects.
    let execution = tokio::spawn(execute(core, keys.clone(), fault));
    if execution.await.is_err() {
        return Response::failure(500, "stopped", "the service stopped", false);
    }
    let response = build_response(keys.request_id, attempt, content_type, body, fault);
    apply_response_fault(response, &peer, fault).await
}

async fn reset(peer: &Peer) -> Response {
    peer.reset();
    std::future::pending().await
}

async fn execute(core: Arc<Core>, keys: RequestKeys, fault: Option<RequestFault>) {
    core.running.fetch_add(1, Ordering::SeqCst);
    let runs = if fault == Some(RequestFault::RunTwice) {
        2
    } else {
        1
    };
    for _ in 0..runs {
        core.records.count(&keys, Increment::Run);
        tokio::time::sleep(Duration::from_millis(core.config.latency_ms)).await;
        core.records.count(&keys, Increment::Finished);
    }
    if let Some(RequestFault::DieAfter { .. }) = fault {
        core.control.stop.cancel();
    }
    core.running.fetch_sub(1, Ordering::SeqCst);
}

fn build_response(
    request_id: Option<String>,
    attempt: Option<String>,
    content_type: Option<String>,
    body: Bytes,
    fault: Option<RequestFault>,
) -> Response {
    let body = match fault {
        Some(RequestFault::WrongAnswer) => Bytes::from_static(b"the answer to another call"),
        _ => body,
    };
    let request_id = match fault {
        Some(RequestFault::WrongRequestId) => Some("id-of-another-request".to_owned()),
        _ => request_id,
    };
    let response = echo_headers(Response::bytes(200, body), request_id, attempt);
    match content_type {
        Some(value) => response.header("content-type", value),
        None => response,
    }
}

fn echo_headers(
    mut response: Response,
    request_id: Option<String>,
    attempt: Option<String>,
) -> Response {
    let headers = [
        ("x-lovageplank-request-id", request_id),
        ("x-lovageplank-attempt", attempt),
    ];
    for (name, value) in headers {
        if let Some(value) = value {
            response = response.header(name, value);
        }
    }
    response
}

/// Applies a fault that delays, withholds, truncates or replaces a response by a reset.
async fn apply_response_fault(
    response: Response,
    peer: &Peer,
    fault: Option<RequestFault>,
) -> Response {
    match fault {
        Some(RequestFault::Hang) => std::future::pending().await,
        Some(RequestFault::Late { ms }) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            response
        }
        Some(RequestFault::ResetAfterRead) => reset(peer).await,
        Some(RequestFault::HalfAnswer | RequestFault::CutAfter { .. }) => {
            let peer = peer.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(FLUSH_MS)).await;
                peer.cut();
            });
            response.truncated()
        }
        _ => response,
    }
}
