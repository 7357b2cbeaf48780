//! Receives packets from the fabric and forwards them, in batches.

use super::link::Screening;
use super::{Entry, MAX_TICK_DELAY, TICK_INTERVAL};
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

/// Size of the receive buffer for one datagram, in bytes.
pub(super) const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Maximum number of packets handled before other tasks run.
pub(super) const BATCH_PACKETS: usize = 64;

/// Size of the socket's receive buffer, in bytes: the packets that may wait for a busy process. Further ones
/// are dropped.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Why a datagram is not accepted as a caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PacketError {
    /// The datagram is shorter than its header, or its length field is wrong.
    #[error("the datagram has a wrong length")]
    WrongLength,
    /// The packet is of a kind that callers do not send.
    #[error("the packet is not from a caller")]
    NotFromCaller,
}

/// Format of packets on the fabric.
pub trait PacketCodec: 'static {
    /// Decodes a datagram of a caller.
    ///
    /// # Errors
    /// The datagram is malformed, or not from a caller.
    fn decode(&self, datagram: &[u8]) -> Result<CallerPacket, PacketError>;

    /// Appends to `out` the datagram that forwards a caller's packet to a target.
    fn encode_forward(&self, datagram: &[u8], target: TargetId, cookie: Cookie, out: &mut Vec<u8>);

    /// Writes to `out` the datagram that resets a caller's flow, and returns the address to send it to.
    fn encode_reset(&self, packet: &CallerPacket, out: &mut Vec<u8>) -> SocketAddrV4;
}

/// A received packet that the balancer has not decided about yet.
pub(super) struct PendingPacket<'a> {
    pub(super) packet: &'a CallerPacket,
    pub(super) datagram: &'a [u8],
    /// When the packet was received.
    pub(super) received: Instant,
    /// Whether the packet may have waited in the socket's receive buffer while the process was stalled.
    pub(super) is_late: bool,
    /// Whether it is an opening that was deferred before.
    pub(super) was_deferred: bool,
}

/// State of the task that reads packets.
#[derive(Default)]
pub(super) struct ReceiveState {
    /// Whether the process has stalled since the receive buffer was last empty.
    is_late: bool,
    last_sweep: Option<Instant>,
}

pub(super) fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!("can't enlarge the receive buffer: {error}");
    }
    socket.bind(&SocketAddr::V4(address).into())?;
    UdpSocket::from_std(socket.into())
}

impl<C: PacketCodec> Entry<C> {
    pub(super) async fn run_ticks(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let now = self.clock.now();
            self.detect_stall(now);
            self.last_tick.set(now);
            self.record_link_use(now);
            self.report_capacity(now);
            metrics::gauge!("admission_reserve").set(self.balancer.borrow().admission_reserve());
        }
    }

    /// Detects a stall of the process. Called by several tasks, so that the first one to run after the stall
    /// detects it.
    fn detect_stall(&self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick.get());
        if gap > TICK_INTERVAL + MAX_TICK_DELAY && !self.receive_state.borrow().is_late {
            self.receive_state.borrow_mut().is_late = true;
            self.record("stalled", || json!({"for_ms": gap.as_millis()}));
        }
    }

    pub(super) async fn run_packets(self: Rc<Self>) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            if let Err(error) = self.socket.readable().await {
                log::error!("can't read packets: {error}");
                return;
            }
            let now = self.clock.now();
            self.detect_stall(now);
            for _ in 0..BATCH_PACKETS {
                match self.socket.try_recv(&mut buf) {
                    Ok(len) => self.handle_datagram(&buf[..len], &mut out, now),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        self.receive_state.borrow_mut().is_late = false;
                        break;
                    }
                    Err(error) => {
                        log::debug!("can't receive a packet: {error}");
                        break;
                    }
                }
            }
            self.sweep_balancer(now);
            self.look_for_early_signs(now);
            tokio::task::yield_now().await;
        }
    }

    /// Runs the balancer's periodic work, at most once per tick.
    fn sweep_balancer(&self, now: Instant) {
        let is_due = self
            .receive_state
            .borrow()
            .last_sweep
            .is_none_or(|last_sweep| now >= last_sweep + TICK_INTERVAL);
        if is_due {
            self.receive_state.borrow_mut().last_sweep = Some(now);
            self.balancer.borrow_mut().sweep(now);
        }
    }

    fn handle_datagram(&self, datagram: &[u8], out: &mut Vec<u8>, now: Instant) {
        let packet = match self.codec.decode(datagram) {
            Ok(packet) => packet,
            Err(error) => {
                metrics::counter!("packets_malformed").increment(1);
                return self.record("malformed", || json!({"error": error.to_string()}));
            }
        };
        let is_late = self.receive_state.borrow().is_late;
        let (received, was_deferred) = (now, false);
        let pending = PendingPacket { packet: &packet, datagram, received, is_late, was_deferred };
        if self.is_buffering_packets(now) {
            self.buffer_packet(&pending);
        } else {
            self.process_packet(&pending, out, now);
        }
    }

    /// Gets the balancer's decision about a packet and carries it out.
    pub(super) fn process_packet(
        &self,
        pending: &PendingPacket<'_>,
        out: &mut Vec<u8>,
        now: Instant,
    ) {
        let PendingPacket { packet, datagram, received, is_late, .. } = *pending;
        let screening = self.screen(pending, now);
        if screening == Screening::Stopped {
            return;
        }
        let waited = now.saturating_duration_since(received);
        let verdict = self.balancer.borrow_mut().route_packet(packet, is_late, waited, now);
        out.clear();
        let (to, forwards) = match verdict {
            Verdict::Forward { target, address, cookie, answered } => {
                if let Some(answered) = answered {
                    metrics::histogram!("opening_answered_seconds").record(answered);
                }
                self.codec.encode_forward(datagram, target, cookie, out);
                (address, Some((received, screening)))
            }
            Verdict::Reset(_) => (self.codec.encode_reset(packet, out), None),
            Verdict::Defer(wait) => return self.defer_opening(pending, wait, now),
            Verdict::Discard(reason) => return self.record_discard(packet, reason),
        };
        if !self.transmit(packet, forwards, (to, out), now) {
            return;
        }
        match verdict {
            Verdict::Reset(reason) => self.record_reset(packet, reason, now),
            Verdict::Forward { target, cookie, .. } => {
                self.record_forward(packet, (target, cookie), now);
            }
            Verdict::Defer(_) | Verdict::Discard(_) => {}
        }
    }

    fn record_forward(
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
                let key = balancer.directory().find(cookie);
                let load = key.and_then(|key| balancer.directory().get(key)).map(|t| t.load);
                json!({
                    "flow": flow_label(&packet.flow),
                    "seq": packet.seq,
                    "copy": copy,
                    "target": target.to_string(),
                    "load": load,
                    "change": balancer.routing().change,
                    "news_ms": (now - self.last_update.get()).as_millis(),
                })
            });
        }
    }

    /// State of the limit that an opening is decided by, for its log line.
    pub(super) fn limit_fields(&self, packet: &CallerPacket, now: Instant) -> serde_json::Value {
        let status = self.balancer.borrow().limit_status(packet, now);
        let by_priority = self.balancer.borrow().in_flight_by_priority(packet);
        let kind: Option<&'static str> = status.map(|status| status.kind.into());
        let totals_age = status.and_then(|status| status.totals_age);
        json!({
            "limit_kind": kind,
            "limit": status.and_then(|status| status.limit),
            "share": status.and_then(|status| status.share),
            "in_flight": status.and_then(|status| status.in_flight),
            "in_flight_by_priority": by_priority,
            "reserve": status.and_then(|status| status.reserve),
            "totals_age_ms": totals_age.map(|age| age.as_millis()),
            "unanswered": status.map(|status| status.unanswered),
            "limit_age_ms": status.map(|status| status.age.as_millis()),
        })
    }

    pub(super) fn record_reset(&self, packet: &CallerPacket, reason: ResetReason, now: Instant) {
        let name: &'static str = reason.into();
        metrics::counter!("resets", "reason" => name).increment(1);
        self.record("reset", || {
            let mut fields = match reason {
                ResetReason::Overloaded => self.limit_fields(packet, now),
                ResetReason::LinkFull => self.link_fields(packet),
                _ => json!({}),
            };
            fields["flow"] = json!(flow_label(&packet.flow));
            fields["seq"] = json!(packet.seq);
            fields["opening"] = json!(matches!(packet.kind, PacketKind::Open { .. }));
            fields["reason"] = json!(name);
            fields["change"] = json!(self.balancer.borrow().routing().change);
            fields
        });
    }

    pub(super) fn record_discard(&self, packet: &CallerPacket, reason: DiscardReason) {
        let name: &'static str = reason.into();
        metrics::counter!("packets_discarded", "reason" => name).increment(1);
        self.record("discard", || {
            json!({
                "flow": flow_label(&packet.flow),
                "seq": packet.seq,
                "opening": matches!(packet.kind, PacketKind::Open { .. }),
                "cookie": packet.cookie.0,
                "reason": name,
            })
        });
    }
}

/// Text of a flow in log lines: caller and service address.
pub(super) fn flow_label(flow: &FlowKey) -> String {
    format!("{}>{}", flow.caller, flow.service)
}
