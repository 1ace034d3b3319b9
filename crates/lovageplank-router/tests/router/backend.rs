//! A backend server whose behaviour a script sets for each request.

use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the server does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Sends a complete answer.
    Answer,
    /// Sends a complete answer in chunks.
    AnswerChunked,
    /// Resets the connection without reading from it.
    ResetAtAccept,
    /// Resets the connection after the head of the request.
    ResetAtHead,
    /// Runs the request and resets the connection.
    ResetAfterRun,
    /// Runs the request and closes the connection.
    CloseAfterRun,
    /// Runs the request and never answers.
    Hang,
    /// Runs the request and answers after this many milliseconds.
    DelayedAnswer(u64),
    /// Runs the request, sends half of the body and closes the connection.
    HalfAnswer,
    /// As `HalfAnswer`, with chunks.
    HalfChunked,
    /// Runs the request and answers without length or chunks.
    Unframed,
    /// Runs the request and answers with the id of another request.
    ForeignId,
    /// Runs the request and answers with the number of another attempt.
    ForeignAttempt,
    /// Runs the request and sends bytes that aren't HTTP.
    Garbage,
    /// Refuses before running: the model isn't loaded.
    ModelNotLoaded,
    /// Refuses before running: the adapter isn't loaded.
    AdapterNotLoaded,
    /// Refuses before running: the server leaves.
    Leaving,
    /// As `Answer`, without ids.
    AnswerWithoutIds,
    /// As `Leaving`, without ids.
    LeavingWithoutIds,
    /// Runs the request and answers with status 500.
    Fail,
    /// Runs the request and answers with this number in the place of the status.
    Status(u16),
    /// Streams events up to a number, then the end event.
    Stream(u64),
    /// Streams events up to a number, then sends nothing more.
    StalledStream(u64),
    /// Streams events up to a number and half of the next one, then closes the connection.
    BrokenStream(u64),
    /// Streams events up to a number, then ends the body without the end event.
    StreamWithoutEnd(u64),
    /// Streams events up to a number, then an error event.
    ErrorStream(u64),
    /// Ignores the resume offset: streams from the start, with offset 0 in its answer.
    RestartStream(u64),
    /// As `RestartStream`, with events that differ from those before.
    RestartDifferentStream(u64),
}

/// Number of events in a complete stream.
pub const EVENTS: u64 = 6;

impl Behavior {
    /// Whether the server refuses the request instead of running it.
    fn refuses(self) -> bool {
        use Behavior::{AdapterNotLoaded, Leaving, LeavingWithoutIds, ModelNotLoaded};
        matches!(
            self,
            ModelNotLoaded | AdapterNotLoaded | Leaving | LeavingWithoutIds
        )
    }
}

/// What the server has received.
#[derive(Debug, Default)]
pub struct Observed {
    /// Number of connections that were accepted.
    pub connections: u32,
    /// Number of requests that ran.
    pub runs: u32,
    /// Heads of all requests that were read completely, in the order of their arrival.
    pub heads: Vec<String>,
    /// Ids of cancelled requests.
    pub cancels: Vec<String>,
}

/// A scripted server.
pub struct Backend {
    pub address: SocketAddr,
    pub observed: Arc<Mutex<Observed>>,
    /// Socket that keeps the address of an unreachable server from being used by another test.
    _bound: Option<socket2::Socket>,
}

impl Backend {
    /// Starts a server. After the end of the script it sends complete answers.
    pub fn start(script: &[Behavior]) -> Backend {
        Backend::start_with(script, false)
    }

    /// Starts a server that repeats its answer without ids, if it sent one on a connection, once the
    /// next request has arrived on it. That request then gets its own answer.
    pub fn repeating(script: &[Behavior]) -> Backend {
        Backend::start_with(script, true)
    }

    fn start_with(script: &[Behavior], repeats: bool) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let observed = Arc::new(Mutex::new(Observed::default()));
        let script = Arc::new(Mutex::new(VecDeque::from(script.to_vec())));
        let shared = observed.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, observed) = (script.clone(), shared.clone());
                observed.lock().unwrap().connections += 1;
                std::thread::spawn(move || serve(stream, &script, &observed, repeats));
            }
        });
        Backend {
            address,
            observed,
            _bound: None,
        }
    }

    /// A server whose address refuses connections.
    pub fn refusing() -> Backend {
        // The socket is bound and doesn't listen: connections are refused as long as it is open.
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Backend {
            address,
            observed: Arc::default(),
            _bound: Some(socket),
        }
    }

    pub fn runs(&self) -> u32 {
        self.observed.lock().unwrap().runs
    }

    /// Waits until a condition on what was received holds.
    pub fn wait(&self, what: &str, observed: impl Fn(&Observed) -> bool) {
        wait(what, || observed(&self.observed.lock().unwrap()));
    }
}

/// Waits until a condition holds; panics after 10 s, which allows for a busy machine.
pub fn wait(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("condition not met after 10 s: {what}");
}

type Script = Mutex<VecDeque<Behavior>>;

fn serve(mut stream: TcpStream, script: &Script, observed: &Mutex<Observed>, repeats: bool) {
    let at_accept = script.lock().unwrap().front() == Some(&Behavior::ResetAtAccept);
    if at_accept {
        script.lock().unwrap().pop_front();
        return reset(&stream);
    }
    let mut repeated: Option<(Behavior, String)> = None;
    while let Some(head) = read_head(&mut stream) {
        if let Some(path) = head.strip_prefix("POST /cancel/") {
            let id = path.split(' ').next().unwrap_or_default().to_owned();
            observed.lock().unwrap().cancels.push(id);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
            continue;
        }
        let behavior = script
            .lock()
            .unwrap()
            .pop_front()
            .unwrap_or(Behavior::Answer);
        if behavior == Behavior::ResetAtHead {
            return reset(&stream);
        }
        read_body(&mut stream, &head);
        observed.lock().unwrap().heads.push(head.clone());
        if let Some((earlier, head)) = repeated.take() {
            answer_without_ids(&mut stream, earlier, &head);
        }
        if repeats {
            repeated = Some((behavior, head.clone()));
        }
        if !respond(&mut stream, behavior, &head, observed) {
            return;
        }
    }
}

/// Responds to a request; returns whether the connection serves further requests.
fn respond(
    stream: &mut TcpStream,
    behavior: Behavior,
    head: &str,
    observed: &Mutex<Observed>,
) -> bool {
    if !behavior.refuses() {
        observed.lock().unwrap().runs += 1;
    }
    match behavior {
        Behavior::Answer => answer(stream, head, 200, "whole answer"),
        Behavior::AnswerChunked => {
            let chunks = "6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n";
            write(
                stream,
                &format!(
                    "{}transfer-encoding: chunked\r\n\r\n{chunks}",
                    ids(head, 200)
                ),
            )
        }
        Behavior::ModelNotLoaded => answer(stream, head, 404, &error("model_not_loaded")),
        Behavior::AdapterNotLoaded => answer(stream, head, 404, &error("adapter_not_loaded")),
        Behavior::Leaving => answer(stream, head, 503, &error("leaving")),
        Behavior::AnswerWithoutIds | Behavior::LeavingWithoutIds => {
            answer_without_ids(stream, behavior, head)
        }
        Behavior::Fail => answer(stream, head, 500, "broken"),
        Behavior::Status(status) => answer(stream, head, status, "broken"),
        Behavior::DelayedAnswer(ms) => {
            std::thread::sleep(Duration::from_millis(ms));
            answer(stream, head, 200, "whole answer")
        }
        Behavior::Hang => wait_closed(stream),
        Behavior::StalledStream(to) => {
            events(stream, head, 0, to, "", false);
            wait_closed(stream)
        }
        Behavior::HalfAnswer => {
            write(
                stream,
                &format!("{}content-length: 12\r\n\r\nwhole ", ids(head, 200)),
            );
            false
        }
        Behavior::HalfChunked => {
            let half = "transfer-encoding: chunked\r\n\r\n6\r\nwhole \r\n";
            write(stream, &format!("{}{half}", ids(head, 200)));
            false
        }
        Behavior::Unframed => {
            write(
                stream,
                &format!("{}connection: close\r\n\r\nwhole ", ids(head, 200)),
            );
            false
        }
        Behavior::ForeignId => {
            let head = head.replace("x-lovageplank-request-id: ", "x-lovageplank-request-id: no");
            answer(stream, &head, 200, "another's answer")
        }
        Behavior::ForeignAttempt => {
            let head = head.replace("x-lovageplank-attempt: ", "x-lovageplank-attempt: 7");
            answer(stream, &head, 200, "another's answer")
        }
        Behavior::Garbage => {
            write(stream, "no such protocol\r\n\r\n");
            false
        }
        Behavior::CloseAfterRun => false,
        Behavior::ResetAfterRun | Behavior::ResetAtAccept | Behavior::ResetAtHead => {
            reset(stream);
            false
        }
        Behavior::Stream(to) => events(stream, head, offset(head), to, "data: [DONE]\n\n", true),
        Behavior::BrokenStream(to) => events(stream, head, offset(head), to, "data: {\"to", false),
        Behavior::StreamWithoutEnd(to) => events(stream, head, offset(head), to, "", true),
        Behavior::ErrorStream(to) => {
            let error = "data: {\"error\":{\"code\":\"unloaded\"}}\n\n";
            events(stream, head, offset(head), to, error, true)
        }
        Behavior::RestartStream(to) => {
            events(stream, &restarted(head), 0, to, "data: [DONE]\n\n", true)
        }
        Behavior::RestartDifferentStream(to) => {
            let end = "data: [DONE]\n\n";
            events(stream, &restarted(head), 100, 100 + to, end, true)
        }
    }
}

/// Waits until the router closes the connection.
fn wait_closed(stream: &mut TcpStream) -> bool {
    let _ = stream.read(&mut [0]);
    false
}

/// Adds a mark to the head, for which the answer gives the resume offset 0.
fn restarted(head: &str) -> String {
    format!("{head}\r\nx-restarted: 0")
}

fn events(stream: &mut TcpStream, head: &str, from: u64, to: u64, end: &str, whole: bool) -> bool {
    let mut text = ids(head, 200);
    if head.contains("x-restarted") {
        text.push_str("x-resume-offset: 0\r\n");
    }
    text.push_str("content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
    write(stream, &text);
    for position in from..to {
        chunk(stream, &format!("data: {{\"token\":{position}}}\n\n"));
    }
    if !end.is_empty() {
        chunk(stream, end);
    }
    if whole {
        write(stream, "0\r\n\r\n");
    }
    whole
}

fn chunk(stream: &mut TcpStream, text: &str) {
    write(stream, &format!("{:x}\r\n{text}\r\n", text.len()));
}

fn answer(stream: &mut TcpStream, head: &str, status: u16, body: &str) -> bool {
    let framed = format!(
        "{}content-length: {}\r\n\r\n{body}",
        ids(head, status),
        body.len()
    );
    write(stream, &framed)
}

/// Sends the answer of a behaviour without ids; nothing for other ones.
fn answer_without_ids(stream: &mut TcpStream, behavior: Behavior, head: &str) -> bool {
    match behavior {
        Behavior::AnswerWithoutIds => answer(stream, "", 200, &path(head)),
        Behavior::LeavingWithoutIds => answer(stream, "", 503, &error("leaving")),
        _ => true,
    }
}

fn error(code: &str) -> String {
    format!(r#"{{"error":{{"code":"{code}","message":"no","not_run":true}}}}"#)
}

/// Status line, and the headers that repeat the ids of the request and the attempt.
fn ids(head: &str, status: u16) -> String {
    let mut lines = vec![format!("HTTP/1.1 {status:03} Status\r\n")];
    for name in ["x-lovageplank-request-id", "x-lovageplank-attempt"] {
        let value = header(head, name);
        lines.extend(value.map(|value| format!("{name}: {value}\r\n")));
    }
    lines.concat()
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let line = head
        .lines()
        .find(|line| line.starts_with(&format!("{name}: ")))?;
    Some(&line[name.len() + 2..])
}

fn path(head: &str) -> String {
    head.split(' ').nth(1).unwrap_or_default().to_owned()
}

fn offset(head: &str) -> u64 {
    header(head, "x-resume-offset").map_or(0, |text| text.parse().unwrap())
}

fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

/// Reads up to the empty line; `None` if the connection ends before.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8(head).unwrap())
}

fn read_body(stream: &mut TcpStream, head: &str) {
    let length = header(head, "content-length").map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0; length];
    let _ = stream.read_exact(&mut body);
}

/// Makes the kernel send RST rather than FIN when the stream is dropped.
fn reset(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}
