//! Slot tables: which target each slot of a service belongs to, at one version.

use crate::targets::{TargetKey, TargetSpec};
use comfreyhold_types::keys::{Revision, ServiceId};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Slots per service: at least 100 per target for the largest service (about 40 targets).
pub const SLOTS_PER_SERVICE: usize = 4_096;

const NO_TARGET: u16 = u16::MAX;
const LOG_FRACTION_BITS: u32 = 16;

/// Target of each slot of a service at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotTable {
    /// Version of the declarations that the table was computed from.
    pub version: Revision,
    keys: Vec<TargetKey>,
    slots: Vec<u16>,
}

impl SlotTable {
    /// Computes the table by weighted rendezvous hashing. It depends only on the service and its
    /// targets, not on their order, and a change moves only slots of the targets it concerns.
    /// Targets of weight 0 get no slot.
    #[must_use]
    pub fn compute(
        service: ServiceId,
        version: Revision,
        targets: &[(TargetKey, TargetSpec)],
    ) -> Self {
        let keys = targets.iter().map(|(key, _)| *key).collect();
        let slots =
            (0..SLOTS_PER_SERVICE as u16).map(|slot| winner(service, slot, targets)).collect();
        Self { version, keys, slots }
    }

    /// Target of a slot; `None` if the service has no target with weight.
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

/// The target with the lowest `-log2(draw) / weight`. Among targets of one weight that is the one
/// with the highest draw, so the logarithm is computed once per weight.
fn winner(service: ServiceId, slot: u16, targets: &[(TargetKey, TargetSpec)]) -> u16 {
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
    /// Compares cost by weight through cross multiplication, which is exact.
    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let mine = u128::from(neg_log2(self.draw)) * u128::from(other.weight);
        let theirs = u128::from(neg_log2(other.draw)) * u128::from(self.weight);
        mine.cmp(&theirs)
    }
}

fn draw(service: ServiceId, slot: u16, target: &TargetSpec) -> u64 {
    let mut hasher = SipHasher13::new();
    (service, slot, target.address).hash(&mut hasher);
    hasher.finish()
}

/// `-log2(x / 2^64)` in fixed point. Integer arithmetic keeps the tables equal on every platform,
/// which the floating-point logarithm does not promise.
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
