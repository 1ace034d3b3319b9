//! Directory of all routers, as one router receives it from control processes.
//!
//! Over each new link, a control process sends the full list of the routers that have a link to it,
//! and afterwards each change to that list.

use super::message::Router;
use crate::prelude::*;

/// Routers, by the links over which control processes listed them.
///
/// In a large deployment each of hundreds of routers is listed on several links, and changes come by the
/// thousand while they start: a change costs no look at the others.
///
/// Invariants: no entry of `listed` is empty; `ready` has the names whose entry on the latest link, the
/// one that counts, accepts new callers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Keys are the name of the instance, and the number of the link, unique in this process.
    listed: BTreeMap<Name, BTreeMap<u64, Router>>,
    ready: BTreeSet<Name>,
    /// The last list of ready routers (those that accept new callers) that was not empty, while there are
    /// none.
    last_ready: Vec<Router>,
}

impl Directory {
    /// Replaces the list that was received on a link.
    pub fn replace_list(&mut self, link: u64, routers: Vec<Router>) {
        let names: BTreeSet<Name> = routers.iter().map(|r| r.instance.clone()).collect();
        let before = self.listed_ready();
        for router in routers {
            self.set(link, router);
        }
        for name in self.names_on(link) {
            if !names.contains(&name) {
                self.unset(link, &name);
            }
        }
        self.keep_last_ready(before);
    }

    /// Records a router that is new on a link or has changed.
    pub fn update(&mut self, link: u64, router: Router) {
        let before = self.counted_ready(&router.instance);
        self.set(link, router);
        self.keep_last_ready(before);
    }

    /// Removes a router that is no longer linked to the control process at the other end of `link`.
    pub fn remove(&mut self, link: u64, instance: &str) {
        let before = self.counted_ready(instance);
        self.unset(link, instance);
        self.keep_last_ready(before);
    }

    /// Removes a link that went down, with the routers listed on it.
    pub fn remove_link(&mut self, link: u64) {
        let before = self.listed_ready();
        for name in self.names_on(link) {
            self.unset(link, &name);
        }
        self.keep_last_ready(before);
    }

    /// Returns the listed routers that accept new callers. If there are none now, returns the last
    /// list of them that was not empty.
    pub fn ready_routers(&self) -> Vec<Router> {
        if self.ready.is_empty() {
            return self.last_ready.clone();
        }
        self.listed_ready()
    }

    fn listed_ready(&self) -> Vec<Router> {
        let ready = self.ready.iter();
        ready
            .filter_map(|name| self.counted(name))
            .cloned()
            .collect()
    }

    /// The entry of a router that counts: the one on the latest link.
    fn counted(&self, name: &str) -> Option<&Router> {
        let entries = self.listed.get(name)?;
        entries.values().next_back()
    }

    fn counted_ready(&self, name: &str) -> Vec<Router> {
        let counted = self.counted(name).filter(|router| router.ready);
        counted.into_iter().cloned().collect()
    }

    fn names_on(&self, link: u64) -> Vec<Name> {
        let listed = self.listed.iter();
        let on_link = listed.filter(|(_, entries)| entries.contains_key(&link));
        on_link.map(|(name, _)| name.clone()).collect()
    }

    fn set(&mut self, link: u64, router: Router) {
        let name = router.instance.clone();
        let entries = self.listed.entry(name.clone()).or_default();
        entries.insert(link, router);
        self.judge(&name);
    }

    fn unset(&mut self, link: u64, name: &str) {
        let Some(entries) = self.listed.get_mut(name) else {
            return;
        };
        entries.remove(&link);
        if entries.is_empty() {
            self.listed.remove(name);
        }
        self.judge(name);
    }

    /// Records whether a router is ready, after a change of its entries.
    fn judge(&mut self, name: &str) {
        match self.counted(name) {
            Some(router) if router.ready => {
                let name = router.instance.clone();
                self.ready.insert(name);
            }
            _ => {
                self.ready.remove(name);
            }
        }
    }

    /// Keeps the routers that were ready before a change, if none is after it.
    fn keep_last_ready(&mut self, before: Vec<Router>) {
        if self.ready.is_empty() && !before.is_empty() {
            self.last_ready = before;
        }
    }
}
