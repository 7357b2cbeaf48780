//! Rules by which the capacity of targets is learned.

#![allow(clippy::unwrap_used)]

mod capacity_support;

use capacity_support::fixture::{cookie, new_balancer, service_address, spec};
use comfreyhold_flow::cookie::capacity::{AnswerTime, Capacity, RETENTION, Sample, UsualAnswer};
use comfreyhold_flow::cookie::directory::AnswerCounts;
use comfreyhold_flow::cookie::{
    Balancer, CallerPacket, Cookie, Directory, FlowKey, PacketKind, TargetKey, Verdict,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const ROUND_TRIP: Duration = Duration::from_millis(6);
const WORK: Duration = Duration::from_millis(20);
const BYTES: u32 = 1_000;
const REFUSAL_BYTES: u32 = 150;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Targets of one service and what one entry learns about them.
struct Fixture {
    capacity: Capacity,
    directory: Directory,
    keys: Vec<TargetKey>,
    now: Instant,
}

impl Fixture {
    fn new(targets: usize) -> Self {
        let (mut directory, now) = (Directory::default(), Instant::now());
        for number in 0..targets {
            directory.upsert(spec(number, 2, 1, now), now);
        }
        let keys = (0..targets).map(|number| directory.find(cookie(number)).unwrap()).collect();
        let mut capacity = Capacity::default();
        capacity.record_handshake(service_address(), ROUND_TRIP);
        Self { capacity, directory, keys, now }
    }

    /// A fixture in which each target has answered evenly for two seconds.
    fn even(targets: usize) -> Self {
        let mut fixture = Self::new(targets);
        fixture.run(20, |_| (WORK, BYTES));
        assert!((0..targets).all(|target| fixture.slots(target) == 2.0));
        fixture
    }

    fn record(&mut self, target: usize, work: Duration, bytes: u32) {
        self.record_at(service_address(), target, AnswerTime::Exactly(work + ROUND_TRIP), bytes);
    }

    fn record_at(&mut self, address: SocketAddrV4, target: usize, time: AnswerTime, bytes: u32) {
        let (target, handshake) = (self.keys[target], ROUND_TRIP);
        let sample = Sample { target, address, time, handshake, bytes, counted_ratio: 0.0 };
        self.capacity.record(&sample, &mut self.directory, self.now);
    }

    /// Lets every target answer once in each of `rounds` rounds of 100 ms.
    fn run(&mut self, rounds: usize, answer: impl Fn(usize) -> (Duration, u32)) {
        for _ in 0..rounds {
            for target in 0..self.keys.len() {
                let (work, bytes) = answer(target);
                self.record(target, work, bytes);
            }
            self.wait(millis(100));
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.capacity.refresh(&mut self.directory, self.now);
    }

    fn slots(&self, target: usize) -> f64 {
        self.directory.get(self.keys[target]).unwrap().effective_slots(self.now)
    }

    fn answered(&self, target: usize) -> AnswerCounts {
        self.directory.get(self.keys[target]).unwrap().answered
    }
}

/// Guards against slots that do not follow the speed: targets with half and twice the work time of the others.
#[test]
fn slots_follow_the_work_time_without_the_round_trip() {
    let mut fixture = Fixture::new(9);
    fixture.run(60, |target| match target {
        0 => (WORK * 2, BYTES),
        1 => (WORK / 2, BYTES),
        _ => (WORK, BYTES),
    });
    assert!((0.9..=1.1).contains(&fixture.slots(0)), "{}", fixture.slots(0));
    assert!((3.6..=4.4).contains(&fixture.slots(1)), "{}", fixture.slots(1));
    assert!((2..9).all(|target| fixture.slots(target) == 2.0));
}

/// Guards against targets that attract load by refusing quickly.
#[test]
fn a_refusal_counts_as_slow_however_quick_it_is() {
    let mut fixture = Fixture::even(9);
    let before = fixture.answered(0);
    fixture.run(
        10,
        |target| {
            if target == 0 { (Duration::ZERO, REFUSAL_BYTES) } else { (WORK, BYTES) }
        },
    );
    assert_eq!(fixture.answered(0).failures, 10);
    assert_eq!(fixture.answered(0).answers, before.answers);
    assert!(fixture.slots(0) < 0.5, "{}", fixture.slots(0));
}

/// Guards against refusals that pass for fast answers because they are nearly as long as answers, and against short
/// answers that count as refusals although the target worked on them.
#[test]
fn refusals_are_told_from_short_answers_by_the_work() {
    let mut fixture = Fixture::even(9);
    fixture.record(0, millis(1), BYTES * 6 / 10);
    assert_eq!(fixture.answered(0).failures, 1);
    fixture.record(1, WORK * 3 / 4, REFUSAL_BYTES);
    assert_eq!(fixture.answered(1).failures, 0);
}

/// Guards against answers of nearly the usual size that count as refusals on a route that often answers quickly.
#[test]
fn quick_answers_are_no_refusals_where_they_are_usual() {
    let mut fixture = Fixture::new(3);
    for round in 0..200 {
        let work = if round % 4 == 0 { Duration::ZERO } else { WORK };
        fixture.record(round % 3, work, BYTES);
        fixture.now += millis(50);
    }
    let before = fixture.answered(0).failures;
    fixture.record(0, Duration::ZERO, BYTES * 6 / 10);
    assert_eq!(fixture.answered(0).failures, before);
}

/// Guards against heavy requests that make a target look slow: one target gets only those of a route with five times
/// the work.
#[test]
fn the_usual_answer_is_that_of_the_route() {
    let heavy = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);
    let mut fixture = Fixture::new(5);
    fixture.capacity.record_handshake(heavy, ROUND_TRIP);
    for _ in 0..40 {
        let time = AnswerTime::Exactly(WORK * 5 + ROUND_TRIP);
        fixture.record_at(heavy, 0, time, BYTES);
        (1..5).for_each(|target| fixture.record(target, WORK, BYTES));
        fixture.wait(millis(100));
    }
    assert!((0..5).all(|target| fixture.slots(target) == 2.0));
}

/// Guards against a usual time that a burst or slow targets drag along: five seconds in which all answers take five
/// times as long, and a third of answers that take eight times as long.
#[test]
fn the_usual_time_withstands_a_surge_and_a_slow_third() {
    let (mut usual, mut now) = (UsualAnswer::default(), Instant::now());
    let (work, mut worst) = (0.020, 0.0_f64);
    for number in 0..2_400 {
        now += millis(10);
        let is_surge = (1_000..1_500).contains(&number);
        let factor = match number % 3 {
            _ if is_surge => 5.0,
            0 if number >= 1_500 => 8.0,
            _ => 1.0,
        };
        usual.record(work * factor, BYTES, now);
        worst = worst.max(usual.seconds().unwrap_or_default());
    }
    assert!(worst < work * 1.1, "{worst}");
}

/// Guards against a service that takes all of its targets out: over half are slow at once, as with a dependency.
#[test]
fn slowness_of_over_half_takes_nothing_out() {
    let mut fixture = Fixture::even(9);
    fixture.run(40, |target| if target < 5 { (WORK * 6, BYTES) } else { (WORK, BYTES) });
    assert!((0..5).all(|target| fixture.slots(target) >= 2.0));
    let mut fixture = Fixture::even(9);
    for _ in 0..200 {
        fixture.run(1, |_| (WORK * 6, BYTES));
        assert!((0..9).all(|target| fixture.slots(target) == 2.0));
    }
}

/// Guards against decisions by chance: fewer than four answers.
#[test]
fn a_few_answers_teach_nothing() {
    let mut fixture = Fixture::even(9);
    fixture.wait(RETENTION);
    for _ in 0..3 {
        fixture.record(0, WORK * 8, BYTES);
    }
    (1..9).for_each(|target| (0..5).for_each(|_| fixture.record(target, WORK, BYTES)));
    fixture.wait(millis(100));
    assert_eq!(fixture.slots(0), 2.0);
}

/// Guards against a target that stays out for ever, or in a new incarnation for the faults of the last one.
#[test]
fn what_was_learned_is_forgotten() {
    let mut fixture = Fixture::even(9);
    fixture.run(20, |target| if target == 0 { (WORK * 8, BYTES) } else { (WORK, BYTES) });
    assert!(fixture.slots(0) < 0.5);
    fixture.directory.upsert(spec(0, 2, 2, fixture.now), fixture.now);
    let fresh = fixture.directory.iter().find(|(_, t)| t.spec.born_ms == 2).unwrap().1;
    assert_eq!(fresh.effective_slots(fixture.now), 2.0);
    // Also while nothing is swept.
    fixture.now += RETENTION;
    assert_eq!(fixture.slots(0), 2.0);
}

/// Guards against slots beyond the bounds, and against broken totals.
#[test]
fn slots_are_bounded_and_broken_totals_ignored() {
    let mut fixture = Fixture::even(9);
    let bad = [f64::NAN, f64::INFINITY, -5.0];
    for ratio_sum in bad {
        let counts = AnswerCounts { answers: 100, ratio_sum, failures: 0 };
        fixture.capacity.record_others(
            fixture.keys[0],
            counts,
            &mut fixture.directory,
            fixture.now,
        );
    }
    fixture.wait(millis(100));
    assert_eq!(fixture.slots(0), 2.0);
    let counts = |answers, ratio_sum| AnswerCounts { answers, ratio_sum, failures: 0 };
    for (target, total) in [(1, counts(10_000, 1e9)), (2, counts(10_000, 0.0))] {
        let key = fixture.keys[target];
        fixture.capacity.record_others(key, total, &mut fixture.directory, fixture.now);
    }
    fixture.wait(millis(100));
    assert!((2.0 / 16.0..0.5).contains(&fixture.slots(1)), "{}", fixture.slots(1));
    assert_eq!(fixture.slots(2), 8.0);
}

/// Guards against an entry that knows less than the others of a service that is used by many entries.
#[test]
fn the_answers_of_other_entries_count() {
    let mut fixture = Fixture::even(9);
    let slow = AnswerCounts { answers: 5, ratio_sum: 40.0, failures: 0 };
    for _ in 0..4 {
        fixture.capacity.record_others(fixture.keys[0], slow, &mut fixture.directory, fixture.now);
        fixture.wait(millis(250));
    }
    assert!(fixture.slots(0) < 0.5);
    // They are not reported as this entry's own.
    assert_eq!(fixture.answered(0).answers, fixture.answered(1).answers);
}

/// Guards against changes that no log shows, and against a line for every refresh.
#[test]
fn a_change_by_a_quarter_is_listed_once() {
    let mut fixture = Fixture::even(9);
    assert!(fixture.capacity.take_changes().is_empty());
    fixture.run(40, |target| if target == 0 { (WORK * 2, BYTES) } else { (WORK, BYTES) });
    let changes = fixture.capacity.take_changes();
    assert!((1..=4).contains(&changes.len()), "{changes:?}");
    assert!(changes.iter().all(|change| change.id.0 == 1 && change.slots == 2));
    let furthest = fixture.capacity.furthest(&fixture.directory, 256, fixture.now);
    assert_eq!(furthest.iter().map(|t| t.id.0).collect::<Vec<_>>(), [1]);
    fixture.run(40, |target| if target == 0 { (WORK * 2, BYTES) } else { (WORK, BYTES) });
    assert!(fixture.capacity.take_changes().is_empty());
}

/// A flow through a real balancer.
struct Flow<'a> {
    balancer: &'a mut Balancer,
    flow: FlowKey,
    cookie: Cookie,
}

impl<'a> Flow<'a> {
    fn open(balancer: &'a mut Balancer, number: u32, now: Instant) -> Self {
        let caller = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + number), 1_025);
        let flow = FlowKey { caller, service: service_address() };
        let mut flow = Self { balancer, flow, cookie: Cookie::default() };
        flow.send(PacketKind::Open { copy: 0 }, (0, 0, 0), now);
        flow
    }

    fn send(&mut self, kind: PacketKind, (seq, ack, data): (u32, u32, u16), now: Instant) {
        let (flow, cookie) = (self.flow, self.cookie);
        let packet = CallerPacket { flow, kind, cookie, seq, ack, data };
        if let Verdict::Forward { cookie, .. } =
            self.balancer.route_packet(&packet, false, Duration::ZERO, now)
        {
            self.cookie = cookie;
        }
    }
}

/// Sends one request on each of 40 flows; afterwards the route is known to have flows with one request.
fn warm_up(balancer: &mut Balancer, start: Instant) -> Instant {
    for number in 0..40 {
        let now = start + millis(40) * number;
        let mut flow = Flow::open(balancer, number, now);
        flow.send(PacketKind::Established, (1, 1, 100), now + ROUND_TRIP);
        flow.send(PacketKind::Finish, (101, 1 + BYTES, 0), now + WORK + ROUND_TRIP * 2);
    }
    start + millis(1_600)
}

fn totals(balancer: &mut Balancer) -> (u32, u32, f64) {
    let taken = balancer.take_answered();
    let sum = |f: fn(&AnswerCounts) -> f64| taken.iter().map(|(_, counts)| f(counts)).sum::<f64>();
    let answers = sum(|counts| f64::from(counts.answers)) as u32;
    let failures = sum(|counts| f64::from(counts.failures)) as u32;
    (answers, failures, sum(|counts| counts.ratio_sum))
}

/// Guards against samples that contain the pause before the caller's next request, and against missed ones.
#[test]
fn only_packets_that_show_the_time_give_samples() {
    let mut balancer = new_balancer(3, 2, true, Instant::now());
    let now = warm_up(&mut balancer, Instant::now());
    let (answers, failures, ratios) = totals(&mut balancer);
    assert!((10..40).contains(&answers) && failures == 0, "{answers} {failures}");
    assert!((ratios / f64::from(answers) - 1.0).abs() < 0.05, "the round trip counts as work");

    let mut flow = Flow::open(&mut balancer, 1_000, now);
    flow.send(PacketKind::Established, (1, 1, 100), now + ROUND_TRIP);
    // An acknowledgement without data shows the time.
    flow.send(PacketKind::Established, (101, 1 + BYTES, 0), now + ROUND_TRIP * 2 + WORK);
    assert_eq!(totals(flow.balancer).0, 1);
    flow.send(PacketKind::Established, (101, 1 + BYTES, 100), now + millis(500));
    // The next request shows only that the last one was answered.
    flow.send(PacketKind::Established, (201, 1 + BYTES * 2, 100), now + millis(900));
    // So does the end of a flow with several requests.
    flow.send(PacketKind::Finish, (301, 1 + BYTES * 3, 0), now + millis(1_500));
    assert_eq!(totals(flow.balancer), (0, 0, 0.0));
}

/// Guards against refusals on open flows that nobody sees, since their acknowledgement comes with the next request.
#[test]
fn a_refusal_shows_with_the_next_request() {
    let mut balancer = new_balancer(3, 2, true, Instant::now());
    let now = warm_up(&mut balancer, Instant::now());
    totals(&mut balancer);
    let mut flow = Flow::open(&mut balancer, 1_000, now);
    flow.send(PacketKind::Established, (1, 1, 100), now + ROUND_TRIP);
    let next = now + ROUND_TRIP * 2 + millis(2);
    flow.send(PacketKind::Established, (101, 1 + REFUSAL_BYTES, 100), next);
    assert_eq!(totals(flow.balancer).1, 1);
}

/// Guards against targets that answer nothing and are not noticed, and against callers that change their mind and
/// count as failures.
#[test]
fn a_missing_answer_is_a_failure_once_it_is_overdue() {
    let mut balancer = new_balancer(3, 2, true, Instant::now());
    let now = warm_up(&mut balancer, Instant::now());
    totals(&mut balancer);
    for (number, ends_after, failures) in [(1_000, WORK, 0), (1_001, WORK * 4, 1)] {
        let mut flow = Flow::open(&mut balancer, number, now);
        flow.send(PacketKind::Established, (1, 1, 100), now + ROUND_TRIP);
        flow.send(PacketKind::Abort, (101, 1, 0), now + ROUND_TRIP * 2 + ends_after);
        assert_eq!(totals(&mut balancer).1, failures);
    }
    // Long before the caller gives up, and only once.
    let mut flow = Flow::open(&mut balancer, 1_002, now);
    flow.send(PacketKind::Established, (1, 1, 100), now + ROUND_TRIP);
    (1..20).for_each(|step| flow.balancer.sweep(now + millis(200) * step));
    flow.send(PacketKind::Abort, (101, 1, 0), now + millis(4_100));
    assert_eq!(totals(&mut balancer).1, 1);
}

/// Guards against a freeze of the entry that counts as slowness of the targets that ran requests at its time: answers
/// and handshakes that are read late, and requests whose answers are still unread.
#[test]
fn a_freeze_of_the_entry_gives_no_samples() {
    let mut balancer = new_balancer(3, 2, true, Instant::now());
    let now = warm_up(&mut balancer, Instant::now());
    totals(&mut balancer);
    balancer.sweep(now);
    let after = now + millis(2_000);
    let late = |balancer: &mut Balancer, flow: FlowKey, cookie, kind, (seq, ack, data)| {
        let packet = CallerPacket { flow, kind, cookie, seq, ack, data };
        balancer.route_packet(&packet, true, Duration::ZERO, after);
    };
    let mut running = Flow::open(&mut balancer, 1_000, now);
    running.send(PacketKind::Established, (1, 1, 100), now + ROUND_TRIP);
    let running = (running.flow, running.cookie);
    let mut unread = Flow::open(&mut balancer, 1_001, now);
    unread.send(PacketKind::Established, (1, 1, 100), now + ROUND_TRIP);
    let opened = Flow::open(&mut balancer, 1_002, now);
    let opened = (opened.flow, opened.cookie);
    let end = (101, 1 + BYTES, 0);
    late(&mut balancer, running.0, running.1, PacketKind::Finish, end);
    late(&mut balancer, opened.0, opened.1, PacketKind::Established, (1, 1, 100));
    balancer.sweep(after);
    let packet = |kind, (seq, ack, data)| CallerPacket {
        flow: opened.0,
        cookie: opened.1,
        kind,
        seq,
        ack,
        data,
    };
    balancer.route_packet(&packet(PacketKind::Finish, end), false, Duration::ZERO, after + WORK);
    assert_eq!(totals(&mut balancer), (0, 0, 0.0));
}

/// Guards against more trials than a slow target's share, and against none: one entry, many openings.
#[test]
fn a_slow_target_gets_a_trial_at_most_once_a_second() {
    let start = Instant::now();
    let mut balancer = new_balancer(10, 2, true, start);
    let counts = |ratio_sum, failures| AnswerCounts { answers: 20, ratio_sum, failures };
    let (mut now, mut trials) = (start, 0);
    for number in 0..10_000 {
        if number % 250 == 0 {
            for target in 0..10 {
                let failures = if target == 0 { 200 } else { 0 };
                balancer.record_others_answers(cookie(target), counts(20.0, failures), now);
            }
            balancer.sweep(now);
        }
        let flow = Flow::open(&mut balancer, number, now);
        trials += u32::from(flow.cookie == cookie(0) && number >= 250);
        now += millis(1);
    }
    assert!((5..=10).contains(&trials), "{trials}");
}

/// Guards against anything learned with the switch off.
#[test]
fn nothing_is_learned_with_the_switch_off() {
    let mut balancer = new_balancer(3, 2, false, Instant::now());
    let now = warm_up(&mut balancer, Instant::now());
    let slow = AnswerCounts { answers: 100, ratio_sum: 100.0, failures: 100 };
    balancer.record_others_answers(cookie(0), slow, now);
    balancer.sweep(now + millis(200));
    assert_eq!(totals(&mut balancer), (0, 0, 0.0));
    assert!(balancer.furthest_from_announced(256, now + millis(200)).is_empty());
}
