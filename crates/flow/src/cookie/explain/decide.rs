//! Makes the decision on a packet without changing anything.

use super::answer::{
    Action, AdmissionAction, AdmissionAnswer, AdmissionReason, Decision, DestinationWeight,
    Explanation, InputAges, RouteAnswer,
};
use super::bounds::{MAX_DESTINATIONS, list_targets, millis, rounded, short_name, whole_millis};
use super::{ExplainError, Query, TargetList};
use crate::cookie::admission::{Admission, LimitStatus, OpeningAge};
use crate::cookie::balancer::{Balancer, OpeningOutcome, hash_opening};
use crate::cookie::directory::TargetKey;
use crate::cookie::openings::Deferral;
use crate::cookie::placement::choose;
use crate::cookie::{CallerPacket, DiscardReason, Verdict};
use comfreyhold_types::routes::{Route, RouteTable};
use std::time::{Duration, Instant};

/// What the choice of a target has come to.
struct Placed<'r> {
    service: Option<&'r str>,
    target: Option<TargetKey>,
    targets: TargetList,
}

impl Balancer {
    /// Explains where a packet would go now. Decides as [`Balancer::route_packet`] does on one that has just been
    /// received, and changes nothing.
    ///
    /// # Errors
    /// There are no routes yet, none has the service address, or the cookie is unknown.
    pub fn explain(&self, query: &Query, now: Instant) -> Result<Explanation, ExplainError> {
        let table = self.routing().table.as_deref().ok_or(ExplainError::NoRoutesYet)?;
        let route = table.routes.get(&query.service);
        let route = route.ok_or(ExplainError::NoRoute(query.service))?;
        let packet = query.packet();
        match query.cookie {
            Some(_) => self.explain_open_flow(query, &packet, (table, route), now),
            None => Ok(self.explain_opening(query, &packet, (table, route), now)),
        }
    }

    fn explain_opening(
        &self,
        query: &Query,
        packet: &CallerPacket,
        (table, route): (&RouteTable, &Route),
        now: Instant,
    ) -> Explanation {
        let flow_hash = hash_opening(&packet.flow, packet.seq);
        let service = route.choose_service(flow_hash);
        let view = self.opening_view();
        let mut admission = self.admission.snapshot(service.unwrap_or_default(), route.address);
        let opening = OpeningAge { flow: packet.flow, copy: query.copy, waited: Duration::ZERO };
        let decision = view.decide(&mut admission, packet, opening, route, now);
        let (attempt, outcome) = (decision.attempt, decision.outcome);
        let status = service.and_then(|service| admission.status(service, now));
        let mut surge = self.surge;
        let deferral = surge.defer(query.copy, route.objective(), Duration::ZERO, now);
        let (verdict, mut reason) = match deferral {
            Deferral::None => (self.opening_verdict(&outcome), None),
            Deferral::For(delay) => (Verdict::Defer(delay), Some("surge")),
            Deferral::UntilRetransmission => (Verdict::Discard(DiscardReason::Surge), None),
        };
        let mut placed = Placed { service, target: None, targets: TargetList::default() };
        let mut spill_domain = None;
        if let Some(service) = service {
            let cx = view.placement(service, &attempt.tried, flow_hash, now);
            let choice = choose(self.directory(), &cx);
            placed.target = attempt.repeated.or(choice.map(|choice| choice.target));
            placed.targets = list_targets(self.directory(), &cx, placed.target);
            spill_domain = cx.spill_domain.map(|domain| short_name(&domain.0));
            let is_trial = choice.is_some_and(|choice| choice.is_trial);
            reason = reason.or(Some(match outcome {
                OpeningOutcome::Repeat(_) => "early-copy",
                _ if is_trial => "trial",
                _ => "best-score",
            }));
        }
        Explanation {
            query: *query,
            route: self.route_answer(table, route, placed.service),
            decision: self.decision(&verdict, reason, placed.target),
            admission: admission_answer(&outcome, attempt.is_known, status),
            link: None,
            spill_domain,
            targets: placed.targets,
            ages: self.ages(status, now),
        }
    }

    fn explain_open_flow(
        &self,
        query: &Query,
        packet: &CallerPacket,
        (table, route): (&RouteTable, &Route),
        now: Instant,
    ) -> Result<Explanation, ExplainError> {
        let unknown = || ExplainError::UnknownCookie(packet.cookie);
        let (verdict, key) = match self.find_flow_target(packet, route) {
            Ok(flow_target) => (self.established_verdict(flow_target, None, now), flow_target.key),
            Err(DiscardReason::UnknownTarget) => return Err(unknown()),
            Err(reason) => {
                let directory = self.directory();
                let other = || directory.find_other_start(packet.cookie);
                let key = directory.find(packet.cookie).or_else(other).ok_or_else(unknown)?;
                (Verdict::Discard(reason), key)
            }
        };
        let target = self.directory().get(key).ok_or_else(unknown)?;
        let service = target.spec.service.as_str();
        let flow_hash = hash_opening(&packet.flow, packet.seq);
        let view = self.opening_view();
        let cx = view.placement(service, &[], flow_hash, now);
        let status = self.admission.status(service, now);
        Ok(Explanation {
            query: *query,
            route: self.route_answer(table, route, Some(service)),
            decision: self.decision(&verdict, Some("open-flow"), Some(key)),
            admission: admission_answer(&OpeningOutcome::Repeat(key), true, status),
            link: None,
            spill_domain: None,
            targets: list_targets(self.directory(), &cx, Some(key)),
            ages: self.ages(status, now),
        })
    }

    fn route_answer(
        &self,
        table: &RouteTable,
        route: &Route,
        service: Option<&str>,
    ) -> RouteAnswer {
        let listed = route.destinations.iter().take(MAX_DESTINATIONS);
        let destinations = listed.map(|destination| DestinationWeight {
            service: short_name(&destination.service),
            weight: destination.weight,
        });
        RouteAnswer {
            name: short_name(&route.name),
            version: table.version,
            change: self.routing().change,
            class: route.class,
            priority: route.priority,
            objective_ms: route.objective_ms,
            usual_work_ms: self
                .capacity
                .usual_seconds(route.address)
                .map(|seconds| rounded(seconds * 1_000.0)),
            destinations: destinations.collect(),
            destination_count: route.destinations.len(),
            service: service.map(short_name),
        }
    }

    /// The decision that a verdict states. `reason` is that of a packet that is forwarded or waits; resets and discards
    /// have their own.
    fn decision(
        &self,
        verdict: &Verdict,
        reason: Option<&'static str>,
        target: Option<TargetKey>,
    ) -> Decision {
        let (action, reason, wait) = match verdict {
            Verdict::Forward { .. } => (Action::Forward, reason.unwrap_or("best-score"), None),
            Verdict::Defer(wait) => {
                let is_surge = reason == Some("surge");
                (Action::Wait, if is_surge { "surge" } else { "no-room" }, Some(millis(*wait)))
            }
            Verdict::Discard(reason) => (Action::Drop, reason.into(), None),
            Verdict::Reset(reason) => (Action::Reset, reason.into(), None),
        };
        let target = target.and_then(|key| self.directory().get(key));
        Decision {
            action,
            reason: reason.to_owned(),
            target: target.map(|target| target.spec.id.to_string()),
            cookie: target.map(|target| format!("{:08x}", target.cookie.0)),
            wait_ms: wait,
        }
    }

    fn ages(&self, status: Option<LimitStatus>, now: Instant) -> InputAges {
        let share = status.and_then(|status| status.totals_age);
        InputAges {
            updates_ms: None,
            totals_ms: self.load_totals_age(now).map(whole_millis),
            share_ms: share.map(whole_millis),
            limit_ms: status.map(|status| whole_millis(status.age)),
        }
    }
}

fn admission_answer(
    outcome: &OpeningOutcome<'_>,
    is_forwarded_before: bool,
    status: Option<LimitStatus>,
) -> AdmissionAnswer {
    let has_limit = status.is_some_and(|status| status.limit.is_some());
    let (action, reason, wait) = match outcome {
        OpeningOutcome::Held(Admission::After(wait)) => {
            (AdmissionAction::Wait, AdmissionReason::NoRoom, Some(millis(*wait)))
        }
        OpeningOutcome::Held(Admission::AtRetransmission) => {
            (AdmissionAction::WaitForCopy, AdmissionReason::NoRoomInTime, None)
        }
        OpeningOutcome::Held(Admission::Refused) => {
            (AdmissionAction::Refuse, AdmissionReason::NoRoomInTime, None)
        }
        _ if is_forwarded_before => (AdmissionAction::Forward, AdmissionReason::NotAsked, None),
        _ if has_limit => (AdmissionAction::Forward, AdmissionReason::Room, None),
        _ => (AdmissionAction::Forward, AdmissionReason::NoLimit, None),
    };
    // The state of a service keeps the wait of the opening decided on last, which may be another one.
    let is_held = matches!(outcome, OpeningOutcome::Held(_));
    let expected = status.filter(|_| is_held).and_then(|status| status.expected_wait);
    AdmissionAnswer {
        action,
        reason,
        wait_ms: wait,
        expected_wait_ms: expected.map(millis),
        limit_kind: status.map(|status| status.kind.to_string()),
        limit: status.and_then(|status| status.limit).map(rounded),
        share: status.and_then(|status| status.share).map(rounded),
        in_flight: status.and_then(|status| status.in_flight).map(rounded),
        unanswered: status.map_or(0, |status| status.unanswered),
        waiting: status.map_or(0, |status| status.waiting),
    }
}
