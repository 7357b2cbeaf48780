//! What a control daemon of a large fleet passes on to others, and what it makes of what they pass on.
//!
//! Every refresh of a target has the age that it has reached, and every message states the newest message that its
//! sender has received, and how long ago that was. From this the receiver of a message knows how old it is at most: it has
//! been sent after the message that it names was received. So ages add up, also over processes that stood still and over
//! connections that held messages back, and no clocks are compared.

use super::peers::{Peers, RelayedState};
use crate::messages::{
    ControlState, HeardDaemon, Hello, IncarnationId, RelayHello, RelayReceipt, Wanted,
};
use comfreyhold_consensus::register::Ballot;
use comfreyhold_membership::announcements::{Announcements, RefreshOutcome};
use comfreyhold_types::keys::{DomainName, TargetId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which a refresh is passed on. A relay that replaces another one passes on what its receiver may have missed
/// meanwhile: two heartbeats and the time to notice.
const REFRESH_RETENTION: Duration = Duration::from_secs(3);

/// Maximum number of refreshes in a message: some 100 KB. The rest follows with the next one.
const MAX_REFRESHES: usize = 4_096;

/// Interval at which a daemon is told which others are heard: every second heartbeat.
const HEARD_INTERVAL: Duration = Duration::from_millis(800);

/// Age above which a heard daemon is not passed on.
const MAX_HEARD_AGE: Duration = Duration::from_secs(4);

/// Age above which a message says nothing about the present.
const MAX_MESSAGE_AGE: Duration = Duration::from_secs(10);

/// Where a refresh was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// The target has announced itself to this daemon. All partners are told.
    Own,
    /// A daemon of the same failure domain has passed it on. Those who ask for what is heard in the domain are told.
    Domain(SocketAddr),
}

/// The newest refresh of one target.
#[derive(Clone, Copy, Debug)]
struct Refresh {
    number: u64,
    origin: Origin,
    received: Instant,
}

/// Exchange with one other daemon.
#[derive(Clone, Debug, Default)]
struct Link {
    /// Its newest message: incarnation, `sent_ms`, `refreshes_until`, and when it was received.
    newest: Option<(IncarnationId, u64, u64, Instant)>,
    /// What it asks for of what is heard in the failure domain of this daemon.
    wanted: Wanted,
    /// Time from which messages to it have contained refreshes, in milliseconds since the start of this daemon.
    subscribed_ms: u64,
    /// Number of the last refresh that it has confirmed.
    confirmed: u64,
    heard_sent: Option<Instant>,
}

/// What a message has brought.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Targets whose content is not recorded, with the age of the refresh.
    pub unknown: BTreeMap<TargetId, Duration>,
    /// Daemons that the sender hears.
    pub heard: Vec<(SocketAddr, RelayedState)>,
}

/// The exchanges with all other daemons, and the refreshes to pass on.
pub struct RelayLinks {
    start: IncarnationId,
    domain: DomainName,
    started: Instant,
    links: BTreeMap<SocketAddr, Link>,
    refreshes: BTreeMap<TargetId, Refresh>,
    last_number: u64,
}

impl RelayLinks {
    /// Creates the state of a daemon that starts now.
    #[must_use]
    pub fn new(start: IncarnationId, domain: DomainName, now: Instant) -> Self {
        let (links, refreshes) = (BTreeMap::new(), BTreeMap::new());
        Self { start, domain, started: now, links, refreshes, last_number: 0 }
    }

    /// Records that a target has announced itself to this daemon.
    pub fn record_own(&mut self, id: TargetId, now: Instant) {
        self.record_refresh(id, Origin::Own, now);
    }

    /// Records that a daemon has passed on a refresh that is newer than what was known.
    pub fn record_passed_on(
        &mut self,
        id: TargetId,
        from: SocketAddr,
        domain: &DomainName,
        now: Instant,
    ) {
        if *domain == self.domain {
            self.record_refresh(id, Origin::Domain(from), now);
        }
    }

    /// Drops what is too old to be passed on, and the exchanges with daemons that are no longer known.
    pub fn drop_old(&mut self, peers: &Peers, now: Instant) {
        self.refreshes.retain(|_, refresh| now < refresh.received + REFRESH_RETENTION);
        self.links.retain(|address, _| peers.get(address).is_some());
    }

    /// Builds the next message to a daemon.
    pub fn next_message(
        &mut self,
        to: SocketAddr,
        wanted: Wanted,
        state: ControlState,
        peers: &Peers,
        targets: &Announcements,
        now: Instant,
    ) -> RelayHello {
        let chosen = state.chosen;
        let link = self.links.entry(to).or_default();
        let received = link.newest.map(|(start, sent_ms, refreshes_until, at)| RelayReceipt {
            start,
            sent_ms,
            held_ms: millis(now.saturating_duration_since(at)),
            refreshes_until,
        });
        let (mut heard, mut numbers) = (Vec::new(), Vec::new());
        let mut refreshes_until = link.confirmed;
        if received.is_some() {
            let is_heard_due = link.heard_sent.is_none_or(|sent| now >= sent + HEARD_INTERVAL);
            if link.wanted >= Wanted::Daemons && is_heard_due {
                link.heard_sent = Some(now);
                heard = heard_daemons(peers, &self.domain, to, chosen, now);
            }
            let is_sent = |refresh: &Refresh| match refresh.origin {
                Origin::Own => true,
                Origin::Domain(from) => link.wanted == Wanted::All && from != to,
            };
            let unsent = self
                .refreshes
                .iter()
                .filter(|(_, refresh)| refresh.number > link.confirmed && is_sent(refresh));
            numbers = unsent.map(|(id, refresh)| (refresh.number, *id)).collect();
            numbers.sort_unstable();
            // Everything up to the last number is in this message, or is not meant for the receiver.
            refreshes_until = match numbers.get(MAX_REFRESHES) {
                Some((number, _)) => number.saturating_sub(1),
                None => self.last_number,
            };
            numbers.truncate(MAX_REFRESHES);
        }
        let ids: Vec<TargetId> = numbers.into_iter().map(|(_, id)| id).collect();
        RelayHello {
            hello: Hello { state, repeated: Vec::new() },
            wanted,
            sent_ms: millis(now.saturating_duration_since(self.started)),
            refreshes_until,
            received,
            heard,
            refreshes: targets.aged_repetitions(&ids, now),
        }
    }

    /// Applies what a message passes on. The state of its sender is not part of that.
    pub fn receive(
        &mut self,
        message: &RelayHello,
        targets: &mut Announcements,
        now: Instant,
    ) -> Received {
        let state = &message.hello.state;
        let from = state.replica.address;
        let since_start = now.saturating_duration_since(self.started);
        let receipt = message.received.filter(|receipt| receipt.start == self.start);
        let link = self.links.entry(from).or_default();
        let is_newer = link.newest.is_none_or(|(start, sent_ms, _, _)| {
            start != state.start || message.sent_ms >= sent_ms
        });
        if is_newer {
            if link.newest.is_none_or(|(start, ..)| start != state.start) {
                *link = Link::default();
            }
            link.newest = Some((state.start, message.sent_ms, message.refreshes_until, now));
            if message.wanted == Wanted::All && link.wanted != Wanted::All {
                // What was not meant for it so far is sent to a new subscriber.
                link.confirmed = 0;
                link.heard_sent = None;
                link.subscribed_ms = millis(since_start);
            } else if let Some(receipt) = receipt
                && receipt.sent_ms >= link.subscribed_ms
            {
                link.confirmed = receipt.refreshes_until.min(self.last_number);
            }
            link.wanted = message.wanted;
        }
        let Some(receipt) = receipt else { return Received::default() };
        let sent_after = Duration::from_millis(receipt.sent_ms.saturating_add(receipt.held_ms));
        let message_age = since_start.saturating_sub(sent_after);
        if message_age >= MAX_MESSAGE_AGE {
            return Received::default();
        }
        let total_age = |age_ms: u64| message_age.saturating_add(Duration::from_millis(age_ms));
        let mut received = Received::default();
        for refresh in &message.refreshes {
            let (id, age) = (refresh.repetition.id, total_age(refresh.age_ms));
            match targets.refresh_aged(&refresh.repetition, age, now) {
                RefreshOutcome::Refreshed => self.record_passed_on(id, from, &state.domain, now),
                RefreshOutcome::Unknown => {
                    received.unknown.insert(id, age);
                }
                RefreshOutcome::Ignored => {}
            }
        }
        let heard = message.heard.iter().filter_map(|heard| {
            let heard_at = now.checked_sub(total_age(heard.age_ms))?;
            let chosen = heard.chosen.unwrap_or(state.chosen);
            let (domain, start) = (state.domain.clone(), heard.start);
            Some((heard.address, RelayedState { domain, start, chosen, heard_at }))
        });
        received.heard = heard.collect();
        received
    }

    fn record_refresh(&mut self, id: TargetId, origin: Origin, now: Instant) {
        self.last_number += 1;
        let number = self.last_number;
        self.refreshes.insert(id, Refresh { number, origin, received: now });
    }
}

/// Daemons of a failure domain to pass on to a daemon. `chosen` is the ballot of the sender.
fn heard_daemons(
    peers: &Peers,
    domain: &DomainName,
    to: SocketAddr,
    chosen: Ballot,
    now: Instant,
) -> Vec<HeardDaemon> {
    let daemons = peers.heard_in(domain, MAX_HEARD_AGE, now).filter(|(address, _)| *address != to);
    let heard = daemons.map(|(address, relayed)| HeardDaemon {
        address,
        start: relayed.start,
        chosen: Some(relayed.chosen).filter(|ballot| *ballot != chosen),
        age_ms: millis(now.saturating_duration_since(relayed.heard_at)),
    });
    heard.collect()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
