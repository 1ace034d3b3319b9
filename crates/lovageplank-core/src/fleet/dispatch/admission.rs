//! Decisions about requests while capacity is short: by [admission control](crate::fleet::admission) instead of one limit
//! for all.

use super::{Decision, Dispatcher, RefusalReason, RequestSpec, next_random};
use crate::fleet::admission::{Ending, Load, Room, Turn, Verdict};
use crate::fleet::deployment::Service;
use crate::fleet::selection::Candidate;
use crate::prelude::*;

impl Dispatcher {
    /// Sets whether requests are admitted by rank, objective and work.
    pub fn set_pressure(&mut self, is_on: bool) {
        self.admission.set_on(is_on);
    }

    /// Records that a request arrived.
    pub fn arrived(&mut self, now: Millis, request: &RequestSpec) {
        self.load_tracker.arrived(request);
        self.admission.arrived(now, request);
    }

    /// Records that a request was sent to a server, where it counts as running from now on.
    pub fn began(&mut self, now: Millis, server: &Name, request: &RequestSpec) {
        self.load_tracker.began(server, request);
        self.admission.began(now, server, request);
    }

    /// Records that a request at a server has ended, which [began](Dispatcher::began) some milliseconds ago.
    pub fn ended(
        &mut self,
        now: Millis,
        server: &Name,
        request: &RequestSpec,
        ran_ms: u64,
        ending: Ending,
    ) {
        self.load_tracker.ended(server, request);
        self.admission.ended(now, server, request, ran_ms, ending);
    }

    /// Records that the answer to a request began some milliseconds after it was sent.
    pub fn answer_began(&mut self, now: Millis, request: &RequestSpec, after_ms: u64) {
        self.admission.answer_began(now, request, after_ms);
    }

    /// Records that a request that waits in the queue is given up, for instance because its caller has left.
    pub fn leave_queue(&mut self, now: Millis, request: &RequestSpec, turn: &mut Turn) {
        if turn.ticket().is_some() {
            self.admission.leave(now, request, turn, true);
        }
    }

    /// Returns the tickets of waiting requests whose turn it is, in order. The decision about each is to be made
    /// again when requests end, totals arrive, or one of them leaves the queue.
    pub fn queue_heads(&self, now: Millis) -> Vec<u64> {
        self.admission.heads(now)
    }

    /// Whether requests are admitted by rank, objective and work.
    pub fn admits_by_rank(&self) -> bool {
        self.admission.is_on()
    }

    /// Decides about a request that some servers could run.
    pub(super) fn decide_by_rank(
        &mut self,
        now: Millis,
        service: &Service,
        request: &RequestSpec,
        tried: &[Name],
        turn: &mut Turn,
    ) -> Decision {
        if self.admission.waits_for_others(now, request, turn) {
            return Decision::Wait;
        }
        let is_first = tried.is_empty();
        let rooms = self.rooms(now, service, request, tried);
        let random = next_random(&mut self.random);
        let open = self.admission.open(now, request, turn, &rooms, random);
        if open.is_empty() {
            let random = next_random(&mut self.random);
            let admission = &mut self.admission;
            return match admission.wait(now, request, turn, &rooms, random, is_first) {
                Verdict::Wait => Decision::Wait,
                Verdict::Refuse { retry_after_ms } => Decision::Refuse {
                    reason: RefusalReason::Full,
                    retry_after_ms,
                },
            };
        }
        let eligible = self.eligible_servers(now, request, tried);
        let candidates = eligible
            .iter()
            .filter(|server| open.contains(&server.announcement.id))
            .map(|server| self.candidate(now, request, server, &eligible));
        let candidates: Vec<Candidate> = candidates.collect();
        let mut random = self.random;
        let picks = self.picks(now, candidates, &mut random);
        self.random = random;
        let decision = self.send_to_first_allowed(now, &picks);
        match &decision {
            Decision::Send(target) => {
                self.admission.sent(&target.id, turn);
            }
            Decision::Reserve { servers, .. } => {
                self.admission.sent(&servers[0].id, turn);
            }
            Decision::Refuse { .. } => self.admission.leave(now, request, turn, is_first),
            Decision::Wait => {}
        }
        decision
    }

    /// The room for a request at the servers that could run it.
    fn rooms(
        &self,
        now: Millis,
        service: &Service,
        request: &RequestSpec,
        tried: &[Name],
    ) -> Vec<Room> {
        let scope = self.admission.scope(now, request);
        let eligible = self.eligible_servers(now, request, tried);
        let rooms = eligible.into_iter().map(|server| {
            let id = &server.announcement.id;
            let load = Load {
                places: self.places_at(now, service, server),
                others: self.load_tracker.others_at(id),
                is_preemptive: service.engine.is_some() && self.tolerated(now, id).is_none(),
            };
            self.admission.room(scope, id, load)
        });
        rooms.collect()
    }
}
