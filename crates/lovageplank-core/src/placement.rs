//! Decides which replicas should be loaded where.
