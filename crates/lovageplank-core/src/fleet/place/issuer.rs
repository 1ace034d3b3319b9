//! The leader's record of the places that routers have.

use super::room::Room;
use super::{Answer, Number, Request, Server, Usage};
use crate::fleet::message::RunningRequests;
use crate::prelude::*;
use std::collections::VecDeque;

/// Milliseconds that a new leader waits for the routers' reports before it gives places. An earlier leader may
/// give some for as long, until it knows of the new one.
const NEW_LEADER_MS: Millis = 1_500;
/// Milliseconds for which requests of a router count after its link went down.
const DISCONNECTED_MS: Millis = 5_000;
/// Milliseconds without a word of a server after which it is forgotten.
const UNUSED_MS: Millis = 60_000;
/// The same if routers had requests there: they report them more often as long as the server is brittle.
const UNREPORTED_MS: Millis = 2_000;
/// Longest time in milliseconds after which a caller is told to come back.
const RETRY_AFTER_MAX_MS: u64 = 2_000;
/// The least such time.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Milliseconds over which the rate of answers is measured.
const RATE_WINDOW_MS: Millis = 2_000;
/// Requests that may wait for a place, as a part of those that the servers are allowed.
const WAITING_DIVISOR: u32 = 2;

/// Name and incarnation of a server.
type Incarnation = (Name, u64);

/// An answer to a router's question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The router's link.
    pub link: u64,
    /// Number of the question.
    pub number: u64,
    /// The answer.
    pub answer: Answer,
}

/// A question that waits for a place.
#[derive(Clone, Debug)]
struct Waiting {
    link: u64,
    router: Name,
    request: Request,
    until: Millis,
}

/// What a router has at a server.
#[derive(Clone, Debug, Default)]
struct Held {
    /// As last reported.
    requests: u32,
    /// Places given that the router hadn't received at the last report.
    given: BTreeSet<Number>,
}

impl Held {
    fn count(&self) -> u32 {
        self.requests + u32::try_from(self.given.len()).unwrap_or(u32::MAX)
    }
}

/// What a router has.
#[derive(Clone, Debug)]
struct Holder {
    link: u64,
    disconnected_at: Option<Millis>,
    servers: BTreeMap<Incarnation, Held>,
}

/// The rate at which servers of a service answer, and the time that the last refused caller was told.
#[derive(Clone, Debug, Default)]
struct Pace {
    answered: VecDeque<(Millis, u32)>,
    promised_us: u64,
}

impl Pace {
    fn add(&mut self, now: Millis, answered: u32) {
        let is_old = |(at, _): &(Millis, u32)| at + RATE_WINDOW_MS < now;
        while self.answered.front().is_some_and(is_old) {
            self.answered.pop_front();
        }
        if answered > 0 {
            self.answered.push_back((now, answered));
        }
    }

    /// Milliseconds after which a caller that is refused now may come back. Callers are told times one answer
    /// apart.
    fn retry_after_ms(&mut self, now: Millis) -> u64 {
        self.add(now, 0);
        let answered: u32 = self.answered.iter().map(|(_, count)| count).sum();
        let interval_us = RATE_WINDOW_MS * 1_000 / u64::from(answered.max(1));
        let now_us = now * 1_000;
        self.promised_us = self.promised_us.max(now_us + RETRY_AFTER_MIN_MS * 1_000);
        let wait_ms = (self.promised_us - now_us) / 1_000;
        if wait_ms < RETRY_AFTER_MAX_MS {
            self.promised_us += interval_us;
        }
        wait_ms.min(RETRY_AFTER_MAX_MS)
    }
}

/// Gives places at brittle servers, as a leader.
#[derive(Clone, Debug)]
pub struct Issuer {
    term: u64,
    /// Time before which none is given.
    from: Millis,
    last_place: u64,
    rooms: BTreeMap<Incarnation, Room>,
    routers: BTreeMap<Name, Holder>,
    waiting: VecDeque<Waiting>,
    paces: BTreeMap<Name, Pace>,
}

impl Issuer {
    /// Returns the places of a leader that takes office now; `is_first` if there was none before.
    pub fn new(now: Millis, term: u64, is_first: bool) -> Issuer {
        let wait_ms = if is_first { 0 } else { NEW_LEADER_MS };
        Issuer {
            term,
            from: now + wait_ms,
            last_place: 0,
            rooms: BTreeMap::new(),
            routers: BTreeMap::new(),
            waiting: VecDeque::new(),
            paces: BTreeMap::new(),
        }
    }

    /// Answers a router's question; `None` if it waits for a place.
    pub fn ask(
        &mut self,
        now: Millis,
        link: u64,
        router: &Name,
        request: Request,
    ) -> Option<Reply> {
        self.connect(now, link, router);
        for server in &request.servers {
            self.room(now, server).update(now, server);
        }
        let number = request.number;
        let reply = |answer| {
            Some(Reply {
                link,
                number,
                answer,
            })
        };
        if now < self.from {
            return reply(Answer::NotYet);
        }
        if let Some(answer) = self.give(now, router, &request) {
            return reply(answer);
        }
        if request.wait_ms == 0 || self.is_crowded(&request) {
            return reply(self.refuse(now, &request.service));
        }
        self.waiting.push_back(Waiting {
            link,
            router: router.clone(),
            until: now + request.wait_ms,
            request,
        });
        None
    }

    /// Records a router's report. Returns the answers to questions that waited for a place.
    pub fn used(&mut self, now: Millis, link: u64, router: &Name, usage: &Usage) -> Vec<Reply> {
        self.connect(now, link, router);
        let server = &usage.server;
        let key = (server.id.clone(), server.incarnation);
        let room = self.room(now, server);
        room.update(now, server);
        room.learn(now, usage.rejected, usage.answered, usage.broken);
        let pace = self.paces.entry(usage.service.clone()).or_default();
        pace.add(now, usage.answered);
        self.change(now, router, &key, |held| {
            held.requests = usage.requests;
            held.given.retain(|place| *place > usage.seen);
        });
        self.serve_waiting(now)
    }

    /// Records the load report of a router that doesn't know of places.
    pub fn load_reported(
        &mut self,
        now: Millis,
        link: u64,
        router: &Name,
        running: &[RunningRequests],
    ) {
        if self.rooms.is_empty() {
            return;
        }
        self.connect(now, link, router);
        let keys: Vec<Incarnation> = self.rooms.keys().cloned().collect();
        for key in keys {
            let at_server = running.iter().filter(|r| r.server == key.0);
            let requests = at_server.map(|r| r.requests).sum();
            self.change(now, router, &key, |held| held.requests = requests);
        }
    }

    /// Records that a router's link went down.
    pub fn disconnected(&mut self, now: Millis, link: u64) {
        for holder in self.routers.values_mut().filter(|h| h.link == link) {
            holder.disconnected_at = Some(now);
        }
        self.waiting.retain(|waiting| waiting.link != link);
    }

    /// Forgets routers and servers that are gone, and answers questions that have waited too long.
    pub fn expire(&mut self, now: Millis) -> Vec<Reply> {
        let is_gone = |h: &Holder| {
            h.disconnected_at
                .is_some_and(|at| at + DISCONNECTED_MS < now)
        };
        let gone: Vec<Name> = self
            .routers
            .iter()
            .filter(|(_, holder)| is_gone(holder))
            .map(|(router, _)| router.clone())
            .collect();
        for router in gone {
            self.clear(now, &router);
            self.routers.remove(&router);
        }
        self.rooms.retain(|_, room| {
            let ttl_ms = if room.in_use() > 0 {
                UNREPORTED_MS
            } else {
                UNUSED_MS
            };
            now < room.used_at + ttl_ms
        });
        let rooms = &self.rooms;
        for holder in self.routers.values_mut() {
            holder
                .servers
                .retain(|server, _| rooms.contains_key(server));
        }
        self.serve_waiting(now)
    }

    /// Whether the end of a server now is explained by what it had to reject.
    pub fn is_fall(&mut self, now: Millis, server: &Name, incarnation: u64) -> bool {
        let room = self.rooms.get_mut(&(server.clone(), incarnation));
        room.is_some_and(|room| room.is_fall(now))
    }

    /// Requests at each brittle server, and how many are allowed.
    pub fn rooms(&self) -> impl Iterator<Item = (&Name, u32, u32)> {
        let rooms = self.rooms.iter();
        rooms.map(|((server, _), room)| (server, room.in_use(), room.allowed()))
    }

    fn room(&mut self, now: Millis, server: &Server) -> &mut Room {
        let key = (server.id.clone(), server.incarnation);
        self.rooms
            .entry(key)
            .or_insert_with(|| Room::new(now, server))
    }

    /// Notes the link of a router. What it had by another link it reports anew.
    fn connect(&mut self, now: Millis, link: u64, router: &Name) {
        if self.routers.get(router).is_some_and(|h| h.link != link) {
            self.clear(now, router);
            self.routers.remove(router);
        }
        let holder = self.routers.entry(router.clone()).or_insert(Holder {
            link,
            disconnected_at: None,
            servers: BTreeMap::new(),
        });
        holder.disconnected_at = None;
    }

    /// Changes what a router has at a server.
    fn change(
        &mut self,
        now: Millis,
        router: &Name,
        server: &Incarnation,
        change: impl FnOnce(&mut Held),
    ) {
        let Some(holder) = self.routers.get_mut(router) else {
            return;
        };
        let held = holder.servers.entry(server.clone()).or_default();
        let before = held.count();
        change(held);
        let after = held.count();
        if after == 0 {
            holder.servers.remove(server);
        }
        if let Some(room) = self.rooms.get_mut(server) {
            room.change(now, before, after);
        }
    }

    /// Removes all that a router has.
    fn clear(&mut self, now: Millis, router: &Name) {
        let holder = self.routers.get(router);
        let servers: Vec<Incarnation> =
            holder.map_or_else(Vec::new, |h| h.servers.keys().cloned().collect());
        for server in servers {
            self.change(now, router, &server, |held| *held = Held::default());
        }
    }

    /// Gives a place at the first server that has one.
    fn give(&mut self, now: Millis, router: &Name, request: &Request) -> Option<Answer> {
        let keys = request
            .servers
            .iter()
            .map(|s| (s.id.clone(), s.incarnation));
        let free = |key: &Incarnation| self.rooms.get(key).is_some_and(Room::has_place);
        let key = keys.into_iter().find(free)?;
        self.last_place += 1;
        let place = Number {
            term: self.term,
            place: self.last_place,
        };
        self.change(now, router, &key, |held| {
            held.given.insert(place);
        });
        Some(Answer::Given {
            server: key.0,
            place,
        })
    }

    fn refuse(&mut self, now: Millis, service: &Name) -> Answer {
        let pace = self.paces.entry(service.clone()).or_default();
        Answer::Refused {
            retry_after_ms: pace.retry_after_ms(now),
        }
    }

    /// Whether as many requests wait for places at the servers as may.
    fn is_crowded(&self, request: &Request) -> bool {
        let keys = request
            .servers
            .iter()
            .map(|s| (s.id.clone(), s.incarnation));
        let allowed = keys.filter_map(|key| self.rooms.get(&key));
        let allowed: u32 = allowed.map(Room::allowed).sum();
        let waiting = self.waiting.iter();
        let waiting = waiting.filter(|w| w.request.service == request.service);
        waiting.count() >= allowed.div_ceil(WAITING_DIVISOR) as usize
    }

    /// Gives places to questions that wait, in their order, and refuses those that have waited too long.
    fn serve_waiting(&mut self, now: Millis) -> Vec<Reply> {
        let mut replies = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let answer = if now >= waiting.until {
                Some(self.refuse(now, &waiting.request.service))
            } else {
                self.give(now, &waiting.router, &waiting.request)
            };
            match answer {
                Some(answer) => replies.push(Reply {
                    link: waiting.link,
                    number: waiting.request.number,
                    answer,
                }),
                None => self.waiting.push_back(waiting),
            }
        }
        replies
    }
}
