//! Retries: which attempts are retried, the backoff, and the retry budget.

use lovageplank_core::retry::{Config, Decision, Outcome, Retrier, RetryContext};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const RETRYABLE: RetryContext = RetryContext {
    attempt: 1,
    max_attempts: 3,
    idempotent: true,
    deadline: 10_000,
};

#[test]
fn only_attempts_that_are_safe_to_repeat_are_retried() {
    let not_idempotent = RetryContext {
        idempotent: false,
        ..RETRYABLE
    };
    let last_attempt = RetryContext {
        attempt: 3,
        ..RETRYABLE
    };
    let near_deadline = RetryContext {
        deadline: 60,
        ..RETRYABLE
    };
    let past_deadline = RetryContext {
        deadline: 0,
        ..RETRYABLE
    };
    let cases = [
        ("answered", RETRYABLE, Outcome::Answered, false),
        ("not run", RETRYABLE, Outcome::NotRun, true),
        ("unknown", RETRYABLE, Outcome::Unknown, true),
        (
            "not run, not idempotent",
            not_idempotent,
            Outcome::NotRun,
            true,
        ),
        (
            "unknown, not idempotent",
            not_idempotent,
            Outcome::Unknown,
            false,
        ),
        ("last attempt", last_attempt, Outcome::NotRun, false),
        (
            "within the reserve before the deadline",
            near_deadline,
            Outcome::NotRun,
            false,
        ),
        ("past the deadline", past_deadline, Outcome::NotRun, false),
    ];
    for (name, context, outcome, expected) in cases {
        let mut retrier = Retrier::new(Config::default().reserve_ms(60));
        let mut rng = SmallRng::seed_from_u64(1);
        let decision = retrier.decide(0, "s", context, outcome, &mut rng);
        assert_eq!(decision != Decision::Stop, expected, "{name}: {decision:?}");
    }
}

#[test]
fn backoff_grows_up_to_the_cap() {
    let config = Config::default().base_ms(20).cap_ms(100).bucket(1e6);
    let mut retrier = Retrier::new(config);
    let mut rng = SmallRng::seed_from_u64(2);
    for (attempt, bound) in [(1, 20), (2, 40), (3, 80), (4, 100), (9, 100)] {
        let context = RetryContext {
            attempt,
            max_attempts: 10,
            ..RETRYABLE
        };
        let waits: Vec<u64> = (0..200)
            .map(
                |_| match retrier.decide(0, "s", context, Outcome::NotRun, &mut rng) {
                    Decision::Retry(at) => at,
                    Decision::Stop => panic!("expected a retry, got Stop"),
                },
            )
            .collect();
        let longest = *waits.iter().max().unwrap();
        assert!(
            longest <= bound && longest > bound / 2,
            "attempt {attempt}: longest backoff {longest} ms, expected over {} to {bound} ms",
            bound / 2
        );
        assert!(
            *waits.iter().min().unwrap() < bound / 2,
            "attempt {attempt}: shortest backoff is not under {} ms: no jitter",
            bound / 2
        );
    }
}

#[test]
fn retries_are_a_bounded_share_of_first_attempts() {
    let mut retrier = Retrier::new(Config::default().bucket(20.0));
    let mut rng = SmallRng::seed_from_u64(3);
    let mut granted = 0;
    for _ in 0..1_000 {
        retrier.record_first_attempt("s", 0.2);
        for attempt in 1..=3 {
            let context = RetryContext {
                attempt,
                max_attempts: 10,
                ..RETRYABLE
            };
            let decision = retrier.decide(0, "s", context, Outcome::NotRun, &mut rng);
            granted += u32::from(decision != Decision::Stop);
        }
    }
    // The full bucket of 20 and a fifth of a token for each of the thousand first attempts.
    assert!(
        (219..=220).contains(&granted),
        "{granted} retries granted, expected 219 to 220"
    );
    // Another service has its own bucket.
    let decision = retrier.decide(0, "t", RETRYABLE, Outcome::NotRun, &mut rng);
    assert_ne!(decision, Decision::Stop);
}
