//! A small entry of deployment S in a burst of its callers, in virtual time: the real scheduler, with modelled callers,
//! targets with spare capacity, and an inbound and an outbound link of the same rate that send in order of arrival.
//!
//! Each burst is played with and without the scheduler. `--nocapture` prints the table of the design note.

#![allow(clippy::unwrap_used, clippy::panic)]

use comfreyhold_flow::cookie::{CallerPacket, Cookie, FlowKey, PacketKind, openings};
use comfreyhold_link::{LinkScheduler, LinkSettings, Next, Offer, PacketMeta, RouteTerms};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const MBPS: f64 = 1.5;
/// Rate of the links, in bytes per second.
const LINK_RATE: f64 = MBPS * 125_000.0;
/// Longest queue of a link; the recorded days show bodies that arrive after 5 s.
const LINK_BUFFER: Duration = Duration::from_secs(5);
/// Bytes of a datagram without data on a link.
const PACKET_BYTES: usize = 70;
/// One-way latency between callers and entries or targets.
const LATENCY: Duration = Duration::from_millis(3);
/// First retransmission of a body, doubled each time.
const BODY_TIMEOUT: Duration = Duration::from_millis(300);
/// Times of the play: even load, a burst, and even load again.
const BURST: std::ops::Range<f64> = 3.0..8.0;
const END_S: f64 = 10.0;
/// Time in which all requests of a play have ended.
const RUN_OUT: Duration = Duration::from_secs(25);

/// Requests of one route at an entry: priority, flows per second, work, bytes of the request, packets of the
/// response, objective and timeout.
struct Kind {
    priority: u8,
    per_s: f64,
    work_ms: u64,
    request: u16,
    response_packets: usize,
    objective_ms: u64,
    timeout_ms: u64,
}

/// The three kinds of deployment S, at one of its 63 entries.
const KINDS: [Kind; 3] = [
    Kind {
        priority: 2,
        per_s: 15.9,
        work_ms: 13,
        request: 100,
        response_packets: 1,
        objective_ms: 250,
        timeout_ms: 2_000,
    },
    Kind {
        priority: 1,
        per_s: 4.5,
        work_ms: 17,
        request: 900,
        response_packets: 1,
        objective_ms: 250,
        timeout_ms: 2_500,
    },
    Kind {
        priority: 2,
        per_s: 1.4,
        work_ms: 4,
        request: 100,
        response_packets: 17,
        objective_ms: 800,
        timeout_ms: 10_000,
    },
];

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A caller sends a packet, unless its flow has gone on.
    Open {
        copy: u32,
    },
    Body {
        wait: Duration,
    },
    Ack {
        ack: u32,
    },
    Finish,
    /// A packet leaves the inbound link, or reaches its target or caller.
    AtEntry(CallerPacket),
    AtTarget(PacketMeta),
    Opened,
    Answered,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    kind: usize,
    start: Duration,
    is_forwarded: bool,
    is_opened: bool,
    has_body: bool,
    answered: Option<Duration>,
    is_refused: bool,
}

/// Numbers of requests that began in the burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    begun: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    unanswered: u32,
}

/// A link that sends in order of arrival.
#[derive(Default)]
struct Fifo {
    free_at: Duration,
}

impl Fifo {
    /// Time at which a packet has passed; `None` if the buffer is full.
    fn send(&mut self, bytes: usize, now: Duration) -> Option<Duration> {
        let start = self.free_at.max(now);
        if start > now + LINK_BUFFER {
            return None;
        }
        self.free_at = start + Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        Some(self.free_at)
    }
}

struct Play {
    epoch: Instant,
    now: Duration,
    events: BTreeMap<(Duration, u64), (usize, Event)>,
    last_event: u64,
    flows: Vec<Flow>,
    inbound: Fifo,
    outbound: Fifo,
    link: Option<LinkScheduler>,
}

impl Play {
    fn new(burst: f64, is_scheduled: bool) -> Self {
        let link = LinkScheduler::new(LinkSettings::from_mbps(MBPS).unwrap().unwrap());
        let mut play = Self {
            epoch: Instant::now(),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            last_event: 0,
            flows: Vec::new(),
            inbound: Fifo::default(),
            outbound: Fifo::default(),
            link: is_scheduled.then_some(link),
        };
        let mut random = StdRng::seed_from_u64(1);
        for (kind, params) in KINDS.iter().enumerate() {
            let mut at = 0.0;
            while at < END_S {
                let factor = if BURST.contains(&at) { burst } else { 1.0 };
                at += -(1.0 - random.random::<f64>()).ln() / (params.per_s * factor);
                let start = Duration::from_secs_f64(at);
                play.flows.push(Flow { kind, start, ..Flow::default() });
                play.at(start, play.flows.len() - 1, Event::Open { copy: 0 });
            }
        }
        play
    }

    fn at(&mut self, time: Duration, flow: usize, event: Event) {
        self.last_event += 1;
        self.events.insert((time, self.last_event), (flow, event));
    }

    fn after(&mut self, wait: Duration, flow: usize, event: Event) {
        self.at(self.now + wait, flow, event);
    }

    /// Runs all events, and the scheduler between them. Returns the outcomes by kind.
    fn run(mut self) -> [Outcome; 3] {
        while let Some((&(time, _), _)) = self.events.first_key_value() {
            self.send_queued(time);
            // The queue may have sent a packet that arrives earlier.
            let Some(((time, _), (flow, event))) = self.events.pop_first() else { break };
            self.now = time;
            if time > RUN_OUT {
                break;
            }
            self.handle(flow, event);
        }
        let mut outcomes = [Outcome::default(); 3];
        for flow in self.flows.iter().filter(|flow| BURST.contains(&flow.start.as_secs_f64())) {
            let (params, outcome) = (&KINDS[flow.kind], &mut outcomes[flow.kind]);
            outcome.begun += 1;
            let took = flow.answered.map(|at| at - flow.start);
            match took {
                Some(took) if took <= Duration::from_millis(params.objective_ms) => {
                    outcome.in_time += 1
                }
                Some(took) if took <= Duration::from_millis(params.timeout_ms) => outcome.late += 1,
                _ if flow.is_refused => outcome.refused += 1,
                _ => outcome.unanswered += 1,
            }
        }
        outcomes
    }

    fn send_queued(&mut self, until: Duration) {
        while let Some(link) = self.link.as_mut() {
            match link.next(self.epoch + self.now) {
                Next::Send(outgoing) => self.send_out(outgoing.meta, outgoing.datagram.len() + 28),
                Next::Wait(wait) if self.now + wait <= until => self.now += wait,
                Next::Wait(_) | Next::Empty => break,
            }
            self.settle_drops();
        }
    }

    fn handle(&mut self, number: usize, event: Event) {
        let flow = self.flows[number].clone();
        let params = &KINDS[flow.kind];
        let is_over =
            flow.is_refused || self.now > flow.start + Duration::from_millis(params.timeout_ms);
        match event {
            Event::Open { copy } if !flow.is_opened && !is_over && copy < 3 => {
                self.send_in(number, PacketKind::Open { copy }, 0, 0);
                let wait = openings::retransmission_timeout(copy);
                self.after(wait, number, Event::Open { copy: copy + 1 });
            }
            Event::Body { wait } if flow.answered.is_none() && !is_over => {
                self.send_in(number, PacketKind::Established, 1, params.request);
                self.after(wait, number, Event::Body { wait: wait * 2 });
            }
            Event::Ack { ack } => self.send_in(number, PacketKind::Established, ack, 0),
            Event::Finish => self.send_in(number, PacketKind::Finish, u32::MAX / 4, 0),
            Event::AtEntry(packet) => self.forward(number, packet),
            Event::AtTarget(meta) if meta.is_reset => self.flows[number].is_refused = true,
            Event::AtTarget(meta) => match meta.packet.kind {
                PacketKind::Open { .. } => self.after(LATENCY, number, Event::Opened),
                PacketKind::Established if meta.packet.data > 0 && !flow.has_body => {
                    self.flows[number].has_body = true;
                    let work = Duration::from_millis(params.work_ms);
                    self.after(work + LATENCY, number, Event::Answered);
                }
                _ => {}
            },
            Event::Opened if !flow.is_opened && !is_over => {
                self.flows[number].is_opened = true;
                self.after(Duration::ZERO, number, Event::Body { wait: BODY_TIMEOUT });
            }
            Event::Answered if !is_over => {
                self.flows[number].answered = Some(self.now);
                for ack in 1..=params.response_packets.div_ceil(2) {
                    self.after(Duration::ZERO, number, Event::Ack { ack: ack as u32 * 2_000 });
                }
                self.after(Duration::ZERO, number, Event::Finish);
            }
            _ => {}
        }
    }

    /// A caller sends a packet through the inbound link.
    fn send_in(&mut self, number: usize, kind: PacketKind, ack: u32, data: u16) {
        let caller = SocketAddrV4::new(Ipv4Addr::from(number as u32 % 64), number as u16);
        let service = Ipv4Addr::new(198, 18, 0, self.flows[number].kind as u8);
        let flow = FlowKey { caller, service: SocketAddrV4::new(service, 443) };
        let packet = CallerPacket { flow, kind, cookie: Cookie(1), seq: 1, ack, data };
        let bytes = PACKET_BYTES - 8 + usize::from(data);
        if let Some(passed) = self.inbound.send(bytes, self.now + LATENCY) {
            self.at(passed, number, Event::AtEntry(packet));
        }
    }

    fn forward(&mut self, number: usize, packet: CallerPacket) {
        let params = &KINDS[self.flows[number].kind];
        let objective = Duration::from_millis(params.objective_ms);
        let terms = RouteTerms { priority: params.priority, objective };
        let now = self.epoch + self.now;
        let meta = PacketMeta::forward(&packet, terms, packet.flow.caller, now);
        let bytes = PACKET_BYTES + usize::from(packet.data);
        let Some(link) = self.link.as_mut() else { return self.send_out(meta, bytes) };
        let is_opening = matches!(packet.kind, PacketKind::Open { .. });
        if is_opening && link.repeats_queued(&packet, now) {
            return;
        }
        let is_new =
            packet.kind == PacketKind::Open { copy: 0 } && !self.flows[number].is_forwarded;
        if is_new && !link.admits(packet.flow.service, terms, now) {
            return self.refuse(packet);
        }
        self.offer(meta, bytes);
    }

    fn refuse(&mut self, packet: CallerPacket) {
        self.offer(PacketMeta::reset(&packet, packet.flow.caller), PACKET_BYTES - 8);
    }

    fn offer(&mut self, meta: PacketMeta, bytes: usize) {
        let now = self.epoch + self.now;
        let Some(link) = self.link.as_mut() else { return };
        match link.offer(meta, &vec![0; bytes - 28], now) {
            Offer::Send => self.send_out(meta, bytes),
            Offer::Dropped(_) if meta.is_refusable(now) => self.refuse(meta.packet),
            Offer::Queued | Offer::Dropped(_) => {}
        }
        self.settle_drops();
    }

    fn settle_drops(&mut self) {
        let now = self.epoch + self.now;
        let drops = self.link.as_mut().map(LinkScheduler::take_drops).unwrap_or_default();
        for drop in drops.iter().filter(|drop| drop.meta.is_refusable(now)) {
            self.refuse(drop.meta.packet);
        }
    }

    /// Sends a packet through the outbound link.
    fn send_out(&mut self, meta: PacketMeta, bytes: usize) {
        let port = usize::from(meta.packet.flow.caller.port());
        let number = (port..self.flows.len()).step_by(65_536).next().unwrap();
        self.flows[number].is_forwarded |= !meta.is_reset;
        if let Some(passed) = self.outbound.send(bytes, self.now) {
            self.at(passed + LATENCY, number, Event::AtTarget(meta));
        }
    }
}

fn total(outcomes: &[Outcome; 3]) -> Outcome {
    outcomes.iter().fold(Outcome::default(), |sum, outcome| Outcome {
        begun: sum.begun + outcome.begun,
        in_time: sum.in_time + outcome.in_time,
        late: sum.late + outcome.late,
        refused: sum.refused + outcome.refused,
        unanswered: sum.unanswered + outcome.unanswered,
    })
}

fn play(burst: f64) -> (Outcome, Outcome) {
    let without = Play::new(burst, false).run();
    let with = Play::new(burst, true).run();
    for (name, outcomes) in [("without", &without), ("with", &with)] {
        println!("x{burst} {name}: {:?}", total(outcomes));
        println!("    urgent kind: {:?}", outcomes[1]);
    }
    (total(&without), total(&with))
}

/// Guards against a scheduler that costs requests while the link has room.
#[test]
fn a_burst_that_the_link_can_carry_is_served_as_without_the_scheduler() {
    for burst in [1.0, 4.0, 7.0, 10.0] {
        let (without, with) = play(burst);
        assert_eq!(without, with, "x{burst}");
    }
}

/// Guards against a link on which every request is late because all are admitted.
#[test]
fn on_a_full_link_more_requests_are_in_time_and_the_others_know_at_once() {
    for burst in [18.0, 25.0, 40.0] {
        let (without, with) = play(burst);
        assert!(with.in_time > without.in_time, "x{burst}");
        assert!(with.unanswered < without.unanswered, "x{burst}");
    }
}
