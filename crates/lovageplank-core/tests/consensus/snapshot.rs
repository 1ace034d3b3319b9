//! Snapshots replace the log at a restart and for members that lag behind.

use crate::cluster::{Cluster, member_info};
use lovageplank_core::consensus::{Id, Index, Input, Membership};

#[test]
fn lagging_voter_receives_the_snapshot_and_then_later_entries() {
    for seed in 0..30 {
        let mut cluster = Cluster::new(seed, 3);
        let leader = cluster.wait_for_leader();
        let lagging = Id(leader.0 % 3 + 1);
        cluster.kill(lagging);
        for change in 0_u32..50 {
            cluster.commit(&change.to_le_bytes());
        }
        for id in cluster.members.keys().copied().collect::<Vec<_>>() {
            if id != lagging {
                cluster.snapshot(id);
                assert!(cluster.node(id).snapshot_index() > Index(40));
            }
        }
        cluster.commit(b"after");
        cluster.start(lagging);
        cluster.run(1500);
        assert!(cluster.is_converged(), "seed {seed}");
        // The member that caught up counts towards the quorum, so another voter may fail.
        let leader = cluster.wait_for_leader();
        let other = cluster.members.keys().copied();
        let other = other.into_iter().find(|id| *id != leader && *id != lagging);
        cluster.kill(other.expect("three voters"));
        cluster.commit(b"end");
        assert_eq!(cluster.committed().len(), 52, "seed {seed}");
    }
}

#[test]
fn restart_begins_at_the_snapshot() {
    let mut cluster = Cluster::new(1, 3);
    for change in 0_u32..20 {
        cluster.commit(&change.to_le_bytes());
    }
    cluster.run(200);
    for id in [1, 2, 3].map(Id) {
        cluster.snapshot(id);
        cluster.kill(id);
    }
    for id in [1, 2, 3].map(Id) {
        cluster.start(id);
        assert_eq!(cluster.members[&id].applied.len(), 20);
    }
    cluster.commit(b"after");
    cluster.run(200);
    assert!(cluster.is_converged());
}

#[test]
fn learner_catches_up_from_a_snapshot() {
    let mut cluster = Cluster::new(6, 1);
    for change in 0_u32..20 {
        cluster.commit(&change.to_le_bytes());
    }
    cluster.snapshot(Id(1));
    let id = Id(2);
    cluster.add_node(id, Membership::default());
    let info = member_info(id);
    cluster.change_membership(|| Input::AddLearner {
        id,
        info: info.clone(),
    });
    cluster.change_membership(|| Input::Promote { id });
    cluster.run(500);
    assert!(cluster.is_converged());
    assert!(cluster.node(id).membership().is_voter(id));
}
