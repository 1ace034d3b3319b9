//! Checks decisions on replicas against the settings tree.

use crate::ledger::{Action, Ledger, Load};
use crate::prelude::*;
use crate::settings::{Effective, Model, Store};
use crate::view::ReplicaId;

record! { key =>
    /// Why the settings tree doesn't allow a decision.
    #[serde(rename_all = "snake_case")]
    pub enum Denial {
        /// No service lists the model.
        Model,
        /// The model doesn't list the adapter.
        Adapter,
        /// The engine doesn't serve the model's service.
        Service {
            /// The model's service.
            service: Name,
        },
        /// The tree sets another version of the model.
        Version {
            /// The version in the tree.
            version: Name,
        },
        /// The decision reserves less memory than the model needs.
        Memory {
            /// The model's memory in the tree, in megabytes.
            memory_mb: u64,
        },
        /// The decision allows more replicas than the tree.
        Limit {
            /// Number of replicas that the tree allows.
            max_replicas: u32,
        },
    }
}

/// Checks decisions that add a replica or an adapter. All other actions are allowed.
pub(super) fn check(settings: &Store, ledger: &Ledger, action: &Action) -> Result<(), Denial> {
    match action {
        Action::Load(load) => check_load(settings, ledger, load),
        Action::Adopt(adoption) => {
            let (model, effective) = lookup_model(settings, ledger, &adoption.replica)?;
            check_version(model, &adoption.replica)?;
            check_memory(model, adoption.memory_mb)?;
            check_limit(&effective, adoption.limit, adoption.surge)
        }
        Action::LoadAdapter { replica, adapter } => {
            let (model, _) = lookup_model(settings, ledger, replica)?;
            let known = model.adapters.contains_key(adapter);
            if known { Ok(()) } else { Err(Denial::Adapter) }
        }
        _ => Ok(()),
    }
}

fn check_load(settings: &Store, ledger: &Ledger, load: &Load) -> Result<(), Denial> {
    let (model, effective) = lookup_model(settings, ledger, &load.replica)?;
    check_version(model, &load.replica)?;
    check_memory(model, load.memory_mb)?;
    check_limit(&effective, load.limit, load.surge)
}

/// The replica's model and its effective settings. Denied if no service lists the model, or if
/// the replica's engine is registered and doesn't serve the model's service.
fn lookup_model<'a>(
    settings: &'a Store,
    ledger: &Ledger,
    replica: &ReplicaId,
) -> Result<(&'a Model, Effective), Denial> {
    let tree = settings.tree();
    let (service, model) = tree.model(&replica.model).ok_or(Denial::Model)?;
    let engine = ledger.engine(&replica.engine);
    if engine.is_some_and(|e| !e.services.contains(service)) {
        let service = service.clone();
        return Err(Denial::Service { service });
    }
    let effective = tree.effective(service, Some(&replica.model), None);
    Ok((model, effective))
}

fn check_version(model: &Model, replica: &ReplicaId) -> Result<(), Denial> {
    if model.version == replica.version {
        return Ok(());
    }
    let version = model.version.clone();
    Err(Denial::Version { version })
}

fn check_memory(model: &Model, reserved_mb: u64) -> Result<(), Denial> {
    let memory_mb = model.memory_mb;
    if reserved_mb < memory_mb {
        return Err(Denial::Memory { memory_mb });
    }
    Ok(())
}

/// Limits the replicas, and the additional ones during a change of version, to `max_replicas`
/// each, so that a change of version at most doubles the replicas.
fn check_limit(effective: &Effective, limit: u32, surge: u32) -> Result<(), Denial> {
    let max_replicas = effective.max_replicas;
    if limit > max_replicas || surge > max_replicas {
        return Err(Denial::Limit { max_replicas });
    }
    Ok(())
}
