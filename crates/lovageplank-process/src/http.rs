//! An HTTP/1.1 listener with timeouts and limits.
//!
//! It uses `hyper` rather than `tiny_http` or `rouille`, which set no read timeouts, need a thread
//! for each connection and don't notice when a caller disconnects. Here a request's head must
//! arrive within [`Limits::head_ms`] and its body within [`Limits::body_ms`], the number of
//! connections is bounded, and a handler's future is dropped when its caller disconnects.

use crate::body::{self, Held, Share, Use};
use crate::caller;
use crate::connections::{Connection, Connections, Unread};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Body of a response, in one piece or streamed; an error breaks the response off.
pub type Body = BoxBody<Bytes, io::Error>;

/// Milliseconds to wait after a failed accept, so that a lasting error doesn't cause a busy loop.
const ACCEPT_BACKOFF_MS: u64 = 50;

/// Seconds after which a caller may send a call again that was refused as overload.
const OVERLOADED_RETRY_AFTER_S: &str = "1";

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most connections at once; further ones are closed.
    pub connections: usize,
    /// Milliseconds within which a request's head must arrive. Also bounds how long a connection
    /// may be idle.
    pub head_ms: u64,
    /// Milliseconds within which a request's body must arrive.
    pub body_ms: u64,
    /// Most bytes of a request's head; at least 8 KiB are allowed.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4_096,
            head_ms: 10_000,
            body_ms: 10_000,
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
        }
    }
}

/// Connections that may wait to be accepted. Beyond it, clients have to retry: with the standard
/// library's 128, a burst of connections made clients wait a second for their next attempt.
const ACCEPT_BACKLOG: i32 = 4_096;

/// Binds a non-blocking listener with a backlog for bursts of connections. Port 0 selects a free
/// port.
pub fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Serves connections until `stop`, then accepts no new ones and finishes the requests in progress.
///
/// Returns when the last connection is closed.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, handler: H, stop: CancellationToken)
where
    H: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let connections = Connections::refusing(limits.connections);
    serve_within(listener, limits, connections, handler, stop).await;
}

/// Serves like [`serve`], with a bound on connections that several listeners may share, in place of
/// [`Limits::connections`].
pub async fn serve_within<H, F>(
    listener: TcpListener,
    limits: Limits,
    connections: Arc<Connections>,
    handler: H,
    stop: CancellationToken,
) where
    H: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let tasks = tokio_util::task::TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_BACKOFF_MS)).await;
            continue;
        };
        let Some(connection) = connections.admit(&stream) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (handler, stop) = (handler.clone(), stop.clone());
        let handler = move |request| handler(peer, request);
        tasks.spawn(serve_connection(stream, connection, limits, handler, stop));
    }
    tasks.close();
    tasks.wait().await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    open: Arc<Connection>,
    limits: Limits,
    handler: H,
    stop: CancellationToken,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let (stream, caller) = caller::watch(stream);
    let (service_open, service_caller) = (open.clone(), caller.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (caller, busy) = (service_caller.clone(), service_open.begin());
        let version = request.version();
        let answer = handler(request);
        async move {
            let response = answer.await;
            Ok::<_, Infallible>(busy.respond(version, &caller, response))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_ms))
        .max_buf_size(limits.head_bytes.max(8 << 10))
        .serve_connection(TokioIo::new(stream), service);
    let serve = async move {
        tokio::pin!(connection);
        tokio::select! {
            ended = connection.as_mut() => ended,
            () = stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let ended = tokio::select! {
        biased;
        // A call whose caller doesn't wait for the answer is begun.
        ended = serve => ended,
        () = caller.left() => Ok(()),
        () = open.ended() => return,
    };
    if let Err(error) = ended {
        tracing::debug!(event = "connection_ended", reason = %error);
    }
    open.linger(&caller).await;
}

/// Why a request's body could not be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyError {
    /// The body has more bytes than allowed.
    TooLarge,
    /// The body didn't arrive in time.
    TooSlow,
    /// The connection failed, or the body's framing is invalid.
    Broken,
    /// Its memory is needed for others.
    Overloaded,
}

impl From<body::ShareError> for BodyError {
    fn from(error: body::ShareError) -> BodyError {
        match error {
            body::ShareError::TooLarge => BodyError::TooLarge,
            body::ShareError::Evicted => BodyError::Overloaded,
            body::ShareError::Broken(_) => BodyError::Broken,
        }
    }
}

impl BodyError {
    /// Status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BodyError::Broken => StatusCode::BAD_REQUEST,
            BodyError::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Message for the caller.
    pub fn message(self) -> &'static str {
        match self {
            BodyError::TooLarge => "the body is larger than allowed; send less",
            BodyError::TooSlow => "the body did not arrive in time; send it at once",
            BodyError::Broken => "the body is broken; check its framing",
            BodyError::Overloaded => "too many bodies are being read; send it again later",
        }
    }

    /// The refusal of a request whose body wasn't read to its end. Its connection is closed.
    pub fn refusal(self) -> Response<Body> {
        let mut response = text(self.status(), self.message().into());
        response.extensions_mut().insert(Unread);
        if self == BodyError::Overloaded {
            let later = HeaderValue::from_static(OVERLOADED_RETRY_AFTER_S);
            response.headers_mut().insert(header::RETRY_AFTER, later);
        }
        response
    }
}

/// Reads a whole body within `limits`.
pub async fn read_body(mut body: Incoming, limits: Limits) -> Result<Bytes, BodyError> {
    let read = body::join(&mut body, |length| {
        let fits = length <= limits.body_bytes;
        fits.then_some(()).ok_or(BodyError::TooLarge)
    });
    match tokio::time::timeout(Duration::from_millis(limits.body_ms), read).await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Ok(whole)) => Ok(whole),
        Ok(Err(body::Error::Refused(error))) => Err(error),
        Ok(Err(body::Error::Broken(_))) => Err(BodyError::Broken),
    }
}

/// Reads a whole body within `limits` and a budget. The bytes keep the share until they are dropped.
pub async fn read_body_within(
    mut body: Incoming,
    limits: Limits,
    share: Share,
) -> Result<Bytes, BodyError> {
    let whole = {
        let read = body::join_within(&mut body, limits.body_bytes, &share);
        tokio::pin!(read);
        let limit = Duration::from_millis(limits.body_ms);
        match tokio::time::timeout(limit, read.as_mut()).await {
            // A sender that was made to wait isn't slow.
            Err(_) if share.is_waiting() => return Err(BodyError::Overloaded),
            Err(_) => return Err(BodyError::TooSlow),
            Ok(read) => read?,
        }
    };
    share.use_for(Use::Request);
    Ok(Arc::new(share).keep_with(whole))
}

/// A response in one piece, whose bytes a share counts until the caller has taken them.
pub fn held(bytes: impl Into<Bytes>, share: Share) -> Response<Body> {
    held_response(Held::new(bytes.into(), share))
}

/// A response with a whole body. Its connection is closed if the memory is needed for others before the caller has
/// read it.
pub fn held_response(held: Held) -> Response<Body> {
    let eviction = held.eviction();
    let mut response = Response::new(held.boxed());
    response.extensions_mut().insert(eviction);
    response
}

/// A body in one piece.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let into_io_error = |never: Infallible| match never {};
    Full::new(bytes.into()).map_err(into_io_error).boxed()
}

/// A JSON response.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// A plain-text response.
pub fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}
