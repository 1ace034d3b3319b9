//! Burn rates, merging of counts, alerts and memory bounds.

use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Effective, Tree};
use lovageplank_core::slo::{
    Ack, AlertChange, AlertTracker, CLEAR_AFTER_MS, COARSE_SLOT_MS, Cause, Cell, Delta, FAST_BURN,
    FINE_SLOT_MS, HISTORY_MS, Histogram, Key, Kind, MAX_BUFFERED_ROWS, MAX_CELLS, MAX_DELTA_ROWS,
    MIN_BAD_EVENTS, MIN_DELTA_INTERVAL_MS, Objective, Recorder, Report, ReportInput, SLOW_BURN,
    Sample, Store, Tally,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MINUTE_MS: u64 = 60_000;

fn name(n: u64) -> Name {
    format!("router-{n}").into()
}

/// Encoded size of a delta in bytes.
fn bytes(delta: &Delta) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(delta, &mut bytes).unwrap();
    bytes.len()
}

#[test]
fn burn_rates_match_hand_computed_values() {
    struct Case {
        kind: Kind,
        settings: Effective,
        total: u64,
        bad: u64,
        burn: f64,
    }
    let case = |kind, total, bad, burn| Case {
        kind,
        settings: Effective::default(),
        total,
        bad,
        burn,
    };
    let three_nines = Effective {
        objective_answered: 0.999,
        ..Effective::default()
    };
    let all = Effective {
        objective_answered: 1.0,
        ..Effective::default()
    };
    let cases = [
        // Budget 1 %: 1 bad event of 100 spends it as fast as it accrues.
        case(Kind::Answered, 100, 1, 1.0),
        case(Kind::Answered, 1_000, 144, 14.4),
        case(Kind::Answered, 0, 0, 0.0),
        case(Kind::Answered, 50, 0, 0.0),
        case(Kind::Refused, 200, 12, 6.0),
        // Budget 1 %: 99 in 100 cold starts must meet the objective.
        case(Kind::ColdStart, 10, 3, 30.0),
        // Budget 5 %: 95 in 100 first tokens must meet the objective.
        case(Kind::FirstToken, 100, 30, 6.0),
        Case {
            settings: three_nines,
            ..case(Kind::Answered, 10_000, 144, 14.4)
        },
        // The smallest budget is one in a million.
        Case {
            settings: all,
            ..case(Kind::Answered, 1_000_000, 1, 1.0)
        },
    ];
    for (n, case) in cases.into_iter().enumerate() {
        let objective = Objective::new(case.kind, &case.settings);
        let burn = objective.burn(Tally {
            total: case.total,
            bad: case.bad,
        });
        assert!(
            (burn - case.burn).abs() < 1e-6 * case.burn.max(1.0),
            "case {n}: {burn}"
        );
    }
}

#[test]
fn each_cause_counts_towards_the_expected_objectives() {
    // Cause, counts as an event, bad for `answered`, bad for `refused`.
    let cases = [
        (Cause::Answered, true, false, false),
        (Cause::Late, true, true, false),
        (Cause::QueueFull, true, true, true),
        (Cause::DeadlineRefused, true, true, true),
        (Cause::NoCapacity, true, true, true),
        (Cause::ConcurrencyLimit, true, true, true),
        (Cause::LeaseLapsed, true, true, true),
        (Cause::Overloaded, true, true, true),
        (Cause::ControlUnavailable, true, true, true),
        (Cause::BackendUnreachable, true, true, true),
        (Cause::BackendBroke, true, true, false),
        (Cause::OutcomeUnknown, true, true, false),
        (Cause::CallerGone, false, false, false),
        (Cause::CallerFault, false, false, false),
    ];
    assert_eq!(cases.map(|case| case.0), Cause::ALL);
    let settings = Effective::default();
    for (place, (cause, counts, unanswered, refused)) in cases.into_iter().enumerate() {
        assert_eq!(cause.index(), place, "{cause:?}");
        let mut cell = Cell::default();
        cell.record(&Sample::new(cause), &settings);
        let tally = |kind| Objective::new(kind, &settings).tally(&cell);
        let expected = |bad| Tally {
            total: counts.into(),
            bad: u64::from(bad),
        };
        assert_eq!(tally(Kind::Answered), expected(unanswered), "{cause:?}");
        assert_eq!(tally(Kind::Refused), expected(refused), "{cause:?}");
    }
}

#[test]
fn slow_events_are_counted_exactly_and_percentiles_by_bucket() {
    let settings = Effective::default();
    let mut cell = Cell::default();
    for (cold_ms, first_ms) in [(15_000, 1_300), (15_001, 1_301), (100, 100)] {
        let sample = Sample::new(Cause::Answered)
            .cold_ms(Some(cold_ms))
            .first_token_ms(Some(first_ms));
        cell.record(&sample, &settings);
    }
    let tally = |kind| Objective::new(kind, &settings).tally(&cell);
    assert_eq!(tally(Kind::ColdStart), Tally { total: 3, bad: 1 });
    assert_eq!(tally(Kind::FirstToken), Tally { total: 3, bad: 1 });
    let mut histogram = Histogram::default();
    assert_eq!(histogram.percentile(95), None);
    for ms in 1..=100 {
        histogram.record(ms * 10);
    }
    let p95 = histogram.percentile(95).unwrap();
    assert!((950..=950 * 3 / 2).contains(&p95), "{p95}");
    histogram.record(u64::MAX);
    assert_eq!(histogram.total(), 101);
}

/// One delta from each of four routers, with random requests.
fn random_deltas(seed: u64) -> Vec<(u64, Delta)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let settings = Effective::default();
    let mut deltas = Vec::new();
    for router in 0..4 {
        let mut recorder = Recorder::default();
        for _ in 0..200 {
            let key = Key::new("drafting", format!("m{}", rng.random_range(0..9)));
            let cause = Cause::ALL[rng.random_range(0..Cause::ALL.len())];
            let sample = Sample::new(cause).cold_ms(Some(rng.random_range(0..60_000)));
            recorder.record(
                rng.random_range(0..4) * FINE_SLOT_MS,
                &key,
                &sample,
                &settings,
            );
        }
        deltas.push((router, recorder.delta(8 * FINE_SLOT_MS).unwrap()));
    }
    deltas
}

fn merged<'a>(deltas: impl IntoIterator<Item = &'a (u64, Delta)>) -> Store {
    let mut store = Store::default();
    for (router, delta) in deltas {
        store.merge(0, &name(*router), 1, delta);
    }
    store
}

#[test]
fn merging_is_commutative_associative_and_idempotent() {
    for seed in 0..20 {
        let deltas = random_deltas(seed);
        let forward = merged(&deltas);
        assert_eq!(forward, merged(deltas.iter().rev()), "seed {seed}");
        assert_eq!(
            forward,
            merged(deltas.iter().chain(&deltas)),
            "resent, seed {seed}"
        );
        let cells: Vec<&Cell> = deltas
            .iter()
            .flat_map(|(_, d)| d.batches.iter().flat_map(|b| b.rows.iter().map(|r| &r.2)))
            .collect();
        for cells in cells.windows(3) {
            let join = |a: &Cell, b: &Cell| {
                let mut sum = a.clone();
                sum.merge(b);
                sum
            };
            let left = join(&join(cells[0], cells[1]), cells[2]);
            let right = join(cells[0], &join(cells[1], cells[2]));
            assert_eq!(left, right, "seed {seed}");
            assert_eq!(
                join(cells[0], cells[1]),
                join(cells[1], cells[0]),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn deltas_round_trip_through_cbor() {
    for (_, delta) in random_deltas(7) {
        let mut bytes = Vec::new();
        ciborium::into_writer(&delta, &mut bytes).unwrap();
        let read: Delta = ciborium::from_reader(&bytes[..]).unwrap();
        assert_eq!(read, delta);
    }
}

fn record(recorder: &mut Recorder, now: Millis, model: &str, cause: Cause, n: u64) {
    for _ in 0..n {
        let key = Key::new("drafting", model);
        recorder.record(now, &key, &Sample::new(cause), &Effective::default());
    }
}

fn requests(store: &Store, now: Millis) -> u64 {
    store.service_sum(now, HISTORY_MS, "drafting").requests()
}

/// Merges deltas until the recorder has none left; returns their number.
fn drain(recorder: &mut Recorder, store: &mut Store, now: &mut Millis) -> usize {
    for sent in 0..100_000 {
        *now += MIN_DELTA_INTERVAL_MS;
        let Some(delta) = recorder.delta(*now) else {
            return sent;
        };
        let ack = store.merge(*now, &name(0), 1, &delta);
        recorder.acknowledge(ack);
    }
    panic!("the recorder still has deltas after 100,000 of them");
}

#[test]
fn lost_acknowledgement_counts_no_request_twice() {
    let mut recorder = Recorder::default();
    let mut store = Store::default();
    record(&mut recorder, 0, "lime", Cause::Answered, 3);
    let first = recorder.delta(FINE_SLOT_MS).unwrap();
    store.merge(FINE_SLOT_MS, &name(0), 1, &first);
    record(&mut recorder, FINE_SLOT_MS, "lime", Cause::QueueFull, 4);
    assert_eq!(
        recorder.delta(FINE_SLOT_MS + MIN_DELTA_INTERVAL_MS - 1),
        None,
        "at most one delta in {MIN_DELTA_INTERVAL_MS} ms"
    );
    // The acknowledgement of the first delta was lost: the next delta contains both batches, and
    // the leader discards it because its base is outdated.
    let mut now = 2 * FINE_SLOT_MS;
    let both = recorder.delta(now).unwrap();
    assert_eq!(both.batches.len(), 2);
    recorder.acknowledge(store.merge(now, &name(0), 1, &both));
    assert_eq!(requests(&store, now), 3);
    assert_eq!(drain(&mut recorder, &mut store, &mut now), 1);
    assert_eq!(requests(&store, now), 7);
}

#[test]
fn new_leader_receives_all_buffered_batches_newest_first() {
    let mut recorder = Recorder::default();
    let mut first = Store::default();
    let mut now = 0;
    let mut sent = 0;
    // More rows than fit into a delta, so that a new leader receives them in several deltas.
    for minute in 0..90 {
        for model in 0..5 {
            let at = minute * MINUTE_MS + model * FINE_SLOT_MS / 2;
            record(&mut recorder, at, &format!("m{model}"), Cause::Late, 2);
            sent += 2;
        }
        now = minute * MINUTE_MS + 3 * FINE_SLOT_MS;
        drain(&mut recorder, &mut first, &mut now);
    }
    assert_eq!(requests(&first, now), sent);
    let mut second = Store::default();
    record(&mut recorder, now, "m0", Cause::Answered, 1);
    now += FINE_SLOT_MS;
    // The router doesn't know yet that the leader is new, so the base of the delta doesn't match.
    let delta = recorder.delta(now).unwrap();
    let ack = second.merge(now, &name(0), 1, &delta);
    assert_eq!((ack, second.cells()), (Ack { merged: None }, 0));
    recorder.acknowledge(ack);
    now += MIN_DELTA_INTERVAL_MS;
    let delta = recorder.delta(now).unwrap();
    recorder.acknowledge(second.merge(now, &name(0), 1, &delta));
    let late = |store: &Store| {
        store
            .service_sum(now, FAST_BURN.short_ms, "drafting")
            .count(Cause::Late)
    };
    assert_eq!(
        late(&second),
        late(&first),
        "the short window is complete at once"
    );
    assert!(late(&first) > 0);
    assert!(requests(&second, now) < sent);
    // New requests are counted while the older batches are sent.
    record(&mut recorder, now, "m1", Cause::Answered, 1);
    assert!(drain(&mut recorder, &mut second, &mut now) > 2);
    assert_eq!(requests(&second, now), sent + 2);
    assert_eq!(second.dropped(), 0);
}

#[test]
fn deltas_of_an_older_router_incarnation_are_ignored() {
    let mut store = Store::default();
    let delta = |n| {
        let mut recorder = Recorder::default();
        record(&mut recorder, 0, "lime", Cause::Answered, n);
        recorder.delta(FINE_SLOT_MS).unwrap()
    };
    store.merge(0, &name(0), 5, &delta(3));
    store.merge(0, &name(0), 6, &delta(4));
    assert_eq!(
        requests(&store, 0),
        7,
        "the first incarnation's counts stay"
    );
    store.merge(0, &name(0), 5, &delta(100));
    assert_eq!(requests(&store, 0), 7);
}

#[test]
fn leader_with_a_clock_near_zero_accepts_old_batches() {
    let mut recorder = Recorder::default();
    record(&mut recorder, 0, "lime", Cause::NoCapacity, 5);
    let mut store = Store::default();
    let delta = recorder.delta(2 * 3_600_000).unwrap();
    store.merge(3, &name(0), 1, &delta);
    let answered = Objective::new(Kind::Answered, &Effective::default());
    let bad = |window_ms| {
        answered
            .tally(&store.service_sum(3, window_ms, "drafting"))
            .bad
    };
    assert_eq!(
        [
            bad(FAST_BURN.short_ms),
            bad(FAST_BURN.long_ms),
            bad(SLOW_BURN.long_ms)
        ],
        [0, 0, 5]
    );
}

#[test]
fn memory_is_bounded_and_dropped_requests_are_counted() {
    const MODELS: u64 = 150;
    let mut recorder = Recorder::default();
    let mut sent = 0;
    // No leader merges a delta for six hours.
    for slot in 0..HISTORY_MS / FINE_SLOT_MS {
        for model in 0..MODELS {
            record(
                &mut recorder,
                slot * FINE_SLOT_MS,
                &format!("m{model}"),
                Cause::Answered,
                1,
            );
            sent += 1;
        }
        assert!(recorder.rows() <= MAX_BUFFERED_ROWS + usize::try_from(MODELS).unwrap());
    }
    let mut store = Store::default();
    let mut now = HISTORY_MS;
    drain(&mut recorder, &mut store, &mut now);
    assert!(recorder.dropped() > 0);
    assert_eq!(store.dropped(), recorder.dropped());
    assert_eq!(requests(&store, now) + store.dropped(), sent);
    // A leader that receives more keys than its maximum of cells.
    let mut store = Store::default();
    let mut total = 0;
    for router in 0..300 {
        let mut recorder = Recorder::default();
        for model in 0..150 {
            record(
                &mut recorder,
                0,
                &format!("m{router}-{model}"),
                Cause::Answered,
                1,
            );
            total += 1;
        }
        let mut now = router * COARSE_SLOT_MS;
        while let Some(delta) = recorder.delta(now + FINE_SLOT_MS) {
            recorder.acknowledge(store.merge(now, &name(router), 1, &delta));
            now += MIN_DELTA_INTERVAL_MS;
        }
        assert!(store.cells() <= MAX_CELLS);
    }
    let now = 300 * COARSE_SLOT_MS;
    assert!(store.dropped() > 0);
    assert_eq!(requests(&store, now) + store.dropped(), total);
}

#[test]
fn largest_delta_fits_the_control_traffic_budget() {
    // Control traffic is limited to 7 KB/s per node; one leader receives the deltas of ten routers.
    const LEADER_BYTES_PER_SECOND: usize = 7_000;
    const ROUTERS: usize = 10;
    let mut recorder = Recorder::default();
    let settings = Effective::default();
    for model in 0..200 {
        let key = Key::new("drafting", format!("specialised-model-{model}"));
        for (n, cause) in [(3, Cause::Answered), (1, Cause::QueueFull)] {
            for ms in 0..n {
                let sample = Sample::new(cause).first_token_ms(Some(200 + 300 * ms));
                recorder.record(0, &key, &sample, &settings);
            }
        }
    }
    let delta = recorder.delta(FINE_SLOT_MS).unwrap();
    let rows: usize = delta.batches.iter().map(|b| b.rows.len()).sum();
    assert!(rows <= MAX_DELTA_ROWS, "{rows}");
    let per_second =
        bytes(&delta) * ROUTERS * 1_000 / usize::try_from(MIN_DELTA_INTERVAL_MS).unwrap();
    println!("bytes of a delta of {rows} rows: {}", bytes(&delta));
    assert!(per_second < LEADER_BYTES_PER_SECOND, "{per_second}");
    println!("bytes of a cell: {}", size_of::<Cell>());
}

#[test]
fn alerts_need_both_windows_and_clear_with_hysteresis() {
    let objective = Objective::new(Kind::Answered, &Effective::default());
    let tally = |percent| Tally {
        total: 100,
        bad: percent,
    };
    let (raised, cleared) = (Some(AlertChange::Raised), Some(AlertChange::Cleared));
    let few = Tally {
        total: 10,
        bad: MIN_BAD_EVENTS - 1,
    };
    // Time, short window, long window, expected change. Thresholds: raised above 14.4 % of bad
    // events, calm below 7.2 %.
    let steps = [
        (0, tally(20), tally(14), None),
        (10, tally(14), tally(20), None),
        (20, few, few, None),
        (30, tally(15), tally(15), raised),
        (40, tally(15), tally(15), None),
        // Between the two thresholds, nothing changes.
        (50, tally(8), tally(20), None),
        (60 + CLEAR_AFTER_MS, tally(8), tally(20), None),
        (70 + CLEAR_AFTER_MS, tally(7), tally(20), None),
        // The short window was not calm for long enough.
        (69 + 2 * CLEAR_AFTER_MS, tally(7), tally(20), None),
        (69 + 2 * CLEAR_AFTER_MS, tally(8), tally(20), None),
        (80 + 2 * CLEAR_AFTER_MS, tally(0), tally(20), None),
        (80 + 3 * CLEAR_AFTER_MS, tally(0), tally(20), cleared),
        (90 + 3 * CLEAR_AFTER_MS, tally(0), tally(20), None),
        (91 + 3 * CLEAR_AFTER_MS, tally(16), tally(20), raised),
    ];
    let mut alerts = AlertTracker::default();
    let service = Name::from("drafting");
    for (now, short, long, expected) in steps {
        let alert = alerts.update(now, &service, &objective, &FAST_BURN, (short, long));
        assert_eq!(alert.map(|a| a.change), expected, "at {now}");
    }
    assert_eq!(alerts.raised(&service, Kind::Answered), [FAST_BURN.name]);
    alerts.retain(|_| false);
    assert!(alerts.raised(&service, Kind::Answered).is_empty());
}

#[test]
fn report_lists_burn_sources_by_bad_events() {
    let tree = Tree::parse(
        r#"{"services": {"drafting": {"models": {
            "lime": {"version": "1", "memory_mb": 1}, "arch": {"version": "1", "memory_mb": 1}
        }}}}"#,
    )
    .unwrap();
    let mut recorder = Recorder::default();
    record(&mut recorder, 0, "lime", Cause::NoCapacity, 3);
    record(&mut recorder, 0, "arch", Cause::Late, 1);
    record(&mut recorder, 0, "arch", Cause::Answered, 196);
    let mut store = Store::default();
    store.merge(
        FINE_SLOT_MS,
        &name(0),
        1,
        &recorder.delta(FINE_SLOT_MS).unwrap(),
    );
    let status = ReportInput {
        store: &store,
        alerts: &AlertTracker::default(),
        tree: &tree,
        idle_accelerator_hours: 1.5,
    };
    let report = Report::new(FINE_SLOT_MS, 0, status);
    let line = |kind| report.lines.iter().find(|l| l.objective == kind).unwrap();
    let answered = line(Kind::Answered);
    let burners: Vec<_> = answered
        .burners
        .iter()
        .map(|b| (&*b.model, &*b.cause, b.bad))
        .collect();
    assert_eq!(burners, [("lime", "no_capacity", 3), ("arch", "late", 1)]);
    assert!((answered.burners[0].share - 0.75).abs() < 1e-9);
    // 4 bad of 200 is 2 %, twice the budget.
    assert!((answered.windows[0].burn - 2.0).abs() < 1e-9);
    assert!((answered.budget_left + 1.0).abs() < 1e-9);
    assert_eq!(line(Kind::Refused).windows[0].bad, 3);
    assert_eq!(
        report.lines.len(),
        2,
        "objectives without events have no line"
    );
    assert_eq!(answered.points.len(), 1);
}
