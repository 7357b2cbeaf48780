//! Stateful echo of a target for TCP and UDP flows. It handles parsed packets only and does no I/O.

use crate::packet::{self, Content, Packet, Protocol, TcpFields};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Maximum number of flows kept in memory. At this limit known flows are still echoed, new TCP flows are
/// reset and packets of new UDP flows are dropped.
const MAX_FLOWS: usize = 200_000;

/// State and counters of one flow at the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRecord {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Transport protocol of the flow.
    pub protocol: Protocol,
    /// Arrival of the first packet, in microseconds since the Unix epoch.
    pub first_us: u64,
    /// Arrival of the last packet, in microseconds since the Unix epoch.
    pub last_us: u64,
    /// Packets received on the flow.
    pub packets: u64,
    /// Whether the flow was opened at this target; a TCP flow that was not is reset.
    pub opened: bool,
    /// Whether the caller closed or reset the flow.
    pub closed: bool,
    /// Number of TCP resets sent to the caller.
    pub resets: u64,
    /// Sequence number of the next TCP segment to send.
    #[serde(skip)]
    next_seq: u32,
}

/// Packet and flow counters of an echo.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoCounters {
    /// Packets received.
    pub packets: u64,
    /// Packets that could not be parsed.
    pub malformed: u64,
    /// Packets with a wrong checksum. They are dropped.
    pub bad_checksums: u64,
    /// Packets to another address than the target's. They are dropped.
    pub wrong_address: u64,
    /// Packets whose payload names another service.
    pub wrong_service: u64,
    /// Number of distinct flows.
    pub flows_seen: u64,
    /// Flows that were reset because they were not open at this target.
    pub flows_reset: u64,
}

/// Echoes the payloads of flows that were opened at one target.
#[derive(Debug)]
pub struct Echo {
    service: String,
    address: SocketAddrV4,
    flows: BTreeMap<(Protocol, SocketAddrV4), FlowRecord>,
    counters: EchoCounters,
}

impl Echo {
    /// Creates the echo of a service's target at an address.
    #[must_use]
    pub fn new(service: &str, address: SocketAddrV4) -> Self {
        let counters = EchoCounters::default();
        Self { service: service.to_owned(), address, flows: BTreeMap::new(), counters }
    }

    /// Handles a packet that arrived at `now_us`, and returns the packet to send in response.
    pub fn handle(&mut self, bytes: &[u8], now_us: u64) -> Option<Vec<u8>> {
        self.counters.packets += 1;
        let Some(packet) = packet::parse(bytes) else {
            self.counters.malformed += 1;
            return None;
        };
        if !packet.checksums_ok {
            self.counters.bad_checksums += 1;
            return None;
        }
        if packet.destination != self.address {
            self.counters.wrong_address += 1;
            return None;
        }
        match packet.content {
            Content::Tcp(fields, payload) => self.handle_tcp(&packet, fields, payload, now_us),
            Content::Udp(payload) => {
                self.check_service(payload);
                let flow = self.record_packet(Protocol::Udp, packet.source, now_us)?;
                flow.opened = true;
                Some(packet::udp(packet.destination, packet.source, payload))
            }
            Content::Unreachable => None,
        }
    }

    fn handle_tcp(
        &mut self,
        packet: &Packet<'_>,
        fields: TcpFields,
        payload: &[u8],
        now_us: u64,
    ) -> Option<Vec<u8>> {
        self.check_service(payload);
        if self.flows.len() >= MAX_FLOWS
            && !self.flows.contains_key(&(Protocol::Tcp, packet.source))
        {
            return Some(reset_packet(packet, fields, payload));
        }
        let flow = self.record_packet(Protocol::Tcp, packet.source, now_us)?;
        if fields.rst {
            flow.closed = true;
            return None;
        }
        if fields.syn {
            return Some(open_flow(flow, packet, fields));
        }
        if !flow.opened || flow.closed {
            let is_first_reset = flow.resets == 0;
            flow.resets += 1;
            self.counters.flows_reset += u64::from(is_first_reset);
            return Some(reset_packet(packet, fields, payload));
        }
        echo_segment(flow, packet, fields, payload)
    }

    /// Returns the flow after counting a packet on it, or `None` for a new flow at the limit.
    fn record_packet(
        &mut self,
        protocol: Protocol,
        caller: SocketAddrV4,
        now_us: u64,
    ) -> Option<&mut FlowRecord> {
        let is_known = self.flows.contains_key(&(protocol, caller));
        if !is_known && self.flows.len() >= MAX_FLOWS {
            return None;
        }
        self.counters.flows_seen += u64::from(!is_known);
        let flow = self.flows.entry((protocol, caller)).or_insert_with(|| FlowRecord {
            caller,
            protocol,
            first_us: now_us,
            last_us: now_us,
            packets: 0,
            opened: false,
            closed: false,
            resets: 0,
            next_seq: 0,
        });
        flow.last_us = now_us;
        flow.packets += 1;
        Some(flow)
    }

    /// Counts payloads for another service. The load generator starts each payload with the service's name
    /// and a semicolon.
    fn check_service(&mut self, payload: &[u8]) {
        let Some(end) = payload.iter().position(|b| *b == b';') else { return };
        if payload[..end] != *self.service.as_bytes() {
            self.counters.wrong_service += 1;
        }
    }

    /// Iterates over all flows so far, closed ones included.
    pub fn flows(&self) -> impl Iterator<Item = &FlowRecord> {
        self.flows.values()
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> EchoCounters {
        self.counters
    }
}

fn open_flow(flow: &mut FlowRecord, packet: &Packet<'_>, fields: TcpFields) -> Vec<u8> {
    // Derived from the caller's sequence number, so that a retransmitted SYN gets the same response.
    let initial_seq = !fields.seq;
    flow.opened = true;
    flow.closed = false;
    flow.next_seq = initial_seq.wrapping_add(1);
    let ack = Some(fields.seq.wrapping_add(1));
    let response = TcpFields { seq: initial_seq, ack, syn: true, ..TcpFields::default() };
    packet::tcp(packet.destination, packet.source, response, &[])
}

fn echo_segment(
    flow: &mut FlowRecord,
    packet: &Packet<'_>,
    fields: TcpFields,
    payload: &[u8],
) -> Option<Vec<u8>> {
    if payload.is_empty() && !fields.fin {
        return None;
    }
    let length = sequence_length(fields, payload);
    let ack = Some(fields.seq.wrapping_add(length));
    // A retransmitted segment has an older acknowledgement number than the echo already sent for it, so its
    // echo gets the same sequence numbers again.
    let seq = fields.ack.unwrap_or(flow.next_seq);
    flow.next_seq = seq.wrapping_add(length);
    flow.closed |= fields.fin;
    let response = TcpFields { seq, ack, fin: fields.fin, ..TcpFields::default() };
    Some(packet::tcp(packet.destination, packet.source, response, payload))
}

fn reset_packet(packet: &Packet<'_>, fields: TcpFields, payload: &[u8]) -> Vec<u8> {
    let ack = Some(fields.seq.wrapping_add(sequence_length(fields, payload)));
    let seq = fields.ack.unwrap_or(0);
    let response = TcpFields { seq, ack, rst: true, ..TcpFields::default() };
    packet::tcp(packet.destination, packet.source, response, &[])
}

/// Number of sequence numbers that a segment consumes; SYN and FIN consume one each.
fn sequence_length(fields: TcpFields, payload: &[u8]) -> u32 {
    let bytes = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    bytes.wrapping_add(u32::from(fields.syn)).wrapping_add(u32::from(fields.fin))
}
