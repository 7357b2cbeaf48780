//! The operators' HTTP interface of a control daemon.

use crate::admin::{self, MAX_ADMIN_BODY, RequestLine};
use crate::control::{Control, ProposalResult};
use crate::http_server::{InFlight, Service};
use crate::reply::{self, BodyError};
use comfreyhold_consensus::replica::{ReplicaStatus, RoleName};
use comfreyhold_types::api::{
    ApplyReply, CountRow, CountsReply, DeclarationsReply, EffectReport, EntryEffect, HistoryReply,
    PublicationReply, ReplaceRequest, StatusReply,
};
use comfreyhold_types::declarations::{Outcome, Publication, Voter};
use comfreyhold_types::document;
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::check_name;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::hyper::{Method, Response};
use gotham::state::State;
use metrics_exporter_prometheus::PrometheusHandle;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for a proposal to be accepted.
const ACCEPT_LIMIT: Duration = Duration::from_secs(3);

/// Longest wait for an accepted revision to be in effect.
const EFFECT_LIMIT: Duration = Duration::from_secs(4);

/// Interval at which a waiting call looks whether the revision is in effect.
const EFFECT_POLL: Duration = Duration::from_millis(10);

/// Answers operators.
pub struct ControlApi {
    control: Arc<Control>,
    metrics: PrometheusHandle,
    in_flight: InFlight,
}

impl ControlApi {
    /// Creates the interface.
    #[must_use]
    pub fn new(control: Arc<Control>, metrics: PrometheusHandle, in_flight: InFlight) -> Arc<Self> {
        Arc::new(Self { control, metrics, in_flight })
    }

    async fn answer(&self, target: &RequestLine, body: Body) -> Response<Body> {
        let cx = self.control.context();
        if let Some(response) = admin::handle_common(target, cx, &self.metrics, || self.status()) {
            return response;
        }
        match (&target.method, target.path.as_str()) {
            (&Method::GET, "/v1/declarations") => self.declarations(),
            (&Method::GET, "/v1/history") => self.history(),
            (&Method::GET, "/v1/counts") => reply::json(ResultCode::Ok, &self.counts()),
            (&Method::GET, "/v1/outcome") => self.outcome(target),
            (&Method::POST, "/v1/declarations") => self.publish(target, body).await,
            (&Method::POST, "/v1/replace") => self.replace(body).await,
            _ => admin::not_found_response(target),
        }
    }

    fn status(&self) -> StatusReply {
        let cx = self.control.context();
        let status = self.control.status();
        let ready = status.leader.is_some() && status.fault.is_none();
        StatusReply {
            instance: cx.instance(),
            name: cx.member.name.clone(),
            role: cx.member.role.to_string(),
            domain: cx.member.domain,
            incarnation: cx.incarnation,
            term: status.term,
            leader: status.leader,
            revision: status.commit,
            ready,
            entries: self.entry_effects(status.commit),
            details: details(&status),
        }
    }

    fn entry_effects(&self, revision: Revision) -> BTreeMap<InstanceId, EntryEffect> {
        let Some(unreachable) = self.control.unreachable() else { return BTreeMap::new() };
        let record = self.control.effect(revision);
        let effect = |id: &InstanceId| EntryEffect {
            revision: match &record {
                Some(record) if record.in_effect.contains_key(id) => revision,
                _ => Revision(0),
            },
            leased: !unreachable.contains(id),
        };
        self.control.entries().keys().map(|id| (*id, effect(id))).collect()
    }

    fn declarations(&self) -> Response<Body> {
        let (state, current) = self.control.state();
        if !current {
            return self.not_leader();
        }
        reply::json(ResultCode::Ok, &DeclarationsReply { current, state })
    }

    fn history(&self) -> Response<Body> {
        let (state, current) = self.control.state();
        if !current {
            return self.not_leader();
        }
        reply::json(ResultCode::Ok, &HistoryReply { versions: state.versions })
    }

    fn counts(&self) -> CountsReply {
        let (state, _) = self.control.state();
        let counts = self.control.counts().counts();
        let names: BTreeMap<ServiceId, &str> =
            state.services.iter().map(|(name, service)| (service.id, name.as_str())).collect();
        let rows = counts.totals().into_iter().map(|((service, code), count)| CountRow {
            service: names.get(&service).map_or_else(|| service.to_string(), |n| (*n).to_owned()),
            code: code.number(),
            count,
        });
        let gaps = counts.incomplete_processes(&self.control.running());
        let gaps = gaps.into_iter().map(|(id, start)| format!("{id} started as {start}"));
        CountsReply { rows: rows.collect(), gaps: gaps.collect() }
    }

    /// Tells which publication holds a version number: `?subject=profile/orders&version=3`.
    fn outcome(&self, target: &RequestLine) -> Response<Body> {
        let (state, current) = self.control.state();
        if !current {
            return self.not_leader();
        }
        let subject = target.query.get("subject").cloned().unwrap_or_default();
        let version = target.query.get("version").and_then(|text| text.parse::<u64>().ok());
        let versions = state.versions.get(&subject);
        match version.and_then(|version| versions.and_then(|held| held.get(&version))) {
            Some(record) => reply::json(ResultCode::Ok, record),
            None => reply::result(ResultCode::UnknownName, "no publication holds this version"),
        }
    }

    fn not_leader(&self) -> Response<Body> {
        let status = self.control.status();
        if let Some(code) = status.fault {
            return reply::result(code, "the data folder of this instance has failed");
        }
        match status.leader {
            Some(leader) if leader != status.me.instance => {
                reply::result(ResultCode::NotLeader, &format!("the leader is {leader}"))
            }
            _ => reply::result(ResultCode::NoQuorum, "no majority of control instances answers"),
        }
    }

    async fn publish(&self, target: &RequestLine, body: Body) -> Response<Body> {
        let operator = target.query.get("operator").map_or("operator", String::as_str);
        if let Err(error) = check_name("operator", operator) {
            return reply::result(ResultCode::BadField, &error.to_string());
        }
        let text = match read_text(body).await {
            Ok(text) => text,
            Err(response) => return response,
        };
        let publications = match document::parse(&text, operator) {
            Ok(publications) => publications,
            Err(error) => return reply::result(error.code(), &error.to_string()),
        };
        let mut answer = ApplyReply::default();
        for publication in publications {
            match self.publish_one(publication).await {
                Ok(result) => {
                    let stop = result.code != 0;
                    answer.results.push(result);
                    if stop {
                        break;
                    }
                }
                Err(response) if answer.results.is_empty() => return response,
                Err(_) => break,
            }
        }
        let first = answer.results.iter().map(|result| result.code).find(|code| *code != 0);
        reply::json(code_of(first.unwrap_or(0)), &answer)
    }

    /// Publishes one declaration. An error is the answer when this instance can't tell the outcome.
    async fn publish_one(
        &self,
        publication: Publication,
    ) -> Result<PublicationReply, Response<Body>> {
        let subject = publication.content.subject();
        let version = publication.version;
        let (state, current) = self.control.state();
        let recorded = state.recorded_outcome(&publication).filter(|_| current);
        let outcome = match recorded {
            Some(outcome) => outcome,
            None => self.propose(publication).await?,
        };
        let (code, message, revision) = describe(&outcome);
        let effect = match revision {
            Some(revision) => Some(self.wait_in_effect(revision).await),
            None => None,
        };
        Ok(PublicationReply { subject, version, code: code.number(), message, revision, effect })
    }

    async fn propose(&self, publication: Publication) -> Result<Outcome, Response<Body>> {
        let waiting = self.control.propose(Command::Publish(publication));
        match tokio::time::timeout(ACCEPT_LIMIT, waiting).await {
            Ok(Ok(ProposalResult::Applied { outcome, .. })) => Ok(outcome),
            Ok(Ok(ProposalResult::Refused { code, message })) => Err(reply::result(code, &message)),
            Ok(Ok(ProposalResult::Unknown) | Err(_)) | Err(_) => {
                let message = "the outcome is not known yet; send the same publication again";
                Err(reply::result(ResultCode::OutcomePending, message))
            }
        }
    }

    async fn wait_in_effect(&self, revision: Revision) -> EffectReport {
        let give_up = Instant::now() + EFFECT_LIMIT;
        loop {
            let report = self.effect_report(revision);
            if report.waiting.is_empty() || Instant::now() >= give_up {
                return report;
            }
            tokio::time::sleep(EFFECT_POLL).await;
        }
    }

    fn effect_report(&self, revision: Revision) -> EffectReport {
        let unreachable = self.control.unreachable().unwrap_or_default();
        let Some(record) = self.control.effect(revision) else {
            // The rollout of a new leader has not started yet, so no entry is known to have it.
            let waiting = self.control.entries().keys().copied().collect();
            return EffectReport { revision, waiting, ..EffectReport::default() };
        };
        let (fenced, waiting) = record.missing.iter().partition(|id| unreachable.contains(id));
        let complete = record.complete_at.map(|at| at.duration_since(record.accepted_at));
        EffectReport {
            revision,
            in_effect: record.in_effect.keys().copied().collect(),
            fenced,
            waiting,
            complete_after_ms: complete.and_then(|took| u64::try_from(took.as_millis()).ok()),
        }
    }

    async fn replace(&self, body: Body) -> Response<Body> {
        let text = match read_text(body).await {
            Ok(text) => text,
            Err(response) => return response,
        };
        let request: ReplaceRequest = match serde_json::from_str(&text) {
            Ok(request) => request,
            Err(error) => return reply::result(ResultCode::BadDocument, &error.to_string()),
        };
        let voter = Voter { instance: request.instance, disk: request.disk };
        let waiting = match self.control.replace(voter) {
            Ok(waiting) => waiting,
            Err(message) => return reply::result(ResultCode::MemberChangeRefused, &message),
        };
        match tokio::time::timeout(ACCEPT_LIMIT, waiting).await {
            Ok(Ok(ProposalResult::Applied { revision, .. })) => {
                let message =
                    format!("{} votes from its new disk since {revision}", voter.instance);
                reply::result(ResultCode::Ok, &message)
            }
            Ok(Ok(ProposalResult::Refused { code, message })) => reply::result(code, &message),
            _ => reply::result(ResultCode::OutcomePending, "the outcome is not known yet"),
        }
    }
}

impl Service for ControlApi {
    fn call(self: Arc<Self>, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let _guard = self.in_flight.enter();
            let target = RequestLine::from_state(&state);
            let body = state.try_take::<Body>().unwrap_or_else(|| reply::full(""));
            let response = self.answer(&target, body).await;
            Ok((state, response))
        })
    }
}

impl std::panic::RefUnwindSafe for ControlApi {}

async fn read_text(body: Body) -> Result<String, Response<Body>> {
    let bytes = reply::read_body(body, MAX_ADMIN_BODY).await.map_err(|error| {
        let code = match error {
            BodyError::TooLarge(_) => ResultCode::DocumentTooLarge,
            BodyError::Incomplete(_) => ResultCode::BadDocument,
        };
        reply::result(code, &error.to_string())
    })?;
    String::from_utf8(bytes.to_vec())
        .map_err(|error| reply::result(ResultCode::BadDocument, &error.to_string()))
}

fn describe(outcome: &Outcome) -> (ResultCode, String, Option<Revision>) {
    let code = outcome.code();
    match outcome {
        Outcome::Accepted(revision) => (code, format!("accepted at {revision}"), Some(*revision)),
        Outcome::Duplicate(revision) => (code, format!("accepted at {revision}"), Some(*revision)),
        Outcome::Conflict { winner, revision } => {
            (code, format!("taken by {winner} at {revision} with other content"), None)
        }
        Outcome::Gap { expected } => (code, format!("the next version is {expected}"), None),
        Outcome::Refused { reason, .. } => (code, reason.clone(), None),
    }
}

fn details(status: &ReplicaStatus) -> BTreeMap<String, String> {
    let voters: Vec<_> = status.voters.iter().map(|voter| voter.instance.to_string()).collect();
    let mut details = BTreeMap::from([
        ("state".to_owned(), status.role.to_string()),
        ("disk".to_owned(), format!("{:016x}", status.me.disk)),
        ("voters".to_owned(), voters.join(",")),
        ("last".to_owned(), status.last.0.to_string()),
    ]);
    if let Some(leader) = status.leader {
        details.insert("leader".to_owned(), leader.to_string());
    }
    if let Some(fault) = status.fault {
        details.insert("fault".to_owned(), fault.number().to_string());
    }
    if status.role == RoleName::Leader {
        let followers: Vec<_> = status
            .followers
            .iter()
            .map(|f| format!("{}:{:016x}@{}", f.voter.instance, f.voter.disk, f.confirmed.0))
            .collect();
        details.insert("followers".to_owned(), followers.join(","));
    }
    details
}

fn code_of(number: u16) -> ResultCode {
    use strum::IntoEnumIterator;
    ResultCode::iter().find(|code| code.number() == number).unwrap_or(ResultCode::Ok)
}
