//! Checks of the ledger's invariants, independent of the code that maintains them.

use super::{Decision, Ledger, Op, Phase};
use crate::prelude::*;
use crate::view::ReplicaId;

record! { key =>
    /// An invariant that does not hold.
    #[serde(rename_all = "snake_case")]
    pub enum Violation {
        /// Decided replicas reserve more memory than the engine has.
        Memory {
            /// The engine.
            engine: Name,
            /// Memory reserved by decided replicas, in megabytes.
            reserved_mb: u64,
        },
        /// More replicas of a model count than its latest decision allows.
        Count {
            /// The model.
            model: Name,
            /// Replicas that count against the limit.
            counted: usize,
        },
        /// More than one load or unload of a model on an engine is unresolved.
        Commands {
            /// The later command's token.
            token: u64,
        },
        /// The replica of an unresolved load or unload doesn't refer to it, or is in another phase.
        Command {
            /// The command's token.
            token: u64,
        },
        /// A copy of a load may still arrive for a replica without a reservation.
        Unreserved {
            /// The replica.
            replica: ReplicaId,
        },
    }
}

impl Ledger {
    /// Checks every invariant and returns the first violation.
    pub fn check(&self) -> Result<(), Violation> {
        self.check_memory()?;
        self.check_counts()?;
        self.check_commands()?;
        self.check_loads_reserved()
    }

    fn check_memory(&self) -> Result<(), Violation> {
        for engine in self.engines.values() {
            let reserved_mb = engine.decided_mb();
            if reserved_mb > engine.memory_mb {
                let engine = engine.id.clone();
                return Err(Violation::Memory {
                    engine,
                    reserved_mb,
                });
            }
        }
        Ok(())
    }

    /// Each decision is checked against its own limit when it is made, and only later decisions add
    /// replicas, so the latest decision in force bounds the number of replicas.
    fn check_counts(&self) -> Result<(), Violation> {
        let mut models: BTreeMap<Name, Vec<(Name, Decision)>> = BTreeMap::new();
        for (id, state) in self.replica_states() {
            if let Some(decision) = state.decided.filter(|d| !d.replaced) {
                let decisions = models.entry(id.model).or_default();
                decisions.push((id.version, decision));
            }
        }
        for (model, decisions) in models {
            if !within_bound(&decisions, |d| d.limit + d.surge) {
                let counted = decisions.len();
                return Err(Violation::Count { model, counted });
            }
            for (version, _) in &decisions {
                let same: Vec<_> = decisions
                    .iter()
                    .filter(|d| d.0 == *version)
                    .cloned()
                    .collect();
                if !within_bound(&same, |d| d.limit) {
                    let counted = same.len();
                    return Err(Violation::Count { model, counted });
                }
            }
        }
        Ok(())
    }

    fn check_commands(&self) -> Result<(), Violation> {
        let mut busy = BTreeSet::new();
        for command in self.unresolved() {
            let token = command.token;
            let phase = match command.op {
                Op::Load => Phase::Loading,
                Op::Unload => Phase::Unloading,
                Op::LoadAdapter(_) | Op::UnloadAdapter(_) => continue,
            };
            let state = self.replica_state(&command.replica);
            if !state.is_some_and(|p| p.phase == phase && p.command == Some(token)) {
                return Err(Violation::Command { token });
            }
            let replica = &command.replica;
            if !busy.insert((replica.engine.clone(), replica.model.clone())) {
                return Err(Violation::Commands { token });
            }
        }
        Ok(())
    }

    fn check_loads_reserved(&self) -> Result<(), Violation> {
        for command in self.commands.values().filter(|c| c.op == Op::Load) {
            if self.replica_state(&command.replica).is_none() {
                let replica = command.replica.clone();
                return Err(Violation::Unreserved { replica });
            }
        }
        Ok(())
    }
}

fn within_bound(decisions: &[(Name, Decision)], bound: impl Fn(&Decision) -> u32) -> bool {
    let latest = decisions.iter().max_by_key(|(_, decision)| decision.token);
    latest.is_none_or(|(_, decision)| decisions.len() <= bound(decision) as usize)
}
