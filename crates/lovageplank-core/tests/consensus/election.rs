//! Leaders come, stay and go.

use crate::cluster::{Cluster, accepted};
use lovageplank_core::consensus::{Id, Input, Output, Refusal, Role};

#[test]
fn a_killed_leader_is_replaced_and_nothing_is_lost() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 3);
        cluster.commit(b"before");
        let first = cluster.elect();
        cluster.kill(first);
        cluster.run(600);
        let second = cluster.elect();
        assert_ne!(first, second, "seed {seed}");
        cluster.commit(b"after");
        cluster.start(first);
        cluster.run(1000);
        assert!(cluster.is_converged(), "seed {seed}");
        assert_eq!(cluster.committed().len(), 2);
        assert_eq!(cluster.elect(), second, "the return disturbs nobody");
    }
}

#[test]
fn a_leader_that_is_cut_off_steps_down_and_commits_nothing() {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 3);
        let stale = cluster.elect();
        let term = cluster.node(stale).term();
        cluster.isolate(stale);
        let data = b"lost".to_vec();
        let outputs = cluster.input(stale, Input::Propose { data });
        assert!(accepted(&outputs).is_some());
        cluster.input(stale, Input::ReadIndex { token: 7 });
        cluster.run(400);
        assert_ne!(cluster.node(stale).role(), Role::Leader, "seed {seed}");
        assert!(cluster.members[&stale].reads.is_empty(), "seed {seed}");
        let refused = Output::ReadRefused {
            token: 7,
            leader: None,
        };
        assert!(cluster.members[&stale].answers.contains(&refused));

        cluster.commit(b"kept");
        cluster.run(3000);
        // Pre-votes that fail raise no term.
        assert_eq!(cluster.node(stale).term(), term, "seed {seed}");
        cluster.heal();
        cluster.run(1000);
        assert!(cluster.is_converged(), "seed {seed}");
        let commands: Vec<_> = cluster.committed().into_values().collect();
        assert_eq!(commands, [b"kept".to_vec()], "seed {seed}");
    }
}

#[test]
fn an_office_is_handed_over_without_an_election_timeout() {
    let mut cluster = Cluster::new(1, 3);
    cluster.commit(b"x");
    let leader = cluster.elect();
    cluster.run(200);
    let to = Id(leader.0 % 3 + 1);
    cluster.input(leader, Input::TransferLeadership { to });
    cluster.run(50);
    assert_eq!(cluster.leader(), Some(to));
}

#[test]
fn proposals_and_reads_are_answered_one_by_one() {
    let mut cluster = Cluster::new(2, 3);
    let leader = cluster.elect();
    let batch = vec![b"a".to_vec(), b"b".to_vec()];
    let outputs = cluster.input(leader, Input::ProposeBatch(batch.clone()));
    let count = |outputs: &[Output]| {
        let answers =
            |output: &&Output| matches!(output, Output::Accepted { .. } | Output::Refused { .. });
        outputs.iter().filter(answers).count()
    };
    assert_eq!(count(&outputs), 2);
    cluster.input(leader, Input::ReadIndex { token: 1 });
    cluster.input(leader, Input::ReadIndex { token: 2 });
    cluster.run(200);
    assert_eq!(cluster.members[&leader].reads, [1, 2]);

    let follower = Id(leader.0 % 3 + 1);
    let outputs = cluster.input(follower, Input::ProposeBatch(batch));
    let leader = Some(leader);
    let reason = Refusal::NotLeader { leader };
    assert_eq!(outputs, vec![Output::Refused { reason }; 2]);
    let outputs = cluster.input(follower, Input::ReadIndex { token: 3 });
    assert_eq!(outputs, [Output::ReadRefused { token: 3, leader }]);
}

#[test]
fn a_full_disk_refuses_writes_and_keeps_reads() {
    let mut cluster = Cluster::new(3, 3);
    cluster.commit(b"x");
    let leader = cluster.elect();
    for id in [1, 2, 3].map(Id) {
        cluster.input(id, Input::Writable(false));
    }
    let data = b"y".to_vec();
    let outputs = cluster.input(leader, Input::Propose { data });
    let reason = Refusal::ReadOnly;
    assert_eq!(outputs, [Output::Refused { reason }]);
    cluster.run(2000);
    cluster.input(leader, Input::ReadIndex { token: 1 });
    cluster.run(100);
    assert_eq!(cluster.members[&leader].reads, [1]);
    for id in [1, 2, 3].map(Id) {
        cluster.input(id, Input::Writable(true));
    }
    cluster.commit(b"z");
}
