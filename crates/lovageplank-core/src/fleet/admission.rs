//! Which requests get room at servers, which ones wait for it and which ones are refused, while capacity is short.
//!
//! Each router has one `Admission`, which knows the requests of this router and the totals of all:
//!
//! - Requests of each [level](Level) may use a part of a server's places. What is kept from them follows from the
//!   recent demand of more urgent levels; without any, nothing is kept.
//! - A request that finds no room waits in a queue if it is expected to be answered before its caller gives up. It
//!   gets the places that this router's own requests leave, and a part of other room that corresponds to this
//!   router's part of all requests: all routers see the same room at the same time, and would fill it many times over.
//! - Others are refused, with the time at which room is expected.
//!
//! Ranks and tenants that are served too seldom come first, until they are served more often.

mod book;
mod decay;
mod level;
mod mix;
mod number;
mod queue;
mod room;
mod served;
mod tenants;
mod turn;

pub use level::Level;
pub(crate) use room::{Load, Room, Scope};
pub use turn::{Outlook, Turn};

use super::dispatch::DEADLINE_RESERVE_MS;
use super::request::{Rank, RequestSpec};
use crate::prelude::*;
use book::Book;
use level::Order;
use number::{millis, real, unit};
use queue::{Entry, Queue};
use turn::return_ms;

/// Part of a server's places that is kept from less urgent requests at most. What remains is 1.15 requests per slot at
/// engines, so that slots aren't left idle because numbers of requests are some hundred milliseconds old.
const RESERVE_MAX: f64 = 0.28;
/// Part of the places that isn't used at most where requests wait too long.
const HELD_BACK_MAX: f64 = 0.28;
/// Part of the places that is used in any case: one request per slot at engines.
const USABLE_MIN: f64 = 0.625;
/// Part of the places at an engine that urgent requests may take while less urgent ones starve: 0.85 per slot, so that the
/// engine runs others too.
const URGENT_MAX: f64 = 0.53;
/// Milliseconds after which a place that a request of this router has left counts as taken by others.
const FREED_TTL_MS: Millis = 400;
/// Milliseconds between two draws for a waiting request, which is the time between two totals of the leader.
const DRAW_INTERVAL_MS: Millis = 200;
/// A waiting request is given up when it is expected to wait for this many times the time that is left. Estimates vary
/// from moment to moment.
const HOPELESS_FACTOR: f64 = 2.0;

/// What happens to a request that has found no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It waits.
    Wait,
    /// It is refused; its caller may return after this time.
    Refuse { retry_after_ms: u64 },
}

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Its answer had begun.
    Answered,
    /// It was given up before its answer began.
    Unanswered,
    /// The server didn't run it, or ended.
    Failed,
}

/// Admission control of one router.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    /// Set before the first request; without it nothing is recorded.
    is_on: bool,
    queue: Queue,
    books: BTreeMap<Name, Book>,
    /// This router's requests at each server, by rank.
    running: BTreeMap<(Name, Rank), u32>,
    /// Places at each server that requests of this router have left, and when the last one did.
    freed: BTreeMap<Name, (u32, Millis)>,
}

impl Admission {
    pub(crate) fn set_on(&mut self, is_on: bool) {
        self.is_on = is_on;
    }

    pub(crate) fn is_on(&self) -> bool {
        self.is_on
    }

    pub(crate) fn arrived(&mut self, now: Millis, request: &RequestSpec) {
        if !self.is_on {
            return;
        }
        self.book(&request.service).arrived(now, request);
    }

    pub(crate) fn began(&mut self, now: Millis, server: &Name, request: &RequestSpec) {
        if !self.is_on {
            return;
        }
        let key = (server.clone(), request.rank);
        *self.running.entry(key).or_default() += 1;
        self.book(&request.service).began(now, request.rank);
    }

    pub(crate) fn ended(
        &mut self,
        now: Millis,
        server: &Name,
        request: &RequestSpec,
        ran_ms: u64,
        ending: Ending,
    ) {
        if !self.is_on {
            return;
        }
        let key = (server.clone(), request.rank);
        if let Some(count) = self.running.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&key);
            }
        }
        let book = self.book(&request.service);
        book.ended(now, request.rank, ran_ms);
        if ending == Ending::Unanswered {
            book.answer_began(now, request.rank, ran_ms);
            book.served.decided(now, request, false);
        }
        if !self.queue.is_empty() {
            let known = self.freed.get(server);
            let count = known.map_or(
                0,
                |(count, at)| {
                    if now < at + FREED_TTL_MS { *count } else { 0 }
                },
            );
            self.freed.insert(server.clone(), (count + 1, now));
        }
    }

    /// Records that the answer to a request began some time after it was sent.
    pub(crate) fn answer_began(&mut self, now: Millis, request: &RequestSpec, after_ms: u64) {
        if !self.is_on {
            return;
        }
        let book = self.book(&request.service);
        book.answer_began(now, request.rank, after_ms);
        book.served.decided(now, request, true);
    }

    /// Returns what limits the room for a request at every server alike.
    pub(crate) fn scope(&self, now: Millis, request: &RequestSpec) -> Scope {
        let book = self.books.get(&request.service);
        Scope {
            rank: request.rank,
            usable: self.usable(now, request),
            urgent_max: match book {
                Some(book) if book.served.has_starved_below(now, request.rank) => URGENT_MAX,
                _ => 1.0,
            },
            urgent: book.map_or(1.0, |book| book.mix.share_up_to(now, request.rank)),
        }
    }

    /// Returns the room at a server.
    pub(crate) fn room(&self, scope: Scope, server: &Name, load: Load) -> Room {
        Room::new(scope, server, load, self.own_at(server))
    }

    /// Whether a request in the queue waits for others there, so that nothing else has to be looked at.
    pub(crate) fn waits_for_others(
        &mut self,
        now: Millis,
        request: &RequestSpec,
        turn: &Turn,
    ) -> bool {
        let order = self.refreshed(now, request, turn);
        let Some(entry) = self.entry(turn) else {
            return false;
        };
        let is_in_time = now + DEADLINE_RESERVE_MS + entry.begin_ms < request.start_by;
        !entry.is_dropped && is_in_time && self.queue.ahead(now, request, &order) > 0
    }

    /// Returns the servers that a request may be sent to now. `random` decides whether one that waits may take room
    /// that this router's requests haven't left.
    pub(crate) fn open(
        &mut self,
        now: Millis,
        request: &RequestSpec,
        turn: &Turn,
        rooms: &[Room],
        random: u64,
    ) -> Vec<Name> {
        let order = self.refreshed(now, request, turn);
        let is_dropped = self.entry(turn).is_some_and(|entry| entry.is_dropped);
        if is_dropped || self.queue.ahead(now, request, &order) > 0 {
            return Vec::new();
        }
        let with_room = rooms.iter().filter(|room| room.free > 0.0);
        let with_room: Vec<&Room> = with_room.collect();
        let is_free = turn.ticket.is_none() || self.draw(now, turn, rooms, random);
        let open = with_room
            .into_iter()
            .filter(|room| is_free || self.has_freed(now, &room.server));
        open.map(|room| room.server.clone()).collect()
    }

    /// Records that a request is sent to a server.
    pub(crate) fn sent(&mut self, server: &Name, turn: &mut Turn) {
        if let Some(ticket) = turn.ticket.take() {
            self.queue.leave(ticket);
            if let Some((count, _)) = self.freed.get_mut(server) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Decides about a request that has found no room: it waits if it is expected to be answered before its caller
    /// gives up.
    pub(crate) fn wait(
        &mut self,
        now: Millis,
        request: &RequestSpec,
        turn: &mut Turn,
        rooms: &[Room],
        random: u64,
        is_first: bool,
    ) -> Verdict {
        let order = self.refreshed(now, request, turn);
        let ahead = self.queue.ahead(now, request, &order);
        let expected_ms = self.expected_ms(now, request, rooms, ahead);
        turn.outlook = Some(Outlook {
            level: order.level,
            is_starved: !order.is_served,
            ahead,
            expected_ms: millis(expected_ms),
        });
        self.book(&request.service).found_none(now, order.level);
        if self.keeps(now, request, turn, order, expected_ms, is_first) {
            return Verdict::Wait;
        }
        self.leave(now, request, turn, is_first);
        Verdict::Refuse {
            retry_after_ms: return_ms(
                expected_ms,
                real(request.start_by.saturating_sub(now)),
                random,
            ),
        }
    }

    /// Records that a request isn't sent: it is refused, or its caller has left.
    pub(crate) fn leave(
        &mut self,
        now: Millis,
        request: &RequestSpec,
        turn: &mut Turn,
        is_first: bool,
    ) {
        if let Some(ticket) = turn.ticket.take() {
            self.queue.leave(ticket);
        }
        if is_first {
            self.book(&request.service)
                .served
                .decided(now, request, false);
        }
    }

    /// Returns the tickets of waiting requests whose turn it is, in order.
    pub(crate) fn heads(&self, now: Millis) -> Vec<u64> {
        self.queue.heads(now)
    }

    /// Forgets what is old.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.freed.retain(|_, (_, at)| now < *at + FREED_TTL_MS);
        for book in self.books.values_mut() {
            book.expire(now);
        }
        self.books.retain(|_, book| !book.is_empty());
    }

    /// Whether the request is in the queue after this decision.
    fn keeps(
        &mut self,
        now: Millis,
        request: &RequestSpec,
        turn: &mut Turn,
        order: Order,
        expected_ms: f64,
        is_first: bool,
    ) -> bool {
        let begin_ms = self.book(&request.service).begin_ms(now, request.rank);
        let reserve_ms = DEADLINE_RESERVE_MS + begin_ms;
        let left_ms = real(request.start_by.saturating_sub(now + reserve_ms));
        if left_ms <= 0.0 {
            return false;
        }
        if let Some(entry) = self.entry(turn) {
            return !entry.is_dropped && expected_ms <= HOPELESS_FACTOR * left_ms;
        }
        if expected_ms > left_ms {
            return false;
        }
        let mut entry = Entry::new(request, order.level, !order.is_served, begin_ms);
        entry.bytes = turn.bytes;
        entry.is_confined = !is_first;
        turn.ticket = self.queue.enter(entry);
        turn.ticket.is_some()
    }

    /// The part of a server's places that the request may use.
    fn usable(&self, now: Millis, request: &RequestSpec) -> f64 {
        let Some(book) = self.books.get(&request.service) else {
            return 1.0;
        };
        if book.served.is_rank_starved(now, request.rank) {
            return 1.0;
        }
        let level = book.level(now, request);
        let is_waited_for = self.queue.has_above(&request.service, level);
        let reserve = if is_waited_for {
            1.0
        } else {
            book.reserve(now, level)
        };
        let held_back = HELD_BACK_MAX * book.held_back(now, request.rank);
        ((1.0 - RESERVE_MAX * reserve) * (1.0 - held_back)).max(USABLE_MIN)
    }

    /// The order of a request now. In the queue its level is brought up to date.
    fn refreshed(&mut self, now: Millis, request: &RequestSpec, turn: &Turn) -> Order {
        let book = self.book(&request.service);
        let level = book.level(now, request);
        let is_starved = book.served.is_rank_starved(now, request.rank);
        let begin_ms = book.begin_ms(now, request.rank);
        if let Some(entry) = self.entry(turn) {
            entry.level = level;
            entry.is_starved = is_starved;
            entry.begin_ms = begin_ms;
            entry.order(now, turn.ticket.unwrap_or(u64::MAX))
        } else {
            let entry = Entry::new(request, level, is_starved, begin_ms);
            entry.order(now, u64::MAX)
        }
    }

    /// Whether a waiting request may take room that this router's requests haven't left. The chance is this router's
    /// part of the room.
    fn draw(&mut self, now: Millis, turn: &Turn, rooms: &[Room], random: u64) -> bool {
        let free: f64 = rooms.iter().map(|room| room.free.max(0.0)).sum();
        let own: u32 = rooms.iter().map(|room| room.own).sum();
        let total: f64 = rooms.iter().map(|room| room.total).sum();
        let Some(entry) = self.entry(turn).filter(|_| free > 0.0) else {
            return false;
        };
        if let Some((at, is_won)) = entry.drawn
            && now < at + DRAW_INTERVAL_MS
        {
            return is_won;
        }
        let chance = free * (f64::from(own) + 1.0) / (total + 1.0);
        let is_won = unit(random) < chance;
        entry.drawn = Some((now, is_won));
        is_won
    }

    fn has_freed(&self, now: Millis, server: &Name) -> bool {
        let freed = self.freed.get(server);
        freed.is_some_and(|(count, at)| *count > 0 && now < at + FREED_TTL_MS)
    }

    /// Milliseconds until there is room for the request after so many others: until the least loaded server has fewer
    /// requests than it may have, and as many of this router's requests have ended.
    fn expected_ms(
        &mut self,
        now: Millis,
        request: &RequestSpec,
        rooms: &[Room],
        ahead: usize,
    ) -> f64 {
        let book = self.book(&request.service);
        let surplus = rooms
            .iter()
            .map(|room| (-room.free).max(0.0) / room.total.max(1.0))
            .fold(f64::INFINITY, f64::min);
        let surplus = if surplus.is_finite() { surplus } else { 0.0 };
        let own = rooms.iter().map(|room| room.own).sum();
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        surplus * book.hold_ms() + (ahead + 1.0) * book.next_end_ms(now, own)
    }

    /// This router's requests at a server, by rank.
    fn own_at(&self, server: &Name) -> impl Iterator<Item = (Rank, u32)> {
        let from = (server.clone(), Rank::default());
        let own = self.running.range(from..);
        own.take_while(move |((id, _), _)| id == server)
            .map(|((_, rank), count)| (*rank, *count))
    }

    fn entry(&mut self, turn: &Turn) -> Option<&mut Entry> {
        self.queue.get_mut(turn.ticket?)
    }

    fn book(&mut self, service: &Name) -> &mut Book {
        self.books.entry(service.clone()).or_default()
    }
}
