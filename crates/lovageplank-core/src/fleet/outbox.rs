//! What a control process tells all its routers, gathered so that it goes together and nothing that is overtaken goes
//! at all.
//!
//! Hundreds of routers hear of each server, of each load and of each other. One message for each change and router fills
//! the link of the process's instance, over which a leader keeps its office, too. So messages wait here for a moment:
//! the first one hardly any, others until the bytes of those before have taken no more than a share of the link. The
//! more there is to tell, the more goes in one bundle, which compresses better, and the more is overtaken.

use super::message::Message;
use super::pace::Pace;
use crate::prelude::*;

/// Share of the instance's link that messages to all routers may take.
const LINK_SHARE: f64 = 0.5;
/// Milliseconds of that share that may be sent at once.
const BURST_MS: f64 = 10.0;
/// Milliseconds between two bundles.
const INTERVAL_MS: Millis = 20;

/// What later messages about the same replace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Router(Name),
    Server(Name),
    LoadedModels,
}

/// Messages that wait to be sent to all routers.
#[derive(Debug)]
pub struct Outbox {
    /// In their order; numbered without gaps but for those that were overtaken.
    waiting: BTreeMap<u64, Message>,
    next_number: u64,
    /// Numbers of the waiting messages that a later one may replace.
    newest: BTreeMap<Subject, u64>,
    pace: Pace,
    taken_at: Option<Millis>,
}

impl Outbox {
    /// For a process whose instance has a link of so many bytes a second.
    pub fn new(link_bytes_per_s: f64) -> Outbox {
        Outbox {
            waiting: BTreeMap::new(),
            next_number: 0,
            newest: BTreeMap::new(),
            pace: Pace::new(link_bytes_per_s * LINK_SHARE, BURST_MS),
            taken_at: None,
        }
    }

    /// Adds a message. Those that it overtakes aren't sent any more.
    pub fn push(&mut self, message: Message) {
        let subject = subject(&message);
        let message = match &subject {
            Some(Subject::LoadedModels) => self.with_engines_before(message),
            _ => message,
        };
        if let Message::ServerGone { server, .. } = &message {
            // A later announcement has to come after it.
            self.newest.remove(&Subject::Server(server.clone()));
        }
        let number = self.next_number;
        self.next_number += 1;
        let before = subject.and_then(|subject| self.newest.insert(subject, number));
        if let Some(before) = before {
            self.waiting.remove(&before);
        }
        self.waiting.insert(number, message);
    }

    /// Adds the engines of the waiting report of loaded models that a later one doesn't list, if both are of one term.
    fn with_engines_before(&self, message: Message) -> Message {
        let before = self.newest.get(&Subject::LoadedModels);
        let before = before.and_then(|number| self.waiting.get(number));
        let (
            Some(Message::LoadedModels {
                term: term_before,
                engines: before,
            }),
            Message::LoadedModels { term, engines },
        ) = (before, &message)
        else {
            return message;
        };
        if term_before != term {
            return message;
        }
        let listed: BTreeSet<&Name> = engines.iter().map(|engine| &engine.server).collect();
        let before = before.iter().filter(|e| !listed.contains(&e.server));
        Message::LoadedModels {
            term: *term,
            engines: before.chain(engines).cloned().collect(),
        }
    }

    /// Takes the messages that wait, if there are any, in their order. If they may not be sent yet, returns the
    /// milliseconds until they may. [`Outbox::sent`] is told how long they were.
    pub fn take(&mut self, now: Millis) -> Result<Vec<Message>, Millis> {
        if self.waiting.is_empty() {
            return Ok(Vec::new());
        }
        let earliest = self.taken_at.map_or(0, |at| at + INTERVAL_MS);
        let wait_ms = self.pace.wait_ms(now).max(earliest.saturating_sub(now));
        if wait_ms > 0 {
            return Err(wait_ms);
        }
        self.newest.clear();
        self.taken_at = Some(now);
        Ok(std::mem::take(&mut self.waiting).into_values().collect())
    }

    /// Records that so many bytes were sent, to all routers together.
    pub fn sent(&mut self, now: Millis, bytes: usize) {
        // `take` has looked whether the pace allows it.
        let _ = self.pace.take(now, bytes);
    }
}

/// What a message says the newest of; `None` if others don't replace it.
fn subject(message: &Message) -> Option<Subject> {
    match message {
        Message::Router(router) => Some(Subject::Router(router.instance.clone())),
        Message::RouterDisconnected(instance) => Some(Subject::Router(instance.clone())),
        Message::ServerAnnounced(server) => Some(Subject::Server(server.id.clone())),
        Message::LoadedModels { .. } => Some(Subject::LoadedModels),
        _ => None,
    }
}
