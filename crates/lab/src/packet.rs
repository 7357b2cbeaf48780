//! Parses and builds the IPv4 packets that the fabric carries in UDP datagrams.

use etherparse::{
    IpNumber, Ipv4HeaderSlice, NetSlice, PacketBuilder, SlicedPacket, TcpSlice, TransportSlice,
    UdpSlice,
};
use std::net::SocketAddrV4;
use strum::Display;

const TTL: u8 = 64;
const TCP_WINDOW: u16 = 65_535;

/// Transport protocol of a flow.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// TCP, whose flows are opened by a SYN and ended by a FIN or RST.
    Tcp,
    /// UDP, whose flows are opened by their first datagram.
    Udp,
}

/// TCP header fields that the stand-ins evaluate and set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpFields {
    /// Sequence number of the segment.
    pub seq: u32,
    /// Acknowledgement number; `None` if the ACK flag is not set.
    pub ack: Option<u32>,
    /// SYN flag: opens a flow.
    pub syn: bool,
    /// FIN flag: the sender sends no more data.
    pub fin: bool,
    /// RST flag: aborts the flow.
    pub rst: bool,
}

/// Transport header and payload of an IP packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content<'a> {
    /// A TCP segment: header fields and payload.
    Tcp(TcpFields, &'a [u8]),
    /// A UDP datagram: payload.
    Udp(&'a [u8]),
    /// ICMP destination unreachable. [`Packet::source`] and [`Packet::destination`] are those of the
    /// quoted packet, swapped, so that the packet is addressed to the sender of the flow.
    Unreachable,
}

/// A parsed IPv4 packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet<'a> {
    /// Source address and port.
    pub source: SocketAddrV4,
    /// Destination address and port.
    pub destination: SocketAddrV4,
    /// Header fields and payload.
    pub content: Content<'a>,
    /// Whether the checksums of the IP header and, for TCP and UDP, of the transport header are correct.
    pub checksums_ok: bool,
}

/// Parses an IPv4 packet with TCP, UDP or ICMP destination unreachable. Returns `None` for other packets.
#[must_use]
pub fn parse(bytes: &[u8]) -> Option<Packet<'_>> {
    let sliced = SlicedPacket::from_ip(bytes).ok()?;
    let Some(NetSlice::Ipv4(ip)) = sliced.net else { return None };
    let header = ip.header();
    let (src, dst) = (header.source_addr(), header.destination_addr());
    let ip_checksum_ok = header.header_checksum() == header.to_header().calc_header_checksum();
    let packet = |ports: (u16, u16), content, transport_checksum_ok: bool| Packet {
        source: SocketAddrV4::new(src, ports.0),
        destination: SocketAddrV4::new(dst, ports.1),
        content,
        checksums_ok: ip_checksum_ok && transport_checksum_ok,
    };
    match sliced.transport? {
        TransportSlice::Tcp(tcp) => {
            let ok = tcp.calc_checksum_ipv4(src.octets(), dst.octets()) == Ok(tcp.checksum());
            let content = Content::Tcp(tcp_fields(&tcp), tcp.payload());
            Some(packet((tcp.source_port(), tcp.destination_port()), content, ok))
        }
        TransportSlice::Udp(udp) => {
            let ok = udp_checksum_ok(&udp, src.octets(), dst.octets());
            let content = Content::Udp(udp.payload());
            Some(packet((udp.source_port(), udp.destination_port()), content, ok))
        }
        TransportSlice::Icmpv4(icmp) if icmp.type_u8() == ICMP_UNREACHABLE => {
            let (source, destination) = quoted_addresses(icmp.payload())?;
            let content = Content::Unreachable;
            Some(Packet {
                source: destination,
                destination: source,
                content,
                checksums_ok: ip_checksum_ok,
            })
        }
        _ => None,
    }
}

/// ICMP type "destination unreachable".
const ICMP_UNREACHABLE: u8 = 3;

fn tcp_fields(tcp: &TcpSlice<'_>) -> TcpFields {
    TcpFields {
        seq: tcp.sequence_number(),
        ack: tcp.ack().then(|| tcp.acknowledgment_number()),
        syn: tcp.syn(),
        fin: tcp.fin(),
        rst: tcp.rst(),
    }
}

fn udp_checksum_ok(udp: &UdpSlice<'_>, src: [u8; 4], dst: [u8; 4]) -> bool {
    let expected = udp.to_header().calc_checksum_ipv4_raw(src, dst, udp.payload());
    // A checksum of 0 means that the sender computed none, which UDP over IPv4 allows.
    udp.checksum() == 0 || expected == Ok(udp.checksum())
}

/// Returns source and destination of the TCP or UDP packet that an ICMP error quotes. The quote holds the IP
/// header and at least 8 bytes after it.
fn quoted_addresses(quoted: &[u8]) -> Option<(SocketAddrV4, SocketAddrV4)> {
    let header = Ipv4HeaderSlice::from_slice(quoted).ok()?;
    if !matches!(header.protocol(), IpNumber::TCP | IpNumber::UDP) {
        return None;
    }
    let ports = quoted.get(header.slice().len()..)?.first_chunk::<4>()?;
    let source = u16::from_be_bytes([ports[0], ports[1]]);
    let destination = u16::from_be_bytes([ports[2], ports[3]]);
    Some((
        SocketAddrV4::new(header.source_addr(), source),
        SocketAddrV4::new(header.destination_addr(), destination),
    ))
}

/// Builds an IPv4 packet with a TCP segment and correct checksums.
#[must_use]
pub fn tcp(from: SocketAddrV4, to: SocketAddrV4, fields: TcpFields, payload: &[u8]) -> Vec<u8> {
    let mut builder = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), TTL).tcp(
        from.port(),
        to.port(),
        fields.seq,
        TCP_WINDOW,
    );
    if let Some(ack) = fields.ack {
        builder = builder.ack(ack);
    }
    if fields.syn {
        builder = builder.syn();
    }
    if fields.fin {
        builder = builder.fin();
    }
    if fields.rst {
        builder = builder.rst();
    }
    let mut packet = Vec::with_capacity(builder.size(payload.len()));
    // Writing to memory fails only if the payload exceeds the maximum length of an IP packet.
    let _ = builder.write(&mut packet, payload);
    packet
}

/// Builds an IPv4 packet with a UDP datagram and correct checksums.
#[must_use]
pub fn udp(from: SocketAddrV4, to: SocketAddrV4, payload: &[u8]) -> Vec<u8> {
    let builder =
        PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), TTL).udp(from.port(), to.port());
    let mut packet = Vec::with_capacity(builder.size(payload.len()));
    // Writing to memory fails only if the payload exceeds the maximum length of an IP packet.
    let _ = builder.write(&mut packet, payload);
    packet
}
