//! The explanation, as it is sent in JSON. Times are in milliseconds, loads and limits in requests.

use super::Query;
use crate::cookie::placement::Tier;
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::routes::RequestClass;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use strum::Display;

/// What an entry would do with a packet now, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The packet.
    pub query: Query,
    /// Its route, and the choice among the route's services.
    pub route: RouteAnswer,
    /// What would become of it.
    pub decision: Decision,
    /// What admission control would do.
    pub admission: AdmissionAnswer,
    /// What the link scheduler would do; `None` if no rate is stated.
    pub link: Option<LinkAnswer>,
    /// Failure domain that the flow spills over to; `None` if it stays in that of the entry.
    pub spill_domain: Option<String>,
    /// Targets of the service.
    pub targets: TargetList,
    /// Ages of what the decision follows from.
    pub ages: InputAges,
}

/// The route of a packet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteAnswer {
    /// Name of the route.
    pub name: String,
    /// Version of the publication.
    pub version: u64,
    /// Number of the last change of the declarations.
    pub change: u64,
    /// Kind of its requests.
    pub class: RequestClass,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Objective for the response time; 0 if there is none.
    pub objective_ms: u64,
    /// Usual time that targets work on its requests, as this entry has learned it.
    pub usual_work_ms: Option<f64>,
    /// Services and weights, the first [`MAX_DESTINATIONS`](super::MAX_DESTINATIONS).
    pub destinations: Vec<DestinationWeight>,
    /// Number of all services of the route.
    pub destination_count: usize,
    /// Service that was chosen by weight, or that of the flow's target.
    pub service: Option<String>,
}

/// A service of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DestinationWeight {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// It is sent to a target.
    Forward,
    /// It waits in the entry and is decided on again.
    Wait,
    /// It is dropped.
    Drop,
    /// The caller gets a reset.
    Reset,
}

/// The decision on a packet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// What becomes of it.
    pub action: Action,
    /// Why, as in log lines and metrics.
    pub reason: String,
    /// The target that it is sent to; of a packet that is not forwarded, the one that it would be sent to.
    pub target: Option<String>,
    /// Cookie of that target, in hexadecimal digits.
    pub cookie: Option<String>,
    /// Time until it is decided on again.
    pub wait_ms: Option<f64>,
}

/// What admission control does with an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AdmissionAction {
    /// It lets it pass.
    Forward,
    /// It lets it wait in the entry.
    Wait,
    /// It drops it, and the caller's copy takes its place.
    WaitForCopy,
    /// It refuses it.
    Refuse,
}

/// Why admission control does it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AdmissionReason {
    /// Packets of open flows and copies of forwarded openings are not decided on.
    NotAsked,
    /// The service has no limit now.
    NoLimit,
    /// The limit leaves room.
    Room,
    /// The limit leaves no room now.
    NoRoom,
    /// The limit leaves no room before the attempt ends or its request is late.
    NoRoomInTime,
}

/// The decision of admission control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionAnswer {
    /// What it does.
    pub action: AdmissionAction,
    /// Why.
    pub reason: AdmissionReason,
    /// Time until it decides again.
    pub wait_ms: Option<f64>,
    /// Time until it expects room; `None` if it expects none or does not know.
    pub expected_wait_ms: Option<f64>,
    /// Which limit applies, as in log lines.
    pub limit_kind: Option<String>,
    /// Limit on requests in flight by share, otherwise on openings without an answer.
    pub limit: Option<f64>,
    /// Part of the service that the entry may use, from 0 to 1.
    pub share: Option<f64>,
    /// Requests in flight through the entry.
    pub in_flight: Option<f64>,
    /// Openings without an answer.
    pub unanswered: usize,
    /// Openings that wait.
    pub waiting: usize,
}

/// What the link scheduler does with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LinkAction {
    /// It is sent at once.
    Send,
    /// It is queued.
    Queue,
    /// It is dropped.
    Drop,
    /// The opening is refused, since the link can't carry the flow in time.
    Refuse,
}

/// The decision of the link scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkAnswer {
    /// What it does.
    pub action: LinkAction,
    /// Stated rate, in Mbit/s.
    pub mbps: f64,
    /// Packets that are queued.
    pub queued_packets: usize,
    /// Bytes that are queued.
    pub queued_bytes: usize,
    /// Time in which the link can carry what is queued, what open flows will cost, and one more flow.
    pub expected_wait_ms: f64,
    /// Longest expected time with which an opening is admitted; `None` if the route has no objective.
    pub allowed_wait_ms: Option<f64>,
}

/// Why a target is chosen or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// It is chosen.
    Chosen,
    /// It takes new flows, and another one has a better score or is due for a trial.
    Usable,
    /// It answers so slowly, or refuses so much, that it gets trials only.
    Slow,
    /// Its announcements are overdue.
    Silent,
    /// It left openings unanswered.
    Unanswered,
    /// It left this opening unanswered.
    Tried,
    /// It has started recently, or its failure domain was restored recently.
    Cold,
    /// It takes no new flows.
    Draining,
    /// It has ended.
    Ended,
    /// An older target has the same cookie.
    AmbiguousCookie,
    /// Its failure domain is withdrawn.
    Withdrawn,
}

/// One target of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetAnswer {
    /// Id of the target.
    pub id: String,
    /// Why it is chosen or not.
    pub standing: Standing,
    /// Preference among targets; `None` if it takes no new flows.
    pub tier: Option<Tier>,
    /// Load per slot with the flow, lower is better; `None` if it takes no new flows.
    pub score: Option<f64>,
    /// Failure domain.
    pub domain: String,
    /// Whether the domain is withdrawn.
    pub is_withdrawn: bool,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Announced state.
    pub availability: Availability,
    /// Time until it is no longer cold; 0 if it is not.
    pub cold_ms: u64,
    /// Whether its announcements are overdue.
    pub is_silent: bool,
    /// Openings without an answer since its last answer.
    pub unanswered: u32,
    /// Time for which others are preferred because of them.
    pub avoided_ms: u64,
    /// Whether it left this opening unanswered.
    pub is_tried: bool,
    /// Load from flows through this entry.
    pub load: f64,
    /// Load from flows through other entries; `None` if unknown.
    pub others_load: Option<f64>,
    /// Age of the load from other entries.
    pub others_age_ms: Option<u64>,
    /// Announced slots.
    pub announced_slots: u32,
    /// Slots by which it is compared.
    pub effective_slots: f64,
    /// Mean work time of its answers as a multiple of the usual one of their routes, so that heavy routes do not show;
    /// a refusal counts as 8. `None` without samples.
    pub work_ratio: Option<f64>,
    /// Decayed number of samples.
    pub samples: f64,
    /// Age of the last sample.
    pub sample_age_ms: Option<u64>,
}

/// Targets of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetList {
    /// Number of all targets, ended ones included.
    pub total: usize,
    /// Number of targets by standing.
    pub counts: BTreeMap<Standing, usize>,
    /// The chosen target, then the best by tier and score, with examples of each standing; at most
    /// [`MAX_LISTED`](super::MAX_LISTED).
    pub listed: Vec<TargetAnswer>,
}

/// Ages of the inputs of a decision. Those of what is known of a target are with the target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InputAges {
    /// Age of the last answer of a control daemon about targets and routes.
    pub updates_ms: Option<u64>,
    /// Age of the totals over all entries.
    pub totals_ms: Option<u64>,
    /// Age of the totals that the share of the service follows from.
    pub share_ms: Option<u64>,
    /// Age of the answers that the limit by late answers was adjusted by.
    pub limit_ms: Option<u64>,
}
