//! Engines: handles their announcements and reports, sends commands to them, and polls them.

use super::Controller;
use super::proposals::Purpose;
use crate::engine_client::{Body, CommandSend, EngineRequest, EngineResponse, Op};
use lovageplank_core::backend::{Announcement, LoadedReplica};
use lovageplank_core::ledger::{
    self, Action, CommandRecord, Engine, Observation, ObservedChanges, Phase,
};
use lovageplank_core::load::Source;
use lovageplank_core::membership::{Event, Member, Role};
use lovageplank_core::prelude::*;
use lovageplank_core::state::Command;
use lovageplank_core::view::ReplicaId;

/// Milliseconds after a send without an outcome until the command is sent again.
const RESEND_INTERVAL_MS: u64 = 1_000;

/// Minimum milliseconds between polls of an engine.
const POLL_INTERVAL_MS: u64 = 40;

/// Milliseconds for which an engine is polled after it accepted an adapter load, because a replica
/// serves an adapter only once a report lists it. Beyond it, the next announcement may show it.
const ADAPTER_POLL_DURATION_MS: u64 = 500;

/// Milliseconds after which an engine is polled again although the last poll has no response: a
/// failed poll has none.
const POLL_TIMEOUT_MS: u64 = 3_000;

/// Commands, polls and proposals in flight for engines; soft state of a leader.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    /// Engines whose registration or observation is proposed and not yet applied. Until
    /// then, further changes of the engine aren't proposed.
    pub(super) proposed: BTreeSet<Name>,
    /// State of the last send of each command, by fencing token.
    commands: BTreeMap<u64, SendState>,
    /// Polls without a response, with the time of the request.
    polls_in_flight: BTreeMap<Name, Millis>,
    /// When each engine was last polled.
    last_polled: BTreeMap<Name, Millis>,
    /// Loads in progress, with the time of the first send and the source of the weights.
    load_starts: BTreeMap<ReplicaId, (Millis, Source)>,
    /// Engines to poll in the next iteration.
    poll_requests: BTreeSet<Name>,
    /// Engines that accepted an adapter load lately, with the time until which they are polled.
    adapter_polls: BTreeMap<Name, Millis>,
}

#[derive(Clone, Copy, Debug)]
struct SendState {
    sent_at: Millis,
    /// A send, or a proposal about the command, is in flight.
    in_flight: bool,
    accepted: bool,
}

impl Tracker {
    /// Handles the end of a proposal about a command: it was applied or failed.
    pub(super) fn clear_in_flight(&mut self, token: u64) {
        if let Some(send_state) = self.commands.get_mut(&token) {
            send_state.in_flight = false;
        }
    }
}

impl Controller {
    /// Grants a full lease to each engine that the ledger doesn't count as lost, as a new leader
    /// does.
    pub(super) fn grant_engine_leases(&mut self, now: Millis) {
        let not_lost = self.machine.ledger.engines().filter(|e| !e.lost);
        let members: Vec<Member> = not_lost.map(member).collect();
        self.servers.grant_leases(now, members);
    }

    pub(super) fn expire_servers(&mut self, now: Millis) {
        let events = self.servers.tick(now);
        self.handle_membership_events(events);
    }

    pub(super) fn handle_membership_events(&mut self, events: Vec<Event>) {
        self.view_changed |= !events.is_empty();
        for event in events {
            match event {
                Event::Joined(member) => {
                    tracing::info!(event = "server_joined", peer = %member.id, incarnation = member.incarnation);
                    self.plan_urgent = true;
                }
                Event::Changed(member) => {
                    tracing::info!(event = "server_changed", peer = %member.id, state = ?member.state);
                }
                Event::Left { id, incarnation } | Event::Lost { id, incarnation } => {
                    tracing::warn!(event = "server_gone", peer = %id, incarnation);
                    self.announcements.remove(&id);
                    self.server_loads.remove(&id);
                    let action = Action::Lost {
                        engine: id.clone(),
                        incarnation,
                    };
                    if self.machine.ledger.engine(&id).is_some() {
                        self.propose(&Command::Ledger(action), Purpose::Background);
                    }
                }
            }
        }
    }

    pub(super) fn handle_engine_announcement(&mut self, now: Millis, announcement: Announcement) {
        // An announcement that the membership table doesn't accept, of a member that is held back
        // or of an old incarnation, doesn't reach the ledger.
        let accepted = self.servers.member(&announcement.id);
        if accepted.is_none_or(|m| m.incarnation != announcement.incarnation) {
            return;
        }
        let id = announcement.id.clone();
        if self.engine_tracker.proposed.contains(&id) {
            // Another proposal for the engine is in flight. A poll soon reports its state again, so
            // that a change isn't delayed until the next announcement.
            self.engine_tracker.poll_requests.insert(id.clone());
        } else if self.needs_registration(&announcement) {
            self.engine_tracker.proposed.insert(id.clone());
            let command = Command::Register(Engine::from(&announcement));
            self.propose(&command, Purpose::Engine(id.clone()));
        } else if self.changes_ledger(&announcement, 0) {
            self.propose_observation(&announcement, 0);
        } else if self.lacks_replica(&announcement) {
            self.engine_tracker.poll_requests.insert(id.clone());
        }
        self.record_idle_drains(now, &announcement);
        self.announcements.insert(id, announcement);
    }

    fn needs_registration(&self, announcement: &Announcement) -> bool {
        let Some(known) = self.machine.ledger.engine(&announcement.id) else {
            return true;
        };
        known.incarnation < announcement.incarnation
            || known.incarnation == announcement.incarnation
                && (known.lost
                    || known.address != announcement.address
                    || known.failure_domain != announcement.failure_domain
                    || known.services != announcement.services)
    }

    fn propose_observation(&mut self, report: &Announcement, basis: u64) {
        self.engine_tracker.proposed.insert(report.id.clone());
        let observation = Observation {
            engine: report.id.clone(),
            incarnation: report.incarnation,
            loaded: report.loaded.clone(),
            basis,
        };
        let command = Command::Ledger(Action::Observe(observation));
        self.propose(&command, Purpose::Engine(report.id.clone()));
    }

    /// Whether applying a report would change the ledger.
    fn changes_ledger(&self, report: &Announcement, basis: u64) -> bool {
        let Some(engine) = self.machine.ledger.engine(&report.id) else {
            return false;
        };
        if engine.incarnation != report.incarnation {
            return false;
        }
        let current = engine.last_removal_index == 0 || basis >= engine.last_removal_index;
        let changes_replica = |l: &LoadedReplica| match engine
            .replica_states
            .get(&(l.model.clone(), l.version.clone()))
        {
            None => current,
            Some(replica_state) => match replica_state.phase {
                Phase::Loading => {
                    !l.loading
                        && (current || l.fencing_token >= replica_state.command.unwrap_or(u64::MAX))
                }
                Phase::Doubtful => true,
                Phase::Ready | Phase::Draining => replica_state.adapters != l.adapters,
                Phase::Unloading | Phase::Found => false,
            },
        };
        report.loaded.iter().any(changes_replica) || self.proves_absence(engine, report, basis)
    }

    /// Whether a report proves that a replica in the ledger is absent from the engine.
    fn proves_absence(&self, engine: &Engine, report: &Announcement, basis: u64) -> bool {
        let listed = |model: &Name, version: &Name| {
            report
                .loaded
                .iter()
                .any(|l| l.model == *model && l.version == *version)
        };
        let answered = |token: Option<u64>| {
            let record = token.and_then(|token| self.machine.ledger.command_record(token));
            record.and_then(|r| r.answered_at)
        };
        engine
            .replica_states
            .iter()
            .filter(|((m, v), _)| !listed(m, v))
            .any(|(_, replica_state)| match replica_state.phase {
                Phase::Loading => answered(replica_state.command).is_some_and(|at| basis >= at),
                _ => basis > 0 && basis >= replica_state.min_report_basis,
            })
    }

    /// Whether a report omits a replica that the ledger records on the engine.
    fn lacks_replica(&self, report: &Announcement) -> bool {
        let Some(engine) = self.machine.ledger.engine(&report.id) else {
            return false;
        };
        let listed = |model: &Name, version: &Name| {
            report
                .loaded
                .iter()
                .any(|l| l.model == *model && l.version == *version)
        };
        engine
            .replica_states
            .keys()
            .any(|(model, version)| !listed(model, version))
    }

    /// Sends a command under the send number in its record.
    pub(super) fn dispatch_command(&mut self, record: &CommandRecord) {
        let now = self.now();
        let Some(engine) = self.machine.ledger.engine(&record.replica.engine) else {
            return;
        };
        let memory_mb = self
            .machine
            .ledger
            .replica_state(&record.replica)
            .map_or(0, |replica_state| replica_state.memory_mb);
        let (op, adapter) = operation(&record.op);
        let command = CommandSend {
            send_number: record.sends,
            engine: record.replica.engine.clone(),
            incarnation: record.incarnation,
            address: engine.address.clone(),
            body: Body {
                command_id: format!("{}", record.token),
                fencing_token: record.token,
                op,
                model: record.replica.model.clone(),
                version: record.replica.version.clone(),
                adapter,
                memory_mb,
            },
        };
        if op == Op::Load {
            let source = self.weight_source(&record.replica);
            self.engine_tracker
                .load_starts
                .entry(record.replica.clone())
                .or_insert((now, source));
        }
        let queued = self
            .config
            .engine_requests
            .try_send(EngineRequest::Send(command))
            .is_ok();
        let send_state = SendState {
            sent_at: now,
            in_flight: queued,
            accepted: false,
        };
        self.engine_tracker
            .commands
            .insert(record.token, send_state);
    }

    fn weight_source(&self, replica: &ReplicaId) -> Source {
        let Some(announcement) = self.announcements.get(&replica.engine) else {
            return Source::Store;
        };
        if announcement.cached.memory.contains(&replica.model) {
            Source::Memory
        } else if announcement.cached.disk.contains(&replica.model) {
            Source::Disk
        } else {
            Source::Store
        }
    }

    pub(super) fn handle_engine_response(&mut self, response: EngineResponse) {
        if self.leading_since.is_none() {
            return;
        }
        match response {
            EngineResponse::Sent {
                token,
                send,
                outcome,
            } => self.handle_send_outcome(token, send, outcome),
            EngineResponse::Report { basis, report } => self.handle_poll_report(basis, *report),
        }
    }

    fn handle_send_outcome(&mut self, token: u64, send: u32, outcome: Option<ledger::Outcome>) {
        let now = self.now();
        let Some(send_state) = self.engine_tracker.commands.get_mut(&token) else {
            return;
        };
        let Some(outcome) = outcome else {
            send_state.in_flight = false;
            return;
        };
        send_state.accepted = outcome == ledger::Outcome::Accepted;
        if send_state.accepted
            && let Some(record) = self.machine.ledger.command_record(token)
            && matches!(record.op, ledger::Op::LoadAdapter(_))
        {
            let until = now + ADAPTER_POLL_DURATION_MS;
            self.engine_tracker
                .adapter_polls
                .insert(record.replica.engine.clone(), until);
        }
        let action = Action::Resolve {
            token,
            send,
            outcome,
        };
        self.propose(&Command::Ledger(action), Purpose::Command(token));
    }

    fn handle_poll_report(&mut self, basis: u64, report: Announcement) {
        let now = self.now();
        self.engine_tracker.polls_in_flight.remove(&report.id);
        if !self.engine_tracker.proposed.contains(&report.id) && self.changes_ledger(&report, basis)
        {
            self.propose_observation(&report, basis);
        }
        self.record_idle_drains(now, &report);
        if let Some(last) = self.announcements.get_mut(&report.id)
            && last.incarnation == report.incarnation
        {
            *last = report;
        }
    }

    pub(super) fn handle_observed_changes(&mut self, observed: &ObservedChanges) {
        let now = self.now();
        for replica in &observed.ready {
            self.finish_load(now, replica, true);
        }
        for replica in &observed.gone {
            self.finish_load(now, replica, false);
        }
        for replica in &observed.found {
            tracing::warn!(event = "replica_found", peer = %replica.engine, model = %replica.model);
        }
        self.plan_urgent = true;
    }

    fn finish_load(&mut self, now: Millis, replica: &ReplicaId, ok: bool) {
        let Some((since, source)) = self.engine_tracker.load_starts.remove(replica) else {
            return;
        };
        let took_ms = now.saturating_sub(since);
        tracing::info!(event = "load_ended", peer = %replica.engine, model = %replica.model, ok, took_ms);
        self.planner
            .observe_load(now, &replica.model, &replica.engine, source, took_ms, ok);
    }

    /// Proposes to resend commands without an outcome, and polls engines.
    pub(super) fn resend_and_poll(&mut self, now: Millis) {
        let ledger = &self.machine.ledger;
        let unresolved: BTreeSet<u64> = ledger.unresolved().map(|r| r.token).collect();
        self.engine_tracker
            .commands
            .retain(|token, _| unresolved.contains(token));
        let due = |record: &&CommandRecord| match self.engine_tracker.commands.get(&record.token) {
            None => true,
            Some(s) => !s.in_flight && !s.accepted && now >= s.sent_at + RESEND_INTERVAL_MS,
        };
        let not_lost = |record: &&CommandRecord| {
            ledger
                .engine(&record.replica.engine)
                .is_some_and(|e| !e.lost)
        };
        let resend: Vec<u64> = ledger
            .unresolved()
            .filter(|r| r.answered_at.is_none())
            .filter(not_lost)
            .filter(due)
            .map(|r| r.token)
            .collect();
        for token in resend {
            let send_state = SendState {
                sent_at: now,
                in_flight: true,
                accepted: false,
            };
            self.engine_tracker.commands.insert(token, send_state);
            let command = Command::Ledger(Action::Resend { token });
            self.propose(&command, Purpose::Command(token));
        }
        self.poll(now);
    }

    fn poll(&mut self, now: Millis) {
        let ledger = &self.machine.ledger;
        let with_commands = ledger.unresolved().map(|r| r.replica.engine.clone());
        let draining = ledger
            .replica_states()
            .filter(|(_, replica_state)| {
                matches!(replica_state.phase, Phase::Draining | Phase::Doubtful)
            })
            .map(|(id, _)| id.engine);
        self.engine_tracker
            .adapter_polls
            .retain(|_, until| now < *until);
        let adapting = self.engine_tracker.adapter_polls.keys().cloned();
        let mut engines: BTreeSet<Name> = with_commands.chain(draining).chain(adapting).collect();
        engines.append(&mut self.engine_tracker.poll_requests);
        for engine in engines {
            self.poll_engine(now, &engine);
        }
    }

    fn poll_engine(&mut self, now: Millis, engine: &Name) {
        let Some(known) = self.machine.ledger.engine(engine).filter(|e| !e.lost) else {
            return;
        };
        let last = self.engine_tracker.polls_in_flight.get(engine);
        if last.is_some_and(|at| now < at + POLL_TIMEOUT_MS) {
            return;
        }
        if self
            .engine_tracker
            .last_polled
            .get(engine)
            .is_some_and(|at| now < at + POLL_INTERVAL_MS)
        {
            return;
        }
        let request = EngineRequest::Poll {
            engine: engine.clone(),
            address: known.address.clone(),
            basis: self.applied_index.0,
        };
        if self.config.engine_requests.try_send(request).is_ok() {
            self.engine_tracker
                .polls_in_flight
                .insert(engine.clone(), now);
            self.engine_tracker.last_polled.insert(engine.clone(), now);
        }
    }
}

fn operation(op: &ledger::Op) -> (Op, Option<Name>) {
    match op {
        ledger::Op::Load => (Op::Load, None),
        ledger::Op::Unload => (Op::Unload, None),
        ledger::Op::LoadAdapter(adapter) => (Op::LoadAdapter, Some(adapter.clone())),
        ledger::Op::UnloadAdapter(adapter) => (Op::UnloadAdapter, Some(adapter.clone())),
    }
}

fn member(engine: &Engine) -> Member {
    Member {
        id: engine.id.clone(),
        incarnation: engine.incarnation,
        role: Role::Engine,
        address: engine.address.clone(),
        failure_domain: engine.failure_domain.clone(),
        services: engine.services.clone(),
        state: lovageplank_core::backend::State::Ready,
    }
}
