//! Engines: their announcements, commands to them, and reports asked of them.

use super::Controller;
use super::proposals::Purpose;
use crate::commander::{Ask, Body, Found, Op, Send};
use lovageplank_core::backend::{Announcement, LoadedReplica};
use lovageplank_core::ledger::{
    self, Action, CommandRecord, Engine, Observation, ObservedChanges, Phase,
};
use lovageplank_core::load::Source;
use lovageplank_core::membership::{Event, Member, Role};
use lovageplank_core::prelude::*;
use lovageplank_core::state::Command;
use lovageplank_core::view::ReplicaId;

/// Milliseconds after an unanswered send before the command is sent again.
const RESEND_MS: u64 = 1_000;

/// Milliseconds between reports asked of an engine on which something is going on.
const POLL_MS: u64 = 40;

/// Milliseconds for which an engine is asked for reports after it took a command on an adapter: a
/// replica serves an adapter once a report shows it.
const ADAPTING_MS: u64 = 500;

/// Milliseconds after which a poll without an answer is given up.
const POLL_LOST_MS: u64 = 3_000;

/// What is going on at engines; soft state of a leader.
#[derive(Debug, Default)]
pub(super) struct Work {
    /// Engines with news on its way through the log.
    pub(super) busy: BTreeSet<Name>,
    /// Commands by token: when the last send was made, and whether something is on its way.
    commands: BTreeMap<u64, Sending>,
    /// Polls on their way, with when they were sent.
    polls: BTreeMap<Name, Millis>,
    /// When each engine was last polled.
    polled: BTreeMap<Name, Millis>,
    /// Loads that were sent, for measuring how long they take.
    loads: BTreeMap<ReplicaId, (Millis, Source)>,
    /// Engines that should be asked for a report soon.
    wanted: BTreeSet<Name>,
    /// Engines that took a command on an adapter lately, with until when they are asked often.
    adapting: BTreeMap<Name, Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Sending {
    at: Millis,
    /// A send, or the record of its outcome, is on its way.
    busy: bool,
    answered: bool,
}

impl Work {
    /// A proposal about a command was applied or failed.
    pub(super) fn release(&mut self, token: u64) {
        if let Some(sending) = self.commands.get_mut(&token) {
            sending.busy = false;
        }
    }
}

impl Controller {
    /// A new leader grants each known engine a full lease.
    pub(super) fn grant_engines(&mut self, now: Millis) {
        let in_sight = self.machine.ledger.engines().filter(|e| !e.lost);
        let members: Vec<Member> = in_sight.map(member).collect();
        self.servers.grant_leases(now, members);
    }

    pub(super) fn expire_servers(&mut self, now: Millis) {
        let events = self.servers.tick(now);
        self.take_events(events);
    }

    pub(super) fn take_events(&mut self, events: Vec<Event>) {
        self.changed |= !events.is_empty();
        for event in events {
            match event {
                Event::Joined(member) => {
                    tracing::info!(event = "server_joined", peer = %member.id, incarnation = member.incarnation);
                    self.plan_now = true;
                }
                Event::Changed(member) => {
                    tracing::info!(event = "server_changed", peer = %member.id, state = ?member.state);
                }
                Event::Left { id, incarnation } | Event::Lost { id, incarnation } => {
                    tracing::warn!(event = "server_gone", peer = %id, incarnation);
                    self.announcements.remove(&id);
                    self.loads.remove(&id);
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

    pub(super) fn take_announcement(&mut self, now: Millis, announcement: Announcement) {
        // A member that is held back, or of an old incarnation, is not let into the ledger.
        let accepted = self.servers.member(&announcement.id);
        if accepted.is_none_or(|m| m.incarnation != announcement.incarnation) {
            return;
        }
        let id = announcement.id.clone();
        if self.engines.busy.contains(&id) {
            // What it says now would be lost until its next heartbeat.
            self.engines.wanted.insert(id.clone());
        } else if self.must_register(&announcement) {
            self.engines.busy.insert(id.clone());
            let command = Command::Register(Engine::from(&announcement));
            self.propose(&command, Purpose::Engine(id.clone()));
        } else if self.shows_news(&announcement, 0) {
            self.observe(&announcement, 0);
        } else if self.misses_replica(&announcement) {
            self.engines.wanted.insert(id.clone());
        }
        self.note_idle(now, &announcement);
        self.announcements.insert(id, announcement);
    }

    fn must_register(&self, announcement: &Announcement) -> bool {
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

    fn observe(&mut self, report: &Announcement, basis: u64) {
        self.engines.busy.insert(report.id.clone());
        let observation = Observation {
            engine: report.id.clone(),
            incarnation: report.incarnation,
            loaded: report.loaded.clone(),
            basis,
        };
        let command = Command::Ledger(Action::Observe(observation));
        self.propose(&command, Purpose::Engine(report.id.clone()));
    }

    /// Whether the ledger would learn anything from a report.
    fn shows_news(&self, report: &Announcement, basis: u64) -> bool {
        let Some(engine) = self.machine.ledger.engine(&report.id) else {
            return false;
        };
        if engine.incarnation != report.incarnation {
            return false;
        }
        let current = engine.last_removal_index == 0 || basis >= engine.last_removal_index;
        let news = |l: &LoadedReplica| match engine
            .replica_states
            .get(&(l.model.clone(), l.version.clone()))
        {
            None => current,
            Some(pair) => match pair.phase {
                Phase::Loading => {
                    !l.loading && (current || l.fencing_token >= pair.command.unwrap_or(u64::MAX))
                }
                Phase::Doubtful => true,
                Phase::Ready | Phase::Draining => pair.adapters != l.adapters,
                Phase::Unloading | Phase::Found => false,
            },
        };
        report.loaded.iter().any(news) || self.proves_absence(engine, report, basis)
    }

    /// Whether a report shows that a replica which the ledger counts is not there.
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
            .any(|(_, pair)| match pair.phase {
                Phase::Loading => answered(pair.command).is_some_and(|at| basis >= at),
                _ => basis > 0 && basis >= pair.min_report_basis,
            })
    }

    /// Whether a report lacks a replica that the ledger counts on the engine.
    fn misses_replica(&self, report: &Announcement) -> bool {
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

    /// Sends a command for the first time, or once more.
    pub(super) fn dispatch(&mut self, record: &CommandRecord) {
        let now = self.now();
        let Some(engine) = self.machine.ledger.engine(&record.replica.engine) else {
            return;
        };
        let memory_mb = self
            .machine
            .ledger
            .replica_state(&record.replica)
            .map_or(0, |pair| pair.memory_mb);
        let (op, adapter) = operation(&record.op);
        let send = Send {
            send: record.sends,
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
            let source = self.source(&record.replica);
            self.engines
                .loads
                .entry(record.replica.clone())
                .or_insert((now, source));
        }
        let queued = self.config.asks.try_send(Ask::Send(send)).is_ok();
        let sending = Sending {
            at: now,
            busy: queued,
            answered: false,
        };
        self.engines.commands.insert(record.token, sending);
    }

    fn source(&self, replica: &ReplicaId) -> Source {
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

    pub(super) fn take_found(&mut self, found: Found) {
        if self.leads_since.is_none() {
            return;
        }
        match found {
            Found::Sent {
                token,
                send,
                outcome,
            } => self.take_sent(token, send, outcome),
            Found::Report { basis, report } => self.take_polled(basis, *report),
        }
    }

    fn take_sent(&mut self, token: u64, send: u32, outcome: Option<ledger::Outcome>) {
        let now = self.now();
        let Some(sending) = self.engines.commands.get_mut(&token) else {
            return;
        };
        let Some(outcome) = outcome else {
            sending.busy = false;
            return;
        };
        sending.answered = outcome == ledger::Outcome::Accepted;
        if sending.answered
            && let Some(record) = self.machine.ledger.command_record(token)
            && matches!(record.op, ledger::Op::LoadAdapter(_))
        {
            let until = now + ADAPTING_MS;
            self.engines
                .adapting
                .insert(record.replica.engine.clone(), until);
        }
        let action = Action::Resolve {
            token,
            send,
            outcome,
        };
        self.propose(&Command::Ledger(action), Purpose::Command(token));
    }

    fn take_polled(&mut self, basis: u64, report: Announcement) {
        let now = self.now();
        self.engines.polls.remove(&report.id);
        if !self.engines.busy.contains(&report.id) && self.shows_news(&report, basis) {
            self.observe(&report, basis);
        }
        self.note_idle(now, &report);
        if let Some(last) = self.announcements.get_mut(&report.id)
            && last.incarnation == report.incarnation
        {
            *last = report;
        }
    }

    pub(super) fn take_observed(&mut self, observed: &ObservedChanges) {
        let now = self.now();
        for replica in &observed.ready {
            self.end_load(now, replica, true);
        }
        for replica in &observed.gone {
            self.end_load(now, replica, false);
        }
        for replica in &observed.found {
            tracing::warn!(event = "replica_found", peer = %replica.engine, model = %replica.model);
        }
        self.plan_now = true;
    }

    fn end_load(&mut self, now: Millis, replica: &ReplicaId, ok: bool) {
        let Some((since, source)) = self.engines.loads.remove(replica) else {
            return;
        };
        let took_ms = now.saturating_sub(since);
        tracing::info!(event = "load_ended", peer = %replica.engine, model = %replica.model, ok, took_ms);
        self.planner
            .observe_load(now, &replica.model, &replica.engine, source, took_ms, ok);
    }

    /// Sends unanswered commands again and asks for reports where something is going on.
    pub(super) fn work_on_engines(&mut self, now: Millis) {
        let ledger = &self.machine.ledger;
        let live: BTreeSet<u64> = ledger.unresolved().map(|r| r.token).collect();
        self.engines
            .commands
            .retain(|token, _| live.contains(token));
        let due = |record: &&CommandRecord| match self.engines.commands.get(&record.token) {
            None => true,
            Some(s) => !s.busy && !s.answered && now >= s.at + RESEND_MS,
        };
        let in_sight = |record: &&CommandRecord| {
            ledger
                .engine(&record.replica.engine)
                .is_some_and(|e| !e.lost)
        };
        let resend: Vec<u64> = ledger
            .unresolved()
            .filter(|r| r.answered_at.is_none())
            .filter(in_sight)
            .filter(due)
            .map(|r| r.token)
            .collect();
        for token in resend {
            let sending = Sending {
                at: now,
                busy: true,
                answered: false,
            };
            self.engines.commands.insert(token, sending);
            let command = Command::Ledger(Action::Resend { token });
            self.propose(&command, Purpose::Command(token));
        }
        self.poll(now);
    }

    fn poll(&mut self, now: Millis) {
        let ledger = &self.machine.ledger;
        let moving = ledger.unresolved().map(|r| r.replica.engine.clone());
        let draining = ledger
            .replica_states()
            .filter(|(_, pair)| matches!(pair.phase, Phase::Draining | Phase::Doubtful))
            .map(|(id, _)| id.engine);
        self.engines.adapting.retain(|_, until| now < *until);
        let adapting = self.engines.adapting.keys().cloned();
        let mut engines: BTreeSet<Name> = moving.chain(draining).chain(adapting).collect();
        engines.append(&mut self.engines.wanted);
        for engine in engines {
            self.poll_engine(now, &engine);
        }
    }

    fn poll_engine(&mut self, now: Millis, engine: &Name) {
        let Some(known) = self.machine.ledger.engine(engine).filter(|e| !e.lost) else {
            return;
        };
        let last = self.engines.polls.get(engine);
        if last.is_some_and(|at| now < at + POLL_LOST_MS) {
            return;
        }
        if self
            .engines
            .polled
            .get(engine)
            .is_some_and(|at| now < at + POLL_MS)
        {
            return;
        }
        let ask = Ask::Poll {
            engine: engine.clone(),
            address: known.address.clone(),
            basis: self.applied.0,
        };
        if self.config.asks.try_send(ask).is_ok() {
            self.engines.polls.insert(engine.clone(), now);
            self.engines.polled.insert(engine.clone(), now);
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
