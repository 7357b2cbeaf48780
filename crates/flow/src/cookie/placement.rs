//! Chooses the target of a new flow.
//!
//! The load consists of many short flows and a few long ones, on targets with two slots and a short
//! queue. The choice depends on the requests that a target runs now. Idle flows count a little, because
//! their next request goes to the same target. Targets of other failure domains add latency and paid
//! traffic, so they are used only when those of the local domain have more load.

use super::capacity::{choose_trial, fraction};
use super::directory::{Directory, Target, TargetKey};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::DomainName;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Instant;
use strum::Display;

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
    /// Whether targets of the service count as slower or faster than others.
    pub is_uneven: bool,
    /// Current time.
    pub now: Instant,
}

/// Preference among targets, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Tier {
    /// It answers.
    Healthy,
    /// It answers so slowly, or refuses so much, that it gets trials only.
    Slow,
    /// Its announcements are overdue, or it left an opening unanswered.
    Suspect,
    /// It left this opening unanswered.
    Tried,
    /// It has started recently.
    Cold,
}

/// Why a target takes no new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Exclusion {
    /// It keeps its flows and takes no new ones.
    Draining,
    /// It has ended.
    Ended,
    /// An older target has the same cookie.
    AmbiguousCookie,
    /// Its failure domain is withdrawn.
    Withdrawn,
}

/// The target for a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetKey,
    /// Whether it is tried although others are preferred.
    pub is_trial: bool,
}

/// Chooses the target for a new flow: a trial if one is due, otherwise by tier, then by score, then by hash. `None`
/// if no target of the service takes new flows.
#[must_use]
pub fn choose(directory: &Directory, cx: &PlacementContext<'_>) -> Option<Choice> {
    if let Some(target) = trial(directory, cx) {
        return Some(Choice { target, is_trial: true });
    }
    let targets = directory.iter_service(cx.service);
    let scored = targets.filter_map(|(key, target)| {
        let (tier, score) = assess(key, target, cx).ok()?;
        Some((tier, score, key))
    });
    scored
        .min_by(|a, b| compare(*a, *b, cx.flow_hash))
        .map(|(_, _, target)| Choice { target, is_trial: false })
}

/// Compares two targets by tier, score and hash of the flow; the lesser is preferred.
pub fn compare(a: (Tier, f64, TargetKey), b: (Tier, f64, TargetKey), flow_hash: u64) -> Ordering {
    let by_hash = || rank(a.2, flow_hash).cmp(&rank(b.2, flow_hash));
    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then_with(by_hash)
}

/// Tier and score of a target for a new flow.
///
/// # Errors
/// The target takes no new flows, and why.
pub fn assess(
    key: TargetKey,
    target: &Target,
    cx: &PlacementContext<'_>,
) -> Result<(Tier, f64), Exclusion> {
    Ok((tier(key, target, cx)?, score(key, target, cx)))
}

/// Chooses a slow target of the local domain to try. Remote ones are tried by the entries of their domain.
fn trial(directory: &Directory, cx: &PlacementContext<'_>) -> Option<TargetKey> {
    if !cx.is_uneven || !cx.tried.is_empty() {
        return None;
    }
    let is_local = |target: &Target| target.spec.domain == *cx.local_domain;
    let takes_flows = |target: &Target| target.spec.availability == Availability::Serving;
    let local = directory.iter_service(cx.service).filter(|(_, t)| is_local(t) && takes_flows(t));
    choose_trial(directory, cx.service, local.count(), cx.flow_hash, |key, target| {
        is_local(target)
            && target.learned.is_trial_due(cx.now)
            && tier(key, target, cx) == Ok(Tier::Slow)
    })
}

fn exclusion(target: &Target, cx: &PlacementContext<'_>) -> Option<Exclusion> {
    match target.spec.availability {
        Availability::Draining => Some(Exclusion::Draining),
        Availability::Ended => Some(Exclusion::Ended),
        Availability::Serving if target.has_ambiguous_cookie => Some(Exclusion::AmbiguousCookie),
        Availability::Serving => {
            cx.withdrawn.contains(&target.spec.domain).then_some(Exclusion::Withdrawn)
        }
    }
}

fn tier(key: TargetKey, target: &Target, cx: &PlacementContext<'_>) -> Result<Tier, Exclusion> {
    let spec = &target.spec;
    if let Some(exclusion) = exclusion(target, cx) {
        return Err(exclusion);
    }
    let is_restored = cx.restored.get(&spec.domain).is_some_and(|until| cx.now < *until);
    if is_restored || cx.now < spec.cold_until {
        return Ok(Tier::Cold);
    }
    if cx.tried.contains(&key) {
        return Ok(Tier::Tried);
    }
    let is_suspect = spec.silent || target.health.is_suspect(cx.now);
    Ok(if is_suspect {
        Tier::Suspect
    } else if cx.is_uneven && target.learned.needs_trials(cx.now) {
        Tier::Slow
    } else {
        Tier::Healthy
    })
}

/// Load per slot if the target takes the flow, in requests. It depends on the load through this entry only, which is
/// known exactly and at once. Entries know the load through others alike and late, and would all choose the targets
/// that were least loaded a while ago.
fn score(key: TargetKey, target: &Target, cx: &PlacementContext<'_>) -> f64 {
    let domain = cx.spill_domain.unwrap_or(cx.local_domain);
    let penalty = if target.spec.domain == *domain { 0.0 } else { cx.remote_penalty };
    let load_per_slot = if cx.is_uneven {
        uneven_load(key, target, cx)
    } else {
        (target.load + 1.0) / target.announced_slots()
    };
    load_per_slot + penalty
}

/// Load per effective slot. The flow itself counts as a random part of a request, so that entries without load prefer
/// fast targets in proportion and not all at once. Kept out of the loop over even targets, which it would slow down.
#[inline(never)]
fn uneven_load(key: TargetKey, target: &Target, cx: &PlacementContext<'_>) -> f64 {
    let added = fraction(key, cx.flow_hash);
    (target.load + added) / target.effective_slots(cx.now)
}

fn rank(key: TargetKey, flow_hash: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    (key, flow_hash).hash(&mut hasher);
    hasher.finish()
}
