//! Errors of starting an engine.

use std::fmt;
use std::io;

/// An engine couldn't be started.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Bind { address: String, error: io::Error },
}

impl Error {
    pub(super) fn bind(address: &str, error: io::Error) -> Error {
        let address = address.to_owned();
        Error {
            kind: Kind::Bind { address, error },
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::Bind { address, error } => write!(formatter, "can't bind {address}: {error}"),
        }
    }
}

impl std::error::Error for Error {}
