//! Clients: they send requests on connections that they keep, and read the whole answers.

use crate::http::Connection;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Longest time for which a connection is kept idle: four fifths of the configuration's limit.
const IDLE_MS: u64 = 12_000;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What a client sends.
#[derive(Clone, Debug)]
pub struct Request {
    pub path: &'static str,
    pub host: &'static str,
    pub model: &'static str,
    pub deadline_ms: u64,
    pub body: Arc<Vec<u8>>,
}

/// How a request ended at its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer with this status.
    Answered(u16),
    /// No connection could be opened.
    NoConnection,
    /// The connection ended without a whole answer.
    Cut,
    /// The deadline passed.
    Deadline,
}

/// One request, as its client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    /// Number of the entry that it was sent to.
    pub entry: usize,
    /// Whether the connection had carried another request before.
    pub is_on_kept: bool,
    pub end: End,
}

/// All clients.
pub struct Clients {
    fronts: Vec<SocketAddr>,
    /// Idle connections with the time since which they are, by the number of the entry.
    idle: Mutex<BTreeMap<usize, Vec<(Connection, u64)>>>,
    next: AtomicU64,
    pub sent: Mutex<Vec<Sent>>,
    record: Arc<Record>,
}

impl Clients {
    pub fn new(fronts: Vec<SocketAddr>, record: Arc<Record>) -> Arc<Clients> {
        Arc::new(Clients {
            fronts,
            idle: Mutex::default(),
            next: AtomicU64::new(1),
            sent: Mutex::default(),
            record,
        })
    }

    /// Sends a request in a thread of its own; entries are taken in turn.
    pub fn send(self: &Arc<Clients>, request: &Request) {
        let (clients, request) = (self.clone(), request.clone());
        let builder = thread::Builder::new().stack_size(256 << 10);
        let _ = builder.spawn(move || clients.run(&request));
    }

    /// Sends a request and returns how it ended.
    pub fn run(&self, request: &Request) -> End {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let entry = usize::try_from(number).unwrap_or_default() % self.fronts.len();
        self.record.line(format!(
            "client sends {id} to {}, {} bytes",
            self.fronts[entry],
            request.body.len()
        ));
        let kept = self.take(entry);
        let is_on_kept = kept.is_some();
        let end = self.exchange(kept, entry, &id, request);
        self.record.line(format!("client gets {id}: {end:?}"));
        self.sent.lock().expect("not poisoned").push(Sent {
            id,
            entry,
            is_on_kept,
            end: end.clone(),
        });
        end
    }

    fn exchange(&self, kept: Option<Connection>, entry: usize, id: &str, request: &Request) -> End {
        let opened = match kept {
            Some(connection) => Ok(connection),
            None => Connection::open(self.fronts[entry], CONNECT_TIMEOUT),
        };
        let Ok(mut connection) = opened else {
            return End::NoConnection;
        };
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nModel: {}\r\nToken-Count: 826,290\r\n\
             Prompt-Prefix: 5c1e07a2:198,{id}:628\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            request.path,
            request.host,
            request.model,
            request.deadline_ms,
            request.body.len()
        );
        let _ = connection.set_timeout(Some(Duration::from_millis(request.deadline_ms)));
        let written = connection
            .write(head.as_bytes())
            .and_then(|()| connection.write(&request.body));
        if written.is_err() {
            return End::Cut;
        }
        match connection.read() {
            Ok(Some(answer)) => {
                let stays = answer.header("connection") != Some("close");
                if stays {
                    self.keep(entry, connection);
                }
                End::Answered(answer.status())
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                End::Deadline
            }
            Ok(None) | Err(_) => End::Cut,
        }
    }

    fn take(&self, entry: usize) -> Option<Connection> {
        let now = self.record.now_ms();
        let mut idle = self.idle.lock().expect("not poisoned");
        let of_entry = idle.entry(entry).or_default();
        of_entry.retain(|(_, since)| now < since + IDLE_MS);
        of_entry.pop().map(|(connection, _)| connection)
    }

    fn keep(&self, entry: usize, connection: Connection) {
        let now = self.record.now_ms();
        let mut idle = self.idle.lock().expect("not poisoned");
        idle.entry(entry).or_default().push((connection, now));
    }
}
