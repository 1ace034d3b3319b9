//! Sends attempts to backend servers.
//!
//! An attempt uses a connection exclusively from its first byte to the end of its answer. The
//! stream below the HTTP library counts the bytes that the kernel accepted, which proves whether
//! any byte of the request was sent. A connection returns to the [`pool`] only after a complete
//! answer that belongs to its attempt.

mod connection;
pub mod pool;

pub use connection::{Connection, Dial, Tcp};
pub use pool::Pool;

use crate::decision::Failure;
use crate::refusal::Code;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lovageplank_core::prelude::*;
use lovageplank_core::retry::Outcome;
use lovageplank_core::route::ServerOutcome;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Default timeout in milliseconds for opening a connection.
pub const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// The server and the timeouts of an attempt.
#[derive(Clone, Debug)]
pub struct Route {
    /// The server's name, for messages.
    pub server: Name,
    /// `ip:port`.
    pub address: Name,
    /// Milliseconds for which a reused connection may have been idle; 0 to open a new one.
    pub idle_ms: u64,
    /// Timeout in milliseconds for opening a connection.
    pub connect_ms: u64,
    /// Deadline of the attempt.
    pub until: Instant,
}

/// Sends a request and waits for the head of its answer. The failure states whether any byte of
/// the request was sent.
pub async fn send(
    pool: &Pool,
    route: &Route,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let idle = (route.idle_ms > 0).then(|| pool.take(&route.address, route.idle_ms));
    let connection = match idle.flatten() {
        Some(connection) => connection,
        None => open(&*pool.dial, route).await?,
    };
    send_on(connection, route, request).await
}

/// Sends a request like [`send`], on a connection that is opened for it. For requests whose answers
/// carry no id: what arrives on such a connection can't belong to an earlier request.
pub async fn send_on_new(
    dial: &dyn Dial,
    route: &Route,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    send_on(open(dial, route).await?, route, request).await
}

/// Sends a request like [`send`], on this connection.
pub async fn send_on(
    mut connection: Connection,
    route: &Route,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let sent_before = connection.sent();
    let answer = timeout_at(route.until, connection.send(request)).await;
    let reason = match answer {
        Ok(Ok(response)) if is_final(response.status()) => return Ok((response, connection)),
        // The HTTP library accepts all statuses from 100 to 999.
        Ok(Ok(response)) => format!("{} is no status of a final answer", response.status()),
        Ok(Err(error)) => error_chain(&error),
        Err(_) => "no answer in time".to_owned(),
    };
    let timed_out = Instant::now() >= route.until;
    // The count is final only once the connection is closed.
    let sent = connection.close().await;
    let step = format!("{} at {}: {reason}", route.server, route.address);
    Err(if sent == sent_before {
        not_sent(step)
    } else if timed_out {
        deadline_exceeded(step)
    } else {
        broken(step)
    })
}

/// Whether a status is one of a final answer. A server that sends another one in its place is in trouble; its
/// answer says nothing of the request, which may have run.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Opens a connection for one attempt. A failure says that nothing was sent.
pub async fn open(dial: &dyn Dial, route: &Route) -> Result<Connection, Failure> {
    let until = route
        .until
        .min(Instant::now() + Duration::from_millis(route.connect_ms));
    let step = format!("connect to {} at {}", route.server, route.address);
    match timeout_at(until, Connection::open(dial, &route.address)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(not_sent(format!("{step}: {error:#}"))),
        Err(_) => Err(not_sent(format!("{step}: nothing in time"))),
    }
}

/// An error of the HTTP library with its causes, in one line.
fn error_chain(error: &hyper::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}

/// A failure before any byte of the request was sent.
fn not_sent(message: String) -> Failure {
    Failure {
        outcome: Outcome::NotRun,
        server_outcome: ServerOutcome::Failed,
        code: Code::BackendUnreachable,
        message,
    }
}

/// A failure after bytes of the request were sent.
pub(crate) fn broken(message: String) -> Failure {
    Failure {
        outcome: Outcome::Unknown,
        server_outcome: ServerOutcome::Failed,
        code: Code::OutcomeUnknown,
        message,
    }
}

/// A failure because the deadline passed after bytes of the request were sent.
fn deadline_exceeded(message: String) -> Failure {
    Failure {
        // The server may be slow rather than broken, so that it isn't suspected.
        server_outcome: ServerOutcome::Abandoned,
        ..broken(message)
    }
}
