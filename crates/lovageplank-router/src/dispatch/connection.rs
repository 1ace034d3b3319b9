//! One connection to a backend server.

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::fmt::Debug;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Milliseconds after which the kernel closes a connection whose peer doesn't acknowledge sent
/// data.
const PEER_TIMEOUT_MS: u64 = 3_000;
/// Seconds without data before the kernel sends a keep-alive probe, and between two probes.
const KEEPALIVE_INTERVAL_S: u64 = 1;
/// Buffer size in bytes of a connection, which limits the head of an answer.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// How connections are opened: the edge of the process towards the network.
pub trait Dial: Debug + Send + Sync + 'static {
    /// Opens a connection to `ip:port`.
    fn dial<'a>(
        &'a self,
        address: &'a str,
    ) -> Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send + 'a>>;
}

/// Opens connections over TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Dial for Tcp {
    fn dial<'a>(
        &'a self,
        address: &'a str,
    ) -> Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send + 'a>> {
        Box::pin(TcpStream::connect(address))
    }
}

/// A connection to a backend server; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    sent: Arc<AtomicU64>,
    /// Requests that were passed to `sender`.
    requests: u64,
}

impl Connection {
    /// Opens a connection to `ip:port`.
    pub async fn open(dial: &dyn Dial, address: &str) -> Result<Connection> {
        let stream = dial.dial(address).await.wrap_err("connect")?;
        stream.set_nodelay(true).wrap_err("set no delay")?;
        set_keepalive(&stream).wrap_err("set keep-alive")?;
        let sent = Arc::new(AtomicU64::new(0));
        let counting = CountingStream {
            stream,
            sent: sent.clone(),
        };
        let (sender, connection) = Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake(TokioIo::new(counting))
            .await
            .wrap_err("handshake")?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "backend_connection_ended", reason = %error);
            }
        });
        Ok(Connection {
            sender,
            driver,
            sent,
            requests: 0,
        })
    }

    /// Number of requests sent so far, including the current one.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Bytes that the kernel has accepted for sending.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::SeqCst)
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.requests += 1;
        self.sender.send_request(request).await
    }

    /// Whether another request may be sent: the last answer was read completely and the connection
    /// is open.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until another request may be sent; returns false if the connection is closed instead.
    pub async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Closes the connection and returns the final count of bytes that the kernel has accepted.
    pub async fn close(mut self) -> u64 {
        self.driver.abort();
        // Returns an error because the task was aborted.
        let _ = (&mut self.driver).await;
        self.sent()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Makes the kernel close connections whose peer is gone without closing them.
fn set_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_interval(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_retries(3);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(PEER_TIMEOUT_MS)))
}

/// A stream that counts the bytes that the kernel accepts for sending.
struct CountingStream {
    stream: TcpStream,
    sent: Arc<AtomicU64>,
}

impl CountingStream {
    fn count(&self, written: Poll<std::io::Result<usize>>) -> Poll<std::io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = written {
            self.sent.fetch_add(bytes as u64, Ordering::SeqCst);
        }
        written
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
