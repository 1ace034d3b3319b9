//! `lovageplankctl explain` over logs of several processes.

use serde_json::Value;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

/// Lines as a log collector prints them, with time and source before each.
const COLLECTED: &str = r#"
   5.1000 entry-1 ts=2026-03-05T10:00:05.100Z level=info event=waits id=9c41 model="Some(\"m\")" left_ms=1900
   5.1100 control-1 ts=2026-03-05T10:00:05.110Z level=info event=command server=i-7 op="Load(\"m\")" expected=2 term=1
   5.1100 control-1 ts=2026-03-05T10:00:05.111Z level=info event=command server=i-8 op="Load(\"n\")" expected=2 term=1
   5.1200 entry-1 ts=2026-03-05T10:00:05.120Z level=info event=sent id=other server=i-7
   6.0000 entry-1 ts=2026-03-05T10:00:06.000Z level=info event=sent id=9c41 server=i-7 address=10.0.0.1:80 waited_ms=900
   7.0000 entry-1 ts=2026-03-05T10:00:07.000Z level=info event=stream_ended id=9c41 outcome=broken server=i-7 reason="connection reset"
   8.0000 control-1 ts=2026-03-05T10:00:08.000Z level=info event=command server=i-7 op="Unload(\"m\")" expected=3 term=1
"#;

fn explain(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lovageplankctl"))
        .arg("explain")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("program starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    // Fails if the program doesn't read its input, as with files.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("program exits")
}

fn events(output: &Output) -> Vec<String> {
    let text = String::from_utf8_lossy(&output.stdout);
    let words = text
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    // The time and the source that the collector adds are two words, so the event is the fourth.
    words.map(|words| words[3].to_owned()).collect()
}

#[test]
fn timeline_has_the_lines_of_the_request_and_of_its_servers_in_order() {
    let output = explain(&["9c41"], COLLECTED);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(
        events(&output),
        ["waits", "command", "sent", "stream_ended"]
    );
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("entry-1"), "{text}");
    assert!(text.contains("reason=connection reset"), "{text}");
}

/// Guards against a timeline that doesn't say why a server got no request.
#[test]
fn timeline_says_why_servers_may_not_get_a_request() {
    let logs = r"
ts=2026-03-05T10:00:05.100Z level=info event=sent id=9c41 server=i-7
ts=2026-03-05T10:00:05.101Z level=info event=server_paused server=i-7 born_ms=1 pause_ms=2000
ts=2026-03-05T10:00:05.102Z level=info event=server_leaving server=i-7 born_ms=1
ts=2026-03-05T10:00:05.103Z level=info event=server_limit server=i-7 per_1000_s=20
ts=2026-03-05T10:00:05.104Z level=info event=server_paused server=i-8 born_ms=1 pause_ms=2000
ts=2026-03-05T10:00:05.105Z level=info event=no_server_open id=9c41 service=llm servers=paused=1
";
    let output = explain(&["9c41"], logs);
    let text = String::from_utf8_lossy(&output.stdout);
    let events = [
        "sent",
        "server_paused",
        "server_leaving",
        "server_limit",
        "no_server_open",
    ];
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), events.len(), "{text}");
    for (line, event) in lines.iter().zip(events) {
        assert!(line.contains(event), "{event}: {line}");
    }
}

#[test]
fn json_has_the_fields_of_each_line() {
    let output = explain(&["9c41", "--json"], COLLECTED);
    let lines: Value = serde_json::from_slice(&output.stdout).expect("output is JSON");
    assert_eq!(lines[0]["fields"]["event"], "waits");
    assert_eq!(lines[0]["fields"]["model"], "Some(\"m\")");
    assert_eq!(lines[3]["fields"]["reason"], "connection reset");
}

#[test]
fn lines_of_several_files_are_sorted_by_time() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let write = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("writes the log file");
        path.to_string_lossy().into_owned()
    };
    let late = write(
        "late.log",
        "ts=2026-03-05T10:00:02.000Z event=answered id=1\n",
    );
    let early = write(
        "early.log",
        "ts=2026-03-05T10:00:01.000Z event=sent id=1\nnot a line\n",
    );
    let output = explain(&["1", &late, &early], "");
    let text = String::from_utf8_lossy(&output.stdout);
    let lines: Vec<&str> = text.lines().collect();
    assert!(
        lines[0].contains("early") && lines[0].contains("sent"),
        "{text}"
    );
    assert!(
        lines[1].contains("late") && lines[1].contains("answered"),
        "{text}"
    );
}

#[test]
fn unknown_request_and_missing_file_are_reported() {
    let output = explain(&["nobody"], COLLECTED);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no line names request nobody"));
    let output = explain(&["1", "/nowhere/at/all"], "");
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/at/all"));
}
