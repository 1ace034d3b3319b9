//! State of the ledger, the engines and the messages in flight, and its invariants.

use super::engine::{self, CHECKS_FENCING_TOKENS, CommandMessage, EngineReport, EngineState};
use super::{
    Arc, BTreeMap, BTreeSet, Budget, CAPACITY_MB, Ledger, Load, Op, Outcome, REPLICA_MB, Reply,
    ledger,
};
use std::hash::{DefaultHasher, Hash, Hasher};

/// State of the ledger, the engines and the messages in flight.
#[derive(Clone)]
pub struct State {
    /// Shared with the states that have the same ledger.
    pub(super) shared_ledger: Arc<FingerprintedLedger>,
    /// Index of the last log entry.
    pub(super) index: u64,
    /// Maximum number of replicas of each model.
    pub(super) limit: u32,
    pub(super) engines: [EngineState; 2],
    /// Commands in flight to the engines.
    pub(super) commands: BTreeSet<CommandMessage>,
    /// Outcomes that are not committed yet, after their token and send number.
    pub(super) outcomes: BTreeSet<(u64, u32, Outcome)>,
    /// Report requests in flight: engine, incarnation and basis.
    pub(super) report_requests: BTreeSet<(u8, u64, u64)>,
    /// Reports in flight to the leader.
    pub(super) reports: BTreeSet<EngineReport>,
    /// Events that may still happen.
    pub(super) budget: Budget,
    /// The invariant that a step violated, if any.
    pub(super) violation: Option<&'static str>,
}

/// A ledger with its fingerprint, which is computed once for each ledger.
pub(super) struct FingerprintedLedger {
    ledger: Ledger,
    fingerprint: u64,
}

impl FingerprintedLedger {
    fn new(ledger: Ledger) -> Arc<FingerprintedLedger> {
        let fingerprint = fingerprint(&ledger);
        Arc::new(FingerprintedLedger {
            ledger,
            fingerprint,
        })
    }
}

impl State {
    pub(super) fn new(budget: Budget) -> State {
        let engines = CHECKS_FENCING_TOKENS.map(|fencing| EngineState {
            incarnation: 1,
            fencing,
            replicas: BTreeMap::new(),
            highest_tokens: BTreeMap::new(),
        });
        let mut state = State {
            shared_ledger: FingerprintedLedger::new(Ledger::default()),
            index: 0,
            limit: 1,
            engines,
            commands: BTreeSet::new(),
            outcomes: BTreeSet::new(),
            report_requests: BTreeSet::new(),
            reports: BTreeSet::new(),
            budget,
            violation: None,
        };
        state.register(0);
        state.register(1);
        state
    }

    pub(super) fn ledger(&self) -> &Ledger {
        &self.shared_ledger.ledger
    }

    /// Commits a log entry, which takes an index only if it changes the ledger. Returns `None` if
    /// the ledger refuses the entry.
    pub(super) fn apply(&mut self, action: &ledger::Action) -> Option<Reply> {
        let mut ledger = self.ledger().clone();
        let reply = ledger.apply(self.index + 1, action).ok()?;
        if ledger != *self.ledger() {
            self.index += 1;
            self.shared_ledger = FingerprintedLedger::new(ledger);
        }
        Some(reply)
    }

    /// Commits a log entry and sends the command that it permits, if any.
    pub(super) fn commit_and_send(&mut self, action: &ledger::Action) -> Option<Reply> {
        let reply = self.apply(action);
        if let Some(Reply::Command(record)) = &reply {
            let (engine, model) = engine::indices(&record.replica);
            self.commands.insert(CommandMessage {
                token: record.token,
                send: record.sends,
                engine,
                model,
                incarnation: record.incarnation,
                op: record.op.clone(),
            });
        }
        reply
    }

    pub(super) fn resolve(&mut self, token: u64, send: u32, outcome: Outcome) {
        self.apply(&ledger::Action::Resolve {
            token,
            send,
            outcome,
        });
    }

    pub(super) fn load_decision(&self, engine: u8, model: u8) -> Load {
        Load {
            replica: engine::replica_id(engine, model),
            memory_mb: REPLICA_MB,
            limit: self.limit,
            surge: 0,
            replace_lost: false,
        }
    }

    /// Sends a load with the token that it would have if it were committed next.
    pub(super) fn send_uncommitted(&mut self, engine: u8, model: u8) {
        self.commands.insert(CommandMessage {
            token: self.index + 1,
            send: 1,
            engine,
            model,
            incarnation: self.engines[usize::from(engine)].incarnation,
            op: Op::Load,
        });
    }

    pub(super) fn send_report(&mut self, engine: u8, basis: u64) {
        let engine_state = &self.engines[usize::from(engine)];
        let report = EngineReport {
            engine,
            incarnation: engine_state.incarnation,
            replicas: engine_state.replicas.clone(),
            basis,
        };
        self.reports.insert(report);
    }

    pub(super) fn crash(&mut self, engine: u8) {
        let engine_state = &mut self.engines[usize::from(engine)];
        engine_state.incarnation += 1;
        engine_state.replicas.clear();
        engine_state.highest_tokens.clear();
    }

    pub(super) fn register(&mut self, engine: u8) {
        let engine_state = &self.engines[usize::from(engine)];
        let registration =
            ledger::Engine::new(engine::name(engine), engine_state.incarnation, CAPACITY_MB);
        let registration = registration.fencing(engine_state.fencing);
        self.index += 1;
        let mut ledger = self.ledger().clone();
        if ledger.register(self.index, registration).is_ok() {
            self.shared_ledger = FingerprintedLedger::new(ledger);
        }
    }

    pub(super) fn is_unregistered(&self, engine: u8) -> bool {
        let registered = self.ledger().engine(&engine::name(engine));
        let incarnation = self.engines[usize::from(engine)].incarnation;
        registered.is_none_or(|e| e.incarnation < incarnation)
    }

    /// Removes report requests to earlier incarnations, which can no longer be delivered, and,
    /// unless `any_incarnation` is set, commands to them.
    pub(super) fn remove_undeliverable(&mut self, any_incarnation: bool) {
        let engines = &self.engines;
        let is_current_incarnation =
            |engine: u8, i: u64| engines[usize::from(engine)].incarnation == i;
        self.commands
            .retain(|c| any_incarnation || is_current_incarnation(c.engine, c.incarnation));
        self.report_requests
            .retain(|(engine, i, _)| is_current_incarnation(*engine, *i));
    }

    pub(super) fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.shared_ledger.fingerprint.hash(&mut hasher);
        (self.index, self.limit, self.budget, self.violation).hash(&mut hasher);
        (&self.engines, &self.commands).hash(&mut hasher);
        (&self.outcomes, &self.report_requests, &self.reports).hash(&mut hasher);
        hasher.finish()
    }

    pub(super) fn check(&self) -> Result<(), String> {
        if let Some(violation) = self.violation {
            return Err(violation.to_owned());
        }
        if let Err(violation) = self.ledger().check() {
            return Err(format!("the ledger's own invariants hold: {violation:?}"));
        }
        let mut replica_counts = BTreeMap::new();
        for engine in 0..2 {
            let replicas = &self.engines[usize::from(engine)].replicas;
            if replicas
                .keys()
                .any(|model| !self.is_decided(engine, *model))
            {
                return Err("an engine holds only what was decided".to_owned());
            }
            let loaded_or_executable = self.loaded_or_executable(engine);
            if REPLICA_MB * loaded_or_executable.len() as u64 > CAPACITY_MB {
                return Err("loaded and executable loads fit into memory".to_owned());
            }
            for model in loaded_or_executable {
                *replica_counts.entry(model).or_insert(0) += 1;
            }
        }
        if replica_counts.values().any(|count| *count > self.limit) {
            return Err("loaded and executable loads are within the limit".to_owned());
        }
        Ok(())
    }

    /// Whether the ledger has a decision for the model on the engine's current incarnation.
    fn is_decided(&self, engine: u8, model: u8) -> bool {
        let registered = self.ledger().engine(&engine::name(engine));
        let incarnation = self.engines[usize::from(engine)].incarnation;
        let registered = registered.filter(|e| e.incarnation == incarnation);
        let replica_state =
            registered.and_then(|e| e.replica_state(&engine::replica_id(engine, model)));
        replica_state.is_some_and(|s| s.decided.is_some())
    }

    /// Models that have a replica on the engine, or a load in flight that the engine would execute.
    fn loaded_or_executable(&self, engine: u8) -> BTreeSet<u8> {
        let engine_state = &self.engines[usize::from(engine)];
        let executable_loads = self.commands.iter().filter(|c| {
            c.engine == engine
                && c.incarnation == engine_state.incarnation
                && c.op == Op::Load
                && !engine_state.rejects(c)
        });
        let loaded = engine_state.replicas.keys().copied();
        loaded.chain(executable_loads.map(|c| c.model)).collect()
    }
}

fn fingerprint(ledger: &Ledger) -> u64 {
    let mut hasher = DefaultHasher::new();
    for engine in ledger.engines() {
        (engine.incarnation, engine.lost).hash(&mut hasher);
        (engine.registered_at, engine.last_removal_index).hash(&mut hasher);
        for (key, replica_state) in &engine.replica_states {
            (
                key,
                replica_state.memory_mb,
                replica_state.measured_mb,
                replica_state.phase,
            )
                .hash(&mut hasher);
            (
                replica_state.decided,
                replica_state.command,
                replica_state.min_report_basis,
                &replica_state.adapters,
            )
                .hash(&mut hasher);
        }
    }
    for record in ledger.unresolved().chain(ledger.settled_commands()) {
        record.hash(&mut hasher);
    }
    hasher.finish()
}
