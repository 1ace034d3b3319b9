//! Membership table: scripts of calls with the expected events, and random runs.

use lovageplank_core::backend::State;
use lovageplank_core::membership::{Config, Event, MAX_OBSERVERS, Member, Role, Table};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const LEASE_MS: u64 = 100;
const MAX_HOLD_DOWN_MS: u64 = 80;

fn table() -> Table {
    let config = Config::default()
        .lease_ms(LEASE_MS)
        .suspicion_ms(50)
        .hold_down_ms(20)
        .max_hold_down_ms(MAX_HOLD_DOWN_MS)
        .flap_window_ms(1_000);
    Table::new(config)
}

fn member(id: &str, incarnation: u64, address: &str) -> Member {
    Member::new(id, incarnation, Role::Engine, address)
}

/// Name and script. Each line is `TIME CALL = RESULT`, where the result lists the events or is the
/// heartbeat's return value. Calls: `announce ID INCARNATION ADDRESS`, `leaving` with the same
/// arguments (an announcement in state `Leaving`), `heartbeat ID INCARNATION`,
/// `leave ID INCARNATION`, `tick`.
const CASES: &[(&str, &str)] = &[
    (
        "a lease is renewed and expires",
        "0 announce e 1 x = joined e1
         50 announce e 1 x =
         149 tick =
         149 heartbeat e 1 = true
         248 tick =
         249 tick = lost e1
         249 heartbeat e 1 = false",
    ),
    (
        "older incarnations are ignored, also after the newer one was lost",
        "0 announce e 2 x = joined e2
         1 announce e 1 y =
         101 tick = lost e2
         102 announce e 1 y =
         103 heartbeat e 1 = false",
    ),
    (
        "a new incarnation replaces the old one at once",
        "0 announce e 1 x = joined e1
         10 announce e 2 y = lost e1, joined e2
         20 heartbeat e 1 = false",
    ),
    (
        "leaving is final within an incarnation and is not a loss",
        "0 announce e 1 x = joined e1
         10 leave e 1 = leaving e1
         20 announce e 1 x =
         30 leave e 1 =
         120 tick = left e1
         130 announce e 1 x =
         140 announce e 2 x = joined e2",
    ),
    (
        "a member may announce that it is leaving",
        "0 announce e 1 x = joined e1
         10 leaving e 1 x = leaving e1
         20 announce e 1 x =
         30 announce e 2 x = left e1, joined e2",
    ),
    (
        "the newer owner of an address keeps it despite late announcements of the older one",
        "0 announce e 1 x = joined e1
         10 announce f 1 x = lost e1, joined f1
         20 announce e 1 x =
         109 announce f 1 x =
         109 announce e 1 x =
         109 announce e 2 y = joined e2",
    ),
    (
        "a flapping member is held down for a time that doubles up to the maximum",
        "0 announce e 1 x = joined e1
         10 announce e 2 x = lost e1, joined e2
         20 announce e 3 x = lost e2
         39 tick =
         40 tick = joined e3
         50 announce e 4 x = lost e3
         89 tick =
         90 tick = joined e4
         100 announce e 5 x = lost e4
         179 tick =
         180 tick = joined e5
         190 announce e 6 x = lost e5
         269 tick =
         270 tick = joined e6",
    ),
    (
        "losses no longer count after a flap window without removals",
        "0 announce e 1 x = joined e1
         10 announce e 2 x = lost e1, joined e2
         20 announce e 3 x = lost e2
         40 tick = joined e3
         139 tick = lost e3
         1139 tick =
         1140 announce e 4 x = joined e4",
    ),
];

fn format_events(events: &[Event]) -> String {
    let describe = |event: &Event| match event {
        Event::Joined(m) => format!("joined {}{}", m.id, m.incarnation),
        Event::Changed(m) if m.state == State::Leaving => {
            format!("leaving {}{}", m.id, m.incarnation)
        }
        Event::Changed(m) => format!("changed {}{}", m.id, m.incarnation),
        Event::Left { id, incarnation } => format!("left {id}{incarnation}"),
        Event::Lost { id, incarnation } => format!("lost {id}{incarnation}"),
    };
    events.iter().map(describe).collect::<Vec<_>>().join(", ")
}

fn run_line(table: &mut Table, line: &str) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    let now = words[0].parse().expect("a line starts with a time");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    match words[1..] {
        ["announce", id, incarnation, address] => {
            format_events(&table.announce(now, member(id, number(incarnation), address)))
        }
        ["leaving", id, incarnation, address] => {
            let mut member = member(id, number(incarnation), address);
            member.state = State::Leaving;
            format_events(&table.announce(now, member))
        }
        ["heartbeat", id, incarnation] => table.heartbeat(now, id, number(incarnation)).to_string(),
        ["leave", id, incarnation] => format_events(&table.mark_leaving(id, number(incarnation))),
        ["tick"] => format_events(&table.tick(now)),
        _ => panic!("unknown call in script: {line}"),
    }
}

#[test]
fn scripts_give_the_expected_events() {
    for (name, script) in CASES {
        let mut table = table();
        for line in script.lines() {
            let (entry, expected) = line
                .split_once(" =")
                .expect("a line has an expected result after ' ='");
            assert_eq!(
                run_line(&mut table, entry),
                expected.trim(),
                "{name}: {entry}"
            );
        }
    }
}

#[test]
fn new_leader_grants_full_leases() {
    let mut table = table();
    let known = [member("e", 1, "x"), member("f", 1, "y")];
    table.announce(1_000, known[1].clone());
    assert_eq!(
        format_events(&table.grant_leases(1_050, known)),
        "joined e1"
    );
    assert_eq!(format_events(&table.tick(1_100)), "lost f1");
    assert_eq!(format_events(&table.tick(1_149)), "");
    assert_eq!(format_events(&table.tick(1_150)), "lost e1");
}

#[test]
fn suspicions_expire_and_are_bounded_in_number() {
    let mut table = table();
    table.announce(0, member("e", 1, "x"));
    assert!(!table.suspect(0, "e", 2, &"r".into()));
    assert!(!table.suspect(0, "f", 1, &"r".into()));
    for observer in 0..100 {
        assert!(table.suspect(0, "e", 1, &observer.to_string().into()));
    }
    assert_eq!(table.suspicion_count(49, "e"), MAX_OBSERVERS);
    assert!(table.suspect(30, "e", 1, &"0".into()));
    table.heartbeat(40, "e", 1);
    assert_eq!(table.suspicion_count(50, "e"), 1);
    assert_eq!(table.suspicion_count(80, "e"), 0);
    table.announce(60, member("e", 2, "x"));
    assert_eq!(table.suspicion_count(60, "e"), 0);
}

/// Replaying the events gives the members; incarnations never decrease; no member outlives its
/// lease; no address has two owners.
#[test]
fn replaying_events_gives_the_joined_members() {
    let mut total = 0;
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = table();
        let mut present: BTreeMap<String, Member> = BTreeMap::new();
        let mut newest_incarnations: BTreeMap<String, u64> = BTreeMap::new();
        let mut last_renewed_at: BTreeMap<String, u64> = BTreeMap::new();
        let mut now = 0;
        for _ in 0..500 {
            now += rng.random_range(0..30);
            let id = *["e", "f", "g"]
                .choose(&mut rng)
                .expect("the choice is not empty");
            let incarnation = newest_incarnations.get(id).copied().unwrap_or(1);
            let events = match rng.random_range(0..10) {
                0..6 => {
                    let address = *["x", "y", "z", "w"]
                        .choose(&mut rng)
                        .expect("the choice is not empty");
                    let incarnation = (incarnation + rng.random_range(0..3)).max(2) - 1;
                    last_renewed_at.insert(id.into(), now);
                    table.announce(now, member(id, incarnation, address))
                }
                6 => table.mark_leaving(id, incarnation),
                7 => {
                    last_renewed_at.insert(id.into(), now);
                    table.heartbeat(now, id, incarnation);
                    Vec::new()
                }
                _ => table.tick(now),
            };
            total += events.len();
            for event in events {
                match event {
                    Event::Joined(m) | Event::Changed(m) => {
                        let before = newest_incarnations.insert(m.id.to_string(), m.incarnation);
                        assert!(before.is_none_or(|b| b <= m.incarnation), "{m:?}");
                        present.insert(m.id.to_string(), m);
                    }
                    Event::Left { id, incarnation } | Event::Lost { id, incarnation } => {
                        let removed = present
                            .remove(&*id)
                            .expect("a removed member has joined before");
                        assert_eq!(removed.incarnation, incarnation);
                    }
                }
            }
            assert!(table.members().eq(present.values()), "seed {seed}");
            for member in table.members() {
                assert_eq!(table.owner(&member.address), Some(member));
            }
            table.tick(now);
            let is_expired = |m: &Member| now >= last_renewed_at[&*m.id] + LEASE_MS;
            assert!(!table.members().any(is_expired), "seed {seed}");
            present.retain(|id, _| table.member(id).is_some());
            for member in table.members() {
                present.insert(member.id.to_string(), member.clone());
            }
        }
    }
    assert!(total > 5_000);
}
