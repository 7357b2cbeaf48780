//! Drives the request cores of one entry: the client, and the dispatchers assigned to this entry.

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

/// Command from the client core to the task of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskCommand {
    /// Connect to the target and write the request.
    Start {
        /// Attempt that the events of this connection refer to.
        attempt: AttemptId,
        /// Target to connect to.
        target: SocketAddr,
        /// Time until the request's deadline, which is sent to the target.
        remaining: Duration,
    },
    /// Close the connection of the attempt.
    Abort(AttemptId),
    /// The request has ended with this result.
    Finish(ResultCode),
}

struct Core {
    client: Client,
    dispatchers: BTreeMap<Pool, Dispatcher>,
    /// Dispatcher of each pool, in the current view.
    assigned: BTreeMap<Pool, InstanceId>,
    /// When the last load report of each pool arrived.
    last_reports: BTreeMap<Pool, Instant>,
    first_seen: FirstSeen,
    /// Channels to the tasks of open requests.
    command_senders: BTreeMap<RequestId, mpsc::UnboundedSender<TaskCommand>>,
    retry_rules: BTreeMap<ServiceId, RetryRule>,
    /// Targets last passed to each dispatcher.
    passed_targets: BTreeMap<Pool, Vec<TargetRecord>>,
    /// Receivers of each dispatcher's load reports, in addition to subscribed entries.
    report_receivers: BTreeMap<Pool, BTreeSet<InstanceId>>,
    /// Witness last passed to each dispatcher.
    passed_witnesses: BTreeMap<Pool, Option<InstanceId>>,
    /// When requests in flight in each withdrawn domain are aborted; `None` once that is done.
    request_end_times: BTreeMap<DomainId, Option<Instant>>,
    /// Epoch of the last dispatcher created here; each new one gets a higher epoch.
    epoch: u64,
    /// False once a graceful stop has begun.
    may_dispatch: bool,
    roles: EntryRoles,
    view: Arc<EntryView>,
}

/// Runs the request cores of one entry and carries out their actions.
pub struct RequestDriver {
    cx: Arc<Context>,
    core: Mutex<Core>,
}

/// Messages with their receivers, which may include this entry itself.
type MessageQueue = VecDeque<(InstanceId, Message)>;

impl RequestDriver {
    /// Creates the driver without any service or dispatcher.
    #[must_use]
    pub fn new(cx: Arc<Context>) -> Self {
        let client = Client::new(cx.instance(), cx.incarnation, cx.member.domain);
        let core = Core {
            client,
            dispatchers: BTreeMap::new(),
            assigned: BTreeMap::new(),
            last_reports: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            command_senders: BTreeMap::new(),
            retry_rules: BTreeMap::new(),
            passed_targets: BTreeMap::new(),
            report_receivers: BTreeMap::new(),
            passed_witnesses: BTreeMap::new(),
            request_end_times: BTreeMap::new(),
            epoch: 0,
            may_dispatch: true,
            roles: EntryRoles::default(),
            view: Arc::default(),
        };
        Self { cx, core: Mutex::new(core) }
    }

    /// Starts a request. Commands to its task arrive on the returned channel.
    pub fn start_request(
        &self,
        new: NewRequest,
    ) -> (RequestId, mpsc::UnboundedReceiver<TaskCommand>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut core = lock(&self.core);
        let mut actions = Vec::new();
        let id = core.client.begin(self.cx.now(), new, &mut actions);
        core.command_senders.insert(id, tx);
        self.apply_client_actions(&mut core, actions);
        (id, rx)
    }

    /// Marks a granted attempt as written, so that its request counts as possibly run. Returns false if the
    /// attempt is over; nothing may be written then.
    #[must_use]
    pub fn try_begin_write(&self, attempt: AttemptId) -> bool {
        lock(&self.core).client.try_begin_write(self.cx.now(), attempt)
    }

    /// Passes an event of a request's task to the client core.
    pub fn handle_event(&self, event: client::Event) {
        let mut core = lock(&self.core);
        let actions = core.client.handle(self.cx.now(), event);
        self.apply_client_actions(&mut core, actions);
    }

    /// Cancels a request whose caller has disconnected. Returns the result to count it under.
    pub fn cancel(&self, request: RequestId) -> ResultCode {
        let mut core = lock(&self.core);
        let sender = core.command_senders.remove(&request);
        let now = self.cx.now();
        let actions = core.client.handle(now, client::Event::Cancelled(request));
        let finished = actions.iter().find_map(|action| match action {
            client::Action::Finish(id, code) if *id == request => Some(*code),
            _ => None,
        });
        drop(sender);
        self.apply_client_actions(&mut core, actions);
        finished.unwrap_or(ResultCode::CancelledWhileRunning)
    }

    /// Handles a message from another entry.
    pub fn handle_message(&self, from: InstanceId, message: Message) {
        let mut core = lock(&self.core);
        let mut queue = MessageQueue::new();
        self.process_message(&mut core, from, message, &mut queue);
        self.deliver_messages(&mut core, queue);
    }

    /// Handles all timers that are due.
    pub fn tick(&self) {
        let now = self.cx.now();
        let mut core = lock(&self.core);
        if core.client.next_wake().is_some_and(|at| at <= now) {
            let actions = core.client.handle(now, client::Event::Tick);
            self.apply_client_actions(&mut core, actions);
        }
        self.end_withdrawn_requests(&mut core, now);
        let due = core.dispatchers.iter().filter(|(_, d)| d.next_wake() <= now);
        let due: Vec<Pool> = due.map(|(pool, _)| *pool).collect();
        for pool in due {
            self.run_dispatcher(&mut core, pool, dispatcher::Event::Tick);
        }
        // A dispatcher fenced by its successor is replaced at once, since the next view may come much later.
        if core.dispatchers.values().any(Dispatcher::is_stopped) {
            self.update_dispatchers(&mut core, now);
        }
    }

    /// Applies a new view of the declarations, targets and live entries.
    pub fn update(&self, roles: &EntryRoles, view: &Arc<EntryView>) {
        let now = self.cx.now();
        let mut core = lock(&self.core);
        let old_live = std::mem::replace(&mut core.roles, roles.clone()).live;
        core.view = Arc::clone(view);
        self.update_retry_budgets(&mut core, now);
        self.record_first_seen(&mut core, now);
        self.update_dispatchers(&mut core, now);
        for entry in old_live.keys().filter(|id| !roles.live.contains_key(id)) {
            self.run_all_dispatchers(&mut core, |_| dispatcher::Event::EntryFailed(*entry));
        }
        self.schedule_withdrawals(&mut core, now);
        let events = [
            client::Event::Isolated(roles.isolated),
            client::Event::DomainsWithdrawn(view.withdrawn_domains()),
            client::Event::Dispatchers(core.assigned.clone()),
        ];
        for event in events {
            let actions = core.client.handle(now, event);
            self.apply_client_actions(&mut core, actions);
        }
    }

    /// Stops the dispatchers of this entry for good. The entries whose requests wait at them resend those
    /// to other dispatchers.
    pub fn stop_dispatching(&self) {
        let mut core = lock(&self.core);
        self.run_all_dispatchers(&mut core, |_| dispatcher::Event::Stop);
        core.dispatchers.clear();
        core.passed_targets.clear();
        core.passed_witnesses.clear();
        core.may_dispatch = false;
    }

    /// Refuses requests that still wait for a slot; running requests continue.
    pub fn refuse_waiting(&self) {
        self.handle_event(client::Event::Stopping);
    }

    /// Number of requests that have not ended.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        lock(&self.core).client.open_requests()
    }

    /// Number of dispatchers here, and of those that grant slots.
    #[must_use]
    pub fn dispatcher_counts(&self) -> (usize, usize) {
        let core = lock(&self.core);
        (core.dispatchers.len(), core.dispatchers.values().filter(|d| d.is_active()).count())
    }

    /// Sets when requests in flight in withdrawn domains are aborted: at once, or after the time that the
    /// profiles give them to finish.
    fn schedule_withdrawals(&self, core: &mut Core, now: Instant) {
        let out = core.view.withdrawn_domains();
        core.request_end_times.retain(|domain, _| out.contains(domain));
        let limit = core.view.withdrawal_limit();
        for domain in out {
            core.request_end_times.entry(domain).or_insert(Some(now + limit));
        }
    }

    fn end_withdrawn_requests(&self, core: &mut Core, now: Instant) {
        let is_due = |at: &Option<Instant>| at.is_some_and(|at| at <= now);
        let due = core.request_end_times.iter_mut().filter(|(_, at)| is_due(at));
        let due: Vec<DomainId> = due
            .map(|(domain, at)| {
                *at = None;
                *domain
            })
            .collect();
        for domain in due {
            let actions = core.client.handle(now, client::Event::EndInFlight(domain));
            self.apply_client_actions(core, actions);
        }
    }

    fn update_retry_budgets(&self, core: &mut Core, now: Instant) {
        let view = Arc::clone(&core.view);
        for (service, profile) in view.profiles() {
            if core.retry_rules.get(&service) != Some(&profile.retry) {
                core.retry_rules.insert(service, profile.retry.clone());
                core.client.set_budget(service, RetryBudget::new(profile.retry.clone(), now));
            }
        }
    }

    fn record_first_seen(&self, core: &mut Core, now: Instant) {
        let view = Arc::clone(&core.view);
        let known: BTreeSet<_> =
            view.usable_targets().map(|target| (target.address, target.incarnation)).collect();
        core.first_seen.retain(|target, _| known.contains(target));
        for target in known {
            core.first_seen.entry(target).or_insert(now);
        }
    }

    fn update_dispatchers(&self, core: &mut Core, now: Instant) {
        let assigned = core.roles.dispatchers(&core.view.pools());
        let previous = std::mem::replace(&mut core.assigned, assigned.clone());
        let local = self.cx.instance();
        let ended: Vec<Pool> = core
            .dispatchers
            .iter()
            .filter(|(pool, dispatcher)| {
                assigned.get(pool) != Some(&local) || dispatcher.is_stopped()
            })
            .map(|(pool, _)| *pool)
            .collect();
        for pool in ended {
            self.run_dispatcher(core, pool, dispatcher::Event::Stop);
            core.dispatchers.remove(&pool);
            core.passed_targets.remove(&pool);
            core.passed_witnesses.remove(&pool);
            core.report_receivers.remove(&pool);
        }
        if !core.may_dispatch {
            return;
        }
        let local_pools: Vec<Pool> =
            assigned.iter().filter(|(_, id)| **id == local).map(|(pool, _)| *pool).collect();
        for pool in local_pools {
            if core.dispatchers.contains_key(&pool) {
                self.refresh_dispatcher(core, pool);
            } else {
                self.take_over_pool(core, pool, previous.get(&pool).copied(), now);
            }
        }
    }

    fn refresh_dispatcher(&self, core: &mut Core, pool: Pool) {
        let targets = core.view.targets_of(pool);
        let Some(profile) = core.view.profile(pool.service).cloned() else { return };
        let state = core.view.domain_state(pool.domain);
        let receivers = load_reports::report_receivers(&core.roles, &core.assigned, pool);
        core.report_receivers.insert(pool, receivers);
        let witness = core.roles.witness(pool);
        if core.passed_witnesses.get(&pool) != Some(&witness) {
            core.passed_witnesses.insert(pool, witness);
            self.run_dispatcher(core, pool, dispatcher::Event::Witness(witness));
        }
        if core.passed_targets.get(&pool) != Some(&targets) {
            core.passed_targets.insert(pool, targets.clone());
            self.run_dispatcher(core, pool, dispatcher::Event::Targets(targets));
        }
        self.run_dispatcher(core, pool, dispatcher::Event::Profile(Box::new(profile)));
        self.run_dispatcher(core, pool, dispatcher::Event::Domain(state));
    }

    fn take_over_pool(
        &self,
        core: &mut Core,
        pool: Pool,
        previous: Option<InstanceId>,
        now: Instant,
    ) {
        let Some(profile) = core.view.profile(pool.service).cloned() else { return };
        core.epoch = self.cx.next_epoch().max(core.epoch + 1);
        let fresh = load_reports::is_fresh(core.last_reports.get(&pool).copied(), now);
        let reported = fresh.then(|| core.client.directory().cold_targets(pool));
        let ramp = Duration::from_millis(profile.cold.ramp_ms);
        let targets = core.view.targets_of(pool);
        let cold = load_reports::cold_targets(&targets, reported, &core.first_seen, now, ramp);
        let cfg =
            DispatcherConfig { pool, instance: self.cx.instance(), epoch: core.epoch, profile };
        core.dispatchers.insert(pool, Dispatcher::new(cfg, now));
        self.refresh_dispatcher(core, pool);
        // An entry in a graceful stop has stopped its dispatchers; any other may grant slots until its lease
        // expires.
        let handed_over = previous.is_some_and(|id| core.roles.has_handed_over(id));
        let lease_ends = if handed_over { now } else { now + FENCE_TIMEOUT };
        let max_deadline =
            core.view.profile(pool.service).map_or(Duration::ZERO, Profile::deadline);
        let (live, failed) = self.grant_holders(&core.roles, now, max_deadline);
        self.cx.record(
            EventKind::DispatcherTakeover,
            &[
                ("service", pool.service.to_string()),
                ("domain", pool.domain.to_string()),
                ("from", previous.map_or_else(|| "none".to_owned(), |id| id.to_string())),
            ],
        );
        let event = dispatcher::Event::Takeover { lease_ends, live, failed, cold };
        self.run_dispatcher(core, pool, event);
    }

    /// Entries to ask for the grants they hold, and entries whose grants are unknown: those that are down, and
    /// those that restarted less than `max_deadline` ago.
    fn grant_holders(
        &self,
        roles: &EntryRoles,
        now: Instant,
        max_deadline: Duration,
    ) -> (BTreeSet<InstanceId>, BTreeSet<InstanceId>) {
        let restarted = |id: &InstanceId| {
            roles
                .restarted
                .get(id)
                .is_some_and(|at| now.saturating_duration_since(*at) < max_deadline)
        };
        let configured = self.cx.settings.with_role(crate::settings::Role::Entry).into_keys();
        let (live, rest): (BTreeSet<_>, BTreeSet<_>) =
            configured.partition(|id| roles.live.contains_key(id) && !restarted(id));
        let failed = rest.into_iter().filter(|id| !roles.left.contains(id)).collect();
        (live, failed)
    }

    /// Marks the grants of an entry's previous incarnation as lost.
    pub fn handle_entry_restart(&self, entry: InstanceId) {
        let mut core = lock(&self.core);
        self.run_all_dispatchers(&mut core, |_| dispatcher::Event::EntryFailed(entry));
    }

    fn process_message(
        &self,
        core: &mut Core,
        from: InstanceId,
        message: Message,
        queue: &mut MessageQueue,
    ) {
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
                        self.queue_dispatcher_actions(core, actions, queue);
                    }
                    None => queue.extend(
                        load_reports::reply_without_dispatcher(from, &message)
                            .map(|reply| (from, reply)),
                    ),
                }
            }
            Message::Load(report) => {
                core.last_reports.insert(report.pool, now);
                let pools: Vec<Pool> = core.dispatchers.keys().copied().collect();
                for pool in pools.into_iter().filter(|p| p.service == report.pool.service) {
                    let event = dispatcher::Event::Message(from, message.clone());
                    let actions = core.dispatchers.get_mut(&pool).map(|d| d.handle(now, event));
                    self.queue_dispatcher_actions(core, actions.unwrap_or_default(), queue);
                }
                let actions = core.client.handle(now, client::Event::Message(from, message));
                self.queue_client_actions(core, actions, queue);
            }
            Message::Grant { .. }
            | Message::Refuse { .. }
            | Message::Released { .. }
            | Message::Witness { .. }
            | Message::Forget { .. }
            | Message::ReportGrants { .. } => {
                let actions = core.client.handle(now, client::Event::Message(from, message));
                self.queue_client_actions(core, actions, queue);
            }
            Message::Key(_) => log::error!("received a key message in the request core; dropped"),
        }
    }

    /// Sends queued messages, and processes those addressed to this entry until the queue is empty.
    fn deliver_messages(&self, core: &mut Core, mut queue: MessageQueue) {
        let local = self.cx.instance();
        while let Some((to, message)) = queue.pop_front() {
            if to == local {
                self.process_message(core, local, message, &mut queue);
            } else {
                self.cx.send(to, Topic::Request, &message);
            }
        }
    }

    fn apply_client_actions(&self, core: &mut Core, actions: Vec<client::Action>) {
        let mut queue = MessageQueue::new();
        self.queue_client_actions(core, actions, &mut queue);
        self.deliver_messages(core, queue);
    }

    fn queue_client_actions(
        &self,
        core: &mut Core,
        actions: Vec<client::Action>,
        queue: &mut MessageQueue,
    ) {
        for action in actions {
            match action {
                client::Action::Send(to, message) => queue.push_back((to, message)),
                client::Action::Start { attempt, target, remaining, .. } => {
                    let command = TaskCommand::Start { attempt, target, remaining };
                    send_command(core, attempt.request, command);
                }
                client::Action::Abort(attempt) => {
                    send_command(core, attempt.request, TaskCommand::Abort(attempt));
                }
                client::Action::Finish(request, code) => {
                    send_command(core, request, TaskCommand::Finish(code));
                    core.command_senders.remove(&request);
                }
            }
        }
    }

    fn run_dispatcher(&self, core: &mut Core, pool: Pool, event: dispatcher::Event) {
        let now = self.cx.now();
        let Some(dispatcher) = core.dispatchers.get_mut(&pool) else { return };
        let actions = dispatcher.handle(now, event);
        let mut queue = MessageQueue::new();
        self.queue_dispatcher_actions(core, actions, &mut queue);
        self.deliver_messages(core, queue);
    }

    fn run_all_dispatchers(&self, core: &mut Core, event: impl Fn(Pool) -> dispatcher::Event) {
        let pools: Vec<Pool> = core.dispatchers.keys().copied().collect();
        for pool in pools {
            self.run_dispatcher(core, pool, event(pool));
        }
    }

    fn queue_dispatcher_actions(
        &self,
        core: &Core,
        actions: Vec<dispatcher::Action>,
        queue: &mut MessageQueue,
    ) {
        for action in actions {
            match action {
                dispatcher::Action::Send(to, message) => queue.push_back((to, message)),
                dispatcher::Action::Report(mut to, report) => {
                    to.retain(|id| core.roles.live.contains_key(id));
                    to.extend(core.report_receivers.get(&report.pool).into_iter().flatten());
                    let message = Message::Load(report);
                    queue.extend(to.into_iter().map(|id| (id, message.clone())));
                }
                dispatcher::Action::TargetCold(address) => {
                    self.cx.record(EventKind::TargetCold, &[("address", address.to_string())]);
                }
            }
        }
    }
}

fn send_command(core: &Core, request: RequestId, command: TaskCommand) {
    if let Some(sender) = core.command_senders.get(&request) {
        // Fails if the caller has disconnected, which ends the task.
        let _ = sender.send(command);
    }
}
