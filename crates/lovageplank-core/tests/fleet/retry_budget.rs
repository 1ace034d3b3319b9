//! The retry limit holds for the sum over all routers, in every window.

use crate::samples::RETRY_LIMIT;
use lovageplank_core::fleet::permit::{Answer, Grant, PERMIT_TTL_MS, Request, issue_span_ms};
use lovageplank_core::fleet::retry_budget::{
    Decision, RESPONSE_TIMEOUT_MS, Reservation, RetryBudget, RetryPermits,
};
use lovageplank_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Milliseconds after which permits don't count any more.
const NEXT_MS: Millis = 13_000;
/// Control processes.
const CONTROLS: usize = 3;

/// A control process, which may lag behind the log unless it leads.
struct Control {
    permits: RetryPermits,
    /// Entries of the log that it has applied.
    applied: usize,
}

impl Control {
    fn new() -> Control {
        Control {
            permits: RetryPermits::new(RETRY_LIMIT),
            applied: 0,
        }
    }

    /// Applies the rest of the log. Returns the last grant of an entry that this process has proposed.
    fn catch_up(&mut self, now: Millis, log: &[Reservation]) -> Option<Grant> {
        let mut last = None;
        for entry in &log[self.applied..] {
            last = self.permits.apply(now, entry).map(|(_, grant)| grant);
        }
        self.applied = log.len();
        last
    }
}

/// Routers and control processes, with messages that take no time.
struct Deployment {
    service: Name,
    log: Vec<Reservation>,
    controls: Vec<Control>,
    leader: usize,
    routers: Vec<RetryBudget>,
    requests: Vec<Millis>,
    retries: Vec<Millis>,
}

impl Deployment {
    fn new(router_count: usize) -> Deployment {
        Deployment {
            service: "llm".into(),
            log: Vec::new(),
            controls: (0..CONTROLS).map(|_| Control::new()).collect(),
            leader: 0,
            routers: vec![RetryBudget::new(RETRY_LIMIT); router_count],
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// The leader's response to a request for permits.
    fn ask(&mut self, now: Millis, request: &Request) -> Grant {
        let leader = &mut self.controls[self.leader];
        leader.catch_up(now, &self.log);
        let ticket = u64::try_from(self.log.len()).expect("small") + 1;
        match leader.permits.ask(now, &self.service, request, 0, ticket) {
            Decision::Deny(grant) => grant,
            Decision::Reserve(reservation) => {
                self.log.push(reservation);
                let granted = leader.catch_up(now, &self.log);
                granted.expect("the leader's own entry")
            }
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
            let grant = self.ask(now, &request);
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

    /// Another process leads. It applies the rest of the log first.
    fn change_leader(&mut self, now: Millis) {
        self.controls[self.leader].permits.resign();
        self.leader = (self.leader + 1) % CONTROLS;
        self.controls[self.leader].catch_up(now, &self.log);
    }

    /// Replaces a control process by one that has just started and reads the log again, from a snapshot if one
    /// is taken.
    fn restart_control(&mut self, now: Millis, at: usize, has_snapshot: bool) {
        let mut started = Control::new();
        if has_snapshot {
            let before = &mut self.controls[at];
            for counted in before.permits.snapshot(now) {
                started.permits.apply(now, &counted);
            }
            started.applied = before.applied;
        }
        started.catch_up(now, &self.log);
        self.controls[at] = started;
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
            if random.random_bool(0.000_1) {
                let control = random.random_range(0..CONTROLS);
                deployment.restart_control(now, control, random.random_bool(0.5));
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
    assert_eq!(budget.try_retry(RESPONSE_TIMEOUT_MS - 1), Answer::Pending);
    assert_eq!(budget.try_retry(RESPONSE_TIMEOUT_MS), Answer::Denied);
    (0..100).for_each(|_| budget.record_request(450));
    let allowed = (0..100).filter(|_| budget.try_retry(450) == Answer::Allowed);
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
    deployment.retry(NEXT_MS, 0);
    assert_eq!(deployment.retries.len(), first + 1);
    // The second permit of that request has expired.
    let budget = &mut deployment.routers[0];
    assert_eq!(budget.usage(NEXT_MS + PERMIT_TTL_MS).permits, 1);
    assert_eq!(budget.usage(NEXT_MS + PERMIT_TTL_MS + 1).permits, 0);
}

#[test]
fn a_response_to_an_earlier_request_brings_no_permits() {
    let mut deployment = Deployment::new(1);
    assert_eq!(deployment.routers[0].try_retry(0), Answer::Pending);
    let first = deployment.routers[0].take_permit_request();
    let late = deployment.ask(3_000, &first.expect("a request"));
    let budget = &mut deployment.routers[0];
    assert_eq!(budget.try_retry(3_000), Answer::Pending);
    budget.permits_granted(3_000, &late);
    assert_eq!(budget.usage(3_000).permits, 0);
}

/// Guards against a new leader that issues permits beyond those that the earlier ones issued (BUDGET), or none
/// although most are left.
#[test]
fn a_new_leader_issues_what_earlier_ones_left() {
    let mut deployment = Deployment::new(1);
    deployment.retry(0, 0);
    deployment.change_leader(10);
    deployment.retry(PERMIT_TTL_MS + 1, 0);
    assert_eq!(deployment.retries.len(), 2, "no wait");
    for change in 0..20 {
        let now = 2_000 + change * 100;
        (0..100).for_each(|_| deployment.retry(now, 0));
        deployment.change_leader(now);
    }
    let first = deployment.retries.len();
    assert!((40..=60).contains(&first), "{first} retries");
    deployment.retry(issue_span_ms(10_000) - 1, 0);
    assert_eq!(deployment.retries.len(), first);
    deployment.retry(issue_span_ms(10_000) + 2_000, 0);
    assert_eq!(deployment.retries.len(), first + 1);
}

/// Guards against permits of an entry that was proposed before the process ceased to lead: they may have been
/// counted long ago when it is applied.
#[test]
fn a_leader_that_resigned_issues_nothing_for_its_last_entry() {
    let mut permits = RetryPermits::new(RETRY_LIMIT);
    let request = Request {
        asked_at: 0,
        wanted: 2,
    };
    let decision = permits.ask(0, &"llm".into(), &request, 7, 1);
    let Decision::Reserve(reservation) = decision else {
        panic!("{decision:?}");
    };
    let mut leading = permits.clone();
    permits.resign();
    assert_eq!(permits.apply(5, &reservation), None);
    let granted = leading.apply(5, &reservation);
    assert_eq!(
        granted.map(|(asker, grant)| (asker, grant.permits)),
        Some((7, 2))
    );
}
