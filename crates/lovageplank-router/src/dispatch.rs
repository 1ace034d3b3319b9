//! Sends attempts to backend servers.
//!
//! An attempt has one connection to itself from its first byte to the end of its answer. A
//! counter under the HTTP library tells how many bytes the kernel took, so that "no byte of the
//! request left" is a fact and not a guess. A connection goes back to the `pool` only after a
//! whole answer that belongs to its attempt.

mod connection;
pub mod pool;

pub use connection::Connection;
pub use pool::Pool;

use crate::decision::Failure;
use crate::refusal::Code;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lovageplank_core::prelude::*;
use lovageplank_core::retry::Outcome;
use lovageplank_core::route::ServerOutcome;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Milliseconds for a connection to open, if there is no reason for less.
pub const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// One attempt's way to its server.
#[derive(Clone, Debug)]
pub struct Route {
    /// The server's name, for messages.
    pub server: Name,
    /// `ip:port`.
    pub address: Name,
    /// Milliseconds for which a connection that served before may have been idle; 0 for a new one.
    pub idle_ms: u64,
    /// Milliseconds for a connection to open.
    pub connect_ms: u64,
    /// When the attempt is given up.
    pub until: Instant,
}

/// Sends a request and waits for the head of its answer.
pub async fn send(
    pool: &Pool,
    route: &Route,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let mut connection = connect(pool, route).await?;
    let sent_before = connection.sent();
    let answer = timeout_at(route.until, connection.send(request)).await;
    let reason = match answer {
        Ok(Ok(response)) => return Ok((response, connection)),
        Ok(Err(error)) => error_chain(&error),
        Err(_) => "no answer in time".to_owned(),
    };
    let timed_out = Instant::now() >= route.until;
    // Only a closed connection sends nothing any more.
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

async fn connect(pool: &Pool, route: &Route) -> Result<Connection, Failure> {
    if route.idle_ms > 0
        && let Some(connection) = pool.take(&route.address, route.idle_ms)
    {
        return Ok(connection);
    }
    let until = route
        .until
        .min(Instant::now() + Duration::from_millis(route.connect_ms));
    let step = format!("connect to {} at {}", route.server, route.address);
    match timeout_at(until, Connection::open(&route.address)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(not_sent(format!("{step}: {error:#}"))),
        Err(_) => Err(not_sent(format!("{step}: nothing in time"))),
    }
}

/// The causes of an error of the HTTP library, in one line.
fn error_chain(error: &hyper::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}

/// A failure before any byte of the request left.
fn not_sent(message: String) -> Failure {
    Failure {
        outcome: Outcome::NotRun,
        server_outcome: ServerOutcome::Failed,
        code: Code::BackendUnreachable,
        message,
    }
}

/// A failure after bytes of the request left.
pub(crate) fn broken(message: String) -> Failure {
    Failure {
        outcome: Outcome::Unknown,
        server_outcome: ServerOutcome::Failed,
        code: Code::OutcomeUnknown,
        message,
    }
}

/// The deadline came while the request may have run.
fn deadline_exceeded(message: String) -> Failure {
    Failure {
        // The server may be busy rather than broken.
        server_outcome: ServerOutcome::Abandoned,
        ..broken(message)
    }
}
