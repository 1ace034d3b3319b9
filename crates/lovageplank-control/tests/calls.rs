//! The control daemon's HTTP interface, asked over the loopback: docs/OPERATIONS.md for operators'
//! calls, docs/PROTOCOL.md for announcements and reports.

use lovageplank_control::Control;
use lovageplank_core::backend::State;
use lovageplank_core::demand::Batch;
use lovageplank_core::settings::Version;
use lovageplank_process::config::{self, Role};
use lovageplank_process::link::{self, Event, Events, Link};
use lovageplank_wire::hello::Key;
use lovageplank_wire::{Frame, Heartbeat, Role as LinkRole};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

/// Seconds that anything may take on a busy machine.
const PATIENCE_S: u64 = 30;

const LINK_KEY: &str = "0123456789abcdef";
const TOKEN: &str = "operators-0123456789";

struct Daemon {
    control: Control,
    _folder: TempDir,
}

impl Daemon {
    /// A group of one, once it leads.
    fn start() -> Daemon {
        let folder = tempfile::tempdir().expect("a folder");
        let text = json!({
            "instance": "control-1", "failure_domain": "salt",
            "listen": "127.0.0.1:0", "link": "127.0.0.1:0", "peers": ["127.0.0.1:1"],
            "voters": ["control-1"], "data_dir": folder.path().join("data"),
            "keys": {"link": LINK_KEY, "operator": TOKEN},
        });
        let config = config::parse("file.jsonc", &text.to_string(), Role::Control);
        let config = config.expect("good settings");
        let control = Control::start(&config, &CancellationToken::new()).expect("starts");
        let daemon = Daemon {
            control,
            _folder: folder,
        };
        daemon.until("it leads", |daemon| {
            daemon.operate(&json!("status")).0 == 200
        });
        daemon
    }

    fn until(&self, what: &str, holds: impl Fn(&Daemon) -> bool) {
        let began = Instant::now();
        while !holds(self) {
            assert!(began.elapsed() < Duration::from_secs(PATIENCE_S), "{what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn ask(&self, method: &str, path: &str, token: Option<&str>, body: &str) -> (u16, Value) {
        let url = format!("http://{}{path}", self.control.address);
        let method = method.parse().expect("a method");
        let mut request =
            attohttpc::RequestBuilder::new(method, url).timeout(Duration::from_secs(PATIENCE_S));
        if let Some(token) = token {
            request = request.header("authorization", token);
        }
        let response = request.text(body).send().expect("answers");
        let status = response.status().as_u16();
        let text = response.text().expect("text");
        let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        (status, value)
    }

    fn operate(&self, call: &Value) -> (u16, Value) {
        let token = format!("Bearer {TOKEN}");
        self.ask("POST", "/v1/operator", Some(&token), &call.to_string())
    }

    fn change(&self, id: &str, base: u64, edits: &Value) -> (u16, Value) {
        let change = json!({"id": id, "base": base, "author": "office", "edits": edits});
        self.operate(&json!({ "change": change }))
    }

    fn post(&self, path: &str, body: &Value) -> (u16, Value) {
        self.ask("POST", path, None, &body.to_string())
    }

    fn engine(&self, id: &str) -> Option<Value> {
        let (_, engines) = self.operate(&json!("engines"));
        let rows = engines.as_array().expect("a list");
        rows.iter().find(|row| row["engine"] == id).cloned()
    }
}

/// Method, path, token, body; status, and a part of the answer.
type Row = (
    &'static str,
    &'static str,
    Option<&'static str>,
    &'static str,
    u16,
    &'static str,
);

const GOOD: Option<&str> = Some("Bearer operators-0123456789");

const REQUESTS: &[Row] = &[
    ("GET", "/healthz", None, "", 200, "ok"),
    ("GET", "/metrics", None, "", 200, ""),
    (
        "POST",
        "/v1/operator",
        GOOD,
        "\"status\"",
        200,
        "settings_version",
    ),
    ("POST", "/v1/operator", None, "\"status\"", 403, "forbidden"),
    (
        "POST",
        "/v1/operator",
        Some("Bearer operators-0123456788"),
        "\"status\"",
        403,
        "send the operators' token",
    ),
    (
        "POST",
        "/v1/operator",
        Some("Bearer operators-012345678"),
        "\"status\"",
        403,
        "forbidden",
    ),
    (
        "POST",
        "/v1/operator",
        Some("Bearer "),
        "\"status\"",
        403,
        "forbidden",
    ),
    (
        "POST",
        "/v1/operator",
        Some("operators-0123456789"),
        "\"status\"",
        403,
        "forbidden",
    ),
    (
        "POST",
        "/v1/operator",
        Some("Basic operators-0123456789"),
        "\"status\"",
        403,
        "forbidden",
    ),
    (
        "POST",
        "/v1/operator",
        GOOD,
        "",
        422,
        "the body is no operator's call",
    ),
    (
        "POST",
        "/v1/operator",
        GOOD,
        "{",
        422,
        "the body is no operator's call",
    ),
    (
        "POST",
        "/v1/operator",
        GOOD,
        "\"statsu\"",
        422,
        "unknown variant `statsu`",
    ),
    (
        "POST",
        "/v1/operator",
        GOOD,
        "{\"change\":{\"id\":\"a\"}}",
        422,
        "missing field `base`",
    ),
    (
        "POST",
        "/v1/operator",
        GOOD,
        "{\"history\":{\"limit\":-1}}",
        422,
        "the body is no operator's call",
    ),
    (
        "POST",
        "/v1/operator",
        GOOD,
        "\"status\" 1",
        422,
        "trailing characters",
    ),
    (
        "GET",
        "/v1/operator",
        GOOD,
        "",
        404,
        "GET /v1/operator is not served here",
    ),
    (
        "POST",
        "/v1/operators",
        GOOD,
        "\"status\"",
        404,
        "POST /v1/operators is not served here",
    ),
    ("POST", "/", None, "", 404, "POST / is not served here"),
    (
        "POST",
        "/v1/announce",
        None,
        "",
        422,
        "does not have the right shape",
    ),
    (
        "POST",
        "/v1/announce",
        None,
        "{}",
        422,
        "missing field `id`",
    ),
    (
        "POST",
        "/v1/announce",
        None,
        "[]",
        422,
        "does not have the right shape",
    ),
    (
        "POST",
        "/v1/report",
        None,
        "{\"id\":\"e\"}",
        422,
        "missing field `incarnation`",
    ),
    ("GET", "/v1/announce", None, "", 404, "is not served here"),
];

#[test]
fn each_request_gets_its_status_and_reason() {
    let daemon = Daemon::start();
    for (method, path, token, body, status, part) in REQUESTS {
        let (got, answer) = daemon.ask(method, path, *token, body);
        let what = format!("{method} {path} {token:?} {body}: {answer}");
        assert_eq!(got, *status, "{what}");
        assert!(answer.to_string().contains(part), "{what}");
        if *status != 200 {
            assert_eq!(answer["error"]["not_run"], true, "{what}");
        }
    }
    let (status, _) = daemon.ask("POST", "/v1/report", None, &" ".repeat((4 << 20) + 1));
    assert_eq!(status, 413);
}

/// An operator's call on the settings of version 2, its status and parts of the answer.
fn operators_calls() -> Vec<(Value, u16, &'static [&'static str])> {
    vec![
        (
            json!({"settings": {"path": "deadline_ms", "effective": false}}),
            200,
            &["5000", "\"version\":2"],
        ),
        (
            json!({"settings": {"path": "", "effective": true}}),
            200,
            &["deadline_ms", "5000"],
        ),
        (
            json!({"settings": {"path": "a/b", "effective": false}}),
            404,
            &["a/b: no such place"],
        ),
        (
            json!({"settings": {"path": "deadlin_ms", "effective": false}}),
            404,
            &["did you mean"],
        ),
        (
            json!({"history": {"limit": 1}}),
            200,
            &["\"version\":2", "\"author\":\"office\"", "c2"],
        ),
        (json!({"history": {"limit": 0}}), 200, &["[]"]),
        (json!({"diff": {"from": 1, "to": 2}}), 200, &["deadline_ms"]),
        (
            json!({"diff": {"from": 1, "to": 9}}),
            404,
            &["version 9 is not kept; 0 to 2 are"],
        ),
        (
            json!({"rollback": {"id": "r1", "base": 2, "author": "office", "to": 9}}),
            404,
            &["history goes back"],
        ),
        (
            json!({"rollback": {"id": "r2", "base": 1, "author": "office", "to": 1}}),
            409,
            &["version 2"],
        ),
        (
            json!({"in_force": {"version": 9}}),
            200,
            &["\"in_force\":false"],
        ),
        (
            json!({"drain": {"instance": "router-9"}}),
            404,
            &["no instance is called router-9"],
        ),
        (
            json!({"voter_add": {"instance": "control-9"}}),
            404,
            &["control-9"],
        ),
        (
            json!({"voter_remove": {"instance": "control-1"}}),
            422,
            &["the last voter can't be removed"],
        ),
        (json!("instances"), 200, &["[]"]),
        (json!("engines"), 200, &["[]"]),
        (json!("models"), 200, &["[]"]),
        (json!({"burn": {"window_ms": 0}}), 200, &[]),
    ]
}

#[test]
fn each_operators_call_gets_its_answer() {
    let daemon = Daemon::start();
    let edits = |value: u64| json!([{"path": "deadline_ms", "value": value}]);
    assert_eq!(
        daemon.change("c1", 0, &edits(4_000)),
        (200, json!({"version": 1}))
    );
    assert_eq!(
        daemon.change("c2", 1, &edits(5_000)),
        (200, json!({"version": 2}))
    );
    for (call, status, parts) in operators_calls() {
        let (got, answer) = daemon.operate(&call);
        assert_eq!(got, status, "{call}: {answer}");
        let said = answer.to_string();
        assert!(
            parts.iter().all(|part| said.contains(part)),
            "{call}: {answer}"
        );
    }
}

#[test]
fn a_change_is_made_once_conflicts_are_named_and_bad_ones_change_nothing() {
    let daemon = Daemon::start();
    let good = json!([{"path": "deadline_ms", "value": 4_000}]);
    assert_eq!(daemon.change("c1", 0, &good), (200, json!({"version": 1})));
    // The same id gets the first answer; another change under it is refused.
    assert_eq!(daemon.change("c1", 0, &good), (200, json!({"version": 1})));
    let other = json!([{"path": "deadline_ms", "value": 4_001}]);
    let (status, answer) = daemon.change("c1", 1, &other);
    assert_eq!(status, 422, "{answer}");
    assert!(answer.to_string().contains("mint a new id"), "{answer}");

    let (status, answer) = daemon.change("c2", 0, &other);
    let error = &answer["error"];
    assert_eq!(
        (status, &error["code"]),
        (409, &json!("conflict")),
        "{answer}"
    );
    assert_eq!(error["details"]["current"], 1, "{answer}");
    assert_eq!(
        error["details"]["paths"],
        json!(["deadline_ms"]),
        "{answer}"
    );

    let bad = json!([
        {"path": "priority", "value": 10},
        {"path": "deadlin_ms", "value": 1},
        {"path": "queue_limit", "value": 5},
    ]);
    let (status, answer) = daemon.change("c3", 1, &bad);
    let error = &answer["error"];
    assert_eq!(
        (status, &error["code"]),
        (422, &json!("invalid")),
        "{answer}"
    );
    let details = json!([
        "priority: expects a whole number from 0 to 9",
        "deadlin_ms: unknown name \"deadlin_ms\"; did you mean \"deadline_ms\"?",
    ]);
    assert_eq!(error["details"], details);
    let (_, tree) = daemon.operate(&json!({"settings": {"path": "", "effective": false}}));
    assert_eq!(tree["version"], 1);
    assert_eq!(tree["value"]["settings"], json!({"deadline_ms": 4_000}));
}

#[test]
fn a_change_comes_into_force_where_there_are_no_routers() {
    let daemon = Daemon::start();
    let edits = json!([{"path": "deadline_ms", "value": 4_000}]);
    daemon.change("c1", 0, &edits);
    let in_force = |version: u64| json!({"in_force": {"version": version}});
    daemon.until("the change is in force", |daemon| {
        daemon.operate(&in_force(1)).1["in_force"] == true
    });
    assert_eq!(daemon.operate(&in_force(2)).1["in_force"], false);
}

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
            hello: link::hello("router-1".into(), LinkRole::Router, "salt".into(), address),
            key: Key::new(LINK_KEY.as_bytes()).expect("long enough"),
            events: Events::one(sender),
            stop: CancellationToken::new(),
        };
        runtime.spawn(link::dial(daemon.control.link, config));
        View {
            runtime,
            events,
            link: None,
            beats: 0,
            updates: 0,
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
            tree: Version(0),
            view: self.updates,
            leaving: false,
            busy: Vec::new(),
            demand: Batch::default(),
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
