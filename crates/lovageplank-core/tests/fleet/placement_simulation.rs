//! Random sequences of commands to engines with late reports, lost answers, commands that are
//! carried out late, and changes of the leader.

use crate::placement::{MODELS, planner, report, requested, wait_for, with_cached_weights};
use crate::samples::{deployment, engine, loaded_model};
use lovageplank_core::fleet::placement::{Answer, Command, Op, Planner, Report};
use lovageplank_core::fleet::registry::Announcement;
use lovageplank_core::prelude::*;

/// Engines behave as their interface requires, in random sequences: each command must fit their
/// capacity.
#[test]
fn no_command_exceeds_the_capacity_of_an_engine() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed);
        for step in 0..400 {
            simulation.step(step * 60);
        }
        // One accepted command in four seconds shows that the planner is not stuck.
        assert!(
            simulation.accepted >= 6,
            "seed {seed}: {} commands accepted, expected at least 6",
            simulation.accepted
        );
    }
}

/// Engines with late reports, lost answers and commands that are carried out late.
struct Simulation {
    random: u64,
    planner: Planner,
    engines: BTreeMap<Name, FakeEngine>,
    delayed: Vec<(Millis, Command)>,
    accepted: u32,
}

#[derive(Clone, Default)]
struct FakeEngine {
    commands: u64,
    busy_until: Millis,
    loading: Option<Name>,
    loaded: BTreeMap<Name, BTreeSet<Name>>,
    /// Past states, for reports that lag.
    past: Vec<(Millis, Report)>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut engines = BTreeMap::new();
        let mut planner = planner();
        for id in ["1", "2", "3"] {
            planner.observe(0, &with_cached_weights(engine(id, &["a"])));
            let engine_state = FakeEngine {
                loaded: BTreeMap::from([("a".into(), BTreeSet::new())]),
                ..FakeEngine::default()
            };
            engines.insert(Name::from(id), engine_state);
        }
        Simulation {
            random: seed + 1,
            planner,
            engines,
            delayed: Vec::new(),
            accepted: 0,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.random >> 33) % below
    }

    fn step(&mut self, now: Millis) {
        for engine in self.engines.values_mut() {
            engine.tick(now);
        }
        if now.is_multiple_of(600) {
            for (id, engine_state) in &self.engines {
                let announcement = Announcement {
                    number: 2 + now,
                    loaded: engine_state.report().loaded,
                    ..with_cached_weights(engine(id, &[]))
                };
                self.planner.observe(now, &announcement);
            }
        }
        let due: Vec<(Millis, Command)> =
            self.delayed.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, command) in due {
            self.carry_out(now, &command);
        }
        if now.is_multiple_of(3_000) && self.draw(3) == 0 {
            // Another leader takes over and knows nothing.
            self.planner = planner();
            for (id, engine_state) in &self.engines {
                let announcement = Announcement {
                    loaded: engine_state.report().loaded,
                    ..with_cached_weights(engine(id, &[]))
                };
                self.planner.observe(now, &announcement);
            }
        }
        self.demand(now);
        for command in self.planner.decide(now, &deployment(&MODELS)) {
            self.send(now, &command);
        }
        for (id, _) in self.planner.due_polls(now, &deployment(&MODELS)) {
            let report = self.engines[&id].lagging(now);
            self.planner.apply_report(now, &id, &report);
        }
    }

    fn demand(&mut self, now: Millis) {
        let model = MODELS[usize::try_from(self.draw(6)).expect("small")];
        let adapter = ["x", "y", "z"][usize::try_from(self.draw(3)).expect("small")];
        let adapter = (self.draw(2) == 0).then_some(adapter);
        wait_for(
            &mut self.planner,
            now,
            requested(model, adapter),
            Vec::new(),
        );
    }

    fn send(&mut self, now: Millis, command: &Command) {
        match self.draw(10) {
            0 => {
                self.delayed.push((now + 2_000, command.clone()));
                self.planner.command_answered(now, command, Answer::Unknown);
            }
            1 => {
                self.carry_out(now, command);
                self.planner.command_answered(now, command, Answer::Unknown);
            }
            _ => {
                let answer = self.carry_out(now, command);
                self.planner.command_answered(now, command, answer);
            }
        }
    }

    fn carry_out(&mut self, now: Millis, command: &Command) -> Answer {
        let in_use = self.draw(2) == 0;
        let engine = self.engines.get_mut(&command.server).expect("known");
        let answer = engine.execute(now, command, in_use);
        self.accepted += u32::from(answer == Answer::Accepted);
        answer
    }
}

impl FakeEngine {
    fn report(&self) -> Report {
        let loaded = self.loaded.iter().map(|(model, adapters)| {
            let names: Vec<&str> = adapters.iter().map(|a| &**a).collect();
            loaded_model(model, &names)
        });
        Report {
            busy: self.loading.is_some(),
            loaded: loaded.collect(),
            ..report(self.commands, &[])
        }
    }

    fn lagging(&self, now: Millis) -> Report {
        let past = self.past.iter().rev();
        let mut old = past.skip_while(|(at, _)| at + 200 > now);
        old.next().map_or_else(|| self.report(), |(_, r)| r.clone())
    }

    fn tick(&mut self, now: Millis) {
        if now >= self.busy_until
            && let Some(model) = self.loading.take()
        {
            self.loaded.insert(model, BTreeSet::new());
        }
        let report = self.report();
        self.past.push((now, report));
    }

    fn execute(&mut self, now: Millis, command: &Command, in_use: bool) -> Answer {
        if command.expected != self.commands || self.loading.is_some() {
            return Answer::Conflict;
        }
        let adapters: usize = self.loaded.values().map(BTreeSet::len).sum();
        match &command.op {
            Op::Load(model) => {
                if self.loaded.contains_key(model) {
                    return Answer::Holds;
                }
                assert!(
                    self.loaded.len() < 3,
                    "at {now} ms: no memory for {command:?}"
                );
                self.loading = Some(model.clone());
                self.busy_until = now + 800;
            }
            Op::Unload(model) => drop(self.loaded.remove(model)),
            Op::LoadAdapter(model, adapter) => {
                let Some(adapters_loaded) = self.loaded.get_mut(model) else {
                    return Answer::Refused;
                };
                assert!(
                    adapters < 2,
                    "at {now} ms: no adapter slot is free for {command:?}"
                );
                adapters_loaded.insert(adapter.clone());
            }
            Op::UnloadAdapter(model, adapter) => {
                let Some(adapters_loaded) = self.loaded.get_mut(model) else {
                    return Answer::Refused;
                };
                self.commands += 1;
                if in_use {
                    // Its requests continue, so it stays loaded for now.
                    return Answer::Accepted;
                }
                adapters_loaded.remove(adapter);
                return Answer::Holds;
            }
        }
        self.commands += 1;
        Answer::Accepted
    }
}
