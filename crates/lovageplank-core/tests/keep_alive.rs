//! What gaps say about keeping a replica.

use lovageplank_core::keep_alive::{Hazard, History, Terms};
use lovageplank_core::prelude::*;

const MINUTE_MS: u64 = 60_000;

/// A history of bursts at a fixed gap; returns the time of the last one.
fn regular(gap_ms: u64, bursts: u64, size: u32) -> (History, Millis) {
    let mut history = History::default();
    for burst in 0..bursts {
        history.observe_arrivals(burst * gap_ms, size);
    }
    (history, (bursts - 1) * gap_ms)
}

fn terms(cold_cost: f64, prior_gap_s: f64) -> Terms {
    Terms {
        cold_cost,
        idle_rate: 1.0,
        prior_gap_s,
    }
}

#[test]
fn keeping_pays_where_the_next_burst_is_near() {
    // Gap, cost of a cold start, idle age, whether keeping pays.
    let cases = [
        (MINUTE_MS, 400.0, 0, true),
        (MINUTE_MS, 400.0, 30 * MINUTE_MS, false),
        (MINUTE_MS, 0.0, 0, false),
        (60 * MINUTE_MS, 100.0, 0, false),
        (60 * MINUTE_MS, 100.0, 50 * MINUTE_MS, false),
        (60 * MINUTE_MS, 20_000.0, 0, true),
    ];
    for (gap_ms, cold_cost, idle_ms, pays) in cases {
        let (history, last) = regular(gap_ms, 60, 1);
        let gain = history.gain(last + idle_ms, 0, &terms(cold_cost, 600.0));
        assert_eq!(
            gain > 0.0,
            pays,
            "gap {gap_ms}, cost {cold_cost}, idle {idle_ms}"
        );
    }
}

#[test]
fn the_prior_decides_until_gaps_were_seen() {
    for (prior_gap_s, pays) in [(60.0, true), (86_400.0, false)] {
        let mut history = History::default();
        history.observe_idle(0);
        let gain = history.gain(0, 0, &terms(400.0, prior_gap_s));
        assert_eq!(gain > 0.0, pays, "prior {prior_gap_s} s");
    }
    let (seen, last) = regular(MINUTE_MS, 200, 1);
    let sure = seen.wake_probability(last, 120.0, 86_400.0);
    assert!(sure > 0.6, "after 200 gaps the prior still weighs: {sure}");
}

#[test]
fn a_wake_is_likelier_within_longer_and_never_certain() {
    let (history, last) = regular(10 * MINUTE_MS, 20, 1);
    let mut before = 0.0;
    for horizon_s in [1.0, 60.0, 600.0, 3_600.0, 86_400.0] {
        let probability = history.wake_probability(last, horizon_s, 600.0);
        assert!(probability > before && probability <= 1.0);
        before = probability;
    }
}

#[test]
fn a_regular_rhythm_shows_as_a_peak() {
    let mut hazard = Hazard::default();
    for _ in 0..50 {
        hazard.observe(600.0);
    }
    let (early, due) = (
        hazard.rate(100.0, 0.0, 600.0),
        hazard.rate(600.0, 0.0, 600.0),
    );
    assert!(due > 10.0 * early, "{due} and {early}");
}

#[test]
fn an_open_gap_lowers_the_rate_of_its_age() {
    let mut hazard = Hazard::default();
    hazard.observe(600.0);
    let (shut, open) = (
        hazard.rate(600.0, 0.0, 600.0),
        hazard.rate(600.0, 1_000.0, 600.0),
    );
    assert!(open < shut);
}

#[test]
fn bursts_are_counted_over_their_first_seconds() {
    let (history, _) = regular(MINUTE_MS, 40, 7);
    assert!((history.burst() - 7.0).abs() < 0.01, "{}", history.burst());
    let mut split = History::default();
    for burst in 0..40 {
        for router in 0..5 {
            split.observe_arrivals(burst * MINUTE_MS + router * 100, 2);
        }
    }
    assert!((split.burst() - 10.0).abs() < 0.01, "{}", split.burst());
}

#[test]
fn a_model_that_runs_is_not_idle() {
    let mut history = History::default();
    assert_eq!(history.idle_ms(5), None);
    history.observe_arrivals(1_000, 1);
    history.observe_busy(9_000);
    assert_eq!(history.idle_ms(9_500), Some(500));
    history.observe_busy(2_000);
    assert_eq!(history.idle_ms(9_500), Some(500));
}
