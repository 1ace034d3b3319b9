//! Leases, incarnations and suspicion of backend servers and instances.
