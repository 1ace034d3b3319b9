//! The speed of servers, and what it means for where requests are sent.

use super::Dispatcher;
use crate::fleet::message::Message;
use crate::fleet::registry::Server;
use crate::fleet::selection::Speed;
use crate::fleet::speed::{Figures, Identity, Relay};
use crate::prelude::*;

impl Dispatcher {
    /// Records what an incarnation of a server stated of its load in a response to this router; `None` if it
    /// stated nothing that can be read. Returns whether that is used.
    pub fn load_stated(
        &mut self,
        now: Millis,
        id: &Name,
        incarnation: u64,
        figures: Option<Figures>,
    ) -> bool {
        let Some(server) = self.registry.get(id) else {
            return false;
        };
        let service = &server.announcement.service;
        let identity = Identity {
            id,
            incarnation,
            service,
        };
        self.speeds.stated(now, identity, figures)
    }

    /// Records the milliseconds between two events of a stream of an incarnation of a server, if its speed counts.
    pub fn events_paced(
        &mut self,
        now: Millis,
        id: &Name,
        incarnation: u64,
        model: Option<&Name>,
        interval_ms: f64,
    ) {
        let Some(server) = self.registry.get(id) else {
            return;
        };
        let service = &server.announcement.service;
        if !self.uses_speed(now, service) {
            return;
        }
        let identity = Identity {
            id,
            incarnation,
            service,
        };
        self.speeds.paced(identity, model, interval_ms);
    }

    /// Records how fast servers work, as the leader relays it.
    pub fn speeds_relayed(&mut self, now: Millis, relay: &Relay) {
        let registry = &self.registry;
        self.speeds.relayed(now, relay, |id, incarnation| {
            let announcement = &registry.get(id)?.announcement;
            let is_known = announcement.incarnation == incarnation;
            is_known.then(|| announcement.service.clone())
        });
    }

    /// Returns what the leader is to be told of the speed of servers, if there is something new.
    pub fn take_speed_report(&mut self, now: Millis) -> Option<Message> {
        self.speeds.take_report(now).map(Message::SpeedReport)
    }

    /// Whether servers of the service have stated their speed in the last half minute, in all four figures of their
    /// load.
    pub fn states_speed(&self, now: Millis, service: &Name) -> bool {
        self.speeds.is_stated(now, service)
    }

    /// Whether the speed of the service's servers counts. All that depends on it asks here.
    pub fn uses_speed(&self, now: Millis, service: &Name) -> bool {
        self.states_speed(now, service)
    }

    /// Replaces the addresses to which the router has idle connections that may be reused.
    pub fn set_idle_connections(&mut self, addresses: BTreeSet<Name>) {
        self.idle_connections = addresses;
    }

    /// Slowness of each server of a service that is to be expected now, in ascending order; empty if the speed of its
    /// servers doesn't count.
    pub fn slowness_of(&self, now: Millis, service: &Name) -> Vec<f64> {
        let servers = self.registry.ready(service);
        let mut slowness: Vec<f64> = servers.filter_map(|s| self.slowness(now, s)).collect();
        slowness.sort_by(f64::total_cmp);
        slowness
    }

    /// How long work takes at a server, relative to the usual time; `None` if the speed of the servers of its service
    /// doesn't count.
    pub(super) fn slowness(&self, now: Millis, server: &Server) -> Option<f64> {
        let announcement = &server.announcement;
        let is_used = self.uses_speed(now, &announcement.service);
        is_used.then(|| {
            self.speeds
                .slowness(now, &announcement.id, announcement.incarnation)
        })
    }

    /// How fast a server is expected to answer; `None` if that doesn't count.
    pub(super) fn speed(&self, now: Millis, server: &Server) -> Option<Speed> {
        let address = &server.announcement.address;
        Some(Speed {
            slowness: self.slowness(now, server)?,
            has_connection: self.idle_connections.contains(address),
        })
    }

    /// Requests of all routers at a server: as far as known here, or what it has stated just now, if that is more.
    pub(super) fn requests_at(&self, now: Millis, server: &Server) -> u32 {
        let announcement = &server.announcement;
        let known = self.load_tracker.total_at(&announcement.id);
        if !self.uses_speed(now, &announcement.service) {
            return known;
        }
        let stated = self
            .speeds
            .requests(now, &announcement.id, announcement.incarnation);
        known.max(stated.unwrap_or_default())
    }
}
