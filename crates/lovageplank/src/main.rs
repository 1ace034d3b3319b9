//! All roles in one process on loopback, for a first run and development.

fn main() {}
