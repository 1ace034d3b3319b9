//! The daemon's command line, run as a process.

use std::process::Command;

const GOOD: &str = r#"{
    "instance": "control-1", "failure_domain": "salt",
    "listen": "127.0.0.1:0", "link": "127.0.0.1:0",
    "peers": ["127.0.0.1:8300"], "voters": ["control-1"], "data_dir": "data",
    "keys": { "link": "0123456789abcdef", "operator": "0123456789abcdef" }
}"#;

/// Text of a settings file, the exit code of `--check`, and what is said about it.
const FILES: &[(&str, i32, &str)] = &[
    (GOOD, 0, "ok"),
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
fn check_names_line_and_key_of_every_error() {
    for (text, code, said) in FILES {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("settings.jsonc");
        std::fs::write(&file, text).unwrap();
        let (got, output) = run(&["--check", "--config", file.to_str().unwrap()]);
        assert_eq!(got, Some(*code), "{text}: {output}");
        assert!(output.contains(said), "{text}: {output}");
        let left = std::fs::read_dir(folder.path()).unwrap().count();
        assert_eq!(left, 1, "a check makes no files");
    }
}

#[test]
fn usage_errors_have_their_own_exit_code() {
    let cases: &[(&[&str], i32, &str)] = &[
        (&["--help"], 0, "USAGE"),
        (&["--version"], 0, "lovageplank-control "),
        (&[], 2, "--config FILE is missing"),
        (&["--config", "none.jsonc"], 2, "none.jsonc"),
        (&["--config", "none.jsonc", "--chekc"], 2, "--chekc"),
    ];
    for (arguments, code, said) in cases {
        let (got, output) = run(arguments);
        assert_eq!(got, Some(*code), "{arguments:?}: {output}");
        assert!(output.contains(said), "{arguments:?}: {output}");
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
