//! Measures what it takes to bring a restarted member up to date after 500 changes, and the size of a
//! snapshot.

use comfreyhold_consensus::durable::{Durable, Snapshot};
use comfreyhold_consensus::message::{Body, Message, Position};
use comfreyhold_consensus::replica::{Action, Event, LogReplica, ReplicaSettings, RequestId};
use comfreyhold_types::declarations::{Content, Publication, TargetBatch, Voter};
use comfreyhold_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// One way between two members.
const STEP: Duration = Duration::from_millis(2);
const CHANGES: u64 = 500;
const MEMBERS: u16 = 3;

/// Traffic to and from one member.
#[derive(Default)]
struct Traffic {
    messages: usize,
    bytes: usize,
    chunks: usize,
}

struct Group {
    nodes: Vec<Option<LogReplica>>,
    durables: Vec<Durable>,
    in_flight: Vec<(InstanceId, Message)>,
    now: Instant,
    keep_entries: u64,
    starts: u64,
}

impl Group {
    fn new(keep_entries: u64, now: Instant) -> Self {
        let count = usize::from(MEMBERS);
        let durables = vec![Durable::default(); count];
        let nodes = (0..count).map(|_| None).collect();
        Self { nodes, durables, in_flight: Vec::new(), now, keep_entries, starts: 0 }
    }

    fn start(&mut self, index: usize) -> Result<(), Box<dyn std::error::Error>> {
        self.starts += 1;
        let id = |index: usize| InstanceId(u16::try_from(index + 1).unwrap_or(u16::MAX));
        let me = Voter { instance: id(index), disk: 100 + index as u64 };
        let members: BTreeSet<InstanceId> = (0..self.nodes.len()).map(id).collect();
        let mut settings = ReplicaSettings::new(me, Incarnation(self.starts), members);
        settings.may_form_voters = true;
        settings.snapshot_every = 100;
        settings.keep_entries = self.keep_entries;
        let rng = StdRng::seed_from_u64(self.starts);
        self.nodes[index] =
            Some(LogReplica::new(settings, self.durables[index].clone(), rng, self.now)?);
        Ok(())
    }

    fn feed(&mut self, index: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let Some(node) = &mut self.nodes[index] else { return };
            for action in node.handle(self.now, event) {
                match action {
                    Action::Send { to, message } => self.in_flight.push((to, message)),
                    Action::Persist { seq, batch } => {
                        self.durables[index].apply(&batch);
                        events.push(Event::Persisted(seq));
                    }
                    _ => {}
                }
            }
        }
    }

    fn step(&mut self, watched: InstanceId, traffic: &mut Traffic) {
        self.now += STEP;
        for (to, message) in std::mem::take(&mut self.in_flight) {
            let index = usize::from(to.0 - 1);
            if (to == watched || message.sender.instance == watched) && self.nodes[index].is_some()
            {
                traffic.messages += 1;
                traffic.bytes += postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
                traffic.chunks += usize::from(matches!(message.body, Body::Chunk { .. }));
            }
            self.feed(index, Event::Message(message));
        }
        for index in 0..self.nodes.len() {
            self.feed(index, Event::Tick);
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |node: &Option<LogReplica>| {
            node.as_ref().is_some_and(|node| node.read_is_current(self.now))
        };
        self.nodes.iter().position(leads)
    }

    fn revision(&self, index: usize) -> Revision {
        self.nodes[index].as_ref().map_or(Revision(0), |node| node.state().revision)
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

fn catch_up(name: &str, keep_entries: u64) -> Result<(), Box<dyn std::error::Error>> {
    let mut group = Group::new(keep_entries, Instant::now());
    let mut ignored = Traffic::default();
    for index in 0..usize::from(MEMBERS) {
        group.start(index)?;
    }
    let leader = loop {
        group.step(InstanceId(0), &mut ignored);
        if let Some(leader) = group.leader() {
            break leader;
        }
    };
    for _ in 0..200 {
        group.step(InstanceId(0), &mut ignored);
    }
    let member = (leader + 1) % usize::from(MEMBERS);
    group.nodes[member] = None;
    for version in 1..=CHANGES {
        let request = RequestId(version);
        group.feed(leader, Event::Propose { request, command: publication(version) });
        for _ in 0..4 {
            group.step(InstanceId(0), &mut ignored);
        }
    }
    let goal = group.revision(leader);
    group.start(member)?;
    let watched = InstanceId(u16::try_from(member + 1)?);
    let mut traffic = Traffic::default();
    let mut steps = 0;
    while group.revision(member) < goal {
        group.step(watched, &mut traffic);
        steps += 1;
    }
    let Traffic { messages, bytes, chunks } = traffic;
    let ms = (STEP * steps).as_millis();
    println!("{name}: {bytes} bytes, {messages} messages, {chunks} parts, {steps} steps = {ms} ms");
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    catch_up("500 changes by log", 1_000)?;
    catch_up("500 changes by snapshot", 0)?;
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
