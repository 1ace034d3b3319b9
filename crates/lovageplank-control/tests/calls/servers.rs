//! Announcements and reports of backend servers.

use crate::daemon::{Daemon, LINK_KEY, PATIENCE_S};
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

/// Fields of an announcement that make it malformed, and a part of the reason.
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
fn malformed_announcements_are_refused_and_register_nothing() {
    let daemon = Daemon::start();
    for (field, value, part) in MALFORMED {
        let value: Value = serde_json::from_str(value).expect("JSON");
        let body = announcement(5, &json!({ *field: value }));
        let (status, answer) = daemon.post("/v1/announce", &body);
        assert_eq!(status, 422, "{field}: {answer}");
        assert!(answer.to_string().contains(part), "{field}: {answer}");
    }
    assert_eq!(daemon.engine("engine-1"), None);
}

#[test]
fn an_older_incarnation_is_ignored_and_a_newer_one_takes_over() {
    let daemon = Daemon::start();
    let grant = json!({"heartbeat_ms": 1_000, "lease_ms": 3_500});
    let announce = |incarnation, changes| {
        let (status, answer) = daemon.post("/v1/announce", &announcement(incarnation, &changes));
        assert_eq!((status, &answer), (200, &grant));
    };
    let shows = |incarnation: u64, memory_mb: u64| {
        daemon.until("the engine is shown", |daemon| {
            let engine = daemon.engine("engine-1").unwrap_or_default();
            engine["incarnation"] == incarnation && engine["memory_mb"] == memory_mb
        });
    };
    announce(5, json!({}));
    shows(5, 80_000);
    announce(4, json!({"accelerators": [{"memory_mb": 1}]}));
    announce(6, json!({"accelerators": [{"memory_mb": 40_000}]}));
    shows(6, 40_000);
    announce(5, json!({}));
    // What is proposed after the late announcement is applied after it.
    daemon.change("c1", 0, &json!([{"path": "deadline_ms", "value": 1}]));
    shows(6, 40_000);
}

#[test]
fn reports_are_taken_from_anyone_and_refused_only_for_their_shape() {
    let daemon = Daemon::start();
    let report = |incarnation: u64| json!({"id": "engine-1", "incarnation": incarnation, "sequence": 1, "running": 2, "queued": 1});
    // Unknown, known, of another incarnation.
    assert_eq!(daemon.post("/v1/report", &report(5)), (200, json!({})));
    daemon.post("/v1/announce", &announcement(5, &json!({})));
    assert_eq!(daemon.post("/v1/report", &report(5)), (200, json!({})));
    assert_eq!(daemon.post("/v1/report", &report(4)), (200, json!({})));
    let mut wrong = report(5);
    wrong["queued"] = json!(-1);
    let (status, answer) = daemon.post("/v1/report", &wrong);
    assert_eq!(
        (status, &answer["error"]["code"]),
        (422, &json!("invalid")),
        "{answer}"
    );
}

/// What a router that is linked to the daemon has been told of backend servers.
struct View {
    runtime: tokio::runtime::Runtime,
    events: flume::Receiver<Event>,
    link: Option<Link>,
    /// Heartbeats sent, and the last update that was taken.
    beats: u64,
    updates: u64,
    /// Version of the tree that heartbeats name, and whether the last full update brought a tree.
    tree: Version,
    full_with_tree: Option<bool>,
    /// The incarnation and state of each backend server, as it was told, in order.
    told: Vec<(String, u64, State)>,
}

impl View {
    fn open(daemon: &Daemon) -> View {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let (sender, events) = flume::bounded(1_000);
        let address = "127.0.0.1:2".into();
        let config = link::Config {
            hello: link::hello("router-1".into(), Role::Router, "salt".into(), address),
            key: LinkKey::new(LINK_KEY.as_bytes()).expect("long enough"),
            events: Events::single(sender),
            stop: CancellationToken::new(),
        };
        runtime.spawn(link::dial(daemon.control.link, config));
        View {
            runtime,
            events,
            link: None,
            beats: 0,
            updates: 0,
            tree: Version(0),
            full_with_tree: None,
            told: Vec::new(),
        }
    }

    /// Repeats an announcement, as backend servers do, until the router is told of it.
    fn await_told(&mut self, daemon: &Daemon, id: &str, incarnation: u64, state: &str) {
        let body = announcement(
            incarnation,
            &json!({"id": id, "kind": "service", "state": state, "address": id}),
        );
        let wanted: State = serde_json::from_value(json!(state)).expect("a state");
        let wanted = (id.to_owned(), incarnation, wanted);
        let began = Instant::now();
        while !self.told.contains(&wanted) {
            assert!(
                began.elapsed() < Duration::from_secs(PATIENCE_S),
                "{:?}",
                self.told
            );
            assert_eq!(daemon.post("/v1/announce", &body).0, 200);
            self.take();
        }
    }

    /// Sends a heartbeat and takes what has come.
    fn take(&mut self) {
        self.beat();
        std::thread::sleep(Duration::from_millis(50));
        while let Ok(event) = self.events.try_recv() {
            match event {
                Event::Up(link) => self.link = Some(link),
                Event::Frame {
                    frame: Frame::Update(update),
                    ..
                } => {
                    self.updates = update.sequence;
                    if let Some((version, _)) = &update.tree {
                        self.tree = *version;
                    }
                    if update.full {
                        self.full_with_tree = Some(update.tree.is_some());
                    }
                    let rows = update.backends.iter();
                    let rows = rows.map(|b| (b.id.to_string(), b.incarnation, b.state));
                    self.told.extend(rows);
                }
                Event::Frame { .. } | Event::Down { .. } => {}
            }
        }
    }

    fn beat(&mut self) {
        self.beats += 1;
        let beat = Heartbeat {
            sequence: self.beats,
            tree: self.tree,
            view: self.updates,
            leaving: false,
            busy: Vec::new(),
            demand: DemandReport::default(),
        };
        if let Some(link) = &self.link {
            link.send(Frame::Heartbeat(beat));
        }
    }
}

#[test]
fn leaving_is_final_within_an_incarnation() {
    let daemon = Daemon::start();
    let mut view = View::open(&daemon);
    view.await_told(&daemon, "shop-1", 5, "ready");
    view.await_told(&daemon, "shop-1", 5, "leaving");
    // Neither the same incarnation nor an older one brings it back.
    for incarnation in [5, 4] {
        let changes = json!({"id": "shop-1", "kind": "service", "address": "shop-1"});
        let body = announcement(incarnation, &changes);
        assert_eq!(daemon.post("/v1/announce", &body).0, 200);
    }
    // What is announced later is told later.
    view.await_told(&daemon, "shop-2", 1, "ready");
    let of_first = |view: &View| {
        let rows = view.told.iter().filter(|(id, ..)| id == "shop-1");
        rows.map(|(_, incarnation, state)| (*incarnation, *state))
            .collect::<Vec<_>>()
    };
    assert_eq!(of_first(&view).last(), Some(&(5, State::Leaving)));
    view.await_told(&daemon, "shop-1", 6, "ready");
    assert_eq!(of_first(&view).last(), Some(&(6, State::Ready)));
    view.runtime.shutdown_background();
}

/// An acknowledgement of an earlier stream must never pass for one of a later stream, and a router
/// that comes back must not be sent the whole tree again.
#[test]
fn a_new_stream_counts_on_and_leaves_out_the_tree_that_the_router_has() {
    let daemon = Daemon::start();
    let edits = json!([{"path": "deadline_ms", "value": 5_000}]);
    daemon.until("the change is accepted", |d| {
        d.change("c-1", 0, &edits).0 == 200
    });
    let mut view = View::open(&daemon);
    let began = Instant::now();
    let wait = |view: &mut View, holds: fn(&View) -> bool| {
        while !holds(view) {
            assert!(
                began.elapsed() < Duration::from_secs(PATIENCE_S),
                "{:?}",
                view.full_with_tree
            );
            view.take();
        }
    };
    wait(&mut view, |v| {
        v.full_with_tree == Some(true) && v.tree == Version(1)
    });
    for id in ["shop-1", "shop-2", "shop-3"] {
        view.await_told(&daemon, id, 1, "ready");
    }
    let last = view.updates;
    view.full_with_tree = None;
    view.link.take().expect("a link").close();
    wait(&mut view, |v| v.full_with_tree.is_some());
    assert_eq!(view.full_with_tree, Some(false), "the tree was sent again");
    assert!(view.updates > last, "{} follows {last}", view.updates);
    view.runtime.shutdown_background();
}
