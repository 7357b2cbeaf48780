//! Chooses the target of a new flow.
//!
//! The load consists of many short flows and a few long ones, on targets with two slots and a short
//! queue. The choice depends on the requests that a target runs now. Idle flows count a little, because
//! their next request goes to the same target. Targets of other failure domains add latency and paid
//! traffic, so they are used only when those of the local domain have more load.

use super::directory::{Directory, Target, TargetKey};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::DomainName;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Instant;

/// What the choice depends on besides the targets.
pub struct PlacementContext<'a> {
    /// Name of the flow's service.
    pub service: &'a str,
    /// Failure domain of this entry.
    pub local_domain: &'a DomainName,
    /// Failure domain that the flow spills over to; `None` if it stays in the local one.
    pub spill_domain: Option<&'a DomainName>,
    /// Failure domains that take no new flows.
    pub withdrawn: &'a BTreeSet<DomainName>,
    /// Restored failure domains. Until the given time their targets may be cold without having announced
    /// it.
    pub restored: &'a BTreeMap<DomainName, Instant>,
    /// Targets that have left this opening unanswered.
    pub tried: &'a [TargetKey],
    /// Added to the score of a target outside the failure domain that the flow belongs to, in requests per slot.
    pub remote_penalty: f64,
    /// Hash of the flow, which breaks ties differently for each flow.
    pub flow_hash: u64,
    /// Current time.
    pub now: Instant,
}

/// Preference among targets, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Healthy,
    /// Its announcements are overdue, or it left an opening unanswered.
    Suspect,
    /// It left this opening unanswered.
    Tried,
    /// It has started recently.
    Cold,
}

/// Chooses the target for a new flow: by tier, then by score, then by hash. `None` if no target of the
/// service takes new flows.
#[must_use]
pub fn choose(directory: &Directory, cx: &PlacementContext<'_>) -> Option<TargetKey> {
    let targets = directory.iter_service(cx.service);
    let usable = targets.filter_map(|(key, target)| Some((tier(key, target, cx)?, key, target)));
    let scored = usable.map(|(tier, key, target)| (tier, score(target, cx), key));
    scored
        .min_by(|a, b| {
            let by_score = a.1.total_cmp(&b.1);
            let by_hash = || rank(a.2, cx.flow_hash).cmp(&rank(b.2, cx.flow_hash));
            a.0.cmp(&b.0).then(by_score).then_with(by_hash)
        })
        .map(|(_, _, key)| key)
}

fn tier(key: TargetKey, target: &Target, cx: &PlacementContext<'_>) -> Option<Tier> {
    let spec = &target.spec;
    let takes_flows = spec.availability == Availability::Serving && !target.has_ambiguous_cookie;
    if !takes_flows || cx.withdrawn.contains(&spec.domain) {
        return None;
    }
    let is_restored = cx.restored.get(&spec.domain).is_some_and(|until| cx.now < *until);
    if is_restored || cx.now < spec.cold_until {
        return Some(Tier::Cold);
    }
    if cx.tried.contains(&key) {
        return Some(Tier::Tried);
    }
    let is_suspect = spec.silent || target.health.is_suspect(cx.now);
    Some(if is_suspect { Tier::Suspect } else { Tier::Healthy })
}

/// Load per slot if the target takes the flow, in requests. It depends on the load through this entry only, which is
/// known exactly and at once. Entries know the load through others alike and late, and would all choose the targets
/// that were least loaded a while ago.
fn score(target: &Target, cx: &PlacementContext<'_>) -> f64 {
    let slots = target.effective_slots(cx.now);
    let domain = cx.spill_domain.unwrap_or(cx.local_domain);
    let penalty = if target.spec.domain == *domain { 0.0 } else { cx.remote_penalty };
    (target.load + 1.0) / slots + penalty
}

fn rank(key: TargetKey, flow_hash: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    (key, flow_hash).hash(&mut hasher);
    hasher.finish()
}
