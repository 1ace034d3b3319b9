//! Selection of the server for a request.

use lovageplank_core::fleet::selection::{Candidate, Health, select};
use lovageplank_core::prelude::*;

fn candidate(id: &Name, load: u32) -> Candidate<'_> {
    Candidate {
        id,
        slots: 10,
        load,
        speed: None,
        same_domain: false,
        preferred_for_prefix: false,
        avoided: false,
    }
}

/// Returns 0, 1, 2, ... so that the candidates are drawn in turn.
fn counter() -> impl FnMut() -> u64 {
    let mut next = 0;
    move || {
        next += 1;
        next - 1
    }
}

#[test]
fn the_less_loaded_of_two_is_selected() {
    let names: Vec<Name> = vec!["a".into(), "b".into()];
    let candidates = [candidate(&names[0], 8), candidate(&names[1], 2)];
    let chosen = select(&candidates, counter()).expect("a candidate is selected");
    assert_eq!(&**chosen.id, "b");
}

#[test]
fn an_avoided_server_is_selected_only_if_there_is_no_other() {
    let names: Vec<Name> = vec!["a".into(), "b".into()];
    let avoided = |id| Candidate {
        avoided: true,
        ..candidate(id, 0)
    };
    let both = [avoided(&names[0]), candidate(&names[1], 9)];
    assert_eq!(
        &**select(&both, counter())
            .expect("a candidate is selected")
            .id,
        "b"
    );
    let alone = [avoided(&names[0])];
    assert_eq!(
        &**select(&alone, counter())
            .expect("a candidate is selected")
            .id,
        "a"
    );
    assert!(select(&[], counter()).is_none());
}

#[test]
fn a_server_with_the_prefix_is_selected_unless_it_is_much_busier() {
    let names: Vec<Name> = vec!["a".into(), "b".into()];
    let with_prefix = |load| Candidate {
        preferred_for_prefix: true,
        ..candidate(&names[0], load)
    };
    let close = [with_prefix(3), candidate(&names[1], 1)];
    assert_eq!(
        &**select(&close, counter())
            .expect("a candidate is selected")
            .id,
        "a"
    );
    let busy = [with_prefix(9), candidate(&names[1], 1)];
    assert_eq!(
        &**select(&busy, counter())
            .expect("a candidate is selected")
            .id,
        "b"
    );
}

#[test]
fn routers_with_the_same_load_figures_select_different_servers() {
    let names: Vec<Name> = (0..8).map(|n| Name::from(n.to_string())).collect();
    let candidates: Vec<Candidate> = names
        .iter()
        .zip(0..8)
        .map(|(n, l)| candidate(n, l))
        .collect();
    let mut chosen = BTreeSet::new();
    for seed in 0..64u64 {
        let mut draws = [seed % 8, seed / 8].into_iter().cycle();
        let draw = move || draws.next().expect("endless");
        chosen.insert(
            select(&candidates, draw)
                .expect("a candidate is selected")
                .id
                .clone(),
        );
    }
    assert!(chosen.len() >= 7, "{chosen:?}");
}

#[test]
fn failures_in_a_row_lengthen_the_avoidance() {
    let mut health = Health::default();
    health.failed(1_000);
    assert!(health.avoided(1_300));
    assert!(!health.avoided(1_500));
    health.failed(1_500);
    assert!(health.avoided(2_200));
    health.succeeded();
    assert!(!health.avoided(2_200));
}
