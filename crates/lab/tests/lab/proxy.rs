//! The proxy: each fault has the documented effect, and ends when it is turned off.

use crate::common::{LIMIT, loopback, program};
use comfreyhold_lab::http;
use comfreyhold_lab::packet::Protocol;
use comfreyhold_lab::proxy::{Corruption, Cut, Faults, Proxy, ProxyReport, ProxySettings};
use comfreyhold_lab::scenario::{Process, wait_for, wait_until};
use hyper::Method;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::timeout;

async fn start_tcp_echo(tasks: &mut JoinSet<()>) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.expect("bind");
    let address = listener.local_addr().expect("address");
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            connections.spawn(async move {
                let (mut rx, mut tx) = stream.split();
                let _ = tokio::io::copy(&mut rx, &mut tx).await;
            });
        }
    });
    address
}

async fn start_tcp_proxy(tasks: &mut JoinSet<()>) -> Proxy {
    let upstream = start_tcp_echo(tasks).await;
    let settings = ProxySettings::builder().protocol(Protocol::Tcp).upstream(upstream).build();
    Proxy::start(settings).await.expect("proxy")
}

async fn read_exact(stream: &mut TcpStream, length: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    timeout(LIMIT, stream.read_exact(&mut bytes)).await.expect("a response")?;
    Ok(bytes)
}

async fn expect_echo(stream: &mut TcpStream, text: &[u8]) {
    stream.write_all(text).await.expect("write");
    assert_eq!(read_exact(stream, text.len()).await.expect("read"), text);
}

/// Waits until the proxy has held this many chunks.
async fn wait_until_held(proxy: &Proxy, count: u64) {
    let held = || proxy.handle().report().held == count;
    wait_until("chunks are held", LIMIT, held).await.expect("held chunks");
}

/// Guards against silencing that affects new connections, that a change of faults ends, or that closes the
/// silenced connections.
#[tokio::test]
async fn silenced_connections_stay_open_without_responses() {
    let mut tasks = JoinSet::new();
    let proxy = start_tcp_proxy(&mut tasks).await;
    let mut old = TcpStream::connect(proxy.address()).await.unwrap();
    expect_echo(&mut old, b"before").await;
    proxy.handle().silence_open_connections();
    old.write_all(b"lost").await.unwrap();
    wait_until_held(&proxy, 1).await;
    proxy.handle().set_faults(Faults::default());
    let mut new = TcpStream::connect(proxy.address()).await.unwrap();
    expect_echo(&mut new, b"works").await;
    // Two chunks before the first connection was silenced, and two of the new connection.
    assert_eq!(proxy.handle().report().passed, 4);
    proxy.handle().close_open_connections();
    assert!(read_exact(&mut old, 1).await.is_err());
}

/// Guards against a blocked direction that loses TCP bytes, and against blocking one direction that blocks both.
#[tokio::test]
async fn blocked_bytes_arrive_after_the_block_ends() {
    let mut tasks = JoinSet::new();
    let proxy = start_tcp_proxy(&mut tasks).await;
    let handle = proxy.handle();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    expect_echo(&mut stream, b"before").await;
    handle.set_faults(Faults { cut: Cut::ToClient, ..Faults::default() });
    stream.write_all(b"one").await.unwrap();
    wait_until_held(&proxy, 1).await;
    assert_eq!(handle.report().passed, 3);
    handle.set_faults(Faults { cut: Cut::Both, ..Faults::default() });
    stream.write_all(b"two").await.unwrap();
    wait_until_held(&proxy, 2).await;
    assert_eq!(handle.report().passed, 3);
    handle.set_faults(Faults::default());
    assert_eq!(read_exact(&mut stream, 6).await.unwrap(), b"onetwo");
}

/// Sends 100 numbered datagrams through a proxy, and returns those that the upstream received.
async fn send_udp_through_proxy(faults: Faults, seed: u64) -> (ProxyReport, Vec<Vec<u8>>) {
    let upstream = UdpSocket::bind(loopback()).await.expect("bind");
    let settings = ProxySettings::builder()
        .protocol(Protocol::Udp)
        .upstream(upstream.local_addr().expect("address"))
        .seed(seed)
        .faults(faults)
        .build();
    let proxy = Proxy::start(settings).await.expect("proxy");
    let handle = proxy.handle();
    let socket = UdpSocket::bind(loopback()).await.expect("bind");
    for n in 0..100_u8 {
        socket.send_to(&[n, 0, 0, 0, 0, 0], proxy.address()).await.expect("send");
    }
    let all_handled = || handle.report().passed + handle.report().lost == 100;
    wait_until("all datagrams handled", LIMIT, all_handled).await.expect("handling");
    let report = handle.report();
    let mut received = Vec::new();
    for _ in 0..report.passed + report.duplicated {
        let mut buffer = vec![0; 64];
        let length = timeout(LIMIT, upstream.recv(&mut buffer)).await.expect("a datagram");
        buffer.truncate(length.expect("receive"));
        received.push(buffer);
    }
    (report, received)
}

/// Guards against corruption that changes nothing, or another part than the chosen one.
#[tokio::test]
async fn corruption_changes_the_chosen_part() {
    let faults = |corruption| Faults { corrupt_percent: 100, corruption, ..Faults::default() };
    let (report, bytes) = send_udp_through_proxy(faults(Corruption::Byte), 1).await;
    assert_eq!(report.corrupted, 100);
    for (n, datagram) in (0..).zip(&bytes) {
        let sent = [n, 0, 0, 0, 0, 0];
        let changed = datagram.iter().zip(sent).filter(|(got, sent)| *got != sent).count();
        assert_eq!((datagram.len(), changed), (6, 1));
    }
    let (_, lengths) = send_udp_through_proxy(faults(Corruption::Length), 1).await;
    assert_eq!(lengths[1], [!1, 255, 255, 255, 0, 0]);
    let (_, truncated) = send_udp_through_proxy(faults(Corruption::Truncate), 1).await;
    assert_eq!(truncated[1], [1, 0, 0, 0, 0]);
}

/// Guards against loss that has no effect or is not reproducible by the seed.
#[tokio::test]
async fn udp_loss_follows_the_seed() {
    let faults = Faults { loss_percent: 30, ..Faults::default() };
    let (report, received) = send_udp_through_proxy(faults, 5).await;
    assert!((10..60).contains(&report.lost), "{report:?}");
    assert_eq!(received, send_udp_through_proxy(faults, 5).await.1);
    assert_ne!(received, send_udp_through_proxy(faults, 6).await.1);
}

/// Guards against duplication and reordering that have no effect, or that lose datagrams.
#[tokio::test]
async fn udp_datagrams_are_duplicated_and_reordered() {
    let duplicating = Faults { duplicate_percent: 30, ..Faults::default() };
    let (report, received) = send_udp_through_proxy(duplicating, 5).await;
    assert!(report.duplicated > 10, "{report:?}");
    assert_eq!(received.windows(2).filter(|p| p[0] == p[1]).count() as u64, report.duplicated);
    let reordering = Faults { reorder_percent: 30, reorder_us: 30_000, ..Faults::default() };
    let (report, mut received) = send_udp_through_proxy(reordering, 5).await;
    assert!(report.reordered > 10 && !received.is_sorted(), "{report:?}");
    received.sort();
    received.dedup();
    assert_eq!(received.len(), 100);
}

/// Guards against a control endpoint that does not affect the running process.
#[tokio::test]
async fn binary_changes_faults_over_http() {
    let mut tasks = JoinSet::new();
    let upstream = start_tcp_echo(&mut tasks).await.to_string();
    let folder = tempfile::tempdir().unwrap();
    let args = ["proxy", "--upstream", &upstream];
    let mut process = Process::start("proxy", program(), args, folder.path()).await.unwrap();
    let control = process.start_line().address("http").unwrap();
    let address = process.start_line().address("proxy").unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    expect_echo(&mut stream, b"before").await;
    let cut = b"{\"cut\":\"both\"}".to_vec();
    http::call(Method::PUT, control, "/proxy/faults", cut).await.unwrap();
    stream.write_all(b"later").await.unwrap();
    let held = async || {
        let report: ProxyReport = http::get_json(control, "/proxy").await.ok()?;
        (report.held == 1).then_some(report)
    };
    let report = wait_for("chunk is held", LIMIT, held).await.unwrap();
    assert_eq!((report.faults.cut, report.connections, report.passed), (Cut::Both, 1, 2));
    let refused = http::call(Method::PUT, control, "/proxy/faults", b"{\"cutt\":1}".to_vec()).await;
    assert!(refused.is_err());
    http::call(Method::PUT, control, "/proxy/faults", b"{}".to_vec()).await.unwrap();
    assert_eq!(read_exact(&mut stream, 5).await.unwrap(), b"later");
    assert!(process.terminate(LIMIT).await.unwrap().success());
}
