//! The codec round-trips every kind of frame and refuses everything else.

use crate::frames::{FRAME_KINDS, frames, kind_index};
use lovageplank_wire::call::Answer;
use lovageplank_wire::codec::{FRAME_BYTES_MAX, decode, encode};
use lovageplank_wire::{Frame, Lease};
use serde_json::{Value, json};

#[test]
fn every_frame_kind_round_trips() {
    let mut covered = [false; FRAME_KINDS];
    for frame in frames() {
        let bytes = encode(&frame).expect("encodes");
        assert_eq!(decode(&bytes).expect("decodes"), frame);
        covered[kind_index(&frame)] = true;
    }
    assert_eq!(covered, [true; FRAME_KINDS], "a kind of frame has no case");
}

#[test]
fn truncated_frame_is_refused() {
    for frame in frames() {
        let bytes = encode(&frame).expect("encodes");
        for length in 0..bytes.len() {
            assert!(decode(&bytes[..length]).is_err(), "{frame:?} at {length}");
        }
    }
}

#[test]
fn trailing_bytes_are_refused_and_counted() {
    for frame in frames() {
        let mut bytes = encode(&frame).expect("encodes");
        bytes.extend([0, 0, 0]);
        let error = decode(&bytes).expect_err("bytes follow").to_string();
        assert_eq!(error, "3 bytes follow the frame", "{frame:?}");
    }
}

/// An answer with a text of `text_bytes` bytes; its encoding has a fixed overhead for large texts.
fn answer_with_text(text_bytes: usize) -> Frame {
    let value = Value::String("x".repeat(text_bytes));
    Frame::Answer {
        id: 1,
        answer: Answer::Operator(value),
    }
}

#[test]
fn frame_size_limit_is_inclusive() {
    let overhead = encode(&answer_with_text(FRAME_BYTES_MAX / 2))
        .expect("fits")
        .len()
        - FRAME_BYTES_MAX / 2;
    let largest = answer_with_text(FRAME_BYTES_MAX - overhead);
    let bytes = encode(&largest).expect("fits");
    assert_eq!(bytes.len(), FRAME_BYTES_MAX);
    assert_eq!(decode(&bytes).expect("fits"), largest);
    let larger = encode(&answer_with_text(FRAME_BYTES_MAX - overhead + 1)).expect_err("too large");
    assert!(larger.to_string().contains("more than 16777216"));
    let bytes = vec![0; FRAME_BYTES_MAX + 1];
    let larger = decode(&bytes).expect_err("too large");
    assert!(larger.to_string().contains("more than 16777216"));
}

/// CBOR header of a list with one item.
const LIST_OF_ONE: u8 = 0x81;

/// Depth of nested lists in an answer, and whether the frame is accepted. The limit includes the
/// three levels of the frame itself. A JSON value of a call may be 128 levels deep, and must be
/// decoded.
const NESTING_CASES: &[(usize, bool)] = &[
    (1, true),
    (50, true),
    (128, true),
    (256, false),
    (5_000, false),
];

#[test]
fn nesting_beyond_the_limit_is_refused() {
    for (depth, accepted) in NESTING_CASES {
        let frame = Frame::Answer {
            id: 1,
            answer: Answer::Operator(json!("mark")),
        };
        let bytes = encode(&frame).expect("encodes");
        let marker: &[u8] = &[0x64, b'm', b'a', b'r', b'k'];
        let marker_offset = bytes.len() - marker.len();
        assert_eq!(
            &bytes[marker_offset..],
            marker,
            "the marker text is the frame's last item"
        );
        let nested = [&bytes[..marker_offset], &vec![LIST_OF_ONE; *depth], marker].concat();
        assert_eq!(decode(&nested).is_ok(), *accepted, "{depth} levels");
    }
}

/// Descriptions and bytes of invalid frames, in hexadecimal.
const INVALID_FRAMES: &[(&str, &str)] = &[
    ("no bytes", ""),
    ("a number", "01"),
    ("a text that is not a frame kind", "6548656c6c61"),
    ("a frame kind without content", "6450696e67"),
    ("an indefinite list without its end", "9f"),
    ("a list of 2^64 - 1 items", "9bffffffffffffffff"),
    ("a text of 2^64 - 1 bytes", "7bffffffffffffffff"),
    (
        "a ping with a text as nonce",
        "a16450696e67a1656e6f6e63656178",
    ),
    ("a ping without nonce", "a16450696e67a0"),
    (
        "two frame kinds in one map",
        "a26450696e67a1656e6f6e63650164506f6e67a1656e6f6e636501",
    ),
];

#[test]
fn invalid_frame_is_refused() {
    for (description, hex) in INVALID_FRAMES {
        let digits = hex.as_bytes().chunks(2);
        let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
        let bytes: Vec<u8> = digits.map(byte).collect();
        assert!(decode(&bytes).is_err(), "{description}");
    }
}

/// A newer process may add optional fields without a new protocol version (docs/PROTOCOL.md).
#[test]
fn unknown_field_is_ignored() {
    let bytes: &[u8] = b"\xa1\x65Lease\xa5\x64term\x01\x65leads\xf5\x69heartbeat\x02\
        \x68lease_ms\x03\x65newer\x04";
    let lease = Lease {
        term: 1,
        leads: true,
        heartbeat: 2,
        lease_ms: 3,
    };
    assert_eq!(decode(bytes).expect("decodes"), Frame::Lease(lease));
}
