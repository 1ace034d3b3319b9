//! Fault switches of the stand-ins for engines and plain services.
//!
//! ```
//! use lovageplank_standin::fault::{Faults, RequestFault};
//! let faults: Faults = serde_json::from_str(r#"{"request":{"kind":"late","ms":50},"times":1}"#).unwrap();
//! assert_eq!(faults.request, Some(RequestFault::Late { ms: 50 }));
//! ```
//!
//! `POST /fault` replaces all switches, so `{}` clears all faults.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lovageplank_core::prelude::*;

record! { copy =>
    /// A fault injected into a caller's request.
    #[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
    pub enum RequestFault {
        /// The request runs, but no answer is ever sent.
        Hang,
        /// The connection is reset before the request's body is read; the request doesn't run.
        ResetBeforeRead,
        /// The connection is reset after a part of the body was read; the request doesn't run.
        ResetDuringRead,
        /// The request runs to completion, but the connection is reset instead of completing the
        /// answer.
        ResetAfterRead,
        /// The answer is delayed.
        Late {
            /// Delay in milliseconds.
            ms: u64
        },
        /// The answer echoes the id of another request.
        WrongRequestId,
        /// The answer has the content of an answer to another request.
        WrongAnswer,
        /// The connection is closed after half of the answer.
        HalfAnswer,
        /// The connection is closed after this many tokens of the answer; a plain service closes it
        /// after half of the answer.
        CutAfter {
            /// Number of tokens.
            tokens: u32
        },
        /// The engine crashes after this many tokens of the answer; a plain service, at the end of
        /// the run.
        DieAfter {
            /// Number of tokens.
            tokens: u32
        },
        /// The request runs twice.
        RunTwice,
    }
}

record! { copy =>
    /// A fault injected into a command to an engine.
    #[serde(rename_all = "snake_case")]
    pub enum CommandFault {
        /// The command is executed, but the connection is reset instead of an answer.
        LoseAnswer,
        /// The command is executed, but no answer is ever sent.
        Hang,
    }
}

record! { key =>
    /// All fault switches of a stand-in; by default none is set.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct Faults {
        /// The fault injected into callers' requests.
        pub request: Option<RequestFault>,
        /// How many requests `request` is injected into; if not given, all.
        pub times: Option<u32>,
        /// The fault injected into commands.
        pub command: Option<CommandFault>,
        /// How many commands `command` is injected into; if not given, all.
        pub command_times: Option<u32>,
        /// Whether the engine crashes in the middle of its next load.
        pub die_mid_load: bool,
        /// Time in milliseconds for which new connections are refused; 0 means until the switch is
        /// cleared in process.
        pub refuse_ms: Option<u64>,
        /// Delay of load reports in milliseconds.
        pub report_lag_ms: u64,
        /// Drops every cache event whose sequence number is a multiple of this; 0 drops none.
        pub lose_cache_event_every: u32,
        /// Whether stale fencing tokens are refused; if not given, the engine's setting applies.
        pub fencing: Option<bool>,
        /// Whether loads are accepted that need more memory than is free.
        pub ignore_memory: bool,
        /// Whether announcements and reports are suppressed.
        pub silent: bool,
    }
}

/// Fault switches shared by the threads of a stand-in.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitches(Arc<Mutex<Faults>>);

impl FaultSwitches {
    /// Creates the switches with the given faults.
    pub fn new(faults: Faults) -> FaultSwitches {
        FaultSwitches(Arc::new(Mutex::new(faults)))
    }

    /// Replaces all faults.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
    }

    /// Returns the current faults.
    pub fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Returns the fault to inject into the next caller's request, if any, and decrements `times`.
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

    /// Returns the fault to inject into the next command, if any, and decrements `command_times`.
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

    /// Returns whether the engine is to crash during the next load, and clears that switch.
    pub fn take_die_mid_load(&self) -> bool {
        std::mem::take(&mut self.lock().die_mid_load)
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
