//! Relayed TCP streams through a real entry.

use crate::support::{Cluster, DECLARATIONS, LIMIT, ScratchFolder, settings};
use comfreyhold_daemon::settings::StreamListener;
use comfreyhold_lab::daemon_settings;
use comfreyhold_lab::http;
use comfreyhold_lab::ports::Ports;
use comfreyhold_lab::scenario::wait_for;
use comfreyhold_lab::up::{DaemonKind, DaemonPlan, Deployment, Plan};
use comfreyhold_types::prelude::*;
use hyper::Method;
use std::net::SocketAddr;
use std::sync::OnceLock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

static LISTEN_ADDRESS: OnceLock<SocketAddr> = OnceLock::new();

/// Renders a daemon's settings, with a stream listener for the first entry.
fn render_settings(plan: &Plan, daemon: &DaemonPlan) -> anyhow::Result<String> {
    let mut settings = daemon_settings::settings(plan, daemon);
    if let (DaemonKind::Entry, "entry-1") = (daemon.kind, daemon.name.as_str()) {
        let listen = *LISTEN_ADDRESS.get().unwrap();
        let service = "catalogue".to_owned();
        settings.entry.as_mut().unwrap().streams = vec![StreamListener { listen, service }];
    }
    Ok(serde_yaml_ng::to_string(&settings)?)
}

/// Starts a target that reads the caller's data to its end, then sends its length. Returns its address.
async fn start_counting_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut data = Vec::new();
                if stream.read_to_end(&mut data).await.is_ok() {
                    let _ = stream.write_all(data.len().to_string().as_bytes()).await;
                }
            });
        }
    });
    address
}

async fn announce(entry: SocketAddr, address: SocketAddr, sequence: u64) -> Option<()> {
    let body = serde_json::json!({
        "service": "catalogue", "address": address, "domain": 1, "slots": 2, "incarnation": 1,
        "state": "serving", "lease_ms": 60_000, "sequence": sequence,
    });
    let body = body.to_string().into_bytes();
    http::call(Method::POST, entry, "/v1/targets", body).await.ok().map(|_| ())
}

/// Sends 100,000 bytes, closes the sending direction and reads the response.
async fn send_and_read(listen: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(listen).await.ok()?;
    stream.write_all(&[7; 100_000]).await.ok()?;
    stream.shutdown().await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    (!answer.is_empty()).then_some(answer)
}

/// Guards against a relay that closes the target's direction together with the caller's, and against one that
/// loses bytes.
#[tokio::test]
async fn half_closed_stream_gets_its_complete_answer() {
    LISTEN_ADDRESS.get_or_init(|| Ports::anywhere().give().unwrap());
    let folder = ScratchFolder::new();
    let mut plan = settings();
    plan.services.clear();
    let deployment = Deployment::start(plan, folder.path(), render_settings).await.unwrap();
    let cluster = Cluster { deployment, folder };
    cluster.publish(DECLARATIONS).await;
    let target = start_counting_target().await;
    let entry = cluster.entries()[0];
    wait_for("the announcement is accepted", LIMIT, || announce(entry, target, 1)).await.unwrap();
    let listen = *LISTEN_ADDRESS.get().unwrap();
    let answer = wait_for("the stream is relayed", LIMIT, || send_and_read(listen)).await.unwrap();
    assert_eq!(answer, "100000");
    let domain_out = "kind: domain\nversion: 1\ndomain: 1\nstate: out\n";
    let code = cluster.publish(domain_out).await.results[0].code;
    assert_eq!(code, ResultCode::Ok.number());
    wait_for("no stream is relayed into the withdrawn domain", LIMIT, || async {
        send_and_read(listen).await.is_none().then_some(())
    })
    .await
    .unwrap();
    cluster.deployment.stop().await.unwrap();
}
