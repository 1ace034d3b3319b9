//! The engine's HTTP interface.

use std::sync::Arc;

use lovageplank_core::backend::State as Life;

use super::answer::{Echo, Reply};
use super::command::{Command, Refusal};
use super::generate::Job;
use super::prompt::{Prompt, Shape};
use super::shared::Core;
use super::state::Work;
use super::{text, weights};
use crate::announce::Source;
use crate::fault::{CommandFault, Faults, RequestFault};
use crate::http::{Call, Handler, Response};
use crate::record::{Change, Count, Keys};

/// Priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 5;

impl Handler for Core {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        let path = call.path.clone();
        match (call.method.as_str(), path.as_str()) {
            ("POST", "/v1/completions") => completion(self, Shape::Text, call).await,
            ("POST", "/v1/chat/completions") => completion(self, Shape::Chat, call).await,
            ("POST", "/commands") => command(self, call).await,
            ("POST", "/fault") => fault(&self, call).await,
            ("POST", "/leave") => {
                self.leave();
                Response::json(200, &serde_json::json!({"state": "leaving"}))
            }
            ("GET", "/state") => Response::json(200, &self.announcement()),
            ("GET", "/records") => Response::json(200, &self.page()),
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
            begin(&core, &command, work);
            core.announce();
            match core.faults.strike_command() {
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

/// Executes a command and records what came of it.
fn execute(core: &Core, command: &Command) -> Result<Work, Refusal> {
    let limits = core.limits();
    let mut state = core.state();
    if state.knows(&command.command_id) {
        core.records.update(|page| page.repeated_commands += 1);
        return state.execute(command, limits);
    }
    let result = state.execute(command, limits);
    match &result {
        Err(Refusal::StaleToken { .. }) => core.records.update(|page| page.stale_commands += 1),
        Err(Refusal::OutOfMemory { .. }) => {
            core.records.update(|page| page.overcommit_attempts += 1);
        }
        Ok(Work::Load(_)) => {
            core.records
                .replica(&command.replica(), Change::LoadStarted);
            if state.used_mb() > limits.memory_mb {
                core.records.update(|page| page.overcommitted += 1);
            }
        }
        Ok(Work::Unloaded) => core.records.replica(&command.replica(), Change::Unloaded),
        Ok(Work::Nothing | Work::Adapter(_)) | Err(Refusal::NotLoaded) => {}
    }
    result
}

fn begin(core: &Arc<Core>, command: &Command, work: Work) {
    let core = core.clone();
    let replica = command.replica();
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

async fn completion(core: Arc<Core>, shape: Shape, mut call: Call) -> Response {
    let fault = core.faults.strike();
    match fault {
        Some(RequestFault::ResetBeforeRead) => return reset(&call).await,
        Some(RequestFault::ResetDuringRead) => {
            call.read_some().await;
            return reset(&call).await;
        }
        _ => {}
    }
    let head = Head::of(&call);
    let peer = call.peer.clone();
    let body = match call.read().await {
        Ok(body) => body,
        Err(response) => return head.echo.on(response),
    };
    let prompt = match Prompt::parse(shape, &body) {
        Ok(prompt) => prompt,
        Err(message) => return head.echo.on(Response::error(400, "bad_request", &message)),
    };
    let job = match admit(&core, &head, &prompt) {
        Ok(job) => job,
        Err(response) => return head.echo.on(response),
    };
    let reply = Reply {
        core,
        shape,
        model: prompt.target.written,
        echo: head.echo,
        peer,
        fault,
    };
    if prompt.stream {
        reply.stream(job).await
    } else {
        reply.whole(job).await
    }
}

async fn reset(call: &Call) -> Response {
    call.peer.reset();
    std::future::pending().await
}

/// What the headers of a call say.
struct Head {
    echo: Echo,
    idempotency_key: Option<String>,
    offset: u32,
    priority: u8,
}

impl Head {
    fn of(call: &Call) -> Head {
        let number = |name| call.header(name).and_then(|text| text.parse().ok());
        let priority = call.header("x-lovageplank-priority");
        Head {
            echo: Echo::of(call),
            idempotency_key: call.header("idempotency-key").map(str::to_owned),
            offset: number("x-resume-offset").unwrap_or(0),
            priority: priority
                .and_then(|text| text.parse().ok())
                .unwrap_or(DEFAULT_PRIORITY),
        }
    }
}

/// Makes a job of a call, or says why it can't run here.
fn admit(core: &Core, head: &Head, prompt: &Prompt) -> Result<Job, Response> {
    let target = &prompt.target;
    let keys = Keys {
        request_id: head.echo.request_id.clone(),
        idempotency_key: head.idempotency_key.clone(),
        text: Some(text::hash(
            &target.model,
            target.adapter.as_deref(),
            &prompt.text,
        )),
    };
    let refuse = |status, code, message: &str| {
        core.records.count(&keys, Count::Refused);
        Err(Response::error(status, code, message))
    };
    let state = core.state();
    if state.life == Life::Leaving {
        return refuse(503, "leaving", "the engine takes no new work");
    }
    let Some(((model, _), replica)) = state.find(&target.model, target.version.as_deref()) else {
        let message = format!("{} isn't loaded", target.written);
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
        prefix: text::prefix(model, &prompt.text),
        tokens: prompt.tokens,
        offset: head.offset,
        priority: head.priority,
        unloaded: replica.unloaded.clone(),
        work: replica.work.clone(),
    })
}
