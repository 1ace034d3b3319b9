//! Arguments, exit codes and signals of the stand-ins' programs.
//!
//! Exit codes: 0 success, 1 failure, 2 invalid arguments.

use std::ffi::OsString;
use std::fmt::Display;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::fault::Faults;

/// Interval in milliseconds at which [`serve`] checks for signals and for the end of the stand-in.
const POLL_INTERVAL_MS: u64 = 50;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// The reason why a program fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The arguments are invalid.
    Usage(String),
    /// The program failed after its arguments were parsed.
    Failed(String),
}

/// The command-line arguments that haven't been taken yet.
pub struct Arguments(pico_args::Arguments);

impl Arguments {
    /// Creates the list from arguments without the program's name.
    pub fn new(arguments: impl IntoIterator<Item = OsString>) -> Arguments {
        let arguments = arguments.into_iter().collect();
        Arguments(pico_args::Arguments::from_vec(arguments))
    }

    /// Takes a flag without a value; returns whether it is given.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.0.contains(name)
    }

    /// Takes a flag and returns its value, or `None` if the flag isn't given.
    ///
    /// Errors: the value is missing or invalid.
    pub fn value<T: FromStr<Err: Display>>(
        &mut self,
        name: &'static str,
    ) -> Result<Option<T>, Error> {
        self.0.opt_value_from_str(name).map_err(usage)
    }

    /// Takes a required flag and returns its value.
    ///
    /// Errors: the flag isn't given, or its value is missing or invalid.
    pub fn required<T: FromStr<Err: Display>>(&mut self, name: &'static str) -> Result<T, Error> {
        let missing = || Error::Usage(format!("{name} is missing"));
        self.value(name)?.ok_or_else(missing)
    }

    /// Takes the next positional argument; call it only after all flags with values were taken.
    ///
    /// Errors: the argument, called `name` in the message, is missing or invalid.
    pub fn positional<T: FromStr<Err: Display>>(&mut self, name: &'static str) -> Result<T, Error> {
        let missing = || Error::Usage(format!("{name} is missing"));
        let positional = self.0.opt_free_from_str().map_err(usage)?;
        positional.ok_or_else(missing)
    }

    /// Takes all occurrences of a flag and returns their values, split at commas.
    ///
    /// Errors: a value is missing.
    pub fn list(&mut self, name: &'static str) -> Result<Vec<String>, Error> {
        let values: Vec<String> = self.0.values_from_str(name).map_err(usage)?;
        let parts = values.iter().flat_map(|value| value.split(','));
        Ok(parts.map(str::to_owned).collect())
    }

    /// Takes `--fault`, a JSON object of fault switches; returns no faults if it isn't given.
    ///
    /// Errors: the value isn't a valid JSON object of fault switches.
    pub fn faults(&mut self) -> Result<Faults, Error> {
        let Some(text) = self.value::<String>("--fault")? else {
            return Ok(Faults::default());
        };
        serde_json::from_str(&text).map_err(|error| Error::Usage(format!("--fault: {error}")))
    }

    /// Checks that all arguments have been taken.
    ///
    /// Errors: an argument is left over.
    pub fn finish(&mut self) -> Result<(), Error> {
        let arguments = std::mem::replace(&mut self.0, pico_args::Arguments::from_vec(Vec::new()));
        match arguments.finish().first() {
            None => Ok(()),
            Some(left) => Err(Error::Usage(format!("unknown argument {}", left.display()))),
        }
    }
}

/// Runs a program, prints its error or, for `--help`, its usage, and returns its exit code.
pub fn main(usage: &str, run: impl FnOnce(&mut Arguments) -> Result<(), Error>) -> ExitCode {
    let mut arguments = Arguments::new(std::env::args_os().skip(1));
    if arguments.flag("--help") {
        println!("{usage}");
        return ExitCode::SUCCESS;
    }
    match run(&mut arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Error::Usage(message)) => {
            eprintln!("{message}\n\n{usage}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(Error::Failed(message)) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Waits for SIGTERM or SIGINT, then stops gracefully; a second signal ends the process at once.
///
/// Errors: the stand-in stopped by itself, or signals can't be watched.
pub fn serve(is_stopped: impl Fn() -> bool, stop: impl FnOnce()) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| Error::Failed(format!("can't watch signals: {error}")))?;
    loop {
        if is_stopped() {
            return Err(Error::Failed("died".to_owned()));
        }
        if signals.pending().next().is_some() {
            break;
        }
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            std::process::exit(i32::from(EXIT_FAILED));
        }
    });
    stop();
    Ok(())
}

fn usage(error: impl Display) -> Error {
    Error::Usage(error.to_string())
}
