//! Announcements that arrive late, out of order, or for an address that passes to another server.

use crate::samples::announcement;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::registry::{
    Announcement, CachedWeights, Change, Departure, Registry, Stage,
};
use lovageplank_core::prelude::*;

fn at(address: &str, id: &str, incarnation: u64, number: u64) -> Announcement {
    Announcement {
        address: address.into(),
        incarnation,
        ..announcement(id, number)
    }
}

fn stage(registry: &Registry, id: &str) -> Option<Stage> {
    registry.get(id).map(|s| s.announcement.stage)
}

#[test]
fn an_outdated_announcement_changes_nothing() {
    let mut registry = Registry::default();
    assert_eq!(registry.observe(0, announcement("a", 5)), Change::New);
    assert_eq!(registry.observe(1, announcement("a", 5)), Change::Ignored);
    assert_eq!(registry.observe(2, announcement("a", 4)), Change::Ignored);
    assert_eq!(registry.observe(3, announcement("a", 6)), Change::Renewed);
    assert_eq!(registry.get("a").map(|s| s.last_contact_at), Some(3));
}

#[test]
fn a_stage_never_goes_back_in_an_incarnation() {
    let mut registry = Registry::default();
    registry.observe(0, announcement("a", 1));
    let draining = Announcement {
        stage: Stage::Draining,
        ..announcement("a", 3)
    };
    assert_eq!(registry.observe(1, draining), Change::Moved);
    // An announcement that was sent before but arrives later.
    assert_eq!(registry.observe(2, announcement("a", 2)), Change::Ignored);
    // An announcement that was sent later, as if the server had returned.
    registry.observe(3, announcement("a", 4));
    assert_eq!(stage(&registry, "a"), Some(Stage::Draining));
    assert_eq!(registry.mark_gone(4, "a", Some(1_000)), Change::Moved);
    registry.observe(5, announcement("a", 9));
    assert_eq!(stage(&registry, "a"), Some(Stage::Gone));
    // Its next incarnation is a new server.
    let restarted = Announcement {
        incarnation: 2_000,
        ..announcement("a", 1)
    };
    assert_eq!(registry.observe(6, restarted), Change::New);
    assert_eq!(stage(&registry, "a"), Some(Stage::Ready));
    // A departure of the previous incarnation arrives too late.
    assert_eq!(registry.mark_gone(7, "a", Some(1_000)), Change::Ignored);
}

#[test]
fn a_drain_counts_after_an_announcement_with_a_higher_number() {
    let mut registry = Registry::default();
    registry.observe(0, announcement("a", 7));
    let draining = Announcement {
        stage: Stage::Draining,
        ..announcement("a", 6)
    };
    registry.observe(1, draining);
    assert_eq!(stage(&registry, "a"), Some(Stage::Draining));
}

#[test]
fn an_address_belongs_to_the_latest_incarnation() {
    let mut registry = Registry::default();
    registry.observe(0, at("10.0.0.1:80", "old", 1_000, 1));
    registry.observe(1, at("10.0.0.1:80", "new", 2_000, 1));
    assert_eq!(stage(&registry, "old"), Some(Stage::Gone));
    assert_eq!(stage(&registry, "new"), Some(Stage::Ready));
    // An announcement of the old server arrives after its successor announced itself.
    registry.observe(2, at("10.0.0.1:80", "old", 1_000, 2));
    registry.observe(3, at("10.0.0.1:80", "older", 500, 2));
    assert_eq!(stage(&registry, "old"), Some(Stage::Gone));
    assert_eq!(stage(&registry, "older"), Some(Stage::Gone));
    assert_eq!(stage(&registry, "new"), Some(Stage::Ready));
}

#[test]
fn servers_that_are_gone_are_kept_and_then_removed() {
    let mut registry = Registry::default();
    registry.observe(0, announcement("a", 1));
    registry.mark_gone(0, "a", None);
    registry.expire(60_000, 300_000);
    assert_eq!(stage(&registry, "a"), Some(Stage::Gone));
    registry.expire(200_000, 300_000);
    assert_eq!(stage(&registry, "a"), None);
}

#[test]
fn a_departure_of_an_unknown_server_is_ignored() {
    assert_eq!(Registry::default().mark_gone(0, "a", None), Change::Ignored);
}

/// Guards against a server that is ready for good because the word of its departure was faster than that of its start
/// (two links, or a process that stood still).
#[test]
fn a_departure_holds_for_an_incarnation_that_is_heard_of_later() {
    let mut registry = Registry::default();
    assert_eq!(registry.mark_gone(0, "a", Some(1_000)), Change::Moved);
    assert_eq!(registry.mark_gone(1, "a", Some(1_000)), Change::Ignored);
    registry.observe(2, announcement("a", 3));
    assert_eq!(stage(&registry, "a"), Some(Stage::Gone));
    let restarted = |incarnation| Announcement {
        incarnation,
        ..announcement("a", 1)
    };
    registry.observe(3, restarted(2_000));
    assert_eq!(stage(&registry, "a"), Some(Stage::Ready));
    // The one after has left, too, before it is known.
    assert_eq!(registry.mark_gone(4, "a", Some(3_000)), Change::Moved);
    assert_eq!(stage(&registry, "a"), Some(Stage::Gone));
    registry.observe(5, restarted(3_000));
    assert_eq!(stage(&registry, "a"), Some(Stage::Gone));
    registry.observe(6, restarted(4_000));
    assert_eq!(stage(&registry, "a"), Some(Stage::Ready));
}

/// Guards against a departure with a senseless incarnation, which would hold for each later start of the server.
#[test]
fn a_departure_of_a_senseless_incarnation_is_ignored() {
    let mut registry = Registry::default();
    for _ in 0..2 {
        assert_eq!(registry.mark_gone(0, "a", Some(u64::MAX)), Change::Ignored);
        registry.observe(0, announcement("a", 1));
        assert_eq!(stage(&registry, "a"), Some(Stage::Ready));
    }
}

/// Guards against a departure of a process of an older build that can't be read, and against one that it can't read.
#[test]
fn departures_of_older_builds_are_read_and_the_other_way_round() {
    #[derive(Debug, PartialEq, serde::Deserialize, serde::Serialize)]
    enum Older {
        Left { server: Name, born_ms: Option<u64> },
    }
    for incarnation in [None, Some(1_000)] {
        let older = Older::Left {
            server: "a".into(),
            born_ms: incarnation,
        };
        let text = serde_json::to_string(&older).expect("encodes");
        let message: Message = serde_json::from_str(&text).expect("can be read");
        let expected = Message::ServerGone {
            server: "a".into(),
            incarnation,
            number: None,
        };
        assert_eq!(message, expected);
        let departure = incarnation.map(|incarnation| Departure {
            incarnation,
            number: 7,
        });
        let message = Message::server_gone("a".into(), departure);
        let text = serde_json::to_string(&message).expect("encodes");
        let read: Older = serde_json::from_str(&text).expect("can be read");
        assert_eq!(read, older);
    }
    // Whoever hasn't left or been readmitted is announced as before.
    let text = serde_json::to_string(&announcement("a", 1)).expect("encodes");
    assert!(!text.contains("presence"), "{text}");
    // An older build says that a server is gone, and not as of which announcement.
    let mut registry = Registry::default();
    let gone = Announcement {
        stage: Stage::Gone,
        ..announcement("a", 3)
    };
    registry.observe(0, gone);
    registry.observe(1, announcement("a", 4));
    assert_eq!(stage(&registry, "a"), Some(Stage::Gone));
}

/// Guards against a departure that whoever hears of it later takes for that of the next incarnation.
#[test]
fn a_departure_is_that_of_the_known_incarnation_unless_it_names_one() {
    let mut registry = Registry::default();
    assert_eq!(registry.departed_incarnation("a", None), None);
    assert_eq!(registry.departed_incarnation("a", Some(7)), Some(7));
    registry.observe(0, announcement("a", 1));
    assert_eq!(registry.departed_incarnation("a", None), Some(1_000));
    assert_eq!(registry.departed_incarnation("a", Some(7)), Some(7));
}

#[test]
fn liveness_is_renewed_for_the_known_incarnation_only() {
    let mut registry = Registry::default();
    let first = at("10.0.0.1:1", "a", 1_000, 1);
    registry.observe(0, first.clone());
    assert!(registry.renew_liveness(500, "a", 1_000));
    assert_eq!(registry.get("a").map(|s| s.last_contact_at), Some(500));
    assert!(
        !registry.renew_liveness(600, "a", 900),
        "an earlier incarnation"
    );
    assert!(
        !registry.renew_liveness(600, "a", 1_100),
        "an incarnation that isn't known yet"
    );
    assert!(
        !registry.renew_liveness(600, "b", 1_000),
        "an unknown server"
    );
    assert_eq!(registry.get("a").map(|s| s.last_contact_at), Some(500));
    registry.mark_gone(700, "a", None);
    assert!(
        !registry.renew_liveness(800, "a", 1_000),
        "a server that has left"
    );
    assert_eq!(stage(&registry, "a"), Some(Stage::Gone));
}

/// Guards against a server that is ready again because of an announcement after it has said in an answer that
/// it leaves, known or not.
#[test]
fn an_incarnation_that_leaves_is_never_ready_again() {
    let mut registry = Registry::default();
    registry.observe(0, announcement("a", 1));
    assert_eq!(registry.mark_leaving(1, &"a".into(), 1_000), Change::Moved);
    assert_eq!(
        registry.mark_leaving(2, &"a".into(), 1_000),
        Change::Ignored
    );
    let unknown = registry.mark_leaving(2, &"bb".into(), 1_000);
    assert_eq!(unknown, Change::Ignored);
    for id in ["a", "bb"] {
        registry.observe(3, announcement(id, 9));
        assert_eq!(stage(&registry, id), Some(Stage::Draining), "{id}");
        // Its next incarnation doesn't leave, even if a late answer says so of the one before.
        let restarted = Announcement {
            incarnation: 2_000,
            ..announcement(id, 1)
        };
        registry.observe(4, restarted);
        assert_eq!(stage(&registry, id), Some(Stage::Ready), "{id}");
        let late = registry.mark_leaving(5, &id.into(), 1_000);
        assert_eq!(late, Change::Ignored);
        assert_eq!(stage(&registry, id), Some(Stage::Ready), "{id}");
    }
}

/// Pattern: hundreds of engines load something each second, and announce it to hundreds of routers. Guards against
/// announcements for each load that fill the link of the leader (29 MB/s at 200 a second and 300 routers).
#[test]
fn a_load_of_cached_weights_is_no_news_to_routers_that_hear_of_it_from_a_leader() {
    let with = |loaded: &str, memory: &[&str], disk: &[&str], slots: u32| Announcement {
        slots,
        cached_weights: CachedWeights {
            memory: memory.iter().map(|m| Name::from(*m)).collect(),
            disk: disk.iter().map(|m| Name::from(*m)).collect(),
        },
        ..crate::samples::engine("1", &[loaded])
    };
    let before = with("a", &["a"], &["a", "b"], 10);
    let cases = [
        ("nothing", with("a", &["a"], &["a", "b"], 10), false, false),
        (
            "another model loaded",
            with("b", &["a"], &["a", "b"], 10),
            false,
            true,
        ),
        (
            "other weights in memory",
            with("a", &["b"], &["a", "b"], 10),
            false,
            true,
        ),
        (
            "other weights on disk",
            with("a", &["a"], &["a", "c"], 10),
            true,
            true,
        ),
        ("more slots", with("a", &["a"], &["a", "b"], 11), true, true),
    ];
    for (what, after, with_leader, without) in cases {
        assert_eq!(
            after.is_news(&before, true),
            with_leader,
            "{what}, with a leader"
        );
        assert_eq!(
            after.is_news(&before, false),
            without,
            "{what}, without one"
        );
    }
}
