//! Which control processes a router dials: those that any linked control process names as a voter.
//!
//! Control processes learn of a change of the group at different times, and each sends its list when a link
//! comes up. A list alone may be outdated, so an address is given up only once no linked control process
//! names it. The lists of links that went down count until another link has sent one.

use crate::prelude::*;

/// Lists of addresses, by the link that each came on.
///
/// Invariant: a list of a link that is down stays only while no linked process has sent a list.
#[derive(Clone, Debug)]
pub struct Addresses<A> {
    lists: BTreeMap<u64, List<A>>,
}

/// The last list that came on a link.
#[derive(Clone, Debug)]
struct List<A> {
    addresses: Vec<A>,
    is_linked: bool,
}

impl<A> Default for Addresses<A> {
    fn default() -> Addresses<A> {
        Addresses {
            lists: BTreeMap::new(),
        }
    }
}

impl<A: Clone + Ord> Addresses<A> {
    /// Replaces the list of a link.
    pub fn named(&mut self, link: u64, addresses: Vec<A>) {
        let list = List {
            addresses,
            is_linked: true,
        };
        self.lists.insert(link, list);
        self.drop_outdated();
    }

    /// Records that a link went down.
    pub fn disconnected(&mut self, link: u64) {
        if let Some(list) = self.lists.get_mut(&link) {
            list.is_linked = false;
        }
        self.drop_outdated();
    }

    /// Returns the addresses to dial, each once.
    pub fn all(&self) -> Vec<A> {
        let lists = self.lists.values();
        let addresses: BTreeSet<A> = lists.flat_map(|l| l.addresses.iter().cloned()).collect();
        addresses.into_iter().collect()
    }

    fn drop_outdated(&mut self) {
        if self.lists.values().any(|list| list.is_linked) {
            self.lists.retain(|_, list| list.is_linked);
        }
    }
}
