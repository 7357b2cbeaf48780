//! Slow targets that show before their answers, and soon after them.

#![allow(clippy::panic, clippy::unwrap_used)]

mod capacity_support;

use capacity_support::fixture::{cookie, new_balancer, service_address, spec};
use comfreyhold_flow::cookie::capacity::{AnswerTime, Capacity, Sample};
use comfreyhold_flow::cookie::directory::AnswerCounts;
use comfreyhold_flow::cookie::{
    Balancer, CallerPacket, Cookie, Directory, FlowKey, PacketKind, Verdict,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const ROUND_TRIP: Duration = Duration::from_millis(6);
const WORK: Duration = Duration::from_millis(20);
const BYTES: u32 = 1_000;

/// Flows after which the route is known to show its answers at once, or late.
const WARM_UP_FLOWS: u32 = 250;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn packet(
    flow: FlowKey,
    cookie: Cookie,
    kind: PacketKind,
    numbers: (u32, u32, u16),
) -> CallerPacket {
    let (seq, ack, data) = numbers;
    CallerPacket { flow, kind, cookie, seq, ack, data }
}

/// Opens a flow and sends its first request after a round trip. Returns the flow with its target's cookie.
fn begin(balancer: &mut Balancer, number: u32, now: Instant) -> (FlowKey, Cookie) {
    let [high, mid, low, _] = (number << 8).to_be_bytes();
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, high, mid, low), 1_024);
    let flow = FlowKey { caller, service: service_address() };
    let open = packet(flow, Cookie::default(), PacketKind::Open { copy: 0 }, (0, 0, 0));
    let verdict = balancer.route_packet(&open, false, Duration::ZERO, now);
    let Verdict::Forward { cookie, .. } = verdict else { panic!("{verdict:?}") };
    let request = packet(flow, cookie, PacketKind::Established, (1, 1, 100));
    balancer.route_packet(&request, false, Duration::ZERO, now + ROUND_TRIP);
    (flow, cookie)
}

/// Acknowledges the whole answer at once, without data, and ends the flow.
fn answer(balancer: &mut Balancer, (flow, cookie): (FlowKey, Cookie), now: Instant) {
    let numbers = (101, 1 + BYTES, 0);
    for kind in [PacketKind::Established, PacketKind::Finish] {
        balancer.route_packet(&packet(flow, cookie, kind, numbers), false, Duration::ZERO, now);
    }
}

/// A balancer whose targets have answered for a while, in time and visibly.
fn warm_balancer(targets: usize) -> (Balancer, Instant) {
    let mut now = Instant::now();
    let mut balancer = new_balancer(targets, 2, true, now);
    for number in 0..WARM_UP_FLOWS {
        let flow = begin(&mut balancer, number, now);
        answer(&mut balancer, flow, now + ROUND_TRIP * 2 + WORK);
        now += millis(40);
        balancer.sweep(now);
    }
    balancer.take_answered();
    (balancer, now)
}

/// Sweeps every 20 ms until a time, as an entry does with its packets.
fn sweep_until(balancer: &mut Balancer, from: Instant, to: Instant) {
    let mut now = from;
    while now < to {
        now = (now + millis(20)).min(to);
        balancer.sweep(now);
    }
}

fn counted(balancer: &mut Balancer) -> AnswerCounts {
    let taken = balancer.take_answered();
    assert!(taken.len() <= 1, "{taken:?}");
    taken.first().map(|(_, counts)| *counts).unwrap_or_default()
}

/// Guards against targets that go on getting openings until their first slow answer, and against requests that count
/// twice: the one that runs counts from four times the usual time on, and its answer adds the rest.
#[test]
fn a_running_request_counts_once_with_the_time_that_it_has_taken() {
    let (mut balancer, start) = warm_balancer(3);
    let flow = begin(&mut balancer, 1_000, start);
    let request = start + ROUND_TRIP;
    sweep_until(&mut balancer, request, request + ROUND_TRIP + WORK * 3);
    assert_eq!(counted(&mut balancer), AnswerCounts::default());
    sweep_until(&mut balancer, request + WORK * 3, request + ROUND_TRIP + WORK * 5);
    let first = counted(&mut balancer);
    assert_eq!((first.answers, first.failures), (1, 0));
    assert!((4.0..=5.5).contains(&first.ratio_sum), "{first:?}");
    sweep_until(&mut balancer, request + WORK * 5, request + ROUND_TRIP + WORK * 10);
    let raised = counted(&mut balancer);
    assert_eq!((raised.answers, raised.failures), (0, 0));
    assert!((8.0..=10.5).contains(&(first.ratio_sum + raised.ratio_sum)), "{raised:?}");
    answer(&mut balancer, flow, request + ROUND_TRIP + WORK * 12);
    let last = counted(&mut balancer);
    assert_eq!((last.answers, last.failures), (0, 0));
    let sum = first.ratio_sum + raised.ratio_sum + last.ratio_sum;
    assert!((11.5..=12.5).contains(&sum), "{sum}");
}

/// Guards against answers that the caller has had long ago and that count as missing: on routes whose answers show only
/// with the next request, running requests say nothing.
#[test]
fn nothing_is_counted_where_answers_show_late() {
    let mut now = Instant::now();
    let mut balancer = new_balancer(3, 2, true, now);
    for number in 0..WARM_UP_FLOWS {
        let (flow, cookie) = begin(&mut balancer, number, now);
        // Half of the answers show at once, so that the usual time is known.
        if number % 2 == 0 {
            answer(&mut balancer, (flow, cookie), now + ROUND_TRIP * 2 + WORK);
        } else {
            let next = packet(flow, cookie, PacketKind::Established, (101, 1 + BYTES, 100));
            balancer.route_packet(&next, false, Duration::ZERO, now + WORK * 3);
            let end = packet(flow, cookie, PacketKind::Finish, (201, 1 + BYTES * 2, 0));
            balancer.route_packet(&end, false, Duration::ZERO, now + WORK * 4);
        }
        now += millis(40);
        balancer.sweep(now);
    }
    balancer.take_answered();
    begin(&mut balancer, 1_000, now);
    sweep_until(&mut balancer, now, now + millis(280));
    assert_eq!(counted(&mut balancer), AnswerCounts::default());
}

/// Guards against a frozen entry that counts the requests whose answers it has not read yet.
#[test]
fn a_freeze_counts_no_running_request() {
    let (mut balancer, start) = warm_balancer(3);
    let flow = begin(&mut balancer, 1_000, start);
    balancer.sweep(start + ROUND_TRIP);
    balancer.sweep(start + millis(2_000));
    assert_eq!(counted(&mut balancer), AnswerCounts::default());
    let (flow, cookie) = flow;
    let end = packet(flow, cookie, PacketKind::Finish, (101, 1 + BYTES, 0));
    balancer.route_packet(&end, true, Duration::ZERO, start + millis(2_000));
    assert_eq!(counted(&mut balancer), AnswerCounts::default());
}

/// Targets of one service and what one entry learns about them, without packets.
struct Fixture {
    capacity: Capacity,
    directory: Directory,
    now: Instant,
}

impl Fixture {
    fn new(targets: usize) -> Self {
        let (mut directory, now) = (Directory::default(), Instant::now());
        for number in 0..targets {
            directory.upsert(spec(number, 2, 1, now), now);
        }
        let mut capacity = Capacity::default();
        capacity.record_handshake(service_address(), ROUND_TRIP);
        Self { capacity, directory, now }
    }

    fn record(&mut self, target: usize, work: Duration) {
        let target = self.directory.find(cookie(target)).unwrap();
        let (address, handshake) = (service_address(), ROUND_TRIP);
        let time = AnswerTime::Exactly(work + ROUND_TRIP);
        let sample = Sample { target, address, time, handshake, bytes: BYTES, counted_ratio: 0.0 };
        self.capacity.record(&sample, &mut self.directory, self.now);
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.capacity.refresh(&mut self.directory, self.now);
    }

    fn slots(&self, target: usize) -> f64 {
        let key = self.directory.find(cookie(target)).unwrap();
        self.directory.get(key).unwrap().effective_slots(self.now)
    }
}

/// Guards against the answers of the last seconds that hide a change: a target that is eight times slower is left after
/// half a second, with five answers.
#[test]
fn a_handful_of_slow_answers_shows_a_change() {
    let mut fixture = Fixture::new(9);
    for _ in 0..80 {
        (0..9).for_each(|target| fixture.record(target, WORK));
        fixture.wait(millis(100));
    }
    for _ in 0..5 {
        (0..9).for_each(|target| fixture.record(target, if target == 0 { WORK * 8 } else { WORK }));
        fixture.wait(millis(100));
    }
    assert!(fixture.slots(0) < 1.0, "{}", fixture.slots(0));
    assert!((1..9).all(|target| fixture.slots(target) == 2.0));
}

/// Guards against even targets that count as slow because some of their requests are heavy: work times that are
/// distributed exponentially, which have a spread of 1.
#[test]
fn heavy_requests_make_no_even_target_slow() {
    let (mut fixture, mut rng) = (Fixture::new(20), StdRng::seed_from_u64(1));
    let (mut slow, mut checks) = (0, 0);
    for round in 0..3_000 {
        for target in 0..20 {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            fixture.record(target, WORK.mul_f64(-uniform.ln()));
        }
        fixture.wait(millis(100));
        if round >= 100 {
            slow += (0..20).filter(|target| fixture.slots(*target) < 1.0).count();
            checks += 20;
        }
    }
    // The chance of a deviation by three standard errors.
    assert!(slow * 370 <= checks, "{slow} of {checks}");
}
