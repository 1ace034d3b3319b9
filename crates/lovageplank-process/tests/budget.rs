//! The budget of bytes that a process holds for others.

use bytes::Bytes;
use lovageplank_process::body::{Budget, Evicted, Full, Share, Sizes, Use};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// The small part of a share.
const EACH: usize = 1_000;
/// What a share takes besides for its socket once it is large.
const SOCKET: usize = 64 << 10;
/// Milliseconds within which anything must have happened, also on a busy machine.
const LIMIT_MS: u64 = 20_000;
/// Milliseconds after which a share that does nothing counts as stalled, with some more.
const STALLED_MS: u64 = 700;

/// A budget for the large parts of so many shares of `EACH` + 10,000 bytes.
fn budget_for(shares: usize) -> Budget {
    Budget::with_sizes(Sizes {
        large: shares * (10_000 + SOCKET),
        responses: 10_000 + SOCKET,
        small: 4 * EACH,
        each: EACH,
    })
}

fn large(budget: &Budget) -> Share {
    let share = budget.share_for(Use::Upload);
    share.grow_to(EACH + 10_000).expect("there is room");
    share
}

async fn soon<T>(future: impl Future<Output = T>) -> T {
    let done = timeout(Duration::from_millis(LIMIT_MS), future).await;
    done.expect("it happens in time")
}

/// Lets a share grow as soon as there is room.
fn grow(share: &Arc<Share>, bytes: usize) -> JoinHandle<Result<(), Evicted>> {
    let share = share.clone();
    tokio::spawn(async move { share.reserve(bytes).await })
}

/// Guards against small bodies that aren't read because large ones have taken the memory.
#[test]
fn large_shares_leave_room_for_small_ones() {
    let budget = budget_for(2);
    let _first = large(&budget);
    let _second = large(&budget);
    let third = budget.share_for(Use::Upload);
    assert_eq!(third.grow_to(EACH), Ok(()));
    assert_eq!(third.grow_to(EACH + 1), Err(Full));
    assert_eq!(third.bytes(), EACH);
}

/// Guards against small bodies without a bound on them together.
#[test]
fn small_shares_are_bounded_together() {
    let budget = budget_for(2);
    let shares: Vec<Share> = (0..5).map(|_| budget.share_for(Use::Upload)).collect();
    let grown = shares.iter().filter(|s| s.grow_to(EACH).is_ok());
    assert_eq!(grown.count(), 4);
}

/// Guards against a body within the limits of the document that is refused although nothing else is held.
#[test]
fn a_share_alone_may_be_larger_than_the_budget() {
    let budget = budget_for(1);
    let alone = budget.share_for(Use::Upload);
    assert_eq!(alone.grow_to(1_000_000), Ok(()));
    let other = budget.share_for(Use::Upload);
    assert_eq!(other.grow_to(EACH + 1), Err(Full));
}

/// Guards against requests that hold all memory while they wait for responses, which find none.
#[test]
fn requests_leave_room_for_responses() {
    let budget = budget_for(1);
    let _request = large(&budget);
    let response = budget.share();
    assert_eq!(response.grow_to(EACH + 10_000), Ok(()));
    assert_eq!(budget.share().grow_to(EACH + 1), Err(Full));
}

/// Guards against memory that is counted as free while a slow reader still holds it.
#[test]
fn bytes_keep_their_share_until_the_last_clone_is_dropped() {
    let budget = budget_for(1);
    let share = Arc::new(large(&budget));
    let lent = share.lend(Bytes::from(vec![0; 500]));
    drop(lent);
    assert_eq!(share.bytes(), EACH + 10_000 - 500);
    let kept = share.keep_with(Bytes::from(vec![0; 100]));
    let piece = kept.slice(..1);
    drop(kept);
    assert!(budget.used_bytes() > 0);
    drop(piece);
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against a refusal where waiting would do.
#[tokio::test]
async fn a_share_waits_until_another_one_is_dropped() {
    let budget = budget_for(1);
    let first = large(&budget);
    first.use_for(Use::Request);
    let second = Arc::new(budget.share_for(Use::Upload));
    let grown = grow(&second, EACH + 1);
    while !second.is_waiting() {
        sleep(Duration::from_millis(1)).await;
    }
    drop(first);
    assert_eq!(soon(grown).await.expect("no panic"), Ok(()));
}

/// Guards against senders who stop before the end of their bodies and keep all memory, and against the refusal of
/// others in their place.
#[tokio::test]
async fn the_share_that_stalls_with_most_is_evicted_for_one_that_waits() {
    let budget = budget_for(2);
    let stalled = large(&budget);
    let request = large(&budget);
    request.use_for(Use::Request);
    let small = budget.share_for(Use::Upload);
    small.grow_to(10).expect("there is room");
    sleep(Duration::from_millis(STALLED_MS)).await;
    let waiting = Arc::new(budget.share_for(Use::Upload));
    let grown = grow(&waiting, EACH + 1);
    soon(stalled.eviction().cancelled()).await;
    drop(stalled);
    assert_eq!(soon(grown).await.expect("no panic"), Ok(()));
    // A request that may have been sent is never evicted, nor one that holds less.
    assert!(!request.eviction().is_cancelled());
    assert!(!small.eviction().is_cancelled());
}

/// Guards against bodies that all wait for each other's memory.
#[tokio::test]
async fn of_shares_that_wait_for_each_other_the_youngest_is_evicted() {
    let budget = budget_for(2);
    let older = Arc::new(large(&budget));
    let younger = Arc::new(large(&budget));
    let older_grown = grow(&older, EACH + 12_000);
    let younger_grown = grow(&younger, EACH + 12_000);
    assert_eq!(soon(younger_grown).await.expect("no panic"), Err(Evicted));
    drop(younger);
    assert_eq!(soon(older_grown).await.expect("no panic"), Ok(()));
}

/// Guards against responses that can't be read because uploads wait for memory.
#[tokio::test]
async fn responses_do_not_wait_behind_uploads() {
    let budget = budget_for(1);
    let request = large(&budget);
    request.use_for(Use::Request);
    let upload = Arc::new(budget.share_for(Use::Upload));
    let grown = grow(&upload, EACH + 1);
    while !upload.is_waiting() {
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(budget.share().grow_to(EACH + 1), Ok(()));
    assert!(!grown.is_finished());
}

/// Guards against streams whose share grows by what was given back while they waited.
#[tokio::test]
async fn what_is_lent_and_comes_back_during_a_wait_is_not_counted_again() {
    let budget = budget_for(1);
    let request = large(&budget);
    request.use_for(Use::Request);
    let stream = Arc::new(budget.share());
    stream.grow_to(EACH + 9_000).expect("there is room");
    let lent = stream.lend(Bytes::from(vec![0; 5_000]));
    let share = stream.clone();
    let grown = tokio::spawn(async move { share.reserve_more(2_000).await });
    while !stream.is_waiting() {
        sleep(Duration::from_millis(1)).await;
    }
    drop(lent);
    assert_eq!(soon(grown).await.expect("no panic"), Ok(()));
    assert_eq!(stream.bytes(), EACH + 6_000);
}
