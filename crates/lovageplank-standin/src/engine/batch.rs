//! Seats in the running batch; requests beyond it wait, those of higher priority first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// A batch of limited size.
#[derive(Debug)]
pub struct Batch {
    seats: usize,
    queue: Mutex<Queue>,
}

/// Who runs and who waits.
#[derive(Debug, Default)]
struct Queue {
    running: usize,
    /// By falling priority, then by arrival.
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Seat>>,
    arrivals: u64,
}

/// The right to run; dropping it passes it on.
#[derive(Debug)]
pub struct Seat(Option<Arc<Batch>>);

impl Batch {
    /// A batch of so many seats.
    pub fn new(seats: usize) -> Arc<Batch> {
        let queue = Mutex::default();
        Arc::new(Batch { seats, queue })
    }

    /// Waits for a seat; dropping the future gives up the place in the queue.
    pub async fn enter(self: &Arc<Batch>, priority: u8) -> Seat {
        let granted = {
            let mut queue = self.lock();
            if queue.running < self.seats {
                queue.running += 1;
                return Seat(Some(self.clone()));
            }
            let (grant, granted) = oneshot::channel();
            queue.arrivals += 1;
            let place = (Reverse(priority), queue.arrivals);
            queue.waiting.insert(place, grant);
            granted
        };
        // The sender stays in the queue until it is granted, and the queue lives as long as `self`.
        granted.await.unwrap_or(Seat(None))
    }

    /// Returns how many run.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Returns how many wait.
    pub fn queued(&self) -> usize {
        let queue = self.lock();
        let waiting = queue.waiting.values();
        waiting.filter(|grant| !grant.is_closed()).count()
    }

    fn release(self: Arc<Batch>) {
        loop {
            let next = {
                let mut queue = self.lock();
                let Some((_, next)) = queue.waiting.pop_first() else {
                    queue.running -= 1;
                    return;
                };
                next
            };
            match next.send(Seat(Some(self.clone()))) {
                Ok(()) => return,
                // That one gave up; its seat must not be released a second time.
                Err(mut seat) => drop(seat.0.take()),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        if let Some(batch) = self.0.take() {
            batch.release();
        }
    }
}
