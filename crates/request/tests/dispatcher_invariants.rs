//! Invariants of the dispatcher under random sequences of events.

mod common;

use comfreyhold_request::dispatcher::{Dispatcher, Event};
use comfreyhold_request::message::{GrantId, SlotOutcome};
use comfreyhold_types::prelude::*;
use common::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
enum ModelStep {
    Acquire { priority: Priority, remaining: u64 },
    Resend(prop::sample::Index),
    Cancel(prop::sample::Index),
    Release(prop::sample::Index, SlotOutcome),
    Targets(Vec<(u16, u16, u64)>),
    EntryFailed,
    Advance(u64),
}

fn step() -> impl Strategy<Value = ModelStep> {
    let priority = prop::sample::select(vec![Priority::Low, Priority::Normal, Priority::High]);
    let outcome = prop::sample::select(vec![
        SlotOutcome::Answered { took: Duration::from_millis(20) },
        SlotOutcome::Answered { took: Duration::from_millis(3_000) },
        SlotOutcome::Refused,
        SlotOutcome::Failed,
        SlotOutcome::Unknown,
        SlotOutcome::Unused,
    ]);
    let target = (0_u16..4, 1_u16..4, 1_u64..3);
    prop_oneof![
        8 => (priority, 1_u64..4_000)
            .prop_map(|(priority, remaining)| ModelStep::Acquire { priority, remaining }),
        2 => any::<prop::sample::Index>().prop_map(ModelStep::Resend),
        1 => any::<prop::sample::Index>().prop_map(ModelStep::Cancel),
        6 => (any::<prop::sample::Index>(), outcome).prop_map(|(i, o)| ModelStep::Release(i, o)),
        1 => prop::collection::vec(target, 0..5).prop_map(ModelStep::Targets),
        1 => Just(ModelStep::EntryFailed),
        4 => (1_u64..400).prop_map(ModelStep::Advance),
    ]
}

struct Model {
    dispatcher: Dispatcher,
    now: Instant,
    slots: BTreeMap<SocketAddr, u16>,
    /// Grants whose slots must count as in use, with their targets and deadlines.
    held: BTreeMap<GrantId, (SocketAddr, Instant)>,
    requested: BTreeMap<u64, (Priority, Instant)>,
    pending: BTreeSet<u64>,
    final_replies: BTreeMap<u64, Result<(GrantId, SocketAddr), ResultCode>>,
    cancelled: BTreeSet<u64>,
}

impl Model {
    fn new(cold: bool) -> Self {
        let now = Instant::now();
        let profile =
            if cold { Profile::builder().name("orders").build() } else { warm_profile(4) };
        let dispatcher = dispatcher(profile, Vec::new(), now);
        let (slots, held, requested) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (pending, final_replies, cancelled) =
            (BTreeSet::new(), BTreeMap::new(), BTreeSet::new());
        Self { dispatcher, now, slots, held, requested, pending, final_replies, cancelled }
    }

    fn apply(&mut self, step: ModelStep) {
        let numbers: Vec<_> = self.requested.keys().copied().collect();
        let event = match step {
            ModelStep::Acquire { priority, remaining } => {
                let number = numbers.len() as u64;
                self.requested.insert(number, (priority, self.now + ms(remaining)));
                self.pending.insert(number);
                acquire(number, priority, ms(remaining))
            }
            ModelStep::Resend(index) if !numbers.is_empty() => {
                let number = *index.get(&numbers);
                let (priority, deadline) = self.requested[&number];
                if deadline <= self.now {
                    return;
                }
                acquire(number, priority, deadline - self.now)
            }
            ModelStep::Cancel(index) if !numbers.is_empty() => {
                let number = *index.get(&numbers);
                self.cancelled.insert(number);
                self.pending.remove(&number);
                if let Some(Ok((grant, _))) = self.final_replies.get(&number) {
                    self.held.remove(grant);
                }
                cancel(number)
            }
            ModelStep::Release(index, outcome) if !self.held.is_empty() => {
                let grants: Vec<_> = self.held.keys().copied().collect();
                let grant = *index.get(&grants);
                if outcome != SlotOutcome::Unknown {
                    self.held.remove(&grant);
                }
                release(grant, outcome)
            }
            ModelStep::Targets(list) => self.change_targets(&list),
            ModelStep::EntryFailed => {
                self.pending.clear();
                Event::EntryFailed(ENTRY)
            }
            ModelStep::Advance(by) => {
                self.now += ms(by);
                Event::Tick
            }
            _ => return,
        };
        self.handle(event);
    }

    fn change_targets(&mut self, list: &[(u16, u16, u64)]) -> Event {
        self.slots = list.iter().map(|(number, slots, _)| (address(*number), *slots)).collect();
        let record = |(number, slots, incarnation): &(u16, u16, u64)| TargetRecord {
            incarnation: Incarnation(*incarnation),
            ..target(*number, *slots)
        };
        Event::Targets(list.iter().map(record).collect())
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        self.held.retain(|_, (_, deadline)| *deadline > now);
        let actions = self.dispatcher.handle(now, event);
        for (number, reply) in replies(&actions) {
            self.check_reply(number, reply);
        }
    }

    fn check_reply(&mut self, number: u64, reply: Result<(GrantId, SocketAddr), ResultCode>) {
        if self.cancelled.contains(&number) {
            return;
        }
        if let Some(first) = self.final_replies.get(&number) {
            assert_eq!(*first, reply, "attempt {number} got two replies");
            return;
        }
        self.final_replies.insert(number, reply);
        self.pending.remove(&number);
        if let Ok((grant, target)) = reply {
            self.check_grant(number, grant, target);
        }
    }

    fn check_grant(&mut self, number: u64, grant: GrantId, target: SocketAddr) {
        let (priority, deadline) = self.requested[&number];
        for other in &self.pending {
            assert!(
                self.requested[other].0 <= priority,
                "{other} waits, {number} of lower priority starts"
            );
        }
        self.held.insert(grant, (target, deadline));
        let used = self.held.values().filter(|(at, _)| *at == target).count();
        assert!(used <= usize::from(self.slots[&target]), "{used} requests on {target}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against exceeded slot limits, lost or differing replies and inverted priorities, in
    /// any order of events.
    #[test]
    fn slot_limits_replies_and_priorities_hold(
        cold in any::<bool>(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut model = Model::new(cold);
        model.apply(ModelStep::Targets(vec![(0, 2, 1), (1, 1, 1)]));
        for step in steps {
            model.apply(step);
        }
        model.apply(ModelStep::Advance(10_000));
        prop_assert!(model.pending.is_empty(), "no reply: {:?}", model.pending);
    }
}
