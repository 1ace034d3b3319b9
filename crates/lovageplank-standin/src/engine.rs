//! An engine that makes up its answers.
//!
//! ```no_run
//! use lovageplank_standin::engine::Config;
//! use lovageplank_standin::fault::{Faults, RequestFault};
//! let engine = Config::new("e1").announce_to("127.0.0.1:7000").start().unwrap();
//! let request = Some(RequestFault::CutAfter { tokens: 3 });
//! engine.set_faults(Faults { request, times: Some(1), ..Faults::default() });
//! engine.stop();
//! ```
//!
//! It batches continuously, loads and unloads on command, checks fencing tokens, caches prompt
//! prefixes, announces itself and reports its load. Its text depends on model, adapter and prompt
//! alone, so that an answer given to the wrong request shows. It doesn't move key-value caches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lovageplank_core::backend::Announcement;
use tokio_util::sync::CancellationToken;

use crate::announce::{AnnouncementSource, Announcer, Status};
use crate::fault::Faults;
use crate::http::{Control, Server};
use crate::record::{Records, Snapshot};
use crate::shared::shared_handle;

pub use self::config::Config;
pub use self::error::Error;

use self::shared::Core;

mod answer;
mod batch;
pub mod command;
mod config;
mod error;
mod generate;
mod prefix;
mod prompt;
mod serve;
mod shared;
pub mod state;
pub mod text;
mod weights;

/// Milliseconds that a graceful stop waits for running requests.
const DRAIN_MS: u64 = 30_000;

/// A running engine; dropping it kills it.
pub struct Engine {
    core: Arc<Core>,
    server: Server,
    announcer: Announcer,
}

impl Engine {
    shared_handle!();

    /// Binds the port, serves it and begins to announce the engine.
    pub fn start(config: Config) -> Result<Engine, Error> {
        let control = Control::default();
        let to = config.announce_to.clone();
        let report_every = Duration::from_millis(config.report_ms);
        let listen = config.listen.clone();
        let core = Arc::new(Core::new(config, control.clone()));
        let server = Server::start(&listen, control.clone(), core.clone())
            .map_err(|error| Error::bind(&listen, error))?;
        core.set_address(server.address());
        let announcer = Announcer::start(core.clone(), to, report_every, control.stop);
        core.set_waker(announcer.waker());
        core.set_faults(core.faults.get());
        Ok(Engine {
            core,
            server,
            announcer,
        })
    }

    /// Returns the address that it serves at.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what it announces.
    pub fn announcement(&self) -> Announcement {
        self.core.announcement()
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.core.batch.running()
    }

    /// Returns how many requests wait for a seat in the batch.
    pub fn queued(&self) -> usize {
        self.core.batch.queued()
    }

    /// Leaves, sends the answers in progress to their ends, then ends.
    pub fn stop(mut self) {
        self.leave();
        self.server.stop(Duration::from_millis(DRAIN_MS));
    }

    /// Dies at once: connections are cut, nothing more is announced.
    pub fn kill(self) {
        drop(self);
    }

    /// Waits until the engine dies, by a fault or by [`Engine::kill`].
    pub fn join(mut self) {
        self.server.join();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.core.crash();
    }
}
