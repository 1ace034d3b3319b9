//! Bounds the connections of a listener, and ends them in a way that lets callers read a refusal.

use crate::body::Eviction;
use crate::caller;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, Version};
use lovageplank_core::prelude::*;
use socket2::SockRef;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Size of a connection's receive buffer, which the kernel doubles. Without it, the kernel lets the buffer grow to
/// megabytes, which a process that stops reading holds for its caller.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// The same of its send buffer, for callers who don't read.
const SEND_BUFFER_BYTES: usize = 256 << 10;
/// Bytes that are read and dropped of a caller that still sends when it is refused. If bytes that weren't read
/// wait when a connection is closed, the kernel resets it, and the caller may lose the refusal.
const LINGER_BYTES: usize = 1 << 20;
/// Milliseconds for which they are read.
const LINGER_MS: u64 = 1_000;
/// Connections that linger at once; further ones are closed at once.
const LINGERING_MAX: usize = 64;

/// Extension of a response after which the connection is closed, since the request wasn't read to its end.
#[derive(Clone, Copy, Debug)]
pub struct Unread;

/// The open connections of a listener, up to a bound.
#[derive(Debug)]
pub struct Connections {
    most: usize,
    /// Whether a new connection beyond the bound ends the one that has been idle longest; otherwise it is refused.
    gives_way: bool,
    lingering: AtomicUsize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    open: usize,
    next_id: u64,
    /// Connections without a request in progress, by the order in which they became idle.
    idle: BTreeMap<u64, CancellationToken>,
}

impl Connections {
    /// Connections of which those beyond the bound are refused.
    pub fn refusing(most: usize) -> Arc<Connections> {
        Connections::new(most, false)
    }

    /// Connections of which the one that has been idle longest makes way for one beyond the bound. A connection
    /// whose request's head isn't complete counts as idle.
    pub fn giving_way(most: usize) -> Arc<Connections> {
        Connections::new(most, true)
    }

    fn new(most: usize, gives_way: bool) -> Arc<Connections> {
        Arc::new(Connections {
            most,
            gives_way,
            lingering: AtomicUsize::new(0),
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a new connection in; `None` if it must be closed.
    pub fn admit(self: &Arc<Self>, stream: &TcpStream) -> Option<Arc<Connection>> {
        let mut state = self.state();
        if state.open >= self.most {
            let longest_idle = state.idle.pop_first().filter(|_| self.gives_way);
            let outcome = longest_idle.as_ref().map_or("refused", |_| "gave_way");
            metrics::counter!("lovageplank_connections_refused_total", "outcome" => outcome)
                .increment(1);
            let (_, closing) = longest_idle?;
            closing.cancel();
        }
        state.open += 1;
        drop(state);
        if self.gives_way {
            bound_buffers(stream);
        }
        let connection = Arc::new(Connection {
            connections: self.clone(),
            closing: CancellationToken::new(),
            idle_since: Mutex::new(None),
            eviction: Mutex::new(CancellationToken::new()),
            is_unread: AtomicBool::new(false),
        });
        connection.set_idle(true);
        Some(connection)
    }
}

/// Bounds what the kernel holds for a connection.
fn bound_buffers(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let bounded = socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SEND_BUFFER_BYTES));
    if let Err(error) = bounded {
        tracing::debug!(event = "buffers_not_bounded", %error);
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    connections: Arc<Connections>,
    /// Cancelled when it makes way for another one.
    closing: CancellationToken,
    /// Its key in [`State::idle`].
    idle_since: Mutex<Option<u64>>,
    /// Cancelled when the memory of the current response is needed for others.
    eviction: Mutex<CancellationToken>,
    /// Whether its last request wasn't read to its end.
    is_unread: AtomicBool,
}

impl Connection {
    /// Begins a request, which lasts until the result is dropped.
    pub fn begin(self: &Arc<Self>) -> Busy {
        self.set_idle(false);
        Busy(self.clone())
    }

    /// Prepares the response to the current request.
    fn prepare<B>(&self, response: &mut Response<B>) {
        let extensions = response.extensions_mut();
        if let Some(Eviction(token)) = extensions.remove::<Eviction>() {
            *lock(&self.eviction) = token;
        }
        if extensions.remove::<Unread>().is_some() {
            self.is_unread.store(true, Ordering::Relaxed);
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }

    /// Waits until the connection must be closed for others. It has to be polled again after
    /// [`Busy::respond`].
    pub async fn ended(&self) {
        let mut token = lock(&self.eviction).clone();
        let mut cancelled = Box::pin(token.clone().cancelled_owned());
        let evicted = std::future::poll_fn(|cx| {
            let current = lock(&self.eviction).clone();
            if current != token {
                token = current;
                cancelled.set(token.clone().cancelled_owned());
            }
            cancelled.as_mut().poll(cx)
        });
        tokio::select! {
            () = self.closing.cancelled() => {}
            () = evicted => {}
        }
    }

    /// Lets the caller read the last response, if it may still be sending its request.
    pub async fn linger(&self, caller: &caller::Watch) {
        if !self.is_unread.load(Ordering::Relaxed) {
            return;
        }
        let lingering = &self.connections.lingering;
        if lingering.fetch_add(1, Ordering::Relaxed) < LINGERING_MAX {
            let drop_rest = caller.drop_rest(LINGER_BYTES);
            // The connection is closed in any case.
            let _ = tokio::time::timeout(Duration::from_millis(LINGER_MS), drop_rest).await;
        }
        lingering.fetch_sub(1, Ordering::Relaxed);
    }

    fn set_idle(&self, is_idle: bool) {
        let mut idle_since = lock(&self.idle_since);
        let mut state = self.connections.state();
        if let Some(id) = idle_since.take() {
            state.idle.remove(&id);
        }
        if is_idle {
            let id = state.next_id;
            state.next_id += 1;
            state.idle.insert(id, self.closing.clone());
            *idle_since = Some(id);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.set_idle(false);
        self.connections.state().open -= 1;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request in progress on a connection.
#[derive(Debug)]
pub struct Busy(Arc<Connection>);

impl Busy {
    /// Prepares the response to a request of this version of HTTP, on the connection of `caller`. The request is in
    /// progress until the body has ended.
    pub fn respond<B: Body>(
        self,
        version: Version,
        caller: &caller::Watch,
        mut response: Response<B>,
    ) -> Response<Sending<B>> {
        self.0.prepare(&mut response);
        // There are no chunks before HTTP/1.1.
        let is_unframed =
            version < Version::HTTP_11 && response.body().size_hint().exact().is_none();
        let unframed = is_unframed.then(|| caller.reset_on_close());
        response.map(|body| Sending {
            body,
            unframed,
            _busy: self,
        })
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.set_idle(true);
    }
}

/// Body of a response in progress.
#[derive(Debug)]
pub struct Sending<B> {
    body: B,
    /// Set until its end, if only the end of the connection shows that.
    unframed: Option<caller::Unframed>,
    _busy: Busy,
}

impl<B: Body<Data = Bytes> + Unpin> Body for Sending<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(None) = polled
            && let Some(unframed) = self.unframed.take()
        {
            unframed.complete();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
