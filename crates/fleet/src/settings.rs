//! Settings of one process, read from a YAML file.

use anyhow::{Context, ensure};
use comfreyhold_link::LinkSettings;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum of `tolerate.instances`; it bounds the number of voters to 9.
const MAX_TOLERATED_LOSSES: usize = 4;

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of the instance, written into each log line.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address at which other daemons reach the instance.
    pub ip: Ipv4Addr,
    /// Port for messages between daemons; the same on all instances.
    pub exchange_port: u16,
    /// Address to listen on for other daemons, if it differs from the one that they connect to, for
    /// example behind a forwarded port.
    #[serde(default)]
    pub exchange_bind: Option<SocketAddr>,
    /// Addresses of control daemons to contact first. Their ports are ignored: `exchange_port` is used.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, with empty data folders.
    #[serde(default)]
    pub first_start: bool,
    /// Addresses at which callers, targets and operators reach the process.
    #[serde(default)]
    pub listen: ListenSettings,
    /// Folder of a control daemon's files; an entry needs none.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Interval at which targets announce themselves, in milliseconds.
    pub announce_interval_ms: u64,
    /// Failures to tolerate at the same time.
    pub tolerate: ToleranceSettings,
    /// Limits set by the deployment's operators.
    pub bounds: BoundSettings,
    /// Limits of the instance that the process runs on.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Addresses to listen on; the role of the process determines which are required.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers' packets; required for an entry.
    #[serde(default)]
    pub packets: Option<SocketAddrV4>,
    /// Address for readiness checks; required for an entry.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Address for operators and targets; required for a control daemon.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// Failures that the deployment tolerates at the same time without an interruption.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToleranceSettings {
    /// Number of instances with a data folder that may be lost.
    pub instances: usize,
}

/// Limits set by the deployment's operators.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Time between the request to stop and forced termination, in seconds.
    pub stop_s: u64,
}

/// Limits of the instance that the process runs on.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// Rate of the instance's link in each direction, in Mbit/s. Without it, or with 0, an entry sends packets at
    /// once, however many there are.
    #[serde(default)]
    pub link_mbps: Option<f64>,
}

impl FleetSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file can't be read, is no valid YAML, or a field is missing, unknown or out of range.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        Self::parse(&text).with_context(|| path.display().to_string())
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// The text is no valid YAML, or a field is missing, unknown or out of range.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let settings: Self = serde_yaml_ng::from_str(text)?;
        ensure!(!settings.instance.is_empty(), "instance: must not be empty");
        ensure!(!settings.domain.is_empty(), "domain: must not be empty");
        ensure!(settings.exchange_port != 0, "exchange_port: must not be 0");
        ensure!(!settings.seeds.is_empty(), "seeds: at least one is needed");
        ensure!(settings.announce_interval_ms > 0, "announce_interval_ms: must be greater than 0");
        let tolerated_losses = settings.tolerate.instances;
        ensure!(
            tolerated_losses <= MAX_TOLERATED_LOSSES,
            "tolerate.instances: at most {MAX_TOLERATED_LOSSES} are supported"
        );
        ensure!(settings.bounds.stop_s > 0, "bounds.stop_s: must be greater than 0");
        let mbps = settings.limits.link_mbps.unwrap_or_default();
        LinkSettings::from_mbps(mbps).context("limits.link_mbps")?;
        Ok(settings)
    }

    /// Address at which other daemons reach this one.
    #[must_use]
    pub fn exchange_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), self.exchange_port)
    }

    /// Addresses at which the seeds accept messages from other daemons.
    #[must_use]
    pub fn seed_exchange_addresses(&self) -> Vec<SocketAddr> {
        let with_port = |seed: &SocketAddr| SocketAddr::new(seed.ip(), self.exchange_port);
        self.seeds.iter().map(with_port).collect()
    }

    /// Interval at which targets announce themselves.
    #[must_use]
    pub fn announce_interval(&self) -> Duration {
        Duration::from_millis(self.announce_interval_ms)
    }

    /// Time that a stopping process may take: `wanted`, but at most half of `bounds.stop_s`. The other half
    /// is left for a slow machine.
    #[must_use]
    pub fn stop_time(&self, wanted: Duration) -> Duration {
        wanted.min(Duration::from_secs(self.bounds.stop_s) / 2)
    }

    /// Rate of the instance's link, if one is stated.
    #[must_use]
    pub fn link(&self) -> Option<LinkSettings> {
        LinkSettings::from_mbps(self.limits.link_mbps?).ok().flatten()
    }

    /// The settings written to the log at the start, by name.
    #[must_use]
    pub fn summary(&self) -> BTreeMap<&'static str, String> {
        BTreeMap::from([
            ("instance", self.instance.clone()),
            ("domain", self.domain.clone()),
            ("exchange", self.exchange_address().to_string()),
            ("first_start", self.first_start.to_string()),
            ("seeds", format!("{:?}", self.seeds)),
            (
                "link_mbps",
                self.link().map_or_else(|| "none".to_owned(), |link| link.mbps().to_string()),
            ),
        ])
    }
}
