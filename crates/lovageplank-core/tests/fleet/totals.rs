//! Pattern: hundreds of routers have a few requests each at hundreds of engines, and all hear several times a
//! second how many there are at each.

use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::totals::{Sent, apply};
use lovageplank_core::prelude::*;

const SERVERS: usize = 245;
/// Seconds of the walk, with five broadcasts each.
const BROADCASTS: usize = 100;
/// Most requests by which a router may be wrong about a server.
const ERROR_MAX: u32 = 1;
/// Bytes of one entry: a name of 12 characters, its number and their heads.
const ENTRY_BYTES: usize = 16;
/// Bytes a second to one router: an eighth of the leader's 100 Mbit/s, shared by 300 routers.
const ROUTER_BYTES_PER_S_MAX: usize = 100_000_000 / 8 / 8 / 300;

fn name(index: usize) -> Name {
    format!("i-{index:010}").into()
}

/// Each broadcast interval, 150 requests begin and as many end, at servers drawn by a fixed seed.
fn walk(loads: &mut [u32], state: &mut u64) {
    let mut next = |below: usize| {
        *state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        usize::try_from(*state >> 33).expect("fits") % below
    };
    for _ in 0..150 {
        loads[next(SERVERS)] += 1;
        let ends = next(SERVERS);
        loads[ends] = loads[ends].saturating_sub(1);
    }
}

fn current(loads: &[u32]) -> Vec<(Name, u32)> {
    let loads = loads.iter().enumerate().filter(|(_, load)| **load > 0);
    loads.map(|(index, load)| (name(index), *load)).collect()
}

/// Guards against the totals of 245 servers to 300 routers five times a second: 53 Mbit/s and more.
#[test]
fn totals_cost_little_and_are_nearly_right() {
    let (mut loads, mut state) = (vec![4; SERVERS], 7);
    let (mut sent, mut known) = (Sent::default(), BTreeMap::new());
    apply(&mut known, &sent.changes(&current(&loads)));
    let mut entries = 0;
    for _ in 0..BROADCASTS {
        walk(&mut loads, &mut state);
        let changes = sent.changes(&current(&loads));
        entries += changes.len();
        apply(&mut known, &changes);
        for (index, load) in loads.iter().enumerate() {
            let told = known.get(&name(index)).copied().unwrap_or_default();
            assert!(told.abs_diff(*load) <= ERROR_MAX, "{told} for {load}");
        }
    }
    let bytes_per_s = entries * ENTRY_BYTES * 5 / BROADCASTS;
    assert!(bytes_per_s <= ROUTER_BYTES_PER_S_MAX, "{bytes_per_s} B/s");
}

#[test]
fn a_router_that_begins_later_knows_the_same() {
    let mut sent = Sent::default();
    let (mut first, mut later) = (BTreeMap::new(), BTreeMap::new());
    apply(
        &mut first,
        &sent.changes(&[("1".into(), 5), ("2".into(), 1)]),
    );
    apply(&mut later, &sent.all());
    for changes in [
        sent.changes(&[("1".into(), 6), ("2".into(), 4)]),
        sent.changes(&[("2".into(), 4)]),
    ] {
        apply(&mut first, &changes);
        apply(&mut later, &changes);
    }
    assert_eq!(first, later);
    assert_eq!(
        first,
        BTreeMap::from([("2".into(), 4)]),
        "a server without requests has none"
    );
}

/// Routers send their reports to the leader alone while they hear from it. In a quiet second it sends nothing but
/// differences of totals, which must count, or 300 routers send every report to all voters.
#[test]
fn a_leader_is_known_by_differences_too() {
    let changed = Message::TotalsChanged {
        requests: Vec::new(),
        store_wait_ms: 0,
        expected_waits: None,
        server_limits: Vec::new(),
    };
    assert!(changed.is_from_leader());
    assert!(!Message::LiveServers(Vec::new()).is_from_leader());
}
