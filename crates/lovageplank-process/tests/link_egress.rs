//! Frames to routers take turns on the link of an instance, and those to other control processes don't wait.

use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::prelude::*;
use lovageplank_process::link::{Config, Egress, Event, Events, Link, dial, hello, listen};
use lovageplank_wire::hello::LinkKey;
use lovageplank_wire::{Frame, Role};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

const KEY: &[u8] = b"0123456789abcdef";
const LINK_BYTES_PER_S: f64 = 1e6;
/// Share of the link that frames to routers may take.
const LINK_SHARE: f64 = 0.7;
const ROUTERS: usize = 20;
const FRAME_BYTES: usize = 20_000;
/// Milliseconds between frames to the other control process.
const HEARTBEAT_MS: u64 = 50;
/// Milliseconds within which such a frame arrives: half of the shortest election timeout, which is 400 ms.
const HEARTBEAT_TIMEOUT_MS: u64 = 200;

fn config(name: &str, role: Role, egress: Option<Egress>) -> (Config, flume::Receiver<Event>) {
    let (sender, events) = flume::bounded(1_000);
    let config = Config {
        hello: hello(name.into(), role, "salt".into(), "127.0.0.1:1".into()),
        key: LinkKey::new(KEY).expect("long enough"),
        events: Events::single(sender),
        egress: egress.map(Arc::new),
        stop: CancellationToken::new(),
    };
    (config, events)
}

/// The next frame of a process. Its links, which stay open as long as they are kept, are added to `links`.
async fn frame(events: &flume::Receiver<Event>, links: &mut Vec<Link>) -> Frame {
    loop {
        match events.recv_async().await.expect("an event") {
            Event::Frame { frame, .. } => return frame,
            Event::Up(link) => links.push(link),
            Event::Down { reason, .. } => panic!("{reason}"),
        }
    }
}

/// Guards against heartbeats that wait behind what hundreds of routers are told at once, so that a leader loses its
/// office as soon as they connect.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_do_not_wait_for_what_routers_are_told_at_once() {
    let (ours, events) = config(
        "control-1",
        Role::Control,
        Some(Egress::new(LINK_BYTES_PER_S)),
    );
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    tokio::spawn(listen(listener, ours));
    let (peer, peer_events) = config("control-2", Role::Control, None);
    tokio::spawn(dial(address, peer));
    let mut routers = Vec::new();
    for number in 0..ROUTERS {
        let (router, router_events) = config(&format!("router-{number}"), Role::Router, None);
        tokio::spawn(dial(address, router));
        routers.push(router_events);
    }
    let mut links: Vec<Link> = Vec::new();
    while links.len() <= ROUTERS {
        if let Event::Up(link) = events.recv_async().await.expect("an event") {
            links.push(link);
        }
    }
    // Bytes that don't compress.
    let bytes: Vec<u8> = (0..FRAME_BYTES).map(|_| rand::random()).collect();
    let message = Message::Document(Document::new(1, &bytes));
    let began = Instant::now();
    let to_routers = links.iter().filter(|link| link.peer.role == Role::Router);
    for link in to_routers {
        link.send(Frame::Fleet(Box::new(message.clone())));
    }
    let received = tokio::spawn(async move {
        let mut links = Vec::new();
        for router in &routers {
            frame(router, &mut links).await;
        }
        began.elapsed()
    });
    let mut peer_links = Vec::new();
    let peer = links.iter().find(|link| link.peer.role == Role::Control);
    while !received.is_finished() {
        peer.expect("linked").send(Frame::Group(None));
        let heartbeat = frame(&peer_events, &mut peer_links);
        let heartbeat = timeout(Duration::from_millis(HEARTBEAT_TIMEOUT_MS), heartbeat).await;
        heartbeat.expect("a heartbeat in time");
        sleep(Duration::from_millis(HEARTBEAT_MS)).await;
    }
    let took = received.await.expect("no panic");
    #[expect(clippy::cast_precision_loss, reason = "some hundred thousand")]
    // The last frame may begin before its bytes would be due.
    let least = ((ROUTERS - 2) * FRAME_BYTES) as f64 / (LINK_BYTES_PER_S * LINK_SHARE);
    assert!(took.as_secs_f64() >= least, "all were told within {took:?}");
    assert!(
        took.as_secs_f64() <= 2.5,
        "links count as silent by then: {took:?}"
    );
}
