//! Decides on each packet of a caller by the flow cookie, the routes and the load of the targets.

mod load;
mod opening;
mod unsent;

pub(in crate::cookie) use opening::OpeningOutcome;
pub use unsent::OpeningRoute;

use super::admission::{AdmissionControl, FirstAnswer, LimitStatus, OpeningAge};
use super::capacity::Capacity;
use super::directory::{Directory, Target, TargetKey, TargetSpec};
use super::flows::{Flow, FlowStage, Flows};
use super::habits::Habits;
use super::openings::{Deferral, Surge};
use super::shared::SharedLoad;
use super::{CallerPacket, Cookie, DiscardReason, FlowKey, PacketKind, ResetReason, Verdict};
use bon::Builder;
use comfreyhold_types::keys::DomainName;
use comfreyhold_types::routes::{FormerServices, Route, RouteTable};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between the announced end of a target and the first reset of its flows. An ending target still sends
/// its last answers.
const ENDED_TARGET_GRACE: Duration = Duration::from_secs(2);

/// Settings of a [`Balancer`].
#[derive(Clone, Debug, Builder)]
pub struct BalancerSettings {
    /// Failure domain of the entry.
    pub domain: DomainName,
    /// Added to the score of a target in another failure domain, in requests per slot.
    pub remote_penalty: f64,
    /// Time after a failure domain is restored in which its targets count as cold. It allows each of them to
    /// announce whether it is.
    pub restore_period: Duration,
    /// Number of reporting entries from which each of them has a share of a service. With fewer entries, the limit by
    /// late answers decides.
    #[builder(default)]
    pub min_entries_for_shares: u32,
    /// Whether openings are limited under overload. Without it, the targets alone refuse what they can't queue.
    #[builder(default = true)]
    pub limits_openings: bool,
    /// Whether the capacity of targets is learned from their answers. Without it, the announced slots count.
    #[builder(default = true)]
    pub learns_capacity: bool,
}

/// The part of the operators' declarations that packet decisions depend on.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Number of the last change. It only increases.
    pub change: u64,
    /// Active routes; `None` before any were received.
    pub table: Option<Arc<RouteTable>>,
    /// Services that the routes of each service address have led to.
    pub former: Arc<FormerServices>,
    /// Failure domains that take no new flows.
    pub withdrawn: BTreeSet<DomainName>,
}

/// Where the packets of an established flow go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FlowTarget {
    /// Latest known start of the flow's target.
    pub key: TargetKey,
    /// Whether the directory has the start that the flow was placed on. Otherwise that start may be later than `key`.
    pub is_known_start: bool,
}

/// Routes the packets of one entry, with its directory of targets and its flow cache.
#[derive(Debug)]
pub struct Balancer {
    pub(super) settings: BalancerSettings,
    routing: Routing,
    restored: BTreeMap<DomainName, Instant>,
    pub(super) directory: Directory,
    pub(super) flows: Flows,
    pub(super) habits: Habits,
    pub(super) capacity: Capacity,
    pub(super) admission: AdmissionControl,
    pub(super) shared: SharedLoad,
    /// Lowest priority of each service's routes that goes before others; 0 is the highest.
    top_priorities: BTreeMap<String, u8>,
    pub(super) surge: Surge,
}

impl Balancer {
    /// Creates a balancer without routes and targets.
    #[must_use]
    pub fn new(settings: BalancerSettings) -> Self {
        Self {
            settings,
            routing: Routing::default(),
            restored: BTreeMap::new(),
            directory: Directory::default(),
            flows: Flows::default(),
            habits: Habits::default(),
            capacity: Capacity::default(),
            admission: AdmissionControl::default(),
            shared: SharedLoad::default(),
            top_priorities: BTreeMap::new(),
            surge: Surge::default(),
        }
    }

    /// Returns the active declarations.
    #[must_use]
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Returns the directory of targets.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the directory of targets, to update what is known of their load through other entries.
    pub fn directory_mut(&mut self) -> &mut Directory {
        &mut self.directory
    }

    /// Returns what is known of the load of all entries, to update it.
    pub fn shared_mut(&mut self) -> &mut SharedLoad {
        &mut self.shared
    }

    /// Returns the number of cached flows.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Whether this entry has routes and a target that has not ended.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.routing.table.is_some() && self.directory.iter().any(|(_, t)| t.ended_at.is_none())
    }

    /// Activates newer declarations and ignores older ones. Returns whether they were newer.
    pub fn set_routing(&mut self, routing: Routing, now: Instant) -> bool {
        if self.routing.table.is_some() && routing.change <= self.routing.change {
            return false;
        }
        let restored = self.routing.withdrawn.difference(&routing.withdrawn);
        let until = now + self.settings.restore_period;
        self.restored.extend(restored.map(|domain| (domain.clone(), until)));
        self.restored.retain(|_, until| now < *until);
        if self.routing.table.is_none() && routing.table.is_some() {
            self.surge = Surge::starting_at(now);
        }
        if let Some(table) = routing.table.as_deref() {
            self.top_priorities = top_priorities(table);
            self.admission.forget_removed(table);
            self.habits.forget_removed(table);
            self.capacity.forget_removed(table);
        }
        self.routing = routing;
        true
    }

    /// Adds a target or updates its properties. Returns whether they changed.
    pub fn set_target(&mut self, spec: TargetSpec, now: Instant) -> bool {
        self.directory.upsert(spec, now)
    }

    /// Ends requests that have run for too long, and removes expired flows and targets. Call it periodically.
    pub fn sweep(&mut self, now: Instant) {
        let idle = self.routing.table.as_ref().map(|table| table.idle_timeout());
        self.directory.set_now(now);
        self.flows.sweep(idle.unwrap_or_default(), &mut self.directory, now);
        self.sweep_capacity(now);
        self.directory.remove_ended(now);
    }

    /// Decides on a packet. `late` is true if packets have been unread for long, for example after the process
    /// was paused. `waited` is the time that this one was buffered for routes or deferred.
    pub fn route_packet(
        &mut self,
        packet: &CallerPacket,
        late: bool,
        waited: Duration,
        now: Instant,
    ) -> Verdict {
        let Some(table) = self.routing.table.clone() else {
            return Verdict::Discard(DiscardReason::NotReady);
        };
        self.directory.set_now(now);
        let route = table.routes.get(&packet.flow.service);
        match (packet.kind, route) {
            (PacketKind::Open { .. }, None) => Verdict::Reset(ResetReason::NoRoute),
            (PacketKind::Open { .. }, Some(_)) if late => {
                Verdict::Discard(DiscardReason::LateOpening)
            }
            (PacketKind::Open { copy }, Some(route)) => {
                if copy == 0 && waited.is_zero() {
                    self.count_opening(packet, route, now);
                }
                match self.surge.defer(copy, route.objective(), waited, now) {
                    Deferral::None => {
                        let opening = OpeningAge { flow: packet.flow, copy, waited };
                        let verdict = self.route_opening(packet, opening, route, now);
                        self.shared.record_verdict(&verdict, now);
                        verdict
                    }
                    Deferral::For(delay) => Verdict::Defer(delay),
                    Deferral::UntilRetransmission => Verdict::Discard(DiscardReason::Surge),
                }
            }
            (_, Some(route)) => self.route_established(packet, route, late, now),
            (_, None) if self.routing.former.contains_key(&packet.flow.service) => {
                self.flows.remove(&packet.flow, &mut self.directory);
                Verdict::Reset(ResetReason::RouteRemoved)
            }
            // The route may be newer than the routes of this entry, and its flow may still be in use.
            (_, None) => Verdict::Discard(DiscardReason::UnknownRoute),
        }
    }

    fn route_established(
        &mut self,
        packet: &CallerPacket,
        route: &Route,
        late: bool,
        now: Instant,
    ) -> Verdict {
        let flow_target = match self.find_flow_target(packet, route) {
            Ok(flow_target) => flow_target,
            Err(reason) => return Verdict::Discard(reason),
        };
        self.observe(packet, late, now);
        let answered = self.record_packet(packet, flow_target.key, route, now);
        let verdict = self.established_verdict(flow_target, answered, now);
        if matches!(verdict, Verdict::Reset(_)) {
            self.flows.remove(&packet.flow, &mut self.directory);
        }
        verdict
    }

    /// The verdict on a packet of an established flow whose target is known.
    ///
    /// A flow that was placed on a former start may be open at the present one: openings reach it until this entry, or the
    /// one that placed the flow, has learned of the restart. Only the target knows, and it resets flows that it lacks. So
    /// this entry resets a flow only if the start that it was placed on is known, and the latest one has ended.
    pub(super) fn established_verdict(
        &self,
        flow_target: FlowTarget,
        answered: Option<Duration>,
        now: Instant,
    ) -> Verdict {
        let FlowTarget { key, is_known_start } = flow_target;
        let target = self.directory.get(key).filter(|_| is_known_start);
        if target.is_some_and(|target| has_stopped_answering(target, now)) {
            return Verdict::Reset(ResetReason::TargetEnded);
        }
        self.forward_to(key, answered)
    }

    /// Finds the target of an established flow. A flow whose handshake was seen here stays on the target that
    /// the caller acknowledged, even if a second target has answered a retransmission of the opening later and
    /// changed the cookie.
    pub(super) fn find_flow_target(
        &self,
        packet: &CallerPacket,
        route: &Route,
    ) -> Result<FlowTarget, DiscardReason> {
        let cached = self.flows.get(&packet.flow).map(|flow| (flow.stage, flow.target));
        let placed = cached.filter(|(stage, _)| *stage != FlowStage::Opening);
        let flow_target = match placed.and_then(|(_, placed)| self.latest_start_of(placed)) {
            Some(flow_target) => Some(flow_target),
            None if packet.cookie == Cookie::default() => {
                cached.and_then(|(_, opening)| self.latest_start_of(opening))
            }
            None => self.find_by_cookie(packet.cookie),
        };
        let flow_target = flow_target.ok_or(DiscardReason::UnknownTarget)?;
        if placed.is_some_and(|(_, placed)| placed == flow_target.key) {
            return Ok(flow_target);
        }
        let target = self.directory.get(flow_target.key).ok_or(DiscardReason::UnknownTarget)?;
        if self.is_allowed_target(&packet.flow, route, target) {
            Ok(flow_target)
        } else {
            Err(DiscardReason::ForeignTarget)
        }
    }

    /// The latest start of the target that a flow was placed on; `None` if that is no longer in the directory.
    fn latest_start_of(&self, placed: TargetKey) -> Option<FlowTarget> {
        let target = self.directory.get(placed)?;
        let key = match target.is_replaced {
            true => self.directory.latest_start(target.spec.id)?,
            false => placed,
        };
        Some(FlowTarget { key, is_known_start: true })
    }

    fn find_by_cookie(&self, cookie: Cookie) -> Option<FlowTarget> {
        if let Some(placed) = self.directory.find(cookie) {
            return self.latest_start_of(placed);
        }
        let key = self.directory.find_other_start(cookie)?;
        Some(FlowTarget { key, is_known_start: false })
    }

    /// Whether a route of the service address leads to the target's service, or has led to it.
    fn is_allowed_target(&self, flow: &FlowKey, route: &Route, target: &Target) -> bool {
        let service = &target.spec.service;
        let former_services = self.routing.former.get(&flow.service);
        route.leads_to(service)
            || former_services.is_some_and(|services| services.contains(service))
    }

    /// Records a packet of an established flow. Returns the time since its opening if it is the first one.
    fn record_packet(
        &mut self,
        packet: &CallerPacket,
        key: TargetKey,
        route: &Route,
        now: Instant,
    ) -> Option<Duration> {
        let class = route.class;
        let known = self.flows.get(&packet.flow).map(|flow| (flow.stage, flow.last_seen));
        let answered = match known {
            Some((FlowStage::Opening, last_seen)) => Some(now.saturating_duration_since(last_seen)),
            _ => None,
        };
        if known.is_none() {
            let mut flow = Flow::placed_elsewhere(key, class, now);
            flow.priority = route.priority;
            self.flows.insert(packet.flow, flow, &mut self.directory);
        }
        if known.is_none() || answered.is_some() {
            self.flows.update(&packet.flow, &mut self.directory, |flow| flow.target = key);
            if let Some(target) = self.directory.get_mut(key) {
                target.health.record_answer();
            }
        }
        self.record_first_answer(packet, route, now);
        // Only flows seen from the beginning show how many requests they have.
        let seen = self.flows.get(&packet.flow).filter(|flow| flow.is_opened_here);
        let requests = seen.map(|flow| flow.requests);
        let is_answered = seen.is_some_and(|flow| flow.bytes_received(packet.ack) > 0);
        match packet.kind {
            PacketKind::Finish | PacketKind::Abort => {
                let was_open = !matches!(known, Some((FlowStage::Finished, _)));
                let has_ended = was_open && packet.kind == PacketKind::Finish;
                if has_ended && is_answered && requests == Some(1) {
                    self.habits.record(packet.flow.service, true);
                }
                self.flows.update(&packet.flow, &mut self.directory, |flow| {
                    flow.stage = FlowStage::Finished;
                    flow.last_seen = now;
                });
            }
            _ => {
                let progress = (packet.seq, packet.ack, packet.data);
                self.flows.record_packet(&packet.flow, progress, &mut self.directory, now);
                self.watch_request(packet, now);
                let after = self.flows.get(&packet.flow).map(|flow| flow.requests);
                if requests == Some(1) && after == Some(2) {
                    self.habits.record(packet.flow.service, false);
                }
            }
        }
        answered
    }

    /// Records the answer to the flow's first request, as soon as the caller has acknowledged a part of it.
    fn record_first_answer(&mut self, packet: &CallerPacket, route: &Route, now: Instant) {
        let Some(flow) = self.flows.get(&packet.flow) else { return };
        let Some(admitted) = flow.admitted else { return };
        let bytes = flow.bytes_received(packet.ack);
        let is_answered = flow.requests > 0 && bytes > 0;
        let has_ended = matches!(packet.kind, PacketKind::Finish | PacketKind::Abort);
        if !is_answered && !has_ended {
            return;
        }
        if is_answered && packet.kind != PacketKind::Abort {
            let (address, objective) = (route.address, route.objective());
            let answer = FirstAnswer { address, objective, bytes };
            let took = now.saturating_duration_since(flow.first_seen);
            self.shared.record_first_answer(took, objective, now);
            self.admission.record_answer(admitted, answer, now);
        } else {
            self.admission.record_ended(admitted);
        }
        self.flows.update(&packet.flow, &mut self.directory, |flow| flow.admitted = None);
    }

    /// State of the limit on openings to the service that a service address leads to, for logs.
    #[must_use]
    pub fn limit_status(&self, packet: &CallerPacket, now: Instant) -> Option<LimitStatus> {
        let route = self.routing.table.as_ref()?.routes.get(&packet.flow.service)?;
        let service = route.choose_service(hash_opening(&packet.flow, packet.seq))?;
        self.admission.status(service, now)
    }

    fn forward_to(&self, key: TargetKey, answered: Option<Duration>) -> Verdict {
        let Some(target) = self.directory.get(key) else {
            return Verdict::Discard(DiscardReason::UnknownTarget);
        };
        let (target, cookie) = (&target.spec, target.cookie);
        Verdict::Forward { target: target.id, address: target.address, cookie, answered }
    }
}

/// Whether a target can't send any more answers.
fn has_stopped_answering(target: &Target, now: Instant) -> bool {
    target.is_replaced
        || target.ended_at.is_some_and(|ended_at| now >= ended_at + ENDED_TARGET_GRACE)
}

/// Lowest of the priorities that go before others, for each service: all but the lowest of several, or the only one. A
/// service may have a route of the highest priority that hardly anybody uses.
fn top_priorities(table: &RouteTable) -> BTreeMap<String, u8> {
    let mut priorities: BTreeMap<&str, BTreeSet<u8>> = BTreeMap::new();
    for route in table.routes.values() {
        for destination in route.destinations.iter().filter(|d| d.weight > 0) {
            priorities.entry(&destination.service).or_default().insert(route.priority);
        }
    }
    let top = |all: &BTreeSet<u8>| all.iter().rev().nth(1).or(all.first()).copied();
    let of_service = priorities.iter().filter_map(|(name, all)| Some((*name, top(all)?)));
    of_service.map(|(name, top)| (name.to_owned(), top)).collect()
}

/// Hash of an opening that is the same for all its retransmissions.
pub(super) fn hash_opening(flow: &FlowKey, seq: u32) -> u64 {
    let mut hasher = SipHasher13::new();
    (flow, seq).hash(&mut hasher);
    hasher.finish()
}
