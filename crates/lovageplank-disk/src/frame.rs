//! Frames: length and checksums before a payload in CBOR, and a marker after it.
//!
//! The head has a checksum of its own, and the marker is not zero: so a frame that a crash has
//! torn, which ends early or in zeroes, differs from one that has decayed.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of the length, the checksum of the payload and that of these two.
const HEADER_BYTES: usize = 12;
const CHECKSUMMED_BYTES: usize = 8;
const END_MARKER: u8 = 0xed;

/// Why there is no whole frame at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameError {
    /// The bytes end before the frame does.
    Short,
    /// A checksum or the marker is wrong.
    Checksum,
    /// The payload is not what is expected.
    Payload,
}

impl FrameError {
    pub(crate) fn describe(self) -> &'static str {
        match self {
            FrameError::Short => "the frame is not whole",
            FrameError::Checksum => "the checksum is wrong",
            FrameError::Payload => "the content is not understood",
        }
    }
}

/// A frame around a value.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut frame = vec![0; HEADER_BYTES];
    ciborium::into_writer(value, &mut frame).expect("a vector takes all bytes");
    let length = u32::try_from(frame.len() - HEADER_BYTES).expect("batches are bounded");
    let checksum = crc32fast::hash(&frame[HEADER_BYTES..]);
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame[4..CHECKSUMMED_BYTES].copy_from_slice(&checksum.to_le_bytes());
    let header_checksum = crc32fast::hash(&frame[..CHECKSUMMED_BYTES]);
    frame[CHECKSUMMED_BYTES..HEADER_BYTES].copy_from_slice(&header_checksum.to_le_bytes());
    frame.push(END_MARKER);
    frame
}

/// The value at the start of the bytes, with the length of its frame.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), FrameError> {
    let payload = verified_payload(bytes)?;
    let value = ciborium::from_reader(payload).map_err(|_| FrameError::Payload)?;
    Ok((value, HEADER_BYTES + payload.len() + 1))
}

/// Whether a flawed end of a file is what a crash leaves: it stops early or is zero where the
/// last write did not arrive, and no valid frame comes later.
pub(crate) fn is_torn(error: FrameError, bytes: &[u8]) -> bool {
    let incomplete = match error {
        FrameError::Short => true,
        FrameError::Checksum => bytes.last() == Some(&0),
        FrameError::Payload => false,
    };
    let is_valid = |offset: usize| verified_payload(&bytes[offset..]).is_ok();
    incomplete && !(1..bytes.len()).any(is_valid)
}

fn verified_payload(bytes: &[u8]) -> Result<&[u8], FrameError> {
    let (header, rest) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or(FrameError::Short)?;
    if crc32fast::hash(&header[..CHECKSUMMED_BYTES]) != read_u32(&header[CHECKSUMMED_BYTES..]) {
        return Err(FrameError::Checksum);
    }
    let length = read_u32(header) as usize;
    let payload = rest.get(..length).ok_or(FrameError::Short)?;
    let marker = *rest.get(length).ok_or(FrameError::Short)?;
    if marker != END_MARKER || crc32fast::hash(payload) != read_u32(&header[4..]) {
        return Err(FrameError::Checksum);
    }
    Ok(payload)
}

/// The number in the first four bytes.
fn read_u32(bytes: &[u8]) -> u32 {
    bytes
        .first_chunk()
        .map_or(0, |chunk| u32::from_le_bytes(*chunk))
}
