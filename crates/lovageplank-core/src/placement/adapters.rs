//! Loads the adapters that requests want, within the slots of the weight store.

use super::fleet::Fleet;
use super::planner::Context;
use super::want::Want;
use super::{Action, Resident};
use crate::load::Slots;
use crate::prelude::*;
use crate::view::ReplicaId;

/// Adapters to load, most wanted first, and adapters to unload where a replica holds too many.
pub(super) fn adapters(
    context: &Context,
    fleet: &Fleet,
    wants: &BTreeMap<Name, Want>,
    slots: &mut Slots,
) -> Vec<Action> {
    let mut needs = needs(context, fleet, wants);
    needs.sort_by(|a, b| {
        b.count
            .cmp(&a.count)
            .then_with(|| a.replica.cmp(&b.replica))
    });
    let mut actions = Vec::new();
    let mut added = BTreeMap::<ReplicaId, usize>::new();
    for need in needs {
        let limit = context.tree.effective("", None, None).adapter_concurrency;
        if !slots.take(context.now, limit, &need.replica, &need.adapter) {
            continue;
        }
        *added.entry(need.replica.clone()).or_default() += 1;
        actions.push(Action::LoadAdapter {
            replica: need.replica,
            adapter: need.adapter,
        });
    }
    actions.extend(surplus(context, fleet, &added));
    actions
}

struct Need {
    count: u32,
    replica: ReplicaId,
    adapter: Name,
}

fn needs(context: &Context, fleet: &Fleet, wants: &BTreeMap<Name, Want>) -> Vec<Need> {
    let mut needs = Vec::new();
    for want in wants.values().filter(|w| !w.total.adapters.is_empty()) {
        let Some((_, model)) = context.tree.model(&want.model) else {
            continue;
        };
        let allowed = |adapter: &Name| model.adapters.contains_key(adapter);
        for (adapter, count) in want.total.adapters.iter().filter(|(a, _)| allowed(a)) {
            let mut ready = fleet.ready(&want.model).peekable();
            let held = fleet
                .ready(&want.model)
                .any(|(_, r)| r.adapters.contains(adapter));
            if let (false, Some((place, resident))) = (held, ready.next()) {
                needs.push(Need {
                    count: *count,
                    replica: place.engine.replica_id(resident),
                    adapter: adapter.clone(),
                });
            }
        }
    }
    needs
}

/// Adapters that nobody wants on replicas that would hold more than their share.
fn surplus(context: &Context, fleet: &Fleet, added: &BTreeMap<ReplicaId, usize>) -> Vec<Action> {
    let mut actions = Vec::new();
    for place in &fleet.places {
        for resident in &place.ready {
            let replica = place.engine.replica_id(resident);
            let coming = added.get(&replica).copied().unwrap_or(0);
            let over = (resident.adapters.len() + coming)
                .saturating_sub(context.config.adapters_per_replica);
            let idle = unwanted(context, resident).take(over);
            actions.extend(idle.map(|adapter| Action::UnloadAdapter {
                replica: replica.clone(),
                adapter: adapter.clone(),
            }));
        }
    }
    actions
}

fn unwanted<'a>(context: &'a Context, resident: &'a Resident) -> impl Iterator<Item = &'a Name> {
    let total = context.totals.get(&resident.model);
    let wanted = move |adapter: &Name| total.is_some_and(|t| t.adapters.contains_key(adapter));
    resident.adapters.iter().filter(move |a| !wanted(a))
}
