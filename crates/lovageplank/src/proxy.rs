//! A TCP relay on loopback that can be silenced, for tests of network partitions.
//!
//! ```
//! use lovageplank::proxy::Proxy;
//! let target = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
//! let proxy = Proxy::start(target.local_addr().unwrap()).unwrap();
//! proxy.set_silent(true); // bytes stop, connections stay open: no FIN, no RST
//! proxy.set_silent(false);
//! ```

use eyre::{Result, WrapErr};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Milliseconds between checks whether the relay is still silent.
const POLL_INTERVAL_MS: u64 = 5;

/// Maximum bytes per read.
const BUFFER_BYTES: usize = 64 << 10;

/// A relay to one address; dropping it closes its listener.
#[derive(Debug)]
pub struct Proxy {
    /// Address at which the relay accepts connections.
    pub address: SocketAddr,
    state: Arc<RelayState>,
}

#[derive(Debug, Default)]
struct RelayState {
    silent: AtomicBool,
    stopped: AtomicBool,
}

impl Proxy {
    /// Starts a relay that accepts connections and forwards each to `target`.
    ///
    /// Fails if no loopback port can be bound.
    pub fn start(target: SocketAddr) -> Result<Proxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).wrap_err("listen for the relay")?;
        let address = listener.local_addr().wrap_err("listen for the relay")?;
        let state = Arc::new(RelayState::default());
        let shared = state.clone();
        std::thread::spawn(move || accept(&listener, target, &shared));
        Ok(Proxy { address, state })
    }

    /// Starts or ends silence.
    ///
    /// While the relay is silent, it forwards no bytes. Open connections stay open. New ones are
    /// accepted, but not connected to the target until the silence ends.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.store(silent, Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        // Unblocks the accepting thread, which then returns.
        drop(TcpStream::connect(self.address));
    }
}

impl RelayState {
    /// Waits while the relay is silent; returns false once the relay was dropped.
    fn wait_while_silent(&self) -> bool {
        while self.silent.load(Ordering::SeqCst) && !self.stopped.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        !self.stopped.load(Ordering::SeqCst)
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<RelayState>) {
    for stream in listener.incoming() {
        if state.stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        let state = state.clone();
        std::thread::spawn(move || {
            if state.wait_while_silent()
                && let Ok(target) = TcpStream::connect(target)
            {
                relay_both_ways(&stream, &target, &state);
            }
        });
    }
}

/// Relays both directions of a connection until either end closes.
fn relay_both_ways(inbound: &TcpStream, outbound: &TcpStream, state: &Arc<RelayState>) {
    let (Ok(inbound_clone), Ok(outbound_clone)) = (inbound.try_clone(), outbound.try_clone())
    else {
        return;
    };
    let shared = state.clone();
    let reverse = std::thread::spawn(move || relay(&outbound_clone, &inbound_clone, &shared));
    relay(inbound, outbound, state);
    let _ = reverse.join();
}

/// Relays one direction until either end closes or the relay is dropped, then closes both ends.
fn relay(mut from: &TcpStream, mut to: &TcpStream, state: &RelayState) {
    let _ = to.set_nodelay(true);
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(n @ 1..) = from.read(&mut buffer) {
        if !state.wait_while_silent() || to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
