//! Directory of all routers, as one router receives it from control processes.
//!
//! Over each new link, a control process sends the full list of the routers that have a link to it,
//! and afterwards each change to that list.

use super::message::Router;
use crate::prelude::*;

/// Routers, by the link over which a control process listed them.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Keys are the number of the link, unique in this process, and the name of the instance.
    by_link: BTreeMap<u64, BTreeMap<Name, Router>>,
    /// The last list of ready routers (those that accept new callers) that was not empty.
    last_ready: Vec<Router>,
}

impl Directory {
    /// Replaces the list that was received on a link.
    pub fn replace_list(&mut self, link: u64, routers: Vec<Router>) {
        let routers = routers.into_iter();
        let by_name = routers.map(|r| (r.instance.clone(), r)).collect();
        self.by_link.insert(link, by_name);
        self.save_last_ready();
    }

    /// Records a router that is new on a link or has changed.
    pub fn update(&mut self, link: u64, router: Router) {
        let routers = self.by_link.entry(link).or_default();
        routers.insert(router.instance.clone(), router);
        self.save_last_ready();
    }

    /// Removes a router that is no longer linked to the control process at the other end of `link`.
    pub fn remove(&mut self, link: u64, instance: &str) {
        if let Some(routers) = self.by_link.get_mut(&link) {
            routers.remove(instance);
        }
        self.save_last_ready();
    }

    /// Removes a link that went down, with the routers listed on it.
    pub fn remove_link(&mut self, link: u64) {
        self.by_link.remove(&link);
    }

    /// Returns the listed routers that accept new callers. If there are none now, returns the last
    /// list of them that was not empty.
    pub fn ready_routers(&self) -> Vec<Router> {
        let ready = self.listed_ready();
        if ready.is_empty() {
            return self.last_ready.clone();
        }
        ready
    }

    fn listed_ready(&self) -> Vec<Router> {
        let listed = self.by_link.values().flatten();
        let by_name: BTreeMap<&Name, &Router> = listed.collect();
        let ready = by_name.into_values().filter(|r| r.ready);
        ready.cloned().collect()
    }

    fn save_last_ready(&mut self) {
        let ready = self.listed_ready();
        if !ready.is_empty() {
            self.last_ready = ready;
        }
    }
}
