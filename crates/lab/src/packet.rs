//! Reads and builds the IPv4 packets that travel in UDP datagrams.

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
    /// TCP.
    Tcp,
    /// UDP.
    Udp,
}

/// TCP header fields that the stand-ins use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpFields {
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number, when the ACK flag is set.
    pub ack: Option<u32>,
    /// SYN flag.
    pub syn: bool,
    /// FIN flag.
    pub fin: bool,
    /// RST flag.
    pub rst: bool,
}

/// What an IP packet carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content<'a> {
    /// A TCP segment.
    Tcp(TcpFields, &'a [u8]),
    /// A UDP datagram.
    Udp(&'a [u8]),
    /// ICMP destination unreachable. The packet's addresses are those of the refused packet,
    /// exchanged, so that it is addressed to the flow's sender.
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
    /// Whether IP header and transport checksum are right.
    pub checksums_ok: bool,
}

/// Parses an IPv4 packet with TCP, UDP or ICMP destination unreachable; others give `None`.
#[must_use]
pub fn parse(bytes: &[u8]) -> Option<Packet<'_>> {
    let sliced = SlicedPacket::from_ip(bytes).ok()?;
    let Some(NetSlice::Ipv4(ip)) = sliced.net else { return None };
    let header = ip.header();
    let (src, dst) = (header.source_addr(), header.destination_addr());
    let ip_ok = header.header_checksum() == header.to_header().calc_header_checksum();
    let packet = |ports: (u16, u16), content, transport_ok: bool| Packet {
        source: SocketAddrV4::new(src, ports.0),
        destination: SocketAddrV4::new(dst, ports.1),
        content,
        checksums_ok: ip_ok && transport_ok,
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
            let (source, destination) = refused_flow(icmp.payload())?;
            let content = Content::Unreachable;
            Some(Packet { source: destination, destination: source, content, checksums_ok: ip_ok })
        }
        _ => None,
    }
}

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
    // UDP over IPv4 may leave the checksum out by sending 0.
    udp.checksum() == 0 || expected == Ok(udp.checksum())
}

/// Addresses of the packet that an ICMP error quotes: IP header and at least 8 bytes after it.
fn refused_flow(quoted: &[u8]) -> Option<(SocketAddrV4, SocketAddrV4)> {
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

/// Builds a TCP packet with checksums.
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
    // Writing to memory fails only for payloads beyond the IP length limit.
    let _ = builder.write(&mut packet, payload);
    packet
}

/// Builds a UDP packet with checksums.
#[must_use]
pub fn udp(from: SocketAddrV4, to: SocketAddrV4, payload: &[u8]) -> Vec<u8> {
    let builder =
        PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), TTL).udp(from.port(), to.port());
    let mut packet = Vec::with_capacity(builder.size(payload.len()));
    // Writing to memory fails only for payloads beyond the IP length limit.
    let _ = builder.write(&mut packet, payload);
    packet
}
