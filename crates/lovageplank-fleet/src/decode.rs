//! Decodes documents from the replicated log or a link.

use crate::dialect::Dialect;
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::document::Document;
use std::fmt::Display;

/// Decodes a document that a control process validated before it entered the replicated log. Logs
/// an error and returns `None` if it can't be decoded.
pub(crate) fn deployment(dialect: &dyn Dialect, document: &Document) -> Option<Deployment> {
    match document.bytes() {
        Ok(bytes) => parse(dialect, document.version, &bytes),
        Err(error) => {
            log_unreadable(document.version, &error);
            None
        }
    }
}

/// The same for the bytes of a document.
pub(crate) fn parse(dialect: &dyn Dialect, version: u64, bytes: &[u8]) -> Option<Deployment> {
    dialect
        .parse_deployment(bytes)
        .inspect_err(|error| log_unreadable(version, error))
        .ok()
}

/// Logs that a document can't be read.
pub(crate) fn log_unreadable(version: u64, error: &dyn Display) {
    tracing::error!(event = "document_unreadable", version, %error);
}
