//! Sends routers how many requests all of them have at each server, when models are expected to be loaded, how fast
//! servers work, and what servers have stated.

use super::state::State;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::server_limit::Statement;
use lovageplank_core::fleet::speed::{Collector, Lasting, Report};
use lovageplank_core::fleet::totals::{PROTOCOL, Sent};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;

/// Broadcasts of totals in which expected loads are sent once. At hundreds of models that requests wait for they
/// are larger than the totals.
const WAITS_INTERVALS: u64 = 2;

/// What the routers that know differences were told in this term.
#[derive(Debug, Default)]
pub(super) struct Totals {
    sent: Sent,
    speeds: Collector,
    /// Broadcasts so far.
    count: u64,
}

impl State {
    /// Broadcasts the totals, if this process is the leader: what has changed to routers that know such messages,
    /// everything to others.
    pub(super) fn send_totals(&mut self, now: Millis) {
        let server_limits = self.server_limit_statements(now);
        let Some(planner) = &self.planner else {
            return;
        };
        let requests = planner.totals(now);
        let store_wait_ms = planner.store_wait_ms(now);
        let waits_due = self.totals.count.is_multiple_of(WAITS_INTERVALS);
        let changed = Message::TotalsChanged {
            requests: self.totals.sent.changes(&requests),
            store_wait_ms,
            expected_waits: waits_due.then(|| planner.expected_waits()),
            server_limits: server_limits.clone(),
        };
        self.totals.count += 1;
        self.routers.broadcast(changed);
        let all = || Message::Totals {
            requests,
            store_wait_ms,
            expected_waits: planner.expected_waits(),
            server_limits,
        };
        self.routers.send_lazily(all, |link| !link.knows(PROTOCOL));
        self.send_speeds(now);
    }

    /// Broadcasts how fast servers work, and tells the planner.
    fn send_speeds(&mut self, now: Millis) {
        let speeds = &mut self.totals.speeds;
        let (Some(planner), Some(relay)) = (&mut self.planner, speeds.take_relay(now)) else {
            return;
        };
        for Lasting {
            server,
            incarnation,
            ..
        } in &relay.lasting
        {
            let slowness = speeds.lasting(server, *incarnation);
            planner.update_slowness(server, *incarnation, slowness);
        }
        self.routers.broadcast(Message::ServerSpeeds(relay));
    }

    /// Records how fast servers work by the report of a router, if this process is the leader.
    pub(super) fn speeds_reported(&mut self, report: &Report) {
        if self.planner.is_some() {
            let now = clock::boottime_ms();
            self.totals.speeds.reported(now, report);
        }
    }

    /// What a router needs whose link has come up, before it gets changes; `None` if this process doesn't lead.
    pub(super) fn all_totals(&self, now: Millis) -> Option<Message> {
        let planner = self.planner.as_ref()?;
        Some(Message::Totals {
            requests: self.totals.sent.all(),
            store_wait_ms: planner.store_wait_ms(now),
            expected_waits: planner.expected_waits(),
            server_limits: Vec::new(),
        })
    }

    /// Tells all routers in a new term that it begins without requests; what they have is reported anew.
    pub(super) fn begin_totals(&mut self, now: Millis) {
        self.totals = Totals::default();
        if let Some(all) = self.all_totals(now) {
            self.routers.broadcast(all);
        }
    }

    fn server_limit_statements(&mut self, now: Millis) -> Vec<Statement> {
        let permits = self.server_permits.as_mut();
        permits.map_or_else(Vec::new, |permits| permits.statements(now))
    }
}
