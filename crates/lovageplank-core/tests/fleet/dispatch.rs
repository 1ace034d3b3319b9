//! Whether a request is sent, waits or is refused.

use crate::samples::{deployment, engine, held};
use lovageplank_core::fleet::allowance::Bound;
use lovageplank_core::fleet::dispatch::{Ask, Dispatcher, Reason, Verdict};
use lovageplank_core::fleet::message::Holding;
use lovageplank_core::fleet::registry::{Announcement, Copies, Held, Stage};
use lovageplank_core::prelude::*;

const MODELS: [&str; 3] = ["a", "b", "c"];

fn dispatcher() -> Dispatcher {
    let bound = Bound {
        ratio: 0.2,
        extra: 60.0,
        window_ms: 10_000,
    };
    Dispatcher::new("east".into(), bound, 1_000, 7)
}

fn ask(model: &str, start_by: Millis) -> Ask {
    Ask {
        service: "drafting".into(),
        model: Some(model.into()),
        adapter: None,
        prefix: None,
        start_by,
    }
}

fn plain() -> Ask {
    Ask {
        service: "desk".into(),
        model: None,
        ..ask("", 1_000)
    }
}

fn sent_to(verdict: Verdict) -> Name {
    match verdict {
        Verdict::Send(target) => target.id,
        other => panic!("{other:?}"),
    }
}

fn place(dispatcher: &mut Dispatcher, now: Millis, ask: &Ask) -> Verdict {
    dispatcher.place(now, &deployment(&MODELS), ask, &[])
}

#[test]
fn a_request_goes_to_an_engine_that_holds_its_model() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.observe(0, engine("2", &["b"]));
    for _ in 0..20 {
        assert_eq!(&*sent_to(place(&mut dispatcher, 0, &ask("b", 9_000))), "2");
    }
}

#[test]
fn the_leaders_word_goes_before_an_announcement() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    let holding = |born_ms, models: &[&str]| Holding {
        server: "1".into(),
        born_ms,
        held: models.iter().map(|m| held(m, &[])).collect(),
        coming: Vec::new(),
    };
    dispatcher.held(5, vec![holding(1_000, &["b"])]);
    assert_eq!(&*sent_to(place(&mut dispatcher, 0, &ask("b", 9_000))), "1");
    assert_eq!(place(&mut dispatcher, 0, &ask("a", 9_000)), Verdict::Wait);
    // The word of an earlier leader comes late.
    dispatcher.held(4, vec![holding(1_000, &["a"])]);
    assert_eq!(place(&mut dispatcher, 0, &ask("a", 9_000)), Verdict::Wait);
    // The engine starts anew: what was said of it no longer holds.
    let reborn = Announcement {
        born_ms: 2_000,
        ..engine("1", &[])
    };
    dispatcher.observe(10, reborn);
    assert_eq!(place(&mut dispatcher, 10, &ask("b", 9_000)), Verdict::Wait);
    dispatcher.held(5, vec![holding(1_000, &["b"])]);
    assert_eq!(place(&mut dispatcher, 10, &ask("b", 9_000)), Verdict::Wait);
}

#[test]
fn a_request_waits_only_if_its_model_can_come_in_time() {
    // (copies, milliseconds that the caller waits, whether the request does)
    let copies = |memory: &[&str], disk: &[&str]| Copies {
        memory: memory.iter().map(|m| Name::from(*m)).collect(),
        disk: disk.iter().map(|m| Name::from(*m)).collect(),
    };
    let cases = [
        (copies(&["b"], &[]), 1_200, true),
        (copies(&["b"], &[]), 800, false),
        (copies(&[], &["b"]), 1_500, true),
        (copies(&[], &["b"]), 1_200, false),
        (copies(&[], &[]), 7_000, true),
        (copies(&[], &[]), 6_000, false),
    ];
    for (copies, patience_ms, waits) in cases {
        let mut dispatcher = dispatcher();
        let said = Announcement {
            copies: copies.clone(),
            ..engine("1", &["a"])
        };
        dispatcher.observe(0, said);
        let verdict = place(&mut dispatcher, 0, &ask("b", patience_ms));
        match verdict {
            Verdict::Wait => assert!(waits, "{copies:?} {patience_ms}"),
            Verdict::Refuse { reason, again_ms } => {
                assert!(!waits, "{copies:?} {patience_ms}");
                assert_eq!(reason, Reason::Cold);
                assert!(again_ms > patience_ms - 100, "it says when to come back");
            }
            Verdict::Send(target) => panic!("{target:?} lacks the model"),
        }
    }
}

#[test]
fn a_request_that_would_wait_for_the_store_too_long_is_refused_at_once() {
    for (store_wait_ms, waits) in [(0, true), (2_000, true), (5_000, false)] {
        let mut dispatcher = dispatcher();
        dispatcher.observe(0, engine("1", &["a"]));
        dispatcher.totals(Vec::new(), store_wait_ms);
        let verdict = place(&mut dispatcher, 0, &ask("b", 10_000));
        assert_eq!(
            verdict == Verdict::Wait,
            waits,
            "{store_wait_ms}: {verdict:?}"
        );
    }
}

#[test]
fn an_adapter_waits_for_its_engine_to_finish_a_load() {
    for (left_ms, waits) in [(500, true), (5_000, false)] {
        let mut dispatcher = dispatcher();
        dispatcher.observe(0, engine("1", &["a"]));
        let holding = Holding {
            server: "1".into(),
            born_ms: 1_000,
            held: vec![held("a", &[])],
            coming: vec![("b".into(), left_ms)],
        };
        dispatcher.held(1, vec![holding]);
        let ask = Ask {
            adapter: Some("x".into()),
            ..ask("a", 2_000)
        };
        let verdict = place(&mut dispatcher, 0, &ask);
        assert_eq!(verdict == Verdict::Wait, waits, "{verdict:?}");
    }
}

#[test]
fn a_model_that_no_service_names_is_refused_at_once() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    let verdict = place(&mut dispatcher, 0, &ask("unheard-of", 60_000));
    assert!(matches!(
        verdict,
        Verdict::Refuse {
            reason: Reason::NoServer,
            ..
        }
    ));
}

#[test]
fn a_server_that_drains_or_was_tried_gets_nothing() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.observe(0, engine("2", &["a"]));
    let draining = Announcement {
        number: 2,
        stage: Stage::Draining,
        ..engine("1", &["a"])
    };
    dispatcher.observe(1, draining);
    for _ in 0..20 {
        assert_eq!(&*sent_to(place(&mut dispatcher, 1, &ask("a", 9_000))), "2");
    }
    let tried = ["2".into()];
    let verdict = dispatcher.place(1, &deployment(&MODELS), &ask("a", 9_000), &tried);
    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
}

#[test]
fn a_server_that_denied_a_model_is_left_out_for_a_moment() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.denied(0, &"1".into(), &ask("a", 9_000));
    assert_eq!(place(&mut dispatcher, 10, &ask("a", 9_000)), Verdict::Wait);
    sent_to(place(&mut dispatcher, 100, &ask("a", 9_000)));
}

#[test]
fn full_servers_refuse_at_once_and_say_when_to_come_back() {
    let mut dispatcher = dispatcher();
    let desk = Announcement {
        service: "desk".into(),
        slots: 2,
        ..engine("1", &[])
    };
    dispatcher.observe(0, desk);
    for _ in 0..6 {
        let server = sent_to(place(&mut dispatcher, 0, &plain()));
        dispatcher.load().began(&server, &plain());
    }
    let verdict = place(&mut dispatcher, 0, &plain());
    let Verdict::Refuse { reason, again_ms } = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(reason, Reason::Full);
    assert!(again_ms > 0);
    dispatcher.load().ended(&"1".into(), &plain());
    sent_to(place(&mut dispatcher, 0, &plain()));
}

#[test]
fn requests_of_other_instances_count_as_load() {
    let mut dispatcher = dispatcher();
    let desk = |id: &str| Announcement {
        service: "desk".into(),
        ..engine(id, &[])
    };
    dispatcher.observe(0, desk("1"));
    dispatcher.observe(0, desk("2"));
    dispatcher.load().began(&"1".into(), &plain());
    dispatcher.load().snapshot();
    // Five at server 1, of which one is its own.
    dispatcher.totals(vec![("1".into(), 5)], 0);
    assert_eq!(dispatcher.load().at(&"1".into()), 5);
    dispatcher.load().ended(&"1".into(), &plain());
    assert_eq!(dispatcher.load().at(&"1".into()), 4);
    let chosen = (0..40).map(|_| sent_to(place(&mut dispatcher, 0, &plain())));
    let second = chosen.filter(|id| &**id == "2").count();
    assert!(second > 20, "{second}");
}

#[test]
fn a_silent_server_is_avoided_while_others_are_heard() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.observe(0, engine("2", &["a"]));
    let again = Announcement {
        number: 2,
        ..engine("2", &["a"])
    };
    dispatcher.observe(9_000, again);
    for _ in 0..20 {
        let server = sent_to(place(&mut dispatcher, 9_000, &ask("a", 20_000)));
        assert_eq!(&*server, "2");
    }
}

#[test]
fn nobody_is_avoided_when_nothing_is_heard_at_all() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.observe(0, engine("2", &["a"]));
    let chosen: BTreeSet<Name> = (0..40)
        .map(|_| sent_to(place(&mut dispatcher, 60_000, &ask("a", 90_000))))
        .collect();
    assert_eq!(chosen.len(), 2);
}

#[test]
fn requests_with_the_same_prefix_go_to_the_same_engine_at_all_instances() {
    let chosen: BTreeSet<Name> = (0..10)
        .map(|seed| {
            let bound = Bound {
                ratio: 0.0,
                extra: 0.0,
                window_ms: 1,
            };
            let mut dispatcher = Dispatcher::new("west".into(), bound, 1_000, seed);
            for id in ["1", "2", "3", "4"] {
                dispatcher.observe(0, engine(id, &["a"]));
            }
            let ask = Ask {
                prefix: Some(42),
                ..ask("a", 9_000)
            };
            sent_to(place(&mut dispatcher, 0, &ask))
        })
        .collect();
    assert_eq!(chosen.len(), 1, "{chosen:?}");
}

#[test]
fn the_load_that_the_leader_is_told_has_arrivals_once_and_waiting_always() {
    let mut dispatcher = dispatcher();
    let ask = ask("a", 9_000);
    dispatcher.load().arrived(&ask);
    dispatcher.load().arrived(&ask);
    assert!(dispatcher.load().waits(&ask), "the first one is urgent");
    assert!(!dispatcher.load().waits(&ask));
    let (_, demand) = dispatcher.load().snapshot();
    assert_eq!((demand[0].arrived, demand[0].waiting), (2, 2));
    let (_, demand) = dispatcher.load().snapshot();
    assert_eq!((demand[0].arrived, demand[0].waiting), (0, 2));
    dispatcher.load().waits_no_more(&ask);
    dispatcher.load().waits_no_more(&ask);
    dispatcher.load().snapshot();
    let (_, demand) = dispatcher.load().snapshot();
    assert!(demand.is_empty());
}

/// Pattern: engines change models all the time, and each change is told to all entry instances.
#[test]
fn only_what_is_withdrawn_has_to_be_answered() {
    let holding = |born_ms, held: Vec<Held>| Holding {
        server: "1".into(),
        born_ms,
        held,
        coming: Vec::new(),
    };
    let mut dispatcher = dispatcher();
    let first = holding(1_000, vec![held("a", &[])]);
    assert!(
        dispatcher.held(1, vec![first.clone()]),
        "what it held isn't known"
    );
    let more = holding(1_000, vec![held("a", &["x"]), held("b", &[])]);
    assert!(!dispatcher.held(1, vec![more.clone()]));
    let without_adapter = holding(1_000, vec![held("a", &[]), held("b", &[])]);
    assert!(dispatcher.held(1, vec![without_adapter]));
    assert!(dispatcher.held(1, vec![first.clone()]), "b goes");
    assert!(!dispatcher.held(1, vec![first]));
    assert!(
        dispatcher.held(1, vec![holding(2_000, vec![held("a", &[])])]),
        "a restart"
    );
    assert!(
        !dispatcher.held(0, vec![more]),
        "an earlier leader isn't heard"
    );
}
