//! Applies the reports of an engine, and its answers to commands, to the planner's state of the
//! engine: its loaded models and its outstanding command.

use super::super::command::{Answer, Command, Op};
use super::{ADAPTER_USABLE_AFTER_MS, Engine, LoadEnd, Report};
use crate::prelude::*;

/// Milliseconds by which a report may lag behind the state of the engine. After an answer that
/// makes a report necessary, the report is requested only this much later.
const REPORT_LAG_MS: Millis = 400;
/// Milliseconds between the acceptance of an unload, or a conflict with it, and the next command.
const PAUSE_AFTER_UNLOAD_MS: Millis = 40;
/// Milliseconds after the acceptance of an unload for which a conflict is taken to mean that the
/// unload is still in progress: the next command is then sent again without a report. Beyond that a
/// report is requested first.
const UNLOAD_CONFLICT_MS: Millis = 200;
/// Milliseconds between the specified end of a load of cached weights and the time from which the
/// model counts as loaded.
const LOAD_END_SLACK_MS: Millis = 10;
/// Milliseconds for which an engine that refused a command gets no other one.
const REFUSED_BACKOFF_MS: Millis = 1_500;

impl Engine {
    pub(in super::super) fn apply_report(&mut self, now: Millis, report: &Report) {
        if report.incarnation != self.incarnation {
            return;
        }
        self.last_contact_at = now;
        self.reported = true;
        self.poll_awaited_until = 0;
        if self
            .accepted_commands
            .is_some_and(|known| report.accepted_commands < known)
        {
            return;
        }
        if let Some(cached_weights) = &report.cached_weights {
            self.cached_weights = cached_weights.clone();
        }
        self.check_assumed_load(report);
        let other_leader_command = report.busy && self.outstanding_command.is_none();
        self.other_leader_command_since =
            other_leader_command.then(|| self.other_leader_command_since.unwrap_or(now));
        if other_leader_command {
            // Another leader's command is in progress: its result is known when it has ended.
            self.accepted_commands = None;
            return;
        }
        let advanced = self.accepted_commands != Some(report.accepted_commands);
        self.accepted_commands = Some(report.accepted_commands);
        if self
            .outstanding_command
            .as_ref()
            .is_some_and(|outstanding| !outstanding.accepted)
            && advanced
        {
            // The engine has accepted a command whose answer has not arrived. If it is this one,
            // `accepted` is right. If it is an older one, the engine refuses this one, because its
            // `expected` number is outdated. `accepted` is set in both cases, so that this command
            // is not sent again and no answer to it is awaited.
            if let Some(outstanding_command) = &mut self.outstanding_command {
                outstanding_command.accepted = true;
                // The model may have been loaded by the older command.
                outstanding_command.size = None;
            }
        }
        if report.busy {
            return;
        }
        // Whether it is still unknown if the engine has accepted the outstanding command.
        let awaits_answer = self
            .outstanding_command
            .as_ref()
            .is_some_and(|outstanding| !outstanding.accepted);
        self.set_loaded(now, &report.loaded);
        for (model, adapter) in &report.loading_adapters {
            if let Some(model_state) = self.loaded.get_mut(model) {
                model_state
                    .adapters
                    .insert(adapter.clone(), now + ADAPTER_USABLE_AFTER_MS);
            }
        }
        self.stale = self
            .loaded
            .values()
            .any(|model| !model.unloading.is_empty());
        if !awaits_answer {
            self.close(now);
        }
    }

    /// When the outstanding command may be assumed to have ended: a load of cached weights lasts as
    /// long as its specification says, and a report shows its end only [`REPORT_LAG_MS`] later.
    /// `None` for other commands, and if such a load has lasted longer before.
    pub(in super::super) fn assumed_end_at(&self) -> Option<Millis> {
        let outstanding_command = self.outstanding_command.as_ref()?;
        let cached = self.pending_load.as_ref()?.concurrent_store_loads.is_none();
        let loads = matches!(outstanding_command.command.op, Op::Load(_));
        let assumed =
            loads && cached && outstanding_command.accepted && self.load_end != LoadEnd::Reported;
        assumed.then(|| outstanding_command.expected_end_at + LOAD_END_SLACK_MS)
    }

    /// Counts the model of a load as loaded once [`Engine::assumed_end_at`] has come. A later report
    /// shows whether this was right; the engine refuses commands that come too early.
    pub(in super::super) fn assume_load_ended(&mut self, now: Millis) {
        if self.assumed_end_at().is_none_or(|at| now < at) {
            return;
        }
        let Some(outstanding_command) = &self.outstanding_command else {
            return;
        };
        let op = outstanding_command.command.op.clone();
        self.apply_command(now, &op);
        self.close(now);
        self.load_end = LoadEnd::Assumed(op.model().clone());
        self.stale = true;
        self.report_valid_from = now + REPORT_LAG_MS;
    }

    /// Compares the load that was assumed to have ended with a report.
    fn check_assumed_load(&mut self, report: &Report) {
        let LoadEnd::Assumed(model) = &self.load_end else {
            return;
        };
        let later_commands = self.accepted_commands != Some(report.accepted_commands);
        let loaded = report.loaded.iter().any(|l| l.model == *model);
        let overrun = !loaded && !later_commands && self.loaded.contains_key(model);
        self.load_end = if overrun {
            LoadEnd::Reported
        } else {
            LoadEnd::Specified
        };
    }

    pub(in super::super) fn command_answered(
        &mut self,
        now: Millis,
        command: &Command,
        answer: Answer,
    ) {
        if command.incarnation != self.incarnation {
            return;
        }
        let Some(outstanding_command) = self
            .outstanding_command
            .as_mut()
            .filter(|outstanding| outstanding.command == *command)
        else {
            return;
        };
        outstanding_command.in_flight = false;
        match answer {
            Answer::Accepted => {
                outstanding_command.accepted = true;
                outstanding_command.expected_end_at = now + outstanding_command.duration_ms;
                self.accepted_commands = self.accepted_commands.max(Some(command.expected + 1));
                self.command_accepted(now, &command.op);
            }
            Answer::Holds => {
                // An engine also answers `Holds` when it has unloaded an adapter at once because no
                // request used it. It counts that command as accepted.
                if matches!(command.op, Op::UnloadAdapter(..)) {
                    self.accepted_commands = self.accepted_commands.max(Some(command.expected + 1));
                }
                // It isn't known by which command the model was loaded.
                outstanding_command.size = None;
                self.apply_command(now, &command.op);
                self.close(now);
            }
            // The next command needs no report first: if the engine has accepted another leader's
            // command since, it refuses the next one because its `expected` number is outdated.
            Answer::Conflict if now < self.unload_conflict_until => {
                self.outstanding_command = None;
                self.no_command_before = now + PAUSE_AFTER_UNLOAD_MS;
            }
            Answer::Conflict => {
                self.outstanding_command = None;
                self.accepted_commands = None;
                self.report_valid_from = now + REPORT_LAG_MS;
            }
            Answer::Refused => {
                self.outstanding_command = None;
                self.pending_load = None;
                self.stale = true;
                self.no_command_before = now + REFUSED_BACKOFF_MS;
            }
            Answer::Unknown => {}
        }
    }

    /// Applies the acceptance of a command. Loads of adapters take effect at once, as do unloads of
    /// models without running requests; all others take effect with a later report.
    fn command_accepted(&mut self, now: Millis, op: &Op) {
        match op {
            Op::LoadAdapter(..) => {
                self.apply_command(now, op);
                self.close(now);
            }
            Op::UnloadAdapter(model, adapter) => {
                if let Some(model_state) = self.loaded.get_mut(model) {
                    model_state.unloading.insert(adapter.clone());
                }
                self.report_valid_from = now + REPORT_LAG_MS;
                self.stale = true;
                self.close(now);
            }
            // No request was running, so the unload ends almost at once; until then the engine
            // refuses other commands.
            Op::Unload(model) if self.running(model) == 0 => {
                self.apply_command(now, op);
                self.no_command_before = now + PAUSE_AFTER_UNLOAD_MS;
                self.unload_conflict_until = now + UNLOAD_CONFLICT_MS;
                self.close(now);
            }
            Op::Load(_) | Op::Unload(_) => {}
        }
    }

    fn apply_command(&mut self, now: Millis, op: &Op) {
        match op {
            Op::Load(model) => {
                let size = self.ordered_size(model);
                let model_state = self.loaded.entry(model.clone()).or_default();
                model_state.loaded_at = now;
                model_state.used_at = now;
                model_state.size = size;
            }
            Op::Unload(model) => {
                self.loaded.remove(model);
            }
            Op::LoadAdapter(model, adapter) => {
                if let Some(model_state) = self.loaded.get_mut(model) {
                    model_state
                        .adapters
                        .insert(adapter.clone(), now + ADAPTER_USABLE_AFTER_MS);
                }
            }
            Op::UnloadAdapter(model, adapter) => {
                if let Some(model_state) = self.loaded.get_mut(model) {
                    model_state.adapters.remove(adapter);
                }
            }
        }
    }

    /// Records that the outstanding command has ended, and drops the pending load if its model is
    /// loaded.
    fn close(&mut self, now: Millis) {
        self.last_command_ended_at = now;
        self.outstanding_command = None;
        // Whether the model of the pending load is loaded.
        let reached = self
            .pending_load
            .as_ref()
            .is_some_and(|g| self.loaded.contains_key(&g.model));
        if reached {
            self.pending_load = None;
        }
    }

    /// Gives up the outstanding command, which may have arrived. A report shows whether it has.
    pub(in super::super) fn give_up_command(&mut self) {
        self.outstanding_command = None;
        self.accepted_commands = None;
    }

    /// Returns the outstanding command for another attempt, if there was no answer and it was sent
    /// at least `after_ms` ago.
    pub(in super::super) fn resend(&mut self, now: Millis, after_ms: Millis) -> Option<Command> {
        let outstanding_command = self.outstanding_command.as_mut()?;
        if outstanding_command.accepted
            || outstanding_command.in_flight
            || now < outstanding_command.sent_at + after_ms
        {
            return None;
        }
        outstanding_command.sent_at = now;
        outstanding_command.in_flight = true;
        Some(outstanding_command.command.clone())
    }
}
