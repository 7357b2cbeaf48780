//! Settings of a process, read from YAML and validated as a whole before anything starts.

use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::{FieldError, check_name, check_range};
use serde::de::{self, Unexpected, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use strum::{Display, EnumString};
use thiserror::Error;

/// Role of a process.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Receives packets and requests of callers and sends them to targets.
    Entry,
    /// Replicates the declarations and rolls them out to the entries.
    Control,
}

/// Member record of a process of the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Instance number, unique in the deployment.
    pub instance: InstanceId,
    /// Name in logs, timelines and status replies.
    pub name: String,
    /// Role, which selects the program to run.
    pub role: Role,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Listening address for other processes.
    #[serde(deserialize_with = "deserialize_address")]
    pub peer: SocketAddr,
    /// Listening address for operators, announcements, metrics and health checks.
    #[serde(deserialize_with = "deserialize_address")]
    pub admin: SocketAddr,
}

/// A TCP listener whose connections are relayed to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamListener {
    /// Listening address.
    #[serde(deserialize_with = "deserialize_address")]
    pub listen: SocketAddr,
    /// Name of the service that connections are relayed to.
    pub service: String,
}

/// Settings that only an entry has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Listening address for HTTP requests of callers.
    #[serde(deserialize_with = "deserialize_address")]
    pub http: SocketAddr,
    /// UDP address for packets from the fabric, one IP packet per datagram.
    #[serde(deserialize_with = "deserialize_address")]
    pub packets: SocketAddr,
    /// UDP address of the fabric, which delivers packets to targets and callers.
    #[serde(deserialize_with = "deserialize_address")]
    pub fabric: SocketAddr,
    /// TCP listeners for relayed streams.
    #[serde(default)]
    pub streams: Vec<StreamListener>,
    /// Number of threads that handle packets (1 to 64).
    #[serde(default = "default_packet_threads")]
    pub packet_threads: u16,
    /// Failure domains whose targets may announce themselves here; all if it is empty.
    #[serde(default)]
    pub allowed_domains: BTreeSet<DomainId>,
    /// Secret key of the flow hash, the same on all entries (at least 16 characters).
    pub flow_secret: String,
}

/// Reads a socket address. Unlike that of the standard parser, the error says what is allowed.
fn deserialize_address<'de, D: Deserializer<'de>>(input: D) -> Result<SocketAddr, D::Error> {
    input.deserialize_str(AddressVisitor)
}

struct AddressVisitor;

impl Visitor<'_> for AddressVisitor {
    type Value = SocketAddr;

    fn expecting(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("a numeric IP address with a port, such as 127.0.0.1:7001")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<SocketAddr, E> {
        text.parse().map_err(|_| E::invalid_value(Unexpected::Str(text), &self))
    }
}

fn default_packet_threads() -> u16 {
    2
}

/// Format of log lines.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Level, format and destination of log lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Lowest level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Format of the lines.
    pub format: LogFormat,
    /// File to append to; standard error if there is none.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), format: LogFormat::Text, file: None }
    }
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Instance number of this process, whose addresses and failure domain are in its member record.
    pub instance: InstanceId,
    /// Names of the failure domains.
    pub domains: BTreeMap<DomainId, String>,
    /// All processes of the deployment, this one included.
    pub members: Vec<Member>,
    /// Settings of an entry; required there.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// Folder of the process's durable state; required for a control daemon.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Lets control daemons with empty data folders form the first set of voters. Turn it off once the
    /// deployment has started, so that control daemons with lost folders can't form a second, empty set.
    #[serde(default)]
    pub bootstrap: bool,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Reason why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not YAML, or a field is unknown, missing or of the wrong type.
    #[error("{}: {message}", path.display())]
    Malformed {
        /// Path of the settings file.
        path: PathBuf,
        /// Field and reason, as the parser reports them.
        message: String,
    },
    /// A field's value is not allowed.
    #[error("{}: {source}", path.display())]
    Field {
        /// Path of the settings file.
        path: PathBuf,
        /// The field, its value and what is allowed.
        source: FieldError,
    },
}

impl SettingsError {
    /// Result code of the error.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Read { .. } | Self::Malformed { .. } => ResultCode::BadDocument,
            Self::Field { .. } => ResultCode::BadField,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The file can't be read, is malformed, or holds a value that is not allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        let settings: Self = serde_yaml_ng::from_str(&text).map_err(|error| {
            SettingsError::Malformed { path: path.to_owned(), message: error.to_string() }
        })?;
        settings
            .check()
            .map_err(|source| SettingsError::Field { path: path.to_owned(), source })?;
        Ok(settings)
    }

    /// Checks the values, also against each other.
    ///
    /// # Errors
    /// Names the first field whose value is not allowed.
    pub fn check(&self) -> Result<(), FieldError> {
        let mut instances = BTreeSet::new();
        for (index, member) in self.members.iter().enumerate() {
            let field = |name: &str| format!("members[{index}].{name}");
            check_name(&field("name"), &member.name)?;
            if !instances.insert(member.instance) {
                return Err(FieldError::new(&field("instance"), member.instance, "unused numbers"));
            }
            if !self.domains.contains_key(&member.domain) {
                let known: Vec<_> = self.domains.keys().map(ToString::to_string).collect();
                return Err(FieldError::new(&field("domain"), member.domain, known.join(", ")));
            }
        }
        let Some(member) = self.find_member(self.instance) else {
            return Err(FieldError::new("instance", self.instance, "one of members[].instance"));
        };
        check_log_level(&self.log.level)?;
        match member.role {
            Role::Entry => check_entry_settings(self.entry.as_ref()),
            Role::Control if self.data_folder.is_none() => {
                Err(FieldError::new("data_folder", "nothing", "a folder for a control daemon"))
            }
            Role::Control => Ok(()),
        }
    }

    /// The member record of an instance.
    #[must_use]
    pub fn find_member(&self, instance: InstanceId) -> Option<&Member> {
        self.members.iter().find(|member| member.instance == instance)
    }

    /// This process's member record.
    ///
    /// # Errors
    /// The settings have none, which [`Settings::check`] refuses.
    pub fn local_member(&self) -> Result<&Member, FieldError> {
        self.find_member(self.instance)
            .ok_or_else(|| FieldError::new("instance", self.instance, "one of members[].instance"))
    }

    /// Failure domains of the members with this role, by instance number.
    #[must_use]
    pub fn with_role(&self, role: Role) -> BTreeMap<InstanceId, DomainId> {
        let members = self.members.iter().filter(|member| member.role == role);
        members.map(|member| (member.instance, member.domain)).collect()
    }
}

fn check_entry_settings(entry: Option<&EntrySettings>) -> Result<(), FieldError> {
    let Some(entry) = entry else {
        return Err(FieldError::new("entry", "nothing", "a section for an entry"));
    };
    check_range("entry.packet_threads", entry.packet_threads.into(), 1, 64)?;
    if entry.flow_secret.len() < 16 {
        let found = format!("{} characters", entry.flow_secret.len());
        return Err(FieldError::new("entry.flow_secret", found, "at least 16 characters"));
    }
    Ok(())
}

fn check_log_level(level: &str) -> Result<(), FieldError> {
    if level.parse::<log::LevelFilter>().is_ok() {
        return Ok(());
    }
    Err(FieldError::new("log.level", level, "error, warn, info, debug or trace"))
}
