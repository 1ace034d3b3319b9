//! The replicated state machine, to which the committed entries of the log are applied.
//!
//! Commands are validated when they are applied, not when they are proposed, so that the
//! invariants hold whatever a deposed or faulty leader proposed. A command that would violate an
//! invariant gets a typed refusal as its reply and doesn't take effect. Every replica of the
//! machine gives the same replies.
//!
//! ```
//! use lovageplank_core::settings::{Change, ChangeId, Edit, Version};
//! use lovageplank_core::state::{Command, Machine, Reply};
//! let edit = Edit { path: "deadline_ms".into(), value: Some(5_000.into()) };
//! let change = Change {
//!     id: ChangeId("c1".into()), base: Version(0), author: "ops".into(), at_ms: 0,
//!     edits: vec![edit],
//! };
//! let mut machine = Machine::default();
//! let reply = machine.apply(1, &Command::Change(change));
//! assert!(matches!(reply, Reply::Changed(accepted) if accepted.version == Version(1)));
//! let restored = Machine::decode(&machine.encode()).unwrap();
//! assert_eq!(restored, machine);
//! ```

mod codec;
mod permit;

pub use codec::Error;
pub use permit::Denial;

use crate::ledger::{self, Ledger};
use crate::prelude::*;
use crate::{idempotency, settings};

record! { data =>
    /// A command of the state machine: the data of one log entry.
    #[serde(rename_all = "snake_case")]
    pub enum Command {
        /// Changes nothing.
        Noop,
        /// A change of settings.
        Change(settings::Change),
        /// Registers an engine that announced itself, or changes a registered one.
        Register(ledger::Engine),
        /// A decision on replicas, or a report of its result.
        Ledger(ledger::Action),
        /// Claims a request with an idempotency key.
        Claim(idempotency::Claim),
        /// The outcome of a claimed request.
        Complete(idempotency::Outcome),
        /// Ends the open claims of a router's incarnation and all earlier ones, because these
        /// incarnations have ended.
        Abandon {
            /// Name of the router.
            router: Name,
            /// The latest incarnation that has ended.
            incarnation: u64,
            /// Unix milliseconds on the leader's clock.
            at_ms: u64,
        },
    }
}

record! { data =>
    /// The result of applying a command.
    #[serde(rename_all = "snake_case")]
    pub enum Reply {
        /// Reply to [`Command::Noop`].
        Noop,
        /// An entry at this index or a later one was already applied; nothing changed.
        Repeated,
        /// The settings change was accepted, now or when it was first sent.
        Changed(settings::Accepted),
        /// The settings change was refused.
        Unchanged(settings::Refusal),
        /// A command to send to an engine.
        Intent(ledger::CommandRecord),
        /// The ledger accepted the command.
        Noted,
        /// What an engine's report changed in the ledger.
        Observed(ledger::ObservedChanges),
        /// The ledger refused the command.
        Refused(ledger::Refusal),
        /// The settings tree doesn't allow the decision.
        Denied(Denial),
        /// The verdict on a claim.
        Claimed(idempotency::Verdict),
        /// Whether the outcome was recorded.
        Completed(bool),
        /// Number of claims that ended with an unknown outcome.
        Abandoned(usize),
    }
}

record! { data =>
    /// The replicated state.
    #[derive(Default)]
    pub struct Machine {
        /// Index of the last applied entry.
        pub applied: u64,
        /// Clock of the machine, in Unix milliseconds: the latest time in any applied command, so
        /// that it never goes back.
        pub now_ms: u64,
        /// The settings tree.
        pub settings: settings::Store,
        /// Engines and replicas.
        pub ledger: Ledger,
        /// Claims of requests with an idempotency key.
        pub claims: idempotency::Table,
    }
}

impl Machine {
    /// Applies the command of the log entry at `index`. Entries must be applied in log order.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        if index <= self.applied {
            return Reply::Repeated;
        }
        self.applied = index;
        match command {
            Command::Noop => Reply::Noop,
            Command::Change(change) => self.change_settings(change),
            Command::Register(engine) => ledger_reply(self.ledger.register(index, engine.clone())),
            Command::Ledger(action) => match permit::check(&self.settings, &self.ledger, action) {
                Err(denial) => Reply::Denied(denial),
                Ok(()) => ledger_reply(self.ledger.apply(index, action)),
            },
            Command::Claim(claim) => {
                let at_ms = self.advance_clock(claim.at_ms);
                let claim = idempotency::Claim {
                    at_ms,
                    ..claim.clone()
                };
                Reply::Claimed(self.claims.claim(index, &claim))
            }
            Command::Complete(outcome) => {
                let at_ms = self.advance_clock(outcome.at_ms);
                let outcome = idempotency::Outcome {
                    at_ms,
                    ..outcome.clone()
                };
                Reply::Completed(self.claims.complete(&outcome))
            }
            Command::Abandon {
                router,
                incarnation,
                at_ms,
            } => {
                let at_ms = self.advance_clock(*at_ms);
                Reply::Abandoned(self.claims.abandon(router, *incarnation, at_ms))
            }
        }
    }

    fn change_settings(&mut self, change: &settings::Change) -> Reply {
        let at_ms = self.advance_clock(change.at_ms);
        let change = settings::Change {
            at_ms,
            ..change.clone()
        };
        match self
            .settings
            .apply(&change, &self.ledger.largest_engine_mb())
        {
            Ok(accepted) => Reply::Changed(accepted),
            Err(refusal) => Reply::Unchanged(refusal),
        }
    }

    fn advance_clock(&mut self, at_ms: u64) -> u64 {
        self.now_ms = self.now_ms.max(at_ms);
        self.now_ms
    }
}

fn ledger_reply(result: Result<ledger::Reply, ledger::Refusal>) -> Reply {
    match result {
        Ok(ledger::Reply::Command(record)) => Reply::Intent(record),
        Ok(ledger::Reply::Changed) => Reply::Noted,
        Ok(ledger::Reply::Observed(observed)) => Reply::Observed(observed),
        Err(refusal) => Reply::Refused(refusal),
    }
}
