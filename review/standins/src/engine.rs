//! A stand-in for an engine: it announces itself, reports, and answers requests with streams.

use crate::http::{self, Connection, Message};
use crate::record::Record;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The service of the engines, and the model that all of them hold.
pub const SERVICE: &str = "drafting";
pub const MODEL: &str = "m0";
const SLOTS: u32 = 64;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How an engine answers a request.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Events of each stream.
    pub events: u32,
    /// Time before each event.
    pub gap: Duration,
}

/// What became of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// It is being answered.
    Running,
    /// All of its answer was written.
    Complete,
    /// Its connection ended before that.
    Cut,
}

/// Runs by the id of the request, with the engine's name; oldest first.
pub type Runs = Arc<Mutex<Vec<(String, String, Run)>>>;

/// One engine.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: &'static str,
    born_ms: u64,
    pace: Pace,
    running: AtomicU32,
    runs: Runs,
    record: Arc<Record>,
}

impl Engine {
    /// Starts an engine that announces itself to the control processes in turn.
    pub fn start(
        number: usize,
        zone: &'static str,
        pace: Pace,
        controls: Vec<SocketAddr>,
        runs: Runs,
        record: Arc<Record>,
    ) -> io::Result<Arc<Engine>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let engine = Arc::new(Engine {
            id: format!("i-engine{number}"),
            address: listener.local_addr()?,
            zone,
            born_ms: unix_ms(),
            pace,
            running: AtomicU32::new(0),
            runs,
            record,
        });
        let announcing = engine.clone();
        thread::spawn(move || announcing.announce(&controls));
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                let builder = thread::Builder::new().stack_size(256 << 10);
                let _ = builder.spawn(move || engine.serve(stream));
            }
        });
        Ok(engine)
    }

    fn models(&self) -> String {
        format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}]")
    }

    fn announce(&self, controls: &[SocketAddr]) {
        let path = format!("/lovageplank/instances/{}", self.id);
        let mut node = 0;
        for sequence in 1_u64.. {
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
                 \"state\":\"ready\",\"cold-left-ms\":0,\"stage\":\"both\",\"models\":{},\"born\":{},\"sequence\":{sequence}}}",
                self.address,
                self.zone,
                self.models(),
                self.born_ms
            );
            for _ in controls {
                let to = controls[node % controls.len()];
                let answer = http::call(to, "PUT", &path, &body);
                if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                    break;
                }
                node += 1;
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut connection) = Connection::new(stream) else {
            return;
        };
        while let Ok(Some(request)) = connection.read() {
            let answered = match request.path() {
                "/lovageplank/report" => self.report(&mut connection),
                "/health" => self.health(&mut connection),
                path if path.starts_with("/lovageplank/") => {
                    answer(&mut connection, "400 Bad Request", "")
                }
                _ => self.run(&mut connection, &request),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn report(&self, connection: &mut Connection) -> io::Result<()> {
        let body = format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":false,\"sequence\":0,\"queue-depth\":0,\"in-flight\":{},\
             \"kv-used\":0,\"kv-total\":166212,\"handles\":0,\"born\":{}}}",
            self.models(),
            self.running.load(Ordering::Relaxed),
            self.born_ms
        );
        answer(
            connection,
            "200 OK\r\nContent-Type: application/json",
            &body,
        )
    }

    fn health(&self, connection: &mut Connection) -> io::Result<()> {
        answer(
            connection,
            &format!("200 OK\r\nInstance-Id: {}", self.id),
            "",
        )
    }

    fn run(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return answer(
                connection,
                &format!("421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Run: 1"),
                "",
            );
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let at = {
            let mut runs = self.runs.lock().expect("not poisoned");
            runs.push((id.clone(), self.id.clone(), Run::Running));
            runs.len() - 1
        };
        self.record.line(format!(
            "{} runs {id}, {} bytes",
            self.id,
            request.body.len()
        ));
        let written = self.write_stream(connection, &id);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let run = if written.is_ok() {
            Run::Complete
        } else {
            Run::Cut
        };
        self.runs.lock().expect("not poisoned")[at].2 = run;
        self.record.line(format!("{} ends {id}: {run:?}", self.id));
        written
    }

    fn write_stream(&self, connection: &mut Connection, id: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}.{id}.200\r\nContent-Type: text/event-stream\r\n\
             Weight-Versions: 1\r\nServer-Load: {},0,{SLOTS}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id,
            self.running.load(Ordering::Relaxed)
        );
        connection.write(head.as_bytes())?;
        for number in 1..=self.pace.events {
            thread::sleep(self.pace.gap);
            let event = event(id, number);
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")
    }
}

/// An event of the stream for a request, from 1.
pub fn event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: {id} piece {number}\n\n")
}

fn answer(connection: &mut Connection, status: &str, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write(head.as_bytes())
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or_default())
}
