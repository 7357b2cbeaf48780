//! Replies to a caller whose flow is rejected: TCP reset and ICMP port unreachable.

use crate::flow::Protocol;
use crate::packet::Packet;
use etherparse::icmpv4::DestUnreachableHeader;
use etherparse::icmpv6::DestUnreachableCode;
use etherparse::{Icmpv4Type, Icmpv6Type, PacketBuilder, PacketBuilderStep};
use std::net::IpAddr;

const HOP_LIMIT: u8 = 64;

/// Upper limit of quoted bytes in an ICMP reply, so that the reply stays within the minimum MTU:
/// 576 bytes for IPv4 with headers of 20 and 8 bytes, 1280 for IPv6 with headers of 40 and 8.
const MAX_ICMPV4_QUOTE_BYTES: usize = 548;
const MAX_ICMPV6_QUOTE_BYTES: usize = 1232;

/// Builds the reply that rejects a caller's flow: a reset for TCP, port unreachable for UDP. `None`
/// if no reply may be sent: to a reset, to a multicast or unspecified source, or for a packet to a
/// multicast destination.
#[must_use]
pub fn refusal(packet: &Packet, bytes: &[u8]) -> Option<Vec<u8>> {
    let source = packet.tuple.source.ip();
    let destination = packet.tuple.destination.ip();
    if source.is_multicast() || source.is_unspecified() || destination.is_multicast() {
        return None;
    }
    match packet.tuple.protocol {
        Protocol::Tcp => tcp_reset(packet),
        Protocol::Udp => port_unreachable(packet, bytes),
    }
}

/// Builds a TCP reset in reply to a caller's packet (RFC 9293, section 3.5.2). `None` if the packet
/// is a reset itself.
#[must_use]
pub fn tcp_reset(packet: &Packet) -> Option<Vec<u8>> {
    let tcp = packet.tcp.filter(|tcp| !tcp.rst)?;
    let (from, to) = (packet.tuple.destination, packet.tuple.source);
    let ip = ip_builder(from.ip(), to.ip())?;
    let sequence = tcp.acknowledgment.unwrap_or(0);
    let mut builder = ip.tcp(from.port(), to.port(), sequence, 0).rst();
    if tcp.acknowledgment.is_none() {
        builder = builder.ack(tcp.sequence.wrapping_add(tcp.length));
    }
    let mut reply = Vec::with_capacity(builder.size(0));
    builder.write(&mut reply, &[]).ok()?;
    Some(reply)
}

/// Builds an ICMP or ICMPv6 port unreachable reply that quotes the start of a caller's packet.
#[must_use]
pub fn port_unreachable(packet: &Packet, bytes: &[u8]) -> Option<Vec<u8>> {
    let (from, to) = (packet.tuple.destination.ip(), packet.tuple.source.ip());
    let ip = ip_builder(from, to)?;
    let (builder, limit) = if from.is_ipv4() {
        let kind = Icmpv4Type::DestinationUnreachable(DestUnreachableHeader::Port);
        (ip.icmpv4(kind), MAX_ICMPV4_QUOTE_BYTES)
    } else {
        let kind = Icmpv6Type::DestinationUnreachable(DestUnreachableCode::Port);
        return write_icmpv6(ip.icmpv6(kind), bytes);
    };
    let quote = &bytes[..bytes.len().min(limit)];
    let mut reply = Vec::with_capacity(builder.size(quote.len()));
    builder.write(&mut reply, quote).ok()?;
    Some(reply)
}

fn write_icmpv6(
    builder: PacketBuilderStep<etherparse::Icmpv6Header>,
    bytes: &[u8],
) -> Option<Vec<u8>> {
    let quote = &bytes[..bytes.len().min(MAX_ICMPV6_QUOTE_BYTES)];
    let mut reply = Vec::with_capacity(builder.size(quote.len()));
    builder.write(&mut reply, quote).ok()?;
    Some(reply)
}

fn ip_builder(from: IpAddr, to: IpAddr) -> Option<PacketBuilderStep<etherparse::IpHeaders>> {
    match (from, to) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            Some(PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT))
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            Some(PacketBuilder::ipv6(from.octets(), to.octets(), HOP_LIMIT))
        }
        _ => None,
    }
}
