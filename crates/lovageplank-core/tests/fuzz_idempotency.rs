//! The table of keyed requests against a naive list of records, over generated steps.
//!
//! bolero's own engine draws its seeds from the system unless an environment variable says
//! otherwise, so its generators are driven here by a generator with a fixed seed.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::{TypeGenerator, ValueGenerator, produce};
use lovageplank_core::idempotency::{Answer, Claim, Key, MAX_BODY_BYTES, Outcome, Table, Verdict};
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
    /// Milliseconds since the step before.
    #[generator(0..60)]
    pause_ms: u64,
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
        /// Steps since the claim.
        #[generator(0..20)]
        since: u64,
        answer: Kind,
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
enum Kind {
    Small,
    Large,
    Executed,
    Unknown,
    NotRun,
}

impl Kind {
    fn answer(&self) -> Answer {
        let whole = |bytes| Answer::Whole {
            status: 200,
            content_type: "text/plain".into(),
            body: vec![b'x'; bytes],
        };
        match self {
            Kind::Small => whole(10),
            Kind::Large => whole(MAX_BODY_BYTES),
            Kind::Executed => Answer::Executed { status: 200 },
            Kind::Unknown => Answer::Unknown,
            Kind::NotRun => Answer::NotRun,
        }
    }
}

struct Record {
    index: u64,
    claim: Claim,
    /// The answer with its end.
    answer: Option<(Answer, u64)>,
}

/// What the rules of the module say, without its indexes.
#[derive(Default)]
struct Naive {
    records: Vec<Record>,
    /// Ended incarnations.
    ended: BTreeSet<(Name, u64)>,
}

impl Naive {
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
            let dead = claim.router == *router && claim.router_incarnation <= incarnation;
            if dead && record.answer.is_none() {
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
        let own = |c: &Claim| (c.router.clone(), c.router_incarnation, c.attempt);
        match &record.answer {
            _ if record.claim.fingerprint != claim.fingerprint => Verdict::Mismatch,
            Some((answer, _)) => Verdict::Done(answer.clone()),
            None if own(&record.claim) == own(claim) => Verdict::Run {
                claim: record.index,
            },
            None => Verdict::InProgress,
        }
    }

    fn complete(&mut self, outcome: &Outcome) -> bool {
        self.expire(outcome.at_ms);
        let place = self.records.iter().position(|r| r.index == outcome.claim);
        let Some(place) = place else { return false };
        let record = &mut self.records[place];
        if !matches!(record.answer, None | Some((Answer::Unknown, _))) {
            return false;
        }
        let answer = match &outcome.answer {
            Answer::NotRun => {
                self.records.remove(place);
                return true;
            }
            Answer::Whole { status, body, .. } if body.len() >= MAX_BODY_BYTES => {
                Answer::Executed { status: *status }
            }
            answer => answer.clone(),
        };
        record.answer = Some((answer, outcome.at_ms + TTL_MS));
        true
    }

    fn live(&self) -> BTreeMap<Name, BTreeSet<u64>> {
        let mut live: BTreeMap<Name, BTreeSet<u64>> = BTreeMap::new();
        for record in self.records.iter().filter(|r| r.answer.is_none()) {
            let routers = live.entry(record.claim.router.clone()).or_default();
            routers.insert(record.claim.router_incarnation);
        }
        live
    }
}

/// Carries out one step on both; gives the verdict of a claim.
fn apply(
    table: &mut Table,
    naive: &mut Naive,
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
                // One in twenty sends another body under the same key.
                fingerprint: u64::from(*body == 0),
                router: ROUTERS[*router].into(),
                router_incarnation: *incarnation,
                attempt: *attempt,
                at_ms,
                ttl_ms: TTL_MS,
            };
            let verdict = table.claim(index, &claim);
            assert_eq!(verdict, naive.claim(index, &claim));
            return Some(verdict);
        }
        Action::Complete { since, answer } => {
            let outcome = Outcome {
                claim: index.saturating_sub(*since),
                answer: answer.answer(),
                at_ms,
            };
            assert_eq!(table.complete(&outcome), naive.complete(&outcome));
        }
        Action::Abandon {
            router,
            incarnation,
        } => {
            let router = ROUTERS[*router].into();
            naive.expire(at_ms);
            let expected = naive.end(&router, *incarnation, at_ms);
            assert_eq!(table.abandon(&router, *incarnation, at_ms), expected);
        }
        Action::Expire => {
            table.expire(at_ms);
            naive.expire(at_ms);
        }
    }
    None
}

fn check(table: &Table, naive: &Naive) {
    assert_eq!(table.len(), naive.records.len());
    assert_eq!(table.is_empty(), naive.records.is_empty());
    assert_eq!(table.live(), naive.live());
    for service in SERVICES {
        let has = naive
            .records
            .iter()
            .any(|r| &*r.claim.key.service == service);
        assert_eq!(table.bytes(service) > 0, has);
    }
}

fn name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Run { .. } => "run",
        Verdict::InProgress => "in progress",
        Verdict::Done(_) => "done",
        Verdict::Mismatch => "mismatch",
        Verdict::Stale => "stale",
        Verdict::Full | Verdict::Malformed => "beyond these bounds",
    }
}

fn restored(table: &Table) -> Table {
    let mut bytes = Vec::new();
    ciborium::into_writer(table, &mut bytes).expect("writes");
    ciborium::from_reader(bytes.as_slice()).expect("reads")
}

#[test]
fn the_table_agrees_with_a_naive_list_of_records() {
    let options = Options::default().with_max_len(usize::MAX);
    let mut driver = Rng::new(SmallRng::seed_from_u64(SEED), &options);
    let steps = produce::<Vec<Step>>().with().len(1..60_usize);
    let mut seen = BTreeSet::new();
    for _ in 0..CASES {
        let (mut table, mut naive, mut at_ms) = (Table::default(), Naive::default(), 0);
        let list = steps.generate(&mut driver).expect("never ends");
        for (index, step) in (1..).zip(&list) {
            at_ms += step.pause_ms;
            let verdict = apply(&mut table, &mut naive, index, at_ms, &step.action);
            seen.extend(verdict.map(|v| name(&v)));
            check(&table, &naive);
        }
        assert_eq!(restored(&table), table);
    }
    let all = ["done", "in progress", "mismatch", "run", "stale"];
    assert!(seen.into_iter().eq(all), "a verdict never came up");
}
