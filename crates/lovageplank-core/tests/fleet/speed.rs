//! Speed of servers: what they state, how old it is, and what it changes.

use crate::samples::{deployment, dispatcher, engine, loaded_model, request};
use lovageplank_core::fleet::dispatch::{Bar, Decision, Dispatcher};
use lovageplank_core::fleet::message::RunningRequests;
use lovageplank_core::fleet::placement::{Limits, Planner, Report as EngineReport};
use lovageplank_core::fleet::registry::{Announcement, CachedWeights};
use lovageplank_core::fleet::selection::{Candidate, Speed, select};
use lovageplank_core::fleet::speed::{
    Estimate, Figures, HALF_LIFE_MS, Identity, MAX_AGE_MS, Relay, Report, Statement, Table, Timer,
};
use lovageplank_core::prelude::*;

pub const INCARNATION: u64 = 1_000;

pub fn figures(percent: u32) -> Figures {
    Figures {
        running: 1,
        waiting: 0,
        slots: 10,
        percent: Some(percent),
    }
}

pub fn statement(server: &str, percent: u32, age_ms: u64) -> Statement {
    Statement {
        server: server.into(),
        incarnation: INCARNATION,
        percent,
        age_ms,
    }
}

pub fn reported(statements: Vec<Statement>) -> Report {
    Report {
        statements,
        paces: Vec::new(),
    }
}

pub fn relayed(statements: Vec<Statement>) -> Relay {
    Relay {
        statements,
        lasting: Vec::new(),
    }
}

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() < 0.001
}

/// Two engines that have model `a`.
pub fn pair() -> Dispatcher {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.observe(0, engine("2", &["a"]));
    dispatcher
}

fn service() -> Name {
    "drafting".into()
}

/// How many of a hundred requests each engine gets.
fn shares(dispatcher: &mut Dispatcher, now: Millis) -> BTreeMap<Name, u32> {
    let mut shares = BTreeMap::new();
    for _ in 0..100 {
        let request = request("a", now + 9_000);
        match dispatcher.decide(now, &deployment(&["a"]), &request, &[]) {
            Decision::Send(target) => *shares.entry(target.id).or_default() += 1,
            other => panic!("expected the request to be sent: {other:?}"),
        }
    }
    shares
}

fn share(shares: &BTreeMap<Name, u32>, id: &str) -> u32 {
    shares.get(id).copied().unwrap_or_default()
}

#[test]
fn a_figure_loses_half_of_its_weight_in_each_half_life() {
    let mut estimate = Estimate::new(INCARNATION);
    for at in 0..400 {
        estimate.add_statement(100, at);
    }
    estimate.relayed(200, 1_000);
    let lasting = estimate.lasting();
    assert!(near(lasting, 1.0), "{lasting}");
    let expected = [
        (0, 2.0),
        (HALF_LIFE_MS, 1.5),
        (2 * HALF_LIFE_MS, 1.25),
        (MAX_AGE_MS, 1.0),
    ];
    for (age_ms, slowness) in expected {
        let estimated = estimate.slowness(1_000 + age_ms);
        assert!(near(estimated, slowness), "{age_ms}: {estimated}");
    }
}

/// Figures that no server can have would draw all requests to it, or keep all away.
#[test]
fn figures_that_cannot_be_do_no_harm() {
    let absurd = [
        figures(0),
        figures(10_001),
        figures(u32::MAX),
        Figures {
            running: 81,
            ..figures(10)
        },
        Figures {
            waiting: 81,
            ..figures(10)
        },
        Figures {
            running: u32::MAX,
            waiting: u32::MAX,
            ..figures(10)
        },
        Figures {
            slots: 0,
            ..figures(10)
        },
    ];
    for figures in absurd {
        assert!(!figures.is_plausible(), "{figures:?}");
        let mut estimate = Estimate::new(INCARNATION);
        estimate.stated(0, Some(figures));
        assert!(near(estimate.slowness(0), 1.0), "{figures:?}");
        assert_eq!(estimate.requests(0), None, "{figures:?}");
        let mut dispatcher = pair();
        dispatcher.load_stated(0, &"1".into(), INCARNATION, Some(figures));
        assert!(!dispatcher.states_speed(0, &service()), "{figures:?}");
        let shares = shares(&mut dispatcher, 0);
        assert!(
            share(&shares, "1") > 30 && share(&shares, "2") > 30,
            "{shares:?}"
        );
    }
    for percent in [1, 10_000] {
        let mut estimate = Estimate::new(INCARNATION);
        estimate.stated(0, Some(figures(percent)));
        let slowness = estimate.slowness(0);
        assert!((0.2..=5.0).contains(&slowness), "{percent}: {slowness}");
    }
}

/// A server that stops stating its speed must not keep the one that it stated last.
#[test]
fn a_response_without_a_figure_ends_the_one_before() {
    for next in [
        None,
        Some(Figures {
            percent: None,
            ..figures(1)
        }),
        Some(figures(0)),
    ] {
        let mut estimate = Estimate::new(INCARNATION);
        estimate.stated(0, Some(figures(400)));
        let lasting = estimate.lasting();
        estimate.stated(10, next);
        assert!(near(estimate.slowness(10), lasting), "{next:?}");
    }
}

#[test]
fn a_service_has_speeds_for_half_a_minute_after_four_figures() {
    let mut dispatcher = pair();
    let three = Figures {
        percent: None,
        ..figures(1)
    };
    assert!(dispatcher.load_stated(0, &"1".into(), INCARNATION, Some(three)));
    assert!(!dispatcher.states_speed(0, &service()));
    dispatcher.load_stated(1_000, &"1".into(), INCARNATION, Some(figures(100)));
    assert!(dispatcher.states_speed(1_000, &service()));
    assert!(dispatcher.states_speed(30_999, &service()));
    assert!(!dispatcher.states_speed(31_000, &service()));
    assert!(!dispatcher.states_speed(1_000, &"desk".into()));
    // What the leader relays counts, too, from when it was stated.
    dispatcher.speeds_relayed(40_000, &relayed(vec![statement("2", 100, 500)]));
    assert!(dispatcher.states_speed(69_499, &service()));
    assert!(!dispatcher.states_speed(69_500, &service()));
}

/// Streams alone show no speed that counts: without four figures everything is as before.
#[test]
fn nothing_changes_without_four_figures() {
    let mut dispatcher = pair();
    for _ in 0..100 {
        dispatcher.events_paced(0, &"1".into(), INCARNATION, Some(&"a".into()), 400.0);
        dispatcher.events_paced(0, &"2".into(), INCARNATION, Some(&"a".into()), 10.0);
    }
    let busy = Figures {
        running: 10,
        percent: None,
        ..figures(1)
    };
    dispatcher.load_stated(0, &"1".into(), INCARNATION, Some(busy));
    dispatcher.set_idle_connections(BTreeSet::from(["10.0.0.1:2".into()]));
    let shares = shares(&mut dispatcher, 0);
    assert!(
        share(&shares, "1") > 30 && share(&shares, "2") > 30,
        "{shares:?}"
    );
    assert_eq!(dispatcher.take_speed_report(9_000), None);
}

#[test]
fn a_slow_server_gets_fewer_requests_until_its_figure_is_old() {
    let mut dispatcher = pair();
    for at in 0..400 {
        dispatcher.load_stated(at, &"1".into(), INCARNATION, Some(figures(100)));
    }
    dispatcher.load_stated(400, &"1".into(), INCARNATION, Some(figures(300)));
    let fresh = shares(&mut dispatcher, 400);
    assert!(share(&fresh, "1") < 25, "{fresh:?}");
    let slowness = dispatcher.slowness_of(400 + MAX_AGE_MS, &service());
    assert!(
        slowness.iter().all(|s| (0.98..1.02).contains(s)),
        "{slowness:?}"
    );
}

/// A server that was slow for long and has started again on another machine must not be avoided for it; a late
/// figure of before must not count either.
#[test]
fn a_server_that_has_started_again_begins_anew() {
    let mut dispatcher = pair();
    for at in 0..400 {
        dispatcher.load_stated(at, &"1".into(), INCARNATION, Some(figures(400)));
        dispatcher.load_stated(at, &"2".into(), INCARNATION, Some(figures(100)));
    }
    assert!(share(&shares(&mut dispatcher, 400), "1") < 25);
    let again = Announcement {
        incarnation: INCARNATION + 1,
        ..engine("1", &["a"])
    };
    dispatcher.observe(400, again);
    let slowness = dispatcher.slowness_of(2_000, &service());
    assert!(slowness.iter().all(|s| near(*s, 1.0)), "{slowness:?}");
    dispatcher.load_stated(2_000, &"1".into(), INCARNATION + 1, Some(figures(100)));
    dispatcher.load_stated(2_000, &"1".into(), INCARNATION, Some(figures(400)));
    let late = relayed(vec![statement("1", 400, 0)]);
    dispatcher.speeds_relayed(2_000, &late);
    let slowness = dispatcher.slowness_of(2_000, &service());
    assert!(slowness.iter().all(|s| near(*s, 1.0)), "{slowness:?}");
}

/// Servers that a router hasn't heard of, or not yet in that incarnation, are no reason to keep anything.
#[test]
fn relayed_figures_of_unknown_servers_are_ignored() {
    let mut dispatcher = pair();
    let later = Statement {
        incarnation: INCARNATION + 5,
        ..statement("1", 400, 0)
    };
    let relay = relayed(vec![statement("7", 400, 0), later]);
    dispatcher.speeds_relayed(0, &relay);
    assert!(!dispatcher.states_speed(0, &service()));
    dispatcher.load_stated(0, &"1".into(), INCARNATION, Some(figures(200)));
    let slowness = dispatcher.slowness_of(0, &service());
    assert!(slowness[1] > 1.5, "{slowness:?}");
}

/// The leader's totals are some hundred milliseconds old, so a server that has just stated more requests than they
/// say has them.
#[test]
fn stated_requests_count_for_a_moment() {
    let mut dispatcher = pair();
    let busy = Figures {
        running: 10,
        waiting: 6,
        ..figures(100)
    };
    dispatcher.load_stated(1_000, &"1".into(), INCARNATION, Some(busy));
    let spec = request("a", 9_000);
    let bars = |now| dispatcher.bars(now, &deployment(&["a"]), &spec, &[]);
    assert_eq!(bars(1_000), [("1".into(), Bar::Full)]);
    assert_eq!(bars(1_199), [("1".into(), Bar::Full)]);
    assert_eq!(bars(1_200), []);
}

/// Requests at slow servers wait longer, so fewer may wait there; but a server with a free slot isn't full.
#[test]
fn a_slow_server_is_full_with_fewer_requests_but_never_with_a_free_slot() {
    let mut dispatcher = pair();
    let is_full = |dispatcher: &mut Dispatcher, percent, requests| {
        dispatcher.update_totals(vec![("1".into(), requests)], 0);
        let quiet = Figures {
            running: 0,
            ..figures(percent)
        };
        dispatcher.load_stated(0, &"1".into(), INCARNATION, Some(quiet));
        let spec = request("a", 9_000);
        !dispatcher
            .bars(0, &deployment(&["a"]), &spec, &[])
            .is_empty()
    };
    // (hundredths of the usual time, most requests with which the server gets another one)
    for (percent, most) in [(100, 15), (50, 15), (140, 11), (300, 9), (10_000, 9)] {
        let mut fresh = dispatcher.clone();
        assert!(!is_full(&mut fresh, percent, most), "{percent}, {most}");
        let mut fresh = dispatcher.clone();
        assert!(is_full(&mut fresh, percent, most + 1), "{percent}, {most}");
    }
    // Without speeds, as before.
    dispatcher.update_totals(vec![("1".into(), 15)], 0);
    assert_eq!(
        dispatcher.bars(0, &deployment(&["a"]), &request("a", 9_000), &[]),
        []
    );
}

#[test]
fn an_idle_connection_decides_between_equal_servers_only() {
    let names: Vec<Name> = vec!["a".into(), "b".into()];
    let candidate = |index: usize, load, slowness, has_connection| Candidate {
        id: &names[index],
        slots: 16,
        load,
        speed: Some(Speed {
            slowness,
            has_connection,
        }),
        same_domain: false,
        preferred_for_prefix: false,
        avoided: false,
    };
    let chosen = |candidates: [Candidate<'_>; 2]| {
        let mut draws = 0..;
        let chosen = select(&candidates, || draws.next().expect("endless"));
        chosen.expect("a candidate is selected").id.to_string()
    };
    assert_eq!(
        chosen([candidate(0, 3, 1.0, false), candidate(1, 3, 1.0, true)]),
        "b"
    );
    assert_eq!(
        chosen([candidate(0, 2, 1.0, false), candidate(1, 3, 1.0, true)]),
        "a"
    );
    assert_eq!(
        chosen([candidate(0, 3, 1.0, false), candidate(1, 3, 1.3, true)]),
        "a"
    );
    // An idle server takes its time, too.
    assert_eq!(
        chosen([candidate(0, 0, 2.0, false), candidate(1, 0, 1.0, false)]),
        "b"
    );
    // A slow server that is nearly idle may still be the best.
    assert_eq!(
        chosen([candidate(0, 12, 1.0, false), candidate(1, 2, 2.0, false)]),
        "b"
    );
}

/// Where engines state their speed relative to their own usual one, only their streams show which are slow.
#[test]
fn streams_show_which_servers_are_slow_for_long() {
    let mut table = Table::default();
    let service = service();
    let (fast, slow): (Name, Name) = ("1".into(), "2".into());
    let identity = |id| Identity {
        id,
        incarnation: INCARNATION,
        service: &service,
    };
    for at in 0..300 {
        for (id, interval_ms) in [(&fast, 35.0), (&slow, 52.5)] {
            table.stated(at, identity(id), Some(figures(100)));
            // Models differ in speed; that says nothing of the server.
            table.paced(identity(id), Some(&"small".into()), interval_ms);
            table.paced(identity(id), Some(&"large".into()), 4.0 * interval_ms);
        }
    }
    let slowness = |id| table.slowness(10_000, id, INCARNATION);
    let ratio = slowness(&slow) / slowness(&fast);
    assert!((1.4..1.6).contains(&ratio), "{ratio}");
}

/// One figure isn't the long-term speed.
#[test]
fn the_long_term_speed_follows_slowly() {
    let mut estimate = Estimate::new(INCARNATION);
    estimate.add_statement(500, 0);
    assert!(estimate.lasting() < 2.0, "{}", estimate.lasting());
    for at in 0..400 {
        // It flaps.
        estimate.add_statement(if at % 2 == 0 { 50 } else { 250 }, at);
    }
    assert!(
        (1.4..1.6).contains(&estimate.lasting()),
        "{}",
        estimate.lasting()
    );
}

#[test]
fn streams_are_measured_over_many_events() {
    let mut timer = Timer::default();
    let measured: Vec<f64> = (0..100).filter_map(|n| timer.arrived(n * 40, 1)).collect();
    assert!(measured.len() >= 5, "{measured:?}");
    assert!(measured.iter().all(|ms| near(*ms, 40.0)), "{measured:?}");
    // Several events that arrive together.
    let mut timer = Timer::default();
    let measured: Vec<f64> = (0..100).filter_map(|n| timer.arrived(n * 160, 4)).collect();
    assert!(measured.iter().all(|ms| near(*ms, 40.0)), "{measured:?}");
    // A burst is too short for the clock; a stream that stops says nothing of its server.
    let mut timer = Timer::default();
    assert_eq!((0..100).find_map(|n| timer.arrived(n, 1)), None);
    let mut timer = Timer::default();
    assert_eq!((0..100).find_map(|n| timer.arrived(n * 60_000, 1)), None);
    // Nor does one that isn't read for a while.
    let mut timer = Timer::default();
    for n in 0..10 {
        assert_eq!(timer.arrived(n * 40, 1), None);
    }
    timer.interrupted();
    let measured = (0..100).find_map(|n| timer.arrived(10_000 + n * 40, 1));
    assert!(measured.is_some_and(|ms| near(ms, 40.0)), "{measured:?}");
}

/// A further copy of a busy model at a slow engine would serve fewer requests.
#[test]
fn another_copy_is_loaded_at_a_faster_engine() {
    let models = ["a", "b"];
    let loaded_at = |slowness: [f64; 2], incarnation| {
        let mut planner = Planner::new(Limits::default(), 0);
        for (id, model) in [("1", "a"), ("2", "b"), ("3", "b")] {
            let cached_weights = CachedWeights {
                disk: models.map(Name::from).into(),
                ..CachedWeights::default()
            };
            let announcement = engine(id, &[model]);
            planner.observe(
                0,
                &Announcement {
                    cached_weights,
                    ..announcement
                },
            );
            let report = EngineReport {
                incarnation: INCARNATION,
                accepted_commands: 0,
                busy: false,
                loaded: vec![loaded_model(model, &[])],
                loading_adapters: Vec::new(),
                cached_weights: None,
            };
            planner.apply_report(0, id, &report);
        }
        planner.update_slowness(&"2".into(), incarnation, slowness[0]);
        planner.update_slowness(&"3".into(), incarnation, slowness[1]);
        let crowd = RunningRequests {
            server: "1".into(),
            model: Some("a".into()),
            adapter: None,
            requests: 9,
        };
        planner.update_load(0, &"entry".into(), vec![crowd], Vec::new());
        let commands = planner.decide(0, &deployment(&models));
        assert_eq!(commands.len(), 1, "{commands:?}");
        commands[0].server.to_string()
    };
    assert_eq!(loaded_at([1.3, 1.0], INCARNATION), "3");
    assert_eq!(loaded_at([1.0, 1.3], INCARNATION), "2");
    assert_eq!(loaded_at([0.8, 1.0], INCARNATION), "2");
    // What was measured of an earlier process doesn't count.
    assert_eq!(loaded_at([1.3, 1.0], INCARNATION - 1), "2");
}
