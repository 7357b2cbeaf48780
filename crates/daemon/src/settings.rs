//! Settings of a process, read from YAML and checked as a whole before anything starts.

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

/// What a process does.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Takes packets and requests.
    Entry,
    /// Keeps the declarations.
    Control,
}

/// One process of the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its number, unique in the deployment.
    pub instance: InstanceId,
    /// Its name, for people.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address for other processes.
    #[serde(deserialize_with = "address")]
    pub peer: SocketAddr,
    /// Address for operators, announcements, metrics and health.
    #[serde(deserialize_with = "address")]
    pub admin: SocketAddr,
}

/// A TCP listener that relays connections to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamListener {
    /// Listening address.
    #[serde(deserialize_with = "address")]
    pub listen: SocketAddr,
    /// Service that connections go to.
    pub service: String,
}

/// Listening addresses of an entry beside those of its member record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// HTTP requests of callers.
    #[serde(deserialize_with = "address")]
    pub http: SocketAddr,
    /// Packets from the fabric, one IP packet per datagram.
    #[serde(deserialize_with = "address")]
    pub packets: SocketAddr,
    /// The fabric, which takes packets to targets and callers.
    #[serde(deserialize_with = "address")]
    pub fabric: SocketAddr,
    /// Relayed streams.
    #[serde(default)]
    pub streams: Vec<StreamListener>,
    /// Threads that handle packets (1 to 64).
    #[serde(default = "default_packet_threads")]
    pub packet_threads: u16,
    /// Failure domains whose targets may announce themselves here; all where none is given.
    #[serde(default)]
    pub allowed_domains: BTreeSet<DomainId>,
    /// Secret that keys the flow hash, the same on all entries (at least 16 characters).
    pub flow_secret: String,
}

/// Reads a socket address and says what is allowed, which the standard parser's error doesn't.
fn address<'de, D: Deserializer<'de>>(input: D) -> Result<SocketAddr, D::Error> {
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

/// Form of log lines.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Form of the lines.
    pub format: LogFormat,
    /// File to append to; standard error where none is given.
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
    /// This process; its addresses and failure domain are in its member record.
    pub instance: InstanceId,
    /// Names of the failure domains.
    pub domains: BTreeMap<DomainId, String>,
    /// All processes of the deployment, this one included.
    pub members: Vec<Member>,
    /// Needed by an entry.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// Folder of the process's durable state; needed by a control daemon.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Lets control daemons with empty data folders form the first set of voters. Turn it off once the
    /// deployment has started, so that lost folders can't form a second, empty set.
    #[serde(default)]
    pub bootstrap: bool,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Not YAML, or a field is unknown, missing or of the wrong type.
    #[error("{}: {message}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Field and reason.
        message: String,
    },
    /// A value is not allowed.
    #[error("{}: {source}", path.display())]
    Field {
        /// The file.
        path: PathBuf,
        /// The field.
        source: FieldError,
    },
}

impl SettingsError {
    /// The numbered result.
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

    /// Checks the values against each other.
    ///
    /// # Errors
    /// The first field that is not allowed.
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
        check_level(&self.log.level)?;
        match member.role {
            Role::Entry => check_entry(self.entry.as_ref()),
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

    /// Members of a role, in the order of their numbers.
    #[must_use]
    pub fn with_role(&self, role: Role) -> BTreeMap<InstanceId, DomainId> {
        let members = self.members.iter().filter(|member| member.role == role);
        members.map(|member| (member.instance, member.domain)).collect()
    }
}

fn check_entry(entry: Option<&EntrySettings>) -> Result<(), FieldError> {
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

fn check_level(level: &str) -> Result<(), FieldError> {
    if level.parse::<log::LevelFilter>().is_ok() {
        return Ok(());
    }
    Err(FieldError::new("log.level", level, "error, warn, info, debug or trace"))
}
