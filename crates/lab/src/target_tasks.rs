//! Background work of a target: announcements to entries and the packet echo.

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

/// Time between registrations at the fabric, which may have restarted.
const REGISTER_PERIOD: Duration = Duration::from_millis(500);

/// Longest wait for an entry's answer to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of `POST /v1/targets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the service.
    pub service: String,
    /// Address for packets and requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests it runs at once.
    pub slots: u16,
    /// Start number.
    pub incarnation: Incarnation,
    /// Life-cycle state.
    pub state: TargetState,
    /// Lease in milliseconds.
    pub lease_ms: u64,
    /// Number of the announcement within the incarnation; a higher one is newer.
    pub sequence: u64,
}

/// Announces every third of the lease, and at once when the state changes.
pub(crate) async fn announce(shared: Arc<Shared>) {
    let entries = &shared.settings.entries;
    if entries.is_empty() {
        return;
    }
    let mut preferred = 0;
    for sequence in 1.. {
        let _ = shared.paused.subscribe().wait_for(|paused| !paused).await;
        let body = serde_json::to_vec(&announcement(&shared, sequence)).unwrap_or_default();
        for _ in entries {
            if announce_to(&shared, entries[preferred], body.clone()).await {
                break;
            }
            preferred = (preferred + 1) % entries.len();
        }
        let pause = tokio::time::sleep(shared.settings.lease / 3);
        tokio::select! {
            () = pause => {}
            () = shared.announce_now.notified() => {}
        }
    }
}

/// Whether the entry answered; one that refuses has answered.
async fn announce_to(shared: &Shared, entry: SocketAddr, body: Vec<u8>) -> bool {
    let Ok(mut request) = http::request(Method::POST, entry, "/v1/targets", body) else {
        return false;
    };
    let json = hyper::header::HeaderValue::from_static("application/json");
    request.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    let limit = ANNOUNCE_TIMEOUT.min(shared.settings.lease / 3);
    let sent = http::Client::default().send(entry, request, limit).await;
    let mut core = lock(&shared.core);
    match sent {
        http::Sent::Answered(response) if response.status().is_success() => {
            core.report.announced += 1;
            true
        }
        http::Sent::Answered(response) => {
            core.report.announce_refused += 1;
            let reason = String::from_utf8_lossy(response.body()).into_owned();
            log::warn!("{entry} refused the announcement: {}: {reason}", response.status());
            // A server error, such as a stopping entry, is no judgement on the announcement.
            !response.status().is_server_error()
        }
        http::Sent::NotWritten(error) | http::Sent::Lost(error) => {
            core.report.announce_failed += 1;
            log::debug!("{entry} did not answer the announcement: {error}");
            false
        }
    }
}

fn announcement(shared: &Shared, sequence: u64) -> Announcement {
    Announcement {
        service: shared.settings.service.clone(),
        address: shared.address.into(),
        domain: shared.settings.domain,
        slots: shared.settings.slots,
        incarnation: shared.settings.incarnation,
        state: shared.state(),
        lease_ms: u64::try_from(shared.settings.lease.as_millis()).unwrap_or(u64::MAX),
        sequence,
    }
}

/// Registers at the fabric and echoes the packets that it delivers.
pub(crate) async fn echo(shared: Arc<Shared>, socket: UdpSocket) {
    let registration = format!("register {}", shared.address);
    let mut register = tokio::time::interval(REGISTER_PERIOD);
    let mut buffer = vec![0; 65_536];
    loop {
        let length = tokio::select! {
            _ = register.tick() => {
                let _ = socket.send(registration.as_bytes()).await;
                continue;
            }
            received = socket.recv(&mut buffer) => match received {
                Ok(length) => length,
                // The fabric's port is closed while it restarts.
                Err(_) => continue,
            },
        };
        let _ = shared.paused.subscribe().wait_for(|paused| !paused).await;
        let bytes = &buffer[..length];
        if bytes == b"ok" {
            continue;
        }
        let answer = lock(&shared.echo).handle(bytes, wall_us());
        if let Some(answer) = answer {
            let _ = socket.send(&answer).await;
        }
    }
}
