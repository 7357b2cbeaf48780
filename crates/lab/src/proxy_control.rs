//! HTTP control endpoint of the fault-injecting proxy: reads its report, sets faults, and silences or closes
//! connections.

use crate::http::{self, Reply, json, text};
use crate::proxy::{Faults, ProxyHandle};
use anyhow::Result;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use tokio::net::TcpListener;

pub(crate) async fn serve(handle: ProxyHandle, listener: TcpListener) {
    http::serve(listener, move |request| {
        let handle = handle.clone();
        async move {
            let reply = handle_control(&handle, request).await;
            reply.unwrap_or_else(|e| text(StatusCode::BAD_REQUEST, e.to_string()))
        }
    })
    .await;
}

async fn handle_control(handle: &ProxyHandle, request: Request<Incoming>) -> Result<Reply> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, "/proxy") => {}
        (Method::PUT, "/proxy/faults") => {
            let faults: Faults = http::read_json(request).await?;
            handle.set_faults(faults);
        }
        (Method::POST, "/proxy/silence") => handle.silence_open_connections(),
        (Method::POST, "/proxy/close") => handle.close_open_connections(),
        _ => return Ok(text(StatusCode::NOT_FOUND, "no such control endpoint")),
    }
    Ok(json(&handle.report()))
}
