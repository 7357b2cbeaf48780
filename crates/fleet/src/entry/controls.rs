//! Selects the control daemons that an entry watches.

use comfreyhold_types::keys::DomainName;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after a failed call for which a daemon is chosen only if there is no other one.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(2);

/// Time after which a daemon that is cut off, or did not respond, is tried again in place of another one that is cut off. An
/// entry that reaches no other one tries each of them once in that time.
const CUT_OFF_COOLDOWN: Duration = Duration::from_secs(5);

/// Time after which a daemon is forgotten if no other one names it any more.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Maximum number of known daemons; further ones are ignored.
const MAX_CONTROLS: usize = 64;

#[derive(Clone, Debug, Default)]
struct ControlRecord {
    domain: Option<DomainName>,
    last_failed: Option<Instant>,
    /// When the daemon last said that it learns no new declarations; `None` if it has said otherwise since.
    last_cut_off: Option<Instant>,
    /// When another daemon last reported it as live.
    last_named: Option<Instant>,
}

/// The control daemons known to an entry, and the choice among them.
pub struct ControlSelector {
    me: SocketAddr,
    domain: DomainName,
    seeds: BTreeSet<SocketAddr>,
    known: BTreeMap<SocketAddr, ControlRecord>,
}

impl ControlSelector {
    /// Creates a selector that knows the seeds. `me` is the entry's address, `domain` its failure domain.
    #[must_use]
    pub fn new(me: SocketAddr, domain: DomainName, seeds: &[SocketAddr]) -> Self {
        let mut selector = Self { me, domain, seeds: BTreeSet::new(), known: BTreeMap::new() };
        selector.set_seeds(seeds);
        selector
    }

    /// Replaces the seeds. The previous ones are forgotten unless other daemons name them.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().collect();
        for seed in seeds {
            self.known.entry(*seed).or_default();
        }
    }

    /// Applies a daemon's list of live control daemons.
    pub fn update_live(&mut self, controls: &[(SocketAddr, DomainName)], now: Instant) {
        for (address, domain) in controls {
            if self.known.len() < MAX_CONTROLS || self.known.contains_key(address) {
                let record = self.known.entry(*address).or_default();
                record.domain = Some(domain.clone());
                record.last_named = Some(now);
            }
        }
        let seeds = &self.seeds;
        self.known.retain(|address, record| {
            let named_recently = record.last_named.is_some_and(|named| now < named + FORGET_AFTER);
            named_recently || seeds.contains(address)
        });
    }

    /// Records that a call to a daemon has failed.
    pub fn record_failure(&mut self, address: SocketAddr, now: Instant) {
        if let Some(record) = self.known.get_mut(&address) {
            record.last_failed = Some(now);
        }
    }

    /// Records whether a daemon learns new declarations.
    pub fn record_informed(&mut self, address: SocketAddr, is_informed: bool, now: Instant) {
        if let Some(record) = self.known.get_mut(&address) {
            record.last_cut_off = (!is_informed).then_some(now);
        }
    }

    /// Chooses a daemon that may learn new declarations in place of one that does not, other than `taken`. `None` if all
    /// have been tried recently.
    #[must_use]
    pub fn choose_informed(&self, taken: &[SocketAddr], now: Instant) -> Option<SocketAddr> {
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| now < at + CUT_OFF_COOLDOWN);
        let untried = self.known.iter().filter(|(address, record)| {
            !taken.contains(address)
                && !is_recent(record.last_failed)
                && !is_recent(record.last_cut_off)
        });
        untried.map(|(address, _)| *address).min_by_key(|address| self.rank(address))
    }

    /// Chooses the daemon to watch, other than `taken`. Those that have failed recently come last, before them those that
    /// are cut off, and those of the local domain first if `prefer_local` is set.
    #[must_use]
    pub fn choose(
        &self,
        prefer_local: bool,
        taken: &[SocketAddr],
        now: Instant,
    ) -> Option<SocketAddr> {
        let available = self.known.iter().filter(|(address, _)| !taken.contains(address));
        available
            .min_by_key(|(address, record)| {
                let failed = record.last_failed.filter(|failed| now < *failed + FAILURE_COOLDOWN);
                let cut_off = record.last_cut_off.filter(|at| now < *at + CUT_OFF_COOLDOWN);
                let is_remote = prefer_local && record.domain.as_ref() != Some(&self.domain);
                (failed, cut_off, is_remote, self.rank(address))
            })
            .map(|(address, _)| *address)
    }

    /// Whether `current` is of another domain while a daemon of the local domain is live according to the
    /// other daemons and has neither failed nor been cut off recently.
    #[must_use]
    pub fn should_return_to_local(&self, current: SocketAddr, now: Instant) -> bool {
        let domain = |address: &SocketAddr| self.known.get(address).and_then(|r| r.domain.clone());
        let local = Some(&self.domain);
        domain(&current).as_ref() != local
            && self.known.values().any(|record| {
                let failed_recently =
                    record.last_failed.is_some_and(|failed| now < failed + FAILURE_COOLDOWN);
                let cut_off_recently =
                    record.last_cut_off.is_some_and(|at| now < at + CUT_OFF_COOLDOWN);
                record.domain.as_ref() == local
                    && record.last_named.is_some()
                    && !failed_recently
                    && !cut_off_recently
            })
    }

    /// Rank of a daemon for this entry. Hashing both addresses spreads the entries over the daemons.
    fn rank(&self, address: &SocketAddr) -> u64 {
        let mut hasher = SipHasher13::new();
        (self.me, address).hash(&mut hasher);
        hasher.finish()
    }
}
