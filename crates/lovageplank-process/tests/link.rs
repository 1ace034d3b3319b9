//! Links between processes: handshake, failures and reconnection.

use futures_util::{SinkExt, StreamExt};
use lovageplank_core::fleet::message::Message as FleetMessage;
use lovageplank_process::link::{Config, EncodedFrame, Event, Events, Link, dial, hello, listen};
use lovageplank_wire::codec::{FRAME_BYTES_MAX, decode, encode};
use lovageplank_wire::hello::{LinkEnd, LinkKey};
use lovageplank_wire::{Frame, Hello, Role};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};
use tokio_util::sync::CancellationToken;

/// Milliseconds within which any event must occur, also on a busy machine.
const EVENT_TIMEOUT_MS: u64 = 30_000;

const KEY: &[u8] = b"0123456789abcdef";
const OTHER_KEY: &[u8] = b"0123456789abcdeg";

/// A process with links, and the events of these links.
struct Process {
    config: Config,
    events: flume::Receiver<Event>,
}

impl Process {
    fn new(instance: &str, role: Role, key: &[u8]) -> Process {
        let (sender, events) = flume::bounded(1_000);
        let config = Config {
            hello: hello(instance.into(), role, "salt".into(), "127.0.0.1:1".into()),
            key: LinkKey::new(key).expect("long enough"),
            events: Events::single(sender),
            egress: None,
            stop: CancellationToken::new(),
        };
        Process { config, events }
    }

    async fn listening(key: &[u8]) -> (Process, SocketAddr) {
        let process = Process::new("control-1", Role::Control, key);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("has an address");
        tokio::spawn(listen(listener, process.config.clone()));
        (process, address)
    }

    fn dialling(address: SocketAddr, key: &[u8]) -> Process {
        let process = Process::new("router-1", Role::Router, key);
        tokio::spawn(dial(address, process.config.clone()));
        process
    }

    async fn next(&self) -> Event {
        with_timeout(self.events.recv_async())
            .await
            .expect("an event")
    }

    async fn up(&self) -> Link {
        match self.next().await {
            Event::Up(link) => link,
            other => panic!("{other:?}"),
        }
    }

    async fn frame(&self) -> Frame {
        match self.next().await {
            Event::Frame { frame, .. } => frame,
            other => panic!("{other:?}"),
        }
    }

    async fn down(&self, link: &Link) -> String {
        match self.next().await {
            Event::Down { link: id, reason } if id == link.id => reason,
            other => panic!("{other:?}"),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.config.stop.cancel();
    }
}

async fn with_timeout<T>(future: impl Future<Output = T>) -> T {
    let limit = Duration::from_millis(EVENT_TIMEOUT_MS);
    tokio::time::timeout(limit, future).await.expect("in time")
}

/// A peer whose messages the tests send one by one.
type Peer = WebSocketStream<TcpStream>;

async fn connect_peer(address: SocketAddr) -> Peer {
    let stream = TcpStream::connect(address).await.expect("connects");
    let url = format!("ws://{address}/link");
    client_async(url, stream).await.expect("upgrades").0
}

async fn send(peer: &mut Peer, frame: &Frame) {
    let bytes = encode(frame).expect("encodes");
    peer.send(Message::Binary(bytes.into()))
        .await
        .expect("sends");
}

/// Receives the next frame; `None` once the other end has closed the connection.
async fn receive(peer: &mut Peer) -> Option<Frame> {
    loop {
        match with_timeout(peer.next()).await {
            Some(Ok(Message::Binary(bytes))) => {
                return Some(decode(&bytes).expect("decodes"));
            }
            None | Some(Err(_) | Ok(Message::Close(_))) => return None,
            Some(Ok(_)) => {}
        }
    }
}

fn router_hello() -> Hello {
    hello(
        "router-1".into(),
        Role::Router,
        "salt".into(),
        "127.0.0.1:2".into(),
    )
}

/// Performs the dialling end's handshake as docs/PROTOCOL.md shows it. Returns the peer and the
/// frame that the listening end sent as its proof.
async fn open_link(address: SocketAddr, key: &[u8]) -> (Peer, Option<Frame>) {
    let key = LinkKey::new(key).expect("long enough");
    let (mut peer, ours) = (connect_peer(address).await, router_hello());
    send(&mut peer, &Frame::Hello(ours.clone())).await;
    let Some(Frame::Hello(theirs)) = receive(&mut peer).await else {
        panic!("no hello");
    };
    let proof = receive(&mut peer).await;
    send(
        &mut peer,
        &Frame::Proof(key.prove(LinkEnd::Dialling, &ours, &theirs)),
    )
    .await;
    (peer, proof)
}

#[tokio::test]
async fn link_carries_frames_both_ways_in_order() {
    let (listening, address) = Process::listening(KEY).await;
    let dialling = Process::dialling(address, KEY);
    let (dialled_link, accepted_link) = (dialling.up().await, listening.up().await);
    assert_eq!(
        (&*dialled_link.peer.instance, dialled_link.peer.role),
        ("control-1", Role::Control)
    );
    assert_eq!(
        (&*accepted_link.peer.instance, accepted_link.peer.role),
        ("router-1", Role::Router)
    );
    for nonce in 0..100 {
        assert!(dialled_link.send(Frame::Pong { nonce }));
        assert!(accepted_link.send(Frame::Pong {
            nonce: 1_000 + nonce
        }));
    }
    for nonce in 0..100 {
        assert_eq!(listening.frame().await, Frame::Pong { nonce });
        assert_eq!(
            dialling.frame().await,
            Frame::Pong {
                nonce: 1_000 + nonce
            }
        );
    }
}

/// In production, one encoded update is sent to hundreds of peers.
#[tokio::test]
async fn encoded_frame_keeps_its_order_on_every_link() {
    let (listening, address) = Process::listening(KEY).await;
    let peers: Vec<Process> = (0..5).map(|_| Process::dialling(address, KEY)).collect();
    let mut links = Vec::new();
    for _ in &peers {
        links.push(listening.up().await);
    }
    let update = EncodedFrame::new(&Frame::Pong { nonce: 7 }).expect("encodes");
    for link in &links {
        assert!(link.send(Frame::Pong { nonce: 6 }));
        assert!(link.send_encoded(&update));
        assert!(link.send(Frame::Pong { nonce: 8 }));
    }
    for peer in &peers {
        // Keeps the link open, because dropping it closes it.
        let _link = peer.up().await;
        for nonce in 6..=8 {
            assert_eq!(peer.frame().await, Frame::Pong { nonce });
        }
    }
}

// Guards against links that older builds close over messages that they don't know (docs/incidents/brittle-servers.md).
#[tokio::test]
async fn a_frame_that_the_peer_does_not_know_is_left_out() {
    let (listening, address) = Process::listening(KEY).await;
    let mut older = Process::new("router-1", Role::Router, KEY);
    older.config.hello.protocol = 1;
    tokio::spawn(dial(address, older.config.clone()));
    let newer = Process::dialling(address, KEY);
    let unknown = Frame::Fleet(Box::new(FleetMessage::BrittleServers(Vec::new())));
    let encoded = EncodedFrame::new(&unknown).expect("encodes");
    for _ in 0..2 {
        let link = listening.up().await;
        assert!(link.send(unknown.clone()));
        assert!(link.send_encoded(&encoded));
        assert!(link.send(Frame::Pong { nonce: 8 }));
    }
    let _links = (older.up().await, newer.up().await);
    assert_eq!(older.frame().await, Frame::Pong { nonce: 8 });
    for expected in [unknown.clone(), unknown, Frame::Pong { nonce: 8 }] {
        assert_eq!(newer.frame().await, expected);
    }
}

#[tokio::test]
async fn wrong_key_is_refused_at_both_ends() {
    let (listening, address) = Process::listening(KEY).await;
    let (mut impostor, _) = open_link(address, OTHER_KEY).await;
    assert_eq!(receive(&mut impostor).await, None);
    assert!(listening.events.is_empty());

    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    let dialling = Process::dialling(address, KEY);
    let (stream, _) = with_timeout(listener.accept()).await.expect("accepts");
    let mut impostor = accept_async(stream).await.expect("upgrades");
    let Some(Frame::Hello(theirs)) = receive(&mut impostor).await else {
        panic!("no hello");
    };
    let (ours, key) = (
        router_hello(),
        LinkKey::new(OTHER_KEY).expect("long enough"),
    );
    send(&mut impostor, &Frame::Hello(ours.clone())).await;
    let proof = key.prove(LinkEnd::Listening, &theirs, &ours);
    send(&mut impostor, &Frame::Proof(proof)).await;
    // The dialling end closes the connection without sending its proof.
    assert_eq!(receive(&mut impostor).await, None);
    assert!(dialling.events.is_empty());
}

#[tokio::test]
async fn proof_reflected_to_its_sender_is_refused() {
    let (listening, address) = Process::listening(KEY).await;
    let (mut peer, ours) = (connect_peer(address).await, router_hello());
    send(&mut peer, &Frame::Hello(ours)).await;
    assert!(matches!(receive(&mut peer).await, Some(Frame::Hello(_))));
    let theirs = receive(&mut peer).await.expect("their proof");
    send(&mut peer, &theirs).await;
    assert_eq!(receive(&mut peer).await, None);
    assert!(listening.events.is_empty());
}

/// Newest and oldest protocol version of a peer, and whether it is refused.
const VERSIONS: &[(u32, u32, bool)] = &[
    (1, 1, false),
    (9, 1, false),
    (9, 2, false),
    (9, 3, false),
    (9, 4, false),
    (9, 5, false),
    (9, 6, false),
    (9, 7, false),
    (9, 8, false),
    (9, 9, true),
    (0, 0, true),
    (u32::MAX, u32::MAX, true),
];

#[tokio::test]
async fn incompatible_version_is_rejected_with_reason() {
    let (_listening, address) = Process::listening(KEY).await;
    for (protocol, protocol_min, refused) in VERSIONS {
        let mut peer = connect_peer(address).await;
        let ours = Hello {
            protocol: *protocol,
            protocol_min: *protocol_min,
            ..router_hello()
        };
        send(&mut peer, &Frame::Hello(ours)).await;
        match receive(&mut peer).await {
            Some(Frame::Reject(reason)) if *refused => {
                let versions = format!("protocol 1..=8 meets {protocol_min}..={protocol}");
                assert_eq!(&*reason, versions);
                assert_eq!(receive(&mut peer).await, None);
            }
            Some(Frame::Hello(_)) if !refused => {}
            other => panic!("{protocol_min}..={protocol}: {other:?}"),
        }
    }
}

/// Messages that a peer sends first instead of a hello.
fn invalid_first_messages() -> Vec<(&'static str, Message)> {
    let ping = encode(&Frame::Ping { nonce: 1 }).expect("encodes");
    let large = vec![0; FRAME_BYTES_MAX + 1];
    vec![
        ("another frame", Message::Binary(ping.into())),
        ("an invalid frame", Message::Binary(vec![0xff; 100].into())),
        ("an empty message", Message::Binary(Vec::new().into())),
        (
            "a message larger than a frame may be",
            Message::Binary(large.into()),
        ),
        ("a close message", Message::Close(None)),
    ]
}

#[tokio::test]
async fn first_message_other_than_hello_closes_connection() {
    let (listening, address) = Process::listening(KEY).await;
    for (description, message) in invalid_first_messages() {
        let mut peer = connect_peer(address).await;
        // The other end may close the connection before it has read the whole message.
        let _ = peer.send(message).await;
        assert_eq!(receive(&mut peer).await, None, "{description}");
    }
    assert!(listening.events.is_empty());
    let dialling = Process::dialling(address, KEY);
    dialling.up().await;
}

/// Messages that close an open link, and the start of the reason.
fn invalid_messages() -> Vec<(Message, &'static str)> {
    vec![
        (Message::Binary(vec![0xff; 100].into()), "decode: "),
        (
            Message::Binary(vec![0; FRAME_BYTES_MAX + 1].into()),
            "read: ",
        ),
        (Message::Close(None), "read: the peer closed the link"),
    ]
}

#[tokio::test]
async fn invalid_message_closes_link_and_reason_names_the_step() {
    let (listening, address) = Process::listening(KEY).await;
    for (message, step) in invalid_messages() {
        let (mut peer, proof) = open_link(address, KEY).await;
        assert!(matches!(proof, Some(Frame::Proof(_))));
        let link = listening.up().await;
        // The other end may close the connection before it has read the whole message.
        let _ = peer.send(message).await;
        let reason = listening.down(&link).await;
        assert!(reason.starts_with(step), "{step}: {reason}");
    }
}

#[tokio::test]
async fn bytes_without_websocket_upgrade_close_connection() {
    let (listening, address) = Process::listening(KEY).await;
    for bytes in [
        &[0xff; 200][..],
        b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
        b"\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        stream.write_all(bytes).await.expect("sends");
        let mut rest = Vec::new();
        // A reset closes the connection, too.
        let _ = with_timeout(stream.read_to_end(&mut rest)).await;
        assert!(!rest.starts_with(b"HTTP/1.1 101"), "{bytes:?}");
    }
    assert!(listening.events.is_empty());
}

#[tokio::test]
async fn silent_peer_is_closed_and_does_not_block_others() {
    let (listening, address) = Process::listening(KEY).await;
    let mut silent = TcpStream::connect(address).await.expect("connects");
    let mut upgraded = connect_peer(address).await;
    let dialling = Process::dialling(address, KEY);
    dialling.up().await;
    listening.up().await;
    let mut rest = Vec::new();
    let _ = with_timeout(silent.read_to_end(&mut rest)).await;
    assert_eq!(rest, b"");
    assert_eq!(receive(&mut upgraded).await, None);
}

#[tokio::test]
async fn silent_dialled_peer_is_retried() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    let dialling = Process::dialling(address, KEY);
    let (mut first, _) = with_timeout(listener.accept()).await.expect("accepts");
    let mut rest = Vec::new();
    let _ = with_timeout(first.read_to_end(&mut rest)).await;
    assert!(rest.starts_with(b"GET /link HTTP/1.1"));
    with_timeout(listener.accept())
        .await
        .expect("the dialling end connects again");
    assert!(dialling.events.is_empty());
}

#[tokio::test]
async fn dialling_end_reconnects_after_close() {
    let (listening, address) = Process::listening(KEY).await;
    let dialling = Process::dialling(address, KEY);
    let mut ids = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let (dialled_link, accepted_link) = (dialling.up().await, listening.up().await);
        assert!(
            ids.insert(dialled_link.id) && ids.insert(accepted_link.id),
            "each link has its own id"
        );
        accepted_link.close();
        assert_eq!(listening.down(&accepted_link).await, "closed locally");
        assert!(dialling.down(&dialled_link).await.starts_with("read: "));
    }
}

#[tokio::test]
async fn stop_closes_all_links() {
    let (listening, address) = Process::listening(KEY).await;
    let dialling = Process::dialling(address, KEY);
    let (dialled_link, accepted_link) = (dialling.up().await, listening.up().await);
    listening.config.stop.cancel();
    assert_eq!(listening.down(&accepted_link).await, "closed locally");
    dialling.down(&dialled_link).await;
}
