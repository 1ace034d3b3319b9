//! Operators' command line client.

fn main() {}
