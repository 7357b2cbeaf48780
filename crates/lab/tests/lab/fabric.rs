//! The fabric: distribution over entries, registration of endpoints, and changes at run time.

use crate::common;
use crate::common::{LIMIT, loopback, packet_forwarder, program, service_address};
use comfreyhold_lab::fabric::{EntryChange, Fabric, FabricReport, FabricSettings, PathSettings};
use comfreyhold_lab::flow_load::FlowEnd;
use comfreyhold_lab::http;
use comfreyhold_lab::load::{self, LoadSettings};
use comfreyhold_lab::packet::{self, Content, Protocol};
use comfreyhold_lab::scenario::{Process, wait_until};
use comfreyhold_lab::target::{Target, TargetSettings};
use etherparse::icmpv4::DestUnreachableHeader;
use etherparse::{Icmpv4Type, PacketBuilder};
use hyper::Method;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

fn caller_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), port)
}

async fn bind_socket() -> UdpSocket {
    UdpSocket::bind(loopback()).await.expect("bind")
}

async fn receive_datagram(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = vec![0; 2_048];
    let received = timeout(LIMIT, socket.recv(&mut buffer)).await.expect("a datagram");
    buffer.truncate(received.expect("receive"));
    buffer
}

/// Sends 60 packets to a fabric with three entries, and returns how many each entry was sent.
async fn packets_per_entry(seed: u64) -> Vec<u64> {
    let entries = [bind_socket().await, bind_socket().await, bind_socket().await];
    let addresses: Vec<_> = entries.iter().map(|e| e.local_addr().expect("address")).collect();
    let settings = FabricSettings::builder().entries(addresses.clone()).seed(seed).build();
    let fabric = Fabric::start(settings).await.expect("fabric");
    let sender = bind_socket().await;
    let packet = packet::udp(caller_address(1), service_address(), b"x");
    for _ in 0..60 {
        sender.send_to(&packet, fabric.packets()).await.expect("send");
    }
    let all_sent = || fabric.report().to_entry.values().sum::<u64>() == 60;
    wait_until("all packets distributed", LIMIT, all_sent).await.expect("distribution");
    addresses.iter().map(|a| fabric.report().to_entry[a]).collect()
}

/// Guards against a fabric that prefers an entry, or whose choices are not reproducible by the seed.
#[tokio::test]
async fn packets_reach_all_entries_and_follow_the_seed() {
    let first = packets_per_entry(7).await;
    assert!(first.iter().all(|count| *count > 5), "{first:?}");
    assert_eq!(first, packets_per_entry(7).await);
    assert_ne!(first, packets_per_entry(8).await);
}

/// Guards against packets from an entry that go to another endpoint than the registered one.
#[tokio::test]
async fn packets_from_entries_reach_the_registered_endpoint() {
    let (entry, endpoint) = (bind_socket().await, bind_socket().await);
    let settings = FabricSettings::builder().entries(vec![entry.local_addr().unwrap()]).build();
    let fabric = Fabric::start(settings).await.unwrap();
    let registration = format!("register {}", caller_address(2));
    endpoint.send_to(registration.as_bytes(), fabric.packets()).await.unwrap();
    assert_eq!(receive_datagram(&endpoint).await, b"ok");
    let unregistered = packet::udp(service_address(), caller_address(3), b"x");
    let registered = packet::udp(service_address(), caller_address(2), b"y");
    entry.send_to(&unregistered, fabric.packets()).await.unwrap();
    entry.send_to(&registered, fabric.packets()).await.unwrap();
    assert_eq!(receive_datagram(&endpoint).await, registered);
    assert_eq!(fabric.report().unregistered, 1);
}

/// Guards against a lost ICMP message about an abandoned UDP flow: without it the load generator waits until
/// its echo limit.
#[tokio::test]
async fn port_unreachable_reaches_the_refused_caller() {
    let (entry, endpoint) = (bind_socket().await, bind_socket().await);
    let settings = FabricSettings::builder().entries(vec![entry.local_addr().unwrap()]).build();
    let fabric = Fabric::start(settings).await.unwrap();
    let registration = format!("register {}", caller_address(2));
    endpoint.send_to(registration.as_bytes(), fabric.packets()).await.unwrap();
    assert_eq!(receive_datagram(&endpoint).await, b"ok");
    let refused = packet::udp(caller_address(2), service_address(), b"payload");
    let (from, to) = (service_address().ip().octets(), caller_address(2).ip().octets());
    let mut icmp_message = Vec::new();
    // The message quotes an IP header without options and the 8 bytes after it.
    PacketBuilder::ipv4(from, to, 64)
        .icmpv4(Icmpv4Type::DestinationUnreachable(DestUnreachableHeader::Port))
        .write(&mut icmp_message, &refused[..28])
        .unwrap();
    entry.send_to(&icmp_message, fabric.packets()).await.unwrap();
    let received = receive_datagram(&endpoint).await;
    let parsed = packet::parse(&received).unwrap();
    assert_eq!((parsed.content, parsed.source), (Content::Unreachable, service_address()));
}

/// Guards against a removed entry that still receives packets. Uses the process and its control endpoint.
#[tokio::test]
async fn entries_are_added_and_removed_at_run_time() {
    let folder = tempfile::tempdir().unwrap();
    let mut process = Process::start("fabric", program(), ["fabric"], folder.path()).await.unwrap();
    let control = process.start_line().address("http").unwrap();
    let packets = process.start_line().address("packets").unwrap();
    let (removed, kept) = (bind_socket().await, bind_socket().await);
    let change = |entry: &UdpSocket| {
        let entries = vec![entry.local_addr().unwrap()];
        serde_json::to_vec(&EntryChange { entries }).unwrap()
    };
    http::call(Method::POST, control, "/fabric/entries", change(&removed)).await.unwrap();
    http::call(Method::POST, control, "/fabric/entries", change(&kept)).await.unwrap();
    http::call(Method::DELETE, control, "/fabric/entries", change(&removed)).await.unwrap();
    let packet = packet::udp(caller_address(1), service_address(), b"x");
    for _ in 0..10 {
        bind_socket().await.send_to(&packet, packets).await.unwrap();
        assert_eq!(receive_datagram(&kept).await, packet);
    }
    let report: FabricReport = http::get_json(control, "/fabric").await.unwrap();
    assert_eq!(report.to_entry.get(&removed.local_addr().unwrap()), None);
    assert!(process.terminate(LIMIT).await.unwrap().success());
}

/// Guards against a delay setting that has no effect.
#[tokio::test]
async fn delay_applies_to_each_packet() {
    let entry = bind_socket().await;
    let settings = FabricSettings::builder().entries(vec![entry.local_addr().unwrap()]).build();
    let fabric = Fabric::start(settings).await.unwrap();
    let path = PathSettings { delay_us: 50_000, ..PathSettings::default() };
    let body = serde_json::to_vec(&path).unwrap();
    http::call(Method::PUT, fabric.control(), "/fabric/path", body).await.unwrap();
    let packet = packet::udp(caller_address(1), service_address(), b"x");
    let sent = Instant::now();
    bind_socket().await.send_to(&packet, fabric.packets()).await.unwrap();
    assert_eq!(receive_datagram(&entry).await, packet);
    assert!(sent.elapsed().as_micros() >= 50_000);
}

/// A fabric with two entries and two targets of one service. The entries forward all flows to `route`.
struct FlowSetup {
    tasks: JoinSet<()>,
    fabric: Fabric,
    targets: [Target; 2],
    route: common::Route,
}

async fn flow_setup() -> FlowSetup {
    let mut tasks = JoinSet::new();
    let fabric = Fabric::start(FabricSettings::builder().build()).await.expect("fabric");
    let settings = || TargetSettings::builder().service("orders").fabric(fabric.packets()).build();
    let targets = [
        Target::start(settings()).await.expect("target"),
        Target::start(settings()).await.expect("target"),
    ];
    let route: common::Route = Arc::new(Mutex::new(targets[0].address()));
    for _ in 0..2 {
        let entry = packet_forwarder(&mut tasks, fabric.packets(), Arc::clone(&route)).await;
        fabric.add_entry(entry);
    }
    let registered = || fabric.report().endpoints == 2;
    wait_until("targets register", LIMIT, registered).await.expect("registration");
    FlowSetup { tasks, fabric, targets, route }
}

fn flow_load(fabric: SocketAddr, hold_ms: u64, duration_ms: u64) -> LoadSettings {
    let text = format!(
        "{{seed: 3, duration_ms: {duration_ms}, flows: [\
         {{fabric: '{fabric}', service: orders, address: '{address}', protocol: tcp, \
         opens_per_s: 100, hold_ms: {hold_ms}, send_every_ms: 20, echo_limit_ms: 10000}}, \
         {{fabric: '{fabric}', service: orders, address: '{address}', protocol: udp, \
         caller: 10.201.0.1, opens_per_s: 100, hold_ms: {hold_ms}, send_every_ms: 20, \
         echo_limit_ms: 10000}}]}}",
        address = service_address()
    );
    serde_yaml_ng::from_str(&text).expect("settings")
}

/// Guards against a load generator that reports flows as broken although every packet was delivered.
#[tokio::test]
async fn undisturbed_flows_are_not_broken() {
    let setup = flow_setup().await;
    let mut settings = flow_load(setup.fabric.packets(), 200, 500);
    settings.targets = setup.targets.iter().map(|t| t.address().into()).collect();
    let report = load::run(&settings, "test").await.unwrap();
    assert_eq!(report.broken_flows(), 0, "{}", report.table());
    assert!(report.flow_end(FlowEnd::Closed) > 50, "{}", report.table());
    assert!(report.flows.iter().all(|flow| flow.echo.count > 0 && flow.bad_checksums == 0));
    assert!(report.checks.flows_on_several_targets.values().all(|count| *count == 0));
    assert!(report.checks.holds());
}

/// Guards against a load generator that does not detect flows that were moved to another target.
#[tokio::test]
async fn moved_flows_are_detected() {
    let mut setup = flow_setup().await;
    let mut settings = flow_load(setup.fabric.packets(), 60_000, 1_500);
    settings.targets = setup.targets.iter().map(|t| t.address().into()).collect();
    let (first, second) = (&setup.targets[0], setup.targets[1].address());
    let load = tokio::spawn(async move { load::run(&settings, "test").await });
    wait_until("flows open", LIMIT, || first.flows().len() >= 20).await.unwrap();
    *comfreyhold_lab::lock(&setup.route) = second;
    let report = load.await.unwrap().unwrap();
    assert!(report.flow_end(FlowEnd::Reset) > 0, "{}", report.table());
    assert_eq!(report.flow_end(FlowEnd::Silent), 0, "{}", report.table());
    let udp = &report.flows[1];
    assert_eq!(udp.broken.count, 0, "{}", report.table());
    let moved = &report.checks.flows_on_several_targets;
    assert!(moved[&Protocol::Tcp] >= report.flow_end(FlowEnd::Reset), "{moved:?}");
    assert!(moved[&Protocol::Udp] > 0, "{moved:?}");
    setup.tasks.shutdown().await;
}
