//! Frames: length and checksum before a payload in CBOR.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of the length and the checksum.
const HEAD_BYTES: usize = 8;

/// Why there is no whole frame at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// The bytes end before the frame does.
    Short,
    /// The checksum is wrong.
    Checksum,
    /// The payload is not what is expected.
    Payload,
}

impl Flaw {
    pub(crate) fn describe(self) -> &'static str {
        match self {
            Flaw::Short => "the frame is not whole",
            Flaw::Checksum => "the checksum is wrong",
            Flaw::Payload => "the content is not understood",
        }
    }
}

/// A frame around a value.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut frame = vec![0; HEAD_BYTES];
    ciborium::into_writer(value, &mut frame).expect("a vector takes all bytes");
    let length = u32::try_from(frame.len() - HEAD_BYTES).expect("batches are bounded");
    let checksum = checksum(length, &frame[HEAD_BYTES..]);
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame[4..HEAD_BYTES].copy_from_slice(&checksum.to_le_bytes());
    frame
}

/// The value at the start of the bytes, with the length of its frame.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), Flaw> {
    let payload = payload(bytes)?;
    let value = ciborium::from_reader(payload).map_err(|_| Flaw::Payload)?;
    Ok((value, HEAD_BYTES + payload.len()))
}

/// Whether a valid frame begins anywhere in the bytes.
pub(crate) fn any_valid(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|offset| payload(&bytes[offset..]).is_ok())
}

fn payload(bytes: &[u8]) -> Result<&[u8], Flaw> {
    let (length, rest) = bytes.split_first_chunk().ok_or(Flaw::Short)?;
    let (expected, rest) = rest.split_first_chunk().ok_or(Flaw::Short)?;
    let length = u32::from_le_bytes(*length);
    let payload = rest.get(..length as usize).ok_or(Flaw::Short)?;
    // Zeroes are what a lost write leaves, never a frame.
    if length == 0 || u32::from_le_bytes(*expected) != checksum(length, payload) {
        return Err(Flaw::Checksum);
    }
    Ok(payload)
}

fn checksum(length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
