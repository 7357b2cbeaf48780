//! Background tasks of a target: announcements to entries, and the packet echo.

use crate::http;
use crate::target::Shared;
use crate::{lock, wall_us};
use comfreyhold_types::prelude::*;
use hyper::Method;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Interval between registrations at the fabric. They are repeated because a restarted fabric has none.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time to wait for an entry's response to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Announcement of a target to an entry. Body of `POST /v1/targets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the target's service.
    pub service: String,
    /// Address of the target for packets and requests.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// Number of requests that the target runs concurrently.
    pub slots: u16,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Whether the target serves or drains.
    pub state: TargetState,
    /// Time until the announcement expires, in milliseconds.
    pub lease_ms: u64,
    /// Sequence number within the incarnation; the highest one is the newest.
    pub sequence: u64,
}

/// Announces the target every third of its lease, and immediately when its state changes.
pub(crate) async fn announce_periodically(shared: Arc<Shared>) {
    let entries = &shared.settings.entries;
    if entries.is_empty() {
        return;
    }
    let mut preferred = 0;
    for sequence in 1.. {
        let _ = shared.paused.subscribe().wait_for(|paused| !paused).await;
        let body = serde_json::to_vec(&build_announcement(&shared, sequence)).unwrap_or_default();
        for _ in entries {
            if send_announcement(&shared, entries[preferred], body.clone()).await {
                break;
            }
            preferred = (preferred + 1) % entries.len();
        }
        let interval = tokio::time::sleep(shared.settings.lease / 3);
        tokio::select! {
            () = interval => {}
            () = shared.announce_now.notified() => {}
        }
    }
}

/// Sends an announcement to an entry. Returns false if another entry should be tried: this one did not respond, or
/// with a server error.
async fn send_announcement(shared: &Shared, entry: SocketAddr, body: Vec<u8>) -> bool {
    let Ok(mut request) = http::request(Method::POST, entry, "/v1/targets", body) else {
        return false;
    };
    let json = hyper::header::HeaderValue::from_static("application/json");
    request.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    let timeout = ANNOUNCE_TIMEOUT.min(shared.settings.lease / 3);
    let sent = http::Client::default().send(entry, request, timeout).await;
    let mut state = lock(&shared.state);
    match sent {
        http::Sent::Answered(response) if response.status().is_success() => {
            state.report.announced += 1;
            true
        }
        http::Sent::Answered(response) => {
            state.report.announce_refused += 1;
            let reason = String::from_utf8_lossy(response.body()).into_owned();
            log::warn!("entry {entry} refused the announcement: {}: {reason}", response.status());
            // A server error, such as that of a stopping entry, does not mean that the announcement is invalid.
            !response.status().is_server_error()
        }
        http::Sent::NotWritten(error) | http::Sent::Lost(error) => {
            state.report.announce_failed += 1;
            log::debug!("entry {entry} did not respond to the announcement: {error}");
            false
        }
    }
}

fn build_announcement(shared: &Shared, sequence: u64) -> Announcement {
    Announcement {
        service: shared.settings.service.clone(),
        address: shared.address.into(),
        domain: shared.settings.domain,
        slots: shared.settings.slots,
        incarnation: shared.settings.incarnation,
        state: shared.lifecycle_state(),
        lease_ms: u64::try_from(shared.settings.lease.as_millis()).unwrap_or(u64::MAX),
        sequence,
    }
}

/// Registers the target at the fabric and echoes the packets that the fabric forwards.
pub(crate) async fn echo_packets(shared: Arc<Shared>, socket: UdpSocket) {
    let registration = format!("register {}", shared.address);
    let mut registration_timer = tokio::time::interval(REGISTRATION_INTERVAL);
    let mut buffer = vec![0; 65_536];
    loop {
        let length = tokio::select! {
            _ = registration_timer.tick() => {
                let _ = socket.send(registration.as_bytes()).await;
                continue;
            }
            received = socket.recv(&mut buffer) => match received {
                Ok(length) => length,
                // The fabric's port is closed while the fabric restarts.
                Err(_) => continue,
            },
        };
        let _ = shared.paused.subscribe().wait_for(|paused| !paused).await;
        let bytes = &buffer[..length];
        if bytes == b"ok" {
            continue;
        }
        let response = lock(&shared.echo).handle(bytes, wall_us());
        if let Some(response) = response {
            let _ = socket.send(&response).await;
        }
    }
}
