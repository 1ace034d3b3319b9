//! Messages that are encoded once for several links, compressed for those whose peers know that.

use lovageplank_core::fleet::bundle::{self, Bundle};
use lovageplank_core::fleet::message::Message;
use lovageplank_process::link::{EncodedFrame, Link};
use lovageplank_wire::Frame;
use std::slice;
use std::sync::OnceLock;

/// Bytes of an encoded message from which on it is compressed.
const COMPRESSED_BYTES_MIN: usize = 1 << 10;

/// Messages that are sent together.
pub(super) struct Packed {
    messages: Vec<Message>,
    /// All of them, unless they are short.
    bundle: Option<EncodedFrame>,
    /// Each of them, once a link needs it.
    plain: OnceLock<Vec<EncodedFrame>>,
}

impl Packed {
    /// Encodes messages that are sent in this order; logs an error if one is too large.
    pub(super) fn new(messages: Vec<Message>) -> Packed {
        let bundle = Bundle::new(&messages, COMPRESSED_BYTES_MIN);
        let bundle = bundle.map(Message::Bundle).and_then(encode);
        let kind = messages.first().map_or("Bundle", Message::kind);
        Packed {
            bundle: bundle.map(|bundle| bundle.of_kind(kind)),
            messages,
            plain: OnceLock::new(),
        }
    }

    /// Queues the messages on a link. Returns how many bytes they take.
    pub(super) fn send_on(&self, link: &Link) -> usize {
        let messages = match &self.bundle {
            Some(bundle) if link.knows(bundle::PROTOCOL) => slice::from_ref(bundle),
            _ => self.plain(),
        };
        for message in messages {
            link.send_encoded(message);
        }
        messages.iter().map(EncodedFrame::length).sum()
    }

    fn plain(&self) -> &[EncodedFrame] {
        let messages = || self.messages.iter().cloned();
        self.plain
            .get_or_init(|| messages().filter_map(encode).collect())
    }
}

/// Encodes a message once for several links; logs an error if it is too large.
pub(super) fn encode(message: Message) -> Option<EncodedFrame> {
    let encoded = EncodedFrame::new(&Frame::Fleet(Box::new(message)));
    encoded
        .inspect_err(
            |error| tracing::error!(event = "message_too_large", reason = %format!("{error:#}")),
        )
        .ok()
}
