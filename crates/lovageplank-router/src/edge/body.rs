//! Reads bodies of requests within a deadline, a size limit and a memory limit for all bodies.

use crate::refusal::{Code, Refusal};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use lovageplank_core::prelude::Arc;
use lovageplank_process::body;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

/// Milliseconds from a request's head within which its body must arrive; a later body is refused
/// as too slow.
pub const BODY_READ_TIMEOUT_MS: u64 = 10_000;
/// Bytes of memory for one permit of the semaphore.
const PERMIT_BYTES: usize = 1 << 10;
/// Bytes of memory for all bodies in the process; a body beyond it is refused as overload.
const ALL_BODIES_MAX_BYTES: usize = 256 << 20;
/// Bytes of a refused body that are read and discarded, so that its sender gets the refusal rather
/// than a connection reset. A larger body may get the reset.
const DISCARD_MAX_BYTES: usize = 8 << 20;
/// Milliseconds for reading and discarding a refused body.
const DISCARD_TIMEOUT_MS: u64 = 1_000;

/// Reads bodies; the semaphore counts the memory that is free for them.
pub(super) struct BodyReader(Arc<Semaphore>);

impl Default for BodyReader {
    fn default() -> BodyReader {
        BodyReader(Arc::new(Semaphore::new(
            ALL_BODIES_MAX_BYTES / PERMIT_BYTES,
        )))
    }
}

impl BodyReader {
    /// Reads a complete body. The returned permit accounts for its memory and must be kept as long
    /// as the bytes.
    pub(super) async fn read(
        &self,
        mut body: Incoming,
        limit: u64,
        until: Instant,
    ) -> Result<(Bytes, OwnedSemaphorePermit), Refusal> {
        let read = self.read_within(&mut body, limit, until).await;
        if read.is_err() {
            discard(&mut body).await;
        }
        read
    }

    async fn read_within(
        &self,
        body: &mut Incoming,
        limit: u64,
        until: Instant,
    ) -> Result<(Bytes, OwnedSemaphorePermit), Refusal> {
        if body.size_hint().lower() > limit {
            return Err(too_large(limit));
        }
        let mut permit = self.reserve(1)?;
        let read = body::join(body, |length| {
            if length as u64 > limit {
                return Err(too_large(limit));
            }
            let needed_permits = length.div_ceil(PERMIT_BYTES);
            let missing_permits = needed_permits.saturating_sub(permit.num_permits());
            permit.merge(self.reserve(missing_permits)?);
            Ok(())
        });
        let read = timeout_at(until, read).await.map_err(|_| {
            let message = "the body did not arrive in time; send it at once";
            Refusal::new(Code::TooSlow, message)
        })?;
        let complete = read.map_err(|error| match error {
            body::Error::Refused(refusal) => refusal,
            body::Error::Broken(error) => {
                let message = format!("the body is broken: {error}");
                Refusal::new(Code::Malformed, message)
            }
        })?;
        Ok((complete, permit))
    }

    fn reserve(&self, permits: usize) -> Result<OwnedSemaphorePermit, Refusal> {
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        self.0.clone().try_acquire_many_owned(permits).map_err(|_| {
            let message = "this instance holds too many bodies; try another";
            Refusal::new(Code::Overloaded, message).retry_after_ms(1_000)
        })
    }
}

fn too_large(limit: u64) -> Refusal {
    let message = format!("the body is larger than {limit} bytes; send less");
    Refusal::new(Code::TooLarge, message)
}

async fn discard(body: &mut Incoming) {
    let until = Instant::now() + Duration::from_millis(DISCARD_TIMEOUT_MS);
    let mut left = DISCARD_MAX_BYTES;
    while let Ok(Some(Ok(frame))) = timeout_at(until, body.frame()).await {
        let len = frame.data_ref().map_or(0, Bytes::len);
        let Some(rest) = left.checked_sub(len) else {
            return;
        };
        left = rest;
    }
}
