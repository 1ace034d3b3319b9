//! Snapshots: log compaction with a local one, and installation of a received one.

use super::config::SNAPSHOT_BYTES_MAX;
use super::message::{Body, Output};
use super::node::Node;
use super::types::{Id, Index, Snapshot};
use crate::prelude::*;

impl Node {
    /// Replaces the log up to an applied index by the state at that index. Does nothing if the
    /// index is not applied, is covered by the last snapshot, or the state is too large.
    pub(super) fn compact_log(&mut self, index: Index, data: Arc<[u8]>) {
        let fits = data.len() <= SNAPSHOT_BYTES_MAX;
        let is_usable = fits && index > self.log.snapshot_position().index && index <= self.commit;
        let Some(position) = self.log.position(index).filter(|_| is_usable) else {
            return;
        };
        self.save_snapshot(Snapshot {
            index,
            term: position.term,
            membership: self.log.membership_at(index).clone(),
            data,
        });
    }

    fn save_snapshot(&mut self, snapshot: Snapshot) {
        let through = snapshot.index;
        self.log.reset_to_snapshot(snapshot.clone());
        self.outputs.push(Output::SaveSnapshot(snapshot));
        self.outputs.push(Output::Compact { through });
    }

    pub(super) fn on_install(&mut self, from: Id, snapshot: Snapshot, round: u64) {
        self.follow_leader(from);
        if snapshot.index > self.commit {
            if !self.disk_writable {
                return;
            }
            self.install_snapshot(snapshot);
        }
        // Committed entries are the same on all members, so the logs match up to `commit`.
        let matched = self.commit;
        self.send(from, Body::AppendAccepted { matched, round });
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        if self.log.contains(snapshot.position()) {
            return self.commit_to(snapshot.index);
        }
        self.commit = snapshot.index;
        self.save_snapshot(snapshot.clone());
        self.outputs.push(Output::Restore(snapshot));
    }
}
