//! Which calls are sent again after one that got no answer.

use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Reads a call and closes the connection without an answer.
fn swallow(stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a head");
        if let Some(value) = line.to_lowercase().strip_prefix("content-length: ") {
            length = value.trim().parse().expect("a length");
        }
        if line == "\r\n" {
            break;
        }
    }
    reader.read_exact(&mut vec![0; length]).expect("a body");
}

/// Runs the program against an instance that answers nothing; returns the number of calls that it
/// received, the exit code, and the text of the error.
fn run_unanswered(args: &[&str]) -> (u32, Option<i32>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("bound").to_string();
    let calls = Arc::new(AtomicU32::new(0));
    let counted = calls.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            swallow(stream);
            counted.fetch_add(1, Ordering::SeqCst);
        }
    });
    let output = Command::new(env!("CARGO_BIN_EXE_lovageplankctl"))
        .args(args)
        .args(["--address", &address, "--token", "t"])
        .output()
        .expect("program runs");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    (calls.load(Ordering::SeqCst), output.status.code(), stderr)
}

/// Guards against the removal of a second member of the same name: a removal without an answer was
/// sent again, although it may have been carried out.
#[test]
fn a_removal_without_an_answer_is_not_sent_again() {
    let (calls, code, stderr) = run_unanswered(&["voter", "remove", "control-salt"]);
    assert_eq!((calls, code), (1, Some(3)), "{stderr}");
    assert!(stderr.contains("may have been carried out"), "{stderr}");
}

#[test]
fn a_read_without_an_answer_is_sent_again() {
    let (calls, code, stderr) = run_unanswered(&["status"]);
    assert!(calls > 1, "{calls} calls: {stderr}");
    assert_eq!(code, Some(3), "{stderr}");
}
