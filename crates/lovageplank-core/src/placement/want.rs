//! What each model needs: replicas missing, and why.

use super::fleet::Fleet;
use super::planner::Context;
use super::track::Track;
use crate::demand::Total;
use crate::load::{Source, seconds};
use crate::prelude::*;
use crate::settings::Effective;

/// Share of a cold start's cost that a load ahead of demand must gain.
const PREWARM_MARGIN: f64 = 0.1;

/// How far ahead a wake is weighed before weights are brought near, in seconds.
const STAGING_HORIZON_S: f64 = 14_400.0;

/// Why replicas are missing, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// Requests wait.
    Demand,
    /// Settings ask for replicas even when idle.
    Floor,
    /// A request is likely soon.
    Prewarm,
}

/// A model of the settings tree with what it has and lacks.
#[derive(Clone, Debug)]
pub(super) struct Want {
    pub(super) model: Name,
    pub(super) version: Name,
    pub(super) service: Name,
    pub(super) memory_mb: u64,
    pub(super) settings: Effective,
    pub(super) total: Total,
    /// Replicas of the wanted version that serve.
    pub(super) ready: u32,
    /// Replicas of the wanted version that load.
    pub(super) loading: u32,
    /// Engines that hold or await any replica of the model.
    pub(super) held: u32,
    /// Replicas that demand or settings ask for.
    pub(super) desired: u32,
    /// Why a load is wanted; none when none is.
    pub(super) reason: Option<Reason>,
}

impl Want {
    /// Replicas to load, as far as the limit allows.
    pub(super) fn missing(&self) -> u32 {
        let lacking = match self.reason {
            None => 0,
            Some(Reason::Prewarm) => 1,
            Some(Reason::Demand | Reason::Floor) => {
                self.desired.saturating_sub(self.ready + self.loading)
            }
        };
        lacking.min(self.settings.max_replicas.saturating_sub(self.held))
    }

    /// Whether any request waits or runs.
    pub(super) fn active(&self) -> bool {
        self.total.waiting + self.total.running > 0
    }
}

/// Every model of the tree, by name.
pub(super) fn wants(context: &Context, fleet: &Fleet, track: &Track) -> BTreeMap<Name, Want> {
    let mut wants = BTreeMap::new();
    for (service, models) in context.tree.services.iter().map(|(n, s)| (n, &s.models)) {
        for (name, model) in models {
            let settings = context.tree.effective(service, Some(name), None);
            let mut want = Want {
                model: name.clone(),
                version: model.version.clone(),
                service: service.clone(),
                memory_mb: model.memory_mb,
                settings,
                total: context.totals.get(name).cloned().unwrap_or_default(),
                ready: 0,
                loading: 0,
                held: count(fleet.holders(name).count()),
                desired: 0,
                reason: None,
            };
            want.ready = count(
                fleet
                    .ready(name)
                    .filter(|(_, r)| r.version == want.version)
                    .count(),
            );
            want.loading = loading(fleet, track, &want);
            want.desired = desired(&want);
            want.reason = reason(context, &want);
            wants.insert(name.clone(), want);
        }
    }
    wants
}

/// Loads of the wanted version on live engines.
fn loading(fleet: &Fleet, track: &Track, want: &Want) -> u32 {
    let live = |engine: &Name| fleet.places.iter().any(|p| p.engine.id == *engine);
    let loads = track.loads.keys();
    count(
        loads
            .filter(|id| id.model == want.model && id.version == want.version && live(&id.engine))
            .count(),
    )
}

/// One replica serves a burst unless more than a batch waits and runs.
fn desired(want: &Want) -> u32 {
    let requests = want.total.waiting + want.total.running;
    requests
        .div_ceil(want.settings.batch_size.max(1))
        .max(want.settings.min_replicas)
        .min(want.settings.max_replicas)
}

fn reason(context: &Context, want: &Want) -> Option<Reason> {
    let have = want.ready + want.loading;
    if have < want.desired {
        return Some(if want.total.waiting > 0 {
            Reason::Demand
        } else {
            Reason::Floor
        });
    }
    if !context.look_ahead
        || !want.settings.load_ahead
        || have > 0
        || want.held > 0
        || want.settings.max_replicas == 0
    {
        return None;
    }
    let lead_ms = context.best_took_ms(want);
    let cold_cost = context.cold_cost(want);
    let gain = context.gain(want, lead_ms, 1.0);
    if gain > PREWARM_MARGIN * cold_cost {
        return Some(Reason::Prewarm);
    }
    let staging = staging_gain(context, want);
    (staging > 0.0).then_some(Reason::Prewarm)
}

/// What a load gains that only brings weights from the store to an engine's instance; the replica
/// itself is idle for its shortest keep-alive.
fn staging_gain(context: &Context, want: &Want) -> f64 {
    if context.is_near(want) || context.track.came_from_store(&want.model, context.now) {
        return 0.0;
    }
    let saved_ms = context.took_ms(want, Source::Store) - context.took_ms(want, Source::Disk);
    let waited_s = seconds(saved_ms) * context.burst(want);
    let probability = context.wake_probability(want, STAGING_HORIZON_S);
    let idle_s = seconds(want.settings.keep_alive_min_ms);
    want.settings.cold_start_weight * waited_s * probability - want.settings.idle_weight * idle_s
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
