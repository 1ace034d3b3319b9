//! The tree with its version, history and remembered change ids.
//!
//! A change names the version that it was made against. Of two changes on an equal base the first
//! in the log is accepted; the other is refused with the paths that differ. An accepted change's id
//! is remembered, so that a change which is sent again gets its first answer. A refused change
//! changed nothing and isn't remembered: sent again, it is judged afresh.
//!
//! History and ids are bounded. Once an id is forgotten, the same change still can't be accepted a
//! second time, because its base is no longer the current version: it gets a conflict.

use super::apply::{self, AppliedEdits};
use super::{Edit, Error, Tree, Version, diff};
use crate::prelude::*;
use std::collections::VecDeque;

/// Changes whose edits are kept for history, conflicts and rollback.
pub const MAX_HISTORY_CHANGES: usize = 1_000;
/// Bytes of edits, as JSON, that are kept for history; one change is kept whatever its size.
pub const MAX_HISTORY_BYTES: usize = 4_000_000;
/// Accepted changes whose ids are remembered: more than five days at 3,400 changes a day.
pub const MAX_ACCEPTED_IDS: usize = 20_000;
/// Most paths that a conflict names.
const MAX_CONFLICT_PATHS: usize = 100;
/// Most bytes of a change id.
const MAX_CHANGE_ID_BYTES: usize = 128;

record! { key =>
    /// Names a change; minted by the operator's client, so that a change can be sent again.
    pub struct ChangeId(pub Name);
}

record! { data =>
    /// Edits that are accepted together or not at all.
    pub struct Change {
        /// Its id.
        pub id: ChangeId,
        /// The version that the edits were made against.
        pub base: Version,
        /// The operator.
        pub author: Name,
        /// Unix milliseconds on the leader's clock.
        pub at_ms: u64,
        /// The edits, made in this order.
        pub edits: Vec<Edit>,
    }
}

record! { copy =>
    /// The answer to an accepted change.
    pub struct Accepted {
        /// The version that the change made.
        pub version: Version,
    }
}

record! { key =>
    /// Why a change was refused; nothing was changed.
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// Another change came accepted.
        Conflict {
            /// The version in force.
            current: Version,
            /// Paths changed since the base, at most a hundred.
            paths: Vec<String>,
            /// Whether `paths` is all of them.
            complete: bool,
        },
        /// The change or the tree that it would make is wrong.
        Invalid(Vec<Error>),
        /// The id belongs to an accepted change with other content.
        Reused {
            /// The version that the accepted change made.
            version: Version,
        },
        /// The version asked for lies outside the kept history.
        Forgotten {
            /// The oldest version that can be restored.
            oldest: Version,
        },
    }
}

record! { data =>
    /// One accepted change as history keeps it.
    pub struct HistoryRecord {
        /// The version that it made.
        pub version: Version,
        /// Its id.
        pub id: ChangeId,
        /// The operator.
        pub author: Name,
        /// Unix milliseconds.
        pub at_ms: u64,
        /// What it changed, place by place.
        pub edits: Vec<Edit>,
        /// What changes it back.
        pub inverse: Vec<Edit>,
        /// Bytes of both lists of edits as JSON.
        bytes: usize,
    }
}

record! { copy =>
    struct AcceptedId {
        version: Version,
        /// FNV-1a of author, base and edits.
        fingerprint: u64,
    }
}

record! { data =>
    /// The settings of the deployment.
    #[derive(Default)]
    pub struct Store {
        /// Grows by one with each accepted change.
        version: Version,
        /// Passes every check of a whole tree.
        tree: Arc<Tree>,
        /// Consecutive versions, the last being `version`.
        history: VecDeque<HistoryRecord>,
        history_bytes: usize,
        #[serde(rename = "remembered")]
        accepted_ids: BTreeMap<ChangeId, AcceptedId>,
        /// The ids in `accepted_ids`, by the version they made.
        #[serde(rename = "order")]
        ids_by_version: BTreeMap<Version, ChangeId>,
    }
}

impl Store {
    /// The version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The tree in force.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Accepted changes that are kept, oldest accepted.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryRecord> + ExactSizeIterator {
        self.history.iter()
    }

    /// Accepts or refuses a change.
    ///
    /// `largest_engine_mb` holds the memory of the largest known engine of each service.
    pub fn apply(
        &mut self,
        change: &Change,
        largest_engine_mb: &BTreeMap<Name, u64>,
    ) -> Result<Accepted, Refusal> {
        let fingerprint = fingerprint(change);
        if let Some(accepted) = self.accepted_ids.get(&change.id) {
            let version = accepted.version;
            return if accepted.fingerprint == fingerprint {
                Ok(Accepted { version })
            } else {
                Err(Refusal::Reused { version })
            };
        }
        if change.base != self.version {
            return Err(self.conflict(change.base));
        }
        let errors = validate_fields(change);
        if !errors.is_empty() {
            return Err(Refusal::Invalid(errors));
        }
        let applied = apply::apply_edits(&mut self.tree, &change.edits, largest_engine_mb);
        let applied = applied.map_err(Refusal::Invalid)?;
        Ok(self.accept(change, fingerprint, applied))
    }

    /// The change that restores an older version's tree, to be sent like any other.
    pub fn rollback(
        &self,
        to: Version,
        id: ChangeId,
        author: Name,
        at_ms: u64,
    ) -> Result<Change, Refusal> {
        let tree = self.tree_at(to).ok_or_else(|| Refusal::Forgotten {
            oldest: self.oldest_version(),
        })?;
        Ok(Change {
            id,
            base: self.version,
            author,
            at_ms,
            edits: diff(&self.tree, &tree),
        })
    }

    /// The tree of a version; `None` when it was never made or its history is no longer kept.
    pub fn tree_at(&self, version: Version) -> Option<Tree> {
        if version > self.version || version < self.oldest_version() {
            return None;
        }
        let mut tree = Tree::clone(&self.tree);
        let undone = self.history.iter().rev();
        for record in undone.take_while(|r| r.version > version) {
            for edit in &record.inverse {
                tree.set(edit).ok()?;
            }
        }
        Some(tree)
    }

    /// The edits that lead from an older version to the one in force, for those who follow the
    /// settings; `None` when the older version's history is no longer kept.
    pub fn edits_since(&self, version: Version) -> Option<Vec<Edit>> {
        if version > self.version || version < self.oldest_version() {
            return None;
        }
        let since = self.history.iter().filter(|r| r.version > version);
        Some(since.flat_map(|r| r.edits.iter().cloned()).collect())
    }

    /// The oldest version that [`Store::tree_at`] knows.
    pub fn oldest_version(&self) -> Version {
        Version(self.version.0 - self.history.len() as u64)
    }

    fn conflict(&self, base: Version) -> Refusal {
        let since = self.history.iter().filter(|r| r.version > base);
        let paths: BTreeSet<&str> = since
            .flat_map(|r| r.edits.iter().map(|e| e.path.as_str()))
            .collect();
        Refusal::Conflict {
            current: self.version,
            complete: base >= self.oldest_version()
                && base <= self.version
                && paths.len() <= MAX_CONFLICT_PATHS,
            paths: paths
                .into_iter()
                .take(MAX_CONFLICT_PATHS)
                .map(str::to_owned)
                .collect(),
        }
    }

    fn accept(&mut self, change: &Change, fingerprint: u64, applied: AppliedEdits) -> Accepted {
        let version = Version(self.version.0 + 1);
        let AppliedEdits { edits, inverse } = applied;
        let bytes = json(&edits).len() + json(&inverse).len();
        self.history.push_back(HistoryRecord {
            version,
            id: change.id.clone(),
            author: change.author.clone(),
            at_ms: change.at_ms,
            edits,
            inverse,
            bytes,
        });
        self.history_bytes += bytes;
        self.version = version;

        let accepted_id = AcceptedId {
            version,
            fingerprint,
        };
        self.accepted_ids.insert(change.id.clone(), accepted_id);
        self.ids_by_version.insert(version, change.id.clone());
        self.trim();
        Accepted { version }
    }

    fn trim(&mut self) {
        while self.history.len() > MAX_HISTORY_CHANGES
            || (self.history_bytes > MAX_HISTORY_BYTES && self.history.len() > 1)
        {
            let Some(dropped) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= dropped.bytes;
        }
        while self.ids_by_version.len() > MAX_ACCEPTED_IDS {
            let Some((_, id)) = self.ids_by_version.pop_first() else {
                break;
            };
            self.accepted_ids.remove(&id);
        }
    }
}

fn validate_fields(change: &Change) -> Vec<Error> {
    let mut errors = Vec::new();
    if change.id.0.is_empty() || change.id.0.len() > MAX_CHANGE_ID_BYTES {
        let reason = format!("a change id has 1 to {MAX_CHANGE_ID_BYTES} bytes");
        errors.push(Error::new("", reason));
    }
    if change.edits.is_empty() {
        errors.push(Error::new("", "a change has at least one edit"));
    }
    errors
}

/// Tells a change that is sent again from another one under the same id. The time is left out,
/// because the leader that passes a change on stamps it.
fn fingerprint(change: &Change) -> u64 {
    let mut text = json(&change.edits);
    text.extend(change.author.as_bytes());
    text.extend(change.base.0.to_le_bytes());
    fnv1a(&text)
}

fn json(edits: &[Edit]) -> Vec<u8> {
    serde_json::to_vec(edits).unwrap_or_default()
}

/// FNV-1a with 64 bits; the same in every build, unlike the standard library's hasher.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
