//! Membership changes: adding, promoting, removing and replacing voters.

use crate::cluster::{Cluster, member_info};
use lovageplank_core::consensus::{Id, Input, Membership, Output, Refusal, Role};

/// Replaces a voter by a node with a new identity, as an operator does. Removes the old voter
/// before or after the promotion of the new one.
fn replace(cluster: &mut Cluster, old: Id, new: Id, removes_first: bool) {
    cluster.add_node(new, Membership::default());
    let info = member_info(new);
    cluster.change_membership(|| Input::AddLearner {
        id: new,
        info: info.clone(),
    });
    if removes_first {
        cluster.change_membership(|| Input::Remove { id: old });
    }
    cluster.change_membership(|| Input::Promote { id: new });
    if !removes_first {
        cluster.change_membership(|| Input::Remove { id: old });
    }
}

#[test]
fn losing_a_second_voter_after_replacing_the_first_loses_no_data() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 3);
        for change in 0_u32..100 {
            cluster.commit(&change.to_le_bytes());
        }
        let replaced = Id(seed % 3 + 1);
        cluster.wipe(replaced);
        replace(&mut cluster, replaced, Id(4), seed % 2 == 0);
        let second = Id((seed + 1) % 3 + 1);
        cluster.wipe(second);
        cluster.commit(b"after");
        cluster.run(1000);
        assert!(cluster.is_converged(), "seed {seed}");
        assert_eq!(cluster.committed().len(), 101, "seed {seed}");
    }
}

#[test]
fn node_with_a_wiped_disk_does_not_count_towards_the_quorum() {
    for seed in 0..30 {
        let mut cluster = Cluster::new(seed, 3);
        cluster.commit(b"kept");
        let leader = cluster.wait_for_leader();
        cluster.run(200);
        let wiped = Id(leader.0 % 3 + 1);
        // A new data folder gets a new identity, which is in no membership.
        cluster.wipe(wiped);
        cluster.add_node(Id(9), Membership::default());
        cluster.kill(leader);
        cluster.run(3000);
        assert_eq!(cluster.leader(), None, "seed {seed}");
        assert_eq!(cluster.node(Id(9)).role(), Role::Learner);

        cluster.start(leader);
        replace(&mut cluster, wiped, Id(9), seed % 2 == 0);
        cluster.commit(b"more");
        cluster.run(1000);
        assert_eq!(cluster.members[&Id(9)].applied.len(), 2, "seed {seed}");
        assert!(!cluster.node(leader).membership().is_voter(wiped));
    }
}

#[test]
fn unsafe_membership_changes_are_refused() {
    let mut cluster = Cluster::new(4, 3);
    let leader = cluster.wait_for_leader();
    cluster.commit(b"x");
    let refusal = |cluster: &mut Cluster, input| {
        let outputs = cluster.step(leader, input);
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
    let info = member_info(id);
    let add = || Input::AddLearner {
        id,
        info: info.clone(),
    };
    assert_eq!(refusal(&mut cluster, add()), None);
    assert_eq!(refusal(&mut cluster, add()), Some(Refusal::ChangePending));
    cluster.run(200);
    // The learner is not running, so it has no entries.
    let lag_refusal = refusal(&mut cluster, promote());
    assert!(matches!(lag_refusal, Some(Refusal::Behind { lag }) if lag > 0));
}

#[test]
fn new_leader_refuses_membership_changes_before_its_first_commit() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 4);
        cluster.commit(b"x");
        cluster.run(200);
        let id = cluster.wait_for_leader();
        cluster.kill(id);
        while cluster.leader().is_none() {
            cluster.run(1);
        }
        let leader = cluster.leader().expect("the loop ended with a leader");
        assert!(cluster.node(leader).membership_committed());
        assert!(cluster.node(leader).commit() < cluster.node(leader).last_index());
        let outputs = cluster.step(leader, Input::Remove { id });
        let reason = Refusal::ChangePending;
        assert_eq!(outputs, [Output::Refused { reason }], "seed {seed}");
    }
}

#[test]
fn removed_leader_steps_down_and_the_rest_elect_another() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3);
        cluster.commit(b"x");
        let removed = cluster.wait_for_leader();
        cluster.change_membership(|| Input::Remove { id: removed });
        assert_eq!(cluster.node(removed).role(), Role::Learner);
        cluster.run(3000);
        cluster.commit(b"y");
        assert_ne!(cluster.wait_for_leader(), removed, "seed {seed}");
        assert_eq!(cluster.committed().len(), 2, "seed {seed}");
    }
}

#[test]
fn uncommitted_removal_of_the_leader_does_not_block_the_group() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 2);
        cluster.commit(b"x");
        let removed = cluster.wait_for_leader();
        cluster.run(200);
        cluster.isolate(removed);
        cluster.step(removed, Input::Remove { id: removed });
        cluster.kill(removed);
        // Runs until the messages of the removed leader have been dropped.
        cluster.run(50);
        cluster.heal();
        cluster.start(removed);
        cluster.run(3000);
        cluster.commit(b"y");
        assert_ne!(cluster.wait_for_leader(), removed, "seed {seed}");
    }
}

#[test]
fn group_grows_from_one_voter_to_three() {
    let mut cluster = Cluster::new(5, 1);
    cluster.commit(b"alone");
    for id in [2, 3].map(Id) {
        cluster.add_node(id, Membership::default());
        let info = member_info(id);
        cluster.change_membership(|| Input::AddLearner {
            id,
            info: info.clone(),
        });
        cluster.change_membership(|| Input::Promote { id });
    }
    cluster.kill(Id(1));
    cluster.run(1000);
    cluster.commit(b"without the first");
    cluster.start(Id(1));
    cluster.run(1000);
    assert!(cluster.is_converged());
    assert_eq!(cluster.node(Id(3)).membership().voters.len(), 3);
}
