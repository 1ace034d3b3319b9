//! Orders loads from the weight store by deadline and predicts their ends.

use crate::prelude::*;
use std::cmp::Reverse;

/// A load that waits for the weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The model.
    pub model: Name,
    /// Earliest deadline of the waiting requests; `None` if the load is ahead of demand.
    pub deadline: Option<Millis>,
    /// Latest deadline of the waiting requests.
    pub last_deadline: Option<Millis>,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Expected duration in milliseconds from start to end.
    pub load_ms: u64,
}

/// A job with its planned times.
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
    /// Whether the load is expected to end by the latest deadline of the waiting requests, or no
    /// request waits.
    pub fn feasible(&self) -> bool {
        self.job.last_deadline.is_none_or(|d| self.end <= d)
    }
}

/// Loads that wait for the weight store, and the store's limits.
///
/// Jobs are ordered by class:
///
/// 1. Jobs that can meet their earliest deadline, by that deadline.
/// 2. Jobs that can meet only their latest deadline, by that deadline.
/// 3. Loads ahead of demand.
/// 4. Jobs that can meet no deadline, by earliest deadline. It is better to refuse their callers
///    than to use a slot that another caller needs.
///
/// Ties go to the job with more waiting requests, then to the smaller model name.
#[derive(Clone, Debug)]
pub struct Queue {
    spacing_ms: u64,
    concurrency: usize,
    jobs: Vec<Job>,
}

impl Queue {
    /// An empty queue for a store that starts `rate` loads per second and runs at most
    /// `concurrency` loads at once.
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

    /// The schedule from `now` on, given the expected ends of the loads in flight.
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

/// When each of the store's concurrent load slots becomes free.
struct Lanes(Vec<Millis>);

impl Lanes {
    /// The lanes after the loads in flight. If more are in flight than there are lanes, only those
    /// that end last count.
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

    /// Occupies the first free lane until `end`.
    fn occupy(&mut self, end: Millis) {
        if let Some(lane) = self.0.iter_mut().min() {
            *lane = end;
        }
    }
}

/// Spaces the starts of store loads to keep the store's rate limit.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    next_start: Millis,
}

impl RateLimiter {
    /// When the next load may start.
    pub fn next_start(&self) -> Millis {
        self.next_start
    }

    /// Records that a load starts at `now`; `rate` is the limit in loads per second.
    pub fn record_start(&mut self, now: Millis, rate: f64) {
        self.next_start = self.next_start.max(now) + spacing_ms(rate);
    }
}

/// Milliseconds between two starts at `rate` loads per second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the settings tree keeps rates positive"
)]
fn spacing_ms(rate: f64) -> u64 {
    (1_000.0 / rate.max(0.001)).ceil() as u64
}
