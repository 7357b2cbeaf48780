//! The control daemon: applies messages, timers and storage results to the replicated log, the rollout of
//! revisions, the failure detector and the collector of announced targets, and carries out their actions.

use crate::context::{Context, lock};
use crate::control_counts::CountStore;
use crate::lifecycle::LifecycleMessage;
use crate::settings::Role;
use comfreyhold_consensus::durable::WriteBatch;
use comfreyhold_consensus::message::Message as LogMessage;
use comfreyhold_consensus::replica::{Action, Event, LogReplica, ReplicaStatus, RequestId};
use comfreyhold_membership::collector::TargetCollector;
use comfreyhold_membership::counters::CounterMessage;
use comfreyhold_membership::detector::{Detector, DetectorAction, DetectorMessage, MemberChange};
use comfreyhold_membership::effects::EffectRecord;
use comfreyhold_membership::members::{MemberRole, MemberUpdate};
use comfreyhold_membership::messages::InstallMessage;
use comfreyhold_membership::registry::RegistryMessage;
use comfreyhold_membership::rollout::{Rollout, RolloutAction};
use comfreyhold_request::keys::{SHARD_COUNT, ShardMap};
use comfreyhold_types::declarations::{Outcome, Voter};
use comfreyhold_types::prelude::*;
use comfreyhold_wire::envelope::{Envelope, Topic, decode_body};
use comfreyhold_wire::error::WireError;
use comfreyhold_wire::transport::Inbox;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Delay before the idempotency register is opened, from the first time that a quorum of every shard's
/// replicas has confirmed a revision. Entries need it to acquire their lease and to learn that the register
/// is still closed.
const REGISTER_OPEN_DELAY: Duration = Duration::from_secs(2);

/// Outcome of a proposal to the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// Committed to the log and applied to the state.
    Applied {
        /// Position in the log.
        revision: Revision,
        /// Result of applying it, which may be a refusal.
        outcome: Outcome,
    },
    /// Refused; it will never be applied.
    Refused {
        /// Result code of the reason.
        code: ResultCode,
        /// Reason for operators.
        message: String,
    },
    /// The leadership was lost before the outcome was known; the proposal may still be committed.
    OutcomeUnknown,
}

/// A batch of changes for the storage thread to write and sync.
pub struct PersistJob {
    /// Sequence number that the storage thread passes to [`ControlDaemon::on_persisted`].
    pub seq: u64,
    /// Changes to write to the data folder.
    pub batch: WriteBatch,
}

/// State machines of the daemon. They share one lock, since one event may change several of them.
struct Core {
    replica: LogReplica,
    /// Present from the time that this instance leads and its reads are current until it steps down.
    rollout: Option<Rollout>,
    /// Last revision passed to the rollout.
    last_rolled_out: Revision,
    detector: Detector,
    /// Collects the announced targets while this instance leads.
    collector: Option<TargetCollector>,
    /// Callers that wait for the outcome of their proposal, by request number.
    waiting_proposals: BTreeMap<u64, oneshot::Sender<ProposalResult>>,
    next_request: u64,
    /// Whether this leader has proposed to open the idempotency register.
    register_open_proposed: bool,
    /// Earliest time to open the register; `None` until enough replicas have confirmed a revision.
    register_open_at: Option<Instant>,
}

/// A running control daemon.
pub struct ControlDaemon {
    cx: Arc<Context>,
    core: Mutex<Core>,
    counts: Arc<CountStore>,
    persist: Mutex<mpsc::Sender<PersistJob>>,
    entries: BTreeMap<InstanceId, DomainId>,
    shards: ShardMap,
}

impl ControlDaemon {
    /// Creates the daemon's state. Batches to persist are sent to `persist`.
    #[must_use]
    pub fn new(
        cx: Arc<Context>,
        replica: LogReplica,
        counts: Arc<CountStore>,
        persist: mpsc::Sender<PersistJob>,
    ) -> Arc<Self> {
        let now = cx.now();
        let seeds = cx.settings.members.iter().map(|member| member.instance);
        let identity = (cx.instance(), cx.incarnation);
        let role_and_domain = (MemberRole::Control, cx.member.domain);
        let detector = Detector::new(now, identity, role_and_domain, seeds, cx.derive_seed(1));
        let core = Core {
            replica,
            rollout: None,
            last_rolled_out: Revision(0),
            detector,
            collector: None,
            waiting_proposals: BTreeMap::new(),
            next_request: 1,
            register_open_proposed: false,
            register_open_at: None,
        };
        let entries = cx.settings.with_role(Role::Entry);
        let shards = ShardMap::new(&entries.clone().into_iter().collect::<Vec<_>>());
        let core = Mutex::new(core);
        Arc::new(Self { cx, core, counts, persist: Mutex::new(persist), entries, shards })
    }

    /// Identity, clock, timeline and transport of this process.
    #[must_use]
    pub fn context(&self) -> &Arc<Context> {
        &self.cx
    }

    /// Request counters that the entries have reported, merged.
    #[must_use]
    pub fn counts(&self) -> &Arc<CountStore> {
        &self.counts
    }

    /// Proposes a command. The result is sent once the proposal's outcome is decided or can't be known.
    pub fn propose(&self, command: Command) -> oneshot::Receiver<ProposalResult> {
        self.submit_proposal(|request| Event::Propose { request, command })
    }

    /// Proposes to replace the data folder that an instance votes from.
    ///
    /// # Errors
    /// The instance is not a voter.
    pub fn replace_voter(&self, new: Voter) -> Result<oneshot::Receiver<ProposalResult>, String> {
        let voters = self.status().voters;
        let old = voters.into_iter().find(|voter| voter.instance == new.instance);
        let Some(old) = old else { return Err(format!("{} is no voter", new.instance)) };
        Ok(self.submit_proposal(|request| Event::Replace { request, old, new }))
    }

    fn submit_proposal(
        &self,
        event: impl FnOnce(RequestId) -> Event,
    ) -> oneshot::Receiver<ProposalResult> {
        let (tx, rx) = oneshot::channel();
        let mut core = lock(&self.core);
        let number = core.next_request;
        core.next_request += 1;
        core.waiting_proposals.insert(number, tx);
        self.handle_log_event(&mut core, event(RequestId(number)));
        rx
    }

    /// Status of the replicated log.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        lock(&self.core).replica.status(self.cx.now())
    }

    /// The replicated declarations, and whether they are current: only a leader with a quorum may serve them
    /// to operators.
    #[must_use]
    pub fn declarations(&self) -> (Declarations, bool) {
        let core = lock(&self.core);
        (core.replica.state().clone(), core.replica.read_is_current(self.cx.now()))
    }

    /// The entries that a revision is in effect on; `None` unless this instance leads and its rollout has received
    /// the revision.
    #[must_use]
    pub fn effect_record(&self, revision: Revision) -> Option<EffectRecord> {
        lock(&self.core).rollout.as_ref().and_then(|rollout| rollout.effect_record(revision))
    }

    /// Entries without a lease; `None` unless this instance leads.
    #[must_use]
    pub fn unleased_entries(&self) -> Option<Vec<InstanceId>> {
        let core = lock(&self.core);
        core.rollout.as_ref().map(|rollout| rollout.unreachable(self.cx.now()).collect())
    }

    /// The configured entries and their failure domains.
    #[must_use]
    pub fn entries(&self) -> &BTreeMap<InstanceId, DomainId> {
        &self.entries
    }

    /// Processes that the failure detector considers live, with their incarnations.
    #[must_use]
    pub fn live_incarnations(&self) -> std::collections::BTreeSet<(InstanceId, Incarnation)> {
        let core = lock(&self.core);
        core.detector.live().map(|member| (member.id, member.rank.incarnation)).collect()
    }

    /// Handles that the batch with this sequence number has been synced to disk.
    pub fn on_persisted(&self, seq: u64) {
        let mut core = lock(&self.core);
        self.handle_log_event(&mut core, Event::Persisted(seq));
    }

    /// Handles a failure of the data folder: records it, and stops the replica from voting.
    pub fn on_storage_fault(&self, code: ResultCode, reason: &str) {
        self.cx.record(
            EventKind::StorageFault,
            &[("code", code.number().to_string()), ("reason", reason.to_owned())],
        );
        let mut core = lock(&self.core);
        self.handle_log_event(&mut core, Event::StorageFault(code));
    }

    /// Handles that the data folder accepts writes again and holds all batches: records it, and lets the
    /// replica vote.
    pub fn on_storage_recovered(&self) {
        self.cx.record(EventKind::StorageRecovered, &[]);
        let mut core = lock(&self.core);
        self.handle_log_event(&mut core, Event::StorageRecovered);
    }

    /// Announces a graceful stop to the other processes.
    pub fn announce_leave(&self) {
        let mut core = lock(&self.core);
        let actions = core.detector.leave();
        self.perform_detector_actions(&mut core, actions);
    }

    /// Runs all timers that are due. Called by the timer thread.
    pub fn tick(&self) {
        let now = self.cx.now();
        let mut core = lock(&self.core);
        if now >= core.replica.next_tick() {
            self.handle_log_event(&mut core, Event::Tick);
        }
        self.update_leadership(&mut core, now);
        if let Some(rollout) = core.rollout.as_mut() {
            let actions = rollout.tick(now);
            self.perform_rollout_actions(&mut core, actions);
        }
        if now >= core.detector.next_wake() {
            let actions = core.detector.tick(now);
            crate::peers::set_routes(&self.cx, &core.detector);
            self.perform_detector_actions(&mut core, actions);
        }
        self.propose_target_changes(&mut core, now);
        self.propose_register_opening(&mut core, now);
        drop(core);
        self.counts.send_confirmations(&self.cx);
    }

    /// Passes an event to the log replica and carries out the actions that it returns.
    fn handle_log_event(&self, core: &mut Core, event: Event) {
        let actions = core.replica.handle(self.cx.now(), event);
        for action in actions {
            self.perform_log_action(core, action);
        }
    }

    fn perform_log_action(&self, core: &mut Core, action: Action) {
        match action {
            Action::Send { to, message } => self.cx.send(to, Topic::Consensus, &message),
            Action::Persist { seq, batch } => {
                if lock(&self.persist).send(PersistJob { seq, batch }).is_err() {
                    log::error!("batch {seq} can't be persisted: the storage thread has ended");
                }
            }
            Action::Applied { request, revision, outcome } => {
                let result = ProposalResult::Applied { revision, outcome };
                resolve_proposal(core, request, result);
            }
            Action::Refused { request, code, leader, reason } => {
                let message = match leader {
                    Some(leader) => format!("{reason}; the leader is {leader}"),
                    None => reason.to_owned(),
                };
                resolve_proposal(core, request, ProposalResult::Refused { code, message });
            }
            Action::OutcomeUnknown { request } => {
                resolve_proposal(core, request, ProposalResult::OutcomeUnknown)
            }
            Action::Advanced(revision) => self.on_commit_advanced(core, revision),
            Action::Elected(term) => {
                self.cx.set_position(term, core.replica.state().revision);
                self.cx.record(EventKind::LeaderElected, &[("term", term.0.to_string())]);
            }
            Action::SteppedDown(term) => {
                core.rollout = None;
                core.collector = None;
                self.cx.record(EventKind::LeaderSteppedDown, &[("term", term.0.to_string())]);
            }
        }
    }

    fn on_commit_advanced(&self, core: &mut Core, revision: Revision) {
        self.cx.set_position(core.replica.term(), revision);
        metrics::gauge!("comfreyhold_revision").set(revision.0 as f64);
        while core.rollout.is_some() && core.last_rolled_out < revision {
            let next = core.last_rolled_out.next();
            let Some(command) = core.replica.command(next).cloned() else {
                // The log no longer holds this command, so the next tick starts a new rollout from the state.
                core.rollout = None;
                return;
            };
            core.last_rolled_out = next;
            if let Command::Publish(publication) = &command {
                let subject = publication.content.subject();
                let version = publication.version.to_string();
                self.cx.record(EventKind::Accepted, &[("subject", subject), ("version", version)]);
            }
            let now = self.cx.now();
            let actions = core.rollout.as_mut().map(|rollout| rollout.on_committed(now, command));
            self.perform_rollout_actions(core, actions.unwrap_or_default());
        }
    }

    /// Starts the rollout once this instance leads and its reads are current, and ends one of an earlier term.
    fn update_leadership(&self, core: &mut Core, now: Instant) {
        let is_current_leader = core.replica.read_is_current(now);
        let term = core.replica.term();
        let is_outdated = core.rollout.as_ref().is_some_and(|rollout| rollout.term() != term);
        if is_outdated {
            core.rollout = None;
            core.collector = None;
        }
        if is_current_leader && core.rollout.is_none() {
            let state = Arc::new(core.replica.state().clone());
            core.last_rolled_out = state.revision;
            core.rollout = Some(Rollout::new(now, term, state, &self.entries));
            core.collector = Some(TargetCollector::new(now));
            core.register_open_proposed = false;
            core.register_open_at = None;
        }
    }

    fn perform_rollout_actions(&self, core: &mut Core, actions: Vec<RolloutAction>) {
        for action in actions {
            match action {
                RolloutAction::Send { to, message } => self.cx.send(to, Topic::Rollout, &message),
                RolloutAction::InEffect { revision, missing } => {
                    log::debug!("{revision} is in effect; entries without it: {missing:?}");
                }
                RolloutAction::Fenced(entry) => {
                    if let Some(collector) = core.collector.as_mut() {
                        collector.on_entry_lost(self.cx.now(), entry);
                    }
                    self.cx.record(EventKind::LeaseLost, &[("entry", entry.to_string())]);
                }
                RolloutAction::LeaseRegained(entry) => {
                    if let Some(collector) = core.collector.as_mut() {
                        collector.on_entry_restored(entry);
                    }
                    self.cx.record(EventKind::LeaseRegained, &[("entry", entry.to_string())]);
                }
                RolloutAction::NewerTerm(term) => {
                    log::warn!("an entry reported the newer term {term}");
                }
            }
        }
    }

    fn perform_detector_actions(&self, core: &mut Core, actions: Vec<DetectorAction>) {
        for action in actions {
            match action {
                DetectorAction::Send { to, message } => {
                    self.cx.send(to, Topic::Detector, &message);
                }
                DetectorAction::Changed { change, member } => {
                    crate::peers::record_member_change(&self.cx, change, &member);
                    update_collector(core, self.cx.now(), change, &member);
                }
                DetectorAction::Superseded(newer) => crate::peers::stop_superseded(&self.cx, newer),
            }
        }
    }

    /// As leader, proposes the collected changes of the target set, at most one batch at a time.
    fn propose_target_changes(&self, core: &mut Core, now: Instant) {
        let Some(collector) = core.collector.as_mut() else { return };
        let Some(batch) = collector.tick(now, core.replica.state()) else { return };
        let request = RequestId(core.next_request);
        core.next_request += 1;
        self.handle_log_event(core, Event::Propose { request, command: Command::Targets(batch) });
    }

    /// As leader, proposes to open the idempotency register once a quorum of every shard's replicas is
    /// running and has learned that the register is closed. Entries that start later copy their records.
    fn propose_register_opening(&self, core: &mut Core, now: Instant) {
        if core.replica.state().register_open || core.register_open_proposed {
            return;
        }
        let Some(rollout) = &core.rollout else { return };
        // A new leader assumes that every entry holds a lease, so only a confirmed revision shows that an
        // entry is running.
        let Some(effect) = rollout.effect_record(core.replica.state().revision) else { return };
        let confirmed_replicas = |shard: u16| {
            let replicas = self.shards.replicas(shard).iter();
            replicas.filter(|id| effect.in_effect.contains_key(id)).count()
        };
        let has_quorums =
            (0..SHARD_COUNT).all(|shard| confirmed_replicas(shard) >= self.shards.quorum(shard));
        if has_quorums && !self.entries.is_empty() {
            core.register_open_at.get_or_insert(now + REGISTER_OPEN_DELAY);
        }
        if core.register_open_at.is_none_or(|at| now < at) {
            return;
        }
        core.register_open_proposed = true;
        let request = RequestId(core.next_request);
        core.next_request += 1;
        self.handle_log_event(core, Event::Propose { request, command: Command::OpenRegister });
    }

    fn handle_envelope(&self, envelope: &Envelope) -> Result<(), WireError> {
        let now = self.cx.now();
        let from = envelope.from;
        if envelope.topic == Topic::Relay {
            return match self.cx.unpack_relay(envelope)? {
                Some(inner) if self.cx.accept(&inner) => self.handle_envelope(&inner),
                _ => Ok(()),
            };
        }
        let mut core = lock(&self.core);
        match envelope.topic {
            Topic::Consensus => {
                let message: LogMessage = decode_body(&envelope.body)?;
                self.handle_log_event(&mut core, Event::Message(message));
            }
            Topic::Detector => {
                let message: DetectorMessage = decode_body(&envelope.body)?;
                let actions = core.detector.on_message(now, from, message);
                crate::peers::set_routes(&self.cx, &core.detector);
                self.perform_detector_actions(&mut core, actions);
            }
            Topic::Registry => {
                let message: RegistryMessage = decode_body(&envelope.body)?;
                let reply = core.collector.as_mut().and_then(|c| c.on_message(&message));
                if let Some(reply) = reply {
                    self.cx.send(from, Topic::Registry, &reply);
                }
            }
            Topic::Rollout => {
                let message: InstallMessage = decode_body(&envelope.body)?;
                let rollout = core.rollout.as_mut();
                let actions = rollout.map(|rollout| rollout.on_message(now, from, message));
                self.perform_rollout_actions(&mut core, actions.unwrap_or_default());
            }
            Topic::Counters => {
                let message: CounterMessage = decode_body(&envelope.body)?;
                if let CounterMessage::Report(report) = message {
                    self.counts.merge(from, &report);
                }
            }
            Topic::Lifecycle => {
                let message: LifecycleMessage = decode_body(&envelope.body)?;
                if let LifecycleMessage::Holds(revision) = message {
                    self.handle_log_event(&mut core, Event::EntryReport { entry: from, revision });
                }
            }
            Topic::Flow | Topic::Request | Topic::Relay => {
                let reason = format!("{} messages are for entries", envelope.topic);
                return Err(WireError::BadFrame(reason));
            }
        }
        Ok(())
    }
}

impl Inbox for ControlDaemon {
    fn deliver(&self, envelope: Envelope) {
        crate::peers::deliver(&self.cx, &envelope, |envelope| self.handle_envelope(envelope));
    }

    fn connection_closed(&self, peer: InstanceId, reason: &str) {
        crate::peers::record_closed_connection(&self.cx, peer, reason);
    }
}

/// Sends the outcome of a proposal to the call that waits for it.
fn resolve_proposal(core: &mut Core, request: RequestId, result: ProposalResult) {
    if let Some(waiting) = core.waiting_proposals.remove(&request.0) {
        // The call may have timed out, which doesn't withdraw the proposal from the log.
        let _ = waiting.send(result);
    }
}

/// Updates the collector's set of live entries.
fn update_collector(core: &mut Core, now: Instant, change: MemberChange, member: &MemberUpdate) {
    let Some(collector) = core.collector.as_mut() else { return };
    match change {
        MemberChange::Dead | MemberChange::Left => collector.on_entry_lost(now, member.id),
        MemberChange::Alive => collector.on_entry_restored(member.id),
        MemberChange::Restarted => {
            collector.on_entry_restarted(now, member.id, member.rank.incarnation);
        }
        MemberChange::Suspected => {}
    }
}
