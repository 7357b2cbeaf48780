//! Records of targets, as announced by the targets and held in the declarations.

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
    /// Accepts new work.
    Serving,
    /// Finishes its work and accepts no new work.
    Draining,
}

/// A target of a service, identified by its address. An address belongs to one service only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRecord {
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Address and port for packets and HTTP requests.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u16,
    /// Incarnation of the target; every restart raises it.
    pub incarnation: Incarnation,
    /// Announced life-cycle state.
    pub state: TargetState,
}
