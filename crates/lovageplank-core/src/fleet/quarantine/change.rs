//! What has changed from one list of held keys to a later one.

use super::{Held, Key, List};
use crate::prelude::*;

record! { key =>
    /// The keys that were added or are held in another way, and those that aren't held any more.
    pub struct Change {
        /// Term of the leader.
        pub term: u64,
        /// Number of the first list that it can be applied to; the lists from there to `number` tell the receiver
        /// the same.
        pub base: u64,
        /// Number of the list that results.
        pub number: u64,
        /// Added or held in another way.
        pub held: Vec<Held>,
        /// Not held any more, each with its service.
        pub gone: Vec<(Name, Key)>,
    }
}

/// How a change fits to what its receiver has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// It says what is new.
    Next,
    /// The receiver knows as much, or more.
    Known,
    /// The receiver lacks lists before it, and needs the whole list.
    Gap,
}

impl Change {
    /// How it fits to the list of this term and number.
    pub fn fit(&self, term: u64, number: u64) -> Fit {
        if (self.term, self.number) <= (term, number) {
            Fit::Known
        } else if self.term == term && self.base <= number {
            Fit::Next
        } else {
            Fit::Gap
        }
    }
}

impl List {
    /// Applies a change, if it fits.
    pub fn apply(&mut self, change: &Change) -> Fit {
        let fit = change.fit(self.term, self.number);
        if fit == Fit::Next {
            let held = std::mem::take(&mut self.held);
            let mut held = by_key(held);
            for key in &change.gone {
                held.remove(key);
            }
            held.extend(by_key(change.held.iter().cloned()));
            self.held = held.into_values().collect();
            self.number = change.number;
        }
        fit
    }
}

fn by_key(held: impl IntoIterator<Item = Held>) -> BTreeMap<(Name, Key), Held> {
    let entries = held
        .into_iter()
        .map(|held| ((held.service.clone(), held.key), held));
    entries.collect()
}

/// What is to be sent to receivers that have got all that was sent so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// All of it, since a new leader begins.
    Whole(List),
    /// What has changed.
    Change(Change),
}

/// The list that receivers have got that need the same of it.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    /// With the number at which something was new to them.
    list: List,
}

impl Sent {
    /// What tells them of a list; `None` if nothing is new to them.
    pub fn update(&mut self, list: &List) -> Option<Update> {
        if self.list.term != list.term || self.list.number == 0 {
            self.list = list.clone();
            return Some(Update::Whole(list.clone()));
        }
        let before = by_key(std::mem::take(&mut self.list.held));
        let after = by_key(list.held.iter().cloned());
        let is_new = |key: &(Name, Key), held: &Held| {
            before.get(key).map(Held::timeless) != Some(held.timeless())
        };
        let added = after.iter().filter(|(key, held)| is_new(key, held));
        let added: Vec<Held> = added.map(|(_, held)| held.clone()).collect();
        let gone = before.keys().filter(|key| !after.contains_key(*key));
        let gone: Vec<(Name, Key)> = gone.cloned().collect();
        self.list.held = after.into_values().collect();
        if added.is_empty() && gone.is_empty() {
            return None;
        }
        let base = std::mem::replace(&mut self.list.number, list.number);
        Some(Update::Change(Change {
            term: list.term,
            base,
            number: list.number,
            held: added,
            gone,
        }))
    }
}
