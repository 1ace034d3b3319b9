//! Keeps links to all known control processes.

use lovageplank_core::fleet::addresses::Addresses;
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
    members: Addresses<SocketAddr>,
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
            members: Addresses::default(),
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

    /// Replaces the link addresses of the control group's members, as the process on a link named them.
    pub fn set_members(&mut self, link: u64, members: Vec<SocketAddr>) {
        self.members.named(link, members);
        self.reconcile();
    }

    /// Records that a link went down.
    pub fn disconnected(&mut self, link: u64) {
        self.members.disconnected(link);
        self.reconcile();
    }

    /// Stops tasks of addresses that are no longer known and starts tasks for new ones.
    fn reconcile(&mut self) {
        let mut addresses = self.members.all();
        addresses.extend(&self.seeds);
        addresses.retain(|address| Some(*address) != self.own_address);
        self.dial_tasks.retain(|address, stop| {
            let keep = addresses.contains(address);
            if !keep {
                stop.cancel();
            }
            keep
        });
        for address in addresses {
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
