//! Random schedules: whatever is lost, late, repeated, cut or killed, the invariants that
//! [`Cluster`](crate::cluster::Cluster) checks at each step hold, and the group recovers.

use crate::cluster::{Cluster, voter};
use lovageplank_core::consensus::{Config, Id, Input, Membership};
use rand::Rng;

const ROUNDS: u64 = 60;

/// A group with a bad network and small windows.
fn shaky(seed: u64, voters: u64) -> Cluster {
    let mut cluster = Cluster::with(seed, voters, |config: Config| {
        config.max_batch_bytes(8).max_batches_in_flight(3)
    });
    cluster.loss = cluster.random.random_range(0..30);
    cluster.repetition = 20;
    cluster.delay_ms = cluster.random.random_range(1..120);
    cluster
}

fn any(cluster: &mut Cluster) -> Id {
    let count = cluster.members.len() as u64;
    Id(cluster.random.random_range(1..=count))
}

fn disturb(cluster: &mut Cluster, round: u64) {
    let id = any(cluster);
    let other = any(cluster);
    match cluster.random.random_range(0..10) {
        0 => cluster.kill(id),
        1 | 2 => cluster.start(id),
        3 => cluster.isolate(id),
        4 => {
            cluster.cut.insert((id, other));
        }
        5 => cluster.heal(),
        6 if cluster.members[&id].node.is_some() => cluster.snapshot(id),
        7 => {
            cluster.input(id, Input::TransferLeadership { to: other });
        }
        _ => {}
    }
    for id in cluster.ids() {
        let data = round.to_le_bytes().to_vec();
        cluster.input(id, Input::Propose { data });
        cluster.read(id);
    }
    let pause = cluster.random.random_range(0..400);
    cluster.run(pause);
}

/// Asks all nodes for a change; one that leads may take it.
fn change(cluster: &mut Cluster) {
    let id = any(cluster);
    let kind = cluster.random.random_range(0..3);
    for node in cluster.ids() {
        let voter = voter(id);
        let input = match kind {
            0 => Input::AddLearner { id, voter },
            1 => Input::Promote { id },
            _ => Input::Remove { id },
        };
        cluster.input(node, input);
    }
}

fn calm(cluster: &mut Cluster) {
    cluster.heal();
    cluster.loss = 0;
    cluster.delay_ms = 5;
    for id in cluster.ids() {
        if cluster.members[&id].node.is_none() {
            cluster.start(id);
        }
    }
}

#[test]
fn random_faults_break_nothing() {
    for seed in 0..200 {
        let mut cluster = shaky(seed, 3 + 2 * (seed % 2));
        for round in 0..ROUNDS {
            disturb(&mut cluster, round);
        }
        calm(&mut cluster);
        cluster.commit(b"end");
        cluster.run(1500);
        assert!(cluster.is_converged(), "seed {seed}");
    }
}

#[test]
fn random_changes_of_members_break_nothing() {
    let mut changes = 0;
    for seed in 0..200 {
        let mut cluster = shaky(seed, 3);
        for id in [4, 5].map(Id) {
            cluster.join(id, Membership::default());
        }
        for round in 0..ROUNDS {
            change(&mut cluster);
            disturb(&mut cluster, round);
        }
        calm(&mut cluster);
        cluster.commit(b"end");
        cluster.run(1500);
        let leader = cluster.elect();
        let membership = cluster.node(leader).membership().clone();
        let members = membership.members().map(|(id, _)| id);
        assert!(cluster.have_all(members), "seed {seed}");
        changes += cluster.changes();
    }
    assert!(changes > 400, "only {changes} changes were committed");
}

#[test]
fn all_killed_at_once_after_500_changes_lose_none() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(seed, 3);
        for change in 0_u32..500 {
            cluster.commit(&change.to_le_bytes());
        }
        for id in cluster.ids() {
            cluster.kill(id);
        }
        cluster.run(5000);
        calm(&mut cluster);
        cluster.elect();
        cluster.run(1000);
        assert!(cluster.is_converged(), "seed {seed}");
        let commands: Vec<_> = cluster.committed().into_values().collect();
        let expected: Vec<_> = (0_u32..500).map(|c| c.to_le_bytes().to_vec()).collect();
        assert_eq!(commands, expected, "seed {seed}");
    }
}
