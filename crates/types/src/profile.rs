//! Profiles: per-service settings for deadlines, load limits, retries, cold starts, draining and
//! withdrawals of failure domains.

use bon::Builder;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString};
use thiserror::Error;

/// Maximum length of a profile or service name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum retention of idempotency keys, in milliseconds. After more than one replica is lost at once,
/// keyed requests get an unknown outcome for this long.
pub const MAX_KEY_RETENTION_MS: u64 = 600_000;

/// Maximum size of an operator's file of YAML documents, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 * 1024;

/// Priority of requests, which orders admission and load shedding.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Priority {
    /// Shed first.
    Low,
    /// Shed after requests of low priority.
    #[default]
    Normal,
    /// Shed last.
    High,
}

/// Rule that decides which requests are idempotent and may run more than once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum IdempotencyRule {
    /// GET, HEAD, OPTIONS, PUT, DELETE and TRACE are idempotent.
    #[default]
    ByMethod,
    /// No request is idempotent.
    Never,
    /// Every request is idempotent.
    Always,
}

/// What happens to the work in a failure domain that operators withdraw.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WithdrawalRule {
    /// Flows and requests of the domain end immediately.
    #[default]
    EndAtOnce,
    /// Requests in flight may finish within [`Profile::withdrawal_ms`]; flows end immediately.
    FinishRequests,
}

/// Cold-start ramp: limits the load of a cold target and raises it step by step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdRamp {
    /// Duration of the ramp from cold to full load, in milliseconds (0 to 600,000).
    pub ramp_ms: u64,
    /// Number of steps from cold to full load (1 to 20).
    pub steps: u16,
    /// Requests that may start per second in the first step (1 to 10,000).
    pub first_starts_per_s: u32,
    /// Response time above which a target counts as cold, in milliseconds (1 to 60,000).
    pub slow_answer_ms: u64,
}

impl Default for ColdRamp {
    fn default() -> Self {
        Self { ramp_ms: 10_000, steps: 5, first_starts_per_s: 2, slow_answer_ms: 1_000 }
    }
}

/// Limits on retries of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryRule {
    /// Maximum number of attempts per request, including the first (1 to 5).
    pub max_attempts: u8,
    /// Retry budget: retries as a share of first attempts, in percent (0 to 100).
    pub budget_percent: u8,
    /// Retries per second that are allowed at any request rate (0 to 1,000).
    pub floor_per_s: u32,
}

impl Default for RetryRule {
    fn default() -> Self {
        Self { max_attempts: 3, budget_percent: 10, floor_per_s: 1 }
    }
}

/// A named and versioned set of traffic settings, which services refer to by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Name, unique among profiles: lower-case letters, digits, hyphens and dots.
    #[builder(into)]
    pub name: String,
    /// Version number: 1 for the first version, then the last one plus 1.
    #[builder(default = 1)]
    pub version: u64,
    /// Priority of the service's requests.
    #[serde(default)]
    #[builder(default)]
    pub priority: Priority,
    /// Rule that decides which requests may run more than once.
    #[serde(default)]
    #[builder(default)]
    pub idempotency: IdempotencyRule,
    /// Time limit of one request, in milliseconds (10 to 600,000).
    #[serde(default = "defaults::deadline_ms")]
    #[builder(default = defaults::deadline_ms())]
    pub deadline_ms: u64,
    /// Maximum number of requests that wait at one dispatcher (0 to 10,000).
    #[serde(default = "defaults::queue_limit")]
    #[builder(default = defaults::queue_limit())]
    pub queue_limit: u32,
    /// Maximum number of slots used per target, even if it announces more (1 to 10,000).
    #[serde(default = "defaults::max_slots")]
    #[builder(default = defaults::max_slots())]
    pub max_slots: u16,
    /// Weights of the service's targets by name of their failure domain (1 to 1,000); 100 for domains that
    /// are missing.
    #[serde(default)]
    #[builder(default)]
    pub domain_weights: std::collections::BTreeMap<String, u32>,
    /// Ramp that limits the load of cold targets.
    #[serde(default)]
    #[builder(default)]
    pub cold: ColdRamp,
    /// Limits on retries.
    #[serde(default)]
    #[builder(default)]
    pub retry: RetryRule,
    /// Time for which a draining target keeps its flows, in milliseconds (0 to 86,400,000).
    #[serde(default = "defaults::drain_ms")]
    #[builder(default = defaults::drain_ms())]
    pub drain_ms: u64,
    /// Idle timeout after which a flow has ended, in milliseconds (1,000 to 86,400,000).
    #[serde(default = "defaults::flow_idle_ms")]
    #[builder(default = defaults::flow_idle_ms())]
    pub flow_idle_ms: u64,
    /// Time for which idempotency keys are kept after their last write, in milliseconds (1,000 to 600,000).
    #[serde(default = "defaults::key_retention_ms")]
    #[builder(default = defaults::key_retention_ms())]
    pub key_retention_ms: u64,
    /// What happens to the work in a failure domain that is withdrawn.
    #[serde(default)]
    #[builder(default)]
    pub withdrawal: WithdrawalRule,
    /// Time in which requests may finish after a withdrawal, in milliseconds (0 to 3,000).
    #[serde(default = "defaults::withdrawal_ms")]
    #[builder(default = defaults::withdrawal_ms())]
    pub withdrawal_ms: u64,
}

mod defaults {
    pub fn deadline_ms() -> u64 {
        10_000
    }
    pub fn queue_limit() -> u32 {
        64
    }
    pub fn max_slots() -> u16 {
        64
    }
    pub fn drain_ms() -> u64 {
        3_600_000
    }
    pub fn flow_idle_ms() -> u64 {
        300_000
    }
    pub fn key_retention_ms() -> u64 {
        600_000
    }
    pub fn withdrawal_ms() -> u64 {
        2_000
    }
}

/// Error for a field whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("field `{field}`: {found} is not allowed; allowed: {allowed}")]
pub struct FieldError {
    /// Path of the field in the document, such as `cold.steps`.
    pub field: String,
    /// Value in the document.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl FieldError {
    /// Creates an error for the value `found`, with a description of the allowed values.
    pub fn new(field: &str, found: impl ToString, allowed: impl Into<String>) -> Self {
        Self { field: field.to_owned(), found: found.to_string(), allowed: allowed.into() }
    }
}

/// Checks that a number lies within its bounds.
///
/// # Errors
/// The number is out of bounds. The error names the field, the value and the bounds.
pub fn check_range(field: &str, value: u64, min: u64, max: u64) -> Result<(), FieldError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(FieldError::new(field, value, format!("{min} to {max}")))
}

/// Checks a profile or service name.
///
/// # Errors
/// The name is empty, too long or contains other characters than a-z, 0-9, '-' and '.'.
pub fn check_name(field: &str, name: &str) -> Result<(), FieldError> {
    let has_allowed_chars = name
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.');
    if has_allowed_chars && !name.is_empty() && name.len() <= MAX_NAME_BYTES {
        return Ok(());
    }
    let allowed = format!("1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'");
    Err(FieldError::new(field, format!("{name:?}"), allowed))
}

impl Profile {
    /// Checks every field against its bounds.
    ///
    /// # Errors
    /// The first field that is out of bounds.
    pub fn check(&self) -> Result<(), FieldError> {
        check_name("name", &self.name)?;
        check_range("version", self.version, 1, u64::MAX)?;
        check_range("deadline_ms", self.deadline_ms, 10, 600_000)?;
        check_range("queue_limit", self.queue_limit.into(), 0, 10_000)?;
        check_range("max_slots", self.max_slots.into(), 1, 10_000)?;
        for (domain, weight) in &self.domain_weights {
            check_range(&format!("domain_weights.{domain}"), (*weight).into(), 1, 1_000)?;
        }
        check_range("cold.ramp_ms", self.cold.ramp_ms, 0, 600_000)?;
        check_range("cold.steps", self.cold.steps.into(), 1, 20)?;
        check_range("cold.first_starts_per_s", self.cold.first_starts_per_s.into(), 1, 10_000)?;
        check_range("cold.slow_answer_ms", self.cold.slow_answer_ms, 1, 60_000)?;
        check_range("retry.max_attempts", self.retry.max_attempts.into(), 1, 5)?;
        check_range("retry.budget_percent", self.retry.budget_percent.into(), 0, 100)?;
        check_range("retry.floor_per_s", self.retry.floor_per_s.into(), 0, 1_000)?;
        check_range("drain_ms", self.drain_ms, 0, 86_400_000)?;
        check_range("flow_idle_ms", self.flow_idle_ms, 1_000, 86_400_000)?;
        check_range("key_retention_ms", self.key_retention_ms, 1_000, MAX_KEY_RETENTION_MS)?;
        check_range("withdrawal_ms", self.withdrawal_ms, 0, 3_000)
    }

    /// Whether a request with this HTTP method may run more than once.
    #[must_use]
    pub fn is_idempotent(&self, method: &str) -> bool {
        match self.idempotency {
            IdempotencyRule::Always => true,
            IdempotencyRule::Never => false,
            IdempotencyRule::ByMethod => {
                matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE")
            }
        }
    }

    /// Time limit of one request.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
