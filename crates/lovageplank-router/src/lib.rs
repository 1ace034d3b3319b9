//! Router daemon: callers, admission, pending queue, routing, relaying.
