//! The order of instances for a model.

use crate::fixture::DOMAINS;
use lovageplank_core::backend::State;
use lovageplank_core::prelude::*;
use lovageplank_core::route::rank;
use lovageplank_core::view::Instance;

fn instances(count: usize) -> Vec<Instance> {
    (0..count)
        .map(|i| Instance {
            id: format!("r{i}").into(),
            address: format!("10.0.1.{i}:80").into(),
            failure_domain: DOMAINS[i % 3].into(),
            state: State::Ready,
        })
        .collect()
}

#[test]
fn a_model_ranks_the_same_instances_first() {
    let all = instances(10);
    let first = |model: &str, domain: &str, all: &[Instance]| {
        let ranked = rank(model, domain, all);
        ranked[..3]
            .iter()
            .map(|i| i.id.clone())
            .collect::<BTreeSet<Name>>()
    };
    let mut models_per_instance: BTreeMap<Name, u32> = BTreeMap::new();
    let mut moved = 0;
    for model in 0..300 {
        let model = format!("m{model}");
        let preferred = first(&model, "salt", &all);
        assert_eq!(
            preferred,
            first(&model, "amman-west", &all),
            "the domain changes only the order of the preferred instances"
        );
        moved += u32::from(preferred != first(&model, "salt", &all[..9]));
        for id in preferred {
            *models_per_instance.entry(id).or_default() += 1;
        }
        let ranked = rank(&model, "salt", &all);
        assert_eq!(ranked.len(), 10);
        let in_domain: Vec<bool> = ranked[..3]
            .iter()
            .map(|i| &*i.failure_domain == "salt")
            .collect();
        assert!(
            in_domain.is_sorted_by(|a, b| a >= b),
            "instances of the domain come first: {in_domain:?}"
        );
    }
    // 300 models prefer 3 of 10 instances: 90 models per instance on average, also for the tenth,
    // whose models change their preferred instances when it is removed.
    assert!(
        models_per_instance.values().all(|n| (50..=130).contains(n)),
        "models per instance, expected 50 to 130: {models_per_instance:?}"
    );
    assert!(
        (50..=130).contains(&moved),
        "{moved} models changed their preferred instances, expected 50 to 130"
    );
}

#[test]
fn leaving_instances_are_not_ranked() {
    let mut all = instances(3);
    all[1].state = State::Leaving;
    let ranked = rank("lime", "salt", &all);
    assert!(ranked.iter().all(|i| &*i.id != "r1"));
    assert_eq!(ranked.len(), 2);
}
