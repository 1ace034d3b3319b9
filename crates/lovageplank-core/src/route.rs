//! Chooses the replica that serves a request.
