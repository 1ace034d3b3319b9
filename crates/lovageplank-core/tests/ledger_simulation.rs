//! Simulates engines whose commands, answers and reports arrive late, twice or never, and
//! compares the replicas that the engines have loaded with those that the ledger has decided.

use lovageplank_core::backend::LoadedReplica;
use lovageplank_core::ledger::{
    Action, Adoption, CommandRecord, Engine, Ledger, Load, Observation, Op, Outcome, Phase,
    Refusal, ReplicaState, Reply,
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

/// The actual state of an engine.
struct SimulatedEngine {
    id: Arc<str>,
    incarnation: u64,
    fencing: bool,
    loaded: BTreeMap<Key, SimulatedReplica>,
    /// Highest fencing token executed for each replica.
    highest_token: BTreeMap<Key, u64>,
    /// Replicas that failed without a command and weren't loaded again.
    failed: BTreeSet<Key>,
    /// Whether the ledger forgot the engine while its process was running.
    forgotten: bool,
}

struct SimulatedReplica {
    memory_mb: u64,
    token: u64,
    loading: bool,
    unloading: bool,
}

struct Simulation {
    rng: StdRng,
    ledger: Ledger,
    index: u64,
    engines: Vec<SimulatedEngine>,
    /// Sends in flight, each with the memory of the replica in megabytes.
    sends_in_flight: Vec<(CommandRecord, u64)>,
    answers: Vec<(u64, u32, Outcome)>,
    /// Requested reports: engine, incarnation and basis.
    report_requests: Vec<(usize, u64, u64)>,
    reports: Vec<Observation>,
    counts: BTreeMap<&'static str, u64>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation {
            rng: StdRng::seed_from_u64(seed),
            ledger: Ledger::default(),
            index: 0,
            engines: Vec::new(),
            sends_in_flight: Vec::new(),
            answers: Vec::new(),
            report_requests: Vec::new(),
            reports: Vec::new(),
            counts: BTreeMap::new(),
        };
        for (id, fencing) in [("checks", true), ("ignores", false), ("other", false)] {
            simulation.engines.push(SimulatedEngine {
                id: id.into(),
                incarnation: 1,
                fencing,
                loaded: BTreeMap::new(),
                highest_token: BTreeMap::new(),
                failed: BTreeSet::new(),
                forgotten: false,
            });
        }
        simulation
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..15 => self.load(),
            15..32 => self.change_replica(),
            32..50 => self.deliver_send(),
            50..65 => self.deliver_answer(),
            65..68 => self.resend(),
            68..69 => self.drop_send(),
            69..74 => self.request_report(),
            74..89 => self.exchange_report(),
            89..95 => self.finish_operation(),
            95 if self.rng.random_bool(0.2) => self.crash_engine(),
            95..98 => self.register_engine(),
            _ => self.lose_or_forget_engine(),
        }
        self.check_against_engines();
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
                "a refused action changed the ledger: {action:?}"
            );
        }
        if let Ok(Reply::Command(record)) = &result {
            let state = self
                .ledger
                .replica_state(&record.replica)
                .expect("a commanded replica should be recorded");
            self.sends_in_flight.push((record.clone(), state.memory_mb));
        }
        result
    }

    fn count(&mut self, what: &'static str, result: &Result<Reply, Refusal>) {
        *self.counts.entry(what).or_default() += u64::from(result.is_ok());
    }

    fn replica(&mut self) -> ReplicaId {
        let sim = self.rng.random_range(0..self.engines.len());
        ReplicaId {
            model: (*["lime", "salt", "kapar"].choose(&mut self.rng).unwrap()).into(),
            version: (*["1", "2"].choose(&mut self.rng).unwrap()).into(),
            engine: self.engines[sim].id.clone(),
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

    fn change_replica(&mut self) {
        let mut choice = self.rng.random_range(1..16);
        let mut replicas: Vec<ReplicaId> = self.ledger.replica_states().map(|p| p.0).collect();
        let surplus = self.ledger.surplus();
        if !surplus.is_empty() && self.rng.random_bool(0.6) {
            choice = 0;
            replicas = surplus;
        }
        if choice == 6 {
            let adapted = self
                .ledger
                .replica_states()
                .filter(|p| !p.1.adapters.is_empty());
            replicas = adapted.map(|p| p.0).collect();
        }
        let Some(replica) = replicas.choose(&mut self.rng).cloned() else {
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

    fn take_random<T>(rng: &mut StdRng, items: &mut Vec<T>) -> Option<T> {
        (!items.is_empty()).then(|| items.swap_remove(rng.random_range(0..items.len())))
    }

    /// Delivers one send to its engine if the process that it was sent to is still running.
    fn deliver_send(&mut self) {
        let Some((record, memory_mb)) =
            Simulation::take_random(&mut self.rng, &mut self.sends_in_flight)
        else {
            return;
        };
        let sim = self
            .engines
            .iter_mut()
            .find(|s| s.id == record.replica.engine);
        let sim = sim.expect("the engine should be simulated");
        if sim.incarnation != record.incarnation {
            return;
        }
        let state = self.ledger.replica_state(&record.replica);
        let serving = state.is_some_and(|p| p.phase == Phase::Ready) && !sim.forgotten;
        let refuse = self.rng.random_bool(0.05);
        let synchronous = self.rng.random_bool(0.5);
        let outcome = sim.execute(&record, memory_mb, serving, refuse, synchronous);
        if self.rng.random_bool(0.7) {
            self.answers.push((record.token, record.sends, outcome));
        }
    }

    fn deliver_answer(&mut self) {
        let Some((token, send, outcome)) =
            Simulation::take_random(&mut self.rng, &mut self.answers)
        else {
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

    fn drop_send(&mut self) {
        if let Some((record, _)) = Simulation::take_random(&mut self.rng, &mut self.sends_in_flight)
            && self.rng.random()
        {
            let send = record.sends;
            self.answers.push((record.token, send, Outcome::NotSent));
        }
    }

    fn request_report(&mut self) {
        let sim = self.rng.random_range(0..self.engines.len());
        let incarnation = self.engines[sim].incarnation;
        self.report_requests.push((sim, incarnation, self.index));
    }

    fn exchange_report(&mut self) {
        match self.rng.random_range(0..8) {
            0..4 => {
                let request = Simulation::take_random(&mut self.rng, &mut self.report_requests);
                if let Some((sim, incarnation, basis)) = request
                    && self.engines[sim].incarnation == incarnation
                {
                    self.reports.push(self.engines[sim].report(basis));
                }
            }
            4 => {
                let sim = self.rng.random_range(0..self.engines.len());
                self.reports.push(self.engines[sim].report(0));
            }
            _ => {
                let Some(report) = Simulation::take_random(&mut self.rng, &mut self.reports) else {
                    return;
                };
                if self.rng.random_bool(0.2) {
                    self.reports.push(report.clone());
                }
                let expect_change = self.ledger.would_change(&report);
                let before = self.ledger.clone();
                let result = self.apply(&Action::Observe(report));
                assert_eq!(expect_change, before != self.ledger);
                self.count("observe", &result);
            }
        }
    }

    fn finish_operation(&mut self) {
        let sim = self.rng.random_range(0..self.engines.len());
        let sim = &mut self.engines[sim];
        let keys: Vec<Key> = sim.loaded.keys().cloned().collect();
        let Some(key) = keys.choose(&mut self.rng) else {
            return;
        };
        let loaded = sim
            .loaded
            .get_mut(key)
            .expect("the key comes from the loaded replicas");
        if loaded.unloading {
            sim.loaded.remove(key);
        } else if self.rng.random_bool(0.1) {
            sim.loaded.remove(key);
            sim.failed.insert(key.clone());
        } else {
            loaded.loading = false;
            sim.failed.remove(key);
        }
    }

    fn crash_engine(&mut self) {
        let sim = self.rng.random_range(0..self.engines.len());
        let sim = &mut self.engines[sim];
        sim.incarnation += 1;
        sim.loaded.clear();
        sim.highest_token.clear();
        sim.failed.clear();
        sim.forgotten = false;
    }

    /// Commits an announcement of the current incarnation or of the previous one.
    fn register_engine(&mut self) {
        let sim = &self.engines[self.rng.random_range(0..self.engines.len())];
        let late = self.rng.random_range(0..2).min(sim.incarnation - 1);
        let engine = Engine::new(sim.id.clone(), sim.incarnation - late, MEMORY_MB);
        let engine = engine.fencing(sim.fencing);
        self.index += 1;
        let needed = self.ledger.needs_registration(&engine);
        let before = self.ledger.clone();
        let result = self.ledger.register(self.index, engine);
        assert_eq!(needed, before != self.ledger);
        self.count("register", &result);
    }

    /// Registers new incarnations, which must drop all replicas and commands.
    fn restart_all_engines(&mut self) {
        for sim in 0..self.engines.len() {
            self.engines[sim].incarnation += 1;
            let engine = Engine::new(self.engines[sim].id.clone(), u64::MAX, MEMORY_MB);
            self.index += 1;
            self.ledger
                .register(self.index, engine)
                .expect("the largest incarnation should register");
        }
        assert_eq!(self.ledger.replica_states().count(), 0);
        assert_eq!(self.ledger.unresolved().count(), 0);
        assert_eq!(self.ledger.settled_commands().count(), 0);
    }

    fn lose_or_forget_engine(&mut self) {
        let sim = self.rng.random_range(0..self.engines.len());
        let engine = self.engines[sim].id.clone();
        let incarnation = self.engines[sim].incarnation;
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
            self.engines[sim].forgotten = true;
        }
    }

    fn check_against_engines(&self) {
        self.ledger
            .check()
            .expect("the ledger's invariants should hold");
        for sim in &self.engines {
            let loaded_mb: u64 = sim.loaded.values().map(|h| h.memory_mb).sum();
            assert!(
                loaded_mb <= MEMORY_MB,
                "{}: {loaded_mb} MB loaded, more than {MEMORY_MB} MB",
                sim.id
            );
            let engine = self.ledger.engine(&sim.id);
            let engine = engine.filter(|e| e.incarnation == sim.incarnation);
            let Some(engine) = engine.filter(|_| !sim.forgotten) else {
                let empty = sim.loaded.is_empty() || sim.forgotten;
                assert!(
                    empty,
                    "{}: an unregistered incarnation has loaded replicas",
                    sim.id
                );
                continue;
            };
            let possibly_loaded = self.possibly_loaded(sim);
            for (key, mb) in &possibly_loaded {
                let state = engine
                    .replica_states
                    .get(key)
                    .filter(|p| p.decided.is_some());
                let reserved_mb = state.map(ReplicaState::reserved_mb);
                assert!(
                    reserved_mb.is_some(),
                    "{}: {key:?} may be loaded but is not decided",
                    sim.id
                );
                assert!(
                    reserved_mb >= Some(*mb),
                    "{}: {key:?} may take {mb} MB, more than reserved",
                    sim.id
                );
            }
            let possibly_loaded_mb: u64 = possibly_loaded.values().sum();
            assert!(
                possibly_loaded_mb <= MEMORY_MB,
                "{}: {possibly_loaded_mb} MB may be loaded, more than {MEMORY_MB} MB",
                sim.id
            );
            for (key, state) in &engine.replica_states {
                assert!(
                    state.decided.is_some(),
                    "an outdated report recorded {key:?} without a decision"
                );
                if matches!(state.phase, Phase::Ready | Phase::Draining) {
                    let loaded = sim.loaded.get(key).is_some_and(|h| !h.loading);
                    let failed = sim.failed.contains(key);
                    assert!(
                        loaded || failed,
                        "{}: {key:?} is ready or draining in the ledger but not loaded",
                        sim.id
                    );
                }
            }
        }
    }

    /// Replicas that an engine has loaded or that a send in flight may still load, with their memory
    /// in megabytes.
    fn possibly_loaded(&self, sim: &SimulatedEngine) -> BTreeMap<Key, u64> {
        let loaded = sim.loaded.iter().map(|(k, h)| (k.clone(), h.memory_mb));
        let mut possibly_loaded: BTreeMap<Key, u64> = loaded.collect();
        for (record, memory_mb) in &self.sends_in_flight {
            let key = key(&record.replica);
            let highest_token = sim.highest_token.get(&key).copied().unwrap_or_default();
            let cannot_load = record.replica.engine != sim.id
                || record.incarnation != sim.incarnation
                || record.op != Op::Load
                || (sim.fencing && record.token < highest_token);
            if !cannot_load {
                let mb = possibly_loaded.entry(key).or_default();
                *mb = (*mb).max(*memory_mb);
            }
        }
        possibly_loaded
    }
}

impl SimulatedEngine {
    fn execute(
        &mut self,
        record: &CommandRecord,
        memory_mb: u64,
        serving: bool,
        refuse: bool,
        synchronous: bool,
    ) -> Outcome {
        let key = key(&record.replica);
        let highest_token = self.highest_token.entry(key.clone()).or_default();
        if refuse || (self.fencing && record.token < *highest_token) {
            return Outcome::Rejected;
        }
        *highest_token = record.token.max(*highest_token);
        match record.op {
            Op::Load => self.execute_load(&key, record.token, memory_mb, synchronous),
            Op::Unload => self.execute_unload(&key, serving, synchronous),
            Op::LoadAdapter(_) | Op::UnloadAdapter(_) if self.loaded.contains_key(&key) => {
                Outcome::Done
            }
            Op::LoadAdapter(_) | Op::UnloadAdapter(_) => Outcome::Rejected,
        }
    }

    fn execute_load(
        &mut self,
        key: &Key,
        token: u64,
        memory_mb: u64,
        synchronous: bool,
    ) -> Outcome {
        let loaded = self.loaded.entry(key.clone()).or_insert(SimulatedReplica {
            memory_mb,
            token,
            loading: !synchronous,
            unloading: false,
        });
        loaded.token = token;
        loaded.unloading = false;
        if loaded.loading {
            return Outcome::Accepted;
        }
        self.failed.remove(key);
        Outcome::Done
    }

    fn execute_unload(&mut self, key: &Key, serving: bool, synchronous: bool) -> Outcome {
        assert!(!serving, "{}: {key:?} was unloaded while ready", self.id);
        match self.loaded.get_mut(key) {
            Some(loaded) if !synchronous => {
                loaded.unloading = true;
                Outcome::Accepted
            }
            _ => {
                self.loaded.remove(key);
                Outcome::Done
            }
        }
    }

    fn report(&self, basis: u64) -> Observation {
        let loaded = self
            .loaded
            .iter()
            .map(|((model, version), loaded)| LoadedReplica {
                model: model.clone(),
                version: version.clone(),
                adapters: BTreeSet::new(),
                memory_mb: loaded.memory_mb,
                fencing_token: if self.fencing { loaded.token } else { 0 },
                loading: loaded.loading,
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
fn engines_load_only_decided_replicas() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        simulation.restart_all_engines();
        for (what, count) in simulation.counts {
            *counts.entry(what).or_default() += count;
        }
    }
    // A kind of log entry that is rarely accepted is not tested by this run.
    let rare: Vec<_> = counts.iter().filter(|(_, count)| **count < 100).collect();
    assert!(rare.is_empty(), "accepted too rarely: {rare:?}");
    assert_eq!(counts.len(), 13, "{counts:?}");
}
