//! A router that reaches no engine for a moment passes a stream on to another router. Then long bodies use up its memory for
//! bodies: what does the caller of that stream get?

use crate::Verdict;
use crate::client::Client;
use crate::deployment::{Deployment, Network, start_servers};
use crate::http::BodyEnd;
use crate::record::Record;
use crate::server::Server;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

/// Memory of the three machines. A router has a sixteenth of it for small bodies and the first 64 KiB of longer ones.
const MEMORY_MB: [u32; 3] = [120, 400, 400];
/// Bytes of the body of each request, the stream's too: more than the 64 KiB of each that count as small.
const BODY_BYTES: usize = 70_000;
/// With the stream's as many bodies as the memory for small ones holds.
const LONG_REQUESTS: usize = 119;
/// The time between two of them.
const GAP: Duration = Duration::from_millis(8);
/// The time for which the first machine opens no connection to an engine.
const CUT: Duration = Duration::from_millis(150);
/// Events of the stream, which are 40 ms apart.
const EVENTS: u64 = 150;

const STREAM: [(&str, &str); 3] = [
    ("Model", "m"),
    ("Token-Count", "826,750"),
    ("Prompt-Prefix", "5c1e07a2:198,91bd3f06:628"),
];

/// Opens connections of a router to engines, which it keeps for a while.
fn warm(router: SocketAddr) -> bool {
    let threads = (0..16).map(|number| {
        thread::spawn(move || {
            let mut client = Client::new(router, Duration::from_secs(10));
            let id = format!("warm-{router}-{number}");
            let seen = client.send(&id, "/report/1", &STREAM, 25_000, &[b'n'; BODY_BYTES]);
            seen.status == 200 && seen.end == BodyEnd::Complete
        })
    });
    let threads: Vec<_> = threads.collect();
    threads.into_iter().all(|t| t.join().unwrap_or(false))
}

/// Sends the long requests one after the other, and doesn't wait for their answers.
fn send_long(router: SocketAddr) {
    for number in 0..LONG_REQUESTS {
        sleep(GAP);
        thread::spawn(move || {
            let mut client = Client::new(router, Duration::from_secs(30));
            let id = format!("long-{number}");
            let prefix = format!("5c1e07a2:198,{:x}:16000", 0x4000_0000 + number);
            let fields = [
                ("Model", "m"),
                ("Token-Count", "16198,100"),
                ("Prompt-Prefix", prefix.as_str()),
            ];
            client.send(&id, "/archive/1", &fields, 12_000, &[b'x'; BODY_BYTES]);
        });
    }
}

pub fn run(path: &str, trouble: bool) -> Verdict {
    let record = Arc::new(Record::new(path));
    let network = Network::new();
    let Some(deployment) = Deployment::with_memory(&network, MEMORY_MB, &record) else {
        return Verdict::NotRun;
    };
    let servers = start_servers(&network, 3, &deployment.controls, &record);
    let engines: &[Arc<Server>] = &servers[..3];
    sleep(Duration::from_millis(4_000));
    if !deployment.routers[1..].iter().all(|router| warm(*router)) {
        record.say("a stream before the disruption wasn't served");
        return Verdict::NotRun;
    }
    // Without the cut the router sends the stream to an engine itself.
    let is_cut = std::env::var("TROUBLE").map_or(true, |value| value != "direct");
    if is_cut {
        engines.iter().for_each(|engine| engine.listen(false));
        record.say("machine 1 opens no connection to an engine; the others have some");
    }
    sleep(Duration::from_millis(20));
    let router = deployment.routers[0];
    let stream = thread::spawn(move || {
        let mut client = Client::new(router, Duration::from_secs(10));
        let path = format!("/report/1?events={EVENTS}");
        client.send("passed-on", &path, &STREAM, 25_000, &[b'n'; BODY_BYTES])
    });
    sleep(CUT);
    engines.iter().for_each(|engine| engine.listen(true));
    record.say("it does again");
    sleep(Duration::from_millis(700));
    if trouble {
        send_long(router);
        sleep(Duration::from_millis(1_000));
        let arrived: u64 = engines.iter().map(|engine| engine.long_prompts()).sum();
        record.say(&format!(
            "{arrived} of {LONG_REQUESTS} long requests are at engines"
        ));
    }
    let seen = stream.join().expect("a client");
    let events = seen.events();
    let last = events.last().copied().unwrap_or(0);
    record.say(&format!(
        "client: {}; the last event is {last} of {EVENTS}",
        seen.text()
    ));
    let looks_whole = seen.status == 200 && seen.end == BodyEnd::Complete;
    if seen.status != 200 {
        return Verdict::NotRun;
    }
    if looks_whole && last < EVENTS {
        record.say("the stream ends as complete before its last piece");
        return Verdict::Broken;
    }
    Verdict::Held
}
