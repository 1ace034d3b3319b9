//! The body of a response that a task sends piece by piece.
//!
//! The body is complete only if its sender says so. A sender that is dropped breaks it off, whatever the reason: an
//! error that ends the task early, a panic, a task that is aborted, a runtime that shuts down. What was sent before
//! still reaches the reader.

use bytes::Bytes;
use hyper::body::{Body, Frame};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// The reader has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// Sends the pieces of a body.
#[derive(Debug)]
pub struct Sender {
    pieces: mpsc::Sender<Bytes>,
    /// Set before `pieces` is dropped, if the body is complete.
    is_complete: Arc<AtomicBool>,
}

/// The body: the pieces as they come, and an error unless it was completed.
#[derive(Debug)]
pub struct Receiver {
    pieces: mpsc::Receiver<Bytes>,
    is_complete: Arc<AtomicBool>,
    /// Whether the end, or the error, was passed on.
    has_ended: bool,
}

/// Returns a body and what sends it; so many pieces may wait for the reader.
pub fn channel(pieces_max: usize) -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::channel(pieces_max);
    let is_complete = Arc::new(AtomicBool::new(false));
    let sender = Sender {
        pieces: sender,
        is_complete: is_complete.clone(),
    };
    let receiver = Receiver {
        pieces: receiver,
        is_complete,
        has_ended: false,
    };
    (sender, receiver)
}

impl Sender {
    /// Sends a piece, once there is room for it.
    pub async fn send(&self, piece: Bytes) -> Result<(), Closed> {
        self.pieces.send(piece).await.map_err(|_| Closed)
    }

    /// Waits until there is room for a piece.
    pub async fn ready(&self) -> Result<(), Closed> {
        let room = self.pieces.reserve().await;
        room.map(drop).map_err(|_| Closed)
    }

    /// Waits until the reader has gone.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }

    /// Whether the reader has gone.
    pub fn is_closed(&self) -> bool {
        self.pieces.is_closed()
    }

    /// Ends the body as a whole one. A sender that is dropped otherwise breaks it off.
    pub fn complete(self) {
        self.is_complete.store(true, Ordering::Release);
    }
}

impl Body for Receiver {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        if let Some(piece) = ready!(self.pieces.poll_recv(cx)) {
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        self.has_ended = true;
        if self.is_complete.load(Ordering::Acquire) {
            return Poll::Ready(None);
        }
        let error = io::Error::new(io::ErrorKind::UnexpectedEof, "the response breaks off");
        Poll::Ready(Some(Err(error)))
    }
}
