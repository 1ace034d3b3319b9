//! Cold starts and accelerator time of a run.

use crate::trace::Request;
use lovageplank_core::load::Source;
use lovageplank_core::placement::Usage;
use lovageplank_core::prelude::*;

/// Results of one run, or the sum of several runs.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Cold start of every request in milliseconds, from its arrival until a replica accepts it: 0
    /// if a replica was ready, the time to its deadline if it was refused.
    pub cold_ms: Vec<u64>,
    /// Number of refused requests.
    pub refused: usize,
    /// Number of requests that a replica accepted after their deadline.
    pub late: usize,
    /// Number of requests that still waited when the trace ended.
    pub unfinished: usize,
    /// Number of loads from main memory, disk and weight store.
    pub loads: [usize; 3],
    /// Accelerator time.
    pub usage: Usage,
    /// Number of runs in the sum.
    pub runs: u32,
}

impl Outcome {
    /// Records a request that a replica accepted at `now`.
    pub fn served(&mut self, request: &Request, now: Millis) {
        self.cold_ms.push(now - request.at);
        self.late += usize::from(now > request.deadline);
    }

    /// Records a request that was refused at its deadline.
    pub fn refused(&mut self, request: &Request) {
        self.cold_ms.push(request.deadline - request.at);
        self.refused += 1;
    }

    /// Records a load.
    pub fn loaded(&mut self, source: Source) {
        self.loads[source as usize] += 1;
    }

    /// Adds the results of another run.
    pub fn add(&mut self, other: &Outcome) {
        self.cold_ms.extend(&other.cold_ms);
        self.refused += other.refused;
        self.late += other.late;
        self.unfinished += other.unfinished;
        for (sum, loads) in self.loads.iter_mut().zip(other.loads) {
            *sum += loads;
        }
        self.usage.idle_s += other.usage.idle_s;
        self.usage.busy_s += other.usage.busy_s;
        self.usage.loading_s += other.usage.loading_s;
        self.usage.replica_idle_s += other.usage.replica_idle_s;
        self.runs += 1;
    }

    /// Cold start in milliseconds at a quantile over all requests.
    pub fn quantile(&self, quantile: f64) -> u64 {
        at_quantile(self.cold_ms.clone(), quantile)
    }

    /// Cold start in milliseconds at a quantile over the requests that had to wait.
    pub fn cold_quantile(&self, quantile: f64) -> u64 {
        let cold = self.cold_ms.iter().copied().filter(|ms| *ms > 0);
        at_quantile(cold.collect(), quantile)
    }

    /// Requests that had to wait.
    pub fn cold(&self) -> usize {
        self.cold_ms.iter().filter(|ms| **ms > 0).count()
    }

    /// Idle accelerator hours per run.
    pub fn idle_hours(&self) -> f64 {
        self.usage.idle_s / 3_600.0 / f64::from(self.runs.max(1))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "counts are far below 2^53"
)]
fn at_quantile(mut values: Vec<u64>, quantile: f64) -> u64 {
    values.sort_unstable();
    let rank = (values.len() as f64 * quantile).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
