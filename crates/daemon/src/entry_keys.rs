//! Drives the idempotency register of one entry: its replicas and its claims.

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

/// Longest deadline that a profile may set.
const MAX_ATTEMPT: Duration = Duration::from_secs(600);

/// Longest retention that a profile may set. It bounds how long a replica that can't copy its records
/// stays without a vote.
const MAX_RETENTION: Duration = Duration::from_millis(MAX_KEY_RETENTION_MS);

struct Core {
    client: KeyClient,
    /// Created once this entry knows that the register is open.
    replica: Option<KeyReplica>,
    waiting: BTreeMap<RequestId, oneshot::Sender<KeyDecision>>,
}

/// The idempotency register at one entry.
pub struct Keys {
    cx: Arc<Context>,
    shards: ShardMap,
    core: Mutex<Core>,
}

impl Keys {
    /// Creates the register's side of this entry. Its replicas don't vote before
    /// [`Keys::start_replica`].
    #[must_use]
    pub fn new(cx: Arc<Context>) -> Self {
        let entries: Vec<_> = cx.settings.with_role(Role::Entry).into_iter().collect();
        let shards = ShardMap::new(&entries);
        let client = KeyClient::new(shards.clone());
        let core = Core { client, replica: None, waiting: BTreeMap::new() };
        Self { cx, shards, core: Mutex::new(core) }
    }

    /// Starts the replicas. `first_start` tells that the register was not open before, so that there are
    /// no records to copy.
    pub fn start_replica(&self, first_start: bool) {
        let mut core = lock(&self.core);
        if core.replica.is_some() {
            return;
        }
        let cfg = ReplicaConfig::builder()
            .instance(self.cx.instance())
            .incarnation(self.cx.incarnation)
            .shards(self.shards.clone())
            .max_attempt(MAX_ATTEMPT)
            .max_retention(MAX_RETENTION)
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
        core.waiting.insert(request, tx);
        let now = self.cx.now();
        let actions = core.client.claim(now, request, key, digest, deadline, retention);
        self.run(&mut core, actions);
        rx
    }

    /// Gives up a claim whose caller left.
    pub fn abandon(&self, request: RequestId) {
        let mut core = lock(&self.core);
        core.client.abandon(request);
        core.waiting.remove(&request);
    }

    /// Records how a request that had won its key ended.
    pub fn finish(&self, request: RequestId, outcome: KeyOutcome) {
        let mut core = lock(&self.core);
        let actions = core.client.finish(self.cx.now(), request, outcome);
        self.run(&mut core, actions);
    }

    /// Handles a message of another entry.
    pub fn on_message(&self, from: InstanceId, message: KeyMessage) {
        let mut core = lock(&self.core);
        let mut queue = VecDeque::new();
        let actions = self.deliver(&mut core, from, message, &mut queue);
        self.run_queue(&mut core, actions, queue);
    }

    /// Handles all timers that are due.
    pub fn tick(&self) {
        let now = self.cx.now();
        let mut core = lock(&self.core);
        let actions = core.client.tick(now);
        self.run(&mut core, actions);
        if let Some(replica) = core.replica.as_mut() {
            for (to, message) in replica.tick(now) {
                self.cx.send(to, Topic::Request, &Message::Key(message));
            }
        }
    }

    /// Records kept, and whether all shards held here vote.
    #[must_use]
    pub fn status(&self) -> (usize, bool) {
        let core = lock(&self.core);
        let Some(replica) = &core.replica else { return (0, false) };
        let voting = self.shards.held_by(self.cx.instance()).all(|shard| replica.is_ready(shard));
        (replica.len(), voting)
    }

    fn run(&self, core: &mut Core, actions: Vec<KeyAction>) {
        self.run_queue(core, actions, VecDeque::new());
    }

    /// Carries out actions; messages to this entry itself are delivered until none is left.
    fn run_queue(&self, core: &mut Core, actions: Vec<KeyAction>, mut queue: VecDeque<KeyMessage>) {
        self.carry_out(core, actions, &mut queue);
        while let Some(message) = queue.pop_front() {
            let actions = self.deliver(core, self.cx.instance(), message, &mut queue);
            self.carry_out(core, actions, &mut queue);
        }
    }

    fn carry_out(
        &self,
        core: &mut Core,
        actions: Vec<KeyAction>,
        queue: &mut VecDeque<KeyMessage>,
    ) {
        for action in actions {
            match action {
                KeyAction::Send(to, message) => self.send(to, message, queue),
                KeyAction::Decided(request, decision) => {
                    if let Some(waiting) = core.waiting.remove(&request) {
                        // The request's task may have ended with its caller's connection.
                        let _ = waiting.send(decision);
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

    fn deliver(
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
