//! What the members of the model send and receive. This follows `control/gossip.rs` and `control/relaying.rs`, which do the
//! same with sockets.

use super::{
    Call, DEADLINE, Event, Id, Model, OVERHEAD_BYTES, PEER_TIMEOUT, address, member_at, ms,
};
use comfreyhold_consensus::register::{Ballot, DiskId, Replica};
use comfreyhold_fleet::messages::{ControlState, FleetRequest, FleetResponse, Hello, RelayHello};
use comfreyhold_membership::announcements::{AnnouncementOutcome, Repetition};
use comfreyhold_types::keys::TargetId;
use comfreyhold_wire::envelope::{decode_body, encode_body};
use rand::RngExt;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

impl Model {
    fn state(&mut self, member: Id) -> ControlState {
        let now = self.now;
        let m = &self.members[member];
        let live = m.peers.live(PEER_TIMEOUT, now).map(|(address, _)| address);
        let peers = live.sample(&mut self.rng, 8);
        ControlState {
            is_informed: true,
            replica: Replica { disk: DiskId(m.start.0), address: address(member) },
            domain: m.domain.clone(),
            start: m.start,
            chosen: Ballot { count: 7, proposer: DiskId(1_u64 << 60), ..Ballot::default() },
            targets: m.targets.digests(),
            peers,
        }
    }

    pub(super) fn next_relay(&mut self, member: Id, to: Id) -> RelayHello {
        let (mut state, now) = (self.state(member), self.now);
        state.peers.truncate(2);
        let m = &mut self.members[member];
        let wanted = m.partners.get(&address(to)).copied().unwrap_or_default();
        m.links.next_message(address(to), wanted, state, &m.peers, &m.targets, now)
    }

    pub(super) fn next_hello(&mut self, member: Id, to: Id) -> (Hello, Option<Instant>) {
        let (state, now) = (self.state(member), self.now);
        let m = &mut self.members[member];
        let sent_until = m.peers.set_refreshes_sent_until(&address(to), Some(now));
        let is_unsent = |at: &Instant| sent_until.is_none_or(|sent| *at > sent);
        let ids: Vec<TargetId> =
            m.refreshed.iter().filter(|(_, at)| is_unsent(at)).map(|(id, _)| *id).collect();
        let repeated: Vec<Repetition> = m.targets.repetitions(&ids, now);
        (Hello { state, repeated }, sent_until)
    }

    pub(super) fn call(&mut self, from: Id, to: Id, request: &FleetRequest, call: Call) {
        self.next += 1;
        let number = self.next;
        self.members[from].calls.insert(number, call);
        self.schedule(DEADLINE, Event::Deadline { member: from, call: number });
        let body = encode_body(request).unwrap();
        self.send(from, to, |body| Event::Request { from, to, call: number, body }, body);
    }

    fn send(&mut self, from: Id, to: Id, event: impl FnOnce(Vec<u8>) -> Event, body: Vec<u8>) {
        let traffic = self.traffic.entry(from).or_default();
        traffic.messages += 1;
        traffic.bytes += body.len() as u64 + OVERHEAD_BYTES;
        if to >= self.members.len() || self.is_cut(from, to) || self.rng.random::<f64>() < self.loss
        {
            return;
        }
        let delay = self.rng.random_range(1..6);
        self.schedule(ms(delay), event(body));
    }

    pub(super) fn serve(&mut self, from: Id, to: Id, call: u64, body: &[u8]) {
        let request: FleetRequest = decode_body(body).unwrap();
        let now = self.now;
        let response = match request {
            FleetRequest::Hello(hello) => {
                self.receive_hello(to, hello);
                self.members[to].peers.record_request(&address(from), false, now);
                FleetResponse::Hello(self.next_hello(to, from).0)
            }
            FleetRequest::Relay(message) => {
                if !self.members[to].knows_relays {
                    // Stands for a refusal: no message of the former version has this form.
                    let refusal = encode_body(&FleetResponse::Load(Err(0))).unwrap();
                    let event = |body| Event::Response { from: to, to: from, call, body };
                    return self.send(to, from, event, refusal);
                }
                self.receive_relay(to, &message);
                self.members[to].peers.record_request(&address(from), true, now);
                FleetResponse::Relay(Box::new(self.next_relay(to, from)))
            }
            FleetRequest::Announced(announcements) => {
                for announcement in &announcements {
                    self.members[to].targets.apply(announcement, now);
                }
                self.note_silence(to);
                FleetResponse::Done
            }
            FleetRequest::Announcements(ids) => {
                FleetResponse::Announcements(self.members[to].targets.by_ids(&ids, now))
            }
            other => panic!("unexpected request {other:?}"),
        };
        let body = encode_body(&response).unwrap();
        self.send(to, from, |body| Event::Response { from: to, to: from, call, body }, body);
    }

    pub(super) fn finish(&mut self, from: Id, to: Id, call: u64, body: &[u8]) {
        let Some(call) = self.members[to].calls.remove(&call) else { return };
        match (decode_body(body).unwrap(), call) {
            (FleetResponse::Hello(hello), _) => self.receive_hello(to, hello),
            (FleetResponse::Relay(message), _) => self.receive_relay(to, &message),
            (FleetResponse::Load(Err(_)), _) => {
                self.members[to].peers.record_relay_refusal(&address(from));
                self.send_heartbeat(to, from);
            }
            (FleetResponse::Announcements(found), Call::Fetch { from, ages, received }) => {
                let now = self.now;
                let m = &mut self.members[to];
                for announcement in found {
                    let age = ages[&announcement.id] + (now - received);
                    let outcome = m.targets.apply_aged(&announcement, age, now);
                    if outcome == AnnouncementOutcome::Changed
                        && let Some(state) =
                            m.peers.get(&address(from)).and_then(|p| p.state.clone())
                    {
                        m.links.record_passed_on(
                            announcement.id,
                            address(from),
                            &state.domain,
                            now,
                        );
                    }
                }
                self.note_silence(to);
            }
            _ => {}
        }
    }

    pub(super) fn give_up(&mut self, member: Id, call: u64) {
        if let Some(Call::Heartbeat { to, sent_until }) = self.members[member].calls.remove(&call) {
            self.members[member].peers.set_refreshes_sent_until(&address(to), sent_until);
        }
    }

    fn receive_hello(&mut self, member: Id, hello: Hello) {
        let now = self.now;
        let from = member_at(hello.state.replica.address);
        let unknown = self.members[member].targets.refresh(&hello.repeated, now);
        let ages = unknown.into_iter().map(|id| (id, Duration::ZERO)).collect();
        self.fetch(member, from, ages);
        self.receive_state(member, hello.state);
    }

    fn receive_relay(&mut self, member: Id, message: &RelayHello) {
        let now = self.now;
        let state = message.hello.state.clone();
        let m = &mut self.members[member];
        let received = m.links.receive(message, &mut m.targets, now);
        for (address, relayed) in received.heard {
            m.peers.receive_relayed(address, relayed, now);
        }
        self.fetch(member, member_at(state.replica.address), received.unknown);
        let from = state.replica.address;
        self.receive_state(member, state);
        self.members[member].peers.record_relay(&from, now);
    }

    fn fetch(&mut self, member: Id, from: Id, ages: BTreeMap<TargetId, Duration>) {
        if !ages.is_empty() {
            let request = FleetRequest::Announcements(ages.keys().copied().collect());
            self.call(member, from, &request, Call::Fetch { from, ages, received: self.now });
        }
    }

    fn receive_state(&mut self, member: Id, state: ControlState) {
        let now = self.now;
        let from = state.replica.address;
        let m = &mut self.members[member];
        let digests = m.targets.digests();
        let is_new = m.peers.receive_state(state, &digests, now);
        let differing = m.peers.take_differing(&from);
        let announcements = if is_new {
            let own: Vec<TargetId> = m.refreshed.keys().copied().collect();
            m.targets.for_restarted_daemon(&own, now)
        } else {
            m.targets.in_groups(&differing, now)
        };
        if !announcements.is_empty() {
            let request = FleetRequest::Announced(announcements);
            self.call(member, member_at(from), &request, Call::Other);
        }
        self.note_silence(member);
    }

    /// Drops targets from the silent ones that have been heard again.
    pub(super) fn note_silence(&mut self, member: Id) {
        let (now, targets) = (self.now, &self.members[member].targets);
        let Some(silent) = self.silent.get_mut(&member) else { return };
        silent.retain(|id| targets.by_ids(&[*id], now).is_empty());
    }
}
