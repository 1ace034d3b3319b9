//! Recognizes a request that its caller sends again with a new id.

use super::request::Call;
use crate::dialect::Dialect;
use sha2::{Digest, Sha256};

/// Returns a number that requests share if they have the same method, path, body and
/// [identity](Dialect::identity), and others don't.
pub(super) fn fingerprint(dialect: &dyn Dialect, call: &Call) -> u64 {
    let path = call.uri.path_and_query().map_or("", |path| path.as_str());
    let mut fields = vec![call.method.as_str().as_bytes(), path.as_bytes(), &call.body];
    fields.extend(dialect.identity(&call.headers, &call.sender));
    let mut hash = Sha256::new();
    for field in fields {
        hash.update(field.len().to_le_bytes());
        hash.update(field);
    }
    let first = hash.finalize().first_chunk().copied();
    u64::from_le_bytes(first.unwrap_or_default())
}
