//! A caller that uses one raw HTTP/1.1 connection per request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An answer as received.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    /// A field of the body's `error`.
    pub fn error(&self, field: &str) -> serde_json::Value {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"][field].clone()
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = self
            .head
            .lines()
            .find(|l| l.starts_with(&format!("{name}: ")))?;
        Some(&line[name.len() + 2..])
    }

    pub fn code(&self) -> String {
        self.error("code").as_str().unwrap_or_default().to_owned()
    }
}

pub fn get(address: SocketAddr, path: &str) -> Answer {
    send(address, "GET", path, &[], "")
}

/// Posts a completion call for a model.
pub fn complete(
    address: SocketAddr,
    model: &str,
    headers: &[(&str, &str)],
    stream: bool,
) -> Answer {
    let body = format!(r#"{{"model":"{model}","prompt":"describe","stream":{stream}}}"#);
    send(address, "POST", "/v1/completions", headers, &body)
}

pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    exchange(address, request(method, path, headers, body).as_bytes())
}

pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut lines = vec![
        format!("{method} {path} HTTP/1.1"),
        "host: router".to_owned(),
        "connection: close".to_owned(),
    ];
    lines.extend(
        headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}")),
    );
    lines.push(format!("content-length: {}\r\n\r\n{body}", body.len()));
    lines.join("\r\n")
}

/// The text of a scripted stream's events up to a number.
pub fn events(to: u64) -> String {
    let event = |position| format!("data: {{\"token\":{position}}}\n\n");
    (0..to).map(event).collect::<Vec<_>>().concat()
}

/// Sends raw bytes and reads until the router closes the connection.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    // A router that refuses early may close the connection before all bytes are written.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    parse(&answer)
}

fn parse(bytes: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let head = head.to_ascii_lowercase();
    let body = if head.contains("transfer-encoding: chunked") {
        unchunk(body)
    } else {
        body.to_owned()
    };
    Answer { status, head, body }
}

fn unchunk(mut text: &str) -> String {
    let mut body = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        if size == 0 || rest.len() < size {
            body.push_str(if size == 0 { "" } else { rest });
            break;
        }
        body.push_str(&rest[..size]);
        text = rest[size..].trim_start_matches("\r\n");
    }
    body
}
