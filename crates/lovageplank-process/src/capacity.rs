//! How a process divides the memory and the descriptors that its machine gives it.

use crate::body::{Budget, Sizes};
use crate::connections::Connections;
use lovageplank_core::prelude::*;

/// Part of the memory for the large parts of bodies. Half of the memory is for the process itself (its state, the
/// document, links and metrics), a quarter for bodies in all, and the rest for connections, for the moment at which
/// a body is joined, and for what the allocator keeps.
const LARGE_PART: usize = 8;
/// Part of the memory for the large parts of responses besides.
const RESPONSES_PART: usize = 16;
/// Part of the memory for small bodies and the small parts of large ones.
const SMALL_PART: usize = 16;
/// Bytes of each body that come from the pool for small ones.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part of the memory for callers' connections: their tasks and buffers.
const CONNECTIONS_PART: usize = 8;
/// Bytes that a connection with buffers for a head and a piece of a body takes. With an unfinished head of 14 KB it
/// takes 27 KB.
const CONNECTION_BYTES: usize = 32 << 10;
/// Descriptors that the process has besides those of callers and servers: files, listeners and links to control
/// processes.
const OWN_DESCRIPTORS: usize = 64;
/// Part of the other descriptors for callers' connections. Each may need a connection to a server, and idle ones
/// to servers are kept.
const CALLERS_PART: usize = 3;
/// Part of callers' connections that listeners for checks and lookups have in addition.
const CHECKS_PART: usize = 8;
/// Fewest connections of a listener, also if the settings leave less.
const MIN_CONNECTIONS: usize = 16;

/// What the machine gives a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Bytes of memory; a process above it is killed.
    pub memory_bytes: usize,
    /// File descriptors.
    pub descriptors: usize,
}

impl Default for Capacity {
    fn default() -> Capacity {
        Capacity {
            memory_bytes: 260 << 20,
            descriptors: 4_100,
        }
    }
}

impl Capacity {
    /// The budget for what the process holds for others.
    pub fn budget(self) -> Budget {
        Budget::with_sizes(Sizes {
            large: self.memory_bytes / LARGE_PART,
            responses: self.memory_bytes / RESPONSES_PART,
            small: self.memory_bytes / SMALL_PART,
            each: SMALL_BODY_BYTES,
        })
    }

    /// Most connections of callers at once.
    pub fn connections(self) -> usize {
        let by_memory = self.memory_bytes / CONNECTIONS_PART / CONNECTION_BYTES;
        let by_descriptors = self.descriptors.saturating_sub(OWN_DESCRIPTORS) / CALLERS_PART;
        by_memory.min(by_descriptors).max(MIN_CONNECTIONS)
    }

    /// Callers' connections, of which the one that has been idle longest makes way for a new one.
    pub fn caller_connections(self) -> Arc<Connections> {
        Connections::giving_way(self.connections())
    }

    /// Connections of a listener for checks and lookups, likewise.
    pub fn check_connections(self) -> Arc<Connections> {
        Connections::giving_way((self.connections() / CHECKS_PART).max(MIN_CONNECTIONS))
    }
}
