//! Idle connections that can be reused, by address of the server.

use super::{Connection, Dial, Tcp};
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
#[derive(Debug)]
pub struct Pool {
    servers: Mutex<HashMap<Name, Server>>,
    /// Opens new connections.
    pub(super) dial: Arc<dyn Dial>,
}

impl Default for Pool {
    fn default() -> Pool {
        Pool::new(Arc::new(Tcp))
    }
}

/// Connections to one server.
#[derive(Debug, Default)]
struct Server {
    idle: Vec<Idle>,
    /// No connection is reused before this time.
    suspended_until: Option<Instant>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Pool {
    /// Returns an empty pool.
    pub fn new(dial: Arc<dyn Dial>) -> Pool {
        Pool {
            servers: Mutex::default(),
            dial,
        }
    }

    /// How connections are opened.
    pub fn dial(&self) -> &dyn Dial {
        &*self.dial
    }

    /// Takes the most recently used connection to a server, if one is usable and has been idle for
    /// less than `idle_ms` milliseconds.
    pub fn take(&self, address: &Name, idle_ms: u64) -> Option<Connection> {
        let mut servers = self.lock();
        let server = servers.get_mut(address)?;
        while let Some(last) = server.idle.pop() {
            if last.is_usable() && last.since.elapsed() < Duration::from_millis(idle_ms) {
                return Some(last.connection);
            }
        }
        if !server.is_suspended() {
            servers.remove(address);
        }
        None
    }

    /// Returns the addresses of the servers to which a connection is usable that has been idle for less than `idle_ms`
    /// milliseconds.
    pub fn idle_addresses(&self, idle_ms: u64) -> BTreeSet<Name> {
        let servers = self.lock();
        let servers = servers.iter().filter(|(_, server)| {
            let mut idle = server.idle.iter();
            idle.any(|idle| {
                idle.is_usable() && idle.since.elapsed() < Duration::from_millis(idle_ms)
            })
        });
        servers.map(|(address, _)| address.clone()).collect()
    }

    /// Keeps a connection for reuse; closes it if it isn't reusable, the server has the maximum of
    /// idle connections, or its connections are suspended.
    pub fn put(&self, address: &Name, connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let mut servers = self.lock();
        if servers.len() >= SERVERS_MAX {
            servers.retain(|_, s| s.is_suspended() || s.idle.iter().any(Idle::is_usable));
        }
        let server = servers.entry(address.clone()).or_default();
        server.idle.retain(Idle::is_usable);
        if server.idle.len() < IDLE_PER_SERVER_MAX && !server.is_suspended() {
            let since = Instant::now();
            server.idle.push(Idle { connection, since });
        }
    }

    /// Reuses no connection to a server for this many milliseconds, and closes its idle ones.
    pub fn suspend(&self, address: &Name, ms: u64) {
        let mut servers = self.lock();
        let server = servers.entry(address.clone()).or_default();
        server.idle.clear();
        server.suspended_until = Some(Instant::now() + Duration::from_millis(ms));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Server>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Server {
    fn is_suspended(&self) -> bool {
        self.suspended_until
            .is_some_and(|until| Instant::now() < until)
    }
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < Duration::from_millis(IDLE_TIMEOUT_MS)
            && self.connection.is_reusable()
    }
}
