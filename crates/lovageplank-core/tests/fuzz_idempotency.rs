//! Compares the idempotency table with a plain list of records over generated steps.
//!
//! bolero's own engine takes its seeds from the system unless an environment variable sets them, so
//! a random number generator with a fixed seed drives its value generators here.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::{TypeGenerator, ValueGenerator, produce};
use lovageplank_core::idempotency::{
    Answer, Claim, Key, MAX_ANSWER_BYTES, Outcome, Table, Verdict,
};
use lovageplank_core::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED: u64 = 20_261_203;
const CASES: usize = 600;
const TTL_MS: u64 = 300;

const SERVICES: [&str; 2] = ["orders", "drafts"];
const ROUTERS: [&str; 2] = ["router-1", "router-2"];

#[derive(Clone, Debug, TypeGenerator)]
struct Step {
    /// Milliseconds since the previous step.
    #[generator(0..60)]
    elapsed_ms: u64,
    action: Action,
}

#[derive(Clone, Debug, TypeGenerator)]
enum Action {
    Claim {
        #[generator(0..2)]
        service: usize,
        #[generator(0..3)]
        key: u8,
        #[generator(0..20)]
        body: u8,
        #[generator(0..2)]
        router: usize,
        #[generator(0..3)]
        incarnation: u64,
        #[generator(0..3)]
        attempt: u64,
    },
    Complete {
        /// Number of log indexes back to the claim.
        #[generator(0..20)]
        since: u64,
        answer: AnswerKind,
    },
    Abandon {
        #[generator(0..2)]
        router: usize,
        #[generator(0..3)]
        incarnation: u64,
    },
    Expire,
}

#[derive(Clone, Debug, TypeGenerator)]
enum AnswerKind {
    Small,
    Large,
    Executed,
    Unknown,
    NotRun,
}

impl AnswerKind {
    fn answer(&self) -> Answer {
        let whole = |bytes| Answer::Whole {
            status: 200,
            content_type: "text/plain".into(),
            body: vec![b'x'; bytes],
        };
        match self {
            AnswerKind::Small => whole(10),
            AnswerKind::Large => whole(MAX_ANSWER_BYTES),
            AnswerKind::Executed => Answer::Executed { status: 200 },
            AnswerKind::Unknown => Answer::Unknown,
            AnswerKind::NotRun => Answer::NotRun,
        }
    }
}

struct Record {
    index: u64,
    claim: Claim,
    /// The answer and its expiry time in milliseconds.
    answer: Option<(Answer, u64)>,
}

/// Reference implementation of the table's rules: a list of records without lookup indexes.
#[derive(Default)]
struct ReferenceTable {
    records: Vec<Record>,
    /// Ended incarnations by router.
    ended: BTreeSet<(Name, u64)>,
}

impl ReferenceTable {
    fn expire(&mut self, at_ms: u64) {
        let over = |r: &Record| r.answer.as_ref().is_some_and(|(_, end)| *end <= at_ms);
        self.records.retain(|r| !over(r));
    }

    fn end(&mut self, router: &Name, incarnation: u64, at_ms: u64) -> usize {
        self.ended
            .extend((0..=incarnation).map(|i| (router.clone(), i)));
        let mut count = 0;
        for record in &mut self.records {
            let claim = &record.claim;
            let ended = claim.router == *router && claim.router_incarnation <= incarnation;
            if ended && record.answer.is_none() {
                record.answer = Some((Answer::Unknown, at_ms + TTL_MS));
                count += 1;
            }
        }
        count
    }

    fn claim(&mut self, index: u64, claim: &Claim) -> Verdict {
        self.expire(claim.at_ms);
        let incarnation = claim.router_incarnation;
        if self.ended.contains(&(claim.router.clone(), incarnation)) {
            return Verdict::Stale;
        }
        if incarnation > 0 {
            self.end(&claim.router, incarnation - 1, claim.at_ms);
        }
        let Some(record) = self.records.iter().find(|r| r.claim.key == claim.key) else {
            let claim = claim.clone();
            self.records.push(Record {
                index,
                claim,
                answer: None,
            });
            return Verdict::Run { claim: index };
        };
        let identity = |c: &Claim| (c.router.clone(), c.router_incarnation, c.attempt);
        match &record.answer {
            _ if record.claim.fingerprint != claim.fingerprint => Verdict::Mismatch,
            Some((answer, _)) => Verdict::Done(answer.clone()),
            None if identity(&record.claim) == identity(claim) => Verdict::Run {
                claim: record.index,
            },
            None => Verdict::InProgress,
        }
    }

    fn complete(&mut self, outcome: &Outcome) -> bool {
        self.expire(outcome.at_ms);
        let found = self.records.iter().position(|r| r.index == outcome.claim);
        let Some(found) = found else { return false };
        let record = &mut self.records[found];
        if !matches!(record.answer, None | Some((Answer::Unknown, _))) {
            return false;
        }
        let answer = match &outcome.answer {
            Answer::NotRun => {
                self.records.remove(found);
                return true;
            }
            Answer::Whole { status, body, .. } if body.len() >= MAX_ANSWER_BYTES => {
                Answer::Executed { status: *status }
            }
            answer => answer.clone(),
        };
        record.answer = Some((answer, outcome.at_ms + TTL_MS));
        true
    }

    fn pending_by_router(&self) -> BTreeMap<Name, BTreeSet<u64>> {
        let mut pending: BTreeMap<Name, BTreeSet<u64>> = BTreeMap::new();
        for record in self.records.iter().filter(|r| r.answer.is_none()) {
            let routers = pending.entry(record.claim.router.clone()).or_default();
            routers.insert(record.claim.router_incarnation);
        }
        pending
    }
}

/// Applies one step to the table and the reference; returns the verdict of a claim.
fn apply(
    table: &mut Table,
    reference: &mut ReferenceTable,
    index: u64,
    at_ms: u64,
    action: &Action,
) -> Option<Verdict> {
    match action {
        Action::Claim {
            service,
            key,
            body,
            router,
            incarnation,
            attempt,
        } => {
            let key = Key {
                service: SERVICES[*service].into(),
                caller: "office".into(),
                key: key.to_string().into(),
            };
            let claim = Claim {
                key,
                // One claim in twenty has another fingerprint under the same key.
                fingerprint: u64::from(*body == 0),
                router: ROUTERS[*router].into(),
                router_incarnation: *incarnation,
                attempt: *attempt,
                at_ms,
                ttl_ms: TTL_MS,
            };
            let verdict = table.claim(index, &claim);
            assert_eq!(verdict, reference.claim(index, &claim));
            return Some(verdict);
        }
        Action::Complete { since, answer } => {
            let outcome = Outcome {
                claim: index.saturating_sub(*since),
                answer: answer.answer(),
                at_ms,
            };
            assert_eq!(table.complete(&outcome), reference.complete(&outcome));
        }
        Action::Abandon {
            router,
            incarnation,
        } => {
            let router = ROUTERS[*router].into();
            reference.expire(at_ms);
            let expected = reference.end(&router, *incarnation, at_ms);
            assert_eq!(table.abandon(&router, *incarnation, at_ms), expected);
        }
        Action::Expire => {
            table.expire(at_ms);
            reference.expire(at_ms);
        }
    }
    None
}

fn assert_same_records(table: &Table, reference: &ReferenceTable) {
    assert_eq!(table.len(), reference.records.len());
    assert_eq!(table.is_empty(), reference.records.is_empty());
    assert_eq!(table.pending_by_router(), reference.pending_by_router());
    for service in SERVICES {
        let has = reference
            .records
            .iter()
            .any(|r| &*r.claim.key.service == service);
        assert_eq!(table.bytes(service) > 0, has);
    }
}

fn verdict_name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Run { .. } => "run",
        Verdict::InProgress => "in progress",
        Verdict::Done(_) => "done",
        Verdict::Mismatch => "mismatch",
        Verdict::Stale => "stale",
        Verdict::Full | Verdict::Malformed => "limit exceeded",
    }
}

fn round_trip(table: &Table) -> Table {
    let mut bytes = Vec::new();
    ciborium::into_writer(table, &mut bytes).expect("the table should encode");
    ciborium::from_reader(bytes.as_slice()).expect("the table should decode")
}

#[test]
fn the_table_agrees_with_the_reference_table() {
    let options = Options::default().with_max_len(usize::MAX);
    let mut driver = Rng::new(SmallRng::seed_from_u64(SEED), &options);
    let steps = produce::<Vec<Step>>().with().len(1..60_usize);
    let mut verdicts_seen = BTreeSet::new();
    for _ in 0..CASES {
        let (mut table, mut reference, mut at_ms) =
            (Table::default(), ReferenceTable::default(), 0);
        let list = steps
            .generate(&mut driver)
            .expect("the generator should yield steps");
        for (index, step) in (1..).zip(&list) {
            at_ms += step.elapsed_ms;
            let verdict = apply(&mut table, &mut reference, index, at_ms, &step.action);
            verdicts_seen.extend(verdict.map(|v| verdict_name(&v)));
            assert_same_records(&table, &reference);
        }
        assert_eq!(round_trip(&table), table);
    }
    let all = ["done", "in progress", "mismatch", "run", "stale"];
    assert!(
        verdicts_seen.into_iter().eq(all),
        "not every verdict occurred"
    );
}
