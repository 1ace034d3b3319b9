//! The limit that a server names holds for the requests of all routers together.

use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::permit::{Answer, Rate, RateIssuer, Request};
use lovageplank_core::fleet::server_limit::{Limits, ServerPermits, Statement};
use lovageplank_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WINDOW_MS: Millis = 4_000;
/// Milliseconds between two relays of the leader.
const RELAY_INTERVAL_MS: Millis = 200;

/// Routers, the leader and one server, with messages that take no time.
struct Deployment {
    server: Name,
    /// The limit that the server names.
    limit: Option<Rate>,
    leader: ServerPermits,
    routers: Vec<Limits>,
    arrivals: Vec<Millis>,
}

impl Deployment {
    fn new(router_count: usize, limit: Rate) -> Deployment {
        Deployment {
            server: "engine-1".into(),
            limit: Some(limit),
            leader: ServerPermits::new(0, true),
            routers: vec![Limits::default(); router_count],
            arrivals: Vec::new(),
        }
    }

    fn take(&mut self, now: Millis, at: usize) -> Answer {
        let answer = self.routers[at].take(now, &self.server);
        self.exchange_messages(now, at);
        if answer == Answer::Pending {
            return self.routers[at].take(now, &self.server);
        }
        answer
    }

    /// Sends a request if a router may. Its response names the limit.
    fn send(&mut self, now: Millis, at: usize) {
        if self.take(now, at) == Answer::Allowed {
            self.arrivals.push(now);
            self.routers[at].stated(now, &self.server, self.limit);
            self.exchange_messages(now, at);
        }
    }

    fn exchange_messages(&mut self, now: Millis, at: usize) {
        for message in self.routers[at].take_messages(now) {
            match message {
                Message::ServerLimit(statement) => self.leader.stated(now, &statement),
                Message::ServerPermitRequest { statement, request } => {
                    let grant = self.leader.issue(now, &statement, &request);
                    self.routers[at].granted(now, &self.server, &grant);
                }
                other => panic!("unexpected: {other:?}"),
            }
        }
    }

    fn relay(&mut self, now: Millis) {
        let statements = self.leader.statements(now);
        for router in &mut self.routers {
            router.relayed(now, &statements);
        }
    }

    /// Most arrivals in a window that begins at `from` or later.
    fn worst_window(&self, from: Millis) -> u32 {
        let starts = self.arrivals.iter().filter(|at| **at >= from);
        let counts = starts.map(|start| {
            let window = *start..start + WINDOW_MS;
            self.arrivals
                .iter()
                .filter(|at| window.contains(at))
                .count()
        });
        u32::try_from(counts.max().unwrap_or(0)).expect("small")
    }
}

// Guards against routers of which each keeps to a server's limit by itself (LIMIT).
#[test]
fn all_routers_together_keep_to_the_limit_whoever_restarts() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let count = random.random_range(1..60);
        let limit = Rate(random.random_range(300..20_000));
        let mut deployment = Deployment::new(count, limit);
        let restarts = random.random_bool(0.5);
        for now in 0..40_000 {
            if random.random_bool(0.1) {
                deployment.send(now, random.random_range(0..count));
            }
            if restarts && random.random_bool(0.000_5) {
                let at = random.random_range(0..count);
                deployment.routers[at] = Limits::default();
            }
            if restarts && random.random_bool(0.000_1) {
                deployment.leader = ServerPermits::new(now, false);
            }
            if now % RELAY_INTERVAL_MS == 0 {
                deployment.relay(now);
            }
        }
        // A router that has just started doesn't know the limit before the leader's next relay, or
        // its first response; the rule leaves it out, and this check doesn't.
        #[allow(clippy::cast_precision_loss)]
        let per_second = limit.0 as f64 / 1_000.0;
        let worst = f64::from(deployment.worst_window(3_000));
        let allowed = 1.5 * per_second * 4.0 + 5.0;
        assert!(worst <= allowed, "seed {seed}: {worst} of {allowed}");
        #[allow(clippy::cast_precision_loss)]
        let share = deployment.arrivals.len() as f64 / (40.0 * per_second);
        assert!(
            share > 0.5 || restarts,
            "seed {seed}: {share} of the limit used"
        );
    }
}

#[test]
fn a_server_that_names_no_limit_any_more_needs_no_permits() {
    let mut deployment = Deployment::new(10, Rate(2_000));
    for now in 0..6_000 {
        deployment.send(now, usize::try_from(now % 10).expect("small"));
    }
    deployment.limit = None;
    let before = deployment.arrivals.len();
    for now in 6_000..8_000 {
        deployment.send(now, usize::try_from(now % 10).expect("small"));
        if now % RELAY_INTERVAL_MS == 0 {
            deployment.relay(now);
        }
    }
    let after = deployment.arrivals.len() - before;
    assert!(after > 1_000, "{after} of 2,000 requests were sent");
}

#[test]
fn the_newest_statement_counts() {
    let server: Name = "engine-1".into();
    let statement = |limit, age_ms| Statement {
        server: server.clone(),
        limit,
        age_ms,
    };
    let mut limits = Limits::default();
    limits.relayed(1_000, &[statement(Some(Rate(2_000)), 100)]);
    assert!(limits.has_limit(1_000, &server));
    limits.stated(1_100, &server, None);
    assert!(!limits.has_limit(1_100, &server));
    limits.relayed(1_200, &[statement(Some(Rate(2_000)), 300)]);
    assert!(!limits.has_limit(1_200, &server));
    limits.relayed(1_300, &[statement(Some(Rate(2_000)), 50)]);
    assert!(limits.has_limit(1_300, &server));
    assert!(!limits.has_limit(11_300, &server));
}

#[test]
fn routers_without_a_permit_are_told_different_times() {
    let mut issuer = RateIssuer::new(0);
    let request = Request {
        asked_at: 1_000,
        wanted: 1,
    };
    let grants: Vec<_> = (0..5)
        .map(|_| issuer.issue(1_000, Rate(2_000), &request))
        .collect();
    let told: Vec<_> = grants
        .iter()
        .map(|g| (g.permits, g.retry_after_ms))
        .collect();
    assert_eq!(told, [(1, 0), (1, 0), (0, 500), (0, 1_000), (0, 1_500)]);
}

#[test]
fn a_server_that_takes_no_requests_gets_one_in_five_seconds() {
    let mut deployment = Deployment::new(10, Rate(0));
    for now in 0..60_000 {
        deployment.send(now, usize::try_from(now % 10).expect("small"));
        if now % RELAY_INTERVAL_MS == 0 {
            deployment.relay(now);
        }
    }
    let count = deployment.arrivals.len();
    assert!((10..=14).contains(&count), "{count}");
}

#[test]
fn a_new_leader_issues_none_while_permits_of_the_earlier_one_may_be_used() {
    let mut deployment = Deployment::new(1, Rate(2_000));
    deployment.leader = ServerPermits::new(0, false);
    deployment.send(0, 0);
    assert_eq!(
        deployment.arrivals,
        [0],
        "nothing is known of the limit yet"
    );
    assert_eq!(deployment.take(100, 0), Answer::Denied);
    assert_eq!(
        deployment.take(RateIssuer::NEW_LEADER_MS - 1, 0),
        Answer::Denied
    );
    assert_eq!(
        deployment.take(RateIssuer::NEW_LEADER_MS + 1, 0),
        Answer::Allowed
    );
}
