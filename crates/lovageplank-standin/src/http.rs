//! A small HTTP/1.1 server that can inject connection faults.
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
//! It uses `hyper` rather than `tiny_http` or `rouille`, because a stand-in must own its sockets:
//! it cuts connections in the middle of a response, resets them before the request is read, and
//! closes its listener temporarily. One thread handles all connections of a server.

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

/// Largest accepted request body, in bytes; a larger one is rejected with status 400.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Interval in milliseconds at which `poll_until` checks its condition.
const POLL_INTERVAL_MS: u64 = 2;

/// Handles the requests of one server.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped if the client disconnects first.
    fn handle(self: Arc<Self>, call: Call) -> impl Future<Output = Response> + Send;
}

/// A request whose body hasn't been read yet.
pub struct Call {
    /// The method.
    pub method: hyper::Method,
    /// The path without its query.
    pub path: String,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The connection that the request was received on.
    pub peer: Peer,
    body: Incoming,
}

impl Call {
    /// Returns a header's value if the header is present and its value is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the first frame of the body and discards it.
    pub async fn read_some(&mut self) {
        let _piece = self.body.frame().await;
    }

    /// Reads the whole body and parses it as JSON.
    ///
    /// Errors: a response with status 400, with the given code if the JSON is invalid.
    pub async fn read_json<T: DeserializeOwned>(self, code: &str) -> Result<T, Response> {
        let body = self.read().await?;
        serde_json::from_slice(&body)
            .map_err(|error| Response::error(400, code, &error.to_string()))
    }

    /// Reads the whole body.
    ///
    /// Errors: a response with status 400 if the body can't be read or exceeds [`MAX_BODY_BYTES`].
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

/// A handle to the connection that a request was received on.
#[derive(Clone)]
pub struct Peer {
    socket: Arc<std::net::TcpStream>,
    cut: CancellationToken,
}

impl Peer {
    /// Closes the connection at once, as a crash of the process would.
    pub fn cut(&self) {
        self.cut.cancel();
    }

    /// Closes the connection at once with a TCP reset.
    pub fn reset(&self) {
        let socket = socket2::SockRef::from(&*self.socket);
        // If the socket is already closed, no reset is needed.
        let _result = socket.set_linger(Some(Duration::ZERO));
        self.cut.cancel();
    }
}

/// Stops a server or closes its listener temporarily; all clones control the same server.
#[derive(Clone, Debug, Default)]
pub struct Control {
    /// Cancelling this token cuts all connections and stops the server.
    pub stop: CancellationToken,
    /// Cancelling this token closes the listener, and each connection once it has no response left
    /// to send.
    drain: CancellationToken,
    /// Number of requests whose responses haven't been sent completely.
    active_calls: Arc<AtomicUsize>,
    refuse: watch::Sender<bool>,
}

impl Control {
    /// Closes the listener, so that new connections are refused, or reopens it on the same port.
    pub fn refuse_connections(&self, refuse: bool) {
        self.refuse.send_replace(refuse);
    }

    /// Applies the faults that affect the listener.
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

/// A running server; dropping it cuts all connections and stops it.
pub struct Server {
    address: SocketAddr,
    control: Control,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds an address and starts a thread that serves it.
    ///
    /// Errors: the address can't be bound, or the thread can't be started.
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

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until all responses have been sent, then closes the listener and all connections. Cuts
    /// the connections that are still open after `within`.
    ///
    /// During the wait the handler still receives requests, so that it can refuse them.
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

    /// Waits until the server is stopped through its [`Control`].
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            // If the thread panicked, the panic was already printed; don't raise a second one here.
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

/// Waits until the condition holds or the deadline has passed.
pub(crate) fn poll_until(deadline: Instant, condition: impl Fn() -> bool) {
    while !condition() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}
