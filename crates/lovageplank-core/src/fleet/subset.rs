//! Which routers a caller is told of, where there are more than a lookup may name.
//!
//! Each caller gets a subset of its own, by rendezvous hashing of the caller and the router: all routers
//! answer alike without asking each other, a caller that asks again gets the same routers while they are
//! ready, and a router that stops or starts changes one name of a subset. Over many callers the subsets
//! are even.
//!
//! Routers of the caller's failure domain come first, since what crosses a failure domain is slower and
//! costs more. A quarter of a subset is of other failure domains, so that the caller has a way at once when
//! its own is lost.

use super::message::Router;
use crate::route::rendezvous::hash;
use std::cmp::Reverse;

/// The part of a subset that is kept for other failure domains than the caller's: one in so many.
const OTHER_DOMAINS_DIVISOR: usize = 4;

/// Who looks up the addresses of routers.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// Tells it from other callers, and stays the same; for example its address.
    pub key: &'a str,
    /// Its failure domain, if it is known.
    pub domain: Option<&'a str>,
}

/// Selects at most `max` routers for a caller; all, in their order, if there are no more.
///
/// A caller whose failure domain isn't known, or has no router, gets an even subset of all.
pub fn select(routers: Vec<Router>, caller: Caller<'_>, max: usize) -> Vec<Router> {
    if routers.len() <= max {
        return routers;
    }
    let is_near = |router: &Router| caller.domain == Some(&*router.domain);
    let (mut near, mut far): (Vec<Router>, Vec<Router>) = routers.into_iter().partition(is_near);
    for group in [&mut near, &mut far] {
        group.sort_by_cached_key(|r| (Reverse(hash(caller.key, &r.instance)), r.instance.clone()));
    }
    let far_min = far.len().min(max / OTHER_DOMAINS_DIVISOR);
    near.truncate(max - far_min);
    far.truncate(max - near.len());
    near.append(&mut far);
    near
}
