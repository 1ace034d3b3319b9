//! Just enough HTTP/1.1 for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response, with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lowercase, and values.
    pub headers: Vec<(String, String)>,
    /// The body, without the framing.
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| &**value)
    }

    /// The status of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or_default()
    }

    /// The path of a request, with its query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with a buffer for reading.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        Connection::new(stream)
    }

    /// Takes an accepted connection.
    pub fn new(stream: TcpStream) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        Ok(Connection {
            reader: BufReader::new(stream),
        })
    }

    /// Limits the time of each read; `None` waits without a limit.
    pub fn set_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        self.reader.get_ref().set_read_timeout(timeout)
    }

    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads a message with its body; `None` if the connection ends before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let is_chunked = message.header("transfer-encoding") == Some("chunked");
        let length = message.header("content-length").map(str::parse);
        if is_chunked {
            message.body = self.read_chunks()?;
        } else if let Some(length) = length {
            let length: usize = length.map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = vec![0; length];
            self.reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    fn read_head(&mut self) -> io::Result<Option<Message>> {
        let start = self.read_line()?;
        if start.is_empty() {
            return Ok(None);
        }
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let length = usize::from_str_radix(line.trim(), 16);
            let length = length.map_err(|_| io::ErrorKind::UnexpectedEof)?;
            let from = body.len();
            body.resize(from + length, 0);
            self.reader.read_exact(&mut body[from..])?;
            self.read_line()?;
            if length == 0 {
                return Ok(body);
            }
        }
    }

    /// A line without its end; empty at the end of the connection, too.
    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        line.truncate(line.trim_end_matches(['\r', '\n']).len());
        Ok(line)
    }
}

/// Sends a call with a JSON body on a connection of its own.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Message> {
    let timeout = Duration::from_secs(1);
    let mut connection = Connection::open(to, timeout)?;
    connection.set_timeout(Some(timeout))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    connection.write(head.as_bytes())?;
    connection.write(body.as_bytes())?;
    let answer = connection.read()?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
