//! The engine's HTTP interface.

use std::sync::Arc;

use lovageplank_core::backend::State as LifecycleState;

use super::answer::{EchoedHeaders, Responder};
use super::command::{Command, Refusal};
use super::generate::Job;
use super::prompt::{CompletionRequest, Endpoint};
use super::shared::Core;
use super::state::Work;
use super::{text, weights};
use crate::announce::AnnouncementSource;
use crate::fault::{CommandFault, Faults, RequestFault};
use crate::http::{Call, Handler, Response};
use crate::record::{Increment, ReplicaChange, RequestKeys};

/// Priority of a request without a valid `X-Lovageplank-Priority` header.
const DEFAULT_PRIORITY: u8 = 5;

impl Handler for Core {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        let path = call.path.clone();
        match (call.method.as_str(), path.as_str()) {
            ("POST", "/v1/completions") => completion(self, Endpoint::Text, call).await,
            ("POST", "/v1/chat/completions") => completion(self, Endpoint::Chat, call).await,
            ("POST", "/commands") => {
                let echo = EchoedHeaders::from_call(&call);
                echo.apply_to(command(self, call).await)
            }
            ("POST", "/fault") => fault(&self, call).await,
            ("POST", "/leave") => {
                self.leave();
                Response::json(200, &serde_json::json!({"state": "leaving"}))
            }
            ("GET", "/state") => Response::json(200, &self.announcement()),
            ("GET", "/records") => Response::json(200, &self.snapshot()),
            ("GET", "/healthz") => Response::json(200, &serde_json::json!({"ok": true})),
            ("POST", _) if path.starts_with("/cancel/") => cancel(&self, &path["/cancel/".len()..]),
            (method, path) => {
                let message = format!("an engine has no {method} {path}");
                Response::error(404, "unknown_path", &message)
            }
        }
    }
}

fn cancel(core: &Core, request_id: &str) -> Response {
    let cancelled = core.cancel(request_id);
    Response::json(200, &serde_json::json!({"cancelled": cancelled}))
}

async fn fault(core: &Core, call: Call) -> Response {
    match call.read_json::<Faults>("bad_fault").await {
        Ok(faults) => {
            core.set_faults(faults);
            core.announce();
            Response::json(200, &core.faults.get())
        }
        Err(response) => response,
    }
}

async fn command(core: Arc<Core>, call: Call) -> Response {
    let peer = call.peer.clone();
    let body = match call.read().await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let command = match Command::parse(&body) {
        Ok(command) => command,
        Err(message) => return Response::error(400, "bad_command", &message),
    };
    match execute(&core, &command) {
        Ok(work) => {
            start_work(&core, &command, work);
            core.announce();
            match core.faults.next_command_fault() {
                Some(CommandFault::LoseAnswer) => {
                    peer.reset();
                    std::future::pending::<()>().await;
                }
                Some(CommandFault::Hang) => std::future::pending::<()>().await,
                None => {}
            }
            Response::json(202, &serde_json::json!({"accepted": true}))
        }
        Err(refusal) => refusal.response(),
    }
}

/// Executes a command and records its outcome.
fn execute(core: &Core, command: &Command) -> Result<Work, Refusal> {
    let limits = core.limits();
    let mut state = core.state();
    if state.has_outcome(&command.command_id) {
        core.records
            .update(|snapshot| snapshot.repeated_commands += 1);
        return state.execute(command, limits);
    }
    let result = state.execute(command, limits);
    match &result {
        Err(Refusal::StaleToken { .. }) => {
            core.records.update(|snapshot| snapshot.stale_commands += 1);
        }
        Err(Refusal::OutOfMemory { .. }) => {
            core.records
                .update(|snapshot| snapshot.overcommit_attempts += 1);
        }
        Ok(Work::Load(_)) => {
            core.records
                .record_replica_change(&command.replica_key(), ReplicaChange::LoadStarted);
            if state.used_mb() > limits.memory_mb {
                core.records.update(|snapshot| snapshot.overcommitted += 1);
            }
        }
        Ok(Work::Unloaded) => core
            .records
            .record_replica_change(&command.replica_key(), ReplicaChange::Unloaded),
        Ok(Work::Nothing | Work::Adapter(_)) | Err(Refusal::NotLoaded) => {}
    }
    result
}

/// Starts the load that a command requires, if any.
fn start_work(core: &Arc<Core>, command: &Command, work: Work) {
    let core = core.clone();
    let replica = command.replica_key();
    match work {
        Work::Load(load) => {
            tokio::spawn(weights::load(core, replica, load));
        }
        Work::Adapter(load) => {
            let adapter = command.adapter.clone().unwrap_or_default();
            tokio::spawn(weights::load_adapter(core, replica, adapter, load));
        }
        Work::Nothing | Work::Unloaded => {}
    }
}

async fn completion(core: Arc<Core>, endpoint: Endpoint, mut call: Call) -> Response {
    let fault = core.faults.next_request_fault();
    match fault {
        Some(RequestFault::ResetBeforeRead) => return reset(&call).await,
        Some(RequestFault::ResetDuringRead) => {
            call.read_some().await;
            return reset(&call).await;
        }
        _ => {}
    }
    let headers = RequestHeaders::from_call(&call);
    let peer = call.peer.clone();
    let body = match call.read().await {
        Ok(body) => body,
        Err(response) => return headers.echo.apply_to(response),
    };
    let request = match CompletionRequest::parse(endpoint, &body) {
        Ok(request) => request,
        Err(message) => {
            return headers
                .echo
                .apply_to(Response::error(400, "bad_request", &message));
        }
    };
    let job = match admit(&core, &headers, &request) {
        Ok(job) => job,
        Err(response) => return headers.echo.apply_to(response),
    };
    let responder = Responder {
        core,
        endpoint,
        model: request.target.raw,
        echo: headers.echo,
        peer,
        fault,
    };
    if request.stream {
        responder.stream(job).await
    } else {
        responder.respond(job).await
    }
}

async fn reset(call: &Call) -> Response {
    call.peer.reset();
    std::future::pending().await
}

/// The values of a completion request's headers.
struct RequestHeaders {
    echo: EchoedHeaders,
    idempotency_key: Option<String>,
    offset: u32,
    priority: u8,
}

impl RequestHeaders {
    fn from_call(call: &Call) -> RequestHeaders {
        let number = |name| call.header(name).and_then(|text| text.parse().ok());
        let priority = call.header("x-lovageplank-priority");
        RequestHeaders {
            echo: EchoedHeaders::from_call(call),
            idempotency_key: call.header("idempotency-key").map(str::to_owned),
            offset: number("x-resume-offset").unwrap_or(0),
            priority: priority
                .and_then(|text| text.parse().ok())
                .unwrap_or(DEFAULT_PRIORITY),
        }
    }
}

/// Creates the job of a request, or returns the error response if the engine can't run it.
fn admit(
    core: &Core,
    headers: &RequestHeaders,
    request: &CompletionRequest,
) -> Result<Job, Response> {
    let target = &request.target;
    let keys = RequestKeys {
        request_id: headers.echo.request_id.clone(),
        idempotency_key: headers.idempotency_key.clone(),
        text: Some(text::hash(
            &target.model,
            target.adapter.as_deref(),
            &request.text,
        )),
    };
    let refuse = |status, code, message: &str| {
        core.records.count(&keys, Increment::Refused);
        Err(Response::error(status, code, message))
    };
    let state = core.state();
    if state.lifecycle == LifecycleState::Leaving {
        return refuse(503, "leaving", "the engine takes no new work");
    }
    let Some(((model, _), replica)) = state.find(&target.model, target.version.as_deref()) else {
        let message = format!("{} isn't loaded", target.raw);
        return refuse(404, "model_not_loaded", &message);
    };
    if let Some(adapter) = &target.adapter
        && !replica.adapters.contains(adapter.as_str())
    {
        let message = format!("adapter {adapter} isn't loaded on {model}");
        return refuse(404, "adapter_not_loaded", &message);
    }
    Ok(Job {
        hash: keys.text.unwrap_or_default(),
        keys,
        model: model.clone(),
        prefix: text::prefix(model, &request.text),
        tokens: request.tokens,
        offset: headers.offset,
        priority: headers.priority,
        unloaded: replica.unloaded.clone(),
        request_counter: replica.request_counter.clone(),
    })
}
