//! A control daemon's record of the load of all entries.

use crate::messages::{
    IncludedEntry, LoadError, LoadReport, LoadSum, LoadTotals, MAX_COUNT, MAX_DOMAINS, MAX_ENTRIES,
    MAX_INTERVAL_MS, MAX_NAME_BYTES, MAX_SERVICES, MAX_TARGETS, SenderStart, ServiceTotal,
    TargetLoad, VERSION,
};
use crate::sums::Summation;
use comfreyhold_types::keys::DomainName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Age at which a report or sum is left out: five of the next ones are overdue.
pub const MAX_AGE: Duration = Duration::from_millis(1_500);

/// Time for which load is shared after the last report of an entry under pressure.
pub const SHARING_PERIOD: Duration = Duration::from_secs(5);

/// Time for which the number of a sender's last message is remembered, so that late ones are refused. A process
/// whose clock was set back before its restart is refused for no longer than this.
const ORDER_RETENTION: Duration = Duration::from_secs(10);

/// Time for which totals are reused. It bounds the work of a daemon with several hundred entries.
const TOTALS_REUSE: Duration = Duration::from_millis(50);

/// Maximum number of other control daemons whose sums are kept.
const MAX_DAEMONS: usize = 64;

/// Position of a message among those of its sender: time of the start, and number within it.
type Order = (u64, u64);

#[derive(Debug)]
struct ReportRecord {
    order: Order,
    received: Instant,
    /// `None` if the entry has reported to another daemon since.
    report: Option<LoadReport>,
}

#[derive(Debug)]
struct SumRecord {
    order: Order,
    received: Instant,
    sum: LoadSum,
}

/// Totals, and the orders of the reports that they include, by sender.
#[derive(Clone, Debug)]
struct CachedTotals {
    made: Instant,
    totals: LoadTotals,
    included: BTreeMap<u64, Order>,
}

/// The newest reports of a control daemon's own entries, and the newest sums of the other daemons.
#[derive(Debug)]
pub struct LoadBook {
    me: SenderStart,
    last_number: u64,
    reports: BTreeMap<u64, ReportRecord>,
    sums: BTreeMap<u64, SumRecord>,
    /// End of sharing because of pressure at own entries.
    own_until: Option<Instant>,
    /// End of sharing because of pressure at entries of other daemons.
    others_until: Option<Instant>,
    cached: Option<CachedTotals>,
}

impl LoadBook {
    /// Creates an empty book for one start of a control daemon.
    #[must_use]
    pub fn new(me: SenderStart) -> Self {
        Self {
            me,
            last_number: 0,
            reports: BTreeMap::new(),
            sums: BTreeMap::new(),
            own_until: None,
            others_until: None,
            cached: None,
        }
    }

    /// Receives a report of an entry. Begins or prolongs sharing if the entry is under pressure.
    ///
    /// # Errors
    /// The report is of another version, malformed or out of order, or there are too many entries. It changes
    /// nothing then.
    pub fn receive_report(&mut self, report: LoadReport, now: Instant) -> Result<(), LoadError> {
        check_report(&report)?;
        self.forget_old(now);
        let sender = report.from.sender;
        let order = (report.from.start, report.number);
        match self.reports.get(&sender) {
            Some(known) if order <= known.order => return Err(LoadError::Stale),
            None if self.reports.len() >= MAX_ENTRIES => return Err(LoadError::TooManySenders),
            _ => {}
        }
        if report.under_pressure {
            self.own_until = Some(now + SHARING_PERIOD);
        }
        let record = ReportRecord { order, received: now, report: Some(report) };
        self.reports.insert(sender, record);
        Ok(())
    }

    /// Receives the sum of another control daemon. Begins or prolongs sharing if one of its entries is under
    /// pressure. Own reports of entries that have reported to that daemon since are left out from now on.
    ///
    /// # Errors
    /// The sum is of another version, malformed, out of order or the receiver's own, or there are too many
    /// daemons. It changes nothing then.
    pub fn receive_sum(&mut self, sum: LoadSum, now: Instant) -> Result<(), LoadError> {
        check_sum(&sum)?;
        let sender = sum.from.sender;
        if sender == self.me.sender {
            return Err(LoadError::OwnSum);
        }
        self.forget_old(now);
        let order = (sum.from.start, sum.number);
        match self.sums.get(&sender) {
            Some(known) if order <= known.order => return Err(LoadError::Stale),
            None if self.sums.len() >= MAX_DAEMONS => return Err(LoadError::TooManySenders),
            _ => {}
        }
        let left = Duration::from_millis(sum.pressure_left_ms.into()).min(SHARING_PERIOD);
        if !left.is_zero() {
            self.others_until = self.others_until.max(Some(now + left));
        }
        for entry in &sum.entries {
            if let Some(own) = self.reports.get_mut(&entry.from.sender)
                && own.order < entry_order(entry)
            {
                own.order = entry_order(entry);
                own.report = None;
            }
        }
        self.sums.insert(sender, SumRecord { order, received: now, sum });
        Ok(())
    }

    /// Whether load is shared: entries are to report at short intervals.
    #[must_use]
    pub fn is_sharing(&self, now: Instant) -> bool {
        self.own_until.max(self.others_until).is_some_and(|until| now < until)
    }

    /// Number of own entries whose reports are fresh.
    #[must_use]
    pub fn own_entries(&self, now: Instant) -> usize {
        self.fresh_reports(now).count()
    }

    /// Sum over the fresh reports of own entries, to be sent to the other daemons. `None` while load is not
    /// shared, and if no own entry has reported.
    pub fn own_sum(&mut self, now: Instant) -> Option<LoadSum> {
        if !self.is_sharing(now) || self.fresh_reports(now).next().is_none() {
            return None;
        }
        self.last_number += 1;
        let mut summation = Summation::default();
        let mut domains: Vec<DomainName> = Vec::new();
        let mut counts = BTreeMap::new();
        let mut entries = Vec::new();
        let mut age = Duration::ZERO;
        for (received, report) in self.fresh_reports(now) {
            let known = domains.iter().position(|domain| *domain == report.domain);
            let position = known.unwrap_or(domains.len());
            if position >= MAX_DOMAINS {
                continue;
            }
            if known.is_none() {
                domains.push(report.domain.clone());
            }
            summation.add_report(report);
            *counts.entry(report.domain.clone()).or_default() += 1;
            age = age.max(now.saturating_duration_since(received));
            let domain = position as u8;
            entries.push(IncludedEntry { from: report.from, number: report.number, domain });
        }
        let left = self.own_until.map(|until| until.saturating_duration_since(now));
        Some(LoadSum {
            version: VERSION,
            from: self.me,
            number: self.last_number,
            pressure_left_ms: millis(left.unwrap_or_default()),
            age_ms: millis(age),
            domains,
            entries,
            targets: summation.targets(),
            services: summation.services(&counts),
        })
    }

    /// Totals over all entries, as a response to one of them. `receiver` is its start. They may be up to 50 ms
    /// old. While load is not shared they are empty.
    pub fn totals(&mut self, receiver: Option<SenderStart>, now: Instant) -> LoadTotals {
        if !self.is_sharing(now) {
            self.cached = None;
            return LoadTotals { version: VERSION, ..LoadTotals::default() };
        }
        let is_valid = |cached: &CachedTotals| now < cached.made + TOTALS_REUSE;
        let cached = match self.cached.take().filter(is_valid) {
            Some(cached) => cached,
            None => self.make_totals(now),
        };
        let cached = self.cached.insert(cached);
        let mut totals = cached.totals.clone();
        let reused = now.saturating_duration_since(cached.made);
        totals.age_ms = totals.age_ms.saturating_add(millis(reused));
        totals.own_number = receiver.and_then(|receiver| {
            let (start, number) = cached.included.get(&receiver.sender)?;
            (*start == receiver.start).then_some(*number)
        });
        totals
    }

    /// Adds up the reports of own entries and the sums of others. Each entry counts once: where several sums
    /// include it, only the one with its newest report does, and the load of the other sums is reduced by the
    /// entry's part of their number of entries. Their daemons leave it out from their next sums on.
    fn make_totals(&self, now: Instant) -> CachedTotals {
        let mut included: BTreeMap<u64, Order> = BTreeMap::new();
        let mut add = |sender: u64, order: Order| {
            let newest = included.entry(sender).or_insert(order);
            *newest = order.max(*newest);
        };
        let fresh_sums: Vec<&SumRecord> =
            self.sums.values().filter(|record| is_fresh(record.received, now)).collect();
        for entry in fresh_sums.iter().flat_map(|record| &record.sum.entries) {
            add(entry.from.sender, entry_order(entry));
        }
        for (_, report) in self.fresh_reports(now) {
            add(report.from.sender, (report.from.start, report.number));
        }
        let mut open = included.clone();
        let mut summation = Summation::default();
        let mut counts: BTreeMap<DomainName, u32> = BTreeMap::new();
        let mut age = Duration::ZERO;
        for (received, report) in self.fresh_reports(now) {
            let order = (report.from.start, report.number);
            if included.get(&report.from.sender) != Some(&order) {
                continue;
            }
            open.remove(&report.from.sender);
            summation.add_report(report);
            *counts.entry(report.domain.clone()).or_default() += 1;
            age = age.max(now.saturating_duration_since(received));
        }
        for record in fresh_sums {
            let sum = &record.sum;
            let mut counted = 0_u32;
            for entry in &sum.entries {
                if open.get(&entry.from.sender) != Some(&entry_order(entry)) {
                    continue;
                }
                open.remove(&entry.from.sender);
                counted += 1;
                if let Some(domain) = sum.domains.get(usize::from(entry.domain)) {
                    *counts.entry(domain.clone()).or_default() += 1;
                }
            }
            if counted > 0 {
                summation.add_sum(sum, f64::from(counted) / sum.entries.len() as f64);
                let sent_age = Duration::from_millis(sum.age_ms.into());
                age = age.max(now.saturating_duration_since(record.received) + sent_age);
            }
        }
        let totals = LoadTotals {
            version: VERSION,
            is_sharing: true,
            age_ms: millis(age),
            entries: counts.values().sum(),
            own_number: None,
            targets: summation.targets(),
            services: summation.services(&counts),
        };
        CachedTotals { made: now, totals, included }
    }

    fn fresh_reports(&self, now: Instant) -> impl Iterator<Item = (Instant, &LoadReport)> {
        let fresh = self.reports.values().filter(move |record| is_fresh(record.received, now));
        fresh.filter_map(|record| Some((record.received, record.report.as_ref()?)))
    }

    /// Forgets senders that have been quiet for long.
    fn forget_old(&mut self, now: Instant) {
        let is_kept = |received: Instant| now < received + ORDER_RETENTION;
        self.reports.retain(|_, record| is_kept(record.received));
        self.sums.retain(|_, record| is_kept(record.received));
    }
}

fn entry_order(entry: &IncludedEntry) -> Order {
    (entry.from.start, entry.number)
}

fn is_fresh(received: Instant, now: Instant) -> bool {
    now.saturating_duration_since(received) < MAX_AGE
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn check_report(report: &LoadReport) -> Result<(), LoadError> {
    check_version(report.version)?;
    if report.services.len() > MAX_SERVICES || report.domain.0.len() > MAX_NAME_BYTES {
        return Err(LoadError::TooLong);
    }
    if report.interval_ms == 0 || report.interval_ms > MAX_INTERVAL_MS {
        return Err(LoadError::BadInterval);
    }
    check_targets(&report.targets)?;
    check_unique(report.services.iter().map(|demand| demand.service))?;
    let counts = report.services.iter().flat_map(|demand| [demand.openings, demand.in_flight]);
    check_counts(counts)
}

fn check_sum(sum: &LoadSum) -> Result<(), LoadError> {
    check_version(sum.version)?;
    check_domains(sum.domains.iter())?;
    if sum.entries.len() > MAX_ENTRIES || sum.services.len() > MAX_SERVICES {
        return Err(LoadError::TooLong);
    }
    check_unique(sum.entries.iter().map(|entry| entry.from.sender))?;
    if sum.entries.iter().any(|entry| usize::from(entry.domain) >= sum.domains.len()) {
        return Err(LoadError::Inconsistent);
    }
    check_targets(&sum.targets)?;
    check_services(&sum.services)
}

/// Checks totals before an entry applies them.
///
/// # Errors
/// The totals are of another version, too long, inconsistent or out of range.
pub fn check_totals(totals: &LoadTotals) -> Result<(), LoadError> {
    check_version(totals.version)?;
    check_targets(&totals.targets)?;
    check_services(&totals.services)
}

fn check_services(services: &[ServiceTotal]) -> Result<(), LoadError> {
    if services.len() > MAX_SERVICES {
        return Err(LoadError::TooLong);
    }
    check_unique(services.iter().map(|total| total.service))?;
    for total in services {
        check_domains(total.domains.iter().map(|demand| &demand.domain))?;
    }
    let demand = services.iter().flat_map(|total| &total.domains);
    let counts = demand.flat_map(|demand| [demand.openings_per_s, demand.entries]);
    check_counts(counts.chain(services.iter().map(|total| total.in_flight)))
}

fn check_targets(targets: &[TargetLoad]) -> Result<(), LoadError> {
    if targets.len() > MAX_TARGETS {
        return Err(LoadError::TooLong);
    }
    check_unique(targets.iter().map(|target| target.mark))?;
    let counts = |t: &TargetLoad| [t.in_flight, t.answers, t.ratio_sum, t.failures];
    check_counts(targets.iter().flat_map(counts))
}

fn check_domains<'a>(
    domains: impl ExactSizeIterator<Item = &'a DomainName> + Clone,
) -> Result<(), LoadError> {
    if domains.len() > MAX_DOMAINS || domains.clone().any(|name| name.0.len() > MAX_NAME_BYTES) {
        return Err(LoadError::TooLong);
    }
    check_unique(domains)
}

fn check_version(version: u8) -> Result<(), LoadError> {
    if version == VERSION { Ok(()) } else { Err(LoadError::OtherVersion(version)) }
}

fn check_unique<T: Ord>(items: impl Iterator<Item = T>) -> Result<(), LoadError> {
    let mut seen = BTreeSet::new();
    for item in items {
        if !seen.insert(item) {
            return Err(LoadError::Inconsistent);
        }
    }
    Ok(())
}

fn check_counts(mut counts: impl Iterator<Item = u32>) -> Result<(), LoadError> {
    if counts.any(|count| count > MAX_COUNT) { Err(LoadError::OutOfRange) } else { Ok(()) }
}
