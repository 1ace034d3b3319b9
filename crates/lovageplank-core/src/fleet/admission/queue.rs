//! Requests that wait at a router until a server has room for them.

use super::level::{Level, Order};
use crate::fleet::request::RequestSpec;
use crate::prelude::*;
use std::cmp::Reverse;

/// Largest number of requests that wait at a router. A router gets some requests a second, and few callers wait
/// longer than some seconds.
pub(super) const REQUESTS_MAX: usize = 128;
/// Largest number of bytes of their bodies together.
pub(super) const BYTES_MAX: usize = 8 << 20;
/// Work that moves a request back by a millisecond, in prompt tokens.
const COST_PER_MS: u64 = 20;
/// Most milliseconds by which its work moves a request back: large requests come later, but not much.
const COST_MS_MAX: u64 = 400;

/// Service, model and adapter: requests with the same ones need room at the same servers.
type Group = (Name, Option<Name>, Option<Name>);

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) level: Level,
    pub(super) is_starved: bool,
    /// Milliseconds from sending it to the beginning of its answer, as expected.
    pub(super) begin_ms: u64,
    group: Group,
    objective_at: Millis,
    due_at: Millis,
    /// Bytes of its body.
    pub(super) bytes: usize,
    /// Whether it has no use for some servers that others of its group may be sent to. Others don't wait for it.
    pub(super) is_confined: bool,
    /// Whether it has to be refused, because the queue was full.
    pub(super) is_dropped: bool,
    /// When and with what result it was last drawn whether it may take room that this router didn't make.
    pub(super) drawn: Option<(Millis, bool)>,
}

impl Entry {
    pub(super) fn new(
        request: &RequestSpec,
        level: Level,
        is_starved: bool,
        begin_ms: u64,
    ) -> Entry {
        let cost_ms = request.work.map_or(0, |w| w.cost() / COST_PER_MS);
        Entry {
            level,
            is_starved,
            begin_ms,
            group: group(request),
            objective_at: request.objective_at,
            due_at: request.objective_at + cost_ms.min(COST_MS_MAX),
            bytes: 0,
            is_confined: false,
            is_dropped: false,
            drawn: None,
        }
    }

    pub(super) fn order(&self, now: Millis, ticket: u64) -> Order {
        Order {
            is_served: !self.is_starved,
            level: self.level,
            is_late: now + self.begin_ms > self.objective_at,
            due_at: self.due_at,
            ticket,
        }
    }

    /// The greatest is refused first.
    fn expendability(&self, ticket: u64) -> (bool, Level, Millis, u64) {
        (!self.is_starved, self.level, self.objective_at, ticket)
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    entries: BTreeMap<u64, Entry>,
    next_ticket: u64,
}

impl Queue {
    /// Adds a request and returns its ticket; `None` if there is no room in the queue and others go before it.
    pub(super) fn enter(&mut self, entry: Entry) -> Option<u64> {
        let ticket = self.next_ticket;
        let size = entry.bytes;
        while self.is_beyond(size) {
            let open = self.entries.iter_mut().filter(|(_, e)| !e.is_dropped);
            let last = open.max_by_key(|(ticket, e)| e.expendability(**ticket));
            match last {
                Some((known, last)) if last.expendability(*known) > entry.expendability(ticket) => {
                    last.is_dropped = true;
                }
                _ => return None,
            }
        }
        self.next_ticket += 1;
        self.entries.insert(ticket, entry);
        Some(ticket)
    }

    pub(super) fn leave(&mut self, ticket: u64) {
        self.entries.remove(&ticket);
    }

    pub(super) fn get_mut(&mut self, ticket: u64) -> Option<&mut Entry> {
        self.entries.get_mut(&ticket)
    }

    /// Requests for which those of this group wait that have this order.
    pub(super) fn ahead(&self, now: Millis, request: &RequestSpec, order: &Order) -> usize {
        let group = group(request);
        let of_group = self.open().filter(|(_, e)| e.group == group);
        let ahead =
            of_group.filter(|(ticket, e)| !e.is_confined && e.order(now, **ticket) < *order);
        ahead.count()
    }

    /// Whether a more urgent request for the service waits.
    pub(super) fn has_above(&self, service: &Name, level: Level) -> bool {
        self.open()
            .any(|(_, e)| e.group.0 == *service && e.level < level)
    }

    /// The requests whose turn it is: the first of each group, and all that needn't wait for the first or have to be
    /// refused. They are in order.
    pub(super) fn heads(&self, now: Millis) -> Vec<u64> {
        let mut ordered: Vec<(Reverse<bool>, Order, &Entry)> = self
            .entries
            .iter()
            .map(|(ticket, e)| (Reverse(e.is_dropped), e.order(now, *ticket), e))
            .collect();
        ordered.sort_by_key(|(dropped, order, _)| (*dropped, *order));
        let mut groups = BTreeSet::new();
        let heads = ordered.into_iter().filter(|(_, _, entry)| {
            entry.is_dropped || entry.is_confined || groups.insert(&entry.group)
        });
        heads.map(|(_, order, _)| order.ticket).collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn open(&self) -> impl Iterator<Item = (&u64, &Entry)> {
        self.entries.iter().filter(|(_, e)| !e.is_dropped)
    }

    /// Whether one more request with so many bytes is beyond the bounds, not counting those that are to be refused.
    fn is_beyond(&self, size: usize) -> bool {
        let bytes: usize = self.open().map(|(_, e)| e.bytes).sum();
        self.open().count() >= REQUESTS_MAX || bytes + size > BYTES_MAX
    }
}

fn group(request: &RequestSpec) -> Group {
    let (service, model, adapter) = (&request.service, &request.model, &request.adapter);
    (service.clone(), model.clone(), adapter.clone())
}
