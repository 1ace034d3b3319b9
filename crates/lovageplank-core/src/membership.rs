//! Leases, incarnations and suspicion of backend servers and instances.
//!
//! The table is soft state: each leader and router keeps its own and rebuilds it from
//! announcements. What must survive, the engines and what they hold, lives in [`crate::ledger`].
//!
//! ```
//! use lovageplank_core::backend::State;
//! use lovageplank_core::membership::{Config, Event, Member, Role, Table};
//! let config = Config::default().lease_ms(3_000);
//! let mut table = Table::new(config);
//! let member = Member::new("e1", 1, Role::Engine, "127.0.0.1:9000");
//! assert_eq!(table.announce(0, member.clone()), [Event::Joined(member)]);
//! let lost = Event::Lost { id: "e1".into(), incarnation: 1 };
//! assert_eq!(table.tick(3_000), [lost]);
//! ```
//!
//! # Rules
//!
//! - An announcement of an incarnation below the known one is ignored, also after the member left
//!   or was lost; that of an incarnation that left is ignored too.
//! - `Leaving` is final within an incarnation, so that a late announcement can't undo it. A
//!   leaving member that falls silent has left; any other one was lost.
//! - Of two members with one address the later to announce itself owns it; the other one counts as
//!   lost and is ignored for one lease. A replaced instance often gets its predecessor's address.
//! - A member that is lost again and again is held back for a time that doubles with each loss.
//! - Suspicions come from observers that failed to reach a member, and end by themselves: a
//!   heartbeat shows that the member lives, not that the observer can reach it.

mod config;
mod member;

pub use config::Config;
pub use member::{Event, Member, Role};

use crate::backend::State;
use crate::prelude::*;

/// Most members; announcements of further ones are ignored.
pub const MAX_MEMBERS: usize = 10_000;
/// Gone members whose incarnations are remembered; the longest gone are forgotten first.
pub const MAX_HISTORIES: usize = 10_000;
/// Most observers whose suspicions of one member are kept.
pub const MAX_OBSERVERS: usize = 16;

/// What is known of a present member.
#[derive(Clone, Debug, PartialEq)]
struct PresentMember {
    member: Member,
    /// When its lease runs out.
    lease_expires_at: Millis,
    /// Until when it is held back; `None` once it has joined.
    held_down_until: Option<Millis>,
    /// Observers that failed to reach it, with the ends of their suspicions.
    suspicions: BTreeMap<Name, Millis>,
}

/// What is remembered of a member beyond its presence.
#[derive(Clone, Debug, PartialEq)]
struct History {
    /// The highest incarnation that is gone.
    incarnation: u64,
    /// Until when announcements of that incarnation are ignored.
    ignored_until: Millis,
    /// Losses without a quiet window between them.
    recent_losses: u32,
    /// When it was last lost or left.
    last_removed_at: Millis,
}

/// Members with their leases.
///
/// Invariant: each present member owns its address in `addresses`.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    config: Config,
    members: BTreeMap<Name, PresentMember>,
    addresses: BTreeMap<Name, Name>,
    histories: BTreeMap<Name, History>,
}

impl Table {
    /// A table without members.
    pub fn new(config: Config) -> Table {
        Table {
            config,
            members: BTreeMap::new(),
            addresses: BTreeMap::new(),
            histories: BTreeMap::new(),
        }
    }

    /// Grants each member a full lease, as a new leader does before it calls any of them lost.
    pub fn grant_leases(
        &mut self,
        now: Millis,
        members: impl IntoIterator<Item = Member>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for member in members {
            if !self.members.contains_key(&member.id) {
                events.extend(self.announce(now, member));
            }
        }
        events
    }

    /// Takes in an announcement, which renews the member's lease.
    pub fn announce(&mut self, now: Millis, mut member: Member) -> Vec<Event> {
        if self.is_ignored(now, &member) {
            return Vec::new();
        }
        let mut events = Vec::new();
        if let Some(known) = self.members.get(&member.id) {
            if known.member.incarnation < member.incarnation {
                let id = member.id.clone();
                events.extend(self.remove(now, &id, now));
            } else if known.member.state == State::Leaving {
                member.state = State::Leaving;
            }
        }
        events.extend(self.displace_address_owner(now, &member));
        if self.members.contains_key(&member.id) {
            events.extend(self.renew(now, member));
        } else {
            events.extend(self.join(now, member));
        }
        events
    }

    /// Renews a lease without an announcement; false when the member must announce itself.
    pub fn heartbeat(&mut self, now: Millis, id: &str, incarnation: u64) -> bool {
        let lease_ms = self.config.lease_ms;
        match self.members.get_mut(id) {
            Some(entry) if entry.member.incarnation == incarnation => {
                entry.lease_expires_at = now + lease_ms;
                true
            }
            _ => false,
        }
    }

    /// Marks a member as leaving; it stays until it falls silent.
    pub fn mark_leaving(&mut self, id: &str, incarnation: u64) -> Vec<Event> {
        match self.members.get_mut(id) {
            Some(entry)
                if entry.member.incarnation == incarnation
                    && entry.member.state == State::Ready =>
            {
                entry.member.state = State::Leaving;
                match entry.held_down_until {
                    None => vec![Event::Changed(entry.member.clone())],
                    Some(_) => Vec::new(),
                }
            }
            _ => Vec::new(),
        }
    }

    /// Ends leases that ran out and admits members that were held back long enough.
    pub fn tick(&mut self, now: Millis) -> Vec<Event> {
        let mut events = Vec::new();
        let expired: Vec<Name> = self.ids_where(|entry| entry.lease_expires_at <= now);
        for id in expired {
            events.extend(self.remove(now, &id, now));
        }
        for entry in self.members.values_mut() {
            if entry.held_down_until.is_some_and(|until| until <= now) {
                entry.held_down_until = None;
                events.push(Event::Joined(entry.member.clone()));
            }
            entry.suspicions.retain(|_, until| *until > now);
        }
        events
    }

    /// The next moment at which [`Table::tick`] has something to do.
    pub fn next_tick(&self) -> Option<Millis> {
        let entries = self.members.values();
        entries
            .map(|entry| {
                entry
                    .held_down_until
                    .map_or(entry.lease_expires_at, |until| {
                        until.min(entry.lease_expires_at)
                    })
            })
            .min()
    }

    /// Notes that an observer failed to reach a member; false when the member is unknown.
    pub fn suspect(&mut self, now: Millis, id: &str, incarnation: u64, observer: &Name) -> bool {
        let until = now + self.config.suspicion_ms;
        let Some(entry) = self.members.get_mut(id) else {
            return false;
        };
        if entry.member.incarnation != incarnation {
            return false;
        }
        entry.suspicions.retain(|_, until| *until > now);
        if entry.suspicions.len() < MAX_OBSERVERS || entry.suspicions.contains_key(observer) {
            entry.suspicions.insert(observer.clone(), until);
        }
        true
    }

    /// Observers that suspect a member now.
    pub fn suspicion_count(&self, now: Millis, id: &str) -> usize {
        self.members.get(id).map_or(0, |entry| {
            let current = entry.suspicions.values().filter(|until| **until > now);
            current.count()
        })
    }

    /// A member that has joined.
    pub fn member(&self, id: &str) -> Option<&Member> {
        let entry = self.members.get(id)?;
        entry.held_down_until.is_none().then_some(&entry.member)
    }

    /// Members that have joined, in order of names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let joined = self
            .members
            .values()
            .filter(|entry| entry.held_down_until.is_none());
        joined.map(|entry| &entry.member)
    }

    /// The member that owns an address.
    pub fn owner(&self, address: &str) -> Option<&Member> {
        self.member(self.addresses.get(address)?)
    }

    fn is_ignored(&self, now: Millis, member: &Member) -> bool {
        let known = self.members.get(&member.id);
        if known.is_some_and(|entry| entry.member.incarnation > member.incarnation) {
            return true;
        }
        if known.is_none() && self.members.len() >= MAX_MEMBERS {
            return true;
        }
        self.histories.get(&member.id).is_some_and(|history| {
            history.incarnation > member.incarnation
                || (history.incarnation == member.incarnation && now < history.ignored_until)
        })
    }

    fn join(&mut self, now: Millis, member: Member) -> Option<Event> {
        let hold_down_ms = self.hold_down_ms(now, &member.id);
        let address = member.address.clone();
        self.addresses.insert(address, member.id.clone());
        let entry = PresentMember {
            member: member.clone(),
            lease_expires_at: now + self.config.lease_ms,
            held_down_until: (hold_down_ms > 0).then(|| now + hold_down_ms),
            suspicions: BTreeMap::new(),
        };
        let joined = entry.held_down_until.is_none();
        self.members.insert(member.id.clone(), entry);
        joined.then_some(Event::Joined(member))
    }

    fn renew(&mut self, now: Millis, member: Member) -> Option<Event> {
        let entry = self.members.get_mut(&member.id)?;
        entry.lease_expires_at = now + self.config.lease_ms;
        if entry.member == member {
            return None;
        }
        let previous = entry.member.address.clone();
        entry.member = member.clone();
        let joined = entry.held_down_until.is_none();
        if previous != member.address {
            self.addresses.remove(&previous);
            self.addresses
                .insert(member.address.clone(), member.id.clone());
        }
        joined.then_some(Event::Changed(member))
    }

    fn displace_address_owner(&mut self, now: Millis, member: &Member) -> Option<Event> {
        let owner = self.addresses.get(&member.address)?.clone();
        if owner == member.id {
            return None;
        }
        self.remove(now, &owner, now + self.config.lease_ms)
    }

    /// Removes a member and bars its incarnation until `barred`, or for good when it left.
    fn remove(&mut self, now: Millis, id: &Name, ignored_until: Millis) -> Option<Event> {
        let entry = self.members.remove(id)?;
        self.addresses.remove(&entry.member.address);
        let incarnation = entry.member.incarnation;
        let left = entry.member.state == State::Leaving;
        let window_ms = self.config.flap_window_ms;
        let previous = self.histories.get(id);
        let recent = previous.filter(|history| now < history.last_removed_at + window_ms);
        let recent_losses = recent.map_or(0, |history| history.recent_losses) + u32::from(!left);
        let history = History {
            incarnation,
            ignored_until: if left { Millis::MAX } else { ignored_until },
            recent_losses,
            last_removed_at: now,
        };
        self.histories.insert(id.clone(), history);
        self.trim_histories();
        let id = id.clone();
        if entry.held_down_until.is_some() {
            return None;
        }
        Some(if left {
            Event::Left { id, incarnation }
        } else {
            Event::Lost { id, incarnation }
        })
    }

    fn trim_histories(&mut self) {
        if self.histories.len() <= MAX_HISTORIES {
            return;
        }
        let oldest = self
            .histories
            .iter()
            .min_by_key(|(_, history)| history.last_removed_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.histories.remove(&id);
        }
    }

    /// How long a member that returns is held back: not after one loss, then ever longer.
    fn hold_down_ms(&self, now: Millis, id: &Name) -> Millis {
        let window_ms = self.config.flap_window_ms;
        let history = self
            .histories
            .get(id)
            .filter(|history| now < history.last_removed_at + window_ms);
        let recent_losses = history.map_or(0, |history| history.recent_losses);
        let Some(doublings) = recent_losses.checked_sub(2) else {
            return 0;
        };
        let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
        let hold_down_ms = self.config.hold_down_ms.saturating_mul(factor);
        hold_down_ms.min(self.config.max_hold_down_ms)
    }

    fn ids_where(&self, predicate: impl Fn(&PresentMember) -> bool) -> Vec<Name> {
        let entries = self.members.iter().filter(|(_, entry)| predicate(entry));
        entries.map(|(id, _)| id.clone()).collect()
    }
}
