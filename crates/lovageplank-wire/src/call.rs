//! Calls that the leader carries out, and their answers.

use lovageplank_core::backend::{Announcement, AnnouncementReply, ServerReport};
use lovageplank_core::idempotency::{Claim, Outcome, Verdict};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Edit, Version};
use serde_json::Value;

record! { data =>
    /// Something that only the leader can do.
    pub enum Call {
        /// A backend server's announcement.
        Announce(Announcement),
        /// A backend server's load report.
        Report(ServerReport),
        /// A router's claim of a keyed request; the leader sets its time.
        Claim(Claim),
        /// The outcome of a claimed request; the leader sets its time.
        Complete(Outcome),
        /// An operator's request.
        Operator(OperatorRequest),
    }
}

record! { data =>
    /// An operator's request.
    #[serde(rename_all = "snake_case")]
    pub enum OperatorRequest {
        /// State of the whole deployment.
        Status,
        /// Instances with their roles and acknowledgements.
        Instances,
        /// Backend servers with their replicas.
        Engines,
        /// Models with their replicas.
        Models,
        /// Part of the settings tree.
        Settings {
            /// Path in the tree; empty for all of it.
            path: String,
            /// Whether to give inherited values, each with the level it comes from.
            effective: bool,
        },
        /// A change of the settings tree.
        Change {
            /// Minted by the operator's client; a second call with it gets the first answer.
            id: Name,
            /// Version that the change was made against.
            base: Version,
            /// Who changes.
            author: Name,
            /// What changes, path by path.
            edits: Vec<Edit>,
        },
        /// A rollback: a new change that restores an older version's tree.
        Rollback {
            /// Minted by the operator's client.
            id: Name,
            /// Version that the change was made against.
            base: Version,
            /// Who changes.
            author: Name,
            /// The version to restore.
            to: Version,
        },
        /// Accepted changes, newest first.
        History {
            /// How many at the most.
            limit: u32,
        },
        /// Paths that differ between two versions.
        Diff {
            /// The older version.
            from: Version,
            /// The newer version.
            to: Version,
        },
        /// Whether a version is in force at every live router.
        InForce {
            /// The version.
            version: Version,
        },
        /// Asks an instance to finish its work and take no more.
        Drain {
            /// The instance.
            instance: Name,
        },
        /// Adds a voter, first as a learner.
        VoterAdd {
            /// Its instance's name, which must be connected.
            instance: Name,
        },
        /// Removes a voter or learner.
        VoterRemove {
            /// Its instance's name.
            instance: Name,
        },
        /// Service-level burn rates.
        Burn {
            /// Length of the window in milliseconds; 0 for the standard windows.
            window_ms: u64,
        },
    }
}

record! { data =>
    /// The outcome of a [`Call`].
    pub enum Answer {
        /// Carried out; there is nothing more to say.
        Done,
        /// The announcement was taken.
        Grant(AnnouncementReply),
        /// The verdict on a claim.
        Claim(Verdict),
        /// An operator's answer.
        Operator(Value),
        /// Not carried out.
        Refused(Refusal),
    }
}

record! { copy =>
    /// Why a call was not carried out.
    #[serde(rename_all = "snake_case")]
    pub enum RefusalCode {
        /// The process asked doesn't lead, and knows no leader.
        NoLeader,
        /// No answer came in time: the call may have been carried out or not.
        Unknown,
        /// Something that it builds on has changed.
        Conflict,
        /// It contradicts a rule.
        Invalid,
        /// What it names doesn't exist.
        NotFound,
        /// Too much is in progress.
        Overloaded,
        /// The sender may not do this.
        Forbidden,
    }
}

record! { data =>
    /// Why a call was not carried out, for people and programs.
    pub struct Refusal {
        /// The reason's kind.
        pub code: RefusalCode,
        /// What happened, where, and what would help.
        pub message: String,
        /// Particulars, such as the current version after a conflict.
        pub details: Value,
    }
}

impl Refusal {
    /// A refusal without particulars.
    pub fn new(code: RefusalCode, message: impl Into<String>) -> Refusal {
        Refusal {
            code,
            message: message.into(),
            details: Value::Null,
        }
    }

    /// Adds particulars.
    #[must_use]
    pub fn with_details(mut self, details: Value) -> Refusal {
        self.details = details;
        self
    }
}
