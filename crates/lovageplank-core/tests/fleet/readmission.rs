//! Servers that are taken for gone, and announce themselves all the same.

use crate::samples::announcement;
use lovageplank_core::fleet::readmission::Tracker;
use lovageplank_core::fleet::registry::{
    Announcement, Change, Departure, Presence, Registry, Stage,
};
use lovageplank_core::prelude::*;

/// Milliseconds between two announcements of a server.
const INTERVAL_MS: Millis = 1_200;
/// Longest time until a server that runs counts again: `recovery-s` of the users' pages.
const RECOVERY_MS: Millis = 12_000;

/// A control process.
struct Process {
    registry: Registry,
    tracker: Tracker,
}

impl Process {
    fn new() -> Process {
        Process {
            registry: Registry::default(),
            tracker: Tracker::new(INTERVAL_MS),
        }
    }

    /// Takes an announcement; returns the number with which it was readmitted, if it was.
    fn observe(&mut self, now: Millis, mut announcement: Announcement) -> Option<u64> {
        let is_due = self.tracker.observe(now, &self.registry, &announcement);
        let number = announcement.number;
        announcement.presence.readmitted_at = is_due.then_some(number);
        self.registry.observe(now, announcement);
        is_due.then_some(number)
    }

    fn stage(&self, id: &str) -> Option<Stage> {
        self.registry.get(id).map(|s| s.announcement.stage)
    }
}

/// Guards against a server that is taken for gone by mistake, for good.
#[test]
fn a_server_that_goes_on_announcing_itself_is_readmitted() {
    let mut process = Process::new();
    process.observe(0, announcement("a", 1));
    process.registry.mark_gone(10, "a", None);
    let mut number = 1;
    let mut now = 0;
    while process.stage("a") != Some(Stage::Ready) {
        number += 1;
        now += INTERVAL_MS;
        assert!(now <= RECOVERY_MS, "not readmitted");
        process.observe(now, announcement("a", number));
    }
    // It is the same as any other again: it may leave, and an older word of its departure doesn't count.
    let before = Departure {
        incarnation: 1_000,
        number: 1,
    };
    let changed = process.registry.mark_departed(now, "a", before);
    assert_eq!(changed, Change::Ignored);
    assert_eq!(process.registry.mark_gone(now, "a", None), Change::Moved);
    assert_eq!(process.stage("a"), Some(Stage::Gone));
}

/// Guards against a server that has left and gets requests again, because announcements of it were late (DRAIN).
#[test]
fn late_announcements_of_a_server_that_has_left_do_not_readmit_it() {
    // When each announcement after the first arrives, and its number.
    let cases: [(&str, &[(Millis, u64)]); 4] = [
        ("one, seconds late", &[(9_000, 2)]),
        (
            "many that were held up, at once",
            &[
                (8_000, 2),
                (8_000, 3),
                (8_000, 4),
                (8_000, 5),
                (8_000, 6),
                (8_100, 7),
                (8_200, 8),
            ],
        ),
        (
            "the same again and again",
            &[
                (1_000, 2),
                (3_000, 2),
                (5_000, 2),
                (7_000, 2),
                (9_000, 2),
                (11_000, 2),
                (13_000, 2),
            ],
        ),
        (
            "each a few seconds late",
            &[(1_200, 2), (2_400, 3), (3_600, 4), (4_800, 5)],
        ),
    ];
    for (what, arrivals) in cases {
        let mut process = Process::new();
        process.observe(0, announcement("a", 1));
        process.registry.mark_gone(10, "a", None);
        for (at, number) in arrivals {
            assert_eq!(
                process.observe(*at, announcement("a", *number)),
                None,
                "{what}"
            );
        }
        assert_eq!(process.stage("a"), Some(Stage::Gone), "{what}");
    }
}

/// Guards against evidence from before a departure that counts after it.
#[test]
fn a_departure_that_is_heard_later_begins_anew() {
    let mut process = Process::new();
    process.observe(0, announcement("a", 1));
    process.registry.mark_gone(10, "a", None);
    for number in 2..6 {
        process.observe(number * INTERVAL_MS, announcement("a", number));
    }
    let now = 6 * INTERVAL_MS;
    let departure = Departure {
        incarnation: 1_000,
        number: 5,
    };
    process.registry.mark_departed(now, "a", departure);
    for number in 6..10 {
        process.observe(number * INTERVAL_MS, announcement("a", number));
        assert_eq!(process.stage("a"), Some(Stage::Gone), "{number}");
    }
}

/// Guards against two servers whose clocks differ: the one that has the address now started later, and says that it
/// started earlier.
#[test]
fn the_server_that_runs_at_an_address_is_readmitted_and_no_other() {
    let at = |id: &str, incarnation: u64, number: u64| Announcement {
        incarnation,
        address: "10.0.0.1:80".into(),
        ..announcement(id, number)
    };
    let mut process = Process::new();
    process.observe(0, at("former", 2_000, 9));
    for number in 1..=10 {
        let now = number * INTERVAL_MS;
        process.observe(now, at("present", 1_000, number));
    }
    assert_eq!(process.stage("present"), Some(Stage::Ready));
    assert_eq!(process.stage("former"), Some(Stage::Gone));
    // A late announcement of the former server doesn't take the address back, wherever it is heard first.
    let present = process
        .registry
        .get("present")
        .expect("known")
        .announcement
        .clone();
    let mut other = Registry::default();
    other.observe(0, present);
    other.observe(1, at("former", 2_000, 9));
    let stage = |id: &str| other.get(id).map(|s| s.announcement.stage);
    assert_eq!(
        (stage("present"), stage("former")),
        (Some(Stage::Ready), Some(Stage::Gone))
    );
    // While the other one is heard of, neither is readmitted.
    let mut process = Process::new();
    for number in 1..=20 {
        let now = number * INTERVAL_MS;
        process.observe(now, at("former", 2_000, number));
        process.observe(now + 1, at("present", 1_000, number));
        assert_eq!(process.stage("present"), Some(Stage::Gone), "{number}");
    }
}

/// Guards against processes that hear of departures and readmissions in different orders, and disagree for good.
#[test]
fn processes_agree_in_whatever_order_they_hear() {
    let with = |number, departed_at, readmitted_at| Announcement {
        presence: Presence {
            departed_at,
            readmitted_at,
        },
        ..announcement("a", number)
    };
    let words: [&dyn Fn(&mut Registry); 4] = [
        &|registry| {
            registry.observe(0, with(3, None, None));
        },
        &|registry| {
            registry.observe(0, with(9, Some(4), Some(9)));
        },
        &|registry| {
            let departure = Departure {
                incarnation: 1_000,
                number: 4,
            };
            registry.mark_departed(0, "a", departure);
        },
        // What a process tells that hasn't heard of the readmission.
        &|registry| {
            let gone = Announcement {
                stage: Stage::Gone,
                ..with(8, Some(4), None)
            };
            registry.observe(0, gone);
        },
    ];
    for order in orders(words.len()) {
        let mut registry = Registry::default();
        for word in &order {
            words[*word](&mut registry);
        }
        let stage = registry.get("a").map(|s| s.announcement.stage);
        assert_eq!(stage, Some(Stage::Ready), "{order:?}");
    }
}

/// All orders of so many things.
fn orders(count: usize) -> Vec<Vec<usize>> {
    (0..count).fold(vec![Vec::new()], |orders, next| {
        let inserted = orders.iter().flat_map(|order: &Vec<usize>| {
            (0..=order.len()).map(move |at| {
                let mut order = order.clone();
                order.insert(at, next);
                order
            })
        });
        inserted.collect()
    })
}
