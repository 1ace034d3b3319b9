//! A TCP relay on loopback that can fall silent, for tests of network partitions.
//!
//! ```
//! use lovageplank::proxy::Proxy;
//! let target = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
//! let proxy = Proxy::start(target.local_addr().unwrap()).unwrap();
//! proxy.silence(true); // bytes stop, connections stay open: no FIN, no RST
//! proxy.silence(false);
//! ```

use eyre::{Result, WrapErr};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Milliseconds between looks at the switch while silent.
const POLL_MS: u64 = 5;

/// Bytes that one read takes.
const BUFFER_BYTES: usize = 64 << 10;

/// A relay to one address.
#[derive(Debug)]
pub struct Proxy {
    /// Where it accepts connections.
    pub address: SocketAddr,
    switch: Arc<Switch>,
}

#[derive(Debug, Default)]
struct Switch {
    silent: AtomicBool,
    ended: AtomicBool,
}

impl Proxy {
    /// Accepts connections and relays each to `target`.
    pub fn start(target: SocketAddr) -> Result<Proxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).wrap_err("listen for the relay")?;
        let address = listener.local_addr().wrap_err("listen for the relay")?;
        let switch = Arc::new(Switch::default());
        let shared = switch.clone();
        std::thread::spawn(move || accept(&listener, target, &shared));
        Ok(Proxy { address, switch })
    }

    /// Stops or lets pass all bytes; connections stay open, new ones are accepted but not relayed.
    pub fn silence(&self, silent: bool) {
        self.switch.silent.store(silent, Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.switch.ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then ends.
        drop(TcpStream::connect(self.address));
    }
}

impl Switch {
    /// Waits while the relay is silent; false once it has ended.
    fn pass(&self) -> bool {
        while self.silent.load(Ordering::SeqCst) && !self.ended.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(POLL_MS));
        }
        !self.ended.load(Ordering::SeqCst)
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, switch: &Arc<Switch>) {
    for stream in listener.incoming() {
        if switch.ended.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        let switch = switch.clone();
        std::thread::spawn(move || {
            if switch.pass()
                && let Ok(target) = TcpStream::connect(target)
            {
                relay_both(&stream, &target, &switch);
            }
        });
    }
}

fn relay_both(near: &TcpStream, far: &TcpStream, switch: &Arc<Switch>) {
    let (Ok(near_again), Ok(far_again)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let shared = switch.clone();
    let back = std::thread::spawn(move || relay(&far_again, &near_again, &shared));
    relay(near, far, switch);
    let _ = back.join();
}

/// Copies bytes one way until either end closes.
fn relay(mut from: &TcpStream, mut to: &TcpStream, switch: &Switch) {
    let _ = to.set_nodelay(true);
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(n @ 1..) = from.read(&mut buffer) {
        if !switch.pass() || to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
