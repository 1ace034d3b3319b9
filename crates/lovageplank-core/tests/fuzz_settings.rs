//! Compares edits of the settings tree with edits of a plain JSON document.
//!
//! bolero's engine takes its seeds from the system unless an environment variable sets them. These
//! tests drive its value generators with a random number generator that has a fixed seed instead.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::{TypeGenerator, ValueGenerator, produce};
use lovageplank_core::settings::{Edit, Tree, diff};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Map, Value, json};

const SEED: u64 = 20_261_203;
const CASES: usize = 60;
const PATHS: usize = 1_000;

/// The last entry of each list is not a valid name.
const SERVICES: [&str; 3] = ["drafting", "orders", ""];
const MODELS: [&str; 3] = ["lime", "sand", "a b"];
const ADAPTERS: [&str; 3] = ["salt", "moss", "a:b"];
/// The last entry is not a setting.
const KEYS: [&str; 6] = [
    "deadline_ms",
    "caller_rate",
    "idempotent",
    "callers",
    "priority",
    "colour",
];

#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    Set {
        at: Level,
        #[generator(0..6)]
        key: usize,
        spelled_out: bool,
        value: Scalar,
    },
    Put {
        at: Level,
        value: Option<Part>,
    },
    Version {
        at: Level,
        value: Scalar,
    },
    Memory {
        at: Level,
        value: Scalar,
    },
}

#[derive(Clone, Debug, TypeGenerator)]
struct Level {
    #[generator(0..4)]
    depth: usize,
    #[generator(0..9)]
    service: usize,
    #[generator(0..9)]
    model: usize,
    #[generator(0..9)]
    adapter: usize,
}

#[derive(Clone, Debug, TypeGenerator)]
enum Scalar {
    Null,
    Bool(bool),
    Whole(u8),
    Negative(i8),
    Half(u8),
    Huge,
    Text,
    List(bool),
    Object,
}

#[derive(Clone, Debug, TypeGenerator)]
enum Part {
    Good,
    Empty,
    Unknown,
    Text,
}

impl Scalar {
    fn value(&self) -> Value {
        match self {
            Scalar::Null => Value::Null,
            Scalar::Bool(value) => json!(value),
            Scalar::Whole(value) => json!(value),
            Scalar::Negative(value) => json!(value),
            Scalar::Half(value) => json!(f64::from(*value) + 0.5),
            Scalar::Huge => json!(u64::MAX),
            Scalar::Text => json!("office"),
            Scalar::List(true) => json!(["office", "shop"]),
            Scalar::List(false) => json!([1]),
            Scalar::Object => json!({}),
        }
    }
}

impl Level {
    /// Kind and name of each part from the root down to this level; most names are valid.
    fn steps(&self) -> Vec<(&'static str, &'static str)> {
        let pick = |names: [&'static str; 3], at: usize| names[if at == 8 { 2 } else { at % 2 }];
        let all = [
            ("services", pick(SERVICES, self.service)),
            ("models", pick(MODELS, self.model)),
            ("adapters", pick(ADAPTERS, self.adapter)),
        ];
        all[..self.depth].to_vec()
    }

    fn path(&self, key: &str) -> String {
        let steps = self.steps();
        let mut parts: Vec<&str> = steps
            .iter()
            .flat_map(|(kind, name)| [*kind, *name])
            .collect();
        parts.extend(key.split('/').filter(|part| !part.is_empty()));
        parts.join("/")
    }

    /// The part of the document at the first `depth` steps, if it exists.
    fn find<'a>(&self, document: &'a mut Value, depth: usize) -> Option<&'a mut Value> {
        let steps = self.steps();
        let mut at = document;
        for (kind, name) in &steps[..depth] {
            at = at.get_mut(kind)?.get_mut(name)?;
        }
        Some(at)
    }
}

/// The stored form of a setting's value; `None` if the value must be refused.
fn setting(key: &str, value: &Value) -> Option<Value> {
    let whole = |low, high| {
        value
            .as_u64()
            .filter(|n| (low..=high).contains(n))
            .map(Value::from)
    };
    match key {
        "deadline_ms" => whole(1, 86_400_000),
        "priority" => whole(0, 9),
        "caller_rate" => {
            let number = value.as_f64().filter(|n| (0.001..=1e6).contains(n));
            number.map(Value::from)
        }
        "idempotent" => value.as_bool().map(Value::from),
        "callers" => {
            let names = value.as_array()?;
            names.iter().all(Value::is_string).then(|| value.clone())
        }
        _ => None,
    }
}

fn object(value: &mut Value) -> &mut Map<String, Value> {
    value.as_object_mut().expect("a JSON object")
}

/// Applies one step to the document; returns false if the step must be refused.
fn apply_to_document(document: &mut Value, step: &Step) -> bool {
    apply_step(document, step).is_some()
}

fn apply_step(document: &mut Value, step: &Step) -> Option<()> {
    match step {
        Step::Set { at, key, value, .. } => {
            let settings = object(at.find(document, at.depth)?.get_mut("settings")?);
            let (key, value) = (KEYS[*key], value.value());
            if value.is_null() {
                KEYS[..5].contains(&key).then(|| settings.remove(key))?;
            } else {
                settings.insert(key.into(), setting(key, &value)?);
            }
        }
        Step::Put { at, value } => put(document, at, value.as_ref())?,
        Step::Version { at, value } => {
            let place = leaf(document, at)?;
            let text = value.value().as_str().map(Value::from)?;
            place.insert("version".into(), text);
        }
        Step::Memory { at, value } => {
            let place = leaf(document, at)?;
            let number = value
                .value()
                .as_u64()
                .filter(|n| (1..=100_000_000).contains(n))?;
            place.insert("memory_mb".into(), number.into());
        }
    }
    Some(())
}

/// The model at this level, to which versions and memory sizes belong; `None` at other levels.
fn leaf<'a>(document: &'a mut Value, at: &Level) -> Option<&'a mut Map<String, Value>> {
    if at.depth != 2 {
        return None;
    }
    at.find(document, 2).map(object)
}

fn put(document: &mut Value, at: &Level, part: Option<&Part>) -> Option<()> {
    let steps = at.steps();
    let Some((kind, name)) = steps.last() else {
        // The whole document can be replaced by an empty object, but it can't be removed.
        let Some(Part::Empty | Part::Good) = part else {
            return None;
        };
        *document = json!({"settings": {}, "services": {}});
        return Some(());
    };
    let parts = object(at.find(document, at.depth - 1)?.get_mut(kind)?);
    let Some(part) = part else {
        return parts.remove(*name).map(drop);
    };
    let whole = match (part, *kind) {
        (Part::Good | Part::Empty, "services") => {
            json!({"kind": "engine", "settings": {}, "models": {}})
        }
        (Part::Good, "models") => {
            json!({"version": "1", "memory_mb": 5, "settings": {}, "adapters": {}})
        }
        (Part::Good | Part::Empty, "adapters") => json!({"settings": {}}),
        _ => return None,
    };
    if ["", "a b", "a:b"].contains(name) {
        return None;
    }
    parts.insert((*name).into(), whole);
    Some(())
}

fn edit(step: &Step) -> Edit {
    let (path, value) = match step {
        Step::Set {
            at,
            key,
            spelled_out,
            value,
        } => {
            let prefix = if *spelled_out { "settings/" } else { "" };
            (at.path(&format!("{prefix}{}", KEYS[*key])), value.value())
        }
        Step::Put { at, value } => {
            let value = match value {
                None => Value::Null,
                Some(Part::Good) if at.depth == 2 => json!({"version": "1", "memory_mb": 5}),
                Some(Part::Good | Part::Empty) => json!({}),
                Some(Part::Unknown) => json!({"colour": 1}),
                Some(Part::Text) => json!("text"),
            };
            (at.path(""), value)
        }
        Step::Version { at, value } => (at.path("version"), value.value()),
        Step::Memory { at, value } => (at.path("memory_mb"), value.value()),
    };
    Edit {
        path,
        value: Some(value),
    }
}

#[test]
fn tree_edits_match_edits_of_a_plain_json_document() {
    let options = Options::default().with_max_len(usize::MAX);
    let mut driver = Rng::new(SmallRng::seed_from_u64(SEED), &options);
    let steps = produce::<Vec<Step>>().with().len(1..60_usize);
    let (mut accepted, mut refused) = (0, 0);
    for _ in 0..CASES {
        let mut tree = Tree::default();
        let mut document = json!({"settings": {}, "services": {}});
        for step in steps
            .generate(&mut driver)
            .expect("the generator is unlimited")
        {
            let (edit, before) = (edit(&step), tree.clone());
            let result = tree.set(&edit);
            assert_eq!(
                result.is_ok(),
                apply_to_document(&mut document, &step),
                "{edit:?}: {result:?}"
            );
            assert_eq!(
                serde_json::to_value(&tree).expect("JSON"),
                document,
                "{edit:?}"
            );
            *(if result.is_ok() {
                &mut accepted
            } else {
                &mut refused
            }) += 1;
            let mut back = tree.clone();
            for edit in diff(&tree, &before) {
                back.set(&edit).expect("diff returns valid edits");
            }
            assert_eq!(back, before, "{edit:?}");
        }
        assert_eq!(Tree::from_value(&document).as_ref(), Ok(&tree));
    }
    // Both outcomes must occur often; otherwise the test covers too little.
    assert!(
        accepted > CASES && refused > CASES,
        "{accepted} accepted, {refused} refused"
    );
}

#[test]
fn arbitrary_paths_and_texts_never_panic() {
    let options = Options::default().with_max_len(usize::MAX);
    let mut driver = Rng::new(SmallRng::seed_from_u64(SEED), &options);
    let texts = produce::<String>();
    let values = produce::<Scalar>();
    let mut tree = Tree::default();
    for _ in 0..PATHS {
        let path = texts
            .generate(&mut driver)
            .expect("the generator is unlimited");
        let value = values
            .generate(&mut driver)
            .expect("the generator is unlimited")
            .value();
        let before = tree.clone();
        let edit = Edit {
            path,
            value: Some(value),
        };
        match tree.set(&edit) {
            Ok(()) => assert!(tree.get(&edit.path).is_ok(), "{edit:?}"),
            Err(errors) => {
                assert!(!errors.is_empty(), "{edit:?}");
                assert_eq!(tree, before, "{edit:?}");
            }
        }
        assert!(Tree::parse(&edit.path).is_err() || edit.path.trim_start().starts_with('{'));
    }
}
