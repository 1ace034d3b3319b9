//! Listeners of a router: callers' requests, readiness checks and address lookups.

use super::relay::Terms;
use super::{Shared, call};
use crate::dialect::AddressLookup;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use lovageplank_core::fleet::deployment::Limits;
use lovageplank_core::fleet::subset;
use lovageplank_core::prelude::*;
use lovageplank_process::caller;
use lovageplank_process::connections::Connection;
use lovageplank_process::http::{self, Body};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Callers.
    Callers,
    /// Routers that reach no server.
    Routers,
}

/// Milliseconds to wait after a failed accept.
const ACCEPT_BACKOFF_MS: u64 = 20;
/// Bounds on callers' requests before the first document is known.
const DEFAULT_LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_ms: 3_000,
    idle_ms: 15_000,
};
/// Lower bound, in bytes, of the maximum size of a connection's buffer. The maximum is otherwise
/// the size limit of a request head.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Accepts connections until `closing` is cancelled: for a while after a stop signal too,
/// since callers may have cached the address.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener, source: Source) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.closing.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(open) = shared.open_connections.admit(&stream) {
                    tokio::spawn(serve_connection(shared.clone(), stream, open, source));
                }
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(Duration::from_millis(ACCEPT_BACKOFF_MS)).await;
            }
        }
    }
}

async fn serve_connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    open: Arc<Connection>,
    source: Source,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(event = "no_delay_failed", %error);
    }
    let (stream, caller) = caller::watch(stream);
    let limits = shared.deployment().map_or(DEFAULT_LIMITS, |d| d.limits);
    shared.connections.fetch_add(1, Ordering::Relaxed);
    let (service_shared, service_open) = (shared.clone(), open.clone());
    let service_caller = caller.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (shared, caller) = (service_shared.clone(), service_caller.clone());
        let busy = service_open.begin();
        let version = request.version();
        async move {
            let response = answer(shared, request, source).await;
            Ok::<_, Infallible>(busy.respond(version, &caller, response))
        }
    });
    // hyper applies the header timeout to an idle connection too.
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms.max(limits.head_ms)))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let closing = shared.closing.clone();
    let serve = async move {
        tokio::pin!(connection);
        tokio::select! {
            served = connection.as_mut() => served,
            () = closing.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let served = tokio::select! {
        biased;
        // A request that waits to be read behind the close isn't begun.
        () = caller.left() => Ok(()),
        served = serve => served,
        () = open.ended() => Ok(()),
    };
    if let Err(error) = served {
        tracing::debug!(event = "connection_ended", reason = %error);
    }
    open.linger(&caller).await;
    shared.connections.fetch_sub(1, Ordering::Relaxed);
}

async fn answer(
    shared: Arc<Shared>,
    mut request: Request<Incoming>,
    source: Source,
) -> Response<Body> {
    let stopping = shared.stopping.clone();
    let head = shared.dialect.request_head(request.headers());
    let key = &shared.config.common.link_key;
    let terms = Terms::take(request.headers_mut(), key, head.id.as_deref());
    let mut response = match (source, terms) {
        (Source::Callers, _) => call::serve(shared, request, None).await,
        (Source::Routers, Some(terms)) => call::serve(shared, request, Some(terms)).await,
        (Source::Routers, None) => {
            let mut response = Response::new(http::full("only routers may call this address"));
            *response.status_mut() = StatusCode::FORBIDDEN;
            response
        }
    };
    if stopping.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Serves readiness checks of this router and callers' lookups of the addresses of routers.
pub(super) async fn serve_checks_and_lookups(
    shared: Arc<Shared>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let connections = shared.config.common.capacity.check_connections();
    let handler = move |peer: SocketAddr, request: Request<Incoming>| {
        let shared = shared.clone();
        async move { handle_check_or_lookup(&shared, peer, &request) }
    };
    let limits = http::Limits::default();
    http::serve_within(listener, limits, connections, handler, stop).await;
}

fn handle_check_or_lookup(
    shared: &Shared,
    peer: SocketAddr,
    request: &Request<Incoming>,
) -> Response<Body> {
    let (method, uri) = (request.method(), request.uri());
    if shared.dialect.is_readiness_check(method, uri) {
        return if shared.is_ready() {
            http::text(StatusCode::OK, "ready".into())
        } else {
            http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready".into())
        };
    }
    if let Some(lookup) = shared.dialect.address_lookup(method, uri) {
        return address_lookup_response(shared, peer, &lookup);
    }
    http::text(StatusCode::NOT_FOUND, "there is no such call".into())
}

fn address_lookup_response(
    shared: &Shared,
    peer: SocketAddr,
    lookup: &AddressLookup,
) -> Response<Body> {
    let routers = shared.state().directory.ready_routers();
    let caller = subset::Caller {
        key: &peer.ip().to_string(),
        domain: lookup.domain.as_deref(),
    };
    let routers = subset::select(routers, caller, lookup.addresses_max);
    let mut addresses: Vec<Name> = routers.into_iter().map(|router| router.address).collect();
    if addresses.is_empty() && shared.is_ready() {
        addresses.push(shared.directory_entry().address);
    }
    if addresses.is_empty() {
        return http::text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no address is known".into(),
        );
    }
    let body = shared
        .dialect
        .encode_addresses(&addresses, shared.config.address_ttl_ms);
    let mut response = Response::new(http::full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
