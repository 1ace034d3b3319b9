//! A small HTTP/1.1 server that can also misbehave on purpose.
//!
//! ```no_run
//! use lovageplank_standin::http::{Call, Control, Handler, Response, Server};
//! use std::sync::Arc;
//! struct Hello;
//! impl Handler for Hello {
//!     async fn handle(self: Arc<Self>, _call: Call) -> Response {
//!         Response::json(200, &serde_json::json!({"hello": true}))
//!     }
//! }
//! let server = Server::start("127.0.0.1:0", Control::default(), Arc::new(Hello)).unwrap();
//! println!("{}", server.address());
//! ```
//!
//! It stands on `hyper`, not on `tiny_http` or `rouille`: a stand-in has to cut a connection in the
//! middle of an answer, reset it before the request was read, and close its listener for a
//! while, for which it must own the sockets. One thread drives all connections of a server.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::fault::Faults;

pub use self::response::Response;

mod connection;
mod response;

/// Largest request body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Milliseconds between looks at whether something has ended.
const POLL_INTERVAL_MS: u64 = 2;

/// Answers the calls of one server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one call; dropped if the client goes away first.
    fn handle(self: Arc<Self>, call: Call) -> impl Future<Output = Response> + Send;
}

/// One call whose body wasn't read yet.
pub struct Call {
    /// The method.
    pub method: hyper::Method,
    /// The path without its query.
    pub path: String,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The connection that it came by.
    pub peer: Peer,
    body: Incoming,
}

impl Call {
    /// Returns a header's value if it is present and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the first piece of the body.
    pub async fn read_some(&mut self) {
        let _piece = self.body.frame().await;
    }

    /// Reads the whole body as JSON; an error carries the given code.
    pub async fn read_json<T: DeserializeOwned>(self, code: &str) -> Result<T, Response> {
        let body = self.read().await?;
        serde_json::from_slice(&body)
            .map_err(|error| Response::error(400, code, &error.to_string()))
    }

    /// Reads the whole body, at most [`MAX_BODY_BYTES`].
    pub async fn read(self) -> Result<Bytes, Response> {
        let limited = Limited::new(self.body, MAX_BODY_BYTES);
        match limited.collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) => {
                let message = format!("can't read the request body: {error}");
                Err(Response::error(400, "bad_body", &message))
            }
        }
    }
}

/// The connection that a call came by.
#[derive(Clone)]
pub struct Peer {
    socket: Arc<std::net::TcpStream>,
    cut: CancellationToken,
}

impl Peer {
    /// Closes the connection at once, as the death of a process does.
    pub fn cut(&self) {
        self.cut.cancel();
    }

    /// Resets the connection at once.
    pub fn reset(&self) {
        let socket = socket2::SockRef::from(&*self.socket);
        // A socket that is gone already needs no reset.
        let _result = socket.set_linger(Some(Duration::ZERO));
        self.cut.cancel();
    }
}

/// Ends a server or closes its port for a while; clones control the same server.
#[derive(Clone, Debug, Default)]
pub struct Control {
    /// Cancelling it cuts all connections and ends the server.
    pub stop: CancellationToken,
    /// Cancelling it closes the listener and each connection that has nothing to send.
    drain: CancellationToken,
    /// Counts calls whose answers aren't sent.
    active_calls: Arc<AtomicUsize>,
    refuse: watch::Sender<bool>,
}

impl Control {
    /// Closes the listener (new connections are refused) or opens it again on the same port.
    pub fn refuse_connections(&self, refuse: bool) {
        self.refuse.send_replace(refuse);
    }

    /// Carries out the switches that act on the listener.
    pub fn apply_faults(&self, faults: &Faults) {
        self.refuse_connections(faults.refuse_ms.is_some());
        if let Some(ms @ 1..) = faults.refuse_ms {
            let control = self.clone();
            let time = Duration::from_millis(ms);
            std::thread::spawn(move || {
                std::thread::sleep(time);
                control.refuse_connections(false);
            });
        }
    }
}

/// A running server; dropping it kills it.
pub struct Server {
    address: SocketAddr,
    control: Control,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds the address and serves it on a thread of its own.
    pub fn start(
        address: &str,
        control: Control,
        handler: Arc<impl Handler>,
    ) -> io::Result<Server> {
        let listener = connection::bind(address)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread_control = control.clone();
        let thread = std::thread::Builder::new()
            .name(format!("http {address}"))
            .spawn(move || {
                let stop = thread_control.stop.clone();
                runtime.block_on(async {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = connection::serve(listener, address, thread_control, handler) => {}
                    }
                });
                runtime.shutdown_background();
            })?;
        Ok(Server {
            address,
            control,
            thread: Some(thread),
        })
    }

    /// Returns the address that it serves at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until no answer is left to be sent, then closes the listener and all connections; cuts
    /// what isn't done after `within`.
    ///
    /// The handler goes on to be called meanwhile, so that it can refuse new calls.
    pub fn stop(&mut self, within: Duration) {
        let deadline = Instant::now() + within;
        let active_calls = &self.control.active_calls;
        poll_until(deadline, || active_calls.load(Ordering::SeqCst) == 0);
        self.control.drain.cancel();
        poll_until(deadline, || {
            self.thread.as_ref().is_none_or(JoinHandle::is_finished)
        });
        self.control.stop.cancel();
        self.join();
    }

    /// Waits until something ended the server through its [`Control`].
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic was printed already, and a stand-in's end is no place for another.
            let _ended = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.control.stop.cancel();
        self.join();
    }
}

/// Waits until the condition holds or the time has come.
pub(crate) fn poll_until(deadline: Instant, condition: impl Fn() -> bool) {
    while !condition() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}
