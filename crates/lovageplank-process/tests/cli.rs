//! Command-line arguments that all daemons share.

use lovageplank_process::cli::{Command, parse};

enum Expected {
    Run(&'static str),
    Check(&'static str),
    Help,
    Version,
    /// Parsing fails with a message that contains this text.
    Refused(&'static str),
}

use Expected::{Check, Help, Refused, Run, Version};

const ARGUMENTS: &[(&[&str], Expected)] = &[
    (&["--config", "a.jsonc"], Run("a.jsonc")),
    (&["--config", "a b/ü.jsonc"], Run("a b/ü.jsonc")),
    (&["--check", "--config", "a.jsonc"], Check("a.jsonc")),
    (&["--config", "a.jsonc", "--check"], Check("a.jsonc")),
    (&["--help"], Help),
    (&["-h"], Help),
    (&["--config", "a.jsonc", "--help"], Help),
    (&["--version"], Version),
    (&["-V"], Version),
    (&[], Refused("--config FILE is missing")),
    (&["--check"], Refused("--config FILE is missing")),
    (&["--config"], Refused("--config")),
    (&["a.jsonc"], Refused("a.jsonc")),
    (&["--config=a.jsonc"], Refused("--config=a.jsonc")),
    (&["--config", "a.jsonc", "b.jsonc"], Refused("b.jsonc")),
    (&["--config", "a.jsonc", "--chekc"], Refused("--chekc")),
    (&["--config", "a.jsonc", "-x"], Refused("-x")),
    (
        &["--config", "a.jsonc", "--config", "b.jsonc"],
        Refused("--config"),
    ),
    (&["--config", "a.jsonc", ""], Refused("\"\"")),
];

#[test]
fn arguments_parse_to_one_command_or_error_names_the_argument() {
    for (args, expected) in ARGUMENTS {
        let parsed = parse(args.iter().map(Into::into).collect());
        match (parsed, expected) {
            (Ok(got), Run(file)) => assert_eq!(got, Command::Run(file.into()), "{args:?}"),
            (Ok(got), Check(file)) => assert_eq!(got, Command::Check(file.into()), "{args:?}"),
            (Ok(got), Help) => assert_eq!(got, Command::Help, "{args:?}"),
            (Ok(got), Version) => assert_eq!(got, Command::Version, "{args:?}"),
            (Err(error), Refused(part)) => {
                assert!(error.to_string().contains(part), "{args:?}: {error}");
            }
            (got, _) => panic!("{args:?}: {got:?}"),
        }
    }
}
