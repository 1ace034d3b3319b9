//! A router's view of the keys that are held, and of its own requests.

use super::{
    Answer, BEGUN_AFTER_MS, BEGUN_TO_CLEAR, Begun, Change, EVIDENCE_MS, End, Evidence, Fit, Held,
    Key, List, TrialRequest,
};
use crate::fleet::message::Message;
use crate::prelude::*;
use std::collections::VecDeque;

/// Milliseconds without the leader's response after which a trial is asked for again.
const ASK_TIMEOUT_MS: Millis = 500;
/// Milliseconds until a trial is asked for again while another one is in progress.
const ASK_INTERVAL_MS: Millis = 40;

/// Attempts that have ended and began lately which are kept at most.
const ENDED_MAX: usize = 4_096;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// None of its keys is held.
    Free,
    /// It may be sent as the trial that it asked for.
    Trial,
    /// The leader hasn't responded, or another request is being tried.
    Wait,
    /// One of its keys is quarantined.
    Refuse {
        /// Milliseconds until requests with the key are tried again.
        retry_after_ms: u64,
    },
}

/// What is done with requests that have a key.
#[derive(Clone, Copy, Debug)]
enum Hold {
    /// They are sent one at a time over all routers.
    Suspected,
    /// They are refused until this time, then one is tried.
    Quarantined(Millis),
}

impl Hold {
    fn new(now: Millis, held: &Held) -> Hold {
        if held.quarantined {
            Hold::Quarantined(now + held.probe_in_ms)
        } else {
            Hold::Suspected
        }
    }

    /// Milliseconds for which requests are refused; `None` if the leader may allow one now.
    fn refused_for_ms(self, now: Millis) -> Option<u64> {
        match self {
            Hold::Suspected => None,
            Hold::Quarantined(until) => until.checked_sub(now).filter(|ms| *ms > 0),
        }
    }
}

/// An attempt.
#[derive(Clone, Debug)]
struct Attempt {
    service: Name,
    keys: Arc<[Key]>,
    first_event_at: Option<Millis>,
    /// Whether the leader needn't be told when it begins: it was told, or hears of it as the outcome of a trial.
    is_told: bool,
}

/// A request for a trial that is open.
#[derive(Clone, Debug)]
struct Ask {
    asked_at: Millis,
    answer: Option<(Millis, Answer)>,
}

impl Ask {
    fn ask_again_at(&self) -> Millis {
        match self.answer {
            Some((at, _)) => at + ASK_INTERVAL_MS,
            None => self.asked_at + ASK_TIMEOUT_MS,
        }
    }
}

/// The keys that are held as one router knows them, its attempts and its trials.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// Keys that are held.
    held: BTreeMap<(Name, Key), Hold>,
    /// Term and number of the newest list.
    list: (u64, u64),
    /// Attempts in progress.
    attempts: BTreeMap<u64, Attempt>,
    /// Attempts that have begun and ended, in the order of their ends.
    ended: VecDeque<Attempt>,
    asks: BTreeMap<u64, Ask>,
    last_number: u64,
    messages: Vec<Message>,
}

impl Gate {
    /// Replaces the keys that are held by those that the leader relays, unless the list is outdated.
    /// The leader is told of requests that have begun with keys that weren't held before; a new one, which doesn't know
    /// what the former one was told, with all of them.
    pub fn update(&mut self, now: Millis, list: &List) {
        if (list.term, list.number) <= self.list {
            return;
        }
        if list.term != self.list.0 {
            self.held.clear();
        }
        self.list = (list.term, list.number);
        let listed = list.held.iter().map(|held| (&held.service, held.key));
        let listed: BTreeSet<(&Name, Key)> = listed.collect();
        self.held
            .retain(|(service, key), _| listed.contains(&(service, *key)));
        self.hold_all(now, &list.held);
    }

    /// Applies a change of the keys that are held, if it fits, and tells the leader as [`Gate::update`] does.
    pub fn change(&mut self, now: Millis, change: &Change) -> Fit {
        let fit = change.fit(self.list.0, self.list.1);
        if fit == Fit::Next {
            self.list.1 = change.number;
            for key in &change.gone {
                self.held.remove(key);
            }
            self.hold_all(now, &change.held);
        }
        fit
    }

    /// Holds keys, and reports what has begun with those that weren't held before.
    fn hold_all(&mut self, now: Millis, held: &[Held]) {
        let mut added = Vec::new();
        for held in held {
            let key = (held.service.clone(), held.key);
            let before = self.held.insert(key.clone(), Hold::new(now, held));
            if before.is_none() {
                added.push(key);
            }
        }
        let messages = self.report_begun(now, added.iter());
        self.messages.extend(messages);
    }

    /// Reports of requests that have begun with these keys, one for each service that has any.
    fn report_begun<'a>(
        &self,
        now: Millis,
        keys: impl Iterator<Item = &'a (Name, Key)>,
    ) -> Vec<Message> {
        let mut by_service: BTreeMap<&Name, Vec<Evidence>> = BTreeMap::new();
        for (service, key) in keys {
            let evidence = self.evidence(now, service, *key);
            if !evidence.begun.is_empty() {
                by_service.entry(service).or_default().push(evidence);
            }
        }
        let message = |(service, evidence): (&Name, Vec<Evidence>)| Message::RequestsBegun {
            service: service.clone(),
            evidence,
        };
        by_service.into_iter().map(message).collect()
    }

    /// Whether no key is held.
    pub fn is_open(&self) -> bool {
        self.held.is_empty()
    }

    /// Milliseconds until requests with these keys are tried again, if one of the keys is
    /// quarantined.
    pub fn refused_for_ms(&self, now: Millis, service: &Name, keys: &[Key]) -> Option<u64> {
        let holds = keys.iter().filter_map(|key| self.hold(service, *key));
        holds.filter_map(|hold| hold.refused_for_ms(now)).max()
    }

    /// Whether a request may be sent now. A request one of whose attempts ended a server
    /// (`ended_server`) always needs the leader's consent, since the leader may know of other ends.
    /// `ask` is the number of the request's open question to the leader, if it has one.
    pub fn check(
        &mut self,
        now: Millis,
        service: &Name,
        keys: &[Key],
        ended_server: bool,
        ask: &mut Option<u64>,
    ) -> Check {
        let open = ask.and_then(|number| self.asks.get(&number)).cloned();
        // The list that refuses others may already count this trial.
        if let Some((_, Answer::Send)) = open.as_ref().and_then(|ask| ask.answer) {
            return Check::Trial;
        }
        if let Some(retry_after_ms) = self.refused_for_ms(now, service, keys) {
            return Check::Refuse { retry_after_ms };
        }
        let is_held = keys.iter().any(|key| self.hold(service, *key).is_some());
        if !is_held && !ended_server || keys.is_empty() {
            return Check::Free;
        }
        match open {
            Some(Ask {
                answer: Some((_, Answer::Refuse { retry_after_ms })),
                ..
            }) => Check::Refuse { retry_after_ms },
            Some(open) if now < open.ask_again_at() => Check::Wait,
            _ => self.ask(now, service, keys, ask),
        }
    }

    fn ask(&mut self, now: Millis, service: &Name, keys: &[Key], ask: &mut Option<u64>) -> Check {
        if let Some(number) = ask.take() {
            self.finish_trial(number, false);
        }
        self.last_number += 1;
        let number = self.last_number;
        let open = Ask {
            asked_at: now,
            answer: None,
        };
        self.asks.insert(number, open);
        *ask = Some(number);
        self.messages.push(Message::TrialRequest(TrialRequest {
            number,
            service: service.clone(),
            keys: keys.to_vec(),
        }));
        Check::Wait
    }

    /// Records the leader's response to a request for a trial.
    pub fn answered(&mut self, now: Millis, number: u64, answer: Answer) {
        match self.asks.get_mut(&number) {
            Some(ask) => ask.answer = Some((now, answer)),
            // Nobody waits for the response any more.
            None if answer == Answer::Send => self.report_trial(number, false),
            None => {}
        }
    }

    /// Ends a trial, or the question for one: whether the request began to be answered.
    pub fn finish_trial(&mut self, number: u64, begun: bool) {
        let ask = self.asks.remove(&number);
        if ask.is_some_and(|ask| matches!(ask.answer, Some((_, Answer::Send)))) {
            self.report_trial(number, begun);
        }
    }

    fn report_trial(&mut self, number: u64, begun: bool) {
        self.messages.push(Message::TrialOutcome { number, begun });
    }

    /// Records an attempt, and whether it is a trial; returns its number.
    pub fn attempt_began(&mut self, service: &Name, keys: &Arc<[Key]>, is_trial: bool) -> u64 {
        self.last_number += 1;
        let attempt = Attempt {
            service: service.clone(),
            keys: keys.clone(),
            first_event_at: None,
            is_told: is_trial,
        };
        self.attempts.insert(self.last_number, attempt);
        self.last_number
    }

    /// Records an event of an attempt's response: at least the first one, and one after the request has begun.
    pub fn event_arrived(&mut self, now: Millis, number: u64) {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.first_event_at.get_or_insert(now);
            if has_begun(now, attempt) {
                self.messages.extend(tell_begun(now, attempt, &self.held));
            }
        }
    }

    /// Records that an attempt has ended. If its response was complete, the request has begun however
    /// short the response was.
    pub fn attempt_ended(&mut self, now: Millis, number: u64, is_complete: bool) {
        while self.ended.front().is_some_and(|a| is_old(now, a)) || self.ended.len() >= ENDED_MAX {
            self.ended.pop_front();
        }
        let Some(mut attempt) = self.attempts.remove(&number) else {
            return;
        };
        if is_complete {
            attempt.first_event_at.get_or_insert(now);
        }
        if is_complete || has_begun(now, &attempt) {
            self.messages
                .extend(tell_begun(now, &mut attempt, &self.held));
            self.ended.push_back(attempt);
        }
    }

    /// Reports to the leader that a server ended before it began to answer a request.
    pub fn server_ended(
        &mut self,
        now: Millis,
        server: Name,
        incarnation: u64,
        service: &Name,
        keys: &[Key],
    ) {
        let evidence = |key: &Key| self.evidence(now, service, *key);
        let keys = keys.iter().map(evidence).collect();
        self.messages.push(Message::ServerEnded(End {
            server,
            incarnation,
            service: service.clone(),
            keys,
        }));
    }

    /// Whether [`take_messages`](Gate::take_messages) has any.
    pub fn has_messages(&self) -> bool {
        !self.messages.is_empty()
    }

    /// Returns the reports and requests that are to be sent to the leader.
    pub fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.messages)
    }

    fn hold(&self, service: &Name, key: Key) -> Option<Hold> {
        self.held.get(&(service.clone(), key)).copied()
    }

    /// The newest requests with a key that have begun.
    fn evidence(&self, now: Millis, service: &Name, key: Key) -> Evidence {
        let running = self.attempts.values().filter(|a| has_begun(now, a));
        let begun = running
            .chain(&self.ended)
            .filter(|a| !is_old(now, a) && a.service == *service && a.keys.contains(&key));
        let mut begun: Vec<Millis> = begun.filter_map(|a| a.first_event_at).collect();
        begun.sort_unstable_by(|a, b| b.cmp(a));
        begun.truncate(BEGUN_TO_CLEAR);
        let begun = begun.into_iter().map(|at| Begun {
            at,
            age_ms: now - at,
        });
        Evidence {
            key,
            begun: begun.collect(),
        }
    }
}

/// What tells the leader that a request has begun which was sent before some of its keys were held; `None` if it needn't
/// be told. Without it such keys would be cleared by trials alone.
fn tell_begun(
    now: Millis,
    attempt: &mut Attempt,
    held: &BTreeMap<(Name, Key), Hold>,
) -> Option<Message> {
    if attempt.is_told || held.is_empty() {
        return None;
    }
    attempt.is_told = true;
    let at = attempt.first_event_at?;
    let age_ms = now - at;
    let service = &attempt.service;
    let is_suspected =
        |key: &&Key| matches!(held.get(&(service.clone(), **key)), Some(Hold::Suspected));
    let evidence = |key: &Key| Evidence {
        key: *key,
        begun: vec![Begun { at, age_ms }],
    };
    let keys = attempt.keys.iter().filter(is_suspected);
    let evidence: Vec<Evidence> = keys.map(evidence).collect();
    (!evidence.is_empty()).then(|| Message::RequestsBegun {
        service: service.clone(),
        evidence,
    })
}

/// Whether an attempt in progress has shown that its server doesn't end when it begins to answer.
fn has_begun(now: Millis, attempt: &Attempt) -> bool {
    let at = attempt.first_event_at;
    at.is_some_and(|at| now >= at + BEGUN_AFTER_MS)
}

/// Whether an attempt began too long ago to show anything.
fn is_old(now: Millis, attempt: &Attempt) -> bool {
    let at = attempt.first_event_at;
    at.is_none_or(|at| at + EVIDENCE_MS < now)
}
