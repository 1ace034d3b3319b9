//! Threads that make the planned calls at their times.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Config;
use super::call;
use super::entry::Entries;
use super::outcome::Outcome;
use super::plan::Planned;

/// Bytes of a thread's stack; a call needs little.
const STACK_BYTES: usize = 256 << 10;

/// Makes all calls and returns what they came to, by number.
pub fn run(config: &Config, plan: Vec<Planned>) -> Vec<Outcome> {
    let count = plan.len();
    let (jobs, todo) = flume::bounded::<Planned>(count.max(1));
    let (done, outcomes) = flume::bounded::<Outcome>(count.max(1));
    let shared = Arc::new((config.clone(), Entries::default()));
    let (clock, begun) = flume::bounded(count.max(1));
    // All threads stand ready before the clock starts, so that a burst really is one.
    let threads: Vec<_> = (0..count.min(config.in_flight))
        .map(|_| spawn(&shared, &todo, &done, &begun))
        .collect();
    let start = Instant::now();
    for _ in &threads {
        // The channel has room for each thread, so that sending neither blocks nor fails.
        let _sent = clock.send(start);
    }
    for planned in plan {
        sleep_until(start + Duration::from_micros(planned.at_us));
        // The channel holds the whole plan, so that sending neither blocks nor fails.
        let _sent = jobs.send(planned);
    }
    drop(jobs);
    drop(done);
    let mut outcomes: Vec<Outcome> = outcomes.into_iter().collect();
    for thread in threads.into_iter().flatten() {
        // A panic was printed already; its calls are missing from the outcomes.
        let _ended = thread.join();
    }
    outcomes.sort_by_key(|outcome| outcome.number);
    outcomes
}

fn spawn(
    shared: &Arc<(Config, Entries)>,
    todo: &flume::Receiver<Planned>,
    done: &flume::Sender<Outcome>,
    begun: &flume::Receiver<Instant>,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let shared = shared.clone();
    let todo = todo.clone();
    let done = done.clone();
    let begun = begun.clone();
    std::thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let Ok(start) = begun.recv() else {
                return;
            };
            for planned in todo {
                let outcome = call::make(&shared.0, &shared.1, &planned, start);
                // The receiver outlives all threads.
                let _sent = done.send(outcome);
            }
        })
}

fn sleep_until(time: Instant) {
    let left = time.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        std::thread::sleep(left);
    }
}
