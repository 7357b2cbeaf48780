//! Which daemons a daemon of a large fleet exchanges heartbeats with.

use comfreyhold_fleet::control::relays::{Candidate, DOMAIN_PARTNERS, choose_partners};
use comfreyhold_fleet::messages::Wanted;
use comfreyhold_types::keys::DomainName;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_902))
}

fn domain(number: u8) -> DomainName {
    DomainName::from(format!("d{}", number % 4).as_str())
}

/// Candidates in four failure domains by turns; the first three are seeds.
fn candidates(count: u8) -> Vec<Candidate> {
    let candidate = |number| Candidate {
        address: address(number),
        domain: Some(domain(number)),
        is_live: true,
        is_fixed: number < 3,
        refuses_relay: false,
    };
    (0..count).map(candidate).collect()
}

/// Guards against a relay of one domain for all others, whose work grows with the fleet.
#[test]
fn the_daemons_of_a_domain_are_relays_for_about_as_many() {
    let all = candidates(80);
    let mut asked: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in (0..80).filter(|number| number % 4 != 1) {
        let partners = choose_partners(address(number), &domain(number), &all);
        let asks = |(other, asks): (&SocketAddr, &Wanted)| {
            let of_domain = all.iter().any(|c| c.address == *other && c.domain == Some(domain(1)));
            (*asks == Wanted::All && of_domain).then_some(*other)
        };
        let relays: Vec<_> = partners.iter().filter_map(asks).collect();
        assert_eq!(relays.len(), 1, "one relay of each other domain");
        *asked.entry(relays[0]).or_default() += 1;
    }
    assert!(asked.len() >= 15, "{asked:?}");
    assert!(asked.values().all(|count| *count <= 9), "{asked:?}");
}

/// Guards against a silent relay that is kept, and against one that is forgotten and not noticed when it is back.
#[test]
fn a_silent_relay_is_followed_by_the_next_one_and_still_asked() {
    let mut all = candidates(40);
    let partners = choose_partners(address(5), &domain(5), &all);
    let relay = |c: &Candidate| {
        c.domain == Some(domain(2)) && partners.get(&c.address) == Some(&Wanted::All)
    };
    let first = all.iter().position(relay).unwrap();
    all[first].is_live = false;
    let with_next = choose_partners(address(5), &domain(5), &all);
    let of_domain: Vec<_> = all
        .iter()
        .filter(|c| c.domain == Some(domain(2)) && with_next.get(&c.address) == Some(&Wanted::All))
        .map(|c| c.is_live)
        .collect();
    assert_eq!(of_domain.len(), 2, "the silent one and the next one");
    assert!(of_domain.contains(&true) && of_domain.contains(&false));
}

/// Guards against a domain that is silent as a whole and is asked through a single daemon.
#[test]
fn all_daemons_of_a_silent_domain_are_asked() {
    let mut all = candidates(40);
    for candidate in all.iter_mut().filter(|c| c.domain == Some(domain(3))) {
        candidate.is_live = false;
    }
    let partners = choose_partners(address(4), &domain(4), &all);
    let silent = all.iter().filter(|c| !c.is_live);
    assert!(silent.clone().count() == 10);
    assert!(silent.map(|c| c.address).all(|address| partners.contains_key(&address)));
}

/// Guards against an old daemon that is taken for a relay: it passes nothing on.
#[test]
fn daemons_of_the_former_version_are_partners_and_no_relays() {
    let mut all = candidates(40);
    for candidate in all.iter_mut().filter(|c| c.domain == Some(domain(2))).take(9) {
        candidate.refuses_relay = true;
    }
    let partners = choose_partners(address(4), &domain(4), &all);
    let of_domain: Vec<_> = all.iter().filter(|c| c.domain == Some(domain(2))).collect();
    for candidate in &of_domain {
        let expected = if candidate.refuses_relay { Wanted::Nothing } else { Wanted::All };
        assert_eq!(partners.get(&candidate.address), Some(&expected), "{candidate:?}");
    }
}

proptest! {
    /// Guards against a choice that leaves a domain without a live daemon, or chooses more than the bound.
    #[test]
    fn every_domain_has_a_partner_and_few_are_chosen(
        live in prop::collection::vec(any::<bool>(), 60),
        known in prop::collection::vec(0..10_u8, 60),
        me in 0..60_u8,
    ) {
        let mut all = candidates(60);
        for (index, candidate) in all.iter_mut().enumerate() {
            candidate.is_live = live[index];
            candidate.domain = candidate.domain.take().filter(|_| known[index] > 0);
        }
        let partners = choose_partners(address(me), &domain(me), &all);
        prop_assert!(!partners.contains_key(&address(me)));
        prop_assert_eq!(&partners, &choose_partners(address(me), &domain(me), &all));
        let others: Vec<_> = all.iter().filter(|c| c.address != address(me)).collect();
        for number in 0..4 {
            let members: Vec<_> =
                others.iter().filter(|c| c.domain == Some(domain(number))).collect();
            let chosen: BTreeSet<_> =
                members.iter().filter(|c| partners.contains_key(&c.address)).collect();
            let live: Vec<_> = members.iter().filter(|c| c.is_live).collect();
            let wanted = if domain(number) == domain(me) { DOMAIN_PARTNERS } else { 1 };
            if live.is_empty() {
                prop_assert_eq!(chosen.len(), members.len());
            } else {
                let live_chosen = chosen.iter().filter(|c| c.is_live && !c.is_fixed).count();
                prop_assert!(live_chosen <= wanted);
                prop_assert!(chosen.iter().any(|c| c.is_live));
            }
        }
        let fixed = others.iter().filter(|c| c.is_fixed);
        prop_assert!(fixed.clone().all(|c| partners.contains_key(&c.address)));
    }
}
