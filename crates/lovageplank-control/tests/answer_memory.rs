//! Memory of the engine client. It stands in a program of its own, because it reads the memory of the whole
//! process.

#![cfg(target_os = "linux")]

use lovageplank_control::engine_client::{self, EngineRequest};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Half of the memory of a control process on the users' platform, in megabytes.
const GROWTH_MB_MAX: u64 = 130;
const ENGINES: usize = 40;
/// Milliseconds for which the memory is watched: the client gives such an answer up after two seconds.
const WATCHED_MS: u64 = 4_000;

fn resident_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("reads");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    let kb: u64 = kb.and_then(|kb| kb.parse().ok()).expect("kilobytes");
    kb / 1_024
}

/// An engine that answers with chunks until the caller closes.
fn endless_engine(chunk: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port 0 is free");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _request = stream.read(&mut [0; 1_024]);
        let mut bytes = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
        while stream.write_all(bytes.as_bytes()).is_ok() {
            bytes = chunk.repeat(16_000 / chunk.len());
        }
    });
    address
}

/// Guards against a control process that runs out of memory because faulty engines answer without an end (a report of
/// other operators), in pieces of one byte or in larger ones.
#[test]
fn answers_without_an_end_from_many_engines_take_bounded_memory() {
    let large: &'static str = Box::leak(format!("1000\r\n{}\r\n", "x".repeat(4_096)).into());
    for chunk in ["1\r\nx\r\n", large] {
        let (responses, _received) = flume::unbounded();
        let requests = engine_client::start(responses).expect("started");
        let before = resident_mb();
        for number in 0..ENGINES {
            let request = EngineRequest::Poll {
                engine: format!("e{number}").into(),
                address: endless_engine(chunk).to_string().into(),
                basis: 1,
            };
            requests.send(request).expect("the client runs");
        }
        let until = Instant::now() + Duration::from_millis(WATCHED_MS);
        let mut most = before;
        while Instant::now() < until {
            most = most.max(resident_mb());
            std::thread::sleep(Duration::from_millis(5));
        }
        let growth = most.saturating_sub(before);
        println!("{growth} MB in chunks of {} bytes", chunk.len());
        assert!(
            growth <= GROWTH_MB_MAX,
            "{growth} MB in chunks of {} bytes",
            chunk.len()
        );
    }
}
