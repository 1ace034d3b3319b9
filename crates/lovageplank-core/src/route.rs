//! Selects the backend server that serves a request.
//!
//! ```
//! use lovageplank_core::route::{Requirements, Table};
//! use rand::{SeedableRng, rngs::SmallRng};
//! let table = Table::new("salt");
//! let mut rng = SmallRng::seed_from_u64(1);
//! assert_eq!(table.select(0, &Requirements::model("lime"), &mut rng), None);
//! ```
//!
//! A [`Table`] applies the same [`Update`]s as the [`View`](crate::view::View), and records the
//! router's own dispatches with their outcomes, load reports and prefix-cache events.
//!
//! The candidates of a selection are the replicas that have the requested adapter loaded; if none
//! of them is eligible, all replicas of the base model. The selection compares a few random
//! candidates and takes the one with the lowest score. A candidate that likely has the prompt's
//! prefix cached is preferred unless it is much busier. Comparing only a few random candidates
//! keeps routers that act on the same outdated reports from all selecting the same replica.
//!
//! Limits: a server's load is an estimate (its last report, decayed with age, plus the router's
//! own dispatches since), and cache events are hints that arrive late and with gaps.

mod models;
mod prefix;
pub(crate) mod rendezvous;
mod server;

pub use prefix::hash as prefix_hash;
pub use rendezvous::{PREFERRED_INSTANCES, rank};
pub use server::{Server, ServerOutcome};

use crate::backend::{CacheEvent, Kind, ServerReport, State};
use crate::prelude::*;
use crate::view::{Backend, Update};
use models::{Models, ReplicaEntry};
use prefix::Prefixes;
use rand::Rng;
use std::collections::HashMap;

/// Index of a server in the table.
type Slot = u32;

/// Candidates that one selection examines; those beyond are not considered.
const MAX_SCANNED_CANDIDATES: usize = 64;
/// Eligible candidates that one selection compares within the router's failure domain, and again
/// outside it.
const MAX_COMPARED_PER_DISTANCE: usize = 2;
/// Added to the score of a server in another failure domain, so that a server in the router's own
/// domain is preferred until its weighted load is higher by this much.
const REMOTE_DOMAIN_PENALTY: f64 = 2.0;
/// Score by which a server that surely has the prefix cached may be worse than the best candidate
/// and still be preferred; scaled by the confidence in the cache hint.
const CACHED_PREFIX_SLACK: f64 = 4.0;
/// Milliseconds for which a replica gets no requests after its server denied having the model.
const DENIAL_BACKOFF_MS: u64 = 300;

/// What a request needs from a backend server.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// Name of the model, or of the service if `kind` is [`Kind::Service`].
    pub name: Name,
    /// Kind of backend server that can serve the request.
    pub kind: Kind,
    /// The adapter, if any.
    pub adapter: Option<Name>,
    /// The version, if the request must be served by a certain one.
    pub version: Option<Name>,
    /// Hash of the prompt's prefix; 0 when unknown.
    pub prefix: u64,
    /// Servers of earlier attempts; one of them is selected only if no other server is eligible.
    pub avoid: Vec<Name>,
    /// Load, in requests, from which a server gets no more; see `routers` for the exception.
    pub load_limit: u32,
    /// Number of routers that send requests of this model or service. Each may have its share of
    /// `load_limit` in flight at a server at any load. At a new replica whose load has not been
    /// reported yet it may have no more than this share.
    pub routers: u32,
}

impl Requirements {
    /// Requires a replica of a model.
    pub fn model(name: impl Into<Name>) -> Requirements {
        Requirements {
            name: name.into(),
            kind: Kind::Engine,
            adapter: None,
            version: None,
            prefix: 0,
            avoid: Vec::new(),
            load_limit: u32::MAX,
            routers: 1,
        }
    }

    /// Requires a server of a plain service.
    pub fn service(name: impl Into<Name>) -> Requirements {
        Requirements {
            kind: Kind::Service,
            ..Requirements::model(name)
        }
    }

    /// Sets the adapter.
    #[must_use]
    pub fn adapter(mut self, adapter: Option<Name>) -> Requirements {
        self.adapter = adapter;
        self
    }

    /// Sets the version.
    #[must_use]
    pub fn version(mut self, version: Option<Name>) -> Requirements {
        self.version = version;
        self
    }

    /// Sets the hash of the prompt's prefix.
    #[must_use]
    pub fn prefix(mut self, prefix: u64) -> Requirements {
        self.prefix = prefix;
        self
    }

    /// Sets the servers to avoid while others are eligible.
    #[must_use]
    pub fn avoid(mut self, servers: Vec<Name>) -> Requirements {
        self.avoid = servers;
        self
    }

    /// Sets the load, in requests, from which a server gets no more.
    #[must_use]
    pub fn load_limit(mut self, limit: u32) -> Requirements {
        self.load_limit = limit;
        self
    }

    /// Sets the number of routers that send requests of the model.
    #[must_use]
    pub fn routers(mut self, routers: u32) -> Requirements {
        self.routers = routers;
        self
    }
}

/// The server selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// The server's name.
    pub server: Name,
    /// The server's incarnation.
    pub incarnation: u64,
    /// `ip:port`.
    pub address: Name,
    /// Version of the selected replica; empty for a plain service.
    pub version: Name,
    /// Whether the replica has the requested adapter loaded; true if none is requested.
    pub adapter_loaded: bool,
}

/// Servers and replicas, indexed for server selection.
///
/// Invariant: every slot in `models` and `services` is a valid index of `servers`.
#[derive(Clone, Debug)]
pub struct Table {
    domain: Name,
    sequence: u64,
    servers: Vec<Server>,
    slots: HashMap<Name, Slot>,
    models: Models,
    services: HashMap<Name, Vec<Slot>>,
    prefixes: Prefixes,
}

impl Table {
    /// Creates an empty table for a router in the given failure domain.
    pub fn new(domain: impl Into<Name>) -> Table {
        Table {
            domain: domain.into(),
            sequence: 0,
            servers: Vec::new(),
            slots: HashMap::new(),
            models: Models::default(),
            services: HashMap::new(),
            prefixes: Prefixes::default(),
        }
    }

    /// Applies an update. Returns false and changes nothing if the preceding update is missing.
    pub fn apply(&mut self, now: Millis, update: &Update) -> bool {
        if !update.full && update.sequence != self.sequence + 1 {
            return false;
        }
        self.sequence = update.sequence;
        if update.full {
            self.clear();
        }
        for id in &update.backends_gone {
            self.remove_backend(id);
        }
        for backend in &update.backends {
            self.set_backend(now, backend);
        }
        for id in &update.replicas_gone {
            self.models.remove(id);
        }
        for (id, load) in &update.loads {
            let slot = self.slot_or_insert(id);
            self.servers[slot as usize].set_load(now, *load);
        }
        for replica in &update.replicas {
            let slot = self.slot_or_insert(&replica.id.engine);
            self.models.set(now, slot, replica);
        }
        true
    }

    /// Removes the content of earlier updates and keeps the router's own observations.
    fn clear(&mut self) {
        self.models = Models::default();
        self.services.clear();
        for server in &mut self.servers {
            server.remove();
        }
    }

    fn remove_backend(&mut self, id: &Name) {
        if let Some(slot) = self.slots.get(id).copied() {
            self.servers[slot as usize].remove();
            self.remove_from_services(slot);
        }
    }

    fn set_backend(&mut self, now: Millis, backend: &Backend) {
        let slot = self.slot_or_insert(&backend.id);
        self.remove_from_services(slot);
        if self.servers[slot as usize].apply_backend(now, backend) {
            self.prefixes.remove_server(slot);
        }
        if backend.kind == Kind::Service {
            for service in &backend.services {
                let list = self.services.entry(service.clone()).or_default();
                list.push(slot);
            }
        }
    }

    fn remove_from_services(&mut self, slot: Slot) {
        self.services.retain(|_, list| {
            list.retain(|s| *s != slot);
            !list.is_empty()
        });
    }

    /// Returns a server's slot, which is created if missing: an update may contain a replica or a
    /// load of a server that no update has described yet.
    fn slot_or_insert(&mut self, id: &Name) -> Slot {
        if let Some(slot) = self.slots.get(id) {
            return *slot;
        }
        let slot = Slot::try_from(self.servers.len()).expect("fewer than 2^32 servers");
        self.servers.push(Server::unknown(id.clone()));
        self.slots.insert(id.clone(), slot);
        slot
    }

    /// Applies a load report and its cache events. A report of an unknown server or another
    /// incarnation, or one that is not newer than the last, is ignored.
    pub fn apply_report(&mut self, now: Millis, report: &ServerReport) {
        let Some(slot) = self.slots.get(&report.id).copied() else {
            return;
        };
        let server = &mut self.servers[slot as usize];
        if !server.apply_report(now, report) {
            return;
        }
        for event in &report.cache {
            self.apply_cache_event(now, slot, event);
        }
    }

    fn apply_cache_event(&mut self, now: Millis, slot: Slot, event: &CacheEvent) {
        let server = &mut self.servers[slot as usize];
        if server.record_cache_event(event.sequence) {
            let gaps = server.gaps();
            self.prefixes
                .apply_event(now, slot, gaps, event.prefix, event.added);
        }
    }

    /// Records that an incarnation of a server takes no more work. Later updates that still show
    /// this incarnation as ready don't change that.
    pub fn mark_leaving(&mut self, server: &str, incarnation: u64) {
        if let Some(slot) = self.slots.get(server) {
            self.servers[*slot as usize].mark_leaving(incarnation);
        }
    }

    /// Records that a request was sent to a server, which is now expected to cache the prompt's
    /// prefix; `prefix` is 0 if unknown.
    pub fn attempt_started(&mut self, now: Millis, server: &str, prefix: u64) {
        let Some(slot) = self.slots.get(server).copied() else {
            return;
        };
        let server = &mut self.servers[slot as usize];
        server.attempt_started();
        if prefix != 0 {
            let gaps = server.gaps();
            self.prefixes.apply_event(now, slot, gaps, prefix, true);
        }
    }

    /// Records how an attempt at a server ended; `name` is the request's model or service.
    pub fn attempt_ended(&mut self, now: Millis, server: &str, name: &str, outcome: ServerOutcome) {
        let Some(slot) = self.slots.get(server).copied() else {
            return;
        };
        let server = &mut self.servers[slot as usize];
        server.attempt_ended(now, outcome);
        if let ServerOutcome::Answered { ms } = outcome {
            let ratio = self.models.record_service_time(name, ms);
            server.record_slowness(now, ratio);
        }
        if outcome == ServerOutcome::Denied {
            self.models.deny(name, slot, now + DENIAL_BACKOFF_MS);
        }
    }

    /// Servers described by updates and not removed since, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|s| s.is_known())
    }

    /// Whether some replica of a model, or server of a plain service, is eligible at any load. The
    /// requested adapter and the servers to avoid are ignored.
    pub fn is_available(&self, now: Millis, requirements: &Requirements) -> bool {
        let unlimited = Filter {
            load_limit: u32::MAX,
            router_share: u32::MAX,
            avoid: &[],
            version: requirements.version.as_ref(),
        };
        match requirements.kind {
            Kind::Service => self.services.get(&requirements.name).is_some_and(|list| {
                list.iter()
                    .any(|s| self.is_server_eligible(now, *s, &unlimited))
            }),
            Kind::Engine => self
                .models
                .entries(&requirements.name)
                .any(|e| self.is_replica_eligible(now, e, &unlimited)),
        }
    }

    /// Whether a plain service has a server in state [`State::Ready`], suspected or not.
    pub fn has_ready_server(&self, service: &str) -> bool {
        let ready = |slot: &Slot| self.servers[*slot as usize].state == State::Ready;
        self.services
            .get(service)
            .is_some_and(|list| list.iter().any(ready))
    }

    /// Whether some replica of a model has an adapter loaded.
    pub fn is_adapter_loaded(&self, model: &str, adapter: &str) -> bool {
        self.models
            .get(model)
            .is_some_and(|m| !m.replicas_with_adapter(adapter).is_empty())
    }

    /// Earliest time at which a loading replica of a model is expected to be ready; `None` if none
    /// is loading.
    pub fn expected_ready_at(&self, model: &str) -> Option<Millis> {
        self.models.expected_ready_at(model)
    }

    /// Selects a server for a request; `None` if no server is eligible.
    pub fn select(
        &self,
        now: Millis,
        requirements: &Requirements,
        rng: &mut impl Rng,
    ) -> Option<Selection> {
        let untried = Filter {
            load_limit: requirements.load_limit,
            router_share: requirements
                .load_limit
                .div_ceil(requirements.routers.max(1)),
            avoid: &requirements.avoid,
            version: requirements.version.as_ref(),
        };
        let selection = self.select_filtered(now, requirements, &untried, rng);
        if selection.is_some() || requirements.avoid.is_empty() {
            return selection;
        }
        self.select_filtered(
            now,
            requirements,
            &Filter {
                avoid: &[],
                ..untried
            },
            rng,
        )
    }

    fn select_filtered(
        &self,
        now: Millis,
        requirements: &Requirements,
        filter: &Filter<'_>,
        rng: &mut impl Rng,
    ) -> Option<Selection> {
        if requirements.kind == Kind::Service {
            let list = self.services.get(&requirements.name)?;
            let candidate = |i: usize| (list[i], self.is_server_eligible(now, list[i], filter));
            let slot = self.pick(now, list.len(), candidate, requirements.prefix, rng)?;
            return Some(self.selection(slot.1, "".into(), true));
        }
        let model = self.models.get(&requirements.name)?;
        if let Some(adapter) = &requirements.adapter {
            let places = model.replicas_with_adapter(adapter);
            let candidate = |i: usize| {
                let entry = model.entry(places[i]);
                (entry.slot, self.is_replica_eligible(now, entry, filter))
            };
            if let Some((i, slot)) =
                self.pick(now, places.len(), candidate, requirements.prefix, rng)
            {
                return Some(self.selection(slot, model.entry(places[i]).version.clone(), true));
            }
        }
        let entries = model.entries();
        let candidate = |i: usize| {
            (
                entries[i].slot,
                self.is_replica_eligible(now, &entries[i], filter),
            )
        };
        let (i, slot) = self.pick(now, entries.len(), candidate, requirements.prefix, rng)?;
        Some(self.selection(
            slot,
            entries[i].version.clone(),
            requirements.adapter.is_none(),
        ))
    }

    fn selection(&self, slot: Slot, version: Name, adapter_loaded: bool) -> Selection {
        let server = &self.servers[slot as usize];
        Selection {
            server: server.id.clone(),
            incarnation: server.incarnation,
            address: server.address.clone(),
            version,
            adapter_loaded,
        }
    }

    /// Compares eligible candidates from a random start and returns the index and slot of the best.
    ///
    /// `candidate` returns the slot of a candidate and whether it is eligible; `len` is the number
    /// of candidates.
    fn pick(
        &self,
        now: Millis,
        len: usize,
        candidate: impl Fn(usize) -> (Slot, bool),
        prefix: u64,
        rng: &mut impl Rng,
    ) -> Option<(usize, Slot)> {
        if len == 0 {
            return None;
        }
        let start = rng.random_range(0..len);
        let mut remaining = [MAX_COMPARED_PER_DISTANCE; 2];
        let mut best: Option<(f64, usize, Slot)> = None;
        for step in 0..len.min(MAX_SCANNED_CANDIDATES) {
            let place = (start + step) % len;
            let (slot, eligible) = candidate(place);
            if !eligible {
                continue;
            }
            let server = &self.servers[slot as usize];
            let remote = server.domain != self.domain;
            if remaining[usize::from(remote)] == 0 {
                continue;
            }
            remaining[usize::from(remote)] -= 1;
            let score = Table::score(now, server, remote);
            if best.is_none_or(|b| score < b.0) {
                best = Some((score, place, slot));
            }
            if remaining == [0, 0] {
                break;
            }
        }
        let (score, place, slot) = best?;
        let cached = self.pick_cached(now, len, &candidate, prefix, score);
        Some(cached.unwrap_or((place, slot)))
    }

    /// Returns an eligible candidate that likely has the prefix cached, unless its score exceeds
    /// `best` by [`CACHED_PREFIX_SLACK`] or more, scaled by the confidence in the hint.
    fn pick_cached(
        &self,
        now: Millis,
        len: usize,
        candidate: &impl Fn(usize) -> (Slot, bool),
        prefix: u64,
        best: f64,
    ) -> Option<(usize, Slot)> {
        let hints = self.prefixes.hints(prefix)?;
        (0..len.min(MAX_SCANNED_CANDIDATES)).find_map(|place| {
            let (slot, eligible) = candidate(place);
            let hint = hints.iter().find(|h| h.slot == slot)?;
            let server = &self.servers[slot as usize];
            let slack = CACHED_PREFIX_SLACK * hint.confidence(now, server.gaps());
            let remote = server.domain != self.domain;
            (eligible && Table::score(now, server, remote) < best + slack).then_some((place, slot))
        })
    }

    /// Load relative to the server's weight, plus the penalty for another failure domain; the lowest
    /// score is selected.
    fn score(now: Millis, server: &Server, remote: bool) -> f64 {
        let distance = if remote { REMOTE_DOMAIN_PENALTY } else { 0.0 };
        (server.load(now) + 1.0) / server.weight(now) + distance
    }

    fn is_replica_eligible(&self, now: Millis, entry: &ReplicaEntry, filter: &Filter<'_>) -> bool {
        entry.ready
            && entry.denied_until <= now
            && filter.version.is_none_or(|v| *v == entry.version)
            && self.is_server_eligible(now, entry.slot, filter)
            && (!entry.is_new(now, self.servers[entry.slot as usize].reported_at())
                || self.servers[entry.slot as usize].is_below_share(filter.router_share))
    }

    /// Whether a server can get a request now.
    fn is_server_eligible(&self, now: Millis, slot: Slot, filter: &Filter<'_>) -> bool {
        let server = &self.servers[slot as usize];
        server.state == State::Ready
            && server.is_known()
            && !server.is_suspected(now)
            && server.has_capacity(now, filter.load_limit, filter.router_share)
            && !filter.avoid.contains(&server.id)
    }
}

/// Conditions that a candidate must meet to be eligible.
struct Filter<'a> {
    load_limit: u32,
    /// Requests that this router may have in flight at one server at any load.
    router_share: u32,
    avoid: &'a [Name],
    version: Option<&'a Name>,
}
