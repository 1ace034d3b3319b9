//! Reads bodies of requests and responses into one piece, and bounds what they take together.
//!
//! A sender chooses the pieces of a body. Each piece that is kept as an object of its own costs many times its
//! length if it is one byte long, so pieces are joined when they arrive.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Why a body wasn't read to its end.
#[derive(Debug)]
pub enum Error<E> {
    /// The connection ended before the body, or its framing is broken.
    Broken(hyper::Error),
    /// The reader doesn't take a body of this length.
    Refused(E),
}

/// Bytes of a block in which a body is kept until its end. A buffer that grows as a whole takes up to three times as much
/// memory for a moment, also for a body that never ends.
const BLOCK_BYTES: usize = 64 << 10;

/// Reads a body to its end into one piece. `check` is called with each length before so much is kept; an error
/// stops the reading.
pub async fn join<E>(
    body: &mut Incoming,
    mut check: impl FnMut(usize) -> Result<(), E>,
) -> Result<Bytes, Error<E>> {
    let mut blocks = Blocks::default();
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(Error::Broken)?;
        let data = data.into_data().unwrap_or_default();
        check(blocks.bytes + data.len()).map_err(Error::Refused)?;
        blocks.push(&data);
    }
    Ok(blocks.joined())
}

/// The bytes of a body so far.
#[derive(Default)]
struct Blocks {
    full: Vec<Bytes>,
    last: BytesMut,
    /// Bytes of all blocks.
    bytes: usize,
}

impl Blocks {
    fn push(&mut self, data: &[u8]) {
        if !self.last.is_empty() && self.last.len() + data.len() > BLOCK_BYTES {
            self.full.push(std::mem::take(&mut self.last).freeze());
        }
        self.last.extend_from_slice(data);
        self.bytes += data.len();
    }

    fn joined(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut joined = BytesMut::with_capacity(self.bytes);
        for block in self.full {
            joined.extend_from_slice(&block);
        }
        joined.extend_from_slice(&self.last);
        joined.freeze()
    }
}

/// Memory for bytes that are being read from several senders at once.
///
/// A sender may send bytes without an end, and several may do so at once. Each may have a small part in any case,
/// so that large ones don't keep small ones from being read.
#[derive(Debug)]
pub struct Budget {
    free_bytes: AtomicUsize,
    small_bytes: usize,
}

/// What all senders together may take is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl Budget {
    /// Returns a budget of this size in bytes; of each [`Share`], `small_bytes` aren't counted.
    pub fn new(bytes: usize, small_bytes: usize) -> Budget {
        Budget {
            free_bytes: AtomicUsize::new(bytes),
            small_bytes,
        }
    }

    /// Returns an empty share.
    pub fn share(&self) -> Share<'_> {
        Share {
            budget: self,
            taken_bytes: 0,
        }
    }
}

/// The part of a [`Budget`] that one sender takes; given back when it is dropped.
#[derive(Debug)]
pub struct Share<'a> {
    budget: &'a Budget,
    taken_bytes: usize,
}

impl Share<'_> {
    /// Grows the share to this length in bytes; a share that is longer stays. Fails if the budget has no room
    /// for it, and changes nothing then.
    pub fn grow_to(&mut self, length: usize) -> Result<(), Full> {
        let counted = length.saturating_sub(self.budget.small_bytes);
        let more_bytes = counted.saturating_sub(self.taken_bytes);
        let take = |free: usize| free.checked_sub(more_bytes);
        let free = &self.budget.free_bytes;
        free.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .map_err(|_| Full)?;
        self.taken_bytes += more_bytes;
        Ok(())
    }

    /// Gives back what is beyond this length in bytes.
    pub fn shrink_to(&mut self, length: usize) {
        let counted = length.saturating_sub(self.budget.small_bytes);
        let fewer_bytes = self.taken_bytes.saturating_sub(counted);
        let free = &self.budget.free_bytes;
        free.fetch_add(fewer_bytes, Ordering::Relaxed);
        self.taken_bytes -= fewer_bytes;
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        let free = &self.budget.free_bytes;
        free.fetch_add(self.taken_bytes, Ordering::Relaxed);
    }
}
