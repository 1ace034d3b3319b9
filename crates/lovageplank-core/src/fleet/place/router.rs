//! A router's questions for places, and what it has received.

use super::{Answer, Number, Request, Server, Usage};
use crate::fleet::message::Message;
use crate::prelude::*;
use std::collections::VecDeque;

/// Milliseconds for which a request counts whose end at the server isn't known, such as one whose caller left.
const ABANDONED_MS: Millis = 500;

/// Milliseconds after which a router that still has no leader takes anew what it has at each server.
const KEPT_MS: Millis = 60_000;

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum End {
    /// It isn't known: the server may still run it.
    #[default]
    Abandoned,
    /// The whole response arrived.
    Answered,
    /// The server rejected it.
    Rejected,
    /// It didn't reach the server.
    NotSent,
    /// The connection broke; the server may have ended.
    Broken,
}

/// What became of requests at a server since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    rejected: u32,
    answered: u32,
    broken: u32,
}

/// Places of one router.
#[derive(Clone, Debug, Default)]
pub struct Places {
    last_question: u64,
    /// The last place that was received.
    seen: Number,
    /// Places that aren't used yet.
    unused: BTreeMap<Name, u32>,
    /// Requests whose end at the server isn't known, with the time until which they count.
    abandoned: VecDeque<(Millis, Name)>,
    ends: BTreeMap<Name, Ends>,
    /// Servers that are to be reported.
    unreported: BTreeSet<Name>,
    questions: Vec<Request>,
    /// While no leader gives places: requests that this router may have at each server, and since when.
    kept: Option<(Millis, BTreeMap<Name, u32>)>,
}

impl Places {
    /// Asks the leader for a place; returns the number of the question.
    pub fn ask(&mut self, service: &Name, servers: Vec<Server>, wait_ms: u64) -> u64 {
        self.last_question += 1;
        self.questions.push(Request {
            number: self.last_question,
            service: service.clone(),
            servers,
            wait_ms,
        });
        self.last_question
    }

    /// Records the leader's answer.
    pub fn answered(&mut self, answer: &Answer) {
        match answer {
            Answer::Given { server, place } => {
                self.seen = self.seen.max(*place);
                *self.unused.entry(server.clone()).or_default() += 1;
                self.kept = None;
            }
            Answer::Refused { .. } => self.kept = None,
            Answer::NotYet => {}
        }
    }

    /// Records that a place is used: its request counts as running from now on.
    pub fn used(&mut self, server: &Name) {
        if let Some(count) = self.unused.get_mut(server) {
            *count = count.saturating_sub(1);
        }
        self.unused.retain(|_, count| *count > 0);
    }

    /// Gives back a place that isn't used.
    pub fn give_back(&mut self, server: &Name) {
        self.used(server);
        self.unreported.insert(server.clone());
    }

    /// Whether this router may send a server a request while no leader gives places. `running` is what it has at
    /// each server. A place is held for the request then.
    pub fn keep(&mut self, now: Millis, server: &Name, running: &BTreeMap<Name, u32>) -> bool {
        let here = running.get(server).copied().unwrap_or_default();
        let unused = self.unused.get(server).copied().unwrap_or_default();
        self.kept.take_if(|(since, _)| *since + KEPT_MS < now);
        let (_, kept) = self.kept.get_or_insert_with(|| (now, running.clone()));
        let may = kept.get(server).is_some_and(|kept| here + unused < *kept);
        if may {
            *self.unused.entry(server.clone()).or_default() += 1;
        }
        may
    }

    /// Records that a request at a brittle server has ended.
    pub fn ended(&mut self, now: Millis, server: &Name, end: End) {
        let ends = self.ends.entry(server.clone()).or_default();
        match end {
            End::Answered => ends.answered += 1,
            End::Rejected => {
                ends.rejected += 1;
                let kept = self
                    .kept
                    .as_mut()
                    .and_then(|(_, kept)| kept.get_mut(server));
                if let Some(kept) = kept {
                    *kept = kept.saturating_sub(1);
                }
            }
            End::Broken => ends.broken += 1,
            End::Abandoned | End::NotSent => {}
        }
        if matches!(end, End::Abandoned | End::Broken) {
            self.abandoned
                .push_back((now + ABANDONED_MS, server.clone()));
        }
        self.unreported.insert(server.clone());
    }

    /// Has these servers reported, and those at which abandoned requests count no longer.
    pub fn refresh(&mut self, now: Millis, servers: impl IntoIterator<Item = Name>) {
        while self
            .abandoned
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            let over = self.abandoned.pop_front();
            self.unreported.extend(over.map(|(_, server)| server));
        }
        self.unreported.extend(servers);
    }

    /// Whether there is anything to be sent to the leader.
    pub fn has_messages(&self) -> bool {
        !self.unreported.is_empty() || !self.questions.is_empty()
    }

    /// Returns the reports and questions for the leader. `describe` returns a server that is known and brittle,
    /// its service, and this router's requests at it.
    pub fn take_messages(
        &mut self,
        describe: impl Fn(&Name) -> Option<(Server, Name, u32)>,
    ) -> Vec<Message> {
        let mut messages = Vec::new();
        for id in std::mem::take(&mut self.unreported) {
            let ends = self.ends.remove(&id).unwrap_or_default();
            let Some((server, service, running)) = describe(&id) else {
                continue;
            };
            let unused = self.unused.get(&id).copied().unwrap_or_default();
            let abandoned = self.abandoned.iter().filter(|(_, at)| *at == id).count();
            messages.push(Message::PlaceUsage(Usage {
                server,
                service,
                requests: running + unused + u32::try_from(abandoned).unwrap_or(u32::MAX),
                seen: self.seen,
                rejected: ends.rejected,
                answered: ends.answered,
                broken: ends.broken,
            }));
        }
        let questions = std::mem::take(&mut self.questions);
        messages.extend(questions.into_iter().map(Message::PlaceRequest));
        messages
    }
}
