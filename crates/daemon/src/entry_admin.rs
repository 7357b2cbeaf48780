//! The admin HTTP interface of an entry: target announcements, status, metrics and timeline.

use crate::admin::{self, MAX_ADMIN_BODY, RequestLine};
use crate::entry::Entry;
use crate::http_server::Service;
use crate::reply;
use comfreyhold_membership::registry::Announcement;
use comfreyhold_types::api::{AnnounceRequest, StatusReply, TargetReply};
use comfreyhold_types::prelude::*;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::hyper::{Method, Response};
use gotham::state::State;
use metrics_exporter_prometheus::PrometheusHandle;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;

/// Handles the requests of targets and operators.
pub struct EntryAdmin {
    entry: Arc<Entry>,
    metrics: PrometheusHandle,
}

impl EntryAdmin {
    /// Creates the handler for an entry and its metrics.
    #[must_use]
    pub fn new(entry: Arc<Entry>, metrics: PrometheusHandle) -> Arc<Self> {
        Arc::new(Self { entry, metrics })
    }

    async fn handle_request(&self, target: &RequestLine, body: Body) -> Response<Body> {
        let cx = &self.entry.cx;
        if let Some(response) = admin::handle_common(target, cx, &self.metrics, || self.status()) {
            return response;
        }
        match (&target.method, target.path.as_str()) {
            (&Method::GET, "/v1/targets") => reply::json(ResultCode::Ok, &self.target_replies()),
            (&Method::POST, "/v1/targets") => self.handle_announcement(body).await,
            _ => admin::not_found_response(target),
        }
    }

    fn status(&self) -> StatusReply {
        let cx = &self.entry.cx;
        let status = self.entry.status();
        let (keys, keys_vote) = self.entry.keys.status();
        let (pools, granting) = self.entry.requests.dispatcher_counts();
        let (flows, moving_slots, flows_synced) = self.entry.packets.status();
        let details = [
            ("flows", flows.to_string()),
            ("moving_slots", moving_slots.to_string()),
            ("flows_synced", flows_synced.to_string()),
            ("leased", status.leased.to_string()),
            ("live", status.live.to_string()),
            ("open_requests", self.entry.requests.open_requests().to_string()),
            ("pools", pools.to_string()),
            ("pools_granting", granting.to_string()),
            ("keys", keys.to_string()),
            ("keys_vote", keys_vote.to_string()),
        ];
        let details = details.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
        StatusReply {
            instance: cx.instance(),
            name: cx.member.name.clone(),
            role: cx.member.role.to_string(),
            domain: cx.member.domain,
            incarnation: cx.incarnation,
            term: status.term,
            leader: status.leader,
            revision: status.revision,
            ready: self.entry.is_ready(),
            details,
            entries: BTreeMap::new(),
        }
    }

    fn target_replies(&self) -> Vec<TargetReply> {
        let view = self.entry.view();
        let announced: BTreeMap<_, _> = self
            .entry
            .announced_targets()
            .into_iter()
            .map(|(target, live)| (target.address, (target, live)))
            .collect();
        let declared = &view.declared.targets;
        let mut replies: Vec<TargetReply> = announced
            .values()
            .map(|(target, live)| TargetReply {
                target: target.clone(),
                live: *live,
                declared: declared.contains_key(&target.address),
            })
            .collect();
        let unannounced =
            declared.values().filter(|target| !announced.contains_key(&target.address));
        replies.extend(unannounced.map(|target| TargetReply {
            target: target.clone(),
            live: true,
            declared: true,
        }));
        replies.sort_by_key(|reply| reply.target.address);
        replies
    }

    async fn handle_announcement(&self, body: Body) -> Response<Body> {
        let bytes = match reply::read_body(body, MAX_ADMIN_BODY).await {
            Ok(bytes) => bytes,
            Err(error) => return reply::result(ResultCode::BadAnnouncement, &error.to_string()),
        };
        let request: AnnounceRequest = match serde_json::from_slice(&bytes) {
            Ok(request) => request,
            Err(error) => return reply::result(ResultCode::BadAnnouncement, &error.to_string()),
        };
        let (record, lease_ms) = (request.to_target_record(), request.lease_ms);
        let announcement = Announcement { record, lease_ms, sequence: request.sequence };
        if self.entry.is_stopping() {
            return reply::result(ResultCode::Stopping, "this entry is stopping");
        }
        match self.entry.handle_announcement(&announcement) {
            Ok(()) => reply::result(ResultCode::Ok, "taken in"),
            Err(error) => reply::result(error.code, &error.reason),
        }
    }
}

impl Service for EntryAdmin {
    fn call(self: Arc<Self>, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let target = RequestLine::from_state(&state);
            let body = state.try_take::<Body>().unwrap_or_else(|| reply::full(""));
            let response = self.handle_request(&target, body).await;
            Ok((state, response))
        })
    }
}

impl std::panic::RefUnwindSafe for EntryAdmin {}
