//! The commands of `--help`: each sends the expected call, wrong command lines are refused with the
//! argument's name, and docs/OPERATIONS.md lists the same commands.

use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output};

const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");

fn ctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lovageplankctl"))
        .args(args)
        .env_remove("LOVAGEPLANK_ADDRESS")
        .env_remove("LOVAGEPLANK_TOKEN")
        .env("LOVAGEPLANK_AUTHOR", "office")
        .output()
        .expect("program runs")
}

fn help() -> String {
    let output = ctl(&["--help"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    String::from_utf8(output.stdout).expect("help is UTF-8")
}

/// The usages in the help's COMMANDS section, without their explanations.
fn usages(help: &str) -> Vec<String> {
    let lines = help.lines().skip_while(|line| *line != "COMMANDS:").skip(1);
    let lines = lines.take_while(|line| !line.is_empty());
    // Continuation lines of explanations are indented further.
    let commands = lines.filter(|line| !line.starts_with("     "));
    let usage = |line: &str| {
        line.trim()
            .split("  ")
            .next()
            .unwrap_or_default()
            .to_owned()
    };
    commands.map(usage).collect()
}

/// The words of a usage or a command line before its first argument or option.
fn command_words(line: &str) -> String {
    let is_command_word = |word: &&str| word.chars().all(|c| c.is_ascii_lowercase() || c == '-');
    let words = line.split_whitespace().take_while(is_command_word);
    let words = words.take_while(|word| !word.starts_with('-'));
    words.collect::<Vec<_>>().join(" ")
}

/// Usage as in the help, a command line of that form, and the call that it sends.
fn commands(tree: &str) -> Vec<(&'static str, Vec<&str>, Value)> {
    let set = json!([{"path": "services/drafting/deadline_ms", "value": 50_000}]);
    let text = json!([{"path": "services/drafting/models/lime/version", "value": "2b"}]);
    let unset = json!([{"path": "priority", "value": null}]);
    let apply = json!([{"path": "", "value": {"settings": {"priority": 3}}}]);
    let change = |edits: Value| json!({"change": {"id": "c1", "base": 4, "author": "office", "edits": edits}});
    let settings =
        |path, effective: bool| json!({"settings": {"path": path, "effective": effective}});
    let change_options = ["--base", "4", "--change-id", "c1"];
    let with_change_options = |words: &[&'static str]| [words, &change_options].concat();
    vec![
        (
            "settings get [PATH] [--effective]",
            vec!["settings", "get"],
            settings("", false),
        ),
        (
            "settings get [PATH] [--effective]",
            vec!["settings", "get", "services/drafting", "--effective"],
            settings("services/drafting", true),
        ),
        (
            "settings set PATH VALUE --base VERSION",
            with_change_options(&["settings", "set", "services/drafting/deadline_ms", "50000"]),
            change(set),
        ),
        (
            "settings set PATH VALUE --base VERSION",
            with_change_options(&[
                "settings",
                "set",
                "services/drafting/models/lime/version",
                "2b",
            ]),
            change(text),
        ),
        (
            "settings unset PATH --base VERSION",
            with_change_options(&["settings", "unset", "priority"]),
            change(unset),
        ),
        (
            "settings apply FILE --base VERSION",
            [&["settings", "apply", tree][..], &change_options].concat(),
            change(apply),
        ),
        (
            "settings rollback TO --base VERSION",
            with_change_options(&["settings", "rollback", "2"]),
            json!({"rollback": {"id": "c1", "base": 4, "author": "office", "to": 2}}),
        ),
        (
            "settings diff FROM TO",
            vec!["settings", "diff", "1", "2"],
            json!({"diff": {"from": 1, "to": 2}}),
        ),
        (
            "settings history [--limit N]",
            vec!["settings", "history"],
            json!({"history": {"limit": 20}}),
        ),
        (
            "settings history [--limit N]",
            vec!["settings", "history", "--limit", "3"],
            json!({"history": {"limit": 3}}),
        ),
        (
            "settings in-force VERSION",
            vec!["settings", "in-force", "4"],
            json!({"in_force": {"version": 4}}),
        ),
        ("status [--watch]", vec!["status"], json!("status")),
        ("instances", vec!["instances"], json!("instances")),
        ("engines", vec!["engines"], json!("engines")),
        ("models", vec!["models"], json!("models")),
        (
            "drain INSTANCE",
            vec!["drain", "router-1"],
            json!({"drain": {"instance": "router-1"}}),
        ),
        (
            "voter add INSTANCE",
            vec!["voter", "add", "control-2"],
            json!({"voter_add": {"instance": "control-2"}}),
        ),
        (
            "voter remove INSTANCE",
            vec!["voter", "remove", "control-2"],
            json!({"voter_remove": {"instance": "control-2"}}),
        ),
        (
            "report burn [--window MS] [--format FORMAT]",
            vec!["report", "burn", "--window", "300000", "--format", "json"],
            json!({"burn": {"window_ms": 300_000}}),
        ),
    ]
}

/// Refuses one call; returns its body and its `authorization` header.
fn refuse(stream: TcpStream) -> (Value, String) {
    let mut reader = BufReader::new(stream);
    let (mut length, mut token) = (0, String::new());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("reads the request head");
        let Some((name, value)) = line.trim_end().split_once(':') else {
            if line.trim_end().is_empty() {
                break;
            }
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().expect("content-length is a number"),
            "authorization" => value.trim().clone_into(&mut token),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader
        .read_exact(&mut body)
        .expect("reads the request body");
    let text = r#"{"error":{"code":"invalid","message":"for the test","details":["a: why"]}}"#;
    let head = format!(
        "HTTP/1.1 422 Refused\r\ncontent-length: {}\r\n\r\n",
        text.len()
    );
    let mut stream = reader.into_inner();
    stream
        .write_all(head.as_bytes())
        .expect("sends the response");
    stream
        .write_all(text.as_bytes())
        .expect("sends the response");
    (serde_json::from_slice(&body).expect("body is JSON"), token)
}

#[test]
fn each_command_of_the_help_sends_the_expected_call() {
    let tree = format!("{}/help-tree.jsonc", env!("CARGO_TARGET_TMPDIR"));
    let text = "{ // comments are allowed\n\"settings\": {\"priority\": 3}}";
    std::fs::write(&tree, text).expect("writes the tree file");
    let commands = commands(&tree);
    let covered: BTreeSet<&str> = commands.iter().map(|(usage, ..)| *usage).collect();
    let usages = usages(&help());
    let usages: BTreeSet<&str> = usages.iter().map(String::as_str).collect();
    // `explain` sends no call; tests/explain.rs tests it.
    assert!(usages.contains("explain ID [FILE ...]"), "{usages:?}");
    let usages_of_calls = usages
        .into_iter()
        .filter(|usage| !usage.starts_with("explain"));
    assert_eq!(covered, usages_of_calls.collect());
    for (_, line, expected) in commands {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds a loopback port");
        let address = listener.local_addr().expect("has an address").to_string();
        let server =
            std::thread::spawn(move || refuse(listener.accept().expect("accepts a connection").0));
        let options = ["--address", &address, "--token", "t", "--json"];
        let output = ctl(&[&line[..], &options].concat());
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        // Checked first: after a rejected command line, joining the server would block forever.
        assert_eq!(output.status.code(), Some(1), "{line:?}: {stderr}");
        assert!(
            stderr.contains("invalid: for the test") && stderr.contains("a: why"),
            "{stderr}"
        );
        let received = server.join().expect("server received the call");
        assert_eq!(received, (expected, "Bearer t".to_owned()), "{line:?}");
    }
}

/// Wrong command lines, and a part of the error message.
const WRONG_COMMAND_LINES: &[(&[&str], &str)] = &[
    (&[], "a command; see --help"),
    (&["statsu"], "unknown command \"statsu\""),
    (
        &["settings"],
        "get, set, unset, apply, rollback, diff, history or in-force",
    ),
    (&["settings", "list"], "unknown command \"settings list\""),
    (&["settings", "set"], "PATH"),
    (&["settings", "set", "priority"], "VALUE"),
    (
        &["settings", "set", "priority", "3"],
        "--base VERSION is missing",
    ),
    (&["settings", "set", "priority", "3", "--base", "x"], "x"),
    (&["settings", "set", "priority", "3", "--base"], "--base"),
    (&["settings", "unset"], "PATH"),
    (&["settings", "apply"], "FILE"),
    (
        &["settings", "apply", "none.jsonc", "--base", "1"],
        "none.jsonc can't be read",
    ),
    (
        &["settings", "rollback", "two", "--base", "1"],
        "TO: \"two\" is no version number",
    ),
    (&["settings", "rollback", "2"], "--base VERSION is missing"),
    (&["settings", "diff", "1"], "TO"),
    (&["settings", "diff", "1", "-2"], "-2"),
    (&["settings", "history", "--limit", "many"], "many"),
    (&["settings", "in-force"], "VERSION"),
    (&["status", "now"], "unknown argument \"now\""),
    (&["status", "--jsno"], "unknown argument \"--jsno\""),
    (&["explain"], "explain needs the id of a request"),
    (&["drain"], "INSTANCE"),
    (&["drain", "a", "b"], "unknown argument \"b\""),
    (&["voter"], "add or remove"),
    (&["voter", "add"], "INSTANCE"),
    (&["voter", "move", "a"], "unknown command \"voter move\""),
    (&["report"], "burn"),
    (&["report", "cost"], "unknown report \"cost\""),
    (&["report", "burn", "--format", "pdf"], "pdf"),
    (&["report", "burn", "--window", "1h"], "1h"),
];

#[test]
fn wrong_command_line_exits_with_2_and_names_the_argument() {
    for (line, expected_part) in WRONG_COMMAND_LINES {
        let output = ctl(&[line, &["--address", "127.0.0.1:1"][..]].concat());
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{line:?}: {stderr}");
        assert!(stderr.contains(expected_part), "{line:?}: {stderr}");
        assert!(output.stdout.is_empty(), "{line:?}");
    }
    let output = ctl(&["status"]);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(
        stderr.contains("give --address IP:PORT or set LOVAGEPLANK_ADDRESS"),
        "{stderr}"
    );
}

#[test]
fn unreachable_instance_exits_with_3() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds a loopback port");
    let address = listener.local_addr().expect("has an address").to_string();
    drop(listener);
    let output = ctl(&["status", "--address", &address]);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{stderr}");
    assert!(stderr.contains(&address), "{stderr}");
}

#[test]
fn operations_page_lists_the_commands_of_the_help() {
    let help = help();
    let known: BTreeSet<String> = usages(&help)
        .iter()
        .map(|usage| command_words(usage))
        .collect();
    assert_eq!(known.len(), 17, "{known:?}");
    let calls = |text: &'static str| text.split("lovageplankctl ").skip(1);
    let listed: BTreeSet<String> = calls(OPERATIONS)
        .map(|rest| command(rest, &known))
        .collect();
    assert_eq!(listed, known);
}

/// The longest known command that a text starts with, or else the text's command words.
fn command(text: &str, known: &BTreeSet<String>) -> String {
    let line = text.lines().next().unwrap_or_default();
    let line = line.split(['`', '|']).next().unwrap_or_default().trim();
    let words = command_words(line);
    let starts_with_name =
        |name: &&String| words == **name || words.starts_with(&format!("{name} "));
    known
        .iter()
        .filter(starts_with_name)
        .max_by_key(|name| name.len())
        .cloned()
        .unwrap_or(words)
}
