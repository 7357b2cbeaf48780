//! Decides about each packet of a caller.

use super::directory::{Directory, Target, TargetKey, TargetSpec};
use super::flows::{Flow, Flows, Stage};
use super::openings::{Surge, Turn};
use super::placement::{Circumstances, choose};
use super::{CallerPacket, Cookie, DiscardReason, FlowKey, PacketKind, ResetReason, Verdict};
use bon::Builder;
use comfreyhold_types::keys::DomainName;
use comfreyhold_types::routes::{FormerServices, RequestClass, Route, RouteTable};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between the announced end of a target and the first reset of its flows. A target still sends the
/// last answers while it ends.
const END_GRACE: Duration = Duration::from_secs(2);

/// Time that a target has to answer an opening before a copy of it shows that it did not. Callers send copies
/// after 200 ms and more, so one that comes sooner was sent before its opening was passed on.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Settings of one entry.
#[derive(Clone, Debug, Builder)]
pub struct BalancerSettings {
    /// Failure domain of the entry.
    pub domain: DomainName,
    /// Advantage of a target in the own domain, in requests per slot.
    pub remote_penalty: f64,
    /// Time after the return of a failure domain in which its targets count as cold, so that each has
    /// announced whether it is.
    pub restore_period: Duration,
}

/// What an entry knows of the operators' declarations.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Number of the change; it never goes back.
    pub change: u64,
    /// Routes in force; `None` before any are known.
    pub table: Option<Arc<RouteTable>>,
    /// Services that each service address has led to.
    pub former: Arc<FormerServices>,
    /// Failure domains that take no new flows.
    pub withdrawn: BTreeSet<DomainName>,
}

/// The decisions of one entry.
pub struct Balancer {
    settings: BalancerSettings,
    routing: Routing,
    returning: BTreeMap<DomainName, Instant>,
    directory: Directory,
    flows: Flows,
    surge: Surge,
}

impl Balancer {
    /// Creates a balancer without routes and targets.
    #[must_use]
    pub fn new(settings: BalancerSettings) -> Self {
        Self {
            settings,
            routing: Routing::default(),
            returning: BTreeMap::new(),
            directory: Directory::default(),
            flows: Flows::default(),
            surge: Surge::default(),
        }
    }

    /// The declarations in force here.
    #[must_use]
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// The targets known here.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Number of flows remembered.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Whether routes are known, and a target that takes new flows.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.routing.table.is_some() && self.directory.iter().any(|(_, t)| t.ended.is_none())
    }

    /// Puts newer declarations in force. Older ones change nothing. Returns whether they are newer.
    pub fn set_routing(&mut self, routing: Routing, now: Instant) -> bool {
        if self.routing.table.is_some() && routing.change <= self.routing.change {
            return false;
        }
        let back = self.routing.withdrawn.difference(&routing.withdrawn);
        let until = now + self.settings.restore_period;
        self.returning.extend(back.map(|domain| (domain.clone(), until)));
        self.returning.retain(|_, until| now < *until);
        if self.routing.table.is_none() && routing.table.is_some() {
            self.surge = Surge::from(now);
        }
        self.routing = routing;
        true
    }

    /// Takes in what is told about a target. Returns whether it differs from what was known.
    pub fn set_target(&mut self, spec: TargetSpec, now: Instant) -> bool {
        self.directory.update(spec, now)
    }

    /// Work that is due from time to time.
    pub fn sweep(&mut self, now: Instant) {
        let idle = self.routing.table.as_ref().map(|table| table.idle_timeout());
        self.flows.sweep(idle.unwrap_or_default(), &mut self.directory, now);
        self.directory.forget_ended(now);
    }

    /// Decides about a packet. `late` tells that packets have waited unread for long, and `waited` for how long
    /// this one has waited for routes or behind others.
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
        let route = table.routes.get(&packet.flow.service);
        match (packet.kind, route) {
            (PacketKind::Open { .. }, None) => Verdict::Reset(ResetReason::NoRoute),
            (PacketKind::Open { .. }, Some(_)) if late => {
                Verdict::Discard(DiscardReason::LateOpening)
            }
            (PacketKind::Open { copy }, Some(route)) => {
                match self.surge.turn(copy, route.objective(), waited, now) {
                    Turn::Now => self.open(packet, copy, route, now),
                    Turn::After(wait) => Verdict::Defer(wait),
                    Turn::NextCopy => Verdict::Discard(DiscardReason::Surge),
                }
            }
            (_, Some(route)) => self.forward(packet, route, now),
            (_, None) if self.routing.former.contains_key(&packet.flow.service) => {
                self.flows.remove(&packet.flow, &mut self.directory);
                Verdict::Reset(ResetReason::RouteRemoved)
            }
            // The route may be newer than the routes known here, and its flow alive.
            (_, None) => Verdict::Discard(DiscardReason::UnknownRoute),
        }
    }

    fn open(&mut self, packet: &CallerPacket, copy: u32, route: &Route, now: Instant) -> Verdict {
        let known = self.flows.get(&packet.flow).filter(|flow| flow.stage == Stage::Opening);
        if let Some(flow) = known.filter(|flow| copy > 0 && now < flow.seen + ANSWER_TIME) {
            return self.to_target(flow.target, None);
        }
        let mut tried = known.map(|flow| flow.tried.clone()).unwrap_or_default();
        if let Some(target) = known.map(|flow| flow.target).filter(|_| copy > 0) {
            tried.push(target);
            if let Some(target) = self.directory.get_mut(target) {
                target.health.failed(now);
            }
        }
        let spread = spread(&packet.flow, packet.seq);
        let Some(service) = route.choose_service(spread) else {
            return Verdict::Reset(ResetReason::NoTarget);
        };
        let cx = Circumstances {
            service,
            domain: &self.settings.domain,
            withdrawn: &self.routing.withdrawn,
            returning: &self.returning,
            tried: &tried,
            remote_penalty: self.settings.remote_penalty,
            spread,
            now,
        };
        let Some(key) = choose(&self.directory, &cx) else {
            self.flows.remove(&packet.flow, &mut self.directory);
            return Verdict::Reset(ResetReason::NoTarget);
        };
        if let Some(target) = self.directory.get_mut(key) {
            target.health.trying(now);
        }
        let mut flow = Flow::opening(key, route.class, now);
        flow.tried = tried;
        self.flows.insert(packet.flow, flow, &mut self.directory);
        self.to_target(key, None)
    }

    fn forward(&mut self, packet: &CallerPacket, route: &Route, now: Instant) -> Verdict {
        let key = match self.flow_target(packet, route) {
            Ok(key) => key,
            Err(reason) => return Verdict::Discard(reason),
        };
        let answered = self.note_packet(packet, key, route.class, now);
        if self.directory.get(key).is_some_and(|target| is_gone(target, now)) {
            self.flows.remove(&packet.flow, &mut self.directory);
            return Verdict::Reset(ResetReason::TargetEnded);
        }
        self.to_target(key, answered)
    }

    /// The target of an open flow. A flow whose handshake was seen here stays where it was acknowledged,
    /// even if a second target has answered a copy of its opening later and changed the mark.
    fn flow_target(
        &self,
        packet: &CallerPacket,
        route: &Route,
    ) -> Result<TargetKey, DiscardReason> {
        let remembered = self.flows.get(&packet.flow);
        if let Some(flow) = remembered.filter(|flow| flow.stage != Stage::Opening) {
            return Ok(flow.target);
        }
        if packet.cookie == Cookie::default() {
            let opening = remembered.map(|flow| flow.target);
            return opening.ok_or(DiscardReason::UnknownTarget);
        }
        let key = self.directory.find(packet.cookie).ok_or(DiscardReason::UnknownTarget)?;
        let target = self.directory.get(key).ok_or(DiscardReason::UnknownTarget)?;
        if self.may_lead_to(&packet.flow, route, target) {
            Ok(key)
        } else {
            Err(DiscardReason::ForeignTarget)
        }
    }

    fn may_lead_to(&self, flow: &FlowKey, route: &Route, target: &Target) -> bool {
        let service = &target.spec.service;
        let former = self.routing.former.get(&flow.service);
        route.leads_to(service) || former.is_some_and(|services| services.contains(service))
    }

    /// Takes in a packet of an open flow. Returns the time since its opening if it is the first one.
    fn note_packet(
        &mut self,
        packet: &CallerPacket,
        key: TargetKey,
        class: RequestClass,
        now: Instant,
    ) -> Option<Duration> {
        let known = self.flows.get(&packet.flow).map(|flow| (flow.stage, flow.seen));
        let answered = match known {
            Some((Stage::Opening, seen)) => Some(now.saturating_duration_since(seen)),
            _ => None,
        };
        if known.is_none() {
            let flow = Flow::taken_over(key, class, now);
            self.flows.insert(packet.flow, flow, &mut self.directory);
        }
        if known.is_none() || answered.is_some() {
            self.flows.change(&packet.flow, &mut self.directory, |flow| flow.target = key);
            if let Some(target) = self.directory.get_mut(key) {
                target.health.answered();
            }
        }
        match packet.kind {
            PacketKind::Finish | PacketKind::Abort => {
                self.flows.change(&packet.flow, &mut self.directory, |flow| {
                    flow.stage = Stage::Finished;
                    flow.seen = now;
                });
            }
            _ => {
                let progress = (packet.seq, packet.ack, packet.data);
                self.flows.progress(&packet.flow, progress, &mut self.directory, now);
            }
        }
        answered
    }

    fn to_target(&self, key: TargetKey, answered: Option<Duration>) -> Verdict {
        let Some(target) = self.directory.get(key) else {
            return Verdict::Discard(DiscardReason::UnknownTarget);
        };
        let (target, cookie) = (&target.spec, target.cookie);
        Verdict::Forward { target: target.id, address: target.address, cookie, answered }
    }
}

/// Whether no answer of a target can come any more.
fn is_gone(target: &Target, now: Instant) -> bool {
    target.replaced || target.ended.is_some_and(|ended| now >= ended + END_GRACE)
}

/// A number that differs between flows and is the same for all copies of one opening.
fn spread(flow: &FlowKey, seq: u32) -> u64 {
    let mut hasher = SipHasher13::new();
    (flow, seq).hash(&mut hasher);
    hasher.finish()
}
