//! Requests under which servers end: reports of routers, trials, and what is held.

use super::content::Content;
use super::packed::Packed;
use super::state::State;
use lovageplank_core::consensus::Term;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::quarantine::{
    Answer, Change, End, Evidence, Fit, Held, List, PROTOCOL, Sent, Tracker, TrialRequest, Update,
    are_same,
};
use lovageplank_core::fleet::registry::Stage;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::link::Link;
use lovageplank_wire::Frame;
use std::cell::OnceCell;

/// Milliseconds between two times at which held keys are sent. Many servers that end at once change them with each
/// report.
pub(super) const SEND_INTERVAL_MS: u64 = 50;
/// Milliseconds until a proposal of verdicts that wasn't applied is made again.
const PROPOSE_INTERVAL_MS: Millis = 1_000;

/// What a control process knows of requests under which servers end.
#[derive(Default)]
pub(super) struct Quarantine {
    /// Set while this process is the leader.
    tracker: Option<Tracker>,
    /// Keys that are held, as a leader last sent them.
    list: List,
    /// When the list last had keys that were new or held in another way: the ends in it were before.
    held_at: Millis,
    /// The same as routers get it when their links come up, once one has.
    whole: Option<Packed>,
    /// What a leader has sent to routers, and to control processes.
    sent: [Sent; 2],
    /// The replicated part of them: the keys that are quarantined.
    verdicts: Vec<Held>,
    /// Whether `verdicts` is as current as this leader's log, so that it may be replaced.
    is_current: bool,
    /// When this process last proposed verdicts.
    proposed_at: Millis,
}

impl Quarantine {
    /// Begins to lead, from what the former leader relayed.
    pub(super) fn lead(&mut self, now: Millis, term: Term) {
        let tracker = Tracker::new(now, term.0, &self.list.held, self.held_at);
        self.tracker = Some(tracker);
        self.is_current = false;
        self.sent = <[Sent; 2]>::default();
    }

    /// Ceases to lead.
    pub(super) fn resign(&mut self) {
        self.tracker = None;
        self.is_current = false;
    }

    /// The tracker, if this process is the leader and knows the verdicts of former ones.
    fn current_tracker(&mut self) -> Option<&mut Tracker> {
        self.tracker.as_mut().filter(|_| self.is_current)
    }

    pub(super) fn verdicts(&self) -> &[Held] {
        &self.verdicts
    }

    /// Replaces the replicated verdicts. They are what is held as long as no leader has said more.
    pub(super) fn set_verdicts(&mut self, verdicts: Vec<Held>) {
        if self.list.term == 0 {
            self.set_list(List {
                term: 0,
                number: 1,
                held: verdicts.clone(),
            });
        }
        self.verdicts = verdicts;
    }

    /// Records that a log entry of the current term is applied. With the first one, a leader knows all
    /// verdicts of former ones. Returns whether it is the first one.
    pub(super) fn log_applied(&mut self) -> bool {
        let Some(tracker) = self.tracker.as_mut().filter(|_| !self.is_current) else {
            return false;
        };
        tracker.adopt(clock::boottime_ms(), &self.verdicts);
        self.is_current = true;
        true
    }

    /// Returns the verdicts of this leader if others are replicated, to be proposed. They are returned
    /// again until they are applied.
    pub(super) fn proposal(&mut self, now: Millis) -> Option<Content> {
        let verdicts = self.current_tracker()?.quarantined(now);
        let is_too_soon = now < self.proposed_at + PROPOSE_INTERVAL_MS;
        if are_same(&verdicts, &self.verdicts) || is_too_soon {
            return None;
        }
        self.proposed_at = now;
        Some(Content {
            verdicts: Some(verdicts),
            ..Content::default()
        })
    }

    /// Stores the held keys that a leader has sent, unless they are outdated.
    pub(super) fn store(&mut self, list: List) {
        if self.tracker.is_none() && list.is_newer_than(&self.list) {
            self.set_list(list);
        }
    }

    /// Stores a change of the held keys that a leader has sent. Returns whether lists before it are missing.
    fn store_change(&mut self, change: &Change) -> bool {
        if self.tracker.is_some() {
            return false;
        }
        self.whole = None;
        if !change.held.is_empty() {
            self.held_at = clock::boottime_ms();
        }
        self.list.apply(change) == Fit::Gap
    }

    fn set_list(&mut self, list: List) {
        if self.list.has_new_in(&list) {
            self.held_at = clock::boottime_ms();
        }
        self.list = list;
        self.whole = None;
    }

    /// Sends the held keys to a router, if there were any.
    pub(super) fn send_to_router(&mut self, link: &Link) {
        if self.list.number > 0 {
            let list = &self.list;
            let whole = || Packed::new(vec![Message::HeldKeys(list.for_routers())]);
            self.whole.get_or_insert_with(whole).send_on(link);
        }
    }

    /// The held keys for another control process, if there were any.
    pub(super) fn for_control(&self) -> Option<Packed> {
        (self.list.number > 0).then(|| Packed::new(vec![Message::HeldKeys(self.list.clone())]))
    }

    /// Forgets keys that no longer count, and quarantines those for which that is due.
    fn judge(&mut self, now: Millis) {
        if let Some(tracker) = self.current_tracker() {
            tracker.expire(now);
            for (service, key) in tracker.judge(now) {
                tracing::warn!(event = "quarantined", %service, %key);
            }
        }
    }
}

impl State {
    /// Records a router's report that a server ended, if this process is the leader. The end of a
    /// server that had announced its departure has nothing to do with its requests, nor has that of a brittle
    /// one that had to reject too many.
    pub(super) fn server_ended(&mut self, link: u64, end: &End) {
        let server = self.registry.get(&end.server).map(|s| &s.announcement);
        let is_planned =
            server.is_some_and(|s| s.incarnation == end.incarnation && s.stage != Stage::Ready);
        let places = self.places.as_mut();
        let is_fall = places.is_some_and(|p| p.is_fall(&end.server, end.incarnation));
        let instance = self.routers.name(link);
        let Some(tracker) = self.quarantine.tracker.as_mut() else {
            return;
        };
        let key = |e: &Evidence| format!("{} begun {}", e.key, e.begun.len());
        let keys: Vec<String> = end.keys.iter().map(key).collect();
        tracing::info!(event = "server_ended", server = %end.server, service = %end.service, ?instance, is_planned, is_fall,
            keys = keys.join(", "));
        if is_planned || is_fall {
            return;
        }
        tracker.ended(clock::boottime_ms(), link, end);
    }

    /// Records a router's requests that have begun.
    pub(super) fn requests_begun(&mut self, link: u64, service: &Name, evidence: &[Evidence]) {
        if let Some(tracker) = &mut self.quarantine.tracker {
            tracker.begun(clock::boottime_ms(), link, service, evidence);
        }
    }

    /// Decides about a request that has keys which are held, if this process is the leader.
    pub(super) fn decide_trial(&mut self, link: u64, request: &TrialRequest) {
        if self.quarantine.tracker.is_none() {
            return;
        }
        let now = clock::boottime_ms();
        self.quarantine.judge(now);
        let tracker = self.quarantine.current_tracker();
        // A leader that doesn't know the verdicts of former ones allows nothing.
        let answer = tracker.map_or(Answer::Wait, |t| t.decide(now, link, request));
        let instance = self.routers.name(link);
        tracing::info!(event = "trial", number = request.number, ?instance, service = %request.service, ?answer);
        let number = request.number;
        self.routers
            .send(link, Message::TrialAnswer { number, answer });
    }

    /// Records the outcome of a trial.
    pub(super) fn trial_ended(&mut self, link: u64, number: u64, begun: bool) {
        if let Some(tracker) = &mut self.quarantine.tracker {
            let instance = self.routers.name(link);
            tracing::info!(event = "trial_ended", number, ?instance, begun);
            tracker.tried(clock::boottime_ms(), link, number, begun);
        }
    }

    /// Stores a change of the held keys that a leader has sent on a link; asks it for all of them if changes before
    /// this one are missing.
    pub(super) fn held_keys_changed(&mut self, link: u64, change: &Change) {
        if self.quarantine.store_change(change)
            && let Some(link) = self.control_links.get(&link)
        {
            link.send(Frame::Fleet(Box::new(Message::HeldKeysWanted)));
        }
    }

    /// Sends the held keys on the link of a router or control process that lacks changes.
    pub(super) fn held_keys_wanted(&mut self, link: u64) {
        if let Some(link) = self.routers.link(link) {
            self.quarantine.send_to_router(link);
        } else if let Some(link) = self.control_links.get(&link)
            && let Some(list) = self.quarantine.for_control()
        {
            list.send_on(link);
        }
    }

    /// Quarantines keys for which that is due, and sends routers and control processes what has changed in the held
    /// keys. Does nothing unless this process is the leader and knows the verdicts of former ones.
    pub(super) fn send_held_keys(&mut self) {
        let now = clock::boottime_ms();
        self.quarantine.judge(now);
        let Some(tracker) = self.quarantine.current_tracker() else {
            return;
        };
        let Some(list) = tracker.take_list(now) else {
            return;
        };
        let quarantined = list.held.iter().filter(|held| held.quarantined).count();
        record_gauges(list.held.len() - quarantined, quarantined);
        self.quarantine.set_list(list.clone());
        let [to_routers, to_control] = &mut self.quarantine.sent;
        let for_routers = list.for_routers();
        if let Some(update) = to_routers.update(&for_routers) {
            let is_change = matches!(update, Update::Change(_));
            self.routers.broadcast(message(update));
            let whole = || Message::HeldKeys(for_routers);
            self.routers
                .send_lazily(whole, |link| is_change && !link.knows(PROTOCOL));
        }
        if let Some(update) = to_control.update(&list) {
            let update = Packed::new(vec![message(update)]);
            let whole = OnceCell::new();
            self.each_control_process(|link| {
                let packed = if link.knows(PROTOCOL) {
                    &update
                } else {
                    whole.get_or_init(|| Packed::new(vec![Message::HeldKeys(list.clone())]))
                };
                packed.send_on(link);
            });
        }
    }
}

fn message(update: Update) -> Message {
    match update {
        Update::Whole(list) => Message::HeldKeys(list),
        Update::Change(change) => Message::HeldKeysChanged(change),
    }
}

#[allow(clippy::cast_precision_loss)] // At most a few thousand.
fn record_gauges(suspected: usize, quarantined: usize) {
    for (hold, count) in [("suspected", suspected), ("quarantined", quarantined)] {
        metrics::gauge!("lovageplank_control_held_keys", "hold" => hold).set(count as f64);
    }
}
