//! Arrival predictions from gaps, and the gain of keeping a replica loaded.

use lovageplank_core::keep_alive::{CostModel, Hazard, History};
use lovageplank_core::prelude::*;

const MINUTE_MS: u64 = 60_000;

/// A history of bursts with a fixed gap, and the time of the last burst.
fn regular(gap_ms: u64, bursts: u64, size: u32) -> (History, Millis) {
    let mut history = History::default();
    for burst in 0..bursts {
        history.observe_arrivals(burst * gap_ms, size);
    }
    (history, (bursts - 1) * gap_ms)
}

fn costs(cold_cost: f64, prior_gap_s: f64) -> CostModel {
    CostModel {
        cold_cost,
        idle_rate: 1.0,
        prior_gap_s,
    }
}

#[test]
fn the_gain_is_positive_when_the_next_burst_is_near() {
    // Gap, cost of a cold start, idle age, whether the gain is positive.
    let cases = [
        (MINUTE_MS, 400.0, 0, true),
        (MINUTE_MS, 400.0, 30 * MINUTE_MS, false),
        (MINUTE_MS, 0.0, 0, false),
        (60 * MINUTE_MS, 100.0, 0, false),
        (60 * MINUTE_MS, 100.0, 50 * MINUTE_MS, false),
        (60 * MINUTE_MS, 20_000.0, 0, true),
    ];
    for (gap_ms, cold_cost, idle_ms, worthwhile) in cases {
        let (history, last) = regular(gap_ms, 60, 1);
        let gain = history.gain(last + idle_ms, 0, &costs(cold_cost, 600.0));
        assert_eq!(
            gain > 0.0,
            worthwhile,
            "gap {gap_ms}, cost {cold_cost}, idle {idle_ms}"
        );
    }
}

#[test]
fn the_prior_dominates_until_gaps_are_observed() {
    for (prior_gap_s, worthwhile) in [(60.0, true), (86_400.0, false)] {
        let mut history = History::default();
        history.observe_idle(0);
        let gain = history.gain(0, 0, &costs(400.0, prior_gap_s));
        assert_eq!(gain > 0.0, worthwhile, "prior {prior_gap_s} s");
    }
    let (history, last) = regular(MINUTE_MS, 200, 1);
    let probability = history.arrival_probability(last, 120.0, 86_400.0);
    assert!(
        probability > 0.6,
        "the prior must no longer dominate after 200 gaps: {probability}"
    );
}

#[test]
fn arrival_probability_grows_with_the_horizon_and_stays_at_most_one() {
    let (history, last) = regular(10 * MINUTE_MS, 20, 1);
    let mut before = 0.0;
    for horizon_s in [1.0, 60.0, 600.0, 3_600.0, 86_400.0] {
        let probability = history.arrival_probability(last, horizon_s, 600.0);
        assert!(probability > before && probability <= 1.0);
        before = probability;
    }
}

#[test]
fn a_regular_gap_raises_the_rate_at_its_age() {
    let mut hazard = Hazard::default();
    for _ in 0..50 {
        hazard.observe(600.0);
    }
    let (early, due) = (
        hazard.rate(100.0, 0.0, 600.0),
        hazard.rate(600.0, 0.0, 600.0),
    );
    assert!(
        due > 10.0 * early,
        "rate at the usual gap {due}, before it {early}"
    );
}

#[test]
fn an_open_gap_lowers_the_rate_of_its_age() {
    let mut hazard = Hazard::default();
    hazard.observe(600.0);
    let (closed, open) = (
        hazard.rate(600.0, 0.0, 600.0),
        hazard.rate(600.0, 1_000.0, 600.0),
    );
    assert!(open < closed);
}

#[test]
fn burst_size_counts_arrivals_of_the_first_seconds() {
    let (history, _) = regular(MINUTE_MS, 40, 7);
    assert!(
        (history.burst_size() - 7.0).abs() < 0.01,
        "{}",
        history.burst_size()
    );
    let mut split = History::default();
    for burst in 0..40 {
        for router in 0..5 {
            split.observe_arrivals(burst * MINUTE_MS + router * 100, 2);
        }
    }
    assert!(
        (split.burst_size() - 10.0).abs() < 0.01,
        "{}",
        split.burst_size()
    );
}

#[test]
fn a_running_model_is_not_idle() {
    let mut history = History::default();
    assert_eq!(history.idle_ms(5), None);
    history.observe_arrivals(1_000, 1);
    history.observe_busy(9_000);
    assert_eq!(history.idle_ms(9_500), Some(500));
    history.observe_busy(2_000);
    assert_eq!(history.idle_ms(9_500), Some(500));
}
