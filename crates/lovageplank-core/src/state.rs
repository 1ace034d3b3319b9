//! The replicated state machine that the log drives.
