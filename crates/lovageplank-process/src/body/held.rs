//! A whole response whose bytes stay in a budget until its reader has taken them.

use super::budget::Share;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use lovageplank_core::prelude::*;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio_util::sync::CancellationToken;

/// Bytes that are passed on at a time, so that progress of the reader is seen.
const PIECE_BYTES: usize = 32 << 10;

/// Extension of a response: cancelled when the memory that it takes is needed for others. The connection must be
/// closed then.
#[derive(Clone, Debug)]
pub struct Eviction(pub CancellationToken);

/// Body of a response of which all bytes are known.
#[derive(Debug)]
pub struct Held {
    rest: Bytes,
    share: Arc<Share>,
}

impl Held {
    /// A body with the share that counts its bytes.
    pub fn new(bytes: Bytes, share: Share) -> Held {
        let share = Arc::new(share);
        Held {
            rest: share.clone().keep_with(bytes),
            share,
        }
    }

    /// Says when the response that has this body must end.
    pub fn eviction(&self) -> Eviction {
        Eviction(self.share.eviction().clone())
    }
}

impl Body for Held {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        self.share.touch();
        let length = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
