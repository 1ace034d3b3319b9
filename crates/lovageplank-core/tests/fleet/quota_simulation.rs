//! What all routers together charge to a tenant stays within its quota, and a tenant gets what it is owed.

// Times and amounts of a simulation are small.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

mod world;

use lovageplank_core::fleet::quota::{Limit, Policy};
use lovageplank_core::fleet::tenant::{Quota, Unit};
use lovageplank_core::prelude::*;
use world::{Fault, Plan, Sent, Tally, WINDOW_MS, World};

/// The most units of a tenant whose requests were sent and reached a server within a window that begins at a time of
/// `from` or later.
fn most_in_window(tally: &Tally, tenant: usize, from: Millis) -> u64 {
    let mut sent: Vec<Sent> = tally.sent.clone();
    sent.retain(|sent| sent.tenant == tenant && sent.arrived_at >= from);
    sent.sort_by_key(|sent| sent.arrived_at);
    let mut most = 0;
    for (first, begin) in sent.iter().enumerate() {
        let end = begin.arrived_at + WINDOW_MS;
        let within = sent[first..].iter().take_while(|s| s.arrived_at <= end);
        let units = within.filter(|s| s.reached_at <= end).map(|s| s.amount);
        most = most.max(units.sum());
    }
    most
}

fn quotas() -> Vec<Quota> {
    let quota = |rate_per_s, burst, unit| Quota {
        rate_per_s,
        burst,
        unit,
        plain_tokens: 1_100,
    };
    vec![
        quota(12_000, 24_000, Unit::Tokens),
        quota(12_000, 0, Unit::Tokens),
        quota(1_500, 6_000, Unit::Tokens),
        quota(20, 10, Unit::Requests),
    ]
}

fn check_bound(seed: u64, plan: &Plan, policy: &Policy, tally: &Tally) {
    for (tenant, quota) in plan.quotas.iter().enumerate() {
        let limit = Limit::new(quota, policy).expect("it has one").0;
        let most = most_in_window(tally, tenant, 0);
        assert!(
            most <= limit,
            "seed {seed} tenant {tenant}: {most} > {limit}"
        );
        if let Some(lowered_at) = tally.lowered_at {
            let mut lower = *quota;
            lower.rate_per_s /= 2;
            lower.burst /= 2;
            let limit = Limit::new(&lower, policy).expect("it has one").0;
            let most = most_in_window(tally, tenant, lowered_at + WINDOW_MS);
            assert!(
                most <= limit,
                "seed {seed} tenant {tenant}: {most} > {limit}, lowered"
            );
        }
    }
}

#[test]
fn charges_stay_within_the_quota_under_faults() {
    for seed in 0..24 {
        let mut faults = vec![Fault::LeaderChanges];
        let mut add = |fault, is_in: bool| faults.extend(is_in.then_some(fault));
        add(Fault::Partitions, seed % 3 != 0);
        add(Fault::Crashes, seed % 4 != 1);
        add(Fault::LateMessages, seed % 2 == 1);
        add(Fault::LowerLimits, seed % 3 == 1);
        // Without slack, what is allowed is the narrowest; with much demand, all of it is used.
        let plan = Plan {
            routers: 6,
            run_ms: 40_000,
            slack: if seed % 2 == 0 { 0 } else { 17_000 },
            demand: vec![6.0, 2.0, 6.0, 3.0],
            quotas: quotas(),
            faults,
        };
        let (plan, policy, tally) = World::new(seed, plan).run();
        check_bound(seed, &plan, &policy, &tally);
        // The run means something only if tenants get something.
        let used = most_in_window(&tally, 0, 0);
        assert!(used > 60_000, "seed {seed}: {used}");
    }
}

#[test]
fn a_tenant_below_its_quota_is_not_refused_and_a_hot_one_gets_its_rate() {
    for seed in 100..108 {
        let plan = Plan {
            routers: 12,
            run_ms: 40_000,
            slack: 17_000,
            demand: vec![0.56, 6.0, 0.56, 0.56],
            quotas: quotas(),
            faults: Vec::new(),
        };
        let (plan, policy, tally) = World::new(seed, plan).run();
        check_bound(seed, &plan, &policy, &tally);
        for tenant in [0, 2, 3] {
            assert_eq!(tally.refused[tenant], 0, "seed {seed} tenant {tenant}");
            assert_eq!(tally.unknown[tenant], 0, "seed {seed} tenant {tenant}");
        }
        let hot: u64 = tally
            .sent
            .iter()
            .filter(|s| s.tenant == 1)
            .map(|s| s.amount)
            .sum();
        let owed = plan.quotas[1].rate_per_s * plan.run_ms / 1_000;
        assert!(hot >= owed, "seed {seed}: {hot} < {owed}");
        println!(
            "seed {seed}: {} messages, {} entries",
            tally.asks, tally.entries
        );
    }
}

#[test]
fn a_tenant_below_its_quota_is_not_refused_when_the_leader_changes() {
    for seed in 200..212 {
        let plan = Plan {
            routers: 12,
            run_ms: 60_000,
            slack: 17_000,
            demand: vec![0.56, 0.56, 0.56, 0.56],
            quotas: quotas(),
            faults: vec![Fault::LeaderChanges],
        };
        let (plan, policy, tally) = World::new(seed, plan).run();
        check_bound(seed, &plan, &policy, &tally);
        for tenant in 0..plan.quotas.len() {
            assert_eq!(tally.refused[tenant], 0, "seed {seed} tenant {tenant}");
        }
    }
}
