//! Tests the idempotency table: verdicts of scripted log entries, limits, and random runs that count
//! how often each key is dispatched.

use lovageplank_core::idempotency::{
    Answer, Claim, Key, MAX_ANSWER_BYTES, MAX_RECORDS_PER_SERVICE, Outcome, Table, Verdict,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const TTL_MS: u64 = 1_000;

fn claim(key: &str, router: &str, incarnation: u64, attempt: u64, at_ms: u64) -> Claim {
    Claim {
        key: Key {
            service: "orders".into(),
            caller: "office".into(),
            key: key.into(),
        },
        fingerprint: 7,
        router: router.into(),
        router_incarnation: incarnation,
        attempt,
        at_ms,
        ttl_ms: TTL_MS,
    }
}

fn whole(bytes: usize) -> Answer {
    Answer::Whole {
        status: 200,
        content_type: "text/plain".into(),
        body: vec![b'x'; bytes],
    }
}

/// Name and script; the line number, from 1, is the log index.
///
/// Lines are `claim KEY ROUTER INCARNATION ATTEMPT AT`, `other` with the same arguments and another
/// fingerprint, `done CLAIM ANSWER AT`, and `abandon ROUTER INCARNATION AT`; AT is in milliseconds.
const CASES: &[(&str, &str)] = &[
    (
        "a repeated request gets the first outcome through any router",
        "claim k a 1 1 0 = Run { claim: 1 }
         claim k b 1 1 1 = InProgress
         done 1 whole 2 = true
         claim k b 1 2 3 = Done(whole)
         claim k a 1 2 4 = Done(whole)
         done 1 executed 5 = false",
    ),
    (
        "a claim repeated under its number gets the same permission",
        "claim k a 1 1 0 = Run { claim: 1 }
         claim k a 1 1 1 = Run { claim: 1 }
         claim k a 1 2 2 = InProgress",
    ),
    (
        "a key with another fingerprint is a mismatch",
        "claim k a 1 1 0 = Run { claim: 1 }
         other k a 1 2 1 = Mismatch
         claim l a 1 3 2 = Run { claim: 3 }",
    ),
    (
        "pending claims of an ended incarnation get an unknown outcome and don't run again",
        "claim k a 1 1 0 = Run { claim: 1 }
         abandon a 1 1 = 1
         claim k b 1 1 2 = Done(Unknown)
         claim l a 1 2 3 = Stale
         claim l a 2 1 4 = Run { claim: 5 }",
    ),
    (
        "a claim of a new incarnation ends the router's earlier incarnations",
        "claim k a 1 1 0 = Run { claim: 1 }
         claim l a 2 1 1 = Run { claim: 2 }
         claim k a 2 2 2 = Done(Unknown)
         claim m a 1 2 3 = Stale",
    ),
    (
        "a later outcome replaces an unknown one",
        "claim k a 1 1 0 = Run { claim: 1 }
         abandon a 1 1 = 1
         done 1 executed 2 = true
         claim k b 1 1 3 = Done(executed)",
    ),
    (
        "a request that was not run may be sent again",
        "claim k a 1 1 0 = Run { claim: 1 }
         done 1 notrun 1 = true
         done 1 whole 2 = false
         claim k b 1 1 3 = Run { claim: 4 }",
    ),
    (
        "an outcome expires after its time to live; a pending claim doesn't expire",
        "claim k a 1 1 0 = Run { claim: 1 }
         claim k b 1 1 5000 = InProgress
         done 1 whole 6000 = true
         claim k b 1 2 6999 = Done(whole)
         claim k b 1 3 7000 = Run { claim: 5 }",
    ),
    (
        "an answer too large to keep is recorded as executed",
        "claim k a 1 1 0 = Run { claim: 1 }
         done 1 large 1 = true
         claim k a 1 2 2 = Done(executed)",
    ),
];

fn apply(table: &mut Table, index: u64, line: &str) -> String {
    let number = |text: &str| {
        text.parse::<u64>()
            .expect("argument should be an unsigned integer")
    };
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        [
            kind @ ("claim" | "other"),
            key,
            router,
            incarnation,
            attempt,
            at_ms,
        ] => {
            let mut claim = claim(
                key,
                router,
                number(incarnation),
                number(attempt),
                number(at_ms),
            );
            claim.fingerprint += u64::from(kind == "other");
            match table.claim(index, &claim) {
                Verdict::Done(Answer::Whole { .. }) => "Done(whole)".into(),
                Verdict::Done(Answer::Executed { .. }) => "Done(executed)".into(),
                verdict => format!("{verdict:?}"),
            }
        }
        ["done", claim, answer, at_ms] => {
            let answer = match answer {
                "whole" => whole(10),
                "large" => whole(MAX_ANSWER_BYTES + 1),
                "executed" => Answer::Executed { status: 200 },
                "notrun" => Answer::NotRun,
                other => panic!("unknown answer: {other}"),
            };
            let (claim, at_ms) = (number(claim), number(at_ms));
            let outcome = Outcome {
                claim,
                answer,
                at_ms,
            };
            table.complete(&outcome).to_string()
        }
        ["abandon", router, incarnation, at_ms] => {
            let abandoned = table.abandon(&router.into(), number(incarnation), number(at_ms));
            abandoned.to_string()
        }
        _ => panic!("malformed script line: {line}"),
    }
}

#[test]
fn each_script_gives_the_expected_verdicts() {
    for (name, script) in CASES {
        let mut table = Table::default();
        for (line, index) in script.lines().zip(1..) {
            let (entry, expected) = line
                .split_once(" = ")
                .expect("script line should have an expected result");
            assert_eq!(
                apply(&mut table, index, entry),
                expected,
                "{name}, line {index}"
            );
        }
    }
}

#[test]
fn a_full_table_refuses_new_claims_and_keeps_its_records() {
    let mut table = Table::default();
    let full = MAX_RECORDS_PER_SERVICE as u64;
    for index in 1..=full {
        let new_claim = claim(&index.to_string(), "a", 1, index, 0);
        assert_eq!(
            table.claim(index, &new_claim),
            Verdict::Run { claim: index }
        );
    }
    assert_eq!(
        table.claim(full + 1, &claim("new", "a", 1, full + 1, 0)),
        Verdict::Full
    );
    assert_eq!(
        table.claim(full + 2, &claim("1", "b", 1, 1, 0)),
        Verdict::InProgress
    );
    let answer = whole(MAX_ANSWER_BYTES - 10);
    for index in 1..=full {
        let outcome = Outcome {
            claim: index,
            answer: answer.clone(),
            at_ms: 1,
        };
        assert!(table.complete(&outcome));
    }
    assert!(table.bytes("orders") <= lovageplank_core::idempotency::MAX_BYTES_PER_SERVICE);
    let last = claim(&full.to_string(), "b", 1, 2, 2);
    let executed = Answer::Executed { status: 200 };
    assert_eq!(table.claim(full + 3, &last), Verdict::Done(executed));
    table.expire(1 + TTL_MS);
    assert!(table.is_empty());
    assert_eq!(table.bytes("orders"), 0);
}

/// Routers dispatch each permission once, lose outcomes and change incarnations, and the table is
/// restored from its encoded form. No key may run twice within its time to live.
#[test]
fn a_key_runs_at_most_once_within_its_time_to_live() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = Table::default();
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        let mut permitted: Vec<(u64, String)> = Vec::new();
        let mut incarnations = BTreeMap::from([("a", 1), ("b", 1), ("c", 1)]);
        let mut granted: Vec<u64> = Vec::new();
        for index in 1..400 {
            let router = *["a", "b", "c"]
                .choose(&mut rng)
                .expect("the router list is not empty");
            let incarnation = incarnations[router];
            match rng.random_range(0..10) {
                0..5 => {
                    let key = rng.random_range(0..8).to_string();
                    let new_claim = claim(&key, router, incarnation, index, 0);
                    let verdict = table.claim(index, &new_claim);
                    if let Verdict::Run { claim } = verdict
                        && !granted.contains(&claim)
                    {
                        granted.push(claim);
                        permitted.push((claim, key));
                    }
                }
                5..8 if !permitted.is_empty() => {
                    let (claim, key) = permitted.swap_remove(rng.random_range(0..permitted.len()));
                    let run = rng.random_bool(0.7);
                    *runs.entry(key).or_default() += u32::from(run);
                    let answer = if run { whole(3) } else { Answer::NotRun };
                    let outcome = Outcome {
                        claim,
                        answer,
                        at_ms: 0,
                    };
                    if rng.random_bool(0.8) {
                        table.complete(&outcome);
                    }
                }
                8 => {
                    let before = incarnation - u64::from(rng.random_bool(0.5)).min(incarnation - 1);
                    table.abandon(&router.into(), before, 0);
                    incarnations.insert(router, incarnation + 1);
                }
                _ => {
                    let mut bytes = Vec::new();
                    ciborium::into_writer(&table, &mut bytes).expect("the table should encode");
                    let restored: Table =
                        ciborium::from_reader(bytes.as_slice()).expect("the table should decode");
                    assert_eq!(restored, table);
                    table = restored;
                }
            }
            assert!(
                runs.values().all(|runs| *runs <= 1),
                "seed {seed}: a key ran more than once: {runs:?}"
            );
        }
        assert!(
            runs.len() > 2,
            "seed {seed}: permissions were used for fewer than 3 keys"
        );
    }
}
