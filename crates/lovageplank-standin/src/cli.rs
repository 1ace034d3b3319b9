//! What the stand-ins' programs share: arguments, exit codes and signals.
//!
//! Exit codes: 0 done, 1 failed, 2 usage.

use std::ffi::OsString;
use std::fmt::Display;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::fault::Faults;

/// Milliseconds between looks at signals and at whether the stand-in still lives.
const POLL_INTERVAL_MS: u64 = 50;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Why a program ends without success.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The arguments are wrong.
    Usage(String),
    /// The work failed.
    Failed(String),
}

/// The command line, taken apart flag by flag.
pub struct Arguments(pico_args::Arguments);

impl Arguments {
    /// Takes arguments without the program's name.
    pub fn new(arguments: impl IntoIterator<Item = OsString>) -> Arguments {
        let arguments = arguments.into_iter().collect();
        Arguments(pico_args::Arguments::from_vec(arguments))
    }

    /// Takes a flag that has no value.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.0.contains(name)
    }

    /// Takes the value of a flag, if it is given.
    pub fn value<T: FromStr<Err: Display>>(
        &mut self,
        name: &'static str,
    ) -> Result<Option<T>, Error> {
        self.0.opt_value_from_str(name).map_err(usage)
    }

    /// Takes the value of a flag that has to be given.
    pub fn required<T: FromStr<Err: Display>>(&mut self, name: &'static str) -> Result<T, Error> {
        let missing = || Error::Usage(format!("{name} is missing"));
        self.value(name)?.ok_or_else(missing)
    }

    /// Takes the next argument that is no flag; to be called after all flags with values.
    pub fn positional<T: FromStr<Err: Display>>(&mut self, name: &'static str) -> Result<T, Error> {
        let missing = || Error::Usage(format!("{name} is missing"));
        let positional = self.0.opt_free_from_str().map_err(usage)?;
        positional.ok_or_else(missing)
    }

    /// Takes a flag's values: those of repeated flags, split at commas.
    pub fn list(&mut self, name: &'static str) -> Result<Vec<String>, Error> {
        let values: Vec<String> = self.0.values_from_str(name).map_err(usage)?;
        let parts = values.iter().flat_map(|value| value.split(','));
        Ok(parts.map(str::to_owned).collect())
    }

    /// Takes `--fault`, a JSON object of switches.
    pub fn faults(&mut self) -> Result<Faults, Error> {
        let Some(text) = self.value::<String>("--fault")? else {
            return Ok(Faults::default());
        };
        serde_json::from_str(&text).map_err(|error| Error::Usage(format!("--fault: {error}")))
    }

    /// Checks that nothing is left over.
    pub fn finish(&mut self) -> Result<(), Error> {
        let arguments = std::mem::replace(&mut self.0, pico_args::Arguments::from_vec(Vec::new()));
        match arguments.finish().first() {
            None => Ok(()),
            Some(left) => Err(Error::Usage(format!("unknown argument {}", left.display()))),
        }
    }
}

/// Runs a program and turns its result into an exit code.
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
/// Errors: the stand-in died by itself.
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
