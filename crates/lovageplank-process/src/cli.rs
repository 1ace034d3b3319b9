//! Options that all daemons share, and exit codes.
//!
//! `--config FILE`, `--check` (validate the file and stop), `--help`, `--version`.

use eyre::{Result, eyre};
use std::path::PathBuf;

/// Exit codes of all binaries.
pub mod exit {
    /// Done.
    pub const DONE: i32 = 0;
    /// Refused, or failed at run time.
    pub const REFUSED: i32 = 1;
    /// The command line or the settings file is wrong.
    pub const USAGE: i32 = 2;
    /// No process could be reached.
    pub const UNREACHABLE: i32 = 3;
    /// The settings have changed since they were read.
    pub const CONFLICT: i32 = 4;
}

/// What the command line asks of a daemon.
#[derive(Debug, PartialEq)]
pub enum Request {
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
pub fn parse(args: Vec<std::ffi::OsString>) -> Result<Request> {
    let mut args = pico_args::Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Request::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Request::Version);
    }
    let check = args.contains("--check");
    let file: Option<PathBuf> = args
        .opt_value_from_os_str("--config", |s| {
            Ok::<_, std::convert::Infallible>(PathBuf::from(s))
        })
        .map_err(|e| eyre!("--config: {e}"))?;
    finish(args)?;
    let file = file.ok_or_else(|| eyre!("--config FILE is missing"))?;
    Ok(if check {
        Request::Check(file)
    } else {
        Request::Run(file)
    })
}

/// Names arguments that nobody asked for.
pub fn finish(args: pico_args::Arguments) -> Result<()> {
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
    role: crate::config::Role,
    run: impl FnOnce(crate::config::Config) -> Result<()>,
) -> i32 {
    let request = match parse(std::env::args_os().skip(1).collect()) {
        Ok(request) => request,
        Err(error) => {
            eprintln!("{name}: {error}");
            return exit::USAGE;
        }
    };
    match request {
        Request::Help => {
            println!("{}", help(name));
            exit::DONE
        }
        Request::Version => {
            println!("{name} {}", env!("CARGO_PKG_VERSION"));
            exit::DONE
        }
        Request::Check(file) => match crate::config::read(&file, role) {
            Ok(_) => {
                println!("{}: ok", file.display());
                exit::DONE
            }
            Err(problems) => report(name, &problems),
        },
        Request::Run(file) => match crate::config::read(&file, role) {
            Ok(config) => start(name, config, run),
            Err(problems) => report(name, &problems),
        },
    }
}

fn start(
    name: &str,
    config: crate::config::Config,
    run: impl FnOnce(crate::config::Config) -> Result<()>,
) -> i32 {
    let outcome = crate::log::init(&config.log)
        .and_then(|()| crate::meter::init())
        .and_then(|()| run(config));
    match outcome {
        Ok(()) => exit::DONE,
        Err(error) => {
            eprintln!("{name}: {error:#}");
            exit::REFUSED
        }
    }
}

fn report(name: &str, problems: &[crate::config::Problem]) -> i32 {
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
