//! Membership changes of the control group: one member at a time, added as a learner first.

use super::proposals::Purpose;
use super::{Controller, Responder};
use crate::voter::Change;
use lovageplank_core::consensus::{Id, MemberInfo};
use lovageplank_core::prelude::*;
use lovageplank_wire::call::RefusalCode;
use lovageplank_wire::{Answer, Refusal};

/// Milliseconds between attempts to promote a learner, which are refused until it has caught up.
const PROMOTION_INTERVAL_MS: u64 = 200;

impl Controller {
    /// Adds a connected control process of the instance as a learner; it is promoted once it has
    /// caught up.
    pub(super) fn add_voter(&mut self, instance: &Name, responder: Responder) {
        let is_not_member = |id: &Id| {
            !self.membership.voters.contains_key(id) && !self.membership.learners.contains_key(id)
        };
        let links = self
            .control_links
            .values()
            .filter(|l| l.peer.instance == *instance);
        let candidate = links
            .map(|l| (Id(l.peer.id), l.peer.clone()))
            .find(|(id, _)| is_not_member(id));
        let Some((id, peer)) = candidate else {
            let message = format!(
                "no control process of {instance} is connected that does not vote yet; \
                 start it with an empty data folder and the group's addresses as peers"
            );
            responder.send(Answer::Refused(Refusal::new(
                RefusalCode::NotFound,
                message,
            )));
            return;
        };
        let voter = MemberInfo {
            name: peer.instance.clone(),
            address: peer.address.clone(),
        };
        self.promotion_attempts.insert(id, self.now());
        self.propose_member(Change::Learner(id, voter), Purpose::Answer(responder));
    }

    /// Removes a member by its instance name; if there are several, preferably one that is
    /// disconnected.
    pub(super) fn remove_voter(&mut self, instance: &Name, responder: Responder) {
        let members = self
            .membership
            .voters
            .iter()
            .chain(&self.membership.learners);
        let matching_ids: Vec<Id> = members
            .filter(|(_, voter)| voter.name == *instance)
            .map(|(id, _)| *id)
            .collect();
        let connected = |id: &Id| {
            *id == self.config.id || self.control_links.values().any(|l| l.peer.id == id.0)
        };
        let disconnected = matching_ids.iter().find(|id| !connected(id));
        let Some(id) = disconnected.or(matching_ids.first()).copied() else {
            let message = format!("the group has no member called {instance}; see `status`");
            responder.send(Answer::Refused(Refusal::new(
                RefusalCode::NotFound,
                message,
            )));
            return;
        };
        self.promotion_attempts.remove(&id);
        self.propose_member(Change::Remove(id), Purpose::Answer(responder));
    }

    /// Proposes to promote learners; the voter refuses those that have not caught up.
    pub(super) fn promote_learners(&mut self, now: Millis) {
        let learners = &self.membership.learners;
        for id in learners.keys() {
            self.promotion_attempts.entry(*id).or_insert(now);
        }
        let due: Vec<Id> = self
            .promotion_attempts
            .iter()
            .filter(|(id, at)| learners.contains_key(id) && now >= **at + PROMOTION_INTERVAL_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.promotion_attempts.insert(id, now);
            self.propose_member(Change::Promote(id), Purpose::Background);
        }
        self.promotion_attempts
            .retain(|id, _| !self.membership.voters.contains_key(id));
    }
}
