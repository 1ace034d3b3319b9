//! Explicit-state checker over the real state machines.
