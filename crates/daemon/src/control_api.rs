//! HTTP API of a control daemon for operators.

use crate::admin::{self, MAX_ADMIN_BODY, RequestLine};
use crate::control::{ControlDaemon, ProposalResult};
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

/// Limit on the wait for a proposal to be committed. After it the outcome is reported as pending.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Limit on the wait for a committed revision to be in effect. After it the report names the entries that are
/// still waiting.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which a waiting call checks whether the revision is in effect.
const EFFECT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Handles the HTTP requests to a control daemon.
pub struct ControlApi {
    control: Arc<ControlDaemon>,
    metrics: PrometheusHandle,
    in_flight: InFlight,
}

impl ControlApi {
    /// Creates the API. `in_flight` counts its requests, so that a graceful stop can wait for them.
    #[must_use]
    pub fn new(
        control: Arc<ControlDaemon>,
        metrics: PrometheusHandle,
        in_flight: InFlight,
    ) -> Arc<Self> {
        Arc::new(Self { control, metrics, in_flight })
    }

    async fn route(&self, request: &RequestLine, body: Body) -> Response<Body> {
        let cx = self.control.context();
        if let Some(response) = admin::handle_common(request, cx, &self.metrics, || self.status()) {
            return response;
        }
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/v1/declarations") => self.declarations(),
            (&Method::GET, "/v1/history") => self.history(),
            (&Method::GET, "/v1/counts") => reply::json(ResultCode::Ok, &self.counts()),
            (&Method::GET, "/v1/outcome") => self.recorded_outcome(request),
            (&Method::POST, "/v1/declarations") => self.publish(request, body).await,
            (&Method::POST, "/v1/replace") => self.replace_voter(body).await,
            _ => admin::not_found_response(request),
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
            details: status_details(&status),
        }
    }

    fn entry_effects(&self, revision: Revision) -> BTreeMap<InstanceId, EntryEffect> {
        let Some(unleased) = self.control.unleased_entries() else { return BTreeMap::new() };
        let record = self.control.effect_record(revision);
        let effect = |id: &InstanceId| EntryEffect {
            revision: match &record {
                Some(record) if record.in_effect.contains_key(id) => revision,
                _ => Revision(0),
            },
            leased: !unleased.contains(id),
        };
        self.control.entries().keys().map(|id| (*id, effect(id))).collect()
    }

    fn declarations(&self) -> Response<Body> {
        let (state, current) = self.control.declarations();
        if !current {
            return self.not_leader_response();
        }
        reply::json(ResultCode::Ok, &DeclarationsReply { current, state })
    }

    fn history(&self) -> Response<Body> {
        let (state, current) = self.control.declarations();
        if !current {
            return self.not_leader_response();
        }
        reply::json(ResultCode::Ok, &HistoryReply { versions: state.versions })
    }

    fn counts(&self) -> CountsReply {
        let (state, _) = self.control.declarations();
        let counts = self.control.counts().counts();
        let names: BTreeMap<ServiceId, &str> =
            state.services.iter().map(|(name, service)| (service.id, name.as_str())).collect();
        let rows = counts.totals().into_iter().map(|((service, code), count)| CountRow {
            service: names.get(&service).map_or_else(|| service.to_string(), |n| (*n).to_owned()),
            code: code.number(),
            count,
        });
        let incomplete = counts.incomplete_processes(&self.control.live_incarnations());
        let incomplete = incomplete
            .into_iter()
            .map(|(id, incarnation)| format!("{id} started as {incarnation}"));
        CountsReply { rows: rows.collect(), gaps: incomplete.collect() }
    }

    /// Returns the accepted publication of a subject's version: `?subject=profile/orders&version=3`.
    fn recorded_outcome(&self, request: &RequestLine) -> Response<Body> {
        let (state, current) = self.control.declarations();
        if !current {
            return self.not_leader_response();
        }
        let subject = request.query.get("subject").cloned().unwrap_or_default();
        let version = request.query.get("version").and_then(|text| text.parse::<u64>().ok());
        let versions = state.versions.get(&subject);
        match version.and_then(|version| versions.and_then(|versions| versions.get(&version))) {
            Some(record) => reply::json(ResultCode::Ok, record),
            None => reply::result(ResultCode::UnknownName, "no publication holds this version"),
        }
    }

    fn not_leader_response(&self) -> Response<Body> {
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

    async fn publish(&self, request: &RequestLine, body: Body) -> Response<Body> {
        let operator = request.query.get("operator").map_or("operator", String::as_str);
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
        let mut apply_reply = ApplyReply::default();
        for publication in publications {
            match self.publish_one(publication).await {
                Ok(result) => {
                    let is_refused = result.code != 0;
                    apply_reply.results.push(result);
                    if is_refused {
                        break;
                    }
                }
                Err(response) if apply_reply.results.is_empty() => return response,
                Err(_) => break,
            }
        }
        let first_error =
            apply_reply.results.iter().map(|result| result.code).find(|code| *code != 0);
        reply::json(result_code_of(first_error.unwrap_or(0)), &apply_reply)
    }

    /// Publishes one declaration and waits until it is in effect. The error is the response to send when this
    /// instance doesn't know the outcome.
    async fn publish_one(
        &self,
        publication: Publication,
    ) -> Result<PublicationReply, Response<Body>> {
        let subject = publication.content.subject();
        let version = publication.version;
        let (state, current) = self.control.declarations();
        let recorded = state.recorded_outcome(&publication).filter(|_| current);
        let outcome = match recorded {
            Some(outcome) => outcome,
            None => self.propose(publication).await?,
        };
        let (code, message, revision) = describe_outcome(&outcome);
        let effect = match revision {
            Some(revision) => Some(self.wait_in_effect(revision).await),
            None => None,
        };
        Ok(PublicationReply { subject, version, code: code.number(), message, revision, effect })
    }

    async fn propose(&self, publication: Publication) -> Result<Outcome, Response<Body>> {
        let waiting = self.control.propose(Command::Publish(publication));
        match tokio::time::timeout(COMMIT_TIMEOUT, waiting).await {
            Ok(Ok(ProposalResult::Applied { outcome, .. })) => Ok(outcome),
            Ok(Ok(ProposalResult::Refused { code, message })) => Err(reply::result(code, &message)),
            Ok(Ok(ProposalResult::OutcomeUnknown) | Err(_)) | Err(_) => {
                let message = "the outcome is not known yet; send the same publication again";
                Err(reply::result(ResultCode::OutcomePending, message))
            }
        }
    }

    async fn wait_in_effect(&self, revision: Revision) -> EffectReport {
        let deadline = Instant::now() + EFFECT_TIMEOUT;
        loop {
            let report = self.effect_report(revision);
            if report.waiting.is_empty() || Instant::now() >= deadline {
                return report;
            }
            tokio::time::sleep(EFFECT_POLL_INTERVAL).await;
        }
    }

    fn effect_report(&self, revision: Revision) -> EffectReport {
        let unleased = self.control.unleased_entries().unwrap_or_default();
        let Some(record) = self.control.effect_record(revision) else {
            // A new leader has not started its rollout yet, so no entry is known to have the revision.
            let waiting = self.control.entries().keys().copied().collect();
            return EffectReport { revision, waiting, ..EffectReport::default() };
        };
        let (fenced, waiting) = record.missing.iter().partition(|id| unleased.contains(id));
        let complete = record.complete_at.map(|at| at.duration_since(record.accepted_at));
        EffectReport {
            revision,
            in_effect: record.in_effect.keys().copied().collect(),
            fenced,
            waiting,
            complete_after_ms: complete.and_then(|took| u64::try_from(took.as_millis()).ok()),
        }
    }

    async fn replace_voter(&self, body: Body) -> Response<Body> {
        let text = match read_text(body).await {
            Ok(text) => text,
            Err(response) => return response,
        };
        let request: ReplaceRequest = match serde_json::from_str(&text) {
            Ok(request) => request,
            Err(error) => return reply::result(ResultCode::BadDocument, &error.to_string()),
        };
        let voter = Voter { instance: request.instance, disk: request.disk };
        let waiting = match self.control.replace_voter(voter) {
            Ok(waiting) => waiting,
            Err(message) => return reply::result(ResultCode::MemberChangeRefused, &message),
        };
        match tokio::time::timeout(COMMIT_TIMEOUT, waiting).await {
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
            let request = RequestLine::from_state(&state);
            let body = state.try_take::<Body>().unwrap_or_else(|| reply::full(""));
            let response = self.route(&request, body).await;
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

/// Result code, message and committed revision of a publication's outcome.
fn describe_outcome(outcome: &Outcome) -> (ResultCode, String, Option<Revision>) {
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

/// Details of the status reply that are specific to control daemons.
fn status_details(status: &ReplicaStatus) -> BTreeMap<String, String> {
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

fn result_code_of(number: u16) -> ResultCode {
    use strum::IntoEnumIterator;
    ResultCode::iter().find(|code| code.number() == number).unwrap_or(ResultCode::Ok)
}
