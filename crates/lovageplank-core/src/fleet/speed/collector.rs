//! What the leader knows of the speed of servers, from the reports of all routers.

use super::{Estimate, Lasting, MAX_AGE_MS, Relay, Report, Statement, ratio};
use crate::prelude::*;

/// Milliseconds after which a statement isn't relayed: at most a quarter of its weight would be left.
const RELAY_AGE_MS: Millis = MAX_AGE_MS / 2;
/// Least difference between the slowness that routers assume and the one that they would assume with a newer
/// statement, for which it is relayed.
const CHANGE_MIN: f64 = 0.12;
/// Statements that are relayed at once, those that change most. It bounds the bytes that each router gets.
const STATEMENTS_MAX: usize = 32;
/// Milliseconds between two relays of long-term speeds.
const LASTING_INTERVAL_MS: Millis = 2_000;
/// Hundredths by which a long-term speed has to change to be sent again.
const LASTING_CHANGE_MIN: u32 = 5;
/// Milliseconds after which a long-term speed is sent again for routers that have started since.
const LASTING_REPEAT_MS: Millis = 30_000;
/// Long-term speeds that are sent at once.
const LASTING_MAX: usize = 64;
/// Statements and measurements that a long-term speed is made of before routers are told. A new leader begins with
/// none, while routers still know what the last one told them.
const LASTING_SAMPLES_MIN: u32 = 16;
/// Milliseconds after the last report of a server after which it is forgotten.
const RETENTION_MS: Millis = 120_000;

/// A server, and what routers were told of it.
#[derive(Clone, Debug)]
struct Server {
    estimate: Estimate,
    reported_at: Millis,
    /// The last statement that was relayed, and when it was made.
    sent: Option<(u32, Millis)>,
    lasting_sent: Option<(Lasting, Millis)>,
}

impl Server {
    fn new(incarnation: u64) -> Server {
        Server {
            estimate: Estimate::new(incarnation),
            reported_at: 0,
            sent: None,
            lasting_sent: None,
        }
    }

    /// The newest statement, if routers should be told of it, with the change that it makes.
    fn news(&self, now: Millis) -> Option<(f64, u32, Millis)> {
        let (percent, at) = self.estimate.current()?;
        let is_sent = self.sent.is_some_and(|(_, sent_at)| at <= sent_at);
        if is_sent || now >= at + RELAY_AGE_MS {
            return None;
        }
        let assumed = self.estimate.slowness_by(now, self.sent);
        let change = (self.estimate.slowness(now) - assumed).abs();
        (change >= CHANGE_MIN).then_some((change, percent, at))
    }

    /// The long-term speed, if routers should be told of it.
    fn lasting_news(&self, now: Millis, id: &Name) -> Option<Lasting> {
        if self.estimate.measured() < LASTING_SAMPLES_MIN {
            return None;
        }
        let lasting = self.estimate.to_lasting(id);
        let is_due = self.lasting_sent.as_ref().is_none_or(|(sent, at)| {
            let stated = sent.stated_percent.abs_diff(lasting.stated_percent);
            let pace = sent.pace_percent.abs_diff(lasting.pace_percent);
            stated.max(pace) >= LASTING_CHANGE_MIN || now >= at + LASTING_REPEAT_MS
        });
        is_due.then_some(lasting)
    }
}

/// Estimates of the leader, by server.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    servers: BTreeMap<Name, Server>,
    lasting_sent_at: Millis,
}

impl Collector {
    /// Records the report of a router.
    pub fn reported(&mut self, now: Millis, report: &Report) {
        for statement in &report.statements {
            let Some(server) = self.server_mut(now, &statement.server, statement.incarnation)
            else {
                continue;
            };
            let at = now.saturating_sub(statement.age_ms);
            server.estimate.add_statement(statement.percent, at);
        }
        for pace in &report.paces {
            let Some(server) = self.server_mut(now, &pace.server, pace.incarnation) else {
                continue;
            };
            server.estimate.paced(ratio(pace.percent), pace.samples);
        }
    }

    /// Returns what routers are to be told now; `None` if there is nothing.
    pub fn take_relay(&mut self, now: Millis) -> Option<Relay> {
        let relay = Relay {
            statements: self.take_statements(now),
            lasting: self.take_lasting(now),
        };
        (relay != Relay::default()).then_some(relay)
    }

    /// Long-term slowness of an incarnation of a server; 1 if nothing is known.
    pub fn lasting(&self, id: &Name, incarnation: u64) -> f64 {
        let server = self.servers.get(id);
        let server = server.filter(|server| server.estimate.incarnation == incarnation);
        server.map_or(1.0, |server| server.estimate.lasting())
    }

    fn take_statements(&mut self, now: Millis) -> Vec<Statement> {
        let news = self.servers.iter();
        let news = news.filter_map(|(id, server)| Some((server.news(now)?, id.clone())));
        let mut news: Vec<((f64, u32, Millis), Name)> = news.collect();
        news.sort_by(|((a, ..), _), ((b, ..), _)| b.total_cmp(a));
        news.truncate(STATEMENTS_MAX);
        let mut statements = Vec::new();
        for ((_, percent, at), id) in news {
            let Some(server) = self.servers.get_mut(&id) else {
                continue;
            };
            server.sent = Some((percent, at));
            statements.push(Statement {
                server: id,
                incarnation: server.estimate.incarnation,
                percent,
                age_ms: now.saturating_sub(at),
            });
        }
        statements
    }

    fn take_lasting(&mut self, now: Millis) -> Vec<Lasting> {
        if now < self.lasting_sent_at + LASTING_INTERVAL_MS {
            return Vec::new();
        }
        self.lasting_sent_at = now;
        self.servers
            .retain(|_, server| now < server.reported_at + RETENTION_MS);
        let due = self.servers.iter_mut().filter_map(|(id, server)| {
            let lasting = server.lasting_news(now, id)?;
            Some((server, lasting))
        });
        let mut due: Vec<(&mut Server, Lasting)> = due.collect();
        // Those first that were sent longest ago or never.
        due.sort_by_key(|(server, _)| server.lasting_sent.as_ref().map(|(_, at)| *at));
        due.truncate(LASTING_MAX);
        let sent = due.into_iter().map(|(server, lasting)| {
            server.lasting_sent = Some((lasting.clone(), now));
            lasting
        });
        sent.collect()
    }

    /// A server, reported now; `None` if a later incarnation is known.
    fn server_mut(&mut self, now: Millis, id: &Name, incarnation: u64) -> Option<&mut Server> {
        let server = self.servers.entry(id.clone());
        let server = server.or_insert_with(|| Server::new(incarnation));
        if server.estimate.incarnation < incarnation {
            *server = Server::new(incarnation);
        }
        if server.estimate.incarnation > incarnation {
            return None;
        }
        server.reported_at = now;
        Some(server)
    }
}
