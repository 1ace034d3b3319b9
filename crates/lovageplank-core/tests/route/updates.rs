//! Updates from the control group.

use crate::fixture::{Fixture, names, replica};
use lovageplank_core::prelude::*;
use lovageplank_core::route::{Requirements, Table};
use lovageplank_core::view::Update;

#[test]
fn an_update_after_a_gap_is_rejected() {
    let mut table = Table::new("salt");
    let update = |sequence, full| Update {
        sequence,
        full,
        ..Update::default()
    };
    assert!(table.apply(0, &update(4, true)));
    assert!(!table.apply(0, &update(6, false)));
    assert!(table.apply(0, &update(5, false)));
}

/// After any sequence of replica changes, selections by adapter match a plain list of the replicas.

#[test]
fn the_adapter_index_matches_the_replicas() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|operations| {
            let mut fixture = Fixture::new(&["salt"; 4]);
            let mut adapters_by_engine: BTreeMap<usize, BTreeSet<&str>> =
                (0..4).map(|i| (i, BTreeSet::new())).collect();
            for (engine, adapters, remove) in operations {
                let engine = usize::from(engine % 4);
                let adapters: Vec<&str> = ["a", "b", "c"]
                    .into_iter()
                    .enumerate()
                    .filter(|(bit, _)| adapters & (1 << bit) != 0)
                    .map(|(_, adapter)| adapter)
                    .collect();
                let replica = replica(engine, "lime", &adapters);
                if *remove {
                    adapters_by_engine.remove(&engine);
                    fixture.update(Update {
                        replicas_gone: vec![replica.id],
                        ..Update::default()
                    });
                } else {
                    adapters_by_engine.insert(engine, adapters.into_iter().collect());
                    fixture.update(Update {
                        replicas: vec![replica],
                        ..Update::default()
                    });
                }
            }
            for adapter in ["a", "b", "c"] {
                let with_adapter: Vec<String> = adapters_by_engine
                    .iter()
                    .filter(|(_, adapters)| adapters.contains(adapter))
                    .map(|(engine, _)| format!("e{engine}"))
                    .collect();
                let requirements = Requirements::model("lime").adapter(Some(adapter.into()));
                let selection = fixture.select(&requirements);
                assert_eq!(selection.is_some(), !adapters_by_engine.is_empty());
                let adapter_loaded = selection.is_some_and(|c| c.adapter_loaded);
                assert_eq!(adapter_loaded, !with_adapter.is_empty());
                if adapter_loaded {
                    assert!(
                        names(&fixture.shares(&requirements))
                            .iter()
                            .all(|n| with_adapter.contains(&(*n).to_owned()))
                    );
                }
            }
        });
}
