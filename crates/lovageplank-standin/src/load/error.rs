//! Errors of the load driver.

use std::fmt;

/// A configuration that cannot be run, calls without an outcome, or records that could not be
/// fetched.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Config { reason: String },
    Incomplete { completed: usize, planned: usize },
    Records { address: String, reason: String },
}

impl Error {
    pub(super) fn config(reason: &str) -> Error {
        let reason = reason.to_owned();
        Error {
            kind: Kind::Config { reason },
        }
    }

    pub(super) fn incomplete(completed: usize, planned: usize) -> Error {
        Error {
            kind: Kind::Incomplete { completed, planned },
        }
    }

    pub(super) fn records(address: &str, error: &attohttpc::Error) -> Error {
        let address = address.to_owned();
        let reason = error.to_string();
        Error {
            kind: Kind::Records { address, reason },
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::Config { reason } => write!(formatter, "invalid load configuration: {reason}"),
            Kind::Incomplete { completed, planned } => {
                write!(formatter, "only {completed} of {planned} calls completed")
            }
            Kind::Records { address, reason } => {
                write!(formatter, "cannot fetch the records of {address}: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}
