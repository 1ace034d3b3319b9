//! WebSocket links between processes, with mutual authentication.
//!
//! [`listen`] accepts links and [`dial`] keeps one link to an address open. Both send [`Event`]s
//! for opened links, received frames and closed links to the channels in [`Events`]. Frames that
//! are sent on a [`Link`] are queued. A link is closed if its queue is full or its peer doesn't
//! read, so that senders never wait.
//!
//! A silent network partition sends neither FIN nor RST. So each end sends a ping if it has sent no
//! frame for [`PING_INTERVAL_MS`], and closes a link on which it has received nothing for
//! [`IDLE_TIMEOUT_MS`].

mod egress;

pub use egress::Egress;

use bytes::Bytes;
use eyre::{Result, WrapErr, bail, eyre};
use flume::Sender;
use futures_util::{SinkExt, StreamExt};
use lovageplank_core::prelude::*;
use lovageplank_wire::hello::{LinkEnd, LinkKey, PROTOCOL_VERSION, PROTOCOL_VERSION_MIN};
use lovageplank_wire::{Frame, Hello, Role, codec};
use rand::Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::protocol::frame::Frame as WebSocketFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::{Data, OpCode};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};
use tokio_util::sync::CancellationToken;

/// Milliseconds without a sent frame after which an end sends a ping.
pub const PING_INTERVAL_MS: u64 = 500;

/// Milliseconds without a received message after which an end closes the link. It exceeds
/// [`PING_INTERVAL_MS`], so that an idle but working link stays open.
pub const IDLE_TIMEOUT_MS: u64 = 2_500;

/// Milliseconds within which a link must connect and finish its handshake. Otherwise the
/// connection is closed, so that a silent peer can't keep a slot of the listener.
const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;

/// Milliseconds within which one frame must be written. A link whose peer reads more slowly is
/// closed.
const WRITE_TIMEOUT_MS: u64 = 2_500;

/// Milliseconds that a frame waits to be written, or takes, from which on the log says so. A voter that hears nothing for
/// an election timeout, which isn't much longer, takes its leader for lost.
const SLOW_MS: u64 = 200;

/// Frames that may wait to be written on one link. A link that exceeds it is closed, which bounds
/// the memory for a slow peer.
const SEND_QUEUE_FRAMES: usize = 1_024;

/// Bytes that one read of a link takes at most. Each read writes to the whole buffer, so all of it is resident for
/// each link; a longer frame gets a buffer of its length.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Bytes that are written at once. The buffer of a link keeps the size of the largest write, so a longer frame is sent
/// as several WebSocket frames, which the receiving end joins.
const FRAGMENT_BYTES: usize = 8 << 10;

/// Most links that a listener accepts at once; further connections are closed.
const LINKS_MAX: usize = 1_000;

/// Shortest and longest backoff in milliseconds between attempts to connect, before jitter. The
/// shortest is also the pause after a failed accept.
const RECONNECT_BACKOFF_MS: (u64, u64) = (50, 1_000);

/// An event on a link.
#[derive(Debug)]
pub enum Event {
    /// A link was opened and authenticated.
    Up(Link),
    /// A frame was received.
    Frame {
        /// The link's number.
        link: u64,
        /// The frame.
        frame: Frame,
    },
    /// A link was closed.
    Down {
        /// The link's number.
        link: u64,
        /// The operation that failed, such as `read`, and the cause; or `closed locally`.
        reason: String,
    },
}

/// The sending half of a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Unique in this process.
    pub id: u64,
    /// The peer's hello.
    pub peer: Arc<Hello>,
    queue: mpsc::Sender<Queued>,
    closed: CancellationToken,
}

/// An encoded frame, which can be sent on many links without encoding it again.
#[derive(Clone, Debug)]
pub struct EncodedFrame {
    bytes: Bytes,
    protocol: u32,
    /// See [`Frame::kind`].
    kind: &'static str,
}

impl EncodedFrame {
    /// Encodes a frame. Fails if it can't be encoded or is too large.
    pub fn new(frame: &Frame) -> Result<EncodedFrame> {
        let bytes = codec::encode(frame).wrap_err("encode")?;
        Ok(EncodedFrame {
            bytes: bytes.into(),
            protocol: frame.protocol(),
            kind: frame.kind(),
        })
    }

    /// The same frame under another name of its kind, for one that holds others.
    #[must_use]
    pub fn of_kind(self, kind: &'static str) -> EncodedFrame {
        EncodedFrame { kind, ..self }
    }

    /// Its length in bytes.
    pub fn length(&self) -> usize {
        self.bytes.len()
    }
}

/// A frame in the send queue.
#[derive(Debug)]
enum Outgoing {
    Frame(Frame),
    Encoded(EncodedFrame),
}

/// A frame in the send queue, and since when it waits.
type Queued = (Instant, Outgoing);

impl Outgoing {
    fn encoded(self) -> Result<EncodedFrame> {
        match self {
            Outgoing::Encoded(encoded) => Ok(encoded),
            Outgoing::Frame(frame) => EncodedFrame::new(&frame),
        }
    }
}

impl Link {
    /// Queues a frame. Closes the link and returns false if the queue is full or the link is
    /// closed. A frame that the peer doesn't know is left out.
    pub fn send(&self, frame: Frame) -> bool {
        !self.knows(frame.protocol()) || self.enqueue(Outgoing::Frame(frame))
    }

    /// Whether the peer knows frames of this protocol version.
    pub fn knows(&self, protocol: u32) -> bool {
        self.peer.protocol >= protocol
    }

    /// Queues a frame that was encoded for several links, as [`Link::send`] does.
    pub fn send_encoded(&self, frame: &EncodedFrame) -> bool {
        !self.knows(frame.protocol) || self.enqueue(Outgoing::Encoded(frame.clone()))
    }

    fn enqueue(&self, outgoing: Outgoing) -> bool {
        let queued = self.queue.try_send((Instant::now(), outgoing)).is_ok();
        if !queued {
            self.closed.cancel();
        }
        queued
    }

    /// Closes the link.
    pub fn close(&self) {
        self.closed.cancel();
    }
}

/// Channels for events, by the peer's role, so that events of one kind of peer can't delay those of
/// the other.
#[derive(Clone, Debug)]
pub struct Events {
    /// Receives the events of links to control processes.
    pub control: Sender<Event>,
    /// Receives the events of links to routers.
    pub router: Sender<Event>,
}

impl Events {
    /// Sends the events of all links to one channel.
    pub fn single(sender: Sender<Event>) -> Events {
        Events {
            control: sender.clone(),
            router: sender,
        }
    }

    fn sender_for(&self, role: Role) -> &Sender<Event> {
        match role {
            Role::Control | Role::Observer => &self.control,
            Role::Router => &self.router,
        }
    }
}

/// Configuration of [`listen`] and [`dial`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Hello of this process; each link gets its own nonce.
    pub hello: Hello,
    /// The deployment's key.
    pub key: LinkKey,
    /// Channels for events.
    pub events: Events,
    /// The link of this process's instance, if routers may take only a share of it.
    pub egress: Option<Arc<Egress>>,
    /// Closes all links and ends `listen` and `dial` when cancelled.
    pub stop: CancellationToken,
}

/// Returns a hello with this build's protocol versions. Identity and incarnation are 0; the nonce
/// is set for each link.
pub fn hello(instance: Name, role: Role, failure_domain: Name, address: Name) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        protocol_min: PROTOCOL_VERSION_MIN,
        instance,
        role,
        id: 0,
        incarnation: 0,
        address,
        failure_domain,
        nonce: [0; 16],
    }
}

/// Accepts links until [`Config::stop`] is cancelled.
pub async fn listen(listener: TcpListener, config: Config) {
    let slots = Arc::new(tokio::sync::Semaphore::new(LINKS_MAX));
    loop {
        let accepted = tokio::select! {
            () = config.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(Duration::from_millis(RECONNECT_BACKOFF_MS.0)).await;
            continue;
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            tracing::warn!(event = "link_refused", %peer, reason = "too many links");
            continue;
        };
        let config = config.clone();
        tokio::spawn(async move {
            if let Err(error) = accept(stream, &config).await {
                tracing::warn!(event = "link_refused", %peer, reason = %format!("{error:#}"));
            }
            drop(slot);
        });
    }
}

/// Keeps a link to `address` open until [`Config::stop`] is cancelled. When an attempt fails or the
/// link is closed, it reconnects with exponential backoff. The backoff is reset after a connection
/// that lasted longer than [`IDLE_TIMEOUT_MS`].
pub async fn dial(address: SocketAddr, config: Config) {
    let mut backoff_ms = RECONNECT_BACKOFF_MS.0;
    while !config.stop.is_cancelled() {
        let started = Instant::now();
        if let Err(error) = connect(address, &config).await {
            tracing::debug!(event = "link_failed", peer = %address, reason = %format!("{error:#}"));
        }
        if started.elapsed() > Duration::from_millis(IDLE_TIMEOUT_MS) {
            backoff_ms = RECONNECT_BACKOFF_MS.0;
        }
        let jittered_ms = rand::rng().random_range(backoff_ms / 2..=backoff_ms);
        tokio::select! {
            () = config.stop.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(jittered_ms)) => {}
        }
        backoff_ms = (backoff_ms * 2).min(RECONNECT_BACKOFF_MS.1);
    }
}

type Socket = WebSocketStream<TcpStream>;

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(FRAGMENT_BYTES)
        .max_message_size(Some(codec::FRAME_BYTES_MAX))
        .max_frame_size(Some(codec::FRAME_BYTES_MAX))
}

fn with_nonce(hello: &Hello) -> Hello {
    Hello {
        nonce: rand::rng().random(),
        ..hello.clone()
    }
}

async fn accept(stream: TcpStream, config: &Config) -> Result<()> {
    stream.set_nodelay(true).wrap_err("set no delay")?;
    let handshake = async {
        let mut socket = accept_async_with_config(stream, Some(websocket_config()))
            .await
            .wrap_err("accept")?;
        let Frame::Hello(theirs) = receive(&mut socket).await? else {
            bail!("hello: the peer sent another frame instead");
        };
        let ours = with_nonce(&config.hello);
        check_versions(&mut socket, &ours, &theirs).await?;
        write(&mut socket, &Frame::Hello(ours.clone())).await?;
        let proof = config.key.prove(LinkEnd::Listening, &theirs, &ours);
        write(&mut socket, &Frame::Proof(proof)).await?;
        let Frame::Proof(proof) = receive(&mut socket).await? else {
            bail!("proof: the peer sent another frame instead");
        };
        if !config.key.verify(LinkEnd::Dialling, &theirs, &ours, &proof) {
            bail!("proof: {} has another key", theirs.instance);
        }
        Ok((socket, theirs))
    };
    let (socket, peer) = with_handshake_timeout(handshake).await?;
    run_link(socket, peer, config).await;
    Ok(())
}

async fn connect(address: SocketAddr, config: &Config) -> Result<()> {
    let handshake = async {
        let stream = TcpStream::connect(address).await.wrap_err("connect")?;
        stream.set_nodelay(true).wrap_err("set no delay")?;
        let url = format!("ws://{address}/link");
        let (mut socket, _) = client_async_with_config(url, stream, Some(websocket_config()))
            .await
            .wrap_err("upgrade")?;
        let ours = with_nonce(&config.hello);
        write(&mut socket, &Frame::Hello(ours.clone())).await?;
        let theirs = match receive(&mut socket).await? {
            Frame::Hello(theirs) => theirs,
            Frame::Reject(reason) => bail!("hello: the peer rejected the link: {reason}"),
            _ => bail!("hello: the peer sent another frame instead"),
        };
        let Frame::Proof(proof) = receive(&mut socket).await? else {
            bail!("proof: the peer sent another frame instead");
        };
        if !config
            .key
            .verify(LinkEnd::Listening, &ours, &theirs, &proof)
        {
            bail!("proof: {} has another key", theirs.instance);
        }
        let proof = config.key.prove(LinkEnd::Dialling, &ours, &theirs);
        write(&mut socket, &Frame::Proof(proof)).await?;
        Ok((socket, theirs))
    };
    let (socket, peer) = with_handshake_timeout(handshake).await?;
    run_link(socket, peer, config).await;
    Ok(())
}

async fn with_handshake_timeout<T>(handshake: impl Future<Output = Result<T>>) -> Result<T> {
    timeout(Duration::from_millis(HANDSHAKE_TIMEOUT_MS), handshake)
        .await
        .map_err(|_| eyre!("open: handshake not finished within {HANDSHAKE_TIMEOUT_MS} ms"))?
}

async fn check_versions(socket: &mut Socket, ours: &Hello, theirs: &Hello) -> Result<()> {
    if ours.shares_version_with(theirs) {
        return Ok(());
    }
    let reason = format!(
        "protocol {}..={} meets {}..={}",
        ours.protocol_min, ours.protocol, theirs.protocol_min, theirs.protocol
    );
    write(socket, &Frame::Reject(reason.as_str().into())).await?;
    bail!("hello: {reason}")
}

async fn write(socket: &mut Socket, frame: &Frame) -> Result<()> {
    let bytes = codec::encode(frame).wrap_err("encode")?;
    let sent = async {
        write_message(socket, bytes.into()).await?;
        socket.flush().await
    };
    timeout(Duration::from_millis(WRITE_TIMEOUT_MS), sent)
        .await
        .map_err(|_| eyre!("write: not finished within {WRITE_TIMEOUT_MS} ms"))?
        .wrap_err("write")
}

type SinkError = tokio_tungstenite::tungstenite::Error;

/// Writes a message in fragments of at most [`FRAGMENT_BYTES`], of which the last one may stay in the buffer.
async fn write_message(
    sink: &mut (impl SinkExt<Message, Error = SinkError> + Unpin),
    mut bytes: Bytes,
) -> Result<(), SinkError> {
    if bytes.len() <= FRAGMENT_BYTES {
        return sink.feed(Message::Binary(bytes)).await;
    }
    let mut kind = Data::Binary;
    while !bytes.is_empty() {
        let fragment = bytes.split_to(bytes.len().min(FRAGMENT_BYTES));
        let frame = WebSocketFrame::message(fragment, OpCode::Data(kind), bytes.is_empty());
        sink.feed(Message::Frame(frame)).await?;
        kind = Data::Continue;
    }
    Ok(())
}

async fn receive(socket: &mut Socket) -> Result<Frame> {
    loop {
        match socket.next().await {
            Some(Err(error)) => return Err(error).wrap_err("read"),
            Some(Ok(Message::Binary(bytes))) => return codec::decode(&bytes).wrap_err("decode"),
            None | Some(Ok(Message::Close(_))) => bail!("read: the peer closed the link"),
            Some(Ok(_)) => {}
        }
    }
}

/// Sends and receives frames until the link fails, is closed or the process stops.
async fn run_link(socket: Socket, peer: Hello, config: &Config) {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let events = config.events.sender_for(peer.role);
    let (sender, frames) = mpsc::channel(SEND_QUEUE_FRAMES);
    let closed = config.stop.child_token();
    let peer = Arc::new(peer);
    let link = Link {
        id,
        peer: peer.clone(),
        queue: sender,
        closed: closed.clone(),
    };
    if events.send_async(Event::Up(link)).await.is_err() {
        return;
    }
    let (mut sink, mut stream) = socket.split();
    let write = write_frames(&mut sink, frames, &peer, config.egress.as_deref());
    let read = read_frames(&mut stream, id, events);
    let reason = tokio::select! {
        () = closed.cancelled() => "closed locally".to_owned(),
        error = write => format!("{error:#}"),
        error = read => format!("{error:#}"),
    };
    let _ = events.send_async(Event::Down { link: id, reason }).await;
}

async fn write_frames(
    sink: &mut (impl SinkExt<Message, Error = SinkError> + Unpin),
    mut frames: mpsc::Receiver<Queued>,
    peer: &Hello,
    egress: Option<&Egress>,
) -> eyre::Report {
    loop {
        let first = match timeout(Duration::from_millis(PING_INTERVAL_MS), frames.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return eyre!("closed locally"),
            Err(_) => (Instant::now(), Outgoing::Frame(Frame::Ping { nonce: 0 })),
        };
        let queued_at = first.0;
        let (mut batch, mut batch_bytes) = (Vec::new(), 0);
        // Frames that wait together are written together: a write costs more than a short frame.
        let mut next = Some(first);
        while let Some((_, frame)) = next {
            let encoded = match frame.encoded() {
                Ok(encoded) => encoded,
                Err(error) => return error,
            };
            if let Some(egress) = egress {
                egress.count(peer.role, &encoded);
            }
            batch_bytes += encoded.length();
            batch.push(encoded.bytes);
            let has_room = batch_bytes < FRAGMENT_BYTES;
            next = has_room.then(|| frames.try_recv().ok()).flatten();
        }
        if let Some(egress) = egress {
            egress.admit(peer.role, batch_bytes).await;
        }
        for bytes in batch {
            if let Err(error) = in_time(write_message(sink, bytes)).await {
                return error;
            }
        }
        if let Err(error) = in_time(sink.flush()).await {
            return error;
        }
        record_write(peer, batch_bytes, queued_at.elapsed());
    }
}

/// Counts bytes that were written, and logs a write that was late.
fn record_write(peer: &Hello, bytes: usize, waited: Duration) {
    let to = egress::peer_kind(peer.role);
    metrics::counter!("lovageplank_link_sent_bytes", "to" => to).increment(bytes as u64);
    if waited >= Duration::from_millis(SLOW_MS) {
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        tracing::info!(event = "link_slow", peer = %peer.instance, to, bytes, waited_ms);
    }
}

/// Waits for a step of a write, at most [`WRITE_TIMEOUT_MS`].
async fn in_time(step: impl Future<Output = Result<(), SinkError>>) -> Result<()> {
    match timeout(Duration::from_millis(WRITE_TIMEOUT_MS), step).await {
        Ok(written) => written.map_err(|error| eyre!("write: {error}")),
        Err(_) => bail!("write: not finished within {WRITE_TIMEOUT_MS} ms"),
    }
}

async fn read_frames(
    stream: &mut (impl StreamExt<Item = Result<Message, SinkError>> + Unpin),
    link: u64,
    events: &Sender<Event>,
) -> eyre::Report {
    loop {
        let message = match timeout(Duration::from_millis(IDLE_TIMEOUT_MS), stream.next()).await {
            Err(_) => return eyre!("read: no message for {IDLE_TIMEOUT_MS} ms"),
            Ok(None) => return eyre!("read: the peer closed the link"),
            Ok(Some(Err(error))) => return eyre!("read: {error}"),
            Ok(Some(Ok(message))) => message,
        };
        let Message::Binary(bytes) = message else {
            continue;
        };
        metrics::counter!("lovageplank_link_received_bytes").increment(bytes.len() as u64);
        let frame = match codec::decode(&bytes) {
            Ok(Frame::Ping { .. }) => continue,
            Ok(frame) => frame,
            Err(error) => return eyre!("decode: {error}"),
        };
        if events
            .send_async(Event::Frame { link, frame })
            .await
            .is_err()
        {
            return eyre!("closed locally");
        }
    }
}
