//! The bound on repeats holds for the sum over all instances, in every window.

use lovageplank_core::fleet::allowance::{Allowance, Bound};

const BOUND: Bound = Bound {
    ratio: 0.2,
    extra: 60.0,
    window_ms: 10_000,
};

#[test]
fn all_instances_together_stay_within_the_bound() {
    let mut instances: Vec<Allowance> = (0..10).map(|_| Allowance::new(BOUND)).collect();
    let mut requests = 0u32;
    let mut repeats = 0u32;
    // Every request asks for three repeats, at one instance more than at the others.
    for step in 0..1_000u64 {
        let at = usize::try_from(step * step % 10).expect("small");
        let now = step * 10;
        instances[at].count(now);
        requests += 1;
        for _ in 0..3 {
            repeats += u32::from(instances[at].take(now, 10));
        }
    }
    assert!(f64::from(repeats) <= 0.2 * f64::from(requests) + 60.0);
    assert!(repeats > 50, "some repeats are allowed: {repeats}");
}

#[test]
fn a_window_that_has_passed_no_longer_counts() {
    let mut allowance = Allowance::new(BOUND);
    let first = (0..1_000).filter(|_| allowance.take(0, 10)).count();
    assert!(first > 0);
    assert!(!allowance.take(9_999, 10));
    assert!(allowance.take(10_001, 10));
}

#[test]
fn a_single_instance_has_the_whole_extra() {
    let mut allowance = Allowance::new(BOUND);
    let taken = (0..1_000).filter(|_| allowance.take(0, 1)).count();
    assert!((40..=60).contains(&taken), "{taken}");
}
