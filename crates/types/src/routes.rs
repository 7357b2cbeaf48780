//! Routes: which services answer the flows that callers open to a service address, and the shared state
//! that operators change.

use crate::codes::ResultCode;
use crate::keys::DomainName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use strum::{Display, EnumString};
use thiserror::Error;

/// Service addresses whose former services are remembered after their route is removed. A flow outlives
/// its route by seconds, so the oldest ones can be forgotten.
const MAX_FORMER_ROUTES: usize = 4_096;

/// What the requests of a route allow.
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
pub enum RequestClass {
    /// Short requests that may run more than once.
    Idempotent,
    /// Requests that run at most once.
    NonIdempotent,
    /// Long responses that may be fetched more than once.
    Download,
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: String,
    /// Share of the route's new flows, relative to the other destinations.
    pub weight: u32,
}

/// Where the flows to one service address go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Address and port that callers connect to.
    pub address: SocketAddrV4,
    /// What its requests allow.
    pub class: RequestClass,
    /// Time after which a request is given up, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which a request should be answered, in milliseconds.
    pub objective_ms: u64,
    /// Importance; 0 is the highest.
    pub priority: u8,
    /// Services that answer, by weight.
    pub destinations: Vec<Destination>,
}

/// What routes need to know about a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedService {
    /// Name.
    pub name: String,
    /// Most flows that one target holds.
    pub max_flows: u32,
    /// Requests a second that a cold target can bear, in thousandths; 0 when none is stated.
    pub cold_requests_per_1000_s: u64,
}

/// A whole set of routes under one version. It serialises as lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "RouteList", from = "RouteList")]
pub struct RouteTable {
    /// Version that the operator gave it.
    pub version: u64,
    /// Routes by service address.
    pub routes: BTreeMap<SocketAddrV4, Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, RoutedService>,
    /// Time without packets after which a flow may be forgotten, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// The parts of a route table in the order in which they were published.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteList {
    /// Version that the operator gave it.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<RoutedService>,
    /// Time without packets after which a flow may be forgotten, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Why a set of routes is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// The document can't be read in full.
    #[error("the document can't be read: {0}")]
    Unreadable(String),
    /// A route names a service that the set does not declare.
    #[error("route {route:?} leads to the unknown service {service:?}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes claim one service address.
    #[error("two routes share the service address {0}")]
    SharedAddress(SocketAddrV4),
    /// A route gives its requests no time.
    #[error("route {0:?} has a timeout of 0")]
    NoTimeout(String),
    /// A route has no destination with a weight.
    #[error("route {0:?} has no destination with a weight above 0")]
    NoDestination(String),
}

impl RouteError {
    /// The numbered result.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Unreadable(_) => ResultCode::BadDocument,
            _ => ResultCode::BadField,
        }
    }
}

impl Route {
    /// Whether the route leads to a service.
    #[must_use]
    pub fn leads_to(&self, service: &str) -> bool {
        self.destinations.iter().any(|d| d.weight > 0 && d.service == service)
    }

    /// Time in which requests are to be answered.
    #[must_use]
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// The service for a new flow, chosen by weight from a number that is spread evenly.
    #[must_use]
    pub fn choose_service(&self, spread: u64) -> Option<&str> {
        let total: u64 = self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut at = spread.checked_rem(total)?;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if at < weight {
                return Some(&destination.service);
            }
            at -= weight;
        }
        None
    }

    fn check(&self, services: &BTreeMap<String, RoutedService>) -> Result<(), RouteError> {
        let unknown = self.destinations.iter().find(|d| !services.contains_key(&d.service));
        if let Some(destination) = unknown {
            let service = destination.service.clone();
            return Err(RouteError::UnknownService { route: self.name.clone(), service });
        }
        if self.timeout_ms == 0 {
            return Err(RouteError::NoTimeout(self.name.clone()));
        }
        if self.destinations.iter().all(|d| d.weight == 0) {
            return Err(RouteError::NoDestination(self.name.clone()));
        }
        Ok(())
    }
}

impl RouteList {
    /// Checks the parts and arranges them as a table.
    ///
    /// # Errors
    /// The first part that is not allowed.
    pub fn into_checked(self) -> Result<RouteTable, RouteError> {
        let table = RouteTable::from(self.clone());
        let mut seen = BTreeSet::new();
        for route in &self.routes {
            if !seen.insert(route.address) {
                return Err(RouteError::SharedAddress(route.address));
            }
            route.check(&table.services)?;
        }
        Ok(table)
    }
}

impl From<RouteList> for RouteTable {
    fn from(list: RouteList) -> Self {
        let routes = list.routes.into_iter().map(|route| (route.address, Arc::new(route)));
        let services = list.services.into_iter().map(|service| (service.name.clone(), service));
        Self {
            version: list.version,
            routes: routes.collect(),
            services: services.collect(),
            idle_timeout_ms: list.idle_timeout_ms,
        }
    }
}

impl From<RouteTable> for RouteList {
    fn from(table: RouteTable) -> Self {
        Self {
            version: table.version,
            routes: table.routes.into_values().map(|route| Route::clone(&route)).collect(),
            services: table.services.into_values().collect(),
            idle_timeout_ms: table.idle_timeout_ms,
        }
    }
}

impl RouteTable {
    /// Time without packets after which a flow may be forgotten.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    /// What turns `older` into this table.
    #[must_use]
    pub fn difference_from(&self, older: &Self) -> RouteDifference {
        let changed = |route: &&Arc<Route>| older.routes.get(&route.address) != Some(route);
        let removed = older.routes.keys().filter(|address| !self.routes.contains_key(address));
        RouteDifference {
            version: self.version,
            changed: self.routes.values().filter(changed).map(|r| Route::clone(r)).collect(),
            removed: removed.copied().collect(),
            services: self.services.values().cloned().collect(),
            idle_timeout_ms: self.idle_timeout_ms,
        }
    }

    /// The table that a difference to this one describes.
    #[must_use]
    pub fn with_difference(&self, difference: RouteDifference) -> Self {
        let mut routes = self.routes.clone();
        for address in &difference.removed {
            routes.remove(address);
        }
        routes.extend(difference.changed.into_iter().map(|r| (r.address, Arc::new(r))));
        let services = difference.services.into_iter().map(|s| (s.name.clone(), s));
        Self {
            version: difference.version,
            routes,
            services: services.collect(),
            idle_timeout_ms: difference.idle_timeout_ms,
        }
    }
}

/// What changes from one route table to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteDifference {
    /// New version.
    pub version: u64,
    /// New and changed routes.
    pub changed: Vec<Route>,
    /// Service addresses without a route now.
    pub removed: Vec<SocketAddrV4>,
    /// All services.
    pub services: Vec<RoutedService>,
    /// New idle timeout, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A published route table with the operator's document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePublication {
    /// The document as the operator sent it, which is also what reads return.
    pub document: Arc<Vec<u8>>,
    /// Its content.
    pub table: Arc<RouteTable>,
}

/// Services that a service address has led to, by any publication so far. Packets of open flows go to
/// these only.
pub type FormerServices = BTreeMap<SocketAddrV4, BTreeSet<String>>;

/// What operators have declared: the newest routes and the failure domains taken out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedState {
    /// Number of changes so far. A state with a higher number includes every state with a lower one.
    pub change: u64,
    /// The newest publication.
    pub publication: Option<RoutePublication>,
    /// Services that each service address has led to.
    pub former: Arc<FormerServices>,
    /// Failure domains that take no new flows.
    pub withdrawn: BTreeSet<DomainName>,
}

/// An operator's change of the shared state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateChange {
    /// Puts routes in force, unless those in force have the same or a higher version.
    Publish(RoutePublication),
    /// Takes a failure domain out, or back in.
    Withdraw {
        /// The domain.
        domain: DomainName,
        /// Whether it is out.
        out: bool,
    },
}

impl SharedState {
    /// Version in force; `None` before the first publication.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.publication.as_ref().map(|publication| publication.table.version)
    }

    /// Applies a change. Returns whether it made a difference; a repeated one makes none.
    pub fn apply(&mut self, change: &StateChange) -> bool {
        let changed = match change {
            StateChange::Publish(publication) => self.publish(publication),
            StateChange::Withdraw { domain, out: true } => self.withdrawn.insert(domain.clone()),
            StateChange::Withdraw { domain, out: false } => self.withdrawn.remove(domain),
        };
        self.change += u64::from(changed);
        changed
    }

    fn publish(&mut self, publication: &RoutePublication) -> bool {
        if self.version().is_some_and(|version| publication.table.version <= version) {
            return false;
        }
        let former = Arc::make_mut(&mut self.former);
        for route in publication.table.routes.values() {
            let services = former.entry(route.address).or_default();
            let weighted = route.destinations.iter().filter(|d| d.weight > 0);
            services.extend(weighted.map(|d| d.service.clone()));
        }
        let routes = &publication.table.routes;
        while former.len() > MAX_FORMER_ROUTES.max(routes.len()) {
            let Some(gone) = former.keys().find(|address| !routes.contains_key(address)) else {
                break;
            };
            let gone = *gone;
            former.remove(&gone);
        }
        self.publication = Some(publication.clone());
        true
    }
}
