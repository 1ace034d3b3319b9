//! The tree with its version, history and ids of accepted changes.
//!
//! A change contains the version that it is based on. Of two changes with the same base, the first
//! in the log is accepted; the other is refused with the paths that were changed since the base.
//! The id of an accepted change is kept, so that a resent change gets the original answer. A
//! refused change leaves no state behind: if it is resent, it is evaluated again.
//!
//! History and ids are bounded. After an id was discarded, the same change still can't be accepted
//! a second time: its base is no longer the current version, so it is refused with a conflict.

use super::apply::{self, AppliedEdits};
use super::{Edit, Error, Tree, Version, diff};
use crate::prelude::*;
use std::collections::VecDeque;

/// Maximum changes whose edits are kept. Older ones appear neither in the history nor in the paths
/// of a conflict, and can't be rolled back to.
pub const MAX_HISTORY_CHANGES: usize = 1_000;
/// Maximum bytes of edits, as JSON, that the history keeps. Beyond it the oldest changes are
/// discarded; the newest change is kept whatever its size.
pub const MAX_HISTORY_BYTES: usize = 4_000_000;
/// Maximum ids of accepted changes that are kept: more than five days at 3,400 changes a day. A
/// change that is resent after its id was discarded gets a conflict instead of its first answer.
pub const MAX_ACCEPTED_IDS: usize = 20_000;
/// Maximum paths that a conflict lists; beyond it the list is marked as incomplete.
const MAX_CONFLICT_PATHS: usize = 100;
/// Maximum bytes of a change id; a change with a longer id is refused.
const MAX_CHANGE_ID_BYTES: usize = 128;

record! { key =>
    /// Identifies a settings change. The operator's client generates it, so that a change can be
    /// resent without being applied twice.
    pub struct ChangeId(pub Name);
}

record! { data =>
    /// A settings change: edits that are accepted together or not at all.
    pub struct Change {
        /// Identifies the change when it is resent.
        pub id: ChangeId,
        /// The version that the edits were made against.
        pub base: Version,
        /// The operator.
        pub author: Name,
        /// Unix milliseconds on the leader's clock.
        pub at_ms: u64,
        /// The edits, applied in this order.
        pub edits: Vec<Edit>,
    }
}

record! { copy =>
    /// The answer to an accepted change.
    pub struct Accepted {
        /// The version that the change created.
        pub version: Version,
    }
}

record! { key =>
    /// Why a change or a rollback was refused; the tree is unchanged.
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// The base is not the current version.
        Conflict {
            /// The current version.
            current: Version,
            /// Paths edited since the base by changes that are still in the history, at most a
            /// hundred.
            paths: Vec<String>,
            /// Whether `paths` lists every path changed since the base.
            complete: bool,
        },
        /// The change, or the tree that would result from it, is invalid.
        Invalid(Vec<Error>),
        /// The id belongs to an accepted change with different content.
        Reused {
            /// The version that the accepted change created.
            version: Version,
        },
        /// The requested version is outside the kept history.
        Forgotten {
            /// The oldest version that can be restored.
            oldest: Version,
        },
    }
}

record! { data =>
    /// One accepted change in the history.
    pub struct HistoryRecord {
        /// The version that it created.
        pub version: Version,
        /// The id of the change.
        pub id: ChangeId,
        /// The operator.
        pub author: Name,
        /// Unix milliseconds, from [`Change::at_ms`].
        pub at_ms: u64,
        /// The edits that changed a value, with canonical paths.
        pub edits: Vec<Edit>,
        /// The edits that revert `edits`.
        pub inverse: Vec<Edit>,
        /// Bytes of `edits` and `inverse` as JSON.
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
    /// The current settings tree with its history, replicated by the control group.
    #[derive(Default)]
    pub struct Store {
        /// Incremented by each accepted change.
        version: Version,
        /// Invariant: passes the checks across the whole tree.
        tree: Arc<Tree>,
        /// Records of consecutive versions; the last is `version`.
        history: VecDeque<HistoryRecord>,
        history_bytes: usize,
        #[serde(rename = "remembered")]
        accepted_ids: BTreeMap<ChangeId, AcceptedId>,
        /// The keys of `accepted_ids` by the version that each change created.
        #[serde(rename = "order")]
        ids_by_version: BTreeMap<Version, ChangeId>,
    }
}

impl Store {
    /// The current version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The current tree.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// The kept accepted changes, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryRecord> + ExactSizeIterator {
        self.history.iter()
    }

    /// Accepts or refuses a change.
    ///
    /// `largest_engine_mb` is the memory of each service's largest known engine.
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

    /// Builds the change that restores an older version's tree; it is not applied yet.
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

    /// The tree of a version; `None` if the version doesn't exist yet or is outside the kept
    /// history.
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

    /// The edits that turn the tree of an older version into the current tree; `None` if the
    /// version doesn't exist yet or is outside the kept history.
    pub fn edits_since(&self, version: Version) -> Option<Vec<Edit>> {
        if version > self.version || version < self.oldest_version() {
            return None;
        }
        let since = self.history.iter().filter(|r| r.version > version);
        Some(since.flat_map(|r| r.edits.iter().cloned()).collect())
    }

    /// The oldest version that [`Store::tree_at`] can restore.
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

/// Hash that distinguishes a resent change from a different change with the same id. It doesn't
/// cover the time, because the leader sets it whenever it receives the change.
fn fingerprint(change: &Change) -> u64 {
    let mut text = json(&change.edits);
    text.extend(change.author.as_bytes());
    text.extend(change.base.0.to_le_bytes());
    fnv1a(&text)
}

fn json(edits: &[Edit]) -> Vec<u8> {
    serde_json::to_vec(edits).unwrap_or_default()
}

/// 64-bit FNV-1a hash. Unlike the standard library's hasher, it is the same in every build.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
