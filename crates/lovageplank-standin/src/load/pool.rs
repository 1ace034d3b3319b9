//! Threads that make the planned calls at their times.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Config;
use super::call;
use super::lookup::RouterCache;
use super::outcome::Outcome;
use super::plan::PlannedCall;

/// Bytes of a thread's stack; a call needs little.
const STACK_BYTES: usize = 256 << 10;

/// Makes all calls and returns what they came to, by number.
pub fn run(config: &Config, plan: Vec<PlannedCall>) -> Vec<Outcome> {
    let count = plan.len();
    let (call_sender, call_receiver) = flume::bounded::<PlannedCall>(count.max(1));
    let (outcome_sender, outcomes) = flume::bounded::<Outcome>(count.max(1));
    let shared = Arc::new((config.clone(), RouterCache::default()));
    let (start_sender, start_receiver) = flume::bounded(count.max(1));
    // All threads stand ready before the clock starts, so that a burst really is one.
    let threads: Vec<_> = (0..count.min(config.in_flight))
        .map(|_| spawn(&shared, &call_receiver, &outcome_sender, &start_receiver))
        .collect();
    let start = Instant::now();
    for _ in &threads {
        // The channel has room for each thread, so that sending neither blocks nor fails.
        let _sent = start_sender.send(start);
    }
    for planned in plan {
        sleep_until(start + Duration::from_micros(planned.at_us));
        // The channel holds the whole plan, so that sending neither blocks nor fails.
        let _sent = call_sender.send(planned);
    }
    drop(call_sender);
    drop(outcome_sender);
    let mut outcomes: Vec<Outcome> = outcomes.into_iter().collect();
    for thread in threads.into_iter().flatten() {
        // A panic was printed already; its calls are missing from the outcomes.
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
