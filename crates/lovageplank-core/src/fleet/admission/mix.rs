//! Shares of the ranks in what runs, from the requests of this router.
//!
//! Callers are spread over all routers, so other routers' requests have about the same shares.

use super::decay::kept;
use crate::fleet::request::Rank;
use crate::prelude::*;

/// Time constant in milliseconds of the mean number of running requests: some times as long as requests run.
const TIME_CONSTANT_MS: f64 = 3_000.0;
/// Number of requests of the most urgent rank that are added to the observed ones, so that few observations
/// don't make servers look as if urgent requests had much room.
const PRIOR: f64 = 1.0;
/// Mean number of requests below which a rank is forgotten.
const NEGLIGIBLE: f64 = 0.001;

#[derive(Clone, Debug, Default)]
pub(super) struct Mix {
    running: BTreeMap<Rank, u32>,
    means: BTreeMap<Rank, f64>,
    at: Millis,
}

impl Mix {
    pub(super) fn began(&mut self, now: Millis, rank: Rank) {
        self.advance(now);
        *self.running.entry(rank).or_default() += 1;
        self.means.entry(rank).or_default();
    }

    pub(super) fn ended(&mut self, now: Millis, rank: Rank) {
        self.advance(now);
        if let Some(count) = self.running.get_mut(&rank) {
            *count = count.saturating_sub(1);
        }
    }

    /// Requests that run now.
    pub(super) fn running(&self) -> u32 {
        self.running.values().sum()
    }

    /// The share of requests of this rank and more urgent ones.
    pub(super) fn share_up_to(&self, now: Millis, rank: Rank) -> f64 {
        let (mut all, mut counted) = (PRIOR, PRIOR);
        for known in self.means.keys() {
            let mean = self.mean(now, *known);
            all += mean;
            if *known <= rank {
                counted += mean;
            }
        }
        counted / all
    }

    fn mean(&self, now: Millis, rank: Rank) -> f64 {
        let kept = kept(now, self.at, TIME_CONSTANT_MS);
        let mean = self.means.get(&rank).copied().unwrap_or_default();
        let running = self.running.get(&rank).copied().unwrap_or_default();
        mean * kept + f64::from(running) * (1.0 - kept)
    }

    fn advance(&mut self, now: Millis) {
        let ranks: Vec<Rank> = self.means.keys().copied().collect();
        let means = ranks.into_iter().map(|rank| (rank, self.mean(now, rank)));
        self.means = means.collect();
        self.at = now.max(self.at);
        self.running.retain(|_, count| *count > 0);
        let running = &self.running;
        self.means
            .retain(|rank, mean| *mean > NEGLIGIBLE || running.contains_key(rank));
    }
}
