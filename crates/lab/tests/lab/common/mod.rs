//! Shared helpers: forwarders that replace the entries in tests of the load and the fabric.

#![allow(dead_code, missing_docs, reason = "each test file uses some of these helpers")]

use bytes::Bytes;
use comfreyhold_lab::fabric::bind_with_buffer;
use comfreyhold_lab::http::{self, Client, Reply, Sent, text};
use comfreyhold_lab::lock;
use comfreyhold_lab::packet::{self, Content};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

pub const LIMIT: Duration = Duration::from_secs(20);

pub fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_comfreyhold-lab"))
}

pub fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80)
}

/// How a forwarder handles requests and the responses of its target.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    Forward,
    /// Runs the request and never responds.
    DropResponse,
    /// Runs the request and reports that it was not run.
    ClaimNotRun,
    /// Runs the request twice.
    RunTwice,
    /// Returns the response to another request.
    SwapResponse,
}

/// Starts a server that forwards requests to one target, as an entry does.
pub async fn start_forwarder(
    tasks: &mut JoinSet<()>,
    target: SocketAddrV4,
    behaviour: Behaviour,
) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let client = Arc::new(Client::default());
    tasks.spawn(http::serve(listener, move |request| {
        forward(Arc::clone(&client), target, behaviour, request)
    }));
    address
}

async fn forward(
    client: Arc<Client>,
    target: SocketAddrV4,
    behaviour: Behaviour,
    request: Request<Incoming>,
) -> Reply {
    let (mut parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return text(StatusCode::BAD_REQUEST, "incomplete body");
    };
    if behaviour == Behaviour::SwapResponse {
        parts.uri = "/crossed/0-0".parse().expect("path");
    }
    let request = Request::from_parts(parts, Full::new(body.to_bytes()));
    if behaviour == Behaviour::RunTwice {
        client.send(target.into(), request.clone(), LIMIT).await;
    }
    let Sent::Answered(response) = client.send(target.into(), request, LIMIT).await else {
        let mut reply = text(StatusCode::BAD_GATEWAY, "response lost");
        reply.headers_mut().insert("x-result-code", 2_001.into());
        return reply;
    };
    match behaviour {
        Behaviour::DropResponse => std::future::pending().await,
        Behaviour::ClaimNotRun => {
            let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, "shed");
            reply.headers_mut().insert("x-result-code", 1_003.into());
            reply
        }
        Behaviour::Forward | Behaviour::RunTwice | Behaviour::SwapResponse => {
            response.map(Full::<Bytes>::new)
        }
    }
}

/// Target to which a packet forwarder sends packets from callers.
pub type Route = Arc<Mutex<SocketAddrV4>>;

/// Starts a forwarder that rewrites packets between the service address and the target in `to`. It
/// keeps no flow state.
pub async fn packet_forwarder(
    tasks: &mut JoinSet<()>,
    fabric: SocketAddr,
    to: Route,
) -> SocketAddr {
    let socket = bind_with_buffer(loopback()).expect("bind");
    let address = socket.local_addr().expect("address");
    tasks.spawn(async move {
        let mut buffer = vec![0; 65_536];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
            let target = *lock(&to);
            if let Some(packet) = rewrite(&buffer[..length], target) {
                let _ = socket.send_to(&packet, fabric).await;
            }
        }
    });
    address
}

fn rewrite(bytes: &[u8], target: SocketAddrV4) -> Option<Vec<u8>> {
    let packet = packet::parse(bytes)?;
    let (from, to) = if packet.destination == service_address() {
        (packet.source, target)
    } else {
        (service_address(), packet.destination)
    };
    match packet.content {
        Content::Tcp(fields, payload) => Some(packet::tcp(from, to, fields, payload)),
        Content::Udp(payload) => Some(packet::udp(from, to, payload)),
        Content::Unreachable => None,
    }
}
