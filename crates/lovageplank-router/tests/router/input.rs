//! Bad input: a clear refusal within a deadline, bounded memory, others served meanwhile.

use crate::backend::{Backend, wait};
use crate::client::{self, Answer};
use crate::control::{self, Bench};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A request, and the status and code that answer it.
struct Row {
    name: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    code: &'static str,
}

const fn row(
    name: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    code: &'static str,
) -> Row {
    Row {
        name,
        path,
        headers,
        body,
        status,
        code,
    }
}

const TEXT: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const FINE: &str = r#"{"model":"lime","prompt":"p"}"#;

#[rustfmt::skip] // One row a line.
const ROWS: &[Row] = &[
    row("fine", TEXT, &[], FINE, 200, ""),
    row("version that serves", TEXT, &[], r#"{"model":"lime@1","prompt":"p"}"#, 200, ""),
    row("chat", CHAT, &[], r#"{"model":"lime","messages":[{"role":"user","content":"p"}]}"#, 200, ""),
    row("tokens for a prompt", TEXT, &[], r#"{"model":"lime","prompt":[1,2]}"#, 200, ""),
    row("digits beyond any number", TEXT, &[("x-lovageplank-deadline-ms", "99999999999999999999")], FINE, 200, ""),
    row("no JSON", TEXT, &[], "{", 400, "malformed"),
    row("empty", TEXT, &[], "", 400, "malformed"),
    row("list", TEXT, &[], "[]", 400, "malformed"),
    row("deep nesting", TEXT, &[], concat!("{\"model\":\"lime\",\"prompt\":", "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["), 400, "malformed"),
    row("no model", TEXT, &[], r#"{"prompt":"p"}"#, 400, "malformed"),
    row("no prompt", TEXT, &[], r#"{"model":"lime"}"#, 400, "malformed"),
    row("no messages", CHAT, &[], FINE, 400, "malformed"),
    row("number for a model", TEXT, &[], r#"{"model":1,"prompt":"p"}"#, 400, "malformed"),
    row("text for stream", TEXT, &[], r#"{"model":"lime","prompt":"p","stream":"yes"}"#, 400, "malformed"),
    row("model twice", TEXT, &[], r#"{"model":"lime","model":"cold","prompt":"p"}"#, 400, "malformed"),
    row("empty adapter", TEXT, &[], r#"{"model":"lime:","prompt":"p"}"#, 400, "malformed"),
    row("unknown model", TEXT, &[], r#"{"model":"marl","prompt":"p"}"#, 404, "unknown_model"),
    row("unknown adapter", TEXT, &[], r#"{"model":"lime:dome","prompt":"p"}"#, 404, "unknown_model"),
    row("model of another service", TEXT, &[("x-lovageplank-service", "orders")], FINE, 404, "unknown_model"),
    row("model for a service", "/svc/drafting/x", &[], "", 404, "unknown_service"),
    row("unknown service", "/svc/none/x", &[], "", 404, "unknown_service"),
    row("unknown path", "/v2/completions", &[], "", 404, "unknown_path"),
    row("caller that may", TEXT, &[("x-lovageplank-caller", "office")], r#"{"model":"vips","prompt":"p"}"#, 200, ""),
    row("caller that may not", TEXT, &[("x-lovageplank-caller", "yard")], r#"{"model":"vips","prompt":"p"}"#, 403, "forbidden"),
    row("deadline in the past", TEXT, &[("x-lovageplank-deadline-ms", "0")], FINE, 503, "late"),
    row("negative deadline", TEXT, &[("x-lovageplank-deadline-ms", "-5")], FINE, 400, "malformed"),
    row("deadline in words", TEXT, &[("x-lovageplank-deadline-ms", "soon")], FINE, 400, "malformed"),
    row("two deadlines", TEXT, &[("x-lovageplank-deadline-ms", "5"), ("x-lovageplank-deadline-ms", "6")], FINE, 400, "malformed"),
    row("priority beyond 9", TEXT, &[("x-lovageplank-priority", "10")], FINE, 400, "malformed"),
    row("empty key", TEXT, &[("idempotency-key", "")], FINE, 400, "malformed"),
    row("announcement of nothing", "/v1/announce", &[], "{}", 400, "malformed"),
    row("report of nothing", "/v1/report", &[], "{}", 400, "malformed"),
];

#[test]
fn bad_requests_are_refused_clearly() {
    let engine = Backend::start(&[]);
    let bench = control::start(&[&engine]);
    let fine = ROWS.iter().filter(|row| row.status == 200).count();
    for row in ROWS {
        let answer = client::send(
            bench.router.address,
            "POST",
            row.path,
            row.headers,
            row.body,
        );
        let got = (answer.status, answer.code());
        assert_eq!(
            got,
            (row.status, row.code.to_owned()),
            "{}: {answer:?}",
            row.name
        );
        if row.status != 200 {
            assert_eq!(answer.error("not_run"), true, "{}", row.name);
        }
    }
    assert_eq!(engine.runs() as usize, fine);
}

fn raw(bench: &Bench, bytes: &[u8]) -> Answer {
    client::exchange(bench.router.address, bytes)
}

#[test]
fn broken_bytes_are_refused() {
    let engine = Backend::start(&[]);
    let bench = control::start(&[&engine]);
    let body = b"{\"model\":\"lime\",\"prompt\":\"\xff\xfe\"}";
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: r\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let answer = raw(&bench, &[head.as_bytes(), body].concat());
    assert_eq!((answer.status, answer.code().as_str()), (400, "malformed"));
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(1 << 20));
    assert!([400, 431].contains(&raw(&bench, long.as_bytes()).status));
    assert_eq!(raw(&bench, b"no HTTP at all\r\n\r\n").status, 400);
    assert_eq!(engine.runs(), 0);
}

#[test]
fn large_bodies_are_refused() {
    let service = Backend::start(&[]);
    let bench = control::start(&[&service]);
    let post = |path: &str, bytes: usize| {
        client::send(bench.router.address, "POST", path, &[], &"a".repeat(bytes))
    };
    // By the service's own limit, by the largest limit, and by more than is read.
    assert_eq!(post("/svc/sheets/x", 100_000).status, 200);
    assert_eq!(post("/svc/sheets/x", 100_001).code(), "too_large");
    assert_eq!(post("/svc/sheets/x", 4_000_001).code(), "too_large");
    assert_eq!(service.runs(), 1);
    let chunked = "POST /svc/sheets/x HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\
                   transfer-encoding: chunked\r\n\r\n";
    let chunk = format!("f4240\r\n{}\r\n", "a".repeat(1_000_000));
    let answer = raw(
        &bench,
        [chunked, &chunk.repeat(5), "0\r\n\r\n"].concat().as_bytes(),
    );
    assert_eq!((answer.status, answer.code().as_str()), (413, "too_large"));
    assert_eq!(service.runs(), 1);
}

#[test]
fn idle_and_slow_callers_hold_up_nobody() {
    let engine = Backend::start(&[]);
    let bench = control::start(&[&engine]);
    let address = bench.router.address;
    let idle: Vec<TcpStream> = (0..1_000)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let slow_body = "POST /v1/completions HTTP/1.1\r\nhost: r\r\ncontent-length: 100\r\n\r\n{";
    let slow: Vec<TcpStream> = ["GET /hea", slow_body]
        .iter()
        .cycle()
        .take(100)
        .map(|part| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(part.as_bytes()).unwrap();
            stream
        })
        .collect();
    for _ in 0..20 {
        assert_eq!(client::complete(address, "lime", &[], false).status, 200);
    }
    // All of them are closed in time; the slow bodies with a refusal.
    let closed = |stream: &TcpStream| {
        stream.set_nonblocking(true).unwrap();
        let mut stream = stream;
        let mut buffer = [0; 1_024];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) => return error.kind() != std::io::ErrorKind::WouldBlock,
            }
        }
    };
    std::thread::sleep(Duration::from_secs(9));
    for stream in idle.iter().chain(&slow) {
        wait("the router closes the connection", || closed(stream));
    }
}
