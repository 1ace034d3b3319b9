//! Random schedules of lost, delayed and duplicated messages, partitions, crashes and snapshots.
//! The invariants that [`Cluster`](crate::cluster::Cluster) checks at each step must hold, and the
//! group must recover once the faults stop.

use crate::cluster::{Cluster, member_info};
use lovageplank_core::consensus::{Config, Id, Input, Membership};
use rand::Rng;

const ROUNDS: u64 = 60;

/// A cluster that loses, delays and duplicates messages, with small batches and few in flight.
fn faulty_cluster(seed: u64, voters: u64) -> Cluster {
    let mut cluster = Cluster::with_config(seed, voters, |config: Config| {
        config.max_batch_bytes(8).max_batches_in_flight(3)
    });
    cluster.loss_percent = cluster.rng.random_range(0..30);
    cluster.duplication_percent = 20;
    cluster.delay_ms = cluster.rng.random_range(1..120);
    cluster
}

fn random_id(cluster: &mut Cluster) -> Id {
    let count = cluster.members.len() as u64;
    Id(cluster.rng.random_range(1..=count))
}

fn inject_fault(cluster: &mut Cluster, round: u64) {
    let id = random_id(cluster);
    let other = random_id(cluster);
    match cluster.rng.random_range(0..10) {
        0 => cluster.kill(id),
        1 | 2 => cluster.start(id),
        3 => cluster.isolate(id),
        4 => {
            cluster.blocked_links.insert((id, other));
        }
        5 => cluster.heal(),
        6 if cluster.members[&id].node.is_some() => cluster.snapshot(id),
        7 => {
            cluster.step(id, Input::TransferLeadership { to: other });
        }
        _ => {}
    }
    for id in cluster.ids() {
        let data = round.to_le_bytes().to_vec();
        cluster.step(id, Input::Propose { data });
        cluster.read(id);
    }
    let duration = cluster.rng.random_range(0..400);
    cluster.run(duration);
}

/// Proposes a random membership change at all nodes; only a leader may accept it.
fn propose_membership_change(cluster: &mut Cluster) {
    let id = random_id(cluster);
    let kind = cluster.rng.random_range(0..3);
    for node in cluster.ids() {
        let info = member_info(id);
        let input = match kind {
            0 => Input::AddLearner { id, info },
            1 => Input::Promote { id },
            _ => Input::Remove { id },
        };
        cluster.step(node, input);
    }
}

fn stop_faults(cluster: &mut Cluster) {
    cluster.heal();
    cluster.loss_percent = 0;
    cluster.delay_ms = 5;
    for id in cluster.ids() {
        if cluster.members[&id].node.is_none() {
            cluster.start(id);
        }
    }
}

#[test]
fn invariants_hold_under_random_faults() {
    for seed in 0..200 {
        let mut cluster = faulty_cluster(seed, 3 + 2 * (seed % 2));
        for round in 0..ROUNDS {
            inject_fault(&mut cluster, round);
        }
        stop_faults(&mut cluster);
        cluster.commit(b"end");
        cluster.run(1500);
        assert!(cluster.is_converged(), "seed {seed}");
    }
}

#[test]
fn invariants_hold_under_random_membership_changes() {
    let mut changes = 0;
    for seed in 0..200 {
        let mut cluster = faulty_cluster(seed, 3);
        for id in [4, 5].map(Id) {
            cluster.add_node(id, Membership::default());
        }
        for round in 0..ROUNDS {
            propose_membership_change(&mut cluster);
            inject_fault(&mut cluster, round);
        }
        stop_faults(&mut cluster);
        cluster.commit(b"end");
        cluster.run(1500);
        let leader = cluster.wait_for_leader();
        let membership = cluster.node(leader).membership().clone();
        let members = membership.members().map(|(id, _)| id);
        assert!(cluster.have_applied_all(members), "seed {seed}");
        changes += cluster.membership_changes();
    }
    assert!(
        changes > 400,
        "only {changes} membership changes were committed, expected more than 400"
    );
}

#[test]
fn killing_all_nodes_after_500_commits_loses_none() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(seed, 3);
        for change in 0_u32..500 {
            cluster.commit(&change.to_le_bytes());
        }
        for id in cluster.ids() {
            cluster.kill(id);
        }
        cluster.run(5000);
        stop_faults(&mut cluster);
        cluster.wait_for_leader();
        cluster.run(1000);
        assert!(cluster.is_converged(), "seed {seed}");
        let commands: Vec<_> = cluster.committed().into_values().collect();
        let expected: Vec<_> = (0_u32..500).map(|c| c.to_le_bytes().to_vec()).collect();
        assert_eq!(commands, expected, "seed {seed}");
    }
}
