//! State shared by the threads of an engine.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use lovageplank_core::backend::{
    Accelerator, Announcement, Kind, ServerReport, State as LifecycleState,
};
use lovageplank_core::prelude::*;
use tokio_util::sync::CancellationToken;

use super::Config;
use super::batch::Batch;
use super::prefix::PrefixCache;
use super::state::{Limits, State};
use crate::announce::AnnouncementSource;
use crate::fault::{FaultSwitches, Faults};
use crate::http::Control;
use crate::record::{Records, ReplicaChange, Snapshot, unix_us};

/// The state of an engine that its server and its announcer share.
pub struct Core {
    pub config: Config,
    pub control: Control,
    pub faults: FaultSwitches,
    pub records: Arc<Records>,
    pub batch: Arc<Batch>,
    state: Mutex<State>,
    prefixes: Mutex<PrefixCache>,
    running_requests: Mutex<RunningRequests>,
    incarnation: u64,
    last_report_sequence: Mutex<u64>,
    address: OnceLock<SocketAddr>,
    waker: OnceLock<flume::Sender<()>>,
}

/// Cancellation tokens of the requests in progress, by request id and run id.
#[derive(Default)]
struct RunningRequests {
    last_run_id: u64,
    cancellation_tokens: BTreeMap<(String, u64), CancellationToken>,
}

impl Core {
    pub fn new(config: Config, control: Control) -> Core {
        let state = State::new(config.memory_cache.clone(), config.disk_cache.clone());
        Core {
            control,
            faults: FaultSwitches::new(config.faults.clone()),
            records: config.records.clone().unwrap_or_default(),
            batch: Batch::new(config.batch),
            state: Mutex::new(state),
            prefixes: Mutex::new(PrefixCache::new(config.prefixes)),
            running_requests: Mutex::default(),
            incarnation: config.incarnation.unwrap_or_else(|| unix_us() / 1_000),
            last_report_sequence: Mutex::new(0),
            address: OnceLock::new(),
            waker: OnceLock::new(),
            config,
        }
    }

    pub fn set_address(&self, address: SocketAddr) {
        self.address.get_or_init(|| address);
    }

    pub fn set_waker(&self, waker: flume::Sender<()>) {
        self.waker.get_or_init(|| waker);
    }

    /// Replaces all faults and applies those that affect the listener.
    pub fn set_faults(&self, faults: Faults) {
        self.control.apply_faults(&faults);
        self.faults.set(faults);
    }

    /// Triggers an announcement of the current state.
    pub fn announce(&self) {
        if let Some(waker) = self.waker.get() {
            // If the channel is full, a wake-up is already pending and covers this change.
            let _covered = waker.try_send(());
        }
    }

    pub fn leave(&self) {
        self.state().lifecycle = LifecycleState::Leaving;
        self.announce();
    }

    /// Stops the engine as a crash of its process would, and records its replicas as lost.
    pub fn crash(&self) {
        for replica in self.state().take_replicas() {
            self.records
                .record_replica_change(&replica, ReplicaChange::Died);
        }
        self.control.stop.cancel();
    }

    pub fn snapshot(&self) -> Snapshot {
        self.records.snapshot(&self.config.id)
    }

    pub fn limits(&self) -> Limits {
        let faults = self.faults.get();
        Limits {
            memory_mb: self.config.memory_mb,
            model_memory_mb: self.config.model_memory_mb,
            fencing: faults.fencing.unwrap_or(self.config.fencing),
            ignore_memory: faults.ignore_memory,
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Marks a prompt's prefix as used and returns whether it was already cached.
    pub fn touch_prefix(&self, model: &Name, prefix: u64) -> bool {
        lock(&self.prefixes).touch(model, prefix)
    }

    /// Registers a run so that it can be cancelled by its request id; returns the run id and the
    /// token that [`Core::cancel`] cancels.
    pub fn register(&self, request_id: &str) -> (u64, CancellationToken) {
        let mut running_requests = lock(&self.running_requests);
        running_requests.last_run_id += 1;
        let run_id = running_requests.last_run_id;
        let token = CancellationToken::new();
        running_requests
            .cancellation_tokens
            .insert((request_id.to_owned(), run_id), token.clone());
        (run_id, token)
    }

    pub fn deregister(&self, request_id: &str, run_id: u64) {
        lock(&self.running_requests)
            .cancellation_tokens
            .remove(&(request_id.to_owned(), run_id));
    }

    /// Cancels all runs of a request and returns their number.
    pub fn cancel(&self, request_id: &str) -> usize {
        let running_requests = lock(&self.running_requests);
        let runs = (request_id.to_owned(), 0)..=(request_id.to_owned(), u64::MAX);
        running_requests
            .cancellation_tokens
            .range(runs)
            .map(|(_, token)| token.cancel())
            .count()
    }
}

impl AnnouncementSource for Core {
    fn announcement(&self) -> Announcement {
        let bound = self.address.get().map(|address| address.to_string().into());
        let state = self.state();
        Announcement {
            id: self.config.id.clone(),
            incarnation: self.incarnation,
            address: self.config.advertise.clone().or(bound).unwrap_or_default(),
            kind: Kind::Engine,
            failure_domain: self.config.failure_domain.clone(),
            services: self.config.services.clone(),
            accelerators: vec![Accelerator {
                memory_mb: self.config.memory_mb,
            }],
            fencing: self.limits().fencing,
            loaded: state.loaded(),
            cached: state.cached(),
            state: state.lifecycle,
            running: count(self.batch.running()),
        }
    }

    fn report(&self) -> Option<ServerReport> {
        let lose_every = self.faults.get().lose_cache_event_every;
        let mut sequence = lock(&self.last_report_sequence);
        *sequence += 1;
        let mut prefixes = lock(&self.prefixes);
        Some(ServerReport {
            id: self.config.id.clone(),
            incarnation: self.incarnation,
            sequence: *sequence,
            age_ms: 0,
            running: count(self.batch.running()),
            queued: count(self.batch.queued()),
            kv_used: prefixes.utilization(),
            cache: prefixes.take_events(lose_every),
        })
    }

    fn report_lag(&self) -> Duration {
        Duration::from_millis(self.faults.get().report_lag_ms)
    }

    fn is_silent(&self) -> bool {
        self.faults.get().silent
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
