//! Timeouts and limits of the HTTP listener, over real loopback sockets.

use hyper::StatusCode;
use hyper::body::Incoming;
use lovageplank_process::body::Use;
use lovageplank_process::capacity::Capacity;
use lovageplank_process::connections::Connections;
use lovageplank_process::http::{
    Body, Limits, bind, full, read_body, read_body_within, serve, serve_within, text,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Milliseconds within which any response must arrive, also on a busy machine.
const RESPONSE_TIMEOUT_MS: u64 = 20_000;

const LIMITS: Limits = Limits {
    connections: 300,
    head_ms: 10_000,
    body_ms: 10_000,
    head_bytes: 8 << 10,
    body_bytes: 1_000,
};

struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    /// Cancelled once a request for `/wait` is in progress.
    wait_entered: CancellationToken,
    task: JoinHandle<()>,
}

/// Starts a server that answers with the length of the request's body, and answers `/wait` only
/// after the stop.
fn start(limits: Limits) -> Server {
    let listener = bind(([127, 0, 0, 1], 0).into()).expect("binds");
    let listener = TcpListener::from_std(listener).expect("listens");
    let address = listener.local_addr().expect("has an address");
    let stop = CancellationToken::new();
    let (stopped, wait_entered) = (stop.clone(), CancellationToken::new());
    let entered = wait_entered.clone();
    let handler = move |_, request| answer(request, limits, stopped.clone(), entered.clone());
    let task = tokio::spawn(serve(listener, limits, handler, stop.clone()));
    Server {
        address,
        stop,
        wait_entered,
        task,
    }
}

async fn answer(
    request: hyper::Request<Incoming>,
    limits: Limits,
    stopped: CancellationToken,
    wait_entered: CancellationToken,
) -> hyper::Response<Body> {
    if request.uri().path() == "/wait" {
        wait_entered.cancel();
        stopped.cancelled().await;
        return hyper::Response::new(full("after the stop"));
    }
    match read_body(request.into_body(), limits).await {
        Ok(bytes) => text(StatusCode::OK, format!("{} bytes", bytes.len())),
        Err(error) => text(error.status(), error.message().into()),
    }
}

async fn connect(server: &Server) -> TcpStream {
    TcpStream::connect(server.address).await.expect("connects")
}

/// Reads until the server closes the connection.
async fn read_until_closed(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = async {
        let mut part = [0; 4_096];
        // A reset of the connection ends the response, too.
        while let Ok(1..) = stream
            .read(&mut part)
            .await
            .inspect(|n| bytes.extend(&part[..*n]))
        {}
    };
    let closed = tokio::time::timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS), read).await;
    closed.expect("the server closes");
    String::from_utf8(bytes).expect("text")
}

async fn exchange(server: &Server, request: &str) -> String {
    let mut stream = connect(server).await;
    // The server may close the connection before it has read the whole request.
    let _ = stream.write_all(request.as_bytes()).await;
    read_until_closed(&mut stream).await
}

fn post(headers: &str, body: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{headers}\r\n{body}")
}

fn post_with_body(length: usize) -> String {
    post(
        &format!("content-length: {length}\r\n"),
        &"x".repeat(length),
    )
}

/// Description, request, start of the response and a part of the rest.
fn exchanges() -> Vec<(&'static str, String, &'static str, &'static str)> {
    let chunked = "transfer-encoding: chunked\r\n";
    let chunk = format!("258\r\n{}\r\n", "x".repeat(600));
    let long = format!("x-long: {}\r\n", "x".repeat(9 << 10));
    vec![
        ("no body", post("", ""), "HTTP/1.1 200 ", "0 bytes"),
        (
            "the largest body",
            post_with_body(1_000),
            "HTTP/1.1 200 ",
            "1000 bytes",
        ),
        (
            "a body one byte too large",
            post_with_body(1_001),
            "HTTP/1.1 413 ",
            "send less",
        ),
        (
            "chunks that are too large together",
            post(chunked, &format!("{chunk}{chunk}0\r\n\r\n")),
            "HTTP/1.1 413 ",
            "send less",
        ),
        (
            "a chunk within the limit",
            post(chunked, &format!("{chunk}0\r\n\r\n")),
            "HTTP/1.1 200 ",
            "600 bytes",
        ),
        (
            "a chunk without a valid length",
            post(chunked, "none\r\nxxxx\r\n"),
            "HTTP/1.1 400 ",
            "check its framing",
        ),
        (
            "a head that is too large",
            post(&long, ""),
            "HTTP/1.1 431 ",
            "",
        ),
        (
            "bytes that are not HTTP",
            "\u{1}\u{2}\r\n\r\n".into(),
            "HTTP/1.1 400 ",
            "",
        ),
        (
            "an invalid content length",
            post("content-length: -1\r\n", ""),
            "HTTP/1.1 400 ",
            "",
        ),
    ]
}

#[tokio::test]
async fn requests_get_expected_status_and_server_stays_up() {
    let server = start(LIMITS);
    for (description, request, status, part) in exchanges() {
        let answer = exchange(&server, &request).await;
        assert!(answer.starts_with(status), "{description}: {answer}");
        assert!(answer.contains(part), "{description}: {answer}");
    }
    let answer = exchange(&server, &post_with_body(1)).await;
    assert!(answer.ends_with("1 bytes"), "{answer}");
}

#[tokio::test]
async fn stalled_body_gets_408() {
    let limits = Limits {
        body_ms: 100,
        ..LIMITS
    };
    let server = start(limits);
    let answer = exchange(&server, &post("content-length: 10\r\n", "xxx")).await;
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(answer.contains("did not arrive in time"), "{answer}");
}

#[tokio::test]
async fn truncated_body_gets_400_or_no_response() {
    let server = start(LIMITS);
    let mut stream = connect(&server).await;
    let request = post("content-length: 10\r\n", "xxx");
    stream.write_all(request.as_bytes()).await.expect("sends");
    stream.shutdown().await.expect("ends its half");
    let answer = read_until_closed(&mut stream).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400 "),
        "{answer}"
    );
    let answer = exchange(&server, &post_with_body(1)).await;
    assert!(answer.ends_with("1 bytes"), "{answer}");
}

#[tokio::test]
async fn incomplete_head_closes_connection() {
    let limits = Limits {
        head_ms: 100,
        ..LIMITS
    };
    let server = start(limits);
    for head in ["", "POST / HT", "POST / HTTP/1.1\r\nhost: a\r\n"] {
        let answer = exchange(&server, head).await;
        assert!(!answer.contains(" 200 "), "{head:?}: {answer}");
    }
}

#[tokio::test]
async fn idle_connections_do_not_block_requests() {
    let server = start(LIMITS);
    let mut idle = Vec::new();
    for _ in 0..200 {
        let mut stream = connect(&server).await;
        stream.write_all(b"POST / HT").await.expect("sends");
        idle.push(stream);
    }
    for length in 0..20 {
        let answer = exchange(&server, &post_with_body(length)).await;
        assert!(answer.ends_with(&format!("{length} bytes")), "{answer}");
    }
    // An idle connection is still served once it completes its request.
    let mut stream = idle.pop().expect("one of them");
    let rest_of_head = b"TP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(rest_of_head).await.expect("sends");
    assert!(read_until_closed(&mut stream).await.ends_with("0 bytes"));
}

#[tokio::test]
async fn connection_limit_is_enforced_and_slots_are_reused() {
    let limits = Limits {
        connections: 1,
        ..LIMITS
    };
    let server = start(limits);
    let mut first = connect(&server).await;
    first
        .write_all(b"POST / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .expect("sends");
    let mut part = [0; 1];
    first.read_exact(&mut part).await.expect("is served");
    assert_eq!(exchange(&server, &post_with_body(1)).await, "");
    drop(first);
    let again = async {
        while !exchange(&server, &post_with_body(1))
            .await
            .ends_with("1 bytes")
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let freed = tokio::time::timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS), again).await;
    freed.expect("the slot is reused");
}

#[tokio::test]
async fn stop_finishes_requests_in_progress_and_refuses_connections() {
    let server = start(LIMITS);
    let mut idle = connect(&server).await;
    let mut waiting = connect(&server).await;
    let request = b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n";
    waiting.write_all(request).await.expect("sends");
    server.wait_entered.cancelled().await;
    server.stop.cancel();
    let answer = read_until_closed(&mut waiting).await;
    assert!(answer.ends_with("after the stop"), "{answer}");
    assert_eq!(read_until_closed(&mut idle).await, "");
    let ended = tokio::time::timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS), server.task).await;
    ended.expect("ends in time").expect("ends without a panic");
    assert!(TcpStream::connect(server.address).await.is_err());
}

/// Guards against clients who hold all connections without sending a request, so that nobody else is served.
#[tokio::test]
async fn the_connection_that_was_idle_longest_makes_way_for_a_new_one() {
    const MOST: usize = 8;
    let connections = Connections::giving_way(MOST);
    let listener = bind(([127, 0, 0, 1], 0).into()).expect("binds");
    let listener = TcpListener::from_std(listener).expect("listens");
    let address = listener.local_addr().expect("has an address");
    let stop = CancellationToken::new();
    let (stopped, entered) = (stop.clone(), CancellationToken::new());
    let wait_entered = entered.clone();
    let handler = move |_, request| answer(request, LIMITS, stopped.clone(), entered.clone());
    let task = tokio::spawn(serve_within(
        listener,
        LIMITS,
        connections,
        handler,
        stop.clone(),
    ));
    let server = Server {
        address,
        stop,
        wait_entered,
        task,
    };
    // This request is in progress, so that its connection stays.
    let mut busy = connect(&server).await;
    let request = b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n";
    busy.write_all(request).await.expect("sends");
    server.wait_entered.cancelled().await;
    let mut idle = Vec::new();
    for _ in 0..3 * MOST {
        let mut stream = connect(&server).await;
        stream.write_all(b"POST / HT").await.expect("sends");
        idle.push(stream);
    }
    let answer = exchange(&server, &post_with_body(1)).await;
    assert!(answer.ends_with("1 bytes"), "{answer}");
    assert_eq!(read_until_closed(&mut idle[0]).await, "");
    server.stop.cancel();
    let answer = read_until_closed(&mut busy).await;
    assert!(answer.ends_with("after the stop"), "{answer}");
}

/// Guards against callers who lose a refusal because they are still sending when the connection is closed.
#[tokio::test]
async fn a_caller_that_still_sends_reads_the_refusal() {
    const SENT_BYTES: usize = 500_000;
    let limits = Limits {
        connections: 4,
        ..LIMITS
    };
    let listener = bind(([127, 0, 0, 1], 0).into()).expect("binds");
    let listener = TcpListener::from_std(listener).expect("listens");
    let address = listener.local_addr().expect("has an address");
    let stop = CancellationToken::new();
    let budget = Capacity::default().budget();
    let handler = move |_, request: hyper::Request<Incoming>| {
        let share = budget.share_for(Use::Upload);
        async move {
            match read_body_within(request.into_body(), limits, share).await {
                Ok(bytes) => text(StatusCode::OK, format!("{} bytes", bytes.len())),
                Err(error) => error.refusal(),
            }
        }
    };
    tokio::spawn(serve(listener, limits, handler, stop.clone()));
    let chunk = format!("1f4\r\n{}\r\n", "x".repeat(500));
    let cases = [
        post(
            &format!("content-length: {SENT_BYTES}\r\n"),
            &"x".repeat(SENT_BYTES),
        ),
        post(
            "transfer-encoding: chunked\r\n",
            &chunk.repeat(SENT_BYTES / 500),
        ),
    ];
    for request in cases {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        stream.write_all(request.as_bytes()).await.expect("is read");
        let answer = read_until_closed(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    }
    stop.cancel();
}
