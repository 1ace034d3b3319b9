//! Pending queue, deadlines and limits.
