//! The proxy: each fault does what it says, and ends when it is switched off.

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

async fn tcp_echo(tasks: &mut JoinSet<()>) -> SocketAddr {
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

async fn tcp_proxy(tasks: &mut JoinSet<()>) -> Proxy {
    let upstream = tcp_echo(tasks).await;
    let settings = ProxySettings::builder().protocol(Protocol::Tcp).upstream(upstream).build();
    Proxy::start(settings).await.expect("proxy")
}

async fn read(stream: &mut TcpStream, length: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    timeout(LIMIT, stream.read_exact(&mut bytes)).await.expect("an answer")?;
    Ok(bytes)
}

async fn echoes(stream: &mut TcpStream, text: &[u8]) {
    stream.write_all(text).await.expect("write");
    assert_eq!(read(stream, text.len()).await.expect("read"), text);
}

/// Waits until the proxy holds this many chunks back.
async fn held(proxy: &Proxy, count: u64) {
    let held = || proxy.handle().report().held == count;
    wait_until("chunks are held", LIMIT, held).await.expect("held chunks");
}

/// Guards against silence that also affects new connections, or that ends or closes old ones.
#[tokio::test]
async fn silence_keeps_old_connections_open_without_answers() {
    let mut tasks = JoinSet::new();
    let proxy = tcp_proxy(&mut tasks).await;
    let mut old = TcpStream::connect(proxy.address()).await.unwrap();
    echoes(&mut old, b"before").await;
    proxy.handle().silence_open_connections();
    old.write_all(b"lost").await.unwrap();
    held(&proxy, 1).await;
    proxy.handle().set_faults(Faults::default());
    let mut new = TcpStream::connect(proxy.address()).await.unwrap();
    echoes(&mut new, b"works").await;
    // Two chunks before the silence, and two of the new connection.
    assert_eq!(proxy.handle().report().passed, 4);
    proxy.handle().close_open_connections();
    assert!(read(&mut old, 1).await.is_err());
}

/// Guards against a cut that loses TCP bytes for good, and a one-way cut that cuts both ways.
#[tokio::test]
async fn cut_holds_bytes_until_it_ends() {
    let mut tasks = JoinSet::new();
    let proxy = tcp_proxy(&mut tasks).await;
    let handle = proxy.handle();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    echoes(&mut stream, b"before").await;
    handle.set_faults(Faults { cut: Cut::ToClient, ..Faults::default() });
    stream.write_all(b"one").await.unwrap();
    held(&proxy, 1).await;
    assert_eq!(handle.report().passed, 3);
    handle.set_faults(Faults { cut: Cut::Both, ..Faults::default() });
    stream.write_all(b"two").await.unwrap();
    held(&proxy, 2).await;
    assert_eq!(handle.report().passed, 3);
    handle.set_faults(Faults::default());
    assert_eq!(read(&mut stream, 6).await.unwrap(), b"onetwo");
}

/// Sends 100 numbered datagrams through a proxy, and returns those that the upstream received.
async fn through_udp(faults: Faults, seed: u64) -> (ProxyReport, Vec<Vec<u8>>) {
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
    let all = || handle.report().passed + handle.report().lost == 100;
    wait_until("all datagrams treated", LIMIT, all).await.expect("treatment");
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

/// Guards against corruption that changes nothing, or more than it says.
#[tokio::test]
async fn corruption_changes_the_chosen_part() {
    let of = |corruption| Faults { corrupt_percent: 100, corruption, ..Faults::default() };
    let (report, bytes) = through_udp(of(Corruption::Byte), 1).await;
    assert_eq!(report.corrupted, 100);
    for (n, datagram) in (0..).zip(&bytes) {
        let sent = [n, 0, 0, 0, 0, 0];
        let changed = datagram.iter().zip(sent).filter(|(got, sent)| *got != sent).count();
        assert_eq!((datagram.len(), changed), (6, 1));
    }
    let (_, lengths) = through_udp(of(Corruption::Length), 1).await;
    assert_eq!(lengths[1], [!1, 255, 255, 255, 0, 0]);
    let (_, truncated) = through_udp(of(Corruption::Truncate), 1).await;
    assert_eq!(truncated[1], [1, 0, 0, 0, 0]);
}

/// Guards against loss that is not in force or can't be repeated.
#[tokio::test]
async fn udp_loss_follows_the_seed() {
    let faults = Faults { loss_percent: 30, ..Faults::default() };
    let (report, received) = through_udp(faults, 5).await;
    assert!((10..60).contains(&report.lost), "{report:?}");
    assert_eq!(received, through_udp(faults, 5).await.1);
    assert_ne!(received, through_udp(faults, 6).await.1);
}

/// Guards against duplicates and reordering that are not in force, or that lose datagrams.
#[tokio::test]
async fn udp_datagrams_are_duplicated_and_reordered() {
    let duplicating = Faults { duplicate_percent: 30, ..Faults::default() };
    let (report, received) = through_udp(duplicating, 5).await;
    assert!(report.duplicated > 10, "{report:?}");
    assert_eq!(received.windows(2).filter(|p| p[0] == p[1]).count() as u64, report.duplicated);
    let reordering = Faults { reorder_percent: 30, reorder_us: 30_000, ..Faults::default() };
    let (report, mut received) = through_udp(reordering, 5).await;
    assert!(report.reordered > 10 && !received.is_sorted(), "{report:?}");
    received.sort();
    received.dedup();
    assert_eq!(received.len(), 100);
}

/// Guards against a control endpoint that does not reach the real process.
#[tokio::test]
async fn binary_switches_faults_over_http() {
    let mut tasks = JoinSet::new();
    let upstream = tcp_echo(&mut tasks).await.to_string();
    let folder = tempfile::tempdir().unwrap();
    let args = ["proxy", "--upstream", &upstream];
    let mut process = Process::start("proxy", program(), args, folder.path()).await.unwrap();
    let control = process.start_line().address("http").unwrap();
    let address = process.start_line().address("proxy").unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    echoes(&mut stream, b"before").await;
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
    assert_eq!(read(&mut stream, 5).await.unwrap(), b"later");
    assert!(process.terminate(LIMIT).await.unwrap().success());
}
