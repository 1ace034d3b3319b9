//! Records that make keyed requests run at most once.
