//! Why an engine can't start.

use std::fmt;
use std::io;

/// An error of an engine's start.
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
