//! Settings of a process, in YAML.

use anyhow::{Context, ensure};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Most processes whose loss can be stated, which bounds the number of voters to 9.
const MAX_LOSSES: usize = 4;

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of the instance, for logs.
    pub instance: String,
    /// Failure domain.
    pub domain: String,
    /// Own address.
    pub ip: Ipv4Addr,
    /// Port at which daemons talk to each other; the same on all instances.
    pub exchange_port: u16,
    /// Address that is listened on for other daemons, where it differs from the one that they call, as behind
    /// a forwarded port.
    #[serde(default)]
    pub exchange_bind: Option<SocketAddr>,
    /// Address of control daemons to start from, with any port.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, with empty disks.
    #[serde(default)]
    pub first_start: bool,
    /// Where callers, targets and operators reach this process.
    #[serde(default)]
    pub listen: ListenSettings,
    /// Folder of a control daemon's files.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Interval at which targets announce themselves, in milliseconds.
    pub announce_interval_ms: u64,
    /// What may be lost at once.
    pub tolerate: ToleranceSettings,
    /// Bounds that the deployment's operators have set.
    pub bounds: BoundSettings,
}

/// Where a process is reached; which of them it needs depends on its role.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Packets of callers.
    #[serde(default)]
    pub packets: Option<SocketAddrV4>,
    /// Readiness of an entry.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Operators and targets.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// What may be lost at once while everything goes on.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToleranceSettings {
    /// Instances with a disk.
    pub instances: usize,
}

/// Bounds that the deployment's operators have set.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Time between the request to stop and the end by force, in seconds.
    pub stop_s: u64,
}

impl FleetSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file can't be read, is no valid YAML, or a field is missing, unknown or out of range.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        Self::parse(&text).with_context(|| path.display().to_string())
    }

    /// Checks the text of a file.
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
        let losses = settings.tolerate.instances;
        ensure!(losses <= MAX_LOSSES, "tolerate.instances: at most {MAX_LOSSES} are supported");
        ensure!(settings.bounds.stop_s > 0, "bounds.stop_s: must be greater than 0");
        Ok(settings)
    }

    /// Where other daemons reach this one.
    #[must_use]
    pub fn exchange_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), self.exchange_port)
    }

    /// Where the seeds answer other daemons.
    #[must_use]
    pub fn seed_exchanges(&self) -> Vec<SocketAddr> {
        let at = |seed: &SocketAddr| SocketAddr::new(seed.ip(), self.exchange_port);
        self.seeds.iter().map(at).collect()
    }

    /// Interval at which targets announce themselves.
    #[must_use]
    pub fn announce_interval(&self) -> Duration {
        Duration::from_millis(self.announce_interval_ms)
    }

    /// Time that a stopping process may take of what it would like to take: half of the stated bound is left
    /// for a slow machine.
    #[must_use]
    pub fn stop_time(&self, wanted: Duration) -> Duration {
        wanted.min(Duration::from_secs(self.bounds.stop_s) / 2)
    }

    /// The settings as names and values, for the log line at the start.
    #[must_use]
    pub fn summary(&self) -> BTreeMap<&'static str, String> {
        BTreeMap::from([
            ("instance", self.instance.clone()),
            ("domain", self.domain.clone()),
            ("exchange", self.exchange_address().to_string()),
            ("first_start", self.first_start.to_string()),
            ("seeds", format!("{:?}", self.seeds)),
        ])
    }
}
