//! The replicated state: operators' declarations and the set of targets. It is built by applying log
//! entries in order, so that every process that has applied the same entries holds the same state.

use crate::codes::ResultCode;
use crate::keys::{DomainId, Incarnation, InstanceId, Revision, ServiceId};
use crate::profile::{FieldError, Profile, check_name};
use crate::target::TargetRecord;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// Number of versions per subject whose digests are kept to detect resent publications. Beyond it, the
/// oldest are dropped.
pub const MAX_VERSIONS_PER_SUBJECT: usize = 4_096;

/// Whether a failure domain takes traffic, as set by operators.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DomainState {
    /// The domain takes traffic.
    #[default]
    In,
    /// The domain takes no traffic.
    Out,
}

/// An operator's declaration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name, unique among services.
    pub name: String,
    /// Service address for packets. Requests are routed by host name instead.
    pub address: SocketAddr,
    /// Name of the profile that applies to the service.
    pub profile: String,
}

/// Content of a publication: one declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Content {
    /// A profile.
    Profile(Profile),
    /// A service.
    Service(ServiceSpec),
    /// The state of a failure domain.
    Domain(DomainId, DomainState),
}

impl Content {
    /// Key under which versions are counted, such as `profile/orders`.
    #[must_use]
    pub fn subject(&self) -> String {
        match self {
            Self::Profile(profile) => format!("profile/{}", profile.name),
            Self::Service(service) => format!("service/{}", service.name),
            Self::Domain(domain, _) => format!("domain/{}", domain.0),
        }
    }

    /// Checks the fields of the content, without regard to the replicated state.
    ///
    /// # Errors
    /// The first field that is not allowed.
    pub fn check(&self) -> Result<(), FieldError> {
        match self {
            Self::Profile(profile) => profile.check(),
            Self::Service(service) => {
                check_name("name", &service.name)?;
                check_name("profile", &service.profile)
            }
            Self::Domain(..) => Ok(()),
        }
    }
}

/// A declaration under a version number of its subject.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Version number: 1 for the first publication of a subject, then the last one plus 1.
    pub version: u64,
    /// Name of the operator who published it.
    pub operator: String,
    /// The declaration.
    pub content: Content,
}

impl Publication {
    /// Digest of version and content. It excludes the operator's name, so that the same publication resent
    /// by another operator counts as a duplicate.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(&(self.version, &self.content)).unwrap_or_default();
        let mut hasher = SipHasher13::new();
        text.hash(&mut hasher);
        hasher.finish()
    }
}

/// Changes of the target set, collected by the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetBatch {
    /// New and changed targets.
    pub upserts: Vec<TargetRecord>,
    /// Addresses of targets to remove, with the incarnation that ended.
    pub removals: Vec<(SocketAddr, Incarnation)>,
}

/// A voting control instance, bound to one data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// The instance.
    pub instance: InstanceId,
    /// Randomly chosen identity of its data folder.
    pub disk: u64,
}

/// Command in an entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// First entry of a leader's term; changes nothing.
    Noop,
    /// An operator's declaration.
    Publish(Publication),
    /// Changes of the target set.
    Targets(TargetBatch),
    /// Replaces the set of voters.
    Voters(BTreeSet<Voter>),
    /// Opens the idempotency register, once per deployment. No replica has voted before this entry, so
    /// replicas that are running at that time have no records to copy.
    OpenRegister,
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Accepted at this revision.
    Accepted(Revision),
    /// Accepted earlier, at this revision, with the same content.
    Duplicate(Revision),
    /// The version number belongs to another publication.
    Conflict {
        /// Operator whose publication holds the number.
        winner: String,
        /// Revision of that publication.
        revision: Revision,
    },
    /// The version number is not the last plus one.
    Gap {
        /// The number that would be accepted.
        expected: u64,
    },
    /// The content is invalid or conflicts with the replicated state.
    Refused {
        /// Result code of the refusal.
        code: ResultCode,
        /// Explanation for the operator.
        reason: String,
    },
}

impl Outcome {
    /// Result code of the outcome.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Accepted(_) | Self::Duplicate(_) => ResultCode::Ok,
            Self::Conflict { .. } => ResultCode::VersionConflict,
            Self::Gap { .. } => ResultCode::VersionGap,
            Self::Refused { code, .. } => *code,
        }
    }
}

/// Record of the publication that holds a version number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Digest of the publication.
    pub digest: u64,
    /// Revision at which it was accepted.
    pub revision: Revision,
    /// Name of the operator who published it.
    pub operator: String,
}

/// A service in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Number of the service, never reused.
    pub id: ServiceId,
    /// Newest declaration of the service.
    pub spec: ServiceSpec,
}

/// The replicated state after some log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declarations {
    /// Index of the last applied log entry.
    pub revision: Revision,
    /// Profiles by name.
    pub profiles: BTreeMap<String, Profile>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// States of failure domains set by operators. Domains that are missing take traffic.
    pub domains: BTreeMap<DomainId, DomainState>,
    /// Targets by address.
    pub targets: BTreeMap<SocketAddr, TargetRecord>,
    /// Control instances that vote.
    pub voters: BTreeSet<Voter>,
    /// Accepted publications, by subject and version number.
    pub versions: BTreeMap<String, BTreeMap<u64, VersionRecord>>,
    /// Whether the idempotency register has been opened.
    pub register_open: bool,
}

impl Declarations {
    /// Applies one log entry. The revision advances even if the command is refused.
    pub fn apply(&mut self, revision: Revision, command: &Command) -> Outcome {
        self.revision = revision;
        match command {
            Command::Noop => Outcome::Accepted(revision),
            Command::Publish(publication) => self.publish(revision, publication),
            Command::Targets(batch) => {
                self.apply_target_batch(batch);
                Outcome::Accepted(revision)
            }
            Command::Voters(voters) => {
                self.voters.clone_from(voters);
                Outcome::Accepted(revision)
            }
            Command::OpenRegister => {
                self.register_open = true;
                Outcome::Accepted(revision)
            }
        }
    }

    /// Returns the outcome of a publication if it follows from the recorded state: a duplicate, a conflict, a
    /// gap or a refusal. `None` means that it would be accepted.
    #[must_use]
    pub fn recorded_outcome(&self, publication: &Publication) -> Option<Outcome> {
        let versions = self.versions.get(&publication.content.subject());
        if let Some(record) = versions.and_then(|by_number| by_number.get(&publication.version)) {
            return Some(duplicate_or_conflict(record, publication.digest()));
        }
        let last =
            versions.and_then(|by_number| by_number.keys().next_back().copied()).unwrap_or(0);
        if publication.version != last + 1 {
            return Some(Outcome::Gap { expected: last + 1 });
        }
        self.check_content(&publication.content)
    }

    /// Service of the target at an address; `None` if the target or its service is not declared.
    #[must_use]
    pub fn service_of_target(&self, address: SocketAddr) -> Option<&Service> {
        self.targets.get(&address).and_then(|target| self.services.get(&target.service))
    }

    /// Whether the failure domain takes traffic, which it does unless operators have withdrawn it.
    #[must_use]
    pub fn domain_in_service(&self, domain: DomainId) -> bool {
        self.domains.get(&domain).copied().unwrap_or_default() == DomainState::In
    }

    fn publish(&mut self, revision: Revision, publication: &Publication) -> Outcome {
        if let Some(outcome) = self.recorded_outcome(publication) {
            return outcome;
        }
        self.store_content(&publication.content);
        let record = VersionRecord {
            digest: publication.digest(),
            revision,
            operator: publication.operator.clone(),
        };
        let versions = self.versions.entry(publication.content.subject()).or_default();
        versions.insert(publication.version, record);
        while versions.len() > MAX_VERSIONS_PER_SUBJECT {
            versions.pop_first();
        }
        Outcome::Accepted(revision)
    }

    /// Returns the refusal if the content is invalid or conflicts with the declarations.
    fn check_content(&self, content: &Content) -> Option<Outcome> {
        if let Err(error) = content.check() {
            return Some(Outcome::Refused {
                code: ResultCode::BadField,
                reason: error.to_string(),
            });
        }
        let Content::Service(spec) = content else { return None };
        if !self.profiles.contains_key(&spec.profile) {
            let reason = format!("profile {:?} does not exist", spec.profile);
            return Some(Outcome::Refused { code: ResultCode::UnknownName, reason });
        }
        let holder = self.services.values().find(|service| {
            service.spec.address == spec.address && service.spec.name != spec.name
        })?;
        let reason = format!("address {} belongs to service {:?}", spec.address, holder.spec.name);
        Some(Outcome::Refused { code: ResultCode::AddressConflict, reason })
    }

    fn store_content(&mut self, content: &Content) {
        match content {
            Content::Profile(profile) => {
                self.profiles.insert(profile.name.clone(), profile.clone());
            }
            Content::Service(spec) => self.store_service(spec),
            Content::Domain(domain, state) => {
                self.domains.insert(*domain, *state);
            }
        }
    }

    fn store_service(&mut self, spec: &ServiceSpec) {
        let next_id = u16::try_from(self.services.len() + 1).unwrap_or(u16::MAX);
        let id = self.services.get(&spec.name).map_or(ServiceId(next_id), |service| service.id);
        self.services.insert(spec.name.clone(), Service { id, spec: spec.clone() });
    }

    fn apply_target_batch(&mut self, batch: &TargetBatch) {
        for (address, incarnation) in &batch.removals {
            let has_ended =
                self.targets.get(address).is_some_and(|t| t.incarnation <= *incarnation);
            if has_ended {
                self.targets.remove(address);
            }
        }
        for target in &batch.upserts {
            let is_current = self
                .targets
                .get(&target.address)
                .is_none_or(|current| current.incarnation <= target.incarnation);
            if is_current {
                self.targets.insert(target.address, target.clone());
            }
        }
    }
}

fn duplicate_or_conflict(record: &VersionRecord, digest: u64) -> Outcome {
    if record.digest == digest {
        return Outcome::Duplicate(record.revision);
    }
    Outcome::Conflict { winner: record.operator.clone(), revision: record.revision }
}
