//! Which entry instances there are, as an entry instance hears it from control instances.
//!
//! Each control instance lists the entry instances that are linked to it, once as a whole and then
//! change by change.

use super::message::Entry;
use crate::prelude::*;

/// Entry instances by the link on which they were listed.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    by_link: BTreeMap<u64, BTreeMap<Name, Entry>>,
    /// Those that callers might use when there last were any.
    last: Vec<Entry>,
}

impl Roster {
    /// A control instance lists all its entry instances.
    pub fn listed(&mut self, link: u64, entries: Vec<Entry>) {
        let entries = entries.into_iter();
        let by_name = entries.map(|e| (e.instance.clone(), e)).collect();
        self.by_link.insert(link, by_name);
        self.note_last();
    }

    /// A control instance lists one that is new or has changed.
    pub fn changed(&mut self, link: u64, entry: Entry) {
        let entries = self.by_link.entry(link).or_default();
        entries.insert(entry.instance.clone(), entry);
        self.note_last();
    }

    /// An entry instance isn't linked to a control instance any more.
    pub fn left(&mut self, link: u64, instance: &str) {
        if let Some(entries) = self.by_link.get_mut(&link) {
            entries.remove(instance);
        }
        self.note_last();
    }

    /// A link to a control instance is gone, and with it what it listed.
    pub fn forget(&mut self, link: u64) {
        self.by_link.remove(&link);
    }

    /// Entry instances that callers may use; the last that were known if there are none now.
    pub fn ready(&self) -> Vec<Entry> {
        let ready = self.ready_now();
        if ready.is_empty() {
            return self.last.clone();
        }
        ready
    }

    /// Number of entry instances that share the bound on repeats: at least this one.
    pub fn instances(&self) -> usize {
        self.ready_now().len().max(self.last.len()).max(1)
    }

    fn ready_now(&self) -> Vec<Entry> {
        let listed = self.by_link.values().flatten();
        let by_name: BTreeMap<&Name, &Entry> = listed.collect();
        let ready = by_name.into_values().filter(|e| e.ready);
        ready.cloned().collect()
    }

    fn note_last(&mut self) {
        let ready = self.ready_now();
        if !ready.is_empty() {
            self.last = ready;
        }
    }
}
