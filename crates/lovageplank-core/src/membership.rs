//! Membership of backend servers and routers: leases, incarnations and suspicions.
//!
//! The table is soft state: each leader keeps its own and rebuilds it from announcements. State
//! that must survive, the engines and their loaded models, is kept in [`crate::ledger`].
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
//! - An announcement of an incarnation older than the latest known one is ignored, also after the
//!   member left or was lost. Once an incarnation has left, its announcements are ignored as well.
//! - `Leaving` is final within an incarnation, so that a late announcement can't undo it. When its
//!   lease expires, a leaving member has left; any other member is lost.
//! - If two members announce the same address, the later one owns it. The other one is removed as
//!   lost (as left if it was leaving) and its incarnation is ignored for one lease. A replacement
//!   instance often gets the address of the instance that it replaces.
//! - A member that returns after repeated losses is held down: it joins only after a time that
//!   doubles with each loss, up to a maximum.
//! - Observers report a suspicion when they failed to reach a member. A suspicion expires by time
//!   alone: a heartbeat shows that the member is alive, not that the observer can reach it.

mod config;
mod member;

pub use config::Config;
pub use member::{Event, Member, Role};

use crate::backend::State;
use crate::prelude::*;

/// Limits the size of the table. Beyond it, announcements of unknown members are ignored.
pub const MAX_MEMBERS: usize = 10_000;
/// Limits the histories of removed members. Beyond it, the history with the earliest removal is
/// dropped; late announcements of its incarnation are then no longer ignored.
pub const MAX_HISTORIES: usize = 10_000;
/// Limits the observers whose suspicions of one member are kept. Suspicions of further observers
/// are not counted.
pub const MAX_OBSERVERS: usize = 16;

/// A member in the table, joined or held down.
#[derive(Clone, Debug, PartialEq)]
struct PresentMember {
    member: Member,
    lease_expires_at: Millis,
    /// When the member joins after repeated losses; `None` once it has joined.
    held_down_until: Option<Millis>,
    /// Observers that failed to reach the member, with the expiry times of their suspicions.
    suspicions: BTreeMap<Name, Millis>,
}

/// What is kept of a member after its removal, also when it returns.
#[derive(Clone, Debug, PartialEq)]
struct History {
    /// The highest incarnation that was removed.
    incarnation: u64,
    /// Until when announcements of that incarnation are ignored.
    ignored_until: Millis,
    /// Losses with less than the flap window between successive removals.
    recent_losses: u32,
    /// When the member was last lost or left.
    last_removed_at: Millis,
}

/// Members with their leases.
///
/// Invariant: `addresses` maps the address of each present member to that member's name.
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

    /// Announces each member that is not in the table, which gives it a full lease. A new leader
    /// does this, so that it declares no known member lost before one lease has passed.
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

    /// Applies an announcement: adds the member, or updates it and renews its lease.
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

    /// Renews a member's lease. Returns false if this incarnation is unknown and must announce
    /// itself.
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

    /// Marks a member as leaving; it stays in the table until its lease expires.
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

    /// Removes members whose lease has expired, lets members join whose hold-down has ended, and
    /// drops expired suspicions.
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

    /// When [`Table::tick`] is next due: the earliest end of a lease or hold-down. `None` if the
    /// table is empty.
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

    /// Records that an observer failed to reach a member. Returns false if this incarnation is
    /// unknown.
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

    /// Number of observers that currently suspect a member.
    pub fn suspicion_count(&self, now: Millis, id: &str) -> usize {
        self.members.get(id).map_or(0, |entry| {
            let current = entry.suspicions.values().filter(|until| **until > now);
            current.count()
        })
    }

    /// A member by name; `None` if it is unknown or held down.
    pub fn member(&self, id: &str) -> Option<&Member> {
        let entry = self.members.get(id)?;
        entry.held_down_until.is_none().then_some(&entry.member)
    }

    /// Members that have joined, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let joined = self
            .members
            .values()
            .filter(|entry| entry.held_down_until.is_none());
        joined.map(|entry| &entry.member)
    }

    /// The member that owns an address; `None` if there is none or it is held down.
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

    /// Removes another member that owns the announced member's address.
    fn displace_address_owner(&mut self, now: Millis, member: &Member) -> Option<Event> {
        let owner = self.addresses.get(&member.address)?.clone();
        if owner == member.id {
            return None;
        }
        self.remove(now, &owner, now + self.config.lease_ms)
    }

    /// Removes a member. Announcements of its incarnation are ignored until `ignored_until`, or
    /// for good if it was leaving.
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

    /// How long a returning member is held down: 0 after at most one recent loss, the configured
    /// time after two, doubled with each further loss up to the maximum.
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
