//! What an entry remembers about the flows whose packets it has seen. All of it can be lost: the cookie
//! alone leads packets to their target.

use super::FlowKey;
use super::directory::{Directory, TargetKey};
use comfreyhold_types::routes::RequestClass;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Work of an open flow that waits for its caller's next request, in requests. A long flow of the users'
/// feeds sends about one request of 30 ms a second.
const IDLE_WORK: f64 = 0.05;

/// Time after which a request no longer counts as running although its caller has acknowledged nothing
/// since: short answers are acknowledged only by the next request.
const RUNNING_LIMIT: Duration = Duration::from_millis(300);

/// Time for which a finished flow is remembered, so that its last packets take the same way.
const KEEP_FINISHED: Duration = Duration::from_secs(3);

/// Flows looked at in one sweep, which bounds the time that a sweep takes.
const SWEEP_FLOWS: usize = 2_000;

/// Most flows remembered. At some 150 bytes each they stay under the memory of the smallest instance.
pub const MAX_FLOWS: usize = 200_000;

/// Where a flow stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Opening packets have been forwarded.
    Opening,
    /// The target has answered, and no request is known to run.
    Idle,
    /// A request runs.
    Running,
    /// The caller sends nothing more.
    Finished,
}

/// A remembered flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Its target.
    pub target: TargetKey,
    /// Targets that left its opening unanswered.
    pub tried: Vec<TargetKey>,
    /// What its requests allow.
    pub class: RequestClass,
    /// Where it stands.
    pub stage: Stage,
    /// When its last packet came.
    pub seen: Instant,
    /// Acknowledged position when the running request was sent.
    ack: u32,
    /// End of the caller's data so far.
    sent: u32,
    running_since: Instant,
}

impl Flow {
    /// A flow whose opening goes to a target.
    #[must_use]
    pub fn opening(target: TargetKey, class: RequestClass, now: Instant) -> Self {
        Self::new(target, class, Stage::Opening, now)
    }

    /// A flow that another entry has placed.
    #[must_use]
    pub fn taken_over(target: TargetKey, class: RequestClass, now: Instant) -> Self {
        Self::new(target, class, Stage::Idle, now)
    }

    fn new(target: TargetKey, class: RequestClass, stage: Stage, now: Instant) -> Self {
        let (tried, ack, sent) = (Vec::new(), 0, 0);
        Self { target, tried, class, stage, seen: now, ack, sent, running_since: now }
    }

    fn work(&self) -> f64 {
        match (self.stage, self.class) {
            (Stage::Opening | Stage::Running, _) => 1.0,
            (Stage::Idle, RequestClass::Idempotent) => IDLE_WORK,
            // Flows of one request each: their request follows the handshake at once.
            (Stage::Idle, _) => 1.0,
            (Stage::Finished, _) => 0.0,
        }
    }
}

/// All remembered flows. Changes of a flow keep the load of its target in step.
#[derive(Default)]
pub struct Flows {
    flows: BTreeMap<FlowKey, Flow>,
    running: VecDeque<(Instant, FlowKey)>,
    swept: Option<FlowKey>,
}

impl Flows {
    /// A remembered flow.
    #[must_use]
    pub fn get(&self, key: &FlowKey) -> Option<&Flow> {
        self.flows.get(key)
    }

    /// Number of remembered flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Remembers a flow, in place of an earlier one between the same ends. A full memory takes no more.
    pub fn insert(&mut self, key: FlowKey, flow: Flow, directory: &mut Directory) {
        self.remove(&key, directory);
        if self.flows.len() >= MAX_FLOWS {
            return;
        }
        add_load(directory, flow.target, flow.work());
        self.flows.insert(key, flow);
    }

    /// Forgets a flow.
    pub fn remove(&mut self, key: &FlowKey, directory: &mut Directory) {
        if let Some(flow) = self.flows.remove(key) {
            add_load(directory, flow.target, -flow.work());
        }
    }

    /// Changes a flow.
    pub fn change(
        &mut self,
        key: &FlowKey,
        directory: &mut Directory,
        change: impl FnOnce(&mut Flow),
    ) {
        let Some(flow) = self.flows.get_mut(key) else { return };
        let (target, before) = (flow.target, flow.work());
        change(flow);
        if flow.target == target {
            add_load(directory, target, flow.work() - before);
        } else {
            add_load(directory, target, -before);
            add_load(directory, flow.target, flow.work());
        }
    }

    /// Notes a packet of an open flow that carries `data` bytes from `seq`, and acknowledges `ack`.
    pub fn progress(
        &mut self,
        key: &FlowKey,
        (seq, ack, data): (u32, u32, u16),
        directory: &mut Directory,
        now: Instant,
    ) {
        let mut started = false;
        self.change(key, directory, |flow| {
            flow.seen = now;
            if flow.stage == Stage::Finished {
                return;
            }
            let end = seq.wrapping_add(u32::from(data));
            let is_new = flow.sent == 0 || end.wrapping_sub(flow.sent).cast_signed() > 0;
            if data > 0 && is_new {
                flow.sent = end;
                flow.ack = ack;
                flow.running_since = now;
                flow.stage = Stage::Running;
                started = true;
            } else if flow.stage == Stage::Opening
                || (flow.stage == Stage::Running && ack != flow.ack)
            {
                flow.stage = Stage::Idle;
            }
        });
        if started {
            self.running.push_back((now, *key));
        }
    }

    /// Ends requests that count as running for too long, and forgets some of the idle flows.
    pub fn sweep(&mut self, idle: Duration, directory: &mut Directory, now: Instant) {
        while let Some((_, key)) = self.running.pop_front_if(|(at, _)| now >= *at + RUNNING_LIMIT) {
            self.change(&key, directory, |flow| {
                let over = now >= flow.running_since + RUNNING_LIMIT;
                if flow.stage == Stage::Running && over {
                    flow.stage = Stage::Idle;
                }
            });
        }
        let old = |flow: &Flow| match flow.stage {
            Stage::Finished | Stage::Opening => now >= flow.seen + KEEP_FINISHED,
            Stage::Idle | Stage::Running => now >= flow.seen + idle,
        };
        let start = self.swept.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let range = self.flows.range((start, std::ops::Bound::Unbounded)).take(SWEEP_FLOWS);
        let looked_at: Vec<(FlowKey, bool)> = range.map(|(key, flow)| (*key, old(flow))).collect();
        self.swept = looked_at.last().filter(|_| looked_at.len() == SWEEP_FLOWS).map(|(k, _)| *k);
        for (key, _) in looked_at.iter().filter(|(_, old)| *old) {
            self.remove(key, directory);
        }
    }
}

fn add_load(directory: &mut Directory, target: TargetKey, work: f64) {
    if let Some(target) = directory.get_mut(target) {
        target.load = (target.load + work).max(0.0);
    }
}
