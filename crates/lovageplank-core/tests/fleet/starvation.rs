//! Models and adapters that callers ask for again and again while no engine has them loaded, as
//! operators see them.

use crate::placement::{MODELS, planner, report, requested, wait_for, with_cached_weights};
use crate::samples::{deployment, engine};
use lovageplank_core::fleet::message::Demand;
use lovageplank_core::fleet::placement::{Holders, Lack, Planner, Purpose, Starved, StoreEvent};
use lovageplank_core::prelude::*;

/// Engine 1 has `a` loaded and all models cached, or no other copy.
fn fleet(has_copies: bool) -> Planner {
    let mut planner = planner();
    announce(&mut planner, 0, has_copies);
    planner.apply_report(0, "1", &report(0, &["a"]));
    planner
}

fn announce(planner: &mut Planner, now: Millis, has_copies: bool) {
    let announcement = engine("1", &["a"]);
    let announcement = if has_copies {
        with_cached_weights(announcement)
    } else {
        announcement
    };
    planner.observe(now, &announcement);
}

fn ask(planner: &mut Planner, now: Millis, model: &str, adapter: Option<&str>) {
    let demand = Demand {
        requested: requested(model, adapter),
        arrived: 1,
        waiting: 0,
        objective_in_ms: None,
        overdue_ms: None,
    };
    planner.update_load(now, &"entry".into(), Vec::new(), vec![demand]);
}

/// Five requests within eight seconds, for which nothing is loaded.
fn starved(has_copies: bool, model: &str, adapter: Option<&str>) -> Vec<Starved> {
    let mut planner = fleet(has_copies);
    for now in [1_000, 3_000, 5_000, 7_000, 9_000] {
        announce(&mut planner, now, has_copies);
        ask(&mut planner, now, model, adapter);
    }
    planner.starved(9_000, &deployment(&MODELS))
}

#[test]
fn what_is_asked_for_again_and_again_is_named_with_what_it_lacks() {
    let cases = [
        (false, "b", None, Some(Lack::Copy)),
        (false, "b", Some("x"), Some(Lack::Copy)),
        (true, "b", None, Some(Lack::Replica)),
        (true, "a", Some("x"), Some(Lack::Adapter)),
        (true, "a", None, None),
        (false, "unknown", None, None),
    ];
    for (has_copies, model, adapter, lack) in cases {
        let starved = starved(has_copies, model, adapter);
        let found: Vec<Lack> = starved.iter().map(|s| s.lack).collect();
        assert_eq!(found, Vec::from_iter(lack), "{model} {adapter:?}");
        for starved in starved {
            assert_eq!((starved.requests, starved.asked_ms), (5, 8_000));
            assert_eq!(&*starved.model, model);
            assert_eq!(starved.adapter.as_deref(), adapter);
        }
    }
}

#[test]
fn few_requests_or_old_ones_are_not_named() {
    let mut planner = fleet(false);
    for now in [0, 4_000, 9_000] {
        ask(&mut planner, now, "b", None);
    }
    announce(&mut planner, 9_000, false);
    assert_eq!(
        planner.starved(9_000, &deployment(&MODELS)),
        Vec::new(),
        "three requests"
    );
    ask(&mut planner, 10_000, "b", None);
    assert_eq!(planner.starved(10_000, &deployment(&MODELS)).len(), 1);
    assert_eq!(
        planner.starved(70_000, &deployment(&MODELS)),
        Vec::new(),
        "nobody asks any more"
    );
    ask(&mut planner, 70_000, "b", None);
    assert_eq!(
        planner.starved(70_000, &deployment(&MODELS)),
        Vec::new(),
        "counted anew"
    );
}

/// The first load from the store that a decision begins.
fn begun(planner: &mut Planner, now: Millis) -> (Name, Purpose) {
    planner.decide(now, &deployment(&MODELS));
    let events = planner.take_store_events();
    assert_eq!(planner.take_store_events(), Vec::new(), "taken once");
    match events.into_iter().next() {
        Some(StoreEvent::Begun { model, purpose, .. }) => (model, purpose),
        other => panic!("expected a load that begins, found {other:?}"),
    }
}

#[test]
fn loads_from_the_store_say_for_whom_they_are() {
    let expected = ("b".into(), Purpose::Ahead);
    assert_eq!(begun(&mut fleet(false), 0), expected);
    let mut planner = fleet(false);
    ask(&mut planner, 500, "e", None);
    let expected = ("e".into(), Purpose::Requested);
    assert_eq!(begun(&mut planner, 500), expected);
    let mut planner = fleet(false);
    wait_for(&mut planner, 500, requested("f", None), Vec::new());
    let expected = ("f".into(), Purpose::Waiting);
    assert_eq!(begun(&mut planner, 500), expected);
}

/// Tells a load of a model that engines have from one of a model that no engine has.
#[test]
fn loads_from_the_store_say_who_has_the_model_and_how_many_models_nobody_has() {
    let mut planner = fleet(false);
    ask(&mut planner, 500, "e", None);
    ask(&mut planner, 500, "f", None);
    planner.decide(500, &deployment(&MODELS));
    let event = planner.take_store_events().into_iter().next();
    let Some(StoreEvent::Begun {
        holders, missing, ..
    }) = event
    else {
        panic!("expected a load that begins, found {event:?}");
    };
    assert_eq!((holders, missing), (Holders::default(), 2));
    let mut planner = fleet(true);
    let holders = |planner: &Planner, model: &str| planner.holders(500, &model.into());
    let both = Holders {
        loaded: 1,
        cached: 1,
    };
    assert_eq!(holders(&planner, "a"), both);
    assert_eq!(holders(&planner, "b"), Holders { loaded: 0, ..both });
    planner.remove("1");
    assert_eq!(holders(&planner, "a"), Holders::default());
}
