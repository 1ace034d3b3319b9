//! How the first voters become a group.
//!
//! Identities are minted with the data folders, so the founders must meet before they can name
//! each other. A group is founded only when every founder is connected and says that it belongs to
//! none; whoever learns of a group that names its own identity joins it. A founder that lost its
//! disk comes back under another identity, sees that the others have a group, and stays out until
//! an operator adds it.

use lovageplank_core::consensus::{Id, Membership, Voter};
use lovageplank_core::prelude::*;

/// What is known of the founders.
pub(super) struct Group {
    instance: Name,
    founders: Vec<Name>,
    /// Whether this process belongs to a group; then nothing more is to be done.
    formed: bool,
    /// Connected peers and the groups they name.
    peers: BTreeMap<Id, (Voter, Option<Membership>)>,
}

impl Group {
    pub(super) fn new(instance: Name, founders: Vec<Name>, formed: bool) -> Group {
        Group {
            instance,
            founders,
            formed,
            peers: BTreeMap::new(),
        }
    }

    pub(super) fn learn(&mut self, id: Id, voter: Voter, membership: Option<Membership>) {
        self.peers.insert(id, (voter, membership));
    }

    pub(super) fn forget(&mut self, id: Id) {
        self.peers.remove(&id);
    }

    /// The membership to start with, once it is known; given at most once.
    pub(super) fn form(&mut self, own: Id, voter: Voter) -> Option<Membership> {
        if self.formed {
            return None;
        }
        let membership = self.joined(own).or_else(|| self.founded(own, voter))?;
        self.formed = true;
        Some(membership)
    }

    /// A group that already names this process.
    fn joined(&self, own: Id) -> Option<Membership> {
        let mut groups = self.peers.values().filter_map(|(_, group)| group.as_ref());
        groups
            .find(|group| group.voters.contains_key(&own))
            .cloned()
    }

    /// The founders' group, if all are here and none has a group yet.
    fn founded(&self, own: Id, voter: Voter) -> Option<Membership> {
        if !self.founders.contains(&self.instance) {
            return None;
        }
        if self.peers.values().any(|(_, group)| group.is_some()) {
            return None;
        }
        let mut voters = BTreeMap::from([(own, voter)]);
        for founder in self.founders.iter().filter(|f| **f != self.instance) {
            let mut named = self
                .peers
                .iter()
                .filter(|(_, (voter, _))| voter.name == *founder);
            let (id, (voter, _)) = named.next()?;
            if named.next().is_some() {
                return None;
            }
            voters.insert(*id, voter.clone());
        }
        Some(Membership {
            voters,
            learners: BTreeMap::new(),
        })
    }
}
