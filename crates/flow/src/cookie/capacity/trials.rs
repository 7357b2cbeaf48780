//! Openings that try a target which is otherwise left out.

use crate::cookie::directory::{Directory, Target, TargetKey};
use slotmap::Key;

/// A target that is left out gets one opening in this many of its even share as a trial: fewer than a tenth, and at
/// ten openings a second for each target about one a second, so that its recovery shows within two seconds.
const SHARE_PER_TRIAL: usize = 12;

/// Chooses a target to try with an opening, among those for which `is_candidate` holds. Each is chosen with the
/// probability that gives it [`SHARE_PER_TRIAL`] of its share of this entry's openings, at any number of entries.
/// `targets` is the number of targets that share these openings.
#[must_use]
pub fn choose_trial(
    directory: &Directory,
    service: &str,
    targets: usize,
    flow_hash: u64,
    is_candidate: impl Fn(TargetKey, &Target) -> bool,
) -> Option<TargetKey> {
    let probability = 1.0 / (SHARE_PER_TRIAL * targets.max(1)) as f64;
    directory
        .iter_service(service)
        .filter(|(key, target)| is_candidate(*key, target))
        .find(|(key, _)| fraction(*key, !flow_hash) < probability)
        .map(|(key, _)| key)
}

/// Number in (0, 1] that is random for each flow and target, and the same whenever it is computed.
#[must_use]
pub fn fraction(key: TargetKey, flow_hash: u64) -> f64 {
    // The finalizer of SplitMix64. A keyed hash would take most of the time of a placement among 4,000 targets.
    let mut x = flow_hash ^ key.data().as_ffi().wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^= x >> 31;
    ((x >> 11) as f64 + 1.0) / (1_u64 << 53) as f64
}
