//! Which answer of an engine counts as that to a command, over the loopback interface.

use lovageplank_control::engine_client::{
    self, Body, CommandSend, EngineRequest, EngineResponse, Op,
};
use lovageplank_core::ledger::Outcome;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Answer to `GET /state`.
const STATE: &str = r#"{"id":"e1","incarnation":7,"address":"127.0.0.1:1","kind":"engine","failure_domain":"salt","services":[],"state":"ready"}"#;
/// Ids of the command in the tests, as lines of a head.
const IDS: &str = "x-lovageplank-request-id: 812\r\nx-lovageplank-attempt: 2\r\n";
const OTHER_COMMAND: &str = "x-lovageplank-request-id: 811\r\nx-lovageplank-attempt: 2\r\n";
const OTHER_SEND: &str = "x-lovageplank-request-id: 812\r\nx-lovageplank-attempt: 1\r\n";
const ONLY_COMMAND: &str = "x-lovageplank-request-id: 812\r\n";

fn response(status: u16, ids: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\n{ids}content-length: {length}\r\n\r\n{body}")
}

/// Reads a request with its body; returns its first line.
fn read_request(reader: &mut BufReader<TcpStream>) -> String {
    let mut first = String::new();
    reader.read_line(&mut first).expect("a request");
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a head");
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.trim().parse().expect("a length");
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    first
}

/// Serves one connection: answers `GET /state`, and sends these bytes once the command has arrived.
fn engine(answers_to_command: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port 0 is free");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        assert!(read_request(&mut reader).starts_with("GET /state "));
        stream
            .write_all(response(200, "", STATE).as_bytes())
            .expect("written");
        assert!(read_request(&mut reader).starts_with("POST /commands "));
        stream
            .write_all(answers_to_command.as_bytes())
            .expect("written");
        let _closed = reader.read(&mut [0]);
    });
    address
}

/// Sends a command to an engine that sends these bytes after it; returns the outcome.
fn outcome(answers_to_command: String) -> Option<Outcome> {
    let address = engine(answers_to_command);
    let (responses, received) = flume::unbounded();
    let requests = engine_client::start(responses).expect("started");
    let command = CommandSend {
        send_number: 2,
        engine: "e1".into(),
        incarnation: 7,
        address: address.to_string().into(),
        body: Body {
            command_id: "812".into(),
            fencing_token: 812,
            op: Op::Load,
            model: "lime".into(),
            version: "1".into(),
            adapter: None,
            memory_mb: 10,
        },
    };
    requests
        .send(EngineRequest::Send(command))
        .expect("the client runs");
    let response = received
        .recv_timeout(Duration::from_secs(10))
        .expect("a result");
    match response {
        EngineResponse::Sent { outcome, .. } => outcome,
        EngineResponse::Report { .. } => panic!("a report: {response:?}"),
    }
}

#[test]
fn an_answer_with_the_ids_of_the_command_gives_its_outcome() {
    let leaving = r#"{"error":{"code":"leaving"}}"#;
    let rows = [
        (202, "{}", Some(Outcome::Accepted)),
        (409, "{}", Some(Outcome::Rejected)),
        (503, leaving, Some(Outcome::Rejected)),
        (500, "{}", None),
    ];
    for (status, body, expected) in rows {
        assert_eq!(outcome(response(status, IDS, body)), expected, "{status}");
    }
}

/// Guards against a command that counted as accepted although the engine refused it: the engine
/// repeated its answer to `GET /state`, with status 200, on the same connection.
#[test]
fn a_repeated_answer_to_get_state_does_not_accept_a_command() {
    let answers = response(200, "", STATE) + &response(409, IDS, "{}");
    assert_eq!(outcome(answers), None);
}

/// Guards against a command that counted as refused although it was accepted.
#[test]
fn an_answer_to_another_command_or_send_gives_no_outcome() {
    for ids in ["", OTHER_COMMAND, OTHER_SEND, ONLY_COMMAND] {
        let answers = response(409, ids, "{}") + &response(202, IDS, "{}");
        assert_eq!(outcome(answers), None, "{ids:?}");
    }
}
