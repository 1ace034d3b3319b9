//! Voters are lost, replaced and lost again.

use crate::cluster::{Cluster, voter};
use lovageplank_core::consensus::{Id, Input, Membership, Output, Refusal, Role};

/// Replaces a voter by a new identity, as an operator does: in either order.
fn replace(cluster: &mut Cluster, old: Id, new: Id, removes_first: bool) {
    cluster.join(new, Membership::default());
    let voter = voter(new);
    cluster.change(|| Input::AddLearner {
        id: new,
        voter: voter.clone(),
    });
    if removes_first {
        cluster.change(|| Input::Remove { id: old });
    }
    cluster.change(|| Input::Promote { id: new });
    if !removes_first {
        cluster.change(|| Input::Remove { id: old });
    }
}

#[test]
fn a_second_voter_lost_right_after_the_repair_takes_nothing_with_it() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 3);
        for change in 0_u32..100 {
            cluster.commit(&change.to_le_bytes());
        }
        let lost = Id(seed % 3 + 1);
        cluster.wipe(lost);
        replace(&mut cluster, lost, Id(4), seed % 2 == 0);
        let second = Id((seed + 1) % 3 + 1);
        cluster.wipe(second);
        cluster.commit(b"after");
        cluster.run(1000);
        assert!(cluster.is_converged(), "seed {seed}");
        assert_eq!(cluster.committed().len(), 101, "seed {seed}");
    }
}

#[test]
fn a_wiped_disk_under_the_old_identity_helps_nobody_to_office() {
    for seed in 0..30 {
        let mut cluster = Cluster::new(seed, 3);
        cluster.commit(b"kept");
        let leader = cluster.elect();
        cluster.run(200);
        let wiped = Id(leader.0 % 3 + 1);
        // A new folder mints a new identity, which no membership names.
        cluster.wipe(wiped);
        cluster.join(Id(9), Membership::default());
        cluster.kill(leader);
        cluster.run(3000);
        assert_eq!(cluster.leader(), None, "seed {seed}");
        assert_eq!(cluster.node(Id(9)).role(), Role::Learner);

        cluster.start(leader);
        replace(&mut cluster, wiped, Id(9), seed % 2 == 0);
        cluster.commit(b"more");
        cluster.run(1000);
        assert_eq!(cluster.members[&Id(9)].applied.len(), 2, "seed {seed}");
        assert!(!cluster.node(leader).membership().votes(wiped));
    }
}

#[test]
fn changes_that_would_endanger_the_quorum_are_refused() {
    let mut cluster = Cluster::new(4, 3);
    let leader = cluster.elect();
    cluster.commit(b"x");
    let refusal = |cluster: &mut Cluster, input| {
        let outputs = cluster.input(leader, input);
        outputs.into_iter().find_map(|output| match output {
            Output::Refused { reason } => Some(reason),
            _ => None,
        })
    };
    let id = Id(4);
    let promote = || Input::Promote { id };
    assert_eq!(
        refusal(&mut cluster, promote()),
        Some(Refusal::UnknownMember)
    );
    let voter = voter(id);
    let add = || Input::AddLearner {
        id,
        voter: voter.clone(),
    };
    assert_eq!(refusal(&mut cluster, add()), None);
    assert_eq!(refusal(&mut cluster, add()), Some(Refusal::ChangePending));
    cluster.run(200);
    // The learner doesn't run, so it holds nothing.
    let behind = refusal(&mut cluster, promote());
    assert!(matches!(behind, Some(Refusal::Behind { lag }) if lag > 0));
}

#[test]
fn a_new_leader_changes_nothing_before_it_has_committed_an_entry() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 4);
        cluster.commit(b"x");
        cluster.run(200);
        let id = cluster.elect();
        cluster.kill(id);
        while cluster.leader().is_none() {
            cluster.run(1);
        }
        let leader = cluster.leader().expect("found above");
        assert!(cluster.node(leader).membership_committed());
        assert!(cluster.node(leader).commit() < cluster.node(leader).last_index());
        let outputs = cluster.input(leader, Input::Remove { id });
        let reason = Refusal::ChangePending;
        assert_eq!(outputs, [Output::Refused { reason }], "seed {seed}");
    }
}

#[test]
fn a_removed_leader_steps_down_and_the_rest_goes_on() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3);
        cluster.commit(b"x");
        let removed = cluster.elect();
        cluster.change(|| Input::Remove { id: removed });
        assert_eq!(cluster.node(removed).role(), Role::Learner);
        cluster.run(3000);
        cluster.commit(b"y");
        assert_ne!(cluster.elect(), removed, "seed {seed}");
        assert_eq!(cluster.committed().len(), 2, "seed {seed}");
    }
}

#[test]
fn a_removal_that_only_the_removed_leader_holds_blocks_nobody() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 2);
        cluster.commit(b"x");
        let removed = cluster.elect();
        cluster.run(200);
        cluster.isolate(removed);
        cluster.input(removed, Input::Remove { id: removed });
        cluster.kill(removed);
        // Until its messages are lost.
        cluster.run(50);
        cluster.heal();
        cluster.start(removed);
        cluster.run(3000);
        cluster.commit(b"y");
        assert_ne!(cluster.elect(), removed, "seed {seed}");
    }
}

#[test]
fn a_group_grows_from_one() {
    let mut cluster = Cluster::new(5, 1);
    cluster.commit(b"alone");
    for id in [2, 3].map(Id) {
        cluster.join(id, Membership::default());
        let voter = voter(id);
        cluster.change(|| Input::AddLearner {
            id,
            voter: voter.clone(),
        });
        cluster.change(|| Input::Promote { id });
    }
    cluster.kill(Id(1));
    cluster.run(1000);
    cluster.commit(b"without the first");
    cluster.start(Id(1));
    cluster.run(1000);
    assert!(cluster.is_converged());
    assert_eq!(cluster.node(Id(3)).membership().voters.len(), 3);
}
