//! The shipped deployments: what `deployments/NAME.yaml` and `profiles/NAME.yaml` hold.

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

/// Longest wait of a caller for an answer, in milliseconds. It is shorter than the profiles'
/// deadline, so that a caller of an entry that is cut off tries another one within a scenario.
const ANSWER_TIMEOUT_MS: u64 = 5_000;

/// A shipped deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Shipped {
    /// `deployments/braga.yaml`.
    Braga,
    /// `deployments/velario-sul.yaml`.
    VelarioSul,
}

/// A deployment file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentFile {
    /// Failure domains.
    pub domains: u16,
    /// Entry daemons.
    pub entries: u16,
    /// Control daemons.
    pub controls: u16,
    /// One-way delay between failure domains, in microseconds.
    pub between_domains_us: u64,
    /// One-way delay between callers and entries, in microseconds.
    pub to_callers_us: u64,
    /// Services.
    pub services: Vec<ServiceEntry>,
    /// Load of requests.
    pub requests: Vec<RequestKind>,
    /// Load of flows.
    pub flows: Vec<FlowEntry>,
}

/// A service of a deployment file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name.
    pub name: String,
    /// Profile that it runs under.
    pub profile: String,
    /// Service address.
    pub address: SocketAddrV4,
    /// Targets.
    pub targets: u16,
    /// Slots of each target.
    pub slots: u16,
    /// Constant service time, in milliseconds.
    pub service_time_ms: u32,
}

impl ServiceEntry {
    /// Requests per second that a number of its targets handle.
    #[must_use]
    pub fn capacity_per_s(&self, targets: u64) -> f64 {
        let slots = targets * u64::from(self.slots);
        slots as f64 * 1_000.0 / f64::from(self.service_time_ms)
    }
}

/// A group of flows of a deployment file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowEntry {
    /// Service.
    pub service: String,
    /// Transport protocol.
    pub protocol: Protocol,
    /// Mean flows opened per second.
    pub opens_per_s: f64,
    /// How long a flow is held, in milliseconds.
    pub hold_ms: u64,
}

impl Shipped {
    /// Reads the deployment file.
    ///
    /// # Errors
    /// The file is malformed.
    pub fn file(self) -> Result<DeploymentFile> {
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
    /// Settings of the local deployment, with daemons from the folder of binaries.
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
        let document = |s: &ServiceEntry| {
            format!(
                "---\nkind: service\nversion: 1\nname: {}\naddress: {}\nprofile: {}\n",
                s.name, s.address, s.profile
            )
        };
        self.services.iter().map(document).collect()
    }

    /// Load of the deployment. Loads with another `part` use other request paths and flows.
    #[must_use]
    pub fn load(&self, seed: u64, part: u8, duration: Duration) -> LoadSettings {
        LoadSettings {
            seed: seed.wrapping_mul(1_000).wrapping_add(part.into()),
            duration_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
            entries: Vec::new(),
            kinds: self.requests.clone(),
            flows: Vec::new(),
            targets: Vec::new(),
            answer_timeout_ms: ANSWER_TIMEOUT_MS,
            max_sends: 3,
        }
    }

    /// Flows of the load over a fabric.
    #[must_use]
    pub fn flow_loads(&self, fabric: SocketAddr, part: u8) -> Vec<FlowLoad> {
        let load = |(index, flow): (u8, &FlowEntry)| {
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

fn up_service(service: &ServiceEntry) -> UpService {
    UpService {
        name: service.name.clone(),
        address: service.address,
        targets: service.targets,
        slots: service.slots,
        service_time: format!("constant:{}", service.service_time_ms),
    }
}
