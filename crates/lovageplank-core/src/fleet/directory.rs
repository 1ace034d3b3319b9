//! Which entry instances there are, as an entry instance hears it from control instances.
//!
//! Each control instance lists the entry instances that are linked to it, once as a whole and then
//! change by change.

use super::message::Router;
use crate::prelude::*;

/// Entry instances by the link on which they were listed.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    by_link: BTreeMap<u64, BTreeMap<Name, Router>>,
    /// Those that callers might use when there last were any.
    last_ready: Vec<Router>,
}

impl Directory {
    /// A control instance lists all its entry instances.
    pub fn replace_list(&mut self, link: u64, routers: Vec<Router>) {
        let routers = routers.into_iter();
        let by_name = routers.map(|e| (e.instance.clone(), e)).collect();
        self.by_link.insert(link, by_name);
        self.save_last_ready();
    }

    /// A control instance lists one that is new or has changed.
    pub fn update(&mut self, link: u64, router: Router) {
        let routers = self.by_link.entry(link).or_default();
        routers.insert(router.instance.clone(), router);
        self.save_last_ready();
    }

    /// An entry instance isn't linked to a control instance any more.
    pub fn remove(&mut self, link: u64, instance: &str) {
        if let Some(routers) = self.by_link.get_mut(&link) {
            routers.remove(instance);
        }
        self.save_last_ready();
    }

    /// A link to a control instance is gone, and with it what it listed.
    pub fn remove_link(&mut self, link: u64) {
        self.by_link.remove(&link);
    }

    /// Entry instances that callers may use; the last that were known if there are none now.
    pub fn ready_routers(&self) -> Vec<Router> {
        let ready = self.listed_ready();
        if ready.is_empty() {
            return self.last_ready.clone();
        }
        ready
    }

    /// Number of entry instances that share the bound on repeats: at least this one.
    pub fn router_count(&self) -> usize {
        self.listed_ready().len().max(self.last_ready.len()).max(1)
    }

    fn listed_ready(&self) -> Vec<Router> {
        let listed = self.by_link.values().flatten();
        let by_name: BTreeMap<&Name, &Router> = listed.collect();
        let ready = by_name.into_values().filter(|e| e.ready);
        ready.cloned().collect()
    }

    fn save_last_ready(&mut self) {
        let ready = self.listed_ready();
        if !ready.is_empty() {
            self.last_ready = ready;
        }
    }
}
