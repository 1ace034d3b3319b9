//! Schedule of store loads, rate limit, load-time estimates and adapter slots.

use lovageplank_core::load::{Estimate, Job, Queue, RateLimiter, Slots, Source};
use lovageplank_core::prelude::*;
use lovageplank_core::view::ReplicaId;

/// A job of 4 s with the given earliest and latest deadline.
fn job(model: &str, first: Option<u64>, last: Option<u64>, waiting: u32) -> Job {
    Job {
        model: model.into(),
        deadline: first,
        last_deadline: last,
        waiting,
        load_ms: 4_000,
    }
}

#[test]
fn the_queue_orders_by_feasible_deadline_then_waiting_requests() {
    let cases: &[(&str, &[Job], &[&str])] = &[
        (
            "earlier deadline first",
            &[
                job("a", Some(30_000), Some(30_000), 9),
                job("b", Some(20_000), Some(20_000), 1),
            ],
            &["b", "a"],
        ),
        (
            "a job that can't meet its deadline comes last",
            &[
                job("a", Some(3_000), Some(3_000), 9),
                job("b", Some(20_000), Some(20_000), 1),
            ],
            &["b", "a"],
        ),
        (
            "a job that can meet its latest deadline comes before one that can meet none",
            &[
                job("a", Some(3_000), Some(3_000), 9),
                job("b", Some(3_000), Some(6_000), 1),
            ],
            &["b", "a"],
        ),
        (
            "more waiting requests first at equal deadlines",
            &[
                job("a", Some(9_000), Some(9_000), 1),
                job("b", Some(9_000), Some(9_000), 2),
            ],
            &["b", "a"],
        ),
        (
            "loads ahead of demand come after feasible jobs and before infeasible ones",
            &[
                job("a", Some(1), Some(1), 5),
                job("b", None, None, 0),
                job("c", Some(9_000), Some(9_000), 1),
            ],
            &["c", "b", "a"],
        ),
    ];
    for (name, jobs, expected) in cases {
        let mut queue = Queue::new(4.0, 1);
        for job in *jobs {
            queue.push(job.clone());
        }
        let plan = queue.plan(0, &[]);
        let order: Vec<&str> = plan.iter().map(|p| &*p.job.model).collect();
        assert_eq!(order, *expected, "{name}");
    }
}

#[test]
fn the_plan_respects_rate_and_concurrency() {
    // Rate, concurrency, ends of the loads in flight, starts of four jobs.
    let cases: &[(f64, u32, &[Millis], [Millis; 4])] = &[
        (4.0, 4, &[], [0, 250, 500, 750]),
        (4.0, 2, &[], [0, 250, 4_000, 4_250]),
        (4.0, 2, &[1_000, 3_000], [1_000, 3_000, 5_000, 7_000]),
        (4.0, 2, &[500, 1_000, 3_000], [1_000, 3_000, 5_000, 7_000]),
        (0.5, 4, &[], [0, 2_000, 4_000, 6_000]),
    ];
    for (rate, concurrency, in_flight, starts) in cases {
        let mut queue = Queue::new(*rate, *concurrency);
        for index in 0..4 {
            queue.push(job(&format!("m{index}"), Some(60_000), Some(60_000), 1));
        }
        let plan = queue.plan(0, in_flight);
        let planned: Vec<Millis> = plan.iter().map(|p| p.start).collect();
        assert_eq!(planned, starts, "{rate} per second, {concurrency} at once");
        assert!(plan.iter().all(|p| p.end == p.start + 4_000));
    }
}

#[test]
fn a_load_is_feasible_if_it_ends_by_the_last_deadline() {
    let cases = [(None, true), (Some(4_000), true), (Some(3_999), false)];
    for (last, feasible) in cases {
        let mut queue = Queue::new(4.0, 1);
        queue.push(job("a", last, last, 1));
        assert_eq!(queue.plan(0, &[])[0].feasible(), feasible);
    }
}

#[test]
fn the_rate_limiter_spaces_starts() {
    let mut rate_limiter = RateLimiter::default();
    rate_limiter.record_start(1_000, 4.0);
    rate_limiter.record_start(1_000, 4.0);
    assert_eq!(rate_limiter.next_start(), 1_500);
    rate_limiter.record_start(9_000, 4.0);
    assert_eq!(rate_limiter.next_start(), 9_250);
}

#[test]
fn a_slowdown_applies_at_once_and_decays() {
    let model: Name = "lime".into();
    let mut estimate = Estimate::default();
    estimate.assume(&model, 4_000);
    assert_eq!(estimate.load_ms(0, &model, Source::Store), 4_000);
    estimate.observe_overdue(0, &model, 12_000);
    assert_eq!(estimate.load_ms(0, &model, Source::Store), 12_000);
    assert_eq!(estimate.load_ms(60_000, &model, Source::Store), 8_000);
    assert!(estimate.load_ms(3_600_000, &model, Source::Store) <= 4_001);
}

#[test]
fn a_store_slowdown_does_not_affect_cache_loads() {
    let model: Name = "lime".into();
    let mut estimate = Estimate::default();
    estimate.assume(&model, 4_000);
    let disk = estimate.load_ms(0, &model, Source::Disk);
    let memory = estimate.load_ms(0, &model, Source::Memory);
    assert!(memory < disk && disk < 4_000);
    estimate.observe(0, &model, Source::Store, 40_000);
    assert_eq!(estimate.load_ms(0, &model, Source::Disk), disk);
    assert_eq!(estimate.load_ms(0, &model, Source::Memory), memory);
}

#[test]
fn usual_load_times_are_learned() {
    let model: Name = "lime".into();
    let mut estimate = Estimate::default();
    for _ in 0..20 {
        estimate.observe(0, &model, Source::Disk, 2_000);
    }
    let load_ms = estimate.load_ms(0, &model, Source::Disk);
    assert!(
        (1_990..=2_010).contains(&load_ms),
        "learned load time: {load_ms} ms"
    );
}

#[test]
fn adapter_slots_are_bounded_and_released() {
    let replica = ReplicaId {
        model: "lime".into(),
        version: "1".into(),
        engine: "e1".into(),
    };
    let mut slots = Slots::default();
    let adapters: Vec<Name> = (0..40).map(|a| format!("a{a}").into()).collect();
    let taken = adapters.iter().filter(|a| slots.take(0, 32, &replica, a));
    assert_eq!(taken.count(), 32);
    slots.free(&replica, &adapters[0]);
    assert!(
        !slots.take(0, 32, &replica, &adapters[1]),
        "the adapter load is already in flight"
    );
    assert!(slots.take(0, 32, &replica, &adapters[39]));
    assert_eq!(slots.in_flight(), 32);
    slots.expire(10, |_, adapter| *adapter == adapters[1]);
    assert_eq!(slots.in_flight(), 31);
    slots.expire(3_600_000, |_, _| false);
    assert_eq!(slots.in_flight(), 0);
}
