//! Takes packets from the fabric and passes them on, in batches.

use super::{Entry, LATE_TICK, TICK};
use comfreyhold_flow::cookie::{
    CallerPacket, Cookie, DiscardReason, FlowKey, PacketKind, ResetReason, Verdict,
};
use comfreyhold_types::keys::TargetId;
use serde_json::json;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Instant;
use thiserror::Error;
use tokio::net::UdpSocket;

/// Largest datagram that is read, in bytes.
pub(super) const MAX_DATAGRAM: usize = 2_048;

/// Packets handled before other tasks get their turn.
const BATCH: usize = 64;

/// Bytes of packets that may wait for a busy process. The fabric drops what does not fit.
const RECEIVE_BUFFER: usize = 4 * 1024 * 1024;

/// Why a datagram can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PacketError {
    /// It is shorter than its header, or its length field is wrong.
    #[error("the datagram has a wrong length")]
    WrongLength,
    /// It is none that a caller sends.
    #[error("the packet is not from a caller")]
    NotFromCaller,
}

/// Format of packets on the fabric.
pub trait PacketCodec: 'static {
    /// Reads a datagram of a caller.
    ///
    /// # Errors
    /// The datagram is malformed, or not from a caller.
    fn decode(&self, datagram: &[u8]) -> Result<CallerPacket, PacketError>;

    /// Writes the datagram that takes a caller's packet to a target.
    fn encode_forward(&self, datagram: &[u8], target: TargetId, cookie: Cookie, out: &mut Vec<u8>);

    /// Writes the datagram that tells a caller that its flow does not exist, and returns where to send it.
    fn encode_reset(&self, packet: &CallerPacket, out: &mut Vec<u8>) -> SocketAddrV4;
}

/// A packet that is to be decided about.
pub(super) struct Arrival<'a> {
    pub(super) packet: &'a CallerPacket,
    pub(super) datagram: &'a [u8],
    /// When it came.
    pub(super) since: Instant,
    /// Whether it has waited unread for long.
    pub(super) late: bool,
}

/// State of the packets that are read now.
#[derive(Default)]
pub(super) struct Received {
    /// Whether the packets that are read now have waited for long.
    late: bool,
    swept: Option<Instant>,
}

pub(super) fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER) {
        log::warn!("the receive buffer stays as it is: {error}");
    }
    socket.bind(&SocketAddr::V4(address).into())?;
    UdpSocket::from_std(socket.into())
}

impl<C: PacketCodec> Entry<C> {
    pub(super) async fn run_ticks(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TICK).await;
            let now = self.clock.now();
            self.note_tick(now);
            self.last_tick.set(now);
        }
    }

    /// Notices that the process stood still, whichever task runs first after it.
    fn note_tick(&self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick.get());
        if gap > TICK + LATE_TICK && !self.received.borrow().late {
            self.received.borrow_mut().late = true;
            self.record("stalled", || json!({"for_ms": gap.as_millis()}));
        }
    }

    pub(super) async fn run_packets(self: Rc<Self>) {
        let mut buf = [0; MAX_DATAGRAM];
        let mut out = Vec::with_capacity(MAX_DATAGRAM);
        loop {
            if let Err(error) = self.socket.readable().await {
                log::error!("packets can't be read: {error}");
                return;
            }
            let now = self.clock.now();
            self.note_tick(now);
            for _ in 0..BATCH {
                match self.socket.try_recv(&mut buf) {
                    Ok(len) => self.take(&buf[..len], &mut out, now),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        self.received.borrow_mut().late = false;
                        break;
                    }
                    Err(error) => {
                        log::debug!("receive: {error}");
                        break;
                    }
                }
            }
            self.sweep(now);
            tokio::task::yield_now().await;
        }
    }

    fn sweep(&self, now: Instant) {
        let due = self.received.borrow().swept.is_none_or(|swept| now >= swept + TICK);
        if due {
            self.received.borrow_mut().swept = Some(now);
            self.balancer.borrow_mut().sweep(now);
        }
    }

    fn take(&self, datagram: &[u8], out: &mut Vec<u8>, now: Instant) {
        let packet = match self.codec.decode(datagram) {
            Ok(packet) => packet,
            Err(error) => {
                metrics::counter!("packets_malformed").increment(1);
                return self.record("malformed", || json!({"error": error.to_string()}));
            }
        };
        let late = self.received.borrow().late;
        let arrival = Arrival { packet: &packet, datagram, since: now, late };
        if self.waits_for_routes(now) {
            self.hold(&arrival);
        } else {
            self.pass(&arrival, out, now);
        }
    }

    /// Decides about a packet and passes it on.
    pub(super) fn pass(&self, arrival: &Arrival<'_>, out: &mut Vec<u8>, now: Instant) {
        let Arrival { packet, datagram, since, late } = *arrival;
        let waited = now.saturating_duration_since(since);
        let verdict = self.balancer.borrow_mut().route_packet(packet, late, waited, now);
        out.clear();
        let to = match verdict {
            Verdict::Forward { target, address, cookie, answered } => {
                if let Some(answered) = answered {
                    metrics::histogram!("opening_answered_seconds").record(answered);
                }
                self.codec.encode_forward(datagram, target, cookie, out);
                address
            }
            Verdict::Reset(_) => self.codec.encode_reset(packet, out),
            Verdict::Defer(wait) => return self.defer(arrival, wait, now),
            Verdict::Discard(reason) => return self.note_discard(packet, reason),
        };
        if let Err(error) = self.socket.try_send_to(out, to.into()) {
            metrics::counter!("packets_unsent").increment(1);
            self.record(
                "unsent",
                || json!({"flow": flow(&packet.flow), "error": error.to_string()}),
            );
        }
        match verdict {
            Verdict::Reset(reason) => self.note_reset(packet, reason),
            Verdict::Forward { target, cookie, .. } => {
                self.note_forward(packet, (target, cookie), now);
            }
            Verdict::Defer(_) | Verdict::Discard(_) => {}
        }
    }

    fn note_forward(
        &self,
        packet: &CallerPacket,
        (target, cookie): (TargetId, Cookie),
        now: Instant,
    ) {
        metrics::counter!("packets_forwarded").increment(1);
        if let PacketKind::Open { copy } = packet.kind {
            metrics::counter!("openings", "copy" => if copy == 0 { "first" } else { "repeated" })
                .increment(1);
            self.record("opening", || {
                let balancer = self.balancer.borrow();
                let placed = balancer.directory().find(cookie);
                let load = placed.and_then(|key| balancer.directory().get(key)).map(|t| t.load);
                json!({
                    "flow": flow(&packet.flow),
                    "seq": packet.seq,
                    "copy": copy,
                    "target": target.to_string(),
                    "load": load,
                    "change": balancer.routing().change,
                    "news_ms": (now - self.last_news.get()).as_millis(),
                })
            });
        }
    }

    fn note_reset(&self, packet: &CallerPacket, reason: ResetReason) {
        let name: &'static str = reason.into();
        metrics::counter!("resets", "reason" => name).increment(1);
        self.record("reset", || {
            json!({
                "flow": flow(&packet.flow),
                "seq": packet.seq,
                "opening": matches!(packet.kind, PacketKind::Open { .. }),
                "reason": name,
                "change": self.balancer.borrow().routing().change,
            })
        });
    }

    pub(super) fn note_discard(&self, packet: &CallerPacket, reason: DiscardReason) {
        let name: &'static str = reason.into();
        metrics::counter!("packets_discarded", "reason" => name).increment(1);
        self.record("discard", || {
            json!({
                "flow": flow(&packet.flow),
                "seq": packet.seq,
                "opening": matches!(packet.kind, PacketKind::Open { .. }),
                "cookie": packet.cookie.0,
                "reason": name,
            })
        });
    }
}

pub(super) fn flow(flow: &FlowKey) -> String {
    format!("{}>{}", flow.caller, flow.service)
}
