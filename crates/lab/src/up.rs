//! Local deployment: the daemons run as child processes, the fabric and the targets in this process.

use crate::fabric::{Fabric, FabricSettings, PathSettings};
use crate::links::{LinkDelays, LinkPlan, LinkProxies};
use crate::ports::Ports;
use crate::scenario::Process;
use crate::service_time::ServiceTime;
use crate::target::{Target, TargetSettings};
use anyhow::{Context as _, Result, bail};
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::ffi::OsString;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;
use strum::Display;

/// After this time a target ends even if requests are still running, and a daemon is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of a local deployment, as its YAML file gives them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpSettings {
    /// Program of the entry daemons.
    pub entry_binary: PathBuf,
    /// Program of the control daemons.
    pub control_binary: PathBuf,
    /// Number of failure domains; entries, control daemons and targets are assigned round-robin.
    pub domains: u16,
    /// Number of entry daemons.
    pub entries: u16,
    /// Number of control daemons.
    pub controls: u16,
    /// Services and their targets.
    pub services: Vec<UpService>,
    /// Seed of the random choices of fabric and targets.
    #[serde(default)]
    pub seed: u64,
    /// Delay and loss of packets in the fabric.
    #[serde(default)]
    pub path: PathSettings,
}

/// A service of a local deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpService {
    /// Name that targets announce and callers send as the host name.
    pub name: String,
    /// Service address for packets.
    pub address: SocketAddrV4,
    /// Number of targets.
    pub targets: u16,
    /// Requests that each target runs at once.
    pub slots: u16,
    /// Distribution of the service time, as for `comfreyhold-lab target`.
    pub service_time: String,
}

/// Role of a daemon in a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DaemonKind {
    /// Accepts callers' requests and packets.
    Entry,
    /// Replicates the declarations and collects the counts.
    Control,
}

/// Failure domain, addresses and data folder of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonPlan {
    /// Whether it is an entry or a control daemon.
    pub kind: DaemonKind,
    /// Name, such as `entry-3`.
    pub name: String,
    /// Instance number, unique over both kinds, from 1.
    pub instance: InstanceId,
    /// Failure domain.
    pub domain: DomainId,
    /// TCP address for other daemons.
    pub peer: SocketAddr,
    /// TCP address for operators, announcements and metrics.
    pub http: SocketAddr,
    /// TCP address for callers' requests; control daemons don't use it.
    pub callers: SocketAddr,
    /// UDP address for packets; control daemons don't use it.
    pub packets: SocketAddr,
    /// Data folder, created before the start.
    pub data: PathBuf,
}

/// All daemons of a deployment, and the addresses and settings they share. Written to
/// `deployment.json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Packet address of the fabric.
    pub fabric: SocketAddr,
    /// Control endpoint of the fabric.
    pub fabric_control: SocketAddr,
    /// Control daemons, then entries.
    pub daemons: Vec<DaemonPlan>,
    /// Settings that the deployment was started with.
    pub settings: UpSettings,
    /// Proxies between failure domains. When empty, daemons connect to each other directly.
    #[serde(default)]
    pub links: Vec<LinkPlan>,
}

impl Plan {
    /// The daemons of one kind, in the order of the plan.
    pub fn of(&self, kind: DaemonKind) -> impl Iterator<Item = &DaemonPlan> {
        self.daemons.iter().filter(move |daemon| daemon.kind == kind)
    }
}

/// Renders the settings file of a daemon.
pub type RenderSettings = fn(&Plan, &DaemonPlan) -> Result<String>;

/// A running local deployment.
pub struct Deployment {
    /// Failure domains and addresses of the daemons.
    pub plan: Plan,
    /// Packet fabric.
    pub fabric: Fabric,
    /// Daemons, in the order of the plan.
    pub daemons: Vec<Process>,
    /// Targets, in the order of the services.
    pub targets: Vec<Target>,
    /// Proxies between failure domains and to callers; absent when the deployment has no delays.
    pub links: Option<LinkProxies>,
}

impl Deployment {
    /// Starts fabric, control daemons, entries and targets. Settings, data and logs are written to
    /// the folder.
    ///
    /// # Errors
    /// The settings are out of range, or a part does not start.
    pub async fn start(
        settings: UpSettings,
        folder: &Path,
        render: RenderSettings,
    ) -> Result<Self> {
        Self::start_with_delays(settings, None, folder, render).await
    }

    /// As [`Deployment::start`]; with `delays`, also starts proxies that delay or block the links
    /// between failure domains.
    ///
    /// # Errors
    /// As [`Deployment::start`].
    pub async fn start_with_delays(
        settings: UpSettings,
        delays: Option<LinkDelays>,
        folder: &Path,
        render: RenderSettings,
    ) -> Result<Self> {
        check_settings(&settings)?;
        std::fs::create_dir_all(folder)?;
        let daemons = plan_daemons(&settings, folder)?;
        let entries = daemons.iter().filter(|d| d.kind == DaemonKind::Entry);
        let fabric_settings = FabricSettings::builder()
            .entries(entries.map(|d| d.packets).collect())
            .seed(settings.seed)
            .path(settings.path)
            .build();
        let fabric = Fabric::start(fabric_settings).await?;
        let (packets, control) = (fabric.packets(), fabric.control());
        let (links, link_plans) = match delays {
            Some(delays) => {
                let (links, plans) = LinkProxies::start(delays, &daemons).await?;
                (Some(links), plans)
            }
            None => (None, Vec::new()),
        };
        let plan =
            Plan { fabric: packets, fabric_control: control, daemons, settings, links: link_plans };
        let (daemons, targets) = (Vec::new(), Vec::new());
        let mut deployment = Self { plan, fabric, daemons, targets, links };
        deployment.start_daemons(folder, render).await?;
        deployment.start_targets().await?;
        let plan = serde_json::to_string_pretty(&deployment.plan)?;
        std::fs::write(folder.join("deployment.json"), plan)?;
        Ok(deployment)
    }

    async fn start_daemons(&mut self, folder: &Path, render: RenderSettings) -> Result<()> {
        for daemon in &self.plan.daemons {
            let settings_file = folder.join(format!("{}.yaml", daemon.name));
            std::fs::create_dir_all(&daemon.data)?;
            std::fs::write(&settings_file, render(&self.plan, daemon)?)?;
            let process = self.start_daemon(daemon, folder).await?;
            self.daemons.push(process);
        }
        Ok(())
    }

    /// Starts a daemon with its settings file from the folder, for example after a crash.
    ///
    /// # Errors
    /// As [`Process::start`].
    pub async fn start_daemon(&self, daemon: &DaemonPlan, folder: &Path) -> Result<Process> {
        let binary = match daemon.kind {
            DaemonKind::Entry => &self.plan.settings.entry_binary,
            DaemonKind::Control => &self.plan.settings.control_binary,
        };
        let settings_file: OsString = folder.join(format!("{}.yaml", daemon.name)).into();
        Process::start(&daemon.name, binary, [settings_file], folder).await
    }

    async fn start_targets(&mut self) -> Result<()> {
        for service in self.plan.settings.services.clone() {
            for index in 0..service.targets {
                let domain = assigned_domain(&self.plan.settings, index);
                self.start_target(&service, domain, false).await?;
            }
        }
        Ok(())
    }

    /// Starts another target of a service and returns its index in [`Deployment::targets`].
    ///
    /// # Errors
    /// The service time is malformed, or an address can't be bound.
    pub async fn start_target(
        &mut self,
        service: &UpService,
        domain: DomainId,
        cold: bool,
    ) -> Result<usize> {
        let entry_addresses: Vec<_> = self.plan.of(DaemonKind::Entry).map(|d| d.http).collect();
        let index = self.targets.len();
        let target_settings = TargetSettings::builder()
            .service(&service.name)
            .domain(domain)
            .slots(service.slots)
            .entries(rotate_entries(&entry_addresses, index))
            .fabric(self.plan.fabric)
            .seed(self.plan.settings.seed.wrapping_add(index as u64))
            .service_time(service.service_time.parse()?)
            .start_cold(cold)
            .build();
        self.targets.push(Target::start(target_settings).await?);
        Ok(index)
    }

    /// Stops targets, then entries, then control daemons.
    ///
    /// # Errors
    /// A daemon that [`Process::kill`] had not ended failed to stop cleanly. The others are stopped
    /// nevertheless.
    pub async fn stop(mut self) -> Result<()> {
        for target in self.targets.drain(..) {
            target.stop(STOP_TIMEOUT).await;
        }
        let mut failures = Vec::new();
        for daemon in self.daemons.iter_mut().rev() {
            match daemon.terminate(STOP_TIMEOUT).await {
                Ok(status) if status.success() || daemon.was_killed() => {}
                Ok(status) => failures.push(format!("{}: {status}", daemon.name())),
                Err(error) => failures.push(error.to_string()),
            }
        }
        if !failures.is_empty() {
            bail!("not all daemons stopped cleanly: {}", failures.join("; "));
        }
        Ok(())
    }
}

fn check_settings(settings: &UpSettings) -> Result<()> {
    if settings.domains == 0 || settings.entries == 0 {
        bail!("fields `domains` and `entries`: 0 is not allowed; allowed: 1 to 65535");
    }
    for service in &settings.services {
        let parsed = service.service_time.parse::<ServiceTime>();
        parsed.with_context(|| format!("field `services.{}.service_time`", service.name))?;
    }
    Ok(())
}

/// Assigns failure domains round-robin; they are numbered from 1.
fn assigned_domain(settings: &UpSettings, index: u16) -> DomainId {
    DomainId(index % settings.domains + 1)
}

/// Rotates the list so that targets announce to different entries first, which spreads the
/// announcements.
fn rotate_entries(entries: &[SocketAddr], offset: usize) -> Vec<SocketAddr> {
    let mut entries = entries.to_vec();
    let offset = offset % entries.len().max(1);
    entries.rotate_left(offset);
    entries
}

fn plan_daemons(settings: &UpSettings, folder: &Path) -> Result<Vec<DaemonPlan>> {
    let controls = (0..settings.controls).map(|i| (DaemonKind::Control, i));
    let entries = (0..settings.entries).map(|i| (DaemonKind::Entry, i));
    let mut ports = Ports::anywhere();
    let mut daemons = Vec::new();
    for (number, (kind, index)) in (1..).zip(controls.chain(entries)) {
        let name = format!("{kind}-{}", index + 1);
        daemons.push(DaemonPlan {
            kind,
            instance: InstanceId(number),
            domain: assigned_domain(settings, index),
            peer: ports.give()?,
            http: ports.give()?,
            callers: ports.give()?,
            packets: ports.give()?,
            data: folder.join(&name),
            name,
        });
    }
    Ok(daemons)
}
