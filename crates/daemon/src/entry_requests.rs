//! Drives the request side's cores of one entry: the client and the dispatchers that run here.

use crate::context::{Context, lock};
use crate::entry_roles::EntryRoles;
use crate::entry_view::EntryView;
use crate::load_reports::{self, FirstSeen};
use comfreyhold_membership::rollout::FENCE_TIMEOUT;
use comfreyhold_request::client::{self, Client};
use comfreyhold_request::client_event::NewRequest;
use comfreyhold_request::dispatcher::{self, Dispatcher, DispatcherConfig};
use comfreyhold_request::message::{AttemptId, Message, Pool, RequestId};
use comfreyhold_request::retry_budget::RetryBudget;
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::RetryRule;
use comfreyhold_wire::envelope::Topic;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// What a request's task is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Connect to the target and write the request.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The target.
        target: SocketAddr,
        /// Time left to pass on.
        remaining: Duration,
    },
    /// Close the connection of the attempt.
    Abort(AttemptId),
    /// The final result.
    Finish(ResultCode),
}

struct Core {
    client: Client,
    dispatchers: BTreeMap<Pool, Dispatcher>,
    assigned: BTreeMap<Pool, InstanceId>,
    /// When the last load report about each pool arrived.
    reported: BTreeMap<Pool, Instant>,
    /// When this process first saw a target's incarnation.
    first_seen: FirstSeen,
    waiting: BTreeMap<RequestId, mpsc::UnboundedSender<Order>>,
    retry_rules: BTreeMap<ServiceId, RetryRule>,
    /// Targets last passed to each dispatcher.
    given: BTreeMap<Pool, Vec<TargetRecord>>,
    /// Receivers of each dispatcher's load reports beside those that asked for them.
    audiences: BTreeMap<Pool, BTreeSet<InstanceId>>,
    /// Witness last named to each dispatcher.
    witnesses: BTreeMap<Pool, Option<InstanceId>>,
    /// When requests in flight end in domains that are out; `None` once they have.
    withdrawals: BTreeMap<DomainId, Option<Instant>>,
    epoch: u64,
    /// Whether this entry takes the role of a dispatcher.
    dispatching: bool,
    roles: EntryRoles,
    view: Arc<EntryView>,
}

/// The request side of one entry.
pub struct RequestDriver {
    cx: Arc<Context>,
    core: Mutex<Core>,
}

/// Work caused by an event, carried out until nothing is left.
type Work = VecDeque<(InstanceId, Message)>;

impl RequestDriver {
    /// Creates the request side without any service.
    #[must_use]
    pub fn new(cx: Arc<Context>) -> Self {
        let client = Client::new(cx.instance(), cx.incarnation, cx.member.domain);
        let core = Core {
            client,
            dispatchers: BTreeMap::new(),
            assigned: BTreeMap::new(),
            reported: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            waiting: BTreeMap::new(),
            retry_rules: BTreeMap::new(),
            given: BTreeMap::new(),
            audiences: BTreeMap::new(),
            witnesses: BTreeMap::new(),
            withdrawals: BTreeMap::new(),
            epoch: 0,
            dispatching: true,
            roles: EntryRoles::default(),
            view: Arc::default(),
        };
        Self { cx, core: Mutex::new(core) }
    }

    /// Begins a request. Its orders arrive on the returned channel.
    pub fn begin(&self, new: NewRequest) -> (RequestId, mpsc::UnboundedReceiver<Order>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut core = lock(&self.core);
        let mut actions = Vec::new();
        let id = core.client.begin(self.cx.now(), new, &mut actions);
        core.waiting.insert(id, tx);
        self.on_client(&mut core, actions);
        (id, rx)
    }

    /// Asks whether the first byte of an attempt may be written.
    #[must_use]
    pub fn may_write(&self, attempt: AttemptId) -> bool {
        lock(&self.core).client.try_begin_write(self.cx.now(), attempt)
    }

    /// Passes an event of a request's task to the client.
    pub fn event(&self, event: client::Event) {
        let mut core = lock(&self.core);
        let actions = core.client.handle(self.cx.now(), event);
        self.on_client(&mut core, actions);
    }

    /// The caller of a request left. Returns the result that the request is counted as.
    pub fn cancel(&self, request: RequestId) -> ResultCode {
        let mut core = lock(&self.core);
        let orders = core.waiting.remove(&request);
        let now = self.cx.now();
        let actions = core.client.handle(now, client::Event::Cancelled(request));
        let finished = actions.iter().find_map(|action| match action {
            client::Action::Finish(id, code) if *id == request => Some(*code),
            _ => None,
        });
        drop(orders);
        self.on_client(&mut core, actions);
        finished.unwrap_or(ResultCode::CancelledWhileRunning)
    }

    /// Handles a message of another entry.
    pub fn on_message(&self, from: InstanceId, message: Message) {
        let mut core = lock(&self.core);
        let mut work = Work::new();
        self.route(&mut core, from, message, &mut work);
        self.run(&mut core, work);
    }

    /// Handles all timers that are due.
    pub fn tick(&self) {
        let now = self.cx.now();
        let mut core = lock(&self.core);
        if core.client.next_wake().is_some_and(|at| at <= now) {
            let actions = core.client.handle(now, client::Event::Tick);
            self.on_client(&mut core, actions);
        }
        self.end_withdrawn(&mut core, now);
        let due = core.dispatchers.iter().filter(|(_, d)| d.next_wake() <= now);
        let due: Vec<Pool> = due.map(|(pool, _)| *pool).collect();
        for pool in due {
            self.dispatch(&mut core, pool, dispatcher::Event::Tick);
        }
        // One that a successor has fenced is replaced at once: the view may stay as it is for long.
        if core.dispatchers.values().any(Dispatcher::is_stopped) {
            self.update_dispatchers(&mut core, now);
        }
    }

    /// Takes in a new view of the declarations, targets and live entries.
    pub fn update(&self, roles: &EntryRoles, view: &Arc<EntryView>) {
        let now = self.cx.now();
        let mut core = lock(&self.core);
        let old_live = std::mem::replace(&mut core.roles, roles.clone()).live;
        core.view = Arc::clone(view);
        self.update_budgets(&mut core, now);
        self.note_targets(&mut core, now);
        self.update_dispatchers(&mut core, now);
        for entry in old_live.keys().filter(|id| !roles.live.contains_key(id)) {
            self.dispatch_all(&mut core, |_| dispatcher::Event::EntryFailed(*entry));
        }
        self.schedule_withdrawals(&mut core, now);
        let events = [
            client::Event::Isolated(roles.isolated),
            client::Event::DomainsWithdrawn(view.domains_out()),
            client::Event::Dispatchers(core.assigned.clone()),
        ];
        for event in events {
            let actions = core.client.handle(now, event);
            self.on_client(&mut core, actions);
        }
    }

    /// Ends the dispatchers of this entry. Requests that wait at them are sent elsewhere by their entries.
    pub fn stop_dispatching(&self) {
        let mut core = lock(&self.core);
        self.dispatch_all(&mut core, |_| dispatcher::Event::Stop);
        core.dispatchers.clear();
        core.given.clear();
        core.witnesses.clear();
        core.dispatching = false;
    }

    /// Refuses what still waits for a slot; requests that are running go on.
    pub fn stop_waiting(&self) {
        self.event(client::Event::Stopping);
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn open(&self) -> usize {
        lock(&self.core).client.open_requests()
    }

    /// Pools dispatched here, and how many of them grant slots.
    #[must_use]
    pub fn dispatcher_counts(&self) -> (usize, usize) {
        let core = lock(&self.core);
        (core.dispatchers.len(), core.dispatchers.values().filter(|d| d.is_active()).count())
    }

    /// Sets when the requests in flight end in domains that were taken out: at once, or after the time
    /// that the profiles give them to finish.
    fn schedule_withdrawals(&self, core: &mut Core, now: Instant) {
        let out = core.view.domains_out();
        core.withdrawals.retain(|domain, _| out.contains(domain));
        let limit = core.view.withdrawal_limit();
        for domain in out {
            core.withdrawals.entry(domain).or_insert(Some(now + limit));
        }
    }

    fn end_withdrawn(&self, core: &mut Core, now: Instant) {
        let is_due = |at: &Option<Instant>| at.is_some_and(|at| at <= now);
        let due = core.withdrawals.iter_mut().filter(|(_, at)| is_due(at));
        let due: Vec<DomainId> = due
            .map(|(domain, at)| {
                *at = None;
                *domain
            })
            .collect();
        for domain in due {
            let actions = core.client.handle(now, client::Event::EndInFlight(domain));
            self.on_client(core, actions);
        }
    }

    fn update_budgets(&self, core: &mut Core, now: Instant) {
        let view = Arc::clone(&core.view);
        for (service, profile) in view.profiles() {
            if core.retry_rules.get(&service) != Some(&profile.retry) {
                core.retry_rules.insert(service, profile.retry.clone());
                core.client.set_budget(service, RetryBudget::new(profile.retry.clone(), now));
            }
        }
    }

    fn note_targets(&self, core: &mut Core, now: Instant) {
        let view = Arc::clone(&core.view);
        let known: BTreeSet<_> =
            view.usable_targets().map(|target| (target.address, target.incarnation)).collect();
        core.first_seen.retain(|target, _| known.contains(target));
        for target in known {
            core.first_seen.entry(target).or_insert(now);
        }
    }

    fn update_dispatchers(&self, core: &mut Core, now: Instant) {
        let wanted = core.roles.dispatchers(&core.view.pools());
        let before = std::mem::replace(&mut core.assigned, wanted.clone());
        let own = self.cx.instance();
        let ended: Vec<Pool> = core
            .dispatchers
            .iter()
            .filter(|(pool, dispatcher)| wanted.get(pool) != Some(&own) || dispatcher.is_stopped())
            .map(|(pool, _)| *pool)
            .collect();
        for pool in ended {
            self.dispatch(core, pool, dispatcher::Event::Stop);
            core.dispatchers.remove(&pool);
            core.given.remove(&pool);
            core.witnesses.remove(&pool);
            core.audiences.remove(&pool);
        }
        if !core.dispatching {
            return;
        }
        let mine: Vec<Pool> =
            wanted.iter().filter(|(_, id)| **id == own).map(|(pool, _)| *pool).collect();
        for pool in mine {
            if core.dispatchers.contains_key(&pool) {
                self.refresh_dispatcher(core, pool);
            } else {
                self.take_over(core, pool, before.get(&pool).copied(), now);
            }
        }
    }

    fn refresh_dispatcher(&self, core: &mut Core, pool: Pool) {
        let targets = core.view.targets_of(pool);
        let Some(profile) = core.view.profile(pool.service).cloned() else { return };
        let state = core.view.domain_state(pool.domain);
        let audience = load_reports::report_receivers(&core.roles, &core.assigned, pool);
        core.audiences.insert(pool, audience);
        let witness = core.roles.witness(pool);
        if core.witnesses.get(&pool) != Some(&witness) {
            core.witnesses.insert(pool, witness);
            self.dispatch(core, pool, dispatcher::Event::Witness(witness));
        }
        if core.given.get(&pool) != Some(&targets) {
            core.given.insert(pool, targets.clone());
            self.dispatch(core, pool, dispatcher::Event::Targets(targets));
        }
        self.dispatch(core, pool, dispatcher::Event::Profile(Box::new(profile)));
        self.dispatch(core, pool, dispatcher::Event::Domain(state));
    }

    fn take_over(&self, core: &mut Core, pool: Pool, before: Option<InstanceId>, now: Instant) {
        let Some(profile) = core.view.profile(pool.service).cloned() else { return };
        core.epoch = self.cx.epoch().max(core.epoch + 1);
        let fresh = load_reports::is_fresh(core.reported.get(&pool).copied(), now);
        let reported = fresh.then(|| core.client.directory().cold_targets(pool));
        let ramp = Duration::from_millis(profile.cold.ramp_ms);
        let targets = core.view.targets_of(pool);
        let cold = load_reports::cold_targets(&targets, reported, &core.first_seen, now, ramp);
        let cfg =
            DispatcherConfig { pool, instance: self.cx.instance(), epoch: core.epoch, profile };
        core.dispatchers.insert(pool, Dispatcher::new(cfg, now));
        self.refresh_dispatcher(core, pool);
        // An entry that stopped gracefully has ended its dispatchers; any other may grant until its
        // lease ends.
        let handed_over = before.is_some_and(|id| core.roles.has_handed_over(id));
        let lease_ends = if handed_over { now } else { now + FENCE_TIMEOUT };
        let longest = core.view.profile(pool.service).map_or(Duration::ZERO, Profile::deadline);
        let (live, failed) = self.grant_holders(&core.roles, now, longest);
        self.cx.record(
            EventKind::DispatcherTakeover,
            &[
                ("service", pool.service.to_string()),
                ("domain", pool.domain.to_string()),
                ("from", before.map_or_else(|| "none".to_owned(), |id| id.to_string())),
            ],
        );
        let event = dispatcher::Event::Takeover { lease_ends, live, failed, cold };
        self.dispatch(core, pool, event);
    }

    /// Entries to ask for their grants, and entries whose grants can't be known: those that are down and
    /// those that restarted less than the longest deadline ago.
    fn grant_holders(
        &self,
        roles: &EntryRoles,
        now: Instant,
        longest: Duration,
    ) -> (BTreeSet<InstanceId>, BTreeSet<InstanceId>) {
        let restarted = |id: &InstanceId| {
            roles.restarted.get(id).is_some_and(|at| now.saturating_duration_since(*at) < longest)
        };
        let configured = self.cx.settings.with_role(crate::settings::Role::Entry).into_keys();
        let (live, rest): (BTreeSet<_>, BTreeSet<_>) =
            configured.partition(|id| roles.live.contains_key(id) && !restarted(id));
        let failed = rest.into_iter().filter(|id| !roles.left.contains(id)).collect();
        (live, failed)
    }

    /// Entries restarted: grants of their former start are lost.
    pub fn entry_restarted(&self, entry: InstanceId) {
        let mut core = lock(&self.core);
        self.dispatch_all(&mut core, |_| dispatcher::Event::EntryFailed(entry));
    }

    fn route(&self, core: &mut Core, from: InstanceId, message: Message, work: &mut Work) {
        let now = self.cx.now();
        match &message {
            Message::Acquire { pool, .. }
            | Message::Release { pool, .. }
            | Message::Cancel { pool, .. }
            | Message::Watch { pool }
            | Message::HeldGrants { pool, .. }
            | Message::Witnessed { pool, .. } => {
                let pool = *pool;
                match core.dispatchers.get_mut(&pool) {
                    Some(dispatcher) => {
                        let event = dispatcher::Event::Message(from, message);
                        let actions = dispatcher.handle(now, event);
                        self.on_dispatcher(core, actions, work);
                    }
                    None => work.extend(
                        load_reports::answer_without_dispatcher(from, &message)
                            .map(|reply| (from, reply)),
                    ),
                }
            }
            Message::Load(report) => {
                core.reported.insert(report.pool, now);
                let pools: Vec<Pool> = core.dispatchers.keys().copied().collect();
                for pool in pools.into_iter().filter(|p| p.service == report.pool.service) {
                    let event = dispatcher::Event::Message(from, message.clone());
                    let actions = core.dispatchers.get_mut(&pool).map(|d| d.handle(now, event));
                    self.on_dispatcher(core, actions.unwrap_or_default(), work);
                }
                let actions = core.client.handle(now, client::Event::Message(from, message));
                self.queue_client(core, actions, work);
            }
            Message::Grant { .. }
            | Message::Refuse { .. }
            | Message::Released { .. }
            | Message::Witness { .. }
            | Message::Forget { .. }
            | Message::ReportGrants { .. } => {
                let actions = core.client.handle(now, client::Event::Message(from, message));
                self.queue_client(core, actions, work);
            }
            Message::Key(_) => log::error!("a key message reached the request core"),
        }
    }

    /// Delivers messages to this entry itself until none is left; others go to the transport.
    fn run(&self, core: &mut Core, mut work: Work) {
        let own = self.cx.instance();
        while let Some((to, message)) = work.pop_front() {
            if to == own {
                self.route(core, own, message, &mut work);
            } else {
                self.cx.send(to, Topic::Request, &message);
            }
        }
    }

    fn on_client(&self, core: &mut Core, actions: Vec<client::Action>) {
        let mut work = Work::new();
        self.queue_client(core, actions, &mut work);
        self.run(core, work);
    }

    fn queue_client(&self, core: &mut Core, actions: Vec<client::Action>, work: &mut Work) {
        for action in actions {
            match action {
                client::Action::Send(to, message) => work.push_back((to, message)),
                client::Action::Start { attempt, target, remaining, .. } => {
                    let order = Order::Start { attempt, target, remaining };
                    tell(core, attempt.request, order);
                }
                client::Action::Abort(attempt) => {
                    tell(core, attempt.request, Order::Abort(attempt));
                }
                client::Action::Finish(request, code) => {
                    tell(core, request, Order::Finish(code));
                    core.waiting.remove(&request);
                }
            }
        }
    }

    fn dispatch(&self, core: &mut Core, pool: Pool, event: dispatcher::Event) {
        let now = self.cx.now();
        let Some(dispatcher) = core.dispatchers.get_mut(&pool) else { return };
        let actions = dispatcher.handle(now, event);
        let mut work = Work::new();
        self.on_dispatcher(core, actions, &mut work);
        self.run(core, work);
    }

    fn dispatch_all(&self, core: &mut Core, event: impl Fn(Pool) -> dispatcher::Event) {
        let pools: Vec<Pool> = core.dispatchers.keys().copied().collect();
        for pool in pools {
            self.dispatch(core, pool, event(pool));
        }
    }

    fn on_dispatcher(&self, core: &Core, actions: Vec<dispatcher::Action>, work: &mut Work) {
        for action in actions {
            match action {
                dispatcher::Action::Send(to, message) => work.push_back((to, message)),
                dispatcher::Action::Report(mut to, report) => {
                    to.retain(|id| core.roles.live.contains_key(id));
                    to.extend(core.audiences.get(&report.pool).into_iter().flatten());
                    let message = Message::Load(report);
                    work.extend(to.into_iter().map(|id| (id, message.clone())));
                }
                dispatcher::Action::TargetCold(address) => {
                    self.cx.record(EventKind::TargetCold, &[("address", address.to_string())]);
                }
            }
        }
    }
}

fn tell(core: &Core, request: RequestId, order: Order) {
    if let Some(waiting) = core.waiting.get(&request) {
        // The task may have ended with its caller's connection.
        let _ = waiting.send(order);
    }
}
