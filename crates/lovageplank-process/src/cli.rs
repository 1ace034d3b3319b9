//! Command-line options shared by the daemons, and exit codes.
//!
//! The options are `--config FILE`, `--check` (validate the file and exit), `--help` and
//! `--version`.

use eyre::{Result, eyre};
use std::path::PathBuf;

/// Exit codes of all binaries.
pub mod exit {
    /// The command succeeded.
    pub const SUCCESS: i32 = 0;
    /// The command was refused or failed at run time.
    pub const FAILURE: i32 = 1;
    /// The command line or the settings file is invalid.
    pub const USAGE: i32 = 2;
    /// No process could be reached.
    pub const UNREACHABLE: i32 = 3;
    /// The settings have changed since they were read.
    pub const CONFLICT: i32 = 4;
}

/// Command given by a daemon's arguments.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Run the daemon with this settings file.
    Run(PathBuf),
    /// Validate this settings file and exit.
    Check(PathBuf),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// Parses a daemon's arguments, without the program's name. Fails if `--config FILE` is missing or
/// an argument is unknown.
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

/// Fails if arguments remain that were not parsed, and names the first one.
pub fn reject_unknown(args: pico_args::Arguments) -> Result<()> {
    match args.finish().first() {
        None => Ok(()),
        Some(arg) => Err(eyre!(
            "unknown argument {:?}; see --help",
            arg.to_string_lossy()
        )),
    }
}

/// Executes a daemon's command line and returns the exit code. `run` gets the validated settings.
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
         --config FILE    settings file of this process, JSON with comments\n    \
         --check          validate the settings file and exit\n    \
         -h, --help       print this text\n    \
         -V, --version    print the version\n\n\
         SIGTERM and SIGINT stop gracefully; a second signal exits at once.\n\
         Exit codes: 0 success, 1 failure, 2 invalid arguments or settings.",
        version = env!("CARGO_PKG_VERSION")
    )
}
