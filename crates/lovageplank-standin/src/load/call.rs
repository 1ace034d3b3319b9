//! One call as a caller makes it: find an entry, connect, send, read, check the answer.

use std::io::Read;
use std::time::{Duration, Instant};

use attohttpc::{ErrorKind, Method, Response};
use serde_json::{Value, json};

use super::entry::{Entries, Key};
use super::outcome::{Ending, Outcome};
use super::plan::{Planned, What};
use super::stream;
use super::{Choice, Config};
use crate::client;
use crate::engine::text;

/// Milliseconds before another try when no entry could be reached.
const UNREACHABLE_MS: u64 = 50;

/// Makes a call and returns what it came to.
pub fn make(config: &Config, entries: &Entries, planned: &Planned, start: Instant) -> Outcome {
    let due = start + Duration::from_micros(planned.at_us);
    let call = Call {
        config,
        entries,
        planned,
        due,
        deadline: due + Duration::from_millis(config.deadline_ms),
        give_up: due + Duration::from_millis(config.deadline_ms + config.slack_ms),
    };
    let mut outcome = blank(planned);
    let started = Instant::now();
    call.run(&mut outcome);
    outcome.late_us = micros(started.saturating_duration_since(due));
    outcome.took_us = micros(due.elapsed());
    outcome
}

/// An outcome of a call that wasn't started.
fn blank(planned: &Planned) -> Outcome {
    let (hash, key, stream) = match &planned.what {
        What::Model { hash, stream, .. } => (Some(*hash), None, *stream),
        What::Plain { key, .. } => (None, Some(key.clone()), false),
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

/// Returns a time in whole microseconds.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// A call and its times.
pub struct Call<'a> {
    config: &'a Config,
    entries: &'a Entries,
    planned: &'a Planned,
    /// When it was to start.
    pub due: Instant,
    deadline: Instant,
    give_up: Instant,
}

/// What one try came to.
enum Try {
    /// An answer of some sort, or none in time.
    Ended(Ending),
    /// A refusal that asks to come again after this time.
    Later(Ending, Duration),
    /// No connection came about, so that nothing was sent.
    Unreachable(String),
    /// The connection broke before any answer.
    Broken(String),
}

impl Call<'_> {
    /// Tries until something final comes or the time is up.
    fn run(&self, outcome: &mut Outcome) {
        let mut reason = "no instance named an entry".to_owned();
        let mut turn = match self.config.choice {
            Choice::Best => 0,
            Choice::Round => self.planned.number,
        };
        while Instant::now() < self.give_up {
            let addresses = self.entries.get(self.config, &self.key());
            if addresses.is_empty() {
                self.pause(Duration::from_millis(UNREACHABLE_MS));
                continue;
            }
            let address = &addresses[turn % addresses.len()];
            match self.attempt(address, outcome) {
                Try::Ended(ending) => {
                    outcome.ending = ending;
                    return;
                }
                Try::Later(ending, wait) => {
                    outcome.ending = ending;
                    if !self.config.retry || Instant::now() + wait >= self.deadline {
                        return;
                    }
                    outcome.retries += 1;
                    self.pause(wait);
                }
                Try::Unreachable(why) => {
                    reason = why;
                    self.unreachable(turn, addresses.len());
                    turn += 1;
                }
                Try::Broken(why) => {
                    if !self.config.resend || Instant::now() >= self.deadline {
                        outcome.ending = lost(&why);
                        return;
                    }
                    outcome.retries += 1;
                    turn += 1;
                }
            }
        }
        outcome.ending = lost(&reason);
    }

    /// Once no entry could be reached, asks for new ones a little later.
    fn unreachable(&self, turn: usize, addresses: usize) {
        if (turn + 1).is_multiple_of(addresses) {
            self.entries.forget(&self.key());
            self.pause(Duration::from_millis(UNREACHABLE_MS));
        }
    }

    fn pause(&self, time: Duration) {
        let left = self.give_up.saturating_duration_since(Instant::now());
        std::thread::sleep(time.min(left));
    }

    fn key(&self) -> Key {
        let (service, model) = match &self.planned.what {
            What::Model { service, model, .. } => (service.clone(), model.clone()),
            What::Plain { service, .. } => (service.clone(), String::new()),
        };
        Key {
            client: self.planned.client,
            service,
            model,
        }
    }

    fn attempt(&self, address: &str, outcome: &mut Outcome) -> Try {
        match self.send(address) {
            Ok(response) => self.read(response, outcome),
            Err(error) => match error.kind() {
                ErrorKind::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
                    Try::Unreachable(format!("{address}: {error}"))
                }
                _ if Instant::now() >= self.give_up => Try::Ended(lost("no answer in time")),
                _ => Try::Broken(format!("{address}: {error}")),
            },
        }
    }

    fn send(&self, address: &str) -> attohttpc::Result<Response> {
        let (path, service, body) = self.body();
        let now = Instant::now();
        let left = self.give_up.saturating_duration_since(now);
        let deadline = self.deadline.saturating_duration_since(now);
        let mut request = client::request(Method::POST, address, &path, left)?
            .header(
                "X-Lovageplank-Deadline-Ms",
                deadline.as_millis().to_string(),
            )
            .try_header("X-Lovageplank-Service", service)?;
        if let What::Plain { key, .. } = &self.planned.what {
            request = request.try_header("Idempotency-Key", key)?;
        }
        if self.config.own_ids {
            request = request.try_header("X-Lovageplank-Request-Id", self.own_id())?;
        }
        request.json(&body)?.send()
    }

    fn own_id(&self) -> String {
        let config = self.config;
        format!("{}-{}-{}", config.run, config.seed, self.planned.number)
    }

    /// Returns path, service and body.
    fn body(&self) -> (String, &str, Value) {
        match &self.planned.what {
            What::Model {
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
            What::Plain { service, path, key } => {
                let body = json!({"key": key});
                (format!("/svc/{service}/{path}"), service, body)
            }
        }
    }

    /// Reads an answer and checks that it is the whole answer to this call.
    fn read(&self, response: Response, outcome: &mut Outcome) -> Try {
        let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
        outcome.request_id = header("x-lovageplank-request-id");
        outcome.cold_ms = header("x-lovageplank-cold-ms").and_then(|text| text.parse().ok());
        let retry_after = header("retry-after").and_then(|text| text.parse().ok());
        let status = response.status().as_u16();
        if self.config.own_ids && outcome.request_id.as_ref() != Some(&self.own_id()) {
            let reason = format!("the answer's request id is {:?}", outcome.request_id);
            return Try::Ended(Ending::Crossed { reason });
        }
        if !response.is_success() {
            let ending = match whole(response) {
                Ok(body) => refusal(status, &body),
                Err(reason) => Ending::Cut { reason },
            };
            return match retry_after {
                Some(seconds) if status == 503 => Try::Later(ending, Duration::from_secs(seconds)),
                _ => Try::Ended(ending),
            };
        }
        let ending = match &self.planned.what {
            What::Model {
                hash,
                tokens,
                stream: true,
                ..
            } => stream::read(response, *hash, *tokens, self.due, outcome),
            What::Model { hash, tokens, .. } => {
                completion(response, &text::full_text(*hash, *tokens))
            }
            What::Plain { .. } => plain(response, &self.body().2),
        };
        Try::Ended(ending)
    }
}

/// Reads a body up to the length that its header promised.
fn whole(response: Response) -> Result<Vec<u8>, String> {
    let (_, headers, mut reader) = response.split();
    let promised = headers.get("content-length").and_then(|value| {
        let text = value.to_str().ok()?;
        text.parse::<usize>().ok()
    });
    let mut body = Vec::new();
    reader
        .read_to_end(&mut body)
        .map_err(|error| format!("the body broke off: {error}"))?;
    match promised {
        Some(length) if body.len() < length => {
            Err(format!("{} of {length} bytes came", body.len()))
        }
        _ => Ok(body),
    }
}

fn completion(response: Response, expected: &str) -> Ending {
    let body = match whole(response) {
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

fn plain(response: Response, sent: &Value) -> Ending {
    match whole(response) {
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

/// Makes an ending of an error body.
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
