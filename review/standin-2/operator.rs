//! The operator: sends configurations, and reads them back.

use crate::http;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time without a response after which the operator moves on to the next daemon, and what it adds for each route.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const PER_ROUTE: Duration = Duration::from_millis(3);

/// First pause before the next daemon; it doubles with each attempt, up to the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// How a call of the operator ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acknowledged,
    /// A response that ends the call.
    Refused(u16),
    /// No clear response in time.
    Unclear,
}

/// Sends a configuration of `routes` routes, unchanged, to one daemon after the other until a response is clear or
/// `limit` is over.
pub fn put_config(
    controls: &[SocketAddr],
    body: &[u8],
    routes: u32,
    limit: Duration,
    record: &Record,
) -> Outcome {
    let deadline = Instant::now() + limit;
    let mut pause = FIRST_PAUSE;
    for attempt in 0.. {
        let to = controls[attempt % controls.len()];
        let timeout = CALL_TIMEOUT + PER_ROUTE * routes;
        let response = http::call(to, "PUT", "/config", body, timeout);
        match &response {
            Ok(response) if response.status == 200 => {
                record.note(&format!("PUT /config at {to}: 200"));
                return Outcome::Acknowledged;
            }
            Ok(response) if matches!(response.status, 400 | 409 | 412 | 413 | 422) => {
                record.note(&format!("PUT /config at {to}: {}", response.status));
                return Outcome::Refused(response.status);
            }
            Ok(response) => record.note(&format!("PUT /config at {to}: {}", response.status)),
            Err(error) => record.note(&format!("PUT /config at {to}: {error}")),
        }
        if Instant::now() + pause >= deadline {
            return Outcome::Unclear;
        }
        std::thread::sleep(pause);
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    Outcome::Unclear
}

/// Reads the configuration at one daemon after the other until one responds with 200, or until `limit` is over.
pub fn get_config(controls: &[SocketAddr], limit: Duration, record: &Record) -> Option<Vec<u8>> {
    let deadline = Instant::now() + limit;
    for attempt in 0.. {
        let to = controls[attempt % controls.len()];
        match http::call(to, "GET", "/config", b"", CALL_TIMEOUT * 2) {
            Ok(response) if response.status == 200 => {
                record.note(&format!("GET /config at {to}: 200, {} bytes", response.body.len()));
                return Some(response.body);
            }
            Ok(response) => record.note(&format!("GET /config at {to}: {}", response.status)),
            Err(error) => record.note(&format!("GET /config at {to}: {error}")),
        }
        if Instant::now() >= deadline {
            return None;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    None
}

/// A configuration with one route that carries requests and `idle` further ones without traffic.
pub fn config(version: u64, idle: u32, timeout_ms: u64, warmup: (f64, f64)) -> String {
    let route = |name: &str, host: &str, port: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"/{port}/\",\"type\":\"unsafe\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":200,\"priority\":1,\"service\":\"huvo11a\",\
             \"maxAttempts\":2}}"
        )
    };
    let mut routes = vec![route("r-3d3zji9", "198.18.0.1", 8080)];
    for index in 0..idle {
        let host = format!("198.18.{}.{}", 1 + index / 200, 1 + index % 200);
        routes.push(route(&format!("r-{index:07}"), &host, 8443));
    }
    let (warmup_s, warmup_per_s) = warmup;
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"huvo11a\",\
         \"healthPath\":\"/health\",\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false,\
         \"warmupS\":{warmup_s:.1},\"warmupPerS\":{warmup_per_s:.1}}}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}
