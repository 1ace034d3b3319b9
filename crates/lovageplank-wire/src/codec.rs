//! Encodes and decodes frames in CBOR, with bounds on size and nesting.

use crate::Frame;

/// Most bytes of an encoded frame. Larger frames are an error when encoded and when received.
pub const FRAME_BYTES_MAX: usize = 16 << 20;

/// Nesting depth at which decoding fails, so that a received frame can't overflow the stack. It
/// exceeds the depth of a JSON value in a call, 128, so that every encoded frame can be decoded.
const NESTING_DEPTH_MAX: usize = 256;

/// Why a frame could not be encoded or decoded.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Size(usize),
    Encode(String),
    Decode(String),
    Trailing(usize),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.kind {
            Kind::Size(n) => write!(f, "frame has {n} bytes, more than {FRAME_BYTES_MAX}"),
            Kind::Encode(e) => write!(f, "frame can't be encoded: {e}"),
            Kind::Decode(e) => write!(f, "frame can't be decoded: {e}"),
            Kind::Trailing(n) => write!(f, "{n} bytes follow the frame"),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes one frame. Fails if it exceeds [`FRAME_BYTES_MAX`].
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut bytes)
        .map_err(|e| Error::from(Kind::Encode(e.to_string())))?;
    check_size(bytes.len())?;
    Ok(bytes)
}

/// Decodes exactly one frame. Fails if the bytes exceed [`FRAME_BYTES_MAX`], are not a valid frame,
/// or continue after it.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    check_size(bytes.len())?;
    let mut rest = bytes;
    let frame = ciborium::de::from_reader_with_recursion_limit(&mut rest, NESTING_DEPTH_MAX)
        .map_err(|e| Error::from(Kind::Decode(e.to_string())))?;
    match rest.len() {
        0 => Ok(frame),
        n => Err(Kind::Trailing(n).into()),
    }
}

fn check_size(len: usize) -> Result<(), Error> {
    if len > FRAME_BYTES_MAX {
        return Err(Kind::Size(len).into());
    }
    Ok(())
}

impl From<Kind> for Error {
    fn from(kind: Kind) -> Error {
        Error { kind }
    }
}
