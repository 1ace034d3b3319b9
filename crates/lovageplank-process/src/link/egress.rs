//! What a process writes to its links, which share the link of its instance.

use super::EncodedFrame;
use lovageplank_core::prelude::*;
use lovageplank_wire::Role;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Time over which bytes are summed up for the log.
const SPAN: Duration = Duration::from_secs(1);
/// Share of the link that is used in a span from which on the log says by what.
const BUSY_SHARE: f64 = 0.25;
/// Kinds of frames that the log names, those with the most bytes.
const KINDS_MAX: usize = 5;

/// The frames that a process writes to its links.
#[derive(Debug)]
pub struct Egress {
    link_bytes_per_s: f64,
    span: Mutex<Span>,
}

/// Bytes in the current span, by the peer and the kind of frame.
#[derive(Debug)]
struct Span {
    began_at: Instant,
    bytes: BTreeMap<(&'static str, &'static str), usize>,
}

impl Egress {
    /// For a process whose instance has a link of so many bytes a second.
    pub fn new(link_bytes_per_s: f64) -> Egress {
        Egress {
            link_bytes_per_s,
            span: Mutex::new(Span {
                began_at: Instant::now(),
                bytes: BTreeMap::new(),
            }),
        }
    }

    /// Counts a frame that is written next. Logs what was written in a span in which much was.
    pub(super) fn count(&self, to: Role, frame: &EncodedFrame) {
        let mut span = self.span.lock().unwrap_or_else(PoisonError::into_inner);
        if span.began_at.elapsed() >= SPAN {
            let ended = std::mem::replace(
                &mut *span,
                Span {
                    began_at: Instant::now(),
                    bytes: BTreeMap::new(),
                },
            );
            self.log(&ended);
        }
        let bytes = span.bytes.entry((peer_kind(to), frame.kind)).or_default();
        *bytes += frame.length();
    }

    fn log(&self, span: &Span) {
        let bytes: usize = span.bytes.values().sum();
        #[allow(clippy::cast_precision_loss)] // Far below 2^52.
        let is_busy = bytes as f64 >= self.link_bytes_per_s * BUSY_SHARE * SPAN.as_secs_f64();
        if !is_busy {
            return;
        }
        let mut kinds: Vec<_> = span.bytes.iter().collect();
        kinds.sort_by_key(|(_, bytes)| std::cmp::Reverse(**bytes));
        let kinds = kinds.iter().take(KINDS_MAX);
        let kinds: Vec<String> = kinds
            .map(|((to, kind), bytes)| format!("{kind}/{to}={bytes}"))
            .collect();
        let ms = u64::try_from(span.began_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        tracing::info!(event = "link_busy", ms, bytes, kinds = kinds.join(","));
    }
}

/// Names the peer of a link in logs and metrics.
pub(super) fn peer_kind(role: Role) -> &'static str {
    match role {
        Role::Router => "router",
        Role::Control | Role::Observer => "control",
    }
}
