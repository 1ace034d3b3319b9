//! Updates to routers: a full update first, then only changes.

use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Tree, Version};
use lovageplank_core::view::{
    Backend, ExpectedReady, Instance, Phase, Replica, ReplicaId, ServerLoad, TreeEdits, Update,
};

/// A change of an expected ready time up to this many milliseconds isn't sent to routers.
const FORECAST_SLACK_MS: u64 = 250;

/// A change of a [`Forecast::After`] up to its last value divided by this isn't sent to routers.
const FORECAST_SLACK_DIVISOR: u64 = 4;

/// Milliseconds between updates of backend servers' loads. In between, routers count their own
/// requests.
const LOADS_INTERVAL_MS: u64 = 2_000;

/// Number of requests up to which a change of a load isn't sent to routers.
const LOAD_SLACK_REQUESTS: u32 = 4;

/// A change of a load up to the greater value divided by this isn't sent to routers.
const LOAD_SLACK_DIVISOR: u32 = 2;

/// The content of the routers' view.
#[derive(Clone, Debug, Default)]
pub(super) struct Content {
    pub(super) tree: (Version, Arc<Tree>),
    pub(super) backends: BTreeMap<Name, Backend>,
    pub(super) replicas: BTreeMap<ReplicaId, Replica>,
    pub(super) instances: BTreeMap<Name, Instance>,
    pub(super) loads: BTreeMap<Name, ServerLoad>,
    /// When each model without a ready replica is expected to have one.
    pub(super) forecasts: BTreeMap<Name, Forecast>,
}

/// When a model is expected to be ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Forecast {
    /// No load is possible.
    Never,
    /// At this time on the leader's clock: a load is in progress or requests wait for one.
    At(Millis),
    /// This many milliseconds after a request for the model arrives.
    After(u64),
}

impl Forecast {
    /// The planner's expectation, made at `now`.
    pub(super) fn new(now: Millis, expected: &ExpectedReady) -> Forecast {
        match expected.ready_in_ms {
            None => Forecast::Never,
            Some(ms) if expected.waits => Forecast::At(now + ms),
            Some(ms) => Forecast::After(ms),
        }
    }

    /// Whether the difference is too small to be sent to routers.
    fn is_similar(self, other: Forecast) -> bool {
        match (self, other) {
            (Forecast::Never, Forecast::Never) => true,
            (Forecast::At(a), Forecast::At(b)) => a.abs_diff(b) <= FORECAST_SLACK_MS,
            (Forecast::After(a), Forecast::After(b)) => {
                a.abs_diff(b) <= FORECAST_SLACK_MS.max(a / FORECAST_SLACK_DIVISOR)
            }
            _ => false,
        }
    }

    fn to_expected_ready(self, now: Millis, model: &Name) -> ExpectedReady {
        let (ready_in_ms, waits) = match self {
            Forecast::Never => (None, false),
            Forecast::At(at) => (Some(at.saturating_sub(now)), true),
            Forecast::After(ms) => (Some(ms), false),
        };
        ExpectedReady {
            model: model.clone(),
            ready_in_ms,
            waits,
        }
    }
}

/// Computes updates from the content that was published last.
#[derive(Debug, Default)]
pub(super) struct Publisher {
    published: Content,
    loads_published_at: Millis,
}

impl Publisher {
    /// Whether loads are due to be published again.
    pub(super) fn loads_due(&self, now: Millis) -> bool {
        now >= self.loads_published_at + LOADS_INTERVAL_MS
    }

    /// The loads to publish: `newest` if loads are due, else those published last.
    pub(super) fn loads_to_publish(
        &mut self,
        now: Millis,
        newest: &BTreeMap<Name, ServerLoad>,
    ) -> BTreeMap<Name, ServerLoad> {
        if !self.loads_due(now) {
            return self.published.loads.clone();
        }
        self.loads_published_at = now;
        newest.clone()
    }

    /// The full update that starts a router's stream. Instead of the tree, it contains the edits
    /// since the version that the router has, if `edits` returns them.
    pub(super) fn full_update(
        &self,
        now: Millis,
        known_version: Version,
        edits: impl Fn(Version, Version) -> Option<TreeEdits>,
    ) -> Update {
        let content = &self.published;
        let tree_edits = edits(known_version, content.tree.0);
        let tree = tree_edits.is_none().then(|| content.tree.clone());
        Update {
            sequence: 0,
            full: true,
            tree,
            tree_edits,
            backends: content.backends.values().cloned().collect(),
            replicas: content.replicas.values().cloned().collect(),
            instances: content.instances.values().cloned().collect(),
            loads: content
                .loads
                .iter()
                .map(|(id, load)| (id.clone(), *load))
                .collect(),
            expected: content
                .forecasts
                .iter()
                .map(|(m, f)| f.to_expected_ready(now, m))
                .collect(),
            ..Update::default()
        }
    }

    /// Publishes new content. Returns the update with its changes, `None` if nothing changed.
    ///
    /// `edits` returns the edits that lead from one version of the tree to another, `None` if they
    /// aren't known any more.
    pub(super) fn publish(
        &mut self,
        now: Millis,
        mut next: Content,
        edits: impl Fn(Version, Version) -> Option<TreeEdits>,
    ) -> Option<Update> {
        let last = &self.published;
        let mut update = Update::default();
        if next.tree.0 != last.tree.0 {
            update.tree_edits = edits(last.tree.0, next.tree.0);
            if update.tree_edits.is_none() {
                update.tree = Some(next.tree.clone());
            }
        }
        (update.backends, update.backends_gone) =
            diff(&last.backends, &next.backends, |a, b| a == b);
        (update.replicas, update.replicas_gone) =
            diff(&last.replicas, &next.replicas, same_replica);
        (update.instances, update.instances_gone) =
            diff(&last.instances, &next.instances, |a, b| a == b);
        update.loads = self.changed_loads(&mut next);
        update.expected = self.changed_forecasts(now, &mut next);
        self.published = next;
        (update != Update::default()).then_some(update)
    }

    /// The phase of a replica as published last.
    pub(super) fn published_phase(&self, replica: &ReplicaId) -> Option<Phase> {
        self.published.replicas.get(replica).map(|r| r.phase)
    }

    /// Loads that are new or changed enough. The others are reset to the published value, so that
    /// small changes add up.
    fn changed_loads(&self, next: &mut Content) -> Vec<(Name, ServerLoad)> {
        let mut changed = Vec::new();
        for (id, load) in &mut next.loads {
            match self.published.loads.get(id) {
                Some(last) if is_similar_load(*last, *load) => *load = *last,
                _ => changed.push((id.clone(), *load)),
            }
        }
        changed
    }

    /// Forecasts that are new or changed enough. The others are reset to the published value, so
    /// that small changes add up.
    fn changed_forecasts(&self, now: Millis, next: &mut Content) -> Vec<ExpectedReady> {
        let mut changed = Vec::new();
        for (model, forecast) in &mut next.forecasts {
            match self.published.forecasts.get(model) {
                Some(last) if last.is_similar(*forecast) => *forecast = *last,
                _ => changed.push(forecast.to_expected_ready(now, model)),
            }
        }
        changed
    }
}

/// Whether a load is too close to the one published last to be sent to routers.
fn is_similar_load(last: ServerLoad, load: ServerLoad) -> bool {
    let (last, load) = (last.running + last.queued, load.running + load.queued);
    let slack = (last.max(load) / LOAD_SLACK_DIVISOR).max(LOAD_SLACK_REQUESTS);
    last.abs_diff(load) <= slack
}

fn same_replica(a: &Replica, b: &Replica) -> bool {
    a.phase == b.phase && a.adapters == b.adapters
}

/// Values that are new or changed, and keys that were removed.
fn diff<K: Ord + Clone, V: Clone>(
    last: &BTreeMap<K, V>,
    next: &BTreeMap<K, V>,
    same: impl Fn(&V, &V) -> bool,
) -> (Vec<V>, Vec<K>) {
    let changed = |(key, value): &(&K, &V)| !last.get(key).is_some_and(|old| same(old, value));
    let changed = next
        .iter()
        .filter(changed)
        .map(|(_, value)| value.clone())
        .collect();
    let removed = last
        .keys()
        .filter(|key| !next.contains_key(key))
        .cloned()
        .collect();
    (changed, removed)
}
