//! The chosen admission behind the comparison's interface: one dispatcher per failure domain, one
//! client per entry.

use crate::admission::{Admission, Ask, Layout, Note, Step};
use crate::attempt::TargetRefusal;
use crate::client::{self, Client, NewRequest};
use crate::dispatcher::{self, Dispatcher, DispatcherConfig};
use crate::message::{AttemptId, LoadReport, Message, Pool, RequestId, SlotOutcome};
use crate::retry_budget::RetryBudget;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

const SERVICE: ServiceId = ServiceId(1);

/// Dispatchers and clients of all entries.
#[derive(Debug)]
pub struct SoleDispatcher {
    layout: Layout,
    clients: Vec<Client>,
    /// Entry that runs the dispatcher of each pool.
    dispatchers: BTreeMap<Pool, (usize, Dispatcher)>,
    alive: Vec<bool>,
    numbers: BTreeMap<RequestId, u64>,
    running: BTreeMap<u64, AttemptId>,
    epoch: u64,
}

impl SoleDispatcher {
    /// Creates the admission with warm targets.
    #[must_use]
    pub fn new(layout: &Layout, now: Instant) -> Self {
        let client = |(id, domain): &(InstanceId, DomainId)| {
            let mut client = Client::new(*id, Incarnation(1), *domain);
            client.set_budget(SERVICE, RetryBudget::new(layout.profile.retry.clone(), now));
            client
        };
        let mut sole = Self {
            layout: layout.clone(),
            clients: layout.entries.iter().map(client).collect(),
            dispatchers: BTreeMap::new(),
            alive: vec![true; layout.entries.len()],
            numbers: BTreeMap::new(),
            running: BTreeMap::new(),
            epoch: 1,
        };
        let domains: BTreeSet<_> = layout.targets.iter().map(|target| target.domain).collect();
        for domain in domains {
            sole.appoint(now, domain, now, BTreeSet::new());
        }
        sole.announce_dispatchers(now);
        sole.name_witnesses(now);
        sole
    }

    /// Slots that are or may be in use, by the dispatchers' count.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        let of_target = |target: &TargetRecord| {
            let pool = Pool { service: SERVICE, domain: target.domain };
            self.dispatchers.get(&pool).map_or(0, |(_, d)| d.occupied(target.address))
        };
        self.layout.targets.iter().map(of_target).sum()
    }

    fn appoint(
        &mut self,
        now: Instant,
        domain: DomainId,
        lease_ends: Instant,
        failed: BTreeSet<InstanceId>,
    ) {
        let pool = Pool { service: SERVICE, domain };
        let living = |entry: &usize| self.alive[*entry];
        let entries = 0..self.layout.entries.len();
        let own = entries.clone().filter(living).find(|e| self.layout.entries[*e].1 == domain);
        let Some(entry) = own.or_else(|| entries.clone().find(living)) else { return };
        let ids = entries.filter(living).map(|entry| self.layout.entries[entry].0);
        let live = if failed.is_empty() { BTreeSet::new() } else { ids.collect() };
        let targets = self.layout.targets.iter().filter(|target| target.domain == domain).cloned();
        let instance = self.layout.entries[entry].0;
        let profile = self.layout.profile.clone();
        let cfg = DispatcherConfig { pool, instance, epoch: self.epoch, profile };
        let mut dispatcher = Dispatcher::new(cfg, now);
        dispatcher.handle(now, dispatcher::Event::Targets(targets.collect()));
        let cold = BTreeSet::new();
        dispatcher.handle(now, dispatcher::Event::Takeover { lease_ends, live, failed, cold });
        self.dispatchers.insert(pool, (entry, dispatcher));
    }

    /// Names the first other living entry as witness of each dispatcher.
    fn name_witnesses(&mut self, now: Instant) -> Vec<Step> {
        let mut out = Vec::new();
        let own: Vec<_> =
            self.dispatchers.iter().map(|(pool, (entry, _))| (*pool, *entry)).collect();
        for (pool, entry) in own {
            let mut others = (0..self.alive.len()).filter(|e| *e != entry && self.alive[*e]);
            let witness = others.next().map(|other| self.layout.entries[other].0);
            self.dispatcher_event(now, pool, dispatcher::Event::Witness(witness), &mut out);
        }
        out
    }

    fn announce_dispatchers(&mut self, now: Instant) -> Vec<Step> {
        let instance = |(pool, (entry, _)): (&Pool, &(usize, Dispatcher))| {
            (*pool, self.layout.entries[*entry].0)
        };
        let current: BTreeMap<_, _> = self.dispatchers.iter().map(instance).collect();
        let mut out = Vec::new();
        for entry in 0..self.clients.len() {
            let event = client::Event::Dispatchers(current.clone());
            self.client_event(now, entry, event, &mut out);
        }
        out
    }

    fn client_event(
        &mut self,
        now: Instant,
        entry: usize,
        event: client::Event,
        out: &mut Vec<Step>,
    ) {
        let actions = self.clients[entry].handle(now, event);
        self.client_actions(now, entry, actions, out);
    }

    fn client_actions(
        &mut self,
        now: Instant,
        entry: usize,
        actions: Vec<client::Action>,
        out: &mut Vec<Step>,
    ) {
        for action in actions {
            match action {
                client::Action::Send(to, message) => self.send(entry, to, message, out),
                client::Action::Start { attempt, target, .. } => {
                    self.start(now, entry, attempt, target, out);
                }
                client::Action::Finish(id, code) => self.finish(id, code, out),
                client::Action::Abort(_) => {}
            }
        }
    }

    fn start(
        &mut self,
        now: Instant,
        entry: usize,
        attempt: AttemptId,
        target: SocketAddr,
        out: &mut Vec<Step>,
    ) {
        let index = self.layout.targets.iter().position(|record| record.address == target);
        let number = self.numbers.get(&attempt.request).copied();
        let (Some(target), Some(request)) = (index, number) else { return };
        if self.clients[entry].try_begin_write(now, attempt) {
            self.running.insert(request, attempt);
            out.push(Step::Start { entry, request, target });
        }
    }

    fn finish(&mut self, id: RequestId, code: ResultCode, out: &mut Vec<Step>) {
        let Some(request) = self.numbers.remove(&id) else { return };
        self.running.remove(&request);
        if code != ResultCode::Ok {
            out.push(Step::End { request, code });
        }
    }

    fn send(&self, from: usize, to: InstanceId, message: Message, out: &mut Vec<Step>) {
        if let Some(to) = self.layout.entries.iter().position(|(id, _)| *id == to) {
            out.push(Step::Send { from, to, note: Note::Protocol(message) });
        }
    }

    fn dispatcher_event(
        &mut self,
        now: Instant,
        pool: Pool,
        event: dispatcher::Event,
        out: &mut Vec<Step>,
    ) {
        let Some((entry, dispatcher)) = self.dispatchers.get_mut(&pool) else { return };
        let entry = *entry;
        if !self.alive[entry] {
            return;
        }
        for action in dispatcher.handle(now, event) {
            match action {
                dispatcher::Action::Send(to, message) => self.send(entry, to, message, out),
                dispatcher::Action::Report(watchers, report) => {
                    self.send_report(entry, watchers, &report, out);
                }
                dispatcher::Action::TargetCold(_) => {}
            }
        }
    }

    /// Sends a load report to those that watch, and to the entries that act as dispatchers.
    fn send_report(
        &self,
        from: usize,
        mut to: BTreeSet<InstanceId>,
        report: &LoadReport,
        out: &mut Vec<Step>,
    ) {
        let dispatchers = self.dispatchers.values().map(|(entry, _)| *entry);
        to.extend(dispatchers.filter_map(|entry| Some(self.layout.entries.get(entry)?.0)));
        for to in to {
            self.send(from, to, Message::Load(report.clone()), out);
        }
    }

    /// Passes a message to the dispatchers on the receiving entry that it concerns.
    fn pass_to_dispatchers(
        &mut self,
        now: Instant,
        (from, to): (usize, usize),
        message: &Message,
        out: &mut Vec<Step>,
    ) {
        let sender = self.layout.entries[from].0;
        let here = self.dispatchers.iter().filter(|(_, (entry, _))| *entry == to);
        for pool in here.map(|(pool, _)| *pool).collect::<Vec<_>>() {
            let event = dispatcher::Event::Message(sender, message.clone());
            self.dispatcher_event(now, pool, event, out);
        }
    }
}

impl Admission for SoleDispatcher {
    fn name(&self) -> &'static str {
        "dispatcher"
    }

    fn acquire(&mut self, now: Instant, entry: usize, ask: Ask) -> Vec<Step> {
        let (mut actions, mut out) = (Vec::new(), Vec::new());
        let new = NewRequest {
            service: SERVICE,
            priority: self.layout.profile.priority,
            deadline: ask.deadline,
            idempotent: false,
            max_attempts: self.layout.profile.retry.max_attempts,
        };
        let id = self.clients[entry].begin(now, new, &mut actions);
        self.numbers.insert(id, ask.request);
        self.client_actions(now, entry, actions, &mut out);
        out
    }

    fn release(&mut self, now: Instant, entry: usize, ask: Ask, outcome: SlotOutcome) -> Vec<Step> {
        let mut out = Vec::new();
        let Some(attempt) = self.running.remove(&ask.request) else { return out };
        let refusal = TargetRefusal::from_response(503, Some("false"));
        let event = match (outcome, refusal) {
            (SlotOutcome::Answered { .. }, _) => client::Event::Answered(attempt),
            (SlotOutcome::Refused, Some(proof)) => client::Event::TargetRefused(attempt, proof),
            _ => client::Event::ResponseLost(attempt),
        };
        self.client_event(now, entry, event, &mut out);
        out
    }

    fn deliver(&mut self, now: Instant, from: usize, to: usize, note: Note) -> Vec<Step> {
        let mut out = Vec::new();
        let Note::Protocol(message) = note else { return out };
        match message {
            Message::Acquire { .. }
            | Message::Release { .. }
            | Message::Cancel { .. }
            | Message::Watch { .. }
            | Message::HeldGrants { .. }
            | Message::Witnessed { .. } => {
                self.pass_to_dispatchers(now, (from, to), &message, &mut out);
            }
            Message::Load(_) => {
                self.pass_to_dispatchers(now, (from, to), &message, &mut out);
                let event = client::Event::Message(self.layout.entries[from].0, message);
                self.client_event(now, to, event, &mut out);
            }
            message => {
                let event = client::Event::Message(self.layout.entries[from].0, message);
                self.client_event(now, to, event, &mut out);
            }
        }
        out
    }

    fn tick(&mut self, now: Instant) -> Vec<Step> {
        let mut out = Vec::new();
        for pool in self.dispatchers.keys().copied().collect::<Vec<_>>() {
            self.dispatcher_event(now, pool, dispatcher::Event::Tick, &mut out);
        }
        for entry in 0..self.clients.len() {
            if self.alive[entry] {
                self.client_event(now, entry, client::Event::Tick, &mut out);
            }
        }
        out
    }

    fn entry_died(&mut self, _now: Instant, entry: usize) {
        self.alive[entry] = false;
    }

    fn death_found(&mut self, now: Instant, entry: usize, lease_ends: Instant) -> Vec<Step> {
        let dead = self.layout.entries[entry].0;
        let mut out = Vec::new();
        self.epoch += 1;
        for pool in self.dispatchers.keys().copied().collect::<Vec<_>>() {
            let event = dispatcher::Event::EntryFailed(dead);
            self.dispatcher_event(now, pool, event, &mut out);
            if self.dispatchers.get(&pool).is_some_and(|(at, _)| *at == entry) {
                self.appoint(now, pool.domain, lease_ends, BTreeSet::from([dead]));
            }
        }
        out.extend(self.announce_dispatchers(now));
        out.extend(self.name_witnesses(now));
        out
    }
}
