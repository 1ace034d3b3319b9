//! Stand-in for clients.

use crate::http::{self, BodyEnd, Connection, Head};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    /// 0 if no head came.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub end: BodyEnd,
    pub took: Duration,
}

impl Seen {
    /// Numbers of the events that came whole.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let whole = text
            .split_inclusive("\n\n")
            .filter(|event| event.ends_with("\n\n"));
        let ids =
            whole.filter_map(|event| event.strip_prefix("id: ")?.lines().next()?.parse().ok());
        ids.collect()
    }

    pub fn text(&self) -> String {
        format!(
            "{}: status {}, {} events, {} bytes, end {:?}, after {} ms",
            self.id,
            self.status,
            self.events().len(),
            self.body.len(),
            self.end,
            self.took.as_millis()
        )
    }
}

/// A client with one connection, which it keeps.
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
    /// The longest time without a byte before it gives up.
    patience: Duration,
}

impl Client {
    pub fn new(address: SocketAddr, patience: Duration) -> Client {
        Client {
            address,
            connection: None,
            patience,
        }
    }

    /// Sends a request and reads its answer. A connection on which an answer was cut is given up.
    pub fn send(
        &mut self,
        id: &str,
        path: &str,
        more: &[(&str, &str)],
        deadline_ms: u64,
        body: &[u8],
    ) -> Seen {
        let began = Instant::now();
        let mut seen = Seen {
            id: id.to_owned(),
            status: 0,
            head: Head::default(),
            body: Vec::new(),
            end: BodyEnd::Cut,
            took: Duration::ZERO,
        };
        let connection = match self.connection.take() {
            Some(connection) => Some(connection),
            None => Connection::open(self.address, Duration::from_secs(1)).ok(),
        };
        let Some(mut connection) = connection else {
            return seen;
        };
        let _ = connection.stream.set_read_timeout(Some(self.patience));
        let deadline = deadline_ms.to_string();
        let mut fields = vec![
            ("Host", "a.example"),
            ("Request-Id", id),
            ("Deadline-Ms", deadline.as_str()),
        ];
        fields.extend(more);
        let method = if body.is_empty() { "GET" } else { "POST" };
        let bytes = http::request(method, path, &fields, body);
        if connection.write(&bytes).is_ok() {
            match connection.head() {
                Ok(Some(head)) => {
                    seen.status = head.status();
                    (seen.body, seen.end) = connection.body(&head);
                    let closes = head
                        .field("connection")
                        .is_some_and(|c| c.eq_ignore_ascii_case("close"));
                    if seen.end == BodyEnd::Complete && !closes {
                        self.connection = Some(connection);
                    }
                    seen.head = head;
                }
                Ok(None) => {}
                Err(error) => {
                    let waited = matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    );
                    if waited {
                        seen.end = BodyEnd::Silent;
                    }
                }
            }
        }
        seen.took = began.elapsed();
        seen
    }
}
