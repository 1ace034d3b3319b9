//! Batches like those of a node: votes, entries, overwritten entries, own and installed snapshots.

use lovageplank_core::consensus::{
    Entry, Id, Index, MemberInfo, Membership, Output, Payload, Snapshot, StoredState, Term, Vote,
};
use lovageplank_core::prelude::*;

pub fn entries(term: u64, range: std::ops::Range<u64>) -> Output {
    let entry = |index| Entry {
        term: Term(term),
        index: Index(index),
        payload: Payload::Data(vec![
            u8::try_from(index).expect("fits the integer type");
            20
        ]),
    };
    let entries = range.map(entry).collect();
    Output::Append { entries }
}

pub fn vote(term: u64) -> Output {
    Output::SaveVote(Vote {
        term: Term(term),
        voted_for: Some(Id(term)),
    })
}

fn snapshot(term: u64, index: u64) -> [Output; 2] {
    let index = Index(index);
    let snapshot = Snapshot {
        index,
        term: Term(term),
        membership: Membership::default()
            .with_voter(Id(1), MemberInfo::new("control-1", "127.0.0.1:1"))
            .with_learner(Id(2), MemberInfo::new("control-2", "127.0.0.1:2")),
        data: Arc::from(vec![7; 100]),
    };
    let through = index;
    [Output::SaveSnapshot(snapshot), Output::Compact { through }]
}

pub fn batches() -> Vec<Vec<Output>> {
    let [saved, compacted] = snapshot(1, 4);
    let [again, compacted_again] = snapshot(3, 9);
    let [installed, compacted_install] = snapshot(5, 30);
    let [contradicting, compacted_log] = snapshot(7, 31);
    vec![
        vec![vote(1), entries(1, 1..4)],
        vec![entries(1, 4..6)],
        vec![saved, compacted],
        vec![entries(1, 6..9), vote(2)],
        vec![entries(3, 7..10)],
        vec![entries(3, 10..12), again, compacted_again],
        vec![entries(3, 12..13)],
        vec![vote(5), installed, compacted_install],
        vec![entries(5, 31..33)],
        vec![vote(6)],
        vec![vote(7), contradicting, compacted_log],
        vec![entries(7, 32..33)],
    ]
}

/// Expected state after each number of batches, from none to all.
pub fn states(batches: &[Vec<Output>]) -> Vec<StoredState> {
    let mut stored = StoredState::default();
    let mut states = vec![stored.clone()];
    for batch in batches {
        for output in batch {
            stored.apply_persistence(output);
        }
        states.push(stored.clone());
    }
    states
}
