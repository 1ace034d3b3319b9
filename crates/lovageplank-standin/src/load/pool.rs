//! A pool of threads that make the planned calls at their planned starts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Config;
use super::call;
use super::lookup::RouterCache;
use super::outcome::Outcome;
use super::plan::PlannedCall;

/// Stack size of a thread in bytes. A call needs little stack, and a run may have up to
/// [`MAX_IN_FLIGHT`](super::MAX_IN_FLIGHT) threads.
const STACK_BYTES: usize = 256 << 10;

/// Makes all calls and returns their outcomes, ordered by the number of the call. Calls of a thread
/// that panicked are missing.
pub fn run(config: &Config, plan: Vec<PlannedCall>) -> Vec<Outcome> {
    let count = plan.len();
    let (call_sender, call_receiver) = flume::bounded::<PlannedCall>(count.max(1));
    let (outcome_sender, outcomes) = flume::bounded::<Outcome>(count.max(1));
    let shared = Arc::new((config.clone(), RouterCache::default()));
    let (start_sender, start_receiver) = flume::bounded(count.max(1));
    // All threads are created before the run starts, so that the calls of a burst start together.
    let threads: Vec<_> = (0..count.min(config.in_flight))
        .map(|_| spawn(&shared, &call_receiver, &outcome_sender, &start_receiver))
        .collect();
    let start = Instant::now();
    for _ in &threads {
        // The capacity is one message per thread, so that sending does not block.
        let _sent = start_sender.send(start);
    }
    for planned in plan {
        sleep_until(start + Duration::from_micros(planned.at_us));
        // The capacity is the whole plan, so that sending does not block.
        let _sent = call_sender.send(planned);
    }
    drop(call_sender);
    drop(outcome_sender);
    let mut outcomes: Vec<Outcome> = outcomes.into_iter().collect();
    for thread in threads.into_iter().flatten() {
        // The panic handler has printed the panic; the calls are missing from the outcomes.
        let _ended = thread.join();
    }
    outcomes.sort_by_key(|outcome| outcome.number);
    outcomes
}

fn spawn(
    shared: &Arc<(Config, RouterCache)>,
    call_receiver: &flume::Receiver<PlannedCall>,
    outcome_sender: &flume::Sender<Outcome>,
    start_receiver: &flume::Receiver<Instant>,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let shared = shared.clone();
    let call_receiver = call_receiver.clone();
    let outcome_sender = outcome_sender.clone();
    let start_receiver = start_receiver.clone();
    std::thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let Ok(start) = start_receiver.recv() else {
                return;
            };
            for planned in call_receiver {
                let outcome = call::execute(&shared.0, &shared.1, &planned, start);
                // The receiver outlives all threads.
                let _sent = outcome_sender.send(outcome);
            }
        })
}

fn sleep_until(time: Instant) {
    let left = time.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        std::thread::sleep(left);
    }
}
