//! Pauses that servers ask a router for, and which checks come before others.

use crate::samples::{deployment, dispatcher, engine, request};
use lovageplank_core::fleet::dispatch::{Bar, Decision, Dispatcher, RefusalReason};
use lovageplank_core::fleet::pause::{PAUSE_MAX_MS, Pauses, retry_after_ms};
use lovageplank_core::prelude::*;

const INCARNATION: u64 = 1_000;
/// Time by which requests must be sent.
const START_BY: Millis = 60_000;

fn dispatcher_of(engines: &[(&str, &[&str])]) -> Dispatcher {
    let mut dispatcher = dispatcher();
    for (id, models) in engines {
        dispatcher.observe(0, engine(id, models));
    }
    dispatcher
}

fn decide(dispatcher: &mut Dispatcher, now: Millis, tried: &[Name]) -> Decision {
    dispatcher.decide(
        now,
        &deployment(&["a", "b"]),
        &request("a", START_BY),
        tried,
    )
}

/// Milliseconds after which a request that is refused for a pause may come back.
fn paused_for(decision: Decision) -> u64 {
    match decision {
        Decision::Refuse {
            reason: RefusalReason::Paused,
            retry_after_ms,
        } => retry_after_ms,
        other => panic!("expected a refusal: {other:?}"),
    }
}

#[test]
fn a_pause_lasts_as_long_as_was_asked_and_never_gets_shorter() {
    let (mut pauses, server) = (Pauses::default(), "1".into());
    assert!(!pauses.asked(0, &server, INCARNATION, 0), "no pause");
    assert!(pauses.asked(0, &server, INCARNATION, 500));
    assert!(!pauses.asked(100, &server, INCARNATION, 50), "paused");
    assert_eq!(pauses.remaining_ms(100, &server, INCARNATION), 400);
    assert!(!pauses.asked(200, &server, INCARNATION, 1_000));
    assert_eq!(pauses.remaining_ms(200, &server, INCARNATION), 1_000);
    assert_eq!(pauses.remaining_ms(1_200, &server, INCARNATION), 0);
    assert!(pauses.asked(1_200, &server, INCARNATION, 1), "a new one");
}

#[test]
fn a_pause_is_bounded_and_ends_with_its_incarnation() {
    let (mut pauses, server) = (Pauses::default(), "1".into());
    pauses.asked(0, &server, INCARNATION, u64::MAX);
    let remaining = |pauses: &Pauses, incarnation| pauses.remaining_ms(0, "1", incarnation);
    assert_eq!(remaining(&pauses, INCARNATION), PAUSE_MAX_MS);
    assert_eq!(remaining(&pauses, INCARNATION + 1), 0);
    pauses.asked(0, &server, INCARNATION + 1, 5);
    assert_eq!(remaining(&pauses, INCARNATION + 1), 5);
    assert!(!pauses.asked(0, &server, INCARNATION, 50), "a late answer");
    assert_eq!(remaining(&pauses, INCARNATION), 0);
    pauses.expire(5);
    assert!(pauses.asked(5, &server, INCARNATION, 50), "forgotten");
}

#[test]
fn callers_come_back_after_the_end_spread_over_some_time() {
    for (remaining_ms, spread_ms) in [(0, 200), (100, 200), (1_000, 500), (60_000, 2_000)] {
        let back: BTreeSet<u64> = (0..10_000)
            .map(|random| retry_after_ms(remaining_ms, random) - remaining_ms)
            .collect();
        assert_eq!(back.first(), Some(&0));
        assert_eq!(back.last(), Some(&spread_ms), "{remaining_ms}");
    }
}

#[test]
fn requests_go_to_servers_that_do_not_pause() {
    let mut dispatcher = dispatcher_of(&[("1", &["a"]), ("2", &["a"]), ("3", &[])]);
    dispatcher.pause_asked(0, &"1".into(), INCARNATION, 1_000);
    for now in 0..50 {
        let decision = decide(&mut dispatcher, now, &[]);
        assert!(matches!(decision, Decision::Send(target) if &*target.id == "2"));
    }
    // The first end counts, and the third engine doesn't have the model.
    dispatcher.pause_asked(50, &"2".into(), INCARNATION, 5_000);
    let retry_after_ms = paused_for(decide(&mut dispatcher, 100, &[]));
    assert!((900..=1_350).contains(&retry_after_ms), "{retry_after_ms}");
    let decision = decide(&mut dispatcher, 1_000, &[]);
    assert!(matches!(decision, Decision::Send(target) if &*target.id == "1"));
}

/// Guards against a time to come back that is untrue: a server that pauses has rejected the request itself.
#[test]
fn a_request_that_a_server_rejected_for_a_pause_comes_back_after_it() {
    let mut dispatcher = dispatcher_of(&[("1", &["a"]), ("2", &["a"])]);
    for id in ["1", "2"] {
        dispatcher.pause_asked(0, &id.into(), INCARNATION, 1_000);
    }
    let tried: [Name; 2] = ["1".into(), "2".into()];
    assert!(paused_for(decide(&mut dispatcher, 0, &tried)) >= 1_000);
    // One that was tried and doesn't pause may take the request when it comes again.
    dispatcher.observe(0, engine("3", &["a"]));
    let tried = ["1".into(), "2".into(), "3".into()];
    let decision = decide(&mut dispatcher, 0, &tried);
    assert!(matches!(
        decision,
        Decision::Refuse {
            reason: RefusalReason::NoServer,
            ..
        }
    ));
}

/// Guards against a reason that an operator doesn't see, or sees for the wrong server.
#[test]
fn each_server_that_may_not_get_a_request_has_a_reason() {
    let mut dispatcher = dispatcher_of(&[
        ("1", &["a"]),
        ("2", &["a"]),
        ("3", &["b"]),
        ("4", &["a"]),
        ("5", &["a"]),
    ]);
    dispatcher.pause_asked(0, &"1".into(), INCARNATION, 1_000);
    dispatcher.leaves(0, &"2".into(), INCARNATION);
    dispatcher.model_refused(0, &"5".into(), &request("a", START_BY));
    let (deployment, request) = (deployment(&["a", "b"]), request("a", START_BY));
    let bars = dispatcher.bars(0, &deployment, &request, &["4".into()]);
    let expected = [
        ("1", Bar::Paused),
        ("2", Bar::Leaving),
        ("3", Bar::NotLoaded),
        ("4", Bar::Tried),
        ("5", Bar::ModelRefused),
    ];
    assert_eq!(bars, expected.map(|(id, bar)| (id.into(), bar)));
    for (id, bar) in expected {
        let found = dispatcher.bar(0, &request, id, &["4".into()]);
        assert_eq!(found, Some(bar), "{id}");
    }
    assert_eq!(dispatcher.bar(0, &request, "4", &[]), None);
    let closed = dispatcher.closed_servers(0, &deployment);
    let counts = [
        (Bar::Leaving, 1),
        (Bar::Paused, 1),
        (Bar::Full, 0),
        (Bar::Limited, 0),
    ];
    assert_eq!(closed, BTreeMap::from(counts));
}
