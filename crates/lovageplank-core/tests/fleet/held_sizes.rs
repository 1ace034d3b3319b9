//! What engines hold takes the memory that it took when it was loaded, whatever the document in force lists.

use crate::placement::{MODELS, planner, requested, wait_for, with_cached_weights};
use crate::samples::{LIMITS, engine, engine_spec, loaded_model, route, services};
use lovageplank_core::fleet::deployment::{Deployment, EngineSpec};
use lovageplank_core::fleet::placement::{Answer, Command, Op, Planner, Report};
use lovageplank_core::fleet::registry::LoadedModel;
use lovageplank_core::fleet::sizes::{DROPPED_MAX, Sizes};
use lovageplank_core::prelude::*;

/// Milliseconds between two decisions.
const STEP_MS: Millis = 50;
/// Milliseconds from the acceptance of a load until its end.
const LOAD_MS: Millis = 800;
/// Memory that the weights of each model of [`engine_spec`] take, in megabytes.
const MODEL_MB: f64 = 60_000.0;
/// Memory of an engine of [`engine_spec`], in megabytes.
const ENGINE_MB: f64 = 200_000.0;

/// An engine that ends when it is ordered to load more than its memory has room for.
struct RealEngine {
    /// What each model has taken since it was loaded, in megabytes.
    held: BTreeMap<Name, f64>,
    /// The same of each adapter, by model and adapter.
    adapters: BTreeMap<(Name, Name), f64>,
    /// The model that is being loaded, and when that ends.
    loading: Option<(Name, Millis)>,
    memory_mb: f64,
    commands: u64,
    ops: Vec<Op>,
    /// What the control process keeps of the documents that were in force.
    sizes: Sizes,
}

impl RealEngine {
    fn holding(models: &[&str]) -> RealEngine {
        let held = models.iter().map(|m| (Name::from(*m), MODEL_MB));
        RealEngine {
            held: held.collect(),
            adapters: BTreeMap::new(),
            loading: None,
            memory_mb: ENGINE_MB,
            commands: 0,
            ops: Vec::new(),
            sizes: Sizes::default(),
        }
    }

    fn report(&mut self, now: Millis) -> Report {
        if self.loading.as_ref().is_some_and(|(_, end)| now >= *end) {
            self.loading = None;
        }
        let loading = self.loading.as_ref().map(|(model, _)| model);
        let loaded = self.held.keys().filter(|m| Some(*m) != loading);
        Report {
            incarnation: 1_000,
            accepted_commands: self.commands,
            busy: loading.is_some(),
            loaded: loaded.map(|m| self.loaded_model(m)).collect(),
            loading_adapters: Vec::new(),
            cached_weights: None,
        }
    }

    fn carry_out(&mut self, now: Millis, command: &Command, deployment: &Deployment) -> Answer {
        if command.expected != self.commands {
            return Answer::Conflict;
        }
        self.commands += 1;
        self.ops.push(command.op.clone());
        match &command.op {
            Op::Load(model) => {
                let spec = spec(deployment);
                self.held
                    .insert(model.clone(), spec.models[model].weights_mb);
                self.loading = Some((model.clone(), now + LOAD_MS));
            }
            Op::Unload(model) => {
                self.held.remove(model);
                self.adapters.retain(|(of, _), _| of != model);
            }
            Op::LoadAdapter(model, adapter) => {
                let mb = spec(deployment).models[model].adapter_mb;
                let key = (model.clone(), adapter.clone());
                self.adapters.insert(key, mb);
            }
            Op::UnloadAdapter(model, adapter) => {
                self.adapters.remove(&(model.clone(), adapter.clone()));
            }
        }
        let used_mb: f64 = self.held.values().chain(self.adapters.values()).sum();
        assert!(
            used_mb <= self.memory_mb,
            "ordered to hold {used_mb} of {} MB: {:?}",
            self.memory_mb,
            self.ops
        );
        Answer::Accepted
    }

    fn loaded_model(&self, model: &Name) -> LoadedModel {
        let adapters = self.adapters.keys().filter(|(of, _)| of == model);
        let adapters: Vec<&str> = adapters.map(|(_, adapter)| &**adapter).collect();
        loaded_model(model, &adapters)
    }

    /// Plays a span in which callers ask for a model, or an adapter after a slash.
    fn play(
        &mut self,
        planner: &mut Planner,
        deployment: &Deployment,
        from: Millis,
        until: Millis,
        asked_for: &str,
    ) {
        let (model, adapter) = match asked_for.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (asked_for, None),
        };
        self.sizes.list(deployment);
        planner.set_sizes(&self.sizes);
        for now in (from..until).step_by(usize::try_from(STEP_MS).expect("a small number")) {
            wait_for(planner, now, requested(model, adapter), Vec::new());
            for (id, _) in planner.due_polls(now, deployment) {
                let report = self.report(now);
                planner.apply_report(now, &id, &report);
            }
            for command in planner.decide(now, deployment) {
                let answer = self.carry_out(now, &command, deployment);
                planner.command_answered(now, &command, answer);
            }
        }
    }

    fn loaded(&self, model: &str) -> bool {
        self.ops.contains(&Op::Load(model.into()))
    }
}

fn spec(deployment: &Deployment) -> &EngineSpec {
    let engine = deployment.services["drafting"].engine.as_ref();
    engine.expect("a service with engines")
}

/// A document that lists these models, each with the megabytes that its weights take.
fn listing(version: u64, models: &[(&str, f64)]) -> Deployment {
    let names: Vec<&str> = models.iter().map(|(m, _)| *m).collect();
    let mut services = services(&names);
    let mut spec = engine_spec(&names);
    for (model, mb) in models {
        spec.models.get_mut(*model).expect("listed").weights_mb = *mb;
    }
    services.get_mut("drafting").expect("listed").engine = Some(spec);
    let routes = vec![route("notes", "a.example", "/notes/")];
    Deployment::new(version, routes, services, LIMITS).expect("valid")
}

fn all(mb: f64) -> Vec<(&'static str, f64)> {
    MODELS.iter().map(|m| (*m, mb)).collect()
}

/// All models at a third of their size, but for one.
fn smaller_but(model: &str) -> Vec<(&'static str, f64)> {
    let listed = all(MODEL_MB / 3.0).into_iter();
    listed
        .map(|(m, mb)| (m, if m == model { MODEL_MB } else { mb }))
        .collect()
}

/// A planner of a leader that finds an engine with these models.
fn planner_with(engine_holds: &[&str]) -> Planner {
    let mut planner = planner();
    planner.observe(0, &with_cached_weights(engine("1", engine_holds)));
    planner
}

/// Guards against the loss of engines one after the other after a change drops a model that they hold: its memory was
/// taken for free, and the next model was loaded beside it (LIMIT, review/1).
#[test]
fn a_model_that_a_change_drops_takes_its_memory_until_it_is_unloaded() {
    let mut planner = planner_with(&["a", "b", "c"]);
    let mut real = RealEngine::holding(&["a", "b", "c"]);
    let before = listing(1, &all(MODEL_MB));
    real.play(&mut planner, &before, 1_000, 2_000, "a");
    let after = listing(2, &[("a", MODEL_MB), ("d", MODEL_MB)]);
    real.play(&mut planner, &after, 2_000, 6_000, "d");
    assert!(real.loaded("d"), "{:?}", real.ops);
    assert!(real.held.contains_key("a"), "{:?}", real.ops);
}

/// The same at a leader that starts after the change, and never saw what the dropped models take.
#[test]
fn a_model_of_unknown_size_takes_all_memory_that_is_left() {
    let mut planner = planner_with(&["a", "b", "c"]);
    let mut real = RealEngine::holding(&["a", "b", "c"]);
    let after = listing(2, &[("a", MODEL_MB), ("d", MODEL_MB)]);
    real.play(&mut planner, &after, 1_000, 6_000, "d");
    assert!(real.loaded("d"), "{:?}", real.ops);
    assert!(real.held.contains_key("a"), "{:?}", real.ops);
}

/// Guards against engines that end after a change lists smaller sizes for models that they hold.
#[test]
fn a_model_that_is_listed_smaller_takes_what_it_took_when_it_was_loaded() {
    let mut planner = planner_with(&["a", "b", "c"]);
    let mut real = RealEngine::holding(&["a", "b", "c"]);
    let before = listing(1, &all(MODEL_MB));
    real.play(&mut planner, &before, 1_000, 2_000, "a");
    let after = listing(2, &smaller_but("d"));
    real.play(&mut planner, &after, 2_000, 6_000, "d");
    assert!(real.loaded("d"), "{:?}", real.ops);
}

/// A model that is dropped, and listed again with a smaller size, was loaded at the old one.
#[test]
fn a_model_that_comes_back_smaller_takes_what_it_took_when_it_was_loaded() {
    let mut planner = planner_with(&["a", "b", "c"]);
    let mut real = RealEngine::holding(&["a", "b", "c"]);
    let before = listing(1, &all(MODEL_MB));
    real.play(&mut planner, &before, 1_000, 2_000, "a");
    let without = listing(2, &[("a", MODEL_MB)]);
    real.play(&mut planner, &without, 2_000, 2_500, "a");
    let after = listing(3, &smaller_but("d"));
    real.play(&mut planner, &after, 2_500, 6_000, "d");
    assert!(real.loaded("d"), "{:?}", real.ops);
}

/// The same at a leader that starts after the change: it knows the old size from a snapshot of the replicated state.
#[test]
fn a_new_leader_knows_what_a_model_took_that_is_listed_smaller_now() {
    let mut sizes = Sizes::default();
    sizes.list(&listing(1, &all(MODEL_MB)));
    sizes.list(&listing(2, &smaller_but("d")));
    let mut snapshot = Vec::new();
    ciborium::into_writer(&sizes, &mut snapshot).expect("encodes");
    let mut planner = planner_with(&["a", "b", "c"]);
    let mut real = RealEngine::holding(&["a", "b", "c"]);
    let snapshot: Sizes = ciborium::from_reader(&*snapshot).expect("decodes");
    real.sizes.restore(&snapshot);
    real.play(
        &mut planner,
        &listing(2, &smaller_but("d")),
        1_000,
        6_000,
        "d",
    );
    assert!(real.loaded("d"), "{:?}", real.ops);
}

/// What this leader has loaded since the change counts with the new size: nothing is unloaded for it.
#[test]
fn a_model_that_is_loaded_after_the_change_takes_its_new_size() {
    let mut planner = planner_with(&["a"]);
    let mut real = RealEngine::holding(&["a"]);
    real.play(&mut planner, &listing(1, &all(MODEL_MB)), 1_000, 1_500, "a");
    let after = listing(2, &all(MODEL_MB / 2.0));
    for (index, model) in ["b", "c", "d", "e"].into_iter().enumerate() {
        let from = 2_000 + 2_000 * u64::try_from(index).expect("a small number");
        real.play(&mut planner, &after, from, from + 2_000, model);
    }
    // 60 GB of the old size and four of 30 GB fit into 200 GB.
    let loads = |op: &Op| op.loads();
    assert_eq!(real.ops.len(), 4, "{:?}", real.ops);
    assert!(real.ops.iter().all(loads), "{:?}", real.ops);
}

/// Adapters that were loaded when a document listed them larger, of a model that was loaded before it.
#[test]
fn adapters_take_what_they_took_when_they_were_loaded() {
    let with_adapters = |version, adapter_mb: f64| {
        let mut deployment = listing(version, &all(MODEL_MB));
        let service = deployment.services.get_mut("drafting").expect("listed");
        let spec = service.engine.as_mut().expect("engines");
        let models = spec.models.values_mut();
        models.for_each(|model| model.adapter_mb = adapter_mb);
        deployment
    };
    let mut planner = planner_with(&["a"]);
    let mut real = RealEngine::holding(&["a"]);
    let small = with_adapters(1, 10.0);
    real.play(&mut planner, &small, 1_000, 3_000, "b");
    let large = with_adapters(2, 20_000.0);
    real.play(&mut planner, &large, 3_000, 4_000, "b/a1");
    real.play(&mut planner, &large, 4_000, 5_000, "b/a2");
    assert_eq!(real.adapters.len(), 2, "{:?}", real.ops);
    let small = with_adapters(3, 10.0);
    real.play(&mut planner, &small, 5_000, 9_000, "d");
    assert!(real.loaded("d"), "{:?}", real.ops);
}

/// A smaller memory in a later document: engines that are full by the old figure unload before they load.
#[test]
fn engines_that_are_full_unload_until_the_smaller_memory_has_room() {
    let mut planner = planner_with(&["a", "b", "c"]);
    let mut real = RealEngine::holding(&["a", "b", "c"]);
    real.play(&mut planner, &listing(1, &all(MODEL_MB)), 1_000, 2_000, "a");
    let mut after = listing(2, &all(MODEL_MB));
    let service = after.services.get_mut("drafting").expect("listed");
    service.engine.as_mut().expect("engines").weights_mb = 2.0 * MODEL_MB + 5_000.0;
    real.memory_mb = 2.0 * MODEL_MB + 5_000.0;
    real.play(&mut planner, &after, 2_000, 6_000, "d");
    assert!(real.loaded("d"), "{:?}", real.ops);
}

/// A service that goes and comes back: its engines hold what they held, by the old sizes.
#[test]
fn a_service_that_comes_back_finds_its_models_at_their_old_sizes() {
    let mut planner = planner_with(&["a", "b", "c"]);
    let mut real = RealEngine::holding(&["a", "b", "c"]);
    real.play(&mut planner, &listing(1, &all(MODEL_MB)), 1_000, 2_000, "a");
    let mut services = services(&[]);
    services.remove("drafting");
    let without = Deployment::new(2, Vec::new(), services, LIMITS).expect("valid");
    real.play(&mut planner, &without, 2_000, 3_000, "a");
    real.play(
        &mut planner,
        &listing(3, &smaller_but("d")),
        3_000,
        7_000,
        "d",
    );
    assert!(real.loaded("d"), "{:?}", real.ops);
}

/// Documents that list other models each time: what is kept is bounded, and a model that was left out counts with
/// the largest size of those when it is listed again.
#[test]
fn sizes_that_are_kept_are_bounded() {
    let mut sizes = Sizes::default();
    let names: Vec<String> = (0..DROPPED_MAX + 10).map(|i| format!("m{i:06}")).collect();
    let models: Vec<(&str, f64)> = names.iter().map(|m| (&**m, MODEL_MB)).collect();
    sizes.list(&listing(1, &models));
    sizes.list(&listing(2, &all(MODEL_MB)));
    let service = Name::from("drafting");
    let kept = |sizes: &Sizes| {
        let kept = names
            .iter()
            .filter(|m| sizes.past(&service, &Name::from(m.as_str())).is_some());
        kept.count()
    };
    assert_eq!(kept(&sizes), DROPPED_MAX);
    let last = names.last().expect("some");
    assert_eq!(sizes.past(&service, &Name::from(last.as_str())), None);
    sizes.list(&listing(3, &[(last, 1.0)]));
    let size = sizes
        .past(&service, &Name::from(last.as_str()))
        .expect("kept");
    assert!((size.mb(0) - MODEL_MB).abs() < 0.01, "{size:?}");
}

/// A change that comes between the choice of a load and its order, when the victims were chosen by the old sizes.
#[test]
fn a_change_while_a_load_is_pending_is_heeded() {
    let smaller = listing(2, &[("a", MODEL_MB), ("d", MODEL_MB)]);
    let larger = listing(
        2,
        &[("a", MODEL_MB), ("c", MODEL_MB), ("d", 2.0 * MODEL_MB)],
    );
    for after in [smaller, larger] {
        for change_at in (1_050..1_400).step_by(50) {
            let mut planner = planner_with(&["a", "b", "c"]);
            let mut real = RealEngine::holding(&["a", "b", "c"]);
            let before = listing(1, &all(MODEL_MB));
            real.play(&mut planner, &before, 1_000, change_at, "d");
            real.play(&mut planner, &after, change_at, 6_000, "d");
            assert!(real.loaded("d"), "{:?}", real.ops);
        }
    }
}

/// Guards against a load without an answer that is sent again after a change lists a larger size for its model.
#[test]
fn a_load_is_not_sent_again_when_the_model_fits_no_more() {
    let mut planner = planner_with(&["a", "b"]);
    let mut real = RealEngine::holding(&["a", "b"]);
    let before = listing(1, &all(MODEL_MB));
    let report = real.report(1_000);
    planner.apply_report(1_000, "1", &report);
    wait_for(&mut planner, 1_000, requested("d", None), Vec::new());
    let lost = planner.decide(1_000, &before);
    assert_eq!(lost[0].op, Op::Load("d".into()));
    planner.command_answered(1_400, &lost[0], Answer::Unknown);
    let mut larger = all(MODEL_MB);
    larger[3].1 = 2.0 * MODEL_MB;
    let after = listing(2, &larger);
    real.play(&mut planner, &after, 1_500, 8_000, "d");
    assert!(real.loaded("d"), "{:?}", real.ops);
}
