//! Which backend servers are brittle: they end when they have to reject too many requests.
//!
//! A brittle server says so in all its responses, and how many rejections in a second it bears. All routers send
//! it requests only with a [place](super::place). A server that hasn't been heard of yet, such as one that has
//! just started again, counts as brittle while another one of its service does.

use super::message::Message;
use super::statement::Statements;
use crate::prelude::*;

/// Milliseconds until a router reports again what a server still states.
const REPORT_INTERVAL_MS: Millis = 1_000;

record! { key =>
    /// What an incarnation of a server has stated in a response.
    pub struct Statement {
        /// Name of the server.
        pub server: Name,
        /// Its incarnation.
        pub incarnation: u64,
        /// Its service.
        pub service: Name,
        /// Rejections in a second that it bears; `None` if it isn't brittle.
        pub tolerated: Option<u32>,
        /// Milliseconds since the response.
        pub age_ms: u64,
    }
}

/// Name and incarnation of a server.
type Incarnation = (Name, u64);

/// Service and tolerated rejections.
type Stated = (Name, u32);

/// The servers that are brittle, as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct Brittleness {
    statements: Statements<Incarnation, Stated>,
    /// When this router last reported what a server states.
    reported_at: BTreeMap<Incarnation, Millis>,
    /// Servers whose statements are to be passed on.
    unreported: BTreeSet<Incarnation>,
    /// Service of each server that has stated something, also if it took that back.
    services: BTreeMap<Incarnation, Name>,
}

impl Brittleness {
    /// Records what a server stated in a response to this router. Returns whether that has changed.
    pub fn stated(&mut self, now: Millis, statement: &Statement) -> bool {
        let server = (statement.server.clone(), statement.incarnation);
        let changed = self.observe(now, statement);
        let reported_at = self.reported_at.get(&server);
        let is_due = reported_at.is_none_or(|at| now >= at + REPORT_INTERVAL_MS);
        if changed || statement.tolerated.is_some() && is_due {
            self.unreported.insert(server);
        }
        changed
    }

    /// Records a statement that another process passes on. Returns whether that changes what holds.
    pub fn observe(&mut self, now: Millis, statement: &Statement) -> bool {
        let server = (statement.server.clone(), statement.incarnation);
        let stated = statement
            .tolerated
            .map(|per_s| (statement.service.clone(), per_s));
        let at = now.saturating_sub(statement.age_ms);
        let changed = self.statements.observe(now, &server, stated, at);
        if self.statements.contains(&server) {
            self.services.insert(server, statement.service.clone());
        }
        changed
    }

    /// Rejections in a second that an incarnation of a server bears; `None` if it isn't brittle.
    pub fn tolerated(
        &self,
        now: Millis,
        server: &Name,
        incarnation: u64,
        service: &Name,
    ) -> Option<u32> {
        if self.statements.is_empty() {
            return None;
        }
        let own = (server.clone(), incarnation);
        if let Some((_, per_s)) = self.statements.value(now, &own) {
            return Some(*per_s);
        }
        if self.statements.contains(&own) {
            return None;
        }
        let values = self.statements.values(now).map(|(_, stated)| stated);
        let of_service = values.filter(|(of, _)| of == service);
        of_service.map(|(_, per_s)| *per_s).min()
    }

    /// Numbers of brittle servers, by service.
    pub fn counts(&self, now: Millis) -> BTreeMap<Name, u32> {
        let mut counts: BTreeMap<Name, u32> = BTreeMap::new();
        for service in self.services.values() {
            counts.entry(service.clone()).or_default();
        }
        for (_, (service, _)) in self.statements.values(now) {
            *counts.entry(service.clone()).or_default() += 1;
        }
        counts
    }

    /// Whether [`take_messages`](Brittleness::take_messages) has any.
    pub fn has_messages(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Returns the reports that are to be sent to the leader.
    pub fn take_messages(&mut self, now: Millis) -> Vec<Message> {
        let mut messages = Vec::new();
        for server in std::mem::take(&mut self.unreported) {
            messages.extend(self.newest(now, &server).map(Message::ServerBrittle));
            self.reported_at.insert(server, now);
        }
        messages
    }

    /// Returns all statements that count, also those that take one back.
    pub fn statements(&self, now: Millis) -> Vec<Statement> {
        let servers = self.statements.servers();
        servers
            .filter_map(|server| self.newest(now, server))
            .collect()
    }

    /// Forgets statements that no longer count.
    pub fn expire(&mut self, now: Millis) {
        self.statements.expire(now);
        let known = &self.statements;
        self.services.retain(|server, _| known.contains(server));
        self.reported_at.retain(|server, _| known.contains(server));
    }

    fn newest(&self, now: Millis, server: &Incarnation) -> Option<Statement> {
        let (stated, age_ms) = self.statements.newest(now, server)?;
        Some(Statement {
            server: server.0.clone(),
            incarnation: server.1,
            service: self.services.get(server)?.clone(),
            tolerated: stated.map(|(_, per_s)| *per_s),
            age_ms,
        })
    }
}
