//! The state of the ledger, the engines and the messages, and its invariants.

use super::engine::{self, Copy, Engine, FENCING, Report};
use super::{
    Arc, BTreeMap, BTreeSet, Budget, CAPACITY_MB, Ledger, Load, Op, Outcome, REPLICA_MB, Reply,
    ledger,
};
use std::hash::{DefaultHasher, Hash, Hasher};

/// State of everything.
#[derive(Clone)]
pub struct State {
    /// Shared with the states that differ in messages only.
    pub(super) book: Arc<Book>,
    /// Index of the last entry that changed anything.
    pub(super) index: u64,
    pub(super) limit: u32,
    pub(super) engines: [Engine; 2],
    pub(super) copies: BTreeSet<Copy>,
    /// Token, send and what became of it.
    pub(super) answers: BTreeSet<(u64, u32, Outcome)>,
    /// Engine, incarnation and basis.
    pub(super) asked: BTreeSet<(u8, u64, u64)>,
    pub(super) reports: BTreeSet<Report>,
    pub(super) budget: Budget,
    /// The first invariant that a step violated.
    pub(super) violation: Option<&'static str>,
}

/// The ledger with its fingerprint.
pub(super) struct Book {
    ledger: Ledger,
    fingerprint: u64,
}

impl Book {
    fn new(ledger: Ledger) -> Arc<Book> {
        let fingerprint = fingerprint(&ledger);
        Arc::new(Book {
            ledger,
            fingerprint,
        })
    }
}

impl State {
    pub(super) fn new(budget: Budget) -> State {
        let engines = FENCING.map(|fencing| Engine {
            incarnation: 1,
            fencing,
            held: BTreeMap::new(),
            fence: BTreeMap::new(),
        });
        let mut state = State {
            book: Book::new(Ledger::default()),
            index: 0,
            limit: 1,
            engines,
            copies: BTreeSet::new(),
            answers: BTreeSet::new(),
            asked: BTreeSet::new(),
            reports: BTreeSet::new(),
            budget,
            violation: None,
        };
        state.register(0);
        state.register(1);
        state
    }

    pub(super) fn ledger(&self) -> &Ledger {
        &self.book.ledger
    }

    /// Commits an entry; one that changes nothing takes no index.
    pub(super) fn apply(&mut self, action: &ledger::Action) -> Option<Reply> {
        let mut ledger = self.ledger().clone();
        let reply = ledger.apply(self.index + 1, action).ok()?;
        if ledger != *self.ledger() {
            self.index += 1;
            self.book = Book::new(ledger);
        }
        Some(reply)
    }

    /// Commits a command and sends it.
    pub(super) fn command(&mut self, action: &ledger::Action) -> Option<Reply> {
        let reply = self.apply(action);
        if let Some(Reply::Command(record)) = &reply {
            let (engine, model) = engine::places(&record.replica);
            self.copies.insert(Copy {
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

    pub(super) fn load(&self, engine: u8, model: u8) -> Load {
        Load {
            replica: engine::replica(engine, model),
            memory_mb: REPLICA_MB,
            limit: self.limit,
            surge: 0,
            replace_lost: false,
        }
    }

    /// Sends a load under the index that it would have got.
    pub(super) fn send_uncommitted(&mut self, engine: u8, model: u8) {
        self.copies.insert(Copy {
            token: self.index + 1,
            send: 1,
            engine,
            model,
            incarnation: self.engines[usize::from(engine)].incarnation,
            op: Op::Load,
        });
    }

    pub(super) fn report(&mut self, engine: u8, basis: u64) {
        let sim = &self.engines[usize::from(engine)];
        let report = Report {
            engine,
            incarnation: sim.incarnation,
            held: sim.held.clone(),
            basis,
        };
        self.reports.insert(report);
    }

    pub(super) fn crash(&mut self, engine: u8) {
        let sim = &mut self.engines[usize::from(engine)];
        sim.incarnation += 1;
        sim.held.clear();
        sim.fence.clear();
    }

    pub(super) fn register(&mut self, engine: u8) {
        let sim = &self.engines[usize::from(engine)];
        let known = ledger::Engine::new(engine::name(engine), sim.incarnation, CAPACITY_MB);
        let known = known.fencing(sim.fencing);
        self.index += 1;
        let mut ledger = self.ledger().clone();
        if ledger.register(self.index, known).is_ok() {
            self.book = Book::new(ledger);
        }
    }

    pub(super) fn is_unregistered(&self, engine: u8) -> bool {
        let known = self.ledger().engine(&engine::name(engine));
        let incarnation = self.engines[usize::from(engine)].incarnation;
        known.is_none_or(|k| k.incarnation < incarnation)
    }

    /// Takes away what can reach nobody any more.
    pub(super) fn drop_dead(&mut self, any_incarnation: bool) {
        let engines = &self.engines;
        let lives = |engine: u8, i: u64| engines[usize::from(engine)].incarnation == i;
        self.copies
            .retain(|c| any_incarnation || lives(c.engine, c.incarnation));
        self.asked.retain(|(engine, i, _)| lives(*engine, *i));
    }

    pub(super) fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.book.fingerprint.hash(&mut hasher);
        (self.index, self.limit, self.budget, self.violation).hash(&mut hasher);
        (&self.engines, &self.copies).hash(&mut hasher);
        (&self.answers, &self.asked, &self.reports).hash(&mut hasher);
        hasher.finish()
    }

    pub(super) fn check(&self) -> Result<(), String> {
        if let Some(violation) = self.violation {
            return Err(violation.to_owned());
        }
        if let Err(violation) = self.ledger().check() {
            return Err(format!("the ledger's own invariants hold: {violation:?}"));
        }
        let mut counts = BTreeMap::new();
        for engine in 0..2 {
            let held = &self.engines[usize::from(engine)].held;
            if held.keys().any(|model| !self.is_decided(engine, *model)) {
                return Err("an engine holds only what was decided".to_owned());
            }
            let possible = self.possible(engine);
            if REPLICA_MB * possible.len() as u64 > CAPACITY_MB {
                return Err("loaded and executable loads fit into memory".to_owned());
            }
            for model in possible {
                *counts.entry(model).or_insert(0) += 1;
            }
        }
        if counts.values().any(|count| *count > self.limit) {
            return Err("loaded and executable loads are within the limit".to_owned());
        }
        Ok(())
    }

    fn is_decided(&self, engine: u8, model: u8) -> bool {
        let known = self.ledger().engine(&engine::name(engine));
        let incarnation = self.engines[usize::from(engine)].incarnation;
        let known = known.filter(|k| k.incarnation == incarnation);
        let pair = known.and_then(|k| k.replica_state(&engine::replica(engine, model)));
        pair.is_some_and(|p| p.decided.is_some())
    }

    /// Models that an engine holds or that a send on its way may still load.
    fn possible(&self, engine: u8) -> BTreeSet<u8> {
        let sim = &self.engines[usize::from(engine)];
        let alive = self.copies.iter().filter(|c| {
            c.engine == engine
                && c.incarnation == sim.incarnation
                && c.op == Op::Load
                && !sim.refuses(c)
        });
        let held = sim.held.keys().copied();
        held.chain(alive.map(|c| c.model)).collect()
    }
}

fn fingerprint(ledger: &Ledger) -> u64 {
    let mut hasher = DefaultHasher::new();
    for engine in ledger.engines() {
        (engine.incarnation, engine.lost).hash(&mut hasher);
        (engine.registered_at, engine.last_removal_index).hash(&mut hasher);
        for (key, pair) in &engine.replica_states {
            (key, pair.memory_mb, pair.measured_mb, pair.phase).hash(&mut hasher);
            (
                pair.decided,
                pair.command,
                pair.min_report_basis,
                &pair.adapters,
            )
                .hash(&mut hasher);
        }
    }
    for record in ledger.unresolved().chain(ledger.settled_commands()) {
        record.hash(&mut hasher);
    }
    hasher.finish()
}
