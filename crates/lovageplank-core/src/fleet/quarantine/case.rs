//! What a leader knows of one key.

use super::{BEGUN_TO_CLEAR, Begun, EVIDENCE_MS, Held, Key};
use crate::prelude::*;
use std::collections::VecDeque;

/// Servers that end in a row under a key before it is quarantined.
const QUARANTINE_ENDS: usize = 3;
/// Servers that ended under a key which are kept at most.
const SERVERS_MAX: usize = 16;
/// Milliseconds after an end until reports of all routers have arrived. No verdict is given and no
/// request with the key is tried before.
const SETTLE_MS: Millis = 150;
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

/// Milliseconds after which a key is forgotten if no server ended under it and it isn't quarantined.
const SUSPICION_MS: Millis = 60_000;

/// What is known of a key.
#[derive(Clone, Debug, Default)]
pub(super) struct Case {
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
    /// Times of requests that began from then on, by the router and the time by its clock: it may tell of one more
    /// than once.
    begun: BTreeMap<(u64, Millis), Millis>,
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
    /// A key that a former leader held, under which no server has ended since `ends_before`.
    pub(super) fn adopted(now: Millis, held: &Held, ends_before: Millis) -> Case {
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
            evidence_from: ends_before.max(now.saturating_sub(EVIDENCE_MS)),
            verdict: held.quarantined.then_some(verdict),
            ..Case::default()
        }
    }

    fn is_cleared(&self) -> bool {
        self.begun.len() >= BEGUN_TO_CLEAR
    }

    pub(super) fn is_held(&self) -> bool {
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
    pub(super) fn explains(&self, general: &Case) -> bool {
        let newest_is_own = general
            .row()
            .next()
            .is_some_and(|s| self.servers.contains(s));
        let own = general.row().filter(|s| self.servers.contains(s)).count();
        self.rank > general.rank && self.is_held() && newest_is_own && own + 1 >= general.in_a_row
    }

    /// Whether this key is quarantined because of all the ends that speak against another one.
    pub(super) fn has_verdict_for(&self, other: &Case) -> bool {
        self.verdict.is_some() && other.row().all(|server| self.servers.contains(server))
    }

    /// Records the end of a server, unless it is known.
    pub(super) fn server_ended(&mut self, now: Millis, server: &(Name, u64)) {
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
        self.begun.retain(|_, at| *at >= from);
        self.trial_ends += u32::from(!self.trials.is_empty());
        self.trials.clear();
        self.last_end_at = now;
        self.is_undecided = true;
        if let Some(verdict) = self.verdict {
            self.quarantine(now, verdict.probes);
        }
    }

    /// Records a router's requests that have begun.
    pub(super) fn requests_began(&mut self, now: Millis, router: u64, begun: &[Begun]) {
        for began in begun {
            self.request_began(now.saturating_sub(began.age_ms), router, began.at);
        }
    }

    fn request_began(&mut self, at: Millis, router: u64, router_at: Millis) {
        // More would change nothing.
        if at >= self.evidence_from && self.begun.len() < 2 * BEGUN_TO_CLEAR {
            self.begun.entry((router, router_at)).or_insert(at);
        }
    }

    /// Whether the key is to be quarantined, unless another one explains the ends.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        self.is_undecided && self.is_conclusive() && self.is_settled(now)
    }

    /// Order in which keys are judged: the one with the most ends first, and of those the rarest.
    pub(super) fn weight(&self) -> (usize, u32) {
        (self.in_a_row, self.rank)
    }

    /// Order in which keys are forgotten if there are too many.
    pub(super) fn importance(&self) -> (bool, Millis) {
        (self.verdict.is_some(), self.last_end_at)
    }

    /// Whether no server has ended under the key for so long that it is forgotten.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        let kept_ms = match self.verdict {
            Some(_) => VERDICT_MS,
            None => SUSPICION_MS,
        };
        now >= self.last_end_at + kept_ms
    }

    /// Records the number of keys before this one in a request.
    pub(super) fn seen_after(&mut self, keys: u32) {
        self.rank = self.rank.max(keys);
    }

    /// Begins a trial, which delays the next one of a quarantined key.
    pub(super) fn begin_trial(&mut self, now: Millis, router: u64, number: u64) {
        self.trials.push(Trial {
            router,
            number,
            until: now + TRIAL_TIMEOUT_MS,
        });
        if let Some(verdict) = self.verdict {
            self.quarantine(now, verdict.probes + 1);
        }
    }

    /// Ends a trial, if it is one of this key, under which no server ended.
    pub(super) fn end_trial(&mut self, now: Millis, router: u64, number: u64, begun: bool) {
        let is_it = |trial: &Trial| (trial.router, trial.number) == (router, number);
        let tried = self.trials.iter().any(is_it);
        self.trials.retain(|trial| !is_it(trial));
        if tried && begun {
            self.request_began(now, router, number);
            // The next requests are tried a few at a time.
            self.lift();
        }
    }

    /// Ends the quarantine of the key; it stays suspected.
    pub(super) fn lift(&mut self) {
        self.verdict = None;
    }

    pub(super) fn is_quarantined(&self) -> bool {
        self.verdict.is_some()
    }

    /// What routers and control processes are told.
    pub(super) fn relayed(&self, now: Millis, service: &Name, key: Key) -> Held {
        Held {
            service: service.clone(),
            key,
            quarantined: self.is_quarantined(),
            rank: self.rank,
            servers: self.row().cloned().collect(),
            probes: self.verdict.map_or(0, |verdict| verdict.probes),
            probe_in_ms: self.refused_for_ms(now).unwrap_or(0),
        }
    }

    fn is_settled(&self, now: Millis) -> bool {
        now >= self.last_end_at + SETTLE_MS
    }

    /// Whether another request may be tried only later: as many are being tried as may be at once, or
    /// a verdict is due.
    pub(super) fn must_wait(&mut self, now: Millis) -> bool {
        self.trials.retain(|trial| now < trial.until);
        self.trials.len() > self.begun.len() || !self.is_settled(now)
    }

    /// Milliseconds until requests are tried again; `None` if they may be tried now.
    pub(super) fn refused_for_ms(&self, now: Millis) -> Option<u64> {
        let verdict = self.verdict?;
        if verdict.probes >= PROBES_MAX {
            return Some((self.last_end_at + VERDICT_MS).saturating_sub(now));
        }
        verdict.probe_at.checked_sub(now).filter(|ms| *ms > 0)
    }

    pub(super) fn quarantine(&mut self, now: Millis, probes: u32) {
        self.is_undecided = false;
        self.verdict = Some(Verdict {
            probes,
            probe_at: now + PROBE_AFTER_MS * PROBE_FACTOR.pow(probes),
        });
    }
}
