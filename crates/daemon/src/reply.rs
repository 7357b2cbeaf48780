//! Builds HTTP responses and reads request bodies for gotham handlers.

use bytes::{Bytes, BytesMut};
use comfreyhold_types::prelude::ResultCode;
use gotham::helpers::http::Body;
use gotham::hyper::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::Serialize;
use serde_json::json;
use thiserror::Error;

/// Response header with the number of the result code.
pub const RESULT_CODE_HEADER: &str = "x-result-code";

/// Size up to which a document that is too large is read to its end, in documents of the maximum size.
const MAX_DROPPED_DOCUMENTS: usize = 16;

/// Why a request body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body exceeds the limit, in bytes.
    #[error("body exceeds the limit of {0} bytes")]
    TooLarge(usize),
    /// The connection failed, or the body was truncated. Holds the cause.
    #[error("body can't be read: {0}")]
    Incomplete(String),
}

/// Creates a body with these bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Body::new(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Reads a body to its end.
///
/// # Errors
/// [`BodyError`] if the body exceeds `limit` bytes or ends early.
pub async fn read_body(body: Body, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge(limit))
        }
        Err(error) => Err(BodyError::Incomplete(error.to_string())),
    }
}

/// Reads a document to its end. What follows the limit is read too, and dropped: a connection that is closed with unread
/// bytes is reset, and its caller may lose the response that names the limit.
///
/// # Errors
/// [`BodyError`] if the body exceeds `limit` bytes or ends early.
pub async fn read_document(mut body: Body, limit: usize) -> Result<Bytes, BodyError> {
    let mut document = BytesMut::new();
    let mut received = 0_usize;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Incomplete(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        received = received.saturating_add(data.len());
        if received <= limit {
            document.extend_from_slice(&data);
        } else if received > limit.saturating_mul(MAX_DROPPED_DOCUMENTS) {
            break;
        }
    }
    if received > limit { Err(BodyError::TooLarge(limit)) } else { Ok(document.freeze()) }
}

/// Creates a JSON response. A value that can't be serialized gives [`ResultCode::BadFrame`].
pub fn json<T: Serialize>(code: ResultCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(text) => respond(code, "application/json", text),
        Err(error) => respond(ResultCode::BadFrame, "text/plain", error.to_string()),
    }
}

/// Creates a response from bytes that are already JSON.
pub fn json_bytes(bytes: impl Into<Bytes>) -> Response<Body> {
    respond(ResultCode::Ok, "application/json", bytes)
}

/// Creates a JSON response that reports a result code with an explanation.
pub fn result(code: ResultCode, message: &str) -> Response<Body> {
    let value = json!({
        "code": code.number(),
        "name": code.to_string(),
        "family": code.family().to_string(),
        "message": message,
    });
    json(code, &value)
}

/// Creates a response with plain text in the format of Prometheus metrics.
pub fn text(body: impl Into<Bytes>) -> Response<Body> {
    respond(ResultCode::Ok, "text/plain; version=0.0.4", body)
}

fn respond(code: ResultCode, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(body));
    let status = StatusCode::from_u16(code.http_status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if let Ok(value) = content_type.parse() {
        headers.insert(header::CONTENT_TYPE, value);
    }
    headers.insert(RESULT_CODE_HEADER, code.number().into());
    response
}
