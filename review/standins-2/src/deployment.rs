//! A small deployment: three machines that serve control, routers, engines and servers.

use crate::operator;
use crate::process::{CONTROL_PORT, FRONT_PORT, Machine, Role, Started, free_network};
use crate::record::Record;
use crate::server::Server;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

const ZONES: [&str; 3] = ["amman-east", "amman-west", "salt"];
/// Where backend servers take requests.
const SERVER_PORT: u16 = 8080;

/// Addresses and folders of a run, on loopback addresses of its own.
pub struct Network {
    second: u8,
    third: u8,
    folder: PathBuf,
}

impl Network {
    pub fn new() -> Network {
        let (second, third) = free_network();
        let name = format!("lovageplank-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("create a folder");
        Network {
            second,
            third,
            folder,
        }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, host)
    }

    /// The machine with this number, from 1.
    pub fn machine(&self, host: u8, memory_mb: u32) -> Machine {
        Machine {
            name: format!("front-{host}"),
            ip: self.ip(host),
            zone: ZONES[usize::from(host - 1) % ZONES.len()].into(),
            folder: self.folder.join(host.to_string()),
            memory_mb,
        }
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Servers of both services; the engines come first.
pub fn start_servers(
    network: &Network,
    engines: u8,
    controls: &[SocketAddr],
    record: &Arc<Record>,
) -> Vec<Arc<Server>> {
    let start = |id: String, service, host: u8| {
        let address = (network.ip(host), SERVER_PORT).into();
        Server::start(&id, service, address, controls.to_vec(), record.clone())
    };
    let drafting = (1..=engines).map(|n| start(format!("i-e{n}"), "drafting", 100 + n));
    let desk = (1..=2).map(|n| start(format!("i-d{n}"), "site-desk", 200 + n));
    drafting.chain(desk).collect()
}

/// Three control processes, as many routers, and the first configuration.
pub struct Deployment {
    pub routers: Vec<SocketAddr>,
    pub controls: Vec<SocketAddr>,
    /// The control processes come first.
    started: Started,
}

impl Deployment {
    /// Starts all processes on machines of the sheet.
    pub fn start(network: &Network, record: &Record) -> Option<Deployment> {
        Deployment::with_memory(network, [260; 3], record)
    }

    /// The same on machines with so many MB of memory for a process.
    pub fn with_memory(
        network: &Network,
        memory_mb: [u32; 3],
        record: &Record,
    ) -> Option<Deployment> {
        let machines: Vec<Machine> = (1..=3)
            .zip(memory_mb)
            .map(|(host, mb)| network.machine(host, mb))
            .collect();
        let addresses = |port| machines.iter().map(move |m| m.address(port)).collect();
        let controls: Vec<SocketAddr> = addresses(CONTROL_PORT);
        let mut started = Started::default();
        for role in [Role::Control, Role::Entry] {
            let processes = machines.iter().map(|m| m.start(role, &controls, true));
            started.0.extend(processes);
        }
        let document = operator::document(7);
        let limit = Duration::from_secs(10);
        if !operator::put_until(record, &controls, &document, limit) {
            record.say("the first configuration wasn't acknowledged");
            return None;
        }
        Some(Deployment {
            routers: addresses(FRONT_PORT),
            controls,
            started,
        })
    }

    /// Sends a signal to the control process of a machine, by its number from 0.
    pub fn signal_control(&self, machine: usize, signal: &str) {
        let id = self.started.0[machine].id().to_string();
        let sent = Command::new("kill").args([signal, id.as_str()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "a signal");
    }
}
