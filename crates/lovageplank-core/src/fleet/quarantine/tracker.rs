//! The leader's record of the servers that ended under each key.

use super::{Answer, BEGUN_TO_CLEAR, EVIDENCE_MS, End, Evidence, Held, Key, List, TrialRequest};
use crate::prelude::*;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Servers that end in a row under a key before it is quarantined.
const QUARANTINE_ENDS: usize = 3;
/// Servers that ended under a key which are kept at most.
const SERVERS_MAX: usize = 16;
/// Milliseconds after an end until reports of all routers have arrived. No verdict is given and no
/// request with the key is tried before.
const SETTLE_MS: Millis = 150;
/// Milliseconds after which a key is forgotten if no server ended under it and it isn't quarantined.
const SUSPICION_MS: Millis = 60_000;
/// Milliseconds after which the outcome of a trial is no longer waited for.
const TRIAL_TIMEOUT_MS: Millis = 3_000;
/// Milliseconds from a verdict to the first trial; each further one takes `PROBE_FACTOR` times as
/// long.
const PROBE_AFTER_MS: Millis = 30_000;
const PROBE_FACTOR: u64 = 4;
/// Trials of a quarantined key. After them a verdict holds until it expires.
const PROBES_MAX: u32 = 3;
/// Milliseconds after which a quarantined key is forgotten.
const VERDICT_MS: Millis = 24 * 3_600_000;
/// Keys that are tracked at most. Beyond it, the key under which a server ended longest ago and that
/// isn't quarantined is forgotten, or the oldest verdict if there is none.
const KEYS_MAX: usize = 1_000;

/// What is known of a key.
#[derive(Clone, Debug, Default)]
struct Case {
    /// Number of keys before it in the requests that have it, at most.
    rank: u32,
    /// The last servers that ended under it, with their incarnations.
    servers: VecDeque<(Name, u64)>,
    /// How many of them ended in a row: without enough requests in between that began.
    in_a_row: usize,
    /// Those of the row that ended in a trial.
    trial_ends: u32,
    last_end_at: Millis,
    /// Time from which requests that begin count against the ends.
    evidence_from: Millis,
    /// Requests that began from then on, by the time, the router and the time by its clock.
    begun: BTreeSet<(Millis, u64, Millis)>,
    /// The trials in progress.
    trials: Vec<Trial>,
    verdict: Option<Verdict>,
    /// Whether a server ended under it since the last verdict.
    is_undecided: bool,
}

/// A trial of a router, and until when its outcome is waited for.
#[derive(Clone, Debug)]
struct Trial {
    router: u64,
    number: u64,
    until: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Verdict {
    /// Trials since the verdict.
    probes: u32,
    /// Time of the next trial.
    probe_at: Millis,
}

impl Case {
    fn adopted(now: Millis, held: &Held) -> Case {
        let verdict = Verdict {
            probes: held.probes,
            probe_at: now + held.probe_in_ms,
        };
        Case {
            rank: held.rank,
            servers: held.servers.iter().cloned().collect(),
            in_a_row: held.servers.len(),
            trial_ends: u32::from(held.quarantined),
            last_end_at: now,
            evidence_from: now,
            verdict: held.quarantined.then_some(verdict),
            ..Case::default()
        }
    }

    fn is_cleared(&self) -> bool {
        self.begun.len() >= BEGUN_TO_CLEAR
    }

    fn is_held(&self) -> bool {
        self.verdict.is_some() || !self.is_cleared()
    }

    /// Whether the ends can only be explained by the key.
    fn is_conclusive(&self) -> bool {
        let ends = self.in_a_row >= QUARANTINE_ENDS && self.trial_ends > 0;
        ends && !self.is_cleared()
    }

    /// The servers that ended in a row, newest first.
    fn row(&self) -> impl Iterator<Item = &(Name, u64)> {
        self.servers.iter().rev().take(self.in_a_row)
    }

    /// Whether servers ended under a key because of this one, which fewer requests have in common:
    /// the newest of that key, and all others of its row but one.
    fn explains(&self, general: &Case) -> bool {
        let newest_is_own = general
            .row()
            .next()
            .is_some_and(|s| self.servers.contains(s));
        let own = general.row().filter(|s| self.servers.contains(s)).count();
        self.rank > general.rank && self.is_held() && newest_is_own && own + 1 >= general.in_a_row
    }

    /// Whether this key is quarantined because of all the ends that speak against another one.
    fn has_verdict_for(&self, other: &Case) -> bool {
        self.verdict.is_some() && other.row().all(|server| self.servers.contains(server))
    }

    /// Records the end of a server, unless it is known.
    fn server_ended(&mut self, now: Millis, server: &(Name, u64)) {
        if self.servers.contains(server) {
            return;
        }
        if self.is_cleared() {
            (self.in_a_row, self.trial_ends) = (0, 0);
        }
        self.servers.push_back(server.clone());
        while self.servers.len() > SERVERS_MAX {
            self.servers.pop_front();
        }
        self.in_a_row = (self.in_a_row + 1).min(SERVERS_MAX);
        let recently = now.saturating_sub(EVIDENCE_MS);
        self.evidence_from = recently.max(self.last_end_at);
        let from = self.evidence_from;
        self.begun.retain(|(at, ..)| *at >= from);
        self.trial_ends += u32::from(!self.trials.is_empty());
        self.trials.clear();
        self.last_end_at = now;
        self.is_undecided = true;
        if let Some(verdict) = self.verdict {
            self.quarantine(now, verdict.probes);
        }
    }

    fn request_began(&mut self, at: Millis, router: u64, router_at: Millis) {
        // More would change nothing.
        if at >= self.evidence_from && self.begun.len() < 2 * BEGUN_TO_CLEAR {
            self.begun.insert((at, router, router_at));
        }
    }

    fn is_settled(&self, now: Millis) -> bool {
        now >= self.last_end_at + SETTLE_MS
    }

    /// Whether another request may be tried only later: as many are being tried as may be at once, or
    /// a verdict is due.
    fn must_wait(&mut self, now: Millis) -> bool {
        self.trials.retain(|trial| now < trial.until);
        self.trials.len() > self.begun.len() || !self.is_settled(now)
    }

    /// Milliseconds until requests are tried again; `None` if they may be tried now.
    fn refused_for_ms(&self, now: Millis) -> Option<u64> {
        let verdict = self.verdict?;
        if verdict.probes >= PROBES_MAX {
            return Some((self.last_end_at + VERDICT_MS).saturating_sub(now));
        }
        verdict.probe_at.checked_sub(now).filter(|ms| *ms > 0)
    }

    fn quarantine(&mut self, now: Millis, probes: u32) {
        self.is_undecided = false;
        self.verdict = Some(Verdict {
            probes,
            probe_at: now + PROBE_AFTER_MS * PROBE_FACTOR.pow(probes),
        });
    }
}

/// Keys under which servers ended, and what a leader allows for requests that have them.
#[derive(Clone, Debug)]
pub struct Tracker {
    cases: BTreeMap<(Name, Key), Case>,
    /// The list that was last sent.
    sent: List,
}

impl Tracker {
    /// Returns the tracker of a leader that takes office now, with what the former one relayed.
    pub fn new(now: Millis, term: u64, held: &[Held]) -> Tracker {
        let sent = List {
            term,
            ..List::default()
        };
        let mut tracker = Tracker {
            cases: BTreeMap::new(),
            sent,
        };
        tracker.adopt(now, held);
        tracker
    }

    /// Adds keys that a former leader held, as far as they are unknown.
    pub fn adopt(&mut self, now: Millis, held: &[Held]) {
        for held in held {
            let case = self.cases.entry((held.service.clone(), held.key));
            case.or_insert_with(|| Case::adopted(now, held));
        }
    }

    /// Records a router's report that a server ended before it began to answer a request.
    pub fn ended(&mut self, now: Millis, router: u64, end: &End) {
        let server = (end.server.clone(), end.incarnation);
        for (rank, Evidence { key, begun }) in (0..).zip(&end.keys) {
            let case = self.cases.entry((end.service.clone(), *key)).or_default();
            case.rank = case.rank.max(rank);
            case.server_ended(now, &server);
            for began in begun {
                case.request_began(now.saturating_sub(began.age_ms), router, began.at);
            }
        }
        self.limit_keys();
    }

    /// Quarantines keys, each with its service, for which that is due; returns them. Of keys that the
    /// same ends speak against, one is quarantined; if it was the wrong one, the next end shows it.
    pub fn judge(&mut self, now: Millis) -> Vec<(Name, Key)> {
        let is_due =
            |case: &Case| case.is_undecided && case.is_conclusive() && case.is_settled(now);
        let due = self.cases.iter().filter(|(_, case)| is_due(case));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, case)| Reverse((case.in_a_row, case.rank)));
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
                other.verdict = None;
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
            let Some(case) = self.cases.get_mut(&(service.clone(), *key)) else {
                continue;
            };
            for began in begun {
                case.request_began(now.saturating_sub(began.age_ms), router, began.at);
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
            let Some(case) = case.filter(|case| case.is_held()) else {
                continue;
            };
            case.trials.push(Trial {
                router,
                number: request.number,
                until: now + TRIAL_TIMEOUT_MS,
            });
            if let Some(verdict) = case.verdict {
                case.quarantine(now, verdict.probes + 1);
            }
        }
        Answer::Send
    }

    /// Records the outcome of a trial under which no server ended: whether the request began.
    pub fn tried(&mut self, now: Millis, router: u64, number: u64, begun: bool) {
        let is_trial = |trial: &Trial| (trial.router, trial.number) == (router, number);
        for case in self.cases.values_mut() {
            let tried = case.trials.iter().any(is_trial);
            case.trials.retain(|trial| !is_trial(trial));
            if tried && begun {
                case.request_began(now, router, number);
                // The next requests are tried a few at a time.
                case.verdict = None;
            }
        }
    }

    /// Forgets keys under which no server has ended for long.
    pub fn expire(&mut self, now: Millis) {
        self.cases.retain(|_, case| {
            let is_quarantined = case.verdict.is_some();
            let kept_ms = if is_quarantined {
                VERDICT_MS
            } else {
                SUSPICION_MS
            };
            now < case.last_end_at + kept_ms
        });
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
        let held = held.map(|((service, key), case)| Held {
            service: service.clone(),
            key: *key,
            quarantined: case.verdict.is_some(),
            rank: case.rank,
            servers: case.row().cloned().collect(),
            probes: case.verdict.map_or(0, |verdict| verdict.probes),
            probe_in_ms: case.refused_for_ms(now).unwrap_or(0),
        });
        held.collect()
    }

    fn limit_keys(&mut self) {
        while self.cases.len() > KEYS_MAX {
            let age = |case: &Case| (case.verdict.is_some(), case.last_end_at);
            let oldest = self.cases.iter().min_by_key(|(_, case)| age(case));
            let Some(oldest) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            self.cases.remove(&oldest);
        }
    }
}
