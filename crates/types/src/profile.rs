//! Profiles: how traffic to a service is treated through change, cold starts and failure domain
//! withdrawals.

use bon::Builder;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString};
use thiserror::Error;

/// Longest profile or service name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Longest time that idempotency keys may be kept, in milliseconds. After the loss of more than one
/// replica at once, keyed requests are answered as unknown for this long.
pub const MAX_KEY_RETENTION_MS: u64 = 600_000;

/// Largest YAML document of an operator, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 * 1024;

/// Order in which requests are admitted and shed.
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
    /// Shed after low.
    #[default]
    Normal,
    /// Shed last.
    High,
}

/// Which requests may run more than once.
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

/// What happens to work in a failure domain that operators take out.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WithdrawalRule {
    /// Flows and requests of the domain end at once.
    #[default]
    EndAtOnce,
    /// Requests in flight may finish within the withdrawal limit; flows end at once.
    FinishRequests,
}

/// Ramp of a target in cold start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdRamp {
    /// Time from cold to full load, in milliseconds (0 to 600,000).
    pub ramp_ms: u64,
    /// Steps from cold to full load (1 to 20).
    pub steps: u16,
    /// Request starts per second in the first step (1 to 10,000).
    pub first_starts_per_s: u32,
    /// An answer slower than this shows a cold target, in milliseconds (1 to 60,000).
    pub slow_answer_ms: u64,
}

impl Default for ColdRamp {
    fn default() -> Self {
        Self { ramp_ms: 10_000, steps: 5, first_starts_per_s: 2, slow_answer_ms: 1_000 }
    }
}

/// Retry rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryRule {
    /// Most attempts per request, the first included (1 to 5).
    pub max_attempts: u8,
    /// Retries as a share of first attempts, in percent (0 to 100).
    pub budget_percent: u8,
    /// Retries per second that are allowed at any load (0 to 1,000).
    pub floor_per_s: u32,
}

impl Default for RetryRule {
    fn default() -> Self {
        Self { max_attempts: 3, budget_percent: 10, floor_per_s: 1 }
    }
}

/// A named, versioned profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Name, unique among profiles: lower-case letters, digits and hyphens.
    #[builder(into)]
    pub name: String,
    /// Version number: 1, then the last one plus 1.
    #[builder(default = 1)]
    pub version: u64,
    /// Priority of the service's requests.
    #[serde(default)]
    #[builder(default)]
    pub priority: Priority,
    /// Which requests may run more than once.
    #[serde(default)]
    #[builder(default)]
    pub idempotency: IdempotencyRule,
    /// Longest time for one request, in milliseconds (10 to 600,000).
    #[serde(default = "defaults::deadline_ms")]
    #[builder(default = defaults::deadline_ms())]
    pub deadline_ms: u64,
    /// Most requests that wait at one dispatcher (0 to 10,000).
    #[serde(default = "defaults::queue_limit")]
    #[builder(default = defaults::queue_limit())]
    pub queue_limit: u32,
    /// Most slots used per target, whatever it announces (1 to 10,000).
    #[serde(default = "defaults::max_slots")]
    #[builder(default = defaults::max_slots())]
    pub max_slots: u16,
    /// Weight of the service's targets by failure domain name; 100 where none is given (1 to 1,000).
    #[serde(default)]
    #[builder(default)]
    pub domain_weights: std::collections::BTreeMap<String, u32>,
    /// Ramp of targets in cold start.
    #[serde(default)]
    #[builder(default)]
    pub cold: ColdRamp,
    /// Retry rule.
    #[serde(default)]
    #[builder(default)]
    pub retry: RetryRule,
    /// Time that a draining target keeps its flows, in milliseconds (0 to 86,400,000).
    #[serde(default = "defaults::drain_ms")]
    #[builder(default = defaults::drain_ms())]
    pub drain_ms: u64,
    /// A flow without packets for this long has ended, in milliseconds (1,000 to 86,400,000).
    #[serde(default = "defaults::flow_idle_ms")]
    #[builder(default = defaults::flow_idle_ms())]
    pub flow_idle_ms: u64,
    /// Time that idempotency keys are kept after their last write, in milliseconds (1,000 to 600,000).
    #[serde(default = "defaults::key_retention_ms")]
    #[builder(default = defaults::key_retention_ms())]
    pub key_retention_ms: u64,
    /// What happens to work in a failure domain that is taken out.
    #[serde(default)]
    #[builder(default)]
    pub withdrawal: WithdrawalRule,
    /// Time that requests may take to finish after a withdrawal, in milliseconds (0 to 3,000).
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

/// A field whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("field `{field}`: {found} is not allowed; allowed: {allowed}")]
pub struct FieldError {
    /// Path of the field within the document.
    pub field: String,
    /// The value found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl FieldError {
    /// Describes a value that is not allowed in a field.
    pub fn new(field: &str, found: impl ToString, allowed: impl Into<String>) -> Self {
        Self { field: field.to_owned(), found: found.to_string(), allowed: allowed.into() }
    }
}

/// Checks that a number lies within its bounds.
///
/// # Errors
/// Names the field, the value and the bounds.
pub fn check_range(field: &str, value: u64, min: u64, max: u64) -> Result<(), FieldError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(FieldError::new(field, value, format!("{min} to {max}")))
}

/// Checks a profile or service name.
///
/// # Errors
/// Names the field, the value and what is allowed.
pub fn check_name(field: &str, name: &str) -> Result<(), FieldError> {
    let chars_ok = name
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.');
    if chars_ok && !name.is_empty() && name.len() <= MAX_NAME_BYTES {
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

    /// Whether a request of this method may run more than once.
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

    /// Longest time for one request.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
