//! The servers of a service are restarted one after the other, under their ids, while a machine of the core stands still.

use crate::Verdict;
use crate::client::Client;
use crate::deployment::{Deployment, Network, start_servers};
use crate::http::BodyEnd;
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

/// A server serves on for `drain-ms` after it has said that it drains, and a little longer.
const DRAIN: Duration = Duration::from_millis(2_300);
/// The time between the restarts of two servers.
const GAP: Duration = Duration::from_millis(1_000);
/// The time between the end of a server and its next start.
const DOWN: Duration = Duration::from_millis(300);
/// How long the machine stands still.
const FREEZE: Duration = Duration::from_millis(1_800);
/// The time after the freeze from which requests are counted: `recovery-s`.
const RECOVERY: Duration = Duration::from_secs(12);
const REQUESTS: u32 = 30;

const STREAM: [(&str, &str); 3] = [
    ("Model", "m"),
    ("Token-Count", "826,100"),
    ("Prompt-Prefix", "5c1e07a2:198,91bd3f06:628"),
];

/// Requests of one kind that were served.
fn served(record: &Record, routers: &[SocketAddr], name: &str, path: &str) -> u32 {
    let mut count = 0;
    for number in 0..REQUESTS {
        let router = routers[number as usize % routers.len()];
        let mut client = Client::new(router, Duration::from_secs(10));
        let id = format!("{name}-{number}");
        let (fields, deadline_ms): (&[(&str, &str)], u64) = match path {
            "/report/1" => (&STREAM, 25_000),
            _ => (&[], 1_000),
        };
        let seen = client.send(&id, path, fields, deadline_ms, b"a body");
        record.line(&format!("client at {router}: {}", seen.text()));
        count += u32::from(seen.status == 200 && seen.end == BodyEnd::Complete);
        sleep(Duration::from_millis(50));
    }
    record.say(&format!("{name}: {count} of {REQUESTS} served"));
    count
}

pub fn run(path: &str, trouble: bool) -> Verdict {
    let record = Arc::new(Record::new(path));
    let network = Network::new();
    let Some(deployment) = Deployment::start(&network, &record) else {
        return Verdict::NotRun;
    };
    // The machine that will stand still is the last one that servers call.
    let mut nodes = deployment.controls.clone();
    nodes.rotate_left(1);
    let servers = start_servers(&network, 2, &nodes, &record);
    sleep(Duration::from_millis(2_500));
    if served(&record, &deployment.routers, "before", "/order/1") < REQUESTS {
        return Verdict::NotRun;
    }
    let desk = &servers[2..];
    let restarts = desk.iter().zip(0_u32..).map(|(server, number)| {
        let server = server.clone();
        thread::spawn(move || {
            sleep(GAP * number);
            server.leave(DRAIN);
            sleep(DOWN);
            server.start_again();
        })
    });
    let restarts: Vec<_> = restarts.collect();
    sleep(DRAIN - Duration::from_millis(50));
    if trouble {
        deployment.signal_control(0, "-STOP");
        record.say("machine 1 stands still");
        sleep(FREEZE);
        deployment.signal_control(0, "-CONT");
        record.say("machine 1 goes on");
    }
    for restart in restarts {
        restart.join().expect("a server");
    }
    sleep(RECOVERY);
    let orders = served(&record, &deployment.routers, "order", "/order/1");
    let reports = served(&record, &deployment.routers, "report", "/report/1");
    // A kind of request is served less than a quarter as often as all requests.
    let is_starved = 4 * 2 * orders < orders + reports;
    if is_starved {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
