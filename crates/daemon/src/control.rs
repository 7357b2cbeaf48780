//! The control daemon: drives the replicated log, the rollout of revisions, failure detection and the
//! target registry.

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

/// Time from the first moment that a quorum of every shard's replicas has confirmed a revision until the
/// idempotency register is opened. Entries need it to get their lease and see that it is closed.
const REGISTER_DELAY: Duration = Duration::from_secs(2);

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// Accepted into the log and applied.
    Applied {
        /// Its position in the log.
        revision: Revision,
        /// What applying it came to.
        outcome: Outcome,
    },
    /// Refused; it will never be applied.
    Refused {
        /// Why.
        code: ResultCode,
        /// Explanation.
        message: String,
    },
    /// The leadership was lost; it may still be accepted.
    Unknown,
}

/// A batch for the thread that writes the data folder.
pub struct PersistJob {
    /// Number to confirm.
    pub seq: u64,
    /// The changes.
    pub batch: WriteBatch,
}

/// State of the daemon under one lock: its cores exchange events in one step.
struct Core {
    node: LogReplica,
    rollout: Option<Rollout>,
    /// Last revision passed on to the rollout.
    rolled: Revision,
    detector: Detector,
    /// Gathers the announced targets while this instance leads.
    collector: Option<TargetCollector>,
    proposals: BTreeMap<u64, oneshot::Sender<ProposalResult>>,
    next_request: u64,
    /// Whether this leader has proposed to open the idempotency register.
    register_proposed: bool,
    /// When the register may be opened.
    register_ready: Option<Instant>,
}

/// The control daemon.
pub struct Control {
    cx: Arc<Context>,
    core: Mutex<Core>,
    counts: Arc<CountStore>,
    persist: Mutex<mpsc::Sender<PersistJob>>,
    entries: BTreeMap<InstanceId, DomainId>,
    shards: ShardMap,
}

impl Control {
    /// Binds the cores together.
    #[must_use]
    pub fn new(
        cx: Arc<Context>,
        node: LogReplica,
        counts: Arc<CountStore>,
        persist: mpsc::Sender<PersistJob>,
    ) -> Arc<Self> {
        let now = cx.now();
        let seeds = cx.settings.members.iter().map(|member| member.instance);
        let identity = (cx.instance(), cx.incarnation);
        let role = (MemberRole::Control, cx.member.domain);
        let detector = Detector::new(now, identity, role, seeds, cx.seed(1));
        let core = Core {
            node,
            rollout: None,
            rolled: Revision(0),
            detector,
            collector: None,
            proposals: BTreeMap::new(),
            next_request: 1,
            register_proposed: false,
            register_ready: None,
        };
        let entries = cx.settings.with_role(Role::Entry);
        let shards = ShardMap::new(&entries.clone().into_iter().collect::<Vec<_>>());
        let core = Mutex::new(core);
        Arc::new(Self { cx, core, counts, persist: Mutex::new(persist), entries, shards })
    }

    /// The shared context.
    #[must_use]
    pub fn context(&self) -> &Arc<Context> {
        &self.cx
    }

    /// The merged counters.
    #[must_use]
    pub fn counts(&self) -> &Arc<CountStore> {
        &self.counts
    }

    /// Proposes a command. The result arrives once the proposal's fate is known.
    pub fn propose(&self, command: Command) -> oneshot::Receiver<ProposalResult> {
        self.submit(|request| Event::Propose { request, command })
    }

    /// Replaces the data folder that an instance votes from.
    ///
    /// # Errors
    /// The instance doesn't vote now.
    pub fn replace(&self, new: Voter) -> Result<oneshot::Receiver<ProposalResult>, String> {
        let voters = self.status().voters;
        let old = voters.into_iter().find(|voter| voter.instance == new.instance);
        let Some(old) = old else { return Err(format!("{} is no voter", new.instance)) };
        Ok(self.submit(|request| Event::Replace { request, old, new }))
    }

    fn submit(&self, event: impl FnOnce(RequestId) -> Event) -> oneshot::Receiver<ProposalResult> {
        let (tx, rx) = oneshot::channel();
        let mut core = lock(&self.core);
        let number = core.next_request;
        core.next_request += 1;
        core.proposals.insert(number, tx);
        self.drive(&mut core, event(RequestId(number)));
        rx
    }

    /// Status of the replicated log.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        lock(&self.core).node.status(self.cx.now())
    }

    /// The replicated state, and whether this instance may answer for the whole deployment.
    #[must_use]
    pub fn state(&self) -> (Declarations, bool) {
        let core = lock(&self.core);
        (core.node.state().clone(), core.node.read_is_current(self.cx.now()))
    }

    /// Where a revision is in effect; only the leader knows.
    #[must_use]
    pub fn effect(&self, revision: Revision) -> Option<EffectRecord> {
        lock(&self.core).rollout.as_ref().and_then(|rollout| rollout.effect_record(revision))
    }

    /// Entries without a lease; only the leader knows.
    #[must_use]
    pub fn unreachable(&self) -> Option<Vec<InstanceId>> {
        let core = lock(&self.core);
        core.rollout.as_ref().map(|rollout| rollout.unreachable(self.cx.now()).collect())
    }

    /// The configured entries and their failure domains.
    #[must_use]
    pub fn entries(&self) -> &BTreeMap<InstanceId, DomainId> {
        &self.entries
    }

    /// Processes that are running, with their start numbers.
    #[must_use]
    pub fn running(&self) -> std::collections::BTreeSet<(InstanceId, Incarnation)> {
        let core = lock(&self.core);
        core.detector.live().map(|member| (member.id, member.rank.incarnation)).collect()
    }

    /// A batch is synced.
    pub fn persisted(&self, seq: u64) {
        let mut core = lock(&self.core);
        self.drive(&mut core, Event::Persisted(seq));
    }

    /// The data folder failed.
    pub fn storage_fault(&self, code: ResultCode, reason: &str) {
        self.cx.record(
            EventKind::StorageFault,
            &[("code", code.number().to_string()), ("reason", reason.to_owned())],
        );
        let mut core = lock(&self.core);
        self.drive(&mut core, Event::StorageFault(code));
    }

    /// Announces a graceful stop to the other processes.
    pub fn leave(&self) {
        let mut core = lock(&self.core);
        let actions = core.detector.leave();
        self.on_detector(&mut core, actions);
    }

    /// Handles all timers.
    pub fn tick(&self) {
        let now = self.cx.now();
        let mut core = lock(&self.core);
        if now >= core.node.next_tick() {
            self.drive(&mut core, Event::Tick);
        }
        self.follow_leadership(&mut core, now);
        if let Some(rollout) = core.rollout.as_mut() {
            let actions = rollout.tick(now);
            self.on_rollout(&mut core, actions);
        }
        if now >= core.detector.next_wake() {
            let actions = core.detector.tick(now);
            crate::peers::set_routes(&self.cx, &core.detector);
            self.on_detector(&mut core, actions);
        }
        self.propose_targets(&mut core, now);
        self.open_register(&mut core, now);
        drop(core);
        self.counts.send_confirmations(&self.cx);
    }

    /// Passes an event to the log's core and carries out what it asks for.
    fn drive(&self, core: &mut Core, event: Event) {
        let actions = core.node.handle(self.cx.now(), event);
        for action in actions {
            self.on_log_action(core, action);
        }
    }

    fn on_log_action(&self, core: &mut Core, action: Action) {
        match action {
            Action::Send { to, message } => self.cx.send(to, Topic::Consensus, &message),
            Action::Persist { seq, batch } => {
                if lock(&self.persist).send(PersistJob { seq, batch }).is_err() {
                    log::error!("the storage thread has ended");
                }
            }
            Action::Applied { request, revision, outcome } => {
                let result = ProposalResult::Applied { revision, outcome };
                settle(core, request, result);
            }
            Action::Refused { request, code, leader, reason } => {
                let message = match leader {
                    Some(leader) => format!("{reason}; the leader is {leader}"),
                    None => reason.to_owned(),
                };
                settle(core, request, ProposalResult::Refused { code, message });
            }
            Action::OutcomeUnknown { request } => settle(core, request, ProposalResult::Unknown),
            Action::Advanced(revision) => self.on_advanced(core, revision),
            Action::Elected(term) => {
                self.cx.set_position(term, core.node.state().revision);
                self.cx.record(EventKind::LeaderElected, &[("term", term.0.to_string())]);
            }
            Action::SteppedDown(term) => {
                core.rollout = None;
                core.collector = None;
                self.cx.record(EventKind::LeaderSteppedDown, &[("term", term.0.to_string())]);
            }
        }
    }

    fn on_advanced(&self, core: &mut Core, revision: Revision) {
        self.cx.set_position(core.node.term(), revision);
        metrics::gauge!("comfreyhold_revision").set(revision.0 as f64);
        while core.rollout.is_some() && core.rolled < revision {
            let next = core.rolled.next();
            let Some(command) = core.node.command(next).cloned() else {
                // The log no longer holds the entry: start over from the state.
                core.rollout = None;
                return;
            };
            core.rolled = next;
            if let Command::Publish(publication) = &command {
                let subject = publication.content.subject();
                let version = publication.version.to_string();
                self.cx.record(EventKind::Accepted, &[("subject", subject), ("version", version)]);
            }
            let now = self.cx.now();
            let actions = core.rollout.as_mut().map(|rollout| rollout.on_committed(now, command));
            self.on_rollout(core, actions.unwrap_or_default());
        }
    }

    /// Starts the rollout once this instance may answer as leader, and ends it with the leadership.
    fn follow_leadership(&self, core: &mut Core, now: Instant) {
        let leads = core.node.read_is_current(now);
        let term = core.node.term();
        let outdated = core.rollout.as_ref().is_some_and(|rollout| rollout.term() != term);
        if outdated {
            core.rollout = None;
            core.collector = None;
        }
        if leads && core.rollout.is_none() {
            let state = Arc::new(core.node.state().clone());
            core.rolled = state.revision;
            core.rollout = Some(Rollout::new(now, term, state, &self.entries));
            core.collector = Some(TargetCollector::new(now));
            core.register_proposed = false;
            core.register_ready = None;
        }
    }

    fn on_rollout(&self, core: &mut Core, actions: Vec<RolloutAction>) {
        for action in actions {
            match action {
                RolloutAction::Send { to, message } => self.cx.send(to, Topic::Rollout, &message),
                RolloutAction::InEffect { revision, missing } => {
                    log::debug!("{revision} is in effect; missing: {missing:?}");
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
                    log::warn!("an entry knows of the newer term {term}");
                }
            }
        }
    }

    fn on_detector(&self, core: &mut Core, actions: Vec<DetectorAction>) {
        for action in actions {
            match action {
                DetectorAction::Send { to, message } => {
                    self.cx.send(to, Topic::Detector, &message);
                }
                DetectorAction::Changed { change, member } => {
                    crate::peers::record_member_change(&self.cx, change, &member);
                    note_entry(core, self.cx.now(), change, &member);
                }
                DetectorAction::Superseded(newer) => crate::peers::stop_superseded(&self.cx, newer),
            }
        }
    }

    /// As leader, proposes the changes of the target set, at most one batch at a time.
    fn propose_targets(&self, core: &mut Core, now: Instant) {
        let Some(collector) = core.collector.as_mut() else { return };
        let Some(batch) = collector.tick(now, core.node.state()) else { return };
        let request = RequestId(core.next_request);
        core.next_request += 1;
        self.drive(core, Event::Propose { request, command: Command::Targets(batch) });
    }

    /// As leader, opens the idempotency register once a quorum of every shard's replicas is running and
    /// has seen that it is closed. Entries that start later copy their records.
    fn open_register(&self, core: &mut Core, now: Instant) {
        if core.node.state().register_open || core.register_proposed {
            return;
        }
        let Some(rollout) = &core.rollout else { return };
        // A new leader counts every entry as leased; only one that confirmed the revision is running.
        let Some(effect) = rollout.effect_record(core.node.state().revision) else { return };
        let running = |shard: u16| {
            let replicas = self.shards.replicas(shard).iter();
            replicas.filter(|id| effect.in_effect.contains_key(id)).count()
        };
        let ready = (0..SHARD_COUNT).all(|shard| running(shard) >= self.shards.quorum(shard));
        if ready && !self.entries.is_empty() {
            core.register_ready.get_or_insert(now + REGISTER_DELAY);
        }
        if core.register_ready.is_none_or(|at| now < at) {
            return;
        }
        core.register_proposed = true;
        let request = RequestId(core.next_request);
        core.next_request += 1;
        self.drive(core, Event::Propose { request, command: Command::OpenRegister });
    }

    fn on_envelope(&self, envelope: &Envelope) -> Result<(), WireError> {
        let now = self.cx.now();
        let from = envelope.from;
        if envelope.topic == Topic::Relay {
            return match self.cx.unpack_relay(envelope)? {
                Some(inner) if self.cx.accept(&inner) => self.on_envelope(&inner),
                _ => Ok(()),
            };
        }
        let mut core = lock(&self.core);
        match envelope.topic {
            Topic::Consensus => {
                let message: LogMessage = decode_body(&envelope.body)?;
                self.drive(&mut core, Event::Message(message));
            }
            Topic::Detector => {
                let message: DetectorMessage = decode_body(&envelope.body)?;
                let actions = core.detector.on_message(now, from, message);
                crate::peers::set_routes(&self.cx, &core.detector);
                self.on_detector(&mut core, actions);
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
                self.on_rollout(&mut core, actions.unwrap_or_default());
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
                    self.drive(&mut core, Event::EntryReport { entry: from, revision });
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

impl Inbox for Control {
    fn deliver(&self, envelope: Envelope) {
        crate::peers::deliver(&self.cx, &envelope, |envelope| self.on_envelope(envelope));
    }

    fn connection_closed(&self, peer: InstanceId, reason: &str) {
        crate::peers::record_closed_connection(&self.cx, peer, reason);
    }
}

fn settle(core: &mut Core, request: RequestId, result: ProposalResult) {
    if let Some(waiting) = core.proposals.remove(&request.0) {
        // The waiting call may have timed out; the proposal stays in the log all the same.
        let _ = waiting.send(result);
    }
}

/// Tells the collector which entries it can count on.
fn note_entry(core: &mut Core, now: Instant, change: MemberChange, member: &MemberUpdate) {
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
