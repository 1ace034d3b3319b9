//! What a process writes to its links, which share the link of its instance.
//!
//! A process that starts, returns or begins to lead tells hundreds of routers at once what they lack. The frames by
//! which it keeps its office go over the same link. So frames to routers take turns here, with a share of the link
//! together, and those to control processes don't wait.

use super::EncodedFrame;
use crate::clock;
use lovageplank_core::fleet::pace::Pace;
use lovageplank_core::prelude::*;
use lovageplank_wire::Role;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Share of the link that frames to routers may take.
const ROUTERS_SHARE: f64 = 0.7;
/// Milliseconds of that share that may be written at once.
const BURST_MS: f64 = 10.0;
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
    /// Held by the link whose turn it is; others wait in the order in which they came.
    routers_pace: tokio::sync::Mutex<Pace>,
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
            routers_pace: tokio::sync::Mutex::new(Pace::new(
                link_bytes_per_s * ROUTERS_SHARE,
                BURST_MS,
            )),
            span: Mutex::new(Span {
                began_at: Instant::now(),
                bytes: BTreeMap::new(),
            }),
        }
    }

    /// Waits until so many bytes may be written to a peer.
    pub(super) async fn admit(&self, to: Role, bytes: usize) {
        if to != Role::Router {
            return;
        }
        let mut pace = self.routers_pace.lock().await;
        while let Err(wait_ms) = pace.take(clock::boottime_ms(), bytes) {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
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
