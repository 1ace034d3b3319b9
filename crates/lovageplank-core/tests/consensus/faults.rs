//! Random schedules: whatever is lost, late, repeated, cut or killed, the invariants that
//! [`Cluster`](crate::cluster::Cluster) checks at each step hold, and the group recovers.

use crate::cluster::Cluster;
use lovageplank_core::consensus::{Config, Id, Input};
use rand::Rng;

const VOTERS: u64 = 3;

#[test]
fn random_faults_break_nothing() {
    for seed in 0..200 {
        let mut cluster = Cluster::with(seed, VOTERS, |config: Config| {
            config.max_batch_bytes(8).max_batches_in_flight(3)
        });
        cluster.loss = cluster.random.random_range(0..30);
        cluster.repetition = 20;
        cluster.delay_ms = cluster.random.random_range(1..120);
        for change in 0..60 {
            disturb(&mut cluster, change);
        }
        calm(&mut cluster);
        cluster.commit(b"end");
        cluster.run(1500);
        assert!(cluster.is_converged(), "seed {seed}");
    }
}

fn disturb(cluster: &mut Cluster, change: u64) {
    let id = Id(cluster.random.random_range(1..=VOTERS));
    let other = Id(cluster.random.random_range(1..=VOTERS));
    match cluster.random.random_range(0..10) {
        0 => cluster.kill(id),
        1 | 2 => cluster.start(id),
        3 => cluster.isolate(id),
        4 => {
            cluster.cut.insert((id, other));
        }
        5 => cluster.heal(),
        6 if cluster.members[&id].node.is_some() => cluster.snapshot(id),
        _ => {}
    }
    for id in (1..=VOTERS).map(Id) {
        let data = change.to_le_bytes().to_vec();
        cluster.input(id, Input::Propose { data });
    }
    let pause = cluster.random.random_range(0..400);
    cluster.run(pause);
}

fn calm(cluster: &mut Cluster) {
    cluster.heal();
    cluster.loss = 0;
    cluster.delay_ms = 5;
    for id in (1..=VOTERS).map(Id) {
        if cluster.members[&id].node.is_none() {
            cluster.start(id);
        }
    }
}

#[test]
fn all_killed_at_once_after_500_changes_lose_none() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(seed, VOTERS);
        for change in 0_u32..500 {
            cluster.commit(&change.to_le_bytes());
        }
        for id in (1..=VOTERS).map(Id) {
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
