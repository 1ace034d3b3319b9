//! Announcements and load reports of backend servers, and the updates that routers receive.

use crate::daemon::{Daemon, LINK_KEY, TIMEOUT_S};
use lovageplank_core::backend::State;
use lovageplank_core::demand::DemandReport;
use lovageplank_core::settings::Version;
use lovageplank_process::link::{self, Event, Events, Link};
use lovageplank_wire::hello::LinkKey;
use lovageplank_wire::{Frame, Heartbeat, Role};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

fn announcement(incarnation: u64, changes: &Value) -> Value {
    let mut announcement = json!({
        "id": "engine-1", "incarnation": incarnation, "address": "127.0.0.1:1",
        "kind": "engine", "failure_domain": "salt", "services": ["drafting"],
        "accelerators": [{"memory_mb": 80_000}], "fencing": true, "state": "ready",
    });
    let fields = announcement.as_object_mut().expect("an object");
    fields.extend(changes.as_object().expect("an object").clone());
    announcement
}

/// Fields and values that make an announcement malformed, each with a part of the error message.
const MALFORMED: &[(&str, &str, &str)] = &[
    ("id", "5", "invalid type"),
    ("incarnation", "-1", "invalid value"),
    ("incarnation", "\"1\"", "invalid type"),
    ("kind", "\"gpu\"", "unknown variant `gpu`"),
    ("state", "\"gone\"", "unknown variant `gone`"),
    ("services", "\"drafting\"", "invalid type"),
    ("accelerators", "[{}]", "missing field `memory_mb`"),
    (
        "loaded",
        "[{\"model\":\"lime\"}]",
        "missing field `version`",
    ),
    ("colour", "1", "unknown field `colour`"),
];

#[test]
fn malformed_announcements_are_rejected_and_register_nothing() {
    let daemon = Daemon::start();
    for (field, value, expected_text) in MALFORMED {
        let value: Value = serde_json::from_str(value).expect("JSON");
        let body = announcement(5, &json!({ *field: value }));
        let (status, answer) = daemon.post("/v1/announce", &body);
        assert_eq!(status, 422, "{field}: {answer}");
        assert!(
            answer.to_string().contains(expected_text),
            "{field}: {answer}"
        );
    }
    assert_eq!(daemon.engine("engine-1"), None);
}

#[test]
fn older_incarnations_are_ignored_and_newer_ones_replace_the_engine() {
    let daemon = Daemon::start();
    let grant = json!({"heartbeat_ms": 1_000, "lease_ms": 3_500});
    let announce = |incarnation, changes| {
        let (status, answer) = daemon.post("/v1/announce", &announcement(incarnation, &changes));
        assert_eq!((status, &answer), (200, &grant));
    };
    let wait_for_engine = |incarnation: u64, memory_mb: u64| {
        daemon.wait_until(
            "the engine is listed with this incarnation and memory",
            |daemon| {
                let engine = daemon.engine("engine-1").unwrap_or_default();
                engine["incarnation"] == incarnation && engine["memory_mb"] == memory_mb
            },
        );
    };
    announce(5, json!({}));
    wait_for_engine(5, 80_000);
    announce(4, json!({"accelerators": [{"memory_mb": 1}]}));
    announce(6, json!({"accelerators": [{"memory_mb": 40_000}]}));
    wait_for_engine(6, 40_000);
    announce(5, json!({}));
    // This change is applied after any proposal that the late announcement led to.
    daemon.change("c1", 0, &json!([{"path": "deadline_ms", "value": 1}]));
    wait_for_engine(6, 40_000);
}

#[test]
fn load_reports_are_accepted_from_any_server_unless_malformed() {
    let daemon = Daemon::start();
    let report = |incarnation: u64| json!({"id": "engine-1", "incarnation": incarnation, "sequence": 1, "running": 2, "queued": 1});
    // From an unknown server, a known one, and an older incarnation of it.
    assert_eq!(daemon.post("/v1/report", &report(5)), (200, json!({})));
    daemon.post("/v1/announce", &announcement(5, &json!({})));
    assert_eq!(daemon.post("/v1/report", &report(5)), (200, json!({})));
    assert_eq!(daemon.post("/v1/report", &report(4)), (200, json!({})));
    let mut malformed = report(5);
    malformed["queued"] = json!(-1);
    let (status, answer) = daemon.post("/v1/report", &malformed);
    assert_eq!(
        (status, &answer["error"]["code"]),
        (422, &json!("invalid")),
        "{answer}"
    );
}

/// A link to the daemon in the role of a router, with the updates received on it.
struct RouterSession {
    runtime: tokio::runtime::Runtime,
    events: flume::Receiver<Event>,
    link: Option<Link>,
    /// Number of heartbeats sent, and sequence of the last update received.
    heartbeats_sent: u64,
    last_update: u64,
    /// Settings version that heartbeats report, and whether the last full update contained a tree.
    tree: Version,
    full_with_tree: Option<bool>,
    /// Id, incarnation and state of each backend server in the updates, in the order received.
    received: Vec<(String, u64, State)>,
}

impl RouterSession {
    fn open(daemon: &Daemon) -> RouterSession {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("start a tokio runtime");
        let (sender, events) = flume::bounded(1_000);
        let address = "127.0.0.1:2".into();
        let config = link::Config {
            hello: link::hello("router-1".into(), Role::Router, "salt".into(), address),
            key: LinkKey::new(LINK_KEY.as_bytes()).expect("link key of sufficient length"),
            events: Events::single(sender),
            egress: None,
            stop: CancellationToken::new(),
        };
        runtime.spawn(link::dial(daemon.control.link, config));
        RouterSession {
            runtime,
            events,
            link: None,
            heartbeats_sent: 0,
            last_update: 0,
            tree: Version(0),
            full_with_tree: None,
            received: Vec::new(),
        }
    }

    /// Repeats an announcement, as backend servers do, until an update contains it.
    fn announce_until_received(
        &mut self,
        daemon: &Daemon,
        id: &str,
        incarnation: u64,
        state: &str,
    ) {
        let body = announcement(
            incarnation,
            &json!({"id": id, "kind": "service", "state": state, "address": id}),
        );
        let expected: State = serde_json::from_value(json!(state)).expect("state name");
        let expected = (id.to_owned(), incarnation, expected);
        let began = Instant::now();
        while !self.received.contains(&expected) {
            assert!(
                began.elapsed() < Duration::from_secs(TIMEOUT_S),
                "timeout: no update contains {expected:?}; received {:?}",
                self.received
            );
            assert_eq!(daemon.post("/v1/announce", &body).0, 200);
            self.exchange();
        }
    }

    /// Sends a heartbeat and receives waiting updates.
    fn exchange(&mut self) {
        self.send_heartbeat();
        std::thread::sleep(Duration::from_millis(50));
        while let Ok(event) = self.events.try_recv() {
            match event {
                Event::Up(link) => self.link = Some(link),
                Event::Frame {
                    frame: Frame::Update(update),
                    ..
                } => {
                    self.last_update = update.sequence;
                    if let Some((version, _)) = &update.tree {
                        self.tree = *version;
                    }
                    if update.full {
                        self.full_with_tree = Some(update.tree.is_some());
                    }
                    let rows = update.backends.iter();
                    let rows = rows.map(|b| (b.id.to_string(), b.incarnation, b.state));
                    self.received.extend(rows);
                }
                Event::Frame { .. } | Event::Down { .. } => {}
            }
        }
    }

    fn send_heartbeat(&mut self) {
        self.heartbeats_sent += 1;
        let heartbeat = Heartbeat {
            sequence: self.heartbeats_sent,
            tree: self.tree,
            view: self.last_update,
            leaving: false,
            busy: Vec::new(),
            demand: DemandReport::default(),
        };
        if let Some(link) = &self.link {
            link.send(Frame::Heartbeat(heartbeat));
        }
    }
}

#[test]
fn leaving_is_final_within_an_incarnation() {
    let daemon = Daemon::start();
    let mut router = RouterSession::open(&daemon);
    router.announce_until_received(&daemon, "shop-1", 5, "ready");
    router.announce_until_received(&daemon, "shop-1", 5, "leaving");
    // Neither the same incarnation nor an older one becomes ready again.
    for incarnation in [5, 4] {
        let changes = json!({"id": "shop-1", "kind": "service", "address": "shop-1"});
        let body = announcement(incarnation, &changes);
        assert_eq!(daemon.post("/v1/announce", &body).0, 200);
    }
    // Updates contain this announcement only after the two above.
    router.announce_until_received(&daemon, "shop-2", 1, "ready");
    let states_of_first = |router: &RouterSession| {
        let rows = router.received.iter().filter(|(id, ..)| id == "shop-1");
        rows.map(|(_, incarnation, state)| (*incarnation, *state))
            .collect::<Vec<_>>()
    };
    assert_eq!(states_of_first(&router).last(), Some(&(5, State::Leaving)));
    router.announce_until_received(&daemon, "shop-1", 6, "ready");
    assert_eq!(states_of_first(&router).last(), Some(&(6, State::Ready)));
    router.runtime.shutdown_background();
}

/// Guards against an acknowledgement of an earlier stream that is mistaken for one of a later
/// stream, and against sending the whole settings tree again to a router that reconnects.
#[test]
fn reconnect_continues_sequence_numbers_and_omits_a_known_tree() {
    let daemon = Daemon::start();
    let edits = json!([{"path": "deadline_ms", "value": 5_000}]);
    daemon.wait_until("the change is accepted", |d| {
        d.change("c-1", 0, &edits).0 == 200
    });
    let mut router = RouterSession::open(&daemon);
    let began = Instant::now();
    let exchange_until = |router: &mut RouterSession, condition: fn(&RouterSession) -> bool| {
        while !condition(router) {
            assert!(
                began.elapsed() < Duration::from_secs(TIMEOUT_S),
                "timeout: condition not met; the last full update contains a tree: {:?}",
                router.full_with_tree
            );
            router.exchange();
        }
    };
    exchange_until(&mut router, |v| {
        v.full_with_tree == Some(true) && v.tree == Version(1)
    });
    for id in ["shop-1", "shop-2", "shop-3"] {
        router.announce_until_received(&daemon, id, 1, "ready");
    }
    let last = router.last_update;
    router.full_with_tree = None;
    router.link.take().expect("link to the daemon").close();
    exchange_until(&mut router, |v| v.full_with_tree.is_some());
    assert_eq!(
        router.full_with_tree,
        Some(false),
        "the full update after the reconnect must not contain the tree"
    );
    assert!(
        router.last_update > last,
        "sequence {} must be greater than {last}, the last one before the reconnect",
        router.last_update
    );
    router.runtime.shutdown_background();
}
