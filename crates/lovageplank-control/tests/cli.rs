//! The daemon's command line and exit codes, tested on a process.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const VALID_SETTINGS: &str = r#"{
    "instance": "control-1", "failure_domain": "salt",
    "listen": "127.0.0.1:0", "link": "127.0.0.1:0",
    "peers": ["127.0.0.1:8300"], "voters": ["control-1"], "data_dir": "data",
    "keys": { "link": "0123456789abcdef", "operator": "0123456789abcdef" }
}"#;

/// Text of a settings file, the exit code of `--check`, and a part of its output.
const FILES: &[(&str, i32, &str)] = &[
    (VALID_SETTINGS, 0, "ok"),
    ("{", 2, "settings.jsonc:1:"),
    ("[]", 2, "must be an object"),
    (
        "{\n\"instanse\": \"a\"\n}",
        2,
        "settings.jsonc:2: instanse: unknown key",
    ),
    ("{}", 2, "data_dir: is missing"),
];

#[test]
fn check_reports_line_and_key_of_each_settings_error() {
    for (text, code, expected_text) in FILES {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("settings.jsonc");
        std::fs::write(&file, text).unwrap();
        let (actual_code, output) = run(&["--check", "--config", file.to_str().unwrap()]);
        assert_eq!(actual_code, Some(*code), "{text}: {output}");
        assert!(output.contains(expected_text), "{text}: {output}");
        let files = std::fs::read_dir(folder.path()).unwrap().count();
        assert_eq!(files, 1, "--check must not create files");
    }
}

#[test]
fn usage_errors_exit_with_code_2_help_and_version_with_0() {
    let cases: &[(&[&str], i32, &str)] = &[
        (&["--help"], 0, "USAGE"),
        (&["--version"], 0, "lovageplank-control "),
        (&[], 2, "--config FILE is missing"),
        (&["--config", "none.jsonc"], 2, "none.jsonc"),
        (&["--config", "none.jsonc", "--chekc"], 2, "--chekc"),
    ];
    for (arguments, code, expected_text) in cases {
        let (actual_code, output) = run(arguments);
        assert_eq!(actual_code, Some(*code), "{arguments:?}: {output}");
        assert!(output.contains(expected_text), "{arguments:?}: {output}");
    }
}

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_lovageplank-control"))
        .args(arguments)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Size in bytes of the settings tree of a change, so that a few changes reach [`FILE_BLOCKS`].
const TREE_BYTES: usize = 500_000;

/// Maximum size of the daemon's files in blocks of 512 bytes; the reserve file of its data folder
/// is smaller.
const FILE_BLOCKS: &str = "3000";

/// Number of changes by which the daemon must have reached [`FILE_BLOCKS`].
const MAX_CHANGES: u64 = 20;

/// Seconds within which a change must be made, or else the daemon exit because it has reached the limit.
const TIMEOUT_S: u64 = 30;

#[test]
fn failed_write_exits_with_code_1() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.jsonc");
    let address = free_address();
    let link = free_address();
    let text = VALID_SETTINGS
        .replacen("127.0.0.1:0", &address, 1)
        .replacen("127.0.0.1:0", &link, 1)
        .replace("127.0.0.1:8300", &link);
    std::fs::write(&file, text).unwrap();
    // While SIGXFSZ is ignored, a write beyond the limit fails with an I/O error.
    let limited = "trap '' XFSZ; ulimit -f \"$1\"; exec \"$0\" --config settings.jsonc";
    let mut daemon = Command::new("sh")
        .args([
            "-c",
            limited,
            env!("CARGO_BIN_EXE_lovageplank-control"),
            FILE_BLOCKS,
        ])
        .current_dir(folder.path())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut version = 0;
    let mut changed_at = Instant::now();
    let code = loop {
        if let Some(next) = replace_tree(&address, version) {
            (version, changed_at) = (next, Instant::now());
        }
        if let Some(status) = daemon.try_wait().unwrap() {
            break status.code();
        }
        let is_stuck = changed_at.elapsed() > Duration::from_secs(TIMEOUT_S);
        if is_stuck || version > MAX_CHANGES {
            let _ = daemon.kill();
            panic!("the daemon still runs, {TIMEOUT_S} s after a change or at version {version}");
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    assert!(version > 0, "the daemon ended before the first change");
    assert_eq!(code, Some(1), "exit code after settings version {version}");
}

/// Replaces the settings tree. Returns the new version, or `None` if the daemon returned none: it has ended,
/// knows no leader, or hasn't answered in time. The change may be sent again then; it has the same id.
fn replace_tree(address: &str, base: u64) -> Option<u64> {
    let version = "v".repeat(100);
    let models: Vec<String> = (0..TREE_BYTES / 140)
        .map(|n| format!(r#""m{base}-{n}":{{"version":"{version}","memory_mb":1}}"#))
        .collect();
    let tree = format!(
        r#"{{"services":{{"s":{{"models":{{{}}}}}}}}}"#,
        models.join(",")
    );
    let call = format!(
        r#"{{"change":{{"id":"c{base}","base":{base},"author":"test","edits":[{{"path":"","value":{tree}}}]}}}}"#
    );
    let response = attohttpc::post(format!("http://{address}/v1/operator"))
        .bearer_auth("0123456789abcdef")
        .text(call)
        .send()
        .ok()?;
    let answer: serde_json::Value = response.json().ok()?;
    answer["version"].as_u64()
}

fn free_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}
