//! Serializes byte buffers as byte strings instead of sequences, for `#[serde(with = "bytes")]`.

use serde::de::{Deserializer, Error, SeqAccess, Visitor};
use serde::ser::Serializer;
use std::fmt;

pub(super) fn serialize<S: Serializer>(
    bytes: &impl AsRef<[u8]>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes.as_ref())
}

pub(super) fn deserialize<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: From<Vec<u8>>,
{
    deserializer.deserialize_byte_buf(BytesVisitor).map(T::from)
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }

    // Formats without byte strings, such as JSON, encode them as sequences.
    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Vec<u8>, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = items.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes)
    }
}
