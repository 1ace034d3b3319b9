//! What an engine's reports and answers say about its commands.

use super::super::command::{Answer, Command, Op};
use super::{ADAPTER_MS, Engine, Report};
use crate::prelude::*;

/// Milliseconds by which a report may lag behind the engine's state.
const REPORT_LAG_MS: Millis = 400;
/// Milliseconds after an unload was accepted until the next command.
const UNLOADED_MS: Millis = 40;
/// Milliseconds after an unload was accepted for which the next command is just sent again when it
/// meets a conflict.
const UNLOADING_MS: Millis = 200;
/// Milliseconds for which an engine that refused a command is left alone.
const REFUSED_MS: Millis = 1_500;

impl Engine {
    pub(in super::super) fn reported(&mut self, now: Millis, report: &Report) {
        if report.born_ms != self.born_ms {
            return;
        }
        self.heard_at = now;
        self.reported = true;
        if self.commands.is_some_and(|known| report.commands < known) {
            return;
        }
        if let Some(copies) = &report.copies {
            self.copies = copies.clone();
        }
        let foreign = report.busy && self.open.is_none();
        self.busy_since = foreign.then(|| self.busy_since.unwrap_or(now));
        if foreign {
            // Somebody else's command is in progress: what it leaves is known when it is over.
            self.commands = None;
            return;
        }
        let advanced = self.commands != Some(report.commands);
        self.commands = Some(report.commands);
        if self.open.as_ref().is_some_and(|o| !o.accepted) && advanced {
            // The command was accepted although its answer was lost, or an older one was.
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

    pub(in super::super) fn answered(&mut self, now: Millis, command: &Command, answer: Answer) {
        if command.born_ms != self.born_ms {
            return;
        }
        let Some(open) = self.open.as_mut().filter(|o| o.command == *command) else {
            return;
        };
        open.in_flight = false;
        match answer {
            Answer::Accepted => {
                open.accepted = true;
                self.commands = self.commands.max(Some(command.expected + 1));
                self.accepted(now, &command.op);
            }
            Answer::Holds => {
                // An adapter that no request uses goes at once, and that counts as a command.
                if matches!(command.op, Op::UnloadAdapter(..)) {
                    self.commands = self.commands.max(Some(command.expected + 1));
                }
                self.carried_out(now, &command.op);
                self.close(now);
            }
            // The expected number still tells whether somebody else's command came between.
            Answer::Conflict if now < self.unloads_until => {
                self.open = None;
                self.not_before = now + UNLOADED_MS;
            }
            Answer::Conflict => {
                self.open = None;
                self.commands = None;
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

    /// Commands of adapters take effect at once; loads and unloads of models with a later report.
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
            // Nothing ran, so it is over at once; until it is, the engine refuses another command.
            Op::Unload(model) if self.running(model) == 0 => {
                self.carried_out(now, op);
                self.not_before = now + UNLOADED_MS;
                self.unloads_until = now + UNLOADING_MS;
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

    /// The open command is over.
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

    /// The open command once more, if it has been without an answer for long.
    pub(in super::super) fn resend(&mut self, now: Millis, after_ms: Millis) -> Option<Command> {
        let open = self.open.as_mut()?;
        if open.accepted || open.in_flight || now < open.sent_at + after_ms {
            return None;
        }
        open.sent_at = now;
        open.in_flight = true;
        Some(open.command.clone())
    }
}
