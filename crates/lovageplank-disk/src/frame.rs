//! Frames: length and checksums before a payload in CBOR, and a mark after it.
//!
//! The head has a checksum of its own, and the mark is not zero: so a frame that a crash has
//! torn, which ends early or in zeroes, differs from one that has decayed.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of the length, the checksum of the payload and that of these two.
const HEAD_BYTES: usize = 12;
const CHECKED_HEAD_BYTES: usize = 8;
const END_MARK: u8 = 0xed;

/// Why there is no whole frame at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// The bytes end before the frame does.
    Short,
    /// A checksum or the mark is wrong.
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
    let checksum = crc32fast::hash(&frame[HEAD_BYTES..]);
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame[4..CHECKED_HEAD_BYTES].copy_from_slice(&checksum.to_le_bytes());
    let head = crc32fast::hash(&frame[..CHECKED_HEAD_BYTES]);
    frame[CHECKED_HEAD_BYTES..HEAD_BYTES].copy_from_slice(&head.to_le_bytes());
    frame.push(END_MARK);
    frame
}

/// The value at the start of the bytes, with the length of its frame.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), Flaw> {
    let payload = payload(bytes)?;
    let value = ciborium::from_reader(payload).map_err(|_| Flaw::Payload)?;
    Ok((value, HEAD_BYTES + payload.len() + 1))
}

/// Whether a flawed end of a file is what a crash leaves: it stops early or is zero where the
/// last write did not arrive, and no valid frame comes later.
pub(crate) fn is_torn(flaw: Flaw, bytes: &[u8]) -> bool {
    let incomplete = match flaw {
        Flaw::Short => true,
        Flaw::Checksum => bytes.last() == Some(&0),
        Flaw::Payload => false,
    };
    let is_valid = |offset: usize| payload(&bytes[offset..]).is_ok();
    incomplete && !(1..bytes.len()).any(is_valid)
}

fn payload(bytes: &[u8]) -> Result<&[u8], Flaw> {
    let (head, rest) = bytes.split_at_checked(HEAD_BYTES).ok_or(Flaw::Short)?;
    if crc32fast::hash(&head[..CHECKED_HEAD_BYTES]) != number(&head[CHECKED_HEAD_BYTES..]) {
        return Err(Flaw::Checksum);
    }
    let length = number(head) as usize;
    let payload = rest.get(..length).ok_or(Flaw::Short)?;
    let mark = *rest.get(length).ok_or(Flaw::Short)?;
    if mark != END_MARK || crc32fast::hash(payload) != number(&head[4..]) {
        return Err(Flaw::Checksum);
    }
    Ok(payload)
}

/// The number in the first four bytes.
fn number(bytes: &[u8]) -> u32 {
    bytes
        .first_chunk()
        .map_or(0, |chunk| u32::from_le_bytes(*chunk))
}
