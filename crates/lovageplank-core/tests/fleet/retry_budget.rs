//! The retry limit holds for the sum over all routers, in every window.

use lovageplank_core::fleet::retry_budget::{RetryBudget, RetryLimit};

const RETRY_LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    extra: 60.0,
    window_ms: 10_000,
};

#[test]
fn all_routers_together_stay_within_the_retry_limit() {
    let mut routers: Vec<RetryBudget> = (0..10).map(|_| RetryBudget::new(RETRY_LIMIT)).collect();
    let mut requests = 0u32;
    let mut retries = 0u32;
    // Each request is followed by three attempts to get a retry; some routers get more requests
    // than one of the others.
    for step in 0..1_000u64 {
        let at = usize::try_from(step * step % 10).expect("small");
        let now = step * 10;
        routers[at].record_request(now);
        requests += 1;
        for _ in 0..3 {
            retries += u32::from(routers[at].try_retry(now, 10));
        }
    }
    assert!(f64::from(retries) <= 0.2 * f64::from(requests) + 60.0);
    assert!(
        retries > 50,
        "{retries} retries allowed, expected more than 50"
    );
}

#[test]
fn retries_outside_the_window_no_longer_count() {
    let mut retry_budget = RetryBudget::new(RETRY_LIMIT);
    let first = (0..1_000).filter(|_| retry_budget.try_retry(0, 10)).count();
    assert!(first > 0);
    assert!(!retry_budget.try_retry(9_999, 10));
    assert!(retry_budget.try_retry(10_001, 10));
}

#[test]
fn a_single_instance_gets_all_extra_retries() {
    let mut retry_budget = RetryBudget::new(RETRY_LIMIT);
    let taken = (0..1_000).filter(|_| retry_budget.try_retry(0, 1)).count();
    assert!(
        (40..=60).contains(&taken),
        "{taken} retries allowed, expected 40 to 60"
    );
}
