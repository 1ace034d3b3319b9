//! A table with one replica on each engine.

use lovageplank_core::backend::{CacheEvent, Kind, ServerReport, State};
use lovageplank_core::prelude::*;
use lovageplank_core::route::{Requirements, Selection, Table};
use lovageplank_core::view::{Backend, Phase, Replica, ReplicaId, Update};
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub const DOMAINS: [&str; 3] = ["salt", "amman-east", "amman-west"];

pub fn backend(index: usize, domain: &str) -> Backend {
    Backend {
        id: format!("e{index}").into(),
        incarnation: 1,
        address: format!("10.0.0.{index}:80").into(),
        kind: Kind::Engine,
        failure_domain: domain.into(),
        services: BTreeSet::from(["drafting".into()]),
        state: State::Ready,
    }
}

pub fn replica(index: usize, model: &str, adapters: &[&str]) -> Replica {
    Replica {
        id: ReplicaId {
            model: model.into(),
            version: "1".into(),
            engine: format!("e{index}").into(),
        },
        phase: Phase::Ready,
        adapters: adapters.iter().map(|a| Name::from(*a)).collect(),
        ready_in_ms: 0,
    }
}

/// A table of a router in the first failure domain, with one replica of `lime` on each engine.
pub struct Fixture {
    pub table: Table,
    pub rng: SmallRng,
    pub sequence: u64,
    pub now: Millis,
}

impl Fixture {
    pub fn new(domains: &[&str]) -> Fixture {
        let mut fixture = Fixture {
            table: Table::new(DOMAINS[0]),
            rng: SmallRng::seed_from_u64(7),
            sequence: 0,
            // Late enough that replicas of the first update no longer count as new.
            now: 2_000,
        };
        let update = Update {
            full: true,
            backends: domains
                .iter()
                .enumerate()
                .map(|(i, d)| backend(i, d))
                .collect(),
            replicas: (0..domains.len())
                .map(|i| replica(i, "lime", &[]))
                .collect(),
            ..Update::default()
        };
        assert!(fixture.table.apply(0, &update));
        fixture
    }

    pub fn update(&mut self, update: Update) {
        self.sequence += 1;
        let update = Update {
            sequence: self.sequence,
            ..update
        };
        assert!(self.table.apply(self.now, &update));
    }

    pub fn select(&mut self, requirements: &Requirements) -> Option<Selection> {
        self.table.select(self.now, requirements, &mut self.rng)
    }

    /// How often each engine is selected in 1,000 selections without a dispatch.
    pub fn shares(&mut self, requirements: &Requirements) -> BTreeMap<Name, u32> {
        let mut shares = BTreeMap::new();
        for _ in 0..1_000 {
            if let Some(selection) = self.select(requirements) {
                *shares.entry(selection.server).or_default() += 1;
            }
        }
        shares
    }

    pub fn report(&mut self, index: usize, sequence: u64, running: u32, cache: Vec<CacheEvent>) {
        let report = ServerReport {
            id: format!("e{index}").into(),
            incarnation: 1,
            sequence,
            age_ms: 0,
            running,
            queued: 0,
            kv_used: 0.0,
            cache,
        };
        self.table.apply_report(self.now, &report);
    }
}

pub fn names(shares: &BTreeMap<Name, u32>) -> Vec<&str> {
    shares.keys().map(|name| &**name).collect()
}
