//! Requests under which servers end: reports of routers, trials, and what is held.

use super::content::Content;
use super::routers;
use super::state::State;
use lovageplank_control::voter;
use lovageplank_core::consensus::Term;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::quarantine::{
    Answer, End, Evidence, Held, List, TrialRequest, are_same,
};
use lovageplank_core::fleet::registry::Stage;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;

/// Milliseconds until a proposal of verdicts that wasn't applied is made again.
const PROPOSE_INTERVAL_MS: Millis = 1_000;

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
        let key = |e: &Evidence| format!("{} begun {}", e.key, e.begun.len());
        let keys: Vec<String> = end.keys.iter().map(key).collect();
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
        // Before that, it may not know of a former leader's verdict.
        let answer = if self.verdicts_current {
            tracker.decide(clock::boottime_ms(), link, request)
        } else {
            Answer::Wait
        };
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

    /// Replaces the replicated verdicts. They are what is held as long as no leader has said more.
    pub(super) fn set_verdicts(&mut self, verdicts: Vec<Held>) {
        let list = List {
            term: 0,
            number: 1,
            held: verdicts.clone(),
        };
        if self.held_keys.term == 0 {
            self.held_keys = list;
        }
        self.verdicts = verdicts;
    }

    /// Records that log entries up to this term are applied. Once those of its own term are, a leader
    /// knows all verdicts of former ones.
    pub(super) fn log_applied(&mut self, term: Term) {
        if self.verdicts_current || term != self.term {
            return;
        }
        if let Some(tracker) = &mut self.quarantine {
            tracker.adopt(clock::boottime_ms(), &self.verdicts);
            self.verdicts_current = true;
            self.send_held_keys();
        }
    }

    /// Returns a proposal of this leader's verdicts, if others are replicated. It is made again until
    /// it is applied.
    pub(super) fn propose_verdicts(&mut self, now: Millis) -> Option<voter::Request> {
        let tracker = self.quarantine.as_ref().filter(|_| self.verdicts_current)?;
        let verdicts = tracker.quarantined(now);
        if are_same(&verdicts, &self.verdicts)
            || now < self.verdicts_proposed_at + PROPOSE_INTERVAL_MS
        {
            return None;
        }
        self.verdicts_proposed_at = now;
        let content = Content {
            document: None,
            verdicts: Some(verdicts),
        };
        // No task waits for the outcome.
        Some(voter::Request::Propose {
            request_id: 0,
            data: content.encode(),
        })
    }

    /// Stores the held keys that a leader has sent, unless they are outdated.
    pub(super) fn store_held_keys(&mut self, list: List) {
        if self.quarantine.is_none() && list.is_newer_than(&self.held_keys) {
            self.held_keys = list;
        }
    }

    /// Forgets keys that no longer count, quarantines those for which that is due, and sends routers
    /// and control processes the held keys if they have changed. Does nothing unless this process is
    /// the leader and knows the verdicts of former ones.
    pub(super) fn send_held_keys(&mut self) {
        let now = clock::boottime_ms();
        let Some(tracker) = self.quarantine.as_mut().filter(|_| self.verdicts_current) else {
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
