//! How much room a server has for a request.

use crate::fleet::request::Rank;
use crate::prelude::*;

/// Weight of a less urgent request in the load that a more urgent one finds at an engine, which runs the urgent one
/// first. It isn't 0, since the engine holds the others nevertheless.
const LESS_URGENT_WEIGHT: f64 = 0.5;

/// A server's load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Requests that it takes, by the limit per slot.
    pub(crate) places: f64,
    /// Requests of other routers.
    pub(crate) others: u32,
    /// Whether it runs urgent requests before others and takes more of them when it is full of others.
    pub(crate) is_preemptive: bool,
}

/// What limits the room for a request at every server alike.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scope {
    pub(super) rank: Rank,
    /// The part of a server's places that it may use.
    pub(super) usable: f64,
    /// The part of a server's places that requests as urgent as it, or more, may use together, for the sake of less
    /// urgent ones that starve.
    pub(super) urgent_max: f64,
    /// The part of other routers' requests that are as urgent as it is, or more.
    pub(super) urgent: f64,
}

/// The room for a request at a server.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    pub(crate) server: Name,
    /// Places that the request may use; negative if there are too many requests.
    pub(super) free: f64,
    pub(super) own: u32,
    pub(super) total: f64,
}

impl Room {
    /// Returns the room at a server that has these requests of this router, by rank.
    pub(super) fn new(
        scope: Scope,
        server: &Name,
        load: Load,
        own: impl Iterator<Item = (Rank, u32)>,
    ) -> Room {
        let (mut own_all, mut own_urgent) = (0, 0);
        for (rank, count) in own {
            own_all += count;
            if rank <= scope.rank {
                own_urgent += count;
            }
        }
        let others = f64::from(load.others);
        let urgent = f64::from(own_urgent) + others * scope.urgent;
        let total = f64::from(own_all) + others;
        let places = load.places * scope.usable;
        let free = if load.is_preemptive {
            let urgent_places = load.places * scope.urgent_max;
            let counted = urgent + LESS_URGENT_WEIGHT * (total - urgent);
            (places - counted).min(urgent_places - urgent)
        } else {
            places - total
        };
        Room {
            server: server.clone(),
            free,
            own: own_all,
            total,
        }
    }
}
