//! The accept loop, and the handling of each connection.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener, ToSocketAddrs};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::{Call, Control, Handler, Peer};

/// Delay in milliseconds after each attempt to bind the port again when connections are no longer
/// refused.
const REBIND_INTERVAL_MS: u64 = 20;

/// Connections that may wait to be accepted. A burst overflows the standard library's backlog of
/// 128, and the clients beyond it retry only after a second.
const LISTEN_BACKLOG: i32 = 4_096;

/// Counts a request as active until its response has been sent or dropped.
pub struct ActiveCall(Arc<AtomicUsize>);

impl ActiveCall {
    fn new(count: &Arc<AtomicUsize>) -> ActiveCall {
        count.fetch_add(1, Ordering::SeqCst);
        ActiveCall(count.clone())
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Resolves `address` and binds the first socket address that can be bound. The listener is
/// non-blocking, as tokio requires.
///
/// Errors: no socket address can be bound; returns the error of the last one.
pub fn bind(address: &str) -> io::Result<StdListener> {
    let mut error = io::Error::new(io::ErrorKind::InvalidInput, "no address");
    for address in address.to_socket_addrs()? {
        match listen(address) {
            Ok(listener) => return Ok(listener),
            Err(failed) => error = failed,
        }
    }
    Err(error)
}

fn listen(address: SocketAddr) -> io::Result<StdListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Accepts connections until the server drains, then waits until all of them are closed.
pub async fn serve<H: Handler>(
    listener: StdListener,
    address: SocketAddr,
    control: Control,
    handler: Arc<H>,
) {
    let (open, mut all_closed) = mpsc::channel::<Infallible>(1);
    tokio::select! {
        () = control.drain.cancelled() => {}
        () = accept(listener, address, &control, &handler, &open) => {}
    }
    drop(open);
    // Returns when every connection has dropped its sender.
    let _closed = all_closed.recv().await;
}

async fn accept<H: Handler>(
    listener: StdListener,
    address: SocketAddr,
    control: &Control,
    handler: &Arc<H>,
    open: &mpsc::Sender<Infallible>,
) {
    let mut refused = control.refuse.subscribe();
    let mut listener = TcpListener::from_std(listener).ok();
    loop {
        if *refused.borrow_and_update() {
            listener = None;
            if refused.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(bound) = &listener else {
            listener = listen(address).and_then(TcpListener::from_std).ok();
            tokio::time::sleep(Duration::from_millis(REBIND_INTERVAL_MS)).await;
            continue;
        };
        tokio::select! {
            accepted = bound.accept() => {
                if let Ok((stream, _)) = accepted {
                    let serving = handle_connection(stream, control.clone(), handler.clone());
                    let open = open.clone();
                    tokio::spawn(async move {
                        serving.await;
                        drop(open);
                    });
                }
            }
            changed = refused.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn handle_connection<H: Handler>(stream: TcpStream, control: Control, handler: Arc<H>) {
    let Ok((stream, socket)) = split_socket(stream) else {
        return;
    };
    let cut = control.stop.child_token();
    let peer = Peer {
        socket: Arc::new(socket),
        cut: cut.clone(),
    };
    let service = service_fn(|request| {
        let active = ActiveCall::new(&control.active_calls);
        let handling = handler.clone().handle(call(request, peer.clone()));
        async move { Ok::<_, Infallible>(handling.await.into_hyper(active)) }
    });
    let mut serving =
        std::pin::pin!(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // If a cut and the end of the body are ready at the same time, the cut takes precedence.
        biased;
        () = cut.cancelled() => return,
        _ended = serving.as_mut() => return,
        () = control.drain.cancelled() => serving.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        biased;
        () = cut.cancelled() => {}
        _ended = serving => {}
    }
}

fn call(request: hyper::Request<Incoming>, peer: Peer) -> Call {
    let (head, body) = request.into_parts();
    Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        headers: head.headers,
        peer,
        body,
    }
}

/// Returns the stream and a second handle to its socket, which can set the linger time later.
fn split_socket(stream: TcpStream) -> io::Result<(TcpStream, std::net::TcpStream)> {
    stream.set_nodelay(true)?;
    let socket = stream.into_std()?;
    let second_handle = socket.try_clone()?;
    Ok((TcpStream::from_std(socket)?, second_handle))
}
