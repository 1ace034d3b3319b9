//! Numbers the ranks of a document's requests for engines, which tell few levels of urgency.

use super::request::Rank;
use crate::prelude::*;

/// Levels of urgency that engines tell.
pub const LEVELS: u32 = 10;

/// The ranks of a document with tenants, by which requests get a level; without ranks the level is the priority of
/// the route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scale {
    /// Ascending, without repetition.
    ranks: Vec<Rank>,
}

impl Scale {
    /// Returns the scale of a document with these priorities of tenants and of routes.
    pub fn new(
        tenants: impl IntoIterator<Item = u32>,
        routes: impl IntoIterator<Item = u32>,
    ) -> Scale {
        let tenants: BTreeSet<u32> = tenants.into_iter().collect();
        let routes: BTreeSet<u32> = routes.into_iter().collect();
        let ranks = tenants.iter().flat_map(|tenant| {
            routes.iter().map(|route| Rank {
                tenant: *tenant,
                route: *route,
            })
        });
        Scale {
            ranks: ranks.collect(),
        }
    }

    /// Returns the level of a rank, below [`LEVELS`]; 0 is the most urgent. A more urgent rank never has a greater
    /// level than a less urgent one.
    pub fn level(&self, rank: Rank) -> u32 {
        let last = LEVELS - 1;
        if self.ranks.is_empty() {
            return rank.route.min(last);
        }
        let more_urgent = self.ranks.partition_point(|known| *known < rank);
        // A rank that the document doesn't have, as of a caller without a tenant, may follow all others.
        let number = more_urgent.min(self.ranks.len() - 1);
        let levels = usize::try_from(LEVELS).unwrap_or(usize::MAX);
        let level = if self.ranks.len() > levels {
            number * levels / self.ranks.len()
        } else {
            number
        };
        u32::try_from(level).unwrap_or(last)
    }
}
