//! Targets as they announce themselves.

use crate::keys::{DomainId, Incarnation};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// Life-cycle state that a target announces.
#[derive(
    Clone,
    Copy,
    Debug,
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
pub enum TargetState {
    /// Takes new work.
    Serving,
    /// Finishes its work and takes no more.
    Draining,
}

/// One target of a service. Its address is its identity: no two services share one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRecord {
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Address and port for packets and HTTP requests.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// How many requests it runs at once.
    pub slots: u16,
    /// Start number; a restart raises it.
    pub incarnation: Incarnation,
    /// Announced state.
    pub state: TargetState,
}
