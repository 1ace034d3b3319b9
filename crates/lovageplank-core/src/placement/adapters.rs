//! Decides adapter loads and unloads.

use super::fleet::Fleet;
use super::planner::Context;
use super::target::Target;
use super::{Action, Replica};
use crate::load::Slots;
use crate::prelude::*;
use crate::view::ReplicaId;

/// Adapters to load, those with the most requests first, and adapters to unload from replicas over
/// their limit.
///
/// `slots` bounds the adapter loads in flight by the `adapter_concurrency` setting.
pub(super) fn adapters(
    context: &Context,
    fleet: &Fleet,
    targets: &BTreeMap<Name, Target>,
    slots: &mut Slots,
) -> Vec<Action> {
    let mut loads = adapter_loads(context, fleet, targets);
    loads.sort_by(|a, b| {
        b.count
            .cmp(&a.count)
            .then_with(|| a.replica.cmp(&b.replica))
    });
    let mut actions = Vec::new();
    let mut added = BTreeMap::<ReplicaId, usize>::new();
    for load in loads {
        let limit = context.tree.effective("", None, None).adapter_concurrency;
        if !slots.take(context.now, limit, &load.replica, &load.adapter) {
            continue;
        }
        *added.entry(load.replica.clone()).or_default() += 1;
        actions.push(Action::LoadAdapter {
            replica: load.replica,
            adapter: load.adapter,
        });
    }
    actions.extend(adapters_to_unload(context, fleet, &added));
    actions
}

/// An adapter that requests use and no ready replica of its model has loaded.
struct AdapterLoad {
    /// Requests that use the adapter.
    count: u32,
    replica: ReplicaId,
    adapter: Name,
}

fn adapter_loads(
    context: &Context,
    fleet: &Fleet,
    targets: &BTreeMap<Name, Target>,
) -> Vec<AdapterLoad> {
    let mut loads = Vec::new();
    for target in targets.values().filter(|t| !t.total.adapters.is_empty()) {
        let Some((_, model)) = context.tree.model(&target.model) else {
            continue;
        };
        let allowed = |adapter: &Name| model.adapters.contains_key(adapter);
        for (adapter, count) in target.total.adapters.iter().filter(|(a, _)| allowed(a)) {
            let mut ready = fleet.ready(&target.model).peekable();
            let loaded = fleet
                .ready(&target.model)
                .any(|(_, r)| r.adapters.contains(adapter));
            if let (false, Some((view, replica))) = (loaded, ready.next()) {
                loads.push(AdapterLoad {
                    count: *count,
                    replica: view.engine.replica_id(replica),
                    adapter: adapter.clone(),
                });
            }
        }
    }
    loads
}

/// Unused adapters to unload from replicas that would exceed `adapters_per_replica`.
///
/// `added` counts the adapter loads of this decision by replica.
fn adapters_to_unload(
    context: &Context,
    fleet: &Fleet,
    added: &BTreeMap<ReplicaId, usize>,
) -> Vec<Action> {
    let mut actions = Vec::new();
    for view in &fleet.engines {
        for replica in &view.ready {
            let id = view.engine.replica_id(replica);
            let added_here = added.get(&id).copied().unwrap_or(0);
            let excess = (replica.adapters.len() + added_here)
                .saturating_sub(context.config.adapters_per_replica);
            let unused = unused_adapters(context, replica).take(excess);
            actions.extend(unused.map(|adapter| Action::UnloadAdapter {
                replica: id.clone(),
                adapter: adapter.clone(),
            }));
        }
    }
    actions
}

fn unused_adapters<'a>(
    context: &'a Context,
    replica: &'a Replica,
) -> impl Iterator<Item = &'a Name> {
    let total = context.totals.get(&replica.model);
    let in_use = move |adapter: &Name| total.is_some_and(|t| t.adapters.contains_key(adapter));
    replica.adapters.iter().filter(move |a| !in_use(a))
}
