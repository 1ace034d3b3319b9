//! A whole deployment in one process.

use crate::client::operator_call;
use crate::proxy::Proxy;
use eyre::{Result, WrapErr, bail};
use lovageplank_control::{Control, Listeners};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Edit, Version};
use lovageplank_process::config;
use lovageplank_router::{Handle, Router};
use lovageplank_standin::{engine, service};
use lovageplank_wire::call::OperatorRequest;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

/// The settings tree of a first run.
pub const FIRST_RUN_TREE: &str = include_str!("../../../examples/first-run/tree.json");

/// Operators' token of a first run.
pub const OPERATOR_TOKEN: &str = "first-run-operator-token";

/// Secret that authenticates the links of a first run.
const LINK_KEY: &str = "first-run-secret-of-the-links";

/// Milliseconds within which a settings tree must be accepted, and again within which a version
/// must be in force everywhere; beyond it the start of a deployment fails.
const START_TIMEOUT_MS: u64 = 20_000;

/// Milliseconds between two polls of a condition.
const POLL_INTERVAL_MS: u64 = 20;

/// Configuration of a deployment.
#[derive(Clone, Debug)]
pub struct Config {
    controls: usize,
    routers: usize,
    engines: usize,
    services: usize,
    fencing: bool,
    load_ms: u64,
    memory_mb: u64,
    tree: String,
    listen: Option<SocketAddr>,
    data_dir: Option<PathBuf>,
    proxied: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            controls: 1,
            routers: 2,
            engines: 2,
            services: 1,
            fencing: true,
            load_ms: 500,
            memory_mb: 40_000,
            tree: FIRST_RUN_TREE.to_owned(),
            listen: None,
            data_dir: None,
            proxied: false,
        }
    }
}

impl Config {
    /// Sets whether links to control processes pass through relays that
    /// [`Deployment::partition_control`] can silence.
    #[must_use]
    pub fn proxied(mut self, enabled: bool) -> Config {
        self.proxied = enabled;
        self
    }

    /// Sets the number of control processes.
    #[must_use]
    pub fn controls(mut self, n: usize) -> Config {
        self.controls = n;
        self
    }

    /// Sets the number of routers.
    #[must_use]
    pub fn routers(mut self, n: usize) -> Config {
        self.routers = n;
        self
    }

    /// Sets the number of stand-in engines.
    #[must_use]
    pub fn engines(mut self, n: usize) -> Config {
        self.engines = n;
        self
    }

    /// Sets the number of stand-in plain services.
    #[must_use]
    pub fn services(mut self, n: usize) -> Config {
        self.services = n;
        self
    }

    /// Sets whether engines check fencing tokens.
    #[must_use]
    pub fn fencing(mut self, enabled: bool) -> Config {
        self.fencing = enabled;
        self
    }

    /// Sets how many milliseconds a load from the weight store takes.
    #[must_use]
    pub fn load_ms(mut self, ms: u64) -> Config {
        self.load_ms = ms;
        self
    }

    /// Sets the accelerator memory of each engine in megabytes.
    #[must_use]
    pub fn memory_mb(mut self, memory_mb: u64) -> Config {
        self.memory_mb = memory_mb;
        self
    }

    /// Sets the settings tree, as JSON.
    #[must_use]
    pub fn tree(mut self, tree: impl Into<String>) -> Config {
        self.tree = tree.into();
        self
    }

    /// Sets the address on which the first router listens; a free loopback port by default.
    #[must_use]
    pub fn listen(mut self, address: SocketAddr) -> Config {
        self.listen = Some(address);
        self
    }

    /// Sets the folder of the control processes' durable state; a temporary one by default.
    #[must_use]
    pub fn data_dir(mut self, path: impl Into<PathBuf>) -> Config {
        self.data_dir = Some(path.into());
        self
    }

    /// Starts all processes and waits until the settings tree is in force.
    ///
    /// Fails if a process can't start or the tree isn't in force in time.
    pub fn start(self) -> Result<Deployment> {
        Deployment::start(&self)
    }
}

/// A running deployment; dropping it stops it without a graceful shutdown.
pub struct Deployment {
    routers: Vec<Handle>,
    controls: Vec<Option<Control>>,
    control_configs: Vec<config::Config>,
    engines: Vec<engine::Engine>,
    services: Vec<service::Service>,
    /// Relays between control processes, by the indexes of the dialing and the dialed process.
    proxies: BTreeMap<(usize, usize), Proxy>,
    /// Relays from all routers to each control process, by its index.
    router_proxies: Vec<Proxy>,
    stop: CancellationToken,
    /// Holds the temporary data folder, which is deleted on drop.
    _temporary: Option<TempDir>,
}

impl Deployment {
    fn start(config: &Config) -> Result<Deployment> {
        let temporary = match config.data_dir {
            None => Some(TempDir::new().wrap_err("make a temporary folder")?),
            Some(_) => None,
        };
        let folder = match (&config.data_dir, &temporary) {
            (Some(path), _) => path.clone(),
            (None, Some(temporary)) => temporary.path().to_path_buf(),
            (None, None) => bail!("no data folder"),
        };
        let stop = CancellationToken::new();
        let mut deployment = Deployment {
            routers: Vec::new(),
            controls: Vec::new(),
            control_configs: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            proxies: BTreeMap::new(),
            router_proxies: Vec::new(),
            stop,
            _temporary: temporary,
        };
        deployment.start_controls(config, &folder)?;
        deployment.start_routers(config)?;
        deployment.start_servers(config)?;
        deployment.apply(&config.tree)?;
        Ok(deployment)
    }

    fn start_controls(&mut self, config: &Config, folder: &std::path::Path) -> Result<()> {
        let any_port = loopback(0);
        let bound: Result<Vec<Listeners>> = (0..config.controls)
            .map(|_| Listeners::bind(any_port, any_port))
            .collect();
        let bound = bound?;
        let peers: Result<Vec<SocketAddr>> = bound.iter().map(Listeners::link).collect();
        let peers = peers?;
        if config.proxied {
            self.start_proxies(&peers)?;
        }
        let name = |n: usize| Name::from(format!("control-{n}"));
        for (n, listeners) in bound.into_iter().enumerate() {
            let process_config = config::Config {
                instance: name(n),
                failure_domain: failure_domain(n),
                listen: any_port,
                link: Some(peers[n]),
                peers: self.peers_of(n, &peers),
                voters: (0..config.controls).map(name).collect(),
                data_dir: Some(folder.join(&*name(n))),
                link_key: LINK_KEY.into(),
                operator_key: OPERATOR_TOKEN.into(),
                log: "info".into(),
            };
            let control = Control::start_on(&process_config, listeners, &self.stop)?;
            self.controls.push(Some(control));
            self.control_configs.push(process_config);
        }
        Ok(())
    }

    fn start_proxies(&mut self, links: &[SocketAddr]) -> Result<()> {
        for (target, link) in links.iter().enumerate() {
            for from in (0..links.len()).filter(|from| *from != target) {
                self.proxies.insert((from, target), Proxy::start(*link)?);
            }
            self.router_proxies.push(Proxy::start(*link)?);
        }
        Ok(())
    }

    /// The addresses at which control process `from` dials the control processes, itself included.
    fn peers_of(&self, from: usize, links: &[SocketAddr]) -> Vec<SocketAddr> {
        let address = |(target, link): (usize, &SocketAddr)| {
            self.proxies
                .get(&(from, target))
                .map_or(*link, |proxy| proxy.address)
        };
        links.iter().enumerate().map(address).collect()
    }

    /// Starts or ends a network partition between control process `n` and the others.
    ///
    /// While `silent`, bytes stop but connections stay open. `routers_too` is whether the call also
    /// applies to the links from routers to `n`. Has no effect unless the deployment was configured
    /// with [`Config::proxied`].
    pub fn partition_control(&self, n: usize, silent: bool, routers_too: bool) {
        for ((from, target), proxy) in &self.proxies {
            if *from == n || *target == n {
                proxy.set_silent(silent);
            }
        }
        if let Some(proxy) = self.router_proxies.get(n)
            && routers_too
        {
            proxy.set_silent(silent);
        }
    }

    fn start_routers(&mut self, config: &Config) -> Result<()> {
        let peers: Vec<SocketAddr> = if config.proxied {
            self.router_proxies
                .iter()
                .map(|proxy| proxy.address)
                .collect()
        } else {
            self.control_configs
                .iter()
                .filter_map(|process_config| process_config.link)
                .collect()
        };
        for n in 0..config.routers {
            let listen = if n == 0 { config.listen } else { None };
            let process_config = config::Config {
                instance: format!("router-{n}").into(),
                failure_domain: failure_domain(n),
                listen: listen.unwrap_or(loopback(0)),
                link: None,
                peers: peers.clone(),
                voters: Vec::new(),
                data_dir: None,
                link_key: LINK_KEY.into(),
                operator_key: OPERATOR_TOKEN.into(),
                log: "info".into(),
            };
            self.routers.push(Router::start_linked(&process_config)?);
        }
        Ok(())
    }

    fn start_servers(&mut self, config: &Config) -> Result<()> {
        let router_addresses: Vec<String> =
            self.routers.iter().map(|r| r.address.to_string()).collect();
        for n in 0..config.engines {
            let mut engine = engine::Config::new(format!("engine-{n}"))
                .failure_domain(failure_domain(n))
                .service("drafting")
                .memory_mb(config.memory_mb)
                .load_ms(config.load_ms)
                .fencing(config.fencing);
            for address in &router_addresses {
                engine = engine.announce_to(address.as_str());
            }
            self.engines.push(engine.start()?);
        }
        for n in 0..config.services {
            let mut server = service::Config::new(format!("orders-{n}"))
                .failure_domain(failure_domain(n))
                .service("orders");
            for address in &router_addresses {
                server = server.announce_to(address.as_str());
            }
            self.services.push(server.start()?);
        }
        Ok(())
    }

    /// Replaces the whole settings tree and waits until it is in force everywhere; `tree` is JSON.
    ///
    /// Fails if `tree` isn't JSON, or isn't accepted or in force in time.
    pub fn apply(&self, tree: &str) -> Result<Version> {
        let tree: Value = serde_json::from_str(tree).wrap_err("the settings tree isn't JSON")?;
        let start = Instant::now();
        loop {
            match self.try_apply(&tree) {
                Ok(version) => return self.wait_in_force(version),
                Err(error) if start.elapsed() > Duration::from_millis(START_TIMEOUT_MS) => {
                    return Err(error);
                }
                Err(_) => std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS)),
            }
        }
    }

    fn try_apply(&self, tree: &Value) -> Result<Version> {
        let status = self.operator_call(&OperatorRequest::Status)?;
        let base = Version(status["settings_version"].as_u64().unwrap_or(0));
        let edit = Edit {
            path: String::new(),
            value: Some(tree.clone()),
        };
        let answer = self.operator_call(&OperatorRequest::Change {
            id: format!("start-{}", base.0).into(),
            base,
            author: "first-run".into(),
            edits: vec![edit],
        })?;
        Ok(Version(answer["version"].as_u64().unwrap_or(0)))
    }

    /// Waits until a version is in force everywhere; fails if it isn't in time.
    pub fn wait_in_force(&self, version: Version) -> Result<Version> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(START_TIMEOUT_MS) {
            let answer = self.operator_call(&OperatorRequest::InForce { version });
            if answer.is_ok_and(|a| a["in_force"] == true) {
                return Ok(version);
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        bail!(
            "version {} is not in force after {START_TIMEOUT_MS} ms",
            version.0
        )
    }

    /// Sends an operator's call directly to a control process, given by its index.
    ///
    /// Fails if the control process is stopped, can't be reached or refuses the call.
    pub fn operator_call_at(&self, control: usize, call: &OperatorRequest) -> Result<Value> {
        match &self.controls[control] {
            Some(control) => operator_call(control.address, OPERATOR_TOKEN, call),
            None => bail!("control-{control} is stopped"),
        }
    }

    /// Index of the control process that leads; fails if there is no leader.
    pub fn leader(&self) -> Result<usize> {
        let status = self.operator_call(&OperatorRequest::Status)?;
        let name = status["leader"].as_str().unwrap_or_default();
        let number = name.rsplit('-').next().unwrap_or_default();
        number
            .parse()
            .wrap_err_with(|| format!("leader {name:?} has no index"))
    }

    /// Stops an engine at once, as a crash would, and removes it from [`Deployment::engines`].
    pub fn kill_engine(&mut self, n: usize) {
        drop(self.engines.remove(n));
    }

    /// Sends an operator's call to the first router.
    ///
    /// Fails if the router can't be reached or the call is refused.
    pub fn operator_call(&self, call: &OperatorRequest) -> Result<Value> {
        operator_call(self.routers[0].address, OPERATOR_TOKEN, call)
    }

    /// The routers.
    pub fn routers(&self) -> &[Handle] {
        &self.routers
    }

    /// Removes a router, so that the caller can stop it gracefully.
    pub fn take_router(&mut self, n: usize) -> Handle {
        self.routers.remove(n)
    }

    /// The stand-in engines.
    pub fn engines(&self) -> &[engine::Engine] {
        &self.engines
    }

    /// The stand-in plain services.
    pub fn services(&self) -> &[service::Service] {
        &self.services
    }

    /// Stops a control process and keeps its data folder.
    pub fn stop_control(&mut self, n: usize) {
        if let Some(control) = self.controls[n].take() {
            control.stop();
        }
    }

    /// Starts a stopped control process with its data folder.
    pub fn restart_control(&mut self, n: usize) -> Result<()> {
        self.controls[n] = Some(Control::start(&self.control_configs[n], &self.stop)?);
        Ok(())
    }

    /// Starts one more control process, which isn't a voter yet, with an empty data folder, and
    /// returns its index.
    pub fn join_control(&mut self) -> Result<usize> {
        let n = self.controls.len();
        let any_port = loopback(0);
        let listeners = Listeners::bind(any_port, any_port)?;
        let first = &self.control_configs[0];
        let instance = Name::from(format!("control-{n}"));
        let folder = first.data_dir.as_ref().and_then(|path| path.parent());
        let process_config = config::Config {
            failure_domain: failure_domain(n),
            link: Some(listeners.link()?),
            peers: self.control_configs.iter().filter_map(|p| p.link).collect(),
            data_dir: folder.map(|folder| folder.join(&*instance)),
            instance,
            ..first.clone()
        };
        self.controls.push(Some(Control::start_on(
            &process_config,
            listeners,
            &self.stop,
        )?));
        self.control_configs.push(process_config);
        Ok(n)
    }

    /// Stops the routers gracefully, then everything else.
    pub fn stop(mut self) {
        for router in self.routers.drain(..) {
            router.stop();
        }
        self.stop.cancel();
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn failure_domain(n: usize) -> Name {
    format!("domain-{}", n % 3).into()
}
