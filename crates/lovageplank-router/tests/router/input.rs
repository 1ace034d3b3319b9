//! Invalid, large and slow input: it is refused in time, and other callers are served meanwhile.

use crate::backend::{Backend, wait};
use crate::client::{self, Answer};
use crate::control::{self, TestRouter};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A request, and the status and code of its answer.
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

const COMPLETIONS: &str = "/v1/completions";
const CHAT_COMPLETIONS: &str = "/v1/chat/completions";
const VALID: &str = r#"{"model":"lime","prompt":"p"}"#;

#[rustfmt::skip] // One row a line.
const ROWS: &[Row] = &[
    row("valid", COMPLETIONS, &[], VALID, 200, ""),
    row("version that is loaded", COMPLETIONS, &[], r#"{"model":"lime@1","prompt":"p"}"#, 200, ""),
    row("chat", CHAT_COMPLETIONS, &[], r#"{"model":"lime","messages":[{"role":"user","content":"p"}]}"#, 200, ""),
    row("tokens as prompt", COMPLETIONS, &[], r#"{"model":"lime","prompt":[1,2]}"#, 200, ""),
    row("deadline beyond 64 bits", COMPLETIONS, &[("x-lovageplank-deadline-ms", "99999999999999999999")], VALID, 200, ""),
    row("invalid JSON", COMPLETIONS, &[], "{", 400, "malformed"),
    row("empty body", COMPLETIONS, &[], "", 400, "malformed"),
    row("list as body", COMPLETIONS, &[], "[]", 400, "malformed"),
    row("deep nesting", COMPLETIONS, &[], concat!("{\"model\":\"lime\",\"prompt\":", "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["), 400, "malformed"),
    row("no model", COMPLETIONS, &[], r#"{"prompt":"p"}"#, 400, "malformed"),
    row("no prompt", COMPLETIONS, &[], r#"{"model":"lime"}"#, 400, "malformed"),
    row("no messages", CHAT_COMPLETIONS, &[], VALID, 400, "malformed"),
    row("number as model", COMPLETIONS, &[], r#"{"model":1,"prompt":"p"}"#, 400, "malformed"),
    row("text as stream", COMPLETIONS, &[], r#"{"model":"lime","prompt":"p","stream":"yes"}"#, 400, "malformed"),
    row("model twice", COMPLETIONS, &[], r#"{"model":"lime","model":"cold","prompt":"p"}"#, 400, "malformed"),
    row("empty adapter", COMPLETIONS, &[], r#"{"model":"lime:","prompt":"p"}"#, 400, "malformed"),
    row("unknown model", COMPLETIONS, &[], r#"{"model":"marl","prompt":"p"}"#, 404, "unknown_model"),
    row("unknown adapter", COMPLETIONS, &[], r#"{"model":"lime:dome","prompt":"p"}"#, 404, "unknown_model"),
    row("model of another service", COMPLETIONS, &[("x-lovageplank-service", "orders")], VALID, 404, "unknown_model"),
    row("engine service as plain service", "/svc/drafting/x", &[], "", 404, "unknown_service"),
    row("unknown service", "/svc/none/x", &[], "", 404, "unknown_service"),
    row("unknown path", "/v2/completions", &[], "", 404, "unknown_path"),
    row("allowed caller", COMPLETIONS, &[("x-lovageplank-caller", "office")], r#"{"model":"vips","prompt":"p"}"#, 200, ""),
    row("caller that is not allowed", COMPLETIONS, &[("x-lovageplank-caller", "yard")], r#"{"model":"vips","prompt":"p"}"#, 403, "forbidden"),
    row("deadline of 0 ms", COMPLETIONS, &[("x-lovageplank-deadline-ms", "0")], VALID, 503, "late"),
    row("negative deadline", COMPLETIONS, &[("x-lovageplank-deadline-ms", "-5")], VALID, 400, "malformed"),
    row("deadline that is no number", COMPLETIONS, &[("x-lovageplank-deadline-ms", "soon")], VALID, 400, "malformed"),
    row("two deadlines", COMPLETIONS, &[("x-lovageplank-deadline-ms", "5"), ("x-lovageplank-deadline-ms", "6")], VALID, 400, "malformed"),
    row("priority beyond 9", COMPLETIONS, &[("x-lovageplank-priority", "10")], VALID, 400, "malformed"),
    row("empty key", COMPLETIONS, &[("idempotency-key", "")], VALID, 400, "malformed"),
    row("empty announcement", "/v1/announce", &[], "{}", 400, "malformed"),
    row("empty report", "/v1/report", &[], "{}", 400, "malformed"),
];

#[test]
fn invalid_requests_are_refused_with_status_and_code() {
    let engine = Backend::start(&[]);
    let test = control::start(&[&engine]);
    let valid = ROWS.iter().filter(|row| row.status == 200).count();
    for row in ROWS {
        let answer = client::send(test.router.address, "POST", row.path, row.headers, row.body);
        let received = (answer.status, answer.code());
        assert_eq!(
            received,
            (row.status, row.code.to_owned()),
            "status and code of \"{}\": {answer:?}",
            row.name
        );
        if row.status != 200 {
            assert_eq!(answer.error("not_run"), true, "not_run of \"{}\"", row.name);
        }
    }
    assert_eq!(engine.runs() as usize, valid);
}

fn raw(test: &TestRouter, bytes: &[u8]) -> Answer {
    client::exchange(test.router.address, bytes)
}

#[test]
fn invalid_utf8_and_invalid_http_are_refused() {
    let engine = Backend::start(&[]);
    let test = control::start(&[&engine]);
    let body = b"{\"model\":\"lime\",\"prompt\":\"\xff\xfe\"}";
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: r\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let answer = raw(&test, &[head.as_bytes(), body].concat());
    assert_eq!((answer.status, answer.code().as_str()), (400, "malformed"));
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(1 << 20));
    assert!([400, 431].contains(&raw(&test, long.as_bytes()).status));
    assert_eq!(raw(&test, b"no HTTP at all\r\n\r\n").status, 400);
    assert_eq!(engine.runs(), 0, "requests run at `engine`");
}

#[test]
fn bodies_beyond_the_limit_are_refused() {
    let service = Backend::start(&[]);
    let test = control::start(&[&service]);
    let post = |path: &str, bytes: usize| {
        client::send(test.router.address, "POST", path, &[], &"a".repeat(bytes))
    };
    // At the service's limit, above it, and above the largest limit of all services.
    assert_eq!(post("/svc/sheets/x", 100_000).status, 200);
    assert_eq!(post("/svc/sheets/x", 100_001).code(), "too_large");
    assert_eq!(post("/svc/sheets/x", 4_000_001).code(), "too_large");
    assert_eq!(service.runs(), 1, "requests run at `service`");
    let chunked = "POST /svc/sheets/x HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\
                   transfer-encoding: chunked\r\n\r\n";
    let chunk = format!("f4240\r\n{}\r\n", "a".repeat(1_000_000));
    let answer = raw(
        &test,
        [chunked, &chunk.repeat(5), "0\r\n\r\n"].concat().as_bytes(),
    );
    assert_eq!((answer.status, answer.code().as_str()), (413, "too_large"));
    assert_eq!(service.runs(), 1, "requests run at `service`");
}

#[test]
fn idle_and_slow_callers_do_not_delay_others() {
    let engine = Backend::start(&[]);
    let test = control::start(&[&engine]);
    let address = test.router.address;
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
    // The router closes all of them in time; slow bodies after a refusal.
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
