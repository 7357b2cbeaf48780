//! The shipped deployments, read from `deployments/NAME.yaml` and `profiles/NAME.yaml`.

use crate::fabric::PathSettings;
use crate::flow_load::FlowLoad;
use crate::load::{LoadSettings, RequestKind};
use crate::packet::Protocol;
use crate::up::{UpService, UpSettings};
use anyhow::{Context as _, Result};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;
use strum::{Display, EnumString};

/// Time after which a caller stops waiting for a response and tries another entry. It is shorter than
/// the profiles' deadline, so that callers of an isolated entry reach another one within a scenario.
const RESPONSE_TIMEOUT_MS: u64 = 5_000;

/// Name of a shipped deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ShippedDeployment {
    /// `deployments/braga.yaml`.
    Braga,
    /// `deployments/velario-sul.yaml`.
    VelarioSul,
}

/// Contents of a deployment file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentFile {
    /// Number of failure domains.
    pub domains: u16,
    /// Number of entry daemons.
    pub entries: u16,
    /// Number of control daemons.
    pub controls: u16,
    /// One-way delay between failure domains, in microseconds.
    pub between_domains_us: u64,
    /// One-way delay between callers and entries, in microseconds.
    pub to_callers_us: u64,
    /// Services with their targets.
    pub services: Vec<DeploymentService>,
    /// Kinds of requests in the load.
    pub requests: Vec<RequestKind>,
    /// Groups of flows in the load.
    pub flows: Vec<DeploymentFlows>,
}

/// A service of a deployment file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentService {
    /// Name, as its declaration has it.
    pub name: String,
    /// Name of the profile that its declaration refers to.
    pub profile: String,
    /// Service address for packets.
    pub address: SocketAddrV4,
    /// Number of targets.
    pub targets: u16,
    /// Requests that each target runs at once.
    pub slots: u16,
    /// Time that each request takes at a target, in milliseconds.
    pub service_time_ms: u32,
}

impl DeploymentService {
    /// Requests per second that the given number of its targets can handle.
    #[must_use]
    pub fn capacity_per_s(&self, targets: u64) -> f64 {
        let slots = targets * u64::from(self.slots);
        slots as f64 * 1_000.0 / f64::from(self.service_time_ms)
    }
}

/// A group of flows of a deployment file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentFlows {
    /// Name of the service.
    pub service: String,
    /// Transport protocol.
    pub protocol: Protocol,
    /// Mean flows opened per second.
    pub opens_per_s: f64,
    /// Time from the opening of a flow to its close, in milliseconds.
    pub hold_ms: u64,
}

impl ShippedDeployment {
    /// Parses the deployment file.
    ///
    /// # Errors
    /// The file is malformed.
    pub fn parse_file(self) -> Result<DeploymentFile> {
        let text = match self {
            Self::Braga => include_str!("../../../deployments/braga.yaml"),
            Self::VelarioSul => include_str!("../../../deployments/velario-sul.yaml"),
        };
        serde_yaml_ng::from_str(text).with_context(|| format!("deployments/{self}.yaml"))
    }

    /// Documents of the shipped profiles.
    #[must_use]
    pub fn profiles(self) -> &'static str {
        match self {
            Self::Braga => include_str!("../../../profiles/braga.yaml"),
            Self::VelarioSul => include_str!("../../../profiles/velario-sul.yaml"),
        }
    }
}

impl DeploymentFile {
    /// Settings of the local deployment, with the daemons' programs from the folder `binaries`.
    #[must_use]
    pub fn up_settings(&self, binaries: &Path, seed: u64) -> UpSettings {
        UpSettings {
            entry_binary: binaries.join("comfreyhold-entry"),
            control_binary: binaries.join("comfreyhold-control"),
            domains: self.domains,
            entries: self.entries,
            controls: self.controls,
            services: self.services.iter().map(up_service).collect(),
            seed,
            path: PathSettings { delay_us: self.between_domains_us, ..PathSettings::default() },
        }
    }

    /// Documents that declare the services.
    #[must_use]
    pub fn service_documents(&self) -> String {
        let document = |s: &DeploymentService| {
            format!(
                "---\nkind: service\nversion: 1\nname: {}\naddress: {}\nprofile: {}\n",
                s.name, s.address, s.profile
            )
        };
        self.services.iter().map(document).collect()
    }

    /// Load settings without addresses and flows. Each `part` has its own seed, so that its request
    /// paths differ.
    #[must_use]
    pub fn load_settings(&self, seed: u64, part: u8, duration: Duration) -> LoadSettings {
        LoadSettings {
            seed: seed.wrapping_mul(1_000).wrapping_add(part.into()),
            duration_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
            entries: Vec::new(),
            kinds: self.requests.clone(),
            flows: Vec::new(),
            targets: Vec::new(),
            answer_timeout_ms: RESPONSE_TIMEOUT_MS,
            max_sends: 3,
        }
    }

    /// Flow groups of the load over a fabric. Each `part` has its own caller addresses.
    #[must_use]
    pub fn flow_loads(&self, fabric: SocketAddr, part: u8) -> Vec<FlowLoad> {
        let load = |(index, flow): (u8, &DeploymentFlows)| {
            let service = self.services.iter().find(|s| s.name == flow.service)?;
            Some(FlowLoad {
                fabric,
                service: flow.service.clone(),
                address: service.address,
                protocol: flow.protocol,
                caller: Ipv4Addr::new(10, 200, part.wrapping_mul(16).wrapping_add(index), 1),
                opens_per_s: flow.opens_per_s,
                hold_ms: flow.hold_ms,
                send_every_ms: 200,
                resend_ms: 250,
                echo_limit_ms: 3_000,
            })
        };
        (0..).zip(&self.flows).filter_map(load).collect()
    }
}

fn up_service(service: &DeploymentService) -> UpService {
    UpService {
        name: service.name.clone(),
        address: service.address,
        targets: service.targets,
        slots: service.slots,
        service_time: format!("constant:{}", service.service_time_ms),
    }
}
