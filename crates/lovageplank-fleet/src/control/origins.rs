//! Which versions of servers' software are admitted, and where streams began.

use super::Shared;
use super::content::Content;
use super::state::State;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::origin::{Admitted, Begun, Question};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::time::Duration;

/// Milliseconds for which changes are collected before they are proposed. It bounds how many streams can't
/// be taken up after a loss of power of all instances.
const COLLECT_MS: u64 = 150;

/// Proposes, while this process leads, versions that aren't admitted and streams that aren't in the log.
pub(super) async fn propose(shared: Arc<Shared>) {
    loop {
        shared.origins_wake.notified().await;
        let content = {
            let mut state = shared.state();
            state.origins_proposal(clock::boottime_ms())
        };
        if let Some(content) = content {
            // What isn't applied is proposed again.
            shared.propose(&content);
        }
        tokio::time::sleep(Duration::from_millis(COLLECT_MS)).await;
    }
}

impl State {
    /// Versions and streams to propose, if this process is the leader.
    pub(super) fn origins_proposal(&mut self, now: Millis) -> Option<Content> {
        self.origins.expire(now);
        if !self.has_current_log() {
            return None;
        }
        let admitted = self.origins.versions_proposal(now, &self.registry);
        if let Some(admitted) = &admitted {
            tracing::info!(event = "versions_proposed", number = admitted.number, versions = ?admitted.versions);
        }
        let begun = self.origins.proposal(now);
        let content = Content {
            admitted,
            begun,
            ..Content::default()
        };
        (content != Content::default()).then_some(content)
    }

    /// Applies replicated versions and streams, and sends routers versions that have changed.
    pub(super) fn apply_origins(&mut self, admitted: Option<Admitted>, begun: Vec<Begun>) {
        self.origins.add(clock::boottime_ms(), begun, true);
        record_count(self.origins.record_count());
        let Some(admitted) = admitted else {
            return;
        };
        if self.origins.admit(admitted) {
            let admitted = self.origins.admitted();
            tracing::info!(event = "versions_admitted", number = admitted.number, versions = ?admitted.versions);
            let message = Message::AdmittedVersions(admitted.clone());
            self.routers.broadcast(message);
        }
    }

    /// Answers a router that asks where a stream began, if this process is the leader and knows what is
    /// replicated.
    pub(super) fn answer_origin(&mut self, link: u64, question: &Question) {
        if !self.has_current_log() {
            return;
        }
        let answer = self.origins.answer(question);
        let instance = self.routers.name(link);
        tracing::info!(event = "origin", stream = ?question.stream, ?instance, ?answer);
        let number = question.number;
        self.routers
            .send(link, Message::OriginAnswer { number, answer });
    }
}

#[allow(clippy::cast_precision_loss)] // At most some ten thousand.
fn record_count(count: usize) {
    metrics::gauge!("lovageplank_control_stream_origins").set(count as f64);
}
