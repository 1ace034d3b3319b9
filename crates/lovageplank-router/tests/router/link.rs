//! Links to control processes: which process's leases and updates the router applies.

use crate::backend::wait;
use crate::client;
use flume::Receiver;
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Tree, Version};
use lovageplank_core::view::Update;
use lovageplank_process::config::{Config, DaemonKind, parse};
use lovageplank_process::link::{self, Event, Events, Link};
use lovageplank_router::{Handle, Router};
use lovageplank_wire::hello::LinkKey;
use lovageplank_wire::{Answer, Frame, Lease, Role};
use std::net::SocketAddr;
use std::sync::Mutex;
use tokio_util::sync::CancellationToken;

const KEY: &str = "0123456789abcdef0123";
const OPERATOR_TOKEN: &str = "operators-token-1";

/// Leadership, term and version of settings that a control process claims.
#[derive(Clone, Copy)]
struct Claim {
    leads: bool,
    term: u64,
    version: u64,
}

/// A control process in the test, which answers heartbeats and calls by its claim.
struct ControlProcess {
    address: SocketAddr,
    claim: Arc<Mutex<Claim>>,
    links: Arc<Mutex<Vec<Link>>>,
    _runtime: tokio::runtime::Runtime,
}

impl ControlProcess {
    fn start(name: &'static str, claim: Claim) -> ControlProcess {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let listener = runtime
            .block_on(tokio::net::TcpListener::bind("127.0.0.1:0"))
            .unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, events) = flume::bounded(100);
        let config = link::Config {
            hello: link::hello(
                name.into(),
                Role::Control,
                "salt".into(),
                "127.0.0.1:1".into(),
            ),
            key: LinkKey::new(KEY.as_bytes()).unwrap(),
            events: Events::single(sender),
            egress: None,
            stop: CancellationToken::new(),
        };
        runtime.spawn(link::listen(listener, config));
        let claim = Arc::new(Mutex::new(claim));
        let links = Arc::new(Mutex::new(Vec::new()));
        let (shared_claim, shared_links) = (claim.clone(), links.clone());
        std::thread::spawn(move || serve(name, &events, &shared_claim, &shared_links));
        ControlProcess {
            address,
            claim,
            links,
            _runtime: runtime,
        }
    }

    /// Changes the claim and sends a lease and a full update on all links, as a new leader does.
    fn broadcast(&self, claim: Claim) {
        *self.claim.lock().unwrap() = claim;
        for link in self.links.lock().unwrap().iter() {
            send_lease(link, claim, 0, 0);
            send_view(link, claim);
        }
    }
}

fn serve(name: &str, events: &Receiver<Event>, claim: &Mutex<Claim>, links: &Mutex<Vec<Link>>) {
    while let Ok(event) = events.recv() {
        match event {
            Event::Up(link) => {
                let claim = *claim.lock().unwrap();
                if claim.leads {
                    send_lease(&link, claim, 0, 0);
                }
                send_view(&link, claim);
                links.lock().unwrap().push(link);
            }
            Event::Down { link, .. } => links.lock().unwrap().retain(|l| l.id != link),
            Event::Frame { link, frame } => {
                let links = links.lock().unwrap();
                let link = links.iter().find(|l| l.id == link).unwrap();
                answer(name, link, frame, *claim.lock().unwrap());
            }
        }
    }
}

fn answer(name: &str, link: &Link, frame: Frame, claim: Claim) {
    match frame {
        Frame::Heartbeat(heartbeat) => send_lease(link, claim, heartbeat.sequence, 2_000),
        Frame::Call { id, .. } => {
            let answer = Answer::Operator(name.into());
            link.send(Frame::Answer { id, answer });
        }
        _ => {}
    }
}

fn send_lease(link: &Link, claim: Claim, heartbeat: u64, lease_ms: u64) {
    link.send(Frame::Lease(Lease {
        term: claim.term,
        leads: claim.leads,
        heartbeat,
        lease_ms,
    }));
}

fn send_view(link: &Link, claim: Claim) {
    link.send(Frame::Update(Box::new(Update {
        sequence: 1,
        full: true,
        tree: Some((Version(claim.version), Arc::new(Tree::default()))),
        ..Update::default()
    })));
}

fn router(processes: &[&ControlProcess]) -> Handle {
    let peers: Vec<String> = processes
        .iter()
        .map(|p| format!("\"{}\"", p.address))
        .collect();
    let text = format!(
        r#"{{"instance": "r1", "failure_domain": "salt", "listen": "127.0.0.1:0",
            "peers": [{}], "keys": {{"link": "{KEY}", "operator": "{OPERATOR_TOKEN}"}}}}"#,
        peers.join(",")
    );
    let settings: Config = parse("router.jsonc", &text, DaemonKind::Router).unwrap();
    Router::start_linked(&settings).unwrap()
}

fn version(router: &Handle) -> u64 {
    let answer = client::get(router.address, "/readyz");
    let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    body["version"].as_u64().unwrap()
}

fn ready(router: &Handle) -> bool {
    client::get(router.address, "/readyz").status == 200
}

fn operate(router: &Handle) -> String {
    let token = format!("Bearer {OPERATOR_TOKEN}");
    let headers = [("authorization", token.as_str())];
    client::send(
        router.address,
        "POST",
        "/v1/operator",
        &headers,
        "\"status\"",
    )
    .body
}

const LEADER: Claim = Claim {
    leads: true,
    term: 1,
    version: 5,
};

#[test]
fn a_router_is_ready_with_the_leaders_view_and_lease() {
    let leader = ControlProcess::start("c1", LEADER);
    let router = router(&[&leader]);
    wait("ready", || ready(&router));
    assert_eq!(
        (version(&router), operate(&router)),
        (5, "\"c1\"".to_owned())
    );
}

#[test]
fn updates_of_a_follower_are_ignored_until_it_leads() {
    let follower = ControlProcess::start(
        "c1",
        Claim {
            leads: false,
            ..LEADER
        },
    );
    let router = router(&[&follower]);
    wait("linked", || !follower.links.lock().unwrap().is_empty());
    // Wait for several heartbeats; their answers must change nothing.
    std::thread::sleep(std::time::Duration::from_millis(1_200));
    assert_eq!((ready(&router), version(&router)), (false, 0));
    assert!(operate(&router).contains("no_leader"));
    // Once it leads, the update that it sent before is applied.
    *follower.claim.lock().unwrap() = LEADER;
    wait("ready", || ready(&router));
    assert_eq!(version(&router), 5);
}

#[test]
fn updates_of_a_deposed_leader_are_ignored() {
    let old = ControlProcess::start("c1", LEADER);
    let new = ControlProcess::start(
        "c2",
        Claim {
            leads: false,
            ..LEADER
        },
    );
    let router = router(&[&old, &new]);
    wait("ready", || ready(&router));
    wait("both linked", || !new.links.lock().unwrap().is_empty());
    new.broadcast(Claim {
        leads: true,
        term: 2,
        version: 6,
    });
    wait("new leader's tree", || version(&router) == 6);
    wait("calls go to the new leader", || {
        operate(&router) == "\"c2\""
    });
    // The deposed leader still claims to lead.
    old.broadcast(Claim {
        version: 9,
        ..LEADER
    });
    std::thread::sleep(std::time::Duration::from_millis(1_200));
    assert_eq!(
        (version(&router), operate(&router)),
        (6, "\"c2\"".to_owned())
    );
    // A leader with an older settings tree doesn't replace a newer one.
    new.broadcast(Claim {
        leads: true,
        term: 3,
        version: 4,
    });
    new.broadcast(Claim {
        leads: true,
        term: 3,
        version: 7,
    });
    let lowest = std::cell::Cell::new(u64::MAX);
    wait("the next tree", || {
        let observed = version(&router);
        lowest.set(lowest.get().min(observed));
        observed == 7
    });
    assert!(
        lowest.get() >= 6,
        "version of the settings went back to {}",
        lowest.get()
    );
}
