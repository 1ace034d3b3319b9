//! Idle connections that can be reused, by address of the server.

use super::Connection;
use lovageplank_core::prelude::*;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Idle connections that are kept for one server; further ones are closed.
const IDLE_PER_SERVER_MAX: usize = 8;
/// Number of servers in the pool at which those without a usable connection are removed.
const SERVERS_MAX: usize = 1_024;
/// Milliseconds after which an idle connection isn't reused. It is closed when the pool next
/// handles its server.
pub const IDLE_TIMEOUT_MS: u64 = 5_000;

/// Idle connections that can be reused.
///
/// Invariant: each has delivered a complete answer that belongs to its request, and nothing since.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<Name, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Pool {
    /// Takes the most recently used connection to a server, if one is usable and has been idle for
    /// less than `idle_ms` milliseconds.
    pub fn take(&self, address: &Name, idle_ms: u64) -> Option<Connection> {
        let mut idle = self.lock();
        let list = idle.get_mut(address)?;
        while let Some(last) = list.pop() {
            if last.is_usable() && last.since.elapsed() < Duration::from_millis(idle_ms) {
                return Some(last.connection);
            }
        }
        idle.remove(address);
        None
    }

    /// Keeps a connection for reuse; closes it if it isn't reusable or the server has the maximum
    /// of idle connections.
    pub fn put(&self, address: &Name, connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let mut idle = self.lock();
        if idle.len() >= SERVERS_MAX {
            idle.retain(|_, list| list.iter().any(Idle::is_usable));
        }
        let list = idle.entry(address.clone()).or_default();
        list.retain(Idle::is_usable);
        if list.len() < IDLE_PER_SERVER_MAX {
            let since = Instant::now();
            list.push(Idle { connection, since });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < Duration::from_millis(IDLE_TIMEOUT_MS)
            && self.connection.is_reusable()
    }
}
