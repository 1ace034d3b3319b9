//! HTTP/1.1 on blocking sockets: what the stand-ins send and read.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response head.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut found = self
            .fields
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1);
        word.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection with what was received and not used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// How a body ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// By its length or its last chunk.
    Complete,
    /// The connection was closed or reset before.
    Cut,
    /// Nothing came for as long as the reader waits.
    Silent,
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        // Without it, small writes wait for each other.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, wait: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, wait)?;
        stream.set_read_timeout(Some(wait))?;
        Ok(Connection::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16_384];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn until(&mut self, mark: &[u8]) -> io::Result<Option<Vec<u8>>> {
        loop {
            let found = self.buffer.windows(mark.len()).position(|w| w == mark);
            if let Some(at) = found {
                let rest = self.buffer.split_off(at + mark.len());
                return Ok(Some(std::mem::replace(&mut self.buffer, rest)));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        let rest = self.buffer.split_off(count);
        Ok(Some(std::mem::replace(&mut self.buffer, rest)))
    }

    /// Reads a head; `None` if the connection was closed before.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let Some(bytes) = self.until(b"\r\n\r\n")? else {
            return Ok(None);
        };
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
        Ok(Some(Head {
            first_line,
            fields: fields.collect(),
        }))
    }

    /// Reads the body that follows a head, and says how it ended.
    pub fn body(&mut self, head: &Head) -> (Vec<u8>, BodyEnd) {
        let mut body = Vec::new();
        let end = self.read_body(head, &mut body);
        let end = match end {
            Ok(true) => BodyEnd::Complete,
            Ok(false) => BodyEnd::Cut,
            Err(error) if is_timeout(&error) => BodyEnd::Silent,
            Err(_) => BodyEnd::Cut,
        };
        (body, end)
    }

    fn read_body(&mut self, head: &Head, body: &mut Vec<u8>) -> io::Result<bool> {
        let chunked = head
            .field("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if !chunked {
            let length = head.field("content-length").and_then(|l| l.parse().ok());
            let Some(bytes) = self.exactly(length.unwrap_or(0))? else {
                return Ok(false);
            };
            body.extend_from_slice(&bytes);
            return Ok(true);
        }
        loop {
            let Some(line) = self.until(b"\r\n")? else {
                return Ok(false);
            };
            let line = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let Some(chunk) = self.exactly(size + 2)? else {
                return Ok(false);
            };
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(true);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other side has closed; bytes that arrive meanwhile are kept.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let read = self.fill();
        let _ = self.stream.set_nonblocking(false);
        match read {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => !is_timeout(&error),
        }
    }
}

/// Encodes a request with a body.
pub fn request(method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes a call on a connection of its own; the status, the head and the body, if an answer came whole in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> Option<(Head, Vec<u8>)> {
    let mut connection = Connection::open(address, wait).ok()?;
    let host = address.to_string();
    let fields = [
        ("Host", host.as_str()),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    ];
    let bytes = request(method, path, &fields, body.as_bytes());
    connection.write(&bytes).ok()?;
    let head = connection.head().ok()??;
    let (body, end) = connection.body(&head);
    (end == BodyEnd::Complete).then_some((head, body))
}
