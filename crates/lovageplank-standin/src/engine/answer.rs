//! Answers to completion calls, whole or streamed, and the faults that strike them.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::generate::{self, End, Event, Job};
use super::prompt::Shape;
use super::shared::Core;
use crate::fault::RequestFault;
use crate::http::{Call, Peer, Response};

/// Milliseconds that bytes get to leave before a connection is cut on purpose.
const FLUSH_MS: u64 = 10;

/// Server-sent events that may wait for the connection.
const BUFFER_EVENTS: usize = 4;

/// Headers of the call that the answer repeats.
#[derive(Clone, Debug)]
pub struct Echo {
    /// `X-Lovageplank-Request-Id`.
    pub request_id: Option<String>,
    /// `X-Lovageplank-Attempt`.
    pub attempt: Option<String>,
}

impl Echo {
    /// Reads them from a call.
    pub fn of(call: &Call) -> Echo {
        let text = |name| call.header(name).map(str::to_owned);
        Echo {
            request_id: text("x-lovageplank-request-id"),
            attempt: text("x-lovageplank-attempt"),
        }
    }

    /// Adds them to a response.
    pub fn on(&self, mut response: Response) -> Response {
        if let Some(id) = &self.request_id {
            response = response.header("x-lovageplank-request-id", id);
        }
        if let Some(attempt) = &self.attempt {
            response = response.header("x-lovageplank-attempt", attempt);
        }
        response
    }
}

/// All that an answer needs besides the run itself.
pub struct Reply {
    /// The engine.
    pub core: Arc<Core>,
    /// Which call it was.
    pub shape: Shape,
    /// The model as the caller wrote it.
    pub model: String,
    /// Headers to repeat.
    pub echo: Echo,
    /// The caller's connection.
    pub peer: Peer,
    /// What goes wrong.
    pub fault: Option<RequestFault>,
}

impl Reply {
    /// Runs a job and answers when it is whole.
    pub async fn whole(mut self, job: Job) -> Response {
        let job = self.prepare(job).await;
        let mut events = generate::start(self.core.clone(), job.clone());
        let mut text = String::new();
        let end = loop {
            match events.recv().await {
                Some(Event::Token(position)) => {
                    text.push_str(&generate::token(&job, position));
                    if self.strike_token(position + 1 - job.offset).await {
                        // No answer may leave while the connection closes.
                        std::future::pending::<()>().await;
                    }
                }
                Some(Event::Done) => break None,
                Some(Event::Ended(end)) => break Some(end),
                None => break Some(End::Cancelled),
            }
        };
        self.strike_answer().await;
        let response = match end {
            None => self.body(&job, &text),
            Some(end) => ended(end),
        };
        let response = self.echo.on(response);
        if self.fault == Some(RequestFault::HalfAnswer) {
            let peer = self.peer.clone();
            tokio::spawn(async move { cut(&peer).await });
            return response.halved();
        }
        response
    }

    /// Runs a job and passes each token on as it comes.
    pub async fn stream(mut self, job: Job) -> Response {
        let job = self.prepare(job).await;
        let events = generate::start(self.core.clone(), job.clone());
        if let Some(RequestFault::Late { .. } | RequestFault::Hang) = self.fault {
            self.strike_answer().await;
        }
        let (out, pieces) = mpsc::channel(BUFFER_EVENTS);
        let echo = self.echo.clone();
        tokio::spawn(self.forward(job, events, out));
        echo.on(Response::events(pieces))
    }

    /// Applies the faults that act before the run.
    async fn prepare(&mut self, mut job: Job) -> Job {
        match self.fault {
            Some(RequestFault::WrongAnswer) => job.hash = !job.hash,
            Some(RequestFault::RunTwice) => run_unheard(&self.core, job.clone()).await,
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

    async fn forward(self, job: Job, mut events: mpsc::Receiver<Event>, out: mpsc::Sender<Bytes>) {
        if self.strike_token(0).await {
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
            let piece = match event {
                Event::Token(position) => self.chunk(&job, position),
                Event::Done => {
                    self.strike_stream_end().await;
                    "data: [DONE]\n\n".to_owned()
                }
                Event::Ended(end) => error_event(end),
            };
            if out.send(Bytes::from(piece)).await.is_err() {
                return;
            }
            if let Event::Token(position) = event {
                let sent = position + 1 - job.offset;
                if self.strike_token(sent).await || self.strike_half(sent, &job).await {
                    return;
                }
            }
        }
    }

    /// Cuts or kills after so many tokens, if such a fault is set; returns whether it did.
    async fn strike_token(&self, sent: u32) -> bool {
        match self.fault {
            Some(RequestFault::CutAfter { tokens }) if tokens == sent => {
                cut(&self.peer).await;
                true
            }
            Some(RequestFault::DieAfter { tokens }) if tokens == sent => {
                flush().await;
                self.core.die();
                true
            }
            _ => false,
        }
    }

    /// Cuts after half of the tokens, if such a fault is set; returns whether it did.
    async fn strike_half(&self, sent: u32, job: &Job) -> bool {
        let half = (job.tokens - job.offset) / 2;
        let strikes = self.fault == Some(RequestFault::HalfAnswer) && sent == half;
        if strikes {
            cut(&self.peer).await;
        }
        strikes
    }

    async fn strike_stream_end(&self) {
        if self.fault == Some(RequestFault::ResetAfterRead) {
            self.strike_answer().await;
        }
    }

    /// Holds or breaks an answer whose run has ended.
    async fn strike_answer(&self) {
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

    fn body(&self, job: &Job, text: &str) -> Response {
        let tokens = job.tokens.saturating_sub(job.offset);
        let choice = match self.shape {
            Shape::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
            Shape::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
        };
        let object = match self.shape {
            Shape::Text => "text_completion",
            Shape::Chat => "chat.completion",
        };
        let mut body = self.envelope(object, &choice);
        body["usage"] = json!({"completion_tokens": tokens});
        Response::json(200, &body)
    }

    fn chunk(&self, job: &Job, position: u32) -> String {
        let text = generate::token(job, position);
        let finish = (position + 1 == job.tokens).then_some("length");
        let choice = match self.shape {
            Shape::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
            Shape::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
            }
        };
        let object = match self.shape {
            Shape::Text => "text_completion",
            Shape::Chat => "chat.completion.chunk",
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

fn ended(end: End) -> Response {
    let (code, message) = reason(end);
    Response::failure(503, code, message, false)
}

fn error_event(end: End) -> String {
    let (code, message) = reason(end);
    let error = json!({"error": {"code": code, "message": message, "not_run": false}});
    format!("data: {error}\n\n")
}

fn reason(end: End) -> (&'static str, &'static str) {
    match end {
        End::Cancelled => ("cancelled", "the request was cancelled"),
        End::Unloaded => ("unloaded", "the model was unloaded while the request ran"),
    }
}

/// Runs a job to its end with nobody listening; its records still count.
async fn run_unheard(core: &Arc<Core>, job: Job) {
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
