//! The replicated state machine that the log drives.
//!
//! Entries are judged when they are applied, not when they are proposed, so that the invariants
//! hold whatever a deposed or faulty leader proposed. An entry that would break one is answered
//! with a typed refusal and changes nothing. Every replica of the machine gives the same replies.
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
    /// An entry of the log.
    #[serde(rename_all = "snake_case")]
    pub enum Command {
        /// Changes nothing; a new leader's first entry.
        Noop,
        /// A change of settings.
        Change(settings::Change),
        /// An engine that announced itself, or one that changed.
        Register(ledger::Engine),
        /// A decision on replicas, or news of one.
        Ledger(ledger::Action),
        /// A claim of a keyed request.
        Claim(idempotency::Claim),
        /// The outcome of a claim.
        Complete(idempotency::Outcome),
        /// A router's incarnation, with all earlier ones, has ended.
        Abandon {
            /// The router.
            router: Name,
            /// The incarnation.
            incarnation: u64,
            /// Unix milliseconds on the leader's clock.
            at_ms: u64,
        },
    }
}

record! { data =>
    /// The answer to an entry.
    #[serde(rename_all = "snake_case")]
    pub enum Reply {
        /// Nothing to say.
        Noop,
        /// The index was applied before; nothing was changed now.
        Repeated,
        /// The change was accepted, now or when it was first sent.
        Changed(settings::Accepted),
        /// The change was refused.
        Unchanged(settings::Refusal),
        /// A command to send.
        Intent(ledger::Record),
        /// The ledger took note.
        Noted,
        /// What a report changed.
        Observed(ledger::Observed),
        /// The ledger refused.
        Refused(ledger::Refusal),
        /// The settings tree doesn't allow the decision.
        Denied(Denial),
        /// The verdict on a claim.
        Claimed(idempotency::Verdict),
        /// Whether the outcome was recorded.
        Completed(bool),
        /// Claims that ended as unknown.
        Abandoned(usize),
    }
}

record! { data =>
    /// All replicated state.
    #[derive(Default)]
    pub struct Machine {
        /// Index of the last entry applied.
        pub applied: u64,
        /// Unix milliseconds; the latest time that any entry carried, so that it never goes back.
        pub now_ms: u64,
        /// The settings tree.
        pub settings: settings::Store,
        /// Engines and replicas.
        pub ledger: Ledger,
        /// Keyed requests.
        pub claims: idempotency::Table,
    }
}

impl Machine {
    /// Applies the entry at `index`; entries come in the log's order.
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
        match self.settings.apply(&change, &self.ledger.largest_mb()) {
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
