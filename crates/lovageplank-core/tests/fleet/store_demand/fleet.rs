//! Engines in front of a store whose speed their loads share, in virtual time.

use super::{ENGINES, REQUEST_GAP_MS, START_DELAY_MS, STEP_MS, STORE_MS, TRAFFIC_AT};
use super::{deployment, id, model};
use crate::placement::{planner, requested};
use crate::samples::{engine, loaded_model};
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::message::Demand;
use lovageplank_core::fleet::placement::{Answer, Command, Limits, Op, Planner, Report};
use lovageplank_core::fleet::registry::{Announcement, CachedWeights};
use lovageplank_core::prelude::*;

/// Engines that carry out commands, in front of a store whose speed they share.
#[derive(Clone)]
pub struct Fleet {
    pub now: Millis,
    pub planner: Planner,
    pub deployment: Deployment,
    pub engines: BTreeMap<Name, FakeEngine>,
    /// Loads from the store, with the time at which each began.
    pub store_loads: Vec<(Millis, Name)>,
}

#[derive(Clone, Default)]
pub struct FakeEngine {
    pub commands: u64,
    pub loaded: BTreeSet<Name>,
    pub copies: BTreeSet<Name>,
    /// The model that is being loaded, with the work left in milliseconds at full speed.
    pub loading: Option<(Name, u64)>,
}

impl FakeEngine {
    pub fn cached(&self) -> CachedWeights {
        CachedWeights {
            memory: BTreeSet::new(),
            disk: self.copies.clone(),
        }
    }

    pub fn report(&self) -> Report {
        Report {
            incarnation: 1_000,
            accepted_commands: self.commands,
            busy: self.loading.is_some(),
            loaded: self.loaded.iter().map(|m| loaded_model(m, &[])).collect(),
            loading_adapters: Vec::new(),
            cached_weights: Some(self.cached()),
        }
    }

    pub fn loads_from_store(&self) -> bool {
        self.loading
            .as_ref()
            .is_some_and(|(model, _)| !self.copies.contains(model))
    }
}

impl Fleet {
    /// Each engine has two models of its own loaded.
    pub fn new() -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            planner: planner(),
            deployment: deployment(),
            engines: BTreeMap::new(),
            store_loads: Vec::new(),
        };
        for index in 0..ENGINES {
            let loaded: BTreeSet<Name> = [2 * index, 2 * index + 1].map(model).into();
            let engine = FakeEngine {
                copies: loaded.clone(),
                loaded,
                ..FakeEngine::default()
            };
            fleet.engines.insert(id(index), engine);
        }
        fleet
    }

    pub fn announce(&mut self) {
        for (id, fake) in &self.engines {
            let loaded: Vec<&str> = fake.loaded.iter().map(|name| &**name).collect();
            let announcement = Announcement {
                number: self.now + 1,
                cached_weights: fake.cached(),
                ..engine(id, &loaded)
            };
            self.planner.observe(self.now, &announcement);
        }
    }

    /// Another process leads, and knows what servers have announced.
    pub fn change_leader(&mut self) {
        self.planner = Planner::new(Limits::default(), self.now + START_DELAY_MS);
        self.announce();
    }

    /// Reports this many new requests for each of the models. All were refused at once.
    pub fn ask(&mut self, models: &BTreeSet<Name>, arrived: u32) {
        let demand = models.iter().map(|model| Demand {
            requested: requested(model, None),
            arrived,
            waiting: 0,
            objective_in_ms: None,
            overdue_ms: None,
        });
        let demand = demand.collect();
        let router = "router".into();
        self.planner
            .update_load(self.now, &router, Vec::new(), demand);
    }

    /// Lets a step pass, in which the store's speed is shared by its loads.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        let from_store = self.engines.values().filter(|e| e.loads_from_store());
        let share = STEP_MS / u64::try_from(from_store.count().max(1)).expect("few");
        for engine in self.engines.values_mut() {
            let step = if engine.loads_from_store() {
                share
            } else {
                STEP_MS
            };
            let Some((model, left)) = &mut engine.loading else {
                continue;
            };
            *left = left.saturating_sub(step);
            if *left == 0 {
                engine.loaded.insert(model.clone());
                engine.copies.insert(model.clone());
                engine.loading = None;
            }
        }
        if self.now.is_multiple_of(1_000) {
            self.announce();
        }
        for command in self.planner.decide(self.now, &self.deployment) {
            let answer = self.carry_out(&command);
            self.planner.command_answered(self.now, &command, answer);
        }
        for (id, _) in self.planner.due_polls(self.now, &self.deployment) {
            if let Some(engine) = self.engines.get(&id) {
                self.planner.apply_report(self.now, &id, &engine.report());
            }
            self.planner.poll_ended(&id);
        }
    }

    pub fn carry_out(&mut self, command: &Command) -> Answer {
        let now = self.now;
        let engine = self.engines.get_mut(&command.server).expect("known");
        if command.expected != engine.commands || engine.loading.is_some() {
            return Answer::Conflict;
        }
        match &command.op {
            Op::Load(model) => {
                let is_cached = engine.copies.contains(model);
                let work_ms = if is_cached { 800 } else { STORE_MS };
                engine.loading = Some((model.clone(), work_ms));
                if !is_cached {
                    self.store_loads.push((now, model.clone()));
                }
            }
            Op::Unload(model) => drop(engine.loaded.remove(model)),
            Op::LoadAdapter(..) | Op::UnloadAdapter(..) => {}
        }
        engine.commands += 1;
        Answer::Accepted
    }

    pub fn is_copied(&self, model: &Name) -> bool {
        self.engines.values().any(|e| e.copies.contains(model))
    }

    /// Lets time pass until `end`; from [`TRAFFIC_AT`] on, callers ask for the models.
    pub fn run(&mut self, end: Millis, models: &BTreeSet<Name>) {
        self.run_with(end, |fleet| {
            let arrived = u32::from(fleet.now.is_multiple_of(REQUEST_GAP_MS));
            fleet.ask(models, arrived);
        });
    }

    /// Lets time pass until `end`; from [`TRAFFIC_AT`] on, `report` reports requests.
    pub fn run_with(&mut self, end: Millis, report: impl Fn(&mut Fleet)) {
        self.announce();
        while self.now < end {
            if self.now.is_multiple_of(250) && self.now >= TRAFFIC_AT {
                report(self);
            }
            self.step();
        }
    }

    pub fn assert_copied(&self, models: &BTreeSet<Name>) {
        let missing: Vec<&Name> = models.iter().filter(|m| !self.is_copied(m)).collect();
        assert!(
            missing.is_empty(),
            "never loaded: {missing:?}; the store loaded {:?}",
            self.store_loads
        );
    }
}
