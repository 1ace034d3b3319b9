//! Elections, leadership transfer, and the replies of leaders and followers.

use crate::cluster::{Cluster, accepted};
use lovageplank_core::consensus::{Id, Input, Output, Refusal, Role};

#[test]
fn killed_leader_is_replaced_without_data_loss() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 3);
        cluster.commit(b"before");
        let first = cluster.wait_for_leader();
        cluster.kill(first);
        cluster.run(600);
        let second = cluster.wait_for_leader();
        assert_ne!(first, second, "seed {seed}");
        cluster.commit(b"after");
        cluster.start(first);
        cluster.run(1000);
        assert!(cluster.is_converged(), "seed {seed}");
        assert_eq!(cluster.committed().len(), 2);
        assert_eq!(
            cluster.wait_for_leader(),
            second,
            "the restarted node must not depose the leader"
        );
    }
}

#[test]
fn isolated_leader_steps_down_without_committing() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 3);
        let stale = cluster.wait_for_leader();
        let term = cluster.node(stale).term();
        cluster.isolate(stale);
        let data = b"lost".to_vec();
        let outputs = cluster.step(stale, Input::Propose { data });
        assert!(accepted(&outputs).is_some());
        cluster.step(stale, Input::ReadIndex { token: 7 });
        cluster.run(400);
        assert_ne!(cluster.node(stale).role(), Role::Leader, "seed {seed}");
        assert!(cluster.members[&stale].reads.is_empty(), "seed {seed}");
        let refused = Output::ReadRefused {
            token: 7,
            leader: None,
        };
        assert!(cluster.members[&stale].replies.contains(&refused));

        cluster.commit(b"kept");
        cluster.run(3000);
        // A failed pre-vote does not increase the term.
        assert_eq!(cluster.node(stale).term(), term, "seed {seed}");
        cluster.heal();
        cluster.run(1000);
        assert!(cluster.is_converged(), "seed {seed}");
        let commands: Vec<_> = cluster.committed().into_values().collect();
        assert_eq!(commands, [b"kept".to_vec()], "seed {seed}");
    }
}

#[test]
fn leadership_transfer_needs_no_election_timeout() {
    let mut cluster = Cluster::new(1, 3);
    cluster.commit(b"x");
    let leader = cluster.wait_for_leader();
    cluster.run(200);
    let to = Id(leader.0 % 3 + 1);
    cluster.step(leader, Input::TransferLeadership { to });
    cluster.run(50);
    assert_eq!(cluster.leader(), Some(to));
}

#[test]
fn each_proposal_and_read_gets_its_own_reply() {
    let mut cluster = Cluster::new(2, 3);
    let leader = cluster.wait_for_leader();
    let batch = vec![b"a".to_vec(), b"b".to_vec()];
    let outputs = cluster.step(leader, Input::ProposeBatch(batch.clone()));
    let count = |outputs: &[Output]| {
        let is_reply =
            |output: &&Output| matches!(output, Output::Accepted { .. } | Output::Refused { .. });
        outputs.iter().filter(is_reply).count()
    };
    assert_eq!(count(&outputs), 2);
    cluster.step(leader, Input::ReadIndex { token: 1 });
    cluster.step(leader, Input::ReadIndex { token: 2 });
    cluster.run(200);
    assert_eq!(cluster.members[&leader].reads, [1, 2]);

    let follower = Id(leader.0 % 3 + 1);
    let outputs = cluster.step(follower, Input::ProposeBatch(batch));
    let leader = Some(leader);
    let reason = Refusal::NotLeader { leader };
    assert_eq!(outputs, vec![Output::Refused { reason }; 2]);
    let outputs = cluster.step(follower, Input::ReadIndex { token: 3 });
    assert_eq!(outputs, [Output::ReadRefused { token: 3, leader }]);
}

#[test]
fn full_disk_refuses_proposals_and_serves_reads() {
    let mut cluster = Cluster::new(3, 3);
    cluster.commit(b"x");
    let leader = cluster.wait_for_leader();
    for id in [1, 2, 3].map(Id) {
        cluster.step(id, Input::Writable(false));
    }
    let data = b"y".to_vec();
    let outputs = cluster.step(leader, Input::Propose { data });
    let reason = Refusal::ReadOnly;
    assert_eq!(outputs, [Output::Refused { reason }]);
    cluster.run(2000);
    cluster.step(leader, Input::ReadIndex { token: 1 });
    cluster.run(100);
    assert_eq!(cluster.members[&leader].reads, [1]);
    for id in [1, 2, 3].map(Id) {
        cluster.step(id, Input::Writable(true));
    }
    cluster.commit(b"z");
}
