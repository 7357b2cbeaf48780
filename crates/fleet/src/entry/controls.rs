//! Chooses which control daemons an entry watches.

use comfreyhold_types::keys::DomainName;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a daemon that did not answer is asked last.
const FAILED_PAUSE: Duration = Duration::from_secs(2);

/// Time for which a daemon that no other one names any more is still known.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Most daemons known.
const MAX_CONTROLS: usize = 64;

#[derive(Clone, Debug, Default)]
struct ControlRecord {
    domain: Option<DomainName>,
    failed: Option<Instant>,
    named: Option<Instant>,
}

/// The control daemons that an entry knows.
pub struct Controls {
    me: SocketAddr,
    domain: DomainName,
    seeds: BTreeSet<SocketAddr>,
    known: BTreeMap<SocketAddr, ControlRecord>,
}

impl Controls {
    /// Starts from the seeds.
    #[must_use]
    pub fn new(me: SocketAddr, domain: DomainName, seeds: &[SocketAddr]) -> Self {
        let mut controls = Self { me, domain, seeds: BTreeSet::new(), known: BTreeMap::new() };
        controls.set_seeds(seeds);
        controls
    }

    /// Takes over other seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().collect();
        for seed in seeds {
            self.known.entry(*seed).or_default();
        }
    }

    /// Takes in what a daemon says about all of them.
    pub fn named(&mut self, controls: &[(SocketAddr, DomainName)], now: Instant) {
        for (address, domain) in controls {
            if self.known.len() < MAX_CONTROLS || self.known.contains_key(address) {
                let record = self.known.entry(*address).or_default();
                record.domain = Some(domain.clone());
                record.named = Some(now);
            }
        }
        let seeds = &self.seeds;
        self.known.retain(|address, record| {
            let named = record.named.is_some_and(|named| now < named + FORGET_AFTER);
            named || seeds.contains(address)
        });
    }

    /// A daemon did not answer.
    pub fn failed(&mut self, address: SocketAddr, now: Instant) {
        if let Some(record) = self.known.get_mut(&address) {
            record.failed = Some(now);
        }
    }

    /// The daemon to watch, other than `taken`. Those that failed lately come last, and those of the own
    /// domain first if `home` is set.
    #[must_use]
    pub fn choose(&self, home: bool, taken: &[SocketAddr], now: Instant) -> Option<SocketAddr> {
        let free = self.known.iter().filter(|(address, _)| !taken.contains(address));
        free.min_by_key(|(address, record)| {
            let failed = record.failed.filter(|failed| now < *failed + FAILED_PAUSE);
            let foreign = home && record.domain.as_ref() != Some(&self.domain);
            (failed, foreign, self.rank(address))
        })
        .map(|(address, _)| *address)
    }

    /// Whether a daemon of the own domain is known to have answered others, while `current` is of another.
    #[must_use]
    pub fn should_return(&self, current: SocketAddr, now: Instant) -> bool {
        let domain = |address: &SocketAddr| self.known.get(address).and_then(|r| r.domain.clone());
        let home = Some(&self.domain);
        domain(&current).as_ref() != home
            && self.known.values().any(|record| {
                let failed = record.failed.is_some_and(|failed| now < failed + FAILED_PAUSE);
                record.domain.as_ref() == home && record.named.is_some() && !failed
            })
    }

    /// Spreads entries over daemons.
    fn rank(&self, address: &SocketAddr) -> u64 {
        let mut hasher = SipHasher13::new();
        (self.me, address).hash(&mut hasher);
        hasher.finish()
    }
}
