//! What all routers are told together says the newest of everything, in time, and takes a share of the link.

use crate::samples::announcement;
use lovageplank_core::fleet::message::{EngineModels, Message, Router};
use lovageplank_core::fleet::outbox::Outbox;
use lovageplank_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Bytes a second of the links of the users' large site.
const LINK_BYTES_PER_S: f64 = 12.5e6;
/// Share of a link that messages to all routers may take.
const LINK_SHARE: f64 = 0.5;
/// Milliseconds over which the share is looked at: an election timeout.
const SPAN_MS: Millis = 400;
const ROUTERS: usize = 310;

fn router(number: u64, ready: bool) -> Message {
    Message::Router(Router {
        instance: format!("r{number}").into(),
        address: "127.0.0.1:1".into(),
        domain: "east".into(),
        ready,
        relay: None,
        unreached: Vec::new(),
    })
}

fn loaded(term: u64, engines: &[(&str, u64)]) -> Message {
    let engine = |(server, incarnation): &(&str, u64)| EngineModels {
        server: (*server).into(),
        incarnation: *incarnation,
        loaded: Vec::new(),
        loading: Vec::new(),
    };
    Message::LoadedModels {
        term,
        engines: engines.iter().map(engine).collect(),
    }
}

fn gone(server: &str) -> Message {
    Message::ServerGone {
        server: server.into(),
        incarnation: Some(1),
        number: Some(1),
    }
}

fn announced(server: &str, number: u64) -> Message {
    Message::ServerAnnounced(Box::new(announcement(server, number)))
}

/// Guards against states that are sent although later ones are known, and against changes that get lost or out of order.
#[test]
fn the_newest_of_each_is_sent_and_changes_in_their_order() {
    let left = |number: u64| Message::RouterDisconnected(format!("r{number}").into());
    let held = Message::HeldKeysWanted;
    let cases = [
        (
            vec![router(1, true), router(2, true), router(1, false)],
            vec![router(2, true), router(1, false)],
        ),
        (vec![router(1, true), left(1)], vec![left(1)]),
        (vec![left(1), router(1, true)], vec![router(1, true)]),
        (
            vec![announced("a", 1), announced("b", 1), announced("a", 2)],
            vec![announced("b", 1), announced("a", 2)],
        ),
        // Another incarnation may be meant.
        (
            vec![announced("a", 1), gone("a")],
            vec![announced("a", 1), gone("a")],
        ),
        (
            vec![gone("a"), announced("a", 2)],
            vec![gone("a"), announced("a", 2)],
        ),
        (
            vec![
                announced("a", 1),
                gone("a"),
                announced("a", 2),
                announced("a", 3),
            ],
            vec![announced("a", 1), gone("a"), announced("a", 3)],
        ),
        (
            vec![
                loaded(2, &[("a", 1), ("b", 1)]),
                held.clone(),
                loaded(2, &[("b", 2), ("c", 1)]),
            ],
            vec![held.clone(), loaded(2, &[("a", 1), ("b", 2), ("c", 1)])],
        ),
        // A new leader's report stands for itself.
        (
            vec![loaded(2, &[("a", 1)]), loaded(3, &[("b", 1)])],
            vec![loaded(3, &[("b", 1)])],
        ),
        (vec![held.clone(), held.clone()], vec![held.clone(), held]),
    ];
    for (pushed, expected) in cases {
        let mut outbox = Outbox::new(LINK_BYTES_PER_S);
        for message in pushed.clone() {
            outbox.push(message);
        }
        assert_eq!(outbox.take(1_000), Ok(expected), "{pushed:?}");
        assert_eq!(outbox.take(1_000), Ok(Vec::new()), "{pushed:?}");
    }
}

/// Guards against a leader that loses its office, since changes of servers, loads and routers fill its link, and against
/// messages that wait for long though there is little to tell.
#[test]
fn a_storm_of_changes_takes_half_of_the_link_and_reaches_all_soon() {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut outbox = Outbox::new(LINK_BYTES_PER_S);
        let mut sent: Vec<(Millis, usize)> = Vec::new();
        let mut waits_since = None;
        let mut longest_wait = 0;
        for now in 1_000..11_000 {
            let is_storm = (3_000..6_000).contains(&now);
            if random.random_bool(if is_storm { 0.9 } else { 0.02 }) {
                let number = random.random_range(0..300);
                outbox.push(match random.random_range(0..3) {
                    0 => router(number, random.random_bool(0.5)),
                    1 => announced(&format!("s{number}"), now),
                    _ => loaded(1, &[(&*format!("s{number}"), now)]),
                });
                waits_since.get_or_insert(now);
            }
            let messages = outbox.take(now).unwrap_or_default();
            if messages.is_empty() {
                continue;
            }
            if let Some(since) = waits_since.take() {
                longest_wait = longest_wait.max(now - since);
            }
            // Some forty bytes a message, compressed.
            let bytes = ROUTERS * 40 * messages.len();
            outbox.sent(now, bytes);
            sent.push((now, bytes));
        }
        assert!(longest_wait <= SPAN_MS, "seed {seed}: {longest_wait} ms");
        #[allow(clippy::cast_precision_loss)] // Far below 2^52.
        for (first, _) in &sent {
            let span = sent
                .iter()
                .filter(|(at, _)| (*first..first + SPAN_MS).contains(at));
            let bytes: usize = span.clone().map(|(_, bytes)| bytes).sum();
            // The last bundle may have begun within the span.
            let last = span.max().map_or(0, |(_, bytes)| *bytes);
            let most = LINK_BYTES_PER_S * LINK_SHARE * SPAN_MS as f64 / 1_000.0;
            let share = (bytes - last) as f64 / most;
            assert!(share <= 1.05, "seed {seed}: {share} from {first} ms");
        }
    }
}
