//! Rendezvous hashing of models over instances.

use crate::backend::State;
use crate::view::Instance;

/// Instances at the head of a model's ranking, to which its callers are sent first.
pub const PREFERRED_INSTANCES: usize = 3;

/// Ranks the instances for callers of the model or service `key`, best first; leaving instances are
/// excluded.
///
/// Instances are ordered by descending hash of `(key, instance)`, so that every router ranks the same
/// [`PREFERRED_INSTANCES`] first for a model, and adding or removing an instance changes them for
/// few models. Among these, and among the rest, instances of the failure domain `domain` come first.
pub fn rank<'a>(
    key: &str,
    domain: &str,
    instances: impl IntoIterator<Item = &'a Instance>,
) -> Vec<&'a Instance> {
    let mut ranked: Vec<&Instance> = instances
        .into_iter()
        .filter(|i| i.state == State::Ready)
        .collect();
    ranked.sort_by_cached_key(|i| (std::cmp::Reverse(hash(key, &i.id)), i.id.clone()));
    let preferred_count = PREFERRED_INSTANCES.min(ranked.len());
    let (preferred, rest) = ranked.split_at_mut(preferred_count);
    preferred.sort_by_key(|i| &*i.failure_domain != domain);
    rest.sort_by_key(|i| &*i.failure_domain != domain);
    ranked
}

/// 64-bit FNV-1a with a finalizer; the same in every process and release, so that all routers rank
/// instances alike.
pub(crate) fn hash(key: &str, instance: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(instance.bytes());
    let sum = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (sum ^ (sum >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
