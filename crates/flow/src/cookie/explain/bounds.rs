//! Selects the targets that an explanation lists, and bounds its size.

use super::answer::{Standing, TargetAnswer, TargetList};
use crate::cookie::directory::{Directory, Target, TargetKey};
use crate::cookie::placement::{Exclusion, PlacementContext, Tier, assess, compare};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Maximum number of targets that an explanation lists.
pub const MAX_LISTED: usize = 64;

/// Maximum number of destinations of a route that an explanation lists.
pub const MAX_DESTINATIONS: usize = 16;

/// Maximum length of a name in an explanation, in bytes; the rest is cut off.
pub const MAX_NAME_BYTES: usize = 64;

/// Targets of each standing that are listed although there are better ones.
const EXAMPLES: usize = 3;

/// A target, with what it is compared by.
struct Candidate {
    key: TargetKey,
    standing: Standing,
    rating: Option<(Tier, f64)>,
}

/// Lists the targets of a service, with at most [`MAX_LISTED`] in full.
pub(super) fn list_targets(
    directory: &Directory,
    cx: &PlacementContext<'_>,
    chosen: Option<TargetKey>,
) -> TargetList {
    let targets = directory.iter_service(cx.service);
    let mut candidates: Vec<Candidate> = targets
        .map(|(key, target)| {
            let assessed = assess(key, target, cx);
            let standing = if chosen == Some(key) {
                Standing::Chosen
            } else {
                standing_of(target, assessed.map(|(tier, _)| tier))
            };
            Candidate { key, standing, rating: assessed.ok() }
        })
        .collect();
    let mut counts = BTreeMap::new();
    for candidate in &candidates {
        *counts.entry(candidate.standing).or_default() += 1;
    }
    // The chosen one first, then those that take flows in the order of the choice, then the others.
    candidates.sort_by(|a, b| {
        let is_other = |c: &Candidate| (c.standing != Standing::Chosen, c.rating.is_none());
        is_other(a).cmp(&is_other(b)).then_with(|| match (a.rating, b.rating) {
            (Some((tier, score)), Some(other)) => {
                compare((tier, score, a.key), (other.0, other.1, b.key), cx.flow_hash)
            }
            _ => (a.standing, a.key).cmp(&(b.standing, b.key)),
        })
    });
    let picked = pick(&candidates);
    let listed = picked.into_iter().filter_map(|position| {
        let candidate = candidates.get(position)?;
        Some(describe(candidate, directory.get(candidate.key)?, cx))
    });
    TargetList { total: candidates.len(), counts, listed: listed.collect() }
}

/// Positions of the listed candidates, in order: the first of each standing, and the best of all.
fn pick(candidates: &[Candidate]) -> BTreeSet<usize> {
    let mut picked = BTreeSet::new();
    let mut examples: BTreeMap<Standing, usize> = BTreeMap::new();
    for (position, candidate) in candidates.iter().enumerate() {
        let count = examples.entry(candidate.standing).or_default();
        *count += 1;
        if *count <= EXAMPLES {
            picked.insert(position);
        }
    }
    for position in 0..candidates.len() {
        if picked.len() >= MAX_LISTED {
            break;
        }
        picked.insert(position);
    }
    picked
}

fn standing_of(target: &Target, tier: Result<Tier, Exclusion>) -> Standing {
    match tier {
        Ok(Tier::Healthy) => Standing::Usable,
        Ok(Tier::Slow) => Standing::Slow,
        Ok(Tier::Suspect) if target.spec.silent => Standing::Silent,
        Ok(Tier::Suspect) => Standing::Unanswered,
        Ok(Tier::Tried) => Standing::Tried,
        Ok(Tier::Cold) => Standing::Cold,
        Err(Exclusion::Draining) => Standing::Draining,
        Err(Exclusion::Ended) => Standing::Ended,
        Err(Exclusion::AmbiguousCookie) => Standing::AmbiguousCookie,
        Err(Exclusion::Withdrawn) => Standing::Withdrawn,
    }
}

fn describe(candidate: &Candidate, target: &Target, cx: &PlacementContext<'_>) -> TargetAnswer {
    let (spec, now) = (&target.spec, cx.now);
    let others = target.others.filter(|others| others.weight(now) > 0.0);
    let restored = cx.restored.get(&spec.domain).copied();
    let cold_until = restored.map_or(spec.cold_until, |until| until.max(spec.cold_until));
    let has_samples = target.learned.age(now).is_some();
    TargetAnswer {
        id: spec.id.to_string(),
        standing: candidate.standing,
        tier: candidate.rating.map(|(tier, _)| tier),
        score: candidate.rating.map(|(_, score)| rounded(score)),
        domain: short_name(&spec.domain.0),
        is_withdrawn: cx.withdrawn.contains(&spec.domain),
        address: spec.address,
        availability: spec.availability,
        cold_ms: millis_until(cold_until, now),
        is_silent: spec.silent,
        unanswered: target.health.unanswered(),
        avoided_ms: whole_millis(target.health.avoided_for(now)),
        is_tried: cx.tried.contains(&candidate.key),
        load: rounded(target.load),
        others_load: others.map(|others| rounded(others.in_flight(now))),
        others_age_ms: others.map(|others| whole_millis(others.age(now))),
        announced_slots: spec.slots,
        effective_slots: rounded(target.effective_slots(now)),
        work_ratio: has_samples.then(|| rounded(target.learned.mean_ratio())),
        samples: rounded(target.learned.samples()),
        sample_age_ms: target.learned.age(now).map(whole_millis),
    }
}

/// Rounds to thousandths.
pub(super) fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Milliseconds with thousandths.
pub(super) fn millis(time: Duration) -> f64 {
    rounded(time.as_secs_f64() * 1_000.0)
}

/// Whole milliseconds.
pub(super) fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn millis_until(at: Instant, now: Instant) -> u64 {
    whole_millis(at.saturating_duration_since(now))
}

/// A name of at most [`MAX_NAME_BYTES`], without control characters, which JSON would write at six times their length.
pub(super) fn short_name(name: &str) -> String {
    let mut end = name.len().min(MAX_NAME_BYTES);
    while !name.is_char_boundary(end) {
        end -= 1;
    }
    name[..end].replace(|c: char| c.is_control(), "?")
}
