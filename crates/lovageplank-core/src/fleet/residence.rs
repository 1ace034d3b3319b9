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
mod store;

pub use command::{Answer, Command, Op};
pub use engine::Report;

use super::deployment::Deployment;
use super::message::{Demand, Holding, Running, Wanted};
use super::registry::{Announcement, Stage};
use crate::prelude::*;
use engine::Engine;
use rate::Rate;
use store::Store;

/// Milliseconds after which a command without an answer is sent again.
const RESEND_MS: Millis = 1_200;
/// Milliseconds of an engine's silence after which nothing is commanded from it.
const SILENT_MS: Millis = 4_000;
/// Milliseconds between two reports asked of an engine with a command in progress.
const POLL_MS: Millis = 120;
/// Milliseconds for which demand that an entry instance told counts without being told again.
const DEMAND_MS: Millis = 1_500;

/// How commands are limited.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Window of the store's ceiling, in milliseconds.
    pub window_ms: u64,
    /// Loads from the store that run at once at the most.
    pub at_once: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            window_ms: 5_000,
            at_once: 4,
        }
    }
}

/// What one entry instance told last.
#[derive(Clone, Debug, Default)]
struct Told {
    at: Millis,
    running: Vec<Running>,
    demand: Vec<Demand>,
}

/// Plans the commands to all engines; see the module's text.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Nothing is commanded before; an earlier leader's commands may still arrive.
    from: Millis,
    engines: BTreeMap<Name, Engine>,
    told: BTreeMap<Name, Told>,
    rates: BTreeMap<(Name, Name), Rate>,
    store: Store,
}

impl Planner {
    /// A planner that commands nothing before `from`.
    pub fn new(limits: Limits, from: Millis) -> Planner {
        Planner {
            from,
            engines: BTreeMap::new(),
            told: BTreeMap::new(),
            rates: BTreeMap::new(),
            store: Store::new(limits),
        }
    }

    /// A backend server announced itself; those that aren't engines are ignored by `decide`.
    pub fn observe(&mut self, now: Millis, said: &Announcement) {
        let known = self.engines.get(&said.id);
        if known.is_none_or(|k| k.born_ms < said.born_ms) {
            self.engines.insert(said.id.clone(), Engine::new(now, said));
        } else if let Some(engine) = self.engines.get_mut(&said.id) {
            engine.announced(now, said);
        }
        if said.stage == Stage::Gone {
            self.engines.remove(&said.id);
        }
    }

    /// A server has left.
    pub fn forget(&mut self, id: &str) {
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
        engine.reported(now, report);
        if let Some(load) = loading.filter(|_| engine.store_load().is_none()) {
            let took_ms = now.saturating_sub(load.since);
            self.store.ended(took_ms, load.alone_ms, load.together);
        }
        if first {
            self.expect_demand(now, id);
        }
    }

    /// A model that several engines hold already counts as asked for, until demand has been seen
    /// for as long as rates remember it.
    fn expect_demand(&mut self, now: Millis, id: &str) {
        let engine = &self.engines[id];
        let service = engine.service.clone();
        let models: Vec<Name> = engine.held.keys().cloned().collect();
        for model in models {
            let known = self.engines.values().filter(|e| e.reported_before());
            let replicas = known.filter(|e| e.held.contains_key(&model)).count();
            let others = u32::try_from(replicas.saturating_sub(1)).unwrap_or(u32::MAX);
            let rate = self.rates.entry((service.clone(), model)).or_default();
            rate.count(now, 2 * others);
        }
    }

    /// A command was answered, or not.
    pub fn answered(&mut self, now: Millis, command: &Command, answer: Answer) {
        if let Some(engine) = self.engines.get_mut(&command.server) {
            engine.answered(now, command, answer);
        }
    }

    /// An entry instance told what it has running and waiting.
    pub fn told(&mut self, now: Millis, entry: &Name, running: Vec<Running>, demand: Vec<Demand>) {
        for part in &demand {
            let key = (part.wanted.service.clone(), part.wanted.model.clone());
            let rate = self.rates.entry(key).or_default();
            rate.count(now, part.arrived);
        }
        let told = Told {
            at: now,
            running,
            demand,
        };
        self.told.insert(entry.clone(), told);
    }

    /// Requests of all entry instances at each server.
    pub fn totals(&self, now: Millis) -> Vec<(Name, u32)> {
        let mut totals: BTreeMap<Name, u32> = BTreeMap::new();
        for running in self.fresh(now).flat_map(|t| &t.running) {
            *totals.entry(running.server.clone()).or_default() += running.requests;
        }
        totals.into_iter().collect()
    }

    /// Milliseconds until another load from the store may begin.
    pub fn store_wait_ms(&self, now: Millis) -> u64 {
        if !self.store.is_full(self.store_loads_active(now)) {
            return 0;
        }
        let loading = self.engines.values().filter(|e| e.loads_from_store(now));
        let left = loading.map(|engine| engine.left_ms(now));
        left.min().unwrap_or_default()
    }

    /// Commands to send now.
    pub fn decide(&mut self, now: Millis, deployment: &Deployment) -> Vec<Command> {
        if now < self.from {
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
            let told_from = self.told_from(now);
            commands.extend(self.next_commands(now, told_from, name, spec));
        }
        commands
    }

    /// Names and addresses of the engines whose report is needed now; each is asked once until it
    /// answers or time passes.
    pub fn polls(&mut self, now: Millis, deployment: &Deployment) -> Vec<(Name, Name)> {
        let mut polls = Vec::new();
        for (id, engine) in &mut self.engines {
            let service = deployment.services.get(&engine.service);
            let is_engine = service.is_some_and(|s| s.engine.is_some());
            let due = now >= engine.polled_at + POLL_MS;
            if is_engine && due && engine.needs_report(now) {
                engine.polled_at = now;
                polls.push((id.clone(), engine.address.clone()));
            }
        }
        polls
    }

    /// What all engines hold, as callers may count on it.
    pub fn holdings(&self, now: Millis) -> Vec<Holding> {
        let known = self.engines.iter().filter(|(_, e)| e.is_known());
        known.map(|(id, engine)| engine.holding(id, now)).collect()
    }

    fn fresh(&self, now: Millis) -> impl Iterator<Item = &Told> {
        self.told
            .values()
            .filter(move |t| now < t.at.saturating_add(DEMAND_MS))
    }

    /// The time from which all entry instances have told what they have running.
    fn told_from(&self, now: Millis) -> Millis {
        self.fresh(now).map(|t| t.at).min().unwrap_or(now)
    }

    /// Requests that wait, by what they wait for.
    fn waiting(&self, now: Millis, service: &str) -> BTreeMap<Wanted, u32> {
        let mut waiting = BTreeMap::new();
        for demand in self.fresh(now).flat_map(|t| &t.demand) {
            if demand.waiting > 0 && &*demand.wanted.service == service {
                *waiting.entry(demand.wanted.clone()).or_default() += demand.waiting;
            }
        }
        waiting
    }

    fn count_running(&mut self, now: Millis) {
        let running: Vec<Running> = self.fresh(now).flat_map(|t| t.running.clone()).collect();
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
            if let Some(holds) = engine.held.get_mut(&model) {
                holds.used_at = now;
            }
            *engine.running.entry((model, part.adapter)).or_default() += part.requests;
        }
    }

    fn resend(&mut self, now: Millis) -> Vec<Command> {
        let engines = self.engines.values_mut();
        engines.filter_map(|e| e.resend(now, RESEND_MS)).collect()
    }

    /// Arrivals a second for a model.
    fn rate(&self, now: Millis, service: &str, model: &str) -> f64 {
        let key = (Name::from(service), Name::from(model));
        self.rates.get(&key).map_or(0.0, |rate| rate.per_s(now))
    }
}
