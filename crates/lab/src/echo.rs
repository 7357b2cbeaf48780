//! Packet side of a target: a minimal stateful echo for TCP and UDP flows, without I/O.

use crate::packet::{self, Content, Packet, Protocol, TcpFields};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Flows kept in memory. Beyond it a flow is still answered if known, and new ones are reset.
const MAX_FLOWS: usize = 200_000;

/// One flow as the target saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRecord {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Transport protocol.
    pub protocol: Protocol,
    /// First packet, in microseconds since the Unix epoch.
    pub first_us: u64,
    /// Last packet, in microseconds since the Unix epoch.
    pub last_us: u64,
    /// Packets received.
    pub packets: u64,
    /// Whether the flow was opened here; a TCP flow that was not is reset.
    pub opened: bool,
    /// Whether the caller ended it.
    pub closed: bool,
    /// Resets sent to it.
    pub resets: u64,
    /// Next sequence number that the target sends.
    #[serde(skip)]
    next_seq: u32,
}

/// Counters of the packet side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoCounters {
    /// Packets received.
    pub packets: u64,
    /// Packets that are not understood.
    pub malformed: u64,
    /// Packets with a wrong checksum, not answered.
    pub bad_checksums: u64,
    /// Packets to another address than the target's, not answered.
    pub wrong_address: u64,
    /// Payloads that name another service.
    pub wrong_service: u64,
    /// Flows seen.
    pub flows_seen: u64,
    /// Flows that were reset because they were not opened here.
    pub flows_reset: u64,
}

/// Stateful echo of one target.
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

    /// Takes in a packet, and returns the answer to send.
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
            Content::Tcp(fields, payload) => self.tcp(&packet, fields, payload, now_us),
            Content::Udp(payload) => {
                self.check_service(payload);
                let flow = self.flow(Protocol::Udp, packet.source, now_us)?;
                flow.opened = true;
                Some(packet::udp(packet.destination, packet.source, payload))
            }
            Content::Unreachable => None,
        }
    }

    fn tcp(
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
            return Some(reset(packet, fields, payload));
        }
        let flow = self.flow(Protocol::Tcp, packet.source, now_us)?;
        if fields.rst {
            flow.closed = true;
            return None;
        }
        if fields.syn {
            return Some(open(flow, packet, fields));
        }
        if !flow.opened || flow.closed {
            let first = flow.resets == 0;
            flow.resets += 1;
            self.counters.flows_reset += u64::from(first);
            return Some(reset(packet, fields, payload));
        }
        answer(flow, packet, fields, payload)
    }

    fn flow(
        &mut self,
        protocol: Protocol,
        caller: SocketAddrV4,
        now_us: u64,
    ) -> Option<&mut FlowRecord> {
        let known = self.flows.contains_key(&(protocol, caller));
        if !known && self.flows.len() >= MAX_FLOWS {
            return None;
        }
        self.counters.flows_seen += u64::from(!known);
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

    /// The load names the service at the start of each payload, up to a semicolon.
    fn check_service(&mut self, payload: &[u8]) {
        let Some(end) = payload.iter().position(|b| *b == b';') else { return };
        if payload[..end] != *self.service.as_bytes() {
            self.counters.wrong_service += 1;
        }
    }

    /// Flows seen so far.
    pub fn flows(&self) -> impl Iterator<Item = &FlowRecord> {
        self.flows.values()
    }

    /// Counters so far.
    #[must_use]
    pub fn counters(&self) -> EchoCounters {
        self.counters
    }
}

fn open(flow: &mut FlowRecord, packet: &Packet<'_>, fields: TcpFields) -> Vec<u8> {
    // Derived from the caller's number, so that a repeated SYN gets the same answer.
    let isn = !fields.seq;
    flow.opened = true;
    flow.closed = false;
    flow.next_seq = isn.wrapping_add(1);
    let ack = Some(fields.seq.wrapping_add(1));
    let answer = TcpFields { seq: isn, ack, syn: true, ..TcpFields::default() };
    packet::tcp(packet.destination, packet.source, answer, &[])
}

fn answer(
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
    // A repeated segment acknowledges less than was echoed; its echo takes the same place again.
    let seq = fields.ack.unwrap_or(flow.next_seq);
    flow.next_seq = seq.wrapping_add(length);
    flow.closed |= fields.fin;
    let answer = TcpFields { seq, ack, fin: fields.fin, ..TcpFields::default() };
    Some(packet::tcp(packet.destination, packet.source, answer, payload))
}

fn reset(packet: &Packet<'_>, fields: TcpFields, payload: &[u8]) -> Vec<u8> {
    let ack = Some(fields.seq.wrapping_add(sequence_length(fields, payload)));
    let seq = fields.ack.unwrap_or(0);
    let answer = TcpFields { seq, ack, rst: true, ..TcpFields::default() };
    packet::tcp(packet.destination, packet.source, answer, &[])
}

/// Sequence numbers that a segment takes; SYN and FIN take one each.
fn sequence_length(fields: TcpFields, payload: &[u8]) -> u32 {
    let bytes = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    bytes.wrapping_add(u32::from(fields.syn)).wrapping_add(u32::from(fields.fin))
}
