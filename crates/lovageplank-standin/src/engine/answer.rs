//! Responses to completion requests, streamed or not, and the faults injected into them.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::generate::{self, AbortReason, Event, Job};
use super::prompt::Endpoint;
use super::shared::Core;
use crate::fault::RequestFault;
use crate::http::{Call, Peer, Response};

/// Delay in milliseconds before a fault cuts a connection, so that bytes already written are sent.
const FLUSH_MS: u64 = 10;

/// Server-sent events buffered for a connection; while the buffer is full, forwarding waits.
const BUFFER_EVENTS: usize = 4;

/// Request headers that the response repeats.
#[derive(Clone, Debug)]
pub struct EchoedHeaders {
    /// `X-Lovageplank-Request-Id`.
    pub request_id: Option<String>,
    /// `X-Lovageplank-Attempt`.
    pub attempt: Option<String>,
}

impl EchoedHeaders {
    /// Reads the headers from a request.
    pub fn from_call(call: &Call) -> EchoedHeaders {
        let text = |name| call.header(name).map(str::to_owned);
        EchoedHeaders {
            request_id: text("x-lovageplank-request-id"),
            attempt: text("x-lovageplank-attempt"),
        }
    }

    /// Adds the headers to a response.
    pub fn apply_to(&self, mut response: Response) -> Response {
        if let Some(id) = &self.request_id {
            response = response.header("x-lovageplank-request-id", id);
        }
        if let Some(attempt) = &self.attempt {
            response = response.header("x-lovageplank-attempt", attempt);
        }
        response
    }
}

/// Builds the response to one completion request and injects the request's fault.
pub struct Responder {
    /// The engine.
    pub core: Arc<Core>,
    /// The endpoint that received the request.
    pub endpoint: Endpoint,
    /// The `model` field of the request, unparsed.
    pub model: String,
    /// The headers that the response repeats.
    pub echo: EchoedHeaders,
    /// The caller's connection.
    pub peer: Peer,
    /// The fault to inject, if any.
    pub fault: Option<RequestFault>,
}

impl Responder {
    /// Runs a job and returns the whole answer when the run has ended.
    pub async fn respond(mut self, job: Job) -> Response {
        let job = self.apply_start_faults(job).await;
        let mut events = generate::start(self.core.clone(), job.clone());
        let mut text = String::new();
        let abort = loop {
            match events.recv().await {
                Some(Event::Token(position)) => {
                    text.push_str(&generate::token_text(&job, position));
                    if self.inject_token_fault(position + 1 - job.offset).await {
                        // The connection is being closed; never return a response for it.
                        std::future::pending::<()>().await;
                    }
                }
                Some(Event::Done) => break None,
                Some(Event::Aborted(abort)) => break Some(abort),
                None => break Some(AbortReason::Cancelled),
            }
        };
        self.inject_answer_fault().await;
        let response = match abort {
            None => self.completion_body(&job, &text),
            Some(abort) => aborted_response(abort),
        };
        let response = self.echo.apply_to(response);
        if self.fault == Some(RequestFault::HalfAnswer) {
            let peer = self.peer.clone();
            tokio::spawn(async move { cut(&peer).await });
            return response.truncated();
        }
        response
    }

    /// Runs a job and returns a response that streams each token when it is generated.
    pub async fn stream(mut self, job: Job) -> Response {
        let job = self.apply_start_faults(job).await;
        let events = generate::start(self.core.clone(), job.clone());
        if let Some(RequestFault::Late { .. } | RequestFault::Hang) = self.fault {
            self.inject_answer_fault().await;
        }
        let (out, chunks) = mpsc::channel(BUFFER_EVENTS);
        let echo = self.echo.clone();
        tokio::spawn(self.forward(job, events, out));
        echo.apply_to(Response::events(chunks))
    }

    /// Applies the faults that take effect before the run.
    async fn apply_start_faults(&mut self, mut job: Job) -> Job {
        match self.fault {
            Some(RequestFault::WrongAnswer) => job.hash = !job.hash,
            Some(RequestFault::RunTwice) => run_and_discard(&self.core, job.clone()).await,
            Some(RequestFault::WrongRequestId) => {
                self.echo.request_id = Some("id-of-another-request".to_owned());
            }
            Some(RequestFault::HalfAnswer) if job.tokens < 2 => {
                self.fault = Some(RequestFault::CutAfter { tokens: 0 });
            }
            _ => {}
        }
        job
    }

    /// Forwards the events of a run to the response stream, and injects faults between them.
    async fn forward(self, job: Job, mut events: mpsc::Receiver<Event>, out: mpsc::Sender<Bytes>) {
        if self.inject_token_fault(0).await {
            return;
        }
        loop {
            let event = tokio::select! {
                event = events.recv() => event,
                () = out.closed() => return,
            };
            let Some(event) = event else {
                return;
            };
            let chunk = match event {
                Event::Token(position) => self.chunk_event(&job, position),
                Event::Done => {
                    self.inject_stream_end_fault().await;
                    "data: [DONE]\n\n".to_owned()
                }
                Event::Aborted(abort) => error_event(abort),
            };
            if out.send(Bytes::from(chunk)).await.is_err() {
                return;
            }
            if let Event::Token(position) = event {
                let sent = position + 1 - job.offset;
                if self.inject_token_fault(sent).await
                    || self.inject_half_answer_fault(sent, &job).await
                {
                    return;
                }
            }
        }
    }

    /// Injects `CutAfter` or `DieAfter` if it is due after `sent` tokens; returns whether it did.
    async fn inject_token_fault(&self, sent: u32) -> bool {
        match self.fault {
            Some(RequestFault::CutAfter { tokens }) if tokens == sent => {
                cut(&self.peer).await;
                true
            }
            Some(RequestFault::DieAfter { tokens }) if tokens == sent => {
                flush().await;
                self.core.crash();
                true
            }
            _ => false,
        }
    }

    /// Injects `HalfAnswer` if `sent` is half of the answer's tokens; returns whether it did.
    async fn inject_half_answer_fault(&self, sent: u32, job: &Job) -> bool {
        let half = (job.tokens - job.offset) / 2;
        let injected = self.fault == Some(RequestFault::HalfAnswer) && sent == half;
        if injected {
            cut(&self.peer).await;
        }
        injected
    }

    /// Injects `ResetAfterRead` into a stream, before its `[DONE]` event.
    async fn inject_stream_end_fault(&self) {
        if self.fault == Some(RequestFault::ResetAfterRead) {
            self.inject_answer_fault().await;
        }
    }

    /// Injects a fault that delays the answer (`Late`), withholds it (`Hang`) or resets the
    /// connection instead (`ResetAfterRead`).
    async fn inject_answer_fault(&self) {
        match self.fault {
            Some(RequestFault::Hang) => std::future::pending::<()>().await,
            Some(RequestFault::Late { ms }) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
            Some(RequestFault::ResetAfterRead) => {
                self.peer.reset();
                std::future::pending::<()>().await;
            }
            _ => {}
        }
    }

    fn completion_body(&self, job: &Job, text: &str) -> Response {
        let tokens = job.tokens.saturating_sub(job.offset);
        let choice = match self.endpoint {
            Endpoint::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
            Endpoint::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
        };
        let object = match self.endpoint {
            Endpoint::Text => "text_completion",
            Endpoint::Chat => "chat.completion",
        };
        let mut body = self.envelope(object, &choice);
        body["usage"] = json!({"completion_tokens": tokens});
        Response::json(200, &body)
    }

    fn chunk_event(&self, job: &Job, position: u32) -> String {
        let text = generate::token_text(job, position);
        let finish = (position + 1 == job.tokens).then_some("length");
        let choice = match self.endpoint {
            Endpoint::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
            Endpoint::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
            }
        };
        let object = match self.endpoint {
            Endpoint::Text => "text_completion",
            Endpoint::Chat => "chat.completion.chunk",
        };
        format!("data: {}\n\n", self.envelope(object, &choice))
    }

    fn envelope(&self, object: &str, choice: &Value) -> Value {
        let id = self.echo.request_id.as_deref().unwrap_or("unnamed");
        json!({
            "id": format!("cmpl-{id}"),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
    }
}

fn aborted_response(abort: AbortReason) -> Response {
    let (code, message) = error_code_and_message(abort);
    Response::failure(503, code, message, false)
}

fn error_event(abort: AbortReason) -> String {
    let (code, message) = error_code_and_message(abort);
    let error = json!({"error": {"code": code, "message": message, "not_run": false}});
    format!("data: {error}\n\n")
}

fn error_code_and_message(abort: AbortReason) -> (&'static str, &'static str) {
    match abort {
        AbortReason::Cancelled => ("cancelled", "the request was cancelled"),
        AbortReason::Unloaded => ("unloaded", "the model was unloaded while the request ran"),
    }
}

/// Runs a job to its end and discards the tokens; the run is still counted in the records.
async fn run_and_discard(core: &Arc<Core>, job: Job) {
    let mut events = generate::start(core.clone(), job);
    while events.recv().await.is_some() {}
}

async fn cut(peer: &Peer) {
    flush().await;
    peer.cut();
}

async fn flush() {
    tokio::time::sleep(Duration::from_millis(FLUSH_MS)).await;
}
