//! Decides which engine loads and unloads which model and adapter.
//!
//! Engines have memory for few of many models. The planner loads models that requests wait for,
//! prefers engines that have the weights cached, and evicts models only to free memory. It runs in
//! one control process, the leader. All that it knows comes from announcements, from engines'
//! reports and answers, and from routers' load reports, so a new leader needs no state of the
//! previous one.
//!
//! Each command contains the number of commands that its engine has accepted, and the engine
//! refuses it if that number has changed. A command that arrives late, after others, therefore has
//! no effect, and the planner knows exactly what an engine has loaded whenever the engine accepts a
//! command.

mod adapters;
mod census;
mod command;
mod demand;
mod engine;
mod eviction;
mod inherited;
mod load_cost;
mod memory;
mod missing;
mod models;
mod queue;
mod rate;
mod starvation;
mod store_limiter;
mod store_log;

pub use command::{Answer, Command, Op};
pub use engine::Report;
pub use load_cost::Deferral;
pub use starvation::{Lack, Starved};
pub use store_log::{Holders, Purpose, StoreEvent};

use super::deployment::Deployment;
use super::message::{Demand, EngineModels, RequestedModel, RunningRequests};
use super::pace::Pace;
use super::registry::{Announcement, Stage};
use super::sizes::Sizes;
use crate::prelude::*;
use demand::{Waiting, WaitingRequests};
use engine::Engine;
use inherited::Inherited;
use rate::ArrivalRate;
use starvation::Unserved;
use store_limiter::StoreLimiter;

/// Milliseconds after which a command without an answer is sent again. The engine refuses the
/// second one if it accepted the first.
const COMMAND_RESEND_MS: Millis = 1_200;
/// Milliseconds for which an engine may be silent, without an announcement or a report. Beyond that
/// it gets no commands, and the models that it has loaded no longer count as replicas.
const MAX_SILENCE_MS: Millis = 4_000;
/// Milliseconds between two times at which the planner asks the same engine for its report.
const REPORT_POLL_MS: Millis = 120;
/// Engines that are asked for their report at a time. A new leader has to ask all of them.
pub const POLLS_MAX: usize = 24;
/// Milliseconds after which an engine counts as asked no longer, whatever became of the question.
const POLL_TIMEOUT_MS: Millis = 2_000;
/// Milliseconds for which a router's load report counts. Beyond that its requests and its demand
/// are ignored until its next report.
const LOAD_REPORT_TTL_MS: Millis = 1_500;
/// Milliseconds after a request during which its service counts as one that callers use.
const REQUESTS_TTL_MS: Millis = 30_000;

/// Messages per second to routers about loads that begin: loads times routers. The leader tells each router of each
/// load that begins, and a new leader finds the demand of seconds: if it began a load at each of hundreds of engines at
/// once, what it has to tell hundreds of routers would fill its link, and keep back the messages by which it stays the
/// leader.
const LOAD_MESSAGES_PER_S: f64 = 36_000.0;
/// Milliseconds of that rate that may be used at once.
const LOAD_BURST_MS: f64 = 200.0;

/// Limits on loads from the weight store, as opposed to the limits on callers in a document.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Window of the store's rate limit, in milliseconds.
    pub window_ms: u64,
    /// Largest number of loads from the store that run concurrently.
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

/// The last load report of one router.
#[derive(Clone, Debug, Default)]
struct LoadReport {
    at: Millis,
    running: Vec<RunningRequests>,
    demand: Vec<Demand>,
}

/// Plans the commands to all engines.
#[derive(Clone, Debug)]
pub struct Planner {
    /// No command is sent before this time, because commands of an earlier leader may still arrive.
    start_at: Millis,
    engines: BTreeMap<Name, Engine>,
    load_reports: BTreeMap<Name, LoadReport>,
    /// Arrival rate of requests, by service and model.
    arrival_rates: BTreeMap<(Name, Name), ArrivalRate>,
    /// When requests last arrived, by service.
    asked_at: BTreeMap<Name, Millis>,
    /// Requests since the model or adapter was last loaded.
    unserved: Unserved,
    store_limiter: StoreLimiter,
    /// Milliseconds of the longest load from the store at full speed.
    longest_store_ms: Millis,
    /// Loads from the store that no engine's known state shows.
    inherited: Vec<Inherited>,
    /// What models take that engines loaded by an earlier document.
    sizes: Sizes,
    /// Messages about loads that may begin now.
    pace: Pace,
    /// Loads from the store that have begun or ended since they were taken last.
    store_events: Vec<StoreEvent>,
    /// Models that requests wait for and whose load didn't begin at the last decision, with the
    /// reason.
    deferrals: BTreeMap<Name, Deferral>,
    /// Milliseconds until the store will have loaded models that callers ask for and no engine has.
    expected_missing: Vec<(Name, u64)>,
    /// Looks at one engine during the last decision.
    looks: usize,
}

impl Planner {
    /// Returns a planner that sends no command before `start_at`.
    pub fn new(limits: Limits, start_at: Millis) -> Planner {
        Planner {
            start_at,
            engines: BTreeMap::new(),
            load_reports: BTreeMap::new(),
            arrival_rates: BTreeMap::new(),
            asked_at: BTreeMap::new(),
            unserved: Unserved::default(),
            store_limiter: StoreLimiter::new(limits),
            longest_store_ms: 0,
            inherited: Vec::new(),
            sizes: Sizes::default(),
            pace: Pace::new(LOAD_MESSAGES_PER_S, LOAD_BURST_MS),
            store_events: Vec::new(),
            deferrals: BTreeMap::new(),
            expected_missing: Vec::new(),
            looks: 0,
        }
    }

    /// Records what models take that engines loaded by an earlier document. Has to be called when this planner
    /// begins, and with each document that comes into force.
    pub fn set_sizes(&mut self, sizes: &Sizes) {
        self.sizes = sizes.clone();
    }

    /// Records the announcement of a backend server. Servers that aren't engines are recorded too,
    /// but [`Planner::decide`] ignores them.
    pub fn observe(&mut self, now: Millis, announcement: &Announcement) {
        let known = self.engines.get(&announcement.id);
        if known.is_none_or(|engine| engine.incarnation < announcement.incarnation) {
            self.keep_store_load(&announcement.id);
            self.engines
                .insert(announcement.id.clone(), Engine::new(now, announcement));
        } else if let Some(engine) = self.engines.get_mut(&announcement.id) {
            engine.observe(now, announcement);
        }
        if announcement.stage == Stage::Gone {
            self.remove(&announcement.id);
        }
    }

    /// Removes a server that has left.
    pub fn remove(&mut self, id: &str) {
        self.keep_store_load(id);
        self.engines.remove(id);
    }

    /// Removes the engines that aren't `known` any more.
    pub fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.engines.retain(|id, _| known(id));
    }

    /// Updates the state of an engine from its report. If a load from the store has ended, adapts
    /// the limit on concurrent loads. At the first report of the engine, assumes demand for its
    /// models.
    pub fn apply_report(&mut self, now: Millis, id: &str, report: &Report) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let first = !engine.has_reported();
        let store_load_before = engine.store_load();
        engine.apply_report(now, report);
        if let Some(load) = store_load_before.filter(|_| engine.store_load().is_none()) {
            self.store_load_ended(now, id, &load);
        }
        if first {
            self.assume_demand(now, id);
        }
    }

    /// Adds assumed arrivals for each model that an engine has loaded when it reports for the first
    /// time. For each other engine that has loaded the same model, two arrivals are added. They
    /// take the place of demand that has not been observed yet, and decay like observed arrivals.
    fn assume_demand(&mut self, now: Millis, id: &str) {
        let engine = &self.engines[id];
        let service = engine.service.clone();
        let models: Vec<Name> = engine.loaded.keys().cloned().collect();
        for model in models {
            let known = self.engines.values().filter(|e| e.has_reported());
            let replicas = known.filter(|e| e.loaded.contains_key(&model)).count();
            let others = u32::try_from(replicas.saturating_sub(1)).unwrap_or(u32::MAX);
            let rate = self
                .arrival_rates
                .entry((service.clone(), model))
                .or_default();
            rate.add_arrivals(now, 2 * others);
        }
    }

    /// Records the answer to a command, or that there was none.
    pub fn command_answered(&mut self, now: Millis, command: &Command, answer: Answer) {
        if let Some(engine) = self.engines.get_mut(&command.server) {
            engine.command_answered(now, command, answer);
        }
    }

    /// Records the load report of a router.
    pub fn update_load(
        &mut self,
        now: Millis,
        router: &Name,
        running: Vec<RunningRequests>,
        demand: Vec<Demand>,
    ) {
        for model_demand in &demand {
            let key = (
                model_demand.requested.service.clone(),
                model_demand.requested.model.clone(),
            );
            let rate = self.arrival_rates.entry(key).or_default();
            rate.add_arrivals(now, model_demand.arrived);
            self.unserved.add(now, model_demand);
            if model_demand.arrived > 0 {
                let service = model_demand.requested.service.clone();
                self.asked_at.insert(service, now);
            }
        }
        let load_report = LoadReport {
            at: now,
            running,
            demand,
        };
        self.load_reports.insert(router.clone(), load_report);
    }

    /// Records the long-term slowness of an incarnation of an engine: the time that work takes there, relative to the
    /// usual time.
    pub fn update_slowness(&mut self, id: &Name, incarnation: u64, slowness: f64) {
        let engine = self.engines.get_mut(id);
        if let Some(engine) = engine.filter(|engine| engine.incarnation == incarnation) {
            engine.slowness = slowness;
        }
    }

    /// Returns the requests of all routers at each server.
    pub fn totals(&self, now: Millis) -> Vec<(Name, u32)> {
        let mut totals: BTreeMap<Name, u32> = BTreeMap::new();
        for running in self
            .recent_load_reports(now)
            .flat_map(|report| &report.running)
        {
            *totals.entry(running.server.clone()).or_default() += running.requests;
        }
        totals.into_iter().collect()
    }

    /// Returns the milliseconds until the next load from the weight store may begin.
    pub fn store_wait_ms(&self, now: Millis) -> u64 {
        if !self.store_limiter.is_full(self.store_loads_active(now)) {
            return 0;
        }
        self.first_store_end_ms(now).unwrap_or_default()
    }

    /// Returns the commands to send now.
    pub fn decide(&mut self, now: Millis, deployment: &Deployment) -> Vec<Command> {
        if now < self.start_at {
            return Vec::new();
        }
        for engine in self.engines.values_mut() {
            engine.assume_load_ended(now);
        }
        self.expire_inherited(now);
        self.update_store_limiter(now, deployment);
        self.deferrals.clear();
        self.expected_missing.clear();
        self.looks = 0;
        self.count_running(now);
        let engine_specs = || {
            let services = deployment.services.iter();
            services.filter_map(|(name, service)| Some((name, service.engine.as_ref()?)))
        };
        for (name, spec) in engine_specs() {
            self.check_outstanding_loads(name, spec);
        }
        let mut commands = self.resend(now);
        for (name, spec) in engine_specs() {
            let waiting = self.waiting(now, name);
            self.plan_adapters(now, name, spec, &waiting);
            self.plan_models(now, deployment, name, spec, &waiting);
            let oldest_load_report_at = self.oldest_load_report_at(now);
            commands.extend(self.next_commands(now, oldest_load_report_at, name, spec));
        }
        commands
    }

    /// Returns how often the last decision looked at one engine to choose loads of models, as a measure of its work.
    pub fn looks(&self) -> usize {
        self.looks
    }

    /// Returns the milliseconds until each model that requests wait for, or that callers ask for and no
    /// engine has, is expected to be loaded, if its load did not begin at the last decision.
    pub fn expected_waits(&self) -> Vec<(Name, u64)> {
        let deferred = self.deferrals.iter();
        deferred
            .filter_map(|(model, deferral)| Some((model.clone(), deferral.ready_ms()?)))
            .chain(self.expected_missing.iter().cloned())
            .collect()
    }

    /// Returns the models that requests wait for and whose load did not begin at the last decision,
    /// each with the reason.
    pub fn deferrals(&self) -> &BTreeMap<Name, Deferral> {
        &self.deferrals
    }

    /// Returns the milliseconds until the earliest load in progress is assumed to have ended, after
    /// which [`Planner::decide`] should be called; `None` without such a load.
    pub fn next_load_end_ms(&self, now: Millis) -> Option<u64> {
        let ends = self.engines.values().filter_map(Engine::assumed_end_at);
        ends.min().map(|at| at.saturating_sub(now))
    }

    /// Returns the names and addresses of the engines that should report now, those first that were asked
    /// longest ago. Each is returned once per polling interval, until its report is no longer needed, and not
    /// before [`Planner::poll_ended`] was called for the last time that it was returned. At most
    /// [`POLLS_MAX`] are asked at a time.
    pub fn due_polls(&mut self, now: Millis, deployment: &Deployment) -> Vec<(Name, Name)> {
        let is_asked = |engine: &&Engine| engine.is_asked(now);
        let asked = self.engines.values().filter(is_asked).count();
        let due = self.engines.iter().filter(|(_, engine)| {
            let service = deployment.services.get(&engine.service);
            let is_engine = service.is_some_and(|s| s.engine.is_some());
            let due = now >= engine.polled_at + REPORT_POLL_MS && !engine.is_asked(now);
            is_engine && due && engine.needs_report(now)
        });
        let mut due: Vec<(Millis, Name)> = due
            .map(|(id, engine)| (engine.polled_at, id.clone()))
            .collect();
        due.sort();
        due.truncate(POLLS_MAX.saturating_sub(asked));
        let ids = due.into_iter().map(|(_, id)| id);
        let engines = ids.filter_map(|id| {
            let engine = self.engines.get_mut(&id)?;
            engine.polled_at = now;
            engine.poll_awaited_until = now + POLL_TIMEOUT_MS;
            Some((id, engine.address.clone()))
        });
        engines.collect()
    }

    /// Records that an engine that was returned by [`Planner::due_polls`] has reported, or will not.
    pub fn poll_ended(&mut self, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.poll_awaited_until = 0;
        }
    }

    /// Returns the models and adapters of all engines that routers may send requests for.
    pub fn loaded_models(&self, now: Millis) -> Vec<EngineModels> {
        let known = self.engines.iter().filter(|(_, e)| e.has_known_state());
        known
            .map(|(id, engine)| engine.loaded_models(id, now))
            .collect()
    }

    fn recent_load_reports(&self, now: Millis) -> impl Iterator<Item = &LoadReport> {
        self.load_reports
            .values()
            .filter(move |report| now < report.at.saturating_add(LOAD_REPORT_TTL_MS))
    }

    /// The time of the oldest load report that still counts: each router has reported since then.
    fn oldest_load_report_at(&self, now: Millis) -> Millis {
        self.recent_load_reports(now)
            .map(|report| report.at)
            .min()
            .unwrap_or(now)
    }

    /// Waiting requests by the model and adapter that they need.
    fn waiting(&self, now: Millis, service: &str) -> WaitingRequests {
        let mut waiting = WaitingRequests::new();
        for report in self.recent_load_reports(now) {
            let demand = report.demand.iter();
            for demand in demand.filter(|d| d.waiting > 0 && &*d.requested.service == service) {
                let at_router = Waiting::reported(now, report.at, demand);
                let total = waiting.entry(demand.requested.clone()).or_default();
                total.add(&at_router);
            }
        }
        waiting
    }

    fn count_running(&mut self, now: Millis) {
        let running: Vec<RunningRequests> = self
            .recent_load_reports(now)
            .flat_map(|report| report.running.clone())
            .collect();
        for engine in self.engines.values_mut() {
            engine.running.clear();
        }
        for requests in running {
            let Some(engine) = self.engines.get_mut(&requests.server) else {
                continue;
            };
            let Some(model) = requests.model else {
                continue;
            };
            if let Some(model_state) = engine.loaded.get_mut(&model) {
                model_state.used_at = now;
                model_state.requested = true;
            }
            *engine.running.entry((model, requests.adapter)).or_default() += requests.requests;
        }
    }

    fn resend(&mut self, now: Millis) -> Vec<Command> {
        let engines = self.engines.values_mut();
        engines
            .filter_map(|e| e.resend(now, COMMAND_RESEND_MS))
            .collect()
    }

    /// Arrivals per second for a model in the last seconds.
    fn recent_rate(&self, now: Millis, service: &Name, model: &Name) -> f64 {
        let key = (service.clone(), model.clone());
        self.arrival_rates
            .get(&key)
            .map_or(0.0, |rate| rate.recent_per_s(now))
    }

    /// Whether a caller has asked for any model of the service lately.
    fn has_requests(&self, now: Millis, service: &Name) -> bool {
        let asked_at = self.asked_at.get(service);
        asked_at.is_some_and(|at| now < at + REQUESTS_TTL_MS)
    }

    /// Whether a caller has asked for the model in the last half minute or so.
    fn is_asked_for(&self, now: Millis, service: &Name, model: &Name) -> bool {
        let key = (service.clone(), model.clone());
        self.arrival_rates
            .get(&key)
            .is_some_and(|rate| rate.has_recent_arrival(now))
    }

    /// Arrivals per second for a model.
    fn rate(&self, now: Millis, service: &Name, model: &Name) -> f64 {
        let key = (service.clone(), model.clone());
        self.arrival_rates
            .get(&key)
            .map_or(0.0, |rate| rate.per_s(now))
    }
}
