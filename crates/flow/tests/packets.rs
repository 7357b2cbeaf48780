//! Parsing and rewriting of packets, and replies to them.
#![allow(clippy::unwrap_used, clippy::panic)]

use comfreyhold_flow::packet::Endpoint;
use comfreyhold_flow::{Packet, PacketError, Protocol, reply};
use comfreyhold_types::codes::Family;
use etherparse::{IpSlice, PacketBuilder, SlicedPacket, TcpSlice, TransportSlice};
use proptest::prelude::*;
use std::net::SocketAddr;

fn build(v6: bool, udp: bool, ports: (u16, u16), payload: &[u8]) -> Vec<u8> {
    let ip = if v6 {
        PacketBuilder::ipv6([1; 16], [2; 16], 9)
    } else {
        PacketBuilder::ipv4([10, 0, 0, 1], [10, 0, 0, 2], 9)
    };
    let mut bytes = Vec::new();
    if udp {
        ip.udp(ports.0, ports.1).write(&mut bytes, payload).unwrap();
    } else {
        ip.tcp(ports.0, ports.1, 5, 9).syn().write(&mut bytes, payload).unwrap();
    }
    bytes
}

fn checksums_hold(bytes: &[u8]) -> bool {
    let parsed = SlicedPacket::from_ip(bytes).unwrap();
    let ip = IpSlice::from_slice(bytes).unwrap();
    let header_ok = ip.ipv4().is_none_or(|v4| {
        v4.header().header_checksum() == v4.header().to_header().calc_header_checksum()
    });
    let transport = ip.payload().payload;
    let transport_ok = match parsed.transport {
        Some(TransportSlice::Tcp(tcp)) => {
            let header = tcp.to_header();
            let expected = match &ip {
                IpSlice::Ipv4(v4) => {
                    header.calc_checksum_ipv4(&v4.header().to_header(), tcp.payload())
                }
                IpSlice::Ipv6(v6) => {
                    header.calc_checksum_ipv6(&v6.header().to_header(), tcp.payload())
                }
            };
            expected.unwrap() == tcp.checksum()
        }
        Some(TransportSlice::Udp(udp)) => {
            let header = udp.to_header();
            let expected = match &ip {
                IpSlice::Ipv4(v4) => {
                    header.calc_checksum_ipv4(&v4.header().to_header(), udp.payload())
                }
                IpSlice::Ipv6(v6) => {
                    header.calc_checksum_ipv6(&v6.header().to_header(), udp.payload())
                }
            };
            expected.unwrap() == udp.checksum()
        }
        _ => !transport.is_empty(),
    };
    header_ok && transport_ok
}

proptest! {
    /// Guards against a panic or an error outside the peer family on arbitrary bytes.
    #[test]
    fn any_bytes_parse_or_fail_with_a_peer_code(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Err(error) = Packet::parse(&bytes) {
            prop_assert_eq!(error.code().family(), Family::Peer);
        }
    }

    /// Guards against reads past the end of a packet whose headers were damaged or truncated.
    #[test]
    fn damaged_packets_never_panic(
        v6: bool, udp: bool, cut in 0usize..100, at in 0usize..100, value: u8,
    ) {
        let mut bytes = build(v6, udp, (1, 2), &[3; 40]);
        let index = at % bytes.len();
        bytes[index] = value;
        bytes.truncate(bytes.len().saturating_sub(cut));
        if let Ok(packet) = Packet::parse(&bytes) {
            let to = if v6 { "[::9]:7" } else { "9.9.9.9:7" };
            let _ = packet.rewrite(&mut bytes, Endpoint::Destination, to.parse().unwrap());
            let _ = reply::refusal(&packet, &bytes);
        }
    }

    /// Guards against wrong checksums after a rewrite, which the receiver would drop.
    #[test]
    fn rewritten_checksums_verify(
        v6: bool, udp: bool, source: bool, ports: (u16, u16),
        address: u128, port: u16, payload in proptest::collection::vec(any::<u8>(), 0..64),
    ) {
        let mut bytes = build(v6, udp, ports, &payload);
        let packet = Packet::parse(&bytes).unwrap();
        let ip = if v6 { std::net::Ipv6Addr::from(address).into() }
            else { std::net::Ipv4Addr::from(address as u32).into() };
        let to = SocketAddr::new(ip, port);
        let end = if source { Endpoint::Source } else { Endpoint::Destination };
        packet.rewrite(&mut bytes, end, to).unwrap();
        let rewritten = Packet::parse(&bytes).unwrap();
        let got = if source { rewritten.tuple.source } else { rewritten.tuple.destination };
        prop_assert_eq!(got, to);
        prop_assert!(checksums_hold(&bytes));
    }
}

/// Guards against a rewrite that recomputes the checksum of a damaged packet and so hides the
/// damage.
#[test]
fn damage_stays_visible_after_a_rewrite() {
    let mut bytes = build(false, false, (1, 2), b"payload");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    let packet = Packet::parse(&bytes).unwrap();
    packet.rewrite(&mut bytes, Endpoint::Destination, "9.9.9.9:7".parse().unwrap()).unwrap();
    assert!(!checksums_hold(&bytes));
}

/// Guards against a checksum on a UDP packet that was sent without one.
#[test]
fn udp_without_checksum_gets_none() {
    let mut bytes = build(false, true, (1, 2), b"x");
    bytes[26..28].copy_from_slice(&[0, 0]);
    let packet = Packet::parse(&bytes).unwrap();
    packet.rewrite(&mut bytes, Endpoint::Source, "9.9.9.9:7".parse().unwrap()).unwrap();
    assert_eq!(bytes[26..28], [0, 0]);
}

/// Guards against packets of one IP family that are sent to an address of the other.
#[test]
fn a_rewrite_keeps_the_ip_family() {
    let mut bytes = build(false, true, (1, 2), b"x");
    let packet = Packet::parse(&bytes).unwrap();
    let to = "[::1]:1".parse().unwrap();
    assert_eq!(packet.rewrite(&mut bytes, Endpoint::Source, to), Err(PacketError::Family(to)));
}

/// Guards against a reset that the caller's TCP stack ignores because of its sequence numbers or
/// checksum.
#[test]
fn a_refused_syn_is_answered_by_an_acceptable_reset() {
    let bytes = build(false, false, (1_000, 443), b"");
    let packet = Packet::parse(&bytes).unwrap();
    assert!(packet.opens());
    let reset = reply::refusal(&packet, &bytes).unwrap();
    let ip = IpSlice::from_slice(&reset).unwrap();
    let tcp = TcpSlice::from_slice(ip.payload().payload).unwrap();
    assert!(tcp.rst() && tcp.ack());
    assert_eq!((tcp.acknowledgment_number(), tcp.sequence_number()), (6, 0));
    assert_eq!((tcp.source_port(), tcp.destination_port()), (443, 1_000));
    assert!(checksums_hold(&reset));
    let answer = Packet::parse(&reset).unwrap();
    assert_eq!(reply::refusal(&answer, &reset), None);
}

/// Guards against ICMP replies that quote too little to be matched to the caller's socket.
#[test]
fn a_refused_datagram_is_answered_by_port_unreachable() {
    for v6 in [false, true] {
        let bytes = build(v6, true, (1_000, 53), &[1; 1_300]);
        let packet = Packet::parse(&bytes).unwrap();
        assert_eq!(packet.tuple.protocol, Protocol::Udp);
        let reply = reply::refusal(&packet, &bytes).unwrap();
        let parsed = SlicedPacket::from_ip(&reply).unwrap();
        let quoted = match parsed.transport.unwrap() {
            TransportSlice::Icmpv4(icmp) => icmp.payload().to_vec(),
            TransportSlice::Icmpv6(icmp) => icmp.payload().to_vec(),
            other => panic!("unexpected reply {other:?}"),
        };
        assert!(bytes.starts_with(&quoted) && quoted.len() >= 48);
        assert!(reply.len() <= if v6 { 1_280 } else { 576 });
    }
}
