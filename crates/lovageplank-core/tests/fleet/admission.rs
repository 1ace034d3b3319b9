//! Who waits and who is refused while capacity is short: decisions of single routers. Loads of whole deployments are in
//! `admission_loads`.

use crate::samples::{deployment, dispatcher, engine, request};
use lovageplank_core::fleet::admission::Ending;
use lovageplank_core::fleet::dispatch::{Decision, Dispatcher, RefusalReason, RequestSpec, Turn};
use lovageplank_core::fleet::request::{Rank, Work};
use lovageplank_core::prelude::*;

/// Places of the engine of the samples: 1.6 for each of its 10 slots.
const PLACES: u32 = 16;

/// A dispatcher under pressure that knows these engines, which have loaded the model `a`.
fn pressed(engines: &[&str]) -> Dispatcher {
    let mut dispatcher = dispatcher();
    dispatcher.set_pressure(true);
    for id in engines {
        dispatcher.observe(0, engine(id, &["a"]));
    }
    dispatcher
}

/// A request of a priority whose objective and patience end at these times.
fn ranked(priority: u32, objective_at: Millis, start_by: Millis) -> RequestSpec {
    RequestSpec {
        rank: Rank {
            tenant: 0,
            route: priority,
        },
        objective_at,
        ..request("a", start_by)
    }
}

fn sized(cost: u32, request: RequestSpec) -> RequestSpec {
    let work = Work {
        prompt_tokens: cost,
        output_tokens: 0,
    };
    RequestSpec {
        work: Some(work),
        ..request
    }
}

fn decide(
    dispatcher: &mut Dispatcher,
    now: Millis,
    request: &RequestSpec,
    turn: &mut Turn,
) -> Decision {
    dispatcher.decide_in_turn(now, &deployment(&["a"]), request, &[], turn)
}

/// Sends requests until one isn't sent; returns how many were.
fn fill(dispatcher: &mut Dispatcher, now: Millis, request: &RequestSpec) -> u32 {
    for sent in 0.. {
        let mut turn = Turn::new(0);
        let Decision::Send(target) = decide(dispatcher, now, request, &mut turn) else {
            dispatcher.leave_queue(now, request, &mut turn);
            return sent;
        };
        dispatcher.began(now, &target.id, request);
    }
    unreachable!()
}

fn waits(dispatcher: &mut Dispatcher, now: Millis, request: &RequestSpec) -> Turn {
    let mut turn = Turn::new(0);
    let decision = decide(dispatcher, now, request, &mut turn);
    assert_eq!(decision, Decision::Wait);
    assert!(turn.ticket().is_some(), "it is in the queue");
    turn
}

fn retry_after_ms(decision: Decision) -> u64 {
    match decision {
        Decision::Refuse {
            reason: RefusalReason::Full,
            retry_after_ms,
        } => retry_after_ms,
        other => panic!("expected a refusal: {other:?}"),
    }
}

fn ends(dispatcher: &mut Dispatcher, now: Millis, request: &RequestSpec) {
    dispatcher.ended(now, &"1".into(), request, 500, Ending::Answered);
}

/// Guards against a change for deployments that didn't ask for admission by rank.
#[test]
fn without_pressure_requests_for_full_engines_are_refused_as_before() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    let urgent = ranked(0, 500, 2_000);
    assert_eq!(fill(&mut dispatcher, 0, &ranked(5, 4_000, 8_000)), PLACES);
    for request in [&urgent, &ranked(5, 4_000, 8_000)] {
        let mut turn = Turn::new(0);
        let decision = decide(&mut dispatcher, 0, request, &mut turn);
        assert_eq!(retry_after_ms(decision), 250);
        assert_eq!(turn.ticket(), None);
    }
}

/// Guards against room that is kept for nobody.
#[test]
fn without_more_urgent_demand_all_places_are_used() {
    let mut dispatcher = pressed(&["1"]);
    assert_eq!(fill(&mut dispatcher, 0, &ranked(5, 4_000, 8_000)), PLACES);
}

/// Guards against a burst of batch requests that takes all places from captions.
#[test]
fn room_is_kept_for_the_more_urgent_requests_that_come() {
    let (caption, batch) = (ranked(0, 500, 2_000), ranked(5, 4_000, 8_000));
    let mut dispatcher = pressed(&["1"]);
    for _ in 0..10 {
        dispatcher.arrived(0, &caption);
        dispatcher.arrived(0, &batch);
    }
    let batches = fill(&mut dispatcher, 0, &batch);
    assert!((10..PLACES).contains(&batches), "batches: {batches}");
    let captions = fill(&mut dispatcher, 0, &caption);
    // The engine runs captions first, so that it takes more of them than batch requests leave places.
    assert!(captions > PLACES - batches, "captions: {captions}");
}

/// Guards against waiting where it is too late, and against refusals where it isn't.
#[test]
fn a_request_waits_only_if_its_caller_can_be_answered() {
    // (time at which the caller gives up, whether the request waits)
    for (start_by, does_wait) in [(100, false), (200, false), (2_000, true), (8_000, true)] {
        let mut dispatcher = pressed(&["1"]);
        let request = ranked(1, 500, start_by);
        fill(&mut dispatcher, 0, &ranked(1, 500, 9_000));
        let mut turn = Turn::new(0);
        let decision = decide(&mut dispatcher, 0, &request, &mut turn);
        assert_eq!(
            decision == Decision::Wait,
            does_wait,
            "{start_by}: {decision:?}"
        );
        assert_eq!(turn.ticket().is_some(), does_wait);
    }
}

/// Guards against a queue in which requests wait although nothing ends.
#[test]
fn a_request_is_refused_at_once_while_nothing_ends() {
    let mut dispatcher = pressed(&["1"]);
    let request = |now: Millis| ranked(1, now + 500, now + 4_000);
    fill(&mut dispatcher, 0, &request(0));
    waits(&mut dispatcher, 100, &request(100));
    let decision = decide(&mut dispatcher, 8_000, &request(8_000), &mut Turn::new(0));
    assert!(retry_after_ms(decision) > 0);
}

/// Guards against a waiting request that never learns that its time is up.
#[test]
fn a_waiting_request_is_refused_when_its_caller_is_about_to_give_up() {
    let mut dispatcher = pressed(&["1"]);
    let request = ranked(1, 500, 2_000);
    fill(&mut dispatcher, 0, &request);
    let mut turn = waits(&mut dispatcher, 0, &request);
    assert_eq!(
        decide(&mut dispatcher, 1_000, &request, &mut turn),
        Decision::Wait
    );
    retry_after_ms(decide(&mut dispatcher, 1_900, &request, &mut turn));
    assert_eq!(turn.ticket(), None);
    assert!(dispatcher.queue_heads(1_900).is_empty());
}

/// Guards against an order by arrival: each case is the order in which requests have to get room.
#[test]
fn waiting_requests_get_room_in_order() {
    let cases = [
        (
            "rank",
            vec![
                ranked(0, 3_000, 8_000),
                ranked(1, 1_000, 8_000),
                ranked(5, 900, 8_000),
            ],
        ),
        (
            "objective that can be met",
            vec![
                ranked(1, 900, 8_000),
                ranked(1, 2_000, 8_000),
                ranked(1, 20, 8_000),
            ],
        ),
        (
            "work",
            vec![
                sized(10, ranked(1, 1_000, 8_000)),
                sized(4_000, ranked(1, 1_000, 8_000)),
            ],
        ),
        // A large request isn't overtaken for ever.
        (
            "work and time",
            vec![
                sized(90_000, ranked(1, 1_000, 8_000)),
                sized(10, ranked(1, 1_500, 8_000)),
            ],
        ),
    ];
    for (name, expected) in cases {
        let mut dispatcher = pressed(&["1"]);
        let filler = ranked(0, 500, 9_000);
        fill(&mut dispatcher, 0, &filler);
        let mut waiting: Vec<Turn> = Vec::new();
        for request in expected.iter().rev() {
            waiting.insert(0, waits(&mut dispatcher, 0, request));
        }
        let mut next = 0;
        for _ in 0..PLACES {
            ends(&mut dispatcher, 10, &filler);
            let first = waiting[next].ticket().expect("it waits");
            assert_eq!(dispatcher.queue_heads(10), [first], "{name}");
            for later in next + 1..expected.len() {
                let decision = decide(&mut dispatcher, 10, &expected[later], &mut waiting[later]);
                assert_eq!(
                    decision,
                    Decision::Wait,
                    "{name}: {later} goes before {next}"
                );
            }
            let decision = decide(&mut dispatcher, 10, &expected[next], &mut waiting[next]);
            if let Decision::Send(target) = decision {
                dispatcher.began(10, &target.id, &expected[next]);
                next += 1;
            }
            if next == expected.len() {
                break;
            }
        }
        assert_eq!(next, expected.len(), "{name}: not all are sent");
    }
}

/// Guards against a request that arrives and takes the place that another one waits for.
#[test]
fn a_request_that_arrives_does_not_overtake_those_that_wait() {
    let mut dispatcher = pressed(&["1"]);
    let request = ranked(1, 1_000, 8_000);
    fill(&mut dispatcher, 0, &request);
    let mut first = waits(&mut dispatcher, 0, &request);
    ends(&mut dispatcher, 10, &request);
    let mut second = waits(&mut dispatcher, 10, &ranked(1, 1_200, 8_000));
    let decision = decide(&mut dispatcher, 10, &request, &mut first);
    assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
    dispatcher.began(10, &"1".into(), &request);
    assert_eq!(
        decide(&mut dispatcher, 10, &request, &mut second),
        Decision::Wait
    );
}

/// Guards against a queue that waits for a caller that has left.
#[test]
fn the_next_request_gets_the_room_of_one_whose_caller_has_left() {
    let mut dispatcher = pressed(&["1"]);
    let request = ranked(1, 1_000, 8_000);
    fill(&mut dispatcher, 0, &request);
    let mut first = waits(&mut dispatcher, 0, &request);
    let mut second = waits(&mut dispatcher, 0, &request);
    ends(&mut dispatcher, 10, &request);
    dispatcher.leave_queue(10, &request, &mut first);
    let decision = decide(&mut dispatcher, 10, &request, &mut second);
    assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
}

/// Guards against a queue without bounds, and against one that is full of batch requests and refuses captions.
#[test]
fn a_full_queue_refuses_the_least_urgent_request_with_the_latest_objective() {
    let half = 5 << 20;
    for (first, second, dropped) in [
        (ranked(5, 4_000, 60_000), ranked(0, 1_000, 60_000), "first"),
        (ranked(1, 4_000, 60_000), ranked(1, 1_000, 60_000), "first"),
        (ranked(1, 1_000, 60_000), ranked(5, 500, 60_000), "second"),
        (ranked(1, 1_000, 60_000), ranked(1, 4_000, 60_000), "second"),
    ] {
        let mut dispatcher = pressed(&["1"]);
        fill(&mut dispatcher, 0, &ranked(0, 500, 60_000));
        let mut turns = [Turn::new(half), Turn::new(half)];
        decide(&mut dispatcher, 0, &first, &mut turns[0]);
        let second_decision = decide(&mut dispatcher, 0, &second, &mut turns[1]);
        let first_decision = decide(&mut dispatcher, 10, &first, &mut turns[0]);
        if dropped == "first" {
            retry_after_ms(first_decision);
            assert_eq!(second_decision, Decision::Wait);
        } else {
            assert_eq!(first_decision, Decision::Wait);
            retry_after_ms(second_decision);
        }
    }
}

/// Guards against callers that all return at the same moment, or too late for another attempt.
#[test]
fn times_to_return_are_spread_and_leave_time_for_another_attempt() {
    let mut times = BTreeSet::new();
    for seed in 0..40 {
        let mut dispatcher =
            Dispatcher::new("east".into(), crate::samples::RETRY_LIMIT, 1_000, seed);
        dispatcher.set_pressure(true);
        dispatcher.observe(0, engine("1", &["a"]));
        fill(&mut dispatcher, 0, &ranked(1, 500, 9_000));
        // There is room after about 3 s, which is too late by a little.
        dispatcher.update_totals(vec![("1".into(), 600)], 0);
        let request = ranked(1, 500, 1_100);
        let ms = retry_after_ms(decide(&mut dispatcher, 0, &request, &mut Turn::new(0)));
        assert!(ms <= 1_100 / 3, "it returns after {ms} ms");
        times.insert(ms);
    }
    assert!(times.len() > 20, "times: {times:?}");
}

/// Guards against routers that all fill the same free places, which each of them sees in the totals.
#[test]
fn routers_with_waiting_requests_share_what_room_they_see() {
    const ROUTERS: u64 = 40;
    const FREE: u32 = 3;
    let request = ranked(1, 4_000, 9_000);
    let mut sent = 0;
    for seed in 0..ROUTERS {
        let mut dispatcher =
            Dispatcher::new("east".into(), crate::samples::RETRY_LIMIT, 1_000, seed);
        dispatcher.set_pressure(true);
        dispatcher.observe(0, engine("1", &["a"]));
        dispatcher.update_totals(vec![("1".into(), PLACES)], 0);
        let mut turn = waits(&mut dispatcher, 0, &request);
        dispatcher.update_totals(vec![("1".into(), PLACES - FREE)], 0);
        let decision = decide(&mut dispatcher, 200, &request, &mut turn);
        sent += u32::from(matches!(decision, Decision::Send(_)));
    }
    // Each has no request at the engine, so that its part is one in as many as there are, plus one.
    assert!(sent <= 4 * FREE, "sent: {sent}");
    assert!(sent > 0, "none is sent");
}
