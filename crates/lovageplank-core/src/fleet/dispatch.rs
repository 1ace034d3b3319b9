//! Whether a request is sent to a server now, waits for a model, or is refused.
//!
//! One [`Dispatcher`] stands in each entry instance. It knows the servers by their announcements
//! and the leader's word on what engines hold, counts the requests that it has sent itself, and
//! learns from the leader how many the other instances have sent.

mod load;

pub use load::Load;

use super::allowance::{Allowance, Bound};
use super::choice::{self, Candidate, Health};
use super::deployment::{Deployment, Engine, Service};
use super::message::{Holding, Wanted};
use super::registry::{Change, Registry, Server};
use crate::prelude::*;

/// Times its slots that a plain server may have requests before it counts as full.
const PLAIN_FULL: f64 = 3.0;
/// Times its slots that an engine may have requests before it counts as full.
const ENGINE_FULL: f64 = 1.6;
/// Milliseconds for which a server that refused a model isn't asked for it again.
const DENIED_MS: Millis = 80;
/// Milliseconds after which a caller may come back to servers that were full.
const FULL_AGAIN_MS: u64 = 250;
/// Milliseconds between the end of a load and the first token of a waiting request.
const AFTER_LOAD_MS: u64 = 150;
/// Milliseconds that ordering a load and making room for it take.
const BEFORE_LOAD_MS: u64 = 300;
/// Milliseconds that an adapter of a model that is held takes to come.
const ADAPTER_MS: u64 = 60;
/// Milliseconds before a caller's deadline at which a request that waits is given up.
pub const RESERVE_MS: u64 = 60;
/// Announcements that a server may miss before it is avoided.
const MISSED: u64 = 4;

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The service that its route chose.
    pub service: Name,
    /// The model, where the service's servers are engines.
    pub model: Option<Name>,
    /// The adapter of the model.
    pub adapter: Option<Name>,
    /// Identity of the part of its prompt that other requests share.
    pub prefix: Option<u64>,
    /// When its caller gives up if no answer has begun.
    pub start_by: Millis,
}

/// A server that gets a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server.
    pub id: Name,
    /// Where it listens.
    pub address: Name,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No server of the service is known.
    NoServer,
    /// All servers have as many requests as they can run soon.
    Full,
    /// The model can't be there before the deadline.
    Cold,
}

/// What becomes of a request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent.
    Send(Target),
    /// It waits for the next change, at most until its deadline.
    Wait,
    /// It is refused; it has not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// Milliseconds after which it is worth coming back.
        again_ms: u64,
    },
}

/// Decides for one entry instance; see the module's text.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    domain: Name,
    bound: Bound,
    heartbeat_ms: u64,
    registry: Registry,
    /// The newest leader's word on each engine, with the leader's term.
    holdings: BTreeMap<Name, (u64, Holding)>,
    health: BTreeMap<Name, Health>,
    /// Until when a server isn't asked for a model or adapter that it refused.
    denied: BTreeMap<(Name, Option<Name>, Option<Name>), Millis>,
    allowances: BTreeMap<Name, Allowance>,
    load: Load,
    /// Milliseconds that a load from the store has to wait, as the leader said last.
    store_wait_ms: u64,
    /// When the newest announcement of any server came.
    heard_at: Millis,
    random: u64,
}

impl Dispatcher {
    /// A dispatcher that knows no server.
    pub fn new(domain: Name, bound: Bound, heartbeat_ms: u64, seed: u64) -> Dispatcher {
        Dispatcher {
            domain,
            bound,
            heartbeat_ms,
            registry: Registry::default(),
            holdings: BTreeMap::new(),
            health: BTreeMap::new(),
            denied: BTreeMap::new(),
            allowances: BTreeMap::new(),
            load: Load::default(),
            store_wait_ms: 0,
            heard_at: 0,
            random: seed,
        }
    }

    /// A server announced itself.
    pub fn observe(&mut self, now: Millis, said: super::registry::Announcement) -> Change {
        let id = said.id.clone();
        let change = self.registry.observe(now, said);
        if change != Change::Ignored {
            self.heard_at = now;
        }
        if change == Change::New {
            self.health.remove(&id);
            self.holdings.remove(&id);
        }
        change
    }

    /// Servers, with their incarnations, have announced themselves lately.
    pub fn live(&mut self, now: Millis, servers: &[(Name, u64)]) {
        for (id, born_ms) in servers {
            if self.registry.lives(now, id, *born_ms) {
                self.heard_at = now;
            }
        }
    }

    /// A server has left.
    pub fn left(&mut self, now: Millis, id: &str, born_ms: Option<u64>) -> Change {
        self.registry.leave(now, id, born_ms)
    }

    /// The leader of `term` says what engines hold; whether that withdraws something, so that the
    /// leader waits to hear what still uses it.
    pub fn held(&mut self, term: u64, holdings: Vec<Holding>) -> bool {
        let mut withdraws = false;
        for holding in holdings {
            let known = self.holdings.get(&holding.server);
            if known.is_some_and(|(t, h)| *t > term || h.born_ms > holding.born_ms) {
                continue;
            }
            withdraws |= known.is_none_or(|(_, before)| !before.is_within(&holding));
            self.holdings
                .insert(holding.server.clone(), (term, holding));
        }
        withdraws
    }

    /// The leader says what all instances have at each server, and how long the store is taken.
    pub fn totals(&mut self, requests: Vec<(Name, u32)>, store_wait_ms: u64) {
        self.load.totals(requests);
        self.store_wait_ms = store_wait_ms;
    }

    /// Requests that run or wait here, for the leader, and what other instances have.
    pub fn load(&mut self) -> &mut Load {
        &mut self.load
    }

    /// All known servers.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Decides about a request; `tried` are the servers that it was sent to already.
    pub fn place(
        &mut self,
        now: Millis,
        deployment: &Deployment,
        ask: &Ask,
        tried: &[Name],
    ) -> Verdict {
        let Some(service) = deployment.services.get(&ask.service) else {
            return Verdict::Refuse {
                reason: Reason::NoServer,
                again_ms: FULL_AGAIN_MS,
            };
        };
        let able = self.able(now, ask, tried);
        if able.is_empty() {
            return self.without_server(now, service, ask, tried);
        }
        let full = if service.engine.is_some() {
            ENGINE_FULL
        } else {
            PLAIN_FULL
        };
        let candidates: Vec<Candidate> = able
            .iter()
            .map(|server| self.candidate(now, ask, server, &able))
            .collect();
        let has_room = |c: &Candidate| f64::from(c.load) < f64::from(c.slots.max(1)) * full;
        let open: Vec<Candidate> = candidates.into_iter().filter(has_room).collect();
        let mut random = self.random;
        let target = choice::choose(&open, || next(&mut random)).map(|c| c.id.clone());
        self.random = random;
        match target.and_then(|id| self.registry.get(&id)) {
            Some(server) => Verdict::Send(Target {
                id: server.said.id.clone(),
                address: server.said.address.clone(),
            }),
            None => Verdict::Refuse {
                reason: Reason::Full,
                again_ms: FULL_AGAIN_MS,
            },
        }
    }

    /// Counts the first send of a request to a service.
    pub fn count(&mut self, now: Millis, service: &Name) {
        self.allowance(service).count(now);
    }

    /// Whether a request may be sent once more, as one of `instances`; counts it if so.
    pub fn may_repeat(&mut self, now: Millis, service: &Name, instances: usize) -> bool {
        self.allowance(service).take(now, instances)
    }

    /// A server answered.
    pub fn succeeded(&mut self, id: &Name) {
        self.health.entry(id.clone()).or_default().succeeded();
    }

    /// A server failed in a way that speaks against it.
    pub fn failed(&mut self, now: Millis, id: &Name) {
        self.health.entry(id.clone()).or_default().failed(now);
    }

    /// A server refused a request for a model or adapter.
    pub fn denied(&mut self, now: Millis, id: &Name, ask: &Ask) {
        self.denied.retain(|_, until| now < *until);
        let key = (id.clone(), ask.model.clone(), ask.adapter.clone());
        self.denied.insert(key, now + DENIED_MS);
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Millis) {
        self.registry.expire(now, 2 * MISSED * self.heartbeat_ms);
        self.denied.retain(|_, until| now < *until);
        let registry = &self.registry;
        self.holdings.retain(|id, _| registry.get(id).is_some());
        self.health.retain(|id, _| registry.get(id).is_some());
    }

    fn allowance(&mut self, service: &Name) -> &mut Allowance {
        let bound = &self.bound;
        self.allowances
            .entry(service.clone())
            .or_insert_with(|| Allowance::new(bound.clone()))
    }

    /// Servers that could run the request now.
    fn able(&self, now: Millis, ask: &Ask, tried: &[Name]) -> Vec<&Server> {
        let ready = self.registry.ready(&ask.service);
        ready
            .filter(|s| !tried.contains(&s.said.id))
            .filter(|s| self.can_run(now, ask, s))
            .collect()
    }

    fn can_run(&self, now: Millis, ask: &Ask, server: &Server) -> bool {
        let Some(model) = &ask.model else {
            return true;
        };
        let key = (
            server.said.id.clone(),
            ask.model.clone(),
            ask.adapter.clone(),
        );
        if self.denied.get(&key).is_some_and(|until| now < *until) {
            return false;
        }
        let adapter = ask.adapter.as_deref();
        match self.holding(server) {
            Some(holding) => choice::holds(&holding.held, model, adapter),
            None => choice::holds(&server.said.held, model, adapter),
        }
    }

    /// The leader's word on a server's incarnation.
    fn holding(&self, server: &Server) -> Option<&Holding> {
        let (_, holding) = self.holdings.get(&server.said.id)?;
        (holding.born_ms == server.said.born_ms).then_some(holding)
    }

    fn candidate<'a>(
        &self,
        now: Millis,
        ask: &Ask,
        server: &'a Server,
        able: &[&Server],
    ) -> Candidate<'a> {
        let id = &server.said.id;
        let failed = self.health.get(id).is_some_and(|h| h.avoided(now));
        let silent = server.heard_at + MISSED * self.heartbeat_ms < self.heard_at;
        Candidate {
            id,
            slots: server.said.slots,
            load: self.load.at(id),
            near: server.said.domain == self.domain,
            prefix: ask.prefix.is_some_and(|p| keeper(p, able) == Some(id)),
            avoided: failed || silent,
        }
    }

    /// No server can run the request now: it waits if it is worth it.
    fn without_server(&self, now: Millis, service: &Service, ask: &Ask, tried: &[Name]) -> Verdict {
        let known = self.registry.ready(&ask.service);
        let known: Vec<&Server> = known.filter(|s| !tried.contains(&s.said.id)).collect();
        let left = ask.start_by.saturating_sub(now + RESERVE_MS);
        let (Some(model), Some(engine)) = (&ask.model, &service.engine) else {
            return Verdict::Refuse {
                reason: Reason::NoServer,
                again_ms: FULL_AGAIN_MS,
            };
        };
        if !engine.models.contains_key(model) || known.is_empty() {
            return Verdict::Refuse {
                reason: Reason::NoServer,
                again_ms: FULL_AGAIN_MS,
            };
        }
        let comes_ms = self.comes_ms(engine, model, &known);
        if comes_ms < left {
            return Verdict::Wait;
        }
        Verdict::Refuse {
            reason: Reason::Cold,
            again_ms: comes_ms,
        }
    }

    /// Milliseconds until an engine will hold the model.
    fn comes_ms(&self, engine: &Engine, model: &Name, known: &[&Server]) -> u64 {
        let spec = &engine.models[model];
        let ways = known.iter().map(|server| {
            let copies = &server.said.copies;
            let holding = self.holding(server);
            let held = holding.map_or(&server.said.held, |h| &h.held);
            let coming = holding.and_then(|h| h.coming.iter().find(|(m, _)| m == model));
            if choice::holds(held, model, None) {
                // An engine takes no other command while it loads a model.
                let busy = holding.and_then(|h| h.coming.first());
                ADAPTER_MS + busy.map_or(0, |(_, left)| *left)
            } else if let Some((_, left)) = coming {
                left + AFTER_LOAD_MS
            } else if copies.memory.contains(model) {
                BEFORE_LOAD_MS + spec.memory_ms + AFTER_LOAD_MS
            } else if copies.disk.contains(model) {
                BEFORE_LOAD_MS + spec.disk_ms + AFTER_LOAD_MS
            } else {
                self.store_wait_ms + BEFORE_LOAD_MS + spec.store_ms + AFTER_LOAD_MS
            }
        });
        ways.min().unwrap_or(u64::MAX)
    }
}

/// What a request waits for.
impl From<&Ask> for Option<Wanted> {
    fn from(ask: &Ask) -> Option<Wanted> {
        Some(Wanted {
            service: ask.service.clone(),
            model: ask.model.clone()?,
            adapter: ask.adapter.clone(),
        })
    }
}

/// The server that keeps a prefix: the same at all entry instances, as long as they know the same
/// servers (rendezvous hashing).
fn keeper<'a>(prefix: u64, able: &[&'a Server]) -> Option<&'a Name> {
    let score = |server: &&&Server| {
        let bytes = server.said.id.bytes();
        let mut hash = bytes.fold(prefix ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        next(&mut hash)
    };
    able.iter().max_by_key(score).map(|s| &s.said.id)
}

/// The next number of a `SplitMix64` generator.
fn next(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
