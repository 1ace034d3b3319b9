//! A stand-in for a model engine that generates synthetic answers.
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
//! The engine batches requests continuously, executes load and unload commands, checks fencing
//! tokens, caches prompt prefixes, and sends announcements and load reports. The text of an answer
//! depends only on the model, the adapter and the prompt, so that an answer to the wrong request
//! can be detected. The engine doesn't transfer key-value caches.

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

/// Time in milliseconds that [`Engine::stop`] waits for running requests before it cuts them off.
const DRAIN_MS: u64 = 30_000;

/// A running engine; dropping it stops it at once, like [`Engine::kill`].
pub struct Engine {
    core: Arc<Core>,
    server: Server,
    announcer: Announcer,
}

impl Engine {
    shared_handle!();

    /// Binds the listen address and starts to serve requests and send announcements.
    ///
    /// Errors: the address can't be bound, or the server's thread can't be started.
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

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the engine's current announcement.
    pub fn announcement(&self) -> Announcement {
        self.core.announcement()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.core.batch.running()
    }

    /// Returns the number of requests that wait for a slot in the batch.
    pub fn queued(&self) -> usize {
        self.core.batch.queued()
    }

    /// Stops gracefully: refuses new requests, waits up to 30 seconds for running ones, then closes
    /// the listener and all connections.
    pub fn stop(mut self) {
        self.leave();
        self.server.stop(Duration::from_millis(DRAIN_MS));
    }

    /// Stops at once, like a crash: cuts all connections and sends no more announcements.
    pub fn kill(self) {
        drop(self);
    }

    /// Waits until the engine is stopped, for example by a fault that crashes it.
    pub fn join(mut self) {
        self.server.join();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.core.crash();
    }
}
