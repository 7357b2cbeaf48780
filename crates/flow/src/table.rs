//! Slot tables: the target of each slot of a service at one version of the declarations.

use crate::targets::{TargetKey, TargetSpec};
use comfreyhold_types::keys::{Revision, ServiceId};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Slots per service. The largest service has about 40 targets, so each gets at least 100 slots.
pub const SLOTS_PER_SERVICE: usize = 4_096;

const NO_TARGET: u16 = u16::MAX;
/// Fraction bits of the fixed-point logarithm in [`neg_log2`].
const LOG_FRACTION_BITS: u32 = 16;

/// Target of each slot of a service at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotTable {
    /// Version of the declarations that the table was computed from.
    pub version: Revision,
    keys: Vec<TargetKey>,
    /// Index into `keys` for each slot, or [`NO_TARGET`].
    slots: Vec<u16>,
}

impl SlotTable {
    /// Computes the table by weighted rendezvous hashing. The result depends only on the service
    /// and its targets, not on their order. A change of some targets moves only slots to or from
    /// these. Targets of weight 0 get no slot.
    #[must_use]
    pub fn compute(
        service: ServiceId,
        version: Revision,
        targets: &[(TargetKey, TargetSpec)],
    ) -> Self {
        let keys = targets.iter().map(|(key, _)| *key).collect();
        let slots =
            (0..SLOTS_PER_SERVICE as u16).map(|slot| best_target(service, slot, targets)).collect();
        Self { version, keys, slots }
    }

    /// Target of a slot; `None` if no target of the service has a weight above 0.
    #[must_use]
    pub fn target(&self, slot: u16) -> Option<TargetKey> {
        let index = *self.slots.get(usize::from(slot))?;
        self.keys.get(usize::from(index)).copied()
    }

    /// Memory of the table in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<u16>() + self.keys.capacity() * size_of::<TargetKey>()
    }
}

/// Index of the target with the lowest `-log2(draw) / weight`, or [`NO_TARGET`]. Among targets of
/// one weight that is the one with the highest draw, so the logarithm is computed once per weight.
fn best_target(service: ServiceId, slot: u16, targets: &[(TargetKey, TargetSpec)]) -> u16 {
    let mut by_weight: Vec<Candidate> = Vec::new();
    for (index, (_, target)) in targets.iter().enumerate().filter(|(_, (_, t))| t.weight > 0) {
        let index = u16::try_from(index).unwrap_or(NO_TARGET);
        let candidate =
            Candidate { draw: draw(service, slot, target), weight: target.weight, index };
        match by_weight.iter_mut().find(|best| best.weight == candidate.weight) {
            Some(best) if best.draw < candidate.draw => *best = candidate,
            Some(_) => {}
            None => by_weight.push(candidate),
        }
    }
    if let [only] = by_weight[..] {
        return only.index;
    }
    by_weight.sort_unstable_by_key(|candidate| candidate.weight);
    let best = by_weight.into_iter().min_by(Candidate::compare);
    best.map_or(NO_TARGET, |best| best.index)
}

#[derive(Clone, Copy)]
struct Candidate {
    draw: u64,
    weight: u32,
    index: u16,
}

impl Candidate {
    /// Compares `-log2(draw) / weight` by cross multiplication, which is exact.
    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let left = u128::from(neg_log2(self.draw)) * u128::from(other.weight);
        let right = u128::from(neg_log2(other.draw)) * u128::from(self.weight);
        left.cmp(&right)
    }
}

/// Pseudorandom number of a slot and a target, the same on all entries.
fn draw(service: ServiceId, slot: u16, target: &TargetSpec) -> u64 {
    let mut hasher = SipHasher13::new();
    (service, slot, target.address).hash(&mut hasher);
    hasher.finish()
}

/// `-log2(x / 2^64)` in fixed point. Integer arithmetic gives the same tables on every platform,
/// which the floating-point logarithm does not guarantee.
fn neg_log2(x: u64) -> u64 {
    let x = x.max(1);
    let zeros = x.leading_zeros();
    let mut mantissa = u128::from(x << zeros);
    let mut fraction = 0u64;
    for _ in 0..LOG_FRACTION_BITS {
        let square = (mantissa * mantissa) >> 63;
        let bit = square >> 64;
        fraction = (fraction << 1) | bit as u64;
        mantissa = square >> bit;
    }
    let log = (u64::from(63 - zeros) << LOG_FRACTION_BITS) | fraction;
    (64 << LOG_FRACTION_BITS) - log
}
