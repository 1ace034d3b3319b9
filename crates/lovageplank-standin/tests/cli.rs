//! Tests of the programs' arguments and exit codes.

use std::process::{Command, Output};

const ENGINE: &str = env!("CARGO_BIN_EXE_lovageplank-engine");
const SERVICE: &str = env!("CARGO_BIN_EXE_lovageplank-plain-service");
const STORE: &str = env!("CARGO_BIN_EXE_lovageplank-weight-store");
const LOAD: &str = env!("CARGO_BIN_EXE_lovageplank-load");

fn run(program: &str, arguments: &[&str]) -> Output {
    let command = Command::new(program).args(arguments).output();
    command.expect("the program was built for this test")
}

#[test]
fn help_names_the_program() {
    let programs = [
        (ENGINE, "lovageplank-engine"),
        (SERVICE, "lovageplank-plain-service"),
        (STORE, "lovageplank-weight-store"),
        (LOAD, "lovageplank-load"),
    ];
    for (program, name) in programs {
        let output = run(program, &["--help"]);
        assert_eq!(output.status.code(), Some(0), "{name}");
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(text.starts_with(name), "{text}");
    }
}

#[test]
fn invalid_arguments_are_named_in_the_error() {
    let mix = r#"[{"kind":"plain","service":"orders"}]"#;
    // The program, its arguments, the exit code, and a text in the first line of the error output.
    let cases: &[(&str, &[&str], i32, &str)] = &[
        (ENGINE, &[], 2, "--id is missing"),
        (ENGINE, &["--id", "e1", "--memory", "1"], 2, "--memory"),
        (ENGINE, &["--id", "e1", "--batch", "many"], 2, "many"),
        (
            ENGINE,
            &["--id", "e1", "--fault", "{\"hang\":1}"],
            2,
            "hang",
        ),
        (ENGINE, &["--id", "e1", "--listen", "nowhere"], 1, "nowhere"),
        (SERVICE, &["--id", "s1", "--latency", "1"], 2, "--latency"),
        (STORE, &["--loads-per-s", "-1"], 2, "--loads-per-s"),
        (LOAD, &["--ask", "127.0.0.1:1"], 2, "--mix is missing"),
        (LOAD, &["--mix", "[]"], 1, "no address"),
        (LOAD, &["--mix", "[{\"kind\":\"odd\"}]"], 2, "odd"),
        (
            LOAD,
            &["--mix", mix, "--rate", "1", "--burst", "1"],
            2,
            "exclude",
        ),
    ];
    for (program, arguments, code, named) in cases {
        let output = run(program, arguments);
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(*code), "{arguments:?}: {text}");
        let first = text.lines().next().unwrap_or_default();
        assert!(first.contains(named), "{arguments:?}: {text}");
    }
}
