//! Retries: who may, when, and how many.

use lovageplank_core::retry::{Config, Decision, Outcome, Retrier, Situation};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const CALM: Situation = Situation {
    attempt: 1,
    max_attempts: 3,
    idempotent: true,
    deadline: 10_000,
};

#[test]
fn only_what_may_run_again_is_retried() {
    let once = Situation {
        idempotent: false,
        ..CALM
    };
    let last = Situation { attempt: 3, ..CALM };
    let late = Situation {
        deadline: 60,
        ..CALM
    };
    let past = Situation {
        deadline: 0,
        ..CALM
    };
    let cases = [
        ("answered", CALM, Outcome::Answered, false),
        ("not run", CALM, Outcome::NotRun, true),
        ("unknown", CALM, Outcome::Unknown, true),
        ("not run, once", once, Outcome::NotRun, true),
        ("unknown, once", once, Outcome::Unknown, false),
        ("last attempt", last, Outcome::NotRun, false),
        ("last moments", late, Outcome::NotRun, false),
        ("past the deadline", past, Outcome::NotRun, false),
    ];
    for (name, situation, outcome, expected) in cases {
        let mut retrier = Retrier::new(Config::default().reserve_ms(60));
        let mut rng = SmallRng::seed_from_u64(1);
        let decision = retrier.decide(0, "s", situation, outcome, &mut rng);
        assert_eq!(decision != Decision::Stop, expected, "{name}: {decision:?}");
    }
}

#[test]
fn waits_grow_and_are_bounded() {
    let config = Config::default().base_ms(20).cap_ms(100).bucket(1e6);
    let mut retrier = Retrier::new(config);
    let mut rng = SmallRng::seed_from_u64(2);
    for (attempt, bound) in [(1, 20), (2, 40), (3, 80), (4, 100), (9, 100)] {
        let situation = Situation {
            attempt,
            max_attempts: 10,
            ..CALM
        };
        let waits: Vec<u64> = (0..200)
            .map(
                |_| match retrier.decide(0, "s", situation, Outcome::NotRun, &mut rng) {
                    Decision::Retry(at) => at,
                    Decision::Stop => panic!("stopped"),
                },
            )
            .collect();
        let longest = *waits.iter().max().unwrap();
        assert!(
            longest <= bound && longest > bound / 2,
            "{attempt}: {longest}"
        );
        assert!(
            *waits.iter().min().unwrap() < bound / 2,
            "{attempt}: no jitter"
        );
    }
}

#[test]
fn retries_are_a_bounded_share_of_first_attempts() {
    let mut retrier = Retrier::new(Config::default().bucket(20.0));
    let mut rng = SmallRng::seed_from_u64(3);
    let mut granted = 0;
    for _ in 0..1_000 {
        retrier.started("s", 0.2);
        for attempt in 1..=3 {
            let situation = Situation {
                attempt,
                max_attempts: 10,
                ..CALM
            };
            let decision = retrier.decide(0, "s", situation, Outcome::NotRun, &mut rng);
            granted += u32::from(decision != Decision::Stop);
        }
    }
    // The full bucket and a fifth of a thousand.
    assert!((219..=220).contains(&granted), "{granted}");
    // Another service has its own bucket.
    let decision = retrier.decide(0, "t", CALM, Outcome::NotRun, &mut rng);
    assert_ne!(decision, Decision::Stop);
}
