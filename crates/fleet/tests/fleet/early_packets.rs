//! An entry that receives packets before any control daemon runs.

use crate::feed::{announcement, publication};
use comfreyhold_fleet::control::Control;
use comfreyhold_fleet::entry::{Entry, PacketCodec, PacketError};
use comfreyhold_fleet::settings::FleetSettings;
use comfreyhold_flow::cookie::{CallerPacket, Cookie, FlowKey, PacketKind};
use comfreyhold_types::announcement::{Announcement, Availability};
use comfreyhold_types::clock::{ManualClock, SystemClock};
use comfreyhold_types::keys::TargetId;
use comfreyhold_types::routes::StateChange;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;

/// Timeout far above the duration of a start; only a fault reaches it.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(60);

const PACKET_PORT: u16 = 7_900;

/// An address in a loopback network derived from the process id, so that concurrent runs do not conflict.
fn ip(host: u8) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high, low, host)
}

/// Codec for datagrams of one byte: the sequence number of an opening. All flows go to one service address.
pub struct OneByteCodec;

impl PacketCodec for OneByteCodec {
    fn decode(&self, datagram: &[u8]) -> Result<CallerPacket, PacketError> {
        let [number] = datagram else { return Err(PacketError::WrongLength) };
        let caller = SocketAddrV4::new(ip(9), u16::from(*number) + 1_000);
        let service = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
        let flow = FlowKey { caller, service };
        let (kind, cookie) = (PacketKind::Open { copy: 0 }, Cookie::default());
        Ok(CallerPacket { flow, kind, cookie, seq: u32::from(*number), ack: 0, data: 0 })
    }

    fn encode_forward(&self, datagram: &[u8], _: TargetId, _: Cookie, out: &mut Vec<u8>) {
        out.extend_from_slice(datagram);
    }

    fn encode_reset(&self, packet: &CallerPacket, _: &mut Vec<u8>) -> SocketAddrV4 {
        packet.flow.caller
    }
}

fn settings(host: u8, extra: &str) -> FleetSettings {
    let text = format!(
        "instance: one\ndomain: a\nip: {}\nexchange_port: 7901\nseeds: [\"{}:80\"]\n\
         first_start: true\nannounce_interval_ms: 60000\ntolerate: {{instances: 0}}\n\
         bounds: {{stop_s: 6}}\n{extra}",
        ip(host),
        ip(2),
    );
    FleetSettings::parse(&text).unwrap()
}

/// Guards against the loss of packets that arrive while an entry waits for its first routes, which makes
/// their requests late. The fabric sends packets to an entry that is not ready if there is no other one.
#[tokio::test]
async fn packets_received_before_the_first_routes_are_forwarded_once_they_are_known() {
    LocalSet::new().run_until(check_early_packets()).await;
}

async fn check_early_packets() {
    let target = UdpSocket::bind((ip(3), 0)).await.unwrap();
    let SocketAddr::V4(address) = target.local_addr().unwrap() else { unreachable!("IPv4") };
    let listen_settings = format!("listen: {{packets: \"{}:{PACKET_PORT}\"}}", ip(1));
    // The entry's clock is stopped, so that no packet expires however long the start takes.
    let clock = Arc::new(ManualClock::new());
    let entry = Entry::start(&settings(1, &listen_settings), OneByteCodec, clock).unwrap();
    let caller = UdpSocket::bind((ip(9), 0)).await.unwrap();
    for number in [1, 2] {
        caller.send_to(&[number], (ip(1), PACKET_PORT)).await.unwrap();
    }
    let folder = crate::folders::data_folder();
    let data_settings = format!("data_folder: {:?}", folder.path());
    let control_settings = settings(2, &data_settings);
    let started = Control::start(control_settings, Arc::new(SystemClock)).await;
    let (_control, handle) = started.unwrap();
    assert!(!entry.readiness().is_ready());
    handle.announce(Announcement { address, ..announcement(1, 1, Availability::Serving) }).await;
    handle.change_declarations(StateChange::Publish(publication(1, &[1]))).await.unwrap();
    let mut buf = [0; 8];
    for number in [1, 2] {
        let received = tokio::time::timeout(RECEIVE_TIMEOUT, target.recv(&mut buf)).await;
        assert_eq!(received.expect("the packet is forwarded").unwrap(), 1);
        assert_eq!(buf[0], number);
    }
    assert!(entry.readiness().is_ready());
}
