//! A caller's TCP connection whose end is noticed also behind bytes that nobody reads.
//!
//! The HTTP library looks for the end of a connection by reading it, and doesn't read while a request is
//! in progress and it still has bytes of the caller, for example of the caller's next request. The
//! readiness of the socket says that the caller has closed, whatever waits to be read.

use bytes::BufMut;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read at a time to be dropped.
const DROP_BYTES: usize = 16 << 10;

/// The bytes of a connection, for the HTTP library.
#[derive(Debug)]
pub struct Stream(Arc<TcpStream>);

/// Tells when the caller of a connection has left.
#[derive(Clone, Debug)]
pub struct Watch(Arc<TcpStream>);

/// Splits a connection into its bytes and what tells its end.
pub fn watch(stream: TcpStream) -> (Stream, Watch) {
    let stream = Arc::new(stream);
    (Stream(stream.clone()), Watch(stream))
}

impl Watch {
    /// Waits until the caller has closed the connection, or its sending side, or the connection is
    /// broken. Bytes that it has sent before may still wait to be read.
    pub async fn left(&self) {
        loop {
            // This interest is in urgent data, which isn't looked at, and in the end of the connection.
            match self.0.ready(Interest::PRIORITY).await {
                Ok(ready) if !ready.is_read_closed() => tokio::task::yield_now().await,
                Ok(_) | Err(_) => return,
            }
        }
    }
}

impl Watch {
    /// Has the connection reset when it is closed, unless [`Unframed::complete`] is called before.
    pub fn reset_on_close(&self) -> Unframed {
        set_linger(&self.0, Some(Duration::ZERO));
        Unframed(self.0.clone())
    }
}

/// A response without a length or chunks, which ends with its connection. If it breaks off, the connection is reset:
/// otherwise the caller would take what it has for the whole.
#[derive(Debug)]
pub struct Unframed(Arc<TcpStream>);

impl Unframed {
    /// Records that the response was sent to its end. What the kernel still holds of it is sent, too.
    pub fn complete(self) {
        set_linger(&self.0, None);
    }
}

fn set_linger(stream: &TcpStream, linger: Option<Duration>) {
    if let Err(error) = SockRef::from(stream).set_linger(linger) {
        tracing::debug!(event = "linger_failed", %error);
    }
}

impl Watch {
    /// Reads and drops what the caller still sends, until it has closed the connection or sent so many bytes.
    pub async fn drop_rest(&self, most_bytes: usize) {
        let mut buffer = vec![0; DROP_BYTES];
        let mut dropped = 0;
        while dropped < most_bytes && self.0.readable().await.is_ok() {
            match self.0.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(bytes) => dropped += bytes,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}

impl Stream {
    /// Repeats an operation until the socket is ready for it.
    fn poll_with<T>(
        &self,
        cx: &mut Context<'_>,
        poll_ready: fn(&TcpStream, &mut Context<'_>) -> Poll<io::Result<()>>,
        mut operation: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(poll_ready(&self.0, cx))?;
            match operation(&self.0) {
                // It is no longer ready, which is known by now.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !buffer.has_remaining_mut() {
            return Poll::Ready(Ok(()));
        }
        let read = self.poll_with(cx, TcpStream::poll_read_ready, |stream| {
            stream.try_read_buf(buffer)
        });
        read.map_ok(|_| ())
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, TcpStream::poll_write_ready, |stream| {
            stream.try_write(bytes)
        })
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, TcpStream::poll_write_ready, |stream| {
            stream.try_write_vectored(slices)
        })
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
