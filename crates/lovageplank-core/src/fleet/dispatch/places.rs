//! Brittle servers, and this router's [places](crate::fleet::place) at them.

use super::{Decision, Dispatcher, Target};
use crate::fleet::brittle::Statement;
use crate::fleet::message::Message;
use crate::fleet::place::{Answer, End, Server};
use crate::prelude::*;

impl Dispatcher {
    /// Records how many rejections in a second an incarnation of a server has said that it bears, or that it isn't
    /// brittle. Returns whether that has changed.
    pub fn brittleness_stated(
        &mut self,
        now: Millis,
        server: &Name,
        incarnation: u64,
        tolerated: Option<u32>,
    ) -> bool {
        let Some(known) = self.registry.get(server) else {
            return false;
        };
        let statement = Statement {
            server: server.clone(),
            incarnation,
            service: known.announcement.service.clone(),
            tolerated,
            age_ms: 0,
        };
        self.brittleness.stated(now, &statement)
    }

    /// Records what servers have said, as the leader relays it.
    pub fn brittleness_relayed(&mut self, now: Millis, statements: &[Statement]) {
        for statement in statements {
            self.brittleness.observe(now, statement);
        }
    }

    /// Numbers of servers that are brittle, by service.
    pub fn brittle_counts(&self, now: Millis) -> BTreeMap<Name, u32> {
        self.brittleness.counts(now)
    }

    /// Rejections in a second that a server bears; `None` if it isn't brittle.
    pub fn tolerated(&self, now: Millis, id: &Name) -> Option<u32> {
        let server = &self.registry.get(id)?.announcement;
        self.brittleness
            .tolerated(now, id, server.incarnation, &server.service)
    }

    /// Asks the leader for a place at one of these servers, the best one first. Returns the number of the
    /// question.
    pub fn ask_for_place(&mut self, now: Millis, servers: &[Target], wait_ms: u64) -> Option<u64> {
        let known = servers.iter().filter_map(|s| self.described(now, &s.id));
        let known: Vec<(Server, Name)> = known.collect();
        let service = known.first()?.1.clone();
        let servers = known.into_iter().map(|(server, _)| server).collect();
        Some(self.places.ask(&service, servers, wait_ms))
    }

    /// Records the leader's answer to such a question. A place that nobody waits for any more is to be given back.
    pub fn place_answered(&mut self, answer: &Answer) {
        self.places.answered(answer);
    }

    /// Gives back a place that isn't used.
    pub fn give_back_place(&mut self, server: &Name) {
        self.places.give_back(server);
    }

    /// Records that the request that a place was for runs now.
    pub fn place_used(&mut self, server: &Name) {
        self.places.used(server);
    }

    /// Takes a place without a leader: one of those that this router had when it last heard of a leader.
    pub fn keep_place(&mut self, now: Millis, servers: &[Target]) -> Option<Target> {
        let running = self.load_tracker.own();
        let places = &mut self.places;
        let kept = servers.iter().find(|s| places.keep(now, &s.id, &running));
        kept.cloned()
    }

    /// Records how a request ended at a server.
    pub fn request_ended(&mut self, now: Millis, server: &Name, end: End) {
        if self.tolerated(now, server).is_some() {
            self.places.ended(now, server, end);
        }
    }

    /// Has all requests at brittle servers reported, also if nothing has changed.
    pub fn refresh_places(&mut self, now: Millis) {
        let running = self.load_tracker.own();
        let brittle = running
            .into_keys()
            .filter(|server| self.tolerated(now, server).is_some());
        let brittle: Vec<Name> = brittle.collect();
        self.places.refresh(now, brittle);
    }

    /// Whether [`take_place_messages`](Dispatcher::take_place_messages) has any.
    pub(super) fn has_place_messages(&self) -> bool {
        self.places.has_messages() || self.brittleness.has_messages()
    }

    /// Returns the reports of brittle servers, and the questions and reports about places.
    pub(super) fn take_place_messages(&mut self, now: Millis) -> Vec<Message> {
        let mut messages = self.brittleness.take_messages(now);
        let mut places = std::mem::take(&mut self.places);
        messages.extend(places.take_messages(|id| {
            let (server, service) = self.described(now, id)?;
            Some((server, service, self.load_tracker.own_at(id)))
        }));
        self.places = places;
        messages
    }

    /// Sends a request to the first of these servers, or reserves a place if that is brittle.
    pub(super) fn send_or_reserve(&self, now: Millis, picks: &[Target]) -> Decision {
        let is_brittle = |target: &&Target| self.tolerated(now, &target.id).is_some();
        let is_free = |target: &&Target| !self.server_limits.has_limit(now, &target.id);
        let [first, rest @ ..] = picks else {
            unreachable!("a server has just been selected")
        };
        if !is_brittle(&first) {
            return Decision::Send(first.clone());
        }
        let others = rest.iter().filter(is_free);
        let (brittle, sound): (Vec<&Target>, Vec<&Target>) = others.partition(is_brittle);
        let servers = std::iter::once(first).chain(brittle);
        Decision::Reserve {
            servers: servers.cloned().collect(),
            other: sound.first().map(|target| Target::clone(target)),
        }
    }

    /// A brittle server as the leader is told of it, and its service.
    fn described(&self, now: Millis, id: &Name) -> Option<(Server, Name)> {
        let announcement = &self.registry.get(id)?.announcement;
        let server = Server {
            id: id.clone(),
            incarnation: announcement.incarnation,
            slots: announcement.slots,
            tolerated: self.tolerated(now, id)?,
        };
        Some((server, announcement.service.clone()))
    }
}
