//! The command line that all daemons share.

use lovageplank_process::cli::{Request, parse};

enum Expected {
    Run(&'static str),
    Check(&'static str),
    Help,
    Version,
    /// Refused; the message names this.
    Wrong(&'static str),
}

use Expected::{Check, Help, Run, Version, Wrong};

const LINES: &[(&[&str], Expected)] = &[
    (&["--config", "a.jsonc"], Run("a.jsonc")),
    (&["--config", "a b/ü.jsonc"], Run("a b/ü.jsonc")),
    (&["--check", "--config", "a.jsonc"], Check("a.jsonc")),
    (&["--config", "a.jsonc", "--check"], Check("a.jsonc")),
    (&["--help"], Help),
    (&["-h"], Help),
    (&["--config", "a.jsonc", "--help"], Help),
    (&["--version"], Version),
    (&["-V"], Version),
    (&[], Wrong("--config FILE is missing")),
    (&["--check"], Wrong("--config FILE is missing")),
    (&["--config"], Wrong("--config")),
    (&["a.jsonc"], Wrong("a.jsonc")),
    (&["--config=a.jsonc"], Wrong("--config=a.jsonc")),
    (&["--config", "a.jsonc", "b.jsonc"], Wrong("b.jsonc")),
    (&["--config", "a.jsonc", "--chekc"], Wrong("--chekc")),
    (&["--config", "a.jsonc", "-x"], Wrong("-x")),
    (
        &["--config", "a.jsonc", "--config", "b.jsonc"],
        Wrong("--config"),
    ),
    (&["--config", "a.jsonc", ""], Wrong("\"\"")),
];

#[test]
fn each_line_asks_for_one_thing_or_is_refused_by_name() {
    for (line, expected) in LINES {
        let parsed = parse(line.iter().map(Into::into).collect());
        match (parsed, expected) {
            (Ok(got), Run(file)) => assert_eq!(got, Request::Run(file.into()), "{line:?}"),
            (Ok(got), Check(file)) => assert_eq!(got, Request::Check(file.into()), "{line:?}"),
            (Ok(got), Help) => assert_eq!(got, Request::Help, "{line:?}"),
            (Ok(got), Version) => assert_eq!(got, Request::Version, "{line:?}"),
            (Err(error), Wrong(part)) => {
                assert!(error.to_string().contains(part), "{line:?}: {error}");
            }
            (got, _) => panic!("{line:?}: {got:?}"),
        }
    }
}
