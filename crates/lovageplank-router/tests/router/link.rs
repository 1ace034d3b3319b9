//! Links to control processes: who is believed.

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
const OPERATOR: &str = "operators-token-1";

/// What a control process says of itself.
#[derive(Clone, Copy)]
struct Word {
    leads: bool,
    term: u64,
    version: u64,
}

/// A control process in the test: it answers heartbeats and calls as it is told.
struct Process {
    address: SocketAddr,
    word: Arc<Mutex<Word>>,
    links: Arc<Mutex<Vec<Link>>>,
    _runtime: tokio::runtime::Runtime,
}

impl Process {
    fn start(name: &'static str, word: Word) -> Process {
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
            stop: CancellationToken::new(),
        };
        runtime.spawn(link::listen(listener, config));
        let word = Arc::new(Mutex::new(word));
        let links = Arc::new(Mutex::new(Vec::new()));
        let (shared_word, shared_links) = (word.clone(), links.clone());
        std::thread::spawn(move || serve(name, &events, &shared_word, &shared_links));
        Process {
            address,
            word,
            links,
            _runtime: runtime,
        }
    }

    /// Changes what it says, makes itself known as a new leader does, and sends the whole view.
    fn say(&self, word: Word) {
        *self.word.lock().unwrap() = word;
        for link in self.links.lock().unwrap().iter() {
            send_lease(link, word, 0, 0);
            send_view(link, word);
        }
    }
}

fn serve(name: &str, events: &Receiver<Event>, word: &Mutex<Word>, links: &Mutex<Vec<Link>>) {
    while let Ok(event) = events.recv() {
        match event {
            Event::Up(link) => {
                let word = *word.lock().unwrap();
                if word.leads {
                    send_lease(&link, word, 0, 0);
                }
                send_view(&link, word);
                links.lock().unwrap().push(link);
            }
            Event::Down { link, .. } => links.lock().unwrap().retain(|l| l.id != link),
            Event::Frame { link, frame } => {
                let links = links.lock().unwrap();
                let link = links.iter().find(|l| l.id == link).unwrap();
                answer(name, link, frame, *word.lock().unwrap());
            }
        }
    }
}

fn answer(name: &str, link: &Link, frame: Frame, word: Word) {
    match frame {
        Frame::Heartbeat(beat) => send_lease(link, word, beat.sequence, 2_000),
        Frame::Call { id, .. } => {
            let answer = Answer::Operator(name.into());
            link.send(Frame::Answer { id, answer });
        }
        _ => {}
    }
}

fn send_lease(link: &Link, word: Word, heartbeat: u64, lease_ms: u64) {
    link.send(Frame::Lease(Lease {
        term: word.term,
        leads: word.leads,
        heartbeat,
        lease_ms,
    }));
}

fn send_view(link: &Link, word: Word) {
    link.send(Frame::Update(Box::new(Update {
        sequence: 1,
        full: true,
        tree: Some((Version(word.version), Arc::new(Tree::default()))),
        ..Update::default()
    })));
}

fn router(processes: &[&Process]) -> Handle {
    let peers: Vec<String> = processes
        .iter()
        .map(|p| format!("\"{}\"", p.address))
        .collect();
    let text = format!(
        r#"{{"instance": "r1", "failure_domain": "salt", "listen": "127.0.0.1:0",
            "peers": [{}], "keys": {{"link": "{KEY}", "operator": "{OPERATOR}"}}}}"#,
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
    let token = format!("Bearer {OPERATOR}");
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

const A: Word = Word {
    leads: true,
    term: 1,
    version: 5,
};

#[test]
fn the_leaders_view_and_lease_make_a_router_ready() {
    let leader = Process::start("c1", A);
    let router = router(&[&leader]);
    wait("ready", || ready(&router));
    assert_eq!(
        (version(&router), operate(&router)),
        (5, "\"c1\"".to_owned())
    );
}

#[test]
fn a_process_that_does_not_lead_is_not_believed() {
    let follower = Process::start("c1", Word { leads: false, ..A });
    let router = router(&[&follower]);
    wait("linked", || !follower.links.lock().unwrap().is_empty());
    // Its answers to several heartbeats change nothing.
    std::thread::sleep(std::time::Duration::from_millis(1_200));
    assert_eq!((ready(&router), version(&router)), (false, 0));
    assert!(operate(&router).contains("no_leader"));
    // Once it leads, what it told before counts.
    *follower.word.lock().unwrap() = A;
    wait("ready", || ready(&router));
    assert_eq!(version(&router), 5);
}

#[test]
fn a_deposed_leader_changes_nothing_more() {
    let old = Process::start("c1", A);
    let new = Process::start("c2", Word { leads: false, ..A });
    let router = router(&[&old, &new]);
    wait("ready", || ready(&router));
    wait("both linked", || !new.links.lock().unwrap().is_empty());
    new.say(Word {
        leads: true,
        term: 2,
        version: 6,
    });
    wait("new leader's tree", || version(&router) == 6);
    wait("calls go to the new leader", || {
        operate(&router) == "\"c2\""
    });
    // Cut off, the old one still believes that it leads.
    old.say(Word { version: 9, ..A });
    std::thread::sleep(std::time::Duration::from_millis(1_200));
    assert_eq!(
        (version(&router), operate(&router)),
        (6, "\"c2\"".to_owned())
    );
    // The tree never goes back, whoever leads.
    new.say(Word {
        leads: true,
        term: 3,
        version: 4,
    });
    new.say(Word {
        leads: true,
        term: 3,
        version: 7,
    });
    let lowest = std::cell::Cell::new(u64::MAX);
    wait("the next tree", || {
        let seen = version(&router);
        lowest.set(lowest.get().min(seen));
        seen == 7
    });
    assert!(lowest.get() >= 6);
}
