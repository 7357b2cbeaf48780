//! Flow cache of an entry: target, stage and load of the flows whose packets it has seen. It may be lost
//! at any time, since the cookie alone leads packets to their target.

use super::FlowKey;
use super::admission::Admitted;
use super::directory::{Directory, TargetKey};
use comfreyhold_types::routes::RequestClass;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Load of an idle flow, in requests. A long flow of the users' feeds sends about one request of 30 ms a
/// second.
const IDLE_FLOW_LOAD: f64 = 0.05;

/// Time after which a request on a flow with several requests no longer counts as running although its caller
/// has acknowledged nothing since: short answers are acknowledged only by the next request.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(300);

/// Time after which the request of a flow with one request no longer counts as running. The end of the flow
/// shows the answer; a request without one has been abandoned by then.
const MAX_SINGLE_REQUEST_TIME: Duration = Duration::from_secs(3);

/// Time after the last packet for which an opening without an answer counts as load. A target that accepts it answers within
/// a round trip; otherwise the caller's next copy comes after 200 ms and counts anew.
const MAX_OPENING_TIME: Duration = Duration::from_millis(200);

/// Time after the last packet for which a flow with one request counts as load between the packets that show it. By then
/// its request is late, and a download would have been acknowledged further. Without it, the flows that callers left
/// without a word in a loss of power counted until the idle timeout of 15 s, and shares refused openings at a thirtieth
/// of the slots in use.
const MAX_SILENT_TIME: Duration = Duration::from_secs(1);

/// Time for which a finished flow is kept, so that its last packets reach the same target.
const FINISHED_RETENTION: Duration = Duration::from_secs(3);

/// Flows checked in one sweep, which bounds the time that a sweep takes.
const FLOWS_PER_SWEEP: usize = 2_000;

/// Capacity in flows; beyond it flows are not cached. At some 150 bytes each they fit into the memory of
/// the smallest instance.
pub const MAX_FLOWS: usize = 200_000;

/// Stage of a flow's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowStage {
    /// Opening packets have been forwarded, and the target has not answered.
    Opening,
    /// The target has answered, and no request is known to run.
    Idle,
    /// A request runs.
    Running,
    /// The caller has finished or reset the flow.
    Finished,
}

/// A cached flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Target that the flow was placed on.
    pub target: TargetKey,
    /// Targets that left the opening unanswered.
    pub tried: Vec<TargetKey>,
    /// Priority of the flow's route; 0 is the highest.
    pub priority: u8,
    /// Class of the flow's requests.
    pub class: RequestClass,
    /// Whether the flow is expected to end with the answer to its first request, as others of its route do.
    pub is_single: bool,
    /// Requests seen on the flow; 2 stands for more.
    pub requests: u8,
    /// Whether this entry has forwarded the opening, so that it has seen all requests.
    pub is_opened_here: bool,
    /// Set until the first request is answered, if this entry has forwarded the opening.
    pub admitted: Option<Admitted>,
    /// Arrival of the first packet.
    pub first_seen: Instant,
    /// Stage of the flow.
    pub stage: FlowStage,
    /// Arrival of the last packet.
    pub last_seen: Instant,
    /// Whether the caller has been silent for so long that it has given up what the flow was opened for.
    is_silent: bool,
    /// Whether the cache checks the flow for silence at some time.
    is_checked: bool,
    /// Time from the opening to the caller's next packet: one round trip, if this entry has forwarded the opening.
    pub handshake: Duration,
    /// Arrival of the first data packet of the last request, until its answer is sampled.
    pub sample_start: Option<Instant>,
    /// Ratio to the usual answer time with which the last request was counted while it ran; 0 if it was not.
    pub counted_ratio: f64,
    /// Acknowledgement number of the packet that carried the running request.
    request_ack: u32,
    /// Sequence number after the caller's last data byte; 0 before the first data.
    data_end: u32,
    request_start: Instant,
}

impl Flow {
    /// Creates a flow whose opening is forwarded to a target.
    #[must_use]
    pub fn opening(target: TargetKey, class: RequestClass, now: Instant) -> Self {
        Self::new(target, class, FlowStage::Opening, now)
    }

    /// Creates a flow that another entry has placed.
    #[must_use]
    pub fn placed_elsewhere(target: TargetKey, class: RequestClass, now: Instant) -> Self {
        Self::new(target, class, FlowStage::Idle, now)
    }

    fn new(target: TargetKey, class: RequestClass, stage: FlowStage, now: Instant) -> Self {
        let (tried, request_ack, data_end) = (Vec::new(), 0, 0);
        Self {
            target,
            tried,
            priority: u8::MAX,
            class,
            is_single: false,
            requests: 0,
            is_opened_here: stage == FlowStage::Opening,
            admitted: None,
            first_seen: now,
            stage,
            last_seen: now,
            is_silent: false,
            is_checked: false,
            handshake: Duration::ZERO,
            sample_start: None,
            counted_ratio: 0.0,
            request_ack,
            data_end,
            request_start: now,
        }
    }

    /// Bytes that the caller has received since it sent the running request, up to the acknowledgement number
    /// `ack`.
    #[must_use]
    pub fn bytes_received(&self, ack: u32) -> u32 {
        ack.wrapping_sub(self.request_ack)
    }

    /// Load of the flow on its target, in requests.
    fn load(&self) -> f64 {
        match (self.stage, self.class) {
            (FlowStage::Opening, _) if self.is_silent => 0.0,
            (FlowStage::Opening | FlowStage::Running, _) => 1.0,
            (FlowStage::Idle, RequestClass::Idempotent) => IDLE_FLOW_LOAD,
            (FlowStage::Idle, _) if self.is_silent => IDLE_FLOW_LOAD,
            // Flows of other classes carry one request each, which follows the handshake at once.
            (FlowStage::Idle, _) => 1.0,
            (FlowStage::Finished, _) => 0.0,
        }
    }

    /// Time at which the flow no longer counts as load unless its caller sends something; `None` if its stage does not
    /// depend on that.
    fn silent_at(&self) -> Option<Instant> {
        match (self.stage, self.class) {
            (FlowStage::Opening, _) => Some(self.last_seen + MAX_OPENING_TIME),
            (FlowStage::Idle, RequestClass::Idempotent) => None,
            (FlowStage::Idle, _) => Some(self.last_seen + MAX_SILENT_TIME),
            (FlowStage::Running | FlowStage::Finished, _) => None,
        }
    }
}

/// Cache of flows. Every change of a flow also updates the load of its target.
#[derive(Debug, Default)]
pub struct Flows {
    flows: BTreeMap<FlowKey, Flow>,
    /// Start of each request that may still run, the oldest first.
    running_requests: VecDeque<(Instant, FlowKey)>,
    /// Those that have run for [`MAX_REQUEST_TIME`] on flows with one request, the oldest first.
    long_requests: VecDeque<(Instant, FlowKey)>,
    /// Flows with one request that has run for [`MAX_REQUEST_TIME`] or [`MAX_SINGLE_REQUEST_TIME`] without an answer.
    overdue: Vec<FlowKey>,
    /// Flows that may fall silent, by the time at which each is checked.
    silence_checks: BTreeSet<(Instant, FlowKey)>,
    /// Last flow checked by the previous sweep.
    sweep_cursor: Option<FlowKey>,
}

impl Flows {
    /// Returns a cached flow.
    #[must_use]
    pub fn get(&self, key: &FlowKey) -> Option<&Flow> {
        self.flows.get(key)
    }

    /// Returns a cached flow, to change what its load does not depend on.
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut Flow> {
        self.flows.get_mut(key)
    }

    /// Takes the flows with one request that has run for long without an answer since the last call.
    pub fn take_overdue(&mut self) -> Vec<FlowKey> {
        std::mem::take(&mut self.overdue)
    }

    /// Returns the number of cached flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Caches a flow in place of an earlier one between the same endpoints, unless the cache is full.
    pub fn insert(&mut self, key: FlowKey, flow: Flow, directory: &mut Directory) {
        self.remove(&key, directory);
        if self.flows.len() >= MAX_FLOWS {
            return;
        }
        directory.add_load(flow.target, flow.priority, flow.load());
        self.flows.insert(key, flow);
        self.schedule_check(&key);
    }

    /// Removes a flow and its load.
    pub fn remove(&mut self, key: &FlowKey, directory: &mut Directory) {
        if let Some(flow) = self.flows.remove(key) {
            directory.add_load(flow.target, flow.priority, -flow.load());
        }
    }

    /// Applies a change to a flow and updates the load of its old and new target.
    pub fn update(
        &mut self,
        key: &FlowKey,
        directory: &mut Directory,
        change: impl FnOnce(&mut Flow),
    ) {
        let Some(flow) = self.flows.get_mut(key) else { return };
        let (target, before) = (flow.target, flow.load());
        flow.is_silent = false;
        change(flow);
        if flow.target == target {
            directory.add_load(target, flow.priority, flow.load() - before);
        } else {
            directory.add_load(target, flow.priority, -before);
            directory.add_load(flow.target, flow.priority, flow.load());
        }
        self.schedule_check(key);
    }

    /// Records a packet of an established flow that carries `data` bytes from `seq` and acknowledges
    /// `ack`.
    pub fn record_packet(
        &mut self,
        key: &FlowKey,
        (seq, ack, data): (u32, u32, u16),
        directory: &mut Directory,
        now: Instant,
    ) {
        let mut has_new_request = false;
        self.update(key, directory, |flow| {
            flow.last_seen = now;
            if flow.stage == FlowStage::Finished {
                return;
            }
            let end = seq.wrapping_add(u32::from(data));
            let is_new = flow.data_end == 0 || end.wrapping_sub(flow.data_end).cast_signed() > 0;
            if data > 0 && is_new {
                // Packets of one request carry the same acknowledgement.
                if flow.requests == 0 || ack != flow.request_ack {
                    flow.requests = flow.requests.saturating_add(1).min(2);
                    flow.sample_start = flow.is_opened_here.then_some(now);
                    flow.counted_ratio = 0.0;
                }
                flow.data_end = end;
                flow.request_ack = ack;
                flow.request_start = now;
                flow.stage = FlowStage::Running;
                has_new_request = true;
            } else if flow.stage == FlowStage::Opening
                || (flow.stage == FlowStage::Running && ack != flow.request_ack)
            {
                flow.stage = FlowStage::Idle;
            }
        });
        if has_new_request {
            self.running_requests.push_back((now, *key));
        }
    }

    /// Ends requests that have run for too long, and removes expired flows. Each call checks a part of
    /// the flows.
    pub fn sweep(&mut self, idle: Duration, directory: &mut Directory, now: Instant) {
        self.end_long_requests(directory, now);
        self.check_silence(directory, now);
        let is_expired = |flow: &Flow| match flow.stage {
            FlowStage::Finished | FlowStage::Opening => now >= flow.last_seen + FINISHED_RETENTION,
            FlowStage::Idle | FlowStage::Running => now >= flow.last_seen + idle,
        };
        let start = self.sweep_cursor.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let range = self.flows.range((start, std::ops::Bound::Unbounded)).take(FLOWS_PER_SWEEP);
        let checked: Vec<(FlowKey, bool)> =
            range.map(|(key, flow)| (*key, is_expired(flow))).collect();
        self.sweep_cursor =
            checked.last().filter(|_| checked.len() == FLOWS_PER_SWEEP).map(|(k, _)| *k);
        for (key, _) in checked.iter().filter(|(_, is_expired)| *is_expired) {
            self.remove(key, directory);
        }
    }
}

impl Flows {
    /// Ends requests that have run for so long that they have been answered or abandoned.
    fn end_long_requests(&mut self, directory: &mut Directory, now: Instant) {
        while let Some((start, key)) =
            self.running_requests.pop_front_if(|(at, _)| now >= *at + MAX_REQUEST_TIME)
        {
            if let Some(flow) = self.flows.get(&key).filter(|flow| flow.is_single) {
                self.overdue.extend(flow.sample_start.map(|_| key));
                self.long_requests.push_back((start, key));
            } else {
                self.end_request(&key, MAX_REQUEST_TIME, directory, now);
            }
        }
        while let Some((_, key)) =
            self.long_requests.pop_front_if(|(at, _)| now >= *at + MAX_SINGLE_REQUEST_TIME)
        {
            let is_unanswered =
                self.flows.get(&key).is_some_and(|flow| flow.sample_start.is_some());
            self.overdue.extend(is_unanswered.then_some(key));
            self.end_request(&key, MAX_SINGLE_REQUEST_TIME, directory, now);
        }
    }

    /// Schedules a check of a flow that may fall silent. Each flow has one check at most, which follows its last packet.
    fn schedule_check(&mut self, key: &FlowKey) {
        let Some(flow) = self.flows.get_mut(key).filter(|flow| !flow.is_checked) else { return };
        if let Some(at) = flow.silent_at().filter(|_| !flow.is_silent) {
            flow.is_checked = true;
            self.silence_checks.insert((at, *key));
        }
    }

    /// Stops counting the flows whose callers have given up without a word.
    fn check_silence(&mut self, directory: &mut Directory, now: Instant) {
        while let Some((at, key)) =
            self.silence_checks.first().copied().filter(|(at, _)| *at <= now)
        {
            self.silence_checks.remove(&(at, key));
            let Some(flow) = self.flows.get_mut(&key) else { continue };
            flow.is_checked = false;
            if flow.silent_at().is_some_and(|silent_at| silent_at <= now) {
                let before = flow.load();
                flow.is_silent = true;
                directory.add_load(flow.target, flow.priority, flow.load() - before);
            } else {
                self.schedule_check(&key);
            }
        }
    }

    fn end_request(
        &mut self,
        key: &FlowKey,
        after: Duration,
        directory: &mut Directory,
        now: Instant,
    ) {
        self.update(key, directory, |flow| {
            if flow.stage == FlowStage::Running && now >= flow.request_start + after {
                flow.stage = FlowStage::Idle;
            }
        });
    }
}
