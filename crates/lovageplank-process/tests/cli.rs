//! The command arguments that all daemons share.

use lovageplank_process::cli::{Command, parse};

enum Expected {
    Run(&'static str),
    Check(&'static str),
    Help,
    Version,
    /// Refused; the message names this.
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
    for (arguments, expected) in ARGUMENTS {
        let parsed = parse(arguments.iter().map(Into::into).collect());
        match (parsed, expected) {
            (Ok(command), Run(file)) => {
                assert_eq!(command, Command::Run(file.into()), "{arguments:?}")
            }
            (Ok(command), Check(file)) => {
                assert_eq!(command, Command::Check(file.into()), "{arguments:?}")
            }
            (Ok(command), Help) => assert_eq!(command, Command::Help, "{arguments:?}"),
            (Ok(command), Version) => assert_eq!(command, Command::Version, "{arguments:?}"),
            (Err(error), Refused(part)) => {
                assert!(error.to_string().contains(part), "{arguments:?}: {error}");
            }
            (command, _) => panic!("{arguments:?}: {command:?}"),
        }
    }
}
