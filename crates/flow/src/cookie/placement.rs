//! Chooses the target of a new flow.
//!
//! Pattern: many short flows beside few long ones, on targets with two slots and a short queue. What
//! counts is the work that a target has now; flows that only stay open weigh a little, because they send
//! their next request where they are. Targets of other domains cost time and paid bytes, so they are used
//! once those of the own domain are fuller.

use super::directory::{Directory, Target, TargetKey};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::DomainName;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Instant;

/// What the choice depends on beside the targets.
pub struct Circumstances<'a> {
    /// Service of the flow.
    pub service: &'a str,
    /// Domain of this entry.
    pub domain: &'a DomainName,
    /// Domains that take no new flows.
    pub withdrawn: &'a BTreeSet<DomainName>,
    /// Domains that came back, with the end of the time in which their targets may be cold without having
    /// said so.
    pub returning: &'a BTreeMap<DomainName, Instant>,
    /// Targets that have already left this opening unanswered.
    pub tried: &'a [TargetKey],
    /// Advantage of a target in the own domain, in requests per slot.
    pub remote_penalty: f64,
    /// Number that differs between flows.
    pub spread: u64,
    /// Now.
    pub now: Instant,
}

/// How well a target suits, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Good,
    /// It was not heard lately or left an opening unanswered.
    Doubtful,
    /// It has already left this opening unanswered.
    Tried,
    /// It has just started.
    Cold,
}

/// The target for a new flow; `None` if no target of the service takes any.
#[must_use]
pub fn choose(directory: &Directory, cx: &Circumstances<'_>) -> Option<TargetKey> {
    let targets = directory.of_service(cx.service);
    let usable = targets.filter_map(|(key, target)| Some((tier(key, target, cx)?, key, target)));
    let scored = usable.map(|(tier, key, target)| (tier, score(target, cx), key));
    scored
        .min_by(|a, b| {
            let by_score = a.1.total_cmp(&b.1);
            let by_hash = || rank(a.2, cx.spread).cmp(&rank(b.2, cx.spread));
            a.0.cmp(&b.0).then(by_score).then_with(by_hash)
        })
        .map(|(_, _, key)| key)
}

fn tier(key: TargetKey, target: &Target, cx: &Circumstances<'_>) -> Option<Tier> {
    let spec = &target.spec;
    let takes_flows = spec.availability == Availability::Serving && !target.ambiguous;
    if !takes_flows || cx.withdrawn.contains(&spec.domain) {
        return None;
    }
    let returning = cx.returning.get(&spec.domain).is_some_and(|until| cx.now < *until);
    if returning || cx.now < spec.cold_until {
        return Some(Tier::Cold);
    }
    if cx.tried.contains(&key) {
        return Some(Tier::Tried);
    }
    let doubtful = spec.silent || target.health.is_suspect(cx.now);
    Some(if doubtful { Tier::Doubtful } else { Tier::Good })
}

/// Work per slot if the target took the flow.
fn score(target: &Target, cx: &Circumstances<'_>) -> f64 {
    let slots = f64::from(target.spec.slots.max(1));
    let remote = if target.spec.domain == *cx.domain { 0.0 } else { cx.remote_penalty };
    (target.load + 1.0) / slots + remote
}

fn rank(key: TargetKey, spread: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    (key, spread).hash(&mut hasher);
    hasher.finish()
}
