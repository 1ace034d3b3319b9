//! `lovageplankctl report burn` against a server that answers with a fixed report.

use lovageplank_core::slo::{BurnSource, Kind, Point, Report, ReportLine, Window};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};

fn report() -> Report {
    let window = |window_ms, total, bad, burn| Window {
        window_ms,
        total,
        bad,
        burn,
    };
    let line = ReportLine {
        service: "drafting".into(),
        objective: Kind::Answered,
        budget: 0.01,
        limit_ms: None,
        percentile_ms: None,
        budget_left: -1.0,
        windows: vec![window(21_600_000, 200, 4, 2.0), window(300_000, 10, 0, 0.0)],
        alerts: vec!["slow".into()],
        burners: vec![BurnSource {
            model: "lime".into(),
            cause: "no_capacity".into(),
            bad: 4,
            share: 1.0,
        }],
        points: vec![Point {
            age_ms: 60_000,
            burn: 2.0,
        }],
    };
    Report {
        window_ms: 21_600_000,
        known_ms: 7_200_000,
        dropped: 3,
        idle_accelerator_hours: 1.25,
        lines: vec![line],
    }
}

/// Answers one call with the report; returns the call's body.
fn answer(stream: TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let text = serde_json::to_string(&report()).unwrap();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
    let mut stream = reader.into_inner();
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    String::from_utf8(body).unwrap()
}

fn ctl(address: SocketAddr, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lovageplankctl"))
        .args(["--address", &address.to_string(), "--token", "t"])
        .args(args)
        .output()
        .unwrap()
}

/// Runs the program against one answer; returns its output and the call's body.
fn run(args: &[&str]) -> (String, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || answer(listener.accept().unwrap().0));
    let output = ctl(address, args);
    assert!(output.status.success(), "{output:?}");
    (
        String::from_utf8(output.stdout).unwrap(),
        server.join().unwrap(),
    )
}

#[test]
fn each_format_shows_the_report() {
    struct Case {
        args: &'static [&'static str],
        call: &'static str,
        printed: &'static [&'static str],
    }
    let text = &[
        "window 6 h, counts go back 2 h, requests not counted 3, idle accelerator hours 1.250",
        "6 h          5 min",
        "drafting  answered 99%  2.0 (4/200)  0.0 (0/10)  -100%",
        "drafting  answered   lime   no_capacity  4    100%",
    ];
    let cases = [
        Case {
            args: &["report", "burn"],
            call: r#"{"burn":{"window_ms":0}}"#,
            printed: text,
        },
        Case {
            args: &["report", "burn", "--window", "300000", "--format", "text"],
            call: r#"{"burn":{"window_ms":300000}}"#,
            printed: text,
        },
        Case {
            args: &["report", "burn", "--format", "svg"],
            call: r#"{"burn":{"window_ms":0}}"#,
            printed: &["<svg ", "drafting answered", "burn rate", "</svg>"],
        },
    ];
    for case in cases {
        let (out, call) = run(case.args);
        assert_eq!(call, case.call);
        for part in case.printed {
            assert!(out.contains(part), "{:?} lacks {part:?}:\n{out}", case.args);
        }
    }
}

#[test]
fn json_format_prints_the_leaders_answer() {
    for args in [
        &["report", "burn", "--format", "json"][..],
        &["report", "burn", "--json"],
    ] {
        let (out, _) = run(args);
        let read: Report = serde_json::from_str(&out).unwrap();
        assert_eq!(read, report());
    }
}

#[test]
fn unknown_format_exits_with_2() {
    let output = ctl(
        SocketAddr::from(([127, 0, 0, 1], 9)),
        &["report", "burn", "--format", "pdf"],
    );
    assert_eq!(output.status.code(), Some(2), "{output:?}");
}
