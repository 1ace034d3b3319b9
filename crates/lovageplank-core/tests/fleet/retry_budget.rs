//! The retry limit holds for the sum over all routers, in every window.

use lovageplank_core::fleet::permit::{Answer, PERMIT_TTL_MS, new_leader_ms};
use lovageplank_core::fleet::retry_budget::{RetryBudget, RetryLimit, RetryPermits};
use lovageplank_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const RETRY_LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    extra: 60.0,
    window_ms: 10_000,
};

/// Routers and the leader's permits, with messages that take no time.
struct Deployment {
    service: Name,
    permits: RetryPermits,
    routers: Vec<RetryBudget>,
    requests: Vec<Millis>,
    retries: Vec<Millis>,
}

impl Deployment {
    fn new(router_count: usize) -> Deployment {
        Deployment {
            service: "llm".into(),
            permits: RetryPermits::new(0, RETRY_LIMIT, true),
            routers: vec![RetryBudget::new(RETRY_LIMIT); router_count],
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn request(&mut self, now: Millis, at: usize) {
        self.routers[at].record_request(now);
        self.requests.push(now);
    }

    /// Tries a retry; one that waits for a permit is tried again once the leader has responded.
    fn retry(&mut self, now: Millis, at: usize) {
        let mut answer = self.routers[at].try_retry(now);
        if let Some(request) = self.routers[at].take_permit_request() {
            let grant = self.permits.issue(now, &self.service, &request);
            self.routers[at].permits_granted(now, &grant);
        }
        if answer == Answer::Pending {
            answer = self.routers[at].try_retry(now);
        }
        if answer == Answer::Allowed {
            self.retries.push(now);
        }
    }

    /// Replaces a router by one that has just started.
    fn restart(&mut self, at: usize) {
        self.routers[at] = RetryBudget::new(RETRY_LIMIT);
    }

    fn change_leader(&mut self, now: Millis) {
        self.permits = RetryPermits::new(now, RETRY_LIMIT, false);
    }

    /// Checks every window, by the requests in it alone.
    fn check(&self) {
        let count = |times: &[Millis], from: Millis| {
            let counted = times.iter().filter(|at| (from..from + 10_000).contains(at));
            u32::try_from(counted.count()).expect("small")
        };
        for from in &self.retries {
            let retries = count(&self.retries, *from);
            let requests =
                [0, 5_000, 10_000].map(|ms| count(&self.requests, from.saturating_sub(ms)));
            let allowed = 0.2 * f64::from(requests.into_iter().max().unwrap_or(0)) + 60.0;
            assert!(
                f64::from(retries) <= allowed,
                "{retries} retries from {from} ms, allowed {allowed}"
            );
        }
    }
}

#[test]
fn all_routers_together_stay_within_the_retry_limit() {
    let mut deployment = Deployment::new(10);
    // Each request is followed by three attempts to get a retry; some routers get more requests
    // than one of the others.
    for step in 0..1_000u64 {
        let at = usize::try_from(step * step % 10).expect("small");
        deployment.request(step * 10, at);
        for _ in 0..3 {
            deployment.retry(step * 10, at);
        }
    }
    let (requests, retries) = (deployment.requests.len(), deployment.retries.len());
    assert!(retries * 5 <= requests + 300);
    assert!(
        retries > 50,
        "{retries} retries allowed, expected more than 50"
    );
    deployment.check();
}

// Guards against a fixed part of the budget that is spent again after each restart of a router or
// change of the leader (BUDGET).
#[test]
fn restarts_of_routers_and_leaders_do_not_renew_the_fixed_part_of_the_budget() {
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let count = random.random_range(1..60);
        let mut deployment = Deployment::new(count);
        for now in 0..40_000 {
            let at = random.random_range(0..count);
            if random.random_bool(0.02) {
                deployment.request(now, at);
            }
            if random.random_bool(0.2) {
                deployment.retry(now, at);
            }
            if random.random_bool(0.005) {
                deployment.restart(at);
            }
            if random.random_bool(0.000_1) {
                deployment.change_leader(now);
            }
        }
        deployment.check();
        assert!(deployment.retries.len() > 50, "seed {seed}");
    }
}

#[test]
fn without_the_leader_a_router_retries_within_the_ratio_of_its_requests() {
    let mut budget = RetryBudget::new(RETRY_LIMIT);
    assert_eq!(budget.try_retry(0), Answer::Pending);
    assert_eq!(budget.try_retry(100), Answer::Denied);
    (0..100).for_each(|_| budget.record_request(200));
    let allowed = (0..100).filter(|_| budget.try_retry(200) == Answer::Allowed);
    assert_eq!(allowed.count(), 16);
}

#[test]
fn permits_expire_and_count_until_their_retries_are_outside_the_window() {
    let mut deployment = Deployment::new(1);
    (0..1_000).for_each(|_| deployment.retry(0, 0));
    let first = deployment.retries.len();
    assert!(
        (40..=60).contains(&first),
        "{first} retries allowed, expected 40 to 60"
    );
    deployment.retry(9_999, 0);
    assert_eq!(deployment.retries.len(), first);
    deployment.retry(new_leader_ms(10_000), 0);
    assert_eq!(deployment.retries.len(), first + 1);
    // The second permit of that request has expired.
    let budget = &mut deployment.routers[0];
    assert_eq!(
        budget.usage(new_leader_ms(10_000) + PERMIT_TTL_MS).permits,
        1
    );
    assert_eq!(
        budget
            .usage(new_leader_ms(10_000) + PERMIT_TTL_MS + 1)
            .permits,
        0
    );
}

#[test]
fn a_response_to_an_earlier_request_brings_no_permits() {
    let mut deployment = Deployment::new(1);
    let budget = &mut deployment.routers[0];
    assert_eq!(budget.try_retry(0), Answer::Pending);
    let first = budget.take_permit_request().expect("a request");
    let late = deployment.permits.issue(3_000, &"llm".into(), &first);
    assert_eq!(budget.try_retry(3_000), Answer::Pending);
    budget.permits_granted(3_000, &late);
    assert_eq!(budget.usage(3_000).permits, 0);
}

#[test]
fn a_new_leader_issues_no_permits_while_those_of_the_earlier_one_may_count() {
    let mut deployment = Deployment::new(1);
    deployment.change_leader(0);
    deployment.retry(0, 0);
    deployment.retry(new_leader_ms(10_000) - 1, 0);
    assert!(deployment.retries.is_empty());
    deployment.retry(new_leader_ms(10_000) + 1, 0);
    assert_eq!(deployment.retries.len(), 1);
}
