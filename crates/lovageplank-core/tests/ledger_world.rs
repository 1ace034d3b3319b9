//! Drives the ledger against engines whose commands, answers and reports come late, twice or never,
//! and compares what the engines really hold with what the ledger allows.

use lovageplank_core::backend::LoadedReplica;
use lovageplank_core::ledger::{
    Action, Adoption, Engine, Ledger, Load, Observation, Op, Outcome, Pair, Phase, Record, Refusal,
    Reply,
};
use lovageplank_core::view::ReplicaId;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

type Key = (Arc<str>, Arc<str>);

const SEEDS: u64 = 400;
const STEPS: usize = 1_000;
const MEMORY_MB: u64 = 100;

/// What an engine really does.
struct Sim {
    id: Arc<str>,
    incarnation: u64,
    fencing: bool,
    held: BTreeMap<Key, Held>,
    /// Highest token executed for each replica.
    fence: BTreeMap<Key, u64>,
    /// Replicas that broke down by themselves and weren't loaded again.
    broken: BTreeSet<Key>,
    /// Forgotten by the ledger while running.
    forgotten: bool,
}

struct Held {
    memory_mb: u64,
    token: u64,
    loading: bool,
    unloading: bool,
}

struct World {
    rng: StdRng,
    ledger: Ledger,
    index: u64,
    sims: Vec<Sim>,
    /// Sends on their way, each with the megabytes that a load takes.
    copies: Vec<(Record, u64)>,
    answers: Vec<(u64, u32, Outcome)>,
    /// Reports asked for: engine, incarnation and basis.
    asked: Vec<(usize, u64, u64)>,
    reports: Vec<Observation>,
    counts: BTreeMap<&'static str, u64>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            ledger: Ledger::default(),
            index: 0,
            sims: Vec::new(),
            copies: Vec::new(),
            answers: Vec::new(),
            asked: Vec::new(),
            reports: Vec::new(),
            counts: BTreeMap::new(),
        };
        for (id, fencing) in [("checks", true), ("ignores", false), ("other", false)] {
            world.sims.push(Sim {
                id: id.into(),
                incarnation: 1,
                fencing,
                held: BTreeMap::new(),
                fence: BTreeMap::new(),
                broken: BTreeSet::new(),
                forgotten: false,
            });
        }
        world
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..15 => self.load(),
            15..32 => self.decide(),
            32..50 => self.deliver(),
            50..65 => self.answer(),
            65..68 => self.resend(),
            68..69 => self.lose_copy(),
            69..74 => self.ask(),
            74..89 => self.report(),
            89..95 => self.progress(),
            95 if self.rng.random_bool(0.2) => self.crash(),
            95..98 => self.register(),
            _ => self.sight(),
        }
        self.compare();
    }

    fn apply(&mut self, action: &Action) -> Result<Reply, Refusal> {
        self.index += 1;
        let before = self.index.is_multiple_of(4).then(|| self.ledger.clone());
        let result = self.ledger.apply(self.index, action);
        if let Some(before) = before
            && result.is_err()
        {
            assert_eq!(
                before, self.ledger,
                "a refusal changed something: {action:?}"
            );
        }
        if let Ok(Reply::Command(record)) = &result {
            let pair = self.ledger.pair(&record.replica).expect("decided");
            self.copies.push((record.clone(), pair.memory_mb));
        }
        result
    }

    fn count(&mut self, what: &'static str, result: &Result<Reply, Refusal>) {
        *self.counts.entry(what).or_default() += u64::from(result.is_ok());
    }

    fn replica(&mut self) -> ReplicaId {
        let sim = self.rng.random_range(0..self.sims.len());
        ReplicaId {
            model: (*["lime", "salt", "kapar"].choose(&mut self.rng).unwrap()).into(),
            version: (*["1", "2"].choose(&mut self.rng).unwrap()).into(),
            engine: self.sims[sim].id.clone(),
        }
    }

    fn load(&mut self) {
        let load = Load {
            replica: self.replica(),
            memory_mb: self.rng.random_range(10..45),
            limit: self.rng.random_range(1..3),
            surge: self.rng.random_range(0..3),
            replace_lost: self.rng.random(),
        };
        let result = self.apply(&Action::Load(load));
        self.count("load", &result);
    }

    fn decide(&mut self) {
        let mut choice = self.rng.random_range(1..16);
        let mut pairs: Vec<ReplicaId> = self.ledger.pairs().map(|p| p.0).collect();
        let surplus = self.ledger.surplus();
        if !surplus.is_empty() && self.rng.random_bool(0.6) {
            choice = 0;
            pairs = surplus;
        }
        if choice == 6 {
            let adapted = self.ledger.pairs().filter(|p| !p.1.adapters.is_empty());
            pairs = adapted.map(|p| p.0).collect();
        }
        let Some(replica) = pairs.choose(&mut self.rng).cloned() else {
            return;
        };
        let adapter = Arc::from("moss");
        let (what, action) = match choice {
            1..4 => ("drain", Action::Drain(replica)),
            4 => ("undrain", Action::Undrain(replica)),
            5 | 13..16 => ("load adapter", Action::LoadAdapter { replica, adapter }),
            6 => ("unload adapter", Action::UnloadAdapter { replica, adapter }),
            0 => (
                "adopt",
                Action::Adopt(Adoption {
                    replica,
                    memory_mb: 20,
                    limit: 2,
                    surge: 1,
                }),
            ),
            _ => ("unload", Action::Unload(replica)),
        };
        let result = self.apply(&action);
        self.count(what, &result);
    }

    fn take<T>(rng: &mut StdRng, items: &mut Vec<T>) -> Option<T> {
        (!items.is_empty()).then(|| items.swap_remove(rng.random_range(0..items.len())))
    }

    /// One copy of a command reaches its engine, if the process that it was sent to still lives.
    fn deliver(&mut self) {
        let Some((record, memory_mb)) = World::take(&mut self.rng, &mut self.copies) else {
            return;
        };
        let sim = self.sims.iter_mut().find(|s| s.id == record.replica.engine);
        let sim = sim.expect("known");
        if sim.incarnation != record.incarnation {
            return;
        }
        let pair = self.ledger.pair(&record.replica);
        let serving = pair.is_some_and(|p| p.phase == Phase::Ready) && !sim.forgotten;
        let refuse = self.rng.random_bool(0.05);
        let at_once = self.rng.random_bool(0.5);
        let outcome = sim.execute(&record, memory_mb, serving, refuse, at_once);
        if self.rng.random_bool(0.7) {
            self.answers.push((record.token, record.sends, outcome));
        }
    }

    fn answer(&mut self) {
        let Some((token, send, outcome)) = World::take(&mut self.rng, &mut self.answers) else {
            return;
        };
        if self.rng.random_bool(0.2) {
            self.answers.push((token, send, outcome));
        }
        let action = Action::Resolve {
            token,
            send,
            outcome,
        };
        let result = self.apply(&action);
        self.count("resolve", &result);
    }

    fn resend(&mut self) {
        let tokens: Vec<u64> = self.ledger.unresolved().map(|r| r.token).collect();
        if let Some(token) = tokens.choose(&mut self.rng).copied() {
            let result = self.apply(&Action::Resend { token });
            self.count("resend", &result);
        }
    }

    fn lose_copy(&mut self) {
        if let Some((record, _)) = World::take(&mut self.rng, &mut self.copies)
            && self.rng.random()
        {
            let send = record.sends;
            self.answers.push((record.token, send, Outcome::NotSent));
        }
    }

    fn ask(&mut self) {
        let sim = self.rng.random_range(0..self.sims.len());
        let incarnation = self.sims[sim].incarnation;
        self.asked.push((sim, incarnation, self.index));
    }

    fn report(&mut self) {
        match self.rng.random_range(0..8) {
            0..4 => {
                let asked = World::take(&mut self.rng, &mut self.asked);
                if let Some((sim, incarnation, basis)) = asked
                    && self.sims[sim].incarnation == incarnation
                {
                    self.reports.push(self.sims[sim].report(basis));
                }
            }
            4 => {
                let sim = self.rng.random_range(0..self.sims.len());
                self.reports.push(self.sims[sim].report(0));
            }
            _ => {
                let Some(report) = World::take(&mut self.rng, &mut self.reports) else {
                    return;
                };
                if self.rng.random_bool(0.2) {
                    self.reports.push(report.clone());
                }
                let news = self.ledger.is_news(&report);
                let before = self.ledger.clone();
                let result = self.apply(&Action::Observe(report));
                assert_eq!(news, before != self.ledger);
                self.count("observe", &result);
            }
        }
    }

    fn progress(&mut self) {
        let sim = self.rng.random_range(0..self.sims.len());
        let sim = &mut self.sims[sim];
        let keys: Vec<Key> = sim.held.keys().cloned().collect();
        let Some(key) = keys.choose(&mut self.rng) else {
            return;
        };
        let held = sim.held.get_mut(key).expect("held");
        if held.unloading {
            sim.held.remove(key);
        } else if self.rng.random_bool(0.1) {
            sim.held.remove(key);
            sim.broken.insert(key.clone());
        } else {
            held.loading = false;
            sim.broken.remove(key);
        }
    }

    fn crash(&mut self) {
        let sim = self.rng.random_range(0..self.sims.len());
        let sim = &mut self.sims[sim];
        sim.incarnation += 1;
        sim.held.clear();
        sim.fence.clear();
        sim.broken.clear();
        sim.forgotten = false;
    }

    /// An announcement, late or not, is committed.
    fn register(&mut self) {
        let sim = &self.sims[self.rng.random_range(0..self.sims.len())];
        let late = self.rng.random_range(0..2).min(sim.incarnation - 1);
        let engine = Engine::new(sim.id.clone(), sim.incarnation - late, MEMORY_MB);
        let engine = engine.fencing(sim.fencing);
        self.index += 1;
        let needed = self.ledger.is_unregistered(&engine);
        let before = self.ledger.clone();
        let result = self.ledger.register(self.index, engine);
        assert_eq!(needed, before != self.ledger);
        self.count("register", &result);
    }

    /// New incarnations end all that is unresolved, reserved or in doubt.
    fn restart(&mut self) {
        for sim in 0..self.sims.len() {
            self.sims[sim].incarnation += 1;
            let engine = Engine::new(self.sims[sim].id.clone(), u64::MAX, MEMORY_MB);
            self.index += 1;
            self.ledger.register(self.index, engine).expect("newest");
        }
        assert_eq!(self.ledger.pairs().count(), 0);
        assert_eq!(self.ledger.unresolved().count(), 0);
        assert_eq!(self.ledger.strays().count(), 0);
    }

    fn sight(&mut self) {
        let sim = self.rng.random_range(0..self.sims.len());
        let engine = self.sims[sim].id.clone();
        let incarnation = self.sims[sim].incarnation;
        if self.rng.random_bool(0.7) {
            let lost = Action::Lost {
                engine,
                incarnation,
            };
            let result = self.apply(&lost);
            self.count("lost", &result);
            return;
        }
        let known = self.ledger.engine(&engine).map(|e| e.incarnation);
        let result = self.apply(&Action::Forget { engine });
        self.count("forget", &result);
        if result.is_ok() && known == Some(incarnation) {
            self.sims[sim].forgotten = true;
        }
    }

    fn compare(&self) {
        self.ledger.check().expect("invariants");
        for sim in &self.sims {
            let held_mb: u64 = sim.held.values().map(|h| h.memory_mb).sum();
            assert!(held_mb <= MEMORY_MB, "{} overcommitted: {held_mb}", sim.id);
            let engine = self.ledger.engine(&sim.id);
            let engine = engine.filter(|e| e.incarnation == sim.incarnation);
            let Some(engine) = engine.filter(|_| !sim.forgotten) else {
                let empty = sim.held.is_empty() || sim.forgotten;
                assert!(empty, "{} holds what nobody decided", sim.id);
                continue;
            };
            let possible = self.possible(sim);
            for (key, mb) in &possible {
                let pair = engine.pairs.get(key).filter(|p| p.decided.is_some());
                let reserved_mb = pair.map(Pair::reserved_mb);
                assert!(reserved_mb.is_some(), "{}: {key:?} is not decided", sim.id);
                assert!(reserved_mb >= Some(*mb), "{}: {key:?} has {mb} MB", sim.id);
            }
            let possible_mb: u64 = possible.values().sum();
            assert!(possible_mb <= MEMORY_MB, "{}: {possible_mb} MB", sim.id);
            for (key, pair) in &engine.pairs {
                assert!(pair.decided.is_some(), "an old report brought {key:?} back");
                if matches!(pair.phase, Phase::Ready | Phase::Draining) {
                    let held = sim.held.get(key).is_some_and(|h| !h.loading);
                    let broken = sim.broken.contains(key);
                    assert!(held || broken, "{}: {key:?} isn't ready", sim.id);
                }
            }
        }
    }

    /// Replicas that an engine holds or that a copy under way may still load, with megabytes.
    fn possible(&self, sim: &Sim) -> BTreeMap<Key, u64> {
        let held = sim.held.iter().map(|(k, h)| (k.clone(), h.memory_mb));
        let mut possible: BTreeMap<Key, u64> = held.collect();
        for (record, memory_mb) in &self.copies {
            let key = key(&record.replica);
            let fence = sim.fence.get(&key).copied().unwrap_or_default();
            let dead = record.replica.engine != sim.id
                || record.incarnation != sim.incarnation
                || record.op != Op::Load
                || (sim.fencing && record.token < fence);
            if !dead {
                let mb = possible.entry(key).or_default();
                *mb = (*mb).max(*memory_mb);
            }
        }
        possible
    }
}

impl Sim {
    fn execute(
        &mut self,
        record: &Record,
        memory_mb: u64,
        serving: bool,
        refuse: bool,
        at_once: bool,
    ) -> Outcome {
        let key = key(&record.replica);
        let fence = self.fence.entry(key.clone()).or_default();
        if refuse || (self.fencing && record.token < *fence) {
            return Outcome::Rejected;
        }
        *fence = record.token.max(*fence);
        match record.op {
            Op::Load => self.execute_load(&key, record.token, memory_mb, at_once),
            Op::Unload => self.execute_unload(&key, serving, at_once),
            Op::LoadAdapter(_) | Op::UnloadAdapter(_) if self.held.contains_key(&key) => {
                Outcome::Done
            }
            Op::LoadAdapter(_) | Op::UnloadAdapter(_) => Outcome::Rejected,
        }
    }

    fn execute_load(&mut self, key: &Key, token: u64, memory_mb: u64, at_once: bool) -> Outcome {
        let held = self.held.entry(key.clone()).or_insert(Held {
            memory_mb,
            token,
            loading: !at_once,
            unloading: false,
        });
        held.token = token;
        held.unloading = false;
        if held.loading {
            return Outcome::Accepted;
        }
        self.broken.remove(key);
        Outcome::Done
    }

    fn execute_unload(&mut self, key: &Key, serving: bool, at_once: bool) -> Outcome {
        assert!(!serving, "{}: {key:?} was cut while it served", self.id);
        match self.held.get_mut(key) {
            Some(held) if !at_once => {
                held.unloading = true;
                Outcome::Accepted
            }
            _ => {
                self.held.remove(key);
                Outcome::Done
            }
        }
    }

    fn report(&self, basis: u64) -> Observation {
        let loaded = self
            .held
            .iter()
            .map(|((model, version), held)| LoadedReplica {
                model: model.clone(),
                version: version.clone(),
                adapters: BTreeSet::new(),
                memory_mb: held.memory_mb,
                fencing_token: if self.fencing { held.token } else { 0 },
                loading: held.loading,
                running: 0,
            });
        Observation {
            engine: self.id.clone(),
            incarnation: self.incarnation,
            loaded: loaded.collect(),
            basis,
        }
    }
}

fn key(replica: &ReplicaId) -> Key {
    (replica.model.clone(), replica.version.clone())
}

#[test]
fn engines_hold_only_what_was_decided() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        world.restart();
        for (what, count) in world.counts {
            *counts.entry(what).or_default() += count;
        }
    }
    // Each kind of entry must have been accepted often, or the run has shown nothing about it.
    let rare: Vec<_> = counts.iter().filter(|(_, count)| **count < 100).collect();
    assert!(rare.is_empty(), "accepted too rarely: {rare:?}");
    assert_eq!(counts.len(), 13, "{counts:?}");
}
