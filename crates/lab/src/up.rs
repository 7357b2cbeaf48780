//! Local deployment: daemons as child processes, fabric and targets in this process.

use crate::fabric::{Fabric, FabricSettings, PathSettings};
use crate::links::{Delays, LinkPlan, Links};
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

/// Longest wait for a daemon or target to stop.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// Settings of a local deployment, as its YAML file gives them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpSettings {
    /// Entry daemon.
    pub entry_binary: PathBuf,
    /// Control daemon.
    pub control_binary: PathBuf,
    /// Failure domains; entries, control daemons and targets are assigned round-robin.
    pub domains: u16,
    /// Entry daemons.
    pub entries: u16,
    /// Control daemons.
    pub controls: u16,
    /// Services and their targets.
    pub services: Vec<UpService>,
    /// Seed of fabric and targets.
    #[serde(default)]
    pub seed: u64,
    /// Treatment of packets by the fabric.
    #[serde(default)]
    pub path: PathSettings,
}

/// A service of a local deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpService {
    /// Name.
    pub name: String,
    /// Service address for packets.
    pub address: SocketAddrV4,
    /// Targets.
    pub targets: u16,
    /// Slots of each target.
    pub slots: u16,
    /// Distribution of the service time, as for `comfreyhold-lab target`.
    pub service_time: String,
}

/// Kind of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DaemonKind {
    /// Entry daemon.
    Entry,
    /// Control daemon.
    Control,
}

/// Place and addresses of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonPlan {
    /// Kind.
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
    /// Data folder.
    pub data: PathBuf,
}

/// All daemons of a deployment and what they share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Packet address of the fabric.
    pub fabric: SocketAddr,
    /// Control endpoint of the fabric.
    pub fabric_control: SocketAddr,
    /// Daemons.
    pub daemons: Vec<DaemonPlan>,
    /// Settings of the deployment.
    pub settings: UpSettings,
    /// Proxies between failure domains; daemons reach each other directly without them.
    #[serde(default)]
    pub links: Vec<LinkPlan>,
}

impl Plan {
    /// Daemons of a kind.
    pub fn of(&self, kind: DaemonKind) -> impl Iterator<Item = &DaemonPlan> {
        self.daemons.iter().filter(move |daemon| daemon.kind == kind)
    }
}

/// Renders the settings file of a daemon.
pub type Render = fn(&Plan, &DaemonPlan) -> Result<String>;

/// A running local deployment.
pub struct Deployment {
    /// Places and addresses.
    pub plan: Plan,
    /// Packet fabric.
    pub fabric: Fabric,
    /// Daemons, in the order of the plan.
    pub daemons: Vec<Process>,
    /// Targets, in the order of the services.
    pub targets: Vec<Target>,
    /// Proxies between failure domains and to callers.
    pub links: Option<Links>,
}

impl Deployment {
    /// Starts fabric, control daemons, entries and targets. Settings, data and logs go to the
    /// folder.
    ///
    /// # Errors
    /// The settings are out of range, or a part does not start.
    pub async fn start(settings: UpSettings, folder: &Path, render: Render) -> Result<Self> {
        Self::start_with(settings, None, folder, render).await
    }

    /// As [`Deployment::start`], with proxies that delay and cut the links between failure domains.
    ///
    /// # Errors
    /// As [`Deployment::start`].
    pub async fn start_with(
        settings: UpSettings,
        delays: Option<Delays>,
        folder: &Path,
        render: Render,
    ) -> Result<Self> {
        check(&settings)?;
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
                let (links, plans) = Links::start(delays, &daemons).await?;
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

    async fn start_daemons(&mut self, folder: &Path, render: Render) -> Result<()> {
        for daemon in &self.plan.daemons {
            let file = folder.join(format!("{}.yaml", daemon.name));
            std::fs::create_dir_all(&daemon.data)?;
            std::fs::write(&file, render(&self.plan, daemon)?)?;
            let process = self.start_daemon(daemon, folder).await?;
            self.daemons.push(process);
        }
        Ok(())
    }

    /// Starts a daemon with the settings file that was written for it, for example after a crash.
    ///
    /// # Errors
    /// As [`Process::start`].
    pub async fn start_daemon(&self, daemon: &DaemonPlan, folder: &Path) -> Result<Process> {
        let binary = match daemon.kind {
            DaemonKind::Entry => &self.plan.settings.entry_binary,
            DaemonKind::Control => &self.plan.settings.control_binary,
        };
        let file: OsString = folder.join(format!("{}.yaml", daemon.name)).into();
        Process::start(&daemon.name, binary, [file], folder).await
    }

    async fn start_targets(&mut self) -> Result<()> {
        for service in self.plan.settings.services.clone() {
            for index in 0..service.targets {
                let domain = domain(&self.plan.settings, index);
                self.start_target(&service, domain, false).await?;
            }
        }
        Ok(())
    }

    /// Starts one more target of a service, and returns its position in the list.
    ///
    /// # Errors
    /// The service time is malformed, or an address can't be bound.
    pub async fn start_target(
        &mut self,
        service: &UpService,
        domain: DomainId,
        cold: bool,
    ) -> Result<usize> {
        let entries: Vec<_> = self.plan.of(DaemonKind::Entry).map(|d| d.http).collect();
        let started = self.targets.len();
        let target = TargetSettings::builder()
            .service(&service.name)
            .domain(domain)
            .slots(service.slots)
            .entries(rotated(&entries, started))
            .fabric(self.plan.fabric)
            .seed(self.plan.settings.seed.wrapping_add(started as u64))
            .service_time(service.service_time.parse()?)
            .start_cold(cold)
            .build();
        self.targets.push(Target::start(target).await?);
        Ok(started)
    }

    /// Stops targets, then entries, then control daemons.
    ///
    /// # Errors
    /// A daemon that was not killed before did not stop by itself; the others are stopped all the same.
    pub async fn stop(mut self) -> Result<()> {
        for target in self.targets.drain(..) {
            target.stop(STOP_LIMIT).await;
        }
        let mut failed = Vec::new();
        for daemon in self.daemons.iter_mut().rev() {
            match daemon.terminate(STOP_LIMIT).await {
                Ok(status) if status.success() || daemon.was_killed() => {}
                Ok(status) => failed.push(format!("{}: {status}", daemon.name())),
                Err(error) => failed.push(error.to_string()),
            }
        }
        if !failed.is_empty() {
            bail!("not all daemons stopped cleanly: {}", failed.join("; "));
        }
        Ok(())
    }
}

fn check(settings: &UpSettings) -> Result<()> {
    if settings.domains == 0 || settings.entries == 0 {
        bail!("fields `domains` and `entries`: 0 is not allowed; allowed: 1 to 65535");
    }
    for service in &settings.services {
        let parsed = service.service_time.parse::<ServiceTime>();
        parsed.with_context(|| format!("field `services.{}.service_time`", service.name))?;
    }
    Ok(())
}

/// Domains are numbered from 1.
fn domain(settings: &UpSettings, index: u16) -> DomainId {
    DomainId(index % settings.domains + 1)
}

/// The entries, starting with another one for each target, so that announcements spread.
fn rotated(entries: &[SocketAddr], by: usize) -> Vec<SocketAddr> {
    let mut entries = entries.to_vec();
    let by = by % entries.len().max(1);
    entries.rotate_left(by);
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
            domain: domain(settings, index),
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
