//! An HTTP/1.1 listener with deadlines and bounds.
//!
//! `hyper` rather than the threads of `tiny_http` or `rouille`: those set no read deadlines, hold
//! a thread for each connection, and don't notice a caller that goes away. Here a head must come
//! within [`Limits::head_ms`], a body within [`Limits::body_ms`], connections are bounded, and a
//! handler's future is dropped when its caller disconnects.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// A response's body: whole or streamed.
pub type Body = BoxBody<Bytes, Infallible>;

/// Milliseconds to wait after a failed accept.
const ACCEPT_BACKOFF_MS: u64 = 50;

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Milliseconds within which a request's head must arrive; also how long a connection may idle.
    pub head_ms: u64,
    /// Milliseconds within which a request's body must arrive.
    pub body_ms: u64,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
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

/// Connections that may wait to be accepted; the standard library's 128 lets a burst's clients wait
/// a second for their next try.
const ACCEPT_BACKLOG: i32 = 4_096;

/// Binds a non-blocking listener with a deep queue; port 0 takes a free one.
pub fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Serves until `stop`; then takes no new connection and lets requests in progress finish.
///
/// Returns when the last connection is closed.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, handler: H, stop: CancellationToken)
where
    H: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let slots = Arc::new(tokio::sync::Semaphore::new(limits.connections));
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
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            metrics::counter!("lovageplank_connections_refused_total").increment(1);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (handler, stop) = (handler.clone(), stop.clone());
        tasks.spawn(async move {
            serve_connection(TokioIo::new(stream), peer, limits, handler, stop).await;
            drop(slot);
        });
    }
    tasks.close();
    tasks.wait().await;
}

async fn serve_connection<H, F>(
    io: TokioIo<tokio::net::TcpStream>,
    peer: SocketAddr,
    limits: Limits,
    handler: H,
    stop: CancellationToken,
) where
    H: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(move |request| {
        let answer = handler(peer, request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_ms))
        .max_buf_size(limits.head_bytes.max(8 << 10))
        .serve_connection(io, service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(event = "connection_ended", %peer, reason = %error);
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyError {
    /// It has more bytes than allowed.
    TooLarge,
    /// It didn't arrive in time.
    TooSlow,
    /// The connection broke, or the framing is wrong.
    Broken,
}

impl BodyError {
    /// Status of the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BodyError::Broken => StatusCode::BAD_REQUEST,
        }
    }

    /// What a caller is told.
    pub fn message(self) -> &'static str {
        match self {
            BodyError::TooLarge => "the body is larger than allowed; send less",
            BodyError::TooSlow => "the body did not arrive in time; send it at once",
            BodyError::Broken => "the body is broken; check its framing",
        }
    }
}

/// Reads a whole body within the limits.
pub async fn read_body(body: Incoming, limits: Limits) -> Result<Bytes, BodyError> {
    let collect = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(Duration::from_millis(limits.body_ms), collect).await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge)
        }
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

/// A whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// A JSON answer.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// A plain-text answer.
pub fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}
