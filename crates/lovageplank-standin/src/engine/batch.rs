//! Seats in the running batch; requests beyond it wait, those of higher priority first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// A batch of limited size.
#[derive(Debug)]
pub struct Batch {
    slots: usize,
    queue: Mutex<Queue>,
}

/// Who runs and who waits.
#[derive(Debug, Default)]
struct Queue {
    running: usize,
    /// By falling priority, then by arrival.
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Slot>>,
    arrivals: u64,
}

/// The right to run; dropping it passes it on.
#[derive(Debug)]
pub struct Slot(Option<Arc<Batch>>);

impl Batch {
    /// A batch of so many seats.
    pub fn new(slots: usize) -> Arc<Batch> {
        let queue = Mutex::default();
        Arc::new(Batch { slots, queue })
    }

    /// Waits for a seat; dropping the future gives up the place in the queue.
    pub async fn acquire(self: &Arc<Batch>, priority: u8) -> Slot {
        let granted = {
            let mut queue = self.lock();
            if queue.running < self.slots {
                queue.running += 1;
                return Slot(Some(self.clone()));
            }
            let (grant, granted) = oneshot::channel();
            queue.arrivals += 1;
            let position = (Reverse(priority), queue.arrivals);
            queue.waiting.insert(position, grant);
            granted
        };
        // The sender stays in the queue until it is granted, and the queue lives as long as `self`.
        granted.await.unwrap_or(Slot(None))
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
            match next.send(Slot(Some(self.clone()))) {
                Ok(()) => return,
                // That one gave up; its seat must not be released a second time.
                Err(mut slot) => drop(slot.0.take()),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(batch) = self.0.take() {
            batch.release();
        }
    }
}
