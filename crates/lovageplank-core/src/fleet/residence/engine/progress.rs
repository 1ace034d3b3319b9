//! What an engine's reports and answers say about its orders.

use super::super::order::{Answer, Op, Order};
use super::{ADAPTER_MS, Engine, Report};
use crate::prelude::*;

/// Milliseconds by which a report may lag behind the engine's state.
const REPORT_LAG_MS: Millis = 400;
/// Milliseconds after an unload was accepted until the next order.
const UNLOADED_MS: Millis = 25;
/// Milliseconds for which an engine that refused an order is left alone.
const REFUSED_MS: Millis = 1_500;

impl Engine {
    pub(in super::super) fn reported(&mut self, now: Millis, report: &Report) {
        if report.born_ms != self.born_ms {
            return;
        }
        self.heard_at = now;
        self.reported = true;
        if self.orders.is_some_and(|known| report.orders < known) {
            return;
        }
        if let Some(copies) = &report.copies {
            self.copies = copies.clone();
        }
        if report.busy && self.open.is_none() {
            // Somebody else's order is in progress: what it leaves is known when it is over.
            self.orders = None;
            return;
        }
        let advanced = self.orders != Some(report.orders);
        self.orders = Some(report.orders);
        if self.open.as_ref().is_some_and(|o| !o.accepted) && advanced {
            // The order was accepted although its answer was lost, or an older one was.
            if let Some(open) = &mut self.open {
                open.accepted = true;
            }
        }
        if report.busy {
            return;
        }
        let waits_for_answer = self.open.as_ref().is_some_and(|o| !o.accepted);
        self.set_held(now, &report.held);
        for (model, adapter) in &report.coming {
            if let Some(holds) = self.held.get_mut(model) {
                holds.adapters.insert(adapter.clone(), now + ADAPTER_MS);
            }
        }
        self.stale = self.held.values().any(|h| !h.leaving.is_empty());
        if !waits_for_answer {
            self.close(now);
        }
    }

    pub(in super::super) fn answered(&mut self, now: Millis, order: &Order, answer: Answer) {
        if order.born_ms != self.born_ms {
            return;
        }
        let Some(open) = self.open.as_mut().filter(|o| o.order == *order) else {
            return;
        };
        open.in_flight = false;
        match answer {
            Answer::Accepted => {
                open.accepted = true;
                self.orders = self.orders.max(Some(order.expected + 1));
                self.accepted(now, &order.op);
            }
            Answer::Holds => {
                // An adapter that no request uses goes at once, and that counts as an order.
                if matches!(order.op, Op::UnloadAdapter(..)) {
                    self.orders = self.orders.max(Some(order.expected + 1));
                }
                self.carried_out(now, &order.op);
                self.close(now);
            }
            Answer::Conflict => {
                self.open = None;
                self.orders = None;
                self.report_from = now + REPORT_LAG_MS;
            }
            Answer::Refused => {
                self.open = None;
                self.goal = None;
                self.stale = true;
                self.not_before = now + REFUSED_MS;
            }
            Answer::Unknown => {}
        }
    }

    /// Orders of adapters take effect at once; loads and unloads of models with a later report.
    fn accepted(&mut self, now: Millis, op: &Op) {
        match op {
            Op::LoadAdapter(..) => {
                self.carried_out(now, op);
                self.close(now);
            }
            Op::UnloadAdapter(model, adapter) => {
                if let Some(holds) = self.held.get_mut(model) {
                    holds.leaving.insert(adapter.clone());
                }
                self.report_from = now + REPORT_LAG_MS;
                self.stale = true;
                self.close(now);
            }
            // Nothing ran, so it is over at once; until it is, the engine refuses another order.
            Op::Unload(model) if self.running(model) == 0 => {
                self.carried_out(now, op);
                self.not_before = now + UNLOADED_MS;
                self.close(now);
            }
            Op::Load(_) | Op::Unload(_) => {}
        }
    }

    fn carried_out(&mut self, now: Millis, op: &Op) {
        match op {
            Op::Load(model) => {
                let holds = self.held.entry(model.clone()).or_default();
                holds.used_at = now;
            }
            Op::Unload(model) => {
                self.held.remove(model);
            }
            Op::LoadAdapter(model, adapter) => {
                if let Some(holds) = self.held.get_mut(model) {
                    holds.adapters.insert(adapter.clone(), now + ADAPTER_MS);
                }
            }
            Op::UnloadAdapter(model, adapter) => {
                if let Some(holds) = self.held.get_mut(model) {
                    holds.adapters.remove(adapter);
                }
            }
        }
    }

    /// The open order is over.
    fn close(&mut self, now: Millis) {
        self.changed_at = now;
        self.open = None;
        let reached = self
            .goal
            .as_ref()
            .is_some_and(|g| self.held.contains_key(&g.model));
        if reached {
            self.goal = None;
        }
    }

    /// The open order once more, if it has been without an answer for long.
    pub(in super::super) fn resend(&mut self, now: Millis, after_ms: Millis) -> Option<Order> {
        let open = self.open.as_mut()?;
        if open.accepted || open.in_flight || now < open.sent_at + after_ms {
            return None;
        }
        open.sent_at = now;
        open.in_flight = true;
        Some(open.order.clone())
    }
}
