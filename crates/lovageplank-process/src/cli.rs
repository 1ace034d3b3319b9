//! Options that all daemons share, and exit codes.
//!
//! `--config FILE`, `--check` (validate the file and stop), `--help`, `--version`.

use eyre::{Result, eyre};
use std::path::PathBuf;

/// Exit codes of all binaries.
pub mod exit {
    /// Done.
    pub const SUCCESS: i32 = 0;
    /// Refused, or failed at run time.
    pub const FAILURE: i32 = 1;
    /// The command line or the settings file is wrong.
    pub const USAGE: i32 = 2;
    /// No process could be reached.
    pub const UNREACHABLE: i32 = 3;
    /// The settings have changed since they were read.
    pub const CONFLICT: i32 = 4;
}

/// What the command line asks of a daemon.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Run with this settings file.
    Run(PathBuf),
    /// Check this settings file.
    Check(PathBuf),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// Reads a daemon's arguments (without the program's name).
pub fn parse(args: Vec<std::ffi::OsString>) -> Result<Command> {
    let mut args = pico_args::Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let check = args.contains("--check");
    let file: Option<PathBuf> = args
        .opt_value_from_os_str("--config", |s| {
            Ok::<_, std::convert::Infallible>(PathBuf::from(s))
        })
        .map_err(|e| eyre!("--config: {e}"))?;
    reject_unknown(args)?;
    let file = file.ok_or_else(|| eyre!("--config FILE is missing"))?;
    Ok(if check {
        Command::Check(file)
    } else {
        Command::Run(file)
    })
}

/// Names arguments that nobody asked for.
pub fn reject_unknown(args: pico_args::Arguments) -> Result<()> {
    match args.finish().first() {
        None => Ok(()),
        Some(arg) => Err(eyre!(
            "unknown argument {:?}; see --help",
            arg.to_string_lossy()
        )),
    }
}

/// Runs a daemon's command line: `run` gets the checked settings.
pub fn main(
    name: &str,
    daemon: crate::config::DaemonKind,
    run: impl FnOnce(crate::config::Config) -> Result<()>,
) -> i32 {
    let command = match parse(std::env::args_os().skip(1).collect()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("{name}: {error}");
            return exit::USAGE;
        }
    };
    match command {
        Command::Help => {
            println!("{}", help(name));
            exit::SUCCESS
        }
        Command::Version => {
            println!("{name} {}", env!("CARGO_PKG_VERSION"));
            exit::SUCCESS
        }
        Command::Check(file) => match crate::config::read(&file, daemon) {
            Ok(_) => {
                println!("{}: ok", file.display());
                exit::SUCCESS
            }
            Err(problems) => print_problems(name, &problems),
        },
        Command::Run(file) => match crate::config::read(&file, daemon) {
            Ok(config) => start(name, config, run),
            Err(problems) => print_problems(name, &problems),
        },
    }
}

fn start(
    name: &str,
    config: crate::config::Config,
    run: impl FnOnce(crate::config::Config) -> Result<()>,
) -> i32 {
    let result = crate::log::init(&config.log)
        .and_then(|()| crate::prometheus::init())
        .and_then(|()| run(config));
    match result {
        Ok(()) => exit::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error:#}");
            exit::FAILURE
        }
    }
}

fn print_problems(name: &str, problems: &[crate::config::Problem]) -> i32 {
    for problem in problems {
        eprintln!("{name}: {problem}");
    }
    exit::USAGE
}

fn help(name: &str) -> String {
    format!(
        "{name} {version}\n\nUSAGE:\n    {name} --config FILE [--check]\n\nOPTIONS:\n    \
         --config FILE    settings of this process, JSON with comments\n    \
         --check          check the settings file and stop\n    \
         -h, --help       print this text\n    \
         -V, --version    print the version\n\n\
         SIGTERM and SIGINT stop gracefully; a second one stops at once.\n\
         Exit codes: 0 done, 1 failed, 2 usage or settings wrong.",
        version = env!("CARGO_PKG_VERSION")
    )
}
