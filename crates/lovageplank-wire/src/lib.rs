//! Typed messages between lovageplank processes and their CBOR codec.
