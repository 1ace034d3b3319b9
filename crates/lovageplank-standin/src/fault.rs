//! Fault switches of the stand-ins.
//!
//! ```
//! use lovageplank_standin::fault::{Faults, RequestFault};
//! let faults: Faults = serde_json::from_str(r#"{"request":{"kind":"late","ms":50},"times":1}"#).unwrap();
//! assert_eq!(faults.request, Some(RequestFault::Late { ms: 50 }));
//! ```
//!
//! `POST /fault` replaces the whole set, so `{}` clears all faults.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lovageplank_core::prelude::*;

record! { copy =>
    /// What goes wrong with a caller's request.
    #[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
    pub enum RequestFault {
        /// The request runs, and no answer ever comes.
        Hang,
        /// The connection is reset before the request's body is read; it doesn't run.
        ResetBeforeRead,
        /// The connection is reset after a piece of the body was read; it doesn't run.
        ResetDuringRead,
        /// The request runs to its end, and the connection is reset instead of an answer.
        ResetAfterRead,
        /// The answer starts this many milliseconds later.
        Late {
            /// Milliseconds.
            ms: u64
        },
        /// The answer echoes the id of another request.
        WrongRequestId,
        /// The answer is that to another prompt.
        WrongAnswer,
        /// Half of the answer comes, then the connection closes.
        HalfAnswer,
        /// A streamed answer's connection closes after this many tokens.
        CutAfter {
            /// Tokens.
            tokens: u32
        },
        /// The whole engine dies after this many tokens of the request.
        DieAfter {
            /// Tokens.
            tokens: u32
        },
        /// The request runs twice.
        RunTwice,
    }
}

record! { copy =>
    /// What goes wrong with a command.
    #[serde(rename_all = "snake_case")]
    pub enum CommandFault {
        /// It is executed, and the connection closes instead of an answer.
        LoseAnswer,
        /// It is executed, and no answer ever comes.
        Hang,
    }
}

record! { key =>
    /// All switches of a stand-in; none is set by default.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct Faults {
        /// What goes wrong with callers' requests.
        pub request: Option<RequestFault>,
        /// How many requests `request` strikes; all if not given.
        pub times: Option<u32>,
        /// What goes wrong with commands.
        pub command: Option<CommandFault>,
        /// How many commands `command` strikes; all if not given.
        pub command_times: Option<u32>,
        /// Whether the engine dies in the middle of its next load.
        pub die_mid_load: bool,
        /// Milliseconds for which new connections are refused; 0 means until cleared in process.
        pub refuse_ms: Option<u64>,
        /// Milliseconds that load reports lag behind.
        pub report_lag_ms: u64,
        /// Each how many cache events one gets lost; 0 means that none does.
        pub lose_cache_event_every: u32,
        /// Whether old fencing tokens are refused; as configured if not given.
        pub fencing: Option<bool>,
        /// Whether loads that don't fit into memory are accepted.
        pub ignore_memory: bool,
        /// Whether announcements and reports stop.
        pub silent: bool,
    }
}

/// Switches shared by the threads of a stand-in.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitches(Arc<Mutex<Faults>>);

impl FaultSwitches {
    /// Starts with a set of faults.
    pub fn new(faults: Faults) -> FaultSwitches {
        FaultSwitches(Arc::new(Mutex::new(faults)))
    }

    /// Replaces the whole set.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
    }

    /// Returns the set as it stands.
    pub fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Returns what strikes the next caller's request and counts it.
    pub fn next_request_fault(&self) -> Option<RequestFault> {
        let mut faults = self.lock();
        let fault = faults.request?;
        match &mut faults.times {
            None => Some(fault),
            Some(0) => None,
            Some(remaining) => {
                *remaining -= 1;
                Some(fault)
            }
        }
    }

    /// Returns what strikes the next command and counts it.
    pub fn next_command_fault(&self) -> Option<CommandFault> {
        let mut faults = self.lock();
        let fault = faults.command?;
        match &mut faults.command_times {
            None => Some(fault),
            Some(0) => None,
            Some(remaining) => {
                *remaining -= 1;
                Some(fault)
            }
        }
    }

    /// Returns whether the next load kills the engine, and clears that switch.
    pub fn take_die_mid_load(&self) -> bool {
        std::mem::take(&mut self.lock().die_mid_load)
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
