//! Backend servers, from their announcements.
//!
//! Announcements may arrive late, out of order, from servers that have left, and relayed by several
//! instances. They are ordered by incarnation (the start time of the server's process) and, within
//! an incarnation, by number. A server that has begun to leave is never ready again in the same
//! incarnation; it may say so in an announcement or in an answer to a request.
//!
//! A server that leaves doesn't say which incarnation it is. The control process that it tells does so in its stead
//! ([`Registry::departure`]), since processes that hear of it later may know the next one already. They may also hear of
//! a departure before they hear of the server, so that departures are kept by themselves. A server that was taken for
//! gone by mistake is [readmitted](super::readmission).

mod announcement;
mod presence;

pub use announcement::{Announcement, CachedWeights, LoadedModel, Stage};
pub use presence::{Departure, Presence};

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
    /// Records a departure of this incarnation or a later one. Returns whether the server wasn't gone before.
    fn mark_gone(&mut self, now: Millis, departure: Departure) -> bool {
        let announcement = &mut self.announcement;
        let number = if departure.incarnation == announcement.incarnation {
            departure.number
        } else {
            announcement.last_number()
        };
        announcement.presence.depart(number);
        if announcement.stage == Stage::Gone || !announcement.presence.is_gone() {
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
    leaving: BTreeMap<Name, Leaving>,
    /// Servers that have left in an incarnation that wasn't known when that was heard.
    departed: BTreeMap<Name, Departed>,
}

/// What a server has said in an answer.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// The incarnation that leaves.
    incarnation: u64,
    /// When that was last heard.
    heard_at: Millis,
}

/// What was heard of a server that has left.
#[derive(Clone, Copy, Debug)]
struct Departed {
    /// The latest departure.
    departure: Departure,
    /// When that was heard.
    heard_at: Millis,
}

impl Registry {
    /// Records an announcement.
    pub fn observe(&mut self, now: Millis, mut announcement: Announcement) -> Change {
        if announcement.check().is_err() {
            return Change::Ignored;
        }
        let known = self.servers.get(&announcement.id).map(|k| &k.announcement);
        if known.is_some_and(|known| known.incarnation > announcement.incarnation) {
            return Change::Ignored;
        }
        let same = known.filter(|known| known.incarnation == announcement.incarnation);
        let presence = self.presence(&announcement, same);
        if same.is_some_and(|same| same.includes(&announcement, presence)) {
            self.keep_presence(&announcement.id, presence);
            return Change::Ignored;
        }
        let before = same.map(|same| same.stage);
        announcement.presence = presence;
        announcement.stage = self.stage(&announcement, before);
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
        let leaving = Leaving {
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

    /// What is known of an incarnation's departure with this announcement; `same` is the newest one of it so far.
    fn presence(&self, announcement: &Announcement, same: Option<&Announcement>) -> Presence {
        let mut presence = announcement.presence;
        if announcement.stage == Stage::Gone && !presence.is_gone() {
            // A process of an older build doesn't say at which announcement it left.
            presence.depart(announcement.number);
        }
        if let Some(same) = same {
            presence = presence.merge(same.presence);
        }
        let departed = self.departed.get(&announcement.id).map(|d| d.departure);
        if let Some(departed) = departed.filter(|d| d.incarnation == announcement.incarnation) {
            presence.depart(departed.number);
        }
        let has_later = departed.is_some_and(|d| d.incarnation > announcement.incarnation);
        let is_succeeded = has_later && presence.readmitted_at.is_none()
            || self.address_taken(announcement, presence);
        if !presence.is_gone() && is_succeeded {
            presence.depart(announcement.last_number());
        }
        presence
    }

    /// Records what is known of the departure of a server whose announcement says nothing else that is new.
    fn keep_presence(&mut self, id: &Name, presence: Presence) {
        if let Some(known) = self.servers.get_mut(id) {
            known.announcement.presence = presence;
        }
    }

    /// The stage of an announcement, after an earlier one of the same incarnation.
    fn stage(&self, announcement: &Announcement, before: Option<Stage>) -> Stage {
        if announcement.presence.is_gone() {
            return Stage::Gone;
        }
        // It isn't gone any more if it was.
        let before = before.filter(|before| *before != Stage::Gone);
        let leaving = self.has_said_that_it_leaves(announcement);
        let leaving = leaving.then_some(Stage::Draining);
        announcement
            .stage
            .max(before.unwrap_or(Stage::Ready))
            .max(leaving.unwrap_or(Stage::Ready))
    }

    /// The incarnation that has left, if a departure doesn't name one: the one that is known; `None` if the server isn't.
    pub fn departed_incarnation(&self, id: &str, named: Option<u64>) -> Option<u64> {
        named.or_else(|| self.get(id).map(|known| known.announcement.incarnation))
    }

    /// The departure of a server that may not say its incarnation, nor the number of an announcement: of
    /// [the known one](Registry::departed_incarnation), with its newest announcement. `None` if the server isn't known.
    pub fn departure(
        &self,
        id: &str,
        incarnation: Option<u64>,
        number: Option<u64>,
    ) -> Option<Departure> {
        let incarnation = self.departed_incarnation(id, incarnation)?;
        let known = self.get(id).map(|known| &known.announcement);
        let same = known.filter(|known| known.incarnation == incarnation);
        let newest = || same.map_or(0, Announcement::last_number);
        Some(Departure {
            incarnation,
            number: number.unwrap_or_else(newest),
        })
    }

    /// Records that a server has left. `incarnation` is the one that left, if it is known.
    pub fn mark_gone(&mut self, now: Millis, id: &str, incarnation: Option<u64>) -> Change {
        match self.departure(id, incarnation, None) {
            Some(departure) => self.mark_departed(now, id, departure),
            None => Change::Ignored,
        }
    }

    /// Records the departure of a server.
    pub fn mark_departed(&mut self, now: Millis, id: &str, departure: Departure) -> Change {
        if departure.check().is_err() {
            return Change::Ignored;
        }
        let known = self.servers.get_mut(id);
        let incarnation = known.as_ref().map(|known| known.announcement.incarnation);
        if incarnation.is_some_and(|known| known > departure.incarnation) {
            return Change::Ignored;
        }
        let was_marked = known.is_some_and(|known| known.mark_gone(now, departure));
        let was_recorded =
            incarnation != Some(departure.incarnation) && self.record_departure(now, id, departure);
        if was_marked || was_recorded {
            Change::Moved
        } else {
            Change::Ignored
        }
    }

    /// Records the departure of an incarnation that isn't known. Returns whether that is news.
    fn record_departure(&mut self, now: Millis, id: &str, departure: Departure) -> bool {
        let known = self.departed.get(id);
        let is_news = known.is_none_or(|known| known.departure < departure);
        if is_news {
            let heard_at = now;
            let departed = Departed {
                departure,
                heard_at,
            };
            self.departed.insert(id.into(), departed);
        }
        is_news
    }

    /// Returns the servers that have left in an incarnation that wasn't known when that was heard.
    pub fn departed(&self) -> impl Iterator<Item = (&Name, Departure)> {
        let departed = self.departed.iter();
        departed.map(|(id, departed)| (id, departed.departure))
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
            .retain(|_, departed| now < departed.heard_at + RETENTION_MS);
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

    /// Other servers at the address of `announcement`.
    pub fn others_at<'a>(
        &'a self,
        announcement: &'a Announcement,
    ) -> impl Iterator<Item = &'a Server> {
        let servers = self.servers.values();
        servers.filter(|other| other.announcement.has_address_of_other(announcement))
    }

    /// Whether another server at the same address, not gone, goes before the announced one: it has a later
    /// incarnation, unless the announced one was readmitted. Clocks of servers may differ, so that readmission, with
    /// which it is known who runs, counts for more.
    fn address_taken(&self, announcement: &Announcement, presence: Presence) -> bool {
        let rank =
            |presence: Presence, incarnation: u64| (presence.readmitted_at.is_some(), incarnation);
        let own = rank(presence, announcement.incarnation);
        self.others_at(announcement).any(|other| {
            let other = &other.announcement;
            other.stage != Stage::Gone && rank(other.presence, other.incarnation) > own
        })
    }

    /// Marks all other servers at the address of `announcement` as gone.
    fn mark_predecessors_gone(&mut self, announcement: &Announcement) {
        if announcement.stage == Stage::Gone {
            return;
        }
        for other in self.servers.values_mut() {
            let other = &mut other.announcement;
            if other.stage != Stage::Gone && other.has_address_of_other(announcement) {
                other.presence.depart(other.last_number());
                other.stage = Stage::Gone;
            }
        }
    }
}
