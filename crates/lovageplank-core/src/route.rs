//! Chooses the replica that serves a request.
//!
//! ```
//! use lovageplank_core::route::{Table, Want};
//! use rand::{SeedableRng, rngs::SmallRng};
//! let table = Table::new("salt");
//! let mut rng = SmallRng::seed_from_u64(1);
//! assert_eq!(table.choose(0, &Want::model("lime"), &mut rng), None);
//! ```
//!
//! A [`Table`] is folded from the same [`Update`]s as the [`View`](crate::view::View), and from
//! what the router itself sees: its own dispatches, their outcomes, load reports and
//! prefix-cache events. A choice takes the replicas that hold the wanted adapter, else those
//! that hold its base model; among these the one that likely has the prompt's prefix cached, if
//! it isn't much busier; else the better of a few random ones. Random choice among few keeps
//! routers with the same late reports from all turning to the same replica.
//!
//! Limits: the load of a server is an estimate (its last report, aged, and the router's own
//! dispatches since), and cache events are hints that come late and with gaps.

mod models;
mod prefix;
mod rendezvous;
mod server;

pub use prefix::hash as prefix_hash;
pub use rendezvous::{HOME, rank};
pub use server::{Ending, Server};

use crate::backend::{CacheEvent, Kind, Report, State};
use crate::prelude::*;
use crate::view::{Backend, Update};
use models::{Entry, Models};
use prefix::Prefixes;
use rand::Rng;
use std::collections::HashMap;

/// Place of a server in the table.
type Slot = u32;

/// Places of the candidate list that one choice looks at.
const PROBES: usize = 64;
/// Eligible candidates of each kind, near and far, that one choice compares.
const CHOICES: usize = 2;
/// Load by which a server of another failure domain must be less busy to be preferred.
const DOMAIN_SLACK: f64 = 2.0;
/// Load by which a server with the prefix cached may be busier and still be preferred.
const PREFIX_SLACK: f64 = 4.0;
/// Milliseconds for which a replica that denied having its model is passed over.
const DENIED_MS: u64 = 300;

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Want {
    /// The model, or the service when `kind` is a plain service.
    pub name: Name,
    /// What must stand behind it.
    pub kind: Kind,
    /// The adapter, if any.
    pub adapter: Option<Name>,
    /// The version, if the caller insists on one.
    pub version: Option<Name>,
    /// Hash of the prompt's prefix; 0 when unknown.
    pub prefix: u64,
    /// Servers that were tried before; they are passed over while others are left.
    pub avoid: Vec<Name>,
    /// Load at which a server takes no more.
    pub load_limit: u32,
    /// Routers that send requests of the model. Each may have its share of the limit at a server
    /// whatever the server's load, and no more while nothing is known of a new replica's load.
    pub sharers: u32,
}

impl Want {
    /// Wants a replica of a model.
    pub fn model(name: impl Into<Name>) -> Want {
        Want {
            name: name.into(),
            kind: Kind::Engine,
            adapter: None,
            version: None,
            prefix: 0,
            avoid: Vec::new(),
            load_limit: u32::MAX,
            sharers: 1,
        }
    }

    /// Wants a server of a plain service.
    pub fn service(name: impl Into<Name>) -> Want {
        Want {
            kind: Kind::Service,
            ..Want::model(name)
        }
    }

    /// Sets the adapter.
    #[must_use]
    pub fn adapter(mut self, adapter: Option<Name>) -> Want {
        self.adapter = adapter;
        self
    }

    /// Sets the version.
    #[must_use]
    pub fn version(mut self, version: Option<Name>) -> Want {
        self.version = version;
        self
    }

    /// Sets the hash of the prompt's prefix.
    #[must_use]
    pub fn prefix(mut self, prefix: u64) -> Want {
        self.prefix = prefix;
        self
    }

    /// Sets the servers to pass over.
    #[must_use]
    pub fn avoid(mut self, servers: Vec<Name>) -> Want {
        self.avoid = servers;
        self
    }

    /// Sets the load at which a server takes no more.
    #[must_use]
    pub fn load_limit(mut self, limit: u32) -> Want {
        self.load_limit = limit;
        self
    }

    /// Sets the number of routers that send requests of the model.
    #[must_use]
    pub fn sharers(mut self, routers: u32) -> Want {
        self.sharers = routers;
        self
    }
}

/// A server that a request may be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The server's name.
    pub server: Name,
    /// The server's incarnation.
    pub incarnation: u64,
    /// `ip:port`.
    pub address: Name,
    /// Version of the chosen replica; empty for a plain service.
    pub version: Name,
    /// Whether the replica holds the wanted adapter; true when none is wanted.
    pub holds_adapter: bool,
}

/// Servers and replicas, in the form that choices need.
///
/// Invariant: every slot in `models` and `services` is a valid place in `servers`.
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
    /// Creates an empty table for a router of a failure domain.
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

    /// Folds in an update; returns false, changing nothing, when an update before it is missing.
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
            let slot = self.slot(id);
            self.servers[slot as usize].set_load(now, *load);
        }
        for replica in &update.replicas {
            let slot = self.slot(&replica.id.engine);
            self.models.set(now, slot, replica);
        }
        true
    }

    /// Forgets what updates told and keeps what the router saw itself.
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
            self.leave_services(slot);
        }
    }

    fn set_backend(&mut self, now: Millis, backend: &Backend) {
        let slot = self.slot(&backend.id);
        self.leave_services(slot);
        if self.servers[slot as usize].set(now, backend) {
            self.prefixes.forget(slot);
        }
        if backend.kind == Kind::Service {
            for service in &backend.services {
                let list = self.services.entry(service.clone()).or_default();
                list.push(slot);
            }
        }
    }

    fn leave_services(&mut self, slot: Slot) {
        self.services.retain(|_, list| {
            list.retain(|s| *s != slot);
            !list.is_empty()
        });
    }

    /// The slot of a server, which is made if need be: a replica may be told before its server.
    fn slot(&mut self, id: &Name) -> Slot {
        if let Some(slot) = self.slots.get(id) {
            return *slot;
        }
        let slot = Slot::try_from(self.servers.len()).expect("fewer than 2^32 servers");
        self.servers.push(Server::unknown(id.clone()));
        self.slots.insert(id.clone(), slot);
        slot
    }

    /// Notes a load report; one that is older than the last is ignored.
    pub fn report(&mut self, now: Millis, report: &Report) {
        let Some(slot) = self.slots.get(&report.id).copied() else {
            return;
        };
        let server = &mut self.servers[slot as usize];
        if !server.report(now, report) {
            return;
        }
        for event in &report.cache {
            self.cache_event(now, slot, event);
        }
    }

    fn cache_event(&mut self, now: Millis, slot: Slot, event: &CacheEvent) {
        let server = &mut self.servers[slot as usize];
        if server.cache_event(event.sequence) {
            let gaps = server.gaps();
            self.prefixes
                .event(now, slot, gaps, event.prefix, event.added);
        }
    }

    /// Notes that an incarnation of a server takes no more work, whatever updates still tell.
    pub fn leaving(&mut self, server: &str, incarnation: u64) {
        if let Some(slot) = self.slots.get(server) {
            self.servers[*slot as usize].leave(incarnation);
        }
    }

    /// Notes that a request was sent to a server.
    pub fn started(&mut self, now: Millis, server: &str, prefix: u64) {
        let Some(slot) = self.slots.get(server).copied() else {
            return;
        };
        let server = &mut self.servers[slot as usize];
        server.started();
        if prefix != 0 {
            let gaps = server.gaps();
            self.prefixes.event(now, slot, gaps, prefix, true);
        }
    }

    /// Notes how a request that was sent to a server ended; `name` is its model or service.
    pub fn ended(&mut self, now: Millis, server: &str, name: &str, ending: Ending) {
        let Some(slot) = self.slots.get(server).copied() else {
            return;
        };
        let server = &mut self.servers[slot as usize];
        server.ended(now, ending);
        if let Ending::Answered { ms } = ending {
            let ratio = self.models.observe(name, ms);
            server.observe(now, ratio);
        }
        if ending == Ending::Denied {
            self.models.deny(name, slot, now + DENIED_MS);
        }
    }

    /// The servers as last known, in no order.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|s| s.known())
    }

    /// Whether some replica of a model, or server of a plain service, takes work now.
    pub fn ready(&self, now: Millis, want: &Want) -> bool {
        let unlimited = Filter {
            load_limit: u32::MAX,
            own: u32::MAX,
            avoid: &[],
            version: want.version.as_ref(),
        };
        match want.kind {
            Kind::Service => self
                .services
                .get(&want.name)
                .is_some_and(|list| list.iter().any(|s| self.takes(now, *s, &unlimited))),
            Kind::Engine => self
                .models
                .entries(&want.name)
                .any(|e| self.eligible(now, e, &unlimited)),
        }
    }

    /// Whether updates named a server of a plain service that takes work, suspected or not.
    pub fn serves(&self, service: &str) -> bool {
        let ready = |slot: &Slot| self.servers[*slot as usize].state == State::Ready;
        self.services
            .get(service)
            .is_some_and(|list| list.iter().any(ready))
    }

    /// Whether some replica of a model holds an adapter.
    pub fn holds(&self, model: &str, adapter: &str) -> bool {
        self.models
            .get(model)
            .is_some_and(|m| !m.holders(adapter).is_empty())
    }

    /// When the first replica of a model that loads is expected to be ready.
    pub fn loading_until(&self, model: &str) -> Option<Millis> {
        self.models.loading_until(model)
    }

    /// Chooses a server for a request, or none when no server has room.
    pub fn choose(&self, now: Millis, want: &Want, rng: &mut impl Rng) -> Option<Choice> {
        let untried = Filter {
            load_limit: want.load_limit,
            own: want.load_limit.div_ceil(want.sharers.max(1)),
            avoid: &want.avoid,
            version: want.version.as_ref(),
        };
        let choice = self.choose_with(now, want, &untried, rng);
        if choice.is_some() || want.avoid.is_empty() {
            return choice;
        }
        self.choose_with(
            now,
            want,
            &Filter {
                avoid: &[],
                ..untried
            },
            rng,
        )
    }

    fn choose_with(
        &self,
        now: Millis,
        want: &Want,
        filter: &Filter<'_>,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        if want.kind == Kind::Service {
            let list = self.services.get(&want.name)?;
            let at = |i: usize| (list[i], self.takes(now, list[i], filter));
            let slot = self.pick(now, list.len(), at, want.prefix, rng)?;
            return Some(self.choice(slot.1, "".into(), true));
        }
        let model = self.models.get(&want.name)?;
        if let Some(adapter) = &want.adapter {
            let held = model.holders(adapter);
            let at = |i: usize| {
                let entry = model.entry(held[i]);
                (entry.slot, self.eligible(now, entry, filter))
            };
            if let Some((i, slot)) = self.pick(now, held.len(), at, want.prefix, rng) {
                return Some(self.choice(slot, model.entry(held[i]).version.clone(), true));
            }
        }
        let entries = model.entries();
        let at = |i: usize| (entries[i].slot, self.eligible(now, &entries[i], filter));
        let (i, slot) = self.pick(now, entries.len(), at, want.prefix, rng)?;
        Some(self.choice(slot, entries[i].version.clone(), want.adapter.is_none()))
    }

    fn choice(&self, slot: Slot, version: Name, holds_adapter: bool) -> Choice {
        let server = &self.servers[slot as usize];
        Choice {
            server: server.id.clone(),
            incarnation: server.incarnation,
            address: server.address.clone(),
            version,
            holds_adapter,
        }
    }

    /// Compares a few random candidates; returns the place and slot of the best.
    fn pick(
        &self,
        now: Millis,
        len: usize,
        at: impl Fn(usize) -> (Slot, bool),
        prefix: u64,
        rng: &mut impl Rng,
    ) -> Option<(usize, Slot)> {
        if len == 0 {
            return None;
        }
        let start = rng.random_range(0..len);
        let mut left = [CHOICES; 2];
        let mut best: Option<(f64, usize, Slot)> = None;
        for step in 0..len.min(PROBES) {
            let place = (start + step) % len;
            let (slot, eligible) = at(place);
            if !eligible {
                continue;
            }
            let server = &self.servers[slot as usize];
            let far = server.domain != self.domain;
            if left[usize::from(far)] == 0 {
                continue;
            }
            left[usize::from(far)] -= 1;
            let score = Table::score(now, server, far);
            if best.is_none_or(|b| score < b.0) {
                best = Some((score, place, slot));
            }
            if left == [0, 0] {
                break;
            }
        }
        let (score, place, slot) = best?;
        let cached = self.pick_cached(now, len, &at, prefix, score);
        Some(cached.unwrap_or((place, slot)))
    }

    /// The candidate that likely has the prefix cached, unless it is much busier than the best.
    fn pick_cached(
        &self,
        now: Millis,
        len: usize,
        at: &impl Fn(usize) -> (Slot, bool),
        prefix: u64,
        best: f64,
    ) -> Option<(usize, Slot)> {
        let holders = self.prefixes.holders(prefix)?;
        (0..len.min(PROBES)).find_map(|place| {
            let (slot, eligible) = at(place);
            let holder = holders.iter().find(|h| h.slot == slot)?;
            let server = &self.servers[slot as usize];
            let slack = PREFIX_SLACK * holder.confidence(now, server.gaps());
            let far = server.domain != self.domain;
            (eligible && Table::score(now, server, far) < best + slack).then_some((place, slot))
        })
    }

    /// Lower is better.
    fn score(now: Millis, server: &Server, far: bool) -> f64 {
        let distance = if far { DOMAIN_SLACK } else { 0.0 };
        (server.load(now) + 1.0) / server.weight(now) + distance
    }

    fn eligible(&self, now: Millis, entry: &Entry, filter: &Filter<'_>) -> bool {
        entry.ready
            && entry.denied_until <= now
            && filter.version.is_none_or(|v| *v == entry.version)
            && self.takes(now, entry.slot, filter)
            && (!entry.is_fresh(now, self.servers[entry.slot as usize].reported_at())
                || self.servers[entry.slot as usize].has_own_room(filter.own))
    }

    /// Whether a server takes a request now.
    fn takes(&self, now: Millis, slot: Slot, filter: &Filter<'_>) -> bool {
        let server = &self.servers[slot as usize];
        server.state == State::Ready
            && server.known()
            && !server.suspected(now)
            && server.has_room(now, filter.load_limit, filter.own)
            && !filter.avoid.contains(&server.id)
    }
}

/// What makes a candidate eligible.
struct Filter<'a> {
    load_limit: u32,
    /// Requests that this router may always have at one server.
    own: u32,
    avoid: &'a [Name],
    version: Option<&'a Name>,
}
