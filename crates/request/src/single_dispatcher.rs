//! The admission policy of the daemons behind the comparison's interface: one dispatcher per
//! failure domain and one client per entry.

use crate::admission::{AdmissionAction, AdmissionPolicy, EntryMessage, Layout, SlotRequest};
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

/// Policy with a single dispatcher for each failure domain. Holds the dispatchers and clients of
/// all entries.
#[derive(Debug)]
pub struct SingleDispatcher {
    layout: Layout,
    clients: Vec<Client>,
    /// Dispatcher of each pool, with the index of the entry that runs it.
    dispatchers: BTreeMap<Pool, (usize, Dispatcher)>,
    alive: Vec<bool>,
    request_numbers: BTreeMap<RequestId, u64>,
    running: BTreeMap<u64, AttemptId>,
    epoch: u64,
}

impl SingleDispatcher {
    /// Creates the policy with warm targets.
    #[must_use]
    pub fn new(layout: &Layout, now: Instant) -> Self {
        let client = |(id, domain): &(InstanceId, DomainId)| {
            let mut client = Client::new(*id, Incarnation(1), *domain);
            client.set_budget(SERVICE, RetryBudget::new(layout.profile.retry.clone(), now));
            client
        };
        let mut policy = Self {
            layout: layout.clone(),
            clients: layout.entries.iter().map(client).collect(),
            dispatchers: BTreeMap::new(),
            alive: vec![true; layout.entries.len()],
            request_numbers: BTreeMap::new(),
            running: BTreeMap::new(),
            epoch: 1,
        };
        let domains: BTreeSet<_> = layout.targets.iter().map(|target| target.domain).collect();
        for domain in domains {
            policy.start_dispatcher(now, domain, now, BTreeSet::new());
        }
        policy.announce_dispatchers(now);
        policy.assign_witnesses(now);
        policy
    }

    /// Number of slots that are or may be in use according to the dispatchers.
    #[must_use]
    pub fn occupied_slots(&self) -> u32 {
        let of_target = |target: &TargetRecord| {
            let pool = Pool { service: SERVICE, domain: target.domain };
            self.dispatchers.get(&pool).map_or(0, |(_, d)| d.occupied_slots(target.address))
        };
        self.layout.targets.iter().map(of_target).sum()
    }

    fn start_dispatcher(
        &mut self,
        now: Instant,
        domain: DomainId,
        lease_ends: Instant,
        failed: BTreeSet<InstanceId>,
    ) {
        let pool = Pool { service: SERVICE, domain };
        let is_alive = |entry: &usize| self.alive[*entry];
        let entries = 0..self.layout.entries.len();
        let in_domain =
            entries.clone().filter(is_alive).find(|e| self.layout.entries[*e].1 == domain);
        let Some(entry) = in_domain.or_else(|| entries.clone().find(is_alive)) else { return };
        let ids = entries.filter(is_alive).map(|entry| self.layout.entries[entry].0);
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

    /// Assigns the first other live entry as the witness of each dispatcher.
    fn assign_witnesses(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        let assigned: Vec<_> =
            self.dispatchers.iter().map(|(pool, (entry, _))| (*pool, *entry)).collect();
        for (pool, entry) in assigned {
            let mut others = (0..self.alive.len()).filter(|e| *e != entry && self.alive[*e]);
            let witness = others.next().map(|other| self.layout.entries[other].0);
            self.dispatcher_event(now, pool, dispatcher::Event::Witness(witness), &mut out);
        }
        out
    }

    fn announce_dispatchers(&mut self, now: Instant) -> Vec<AdmissionAction> {
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
        out: &mut Vec<AdmissionAction>,
    ) {
        let actions = self.clients[entry].handle(now, event);
        self.client_actions(now, entry, actions, out);
    }

    fn client_actions(
        &mut self,
        now: Instant,
        entry: usize,
        actions: Vec<client::Action>,
        out: &mut Vec<AdmissionAction>,
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
        out: &mut Vec<AdmissionAction>,
    ) {
        let index = self.layout.targets.iter().position(|record| record.address == target);
        let number = self.request_numbers.get(&attempt.request).copied();
        let (Some(target), Some(request)) = (index, number) else { return };
        if self.clients[entry].try_begin_write(now, attempt) {
            self.running.insert(request, attempt);
            out.push(AdmissionAction::Start { entry, request, target });
        }
    }

    fn finish(&mut self, id: RequestId, code: ResultCode, out: &mut Vec<AdmissionAction>) {
        let Some(request) = self.request_numbers.remove(&id) else { return };
        self.running.remove(&request);
        if code != ResultCode::Ok {
            out.push(AdmissionAction::End { request, code });
        }
    }

    fn send(&self, from: usize, to: InstanceId, message: Message, out: &mut Vec<AdmissionAction>) {
        if let Some(to) = self.layout.entries.iter().position(|(id, _)| *id == to) {
            out.push(AdmissionAction::Send { from, to, message: EntryMessage::Protocol(message) });
        }
    }

    fn dispatcher_event(
        &mut self,
        now: Instant,
        pool: Pool,
        event: dispatcher::Event,
        out: &mut Vec<AdmissionAction>,
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

    /// Sends a load report to the watching entries and to the entries that run dispatchers.
    fn send_report(
        &self,
        from: usize,
        mut to: BTreeSet<InstanceId>,
        report: &LoadReport,
        out: &mut Vec<AdmissionAction>,
    ) {
        let dispatchers = self.dispatchers.values().map(|(entry, _)| *entry);
        to.extend(dispatchers.filter_map(|entry| Some(self.layout.entries.get(entry)?.0)));
        for to in to {
            self.send(from, to, Message::Load(report.clone()), out);
        }
    }

    /// Passes a message to all dispatchers on the receiving entry; they ignore messages for other
    /// pools.
    fn pass_to_dispatchers(
        &mut self,
        now: Instant,
        (from, to): (usize, usize),
        message: &Message,
        out: &mut Vec<AdmissionAction>,
    ) {
        let sender = self.layout.entries[from].0;
        let local = self.dispatchers.iter().filter(|(_, (entry, _))| *entry == to);
        for pool in local.map(|(pool, _)| *pool).collect::<Vec<_>>() {
            let event = dispatcher::Event::Message(sender, message.clone());
            self.dispatcher_event(now, pool, event, out);
        }
    }
}

impl AdmissionPolicy for SingleDispatcher {
    fn name(&self) -> &'static str {
        "dispatcher"
    }

    fn acquire(
        &mut self,
        now: Instant,
        entry: usize,
        slot_request: SlotRequest,
    ) -> Vec<AdmissionAction> {
        let (mut actions, mut out) = (Vec::new(), Vec::new());
        let params = NewRequest {
            service: SERVICE,
            priority: self.layout.profile.priority,
            deadline: slot_request.deadline,
            idempotent: false,
            max_attempts: self.layout.profile.retry.max_attempts,
        };
        let id = self.clients[entry].begin(now, params, &mut actions);
        self.request_numbers.insert(id, slot_request.request);
        self.client_actions(now, entry, actions, &mut out);
        out
    }

    fn release(
        &mut self,
        now: Instant,
        entry: usize,
        slot_request: SlotRequest,
        outcome: SlotOutcome,
    ) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        let Some(attempt) = self.running.remove(&slot_request.request) else { return out };
        let refusal = TargetRefusal::from_response(503, Some("false"));
        let event = match (outcome, refusal) {
            (SlotOutcome::Answered { .. }, _) => client::Event::Answered(attempt),
            (SlotOutcome::Refused, Some(proof)) => client::Event::TargetRefused(attempt, proof),
            _ => client::Event::ResponseLost(attempt),
        };
        self.client_event(now, entry, event, &mut out);
        out
    }

    fn deliver(
        &mut self,
        now: Instant,
        from: usize,
        to: usize,
        message: EntryMessage,
    ) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        let EntryMessage::Protocol(message) = message else { return out };
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

    fn tick(&mut self, now: Instant) -> Vec<AdmissionAction> {
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

    fn on_entry_death(&mut self, _now: Instant, entry: usize) {
        self.alive[entry] = false;
    }

    fn on_death_detected(
        &mut self,
        now: Instant,
        entry: usize,
        lease_ends: Instant,
    ) -> Vec<AdmissionAction> {
        let dead = self.layout.entries[entry].0;
        let mut out = Vec::new();
        self.epoch += 1;
        for pool in self.dispatchers.keys().copied().collect::<Vec<_>>() {
            let event = dispatcher::Event::EntryFailed(dead);
            self.dispatcher_event(now, pool, event, &mut out);
            if self.dispatchers.get(&pool).is_some_and(|(at, _)| *at == entry) {
                self.start_dispatcher(now, pool.domain, lease_ends, BTreeSet::from([dead]));
            }
        }
        out.extend(self.announce_dispatchers(now));
        out.extend(self.assign_witnesses(now));
        out
    }
}
