//! Limits that backend servers name for the requests that they take from all routers together.
//!
//! A server states its limit in its responses for as long as it has one; each router hears of it
//! (`statement`). A router sends such a server a request only with a
//! [permit](super::permit) of the leader, which issues them at the rate that the server named.

use super::message::Message;
use super::permit::{Answer, Grant, Rate, RateIssuer, Request, Stock};
use super::statement::Statements;
use crate::prelude::*;

/// Milliseconds until a router reports again what a server still states.
const REPORT_INTERVAL_MS: Millis = 1_000;
/// Milliseconds within which the leader's response to a request for permits is waited for. Meanwhile the
/// request isn't sent to any server.
const RESPONSE_TIMEOUT_MS: Millis = 50;
/// Permits that a router asks for at once, for a request to one server.
const WANTED: u32 = 1;

record! { key =>
    /// What a server has stated in a response.
    pub struct Statement {
        /// Name of the server.
        pub server: Name,
        /// The limit, if the response named one.
        pub limit: Option<Rate>,
        /// Milliseconds since the response.
        pub age_ms: u64,
    }
}

fn observe_relayed(statements: &mut Statements<Name, Rate>, now: Millis, statement: &Statement) {
    let at = now.saturating_sub(statement.age_ms);
    statements.observe(now, &statement.server, statement.limit, at);
}

fn newest(statements: &Statements<Name, Rate>, now: Millis, server: &Name) -> Option<Statement> {
    let (limit, age_ms) = statements.newest(now, server)?;
    Some(Statement {
        server: server.clone(),
        limit: limit.copied(),
        age_ms,
    })
}

/// Limits of servers as one router knows them, and its permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    statements: Statements<Name, Rate>,
    /// Permits for requests to servers that have named a limit.
    permits: BTreeMap<Name, Stock>,
    /// When this router last reported what a server states.
    reported_at: BTreeMap<Name, Millis>,
    /// Servers whose statements are to be reported.
    unreported: BTreeSet<Name>,
}

impl Limits {
    /// Records what a server stated in a response to this router. Returns whether its limit has
    /// changed.
    pub fn stated(&mut self, now: Millis, server: &Name, limit: Option<Rate>) -> bool {
        let changed = self.statements.observe(now, server, limit, now);
        let reported_at = self.reported_at.get(server);
        let is_due = reported_at.is_none_or(|at| now >= at + REPORT_INTERVAL_MS);
        if changed || limit.is_some() && is_due {
            self.unreported.insert(server.clone());
        }
        changed
    }

    /// Records statements that the leader relays.
    pub fn relayed(&mut self, now: Millis, statements: &[Statement]) {
        for statement in statements {
            observe_relayed(&mut self.statements, now, statement);
        }
    }

    /// Whether a server has a limit.
    pub fn has_limit(&self, now: Millis, server: &Name) -> bool {
        self.statements.value(now, server).is_some()
    }

    /// Uses a permit for a request to a server, or asks for one if there is none. A server without a
    /// limit needs none.
    pub fn take(&mut self, now: Millis, server: &Name) -> Answer {
        if !self.has_limit(now, server) {
            return Answer::Allowed;
        }
        let permits = self.permits.entry(server.clone());
        permits
            .or_insert_with(|| Stock::new(WANTED, RateIssuer::PERMIT_TTL_MS, RESPONSE_TIMEOUT_MS))
            .take(now)
    }

    /// Milliseconds until a permit for this server can be asked for again.
    pub fn retry_after_ms(&self, now: Millis, server: &Name) -> u64 {
        let permits = self.permits.get(server);
        permits.map_or(0, |permits| permits.retry_after_ms(now))
    }

    /// Records the leader's response to a request for permits.
    pub fn granted(&mut self, now: Millis, server: &Name, grant: &Grant) {
        if let Some(permits) = self.permits.get_mut(server) {
            permits.granted(now, grant);
        }
    }

    /// Whether [`take_messages`](Limits::take_messages) has any.
    pub fn has_messages(&self) -> bool {
        !self.unreported.is_empty() || self.permits.values().any(Stock::has_request)
    }

    /// Returns the reports and requests that are to be sent to the leader.
    pub fn take_messages(&mut self, now: Millis) -> Vec<Message> {
        let mut messages = Vec::new();
        for server in std::mem::take(&mut self.unreported) {
            messages.extend(newest(&self.statements, now, &server).map(Message::ServerLimit));
            self.reported_at.insert(server, now);
        }
        for (server, permits) in &mut self.permits {
            let statement = newest(&self.statements, now, server);
            if let (Some(statement), Some(request)) = (statement, permits.take_request()) {
                messages.push(Message::ServerPermitRequest { statement, request });
            }
        }
        messages
    }

    /// Forgets what a server stated.
    pub fn remove(&mut self, server: &Name) {
        self.statements.retain(|known| known != server);
        self.permits.remove(server);
    }

    /// Forgets statements that no longer count, and permits that aren't needed any more.
    pub fn expire(&mut self, now: Millis) {
        self.statements.expire(now);
        let known = &self.statements;
        self.permits.retain(|server, _| known.contains(server));
        self.reported_at.retain(|server, _| known.contains(server));
    }
}

/// Permits for requests to servers that have named a limit, as a leader issues them.
#[derive(Clone, Debug)]
pub struct ServerPermits {
    statements: Statements<Name, Rate>,
    /// Time before which none is issued.
    from: Millis,
    issuers: BTreeMap<Name, RateIssuer>,
}

impl ServerPermits {
    /// Returns the permits of a leader that takes office now; `is_first` if there was none before.
    pub fn new(now: Millis, is_first: bool) -> ServerPermits {
        let wait_ms = if is_first {
            0
        } else {
            RateIssuer::NEW_LEADER_MS
        };
        ServerPermits {
            statements: Statements::default(),
            from: now + wait_ms,
            issuers: BTreeMap::new(),
        }
    }

    /// Records what a router reports.
    pub fn stated(&mut self, now: Millis, statement: &Statement) {
        observe_relayed(&mut self.statements, now, statement);
    }

    /// Issues permits for requests to a server; all that are wanted if the server's newest statement
    /// names no limit.
    pub fn issue(&mut self, now: Millis, statement: &Statement, request: &Request) -> Grant {
        self.stated(now, statement);
        let server = &statement.server;
        let Some(rate) = self.statements.value(now, server).copied() else {
            return Grant {
                asked_at: request.asked_at,
                permits: request.wanted,
                retry_after_ms: 0,
            };
        };
        let issuer = self.issuers.entry(server.clone());
        issuer
            .or_insert_with(|| RateIssuer::new(self.from))
            .issue(now, rate, request)
    }

    /// Returns the statements that count, for all routers, and forgets the others.
    pub fn statements(&mut self, now: Millis) -> Vec<Statement> {
        self.statements.expire(now);
        let known = &self.statements;
        self.issuers.retain(|server, _| known.contains(server));
        let servers = known.servers();
        let statements = servers.filter_map(|server| newest(known, now, server));
        statements.collect()
    }
}
