//! Decides whether a request is sent to a server now, waits for a model, or is refused.
//!
//! Each router has one [`Dispatcher`]. It records the announcements of servers and counts the
//! requests that the router has sent. From the leader it receives which models each engine has
//! loaded, and how many requests the other routers have sent.

mod admission;
mod load;
mod model_wait;
mod permits;
mod places;
mod speed;
mod standing;

pub use super::admission::Turn;
pub use super::request::{RequestSpec, Software};
pub use load::LoadTracker;
pub use standing::Bar;

use super::admission::Admission;
use super::brittle::Brittleness;
use super::deployment::{Deployment, Service};
use super::message::{EngineModels, Message};
use super::origin::Streams;
use super::pause::{self, Pauses};
use super::permit;
use super::place::Places;
use super::reach::{self, Reach};
use super::registry::{Announcement, Change, LoadedModel, Registry, Server, Stage};
use super::retry_budget::{RetryBudget, RetryLimit};
use super::selection::{self, Candidate, Health};
use super::server_limit::Limits;
use super::speed::Table;
use crate::prelude::*;

/// Requests per slot at which a server that is not an engine counts as full and is sent no more.
const PLAIN_FULL_RATIO: f64 = 3.0;
/// Requests per slot at which an engine counts as full and is sent no more.
const ENGINE_FULL_RATIO: f64 = 1.6;
/// Brittle servers that are considered at once for a request.
const BRITTLE_PICKS_MAX: usize = 8;
/// Milliseconds for which a server that refused a model or adapter is sent no more requests for it.
const REFUSED_MODEL_BACKOFF_MS: Millis = 80;
/// Milliseconds after which a caller may retry when all servers were full or none was there.
const RETRY_AFTER_MS: u64 = 250;
/// Milliseconds before a caller's deadline at which a waiting request is given up.
pub const DEADLINE_RESERVE_MS: u64 = 60;
/// Milliseconds for which the leader's expectations count. It reports them twice a second or more.
const EXPECTED_LOADS_TTL_MS: Millis = 1_200;
/// Number of heartbeat intervals for which a server may be silent. It is avoided if its last
/// contact is more than this many intervals older than the newest contact with any server. It may
/// be removed if its last contact was at least twice as many intervals ago.
const MAX_MISSED_ANNOUNCEMENTS: u64 = 4;

/// The server that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the server.
    pub id: Name,
    /// Address that it listens on.
    pub address: Name,
    /// Version of its software, as it has announced.
    pub software: Name,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service is unknown, doesn't have the model, or has no ready server left to try.
    NoServer,
    /// No server that could run it may be sent another request: each one has as many requests as
    /// the limit per slot allows.
    Full,
    /// The servers that could run it have named a limit, and it isn't their time for another request.
    Limited,
    /// The servers that could run it have asked this router for a pause.
    Paused,
    /// The model or adapter can't be loaded before the deadline.
    LoadTooSlow,
    /// It continues a stream, and no server of the version that began the stream is left.
    VersionGone,
}

/// What is done with a request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent to this server.
    Send(Target),
    /// It is sent to the first of these brittle servers at which the leader gives it a [place](super::place).
    Reserve {
        /// The servers, the best one first.
        servers: Vec<Target>,
        /// A server that isn't brittle, to which it is sent if it gets no place.
        other: Option<Target>,
    },
    /// It waits, at most until [`DEADLINE_RESERVE_MS`] before [`RequestSpec::start_by`]. The
    /// decision is made again when the servers or their loaded models change.
    Wait,
    /// It is refused instead of being sent.
    Refuse {
        /// Why the request is refused.
        reason: RefusalReason,
        /// Milliseconds after which the caller should retry.
        retry_after_ms: u64,
    },
}

/// Decides about the requests of one router.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    domain: Name,
    retry_limit: RetryLimit,
    heartbeat_ms: u64,
    registry: Registry,
    /// What the newest leader reported of each engine, with the term of that leader.
    loaded_models: BTreeMap<Name, (u64, EngineModels)>,
    health: BTreeMap<Name, Health>,
    /// Until when a server is sent no request for a model or adapter that it refused.
    refused_until: BTreeMap<(Name, Option<Name>, Option<Name>), Millis>,
    retry_budgets: BTreeMap<Name, RetryBudget>,
    load_tracker: LoadTracker,
    streams: Streams,
    /// What the control processes are to be told of servers that have said that they leave.
    unreported_leaving: Vec<Message>,
    /// What is known of this router's paths to servers, by service.
    reach: BTreeMap<Name, Reach>,
    server_limits: Limits,
    brittleness: Brittleness,
    places: Places,
    pauses: Pauses,
    speeds: Table,
    /// Addresses to which the router has idle connections that may be reused.
    idle_connections: BTreeSet<Name>,
    admission: Admission,
    /// Milliseconds until the next load from the weight store may begin, as the leader last
    /// reported.
    store_wait_ms: u64,
    /// When models that requests wait for are expected to be loaded, as the leader last reported,
    /// and until when that counts.
    expected_loads: BTreeMap<Name, Millis>,
    expected_loads_until: Millis,
    /// When an announcement or a confirmation of liveness was last recorded, of any server.
    newest_contact_at: Millis,
    /// State of the random number generator.
    random: u64,
}

impl Dispatcher {
    /// Returns a dispatcher that knows no server. `heartbeat_ms` is the time between two
    /// announcements of a server; `seed` seeds the random number generator.
    pub fn new(domain: Name, retry_limit: RetryLimit, heartbeat_ms: u64, seed: u64) -> Dispatcher {
        Dispatcher {
            domain,
            retry_limit,
            heartbeat_ms,
            registry: Registry::default(),
            loaded_models: BTreeMap::new(),
            health: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            load_tracker: LoadTracker::default(),
            streams: Streams::default(),
            unreported_leaving: Vec::new(),
            reach: BTreeMap::new(),
            server_limits: Limits::default(),
            brittleness: Brittleness::default(),
            places: Places::default(),
            pauses: Pauses::default(),
            speeds: Table::default(),
            idle_connections: BTreeSet::new(),
            admission: Admission::default(),
            store_wait_ms: 0,
            expected_loads: BTreeMap::new(),
            expected_loads_until: 0,
            newest_contact_at: 0,
            random: seed,
        }
    }

    /// Records the announcement of a server.
    pub fn observe(&mut self, now: Millis, announcement: Announcement) -> Change {
        let id = announcement.id.clone();
        let change = self.registry.observe(now, announcement);
        if change != Change::Ignored {
            self.newest_contact_at = now;
        }
        if change == Change::New {
            self.health.remove(&id);
            self.server_limits.remove(&id);
            self.loaded_models.remove(&id);
        }
        change
    }

    /// Records that servers, given with their incarnations, announced themselves recently.
    pub fn renew_liveness(&mut self, now: Millis, servers: &[(Name, u64)]) {
        for (id, incarnation) in servers {
            if self.registry.renew_liveness(now, id, *incarnation) {
                self.newest_contact_at = now;
            }
        }
    }

    /// Records that a server has left: the incarnation and the number of its newest announcement, if they are known.
    pub fn mark_gone(
        &mut self,
        now: Millis,
        id: &str,
        incarnation: Option<u64>,
        number: Option<u64>,
    ) -> Change {
        match self.registry.departure(id, incarnation, number) {
            Some(departure) => self.registry.mark_departed(now, id, departure),
            None => Change::Ignored,
        }
    }

    /// Records that an incarnation of a server has said in an answer that it leaves. Returns whether that is
    /// news.
    pub fn leaves(&mut self, now: Millis, id: &Name, incarnation: u64) -> bool {
        let is_new = self.registry.mark_leaving(now, id, incarnation) != Change::Ignored;
        if is_new {
            self.unreported_leaving.push(leaving(id, incarnation));
        }
        is_new
    }

    /// Records what engines have loaded according to the leader of `term`; reports of earlier terms
    /// and incarnations are ignored.
    ///
    /// Returns whether a load report must be sent soon. This is so if an engine is new, has
    /// restarted, or no longer has everything that it had: the leader may have withdrawn a model or
    /// adapter, and this router may have to stop sending requests for it. The leader unloads a
    /// model only after the routers have reported the requests that still use it.
    pub fn update_loaded_models(&mut self, term: u64, loaded_models: Vec<EngineModels>) -> bool {
        let mut withdrawn = false;
        for engine_models in loaded_models {
            let known = self.loaded_models.get(&engine_models.server);
            if known.is_some_and(|(known_term, models)| {
                *known_term > term || models.incarnation > engine_models.incarnation
            }) {
                continue;
            }
            withdrawn |= known.is_none_or(|(_, before)| !before.is_subset_of(&engine_models));
            self.loaded_models
                .insert(engine_models.server.clone(), (term, engine_models));
        }
        withdrawn
    }

    /// Records the requests of all routers at each server, and the time until the next load from
    /// the weight store may begin, as the leader reported them.
    pub fn update_totals(&mut self, requests: Vec<(Name, u32)>, store_wait_ms: u64) {
        self.load_tracker.update_totals(requests);
        self.store_wait_ms = store_wait_ms;
    }

    /// Records what has changed of what [`Dispatcher::update_totals`] recorded.
    pub fn change_totals(&mut self, changes: &[(Name, u32)], store_wait_ms: u64) {
        self.load_tracker.change_totals(changes);
        self.store_wait_ms = store_wait_ms;
    }

    /// Records the milliseconds until models that requests wait for are expected to be loaded, as the
    /// leader reported them. They replace what it reported before.
    pub fn update_expected_waits(&mut self, now: Millis, waits: Vec<(Name, u64)>) {
        let expected = waits.into_iter().map(|(model, ms)| (model, now + ms));
        self.expected_loads = expected.collect();
        self.expected_loads_until = now + EXPECTED_LOADS_TTL_MS;
    }

    /// Returns the counts of requests that are running or waiting here, and of the other routers'
    /// requests.
    pub fn load_tracker(&mut self) -> &mut LoadTracker {
        &mut self.load_tracker
    }

    /// Returns what is known of the versions at which streams begin and began.
    pub fn streams(&self) -> &Streams {
        &self.streams
    }

    /// Returns the same, to be changed.
    pub fn streams_mut(&mut self) -> &mut Streams {
        &mut self.streams
    }

    /// Returns the addresses of a service's servers that accept requests; of all servers if no service is
    /// given.
    pub fn ready_addresses(&self, service: Option<&str>) -> impl Iterator<Item = &Name> {
        let servers = self.registry.iter().map(|s| &s.announcement);
        let ready = servers.filter(|s| s.stage == Stage::Ready);
        let of_service = ready.filter(move |s| service.is_none_or(|name| *name == *s.service));
        of_service.map(|s| &s.address)
    }

    /// Returns the services of which this router reaches no server.
    pub fn unreached_services(&self) -> impl Iterator<Item = &Name> {
        let unreached = self.reach.iter().filter(|(_, reach)| reach.is_cut_off());
        unreached.map(|(service, _)| service)
    }

    /// Whether this router reaches no server of the service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.reach.get(service).is_some_and(Reach::is_cut_off)
    }

    /// Records whether a connection to a server of the service could be opened.
    pub fn connected(
        &mut self,
        now: Millis,
        service: &Name,
        address: &Name,
        is_open: bool,
    ) -> Option<reach::Change> {
        let reach = self.reach.entry(service.clone()).or_default();
        if is_open {
            return reach.opened();
        }
        let known = self.registry.ready(service).count();
        reach.failed(now, address, known)
    }

    /// Returns all known servers.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Decides about a request; `tried` are the servers that it was sent to already.
    pub fn decide(
        &mut self,
        now: Millis,
        deployment: &Deployment,
        request: &RequestSpec,
        tried: &[Name],
    ) -> Decision {
        let mut turn = Turn::default();
        let decision = self.decide_in_turn(now, deployment, request, tried, &mut turn);
        self.leave_queue(now, request, &mut turn);
        decision
    }

    /// Decides about a request that may wait for room: with [`Decision::Wait`], its turn then has a ticket.
    pub fn decide_in_turn(
        &mut self,
        now: Millis,
        deployment: &Deployment,
        request: &RequestSpec,
        tried: &[Name],
        turn: &mut Turn,
    ) -> Decision {
        let Some(service) = deployment.services.get(&request.service) else {
            return Decision::Refuse {
                reason: RefusalReason::NoServer,
                retry_after_ms: RETRY_AFTER_MS,
            };
        };
        let eligible = self.eligible_servers(now, request, tried);
        if eligible.is_empty() {
            if let Some(remaining_ms) = self.paused_for_ms(now, request, tried) {
                let random = next_random(&mut self.random);
                return Decision::Refuse {
                    reason: RefusalReason::Paused,
                    retry_after_ms: pause::retry_after_ms(remaining_ms, random),
                };
            }
            self.leave_queue(now, request, turn);
            return self.decide_without_server(now, service, request, tried);
        }
        if self.admits_by_rank() {
            return self.decide_by_rank(now, service, request, tried, turn);
        }
        let not_full: Vec<Candidate> = eligible
            .iter()
            .filter(|server| self.has_capacity(now, service, server))
            .map(|server| self.candidate(now, request, server, &eligible))
            .collect();
        let mut random = self.random;
        let picks = self.picks(now, not_full, &mut random);
        self.random = random;
        self.send_to_first_allowed(now, &picks)
    }

    /// Returns servers in the order in which they are selected, until the first one that needs neither a permit nor
    /// a place.
    fn picks(&self, now: Millis, mut candidates: Vec<Candidate>, random: &mut u64) -> Vec<Target> {
        let mut picks = Vec::new();
        while let Some(id) =
            selection::select(&candidates, || next_random(random)).map(|c| c.id.clone())
        {
            candidates.retain(|c| *c.id != id);
            let has_limit = self.server_limits.has_limit(now, &id);
            let is_brittle = self.tolerated(now, &id).is_some();
            picks.extend(self.registry.get(&id).map(|server| Target {
                id,
                address: server.announcement.address.clone(),
                software: server.announcement.software.clone(),
            }));
            if !has_limit && (!is_brittle || picks.len() >= BRITTLE_PICKS_MAX) {
                break;
            }
        }
        picks
    }

    /// Sends a request to the first of these servers that may get another one now.
    fn send_to_first_allowed(&mut self, now: Millis, picks: &[Target]) -> Decision {
        let mut reason = RefusalReason::Full;
        let mut retry_after_ms = RETRY_AFTER_MS;
        let mut is_pending = false;
        for (index, target) in picks.iter().enumerate() {
            match self.server_limits.take(now, &target.id) {
                permit::Answer::Allowed => return self.send_or_reserve(now, &picks[index..]),
                permit::Answer::Pending => is_pending = true,
                permit::Answer::Denied => {
                    let ms = self.server_limits.retry_after_ms(now, &target.id);
                    let is_first = reason != RefusalReason::Limited;
                    retry_after_ms = if is_first { ms } else { retry_after_ms.min(ms) };
                    reason = RefusalReason::Limited;
                }
            }
        }
        if is_pending {
            return Decision::Wait;
        }
        Decision::Refuse {
            reason,
            retry_after_ms,
        }
    }

    /// Records that an incarnation of a server has asked for a pause in an answer. Returns whether it gets no
    /// requests because of that, and got some before.
    pub fn pause_asked(&mut self, now: Millis, id: &Name, incarnation: u64, pause_ms: u64) -> bool {
        self.pauses.asked(now, id, incarnation, pause_ms)
    }

    /// Records that a server answered.
    pub fn succeeded(&mut self, id: &Name) {
        self.health.entry(id.clone()).or_default().succeeded();
    }

    /// Records that a server failed, after which it is avoided for some time.
    pub fn failed(&mut self, now: Millis, id: &Name) {
        self.health.entry(id.clone()).or_default().failed(now);
    }

    /// Records that a server refused a request for a model or adapter.
    pub fn model_refused(&mut self, now: Millis, id: &Name, request: &RequestSpec) {
        self.refused_until.retain(|_, until| now < *until);
        let key = (id.clone(), request.model.clone(), request.adapter.clone());
        self.refused_until
            .insert(key, now + REFUSED_MODEL_BACKOFF_MS);
    }

    /// Removes servers that are gone or silent, what is known of them, and refusals that have
    /// expired.
    pub fn expire(&mut self, now: Millis) {
        self.registry
            .expire(now, 2 * MAX_MISSED_ANNOUNCEMENTS * self.heartbeat_ms);
        self.refused_until.retain(|_, until| now < *until);
        self.server_limits.expire(now);
        self.brittleness.expire(now);
        self.pauses.expire(now);
        self.streams.expire(now);
        self.admission.expire(now);
        let registry = &self.registry;
        self.reach
            .retain(|service, _| registry.ready(service).next().is_some());
        let registry = &self.registry;
        self.speeds.retain(|id| registry.get(id).is_some());
        self.loaded_models
            .retain(|id, _| registry.get(id).is_some());
        self.health.retain(|id, _| registry.get(id).is_some());
    }

    /// What the leader reported of this incarnation of a server.
    fn models_from_leader(&self, server: &Server) -> Option<&EngineModels> {
        let (_, loaded_models) = self.loaded_models.get(&server.announcement.id)?;
        (loaded_models.incarnation == server.announcement.incarnation).then_some(loaded_models)
    }

    /// The models that a server has loaded: as the leader reported, or else as it announced.
    fn loaded_at<'a>(&'a self, server: &'a Server) -> &'a [LoadedModel] {
        let from_leader = self.models_from_leader(server);
        from_leader.map_or(&server.announcement.loaded, |models| &models.loaded)
    }

    /// Whether the server has fewer requests than the limit per slot allows.
    fn has_capacity(&self, now: Millis, service: &Service, server: &Server) -> bool {
        f64::from(self.requests_at(now, server)) < self.places_at(now, service, server)
    }

    /// Requests that the limit per slot allows at the server; fewer at one that is slower than usual, but one for
    /// each slot, since a request begins at once in a free slot.
    fn places_at(&self, now: Millis, service: &Service, server: &Server) -> f64 {
        let full_ratio = if service.engine.is_some() {
            ENGINE_FULL_RATIO
        } else {
            PLAIN_FULL_RATIO
        };
        let slots = f64::from(server.announcement.slots.max(1));
        let slowness = self.slowness(now, server).unwrap_or(1.0).max(1.0);
        (slots * full_ratio / slowness).max(slots)
    }

    fn candidate<'a>(
        &self,
        now: Millis,
        request: &RequestSpec,
        server: &'a Server,
        eligible: &[&Server],
    ) -> Candidate<'a> {
        let id = &server.announcement.id;
        let failed = self.health.get(id).is_some_and(|h| h.avoided(now));
        let silent = server.last_contact_at + MAX_MISSED_ANNOUNCEMENTS * self.heartbeat_ms
            < self.newest_contact_at;
        Candidate {
            id,
            slots: server.announcement.slots,
            load: self.requests_at(now, server),
            speed: self.speed(now, server),
            same_domain: server.announcement.domain == self.domain,
            preferred_for_prefix: request
                .prompt_prefix
                .is_some_and(|p| prefix_owner(p, eligible) == Some(id)),
            avoided: failed || silent,
        }
    }
}

/// The report that an incarnation of a server has said that it leaves.
fn leaving(id: &Name, incarnation: u64) -> Message {
    Message::ServerLeaving {
        server: id.clone(),
        incarnation,
    }
}

/// The server that is preferred for requests with a prefix. All routers that know the same servers
/// prefer the same one (rendezvous hashing).
fn prefix_owner<'a>(prefix: u64, eligible: &[&'a Server]) -> Option<&'a Name> {
    let score = |server: &&&Server| {
        let bytes = server.announcement.id.bytes();
        let mut hash = bytes.fold(prefix ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        next_random(&mut hash)
    };
    eligible
        .iter()
        .max_by_key(score)
        .map(|s| &s.announcement.id)
}

/// The next number of a `SplitMix64` generator.
fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
