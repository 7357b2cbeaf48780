//! A model of control daemons in virtual time. Each member decides by the code of the product, and the messages are
//! encoded as between processes. The network has delays, partitions and losses; members can be frozen or end.

mod protocol;

use comfreyhold_fleet::control::peers::Peers;
use comfreyhold_fleet::control::relay_links::RelayLinks;
use comfreyhold_fleet::control::relays::{Partners, choose_partners};
use comfreyhold_fleet::messages::{FleetRequest, IncarnationId};
use comfreyhold_membership::announcements::{AnnouncementOutcome, Announcements};
use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::keys::{DomainName, TargetId};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

/// Intervals and timeouts of the product.
const HEARTBEAT: Duration = Duration::from_millis(450);
const OVERDUE: Duration = Duration::from_millis(900);
const DEADLINE: Duration = Duration::from_millis(800);
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
const RELAY_ALLOWANCE: Duration = Duration::from_millis(2_500);
const LARGE_FLEET: usize = 12;
const SEEDS: usize = 3;

/// Interval at which targets announce themselves.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of a message beside its body, as in docs/CAPACITY.md.
const OVERHEAD_BYTES: u64 = 64;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Number of a member.
pub type Id = usize;

pub fn address(member: Id) -> SocketAddr {
    let [high, low] = u16::try_from(member).unwrap().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_902))
}

fn member_at(address: SocketAddr) -> Id {
    let SocketAddr::V4(address) = address else { unreachable!("IPv4") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

#[derive(Debug)]
enum Event {
    Tick(Id, IncarnationId),
    Request { from: Id, to: Id, call: u64, body: Vec<u8> },
    Response { from: Id, to: Id, call: u64, body: Vec<u8> },
    Deadline { member: Id, call: u64 },
    Announce(TargetId),
}

/// What a member waits for.
#[derive(Clone, Debug)]
enum Call {
    Heartbeat { to: Id, sent_until: Option<Instant> },
    Fetch { from: Id, ages: BTreeMap<TargetId, Duration>, received: Instant },
    Other,
}

pub struct Member {
    pub domain: DomainName,
    pub start: IncarnationId,
    pub peers: Peers,
    pub links: RelayLinks,
    pub targets: Announcements,
    pub partners: Partners,
    pub is_alive: bool,
    pub is_frozen: bool,
    /// Whether it knows the heartbeats of large fleets.
    pub knows_relays: bool,
    refreshed: BTreeMap<TargetId, Instant>,
    calls: BTreeMap<u64, Call>,
    unread: Vec<Event>,
}

/// Messages and bytes sent since the start of the count.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

pub struct Model {
    pub now: Instant,
    pub members: Vec<Member>,
    pub targets: BTreeMap<TargetId, Announcement>,
    /// Targets that do not announce themselves any more.
    pub ended: BTreeSet<TargetId>,
    pub traffic: BTreeMap<Id, Traffic>,
    /// Targets that members count as silent, by member.
    pub silent: BTreeMap<Id, BTreeSet<TargetId>>,
    /// Pairs of groups that can't reach each other.
    pub cuts: Vec<(BTreeSet<Id>, BTreeSet<Id>)>,
    pub loss: f64,
    events: BTreeMap<(Instant, u64), Event>,
    next: u64,
    pub rng: StdRng,
}

impl Model {
    /// Creates a model of members in failure domains by turns, which know the seeds only.
    pub fn new(members: usize, domains: usize, targets: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut model = Self {
            now,
            members: Vec::new(),
            targets: BTreeMap::new(),
            ended: BTreeSet::new(),
            traffic: BTreeMap::new(),
            silent: BTreeMap::new(),
            cuts: Vec::new(),
            loss: 0.0,
            events: BTreeMap::new(),
            next: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for member in 0..members {
            let domain = DomainName::from(format!("d{}", member % domains).as_str());
            let started = model.new_member(member, domain);
            model.members.push(started);
            let delay = model.rng.random_range(0..450);
            let start = model.members[member].start;
            model.schedule(ms(delay), Event::Tick(member, start));
        }
        for number in 1..=targets {
            let target = model.new_target(number, domains);
            let delay = model.rng.random_range(0..1_000);
            model.schedule(ms(delay), Event::Announce(target.id));
            model.targets.insert(target.id, target);
        }
        model
    }

    fn new_target(&mut self, number: usize, domains: usize) -> Announcement {
        let [high, low] = u16::try_from(number).unwrap().to_be_bytes();
        Announcement {
            id: TargetId(number as u64),
            stamp: AnnouncementStamp { born_ms: 1_764_000_000_000, sequence: 0 },
            service: "orders".to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 80),
            domain: DomainName::from(format!("d{}", number % domains).as_str()),
            slots: 2,
            availability: Availability::Serving,
            cold_ms: 0,
        }
    }

    fn new_member(&mut self, member: Id, domain: DomainName) -> Member {
        let start = IncarnationId(self.rng.random());
        let seeds: Vec<SocketAddr> = (0..SEEDS).map(address).collect();
        let mut targets = Announcements::new(ANNOUNCE_INTERVAL * 3);
        targets.add_services(["orders"], self.now);
        Member {
            peers: Peers::new(address(member), &seeds, self.now),
            links: RelayLinks::new(start, domain.clone(), self.now),
            targets,
            domain,
            start,
            partners: Partners::new(),
            is_alive: true,
            is_frozen: false,
            knows_relays: true,
            refreshed: BTreeMap::new(),
            calls: BTreeMap::new(),
            unread: Vec::new(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.events.insert((self.now + after, self.next), event);
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= until
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
    }

    /// Ends a member.
    pub fn kill(&mut self, member: Id) {
        self.members[member].is_alive = false;
    }

    /// Starts a member with an empty memory, in place of the former one at its address.
    pub fn restart(&mut self, member: Id, domain: DomainName) {
        let knows_relays = self.members[member].knows_relays;
        let started = self.new_member(member, domain);
        self.members[member] = Member { knows_relays, ..started };
        self.silent.remove(&member);
        let start = self.members[member].start;
        self.schedule(Duration::ZERO, Event::Tick(member, start));
    }

    pub fn freeze(&mut self, member: Id) {
        self.members[member].is_frozen = true;
    }

    /// Lets a frozen member go on. It reads all that has arrived meanwhile.
    pub fn thaw(&mut self, member: Id) {
        self.members[member].is_frozen = false;
        for event in std::mem::take(&mut self.members[member].unread) {
            self.handle(event);
        }
    }

    /// Changes a target, which announces that to a member at once.
    pub fn change(&mut self, id: TargetId, availability: Availability) {
        let target = self.targets.get_mut(&id).unwrap();
        target.availability = availability;
        if availability == Availability::Ended {
            self.ended.insert(id);
        }
        self.announce(id);
    }

    pub fn live(&self) -> Vec<Id> {
        let is_live = |member: &Id| self.members[*member].is_alive;
        (0..self.members.len()).filter(is_live).collect()
    }

    fn is_cut(&self, a: Id, b: Id) -> bool {
        let is_between = |(left, right): &(BTreeSet<Id>, BTreeSet<Id>)| {
            (left.contains(&a) && right.contains(&b)) || (left.contains(&b) && right.contains(&a))
        };
        self.cuts.iter().any(is_between)
    }

    fn handle(&mut self, event: Event) {
        let reader = match &event {
            Event::Tick(member, start) => {
                if self.members[*member].start != *start {
                    return;
                }
                *member
            }
            Event::Request { to, .. } | Event::Response { to, .. } => *to,
            Event::Deadline { member, .. } => *member,
            Event::Announce(id) => return self.announce_next(*id),
        };
        if !self.members[reader].is_alive {
            return;
        }
        if self.members[reader].is_frozen {
            self.members[reader].unread.push(event);
            return;
        }
        match event {
            Event::Tick(member, _) => self.tick(member),
            Event::Request { from, to, call, body } => self.serve(from, to, call, &body),
            Event::Response { from, to, call, body } => self.finish(from, to, call, &body),
            Event::Deadline { member, call } => self.give_up(member, call),
            Event::Announce(_) => {}
        }
    }

    /// Lets a target that has fallen silent announce itself again.
    pub fn revive(&mut self, id: TargetId) {
        self.ended.remove(&id);
        self.announce_next(id);
    }

    fn announce_next(&mut self, id: TargetId) {
        if self.ended.contains(&id) {
            return;
        }
        self.schedule(ANNOUNCE_INTERVAL, Event::Announce(id));
        self.announce(id);
    }

    /// A target announces itself to a member of its failure domain that answers.
    pub fn announce(&mut self, id: TargetId) {
        let domain = self.targets[&id].domain.clone();
        let can_answer = |m: &Member| m.is_alive && !m.is_frozen && m.domain == domain;
        let members = self.members.iter().enumerate().filter(|(_, m)| can_answer(m));
        let Some((member, _)) = members.choose(&mut self.rng) else { return };
        self.announce_to(id, member);
    }

    pub fn announce_to(&mut self, id: TargetId, member: Id) {
        let target = self.targets.get_mut(&id).unwrap();
        target.stamp.sequence += 1;
        let (announcement, now) = (target.clone(), self.now);
        let receiver = &mut self.members[member];
        match receiver.targets.apply(&announcement, now) {
            AnnouncementOutcome::Changed => {
                receiver.refreshed.insert(id, now);
                receiver.links.record_own(id, now);
                let live: Vec<Id> =
                    receiver.peers.live(PEER_TIMEOUT, now).map(|(a, _)| member_at(a)).collect();
                for other in live {
                    let request = FleetRequest::Announced(vec![announcement.clone()]);
                    self.call(member, other, &request, Call::Other);
                }
            }
            AnnouncementOutcome::Refreshed => {
                receiver.refreshed.insert(id, now);
                receiver.links.record_own(id, now);
            }
            AnnouncementOutcome::Stale | AnnouncementOutcome::Held => {}
        }
        self.note_silence(member);
    }

    fn tick(&mut self, member: Id) {
        let (now, start) = (self.now, self.members[member].start);
        self.schedule(HEARTBEAT, Event::Tick(member, start));
        let m = &mut self.members[member];
        let is_large = m.knows_relays && m.peers.count() >= LARGE_FLEET;
        m.partners = if is_large {
            let candidates = m.peers.candidates(&BTreeSet::new(), now);
            choose_partners(address(member), &m.domain, &candidates)
        } else {
            Partners::new()
        };
        let allowance = if is_large { RELAY_ALLOWANCE } else { Duration::ZERO };
        m.targets.set_timeout(ANNOUNCE_INTERVAL * 3 + allowance);
        let due = if is_large {
            m.peers.take_partner_heartbeats_due(&m.partners, HEARTBEAT, OVERDUE, now)
        } else {
            m.peers.take_heartbeats_due(HEARTBEAT, OVERDUE, now)
        };
        m.peers.forget(&BTreeSet::new(), now);
        m.links.drop_old(&m.peers, now);
        m.refreshed.retain(|_, refreshed| now < *refreshed + PEER_TIMEOUT);
        let silent = m.targets.check_timeouts(now);
        self.silent.entry(member).or_default().extend(silent);
        for to in due {
            self.send_heartbeat(member, member_at(to));
        }
    }

    fn send_heartbeat(&mut self, member: Id, to: Id) {
        let m = &self.members[member];
        let is_waiting =
            |call: &Call| matches!(call, Call::Heartbeat { to: other, .. } if *other == to);
        if m.calls.values().any(is_waiting) {
            return;
        }
        let is_relay =
            m.partners.contains_key(&address(to)) && !m.peers.refuses_relay(&address(to));
        if is_relay {
            let message = self.next_relay(member, to);
            let call = Call::Heartbeat { to, sent_until: None };
            self.call(member, to, &FleetRequest::Relay(Box::new(message)), call);
        } else {
            let (hello, sent_until) = self.next_hello(member, to);
            let call = Call::Heartbeat { to, sent_until };
            self.call(member, to, &FleetRequest::Hello(hello), call);
        }
    }
}
