//! A load driver: sends calls by a plan and checks the answers.
//!
//! ```no_run
//! use lovageplank_standin::load::{Arrivals, Config, Share};
//! let share = Share::model("drafting", "mason").streamed_percent(50);
//! let report = Config::new("run-1")
//!     .lookup_address("127.0.0.1:7000")
//!     .share(share)
//!     .arrivals(Arrivals::Poisson { per_s: 20.0 })
//!     .duration_ms(5_000)
//!     .run()
//!     .unwrap();
//! assert!(report.verdict.is_clean(), "{report}");
//! ```
//!
//! The load is open-loop: each call has a planned start, drawn from a seed and independent of when
//! earlier calls end, and latencies are measured from that start. The driver uses only the
//! interface for callers: it looks up routers, caches the answer for its time to live, and connects
//! to a router directly. Afterwards it compares its outcomes with the records of the backend
//! servers. The number of calls, the duration and the calls in flight are bounded. A call that
//! would exceed the calls in flight starts late; the report counts late starts.

use std::time::Duration;

use lovageplank_core::prelude::*;

pub use self::error::Error;
pub use self::outcome::{Ending, Outcome};
pub use self::plan::{Arrivals, Share};
pub use self::report::Report;
pub use self::verdict::Verdict;

use crate::client;
use crate::record::Snapshot;

mod call;
mod error;
mod lookup;
mod outcome;
pub mod plan;
mod pool;
mod report;
mod stream;
mod verdict;

/// Timeout in milliseconds for fetching the records of one backend server. Beyond it the run fails
/// with an error.
const RECORDS_TIMEOUT_MS: u64 = 10_000;

/// Maximum number of calls in one run; a higher setting is lowered to it.
pub const MAX_CALLS: usize = 1_000_000;

/// Maximum number of calls in flight, each with a thread of its own; a higher setting is lowered to
/// it.
pub const MAX_IN_FLIGHT: usize = 2_000;

/// Which of several routers a call goes to first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterSelection {
    /// The first one in the list, which an answer to a lookup orders from best to worst.
    Best,
    /// Round robin by the number of the call, so that a burst reaches all routers.
    RoundRobin,
}

/// Configuration of a run: the calls, the addresses, and the checks.
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) run: Name,
    pub(crate) seed: u64,
    pub(crate) lookup_addresses: Vec<String>,
    pub(crate) fixed: Vec<String>,
    pub(crate) router_selection: RouterSelection,
    pub(crate) send_request_ids: bool,
    pub(crate) shares: Vec<Share>,
    pub(crate) arrivals: Arrivals,
    pub(crate) duration_ms: u64,
    pub(crate) max_calls: usize,
    pub(crate) in_flight: usize,
    pub(crate) clients: u32,
    pub(crate) deadline_ms: u64,
    pub(crate) slack_ms: u64,
    pub(crate) retry: bool,
    pub(crate) resend: bool,
    pub(crate) records: Vec<String>,
}

impl Config {
    /// Creates a configuration without addresses and calls. The run's name is part of its prompts
    /// and idempotency keys, so that they differ from those of other runs.
    pub fn new(run: impl Into<Name>) -> Config {
        Config {
            run: run.into(),
            seed: 1,
            lookup_addresses: Vec::new(),
            fixed: Vec::new(),
            router_selection: RouterSelection::Best,
            send_request_ids: false,
            shares: Vec::new(),
            arrivals: Arrivals::Poisson { per_s: 10.0 },
            duration_ms: 10_000,
            max_calls: 10_000,
            in_flight: 1_000,
            clients: 16,
            deadline_ms: 10_000,
            slack_ms: 2_000,
            retry: false,
            resend: false,
            records: Vec::new(),
        }
    }

    /// Sets the seed from which arrivals and requests are drawn.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Config {
        self.seed = seed;
        self
    }

    /// Adds an instance at which routers are looked up (`GET /v1/entries`).
    #[must_use]
    pub fn lookup_address(mut self, address: impl Into<String>) -> Config {
        self.lookup_addresses.push(address.into());
        self
    }

    /// Adds an address that is called without a lookup. If there is one, no lookups are made.
    #[must_use]
    pub fn fixed(mut self, address: impl Into<String>) -> Config {
        self.fixed.push(address.into());
        self
    }

    /// Sets which of several routers a call goes to first.
    #[must_use]
    pub fn router_selection(mut self, router_selection: RouterSelection) -> Config {
        self.router_selection = router_selection;
        self
    }

    /// Sets whether requests carry an id from the driver, for calls straight to backend servers.
    /// An answer whose request id differs then counts as crossed.
    #[must_use]
    pub fn send_request_ids(mut self, on: bool) -> Config {
        self.send_request_ids = on;
        self
    }

    /// Adds a kind of call to the mix.
    #[must_use]
    pub fn share(mut self, share: Share) -> Config {
        self.shares.push(share);
        self
    }

    /// Sets the distribution of the planned starts.
    #[must_use]
    pub fn arrivals(mut self, arrivals: Arrivals) -> Config {
        self.arrivals = arrivals;
        self
    }

    /// Sets the time in milliseconds within which calls start.
    #[must_use]
    pub fn duration_ms(mut self, duration: u64) -> Config {
        self.duration_ms = duration;
        self
    }

    /// Sets the maximum number of calls, at most [`MAX_CALLS`].
    #[must_use]
    pub fn max_calls(mut self, calls: usize) -> Config {
        self.max_calls = calls.min(MAX_CALLS);
        self
    }

    /// Sets the maximum number of calls in flight, from 1 to [`MAX_IN_FLIGHT`].
    #[must_use]
    pub fn in_flight(mut self, calls: usize) -> Config {
        self.in_flight = calls.clamp(1, MAX_IN_FLIGHT);
        self
    }

    /// Sets the number of clients that the calls are spread over, at least 1. Each client caches
    /// its own lookups.
    #[must_use]
    pub fn clients(mut self, clients: u32) -> Config {
        self.clients = clients.max(1);
        self
    }

    /// Sets the deadline of a call, in milliseconds after its planned start.
    #[must_use]
    pub fn deadline_ms(mut self, deadline: u64) -> Config {
        self.deadline_ms = deadline;
        self
    }

    /// Sets the time in milliseconds after its deadline from which an unanswered call counts as
    /// lost.
    #[must_use]
    pub fn slack_ms(mut self, slack: u64) -> Config {
        self.slack_ms = slack;
        self
    }

    /// Sets whether a call that got a 503 with `Retry-After` is retried within its deadline.
    #[must_use]
    pub fn retry(mut self, on: bool) -> Config {
        self.retry = on;
        self
    }

    /// Sets whether a call whose connection broke before any answer is sent again within its
    /// deadline, to the next router and with the same idempotency key.
    #[must_use]
    pub fn resend(mut self, on: bool) -> Config {
        self.resend = on;
        self
    }

    /// Adds the address of a backend server whose records are compared with the outcomes.
    #[must_use]
    pub fn records(mut self, address: impl Into<String>) -> Config {
        self.records.push(address.into());
        self
    }

    /// Runs the load, fetches the records and compares them with the outcomes.
    ///
    /// Fails if the configuration is invalid, a thread panicked, or records could not be fetched.
    pub fn run(&self) -> Result<Report, Error> {
        let outcomes = self.send()?;
        let pages = self.fetch_records()?;
        Ok(self.judge(&outcomes, &pages))
    }

    /// Runs the load and returns the outcomes without checking them against records.
    ///
    /// Fails if the configuration is invalid or a thread panicked.
    pub fn send(&self) -> Result<Vec<Outcome>, Error> {
        self.check()?;
        let plan = plan::generate(self);
        let planned = plan.len();
        let outcomes = pool::run(self, plan);
        if outcomes.len() < planned {
            return Err(Error::incomplete(outcomes.len(), planned));
        }
        Ok(outcomes)
    }

    /// Compares outcomes with records. `pages` must include the records of backend servers that
    /// have ended since, or their calls are not counted.
    pub fn judge(&self, outcomes: &[Outcome], pages: &[Snapshot]) -> Report {
        Report::new(outcomes, Verdict::new(outcomes, pages))
    }

    fn fetch_records(&self) -> Result<Vec<Snapshot>, Error> {
        let timeout = Duration::from_millis(RECORDS_TIMEOUT_MS);
        let fetch = |address: &String| {
            client::get_json(address, "/records", timeout)
                .map_err(|error| Error::records(address, &error))
        };
        self.records.iter().map(fetch).collect()
    }

    fn check(&self) -> Result<(), Error> {
        if self.lookup_addresses.is_empty() && self.fixed.is_empty() {
            return Err(Error::config(
                "there is no address for lookups (--ask) or calls (--fixed)",
            ));
        }
        if self.shares.iter().all(|share| share.weight() == 0) {
            return Err(Error::config(
                "the mix is empty: no share has a weight above 0",
            ));
        }
        self.arrivals
            .check()
            .map_err(|reason| Error::config(&reason))
    }
}
