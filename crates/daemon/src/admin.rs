//! HTTP endpoints that every process has: health, readiness, metrics, timeline and status.

use crate::context::Context;
use crate::reply;
use comfreyhold_types::api::StatusReply;
use comfreyhold_types::prelude::ResultCode;
use gotham::helpers::http::Body;
use gotham::hyper::{Method, Response, Uri};
use gotham::state::{FromState, State};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::collections::BTreeMap;

/// Size limit of the body of an operator's or target's request, in bytes. Larger ones are refused.
pub const MAX_ADMIN_BODY: usize = 256 * 1024;

/// Installs the process's metrics recorder.
///
/// # Errors
/// A recorder is already installed.
pub fn install_metrics() -> anyhow::Result<PrometheusHandle> {
    Ok(PrometheusBuilder::new().install_recorder()?)
}

/// Method, path and query parameters of an HTTP request.
pub struct RequestLine {
    /// HTTP method.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Query parameters, not percent-decoded; those without `=` are left out.
    pub query: BTreeMap<String, String>,
}

impl RequestLine {
    /// Reads the request line from gotham's state.
    #[must_use]
    pub fn from_state(state: &State) -> Self {
        let uri = Uri::borrow_from(state);
        let pairs = uri.query().unwrap_or_default().split('&');
        let query = pairs.filter_map(|pair| pair.split_once('='));
        Self {
            method: Method::borrow_from(state).clone(),
            path: uri.path().to_owned(),
            query: query.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
        }
    }
}

/// Handles a request to a common endpoint; `None` when the request is for another one.
pub fn handle_common(
    request: &RequestLine,
    cx: &Context,
    metrics: &PrometheusHandle,
    status: impl Fn() -> StatusReply,
) -> Option<Response<Body>> {
    if request.method != Method::GET {
        return None;
    }
    let response = match request.path.as_str() {
        "/healthz" => reply::text("ok\n"),
        "/metrics" => reply::text(metrics.render()),
        "/readyz" if status().ready => reply::text("ready\n"),
        "/readyz" => reply::result(ResultCode::Stopping, "not ready"),
        "/v1/status" => reply::json(ResultCode::Ok, &status()),
        "/v1/timeline" => reply::json(ResultCode::Ok, &cx.timeline()),
        _ => return None,
    };
    Some(response)
}

/// The response to a request for a path or method that doesn't exist.
pub fn not_found_response(request: &RequestLine) -> Response<Body> {
    let message = format!("{} {} does not exist", request.method, request.path);
    reply::result(ResultCode::UnknownName, &message)
}
