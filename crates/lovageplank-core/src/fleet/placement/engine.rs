//! State of one engine, as the planner knows it.

mod progress;

use super::MAX_SILENCE_MS;
use super::command::{Command, Op};
use crate::fleet::message::EngineModels;
use crate::fleet::registry::{Announcement, CachedWeights, LoadedModel, Stage};
use crate::fleet::sizes::Size;
use crate::prelude::*;

/// Milliseconds from an engine's acceptance of an adapter load until routers may use the adapter.
const ADAPTER_USABLE_AFTER_MS: Millis = 14;
/// Shortest time between the withdrawal of a model and its unload, in milliseconds. A model is
/// *withdrawn* when routers are sent lists of loaded models without it, so that they send no more
/// requests for it.
const WITHDRAWAL_MS: Millis = 30;
/// Milliseconds after a withdrawal from which a router's load report counts as made after the
/// router received the withdrawal. Until each router has sent such a report, the model is not
/// unloaded.
const WITHDRAWAL_REPORT_MS: Millis = 15;
/// Milliseconds after which a pending load is given up if the model is not loaded.
const PENDING_LOAD_TIMEOUT_MS: Millis = 20_000;
/// Milliseconds between the beginnings of two loads from the store within which they began together:
/// the store may have received them in either order.
const TOGETHER_MS: Millis = 1_000;
/// Milliseconds for which another leader's command must have been in progress to count as a load
/// from the store. Commands of all other kinds take less time.
const STORE_LOAD_DETECTION_MS: Millis = 2_000;
/// Milliseconds after a command for which an engine's announcements may show the state before it.
/// Until then, a difference between an announcement and the known state is ignored.
const ANNOUNCEMENT_LAG_MS: Millis = 4_000;

record! { key =>
    /// State of an engine, which it reports on request.
    pub struct Report {
        /// Incarnation of the engine: when its process started, in Unix milliseconds by its own
        /// clock.
        #[serde(rename = "born_ms")]
        pub incarnation: u64,
        /// Number of commands that it has accepted in this incarnation.
        #[serde(rename = "commands")]
        pub accepted_commands: u64,
        /// Whether a load or unload of a model is in progress.
        pub busy: bool,
        /// Models that it has loaded.
        #[serde(rename = "held")]
        pub loaded: Vec<LoadedModel>,
        /// Adapters that are being loaded, as pairs of model and adapter.
        #[serde(rename = "coming")]
        pub loading_adapters: Vec<(Name, Name)>,
        /// Weights that its host has cached; `None` if the engine doesn't report them.
        #[serde(rename = "copies")]
        pub cached_weights: Option<CachedWeights>,
    }
}

/// A load that the planner has chosen for an engine, with the models to unload first. It ends when
/// the model is loaded or the load is given up.
#[derive(Clone, Debug)]
pub(super) struct PendingLoad {
    pub(super) model: Name,
    pub(super) evictions: Vec<Name>,
    /// When the planner chose the load, which also withdraws the models to unload.
    pub(super) since: Millis,
    /// Milliseconds that the unloads are expected to take.
    pub(super) eviction_ms: Millis,
    /// Milliseconds for which the models to unload may still have requests; beyond that the load is given up.
    pub(super) drain_timeout_ms: Millis,
    /// `None` if the weights are not loaded from the store. Otherwise, the number of loads from the
    /// store at the time when the planner chose this load, including this load and those that began
    /// together with it.
    pub(super) concurrent_store_loads: Option<usize>,
}

impl StoreLoad {
    /// When it should have ended: loads that began together take as long as all of them one after the other.
    pub(super) fn ends_at(&self) -> Millis {
        let concurrent = u64::try_from(self.concurrent).unwrap_or(u64::MAX);
        self.since + self.min_ms.saturating_mul(concurrent)
    }
}

impl PendingLoad {
    /// Whether it began before another load that began at `since`, or together with it.
    pub(super) fn began_with(&self, since: Millis) -> bool {
        self.since <= since + TOGETHER_MS
    }

    /// Records that another load from the store begins. If this one has just begun, the two began
    /// together, and the store has all of them at a time.
    pub(super) fn another_store_load(&mut self, now: Millis, concurrent: usize) {
        if now <= self.since + TOGETHER_MS {
            self.concurrent_store_loads = Some(concurrent);
        }
    }
}

/// A load from the store that is in progress.
#[derive(Clone, Debug)]
pub(super) struct StoreLoad {
    pub(super) model: Name,
    pub(super) since: Millis,
    /// Its shortest possible duration in milliseconds.
    pub(super) min_ms: Millis,
    /// Number of loads from the store when it began, itself included.
    pub(super) concurrent: usize,
}

/// A command that was sent and has not ended.
#[derive(Clone, Debug)]
pub(super) struct OutstandingCommand {
    pub(super) command: Command,
    pub(super) sent_at: Millis,
    /// The largest size of the model that was listed since, if this is its load.
    pub(super) size: Option<Size>,
    /// Whether its answer is still awaited.
    pub(super) in_flight: bool,
    pub(super) accepted: bool,
    /// Its shortest possible duration in milliseconds.
    pub(super) duration_ms: Millis,
    /// When it ends at the earliest, if it is the load or unload of a model. No report is requested
    /// between its acceptance and this time.
    pub(super) expected_end_at: Millis,
}

/// How it is known when a load of cached weights has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum LoadEnd {
    /// It lasts as long as its specification says.
    Specified,
    /// The same, and the load of this model is assumed to have ended; no report has shown it yet.
    Assumed(Name),
    /// A report shows it: an earlier load lasted longer than specified.
    Reported,
}

/// One incarnation of an engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) service: Name,
    /// Version of its software.
    software: Name,
    pub(super) incarnation: u64,
    pub(super) address: Name,
    pub(super) ready: bool,
    pub(super) last_contact_at: Millis,
    /// Long-term time that its work takes, relative to the usual time.
    pub(super) slowness: f64,
    pub(super) polled_at: Millis,
    /// Until when the outcome of the poll at `polled_at` is awaited; 0 if it is known.
    pub(super) poll_awaited_until: Millis,
    /// Number of commands that it has accepted; `None` until a report shows it.
    pub(super) accepted_commands: Option<u64>,
    /// Models that it has loaded; exact while no command is outstanding.
    pub(super) loaded: BTreeMap<Name, ModelState>,
    pub(super) cached_weights: CachedWeights,
    pub(super) pending_load: Option<PendingLoad>,
    pub(super) outstanding_command: Option<OutstandingCommand>,
    /// Adapter commands to send, oldest first.
    pub(super) adapter_commands: Vec<Op>,
    pub(super) no_command_before: Millis,
    /// Until when the answer `Conflict` to a command is taken to mean that the last unload is still
    /// in progress.
    unload_conflict_until: Millis,
    /// Since when another leader's command has been in progress.
    other_leader_command_since: Option<Millis>,
    /// Earliest time at which a report is requested while no command is outstanding. Before that, a
    /// report may show the state before the last change that the planner knows of.
    report_valid_from: Millis,
    pub(super) running: BTreeMap<(Name, Option<Name>), u32>,
    last_command_ended_at: Millis,
    /// Whether the known state may be outdated, so that a report is needed.
    stale: bool,
    reported: bool,
    load_end: LoadEnd,
}

/// State of a model that an engine has loaded: what its reports show, and what the planner records
/// of its use.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelState {
    pub(super) version: u64,
    /// Adapters, with the time from which routers may use each.
    pub(super) adapters: BTreeMap<Name, Millis>,
    /// Adapters that were commanded to unload while requests used them; they still take their
    /// adapter slots.
    pub(super) unloading: BTreeSet<Name>,
    /// When it was loaded, or this leader first knew of it.
    pub(super) loaded_at: Millis,
    /// When it last had running requests, or was loaded.
    pub(super) used_at: Millis,
    /// Whether it has had running requests since it was loaded.
    pub(super) requested: bool,
    /// The largest size that was listed while it was being loaded; `None` unless this leader ordered that.
    pub(super) size: Option<Size>,
}

impl Engine {
    pub(super) fn new(now: Millis, announcement: &Announcement) -> Engine {
        let mut engine = Engine {
            service: announcement.service.clone(),
            software: announcement.software.clone(),
            incarnation: announcement.incarnation,
            address: announcement.address.clone(),
            ready: announcement.stage == Stage::Ready,
            last_contact_at: now,
            slowness: 1.0,
            polled_at: 0,
            poll_awaited_until: 0,
            accepted_commands: None,
            loaded: BTreeMap::new(),
            cached_weights: announcement.cached_weights.clone(),
            pending_load: None,
            outstanding_command: None,
            adapter_commands: Vec::new(),
            no_command_before: 0,
            unload_conflict_until: 0,
            other_leader_command_since: None,
            report_valid_from: 0,
            running: BTreeMap::new(),
            last_command_ended_at: 0,
            stale: false,
            reported: false,
            load_end: LoadEnd::Specified,
        };
        engine.set_loaded(now, &announcement.loaded);
        engine
    }

    pub(super) fn observe(&mut self, now: Millis, announcement: &Announcement) {
        if announcement.incarnation != self.incarnation {
            return;
        }
        self.last_contact_at = now;
        self.ready = self.ready && announcement.stage == Stage::Ready;
        self.update_cached_weights(&announcement.cached_weights);
        let settled = self.outstanding_command.is_none()
            && now >= self.last_command_ended_at + ANNOUNCEMENT_LAG_MS;
        let unknown = announcement
            .loaded
            .iter()
            .any(|loaded| !self.loaded.contains_key(&loaded.model));
        if settled && (unknown || self.loaded.len() > announcement.loaded.len()) {
            self.stale = true;
        }
    }

    /// Whether it has been asked for its report and the outcome is awaited.
    pub(super) fn is_asked(&self, now: Millis) -> bool {
        now < self.poll_awaited_until
    }

    /// Whether a report of the engine is needed.
    pub(super) fn needs_report(&self, now: Millis) -> bool {
        if now >= self.last_contact_at + MAX_SILENCE_MS {
            return false;
        }
        match &self.outstanding_command {
            None => {
                now >= self.report_valid_from && (self.stale || self.accepted_commands.is_none())
            }
            Some(outstanding_command) if outstanding_command.accepted => {
                now >= outstanding_command.expected_end_at
            }
            Some(outstanding_command) => !outstanding_command.in_flight,
        }
    }

    /// Whether its software has this version; any will do if none is given.
    pub(super) fn runs(&self, software: Option<&Name>) -> bool {
        software.is_none_or(|software| *software == self.software)
    }

    /// Whether it accepts requests, and announced itself or reported recently.
    pub(super) fn is_alive(&self, now: Millis) -> bool {
        self.ready && now < self.last_contact_at + MAX_SILENCE_MS
    }

    /// Whether a command may be sent to it.
    pub(super) fn accepts_commands(&self, now: Millis) -> bool {
        self.is_alive(now)
            && self.accepted_commands.is_some()
            && self.outstanding_command.is_none()
            && now >= self.no_command_before
    }

    /// Models that it has loaded and will keep, and the one that it will load.
    pub(super) fn kept_models(&self) -> impl Iterator<Item = &Name> {
        let pending_load = self.pending_load.as_ref();
        let loading = pending_load.map(|load| &load.model);
        let loading = loading.filter(|model| !self.loaded.contains_key(*model));
        let kept = self.loaded.keys();
        kept.filter(move |model| {
            pending_load.is_none_or(|load| load.model == **model || !load.evictions.contains(model))
        })
        .chain(loading)
    }

    /// Whether what it has loaded is known.
    pub(super) fn has_known_state(&self) -> bool {
        self.accepted_commands.is_some()
    }

    /// Whether it has reported in this incarnation.
    pub(super) fn has_reported(&self) -> bool {
        self.reported
    }

    /// Records that a document lists this size for a model, which counts if the model is being loaded.
    pub(super) fn size_listed(&mut self, model: &Name, listed: Size) {
        let loads = self.loads(model);
        let outstanding = self.outstanding_command.as_mut().filter(|_| loads);
        if let Some(size) = outstanding.and_then(|o| o.size.as_mut()) {
            *size = size.larger(listed);
        }
    }

    /// Returns the command for an operation, and records it as outstanding. `size` is that of the model, if the
    /// command loads one.
    pub(super) fn start_command(
        &mut self,
        now: Millis,
        id: &Name,
        op: Op,
        duration_ms: Millis,
        size: Option<Size>,
    ) -> Command {
        let command = Command {
            server: id.clone(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            expected: self.accepted_commands.unwrap_or_default(),
            op,
        };
        self.outstanding_command = Some(OutstandingCommand {
            command: command.clone(),
            sent_at: now,
            size,
            in_flight: true,
            accepted: false,
            duration_ms,
            expected_end_at: now + duration_ms,
        });
        command
    }

    pub(super) fn loaded_models(&self, id: &Name, now: Millis) -> EngineModels {
        // Whether the model is being unloaded, or is to be unloaded before the pending load.
        let unloading = |model: &Name| {
            let will_be_evicted = self
                .pending_load
                .as_ref()
                .is_some_and(|load| load.evictions.contains(model));
            let unloads = self
                .outstanding_command
                .as_ref()
                .is_some_and(|outstanding| outstanding.command.op == Op::Unload(model.clone()));
            will_be_evicted || unloads
        };
        let loaded = self.loaded.iter().filter(|(model, _)| !unloading(model));
        let loaded = loaded.map(|(model, model_state)| LoadedModel {
            model: model.clone(),
            version: model_state.version,
            adapters: model_state
                .adapters
                .iter()
                .filter(|(adapter, from)| {
                    now >= **from && !model_state.unloading.contains(*adapter)
                })
                .map(|(adapter, _)| adapter.clone())
                .collect(),
        });
        let loading = self
            .pending_load
            .iter()
            .map(|pending_load| (pending_load.model.clone(), self.remaining_ms(now)));
        EngineModels {
            server: id.clone(),
            incarnation: self.incarnation,
            loaded: loaded.collect(),
            loading: loading.collect(),
        }
    }

    /// Whether the models to unload for the pending load have been withdrawn for long enough, and
    /// each router has reported its running requests since the withdrawal.
    pub(super) fn withdrawal_confirmed(&self, now: Millis, oldest_load_report_at: Millis) -> bool {
        self.pending_load.as_ref().is_some_and(|pending_load| {
            now >= pending_load.since + WITHDRAWAL_MS
                && oldest_load_report_at >= pending_load.since + WITHDRAWAL_REPORT_MS
        })
    }

    /// Drops a pending load that is done or has timed out, unless a command is outstanding.
    pub(super) fn expire_pending_load(&mut self, now: Millis) {
        let over = self.pending_load.as_ref().is_some_and(|pending_load| {
            now >= pending_load.since + PENDING_LOAD_TIMEOUT_MS
                || self.loaded.contains_key(&pending_load.model)
        });
        if over && self.outstanding_command.is_none() {
            self.pending_load = None;
        }
    }

    /// Number of adapters of all models.
    pub(super) fn adapter_count(&self) -> usize {
        self.loaded.values().map(|model| model.adapters.len()).sum()
    }

    /// Running requests of a model, with and without adapters.
    pub(super) fn running(&self, model: &str) -> u32 {
        self.running
            .iter()
            .filter(|((m, _), _)| &**m == model)
            .map(|(_, n)| n)
            .sum()
    }

    /// Running requests of an adapter.
    pub(super) fn running_adapter(&self, model: &Name, adapter: &Name) -> u32 {
        let key = (model.clone(), Some(adapter.clone()));
        self.running.get(&key).copied().unwrap_or_default()
    }

    /// Running requests of all models.
    pub(super) fn running_total(&self) -> u32 {
        self.running.values().sum()
    }

    /// Whether it loads a model from the store or is about to. A load that an earlier leader
    /// commanded is recognized only once it has lasted [`STORE_LOAD_DETECTION_MS`].
    pub(super) fn loads_from_store(&self, now: Millis) -> bool {
        self.pending_store_load().is_some() || self.other_store_load_ms(now, 0).is_some()
    }

    /// Milliseconds until a load from the store that an earlier leader commanded should have ended; `None` without one.
    /// At full speed, it takes `store_ms`; if it takes longer, as long as several of them one after the other.
    pub(super) fn other_store_load_ms(&self, now: Millis, store_ms: Millis) -> Option<Millis> {
        let since = self.other_leader_command_since?;
        let passed_ms = now.saturating_sub(since);
        let is_from_store = passed_ms >= STORE_LOAD_DETECTION_MS;
        is_from_store.then(|| store_ms - passed_ms % store_ms.max(1))
    }

    /// Its pending load, if that is one from the store.
    pub(super) fn pending_store_load(&self) -> Option<&PendingLoad> {
        let from_store = |load: &&PendingLoad| load.concurrent_store_loads.is_some();
        self.pending_load.as_ref().filter(from_store)
    }

    /// Whether its outstanding command got no answer, so that it is sent again.
    pub(super) fn awaits_resend(&self) -> bool {
        let outstanding = self.outstanding_command.as_ref();
        outstanding.is_some_and(|o| !o.accepted && !o.in_flight)
    }

    /// Whether it is carrying out a load of the model.
    pub(super) fn loads(&self, model: &Name) -> bool {
        self.carries_out(&Op::Load(model.clone()))
    }

    /// Whether it is carrying out this operation.
    pub(super) fn carries_out(&self, op: &Op) -> bool {
        let outstanding = self.outstanding_command.as_ref();
        outstanding.is_some_and(|o| o.command.op == *op)
    }

    /// The size that a model has if the load that it is carrying out ends.
    pub(super) fn ordered_size(&self, model: &Name) -> Option<Size> {
        let outstanding = self.outstanding_command.as_ref();
        outstanding.filter(|_| self.loads(model))?.size
    }

    /// The load from the store that it is carrying out.
    pub(super) fn store_load(&self) -> Option<StoreLoad> {
        let outstanding_command = self.outstanding_command.as_ref()?;
        let concurrent = self.pending_load.as_ref()?.concurrent_store_loads?;
        let Op::Load(model) = &outstanding_command.command.op else {
            return None;
        };
        Some(StoreLoad {
            model: model.clone(),
            since: outstanding_command.sent_at,
            min_ms: outstanding_command.duration_ms,
            concurrent,
        })
    }

    /// Milliseconds until the outstanding command should have ended; 0 without one. A load from the store
    /// that is overdue is expected to take as long as all loads that began with it one after the other.
    pub(super) fn remaining_ms(&self, now: Millis) -> u64 {
        let Some(outstanding) = &self.outstanding_command else {
            return 0;
        };
        let mut end_at = outstanding.expected_end_at;
        if let Some(load) = self.store_load().filter(|_| now >= end_at) {
            end_at = load.ends_at();
        }
        end_at.saturating_sub(now)
    }

    fn update_cached_weights(&mut self, cached_weights: &CachedWeights) {
        if !cached_weights.disk.is_empty() || !cached_weights.memory.is_empty() {
            self.cached_weights = cached_weights.clone();
        }
    }

    fn set_loaded(&mut self, now: Millis, loaded: &[LoadedModel]) {
        let mut before = std::mem::take(&mut self.loaded);
        for model in loaded {
            let new = || ModelState {
                loaded_at: now,
                used_at: now,
                size: self.ordered_size(&model.model),
                ..ModelState::default()
            };
            // The state recorded before, or a new one for a model that was not recorded.
            let old = before.remove(&model.model).unwrap_or_else(new);
            let adapters = model.adapters.iter().map(|a| {
                let from = old.adapters.get(a).copied().unwrap_or(now);
                (a.clone(), from)
            });
            let unloading = model.adapters.intersection(&old.unloading);
            let model_state = ModelState {
                version: model.version,
                adapters: adapters.collect(),
                unloading: unloading.cloned().collect(),
                loaded_at: old.loaded_at,
                used_at: old.used_at,
                requested: old.requested,
                size: old.size,
            };
            self.loaded.insert(model.model.clone(), model_state);
        }
    }
}
