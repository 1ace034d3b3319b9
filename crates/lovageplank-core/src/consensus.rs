//! Replicated log: elections, quorum commit, snapshots and voter changes.
