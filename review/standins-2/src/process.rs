//! The project's own programs, as separate processes with the commands of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

pub const FRONT_PORT: u16 = 8149;
pub const READY_PORT: u16 = 8141;
pub const CONTROL_PORT: u16 = 8144;
pub const DIRECTORY_PORT: u16 = 8143;

/// A machine: a loopback address and a folder.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub folder: PathBuf,
    pub memory_mb: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Control,
    Entry,
}

impl Machine {
    pub fn address(&self, port: u16) -> SocketAddr {
        (self.ip, port).into()
    }

    /// Starts one of the two roles.
    pub fn start(&self, role: Role, seeds: &[SocketAddr], first_start: bool) -> Child {
        std::fs::create_dir_all(&self.folder).expect("create a folder");
        let (word, serves, metrics) = match role {
            Role::Control => ("control", "\"control\"", "9464"),
            Role::Entry => ("entry", "\"front\",\"directory\"", "9465"),
        };
        let settings = self.folder.join(format!("{word}.toml"));
        let text = self.settings(role, serves, seeds, first_start);
        std::fs::write(&settings, text).expect("write the settings");
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.folder.join(format!("{word}.log")))
            .expect("open the log");
        let root = std::env::var("REVIEW_ROOT").unwrap_or_else(|_| ".".into());
        Command::new(format!("{root}/target/release/lovageplank-platform"))
            .args([word, "--metrics", metrics])
            .env("LOVAGEPLANK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("start a process; is the deploy file's build done?")
    }

    fn settings(
        &self,
        role: Role,
        serves: &str,
        seeds: &[SocketAddr],
        first_start: bool,
    ) -> String {
        let Machine {
            name,
            ip,
            zone,
            folder,
            memory_mb,
        } = self;
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let seeds = seeds.join(",");
        let (data, listen) = match role {
            Role::Control => (
                format!("data-dir = \"{}\"\n", folder.join("data").display()),
                format!("control = \"{ip}:{CONTROL_PORT}\"\n"),
            ),
            Role::Entry => (
                String::new(),
                format!(
                    "front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\ndirectory = \"{ip}:{DIRECTORY_PORT}\"\n"
                ),
            ),
        };
        format!(
            "node = \"{name}\"\nrole = \"{role:?}\"\nmachine-class = \"front\"\nserves = [{serves}]\nip = \"{ip}\"\n\
             zone = \"{zone}\"\nregion = \"jordan\"\nport-range = [7380,7395]\nseeds = [{seeds}]\nfirst-start = {first_start}\n\
             counts-as-loss = true\n{data}discovery = \"registry\"\nentry = \"directory\"\nheartbeat-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\"]\n\
             config-mode = \"highest\"\n[zones]\namman-east = \"jordan\"\namman-west = \"jordan\"\nsalt = \"jordan\"\n\
             [listen]\n{listen}[limits]\ncpu-share = 0.45\ncores = 1\nmemory-mb = {memory_mb}\nmax-fds = 4100\nlink-mbps = 1000.0\n\
             disk-mb = 64\n[fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\n\
             contact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\n\
             config-apply-ms = 2000\nrollback-slack-ms = 250\nouter-ms = 5000\nbudget-ratio = 0.2\nbudget-window-s = 10\n\
             budget-extra = 60\nrecovery-s = 12\npass-ms = 120\nretry-after-s = 0\nfencing = false\nlease-ms = 3000\n\
             thaw-slack-ms = 300\nceiling-window-s = 5\nceiling-overage = 1.1\nttl_max_s = 5\n"
        )
    }
}

/// A part of the loopback network in which the ports are free.
pub fn free_network() -> (u8, u8) {
    let pid = std::process::id();
    for step in 0..200_u32 {
        let number = pid.wrapping_add(step * 7_919);
        let second = u8::try_from(number % 200 + 20).expect("below 220");
        let third = u8::try_from(number / 200 % 200 + 20).expect("below 220");
        let is_free = (1..=6).all(|host| {
            let ip = Ipv4Addr::new(127, second, third, host);
            [FRONT_PORT, CONTROL_PORT, 7380, 7381]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return (second, third);
        }
    }
    panic!("no free addresses");
}

/// Ends what it holds, by its id.
#[derive(Default)]
pub struct Started(pub Vec<Child>);

impl Drop for Started {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
