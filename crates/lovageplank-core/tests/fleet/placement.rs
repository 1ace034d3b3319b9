//! Loads and unloads on engines that answer as their interface requires.

use crate::samples::{deployment, engine, loaded_model};
use lovageplank_core::fleet::message::{Demand, RequestedModel, RunningRequests};
use lovageplank_core::fleet::placement::{Answer, Command, Limits, Op, Planner, Report};
use lovageplank_core::fleet::registry::{Announcement, CachedWeights, Stage};
use lovageplank_core::prelude::*;

pub const MODELS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

pub fn report(commands: u64, models: &[&str]) -> Report {
    Report {
        incarnation: 1_000,
        accepted_commands: commands,
        busy: false,
        loaded: models.iter().map(|m| loaded_model(m, &[])).collect(),
        loading_adapters: Vec::new(),
        cached_weights: None,
    }
}

/// All models are cached on the disk of an engine, so that no load needs the store.
fn on_disk() -> CachedWeights {
    CachedWeights {
        memory: BTreeSet::new(),
        disk: MODELS.iter().map(|m| Name::from(*m)).collect(),
    }
}

pub fn with_cached_weights(announcement: Announcement) -> Announcement {
    Announcement {
        cached_weights: on_disk(),
        ..announcement
    }
}

pub fn planner() -> Planner {
    Planner::new(Limits::default(), 0)
}

/// One engine that has loaded `models` and has all models cached on its disk.
fn one_engine(models: &[&str]) -> Planner {
    let mut planner = planner();
    planner.observe(0, &with_cached_weights(engine("1", models)));
    planner.apply_report(0, "1", &report(0, models));
    planner
}

pub fn requested(model: &str, adapter: Option<&str>) -> RequestedModel {
    RequestedModel {
        software: None,
        service: "drafting".into(),
        model: model.into(),
        adapter: adapter.map(Name::from),
    }
}

pub fn wait_for(
    planner: &mut Planner,
    now: Millis,
    requested: RequestedModel,
    running: Vec<RunningRequests>,
) {
    let demand = vec![Demand {
        requested,
        arrived: 1,
        waiting: 1,
        objective_in_ms: Some(2_500),
        overdue_ms: None,
    }];
    planner.update_load(now, &"entry".into(), running, demand);
}

fn running_at(server: &str, model: &str, adapter: Option<&str>, requests: u32) -> RunningRequests {
    RunningRequests {
        server: server.into(),
        model: Some(model.into()),
        adapter: adapter.map(Name::from),
        requests,
    }
}

pub fn only(commands: &[Command]) -> &Command {
    assert_eq!(commands.len(), 1, "expected one command: {commands:?}");
    &commands[0]
}

#[test]
fn a_model_that_fits_is_loaded_where_its_weights_are_cached() {
    let mut planner = planner();
    planner.observe(0, &engine("1", &["a"]));
    planner.observe(0, &with_cached_weights(engine("2", &["a", "b"])));
    planner.apply_report(0, "1", &report(0, &["a"]));
    planner.apply_report(0, "2", &report(4, &["a", "b"]));
    wait_for(&mut planner, 0, requested("c", None), Vec::new());
    let commands = planner.decide(0, &deployment(&MODELS));
    let command = only(&commands);
    assert_eq!(command.op, Op::Load("c".into()));
    assert_eq!(&*command.server, "2");
    assert_eq!(command.expected, 4);
}

/// Guards against a stream that can't go on because its model is loaded only at engines of another version.
#[test]
fn a_model_that_a_stream_needs_is_loaded_at_the_version_of_the_stream() {
    let mut planner = planner();
    let of_version = |id: &str, software: &str, models: &[&str]| Announcement {
        software: software.into(),
        ..with_cached_weights(engine(id, models))
    };
    planner.observe(0, &of_version("1", "v1", &["a"]));
    planner.observe(0, &of_version("2", "v2", &["b"]));
    planner.observe(0, &of_version("3", "v2", &[]));
    planner.apply_report(0, "1", &report(0, &["a"]));
    planner.apply_report(0, "2", &report(0, &["b"]));
    planner.apply_report(0, "3", &report(0, &[]));
    let at_version = |software: &str| RequestedModel {
        software: Some(software.into()),
        ..requested("a", None)
    };
    wait_for(&mut planner, 0, at_version("v1"), Vec::new());
    assert_eq!(planner.decide(0, &deployment(&MODELS)), Vec::new());
    wait_for(&mut planner, 10, at_version("v2"), Vec::new());
    let commands = planner.decide(10, &deployment(&MODELS));
    assert_eq!(only(&commands).op, Op::Load("a".into()));
    assert!(["2", "3"].contains(&&*only(&commands).server));
}

#[test]
fn a_model_is_withdrawn_from_routers_before_it_is_unloaded() {
    let mut planner = one_engine(&["a", "b", "c"]);
    wait_for(&mut planner, 1_000, requested("d", None), Vec::new());
    assert_eq!(planner.decide(1_000, &deployment(&MODELS)), Vec::new());
    let loaded_models = planner.loaded_models(1_000);
    assert_eq!(loaded_models[0].loaded.len(), 2, "{loaded_models:?}");
    assert_eq!(loaded_models[0].loading[0].0, "d".into());
    // The router has not reported its running requests since then.
    assert_eq!(planner.decide(1_100, &deployment(&MODELS)), Vec::new());
    wait_for(&mut planner, 1_100, requested("d", None), Vec::new());
    let commands = planner.decide(1_100, &deployment(&MODELS));
    assert!(matches!(only(&commands).op, Op::Unload(_)));
}

/// An unload waited 11 s for a request that began just before it, and the engine accepted no other
/// command meanwhile (found on the users' bench).
#[test]
fn an_unload_waits_for_earlier_requests_or_the_load_is_given_up() {
    for (runs_until, expect_unload) in [(1_500, true), (9_000, false)] {
        let mut planner = one_engine(&["a", "b", "c"]);
        let others = vec![running_at("1", "b", None, 1), running_at("1", "c", None, 1)];
        wait_for(&mut planner, 1_000, requested("d", None), others.clone());
        planner.decide(1_000, &deployment(&MODELS));
        let mut unloaded = false;
        for now in (1_050..2_300).step_by(50) {
            let mut running = others.clone();
            if now < runs_until {
                running.push(running_at("1", "a", None, 1));
            }
            planner.update_load(now, &"entry".into(), running, Vec::new());
            let commands = planner.decide(now, &deployment(&MODELS));
            if let Some(command) = commands.first() {
                assert_eq!(command.op, Op::Unload("a".into()));
                assert!(now >= runs_until);
                unloaded = true;
            }
        }
        assert_eq!(
            unloaded, expect_unload,
            "the request runs until {runs_until} ms"
        );
        if !expect_unload {
            let loaded = &planner.loaded_models(2_300)[0].loaded;
            assert_eq!(loaded.len(), 3, "the model is offered to routers again");
        }
    }
}

#[test]
fn a_model_with_requests_is_not_unloaded() {
    let mut planner = one_engine(&["a", "b", "c"]);
    let running = vec![running_at("1", "a", None, 1), running_at("1", "b", None, 1)];
    wait_for(&mut planner, 1_000, requested("d", None), running.clone());
    planner.decide(1_000, &deployment(&MODELS));
    wait_for(&mut planner, 1_100, requested("d", None), running);
    let commands = planner.decide(1_100, &deployment(&MODELS));
    assert_eq!(only(&commands).op, Op::Unload("c".into()));
}

/// Returns an unload from `planner` that its one engine has accepted, at 1,110 ms.
fn unloaded(planner: &mut Planner) -> Command {
    wait_for(planner, 1_000, requested("d", None), Vec::new());
    planner.decide(1_000, &deployment(&MODELS));
    wait_for(planner, 1_100, requested("d", None), Vec::new());
    let commands = planner.decide(1_100, &deployment(&MODELS));
    let unload = only(&commands).clone();
    assert!(matches!(unload.op, Op::Unload(_)));
    planner.command_answered(1_110, &unload, Answer::Accepted);
    unload
}

#[test]
fn the_load_follows_soon_after_an_unload_without_requests() {
    let mut planner = one_engine(&["a", "b", "c"]);
    unloaded(&mut planner);
    assert_eq!(planner.decide(1_145, &deployment(&MODELS)), Vec::new());
    let commands = planner.decide(1_150, &deployment(&MODELS));
    assert_eq!(only(&commands).op, Op::Load("d".into()));
    assert_eq!(only(&commands).expected, 1);
}

/// An engine refuses a load while it still frees the memory of the model before. On the users'
/// bench, where many models change places, three of ten loads met this and waited 400 ms for a
/// report that showed nothing new.
#[test]
fn a_load_that_conflicts_with_an_unload_is_sent_again_without_a_report() {
    let mut planner = one_engine(&["a", "b", "c"]);
    unloaded(&mut planner);
    let first = planner.decide(1_150, &deployment(&MODELS));
    planner.command_answered(1_160, only(&first), Answer::Conflict);
    assert_eq!(planner.decide(1_170, &deployment(&MODELS)), Vec::new());
    let second = planner.decide(1_200, &deployment(&MODELS));
    assert_eq!(
        second, first,
        "the same expected number: no other command came in between"
    );
    planner.command_answered(1_330, only(&second), Answer::Conflict);
    // The conflict lasts longer than an unload does, so a report is needed.
    assert_eq!(planner.decide(1_500, &deployment(&MODELS)), Vec::new());
    planner.apply_report(1_800, "1", &report(2, &["a", "d"]));
    assert!(
        planner.loaded_models(1_800)[0]
            .loaded
            .iter()
            .any(|h| &*h.model == "d")
    );
}

#[test]
fn a_load_that_conflicts_with_an_unload_is_sent_again_after_a_report() {
    let mut planner = one_engine(&["a", "b", "c"]);
    let unload = unloaded(&mut planner);
    let commands = planner.decide(1_150, &deployment(&MODELS));
    planner.command_answered(1_160, only(&commands), Answer::Conflict);
    // The unload is still in progress.
    let left: Vec<&str> = ["a", "b", "c"]
        .into_iter()
        .filter(|m| **m != **unload.op.model())
        .collect();
    let busy = Report {
        busy: true,
        ..report(1, &["a", "b", "c"])
    };
    planner.apply_report(1_600, "1", &busy);
    assert_eq!(planner.decide(1_600, &deployment(&MODELS)), Vec::new());
    planner.apply_report(1_900, "1", &report(1, &left));
    let commands = planner.decide(1_900, &deployment(&MODELS));
    assert_eq!(only(&commands).op, Op::Load("d".into()));
}

/// A new leader took over while an engine was in the middle of a load (found on the users' bench).
#[test]
fn loaded_models_of_a_busy_engine_are_unknown_until_its_command_ends() {
    let mut planner = planner();
    planner.observe(0, &with_cached_weights(engine("1", &["a", "b"])));
    let busy = Report {
        busy: true,
        ..report(8, &["a", "b"])
    };
    planner.apply_report(100, "1", &busy);
    wait_for(&mut planner, 200, requested("c", None), Vec::new());
    assert_eq!(planner.decide(200, &deployment(&MODELS)), Vec::new());
    assert!(planner.loaded_models(200).is_empty());
    planner.apply_report(700, "1", &report(8, &["a", "b", "d"]));
    wait_for(&mut planner, 700, requested("c", None), Vec::new());
    planner.decide(700, &deployment(&MODELS));
    wait_for(&mut planner, 800, requested("c", None), Vec::new());
    let commands = planner.decide(800, &deployment(&MODELS));
    assert!(matches!(only(&commands).op, Op::Unload(_)), "{commands:?}");
}

/// An adapter was taken for unloaded while requests still used it: 9 adapters were commanded where
/// 8 fit (found on the users' bench).
#[test]
fn an_adapter_in_use_keeps_its_slot_until_a_report_shows_its_unload() {
    let mut planner = planner();
    planner.observe(0, &engine("1", &["a"]));
    let full = |commands| Report {
        loaded: vec![loaded_model("a", &["x", "y"])],
        ..report(commands, &[])
    };
    planner.apply_report(0, "1", &full(0));
    wait_for(&mut planner, 0, requested("a", Some("z")), Vec::new());
    let commands = planner.decide(0, &deployment(&["a"]));
    let unload = only(&commands).clone();
    assert!(matches!(unload.op, Op::UnloadAdapter(..)));
    // It is in use after all: it is unloaded when its last request ends.
    planner.command_answered(5, &unload, Answer::Accepted);
    for now in [6, 100, 300] {
        wait_for(&mut planner, now, requested("a", Some("z")), Vec::new());
        let commands = planner.decide(now, &deployment(&["a"]));
        assert!(
            !commands.iter().any(|command| command.op.loads()),
            "at {now} ms: {commands:?}"
        );
        for command in commands {
            planner.command_answered(now, &command, Answer::Conflict);
        }
    }
    let gone = Report {
        loaded: vec![loaded_model("a", &["y"])],
        ..report(1, &[])
    };
    planner.apply_report(900, "1", &gone);
    wait_for(&mut planner, 900, requested("a", Some("z")), Vec::new());
    let commands = planner.decide(900, &deployment(&["a"]));
    assert_eq!(only(&commands).op, Op::LoadAdapter("a".into(), "z".into()));
}

/// An unload of an unused adapter was not counted as a command: 73 of 409 commands met a conflict
/// (found on the users' bench).
#[test]
fn an_adapter_that_is_unloaded_at_once_counts_as_a_command() {
    let mut planner = planner();
    planner.observe(0, &engine("1", &["a"]));
    let full = Report {
        loaded: vec![loaded_model("a", &["x", "y"])],
        ..report(3, &[])
    };
    planner.apply_report(0, "1", &full);
    wait_for(&mut planner, 0, requested("a", Some("z")), Vec::new());
    let commands = planner.decide(0, &deployment(&MODELS));
    let unload = only(&commands).clone();
    planner.command_answered(5, &unload, Answer::Holds);
    let commands = planner.decide(6, &deployment(&MODELS));
    assert_eq!(only(&commands).op, Op::LoadAdapter("a".into(), "z".into()));
    assert_eq!(only(&commands).expected, 4);
}

#[test]
fn an_adapter_is_offered_to_routers_only_after_its_load_time() {
    let mut planner = one_engine(&["a"]);
    wait_for(&mut planner, 0, requested("a", Some("x")), Vec::new());
    let commands = planner.decide(0, &deployment(&MODELS));
    planner.command_answered(2, only(&commands), Answer::Accepted);
    assert!(planner.loaded_models(3)[0].loaded[0].adapters.is_empty());
    assert_eq!(planner.loaded_models(50)[0].loaded[0].adapters.len(), 1);
}

#[test]
fn a_command_without_an_answer_is_sent_again_unchanged() {
    let mut planner = one_engine(&["a"]);
    wait_for(&mut planner, 0, requested("b", None), Vec::new());
    let first = planner.decide(0, &deployment(&MODELS));
    planner.command_answered(1_000, only(&first), Answer::Unknown);
    assert_eq!(planner.decide(1_100, &deployment(&MODELS)), Vec::new());
    let again = planner.decide(1_300, &deployment(&MODELS));
    assert_eq!(again, first);
    // The first command was accepted meanwhile: the number of commands that the engine has accepted
    // is higher now.
    planner.command_answered(1_310, only(&again), Answer::Conflict);
    assert_eq!(planner.decide(1_320, &deployment(&MODELS)), Vec::new());
    planner.apply_report(2_500, "1", &report(1, &["a", "b"]));
    assert_eq!(planner.loaded_models(2_500)[0].loaded.len(), 2);
}

#[test]
fn a_report_shows_that_an_unanswered_command_was_accepted() {
    let mut planner = one_engine(&["a"]);
    wait_for(&mut planner, 0, requested("b", None), Vec::new());
    let first = planner.decide(0, &deployment(&MODELS));
    planner.command_answered(1_000, only(&first), Answer::Unknown);
    planner.apply_report(1_100, "1", &report(1, &["a", "b"]));
    assert_eq!(planner.decide(1_300, &deployment(&MODELS)), Vec::new());
    assert_eq!(planner.loaded_models(1_300)[0].loaded.len(), 2);
}

#[test]
fn a_new_leader_sends_no_commands_while_those_of_the_old_one_may_arrive() {
    let mut planner = Planner::new(Limits::default(), 3_500);
    planner.observe(0, &with_cached_weights(engine("1", &["a"])));
    planner.apply_report(0, "1", &report(0, &["a"]));
    wait_for(&mut planner, 3_400, requested("b", None), Vec::new());
    assert_eq!(planner.decide(3_499, &deployment(&MODELS)), Vec::new());
    assert_eq!(planner.decide(3_500, &deployment(&MODELS)).len(), 1);
}

#[test]
fn a_new_incarnation_of_an_engine_starts_with_unknown_state() {
    let mut planner = one_engine(&["a"]);
    wait_for(&mut planner, 0, requested("b", None), Vec::new());
    let command = only(&planner.decide(0, &deployment(&MODELS))).clone();
    let restarted = Announcement {
        incarnation: 5_000,
        ..engine("1", &[])
    };
    planner.observe(100, &restarted);
    // An answer and a report of the previous incarnation.
    planner.command_answered(110, &command, Answer::Accepted);
    planner.apply_report(120, "1", &report(1, &["a", "b"]));
    assert!(
        planner.loaded_models(200).is_empty(),
        "the new incarnation has not reported yet"
    );
    let polled = planner.due_polls(500, &deployment(&MODELS));
    assert_eq!(polled.len(), 1);
}

#[test]
fn a_draining_engine_gets_no_command() {
    let mut planner = one_engine(&["a"]);
    let draining = Announcement {
        stage: Stage::Draining,
        number: 2,
        ..engine("1", &["a"])
    };
    planner.observe(10, &draining);
    wait_for(&mut planner, 20, requested("b", None), Vec::new());
    assert_eq!(planner.decide(20, &deployment(&MODELS)), Vec::new());
}

#[test]
fn no_report_is_requested_from_plain_servers() {
    let mut planner = planner();
    let desk = Announcement {
        service: "desk".into(),
        ..engine("1", &[])
    };
    planner.observe(0, &desk);
    planner.observe(0, &engine("2", &[]));
    let polled = planner.due_polls(500, &deployment(&MODELS));
    let names: Vec<&str> = polled.iter().map(|(id, _)| &**id).collect();
    assert_eq!(names, ["2"]);
}

/// An engine that has the only replica of a model fails without announcing it.
#[test]
fn a_model_whose_engine_is_silent_is_loaded_elsewhere() {
    let mut planner = planner();
    planner.observe(0, &engine("1", &["a"]));
    planner.apply_report(0, "1", &report(0, &["a"]));
    planner.observe(0, &with_cached_weights(engine("2", &["b"])));
    planner.apply_report(0, "2", &report(0, &["b"]));
    let two = |number| Announcement {
        number,
        ..with_cached_weights(engine("2", &["b"]))
    };
    planner.observe(3_900, &two(2));
    wait_for(&mut planner, 3_900, requested("a", None), Vec::new());
    assert_eq!(planner.decide(3_900, &deployment(&MODELS)), Vec::new());
    planner.observe(4_100, &two(3));
    wait_for(&mut planner, 4_100, requested("a", None), Vec::new());
    let commands = planner.decide(4_100, &deployment(&MODELS));
    assert_eq!(only(&commands).op, Op::Load("a".into()));
    assert_eq!(&*only(&commands).server, "2");
}

/// At first no demand has been observed yet, and the models with most demand are on several
/// engines.
#[test]
fn a_model_on_several_engines_is_kept_before_a_model_on_one_engine() {
    let mut planner = planner();
    for (id, models) in [("1", ["a", "b", "c"]), ("2", ["a", "d", "e"])] {
        planner.observe(0, &with_cached_weights(engine(id, &models)));
        planner.apply_report(0, id, &report(0, &models));
    }
    wait_for(&mut planner, 1_000, requested("f", None), Vec::new());
    planner.decide(1_000, &deployment(&MODELS));
    wait_for(&mut planner, 1_100, requested("f", None), Vec::new());
    let commands = planner.decide(1_100, &deployment(&MODELS));
    assert!(matches!(only(&commands).op, Op::Unload(_)));
    assert_ne!(only(&commands).op, Op::Unload("a".into()));
}

#[test]
fn a_model_whose_requests_fill_its_engine_gets_another() {
    let mut planner = planner();
    for id in ["1", "2"] {
        planner.observe(0, &with_cached_weights(engine(id, &["a"])));
    }
    planner.apply_report(0, "1", &report(0, &["a"]));
    planner.apply_report(0, "2", &report(0, &["b"]));
    let running = vec![running_at("1", "a", None, 9)];
    planner.update_load(0, &"entry".into(), running, Vec::new());
    let commands = planner.decide(0, &deployment(&MODELS));
    assert_eq!(only(&commands).op, Op::Load("a".into()));
    assert_eq!(&*only(&commands).server, "2");
}

/// The requests of a busy model fill its engines up to their queues, while others wait for rare
/// models all the time. On the users' bench, one model had 26 requests at each of its four engines
/// for ten seconds, and hundreds were refused.
#[test]
fn a_crowded_model_gets_its_next_engine_before_a_rare_model_does() {
    let mut planner = planner();
    for (id, models) in [("1", ["a", "b", "c"]), ("2", ["d", "e", "f"])] {
        planner.observe(0, &with_cached_weights(engine(id, &models)));
        planner.apply_report(0, id, &report(0, &models));
    }
    let models = ["a", "b", "c", "d", "e", "f", "g"];
    let crowd = vec![running_at("1", "a", None, 9)];
    wait_for(&mut planner, 1_000, requested("g", None), crowd);
    planner.decide(1_000, &deployment(&models));
    let loaded_models = planner.loaded_models(1_000);
    let loading = |at: usize| loaded_models[at].loading.first().map(|(model, _)| &**model);
    assert_eq!(loading(1), Some("a"), "{loaded_models:?}");
    assert_eq!(loading(0), Some("g"), "{loaded_models:?}");
}
