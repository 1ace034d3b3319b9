//! Frames: a header with the length and checksums, a payload in CBOR, and an end marker.
//!
//! The header has its own checksum and the end marker is not zero. This distinguishes a frame torn
//! by a crash, which ends early or in zeroes or lacks sectors, from one that was damaged later.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of the header: the payload's length, the payload's checksum and a checksum of these two.
const HEADER_BYTES: usize = 12;
/// Bytes at the start of the header that the header's checksum covers.
const CHECKSUMMED_BYTES: usize = 8;
/// Bytes at a multiple of that length in a file that a disk writes whole or not at all.
const SECTOR_BYTES: usize = 512;
/// Last byte of a frame.
const END_MARKER: u8 = 0xed;

/// Why the bytes do not start with a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameError {
    /// The bytes end before the frame does.
    Short,
    /// A checksum or the end marker is wrong.
    Checksum,
    /// The payload can't be decoded as the expected type.
    Payload,
}

impl FrameError {
    pub(crate) fn describe(self) -> &'static str {
        match self {
            FrameError::Short => "the frame is incomplete",
            FrameError::Checksum => "a checksum or the end marker is wrong",
            FrameError::Payload => "the payload can't be decoded",
        }
    }
}

/// Encodes a value as a frame.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut frame = vec![0; HEADER_BYTES];
    ciborium::into_writer(value, &mut frame).expect("writing to a vector never fails");
    let length = u32::try_from(frame.len() - HEADER_BYTES)
        .expect("a payload has fewer than 4 GiB, because batches are bounded");
    let checksum = crc32fast::hash(&frame[HEADER_BYTES..]);
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame[4..CHECKSUMMED_BYTES].copy_from_slice(&checksum.to_le_bytes());
    let header_checksum = crc32fast::hash(&frame[..CHECKSUMMED_BYTES]);
    frame[CHECKSUMMED_BYTES..HEADER_BYTES].copy_from_slice(&header_checksum.to_le_bytes());
    frame.push(END_MARKER);
    frame
}

/// Decodes the frame at the start of the bytes. Returns the value and the frame's length in bytes.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), FrameError> {
    let payload = verified_payload(bytes)?;
    let value = ciborium::from_reader(payload).map_err(|_| FrameError::Payload)?;
    Ok((value, HEADER_BYTES + payload.len() + 1))
}

/// Whether `bytes`, the rest of a file from an invalid frame at `offset` on, can be the result of a crash
/// during the last write: the frame is incomplete, the file ends in a zero or a sector of the write is
/// missing, and no valid frame follows.
pub(crate) fn is_torn(error: FrameError, bytes: &[u8], offset: usize) -> bool {
    let incomplete = match error {
        FrameError::Short => true,
        FrameError::Checksum => bytes.last() == Some(&0) || lacks_sector(bytes, offset),
        FrameError::Payload => false,
    };
    let is_valid = |offset: usize| verified_payload(&bytes[offset..]).is_ok();
    incomplete && !(1..bytes.len()).any(is_valid)
}

/// Whether what a frame at `offset` in its file has in one of the sectors is missing: only zeros.
///
/// Sectors reach the disk in any order, so the end of a write may be there without its beginning.
fn lacks_sector(bytes: &[u8], offset: usize) -> bool {
    // A sector that holds part of a valid header has reached the disk, whatever else is zero in it.
    let reached = if has_valid_header(bytes) {
        (offset + HEADER_BYTES).next_multiple_of(SECTOR_BYTES) - offset
    } else {
        0
    };
    let rest = bytes.get(reached..).unwrap_or_default();
    let until_sector = (offset + reached).next_multiple_of(SECTOR_BYTES) - (offset + reached);
    let (first, others) = rest.split_at(until_sector.min(rest.len()));
    let is_missing = |part: &[u8]| !part.is_empty() && part.iter().all(|byte| *byte == 0);
    is_missing(first) || others.chunks(SECTOR_BYTES).any(is_missing)
}

fn has_valid_header(bytes: &[u8]) -> bool {
    let header = bytes.get(..HEADER_BYTES);
    header.is_some_and(|header| {
        crc32fast::hash(&header[..CHECKSUMMED_BYTES]) == read_u32(&header[CHECKSUMMED_BYTES..])
    })
}

/// Verifies the checksums and the end marker of the frame at the start of the bytes, and returns
/// its payload.
fn verified_payload(bytes: &[u8]) -> Result<&[u8], FrameError> {
    let (header, rest) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or(FrameError::Short)?;
    if !has_valid_header(header) {
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

/// Reads a little-endian number from the first four bytes.
fn read_u32(bytes: &[u8]) -> u32 {
    bytes
        .first_chunk()
        .map_or(0, |chunk| u32::from_le_bytes(*chunk))
}
