//! What is lent of one pool.

use super::super::rate::Rate;
use super::super::{Ask, BLOCK_MS, Item, LEASE_MS, Limit, Lot};
use super::holding::Holding;
use super::window::Window;
use crate::prelude::*;
use std::collections::VecDeque;

/// Milliseconds for which a request that there is too little for waits for more to be free. Requests are served in
/// turn meanwhile, so that small ones don't take everything that large ones wait for.
const HOLD_MS: Millis = 200;
/// Milliseconds after which a request that waits for a block is forgotten: its router has given up by then.
const FORGET_MS: Millis = 400;
/// Milliseconds over which the rate of grants is measured.
const GRANTS_DECAY_MS: f64 = 1_500.0;
/// Milliseconds of grants that a block has to cover at least; otherwise another one is proposed.
const COVER_MS: Millis = 600;
/// A block has at least this part of the limit, so that the first requests after a pause don't wait for an entry each.
/// What isn't granted of it is returned by a later entry.
const SMALLEST_BLOCK_DIVISOR: u64 = 64;
/// Milliseconds for which what a router wanted ahead of need counts when what is left is divided.
const WANT_MS: Millis = LEASE_MS;
/// Part of what is free that is lent ahead of need at most, so that requests that wait elsewhere find something.
const AHEAD_DIVISOR: u64 = 2;
/// Milliseconds without a message after which a router that holds nothing is forgotten.
const RETENTION_MS: Millis = 60_000;
/// Milliseconds between two searches for leases that have expired, which look at all routers.
const EXPIRE_INTERVAL_MS: Millis = 50;
/// Milliseconds over which the routers' refused requests come back, so that they don't come all at once.
const STAGGER_MS: u64 = 250;

/// Limits on what is granted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// The limit in force; `None` if there is none.
    pub(super) limit: Option<Limit>,
    /// Units that earlier leaders may have lent.
    pub(super) earlier: u64,
}

/// Units of the log that may be granted.
#[derive(Clone, Debug)]
struct OpenBlock {
    /// Ticket of its entry of the log.
    ticket: u64,
    left: u64,
    until: Millis,
}

/// A router that waits for an answer.
#[derive(Clone, Debug)]
struct Want {
    session: u64,
    /// When it asked, by its own clock.
    sent_at: Millis,
    since: Millis,
    first: u64,
    waiting: u64,
    ahead: u64,
}

/// What a router is answered.
#[derive(Clone, Debug)]
pub(super) struct Served {
    pub(super) link: u64,
    pub(super) session: u64,
    pub(super) lots: Vec<Lot>,
    pub(super) again_ms: Option<u64>,
}

/// What is lent of one pool.
#[derive(Clone, Debug)]
pub(super) struct Lending {
    term: u64,
    window: Window,
    /// By the router's session.
    holdings: BTreeMap<u64, Holding>,
    /// Sum over `holdings`.
    outstanding: u64,
    /// When the leases were last looked at.
    expired_at: Millis,
    /// In the order in which they were applied.
    blocks: Vec<OpenBlock>,
    /// Units of blocks that nothing is granted from any more, by ticket, until that is in the log.
    returned: Vec<(u64, u64)>,
    /// In the order in which they asked, those whose requests wait first.
    queue: VecDeque<Want>,
    grants: Rate,
}

impl Lending {
    pub(super) fn new(term: u64, window_ms: Millis) -> Lending {
        Lending {
            term,
            window: Window::new(window_ms),
            holdings: BTreeMap::new(),
            outstanding: 0,
            expired_at: 0,
            blocks: Vec::new(),
            returned: Vec::new(),
            queue: VecDeque::new(),
            grants: Rate::new(GRANTS_DECAY_MS),
        }
    }

    /// Units that were charged within the window.
    pub(super) fn charged(&self) -> u64 {
        self.window.sum()
    }

    /// Units that routers hold.
    pub(super) fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Units that may be granted, apart from the blocks.
    pub(super) fn free(&self, limit: Limit, earlier: u64) -> u64 {
        limit
            .0
            .saturating_sub(self.window.sum() + self.outstanding + earlier)
    }

    /// Records a router's report, and queues it if it needs something.
    pub(super) fn report(&mut self, now: Millis, link: u64, ask: &Ask, item: &Item) {
        self.expire(now);
        let mut accounts = item.accounts.iter();
        let account = accounts.find(|account| account.term == self.term);
        let holding = self.holdings.entry(ask.session);
        let holding = holding.or_insert_with(|| Holding::new(account));
        if !holding.is_news(ask.number) {
            return;
        }
        self.outstanding -= holding.outstanding();
        holding.link = link;
        holding.asked_at = now;
        holding.ahead = item.ahead;
        if let Some(account) = account {
            holding.report(now, &mut self.window, account);
            holding.expire(now, &mut self.window);
        }
        self.outstanding += holding.outstanding();
        self.queue_up(now, ask, item);
    }

    pub(super) fn add_block(&mut self, ticket: u64, amount: u64, until: Millis) {
        self.blocks.push(OpenBlock {
            ticket,
            left: amount,
            until,
        });
    }

    /// Counts what has expired, and forgets routers that haven't asked for long. Leases that are looked at later than
    /// they expire count as lent meanwhile.
    pub(super) fn expire(&mut self, now: Millis) {
        self.window.expire(now);
        let ended = self.blocks.extract_if(.., |block| block.until <= now);
        let unused = ended.filter(|block| block.left > 0);
        self.returned
            .extend(unused.map(|block| (block.ticket, block.left)));
        if now < self.expired_at + EXPIRE_INTERVAL_MS {
            return;
        }
        self.expired_at = now;
        self.outstanding = 0;
        self.holdings.retain(|_, holding| {
            holding.expire(now, &mut self.window);
            self.outstanding += holding.outstanding();
            holding.outstanding() > 0 || now < holding.asked_at + RETENTION_MS
        });
    }

    /// Whether a request waits for a block.
    pub(super) fn is_waiting_for_block(&self) -> bool {
        let left: u64 = self.blocks.iter().map(|block| block.left).sum();
        self.queue.front().is_some_and(|next| next.first > left)
    }

    /// Takes the units of blocks that nothing is granted from any more, by ticket.
    pub(super) fn take_returned(&mut self) -> Vec<(u64, u64)> {
        std::mem::take(&mut self.returned)
    }

    /// Units that a block should have that is proposed now; 0 if none is needed.
    pub(super) fn block_wanted(&self, now: Millis, limit: Limit, free: u64) -> u64 {
        let left: u64 = self.blocks.iter().map(|block| block.left).sum();
        let waiting: u64 = self.queue.iter().map(|w| w.waiting + w.ahead).sum();
        if left >= waiting + self.grants.expected(now, COVER_MS) {
            return 0;
        }
        let wanted = waiting + self.grants.expected(now, BLOCK_MS);
        let wanted = wanted.max(limit.0 / SMALLEST_BLOCK_DIVISOR);
        wanted.min(free).saturating_sub(left)
    }

    /// Answers the routers that wait, in turn, as far as it is possible now. `later` returns until when the units of
    /// earlier leaders count.
    pub(super) fn serve(
        &mut self,
        now: Millis,
        room: Room,
        later: impl Fn() -> Vec<(Millis, u64)>,
    ) -> Vec<Served> {
        let mut served = Vec::new();
        while let Some(next) = self.queue.front().cloned() {
            let Some(holding) = self.holdings.get(&next.session) else {
                self.queue.pop_front();
                continue;
            };
            let on_the_way = holding.unconfirmed_units();
            let first = next.first.saturating_sub(on_the_way);
            let waiting = next.waiting.saturating_sub(on_the_way);
            let free = match room.limit {
                Some(limit) => self.free(limit, room.earlier),
                None => u64::MAX,
            };
            let in_blocks = match room.limit {
                Some(_) => self.blocks.iter().map(|block| block.left).sum(),
                None => u64::MAX,
            };
            if first > free {
                if now < next.since + HOLD_MS {
                    break;
                }
                self.queue.pop_front();
                let again_ms = self.again_ms(now, first - free, next.session, later());
                served.extend(self.answer(next.session, Some(again_ms)));
                continue;
            }
            // If all that waits is on its way, it is only sent again.
            let least = first.max(u64::from(next.waiting == 0));
            if in_blocks < least {
                if now < next.since + FORGET_MS && free >= least {
                    break;
                }
                self.queue.pop_front();
                continue;
            }
            self.queue.pop_front();
            let needed = waiting.min(free).min(in_blocks);
            let ahead = self.part_ahead(now, next.ahead, free - needed, next.session);
            let amount = needed + ahead.saturating_sub(on_the_way).min(in_blocks - needed);
            self.grant(now, &next, amount, room.limit.is_some());
            served.extend(self.answer(next.session, None));
        }
        served
    }

    /// Queues a router's want, requests that wait before what is only wanted ahead of need. A router whose requests
    /// waited before keeps its turn.
    fn queue_up(&mut self, now: Millis, ask: &Ask, item: &Item) {
        let known = self.queue.iter().position(|w| w.session == ask.session);
        let known = known.and_then(|place| self.queue.remove(place).map(|known| (place, known)));
        if item.waiting == 0 && item.ahead == 0 {
            return;
        }
        let mut want = Want {
            session: ask.session,
            sent_at: ask.sent_at,
            since: now,
            first: item.first,
            waiting: item.waiting,
            ahead: item.ahead,
        };
        let mut place = self.queue.len();
        if want.waiting > 0 {
            place = self.queue.partition_point(|other| other.waiting > 0);
        }
        if let Some((known_place, known)) = known
            && (known.waiting > 0) == (want.waiting > 0)
        {
            place = known_place;
            want.since = known.since;
        }
        self.queue.insert(place, want);
    }

    /// The part of what is free that a router gets ahead of need: in proportion to what all routers want.
    fn part_ahead(&self, now: Millis, wanted: u64, free: u64, session: u64) -> u64 {
        let lendable = free / AHEAD_DIVISOR;
        let others = self.holdings.iter().filter(|(other, _)| **other != session);
        let others = others.filter(|(_, holding)| now < holding.asked_at + WANT_MS);
        let all: u64 = wanted + others.map(|(_, holding)| holding.ahead).sum::<u64>();
        if all <= lendable {
            return wanted;
        }
        let part = u128::from(wanted) * u128::from(lendable) / u128::from(all);
        u64::try_from(part).unwrap_or(u64::MAX)
    }

    fn grant(&mut self, now: Millis, next: &Want, amount: u64, is_limited: bool) {
        let Some(holding) = self.holdings.get_mut(&next.session) else {
            return;
        };
        if amount == 0 {
            return;
        }
        holding.grant(now, amount, next.sent_at);
        self.outstanding += amount;
        if !is_limited {
            return;
        }
        self.grants.add(now, amount);
        let mut missing = amount;
        for block in &mut self.blocks {
            let taken = block.left.min(missing);
            block.left -= taken;
            missing -= taken;
        }
    }

    fn answer(&self, session: u64, again_ms: Option<u64>) -> Option<Served> {
        let holding = self.holdings.get(&session)?;
        Some(Served {
            link: holding.link,
            session,
            lots: holding.unconfirmed_lots(),
            again_ms,
        })
    }

    /// Milliseconds until some more units should be free: when charges and units of earlier leaders leave the window.
    fn again_ms(
        &self,
        now: Millis,
        missing: u64,
        session: u64,
        mut later: Vec<(Millis, u64)>,
    ) -> u64 {
        later.extend(self.window.leaving());
        later.sort_unstable();
        let mut freed = 0;
        let time = later.into_iter().find_map(|(at, units)| {
            freed += units;
            (freed >= missing).then_some(at)
        });
        // Otherwise it depends on what routers hold.
        let time = time.unwrap_or(now + LEASE_MS);
        time.saturating_sub(now) + session % STAGGER_MS
    }
}
