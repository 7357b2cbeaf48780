//! Drives the idempotency register at one entry: the local replicas, and the claims of local requests.

use crate::context::{Context, lock};
use crate::settings::Role;
use comfreyhold_request::key_client::{KeyAction, KeyClient, KeyDecision};
use comfreyhold_request::key_replica::{KeyReplica, ReplicaConfig};
use comfreyhold_request::keys::{ContentDigest, KeyMessage, KeyName, KeyOutcome, ShardMap};
use comfreyhold_request::message::{Message, RequestId};
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::MAX_KEY_RETENTION_MS;
use comfreyhold_wire::envelope::Topic;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Longest deadline that a profile may set, which bounds the duration of an attempt.
const MAX_ATTEMPT_DURATION: Duration = Duration::from_secs(600);

/// Longest retention that a profile may set. A replica that can't copy its records from others doesn't
/// vote for this time.
const MAX_KEY_RETENTION: Duration = Duration::from_millis(MAX_KEY_RETENTION_MS);

struct Core {
    client: KeyClient,
    /// `None` until the active declarations open the register.
    replica: Option<KeyReplica>,
    /// Channels to the tasks that wait for the decision on their claim.
    decision_senders: BTreeMap<RequestId, oneshot::Sender<KeyDecision>>,
}

/// Runs the key client and the key replicas of one entry and carries out their actions.
pub struct KeyDriver {
    cx: Arc<Context>,
    shards: ShardMap,
    core: Mutex<Core>,
}

impl KeyDriver {
    /// Creates the driver. The local replicas don't vote before [`KeyDriver::start_replica`].
    #[must_use]
    pub fn new(cx: Arc<Context>) -> Self {
        let entries: Vec<_> = cx.settings.with_role(Role::Entry).into_iter().collect();
        let shards = ShardMap::new(&entries);
        let client = KeyClient::new(shards.clone());
        let core = Core { client, replica: None, decision_senders: BTreeMap::new() };
        Self { cx, shards, core: Mutex::new(core) }
    }

    /// Starts the replicas unless they run already. `first_start` means that the register was not open
    /// before, so there are no records to copy.
    pub fn start_replica(&self, first_start: bool) {
        let mut core = lock(&self.core);
        if core.replica.is_some() {
            return;
        }
        let cfg = ReplicaConfig::builder()
            .instance(self.cx.instance())
            .incarnation(self.cx.incarnation)
            .shards(self.shards.clone())
            .max_attempt(MAX_ATTEMPT_DURATION)
            .max_retention(MAX_KEY_RETENTION)
            .first_start(first_start)
            .build();
        core.replica = Some(KeyReplica::new(cfg, self.cx.now()));
        log::info!("key replicas started, first start: {first_start}");
    }

    /// Claims a key for a request. The decision arrives on the returned channel.
    pub fn claim(
        &self,
        request: RequestId,
        key: KeyName,
        digest: ContentDigest,
        deadline: Instant,
        retention: Duration,
    ) -> oneshot::Receiver<KeyDecision> {
        let (tx, rx) = oneshot::channel();
        let mut core = lock(&self.core);
        core.decision_senders.insert(request, tx);
        let now = self.cx.now();
        let actions = core.client.claim(now, request, key, digest, deadline, retention);
        self.apply_actions(&mut core, actions);
        rx
    }

    /// Abandons a claim whose caller has disconnected.
    pub fn abandon(&self, request: RequestId) {
        let mut core = lock(&self.core);
        core.client.abandon(request);
        core.decision_senders.remove(&request);
    }

    /// Records the outcome of a request that had won its key.
    pub fn finish(&self, request: RequestId, outcome: KeyOutcome) {
        let mut core = lock(&self.core);
        let actions = core.client.finish(self.cx.now(), request, outcome);
        self.apply_actions(&mut core, actions);
    }

    /// Handles a message from another entry.
    pub fn handle_message(&self, from: InstanceId, message: KeyMessage) {
        let mut core = lock(&self.core);
        let mut queue = VecDeque::new();
        let actions = self.process_message(&mut core, from, message, &mut queue);
        self.drain_queue(&mut core, actions, queue);
    }

    /// Handles all timers that are due.
    pub fn tick(&self) {
        let now = self.cx.now();
        let mut core = lock(&self.core);
        let actions = core.client.tick(now);
        self.apply_actions(&mut core, actions);
        if let Some(replica) = core.replica.as_mut() {
            for (to, message) in replica.tick(now) {
                self.cx.send(to, Topic::Request, &Message::Key(message));
            }
        }
    }

    /// Number of records, and whether the replicas of all local shards vote.
    #[must_use]
    pub fn status(&self) -> (usize, bool) {
        let core = lock(&self.core);
        let Some(replica) = &core.replica else { return (0, false) };
        let voting = self.shards.held_by(self.cx.instance()).all(|shard| replica.is_ready(shard));
        (replica.len(), voting)
    }

    fn apply_actions(&self, core: &mut Core, actions: Vec<KeyAction>) {
        self.drain_queue(core, actions, VecDeque::new());
    }

    /// Carries out actions, and processes messages addressed to this entry until the queue is empty.
    fn drain_queue(
        &self,
        core: &mut Core,
        actions: Vec<KeyAction>,
        mut queue: VecDeque<KeyMessage>,
    ) {
        self.queue_actions(core, actions, &mut queue);
        while let Some(message) = queue.pop_front() {
            let actions = self.process_message(core, self.cx.instance(), message, &mut queue);
            self.queue_actions(core, actions, &mut queue);
        }
    }

    fn queue_actions(
        &self,
        core: &mut Core,
        actions: Vec<KeyAction>,
        queue: &mut VecDeque<KeyMessage>,
    ) {
        for action in actions {
            match action {
                KeyAction::Send(to, message) => self.send(to, message, queue),
                KeyAction::Decided(request, decision) => {
                    if let Some(sender) = core.decision_senders.remove(&request) {
                        // Fails if the caller has disconnected, which ends the task.
                        let _ = sender.send(decision);
                    }
                }
            }
        }
    }

    fn send(&self, to: InstanceId, message: KeyMessage, queue: &mut VecDeque<KeyMessage>) {
        if to == self.cx.instance() {
            queue.push_back(message);
        } else {
            self.cx.send(to, Topic::Request, &Message::Key(message));
        }
    }

    fn process_message(
        &self,
        core: &mut Core,
        from: InstanceId,
        message: KeyMessage,
        queue: &mut VecDeque<KeyMessage>,
    ) -> Vec<KeyAction> {
        let now = self.cx.now();
        if matches!(message, KeyMessage::Vote { .. } | KeyMessage::Finished { .. }) {
            return core.client.on_message(now, from, message);
        }
        let replies = core.replica.as_mut().map(|replica| replica.on_message(now, from, message));
        for (to, reply) in replies.unwrap_or_default() {
            self.send(to, reply, queue);
        }
        Vec::new()
    }
}
