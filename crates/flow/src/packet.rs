//! Parsing and address rewriting of IPv4 and IPv6 packets that carry TCP or UDP.

use crate::flow::{FiveTuple, Protocol};
use comfreyhold_types::codes::ResultCode;
use etherparse::checksum::Sum16BitWords;
use etherparse::{IpNumber, IpSlice, TcpSlice, UdpSlice};
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// Largest accepted packet, in bytes: the largest value of the IPv4 length field. Larger packets
/// are refused.
pub const MAX_PACKET_BYTES: usize = 65_535;

// Offsets of header fields, in bytes.
const IPV4_CHECKSUM: usize = 10;
const IPV4_SOURCE: usize = 12;
const IPV6_SOURCE: usize = 8;
const TCP_CHECKSUM: usize = 16;
const UDP_CHECKSUM: usize = 6;

/// Why a packet is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PacketError {
    /// The headers are malformed or truncated.
    #[error("malformed packet: {0}")]
    Malformed(String),
    /// The packet is a fragment; only the first one carries the ports.
    #[error("fragmented packet")]
    Fragment,
    /// The packet is neither TCP nor UDP.
    #[error("unsupported transport protocol {0}")]
    Protocol(u8),
    /// The packet exceeds [`MAX_PACKET_BYTES`].
    #[error("packet of {0} bytes exceeds {MAX_PACKET_BYTES} bytes")]
    TooLarge(usize),
    /// The new address belongs to another IP family than the packet.
    #[error("address {0} belongs to another IP family than the packet")]
    Family(SocketAddr),
}

impl PacketError {
    /// Numbered result code of the error, in the 5xxx family.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::TooLarge(_) => ResultCode::FrameTooLarge,
            _ => ResultCode::BadFrame,
        }
    }
}

/// Fields of a TCP header that the decision and a reset depend on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpFields {
    /// Sequence number of the segment.
    pub sequence: u32,
    /// Acknowledgment number; `None` if the ACK flag is not set.
    pub acknowledgment: Option<u32>,
    /// Length in sequence space: payload bytes, plus one each for SYN and FIN.
    pub length: u32,
    /// Whether the SYN flag is set.
    pub syn: bool,
    /// Whether the RST flag is set.
    pub rst: bool,
}

/// The parsed headers that a decision and a rewrite need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Protocol, source and destination.
    pub tuple: FiveTuple,
    /// Fields of the TCP header; `None` for UDP.
    pub tcp: Option<TcpFields>,
    transport_offset: usize,
}

/// Endpoint of a packet that is rewritten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// The source address and port.
    Source,
    /// The destination address and port.
    Destination,
}

impl Packet {
    /// Parses the headers of an IP packet.
    ///
    /// # Errors
    /// Malformed, fragmented or oversized packets, and protocols other than TCP and UDP.
    pub fn parse(bytes: &[u8]) -> Result<Self, PacketError> {
        if bytes.len() > MAX_PACKET_BYTES {
            return Err(PacketError::TooLarge(bytes.len()));
        }
        let ip = IpSlice::from_slice(bytes).map_err(malformed)?;
        if ip.is_fragmenting_payload() {
            return Err(PacketError::Fragment);
        }
        let payload = ip.payload();
        let (ports, tcp) = parse_transport(payload.ip_number, payload.payload)?;
        let protocol = if tcp.is_some() { Protocol::Tcp } else { Protocol::Udp };
        let tuple = FiveTuple {
            protocol,
            source: SocketAddr::new(ip.source_addr(), ports.0),
            destination: SocketAddr::new(ip.destination_addr(), ports.1),
        };
        let transport_offset = payload.payload.as_ptr() as usize - bytes.as_ptr() as usize;
        Ok(Self { tuple, tcp, transport_offset })
    }

    /// Builds parsed headers without a packet, for simulations and benchmarks.
    #[must_use]
    pub fn synthetic(tuple: FiveTuple, opens: bool) -> Self {
        let fields =
            TcpFields { syn: opens, acknowledgment: (!opens).then_some(0), ..TcpFields::default() };
        let tcp = (tuple.protocol == Protocol::Tcp).then_some(fields);
        Self { tuple, tcp, transport_offset: 0 }
    }

    /// Whether the packet opens a TCP flow: SYN without ACK or RST.
    #[must_use]
    pub fn opens(&self) -> bool {
        self.tcp.is_some_and(|tcp| tcp.syn && tcp.acknowledgment.is_none() && !tcp.rst)
    }

    /// Rewrites one endpoint of the packet in place. The checksums are updated incrementally
    /// (RFC 1624), so that a packet that was damaged before still fails its check at the receiver.
    ///
    /// # Errors
    /// The new address belongs to another IP family, or `bytes` do not parse to this packet.
    pub fn rewrite(
        &self,
        bytes: &mut [u8],
        endpoint: Endpoint,
        to: SocketAddr,
    ) -> Result<(), PacketError> {
        let from = match endpoint {
            Endpoint::Source => self.tuple.source,
            Endpoint::Destination => self.tuple.destination,
        };
        if from.is_ipv4() != to.is_ipv4() {
            return Err(PacketError::Family(to));
        }
        if Self::parse(bytes)? != *self {
            return Err(PacketError::Malformed("not the packet that was parsed".to_owned()));
        }
        self.write_endpoint(bytes, endpoint, to);
        self.update_checksums(bytes, from, to);
        Ok(())
    }

    fn write_endpoint(&self, bytes: &mut [u8], endpoint: Endpoint, to: SocketAddr) {
        let (address_len, source_at) =
            if to.is_ipv4() { (4, IPV4_SOURCE) } else { (16, IPV6_SOURCE) };
        let (address_at, port_at) = match endpoint {
            Endpoint::Source => (source_at, self.transport_offset),
            Endpoint::Destination => (source_at + address_len, self.transport_offset + 2),
        };
        match to.ip() {
            IpAddr::V4(ip) => bytes[address_at..address_at + 4].copy_from_slice(&ip.octets()),
            IpAddr::V6(ip) => bytes[address_at..address_at + 16].copy_from_slice(&ip.octets()),
        }
        bytes[port_at..port_at + 2].copy_from_slice(&to.port().to_be_bytes());
    }

    fn update_checksums(&self, bytes: &mut [u8], from: SocketAddr, to: SocketAddr) {
        let removed = add_address(Sum16BitWords::new(), from.ip(), true);
        let address = add_address(removed, to.ip(), false);
        if from.is_ipv4() {
            apply_diff(bytes, IPV4_CHECKSUM, address.clone());
        }
        let ports =
            address.add_2bytes((!from.port()).to_be_bytes()).add_2bytes(to.port().to_be_bytes());
        match self.tuple.protocol {
            Protocol::Tcp => apply_diff(bytes, self.transport_offset + TCP_CHECKSUM, ports),
            Protocol::Udp => apply_udp_diff(bytes, self.transport_offset + UDP_CHECKSUM, ports),
        }
    }
}

fn malformed(error: impl ToString) -> PacketError {
    PacketError::Malformed(error.to_string())
}

type Transport = ((u16, u16), Option<TcpFields>);

fn parse_transport(number: IpNumber, payload: &[u8]) -> Result<Transport, PacketError> {
    match number {
        IpNumber::TCP => {
            let tcp = TcpSlice::from_slice(payload).map_err(malformed)?;
            let flags = u32::from(tcp.syn()) + u32::from(tcp.fin());
            let fields = TcpFields {
                sequence: tcp.sequence_number(),
                acknowledgment: tcp.ack().then(|| tcp.acknowledgment_number()),
                length: u32::try_from(tcp.payload().len())
                    .unwrap_or(u32::MAX)
                    .saturating_add(flags),
                syn: tcp.syn(),
                rst: tcp.rst(),
            };
            Ok(((tcp.source_port(), tcp.destination_port()), Some(fields)))
        }
        IpNumber::UDP => {
            let udp = UdpSlice::from_slice(payload).map_err(malformed)?;
            Ok(((udp.source_port(), udp.destination_port()), None))
        }
        other => Err(PacketError::Protocol(other.0)),
    }
}

fn add_address(mut sum: Sum16BitWords, address: IpAddr, complement: bool) -> Sum16BitWords {
    let flip = if complement { 0xff } else { 0 };
    match address {
        IpAddr::V4(ip) => sum.add_4bytes(ip.octets().map(|byte| byte ^ flip)),
        IpAddr::V6(ip) => sum.add_16bytes(ip.octets().map(|byte| byte ^ flip)),
    }
}

/// The checksum at an offset, updated by the difference of the covered bytes.
fn updated_checksum(bytes: &[u8], at: usize, difference: Sum16BitWords) -> u16 {
    let old = [!bytes[at], !bytes[at + 1]];
    difference.add_2bytes(old).ones_complement()
}

fn apply_diff(bytes: &mut [u8], at: usize, difference: Sum16BitWords) {
    let new = updated_checksum(bytes, at, difference);
    bytes[at..at + 2].copy_from_slice(&new.to_ne_bytes());
}

/// Updates a UDP checksum. 0 means that there is none and stays; a computed 0 is sent as 0xffff.
fn apply_udp_diff(bytes: &mut [u8], at: usize, difference: Sum16BitWords) {
    if bytes[at..at + 2] == [0, 0] {
        return;
    }
    let new = updated_checksum(bytes, at, difference);
    let sent = if new == 0 { u16::MAX } else { new };
    bytes[at..at + 2].copy_from_slice(&sent.to_ne_bytes());
}
