//! Which server gets a request.

use lovageplank_core::fleet::selection::{Candidate, Health, select};
use lovageplank_core::prelude::*;

fn candidate(id: &Name, load: u32) -> Candidate<'_> {
    Candidate {
        id,
        slots: 10,
        load,
        same_domain: false,
        has_prefix: false,
        avoided: false,
    }
}

/// Numbers 0, 1, 2, ... so that pairs of candidates are drawn in turn.
fn counter() -> impl FnMut() -> u64 {
    let mut next = 0;
    move || {
        next += 1;
        next - 1
    }
}

#[test]
fn the_less_loaded_of_two_is_taken() {
    let names: Vec<Name> = vec!["a".into(), "b".into()];
    let candidates = [candidate(&names[0], 8), candidate(&names[1], 2)];
    let chosen = select(&candidates, counter()).expect("one");
    assert_eq!(&**chosen.id, "b");
}

#[test]
fn an_avoided_server_is_taken_only_if_there_is_no_other() {
    let names: Vec<Name> = vec!["a".into(), "b".into()];
    let avoided = |id| Candidate {
        avoided: true,
        ..candidate(id, 0)
    };
    let both = [avoided(&names[0]), candidate(&names[1], 9)];
    assert_eq!(&**select(&both, counter()).expect("one").id, "b");
    let alone = [avoided(&names[0])];
    assert_eq!(&**select(&alone, counter()).expect("one").id, "a");
    assert!(select(&[], counter()).is_none());
}

#[test]
fn the_keeper_of_the_prefix_is_taken_unless_it_is_much_busier() {
    let names: Vec<Name> = vec!["a".into(), "b".into()];
    let with_prefix = |load| Candidate {
        has_prefix: true,
        ..candidate(&names[0], load)
    };
    let close = [with_prefix(3), candidate(&names[1], 1)];
    assert_eq!(&**select(&close, counter()).expect("one").id, "a");
    let busy = [with_prefix(9), candidate(&names[1], 1)];
    assert_eq!(&**select(&busy, counter()).expect("one").id, "b");
}

#[test]
fn many_instances_with_the_same_view_do_not_all_choose_the_same() {
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
        chosen.insert(select(&candidates, draw).expect("one").id.clone());
    }
    assert!(chosen.len() >= 7, "{chosen:?}");
}

#[test]
fn failures_in_a_row_make_a_server_avoided_for_longer() {
    let mut health = Health::default();
    health.failed(1_000);
    assert!(health.avoided(1_300));
    assert!(!health.avoided(1_500));
    health.failed(1_500);
    assert!(health.avoided(2_200));
    health.succeeded();
    assert!(!health.avoided(2_200));
}
