//! What a stand-in saw, for a verdict after a run.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use lovageplank_core::prelude::*;

record! { key =>
    /// What became of one request, under one key.
    #[serde(default)]
    #[derive(Default)]
    pub struct RequestCounts {
        /// Times that it began to run from its start; resumed runs aren't counted.
        pub runs: u32,
        /// Times that it was resumed.
        pub resumed: u32,
        /// Times that it ran to its end.
        pub finished: u32,
        /// Times that it was cancelled, or its client went away.
        pub cancelled: u32,
        /// Tokens generated over all runs.
        pub tokens: u32,
        /// Times that it was refused before it ran.
        pub refused: u32,
    }
}

impl RequestCounts {
    /// Adds what another backend server recorded of the same request.
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
    /// What happened to a replica.
    #[serde(rename_all = "snake_case")]
    pub enum ReplicaChange {
        /// Its load began; from here it counts as loaded.
        LoadStarted,
        /// It began to serve.
        Loaded,
        /// Its load failed.
        LoadFailed,
        /// It was unloaded.
        Unloaded,
        /// The engine died or stopped.
        Died,
    }
}

record! { key =>
    /// A change of a replica.
    pub struct ReplicaEvent {
        /// Unix time in microseconds.
        pub at_us: u64,
        /// The model.
        pub model: Name,
        /// The model's version.
        pub version: Name,
        /// What happened.
        pub change: ReplicaChange,
    }
}

record! { key =>
    /// All that a stand-in recorded; the body of `GET /records`.
    #[serde(default)]
    #[derive(Default)]
    pub struct Snapshot {
        /// The stand-in's name.
        pub id: Name,
        /// By `X-Lovageplank-Request-Id`.
        pub requests: BTreeMap<String, RequestCounts>,
        /// By `Idempotency-Key`.
        pub keys: BTreeMap<String, RequestCounts>,
        /// By the hash of model, adapter and prompt, in 16 hexadecimal digits.
        pub texts: BTreeMap<String, RequestCounts>,
        /// Changes of replicas in the order in which they happened.
        pub replicas: Vec<ReplicaEvent>,
        /// Loads that were refused because they didn't fit.
        pub overcommit_attempts: u32,
        /// Loads that were accepted although they didn't fit.
        pub overcommitted: u32,
        /// Commands refused for an old fencing token.
        pub stale_commands: u32,
        /// Commands that came again under the same id.
        pub repeated_commands: u32,
        /// Requests that an unload ended.
        pub cut_by_unload: u32,
    }
}

/// Which of a request's counters grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Increment {
    /// It began to run.
    Run,
    /// It began to run from a later offset.
    Resumed,
    /// It ran to its end.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// It gave so many tokens.
    Tokens(u32),
    /// It was refused.
    Refused,
}

/// The keys that a request is recorded under.
#[derive(Clone, Debug, Default)]
pub struct RequestKeys {
    /// `X-Lovageplank-Request-Id`.
    pub request_id: Option<String>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// The hash of what its answer depends on.
    pub text: Option<u64>,
}

/// Records shared by the threads of a stand-in.
#[derive(Debug, Default)]
pub struct Records(Mutex<Snapshot>);

impl Records {
    /// Returns all records.
    pub fn snapshot(&self, id: &Name) -> Snapshot {
        Snapshot {
            id: id.clone(),
            ..self.lock().clone()
        }
    }

    /// Counts something under all keys of a request.
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

    /// Notes a change of a replica.
    pub fn record_replica_change(&self, replica: &(Name, Name), change: ReplicaChange) {
        let event = ReplicaEvent {
            at_us: unix_us(),
            model: replica.0.clone(),
            version: replica.1.clone(),
            change,
        };
        self.lock().replicas.push(event);
    }

    /// Changes one of the plain counters.
    pub fn update(&self, change: impl FnOnce(&mut Snapshot)) {
        change(&mut self.lock());
    }

    fn lock(&self) -> MutexGuard<'_, Snapshot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the key of a text hash in [`Page::texts`].
pub fn text_hash_key(hash: u64) -> String {
    format!("{hash:016x}")
}

/// Returns, for each model, the most replicas that were loaded or loading at once over all
/// engines; they have to share a clock.
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

/// Returns how many loads began for each model over all engines.
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
