//! An entry that sends over a link of a stated rate.

use crate::feed::{announcement, publication};
use crate::log_lines;
use comfreyhold_fleet::control::{Control, ControlHandle};
use comfreyhold_fleet::entry::{Entry, PacketCodec, PacketError};
use comfreyhold_fleet::settings::FleetSettings;
use comfreyhold_flow::cookie::explain::{Action, LinkAction, Query};
use comfreyhold_flow::cookie::{CallerPacket, Cookie, FlowKey, PacketKind};
use comfreyhold_types::announcement::{Announcement, Availability};
use comfreyhold_types::clock::{ManualClock, SystemClock};
use comfreyhold_types::keys::TargetId;
use comfreyhold_types::routes::StateChange;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;

/// Timeout far above the duration of any step; only a fault reaches it.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time in which packets that must not be sent would arrive.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

const PACKET_PORT: u16 = 7_900;

/// Size of a packet without and with a body, in bytes. On the link they take 28 more.
const SMALL_BYTES: usize = 42;
const BODY_BYTES: usize = 942;

/// Link of the small entries of deployment S. Packets get 168,750 bytes per second of it.
const LINK_MBPS: &str = "limits: {link_mbps: 1.5}";

/// Openings of a burst. 19 pass a link with room at once, and the 20th is the first to be queued. By then the
/// flows cost 22,200 bytes, and the link carries 4,219 in its quarter of the objective.
const BURST: u8 = 40;
const ADMITTED: u8 = 20;

/// Kind of a packet, in the first byte of a datagram.
const OPEN: u8 = 0;
const DATA: u8 = 1;
const FINISH: u8 = 2;
const RESET: u8 = 3;

/// An address in a loopback network derived from the process id, so that concurrent runs do not conflict.
fn ip(host: u8) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high, low, host)
}

/// Codec for datagrams of a kind, a number of the flow and a number of the copy. All resets go to one address.
struct TestCodec {
    resets: SocketAddrV4,
}

impl PacketCodec for TestCodec {
    fn decode(&self, datagram: &[u8]) -> Result<CallerPacket, PacketError> {
        let [kind, number, copy, ..] = *datagram else { return Err(PacketError::WrongLength) };
        let caller = SocketAddrV4::new(ip(99), u16::from(number) + 1_000);
        let service = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
        let kind = match kind {
            OPEN => PacketKind::Open { copy: u32::from(copy) },
            DATA => PacketKind::Established,
            _ => PacketKind::Finish,
        };
        let data = u16::try_from(datagram.len() - SMALL_BYTES).unwrap();
        let flow = FlowKey { caller, service };
        Ok(CallerPacket { flow, kind, cookie: Cookie::default(), seq: 1, ack: 1, data })
    }

    fn encode_forward(&self, datagram: &[u8], _: TargetId, _: Cookie, out: &mut Vec<u8>) {
        out.extend_from_slice(datagram);
    }

    fn encode_reset(&self, packet: &CallerPacket, out: &mut Vec<u8>) -> SocketAddrV4 {
        let number = packet.flow.caller.port() - 1_000;
        out.extend_from_slice(&[RESET, u8::try_from(number).unwrap(), 0]);
        self.resets
    }
}

/// An entry with one target and one caller.
struct Deployment {
    entry: Rc<Entry<TestCodec>>,
    clock: Arc<ManualClock>,
    target: UdpSocket,
    caller: UdpSocket,
    first_host: u8,
    _control: (Rc<Control>, ControlHandle, TempDir),
}

fn settings(first_host: u8, host: u8, extra: &str) -> FleetSettings {
    let text = format!(
        "instance: one\ndomain: a\nip: {}\nexchange_port: 7901\nseeds: [\"{}:80\"]\n\
         first_start: true\nannounce_interval_ms: 60000\ntolerate: {{instances: 0}}\n\
         bounds: {{stop_s: 6}}\n{extra}",
        ip(host),
        ip(first_host + 1),
    );
    FleetSettings::parse(&text).unwrap()
}

async fn bind(host: u8) -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind((ip(host), 0)).await.unwrap();
    let SocketAddr::V4(address) = socket.local_addr().unwrap() else { unreachable!("IPv4") };
    (socket, address)
}

impl Deployment {
    /// Starts an entry at the first of four hosts, and waits until it is ready.
    async fn start(first_host: u8, limits: &str) -> Self {
        let (target, address) = bind(first_host + 2).await;
        let (caller, resets) = bind(first_host + 3).await;
        let clock = Arc::new(ManualClock::new());
        let settings_text = Self::entry_settings(first_host, limits);
        let entry = Entry::start(&settings_text, TestCodec { resets }, clock.clone()).unwrap();
        let folder = crate::folders::data_folder();
        let data_settings = format!("data_folder: {:?}", folder.path());
        let control_settings = settings(first_host, first_host + 1, &data_settings);
        let started = Control::start(control_settings, Arc::new(SystemClock)).await;
        let (control, handle) = started.unwrap();
        let announcement = Announcement { address, ..announcement(1, 1, Availability::Serving) };
        handle.announce(announcement).await;
        handle.change_declarations(StateChange::Publish(publication(1, &[1]))).await.unwrap();
        let is_ready = async {
            while !entry.readiness().is_ready() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(RECEIVE_TIMEOUT, is_ready).await.expect("the entry gets ready");
        let _control = (control, handle, folder);
        Self { entry, clock, target, caller, first_host, _control }
    }

    fn entry_settings(first_host: u8, limits: &str) -> FleetSettings {
        let listen = format!("listen: {{packets: \"{}:{PACKET_PORT}\"}}", ip(first_host));
        settings(first_host, first_host, &format!("{listen}\n{limits}"))
    }

    async fn send(&self, kind: u8, number: u8, copy: u8, len: usize) {
        let mut datagram = vec![0; len];
        datagram[..3].copy_from_slice(&[kind, number, copy]);
        self.caller.send_to(&datagram, (ip(self.first_host), PACKET_PORT)).await.unwrap();
    }

    /// Waits until the target has received this many packets. Returns their kinds and numbers.
    async fn forwarded(&self, count: usize) -> Vec<(u8, u8)> {
        let mut packets = Vec::new();
        let mut buf = [0; 2_048];
        while packets.len() < count {
            let received = tokio::time::timeout(RECEIVE_TIMEOUT, self.target.recv(&mut buf)).await;
            received.expect("the packet is forwarded").unwrap();
            packets.push((buf[0], buf[1]));
        }
        packets
    }

    /// Numbers of the flows that were reset, after as many resets, and a time without more.
    async fn resets(&self, count: usize) -> BTreeSet<u8> {
        let mut numbers = BTreeSet::new();
        let mut buf = [0; 8];
        for received in 0.. {
            let wait = if received < count { RECEIVE_TIMEOUT } else { QUIET_PERIOD };
            match tokio::time::timeout(wait, self.caller.recv(&mut buf)).await {
                Ok(len) => assert_eq!((len.unwrap(), buf[0]), (3, RESET)),
                Err(_) => break,
            }
            numbers.insert(buf[1]);
        }
        assert_eq!(numbers.len(), count);
        numbers
    }

    async fn assert_target_is_quiet(&self) {
        let mut buf = [0; 2_048];
        let received = tokio::time::timeout(QUIET_PERIOD, self.target.recv(&mut buf)).await;
        assert!(received.is_err(), "unexpected packet {:?}", &buf[..3]);
    }

    /// Lets the entry see what a flow costs: a body of 900 bytes.
    async fn run_whole_flows(&self) {
        for number in 200..208 {
            self.send(OPEN, number, 0, SMALL_BYTES).await;
            self.send(DATA, number, 0, BODY_BYTES).await;
            self.send(FINISH, number, 0, SMALL_BYTES).await;
            self.forwarded(3).await;
            self.clock.advance(Duration::from_millis(20));
        }
        // The next tick of the entry, so that the time above does not count as a stall.
        tokio::time::sleep(QUIET_PERIOD).await;
    }

    async fn send_burst(&self) {
        for number in 0..BURST {
            self.send(OPEN, number, 0, SMALL_BYTES).await;
        }
    }
}

/// Guards against flows that are admitted although the link can't carry them, refusals of flows that were forwarded
/// or that come as copies, and refused flows that stay in the balancer's record.
#[tokio::test]
async fn openings_that_the_link_cannot_carry_are_refused_at_once() {
    LocalSet::new().run_until(check_refusals()).await;
}

async fn check_refusals() {
    let deployment = Deployment::start(11, LINK_MBPS).await;
    deployment.run_whole_flows().await;
    deployment.send_burst().await;
    let at_once: Vec<(u8, u8)> = (0..ADMITTED - 1).map(|number| (OPEN, number)).collect();
    assert_eq!(deployment.forwarded(at_once.len()).await, at_once);
    deployment.assert_target_is_quiet().await;
    // Now the link has room for the resets and the queued opening.
    deployment.clock.advance(Duration::from_millis(20));
    let refused: BTreeSet<u8> = (ADMITTED..BURST).collect();
    assert_eq!(deployment.resets(refused.len()).await, refused);
    assert_eq!(deployment.forwarded(1).await, [(OPEN, ADMITTED - 1)]);
    deployment.clock.advance(Duration::from_millis(20));
    // Two bodies take up the link again. Flows that were forwarded are not refused, nor are copies. A refused flow
    // is unknown, and refused again.
    for (kind, number, copy, len) in [
        (DATA, 2, 0, BODY_BYTES),
        (DATA, 3, 0, BODY_BYTES),
        (OPEN, 0, 0, SMALL_BYTES),
        (OPEN, 30, 1, SMALL_BYTES),
        (OPEN, 31, 0, SMALL_BYTES),
        (DATA, 1, 0, BODY_BYTES),
    ] {
        deployment.send(kind, number, copy, len).await;
    }
    assert_eq!(deployment.forwarded(2).await, [(DATA, 2), (DATA, 3)]);
    deployment.assert_target_is_quiet().await;
    deployment.clock.advance(Duration::from_millis(50));
    assert_eq!(deployment.resets(1).await, BTreeSet::from([31]));
    let queued = deployment.forwarded(3).await;
    assert_eq!(queued[0], (DATA, 1), "packets of open flows go first: {queued:?}");
    let openings: BTreeSet<(u8, u8)> = queued[1..].iter().copied().collect();
    assert_eq!(openings, BTreeSet::from([(OPEN, 0), (OPEN, 30)]));
}

/// Guards against an explanation that differs from what the link does, or takes a place in its queue.
#[tokio::test]
async fn explanations_state_what_the_link_does() {
    LocalSet::new().run_until(check_link_explanations()).await;
}

async fn check_link_explanations() {
    let deployment = Deployment::start(71, LINK_MBPS).await;
    let handle = deployment.entry.explain_handle();
    let query = |number: u8, copy: u32| {
        let caller = SocketAddrV4::new(ip(99), u16::from(number) + 1_000);
        let service = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
        Query { service, caller, cookie: None, seq: 1, copy }
    };
    deployment.run_whole_flows().await;
    let explanation = handle.explain(query(100, 0)).await.unwrap();
    assert_eq!(explanation.decision.action, Action::Forward);
    assert_eq!(explanation.link.unwrap().action, LinkAction::Send);
    deployment.send_burst().await;
    deployment.forwarded(usize::from(ADMITTED) - 1).await;
    deployment.assert_target_is_quiet().await;
    // The resets of the refused openings are queued too.
    let mut queued = BTreeSet::new();
    for (number, copy, action, reason) in [
        (100, 0, LinkAction::Refuse, "link-full"),
        (ADMITTED - 1, 1, LinkAction::Drop, "link"),
        (0, 0, LinkAction::Queue, "best-score"),
        (100, 1, LinkAction::Queue, "best-score"),
    ] {
        let explanation = handle.explain(query(number, copy)).await.unwrap();
        let link = explanation.link.unwrap();
        assert_eq!((link.action, explanation.decision.reason.as_str()), (action, reason));
        assert!(link.expected_wait_ms > link.allowed_wait_ms.unwrap(), "{link:?}");
        queued.insert(link.queued_packets);
    }
    assert_eq!(queued, BTreeSet::from([usize::from(BURST - ADMITTED) + 1]));
    // The link does so: the opening is refused as explained, and the copy of the queued one is dropped.
    deployment.send(OPEN, 100, 0, SMALL_BYTES).await;
    deployment.send(OPEN, ADMITTED - 1, 1, SMALL_BYTES).await;
    deployment.assert_target_is_quiet().await;
    deployment.clock.advance(Duration::from_millis(20));
    let refused: BTreeSet<u8> = (ADMITTED..BURST).chain([100]).collect();
    assert_eq!(deployment.resets(refused.len()).await, refused);
    assert_eq!(deployment.forwarded(1).await, [(OPEN, ADMITTED - 1)]);
    deployment.assert_target_is_quiet().await;
}

/// Guards against openings that a full queue drops without an answer, and against resets of flows that were forwarded.
#[tokio::test]
async fn openings_that_a_full_queue_drops_are_refused() {
    LocalSet::new().run_until(check_full_queue()).await;
}

async fn check_full_queue() {
    let deployment = Deployment::start(51, LINK_MBPS).await;
    // Two large openings pass at once, and half a second of the link's rate is 86 more.
    for number in 0..150 {
        deployment.send(OPEN, number, 0, BODY_BYTES).await;
    }
    assert_eq!(deployment.forwarded(2).await, [(OPEN, 0), (OPEN, 1)]);
    for number in [0, 1] {
        deployment.send(OPEN, number, 0, BODY_BYTES).await;
    }
    deployment.assert_target_is_quiet().await;
    // At most a burst is sent at one time.
    for _ in 0..30 {
        deployment.clock.advance(Duration::from_millis(5));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let refused: BTreeSet<u8> = (88..150).collect();
    assert_eq!(deployment.resets(refused.len()).await, refused);
}

/// Guards against a full link that operators can't see.
#[tokio::test]
async fn a_used_queue_and_refusals_are_logged() {
    log_lines::collect();
    LocalSet::new().run_until(check_log()).await;
}

async fn check_log() {
    let deployment = Deployment::start(61, LINK_MBPS).await;
    deployment.run_whole_flows().await;
    deployment.send_burst().await;
    deployment.forwarded(usize::from(ADMITTED - 1)).await;
    deployment.assert_target_is_quiet().await;
    let lines = log_lines::all();
    let find = |parts: &[&str]| {
        let found = lines.iter().any(|line| parts.iter().all(|part| line.contains(part)));
        assert!(found, "no line with {parts:?} in {lines:?}");
    };
    find(&["\"kind\":\"link\"", "\"state\":\"queueing\"", "\"rate_mbps\":1.5", "\"queued\":1"]);
    find(&[
        "\"kind\":\"reset\"",
        "\"link_mbps\":1.5",
        "\"queued_bytes\":",
        "\"expected_wait_ms\":",
    ]);
}

/// Guards against a change of behaviour where no rate is stated.
#[tokio::test]
async fn without_a_stated_rate_everything_is_sent_at_once() {
    LocalSet::new().run_until(check_no_link()).await;
}

async fn check_no_link() {
    for (first_host, limits) in [(21, ""), (31, "limits: {link_mbps: 0}")] {
        let deployment = Deployment::start(first_host, limits).await;
        deployment.run_whole_flows().await;
        deployment.send_burst().await;
        assert_eq!(deployment.forwarded(usize::from(BURST)).await.len(), usize::from(BURST));
        assert!(deployment.resets(0).await.is_empty());
    }
}

/// Guards against packets that stay queued when the process stops, or when a reload removes the rate.
#[tokio::test]
async fn the_queue_is_sent_at_a_stop_and_when_the_rate_is_removed() {
    LocalSet::new().run_until(check_flush()).await;
}

async fn check_flush() {
    let deployment = Deployment::start(41, LINK_MBPS).await;
    deployment.send_burst().await;
    // Without a known cost nothing is refused.
    deployment.forwarded(usize::from(ADMITTED - 1)).await;
    deployment.assert_target_is_quiet().await;
    deployment.entry.stop();
    deployment.entry.flush_link();
    deployment.forwarded(usize::from(BURST - ADMITTED + 1)).await;
    for number in 0..10 {
        deployment.send(DATA, number, 0, BODY_BYTES).await;
    }
    deployment.assert_target_is_quiet().await;
    deployment.entry.reload(&Deployment::entry_settings(41, ""));
    deployment.forwarded(10).await;
    deployment.send(DATA, 11, 0, BODY_BYTES).await;
    deployment.forwarded(1).await;
}
