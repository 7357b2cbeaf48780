//! Decides on openings. The decision reads the balancer's state; the change that follows from it is separate, so that
//! an explanation makes the same decision and changes nothing.

use super::{Balancer, BalancerSettings, Routing, hash_opening};
use crate::cookie::admission::{Admission, AdmissionControl, Admitted, OpeningAge, ShareInput};
use crate::cookie::capacity::Capacity;
use crate::cookie::directory::{Directory, TargetKey};
use crate::cookie::flows::{Flow, FlowStage, Flows};
use crate::cookie::placement::{Choice, PlacementContext, choose};
use crate::cookie::shared::SharedLoad;
use crate::cookie::{CallerPacket, DiscardReason, FlowKey, ResetReason, Verdict};
use comfreyhold_types::keys::DomainName;
use comfreyhold_types::routes::Route;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that a target has to answer an opening before a retransmission counts as a missing answer. Callers
/// retransmit after 200 ms or more, so one that arrives sooner was sent before its opening was forwarded.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// What the decision on an opening depends on, apart from the state of admission, which each decision changes.
#[derive(Clone, Copy)]
pub(in crate::cookie) struct OpeningView<'a> {
    pub settings: &'a BalancerSettings,
    pub routing: &'a Routing,
    pub restored: &'a BTreeMap<DomainName, Instant>,
    pub directory: &'a Directory,
    pub flows: &'a Flows,
    pub capacity: &'a Capacity,
    pub shared: &'a SharedLoad,
    pub top_priorities: &'a BTreeMap<String, u8>,
}

/// What is known of an opening's flow.
#[derive(Clone, Debug, Default)]
pub(in crate::cookie) struct Attempt {
    /// Whether the opening was forwarded here before and its target has not answered.
    pub is_known: bool,
    /// Target to which a copy goes that came too soon to show a missing answer.
    pub repeated: Option<TargetKey>,
    /// Target that this copy shows not to have answered.
    pub missed: Option<TargetKey>,
    /// All targets that have not answered.
    pub tried: Vec<TargetKey>,
    admitted: Option<Admitted>,
    first_seen: Option<Instant>,
}

/// Decision on an opening.
#[derive(Clone, Debug)]
pub(in crate::cookie) struct OpeningDecision<'r> {
    pub attempt: Attempt,
    pub outcome: OpeningOutcome<'r>,
}

/// What becomes of an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::cookie) enum OpeningOutcome<'r> {
    /// It goes to the target that it was forwarded to before.
    Repeat(TargetKey),
    /// No destination of the route has a weight.
    NoService,
    /// Admission lets it wait or refuses it; never [`Admission::Now`].
    Held(Admission),
    /// No target of the service takes new flows.
    NoTarget,
    /// It is placed on a target of the service.
    Place(&'r str, Choice),
}

impl OpeningView<'_> {
    /// Decides on an opening. Only `admission` changes.
    pub fn decide<'r>(
        &self,
        admission: &mut AdmissionControl,
        packet: &CallerPacket,
        opening: OpeningAge,
        route: &'r Route,
        now: Instant,
    ) -> OpeningDecision<'r> {
        let attempt = self.attempt(&packet.flow, opening.copy, now);
        let flow_hash = hash_opening(&packet.flow, packet.seq);
        let outcome = match (attempt.repeated, route.choose_service(flow_hash)) {
            (Some(target), _) => OpeningOutcome::Repeat(target),
            (None, None) => OpeningOutcome::NoService,
            (None, Some(service)) => {
                let is_limited = !attempt.is_known && self.settings.limits_openings;
                let admitted = if is_limited {
                    self.admit(admission, service, route, opening, now)
                } else {
                    Admission::Now
                };
                match admitted {
                    Admission::Now => {
                        let cx = self.placement(service, &attempt.tried, flow_hash, now);
                        let choice = choose(self.directory, &cx);
                        choice.map_or(OpeningOutcome::NoTarget, |choice| {
                            OpeningOutcome::Place(service, choice)
                        })
                    }
                    held => OpeningOutcome::Held(held),
                }
            }
        };
        OpeningDecision { attempt, outcome }
    }

    /// Looks an opening's flow up.
    fn attempt(&self, key: &FlowKey, copy: u32, now: Instant) -> Attempt {
        let known = self.flows.get(key).filter(|flow| flow.stage == FlowStage::Opening);
        let Some(flow) = known else { return Attempt::default() };
        let is_early = copy > 0 && now < flow.last_seen + ANSWER_TIMEOUT;
        let missed = (copy > 0 && !is_early).then_some(flow.target);
        Attempt {
            is_known: true,
            repeated: is_early.then_some(flow.target),
            missed,
            tried: flow.tried.iter().copied().chain(missed).collect(),
            admitted: flow.admitted,
            first_seen: Some(flow.first_seen),
        }
    }

    fn admit(
        &self,
        admission: &mut AdmissionControl,
        service: &str,
        route: &Route,
        opening: OpeningAge,
        now: Instant,
    ) -> Admission {
        let top = self.top_priorities.get(service);
        let is_top = top.is_none_or(|top| route.priority <= *top);
        let input = ShareInput {
            service,
            totals: self
                .shared
                .service(service, now)
                .filter(|_| self.shared.entries() >= self.settings.min_entries_for_shares),
            directory: self.directory,
            domain: &self.settings.domain,
            withdrawn: &self.routing.withdrawn,
            restored: self.restored,
        };
        admission.update_share(&input, route, now);
        admission.decide(service, route, is_top, opening, now)
    }

    /// What the choice of a target depends on.
    pub fn placement<'s>(
        &'s self,
        service: &'s str,
        tried: &'s [TargetKey],
        flow_hash: u64,
        now: Instant,
    ) -> PlacementContext<'s> {
        PlacementContext {
            service,
            local_domain: &self.settings.domain,
            spill_domain: self.shared.spill_domain(service, flow_hash, now),
            withdrawn: &self.routing.withdrawn,
            restored: self.restored,
            tried,
            remote_penalty: self.settings.remote_penalty,
            flow_hash,
            is_uneven: self.capacity.is_uneven(service),
            now,
        }
    }
}

impl Balancer {
    /// Decides on an opening and makes the change that follows.
    pub(super) fn route_opening(
        &mut self,
        packet: &CallerPacket,
        opening: OpeningAge,
        route: &Route,
        now: Instant,
    ) -> Verdict {
        let view = OpeningView {
            settings: &self.settings,
            routing: &self.routing,
            restored: &self.restored,
            directory: &self.directory,
            flows: &self.flows,
            capacity: &self.capacity,
            shared: &self.shared,
            top_priorities: &self.top_priorities,
        };
        let decision = view.decide(&mut self.admission, packet, opening, route, now);
        self.apply_opening(packet, route, decision, now)
    }

    /// Returns what the decision on an opening depends on, apart from the state of admission.
    pub(in crate::cookie) fn opening_view(&self) -> OpeningView<'_> {
        OpeningView {
            settings: &self.settings,
            routing: &self.routing,
            restored: &self.restored,
            directory: &self.directory,
            flows: &self.flows,
            capacity: &self.capacity,
            shared: &self.shared,
            top_priorities: &self.top_priorities,
        }
    }

    fn apply_opening(
        &mut self,
        packet: &CallerPacket,
        route: &Route,
        decision: OpeningDecision<'_>,
        now: Instant,
    ) -> Verdict {
        let OpeningDecision { attempt, outcome } = decision;
        if let Some(target) = attempt.missed.and_then(|key| self.directory.get_mut(key)) {
            target.health.record_failure(now);
        }
        match outcome {
            OpeningOutcome::Place(service, choice) => {
                self.place(packet, route, (service, choice.target), attempt, now);
            }
            OpeningOutcome::NoTarget => self.flows.remove(&packet.flow, &mut self.directory),
            _ => {}
        }
        self.opening_verdict(&outcome)
    }

    /// The verdict on an opening that follows from its decision.
    pub(in crate::cookie) fn opening_verdict(&self, outcome: &OpeningOutcome<'_>) -> Verdict {
        match outcome {
            OpeningOutcome::Repeat(target) => self.forward_to(*target, None),
            OpeningOutcome::Place(_, choice) => self.forward_to(choice.target, None),
            OpeningOutcome::NoService | OpeningOutcome::NoTarget => {
                Verdict::Reset(ResetReason::NoTarget)
            }
            OpeningOutcome::Held(Admission::After(delay)) => Verdict::Defer(*delay),
            OpeningOutcome::Held(Admission::Refused) => Verdict::Reset(ResetReason::Overloaded),
            OpeningOutcome::Held(Admission::AtRetransmission | Admission::Now) => {
                Verdict::Discard(DiscardReason::Overload)
            }
        }
    }

    /// Records that an opening is forwarded to a target.
    fn place(
        &mut self,
        packet: &CallerPacket,
        route: &Route,
        (service, key): (&str, TargetKey),
        attempt: Attempt,
        now: Instant,
    ) {
        if let Some(target) = self.directory.get_mut(key) {
            target.health.record_attempt(now);
            target.learned.record_opening(now);
        }
        let mut flow = Flow::opening(key, route.class, now);
        flow.tried = attempt.tried;
        flow.priority = route.priority;
        flow.first_seen = attempt.first_seen.unwrap_or(now);
        flow.is_single = self.habits.is_single(packet.flow.service);
        flow.admitted = attempt.admitted.or_else(|| self.admission.record_forwarded(service, now));
        self.flows.insert(packet.flow, flow, &mut self.directory);
    }
}
