//! The leader's record of the servers that ended under each key.

use super::case::Case;
use super::{Answer, End, Evidence, Held, Key, List, TrialRequest};
use crate::prelude::*;
use std::cmp::Reverse;

/// Keys that are tracked at most. Beyond it, the key under which a server ended longest ago and that
/// isn't quarantined is forgotten, or the oldest verdict if there is none.
const KEYS_MAX: usize = 1_000;

/// Keys under which servers ended, and what a leader allows for requests that have them.
#[derive(Clone, Debug)]
pub struct Tracker {
    cases: BTreeMap<(Name, Key), Case>,
    /// The list that was last sent.
    sent: List,
}

impl Tracker {
    /// Returns the tracker of a leader that takes office now, with what the former one relayed, and the time by
    /// which it had relayed all ends that are in it.
    pub fn new(now: Millis, term: u64, held: &[Held], ends_before: Millis) -> Tracker {
        let sent = List {
            term,
            ..List::default()
        };
        let mut tracker = Tracker {
            cases: BTreeMap::new(),
            sent,
        };
        tracker.adopt_relayed(now, held, ends_before);
        tracker
    }

    /// Adds keys that a former leader held, as far as they are unknown. Servers may have ended under them until now.
    pub fn adopt(&mut self, now: Millis, held: &[Held]) {
        self.adopt_relayed(now, held, now);
    }

    fn adopt_relayed(&mut self, now: Millis, held: &[Held], ends_before: Millis) {
        for held in held {
            let case = self.cases.entry((held.service.clone(), held.key));
            case.or_insert_with(|| Case::adopted(now, held, ends_before));
        }
    }

    /// Records a router's report that a server ended before it began to answer a request.
    pub fn ended(&mut self, now: Millis, router: u64, end: &End) {
        let server = (end.server.clone(), end.incarnation);
        for (rank, Evidence { key, begun }) in (0..).zip(&end.keys) {
            let case = self.cases.entry((end.service.clone(), *key)).or_default();
            case.seen_after(rank);
            case.server_ended(now, &server);
            case.requests_began(now, router, begun);
        }
        self.limit_keys();
    }

    /// Quarantines keys, each with its service, for which that is due; returns them. Of keys that the
    /// same ends speak against, one is quarantined; if it was the wrong one, the next end shows it.
    pub fn judge(&mut self, now: Millis) -> Vec<(Name, Key)> {
        let due = self.cases.iter().filter(|(_, case)| case.is_due(now));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, case)| Reverse(case.weight()));
        let due: Vec<(Name, Key)> = due.into_iter().map(|(key, _)| key.clone()).collect();
        let mut quarantined = Vec::new();
        for key in due {
            if !self.is_explained(&key) {
                self.quarantine(now, &key);
                quarantined.push(key);
            }
        }
        quarantined
    }

    /// Quarantines a key, and lifts the verdicts on others for which its ends were the reason.
    fn quarantine(&mut self, now: Millis, key: &(Name, Key)) {
        let Some(case) = self.cases.get_mut(key) else {
            return;
        };
        case.quarantine(now, 0);
        let case = case.clone();
        let others = self
            .cases
            .iter_mut()
            .filter(|(k, _)| k.0 == key.0 && *k != key);
        for (_, other) in others {
            if case.has_verdict_for(other) {
                other.lift();
            }
        }
    }

    /// Whether servers ended under a key because of another one.
    fn is_explained(&self, key: &(Name, Key)) -> bool {
        let Some(case) = self.cases.get(key) else {
            return false;
        };
        let mut others = self.cases.iter().filter(|(k, _)| k.0 == key.0 && *k != key);
        others.any(|(_, other)| other.explains(case) || other.has_verdict_for(case))
    }

    /// Records a router's requests that have begun, by their keys.
    pub fn begun(&mut self, now: Millis, router: u64, service: &Name, evidence: &[Evidence]) {
        for Evidence { key, begun } in evidence {
            if let Some(case) = self.cases.get_mut(&(service.clone(), *key)) {
                case.requests_began(now, router, begun);
            }
        }
    }

    /// Decides about a request of a router that has keys which are held.
    pub fn decide(&mut self, now: Millis, router: u64, request: &TrialRequest) -> Answer {
        let mut must_wait = false;
        let mut refused_for_ms = None;
        for key in &request.keys {
            let case = self.cases.get_mut(&(request.service.clone(), *key));
            if let Some(case) = case.filter(|case| case.is_held()) {
                must_wait |= case.must_wait(now);
                refused_for_ms = refused_for_ms.max(case.refused_for_ms(now));
            }
        }
        if let Some(retry_after_ms) = refused_for_ms {
            return Answer::Refuse { retry_after_ms };
        }
        if must_wait {
            return Answer::Wait;
        }
        for key in &request.keys {
            let case = self.cases.get_mut(&(request.service.clone(), *key));
            if let Some(case) = case.filter(|case| case.is_held()) {
                case.begin_trial(now, router, request.number);
            }
        }
        Answer::Send
    }

    /// Records the outcome of a trial under which no server ended: whether the request began.
    pub fn tried(&mut self, now: Millis, router: u64, number: u64, begun: bool) {
        for case in self.cases.values_mut() {
            case.end_trial(now, router, number, begun);
        }
    }

    /// Forgets keys under which no server has ended for long.
    pub fn expire(&mut self, now: Millis) {
        self.cases.retain(|_, case| !case.is_expired(now));
    }

    /// Returns the keys that are held, if they, their ends or their trials have changed since the last
    /// list.
    pub fn take_list(&mut self, now: Millis) -> Option<List> {
        let held = self.held(now);
        if self.sent.number > 0 && super::are_same(&held, &self.sent.held) {
            return None;
        }
        self.sent.number += 1;
        self.sent.held = held;
        Some(self.sent.clone())
    }

    /// Returns the keys that are quarantined.
    pub fn quarantined(&self, now: Millis) -> Vec<Held> {
        let mut held = self.held(now);
        held.retain(|held| held.quarantined);
        held
    }

    fn held(&self, now: Millis) -> Vec<Held> {
        let held = self.cases.iter().filter(|(_, case)| case.is_held());
        held.map(|((service, key), case)| case.relayed(now, service, *key))
            .collect()
    }

    fn limit_keys(&mut self) {
        while self.cases.len() > KEYS_MAX {
            let oldest = self.cases.iter().min_by_key(|(_, case)| case.importance());
            let Some(oldest) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            self.cases.remove(&oldest);
        }
    }
}
