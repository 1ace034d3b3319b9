//! Keeps links to all known control processes.

use lovageplank_process::link;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio_util::sync::CancellationToken;

/// Runs one dial task for each known address and stops it when the address is no longer known.
///
/// Invariant: one running task for each address in `dial_tasks`.
pub struct Dialer {
    config: link::Config,
    /// Link address of this process, which is never dialled.
    own_address: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    /// Tokens that stop the dial tasks, by address.
    dial_tasks: BTreeMap<SocketAddr, CancellationToken>,
}

impl Dialer {
    /// Creates a dialer and starts to dial the seeds in the current runtime.
    pub fn new(
        config: link::Config,
        own_address: Option<SocketAddr>,
        seeds: Vec<SocketAddr>,
    ) -> Dialer {
        let mut dialer = Dialer {
            config,
            own_address,
            seeds,
            members: Vec::new(),
            dial_tasks: BTreeMap::new(),
        };
        dialer.reconcile();
        dialer
    }

    /// Replaces the seeds. Stops the dial tasks of addresses that are now neither seeds nor
    /// members, and starts tasks for new addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.reconcile();
    }

    /// Replaces the link addresses of the control group's members.
    pub fn set_members(&mut self, members: Vec<SocketAddr>) {
        self.members = members;
        self.reconcile();
    }

    /// Stops tasks of addresses that are no longer known and starts tasks for new ones.
    fn reconcile(&mut self) {
        let is_known = |address: &SocketAddr| {
            Some(*address) != self.own_address
                && (self.seeds.contains(address) || self.members.contains(address))
        };
        self.dial_tasks.retain(|address, stop| {
            let keep = is_known(address);
            if !keep {
                stop.cancel();
            }
            keep
        });
        let addresses: Vec<SocketAddr> = self.seeds.iter().chain(&self.members).copied().collect();
        for address in addresses
            .into_iter()
            .filter(|a| Some(*a) != self.own_address)
        {
            self.dial_tasks.entry(address).or_insert_with(|| {
                let stop = self.config.stop.child_token();
                let config = link::Config {
                    stop: stop.clone(),
                    ..self.config.clone()
                };
                tokio::spawn(link::dial(address, config));
                stop
            });
        }
    }
}
