//! One call as a caller makes it: look up a router, connect, send, read, check the answer.

use std::io::Read;
use std::time::{Duration, Instant};

use attohttpc::{ErrorKind, Method, Response};
use serde_json::{Value, json};

use super::lookup::{LookupKey, RouterCache};
use super::outcome::{Ending, Outcome};
use super::plan::{PlannedCall, Request};
use super::stream;
use super::{Config, RouterSelection};
use crate::client;
use crate::engine::text;

/// Backoff in milliseconds when a lookup returned no router, or when the last router of the list
/// refused the connection. Without it the driver would retry in a busy loop until the call is lost.
const UNREACHABLE_BACKOFF_MS: u64 = 50;

/// Makes a call and returns its outcome.
pub fn execute(
    config: &Config,
    routers: &RouterCache,
    planned: &PlannedCall,
    start: Instant,
) -> Outcome {
    let planned_start = start + Duration::from_micros(planned.at_us);
    let call = Call {
        config,
        routers,
        planned,
        planned_start,
        deadline: planned_start + Duration::from_millis(config.deadline_ms),
        lost_at: planned_start + Duration::from_millis(config.deadline_ms + config.slack_ms),
    };
    let mut outcome = not_started(planned);
    let started = Instant::now();
    call.run(&mut outcome);
    outcome.late_us = micros(started.saturating_duration_since(planned_start));
    outcome.took_us = micros(planned_start.elapsed());
    outcome
}

/// Returns the outcome of a call that was not started.
fn not_started(planned: &PlannedCall) -> Outcome {
    let (hash, key, stream) = match &planned.request {
        Request::Model { hash, stream, .. } => (Some(*hash), None, *stream),
        Request::Plain { key, .. } => (None, Some(key.clone()), false),
    };
    Outcome {
        number: planned.number,
        hash,
        key,
        stream,
        ending: lost("not started"),
        request_id: None,
        cold_ms: None,
        late_us: 0,
        took_us: 0,
        first_token_us: None,
        gaps_us: Vec::new(),
        retries: 0,
    }
}

/// Converts a duration to whole microseconds, saturating at the maximum.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// A call in progress.
pub struct Call<'a> {
    config: &'a Config,
    routers: &'a RouterCache,
    planned: &'a PlannedCall,
    /// The planned start, from which latencies are measured.
    pub planned_start: Instant,
    deadline: Instant,
    /// The deadline plus the slack; without an answer by then the call is lost.
    lost_at: Instant,
}

/// Result of one attempt.
enum Attempt {
    /// The call has ended, with or without an answer.
    Ended(Ending),
    /// A 503 with `Retry-After`: the ending if there is no retry, and the time to wait.
    RetryAfter(Ending, Duration),
    /// The connection was refused, so that nothing was sent.
    Unreachable(String),
    /// The request failed before any answer, possibly after it was sent.
    ConnectionBroken(String),
}

impl Call<'_> {
    /// Makes attempts until one ends the call or `lost_at` has passed.
    fn run(&self, outcome: &mut Outcome) {
        let mut reason = "no instance named an entry".to_owned();
        let mut position = match self.config.router_selection {
            RouterSelection::Best => 0,
            RouterSelection::RoundRobin => self.planned.number,
        };
        while Instant::now() < self.lost_at {
            let addresses = self.routers.get(self.config, &self.key());
            if addresses.is_empty() {
                self.sleep(Duration::from_millis(UNREACHABLE_BACKOFF_MS));
                continue;
            }
            let address = &addresses[position % addresses.len()];
            match self.attempt(address, outcome) {
                Attempt::Ended(ending) => {
                    outcome.ending = ending;
                    return;
                }
                Attempt::RetryAfter(ending, wait) => {
                    outcome.ending = ending;
                    if !self.config.retry || Instant::now() + wait >= self.deadline {
                        return;
                    }
                    outcome.retries += 1;
                    self.sleep(wait);
                }
                Attempt::Unreachable(error) => {
                    reason = error;
                    self.handle_unreachable(position, addresses.len());
                    position += 1;
                }
                Attempt::ConnectionBroken(error) => {
                    if !self.config.resend || Instant::now() >= self.deadline {
                        outcome.ending = lost(&error);
                        return;
                    }
                    outcome.retries += 1;
                    position += 1;
                }
            }
        }
        outcome.ending = lost(&reason);
    }

    /// If the unreachable router is the last of the list, drops the cached lookup and waits for the
    /// backoff.
    fn handle_unreachable(&self, position: usize, addresses: usize) {
        if (position + 1).is_multiple_of(addresses) {
            self.routers.invalidate(&self.key());
            self.sleep(Duration::from_millis(UNREACHABLE_BACKOFF_MS));
        }
    }

    fn sleep(&self, time: Duration) {
        let remaining = self.lost_at.saturating_duration_since(Instant::now());
        std::thread::sleep(time.min(remaining));
    }

    fn key(&self) -> LookupKey {
        let (service, model) = match &self.planned.request {
            Request::Model { service, model, .. } => (service.clone(), model.clone()),
            Request::Plain { service, .. } => (service.clone(), String::new()),
        };
        LookupKey {
            client: self.planned.client,
            service,
            model,
        }
    }

    fn attempt(&self, address: &str, outcome: &mut Outcome) -> Attempt {
        match self.send(address) {
            Ok(response) => self.read(response, outcome),
            Err(error) => match error.kind() {
                ErrorKind::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
                    Attempt::Unreachable(format!("{address}: {error}"))
                }
                _ if Instant::now() >= self.lost_at => Attempt::Ended(lost("no answer in time")),
                _ => Attempt::ConnectionBroken(format!("{address}: {error}")),
            },
        }
    }

    fn send(&self, address: &str) -> attohttpc::Result<Response> {
        let (path, service, body) = self.body();
        let now = Instant::now();
        let remaining = self.lost_at.saturating_duration_since(now);
        let deadline = self.deadline.saturating_duration_since(now);
        let mut request = client::request(Method::POST, address, &path, remaining)?
            .header(
                "X-Lovageplank-Deadline-Ms",
                deadline.as_millis().to_string(),
            )
            .try_header("X-Lovageplank-Service", service)?;
        if let Request::Plain { key, .. } = &self.planned.request {
            request = request.try_header("Idempotency-Key", key)?;
        }
        if self.config.send_request_ids {
            request = request.try_header("X-Lovageplank-Request-Id", self.request_id())?;
        }
        request.json(&body)?.send()
    }

    fn request_id(&self) -> String {
        let config = self.config;
        format!("{}-{}-{}", config.run, config.seed, self.planned.number)
    }

    /// Returns the path, the service and the body of the request.
    fn body(&self) -> (String, &str, Value) {
        match &self.planned.request {
            Request::Model {
                service,
                target,
                prompt,
                tokens,
                stream,
                ..
            } => {
                let body = json!({
                    "model": target,
                    "prompt": prompt,
                    "max_tokens": tokens,
                    "stream": stream,
                });
                ("/v1/completions".to_owned(), service, body)
            }
            Request::Plain { service, path, key } => {
                let body = json!({"key": key});
                (format!("/svc/{service}/{path}"), service, body)
            }
        }
    }

    /// Reads an answer and checks that it is complete and belongs to this call.
    fn read(&self, response: Response, outcome: &mut Outcome) -> Attempt {
        let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
        outcome.request_id = header("x-lovageplank-request-id");
        outcome.cold_ms = header("x-lovageplank-cold-ms").and_then(|text| text.parse().ok());
        let retry_after = header("retry-after").and_then(|text| text.parse().ok());
        let status = response.status().as_u16();
        if self.config.send_request_ids && outcome.request_id.as_ref() != Some(&self.request_id()) {
            let reason = format!("the answer's request id is {:?}", outcome.request_id);
            return Attempt::Ended(Ending::Crossed { reason });
        }
        if !response.is_success() {
            let ending = match read_body(response) {
                Ok(body) => refusal(status, &body),
                Err(reason) => Ending::Cut { reason },
            };
            return match retry_after {
                Some(seconds) if status == 503 => {
                    Attempt::RetryAfter(ending, Duration::from_secs(seconds))
                }
                _ => Attempt::Ended(ending),
            };
        }
        let ending = match &self.planned.request {
            Request::Model {
                hash,
                tokens,
                stream: true,
                ..
            } => stream::read(response, *hash, *tokens, self.planned_start, outcome),
            Request::Model { hash, tokens, .. } => {
                completion(response, &text::full_text(*hash, *tokens))
            }
            Request::Plain { .. } => plain_answer(response, &self.body().2),
        };
        Attempt::Ended(ending)
    }
}

/// Reads a body to its end; fails if it breaks off or is shorter than `Content-Length`.
fn read_body(response: Response) -> Result<Vec<u8>, String> {
    let (_, headers, mut reader) = response.split();
    let content_length = headers.get("content-length").and_then(|value| {
        let text = value.to_str().ok()?;
        text.parse::<usize>().ok()
    });
    let mut body = Vec::new();
    reader
        .read_to_end(&mut body)
        .map_err(|error| format!("the body broke off: {error}"))?;
    match content_length {
        Some(length) if body.len() < length => {
            Err(format!("{} of {length} bytes came", body.len()))
        }
        _ => Ok(body),
    }
}

fn completion(response: Response, expected: &str) -> Ending {
    let body = match read_body(response) {
        Ok(body) => body,
        Err(reason) => return Ending::Cut { reason },
    };
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    match answer["choices"][0]["text"].as_str() {
        Some(text) => compare(text, expected),
        None => Ending::Cut {
            reason: "the answer has no text".to_owned(),
        },
    }
}

fn plain_answer(response: Response, sent: &Value) -> Ending {
    match read_body(response) {
        Ok(body) => compare(&String::from_utf8_lossy(&body), &sent.to_string()),
        Err(reason) => Ending::Cut { reason },
    }
}

fn compare(text: &str, expected: &str) -> Ending {
    if text == expected {
        return Ending::Whole;
    }
    if expected.starts_with(text) {
        let reason = format!("{} of {} bytes came", text.len(), expected.len());
        return Ending::Cut { reason };
    }
    Ending::Crossed {
        reason: "the answer is that to another call".to_owned(),
    }
}

/// Returns the ending for an error answer with this body.
pub fn refusal(status: u16, body: &[u8]) -> Ending {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &answer["error"];
    Ending::Refused {
        status,
        code: error["code"].as_str().unwrap_or("unnamed").to_owned(),
        not_run: error["not_run"].as_bool().unwrap_or(false),
    }
}

fn lost(reason: &str) -> Ending {
    let reason = reason.to_owned();
    Ending::Lost { reason }
}
