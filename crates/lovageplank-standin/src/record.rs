//! Records of what a stand-in did, from which a run is judged afterwards.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use lovageplank_core::prelude::*;

record! { key =>
    /// Counters of the requests with one key: a request id, an idempotency key or a text hash.
    #[serde(default)]
    #[derive(Default)]
    pub struct RequestCounts {
        /// Number of runs that started from the beginning; resumed runs aren't counted.
        pub runs: u32,
        /// Number of runs that resumed from a later offset.
        pub resumed: u32,
        /// Number of runs that completed.
        pub finished: u32,
        /// Number of runs that ended early: by a cancellation, by an unload, or because the client
        /// disconnected.
        pub cancelled: u32,
        /// Number of tokens generated in all runs.
        pub tokens: u32,
        /// Number of times that a request was refused before it ran.
        pub refused: u32,
    }
}

impl RequestCounts {
    /// Adds the counters that another backend server recorded for the same key.
    pub fn add(&mut self, other: &RequestCounts) {
        self.runs += other.runs;
        self.resumed += other.resumed;
        self.finished += other.finished;
        self.cancelled += other.cancelled;
        self.tokens += other.tokens;
        self.refused += other.refused;
    }
}

record! { copy =>
    /// A change of a replica's state.
    #[serde(rename_all = "snake_case")]
    pub enum ReplicaChange {
        /// The load started; from here on, the replica counts as loaded.
        LoadStarted,
        /// The load completed, and the replica can serve requests.
        Loaded,
        /// The load failed.
        LoadFailed,
        /// The replica was unloaded.
        Unloaded,
        /// The engine crashed or was stopped.
        Died,
    }
}

record! { key =>
    /// A change of a replica's state, with its time.
    pub struct ReplicaEvent {
        /// Time of the change, in Unix microseconds.
        pub at_us: u64,
        /// The model.
        pub model: Name,
        /// The model's version.
        pub version: Name,
        /// The change.
        pub change: ReplicaChange,
    }
}

record! { key =>
    /// All records of a stand-in; the body of `GET /records`.
    #[serde(default)]
    #[derive(Default)]
    pub struct Snapshot {
        /// The stand-in's id.
        pub id: Name,
        /// Requests by `X-Lovageplank-Request-Id`.
        pub requests: BTreeMap<String, RequestCounts>,
        /// Requests by `Idempotency-Key`.
        pub keys: BTreeMap<String, RequestCounts>,
        /// Requests by the hash of model, adapter and prompt, in 16 hexadecimal digits.
        pub texts: BTreeMap<String, RequestCounts>,
        /// Changes of replicas, in order.
        pub replicas: Vec<ReplicaEvent>,
        /// Number of loads that were refused because they needed more memory than was free.
        pub overcommit_attempts: u32,
        /// Number of loads after whose acceptance the replicas needed more than the engine's
        /// memory.
        pub overcommitted: u32,
        /// Number of commands that were refused because of a stale fencing token.
        pub stale_commands: u32,
        /// Number of commands that were received again with the same id.
        pub repeated_commands: u32,
        /// Number of runs that were ended by an unload.
        pub cut_by_unload: u32,
    }
}

/// The counter of a request that is increased.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Increment {
    /// A run started from the beginning.
    Run,
    /// A run resumed from a later offset.
    Resumed,
    /// A run completed.
    Finished,
    /// A run ended early.
    Cancelled,
    /// A run generated this many tokens.
    Tokens(u32),
    /// The request was refused before it ran.
    Refused,
}

/// The keys that a request is recorded under.
#[derive(Clone, Debug, Default)]
pub struct RequestKeys {
    /// `X-Lovageplank-Request-Id`.
    pub request_id: Option<String>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// The hash of model, adapter and prompt; `None` for a plain service.
    pub text: Option<u64>,
}

/// Records shared by the threads of a stand-in.
#[derive(Debug, Default)]
pub struct Records(Mutex<Snapshot>);

impl Records {
    /// Returns a snapshot of all records, under the given stand-in's id.
    pub fn snapshot(&self, id: &Name) -> Snapshot {
        Snapshot {
            id: id.clone(),
            ..self.lock().clone()
        }
    }

    /// Increases a counter under all keys of a request.
    pub fn count(&self, keys: &RequestKeys, count: Increment) {
        let mut snapshot = self.lock();
        if let Some(id) = &keys.request_id {
            increment(snapshot.requests.entry(id.clone()).or_default(), count);
        }
        if let Some(key) = &keys.idempotency_key {
            increment(snapshot.keys.entry(key.clone()).or_default(), count);
        }
        if let Some(text) = keys.text {
            increment(
                snapshot.texts.entry(text_hash_key(text)).or_default(),
                count,
            );
        }
    }

    /// Records a change of a replica (model and version) with the current time.
    pub fn record_replica_change(&self, replica: &(Name, Name), change: ReplicaChange) {
        let event = ReplicaEvent {
            at_us: unix_us(),
            model: replica.0.clone(),
            version: replica.1.clone(),
            change,
        };
        self.lock().replicas.push(event);
    }

    /// Modifies the records, for example one of the counters without a key.
    pub fn update(&self, change: impl FnOnce(&mut Snapshot)) {
        change(&mut self.lock());
    }

    fn lock(&self) -> MutexGuard<'_, Snapshot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the key of a text hash in [`Snapshot::texts`].
pub fn text_hash_key(hash: u64) -> String {
    format!("{hash:016x}")
}

/// Returns, for each model, the largest number of replicas that were loaded or loading at once on
/// all engines. All engines must use the same clock.
pub fn max_replicas(snapshots: &[Snapshot]) -> BTreeMap<Name, u32> {
    let mut events: Vec<_> = snapshots
        .iter()
        .flat_map(|snapshot| &snapshot.replicas)
        .collect();
    events.sort_by_key(|event| event.at_us);
    let mut now: BTreeMap<Name, u32> = BTreeMap::new();
    let mut most: BTreeMap<Name, u32> = BTreeMap::new();
    for event in events {
        let count = now.entry(event.model.clone()).or_default();
        match event.change {
            ReplicaChange::LoadStarted => *count += 1,
            ReplicaChange::Loaded => {}
            ReplicaChange::LoadFailed | ReplicaChange::Unloaded | ReplicaChange::Died => {
                *count = count.saturating_sub(1);
            }
        }
        let highest = most.entry(event.model.clone()).or_default();
        *highest = (*highest).max(*count);
    }
    most
}

/// Returns, for each model, the number of loads started on all engines.
pub fn loads(snapshots: &[Snapshot]) -> BTreeMap<Name, u32> {
    let events = snapshots.iter().flat_map(|snapshot| &snapshot.replicas);
    let mut loads: BTreeMap<Name, u32> = BTreeMap::new();
    for event in events.filter(|event| event.change == ReplicaChange::LoadStarted) {
        *loads.entry(event.model.clone()).or_default() += 1;
    }
    loads
}

/// Returns the Unix time in microseconds.
pub fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
    })
}

fn increment(request: &mut RequestCounts, count: Increment) {
    match count {
        Increment::Run => request.runs += 1,
        Increment::Resumed => request.resumed += 1,
        Increment::Finished => request.finished += 1,
        Increment::Cancelled => request.cancelled += 1,
        Increment::Tokens(tokens) => request.tokens += tokens,
        Increment::Refused => request.refused += 1,
    }
}
