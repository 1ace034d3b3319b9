//! A load driver that judges what it got.
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
//! Its loop is open: calls start when a fixed seed says, not when earlier ones end, and latencies
//! count from that time. It speaks only the callers' interface, asks for entries first, keeps the
//! answer for its time to live, and connects directly. Afterwards it compares its own records with
//! those of the backend servers. Load is bounded by a count, a duration and a number of calls in
//! flight; calls beyond the last wait, and the report says how many started late.

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

/// Milliseconds that fetching one page of records may take.
const RECORDS_TIMEOUT_MS: u64 = 10_000;

/// Most calls of one run.
pub const MAX_CALLS: usize = 1_000_000;

/// Most calls in flight at once.
pub const MAX_IN_FLIGHT: usize = 2_000;

/// Which of several entries a call goes to first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterSelection {
    /// The best one.
    Best,
    /// Each in turn, so that a burst meets all of them.
    RoundRobin,
}

/// What to send, where to, and how to judge it.
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
    /// An empty load; the run's name makes its prompts and keys differ from those of other runs.
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

    /// Sets the seed of arrivals and mix.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Config {
        self.seed = seed;
        self
    }

    /// Adds an instance to ask for entries.
    #[must_use]
    pub fn lookup_address(mut self, address: impl Into<String>) -> Config {
        self.lookup_addresses.push(address.into());
        self
    }

    /// Adds an address to call without asking; if there is any, nobody is asked.
    #[must_use]
    pub fn fixed(mut self, address: impl Into<String>) -> Config {
        self.fixed.push(address.into());
        self
    }

    /// Sets which of several entries a call goes to.
    #[must_use]
    pub fn router_selection(mut self, router_selection: RouterSelection) -> Config {
        self.router_selection = router_selection;
        self
    }

    /// Sets whether the driver names its requests, for calls straight to backend servers; each
    /// answer must then carry its own request's id.
    #[must_use]
    pub fn send_request_ids(mut self, on: bool) -> Config {
        self.send_request_ids = on;
        self
    }

    /// Adds a share of the mix.
    #[must_use]
    pub fn share(mut self, share: Share) -> Config {
        self.shares.push(share);
        self
    }

    /// Sets when calls start.
    #[must_use]
    pub fn arrivals(mut self, arrivals: Arrivals) -> Config {
        self.arrivals = arrivals;
        self
    }

    /// Sets for how long calls start, in milliseconds.
    #[must_use]
    pub fn duration_ms(mut self, duration: u64) -> Config {
        self.duration_ms = duration;
        self
    }

    /// Sets how many calls start at most; [`MAX_CALLS`] bounds it.
    #[must_use]
    pub fn max_calls(mut self, calls: usize) -> Config {
        self.max_calls = calls.min(MAX_CALLS);
        self
    }

    /// Sets how many calls are in flight at most; [`MAX_IN_FLIGHT`] bounds it.
    #[must_use]
    pub fn in_flight(mut self, calls: usize) -> Config {
        self.in_flight = calls.clamp(1, MAX_IN_FLIGHT);
        self
    }

    /// Sets how many clients share the calls; each keeps entries of its own.
    #[must_use]
    pub fn clients(mut self, clients: u32) -> Config {
        self.clients = clients.max(1);
        self
    }

    /// Sets the deadline that calls carry, in milliseconds.
    #[must_use]
    pub fn deadline_ms(mut self, deadline: u64) -> Config {
        self.deadline_ms = deadline;
        self
    }

    /// Sets how long after its deadline a call counts as lost, in milliseconds.
    #[must_use]
    pub fn slack_ms(mut self, slack: u64) -> Config {
        self.slack_ms = slack;
        self
    }

    /// Sets whether a 503 with `Retry-After` is tried again within the deadline.
    #[must_use]
    pub fn retry(mut self, on: bool) -> Config {
        self.retry = on;
        self
    }

    /// Sets whether a call whose connection broke before any answer is sent again within its
    /// deadline, to the next entry and under the same idempotency key.
    #[must_use]
    pub fn resend(mut self, on: bool) -> Config {
        self.resend = on;
        self
    }

    /// Adds a backend server whose records are compared.
    #[must_use]
    pub fn records(mut self, address: impl Into<String>) -> Config {
        self.records.push(address.into());
        self
    }

    /// Runs the load, fetches the records and judges.
    pub fn run(&self) -> Result<Report, Error> {
        let outcomes = self.send()?;
        let pages = self.fetch_records()?;
        Ok(self.judge(&outcomes, &pages))
    }

    /// Runs the load without judging it.
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

    /// Judges outcomes by records, those of backend servers that are gone included.
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
            return Err(Error::config("there is no address to ask or to call"));
        }
        if self.shares.iter().all(|share| share.weight() == 0) {
            return Err(Error::config("the mix is empty"));
        }
        self.arrivals
            .check()
            .map_err(|reason| Error::config(&reason))
    }
}
