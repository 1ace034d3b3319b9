//! Entries on their way through the log, and what happens when they come out.

use super::{Controller, Responder};
use crate::voter::{Change, Request};
use lovageplank_core::consensus::{Index, Refusal, Term};
use lovageplank_core::ledger::{self, CommandRecord};
use lovageplank_core::prelude::*;
use lovageplank_core::settings;
use lovageplank_core::state::{Command, Reply};
use lovageplank_wire::call::RefusalCode;
use lovageplank_wire::{Answer, Refusal as Refused};
use serde_json::json;

/// What a proposal is for.
#[derive(Debug)]
pub(super) enum Purpose {
    /// Somebody waits for the reply.
    Answer(Responder),
    /// A decision on a replica.
    Placement,
    /// News of an engine, which is in `engines.busy` until it is applied.
    Engine(Name),
    /// The outcome or the resend of a command, which is in `engines.commands` until then.
    Command(u64),
    /// Nobody waits.
    Background,
}

/// Proposals by ticket, and by place in the log once they have one.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    next: u64,
    waiting: BTreeMap<u64, Purpose>,
    placed: BTreeMap<Index, (Term, Purpose)>,
    /// Placement proposals on their way.
    pub(super) placements: usize,
}

impl Controller {
    /// Proposes a command; a ring without room answers at once.
    pub(super) fn propose(&mut self, command: &Command, purpose: Purpose) {
        let data = command.encode();
        self.request(purpose, |ticket| Request::Propose { ticket, data });
    }

    /// Proposes a change of the group.
    pub(super) fn propose_member(&mut self, change: Change, purpose: Purpose) {
        self.request(purpose, |ticket| Request::Member { ticket, change });
    }

    fn request(&mut self, purpose: Purpose, request: impl FnOnce(u64) -> Request) {
        let ticket = self.proposals.next;
        self.proposals.next += 1;
        if matches!(purpose, Purpose::Placement) {
            self.proposals.placements += 1;
        }
        match self.config.voter.try_send(request(ticket)) {
            Ok(()) => drop(self.proposals.waiting.insert(ticket, purpose)),
            Err(_) => self.fail(purpose, &Refusal::Overloaded),
        }
    }

    pub(super) fn take_outcome(&mut self, ticket: u64, entry: Result<(Term, Index), Refusal>) {
        let Some(purpose) = self.proposals.waiting.remove(&ticket) else {
            return;
        };
        match entry {
            Ok((term, index)) => {
                if let Some((_, lost)) = self.proposals.placed.insert(index, (term, purpose)) {
                    self.fail(lost, &Refusal::NotLeader { leader: None });
                }
            }
            Err(refusal) => self.fail(purpose, &refusal),
        }
    }

    /// An entry was applied: the proposal at its place is done, or lost if the term differs.
    pub(super) fn settle(&mut self, index: Index, term: Term, reply: Option<Reply>) {
        match self.proposals.placed.remove(&index) {
            Some((placed, purpose)) if placed == term => self.finish(purpose, reply),
            Some((_, purpose)) => self.fail(purpose, &Refusal::NotLeader { leader: None }),
            None => {}
        }
    }

    /// The fate of all proposals is unknown from here on.
    pub(super) fn abandon_proposals(&mut self) {
        let waiting = std::mem::take(&mut self.proposals.waiting).into_values();
        let placed = std::mem::take(&mut self.proposals.placed).into_values();
        let purposes: Vec<_> = waiting.chain(placed.map(|(_, purpose)| purpose)).collect();
        for purpose in purposes {
            self.release(&purpose);
            if let Purpose::Answer(responder) = purpose {
                let message = "this process lost its place in the log; ask again with the same id";
                responder.send(Answer::Refused(Refused::new(RefusalCode::Unknown, message)));
            }
        }
    }

    /// The proposal was certainly not applied.
    fn fail(&mut self, purpose: Purpose, refusal: &Refusal) {
        self.release(&purpose);
        if let Purpose::Answer(responder) = purpose {
            let (code, message) = match refusal {
                Refusal::NotLeader { .. } => (
                    RefusalCode::NoLeader,
                    "this instance does not lead; ask another",
                ),
                Refusal::Overloaded => {
                    (RefusalCode::Overloaded, "too many entries wait; try again")
                }
                Refusal::ReadOnly => (
                    RefusalCode::Overloaded,
                    "the leader's disk is full; free some space",
                ),
                Refusal::ChangePending => (
                    RefusalCode::Conflict,
                    "another change of voters is in progress; try again",
                ),
                Refusal::UnknownMember => (RefusalCode::NotFound, "the group has no such member"),
                Refusal::Behind { .. } => (
                    RefusalCode::Conflict,
                    "the member has not caught up; try again",
                ),
                Refusal::LastVoter => (RefusalCode::Invalid, "the last voter can't be removed"),
            };
            responder.send(Answer::Refused(Refused::new(code, message)));
        }
    }

    fn finish(&mut self, purpose: Purpose, reply: Option<Reply>) {
        self.release(&purpose);
        match (purpose, reply) {
            (Purpose::Answer(responder), reply) => responder.send(answer(reply)),
            (_, Some(Reply::Intent(record))) => self.send_command(&record),
            (purpose, Some(Reply::Refused(refusal))) => {
                tracing::debug!(event = "refused", ?purpose, ?refusal);
            }
            (purpose, Some(Reply::Denied(denial))) => {
                tracing::info!(event = "denied", ?purpose, ?denial);
            }
            (_, Some(Reply::Observed(observed))) => self.take_observed(&observed),
            _ => {}
        }
    }

    /// Takes a proposal off the books.
    fn release(&mut self, purpose: &Purpose) {
        match purpose {
            Purpose::Placement => self.proposals.placements -= 1,
            Purpose::Engine(engine) => drop(self.engines.busy.remove(engine)),
            Purpose::Command(token) => self.engines.release(*token),
            Purpose::Answer(_) | Purpose::Background => {}
        }
    }

    fn send_command(&mut self, record: &CommandRecord) {
        if self.leads_since.is_some() {
            self.dispatch(record);
        }
    }
}

fn answer(reply: Option<Reply>) -> Answer {
    match reply {
        Some(Reply::Changed(accepted)) => {
            Answer::Operator(json!({ "version": accepted.version.0 }))
        }
        Some(Reply::Unchanged(refusal)) => Answer::Refused(unchanged(&refusal)),
        Some(Reply::Claimed(verdict)) => Answer::Claim(verdict),
        Some(Reply::Refused(refusal)) => Answer::Refused(not_noted(&refusal)),
        Some(Reply::Denied(denial)) => Answer::Refused(Refused::new(
            RefusalCode::Invalid,
            format!("the settings forbid it: {denial:?}"),
        )),
        _ => Answer::Done,
    }
}

fn not_noted(refusal: &ledger::Refusal) -> Refused {
    Refused::new(
        RefusalCode::Conflict,
        format!("the ledger refuses: {refusal:?}"),
    )
}

pub(super) fn unchanged(refusal: &settings::Refusal) -> Refused {
    match refusal {
        settings::Refusal::Conflict {
            current,
            paths,
            complete,
        } => {
            let message = format!(
                "the settings are at version {}; read them again and repeat the change on that base",
                current.0
            );
            let details = json!({ "current": current.0, "paths": paths, "complete": complete });
            Refused::new(RefusalCode::Conflict, message).with_details(details)
        }
        settings::Refusal::Invalid(errors) => {
            let list: Vec<_> = errors.iter().map(ToString::to_string).collect();
            let message = format!("the change has {} errors; nothing was changed", list.len());
            Refused::new(RefusalCode::Invalid, message).with_details(json!(list))
        }
        settings::Refusal::Reused { version } => {
            let message = format!(
                "the id belongs to another change, which made version {}; mint a new id",
                version.0
            );
            Refused::new(RefusalCode::Invalid, message)
        }
        settings::Refusal::Forgotten { oldest } => {
            let message = format!("the history goes back to version {} only", oldest.0);
            Refused::new(RefusalCode::NotFound, message)
        }
    }
}
