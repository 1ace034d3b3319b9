//! What changes from one version of the document to the next.
//!
//! An operator changes a few lines of a document of hundreds of kilobytes, several times a second. Sent whole to
//! hundreds of routers, each version takes more of the sender's link than there is, and messages by which the control
//! group stays alive wait behind it. A patch holds what is new, and which parts of the earlier version stay.
//!
//! ```
//! use lovageplank_core::fleet::patch::Patch;
//!
//! let patch = Patch::new((1, b"one two"), (2, b"one three")).unwrap();
//! assert_eq!(patch.apply(b"one two").unwrap(), b"one three");
//! ```

use super::document::MAX_DOCUMENT_BYTES;
use crate::prelude::*;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::{Compression, Crc};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::ops::Range;

/// Protocol version since which processes know patches.
pub const PROTOCOL: u32 = 5;
/// Length in bytes of the parts by which equal parts of two versions are found.
const BLOCK_BYTES: usize = 48;
/// Places of an equal part in the earlier version that are compared at most.
const PLACES_MAX: usize = 4;

record! { key =>
    /// The difference between two versions of the document.
    pub struct Patch {
        /// The version that it applies to.
        pub base: u64,
        /// The version that it results in.
        pub version: u64,
        /// CRC-32 of the bytes of that version.
        checksum: u32,
        /// The encoded steps, compressed (deflate).
        #[serde(rename = "packed")]
        #[serde(with = "serde_bytes")]
        compressed: Vec<u8>,
    }
}

record! { key =>
    /// What comes next in the later version.
    enum Step {
        /// Bytes of the earlier version.
        Keep {
            from: usize,
            length: usize,
        },
        /// New bytes.
        Insert(#[serde(with = "serde_bytes")] Vec<u8>),
    }
}

impl Patch {
    /// The difference between two versions, each with its number and its bytes; `None` if it can't be encoded.
    pub fn new(base: (u64, &[u8]), later: (u64, &[u8])) -> Option<Patch> {
        let steps = Comparison::new(base.1, later.1).steps();
        let mut bytes = Vec::new();
        ciborium::into_writer(&steps, &mut bytes).ok()?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&bytes).ok()?;
        Some(Patch {
            base: base.0,
            version: later.0,
            checksum: checksum(later.1),
            compressed: encoder.finish().ok()?,
        })
    }

    /// How many bytes it takes, compressed.
    pub fn compressed_bytes(&self) -> usize {
        self.compressed.len()
    }

    /// The bytes of the later version, from those of the earlier one. Fails if it isn't of these bytes, or results in
    /// more than [`MAX_DOCUMENT_BYTES`].
    pub fn apply(&self, base: &[u8]) -> io::Result<Vec<u8>> {
        let most = usize::try_from(MAX_DOCUMENT_BYTES).unwrap_or(usize::MAX);
        // The steps themselves take little beside what they insert.
        let decoder = DeflateDecoder::new(&*self.compressed).take(2 * MAX_DOCUMENT_BYTES);
        let steps: Vec<Step> = ciborium::from_reader(decoder).map_err(io::Error::other)?;
        let mut bytes = Vec::new();
        for step in steps {
            let part = match &step {
                Step::Keep { from, length } => from
                    .checked_add(*length)
                    .and_then(|to| base.get(*from..to))
                    .ok_or_else(|| io::Error::other("a part of the base is missing"))?,
                Step::Insert(part) => part,
            };
            if bytes.len() + part.len() > most {
                return Err(io::Error::other("the document is too large"));
            }
            bytes.extend_from_slice(part);
        }
        if checksum(&bytes) != self.checksum {
            return Err(io::Error::other("the patch is of other bytes"));
        }
        Ok(bytes)
    }
}

fn checksum(bytes: &[u8]) -> u32 {
    let mut crc = Crc::new();
    crc.update(bytes);
    crc.sum()
}

/// A search for equal parts of two versions.
struct Comparison<'a> {
    base: &'a [u8],
    later: &'a [u8],
    /// Where each block of the base stands, ascending.
    blocks: HashMap<&'a [u8], Vec<usize>>,
}

impl<'a> Comparison<'a> {
    fn new(base: &'a [u8], later: &'a [u8]) -> Comparison<'a> {
        let mut blocks: HashMap<&[u8], Vec<usize>> = HashMap::new();
        for (number, block) in base.chunks_exact(BLOCK_BYTES).enumerate() {
            blocks.entry(block).or_default().push(number * BLOCK_BYTES);
        }
        Comparison {
            base,
            later,
            blocks,
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let (mut inserted_from, mut at, mut base_at) = (0, 0, 0);
        while at + BLOCK_BYTES <= self.later.len() {
            let Some((kept, in_base)) = self.longest_match(at, inserted_from, base_at) else {
                at += 1;
                continue;
            };
            self.insert(inserted_from..kept.start, &mut steps);
            steps.push(Step::Keep {
                from: in_base,
                length: kept.len(),
            });
            base_at = in_base + kept.len();
            at = kept.end;
            inserted_from = at;
        }
        self.insert(inserted_from..self.later.len(), &mut steps);
        steps
    }

    fn insert(&self, range: Range<usize>, steps: &mut Vec<Step>) {
        if !range.is_empty() {
            steps.push(Step::Insert(self.later[range].to_vec()));
        }
    }

    /// The longest part around `at`, from `earliest` on, that is equal to one of the base; with its place there. Of
    /// equal blocks of the base those next to `expected` are compared.
    fn longest_match(
        &self,
        at: usize,
        earliest: usize,
        expected: usize,
    ) -> Option<(Range<usize>, usize)> {
        let places = self.blocks.get(&self.later[at..at + BLOCK_BYTES])?;
        let next = places.partition_point(|place| *place < expected);
        let first = next.saturating_sub(PLACES_MAX / 2);
        let nearest = places[first..].iter().take(PLACES_MAX);
        let extended = nearest.map(|place| self.extend(at, earliest, *place));
        extended.max_by_key(|(range, _)| range.len())
    }

    /// The part around two equal blocks up to the next difference on either side.
    fn extend(&self, at: usize, earliest: usize, in_base: usize) -> (Range<usize>, usize) {
        let after = self.later[at..].iter().zip(&self.base[in_base..]);
        let length = after.take_while(|(left, right)| left == right).count();
        let before = self.later[earliest..at].iter().rev();
        let before = before.zip(self.base[..in_base].iter().rev());
        let back = before.take_while(|(left, right)| left == right).count();
        (at - back..at + length, in_base - back)
    }
}
