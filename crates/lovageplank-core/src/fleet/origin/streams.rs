//! What one router knows of the origins of streams.

use super::{Admitted, Answer, Begun, Kept, Message, Origin, Question, drop_before};
use crate::prelude::*;

/// Milliseconds until a question without an answer is asked again.
const ASK_INTERVAL_MS: Millis = 200;
/// Streams that are kept at most; beyond it, those that are forgotten soonest are dropped.
const STREAMS_MAX: usize = 32_768;

/// A stream that began at this router.
#[derive(Clone, Debug)]
struct Stream {
    kept: Kept,
    /// Services in which a stream of its route may begin.
    services: Vec<Name>,
    /// Whether the control processes were told.
    is_recorded: bool,
}

/// A question that is open.
#[derive(Clone, Debug)]
struct Ask {
    question: Question,
    asked_at: Option<Millis>,
    answer: Option<Answer>,
}

/// The admitted versions, the streams that began at this router and its open questions.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    admitted: Admitted,
    begun: BTreeMap<Name, Stream>,
    asks: BTreeMap<u64, Ask>,
    last_number: u64,
    /// Streams of which the control processes are to be told.
    records: Vec<Begun>,
}

impl Streams {
    /// The admitted versions as far as known.
    pub fn admitted(&self) -> &Admitted {
        &self.admitted
    }

    /// Replaces the admitted versions, unless these are outdated. Streams that began while there was one
    /// version are recorded as soon as there are several. Returns whether the versions have changed.
    pub fn update(&mut self, now: Millis, admitted: Admitted) -> bool {
        if admitted.number <= self.admitted.number {
            return false;
        }
        self.admitted = admitted;
        let ids: Vec<Name> = self.begun.keys().cloned().collect();
        for id in ids {
            self.record(now, &id);
        }
        true
    }

    /// Records that the first event of a stream has arrived. Streams of its route may begin in `services`,
    /// and it may be taken up for `keep_ms`.
    pub fn begun(
        &mut self,
        now: Millis,
        id: &Name,
        origin: Origin,
        services: impl IntoIterator<Item = Name>,
        keep_ms: u64,
    ) {
        if self.begun.len() >= STREAMS_MAX {
            let ends = self.begun.values().map(|stream| stream.kept.until);
            let first_kept = drop_before(ends.collect());
            self.begun.retain(|_, s| s.kept.until >= first_kept);
        }
        let stream = Stream {
            kept: Kept::new(now, origin, keep_ms),
            services: services.into_iter().collect(),
            is_recorded: false,
        };
        self.begun.insert(id.clone(), stream);
        self.record(now, id);
    }

    /// Forgets a stream that its caller has got completely.
    pub fn completed(&mut self, id: &str) {
        self.begun.remove(id);
    }

    /// Forgets streams that can't be taken up any more.
    pub fn expire(&mut self, now: Millis) {
        self.begun.retain(|_, stream| now < stream.kept.until);
    }

    /// Where a stream began, if it began at this router.
    pub fn known(&self, stream: &str) -> Option<&Origin> {
        self.begun.get(stream).map(|stream| &stream.kept.origin)
    }

    /// Opens a question to the leader and returns its number. It is to be [closed](Streams::close).
    pub fn ask(&mut self, stream: Option<Name>, services: impl IntoIterator<Item = Name>) -> u64 {
        self.last_number += 1;
        let question = Question {
            number: self.last_number,
            stream,
            services: services.into_iter().collect(),
        };
        let ask = Ask {
            question,
            asked_at: None,
            answer: None,
        };
        self.asks.insert(self.last_number, ask);
        self.last_number
    }

    /// Records the leader's answer.
    pub fn answered(&mut self, number: u64, answer: Answer) {
        if let Some(ask) = self.asks.get_mut(&number) {
            ask.answer = Some(answer);
        }
    }

    /// The leader's answer to a question, if it has come.
    pub fn answer(&self, number: u64) -> Option<Answer> {
        self.asks.get(&number)?.answer.clone()
    }

    /// Forgets a question.
    pub fn close(&mut self, number: u64) {
        self.asks.remove(&number);
    }

    /// Whether there are questions to ask now.
    pub fn has_questions(&self, now: Millis) -> bool {
        self.asks.values().any(|ask| ask.is_due(now))
    }

    /// Takes the questions to the leader that are due.
    pub fn take_questions(&mut self, now: Millis) -> Vec<Message> {
        let due = self.asks.values_mut().filter(|ask| ask.is_due(now));
        due.map(|ask| {
            ask.asked_at = Some(now);
            Message::OriginQuestion(ask.question.clone())
        })
        .collect()
    }

    /// Whether there are records for the control processes.
    pub fn has_records(&self) -> bool {
        !self.records.is_empty()
    }

    /// Takes the records for all control processes.
    pub fn take_records(&mut self) -> Option<Message> {
        let records = std::mem::take(&mut self.records);
        (!records.is_empty()).then_some(Message::StreamsBegun(records))
    }

    /// Records, for a control process that has just connected, all streams that it may not know.
    pub fn all_records(&self, now: Millis) -> Option<Message> {
        let recorded = self.begun.iter().filter(|(_, stream)| stream.is_recorded);
        let records: Vec<Begun> = recorded
            .filter(|(_, stream)| !stream.kept.is_over(now))
            .map(|(id, stream)| stream.kept.begun(now, id))
            .collect();
        (!records.is_empty()).then_some(Message::StreamsBegun(records))
    }

    fn record(&mut self, now: Millis, id: &Name) {
        let Some(stream) = self.begun.get_mut(id) else {
            return;
        };
        if stream.is_recorded || self.admitted.sole_origin(&stream.services).is_some() {
            return;
        }
        stream.is_recorded = true;
        if !stream.kept.is_over(now) {
            self.records.push(stream.kept.begun(now, id));
        }
    }
}

impl Ask {
    fn is_due(&self, now: Millis) -> bool {
        let is_unanswered = self.answer.is_none();
        is_unanswered && self.asked_at.is_none_or(|at| now >= at + ASK_INTERVAL_MS)
    }
}
