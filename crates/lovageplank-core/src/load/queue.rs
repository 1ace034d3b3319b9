//! Orders loads by deadline and foretells their ends.

use crate::prelude::*;
use std::cmp::Reverse;

/// A load that waits for the weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The model.
    pub model: Name,
    /// The most urgent deadline of those who wait; none when the load is ahead of demand.
    pub deadline: Option<Millis>,
    /// The last deadline of those who wait.
    pub last_deadline: Option<Millis>,
    /// Requests that wait.
    pub waiting: u32,
    /// Milliseconds that the load takes once started.
    pub load_ms: u64,
}

/// A job with its place in the schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// The job.
    pub job: Job,
    /// When it may start.
    pub start: Millis,
    /// When it is expected to end.
    pub end: Millis,
}

impl Planned {
    /// Whether the load ends before the last of those who wait gives up, or nobody waits.
    pub fn feasible(&self) -> bool {
        self.job.last_deadline.is_none_or(|d| self.end <= d)
    }
}

/// Loads that wait for the weight store, with its limits.
///
/// Order: jobs that can still meet their most urgent deadline, by deadline; then jobs that can
/// only meet a later one; then loads ahead of demand; then jobs that can meet none, as their
/// callers are better served by a refusal than by a slot that another caller needs. Equal places
/// go to the job with more waiting requests, then by name.
#[derive(Clone, Debug)]
pub struct Queue {
    spacing_ms: u64,
    concurrency: usize,
    jobs: Vec<Job>,
}

impl Queue {
    /// An empty queue before a store that starts `rate` loads per second and runs `concurrency`.
    pub fn new(rate: f64, concurrency: u32) -> Queue {
        Queue {
            spacing_ms: spacing_ms(rate),
            concurrency: concurrency.max(1) as usize,
            jobs: Vec::new(),
        }
    }

    /// Adds a job.
    pub fn push(&mut self, job: Job) {
        self.jobs.push(job);
    }

    /// The schedule from `now` on, behind loads in flight that end at the given times.
    pub fn plan(&self, now: Millis, in_flight: &[Millis]) -> Vec<Planned> {
        self.plan_after(now, now, in_flight)
    }

    /// Like [`Queue::plan`], with the first start not before `earliest`.
    pub fn plan_after(&self, now: Millis, earliest: Millis, in_flight: &[Millis]) -> Vec<Planned> {
        let mut lanes = Lanes::new(now, self.concurrency, in_flight);
        let mut next_start = earliest.max(now);
        let mut remaining = self.jobs.clone();
        let mut plan = Vec::new();
        while !remaining.is_empty() {
            let start = lanes.first_free().max(next_start);
            let index = most_urgent(&remaining, start);
            let job = remaining.swap_remove(index);
            let end = start + job.load_ms;
            lanes.occupy(end);
            next_start = start + self.spacing_ms;
            plan.push(Planned { job, start, end });
        }
        plan
    }
}

/// Index of the job to start at `start`.
fn most_urgent(jobs: &[Job], start: Millis) -> usize {
    let rank = |job: &Job| {
        let end = start + job.load_ms;
        let class = match (job.deadline, job.last_deadline) {
            (None, _) => 2,
            (Some(first), _) if end <= first => 0,
            (_, Some(last)) if end <= last => 1,
            _ => 3,
        };
        let deadline = if class == 1 {
            job.last_deadline
        } else {
            job.deadline
        };
        (class, deadline, Reverse(job.waiting), job.model.clone())
    };
    (0..jobs.len())
        .min_by_key(|&i| rank(&jobs[i]))
        .expect("jobs is not empty")
}

/// When each of the store's lanes is free.
struct Lanes(Vec<Millis>);

impl Lanes {
    /// Lanes behind the loads in flight; with more in flight than lanes, the last ones to end count.
    fn new(now: Millis, concurrency: usize, in_flight: &[Millis]) -> Lanes {
        let mut ends = in_flight.to_vec();
        ends.resize(ends.len().max(concurrency), now);
        ends.sort_unstable_by_key(|&end| Reverse(end));
        ends.truncate(concurrency);
        Lanes(ends)
    }

    fn first_free(&self) -> Millis {
        self.0.iter().copied().min().unwrap_or(0)
    }

    fn occupy(&mut self, end: Millis) {
        if let Some(lane) = self.0.iter_mut().min() {
            *lane = end;
        }
    }
}

/// The store's rate: when the next load may start.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    next_start: Millis,
}

impl RateLimiter {
    /// When the next load may start.
    pub fn next_start(&self) -> Millis {
        self.next_start
    }

    /// Takes in that a load starts at `now`, at `rate` loads per second.
    pub fn record_start(&mut self, now: Millis, rate: f64) {
        self.next_start = self.next_start.max(now) + spacing_ms(rate);
    }
}

/// Milliseconds between two starts at `rate` per second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the settings tree keeps rates positive"
)]
fn spacing_ms(rate: f64) -> u64 {
    (1_000.0 / rate.max(0.001)).ceil() as u64
}
