//! Slots of the running batch. Requests beyond its size wait, ordered by priority, then by arrival.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// A batch of limited size, with a queue of the requests that wait for a slot.
#[derive(Debug)]
pub struct Batch {
    slots: usize,
    queue: Mutex<Queue>,
}

/// The number of running requests, and the requests that wait.
#[derive(Debug, Default)]
struct Queue {
    running: usize,
    /// Waiting requests, by descending priority, then by arrival.
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Slot>>,
    arrivals: u64,
}

/// A slot in the batch; dropping it hands the slot to the next waiting request or frees it.
#[derive(Debug)]
pub struct Slot(Option<Arc<Batch>>);

impl Batch {
    /// Creates a batch that runs at most `slots` requests at once.
    pub fn new(slots: usize) -> Arc<Batch> {
        let queue = Mutex::default();
        Arc::new(Batch { slots, queue })
    }

    /// Waits for a slot; dropping the future gives up the position in the queue.
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
        // The wait doesn't fail: the sender stays in the queue until it grants the slot, and the
        // queue lives as long as `self`.
        granted.await.unwrap_or(Slot(None))
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Returns the number of waiting requests, without those that gave up.
    pub fn queued(&self) -> usize {
        let queue = self.lock();
        let waiting = queue.waiting.values();
        waiting.filter(|grant| !grant.is_closed()).count()
    }

    /// Hands a freed slot to the first waiting request, or frees it if no request waits.
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
                // The receiver was dropped. Empty the slot so that it isn't released again.
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
