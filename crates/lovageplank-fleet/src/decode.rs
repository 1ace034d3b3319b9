//! Decodes documents from the replicated log or a link.

use crate::dialect::Dialect;
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::document::Document;

/// Decodes a document that a control process validated before it entered the replicated log. Logs
/// an error and returns `None` if it can't be decoded.
pub(crate) fn deployment(dialect: &dyn Dialect, document: &Document) -> Option<Deployment> {
    let version = document.version;
    let bytes = match document.bytes() {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(event = "document_unreadable", version, %error);
            return None;
        }
    };
    match dialect.parse_deployment(&bytes) {
        Ok(deployment) => Some(deployment),
        Err(error) => {
            tracing::error!(event = "document_unreadable", version, %error);
            None
        }
    }
}
