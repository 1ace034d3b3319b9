//! Reads a streamed answer event by event as it arrives.

use std::io::{BufRead, BufReader};
use std::time::Instant;

use attohttpc::Response;
use serde_json::Value;

use super::call::{micros, refusal};
use super::outcome::{Ending, Outcome};
use crate::engine::text;

/// Reads a stream until its end or the first error, and records the arrival times of its tokens.
pub fn read(
    response: Response,
    hash: u64,
    tokens: u32,
    planned_start: Instant,
    outcome: &mut Outcome,
) -> Ending {
    let (_, _, reader) = response.split();
    let mut position = 0;
    let mut last: Option<Instant> = None;
    for line in BufReader::new(reader).lines() {
        let line = match line {
            Ok(line) => line,
            Err(error) => return cut(position, tokens, &error.to_string()),
        };
        let Some(data) = line.strip_prefix("data:") else {
            continue;
        };
        match event(data.trim(), hash, position) {
            Event::Token => {
                let now = Instant::now();
                match last {
                    None => outcome.first_token_us = Some(micros(now - planned_start)),
                    Some(last) => outcome.gaps_us.push(micros(now - last)),
                }
                last = Some(now);
                position += 1;
            }
            Event::Done if position == tokens => return Ending::Whole,
            Event::Done => return cut(position, tokens, "[DONE] came early"),
            Event::End(ending) => return ending,
        }
    }
    cut(position, tokens, "the stream ended without [DONE]")
}

/// A parsed event of the stream.
enum Event {
    /// The token that is expected next.
    Token,
    /// The end marker `[DONE]`.
    Done,
    /// An error event or a wrong token, which ends the call.
    End(Ending),
}

fn event(data: &str, hash: u64, position: u32) -> Event {
    if data == "[DONE]" {
        return Event::Done;
    }
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    if value.get("error").is_some() {
        return Event::End(refusal(200, data.as_bytes()));
    }
    let expected = text::token(hash, position);
    match value["choices"][0]["text"].as_str() {
        Some(text) if text == expected => Event::Token,
        other => {
            let reason = format!("{other:?} came where {expected:?} was due");
            Event::End(Ending::Crossed { reason })
        }
    }
}

fn cut(position: u32, tokens: u32, why: &str) -> Ending {
    let reason = format!("{position} of {tokens} tokens came: {why}");
    Ending::Cut { reason }
}
