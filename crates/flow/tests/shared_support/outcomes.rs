//! What has become of the requests of a play.

use super::deployment::Kind;
use super::{Caller, Play, Request, WARM_UP};
use comfreyhold_flow::cookie::PacketKind;
use comfreyhold_flow::cookie::admission::{LimitKind, LimitStatus};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Number of requests, and how many were answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub begun: usize,
    pub in_time: usize,
    pub late: usize,
}

impl Counts {
    /// Share of the requests that were answered in time.
    pub fn credit(self) -> f64 {
        self.in_time as f64 / self.begun.max(1) as f64
    }
}

#[derive(Debug, Default)]
pub struct Outcomes {
    pub all: Counts,
    pub by_domain: BTreeMap<usize, Counts>,
    pub by_kind: BTreeMap<Kind, Counts>,
    /// Requests that arrived at targets, and those that were refused there.
    pub arrivals: usize,
    pub refused_by_targets: usize,
    pub refused_by_entries: usize,
    /// Decisions to wait.
    pub deferrals: usize,
    /// Requests that a target got after an entry had refused their attempt.
    pub run_after_refusal: usize,
    begun: Vec<(Duration, bool, usize)>,
    /// Times of the decisions to wait.
    held: Vec<Duration>,
    limits: Vec<(Duration, usize, LimitStatus)>,
}

impl Outcomes {
    pub(super) fn finish(&mut self, requests: &[Request], callers: &[Caller]) {
        for request in requests {
            let domain = callers[request.caller].domain;
            let objective = request.begun + request.kind.objective();
            let in_time = request.answered.is_some_and(|at| at <= objective);
            let by_domain = self.by_domain.entry(domain).or_default();
            let by_kind = self.by_kind.entry(request.kind).or_default();
            for counts in [&mut self.all, by_domain, by_kind] {
                counts.begun += 1;
                counts.in_time += usize::from(in_time);
                counts.late += usize::from(request.answered.is_some() && !in_time);
            }
            self.begun.push((request.begun.saturating_sub(WARM_UP), in_time, domain));
        }
    }

    pub(super) fn hold(&mut self, at: Duration) {
        self.deferrals += 1;
        self.held.push(at);
    }

    pub(super) fn record_limit(&mut self, at: Duration, entry: usize, status: LimitStatus) {
        self.limits.push((at, entry, status));
    }

    pub fn unserved(&self) -> usize {
        self.all.begun - self.all.in_time - self.all.late
    }

    /// Credit for requests in time: two for one that may not be repeated, one for any other.
    pub fn credit(&self) -> usize {
        let worth = |kind| if kind == Kind::Order { 2 } else { 1 };
        self.by_kind.iter().map(|(kind, counts)| worth(*kind) * counts.in_time).sum()
    }

    /// Refusals by targets per arrival.
    pub fn refusal_share(&self) -> f64 {
        self.refused_by_targets as f64 / self.arrivals.max(1) as f64
    }

    /// Lowest and highest share of requests in time by failure domain.
    pub fn domain_range(&self) -> (f64, f64) {
        let credits = self.by_domain.values().map(|counts| counts.credit());
        credits.fold((f64::MAX, 0.0), |(low, high), c| (c.min(low), c.max(high)))
    }

    /// Share of the requests begun in a time that were answered in time.
    pub fn credit_in(&self, time: &Range<Duration>) -> f64 {
        let mut counts = Counts::default();
        for (_, in_time, _) in self.begun.iter().filter(|(at, _, _)| time.contains(at)) {
            counts.begun += 1;
            counts.in_time += usize::from(*in_time);
        }
        counts.credit()
    }

    /// Decisions to wait in a time.
    pub fn held_in(&self, time: &Range<Duration>) -> usize {
        self.held.iter().filter(|at| time.contains(at)).count()
    }

    /// Limits that an entry decided by in a time.
    pub fn limits_of(&self, entry: usize, time: &Range<Duration>) -> Vec<LimitStatus> {
        let of_entry = self.limits.iter().filter(|(at, e, _)| *e == entry && time.contains(at));
        of_entry.map(|(_, _, status)| *status).collect()
    }

    /// Whether any entry decided by its share.
    pub fn has_shared(&self) -> bool {
        self.limits.iter().any(|(_, _, status)| status.kind == LimitKind::Share)
    }

    /// One row of the table.
    pub fn row(&self) -> String {
        let (low, high) = self.domain_range();
        let kind = |kind: Kind| self.by_kind.get(&kind).copied().unwrap_or_default().credit();
        format!(
            "{} | {} | {} | {} | {} | {:.3} | {low:.3} to {high:.3} | {:.3} | {:.3}",
            self.all.begun,
            self.all.in_time,
            self.credit(),
            self.all.late,
            self.unserved(),
            self.refusal_share(),
            kind(Kind::Order),
            kind(Kind::Feed),
        )
    }
}

impl Play {
    /// Keeps the limit that a decision was made by.
    pub(super) fn record_limit(&mut self, flow: usize) {
        let packet = self.packet(flow, PacketKind::Open { copy: 0 }, 0);
        let entry = self.flows[flow].entry;
        let now = self.start + self.now;
        let status: Option<LimitStatus> = self.entries[entry].balancer.limit_status(&packet, now);
        if let Some(status) = status {
            self.outcomes.record_limit(self.now.saturating_sub(WARM_UP), entry, status);
        }
    }
}
