//! Proposals in flight, and the actions that follow when they are applied, refused or lost.

use super::{Controller, Responder};
use crate::voter::{Change, Request};
use lovageplank_core::consensus::{Index, Refusal, Term};
use lovageplank_core::ledger::{self, CommandRecord};
use lovageplank_core::prelude::*;
use lovageplank_core::settings;
use lovageplank_core::state::{Command, Reply};
use lovageplank_wire::call::RefusalCode;
use lovageplank_wire::{Answer, Refusal as CallRefusal};
use serde_json::json;

/// Purpose of a proposal, which selects the action after it.
#[derive(Debug)]
pub(super) enum Purpose {
    /// A call waits for the reply.
    Answer(Responder),
    /// A placement decision.
    Placement,
    /// Registration or observation of an engine, which is in `engine_tracker.proposed` until it is
    /// applied or fails.
    Engine(Name),
    /// Outcome or resend of the command with this token, which is in flight in `engine_tracker`
    /// until it is applied or fails.
    Command(u64),
    /// No call waits for the reply, and no state tracks the proposal.
    Background,
}

/// Proposals by request id, and by log index once they are appended.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    next_id: u64,
    by_request_id: BTreeMap<u64, Purpose>,
    by_index: BTreeMap<Index, (Term, Purpose)>,
    /// Number of placement proposals in flight.
    pub(super) pending_placements: usize,
}

impl Controller {
    /// Proposes a command to the state machine. If the voter's channel is full, it fails at once.
    pub(super) fn propose(&mut self, command: &Command, purpose: Purpose) {
        let data = command.encode();
        self.submit(purpose, |request_id| Request::Propose { request_id, data });
    }

    /// Proposes a membership change of the control group.
    pub(super) fn propose_member(&mut self, change: Change, purpose: Purpose) {
        self.submit(purpose, |request_id| Request::ChangeMembership {
            request_id,
            change,
        });
    }

    fn submit(&mut self, purpose: Purpose, request: impl FnOnce(u64) -> Request) {
        let request_id = self.proposals.next_id;
        self.proposals.next_id += 1;
        if matches!(purpose, Purpose::Placement) {
            self.proposals.pending_placements += 1;
        }
        match self.config.voter.try_send(request(request_id)) {
            Ok(()) => drop(self.proposals.by_request_id.insert(request_id, purpose)),
            Err(_) => self.fail(purpose, &Refusal::Overloaded),
        }
    }

    pub(super) fn handle_proposal_outcome(
        &mut self,
        request_id: u64,
        position: Result<(Term, Index), Refusal>,
    ) {
        let Some(purpose) = self.proposals.by_request_id.remove(&request_id) else {
            return;
        };
        match position {
            Ok((term, index)) => {
                if let Some((_, superseded)) =
                    self.proposals.by_index.insert(index, (term, purpose))
                {
                    // It left this process's log, but another member may still commit it.
                    self.abandon(superseded);
                }
            }
            Err(refusal) => self.fail(purpose, &refusal),
        }
    }

    /// Completes the proposal at the index of an applied entry; it fails if the entry has another
    /// term.
    pub(super) fn resolve_proposal(&mut self, index: Index, term: Term, reply: Option<Reply>) {
        match self.proposals.by_index.remove(&index) {
            Some((proposed_term, purpose)) if proposed_term == term => {
                self.complete(purpose, reply);
            }
            Some((_, purpose)) => self.fail(purpose, &Refusal::NotLeader { leader: None }),
            None => {}
        }
    }

    /// Ends all proposals with an unknown outcome.
    pub(super) fn abandon_proposals(&mut self) {
        let waiting = std::mem::take(&mut self.proposals.by_request_id).into_values();
        let placed = std::mem::take(&mut self.proposals.by_index).into_values();
        let purposes: Vec<_> = waiting.chain(placed.map(|(_, purpose)| purpose)).collect();
        for purpose in purposes {
            self.abandon(purpose);
        }
    }

    /// Ends a proposal of which it isn't known whether it will be applied.
    fn abandon(&mut self, purpose: Purpose) {
        self.untrack(&purpose);
        if let Purpose::Answer(responder) = purpose {
            let message = "this process lost its place in the log; ask again with the same id";
            responder.send(Answer::Refused(CallRefusal::new(
                RefusalCode::Unknown,
                message,
            )));
        }
    }

    /// Ends a proposal that was not and will not be applied.
    fn fail(&mut self, purpose: Purpose, refusal: &Refusal) {
        self.untrack(&purpose);
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
            responder.send(Answer::Refused(CallRefusal::new(code, message)));
        }
    }

    fn complete(&mut self, purpose: Purpose, reply: Option<Reply>) {
        self.untrack(&purpose);
        match (purpose, reply) {
            (Purpose::Answer(responder), reply) => responder.send(answer_from_reply(reply)),
            (_, Some(Reply::Intent(record))) => self.dispatch_if_leading(&record),
            (purpose, Some(Reply::Refused(refusal))) => {
                tracing::debug!(event = "refused", ?purpose, ?refusal);
            }
            (purpose, Some(Reply::Denied(denial))) => {
                tracing::info!(event = "denied", ?purpose, ?denial);
            }
            (_, Some(Reply::Observed(observed))) => self.handle_observed_changes(&observed),
            _ => {}
        }
    }

    /// Removes the tracking of a proposal that ended.
    fn untrack(&mut self, purpose: &Purpose) {
        match purpose {
            Purpose::Placement => self.proposals.pending_placements -= 1,
            Purpose::Engine(engine) => drop(self.engine_tracker.proposed.remove(engine)),
            Purpose::Command(token) => self.engine_tracker.clear_in_flight(*token),
            Purpose::Answer(_) | Purpose::Background => {}
        }
    }

    fn dispatch_if_leading(&mut self, record: &CommandRecord) {
        if self.leading_since.is_some() {
            self.dispatch_command(record);
        }
    }
}

fn answer_from_reply(reply: Option<Reply>) -> Answer {
    match reply {
        Some(Reply::Changed(accepted)) => {
            Answer::Operator(json!({ "version": accepted.version.0 }))
        }
        Some(Reply::Unchanged(refusal)) => Answer::Refused(settings_refusal(&refusal)),
        Some(Reply::Claimed(verdict)) => Answer::Claim(verdict),
        Some(Reply::Refused(refusal)) => Answer::Refused(ledger_refusal(&refusal)),
        Some(Reply::Denied(denial)) => Answer::Refused(CallRefusal::new(
            RefusalCode::Invalid,
            format!("the settings forbid it: {denial:?}"),
        )),
        _ => Answer::Done,
    }
}

fn ledger_refusal(refusal: &ledger::Refusal) -> CallRefusal {
    CallRefusal::new(
        RefusalCode::Conflict,
        format!("the ledger refuses: {refusal:?}"),
    )
}

pub(super) fn settings_refusal(refusal: &settings::Refusal) -> CallRefusal {
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
            CallRefusal::new(RefusalCode::Conflict, message).with_details(details)
        }
        settings::Refusal::Invalid(errors) => {
            let list: Vec<_> = errors.iter().map(ToString::to_string).collect();
            let message = format!("the change has {} errors; nothing was changed", list.len());
            CallRefusal::new(RefusalCode::Invalid, message).with_details(json!(list))
        }
        settings::Refusal::Reused { version } => {
            let message = format!(
                "the id belongs to another change, which made version {}; mint a new id",
                version.0
            );
            CallRefusal::new(RefusalCode::Invalid, message)
        }
        settings::Refusal::Forgotten { oldest } => {
            let message = format!("the history goes back to version {} only", oldest.0);
            CallRefusal::new(RefusalCode::NotFound, message)
        }
    }
}
