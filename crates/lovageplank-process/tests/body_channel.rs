//! Bodies that a task sends piece by piece, and what their reader gets however the task ends.

use bytes::Bytes;
use http_body_util::BodyExt;
use lovageplank_process::body::channel::{Closed, Receiver, Sender, channel};
use std::future::pending;
use std::time::Duration;
use tokio::runtime;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const PIECES_MAX: usize = 4;
const PIECE: &[u8] = b"piece";
/// Milliseconds within which anything must have happened, also on a busy machine.
const LIMIT_MS: u64 = 20_000;

/// How the sender of a body ends after its first piece.
#[derive(Clone, Copy, Debug)]
enum End {
    Complete,
    Return,
    Panic,
    Abort,
    Shutdown,
}

/// Reads a body to its end. Returns its bytes, and whether it is complete.
async fn read(mut body: Receiver) -> (Vec<u8>, bool) {
    let mut read = Vec::new();
    loop {
        let frame = timeout(Duration::from_millis(LIMIT_MS), body.frame()).await;
        match frame.expect("in time") {
            Some(Ok(frame)) => read.extend_from_slice(&frame.into_data().expect("data")),
            Some(Err(_)) => {
                assert!(body.frame().await.is_none(), "nothing comes after an error");
                return (read, false);
            }
            None => return (read, true),
        }
    }
}

/// Sends a piece, and ends in this way.
async fn send(sender: Sender, end: End) {
    let sent = sender.send(Bytes::from_static(PIECE)).await;
    sent.expect("the reader is there");
    match end {
        End::Complete => sender.complete(),
        End::Return => {}
        End::Panic => panic!("as a task that has a fault"),
        End::Abort | End::Shutdown => pending().await,
    }
}

/// Guards against a response that ends early and looks complete, because its sender ended without saying so (ORDER,
/// MIXED).
#[tokio::test(flavor = "multi_thread")]
async fn a_body_is_complete_only_if_its_sender_says_so() {
    let ends = [
        End::Complete,
        End::Return,
        End::Panic,
        End::Abort,
        End::Shutdown,
    ];
    for end in ends {
        let (sender, body) = channel(PIECES_MAX);
        let other = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .build();
        let other = other.expect("a runtime");
        let task: JoinHandle<()> = other.spawn(send(sender, end));
        sleep(Duration::from_millis(50)).await;
        if matches!(end, End::Abort) {
            task.abort();
        }
        // A runtime can't wait for its tasks within another one.
        let kept = match end {
            End::Shutdown => {
                other.shutdown_background();
                None
            }
            _ => Some(other),
        };
        let (bytes, is_complete) = read(body).await;
        if let Some(kept) = kept {
            kept.shutdown_background();
        }
        assert_eq!(bytes, PIECE, "{end:?}");
        assert_eq!(is_complete, matches!(end, End::Complete), "{end:?}");
    }
}

/// Guards against a sender that waits for a reader who has gone.
#[tokio::test]
async fn a_sender_notices_that_its_reader_has_gone() {
    let (sender, body) = channel(1);
    sender.send(Bytes::from_static(PIECE)).await.expect("room");
    let waiting = timeout(Duration::from_millis(50), sender.ready()).await;
    assert!(waiting.is_err(), "there is no room");
    assert!(!sender.is_closed());
    drop(body);
    sender.closed().await;
    assert_eq!(sender.send(Bytes::from_static(PIECE)).await, Err(Closed));
    assert_eq!(sender.ready().await, Err(Closed));
}
