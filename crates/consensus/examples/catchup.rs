//! Measures the traffic and the time that a restarted member needs to catch up with 500 changes, from the log
//! and from a snapshot, and the size of snapshots.

use comfreyhold_consensus::durable::{DurableState, Snapshot};
use comfreyhold_consensus::message::{Message, MessageBody, Position};
use comfreyhold_consensus::replica::{Action, Event, LogReplica, ReplicaSettings, RequestId};
use comfreyhold_types::declarations::{Content, Publication, TargetBatch, Voter};
use comfreyhold_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// One-way delay between two members.
const LINK_DELAY: Duration = Duration::from_millis(2);
const CHANGE_COUNT: u64 = 500;
const MEMBER_COUNT: u16 = 3;

/// Traffic to and from one member.
#[derive(Default)]
struct Traffic {
    messages: usize,
    bytes: usize,
    chunks: usize,
}

struct SimulatedGroup {
    replicas: Vec<Option<LogReplica>>,
    durable_states: Vec<DurableState>,
    in_flight: Vec<(InstanceId, Message)>,
    now: Instant,
    kept_entries: u64,
    start_count: u64,
}

impl SimulatedGroup {
    fn new(kept_entries: u64, now: Instant) -> Self {
        let count = usize::from(MEMBER_COUNT);
        let durable_states = vec![DurableState::default(); count];
        let replicas = (0..count).map(|_| None).collect();
        Self { replicas, durable_states, in_flight: Vec::new(), now, kept_entries, start_count: 0 }
    }

    fn start(&mut self, index: usize) -> Result<(), Box<dyn std::error::Error>> {
        self.start_count += 1;
        let id = |index: usize| InstanceId(u16::try_from(index + 1).unwrap_or(u16::MAX));
        let me = Voter { instance: id(index), disk: 100 + index as u64 };
        let members: BTreeSet<InstanceId> = (0..self.replicas.len()).map(id).collect();
        let mut settings = ReplicaSettings::new(me, Incarnation(self.start_count), members);
        settings.may_form_voters = true;
        settings.snapshot_interval = 100;
        settings.kept_entries = self.kept_entries;
        let rng = StdRng::seed_from_u64(self.start_count);
        self.replicas[index] =
            Some(LogReplica::new(settings, self.durable_states[index].clone(), rng, self.now)?);
        Ok(())
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let Some(replica) = &mut self.replicas[index] else { return };
            for action in replica.handle(self.now, event) {
                match action {
                    Action::Send { to, message } => self.in_flight.push((to, message)),
                    Action::Persist { seq, batch } => {
                        self.durable_states[index].apply(&batch);
                        events.push(Event::Persisted(seq));
                    }
                    _ => {}
                }
            }
        }
    }

    fn step(&mut self, measured: InstanceId, traffic: &mut Traffic) {
        self.now += LINK_DELAY;
        for (to, message) in std::mem::take(&mut self.in_flight) {
            let index = usize::from(to.0 - 1);
            if (to == measured || message.sender.instance == measured)
                && self.replicas[index].is_some()
            {
                traffic.messages += 1;
                traffic.bytes += postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
                traffic.chunks += usize::from(matches!(message.body, MessageBody::Chunk { .. }));
            }
            self.handle_event(index, Event::Message(message));
        }
        for index in 0..self.replicas.len() {
            self.handle_event(index, Event::Tick);
        }
    }

    fn leader(&self) -> Option<usize> {
        let is_leader = |replica: &Option<LogReplica>| {
            replica.as_ref().is_some_and(|replica| replica.read_is_current(self.now))
        };
        self.replicas.iter().position(is_leader)
    }

    fn revision(&self, index: usize) -> Revision {
        self.replicas[index].as_ref().map_or(Revision(0), |replica| replica.state().revision)
    }
}

fn target(number: u32) -> TargetRecord {
    let address = Ipv4Addr::from(0x0a00_0000 + number);
    TargetRecord {
        service: format!("service-{}", number % 570),
        address: SocketAddr::from((address, 8_080)),
        domain: DomainId(u16::try_from(number % 11).unwrap_or(0)),
        slots: 2,
        incarnation: Incarnation(1_700_000_000_000),
        state: TargetState::Serving,
    }
}

fn publication(version: u64) -> Command {
    let profile = Profile::builder().name("orders").deadline_ms(10 + version).build();
    let content = Content::Profile(profile);
    Command::Publish(Publication { version, operator: "ana".to_owned(), content })
}

fn measure_catch_up(name: &str, kept_entries: u64) -> Result<(), Box<dyn std::error::Error>> {
    let mut group = SimulatedGroup::new(kept_entries, Instant::now());
    let mut unmeasured = Traffic::default();
    for index in 0..usize::from(MEMBER_COUNT) {
        group.start(index)?;
    }
    let leader = loop {
        group.step(InstanceId(0), &mut unmeasured);
        if let Some(leader) = group.leader() {
            break leader;
        }
    };
    for _ in 0..200 {
        group.step(InstanceId(0), &mut unmeasured);
    }
    let member = (leader + 1) % usize::from(MEMBER_COUNT);
    group.replicas[member] = None;
    for version in 1..=CHANGE_COUNT {
        let request = RequestId(version);
        group.handle_event(leader, Event::Propose { request, command: publication(version) });
        for _ in 0..4 {
            group.step(InstanceId(0), &mut unmeasured);
        }
    }
    let final_revision = group.revision(leader);
    group.start(member)?;
    let measured = InstanceId(u16::try_from(member + 1)?);
    let mut traffic = Traffic::default();
    let mut steps = 0;
    while group.revision(member) < final_revision {
        group.step(measured, &mut traffic);
        steps += 1;
    }
    let Traffic { messages, bytes, chunks } = traffic;
    let ms = (LINK_DELAY * steps).as_millis();
    println!("{name}: {bytes} bytes, {messages} messages, {chunks} parts, {steps} steps = {ms} ms");
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    measure_catch_up("500 changes by log", 1_000)?;
    measure_catch_up("500 changes by snapshot", 0)?;
    for count in [10, 430, 4_300] {
        let mut state = Declarations::default();
        let upserts = (0..count).map(target).collect();
        let batch = TargetBatch { upserts, removals: Vec::new() };
        state.apply(Revision(1), &Command::Targets(batch));
        let at = Position { term: Term(1), index: Revision(1) };
        let bytes = Snapshot::encode(at, &state).bytes.len();
        println!("snapshot with {count} targets: {bytes} bytes");
    }
    Ok(())
}
