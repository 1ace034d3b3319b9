//! What a stand-in saw, for a verdict after a run.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use lovageplank_core::prelude::*;

record! { key =>
    /// What became of one request, under one key.
    #[serde(default)]
    #[derive(Default)]
    pub struct Request {
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

impl Request {
    /// Adds what another backend server recorded of the same request.
    pub fn add(&mut self, other: &Request) {
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
    pub enum Change {
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
        pub change: Change,
    }
}

record! { key =>
    /// All that a stand-in recorded; the body of `GET /records`.
    #[serde(default)]
    #[derive(Default)]
    pub struct Page {
        /// The stand-in's name.
        pub id: Name,
        /// By `X-Lovageplank-Request-Id`.
        pub requests: BTreeMap<String, Request>,
        /// By `Idempotency-Key`.
        pub keys: BTreeMap<String, Request>,
        /// By the hash of model, adapter and prompt, in 16 hexadecimal digits.
        pub texts: BTreeMap<String, Request>,
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
pub enum Count {
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
pub struct Keys {
    /// `X-Lovageplank-Request-Id`.
    pub request_id: Option<String>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// The hash of what its answer depends on.
    pub text: Option<u64>,
}

/// Records shared by the threads of a stand-in.
#[derive(Debug, Default)]
pub struct Records(Mutex<Page>);

impl Records {
    /// Returns all records.
    pub fn page(&self, id: &Name) -> Page {
        Page {
            id: id.clone(),
            ..self.lock().clone()
        }
    }

    /// Counts something under all keys of a request.
    pub fn count(&self, keys: &Keys, count: Count) {
        let mut page = self.lock();
        if let Some(id) = &keys.request_id {
            add(page.requests.entry(id.clone()).or_default(), count);
        }
        if let Some(key) = &keys.idempotency_key {
            add(page.keys.entry(key.clone()).or_default(), count);
        }
        if let Some(text) = keys.text {
            add(page.texts.entry(text_key(text)).or_default(), count);
        }
    }

    /// Notes a change of a replica.
    pub fn replica(&self, replica: &(Name, Name), change: Change) {
        let event = ReplicaEvent {
            at_us: unix_us(),
            model: replica.0.clone(),
            version: replica.1.clone(),
            change,
        };
        self.lock().replicas.push(event);
    }

    /// Changes one of the plain counters.
    pub fn update(&self, change: impl FnOnce(&mut Page)) {
        change(&mut self.lock());
    }

    fn lock(&self) -> MutexGuard<'_, Page> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the key of a text hash in [`Page::texts`].
pub fn text_key(hash: u64) -> String {
    format!("{hash:016x}")
}

/// Returns, for each model, the most replicas that were loaded or loading at once over all
/// engines; they have to share a clock.
pub fn max_replicas(pages: &[Page]) -> BTreeMap<Name, u32> {
    let mut events: Vec<_> = pages.iter().flat_map(|page| &page.replicas).collect();
    events.sort_by_key(|event| event.at_us);
    let mut now: BTreeMap<Name, u32> = BTreeMap::new();
    let mut most: BTreeMap<Name, u32> = BTreeMap::new();
    for event in events {
        let count = now.entry(event.model.clone()).or_default();
        match event.change {
            Change::LoadStarted => *count += 1,
            Change::Loaded => {}
            Change::LoadFailed | Change::Unloaded | Change::Died => {
                *count = count.saturating_sub(1);
            }
        }
        let highest = most.entry(event.model.clone()).or_default();
        *highest = (*highest).max(*count);
    }
    most
}

/// Returns how many loads began for each model over all engines.
pub fn loads(pages: &[Page]) -> BTreeMap<Name, u32> {
    let events = pages.iter().flat_map(|page| &page.replicas);
    let mut loads: BTreeMap<Name, u32> = BTreeMap::new();
    for event in events.filter(|event| event.change == Change::LoadStarted) {
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

fn add(request: &mut Request, count: Count) {
    match count {
        Count::Run => request.runs += 1,
        Count::Resumed => request.resumed += 1,
        Count::Finished => request.finished += 1,
        Count::Cancelled => request.cancelled += 1,
        Count::Tokens(tokens) => request.tokens += tokens,
        Count::Refused => request.refused += 1,
    }
}
