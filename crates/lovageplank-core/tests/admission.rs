//! Queues and limits: order, bounds, early refusals, and goodput beyond capacity.

use lovageplank_core::admission::{Bucket, Gate, Limit, Queue, Rates, Refusal, Ticket};
use lovageplank_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const LIMIT: Limit = Limit {
    count: 1_000,
    bytes: 1_000_000,
};

fn ticket(id: u64, priority: u8, deadline: Millis) -> Ticket {
    Ticket {
        id,
        priority,
        deadline,
        bytes: 10,
        arrived: 0,
    }
}

#[test]
fn higher_priorities_start_first_then_earlier_arrivals() {
    let mut queue = Queue::default();
    for (id, priority) in [(1, 5), (2, 9), (3, 5), (4, 0)] {
        queue
            .offer(0, ticket(id, priority, 1_000), LIMIT, None)
            .unwrap();
    }
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(0)).map(|t| t.id).collect();
    assert_eq!(order, [2, 1, 3, 4]);
}

#[test]
fn a_full_queue_sheds_the_lowest_priority_first() {
    let cases = [
        // Priority of the newcomer, what becomes of it.
        (3, Err(Refusal::Full)),
        (4, Err(Refusal::Full)),
        (5, Ok(Some(3))),
    ];
    for (priority, expected) in cases {
        let mut queue = Queue::default();
        let limit = Limit { count: 3, ..LIMIT };
        for (id, priority) in [(1, 6), (2, 5), (3, 4)] {
            queue
                .offer(0, ticket(id, priority, 1_000), limit, None)
                .unwrap();
        }
        let offered = queue.offer(0, ticket(4, priority, 1_000), limit, None);
        assert_eq!(offered.map(|pushed| pushed.map(|t| t.id)), expected);
        assert_eq!(queue.len(), 3);
    }
}

#[test]
fn bytes_are_bounded() {
    let mut queue = Queue::default();
    let limit = Limit { bytes: 25, ..LIMIT };
    queue.offer(0, ticket(1, 5, 1_000), limit, None).unwrap();
    queue.offer(0, ticket(2, 5, 1_000), limit, None).unwrap();
    let refused = queue.offer(0, ticket(3, 5, 1_000), limit, None);
    assert_eq!((refused, queue.bytes()), (Err(Refusal::Full), 20));
}

#[test]
fn what_cannot_start_in_time_is_refused_at_once() {
    let mut queue = Queue::default();
    let ready = Some(2_000);
    assert_eq!(
        queue.offer(0, ticket(1, 5, 2_000), LIMIT, ready),
        Err(Refusal::Late)
    );
    assert_eq!(queue.offer(0, ticket(2, 5, 2_001), LIMIT, ready), Ok(None));
    // The expected start moves past the deadline: given up at once, not at the deadline.
    assert!(queue.expire(10, ready).is_empty());
    let given_up = queue.expire(10, Some(3_000));
    assert_eq!(given_up.iter().map(|t| t.id).collect::<Vec<_>>(), [2]);
    assert!(queue.is_empty());
}

#[test]
fn a_deadline_ends_the_wait() {
    let mut queue = Queue::default();
    queue.offer(0, ticket(1, 5, 500), LIMIT, None).unwrap();
    queue.offer(0, ticket(2, 5, 900), LIMIT, None).unwrap();
    assert_eq!(queue.next_deadline(), Some(500));
    assert!(queue.expire(499, None).is_empty());
    assert_eq!(queue.expire(500, None).len(), 1);
    assert_eq!(queue.next_deadline(), Some(900));
}

#[test]
fn rates_refill_with_time_and_callers_are_apart() {
    let mut bucket = Bucket::new(0, 2.0);
    assert_eq!([bucket.take(0, 2.0), bucket.take(0, 2.0)], [Ok(()), Ok(())]);
    assert_eq!(bucket.take(0, 2.0), Err(500));
    assert_eq!(bucket.take(500, 2.0), Ok(()));
    let mut rates = Rates::default();
    let (a, b): (Name, Name) = ("a".into(), "b".into());
    assert_eq!(rates.take(0, &a, 1.0), Ok(()));
    assert!(rates.take(0, &a, 1.0).is_err());
    assert_eq!(rates.take(0, &b, 1.0), Ok(()));
}

#[test]
fn concurrency_is_bounded_by_service() {
    let mut gate = Gate::default();
    let (a, b): (Name, Name) = ("a".into(), "b".into());
    assert!(gate.enter(&a, 1));
    assert!(!gate.enter(&a, 1));
    assert!(gate.enter(&b, 1));
    gate.leave("a");
    assert!(gate.enter(&a, 1));
}

/// Any order of operations: every request comes out once, and the sums hold.
#[test]
fn every_request_leaves_once() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u16)>>()
        .for_each(|operations| {
            let mut queue = Queue::default();
            let limit = Limit {
                count: 8,
                bytes: 60,
            };
            let mut inside = BTreeSet::new();
            for (index, (operation, priority, time)) in operations.iter().enumerate() {
                let id = index as u64;
                let now = id * 10;
                let left: Vec<u64> = match operation % 4 {
                    0 | 1 => {
                        let ticket = Ticket {
                            arrived: now,
                            ..ticket(id, priority % 10, now + u64::from(*time))
                        };
                        match queue.offer(now, ticket, limit, None) {
                            Err(_) => vec![],
                            Ok(pushed) => {
                                inside.insert(id);
                                pushed.iter().map(|t| t.id).collect()
                            }
                        }
                    }
                    2 => queue.pop(now).iter().map(|t| t.id).collect(),
                    _ => queue.expire(now, None).iter().map(|t| t.id).collect(),
                };
                for id in left {
                    assert!(inside.remove(&id), "{id} left twice");
                }
                assert_eq!(queue.len(), inside.len());
                assert_eq!(queue.bytes(), 10 * inside.len() as u64);
                assert!(queue.len() <= 8 && queue.bytes() <= 60);
                assert!(queue.iter().all(|t| inside.contains(&t.id)));
            }
        });
}

/// Places at the replicas, and the milliseconds that a request takes on average.
const PLACES: u32 = 16;
const SERVICE_MS: u32 = 100;
const DEADLINE_MS: u64 = 1_000;
const RUN_MS: u64 = 60_000;

/// How waiting requests are treated.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// As the core does.
    Core,
    /// First come, first served, up to the queue's bound; late answers are of no use.
    Fifo,
}

/// Answers in time over a run at a percentage of the capacity, in virtual time.
fn goodput(policy: Policy, load: u32, seed: u64) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut queue = Queue::default();
    let mut fifo = std::collections::VecDeque::new();
    // Ends of running requests: time, start, deadline.
    let mut running: BinaryHeap<Reverse<(Millis, Millis, Millis)>> = BinaryHeap::new();
    let thousandths = load * 10 * PLACES / SERVICE_MS;
    let (mut id, mut good) = (0, 0);
    for now in 0..RUN_MS {
        while running.peek().is_some_and(|Reverse(end)| end.0 <= now) {
            let Reverse((end, start, deadline)) = running.pop().unwrap();
            queue.observe_service(end - start);
            good += u64::from(end <= deadline);
        }
        let arrivals =
            thousandths / 1_000 + u32::from(rng.random_ratio(thousandths % 1_000, 1_000));
        for _ in 0..arrivals {
            id += 1;
            let ticket = Ticket {
                arrived: now,
                ..ticket(id, 5, now + DEADLINE_MS)
            };
            match policy {
                Policy::Core => drop(queue.offer(now, ticket, LIMIT, Some(now))),
                Policy::Fifo if fifo.len() < LIMIT.count as usize => fifo.push_back(ticket),
                Policy::Fifo => {}
            }
        }
        queue.expire(now, Some(now));
        while running.len() < PLACES as usize {
            let next = match policy {
                Policy::Core => queue.pop(now),
                Policy::Fifo => fifo.pop_front(),
            };
            let Some(ticket) = next else { break };
            let takes = u64::from(rng.random_range(SERVICE_MS / 2..=SERVICE_MS * 3 / 2));
            running.push(Reverse((now + takes, now, ticket.deadline)));
        }
    }
    good
}

#[test]
fn goodput_holds_beyond_capacity() {
    for seed in 0..5 {
        let at = |load| goodput(Policy::Core, load, seed);
        let loads = [50, 90, 100, 120, 200, 500];
        let good = loads.map(at);
        let peak = *good.iter().max().unwrap();
        println!("seed {seed}: loads {loads:?}, answers in time {good:?}");
        assert!(good[4] * 10 >= peak * 9, "at 2x: {} of {peak}", good[4]);
        assert!(good[5] * 10 >= peak * 9, "at 5x: {} of {peak}", good[5]);
        // The same load without early refusals collapses, so that the bound above says something.
        let collapsed = goodput(Policy::Fifo, 200, seed);
        println!("seed {seed}: first come, first served at 2x: {collapsed}");
        assert!(
            collapsed * 2 < peak,
            "first come, first served at 2x: {collapsed} of {peak}"
        );
    }
}
