//! One of the three seeds is gone for good during the first start; a machine at another address takes its place.

use crate::Verdict;
use crate::client::Client;
use crate::deployment::{Network, start_servers};
use crate::operator;
use crate::process::{CONTROL_PORT, FRONT_PORT, Role, Started};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const CONTACT: Duration = Duration::from_millis(3_000);
const ACK: Duration = Duration::from_millis(4_000);
/// How long the operator goes on.
const WATCH: Duration = Duration::from_secs(60);

pub fn run(path: &str, trouble: bool) -> Verdict {
    let record = Arc::new(Record::new(path));
    let network = Network::new();
    let seeds: Vec<SocketAddr> = (1..=3)
        .map(|host| (network.ip(host), CONTROL_PORT).into())
        .collect();
    let mut started = Started::default();
    let start = |host: u8, role, first| {
        record.line(&format!("machine {host} starts {role:?}"));
        network.machine(host, 260).start(role, &seeds, first)
    };
    // All machines start within 0.3 s of each other.
    let mut lost = start(3, Role::Control, true);
    sleep(Duration::from_millis(100));
    if trouble {
        let _ = lost.kill();
        let _ = lost.wait();
        record.say("machine 3 is gone for good");
    } else {
        started.0.push(lost);
    }
    sleep(Duration::from_millis(100));
    for host in [1, 2] {
        started.0.push(start(host, Role::Control, true));
        started.0.push(start(host, Role::Entry, true));
    }
    let mut nodes: Vec<SocketAddr> = seeds[..2].to_vec();
    if trouble {
        sleep(Duration::from_millis(2_000));
        let machine = network.machine(4, 260);
        let seeds = [nodes[0], nodes[1], machine.address(CONTROL_PORT)];
        started.0.push(machine.start(Role::Control, &seeds, false));
        nodes.push(machine.address(CONTROL_PORT));
        record.say("machine 4 comes at another address, with an empty disk");
    } else {
        nodes.push(seeds[2]);
    }
    let _servers = start_servers(&network, 2, &nodes, &record);
    let began = record.at();
    let document = operator::document(7);
    let acknowledged = operator::put_until(&record, &nodes, &document, WATCH);
    let took = record.at() - began;
    let router = network.machine(1, 260).address(FRONT_PORT);
    sleep(Duration::from_secs(2));
    let mut client = Client::new(router, Duration::from_secs(2));
    let mut served = 0;
    for number in 0..20 {
        let id = format!("order-{number}");
        let seen = client.send(&id, "/order/1", &[], 1_000, b"an order");
        record.line(&format!("client: {}", seen.text()));
        served += u32::from(seen.status == 200);
    }
    record.say(&format!(
        "the first configuration: acknowledged {acknowledged}, after {:.1} s; requests served: {served} of 20",
        took.as_secs_f64()
    ));
    if !trouble && !acknowledged {
        return Verdict::NotRun;
    }
    // The core is stable `contact-ms` after the last of these events.
    let late = !acknowledged || took > CONTACT + ACK;
    if late { Verdict::Broken } else { Verdict::Held }
}
