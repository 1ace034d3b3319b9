//! Stand-in for a backend server: an engine of `drafting` or a server of `site-desk`.

use crate::http::{self, Connection, Head};
use crate::record::{Record, unix_ms};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Events of a stream, and the time between two of them.
pub const EVENTS: u64 = 20;
const EVENT_MS: u64 = 40;
const HEARTBEAT_MS: u64 = 1_200;

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Ready,
    Draining,
    /// It isn't running.
    Ended,
}

pub struct Server {
    pub id: String,
    service: &'static str,
    zone: &'static str,
    pub address: SocketAddr,
    slots: u32,
    /// Nodes that serve control, in the order in which the server calls them.
    controls: Vec<SocketAddr>,
    /// The node that answered last, which it calls first.
    last_answered: AtomicUsize,
    /// The start of its incarnation, in Unix milliseconds.
    born: AtomicU64,
    number: AtomicU64,
    state: Mutex<State>,
    record: Arc<Record>,
    /// Whether new connections are taken.
    listens: AtomicBool,
    long_prompts: AtomicU64,
}

impl Server {
    pub fn start(
        id: &str,
        service: &'static str,
        address: SocketAddr,
        controls: Vec<SocketAddr>,
        record: Arc<Record>,
    ) -> Arc<Server> {
        let server = Arc::new(Server {
            id: id.to_owned(),
            service,
            zone: "amman-east",
            address,
            slots: if service == "drafting" { 64 } else { 6 },
            controls,
            last_answered: AtomicUsize::new(0),
            born: AtomicU64::new(unix_ms()),
            number: AtomicU64::new(0),
            state: Mutex::new(State::Ready),
            record,
            listens: AtomicBool::new(true),
            long_prompts: AtomicU64::new(0),
        });
        let accepting = server.clone();
        thread::spawn(move || accepting.accept());
        let beating = server.clone();
        thread::spawn(move || beating.beat());
        server
    }

    fn is_engine(&self) -> bool {
        self.service == "drafting"
    }

    fn accept(self: Arc<Self>) {
        loop {
            while !self.listens.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(2));
            }
            let Ok(listener) = TcpListener::bind(self.address) else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            listener.set_nonblocking(true).expect("a socket");
            while self.listens.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let server = self.clone();
                        thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        }
    }

    fn models(&self) -> &'static str {
        if self.is_engine() {
            "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\
             \"at-hand\":{\"in-memory\":[\"m\"],\"on-disk\":[\"m\"]},"
        } else {
            ""
        }
    }

    fn beat(&self) {
        loop {
            if self.state() != State::Ended {
                self.announce();
            }
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    }

    fn state(&self) -> State {
        *self.state.lock().expect("no panic while it is held")
    }

    fn set_state(&self, state: State) {
        *self.state.lock().expect("no panic while it is held") = state;
    }

    fn born(&self) -> u64 {
        self.born.load(Ordering::SeqCst)
    }

    /// Sends a heartbeat; whether a node has acknowledged it.
    pub fn announce(&self) -> bool {
        let number = self.number.fetch_add(1, Ordering::SeqCst) + 1;
        let (service, address, zone) = (self.service, self.address, self.zone);
        let (slots, models, born) = (self.slots, self.models(), self.born());
        let state = match self.state() {
            State::Ready => "ready",
            State::Draining | State::Ended => "draining",
        };
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"{state}\",\"cold-left-ms\":0,{models}\"sequence\":{number},\"born\":{born}}}"
        );
        self.call_controls("PUT", &body)
    }

    /// Calls one node after the other until one answers with 200 within a second.
    fn call_controls(&self, method: &str, body: &str) -> bool {
        let path = format!("/lovageplank/instances/{}", self.id);
        let first = self.last_answered.load(Ordering::SeqCst);
        for step in 0..self.controls.len() {
            let at = (first + step) % self.controls.len();
            let node = &self.controls[at];
            let wait = Duration::from_secs(1);
            let answer = http::call(*node, method, &path, body, wait);
            let status = answer.map_or(0, |(head, _)| head.status());
            let (id, state) = (&self.id, self.state());
            self.record.line(&format!(
                "server {id}: {method} ({state:?}) at {node}: {status} (0: no answer within a second)"
            ));
            if status == 200 {
                self.last_answered.store(at, Ordering::SeqCst);
                return true;
            }
        }
        false
    }

    /// Leaves as planned: reports that it drains, serves on for a while, says that it is gone, and ends.
    pub fn leave(&self, drain: Duration) {
        self.set_state(State::Draining);
        self.announce();
        thread::sleep(drain);
        self.set_state(State::Ended);
        self.call_controls("DELETE", "");
        self.listens.store(false, Ordering::SeqCst);
        self.record.line(&format!("server {}: has ended", self.id));
    }

    /// Starts again under its id, at its address.
    pub fn start_again(&self) {
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.number.store(0, Ordering::SeqCst);
        self.listens.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(50));
        self.set_state(State::Ready);
        let acknowledged = self.announce();
        let (id, born) = (&self.id, self.born());
        self.record.say(&format!(
            "server {id}: has started again (born {born}); its heartbeat is acknowledged: {acknowledged}"
        ));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.head() {
            let (_, end) = connection.body(&head);
            if end != http::BodyEnd::Complete || self.answer(&mut connection, &head).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, head: &Head) -> std::io::Result<()> {
        let path = head.path().to_owned();
        if path == "/lovageplank/report" {
            let (models, born) = (self.models(), self.born());
            let body = format!(
                "{{{models}\"busy\":false,\"sequence\":0,\"born\":{born},\"queue-depth\":0,\"in-flight\":0,\"kv-used\":0,\
                 \"kv-total\":166212,\"handles\":0}}"
            );
            return connection.write(&plain_answer(200, &[], body.as_bytes()));
        }
        if path == "/health" {
            let fields = [("Instance-Id", self.id.as_str())];
            return connection.write(&plain_answer(200, &fields, b"ok"));
        }
        if path == "/lovageplank/order" {
            return connection.write(&plain_answer(400, &[], b"no such order"));
        }
        let id = head.field("request-id").unwrap_or_default().to_owned();
        let misdirected = head.field("expect-instance").is_some_and(|e| e != self.id);
        if id.is_empty() || misdirected {
            let status = if id.is_empty() { 400 } else { 421 };
            let fields = [("Not-Run", "1"), ("Request-Id", id.as_str())];
            return connection.write(&plain_answer(status, &fields, b""));
        }
        self.run(connection, head, &path, &id)
    }

    fn run(
        &self,
        connection: &mut Connection,
        head: &Head,
        path: &str,
        id: &str,
    ) -> std::io::Result<()> {
        let server = &self.id;
        self.record
            .line(&format!("server {server}: runs {id} {path}"));
        let done = if path.starts_with("/archive/") {
            self.read_long_prompt(connection, head, id)
        } else if self.is_engine() {
            self.stream(connection, head, id)
        } else {
            thread::sleep(Duration::from_millis(15));
            let stamp = self.stamp(id);
            let fields = [("Request-Id", id), ("Response-Stamp", stamp.as_str())];
            connection.write(&plain_answer(200, &fields, &[b'x'; 800]))
        };
        let end = if done.is_ok() { "answered" } else { "dropped" };
        self.record
            .line(&format!("server {server}: {id} ends: {end}"));
        done
    }

    fn stamp(&self, id: &str) -> String {
        format!("{}.{id}", self.id)
    }

    /// A long prompt is prefilled in pieces between the tokens of other requests, behind other long ones: its first event
    /// would come after the deadline.
    fn read_long_prompt(
        &self,
        connection: &mut Connection,
        head: &Head,
        id: &str,
    ) -> std::io::Result<()> {
        self.long_prompts.fetch_add(1, Ordering::SeqCst);
        let deadline_ms = head.field("deadline-ms").and_then(|ms| ms.parse().ok());
        let until = Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(25_000));
        while Instant::now() < until {
            if connection.is_closed() {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            thread::sleep(Duration::from_millis(20));
        }
        let stamp = self.stamp(id);
        let fields = [("Request-Id", id), ("Response-Stamp", stamp.as_str())];
        connection.write(&plain_answer(504, &fields, b""))
    }

    /// Takes new connections or refuses them; open ones go on.
    pub fn listen(&self, listens: bool) {
        self.listens.store(listens, Ordering::SeqCst);
    }

    /// Long prompts that have arrived.
    pub fn long_prompts(&self) -> u64 {
        self.long_prompts.load(Ordering::SeqCst)
    }

    fn stream(&self, connection: &mut Connection, head: &Head, id: &str) -> std::io::Result<()> {
        let last = head.field("last-event-id").and_then(|id| id.parse().ok());
        let stamp = self.stamp(id);
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\nResponse-Stamp: {stamp}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(text.as_bytes())?;
        let events = events_asked_for(head.path());
        for event in last.unwrap_or(0) + 1..=events {
            thread::sleep(Duration::from_millis(EVENT_MS));
            if connection.is_closed() {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            connection.write(chunk.as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")
    }
}

/// The number of events in the query of a path, as `events=N`.
fn events_asked_for(path: &str) -> u64 {
    let events = path.split_once("events=").and_then(|(_, n)| n.parse().ok());
    events.unwrap_or(EVENTS)
}

fn plain_answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
