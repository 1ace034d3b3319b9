//! Command records, fencing tokens and memory reservations.
