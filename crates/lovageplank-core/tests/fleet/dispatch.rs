//! Decisions whether a request is sent, waits or is refused.

use crate::samples::{deployment, dispatcher, engine, loaded_model, request};
use lovageplank_core::fleet::dispatch::{
    Decision, Dispatcher, RefusalReason, RequestSpec, Software,
};
use lovageplank_core::fleet::message::{EngineModels, Message};
use lovageplank_core::fleet::origin::Admitted;
use lovageplank_core::fleet::permit::{Grant, Rate};
use lovageplank_core::fleet::registry::{Announcement, CachedWeights, LoadedModel, Stage};
use lovageplank_core::fleet::retry_budget::RetryLimit;
use lovageplank_core::prelude::*;

const MODELS: [&str; 3] = ["a", "b", "c"];

fn plain() -> RequestSpec {
    RequestSpec {
        software: Software::Any,
        service: "desk".into(),
        model: None,
        ..request("", 1_000)
    }
}

fn sent_to(decision: Decision) -> Name {
    match decision {
        Decision::Send(target) => target.id,
        other => panic!("expected the request to be sent: {other:?}"),
    }
}

fn decide(dispatcher: &mut Dispatcher, now: Millis, request: &RequestSpec) -> Decision {
    dispatcher.decide(now, &deployment(&MODELS), request, &[])
}

#[test]
fn a_request_is_sent_to_an_engine_that_has_loaded_its_model() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.observe(0, engine("2", &["b"]));
    for _ in 0..20 {
        assert_eq!(
            &*sent_to(decide(&mut dispatcher, 0, &request("b", 9_000))),
            "2"
        );
    }
}

#[test]
fn a_report_of_the_leader_overrides_an_announcement() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    let loaded_models = |incarnation, models: &[&str]| EngineModels {
        server: "1".into(),
        incarnation,
        loaded: models.iter().map(|m| loaded_model(m, &[])).collect(),
        loading: Vec::new(),
    };
    dispatcher.update_loaded_models(5, vec![loaded_models(1_000, &["b"])]);
    assert_eq!(
        &*sent_to(decide(&mut dispatcher, 0, &request("b", 9_000))),
        "1"
    );
    assert_eq!(
        decide(&mut dispatcher, 0, &request("a", 9_000)),
        Decision::Wait
    );
    // A report of an earlier leader arrives late.
    dispatcher.update_loaded_models(4, vec![loaded_models(1_000, &["a"])]);
    assert_eq!(
        decide(&mut dispatcher, 0, &request("a", 9_000)),
        Decision::Wait
    );
    // The engine restarts: reports of its previous incarnation no longer apply.
    let restarted = Announcement {
        incarnation: 2_000,
        ..engine("1", &[])
    };
    dispatcher.observe(10, restarted);
    assert_eq!(
        decide(&mut dispatcher, 10, &request("b", 9_000)),
        Decision::Wait
    );
    dispatcher.update_loaded_models(5, vec![loaded_models(1_000, &["b"])]);
    assert_eq!(
        decide(&mut dispatcher, 10, &request("b", 9_000)),
        Decision::Wait
    );
}

#[test]
fn a_request_waits_only_if_its_model_can_be_loaded_in_time() {
    // (cached weights, milliseconds that the caller waits, whether the request does)
    let cached_weights = |memory: &[&str], disk: &[&str]| CachedWeights {
        memory: memory.iter().map(|m| Name::from(*m)).collect(),
        disk: disk.iter().map(|m| Name::from(*m)).collect(),
    };
    let cases = [
        (cached_weights(&["b"], &[]), 1_200, true),
        (cached_weights(&["b"], &[]), 800, false),
        (cached_weights(&[], &["b"]), 1_500, true),
        (cached_weights(&[], &["b"]), 1_200, false),
        (cached_weights(&[], &[]), 7_000, true),
        (cached_weights(&[], &[]), 6_000, false),
    ];
    for (cached_weights, patience_ms, waits) in cases {
        let mut dispatcher = dispatcher();
        let announcement = Announcement {
            cached_weights: cached_weights.clone(),
            ..engine("1", &["a"])
        };
        dispatcher.observe(0, announcement);
        let decision = decide(&mut dispatcher, 0, &request("b", patience_ms));
        match decision {
            Decision::Wait => assert!(waits, "waits: {cached_weights:?}, {patience_ms} ms"),
            Decision::Refuse {
                reason,
                retry_after_ms,
            } => {
                assert!(!waits, "refused: {cached_weights:?}, {patience_ms} ms");
                assert_eq!(reason, RefusalReason::LoadTooSlow);
                assert!(
                    retry_after_ms > patience_ms - 100,
                    "retry_after_ms is {retry_after_ms}, expected more than {patience_ms} - 100"
                );
            }
            Decision::Send(target) => panic!("sent to {target:?}, which has not loaded the model"),
            Decision::Reserve { servers, .. } => panic!("{servers:?} aren't brittle"),
        }
    }
}

#[test]
fn a_request_that_would_wait_for_the_store_too_long_is_refused_at_once() {
    for (store_wait_ms, waits) in [(0, true), (2_000, true), (5_000, false)] {
        let mut dispatcher = dispatcher();
        dispatcher.observe(0, engine("1", &["a"]));
        dispatcher.update_totals(Vec::new(), store_wait_ms);
        let decision = decide(&mut dispatcher, 0, &request("b", 10_000));
        assert_eq!(
            decision == Decision::Wait,
            waits,
            "{store_wait_ms}: {decision:?}"
        );
    }
}

#[test]
fn a_request_for_an_adapter_waits_only_if_the_load_of_its_engine_ends_in_time() {
    for (left_ms, waits) in [(500, true), (5_000, false)] {
        let mut dispatcher = dispatcher();
        dispatcher.observe(0, engine("1", &["a"]));
        let loaded_models = EngineModels {
            server: "1".into(),
            incarnation: 1_000,
            loaded: vec![loaded_model("a", &[])],
            loading: vec![("b".into(), left_ms)],
        };
        dispatcher.update_loaded_models(1, vec![loaded_models]);
        let request = RequestSpec {
            adapter: Some("x".into()),
            ..request("a", 2_000)
        };
        let decision = decide(&mut dispatcher, 0, &request);
        assert_eq!(decision == Decision::Wait, waits, "{decision:?}");
    }
}

#[test]
fn a_request_for_an_unknown_model_is_refused_at_once() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    let decision = decide(&mut dispatcher, 0, &request("unheard-of", 60_000));
    assert!(matches!(
        decision,
        Decision::Refuse {
            reason: RefusalReason::NoServer,
            ..
        }
    ));
}

#[test]
fn a_server_that_drains_or_was_tried_gets_no_request() {
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
        assert_eq!(
            &*sent_to(decide(&mut dispatcher, 1, &request("a", 9_000))),
            "2"
        );
    }
    let tried = ["2".into()];
    let decision = dispatcher.decide(1, &deployment(&MODELS), &request("a", 9_000), &tried);
    assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
}

#[test]
fn a_server_that_refused_a_model_gets_no_request_for_a_moment() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.model_refused(0, &"1".into(), &request("a", 9_000));
    assert_eq!(
        decide(&mut dispatcher, 10, &request("a", 9_000)),
        Decision::Wait
    );
    sent_to(decide(&mut dispatcher, 100, &request("a", 9_000)));
}

#[test]
fn requests_for_full_servers_are_refused_with_a_time_to_retry() {
    let mut dispatcher = dispatcher();
    let desk = Announcement {
        service: "desk".into(),
        slots: 2,
        ..engine("1", &[])
    };
    dispatcher.observe(0, desk);
    for _ in 0..6 {
        let server = sent_to(decide(&mut dispatcher, 0, &plain()));
        dispatcher.load_tracker().began(&server, &plain());
    }
    let decision = decide(&mut dispatcher, 0, &plain());
    let Decision::Refuse {
        reason,
        retry_after_ms,
    } = decision
    else {
        panic!("expected a refusal: {decision:?}");
    };
    assert_eq!(reason, RefusalReason::Full);
    assert!(retry_after_ms > 0);
    dispatcher.load_tracker().ended(&"1".into(), &plain());
    sent_to(decide(&mut dispatcher, 0, &plain()));
}

#[test]
fn requests_of_other_routers_count_as_load() {
    let mut dispatcher = dispatcher();
    let desk = |id: &str| Announcement {
        service: "desk".into(),
        ..engine(id, &[])
    };
    dispatcher.observe(0, desk("1"));
    dispatcher.observe(0, desk("2"));
    dispatcher.load_tracker().began(&"1".into(), &plain());
    dispatcher.load_tracker().take_load_report(0);
    // Five at server 1, one of which was sent from here.
    dispatcher.update_totals(vec![("1".into(), 5)], 0);
    assert_eq!(dispatcher.load_tracker().total_at(&"1".into()), 5);
    dispatcher.load_tracker().ended(&"1".into(), &plain());
    assert_eq!(dispatcher.load_tracker().total_at(&"1".into()), 4);
    let chosen = (0..40).map(|_| sent_to(decide(&mut dispatcher, 0, &plain())));
    let second = chosen.filter(|id| &**id == "2").count();
    assert!(
        second > 20,
        "{second} of 40 requests sent to server 2, expected more than 20"
    );
}

#[test]
fn a_silent_server_is_avoided_while_others_announce_themselves() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.observe(0, engine("2", &["a"]));
    let again = Announcement {
        number: 2,
        ..engine("2", &["a"])
    };
    dispatcher.observe(9_000, again);
    for _ in 0..20 {
        let server = sent_to(decide(&mut dispatcher, 9_000, &request("a", 20_000)));
        assert_eq!(&*server, "2");
    }
}

#[test]
fn no_server_is_avoided_if_none_announces_itself() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.observe(0, engine("2", &["a"]));
    let chosen: BTreeSet<Name> = (0..40)
        .map(|_| sent_to(decide(&mut dispatcher, 60_000, &request("a", 90_000))))
        .collect();
    assert_eq!(chosen.len(), 2);
}

#[test]
fn requests_with_the_same_prefix_are_sent_to_the_same_engine_by_all_routers() {
    let chosen: BTreeSet<Name> = (0..10)
        .map(|seed| {
            let retry_limit = RetryLimit {
                ratio: 0.0,
                extra: 0.0,
                window_ms: 1,
            };
            let mut dispatcher = Dispatcher::new("west".into(), retry_limit, 1_000, seed);
            for id in ["1", "2", "3", "4"] {
                dispatcher.observe(0, engine(id, &["a"]));
            }
            let request = RequestSpec {
                prompt_prefix: Some(42),
                ..request("a", 9_000)
            };
            sent_to(decide(&mut dispatcher, 0, &request))
        })
        .collect();
    assert_eq!(chosen.len(), 1, "{chosen:?}");
}

#[test]
fn a_load_report_has_each_arrival_once_and_all_waiting_requests() {
    let mut dispatcher = dispatcher();
    let request = request("a", 9_000);
    dispatcher.load_tracker().arrived(&request);
    dispatcher.load_tracker().arrived(&request);
    assert!(
        dispatcher.load_tracker().began_waiting(&request),
        "the first waiting request is reported as such"
    );
    assert!(!dispatcher.load_tracker().began_waiting(&request));
    let (_, demand) = dispatcher.load_tracker().take_load_report(0);
    assert_eq!((demand[0].arrived, demand[0].waiting), (2, 2));
    let (_, demand) = dispatcher.load_tracker().take_load_report(0);
    assert_eq!((demand[0].arrived, demand[0].waiting), (0, 2));
    dispatcher.load_tracker().stopped_waiting(&request);
    dispatcher.load_tracker().stopped_waiting(&request);
    dispatcher.load_tracker().take_load_report(0);
    let (_, demand) = dispatcher.load_tracker().take_load_report(0);
    assert!(demand.is_empty());
}

/// Engines load and unload models all the time, and each change is sent to all routers. Only a
/// withdrawal requires a load report at once.
#[test]
fn only_a_withdrawal_requires_a_load_report() {
    let loaded_models = |incarnation, loaded: Vec<LoadedModel>| EngineModels {
        server: "1".into(),
        incarnation,
        loaded,
        loading: Vec::new(),
    };
    let mut dispatcher = dispatcher();
    let first = loaded_models(1_000, vec![loaded_model("a", &[])]);
    assert!(
        dispatcher.update_loaded_models(1, vec![first.clone()]),
        "earlier models are unknown"
    );
    let more = loaded_models(
        1_000,
        vec![loaded_model("a", &["x"]), loaded_model("b", &[])],
    );
    assert!(!dispatcher.update_loaded_models(1, vec![more.clone()]));
    let without_adapter =
        loaded_models(1_000, vec![loaded_model("a", &[]), loaded_model("b", &[])]);
    assert!(dispatcher.update_loaded_models(1, vec![without_adapter]));
    assert!(
        dispatcher.update_loaded_models(1, vec![first.clone()]),
        "b is withdrawn"
    );
    assert!(!dispatcher.update_loaded_models(1, vec![first]));
    assert!(
        dispatcher
            .update_loaded_models(1, vec![loaded_models(2_000, vec![loaded_model("a", &[])])]),
        "a new incarnation"
    );
    assert!(
        !dispatcher.update_loaded_models(0, vec![more]),
        "a report of an earlier leader is ignored"
    );
}

/// Requests for models that waited for the store behind many others were held until their deadline
/// and then refused (found on the users' bench).
#[test]
fn a_request_is_refused_as_soon_as_the_leader_expects_its_model_too_late() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    let request = request("b", 10_000);
    assert_eq!(decide(&mut dispatcher, 0, &request), Decision::Wait);
    dispatcher.update_expected_waits(0, vec![("b".into(), 9_000)]);
    assert_eq!(decide(&mut dispatcher, 100, &request), Decision::Wait);
    dispatcher.update_expected_waits(200, vec![("b".into(), 15_000)]);
    let Decision::Refuse {
        reason,
        retry_after_ms,
    } = decide(&mut dispatcher, 300, &request)
    else {
        panic!("the model is expected after the deadline");
    };
    assert_eq!(reason, RefusalReason::LoadTooSlow);
    assert!(
        (14_900..15_300).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
    // A leader that says nothing more is not believed for long.
    assert_eq!(decide(&mut dispatcher, 2_000, &request), Decision::Wait);
}

#[test]
fn requests_go_to_servers_without_a_limit_while_there_is_no_permit() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.observe(0, engine("2", &["a"]));
    assert!(dispatcher.server_limit_stated(0, &"1".into(), Some(Rate(2_000))));
    for _ in 0..20 {
        assert_eq!(
            &*sent_to(decide(&mut dispatcher, 0, &request("a", 9_000))),
            "2"
        );
    }
    assert!(dispatcher.server_limit_stated(0, &"1".into(), None));
    let ids = (0..20).map(|_| sent_to(decide(&mut dispatcher, 0, &request("a", 9_000))));
    assert!(ids.into_iter().any(|id| &*id == "1"));
}

#[test]
fn a_request_that_only_servers_with_a_limit_could_run_waits_for_the_leader_alone() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    dispatcher.server_limit_stated(0, &"1".into(), Some(Rate(2_000)));
    let request = request("a", 9_000);
    assert_eq!(decide(&mut dispatcher, 100, &request), Decision::Wait);
    let messages = dispatcher.take_leader_messages(100);
    let asked = messages.iter().find_map(|message| match message {
        Message::ServerPermitRequest { request, .. } => Some(request.asked_at),
        _ => None,
    });
    let mut grant = Grant {
        asked_at: asked.expect("a request for a permit"),
        permits: 1,
        retry_after_ms: 0,
    };
    dispatcher.requests_granted(110, &"1".into(), &grant);
    assert_eq!(&*sent_to(decide(&mut dispatcher, 110, &request)), "1");
    assert_eq!(decide(&mut dispatcher, 120, &request), Decision::Wait);
    grant = Grant {
        asked_at: 120,
        permits: 0,
        retry_after_ms: 700,
    };
    dispatcher.requests_granted(130, &"1".into(), &grant);
    let refused = Decision::Refuse {
        reason: RefusalReason::Limited,
        retry_after_ms: 700,
    };
    assert_eq!(decide(&mut dispatcher, 130, &request), refused);
}

/// Guards against a stream that begins at a version which isn't admitted, and one that goes on at another
/// version than its own.
#[test]
fn a_request_goes_only_to_versions_at_which_it_may_run() {
    let at_version = |id: &str, software: &str, models: &[&str]| Announcement {
        software: software.into(),
        ..engine(id, models)
    };
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, at_version("1", "v1", &["a"]));
    dispatcher.observe(0, at_version("2", "v2", &["b"]));
    let with = |model: &str, software: Software| RequestSpec {
        software,
        ..request(model, 10_000)
    };
    let admit = |number: u64, versions: &[&str]| Admitted {
        number,
        versions: BTreeMap::from([(
            "drafting".into(),
            versions.iter().map(|v| Name::from(*v)).collect(),
        )]),
    };
    let new = with("a", Software::Admitted);
    assert_eq!(decide(&mut dispatcher, 0, &new), Decision::Wait);
    dispatcher.streams_mut().update(0, admit(1, &["v1"]));
    assert_eq!(&*sent_to(decide(&mut dispatcher, 0, &new)), "1");
    let elsewhere = with("b", Software::Admitted);
    assert_eq!(decide(&mut dispatcher, 0, &elsewhere), Decision::Wait);
    let any = with("b", Software::Any);
    assert_eq!(&*sent_to(decide(&mut dispatcher, 0, &any)), "2");
    dispatcher.streams_mut().update(0, admit(2, &["v1", "v2"]));
    assert_eq!(&*sent_to(decide(&mut dispatcher, 0, &elsewhere)), "2");
    // The model is loaded at another version, and may be loaded at its own.
    let continued = with("b", Software::Only("v1".into()));
    assert_eq!(decide(&mut dispatcher, 0, &continued), Decision::Wait);
    let gone = decide(&mut dispatcher, 0, &with("a", Software::Only("v0".into())));
    assert!(
        matches!(
            gone,
            Decision::Refuse {
                reason: RefusalReason::VersionGone,
                ..
            }
        ),
        "{gone:?}"
    );
}

/// Guards against a verdict that changes with each connection, when only one service is out of reach.
#[test]
fn a_router_is_cut_off_from_each_service_by_itself() {
    let mut dispatcher = dispatcher();
    for id in ["1", "2", "3"] {
        dispatcher.observe(0, engine(id, &["a"]));
    }
    let desk = Announcement {
        service: "desk".into(),
        ..engine("4", &[])
    };
    dispatcher.observe(0, desk);
    let (drafting, desk): (Name, Name) = ("drafting".into(), "desk".into());
    for (now, id) in [(0, "1"), (10, "2"), (20, "3")] {
        let address = Name::from(format!("10.0.0.1:{id}"));
        assert!(!dispatcher.is_cut_off("drafting"));
        dispatcher.connected(now, &desk, &"10.0.0.1:4".into(), true);
        dispatcher.connected(now, &drafting, &address, false);
    }
    assert!(dispatcher.is_cut_off("drafting"));
    assert!(!dispatcher.is_cut_off("desk"));
    let unreached: Vec<&Name> = dispatcher.unreached_services().collect();
    assert_eq!(unreached, [&drafting]);
    assert_eq!(dispatcher.ready_addresses(Some("desk")).count(), 1);
    assert_eq!(dispatcher.ready_addresses(None).count(), 4);
    dispatcher.connected(30, &drafting, &"10.0.0.1:2".into(), true);
    assert!(!dispatcher.is_cut_off("drafting"));
}

/// Guards against adapters that are never served: their model was loaded and they load in milliseconds, but the leader
/// expected a further replica of the model late, and their requests were refused for it.
#[test]
fn a_request_for_an_adapter_of_a_loaded_model_does_not_wait_for_a_further_replica() {
    let mut dispatcher = dispatcher();
    dispatcher.observe(0, engine("1", &["a"]));
    let request = RequestSpec {
        adapter: Some("a1".into()),
        ..request("a", 5_000)
    };
    dispatcher.update_expected_waits(0, vec![("a".into(), 27_000)]);
    assert_eq!(decide(&mut dispatcher, 100, &request), Decision::Wait);
    // An engine that lacks the model is no reason to wait.
    let nothing = EngineModels {
        server: "1".into(),
        incarnation: 1_000,
        loaded: Vec::new(),
        loading: Vec::new(),
    };
    dispatcher.update_loaded_models(1, vec![nothing]);
    let decision = decide(&mut dispatcher, 200, &request);
    assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
}
