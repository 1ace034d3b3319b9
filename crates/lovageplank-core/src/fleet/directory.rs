//! Directory of the routers, as a router receives it from control processes.
//!
//! Each control process lists the routers that are linked to it, first as a whole and then change
//! by change.

use super::message::Router;
use crate::prelude::*;

/// Routers, by the link on which they were listed.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    by_link: BTreeMap<u64, BTreeMap<Name, Router>>,
    /// The routers that accepted callers when there last were any.
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

    /// Returns the routers that callers may use; the last known ones if there are none now.
    pub fn ready_routers(&self) -> Vec<Router> {
        let ready = self.listed_ready();
        if ready.is_empty() {
            return self.last_ready.clone();
        }
        ready
    }

    /// Returns the number of routers that share the bound on retries, at least 1 for this router
    /// itself.
    pub fn router_count(&self) -> usize {
        self.listed_ready().len().max(self.last_ready.len()).max(1)
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
