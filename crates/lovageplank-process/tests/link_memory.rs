//! Memory of a control process whose links are many. It stands in a program of its own, because it reads the
//! memory of the whole process.
//!
//! Pattern: hundreds of routers reconnect at once after all control processes were lost.

#![cfg(target_os = "linux")]

use futures_util::{SinkExt, StreamExt};
use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::message::Message;
use lovageplank_process::link::{Config, EncodedFrame, Event, Events, hello, listen};
use lovageplank_wire::codec::{decode, encode};
use lovageplank_wire::hello::{LinkEnd, LinkKey};
use lovageplank_wire::{Frame, Role};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, client_async_with_config, tungstenite};
use tokio_util::sync::CancellationToken;

const KEY: &[u8] = b"0123456789abcdef";
const LINKS: usize = 300;
/// Megabytes that the links of 300 routers may take: a fifth of the 80 MB of a control process.
const LINKS_MEMORY_MB_MAX: u64 = 16;
/// Bytes of a large compressed document.
const DOCUMENT_BYTES: usize = 200_000;
/// Milliseconds within which any event must occur, also on a busy machine.
const EVENT_TIMEOUT_MS: u64 = 30_000;

fn resident_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("reads");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    let kb: u64 = kb.and_then(|kb| kb.parse().ok()).expect("kilobytes");
    kb / 1_024
}

/// Bytes that compression doesn't shorten, as many as a document of 1,476 routes takes.
fn document_bytes() -> Vec<u8> {
    let mut state = 1_u64;
    let mut next = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        state.to_be_bytes()[0]
    };
    (0..DOCUMENT_BYTES).map(|_| next()).collect()
}

/// A peer that reads one message at a time, so that only the listening end holds much.
async fn open_link(address: SocketAddr) -> WebSocketStream<TcpStream> {
    let key = LinkKey::new(KEY).expect("long enough");
    let stream = TcpStream::connect(address).await.expect("connects");
    let small = WebSocketConfig::default().read_buffer_size(1 << 10);
    let url = format!("ws://{address}/link");
    let opened = client_async_with_config(url, stream, Some(small)).await;
    let mut peer = opened.expect("upgrades").0;
    let ours = hello(
        "router".into(),
        Role::Router,
        "salt".into(),
        "127.0.0.1:2".into(),
    );
    send(&mut peer, &Frame::Hello(ours.clone())).await;
    let Frame::Hello(theirs) = receive(&mut peer).await else {
        panic!("no hello");
    };
    let Frame::Proof(_) = receive(&mut peer).await else {
        panic!("no proof");
    };
    let proof = key.prove(LinkEnd::Dialling, &ours, &theirs);
    send(&mut peer, &Frame::Proof(proof)).await;
    peer
}

async fn send(peer: &mut WebSocketStream<TcpStream>, frame: &Frame) {
    let bytes = encode(frame).expect("encodes");
    let sent = peer.send(tungstenite::Message::Binary(bytes.into())).await;
    sent.expect("sends");
}

async fn receive(peer: &mut WebSocketStream<TcpStream>) -> Frame {
    let limit = Duration::from_millis(EVENT_TIMEOUT_MS);
    loop {
        let message = tokio::time::timeout(limit, peer.next()).await;
        match message.expect("in time").expect("open").expect("reads") {
            tungstenite::Message::Binary(bytes) => return decode(&bytes).expect("decodes"),
            tungstenite::Message::Close(_) => panic!("closed"),
            _ => {}
        }
    }
}

/// Guards against buffers of 128 KiB for each link, all of which were written at each read (38 MB for 300
/// routers), and against write buffers that keep the size of the largest document.
#[tokio::test]
async fn links_of_many_routers_take_little_memory() {
    let (sender, events) = flume::bounded(1_000);
    let instance = "control-1".into();
    let config = Config {
        hello: hello(instance, Role::Control, "salt".into(), "127.0.0.1:1".into()),
        key: LinkKey::new(KEY).expect("long enough"),
        events: Events::single(sender),
        egress: None,
        stop: CancellationToken::new(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    tokio::spawn(listen(listener, config.clone()));
    let document = Document::new(1, &document_bytes());
    let document = Frame::Fleet(Box::new(Message::Document(document)));
    let encoded = EncodedFrame::new(&document).expect("encodes");
    let before_mb = resident_mb();
    let (one_reads, document) = (Arc::new(Semaphore::new(1)), Arc::new(document));
    let peers = (0..LINKS).map(|_| {
        let (one_reads, document) = (one_reads.clone(), document.clone());
        tokio::spawn(async move {
            let mut peer = open_link(address).await;
            send(&mut peer, &Frame::Members(Vec::new())).await;
            let permit = one_reads.acquire().await.expect("open");
            assert_eq!(receive(&mut peer).await, *document);
            drop(permit);
            peer
        })
    });
    let peers: Vec<_> = peers.collect();
    let (mut links, mut frames) = (Vec::new(), 0);
    while links.len() < LINKS || frames < LINKS {
        match events.recv_async().await {
            Ok(Event::Up(link)) => {
                assert!(link.send_encoded(&encoded));
                links.push(link);
            }
            Ok(Event::Frame { .. }) => frames += 1,
            other => panic!("{other:?}"),
        }
    }
    let mut open = Vec::new();
    for peer in peers {
        open.push(peer.await.expect("received the document"));
    }
    let mb = resident_mb() - before_mb;
    assert!(mb <= LINKS_MEMORY_MB_MAX, "{LINKS} links take {mb} MB");
    config.stop.cancel();
}
