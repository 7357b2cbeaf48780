//! Options and counters of a run, and the services and targets that it starts with.

use comfreyhold_flow::{ServiceTargets, TargetSpec};
use comfreyhold_types::keys::{DomainId, Incarnation, ServiceId};
use comfreyhold_types::target::TargetState;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Size of the simulated deployment, and faults of the network between its entries.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub seed: u64,
    pub entries: u16,
    pub targets: u8,
    pub delay_ms: (u64, u64),
    pub loss: f64,
    pub duplication: f64,
    /// Longest time by which entries differ in applying a version or the live entries.
    pub max_skew_ms: u64,
    /// Whether a version may be prepared before its predecessor is active at all entries.
    pub overlap: bool,
    /// Time between two packets of a flow.
    pub packet_ms: u64,
    /// Idle timeout of the service.
    pub idle_ms: u64,
    /// Share of the flows that are UDP.
    pub udp: f64,
}

/// Counters of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// Flows that ended although their target still ran.
    pub broken: u64,
    /// Packets that reached a target of another service.
    pub wrong_service: u64,
    /// Packets that reached a target of a withdrawn failure domain.
    pub withdrawn: u64,
    /// Flows that ended with their target.
    pub abandoned: u64,
    pub extra_hops: u64,
    pub control_bytes: u64,
    pub deferred: u64,
    pub packets: u64,
    pub opened: u64,
}

pub fn service_address(service: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 99, 0, service as u8)), 443)
}

pub fn target(index: u8) -> TargetSpec {
    TargetSpec {
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, index % 4, index)), 8_080),
        incarnation: Incarnation(1),
        domain: DomainId(u16::from(index % 4)),
        weight: 100,
        state: TargetState::Serving,
    }
}

pub fn service(id: u16, targets: Vec<TargetSpec>, idle_ms: u64) -> ServiceTargets {
    ServiceTargets {
        service: ServiceId(id),
        address: service_address(id),
        idle_timeout: Duration::from_millis(idle_ms),
        drain_time: Duration::from_secs(3_600),
        targets,
    }
}
