//! Changes of the control group: one member at a time, first as a learner.

use super::proposals::Purpose;
use super::{Controller, Responder};
use crate::voter::Change;
use lovageplank_core::consensus::{Id, MemberInfo};
use lovageplank_core::prelude::*;
use lovageplank_wire::call::RefusalCode;
use lovageplank_wire::{Answer, Refusal};

/// Milliseconds between attempts to let a learner vote.
const PROMOTE_MS: u64 = 200;

impl Controller {
    /// Adds a connected instance as a learner; it votes once it has caught up.
    pub(super) fn add_voter(&mut self, instance: &Name, responder: Responder) {
        let stranger = |id: &Id| {
            !self.membership.voters.contains_key(id) && !self.membership.learners.contains_key(id)
        };
        let links = self
            .controls
            .values()
            .filter(|l| l.peer.instance == *instance);
        let found = links
            .map(|l| (Id(l.peer.id), l.peer.clone()))
            .find(|(id, _)| stranger(id));
        let Some((id, peer)) = found else {
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
        self.promotions.insert(id, self.now());
        self.propose_member(Change::Learner(id, voter), Purpose::Answer(responder));
    }

    /// Removes a member by its instance's name; of several, one that is not connected.
    pub(super) fn remove_voter(&mut self, instance: &Name, responder: Responder) {
        let members = self
            .membership
            .voters
            .iter()
            .chain(&self.membership.learners);
        let named: Vec<Id> = members
            .filter(|(_, voter)| voter.name == *instance)
            .map(|(id, _)| *id)
            .collect();
        let connected =
            |id: &Id| *id == self.config.id || self.controls.values().any(|l| l.peer.id == id.0);
        let gone = named.iter().find(|id| !connected(id));
        let Some(id) = gone.or(named.first()).copied() else {
            let message = format!("the group has no member called {instance}; see `status`");
            responder.send(Answer::Refused(Refusal::new(
                RefusalCode::NotFound,
                message,
            )));
            return;
        };
        self.promotions.remove(&id);
        self.propose_member(Change::Remove(id), Purpose::Answer(responder));
    }

    /// Lets learners vote that have caught up.
    pub(super) fn promote(&mut self, now: Millis) {
        let learners = &self.membership.learners;
        for id in learners.keys() {
            self.promotions.entry(*id).or_insert(now);
        }
        let due: Vec<Id> = self
            .promotions
            .iter()
            .filter(|(id, at)| learners.contains_key(id) && now >= **at + PROMOTE_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.promotions.insert(id, now);
            self.propose_member(Change::Promote(id), Purpose::Background);
        }
        self.promotions
            .retain(|id, _| !self.membership.voters.contains_key(id));
    }
}
