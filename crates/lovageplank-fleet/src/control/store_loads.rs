//! Tells the other control processes which loads from the weight store are in progress.

use super::state::State;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::store::{Load, Loads, Record};
use lovageplank_core::prelude::*;

/// Milliseconds between two messages about the same loads, for processes that have come since.
const RESEND_MS: Millis = 1_000;

/// What this process was told of the loads, and has told others while it leads.
#[derive(Default)]
pub(super) struct StoreLoads {
    record: Record,
    /// Engine and model of each load that was told last.
    sent: Vec<(Name, Name)>,
    sent_at: Millis,
}

impl StoreLoads {
    /// Records what the leader tells.
    pub(super) fn update(&mut self, now: Millis, loads: Loads) {
        self.record.update(now, loads);
    }

    /// Returns the loads that should still be in progress.
    pub(super) fn in_progress(&self, now: Millis) -> Vec<Load> {
        self.record.in_progress(now)
    }

    /// Whether others are to be told of the loads: they have changed, or are to be told again.
    fn is_due(&mut self, now: Millis, loads: &[Load]) -> bool {
        let current = loads.iter().map(|l| (l.server.clone(), l.model.clone()));
        let current: Vec<(Name, Name)> = current.collect();
        let again = !current.is_empty() && now >= self.sent_at + RESEND_MS;
        if current == self.sent && !again {
            return false;
        }
        self.sent = current;
        self.sent_at = now;
        true
    }
}

impl State {
    /// Tells the other control processes of the planner's loads from the store, if that is due.
    pub(super) fn send_store_loads(&mut self, now: Millis) {
        let Some(planner) = &self.planner else {
            return;
        };
        let loads = Loads {
            term: self.term.0,
            loads: planner.store_loads(now),
        };
        if self.store_loads.is_due(now, &loads.loads) {
            self.store_loads.update(now, loads.clone());
            self.send_to_control_processes(&Message::StoreLoads(loads));
        }
    }
}
