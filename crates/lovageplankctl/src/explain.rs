//! The path of one request, joined from the logs of several processes.
//!
//! The timeline has all lines with the request's id and, between the first and the last of these,
//! the lines on events of the backend servers that the request was sent to. Text before a line's
//! `ts` field, such as the name that a log collector adds, is the line's source; without such text
//! the source is the file's name without its extension, or empty for standard input.

use eyre::{Result, WrapErr};
use serde_json::json;
use std::collections::BTreeSet;
use std::io::Read;
use std::path::PathBuf;

/// Events that concern a backend server rather than a request.
const SERVER_EVENTS: [&str; 8] = [
    "server_seen",
    "server_left",
    "server_leaving",
    "server_limit",
    "server_paused",
    "command",
    "command_answered",
    "command_unanswered",
];

/// One log line. Lines are ordered by time first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    ts: String,
    source: String,
    fields: Vec<(String, String)>,
}

impl Line {
    /// The value of the first field with this name.
    fn field(&self, name: &str) -> Option<&str> {
        let mut matching = self.fields.iter().filter(|(n, _)| n == name);
        matching.next().map(|(_, value)| value.as_str())
    }
}

/// The timeline of a request as text or JSON, or `None` if no line has its id.
///
/// Fails if a file or standard input can't be read.
pub fn run(id: &str, files: &[PathBuf], json: bool) -> Result<Option<String>> {
    let mut lines = Vec::new();
    for file in files {
        let bytes = std::fs::read(file).wrap_err_with(|| format!("read {}", file.display()))?;
        let source = file.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(parse(&source, &String::from_utf8_lossy(&bytes)));
    }
    if files.is_empty() {
        let mut bytes = Vec::new();
        std::io::stdin()
            .read_to_end(&mut bytes)
            .wrap_err("read standard input")?;
        lines.extend(parse("", &String::from_utf8_lossy(&bytes)));
    }
    let timeline = timeline(id, lines);
    if timeline.is_empty() {
        return Ok(None);
    }
    Ok(Some(if json {
        as_json(&timeline)
    } else {
        as_text(&timeline)
    }))
}

/// Parses log lines; lines without a `ts` field are skipped.
fn parse<'a>(source: &'a str, text: &'a str) -> impl Iterator<Item = Line> + 'a {
    text.lines().filter_map(move |line| {
        let start = line.find("ts=")?;
        let before = line[..start].trim();
        let source = if before.is_empty() { source } else { before };
        let mut fields = fields(&line[start..]);
        let at = fields.iter().position(|(name, _)| name == "ts")?;
        let (_, ts) = fields.remove(at);
        let source = source.to_owned();
        Some(Line { ts, source, fields })
    })
}

/// Splits a logfmt line into names and values; a value with spaces is quoted.
fn fields(line: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = line;
    while let Some((name, after)) = rest.split_once('=') {
        let (value, left) = value(after);
        fields.push((name.trim().to_owned(), value));
        rest = left;
    }
    fields
}

/// The unquoted value at the start of `text`, and the text after it.
fn value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return (value, &quoted[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, next)| next)),
            other => value.push(other),
        }
    }
    (value, "")
}

/// Selects the lines of a request and of its backend servers, sorted by time.
fn timeline(id: &str, mut lines: Vec<Line>) -> Vec<Line> {
    lines.sort();
    let concerns_request = |line: &Line| line.field("id") == Some(id);
    let request_lines = || lines.iter().filter(|line| concerns_request(line));
    let (Some(first), Some(last)) = (request_lines().next(), request_lines().next_back()) else {
        return Vec::new();
    };
    let servers: BTreeSet<&str> = request_lines()
        .filter_map(|line| line.field("server"))
        .collect();
    let concerns_server = |line: &Line| {
        let event = line.field("event").unwrap_or_default();
        // `server_seen` and `server_left` name the backend server in `id`.
        let server = line
            .field("server")
            .or(line.field("id"))
            .unwrap_or_default();
        let between = line.ts >= first.ts && line.ts <= last.ts;
        between && SERVER_EVENTS.contains(&event) && servers.contains(server)
    };
    let selected = lines
        .iter()
        .filter(|line| concerns_request(line) || concerns_server(line));
    selected.cloned().collect()
}

fn as_text(timeline: &[Line]) -> String {
    let lines = timeline.iter().map(|line| {
        let event = line.field("event").unwrap_or("?");
        let fields = line
            .fields
            .iter()
            .filter(|(n, _)| n != "event" && n != "level");
        let fields: Vec<String> = fields.map(|(n, v)| format!("{n}={v}")).collect();
        format!(
            "{}  {}  {event:<14} {}",
            line.ts,
            line.source,
            fields.join(" ")
        )
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn as_json(timeline: &[Line]) -> String {
    let lines = timeline.iter().map(|line| {
        let fields: serde_json::Map<_, _> = line
            .fields
            .iter()
            .map(|(n, v)| (n.clone(), json!(v)))
            .collect();
        json!({"ts": line.ts, "source": line.source, "fields": fields})
    });
    serde_json::Value::Array(lines.collect()).to_string()
}
