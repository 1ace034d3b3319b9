//! Reads bodies of requests and responses into one piece, and bounds what they take together.
//!
//! A sender chooses the pieces of a body. Each piece that is kept as an object of its own costs many times its
//! length if it is one byte long, so pieces are joined when they arrive.

pub mod budget;
pub mod channel;
mod held;

pub use budget::{Budget, Evicted, Full, Share, Sizes, Use};
pub use held::{Eviction, Held};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

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

/// Why a body wasn't read to its end within a share.
#[derive(Debug)]
pub enum ShareError {
    /// The connection ended before the body, or its framing is broken.
    Broken(hyper::Error),
    /// The body is longer than allowed.
    TooLarge,
    /// Its memory is needed for others.
    Evicted,
}

/// Reads a body to its end into one piece, which `share` counts as it grows. While the budget is short, the body
/// isn't read. One that announces more bytes than allowed isn't read at all.
pub async fn join_within(
    body: &mut Incoming,
    max_bytes: usize,
    share: &Share,
) -> Result<Bytes, ShareError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ShareError::TooLarge);
    }
    let mut blocks = Blocks::default();
    loop {
        let frame = tokio::select! {
            biased;
            () = share.eviction().cancelled() => return Err(ShareError::Evicted),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(blocks.joined());
        };
        let data = frame.map_err(ShareError::Broken)?;
        let data = data.into_data().unwrap_or_default();
        let bytes = blocks.bytes + data.len();
        if bytes > max_bytes {
            return Err(ShareError::TooLarge);
        }
        let reserved = share.reserve(bytes).await;
        reserved.map_err(|Evicted| ShareError::Evicted)?;
        blocks.push(&data);
    }
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
