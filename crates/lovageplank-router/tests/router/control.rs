//! A control group in the test's memory that implements the router's `Control` trait.

use crate::backend::Backend;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use lovageplank_core::backend::{AnnouncementReply, Kind, State};
use lovageplank_core::idempotency::Table;
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Tree, Version};
use lovageplank_core::view::{self, ExpectedReady, Instance, Phase, Replica, ReplicaId, Update};
use lovageplank_router::broker::Input;
use lovageplank_router::control::{Call, Control};
use lovageplank_router::{Config, Handle, Router};
use lovageplank_wire::call::RefusalCode;
use lovageplank_wire::{Answer, Heartbeat, Refusal};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

pub const DOMAIN: &str = "salt";
const LEASE_MS: u64 = 2_000;

/// An in-memory control group.
pub struct FakeControl {
    inputs: flume::Sender<Input>,
    pub up: AtomicBool,
    pub claims: Mutex<(u64, Table)>,
    sequence: AtomicU64,
    pub heartbeats: Mutex<Vec<Heartbeat>>,
}

impl FakeControl {
    /// Sends an update with the next sequence number.
    pub fn update(&self, mut update: Update) {
        update.sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        self.inputs.send(Input::Update(update)).unwrap();
    }

    fn answer_call(&self, call: Call) -> Answer {
        let mut claims = self.claims.lock().unwrap();
        claims.0 += 1;
        let index = claims.0;
        match call {
            Call::Claim(claim) => Answer::Claim(claims.1.claim(index, &claim)),
            Call::Complete(outcome) => {
                claims.1.complete(&outcome);
                Answer::Done
            }
            Call::Operator(_) => Answer::Operator("carried out".into()),
            Call::Announce(_) | Call::Report(_) => Answer::Grant(AnnouncementReply {
                heartbeat_ms: 1_000,
                lease_ms: 5_000,
            }),
        }
    }
}

impl Control for FakeControl {
    fn heartbeat(&self, heartbeat: Heartbeat) {
        if self.up.load(Ordering::SeqCst) {
            let lease = Input::Lease {
                heartbeat: heartbeat.sequence,
                lease_ms: LEASE_MS,
            };
            let _ = self.inputs.try_send(lease);
        }
        self.heartbeats.lock().unwrap().push(heartbeat);
    }

    fn resync(&self) {}

    fn call(&self, call: Call) -> BoxFuture<'static, Answer> {
        let up = self.up.load(Ordering::SeqCst);
        let answer = if up {
            self.answer_call(call)
        } else {
            Answer::Refused(Refusal::new(RefusalCode::Unknown, "away"))
        };
        std::future::ready(answer).boxed()
    }
}

/// A router and its control group.
pub struct TestRouter {
    pub router: Handle,
    pub control: Arc<FakeControl>,
}

/// Settings with four models, of which `lime` has the adapter `arch`, and two plain services.
pub const TREE: &str = r#"{
    "settings": {"deadline_ms": 3000, "retry_ratio": 1.0},
    "services": {
        "drafting": {"kind": "engine", "models": {
            "lime": {"version": "1", "memory_mb": 1000, "adapters": {"arch": {}}},
            "once": {"version": "1", "memory_mb": 1000, "settings": {"idempotent": false}},
            "cold": {"version": "1", "memory_mb": 1000},
            "vips": {"version": "1", "memory_mb": 1000, "settings": {"callers": ["office"]}}}},
        "orders": {"kind": "plain", "settings": {"idempotent": false, "body_limit": 100000}},
        "sheets": {"kind": "plain", "settings": {"body_limit": 100000}}
    }
}"#;

/// Starts a router with these backend servers; the first is in its failure domain.
pub fn start(servers: &[&Backend]) -> TestRouter {
    let mut control = None;
    let config = Config::new("r1", DOMAIN)
        .leave_ms(50)
        .operator_key("operators-token-1");
    let router = Router::start(&config, |setup| {
        let control_group = Arc::new(FakeControl {
            inputs: setup.inputs,
            up: AtomicBool::new(true),
            claims: Mutex::default(),
            sequence: AtomicU64::new(0),
            heartbeats: Mutex::default(),
        });
        control = Some(control_group.clone());
        Ok(control_group)
    })
    .unwrap();
    let control = control.unwrap();
    let test = TestRouter { router, control };
    test.control
        .update(full(servers, &test.router.address.to_string()));
    test.wait_ready();
    test
}

impl TestRouter {
    /// Waits until the router has a lease and the settings tree.
    fn wait_ready(&self) {
        crate::backend::wait("readiness", || {
            crate::client::get(self.router.address, "/readyz").status == 200
        });
    }

    /// Sends an update of one replica.
    pub fn set_replica(&self, replica: Replica) {
        self.control.update(Update {
            replicas: vec![replica],
            ..Update::default()
        });
    }

    /// Sends an update of when a model is expected to be ready.
    pub fn expect(&self, model: &str, ready_in_ms: Option<u64>) {
        let model = model.into();
        self.control.update(Update {
            expected: vec![ExpectedReady {
                model,
                ready_in_ms,
                waits: true,
            }],
            ..Update::default()
        });
    }

    /// Waits until a heartbeat for which `matches` holds has arrived.
    pub fn wait_heartbeat(&self, what: &str, matches: impl Fn(&Heartbeat) -> bool) {
        crate::backend::wait(what, || {
            self.control.heartbeats.lock().unwrap().iter().any(&matches)
        });
    }
}

fn full(servers: &[&Backend], own: &str) -> Update {
    let tree = Arc::new(Tree::parse(TREE).unwrap());
    Update {
        full: true,
        tree: Some((Version(1), tree)),
        backends: servers
            .iter()
            .enumerate()
            .flat_map(|(i, b)| backends(i, b))
            .collect(),
        replicas: servers
            .iter()
            .enumerate()
            .flat_map(|(i, _)| {
                ["lime", "once", "vips"].map(|model| replica(i, model, Phase::Ready))
            })
            .collect(),
        instances: vec![
            instance("r1", own, DOMAIN),
            instance("r2", "127.0.0.1:2", DOMAIN),
            instance("r3", "127.0.0.1:3", "far"),
        ],
        ..Update::default()
    }
}

/// Each scripted server acts as an engine and as a plain service.
fn backends(index: usize, backend: &Backend) -> [view::Backend; 2] {
    let make = |kind, id: String, services: &[&str]| view::Backend {
        id: id.into(),
        incarnation: 1,
        address: backend.address.to_string().into(),
        kind,
        failure_domain: if index == 0 {
            DOMAIN.into()
        } else {
            "far".into()
        },
        services: services.iter().map(|s| (*s).into()).collect(),
        state: State::Ready,
    };
    [
        make(Kind::Engine, format!("e{index}"), &["drafting"]),
        make(Kind::Service, format!("s{index}"), &["orders", "sheets"]),
    ]
}

pub fn replica(index: usize, model: &str, phase: Phase) -> Replica {
    Replica {
        id: ReplicaId {
            model: model.into(),
            version: "1".into(),
            engine: format!("e{index}").into(),
        },
        phase,
        adapters: BTreeSet::new(),
        ready_in_ms: 0,
    }
}

fn instance(id: &str, address: &str, domain: &str) -> Instance {
    Instance {
        id: id.into(),
        address: address.into(),
        failure_domain: domain.into(),
        state: State::Ready,
    }
}
