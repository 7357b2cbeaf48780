//! Chooses the daemons with which a control daemon of a large fleet exchanges heartbeats.

use crate::messages::Wanted;
use comfreyhold_types::keys::DomainName;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Number of live daemons of its own failure domain with which a daemon exchanges heartbeats, beside seeds and voters.
pub const DOMAIN_PARTNERS: usize = 8;

/// Number of these which a daemon asks for what they hear in the domain. Each target's refresh is received as often.
pub const DOMAIN_SUBSCRIPTIONS: usize = 2;

/// Number of relays in each other failure domain.
pub const RELAYS_PER_DOMAIN: usize = 1;

/// Number of daemons of unknown failure domain to which heartbeats are sent at a time. They state their domain in the
/// response, and relays name most of the others.
const UNKNOWN_PARTNERS: usize = 8;

/// A known control daemon, as the choice sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Its failure domain, if it is known.
    pub domain: Option<DomainName>,
    /// Whether it has been heard lately, has not left heartbeats unanswered, and still learns new declarations.
    pub is_live: bool,
    /// Whether heartbeats are exchanged with it in any case: a seed or voter.
    pub is_fixed: bool,
    /// Whether it refuses the heartbeats of large fleets, or sends those of small ones. It passes nothing on, and tells its targets itself.
    pub refuses_relay: bool,
}

/// The chosen daemons, and what each is asked to pass on.
pub type Partners = BTreeMap<SocketAddr, Wanted>;

/// Chooses the daemons with which `me` exchanges heartbeats.
///
/// The daemons of each failure domain are taken in the order of a hash until enough live ones are found. Those that are
/// silent and come before are included, so that they are noticed when they return; of a domain that is silent as a whole,
/// that is all of them. The hash depends on `me`, so that the daemons of a domain are relays for about as many others
/// each. Daemons need not agree on the choice.
#[must_use]
pub fn choose_partners(
    me: SocketAddr,
    own_domain: &DomainName,
    candidates: &[Candidate],
) -> Partners {
    let mut domains: BTreeMap<Option<&DomainName>, Vec<&Candidate>> = BTreeMap::new();
    let can_relay = |c: &&Candidate| c.address != me && !c.refuses_relay;
    for candidate in candidates.iter().filter(can_relay) {
        domains.entry(candidate.domain.as_ref()).or_default().push(candidate);
    }
    let is_fixed = |c: &&Candidate| c.address != me && (c.is_fixed || c.refuses_relay);
    let fixed = candidates.iter().filter(is_fixed);
    let mut partners: Partners =
        fixed.map(|candidate| (candidate.address, Wanted::Nothing)).collect();
    for (domain, mut members) in domains {
        members.sort_by_key(|member| (rank(me, member.address), member.address));
        let Some(domain) = domain else {
            let unknown = members.iter().take(UNKNOWN_PARTNERS);
            partners.extend(unknown.map(|member| (member.address, Wanted::Nothing)));
            continue;
        };
        // If all known ones of the own domain are partners and answer, they tell their targets themselves. One of them
        // names those that are not known.
        let is_whole = members.len() <= DOMAIN_PARTNERS && members.iter().all(|m| m.is_live);
        let (count, subscriptions, wanted) = match (domain == own_domain, is_whole) {
            (true, true) => (DOMAIN_PARTNERS, 1, Wanted::Daemons),
            (true, false) => (DOMAIN_PARTNERS, DOMAIN_SUBSCRIPTIONS, Wanted::All),
            (false, _) => (RELAYS_PER_DOMAIN, RELAYS_PER_DOMAIN, Wanted::All),
        };
        let mut live = 0;
        for member in members {
            if live >= count {
                break;
            }
            let asked = if live < subscriptions { wanted } else { Wanted::Nothing };
            partners.insert(member.address, asked);
            live += usize::from(member.is_live);
        }
    }
    partners
}

/// Position of a daemon in the order in which `me` takes the daemons of a domain.
fn rank(me: SocketAddr, address: SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new();
    (me, address).hash(&mut hasher);
    hasher.finish()
}
