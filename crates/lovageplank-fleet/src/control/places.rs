//! Brittle servers and the places at them, while this process is the leader.

use super::state::State;
use lovageplank_core::consensus::Term;
use lovageplank_core::fleet::brittle::{Brittleness, Statement};
use lovageplank_core::fleet::message::{Message, RunningRequests};
use lovageplank_core::fleet::place::{Issuer, Reply, Request, Usage};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;

/// Milliseconds between two relays of all that servers have said of their brittleness. What changes is relayed at
/// once.
const RELAY_INTERVAL_MS: Millis = 1_000;

/// What a leader knows of brittle servers and of the places that routers have.
pub(super) struct Places {
    brittleness: Brittleness,
    issuer: Issuer,
    relayed_at: Millis,
}

impl Places {
    /// Begins to lead.
    pub(super) fn new(now: Millis, term: Term) -> Places {
        Places {
            brittleness: Brittleness::default(),
            // Before the first term there was no leader that could have given places.
            issuer: Issuer::new(now, term.0, term.0 <= 1),
            relayed_at: 0,
        }
    }

    /// Whether the end of a server is explained by what it had to reject.
    pub(super) fn is_fall(&mut self, server: &Name, incarnation: u64) -> bool {
        self.issuer
            .is_fall(clock::boottime_ms(), server, incarnation)
    }
}

impl State {
    /// Records what a server has said to a router, and relays it if it has changed.
    pub(super) fn server_brittle(&mut self, statement: &Statement) {
        let now = clock::boottime_ms();
        let Some(places) = &mut self.places else {
            return;
        };
        if places.brittleness.observe(now, statement) {
            tracing::info!(event = "server_brittle", server = %statement.server, service = %statement.service,
                born_ms = statement.incarnation, tolerated = ?statement.tolerated);
            self.routers
                .broadcast(Message::BrittleServers(vec![statement.clone()]));
        }
    }

    /// Answers a router's question for a place, now or when there is one.
    pub(super) fn place_asked(&mut self, link: u64, request: Request) {
        let Some(router) = self.routers.name(link) else {
            return;
        };
        if let Some(places) = &mut self.places {
            let now = clock::boottime_ms();
            let reply = places.issuer.ask(now, link, &router, request);
            self.send_place_answers(reply);
        }
    }

    /// Records what a router has at a brittle server.
    pub(super) fn place_used(&mut self, link: u64, usage: &Usage) {
        let Some(router) = self.routers.name(link) else {
            return;
        };
        if let Some(places) = &mut self.places {
            let now = clock::boottime_ms();
            let replies = places.issuer.used(now, link, &router, usage);
            self.send_place_answers(replies);
        }
    }

    /// Records the requests of a router that doesn't report what it has at brittle servers.
    pub(super) fn load_reported(&mut self, link: u64, running: &[RunningRequests]) {
        if self.routers.knows_places(link) {
            return;
        }
        let router = self.routers.name(link);
        if let (Some(places), Some(router)) = (&mut self.places, router) {
            let now = clock::boottime_ms();
            places.issuer.load_reported(now, link, &router, running);
        }
    }

    /// Records that a router's link went down.
    pub(super) fn router_disconnected(&mut self, link: u64) {
        if let Some(places) = &mut self.places {
            places.issuer.disconnected(clock::boottime_ms(), link);
        }
        self.documents.spread.disconnected(link);
        self.routers.disconnected(link);
    }

    /// Relays what servers have said if that is due, and forgets what no longer counts.
    pub(super) fn send_places(&mut self, now: Millis) {
        let Some(places) = &mut self.places else {
            return;
        };
        let replies = places.issuer.expire(now);
        places.brittleness.expire(now);
        for (server, requests, allowed) in places.issuer.rooms() {
            let server = server.to_string();
            metrics::gauge!("lovageplank_control_brittle_requests", "server" => server.clone())
                .set(f64::from(requests));
            metrics::gauge!("lovageplank_control_brittle_allowed", "server" => server)
                .set(f64::from(allowed));
        }
        let is_due = now >= places.relayed_at + RELAY_INTERVAL_MS;
        let statements = if is_due {
            places.relayed_at = now;
            places.brittleness.statements(now)
        } else {
            Vec::new()
        };
        self.send_place_answers(replies);
        if !statements.is_empty() {
            self.routers.broadcast(Message::BrittleServers(statements));
        }
    }

    fn send_place_answers(&self, replies: impl IntoIterator<Item = Reply>) {
        for Reply {
            link,
            number,
            answer,
        } in replies
        {
            self.routers
                .send(link, Message::PlaceAnswer { number, answer });
        }
    }
}
