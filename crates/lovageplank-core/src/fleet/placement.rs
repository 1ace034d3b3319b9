//! Which engine loads and unloads which model and adapter.
//!
//! Engines hold few of many models. The planner brings in what requests wait for, prefers engines
//! that still have a copy of the weights, and evicts only to make room. It is driven by one
//! instance, the leader; everything it believes comes from engines' reports and from demand that
//! the entry instances tell, so a new leader needs nothing of the last one.
//!
//! Each command names the number of commands that its engine has accepted. A command that is carried
//! out late, after others, therefore does nothing, and what an engine holds is known exactly
//! whenever a command is accepted.

mod adapters;
mod command;
mod engine;
mod models;
mod rate;
mod store_limiter;

pub use command::{Answer, Command, Op};
pub use engine::Report;

use super::deployment::Deployment;
use super::message::{Demand, LoadedModels, RequestedModel, RunningRequests};
use super::registry::{Announcement, Stage};
use crate::prelude::*;
use engine::Engine;
use rate::ArrivalRate;
use store_limiter::StoreLimiter;

/// Milliseconds after which a command without an answer is sent again.
const COMMAND_RESEND_MS: Millis = 1_200;
/// Milliseconds of an engine's silence after which nothing is commanded from it.
const MAX_SILENCE_MS: Millis = 4_000;
/// Milliseconds between two reports asked of an engine with a command in progress.
const REPORT_POLL_MS: Millis = 120;
/// Milliseconds for which demand that an entry instance told counts without being told again.
const LOAD_REPORT_TTL_MS: Millis = 1_500;

/// How commands are limited.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Window of the store's ceiling, in milliseconds.
    pub window_ms: u64,
    /// Loads from the store that run at once at the most.
    pub max_concurrent_loads: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            window_ms: 5_000,
            max_concurrent_loads: 4,
        }
    }
}

/// What one entry instance told last.
#[derive(Clone, Debug, Default)]
struct LoadReport {
    at: Millis,
    running: Vec<RunningRequests>,
    demand: Vec<Demand>,
}

/// Plans the commands to all engines; see the module's text.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Nothing is commanded before; an earlier leader's commands may still arrive.
    start_at: Millis,
    engines: BTreeMap<Name, Engine>,
    load_reports: BTreeMap<Name, LoadReport>,
    rates: BTreeMap<(Name, Name), ArrivalRate>,
    store_limiter: StoreLimiter,
}

impl Planner {
    /// A planner that commands nothing before `from`.
    pub fn new(limits: Limits, start_at: Millis) -> Planner {
        Planner {
            start_at,
            engines: BTreeMap::new(),
            load_reports: BTreeMap::new(),
            rates: BTreeMap::new(),
            store_limiter: StoreLimiter::new(limits),
        }
    }

    /// A backend server announced itself; those that aren't engines are ignored by `decide`.
    pub fn observe(&mut self, now: Millis, announcement: &Announcement) {
        let known = self.engines.get(&announcement.id);
        if known.is_none_or(|k| k.incarnation < announcement.incarnation) {
            self.engines
                .insert(announcement.id.clone(), Engine::new(now, announcement));
        } else if let Some(engine) = self.engines.get_mut(&announcement.id) {
            engine.observe(now, announcement);
        }
        if announcement.stage == Stage::Gone {
            self.engines.remove(&announcement.id);
        }
    }

    /// A server has left.
    pub fn remove(&mut self, id: &str) {
        self.engines.remove(id);
    }

    /// Forgets the engines that aren't `known` any more.
    pub fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.engines.retain(|id, _| known(id));
    }

    /// An engine reported.
    pub fn report(&mut self, now: Millis, id: &str, report: &Report) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let first = !engine.reported_before();
        let loading = engine.store_load();
        engine.apply_report(now, report);
        if let Some(load) = loading.filter(|_| engine.store_load().is_none()) {
            let took_ms = now.saturating_sub(load.since);
            self.store_limiter
                .load_ended(took_ms, load.min_ms, load.concurrent);
        }
        if first {
            self.assume_demand(now, id);
        }
    }

    /// A model that several engines hold already counts as asked for, until demand has been seen
    /// for as long as rates remember it.
    fn assume_demand(&mut self, now: Millis, id: &str) {
        let engine = &self.engines[id];
        let service = engine.service.clone();
        let models: Vec<Name> = engine.loaded.keys().cloned().collect();
        for model in models {
            let known = self.engines.values().filter(|e| e.reported_before());
            let replicas = known.filter(|e| e.loaded.contains_key(&model)).count();
            let others = u32::try_from(replicas.saturating_sub(1)).unwrap_or(u32::MAX);
            let rate = self.rates.entry((service.clone(), model)).or_default();
            rate.count(now, 2 * others);
        }
    }

    /// A command was answered, or not.
    pub fn command_answered(&mut self, now: Millis, command: &Command, answer: Answer) {
        if let Some(engine) = self.engines.get_mut(&command.server) {
            engine.command_answered(now, command, answer);
        }
    }

    /// An entry instance told what it has running and waiting.
    pub fn update_load(
        &mut self,
        now: Millis,
        router: &Name,
        running: Vec<RunningRequests>,
        demand: Vec<Demand>,
    ) {
        for part in &demand {
            let key = (part.requested.service.clone(), part.requested.model.clone());
            let rate = self.rates.entry(key).or_default();
            rate.count(now, part.arrived);
        }
        let load_report = LoadReport {
            at: now,
            running,
            demand,
        };
        self.load_reports.insert(router.clone(), load_report);
    }

    /// Requests of all entry instances at each server.
    pub fn totals(&self, now: Millis) -> Vec<(Name, u32)> {
        let mut totals: BTreeMap<Name, u32> = BTreeMap::new();
        for running in self.recent_load_reports(now).flat_map(|t| &t.running) {
            *totals.entry(running.server.clone()).or_default() += running.requests;
        }
        totals.into_iter().collect()
    }

    /// Milliseconds until another load from the store may begin.
    pub fn store_wait_ms(&self, now: Millis) -> u64 {
        if !self.store_limiter.is_full(self.store_loads_active(now)) {
            return 0;
        }
        let loading = self.engines.values().filter(|e| e.loads_from_store(now));
        let left = loading.map(|engine| engine.remaining_ms(now));
        left.min().unwrap_or_default()
    }

    /// Commands to send now.
    pub fn decide(&mut self, now: Millis, deployment: &Deployment) -> Vec<Command> {
        if now < self.start_at {
            return Vec::new();
        }
        self.count_running(now);
        let mut commands = self.resend(now);
        for (name, service) in &deployment.services {
            let Some(spec) = &service.engine else {
                continue;
            };
            let waiting = self.waiting(now, name);
            self.plan_adapters(now, name, spec, &waiting);
            self.plan_models(now, name, spec, &waiting);
            let oldest_load_report_at = self.oldest_load_report_at(now);
            commands.extend(self.next_commands(now, oldest_load_report_at, name, spec));
        }
        commands
    }

    /// Names and addresses of the engines whose report is needed now; each is asked once until it
    /// answers or time passes.
    pub fn due_polls(&mut self, now: Millis, deployment: &Deployment) -> Vec<(Name, Name)> {
        let mut due_polls = Vec::new();
        for (id, engine) in &mut self.engines {
            let service = deployment.services.get(&engine.service);
            let is_engine = service.is_some_and(|s| s.engine.is_some());
            let due = now >= engine.polled_at + REPORT_POLL_MS;
            if is_engine && due && engine.needs_report(now) {
                engine.polled_at = now;
                due_polls.push((id.clone(), engine.address.clone()));
            }
        }
        due_polls
    }

    /// What all engines hold, as callers may count on it.
    pub fn loaded_models(&self, now: Millis) -> Vec<LoadedModels> {
        let known = self.engines.iter().filter(|(_, e)| e.has_known_state());
        known
            .map(|(id, engine)| engine.loaded_models(id, now))
            .collect()
    }

    fn recent_load_reports(&self, now: Millis) -> impl Iterator<Item = &LoadReport> {
        self.load_reports
            .values()
            .filter(move |t| now < t.at.saturating_add(LOAD_REPORT_TTL_MS))
    }

    /// The time from which all entry instances have told what they have running.
    fn oldest_load_report_at(&self, now: Millis) -> Millis {
        self.recent_load_reports(now)
            .map(|t| t.at)
            .min()
            .unwrap_or(now)
    }

    /// Requests that wait, by what they wait for.
    fn waiting(&self, now: Millis, service: &str) -> BTreeMap<RequestedModel, u32> {
        let mut waiting = BTreeMap::new();
        for demand in self.recent_load_reports(now).flat_map(|t| &t.demand) {
            if demand.waiting > 0 && &*demand.requested.service == service {
                *waiting.entry(demand.requested.clone()).or_default() += demand.waiting;
            }
        }
        waiting
    }

    fn count_running(&mut self, now: Millis) {
        let running: Vec<RunningRequests> = self
            .recent_load_reports(now)
            .flat_map(|t| t.running.clone())
            .collect();
        for engine in self.engines.values_mut() {
            engine.running.clear();
        }
        for part in running {
            let Some(engine) = self.engines.get_mut(&part.server) else {
                continue;
            };
            let Some(model) = part.model else {
                continue;
            };
            if let Some(engine_model) = engine.loaded.get_mut(&model) {
                engine_model.used_at = now;
            }
            *engine.running.entry((model, part.adapter)).or_default() += part.requests;
        }
    }

    fn resend(&mut self, now: Millis) -> Vec<Command> {
        let engines = self.engines.values_mut();
        engines
            .filter_map(|e| e.resend(now, COMMAND_RESEND_MS))
            .collect()
    }

    /// Arrivals a second for a model.
    fn rate(&self, now: Millis, service: &str, model: &str) -> f64 {
        let key = (Name::from(service), Name::from(model));
        self.rates.get(&key).map_or(0.0, |rate| rate.per_s(now))
    }
}
