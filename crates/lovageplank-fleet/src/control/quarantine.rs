//! Requests under which servers end: reports of routers, trials, and what is held.

use super::routers;
use super::state::State;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::quarantine::{End, Evidence, List, TrialRequest};
use lovageplank_core::fleet::registry::Stage;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;

impl State {
    /// Records a router's report that a server ended, if this process is the leader. The end of a
    /// server that had announced its departure has nothing to do with its requests.
    pub(super) fn server_ended(&mut self, link: u64, end: &End) {
        let server = self.registry.get(&end.server).map(|s| &s.announcement);
        let is_planned =
            server.is_some_and(|s| s.incarnation == end.incarnation && s.stage != Stage::Ready);
        let instance = self.routers.name(link);
        let Some(tracker) = self.quarantine.as_mut() else {
            return;
        };
        let keys = end.keys.iter();
        let keys = keys.map(|e| format!("{} begun {}", e.key, e.begun.len()));
        let keys: Vec<String> = keys.collect();
        tracing::info!(event = "server_ended", server = %end.server, service = %end.service, ?instance, is_planned,
            keys = keys.join(", "));
        if is_planned {
            return;
        }
        tracker.ended(clock::boottime_ms(), link, end);
        self.send_held_keys();
    }

    /// Records a router's requests that have begun.
    pub(super) fn requests_begun(&mut self, link: u64, service: &Name, evidence: &[Evidence]) {
        if let Some(tracker) = &mut self.quarantine {
            tracker.begun(clock::boottime_ms(), link, service, evidence);
            self.send_held_keys();
        }
    }

    /// Decides about a request that has keys which are held, if this process is the leader.
    pub(super) fn decide_trial(&mut self, link: u64, request: &TrialRequest) {
        self.send_held_keys();
        let Some(tracker) = &mut self.quarantine else {
            return;
        };
        let answer = tracker.decide(clock::boottime_ms(), link, request);
        let instance = self.routers.name(link);
        tracing::info!(event = "trial", number = request.number, ?instance, service = %request.service, ?answer);
        let number = request.number;
        self.routers
            .send(link, Message::TrialAnswer { number, answer });
        self.send_held_keys();
    }

    /// Records the outcome of a trial.
    pub(super) fn trial_ended(&mut self, link: u64, number: u64, begun: bool) {
        if let Some(tracker) = &mut self.quarantine {
            let instance = self.routers.name(link);
            tracing::info!(event = "trial_ended", number, ?instance, begun);
            tracker.tried(clock::boottime_ms(), link, number, begun);
            self.send_held_keys();
        }
    }

    /// Stores the held keys that a leader has sent, unless they are outdated.
    pub(super) fn store_held_keys(&mut self, list: List) {
        if self.quarantine.is_none() && list.is_newer_than(&self.held_keys) {
            self.held_keys = list;
        }
    }

    /// Forgets keys that no longer count, quarantines those for which that is due, and sends routers and control processes the held keys if
    /// they have changed.
    pub(super) fn send_held_keys(&mut self) {
        let now = clock::boottime_ms();
        let Some(tracker) = &mut self.quarantine else {
            return;
        };
        tracker.expire(now);
        for (service, key) in tracker.judge(now) {
            tracing::warn!(event = "quarantined", %service, %key);
        }
        let Some(list) = tracker.take_list(now) else {
            return;
        };
        let quarantined = list.held.iter().filter(|held| held.quarantined).count();
        record_gauges(list.held.len() - quarantined, quarantined);
        self.held_keys = list.clone();
        if let Some(encoded) = routers::encode(Message::HeldKeys(list)) {
            self.routers.broadcast_encoded(&encoded);
            self.send_to_control_processes(&encoded);
        }
    }
}

#[allow(clippy::cast_precision_loss)] // At most a few thousand.
fn record_gauges(suspected: usize, quarantined: usize) {
    for (hold, count) in [("suspected", suspected), ("quarantined", quarantined)] {
        metrics::gauge!("lovageplank_control_held_keys", "hold" => hold).set(count as f64);
    }
}
