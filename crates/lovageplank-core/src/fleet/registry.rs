//! Backend servers, from their announcements.
//!
//! Announcements may arrive late, out of order, from servers that have left, and relayed by several
//! instances. They are ordered by incarnation (the start time of the server's process) and, within
//! an incarnation, by number. A server that has begun to leave is never ready again in the same
//! incarnation; it may say so in an announcement or in an answer to a request.
//!
//! A server that leaves doesn't say which incarnation it is. The control process that it tells does so in its stead
//! ([`Registry::departed_incarnation`]), since processes that hear of it later may know the next one already. They may
//! also hear of a departure before they hear of the server, so that departures are kept by themselves.

mod announcement;

pub use announcement::{Announcement, CachedWeights, LoadedModel, Stage};

use crate::prelude::*;

/// Milliseconds for which a server that is gone is kept, so that a late announcement doesn't add it
/// again. An announcement that arrives later than this adds the server as a new one. Servers that
/// stop announcing themselves are kept at least as long.
const RETENTION_MS: Millis = 120_000;

/// A known backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its newest announcement, with the latest stage that the incarnation has reached.
    pub announcement: Announcement,
    /// When the newest announcement or confirmation of its liveness arrived, or when it left.
    pub last_contact_at: Millis,
}

impl Server {
    /// Records that an incarnation, and so each earlier one, has left. Returns whether the server wasn't gone before.
    fn mark_gone(&mut self, now: Millis, incarnation: u64) -> bool {
        let announcement = &mut self.announcement;
        if incarnation < announcement.incarnation || announcement.stage == Stage::Gone {
            return false;
        }
        announcement.stage = Stage::Gone;
        self.last_contact_at = now;
        true
    }
}

/// Effect of an announcement or a departure on the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server was not known in this incarnation.
    New,
    /// The server has advanced to a later lifecycle stage, or has left before it was known.
    Moved,
    /// The server is in the same lifecycle stage; only its details or the time of its last contact
    /// have changed.
    Renewed,
    /// Nothing: the announcement or departure is outdated, the server that left is gone already, or it isn't known
    /// which incarnation has left.
    Ignored,
}

/// Known backend servers by name.
///
/// Invariant: of the servers at one address, at most one is not gone.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    servers: BTreeMap<Name, Server>,
    /// Servers that have said in an answer that they leave, known or not.
    leaving: BTreeMap<Name, Farewell>,
    /// Servers that have left in an incarnation that wasn't known when that was heard.
    departed: BTreeMap<Name, Farewell>,
}

/// What was heard of a server that leaves or has left.
#[derive(Clone, Copy, Debug)]
struct Farewell {
    /// The latest incarnation of which that was heard.
    incarnation: u64,
    /// When that was last heard.
    heard_at: Millis,
}

impl Registry {
    /// Records an announcement.
    pub fn observe(&mut self, now: Millis, mut announcement: Announcement) -> Change {
        if announcement.check().is_err() {
            return Change::Ignored;
        }
        let known = self.servers.get(&announcement.id);
        if let Some(known) = known {
            let newest = (known.announcement.incarnation, known.announcement.number);
            if (announcement.incarnation, announcement.number) <= newest
                && announcement.stage <= known.announcement.stage
            {
                return Change::Ignored;
            }
            if announcement.incarnation < known.announcement.incarnation {
                return Change::Ignored;
            }
        }
        if self.address_taken(&announcement) || self.has_departed(&announcement) {
            announcement.stage = Stage::Gone;
        }
        if self.has_said_that_it_leaves(&announcement) {
            announcement.stage = announcement.stage.max(Stage::Draining);
        }
        // The known server, if it is the same incarnation.
        let same = known.filter(|k| k.announcement.incarnation == announcement.incarnation);
        let before = same.map(|k| k.announcement.stage);
        if let Some(before) = before {
            announcement.stage = announcement.stage.max(before);
        }
        let change = match before {
            None => Change::New,
            Some(before) if before != announcement.stage => Change::Moved,
            Some(_) => Change::Renewed,
        };
        self.mark_predecessors_gone(&announcement);
        let last_contact_at = now;
        self.servers.insert(
            announcement.id.clone(),
            Server {
                announcement,
                last_contact_at,
            },
        );
        change
    }

    /// Records that an incarnation of a server has said in an answer that it leaves. It is never ready again,
    /// whatever it announces.
    pub fn mark_leaving(&mut self, now: Millis, id: &Name, incarnation: u64) -> Change {
        let leaving = Farewell {
            incarnation,
            heard_at: now,
        };
        let known = self.leaving.get(id);
        if known.is_none_or(|known| known.incarnation <= incarnation) {
            self.leaving.insert(id.clone(), leaving);
        }
        let known = self
            .servers
            .get_mut(id)
            .map(|known| &mut known.announcement);
        let same = known.filter(|known| known.incarnation == incarnation);
        let Some(announcement) = same.filter(|known| known.stage == Stage::Ready) else {
            return Change::Ignored;
        };
        announcement.stage = Stage::Draining;
        Change::Moved
    }

    /// Returns the servers that have said in an answer that they leave, with their incarnations.
    pub fn leaving(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.leaving.iter().map(|(id, said)| (id, said.incarnation))
    }

    /// The incarnation that has left, if a departure doesn't name one: the one that is known; `None` if the server isn't.
    pub fn departed_incarnation(&self, id: &str, named: Option<u64>) -> Option<u64> {
        named.or_else(|| self.get(id).map(|known| known.announcement.incarnation))
    }

    /// Records that a server has left. `incarnation` is the one that left, if it is known; otherwise it is taken to be
    /// [the known one](Registry::departed_incarnation).
    pub fn mark_gone(&mut self, now: Millis, id: &str, incarnation: Option<u64>) -> Change {
        let Some(left) = self.departed_incarnation(id, incarnation) else {
            return Change::Ignored;
        };
        let known = self.servers.get_mut(id);
        let is_known = known
            .as_ref()
            .is_some_and(|known| known.announcement.incarnation >= left);
        let was_marked = known.is_some_and(|known| known.mark_gone(now, left));
        let was_recorded = !is_known && self.record_departure(now, id, left);
        if was_marked || was_recorded {
            Change::Moved
        } else {
            Change::Ignored
        }
    }

    /// Records the departure of an incarnation that isn't known. Returns whether that is news.
    fn record_departure(&mut self, now: Millis, id: &str, incarnation: u64) -> bool {
        let known = self.departed.get(id);
        let is_news = known.is_none_or(|known| known.incarnation < incarnation);
        if is_news {
            let departure = Farewell {
                incarnation,
                heard_at: now,
            };
            self.departed.insert(id.into(), departure);
        }
        is_news
    }

    /// Returns the servers that have left in an incarnation that wasn't known when that was heard, with that
    /// incarnation.
    pub fn departed(&self) -> impl Iterator<Item = (&Name, u64)> {
        let departed = self.departed.iter();
        departed.map(|(id, departure)| (id, departure.incarnation))
    }

    /// Records that another instance received an announcement from the server recently. Returns
    /// whether the server is known in this incarnation and is not gone.
    pub fn renew_liveness(&mut self, now: Millis, id: &str, incarnation: u64) -> bool {
        let known = self.servers.get_mut(id);
        let known = known.filter(|s| {
            s.announcement.incarnation == incarnation && s.announcement.stage != Stage::Gone
        });
        let Some(server) = known else {
            return false;
        };
        server.last_contact_at = now;
        true
    }

    /// Removes servers that have been gone for `RETENTION_MS`, and other servers without contact
    /// for the longer of `max_silence_ms` and `RETENTION_MS`.
    pub fn expire(&mut self, now: Millis, max_silence_ms: Millis) {
        self.servers.retain(|_, server| {
            let age = now.saturating_sub(server.last_contact_at);
            match server.announcement.stage {
                Stage::Gone => age < RETENTION_MS,
                _ => age < max_silence_ms.max(RETENTION_MS),
            }
        });
        let servers = &self.servers;
        self.leaving
            .retain(|id, said| servers.contains_key(id) || now < said.heard_at + RETENTION_MS);
        self.departed
            .retain(|_, departure| now < departure.heard_at + RETENTION_MS);
    }

    /// Returns a server by name.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the servers of a service that accept requests.
    pub fn ready<'a>(&'a self, service: &Name) -> impl Iterator<Item = &'a Server> + use<'a> {
        let service = service.clone();
        self.servers.values().filter(move |s| {
            s.announcement.service == service && s.announcement.stage == Stage::Ready
        })
    }

    fn has_said_that_it_leaves(&self, announcement: &Announcement) -> bool {
        let said = self.leaving.get(&announcement.id);
        said.is_some_and(|said| said.incarnation == announcement.incarnation)
    }

    /// Whether the incarnation, or a later one, has left.
    fn has_departed(&self, announcement: &Announcement) -> bool {
        let departure = self.departed.get(&announcement.id);
        departure.is_some_and(|departure| departure.incarnation >= announcement.incarnation)
    }

    /// Whether another server at the same address, not gone, has a later incarnation.
    fn address_taken(&self, announcement: &Announcement) -> bool {
        self.servers.values().any(|other| {
            other.announcement.id != announcement.id
                && other.announcement.address == announcement.address
                && other.announcement.stage != Stage::Gone
                && other.announcement.incarnation > announcement.incarnation
        })
    }

    /// Marks all other servers at the address of `announcement` as gone.
    fn mark_predecessors_gone(&mut self, announcement: &Announcement) {
        if announcement.stage == Stage::Gone {
            return;
        }
        for other in self.servers.values_mut() {
            if other.announcement.id != announcement.id
                && other.announcement.address == announcement.address
            {
                other.announcement.stage = Stage::Gone;
            }
        }
    }
}
