//! One budget of bytes for everything that a process holds for others.
//!
//! A [`Share`] is what is held for one sender or reader. Its first part, as long as a small body, comes from a pool
//! of its own, so that large bodies don't keep small ones from being read. When a pool is short, whoever needs more
//! of it waits, which stops the reading of its connection. When that lasts, one share at a time is evicted: the one
//! that holds most for the longest time without progress, and if none is stalled, the youngest one that has waited for
//! a while.

use crate::clock;
use bytes::Bytes;
use lovageplank_core::prelude::*;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// Milliseconds without progress after which a share counts as stalled. A sender on a slow link has shorter gaps.
const STALLED_MS: Millis = 500;
/// Milliseconds for which a share waits for memory before a stalled one is evicted for it.
const PATIENCE_MS: u64 = 500;
/// Milliseconds for which a share waits before it may be evicted itself, so that bursts are served one after another.
const WAIT_MS: Millis = 3_000;
/// Milliseconds between two evictions for a pool that is still short.
const EVICTION_INTERVAL_MS: Millis = 50;
/// Bytes that each share beyond the small part takes besides its own: what its connection has received and the
/// process hasn't read while the share waits.
const SOCKET_BYTES: usize = 64 << 10;

/// What all senders together may take is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// The share was evicted, so that others can have its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evicted;

/// Sizes of a budget in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// For the large parts of all shares.
    pub large: usize,
    /// For the large parts of responses, besides `large`: requests that wait for their responses must not keep these
    /// from being read.
    pub responses: usize,
    /// For the small parts of all shares.
    pub small: usize,
    /// The small part of a share.
    pub each: usize,
}

/// Memory for bytes that are held for several senders and readers at once.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    sizes: Sizes,
    state: Mutex<State>,
    /// Notifies shares that wait.
    released: Notify,
}

/// Invariant: `large_bytes` and `small_bytes` are the sums over `holders`.
#[derive(Debug, Default)]
struct State {
    large_bytes: usize,
    small_bytes: usize,
    holders: BTreeMap<u64, Holder>,
    /// Shares that wait for a large part, the oldest first; it gets memory before the others.
    waiting: BTreeSet<u64>,
    next_id: u64,
    last_eviction_at: Millis,
}

/// What a share holds its bytes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// A body that is being received.
    Upload,
    /// A response that is being read from a server, or by the one who asked for it.
    Response,
    /// A request that may have been sent, which is never evicted.
    Request,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    used_for: Use,
    progress_at: Millis,
    /// Since when it waits for memory, if it does.
    waiting_since: Option<Millis>,
    is_evicted: bool,
    eviction: CancellationToken,
}

impl Budget {
    /// Returns a budget of this size in bytes; of each [`Share`], `small_bytes` aren't counted.
    pub fn new(bytes: usize, small_bytes: usize) -> Budget {
        Budget::with_sizes(Sizes {
            large: bytes,
            responses: 0,
            small: usize::MAX,
            each: small_bytes,
        })
    }

    /// Returns a budget of these sizes.
    pub fn with_sizes(sizes: Sizes) -> Budget {
        Budget(Arc::new(Inner {
            sizes,
            state: Mutex::default(),
            released: Notify::new(),
        }))
    }

    /// Returns an empty share for a response.
    pub fn share(&self) -> Share {
        self.share_for(Use::Response)
    }

    /// Returns an empty share.
    pub fn share_for(&self, used_for: Use) -> Share {
        let eviction = CancellationToken::new();
        let mut state = self.0.state();
        let id = state.next_id;
        state.next_id += 1;
        let holder = Holder {
            bytes: 0,
            used_for,
            progress_at: clock::boottime_ms(),
            waiting_since: None,
            is_evicted: false,
            eviction: eviction.clone(),
        };
        state.holders.insert(id, holder);
        drop(state);
        Share {
            budget: self.clone(),
            id,
            eviction,
        }
    }

    /// Bytes that are held.
    pub fn used_bytes(&self) -> usize {
        let state = self.0.state();
        state.large_bytes + state.small_bytes
    }

    /// Records the bytes that are held as a metric.
    #[expect(clippy::cast_precision_loss, reason = "a number of bytes in memory")]
    pub fn record(&self) {
        metrics::gauge!("lovageplank_held_bytes").set(self.used_bytes() as f64);
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The small and the large part of a share.
    fn parts(&self, bytes: usize) -> (usize, usize) {
        let small = bytes.min(self.sizes.each);
        let beyond = bytes - small;
        let socket_bytes = if beyond > 0 { SOCKET_BYTES } else { 0 };
        (small, beyond + socket_bytes)
    }

    /// Sets the bytes of a share if there is room, or if it shrinks.
    fn set(&self, id: u64, bytes: usize) -> Result<(), Full> {
        let mut state = self.state();
        let Some(holder) = state.holders.get(&id) else {
            return Err(Full);
        };
        let (small, large) = self.parts(holder.bytes);
        let (new_small, new_large) = self.parts(bytes);
        let other_small = state.small_bytes - small;
        let other_large = state.large_bytes - large;
        let large_room = match holder.used_for {
            Use::Response => self.sizes.large + self.sizes.responses,
            Use::Upload | Use::Request => self.sizes.large,
        };
        // One share alone may be larger than the budget: a single body within the limits is served.
        let fits_large = new_large <= large
            || other_large == 0
            || state.is_next(id, holder.used_for) && other_large + new_large <= large_room;
        let fits_small = new_small <= small
            || other_small.saturating_add(new_small) <= self.sizes.small
            || other_small == 0;
        if !(fits_large && fits_small) {
            return Err(Full);
        }
        state.small_bytes = other_small + new_small;
        state.large_bytes = other_large + new_large;
        let shrinks = new_small + new_large < small + large;
        if let Some(holder) = state.holders.get_mut(&id) {
            holder.bytes = bytes;
            holder.progress_at = clock::boottime_ms();
        }
        drop(state);
        if shrinks {
            self.released.notify_waiters();
        }
        Ok(())
    }

    fn set_waiting(&self, id: u64, is_waiting: bool, needs_large: bool) {
        let mut state = self.state();
        if let Some(holder) = state.holders.get_mut(&id) {
            holder.waiting_since = is_waiting.then(clock::boottime_ms);
        }
        if is_waiting && needs_large {
            state.waiting.insert(id);
        } else if state.waiting.remove(&id) {
            drop(state);
            self.released.notify_waiters();
        }
    }

    /// Evicts a share for one that needs a small or a large part, unless one was evicted a moment ago.
    fn evict_one(&self, needs_large: bool) {
        let least_bytes = if needs_large { self.sizes.each + 1 } else { 1 };
        let now = clock::boottime_ms();
        let mut state = self.state();
        if now < state.last_eviction_at + EVICTION_INTERVAL_MS {
            return;
        }
        let Some(id) = state.victim(now, least_bytes) else {
            return;
        };
        state.last_eviction_at = now;
        if let Some(holder) = state.holders.get_mut(&id) {
            holder.is_evicted = true;
            holder.eviction.cancel();
            let use_name = holder.used_for.name();
            metrics::counter!("lovageplank_held_evicted_total", "kind" => use_name).increment(1);
            let stalled_ms = holder.stalled_ms(now);
            tracing::info!(
                event = "held_evicted",
                kind = use_name,
                bytes = holder.bytes,
                stalled_ms
            );
        }
    }
}

impl State {
    /// Whether no older share waits for a large part. Responses don't wait behind uploads.
    fn is_next(&self, id: u64, used_for: Use) -> bool {
        let oldest = self.waiting.first();
        used_for == Use::Response || oldest.is_none_or(|oldest| id <= *oldest)
    }

    /// The share to evict, of those with so many bytes.
    fn victim(&self, now: Millis, least_bytes: usize) -> Option<u64> {
        let holders = self.holders.iter();
        let evictable = holders.filter(|(_, holder)| holder.is_evictable());
        let weight = |holder: &Holder| holder.stalled_ms(now) * holder.bytes as u64;
        let stalled = evictable
            .clone()
            .filter(|(_, h)| h.bytes >= least_bytes && h.stalled_ms(now) > STALLED_MS)
            .max_by_key(|(_, holder)| weight(holder));
        let mut waited = evictable.filter(|(_, holder)| holder.has_waited(now));
        // The request of a response has run already.
        let upload = waited
            .clone()
            .rfind(|(_, holder)| holder.used_for == Use::Upload);
        let youngest_waiting = upload.or_else(|| waited.next_back());
        stalled.or(youngest_waiting).map(|(id, _)| *id)
    }
}

impl Holder {
    fn is_evictable(&self) -> bool {
        !self.is_evicted && self.used_for != Use::Request
    }

    /// Whether it has waited long enough to be evicted for others that wait.
    fn has_waited(&self, now: Millis) -> bool {
        self.waiting_since.is_some_and(|at| now >= at + WAIT_MS)
    }

    /// Milliseconds since its sender or reader last did something that it could have done.
    fn stalled_ms(&self, now: Millis) -> Millis {
        if self.waiting_since.is_some() {
            return 0;
        }
        now.saturating_sub(self.progress_at)
    }
}

impl Use {
    /// Name in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Use::Upload => "upload",
            Use::Response => "response",
            Use::Request => "request",
        }
    }
}

/// The part of a [`Budget`] that one sender or reader takes; given back when it is dropped.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    id: u64,
    eviction: CancellationToken,
}

impl Share {
    /// Grows the share to this length in bytes; a share that is longer stays. Fails if the budget has no room
    /// for it, and changes nothing then.
    pub fn grow_to(&self, bytes: usize) -> Result<(), Full> {
        if bytes <= self.bytes() {
            return Ok(());
        }
        self.budget.0.set(self.id, bytes)
    }

    /// Grows the share like [`grow_to`](Share::grow_to), and waits for room. Fails if the share is evicted.
    pub async fn reserve(&self, bytes: usize) -> Result<(), Evicted> {
        self.wait_for(|| bytes).await
    }

    /// Grows the share by so many bytes, like [`reserve`](Share::reserve).
    pub async fn reserve_more(&self, bytes: usize) -> Result<(), Evicted> {
        // What was lent may come back meanwhile.
        self.wait_for(|| self.bytes() + bytes).await
    }

    async fn wait_for(&self, length: impl Fn() -> usize) -> Result<(), Evicted> {
        let inner = &self.budget.0;
        let needs_large = length() > inner.sizes.each;
        let patience = Duration::from_millis(PATIENCE_MS);
        let mut waiting = None;
        let mut evict_at = Instant::now() + patience;
        loop {
            let released = inner.released.notified();
            if self.eviction.is_cancelled() {
                return Err(Evicted);
            }
            if self.grow_to(length()).is_ok() {
                return Ok(());
            }
            waiting.get_or_insert_with(|| Waiting::new(self, needs_large));
            tokio::select! {
                () = self.eviction.cancelled() => return Err(Evicted),
                () = released => {}
                () = sleep_until(evict_at) => {
                    inner.evict_one(needs_large);
                    evict_at = Instant::now() + patience;
                }
            }
        }
    }

    /// Gives back what is beyond this length in bytes.
    pub fn shrink_to(&self, bytes: usize) {
        if bytes < self.bytes() {
            // Less always fits.
            let _ = self.budget.0.set(self.id, bytes);
        }
    }

    /// Gives back so many bytes.
    pub fn shrink_by(&self, bytes: usize) {
        self.shrink_to(self.bytes().saturating_sub(bytes));
    }

    /// Changes what the bytes are held for.
    pub fn use_for(&self, used_for: Use) {
        let mut state = self.budget.0.state();
        if let Some(holder) = state.holders.get_mut(&self.id) {
            holder.used_for = used_for;
        }
    }

    /// Records that the sender or reader has done something.
    pub fn touch(&self) {
        let mut state = self.budget.0.state();
        if let Some(holder) = state.holders.get_mut(&self.id) {
            holder.progress_at = clock::boottime_ms();
        }
    }

    /// Whether it waits for memory.
    pub fn is_waiting(&self) -> bool {
        let state = self.budget.0.state();
        let holder = state.holders.get(&self.id);
        holder.is_some_and(|holder| holder.waiting_since.is_some())
    }

    /// Cancelled when the share is evicted: what holds its bytes must end then.
    pub fn eviction(&self) -> &CancellationToken {
        &self.eviction
    }

    /// Bytes that were reserved.
    pub fn bytes(&self) -> usize {
        let state = self.budget.0.state();
        state.holders.get(&self.id).map_or(0, |h| h.bytes)
    }

    /// Returns bytes that are a part of this share, and are given back when they and all their clones are dropped.
    pub fn lend(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Loan {
            bytes,
            share: self.clone(),
        })
    }

    /// Returns bytes that keep this share until they and all their clones are dropped.
    pub fn keep_with(self: Arc<Self>, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Kept {
            bytes,
            _share: self,
        })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let inner = &self.budget.0;
        let mut state = inner.state();
        let Some(holder) = state.holders.remove(&self.id) else {
            return;
        };
        let (small, large) = inner.parts(holder.bytes);
        state.small_bytes -= small;
        state.large_bytes -= large;
        let has_waiting = state.waiting.remove(&self.id) || holder.bytes > 0;
        drop(state);
        if has_waiting {
            inner.released.notify_waiters();
        }
    }
}

/// Marks a share as waiting until it is dropped.
struct Waiting<'a>(&'a Share);

impl<'a> Waiting<'a> {
    fn new(share: &'a Share, needs_large: bool) -> Waiting<'a> {
        share.budget.0.set_waiting(share.id, true, needs_large);
        Waiting(share)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.budget.0.set_waiting(self.0.id, false, false);
    }
}

struct Loan {
    bytes: Bytes,
    share: Arc<Share>,
}

impl AsRef<[u8]> for Loan {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        self.share.shrink_by(self.bytes.len());
    }
}

struct Kept {
    bytes: Bytes,
    _share: Arc<Share>,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
