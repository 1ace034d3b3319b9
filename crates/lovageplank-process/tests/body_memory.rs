//! Memory of a process that reads bodies. It stands in a program of its own, because it reads the memory of the
//! whole process.

#![cfg(target_os = "linux")]

use hyper::StatusCode;
use lovageplank_process::http::{BodyError, Limits, bind, read_body, serve, text};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// A buffer that grows takes up to three times as much memory for a moment.
const GROWTH_FACTOR: u64 = 3;
/// Megabytes that the process may grow besides: its threads, and the buffers of both ends.
const GROWTH_MB: u64 = 8;
const BODIES: u64 = 2;
const BODY_BYTES: u64 = 500_000;
/// Chunks that are written at once.
const CHUNKS: u64 = 5_000;
/// Milliseconds within which the bodies have been read, also on a busy machine.
const READ_MS: u64 = 120_000;

fn resident_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("reads");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    let kb: u64 = kb.and_then(|kb| kb.parse().ok()).expect("kilobytes");
    kb / 1_024
}

/// Guards against a process that runs out of memory under bodies within its limits that come in pieces of one byte: each
/// piece was kept as an object of its own.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_pieces_take_little_more_than_their_length() {
    let limits = Limits {
        body_bytes: usize::try_from(BODY_BYTES).expect("small"),
        body_ms: READ_MS,
        ..Limits::default()
    };
    let listener = bind(([127, 0, 0, 1], 0).into()).expect("binds");
    let listener = TcpListener::from_std(listener).expect("listens");
    let address = listener.local_addr().expect("has an address");
    let stop = CancellationToken::new();
    let handler = move |_, request: hyper::Request<hyper::body::Incoming>| async move {
        let read = read_body(request.into_body(), limits).await;
        let status = read.err().map_or(StatusCode::OK, BodyError::status);
        text(status, String::new())
    };
    let task = tokio::spawn(serve(listener, limits, handler, stop.clone()));
    let before = resident_mb();
    let mut senders = tokio::task::JoinSet::new();
    for _ in 0..BODIES {
        senders.spawn(send_in_small_pieces(address));
    }
    let mut most = before;
    while !senders.is_empty() {
        let wait = tokio::time::sleep(Duration::from_millis(2));
        tokio::select! {
            response = senders.join_next() => {
                let response = response.expect("a sender").expect("no panic");
                assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            }
            () = wait => most = most.max(resident_mb()),
        }
    }
    let growth = most.saturating_sub(before);
    let allowed = GROWTH_FACTOR * BODIES * BODY_BYTES / 1_000_000 + GROWTH_MB;
    assert!(growth <= allowed, "{growth} MB, {allowed} allowed");
    stop.cancel();
    task.await.expect("the server ends");
}

/// Sends a body in chunks of one byte; returns the response.
async fn send_in_small_pieces(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let head =
        b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head).await.expect("sent");
    let chunks = "1\r\nx\r\n".repeat(usize::try_from(CHUNKS).expect("small"));
    for _ in 0..BODY_BYTES / CHUNKS {
        stream.write_all(chunks.as_bytes()).await.expect("sent");
    }
    stream.write_all(b"0\r\n\r\n").await.expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("read");
    response
}
