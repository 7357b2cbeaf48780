//! Routes, which map flows that callers open to a service address to services, and the shared state that
//! operators change: the published routes and the withdrawn failure domains.

use crate::codes::ResultCode;
use crate::keys::DomainName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use strum::{Display, EnumString};
use thiserror::Error;

/// Maximum size of a published document, in bytes: about 12,000 routes. Together with the other limits of this module it
/// bounds the shared state, so that what is accepted can be replicated, stored and sent.
pub const MAX_PUBLICATION_BYTES: usize = 2 * 1024 * 1024;

/// Maximum size of a route table as it is sent to entries, in bytes. Over the slowest link of an entry (1.5 Mbit/s) that
/// takes 2.8 s, and a publication has to be in effect after 4 s.
pub const MAX_TABLE_BYTES: usize = 512 * 1024;

/// Maximum number of withdrawn failure domains.
pub const MAX_WITHDRAWN: usize = 256;

/// Maximum length of the name of a withdrawn failure domain, in bytes.
pub const MAX_DOMAIN_NAME_BYTES: usize = 255;

/// Maximum number of service addresses in [`FormerServices`], unless more than that have a route now. Beyond
/// it, addresses without a route are dropped: a flow outlives its route only by seconds.
const MAX_FORMER_ADDRESSES: usize = 4_096;

/// Size from which [`FormerServices`] holds nothing but the services of present routes, in bytes.
const MAX_FORMER_BYTES: usize = 256 * 1024;

/// Size of a service address in [`FormerServices`], beside its services, in bytes.
const FORMER_ADDRESS_BYTES: usize = 8;

/// Kind of the requests of a route, which decides whether they may be repeated.
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

/// A service that receives flows of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: String,
    /// Share of the route's new flows, relative to the weights of the other destinations.
    pub weight: u32,
}

/// Maps the flows to one service address to destination services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Service address and port that callers connect to.
    pub address: SocketAddrV4,
    /// Kind of the route's requests.
    pub class: RequestClass,
    /// Time after which a request is abandoned, in milliseconds.
    pub timeout_ms: u64,
    /// Objective for the response time of requests, in milliseconds.
    pub objective_ms: u64,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Services among which new flows are distributed by weight.
    pub destinations: Vec<Destination>,
}

/// Limits of a service that routes lead to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedService {
    /// Name of the service.
    pub name: String,
    /// Maximum number of flows per target.
    pub max_flows: u32,
    /// Requests per second that a cold target can handle, in thousandths; 0 if unspecified.
    pub cold_requests_per_1000_s: u64,
}

/// A complete set of routes under one version, indexed by address. It serialises as a [`RouteList`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "RouteList", from = "RouteList")]
pub struct RouteTable {
    /// Version that the operator gave it.
    pub version: u64,
    /// Routes by service address.
    pub routes: BTreeMap<SocketAddrV4, Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, RoutedService>,
    /// Idle timeout after which the state of a flow may be dropped, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// The contents of a [`RouteTable`] as lists: the form that is checked and serialised. A list read
/// from a document keeps its order and, unlike the table, can hold two routes with the same address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteList {
    /// Version that the operator gave it.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services that routes may lead to.
    pub services: Vec<RoutedService>,
    /// Idle timeout after which the state of a flow may be dropped, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Reason why a set of routes is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// The document can't be parsed. Holds the reason.
    #[error("the document can't be read: {0}")]
    Unreadable(String),
    /// A route leads to a service that the set doesn't declare.
    #[error("route {route:?} leads to the unknown service {service:?}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undeclared service.
        service: String,
    },
    /// Two routes have the same service address.
    #[error("two routes share the service address {0}")]
    SharedAddress(SocketAddrV4),
    /// The route with this name has a request timeout of 0.
    #[error("route {0:?} has a timeout of 0")]
    NoTimeout(String),
    /// The route with this name has no destination with a weight above 0.
    #[error("route {0:?} has no destination with a weight above 0")]
    NoDestination(String),
    /// The document or its route table is too large.
    #[error("the {part} of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// Part that is too large.
        part: &'static str,
        /// Its size in bytes.
        bytes: usize,
        /// Its maximum size in bytes.
        limit: usize,
    },
}

impl RouteError {
    /// Result code of the refusal.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Unreadable(_) => ResultCode::BadDocument,
            Self::TooLarge { .. } => ResultCode::DocumentTooLarge,
            _ => ResultCode::BadField,
        }
    }
}

impl Route {
    /// Whether the route sends new flows to the service.
    #[must_use]
    pub fn leads_to(&self, service: &str) -> bool {
        self.destinations.iter().any(|d| d.weight > 0 && d.service == service)
    }

    /// Objective for the response time of requests.
    #[must_use]
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Chooses the service for a new flow by weight. `uniform` is a number of uniform distribution, such as a
    /// hash. `None` if the route has no weights.
    #[must_use]
    pub fn choose_service(&self, uniform: u64) -> Option<&str> {
        let total: u64 = self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut offset = uniform.checked_rem(total)?;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if offset < weight {
                return Some(&destination.service);
            }
            offset -= weight;
        }
        None
    }

    fn check(&self, services: &BTreeMap<String, RoutedService>) -> Result<(), RouteError> {
        let undeclared = self.destinations.iter().find(|d| !services.contains_key(&d.service));
        if let Some(destination) = undeclared {
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
    /// Checks all routes and builds the table.
    ///
    /// # Errors
    /// The error of the first route that is not allowed.
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
    /// Idle timeout after which the state of a flow may be dropped.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    /// Computes the difference that turns `older` into this table.
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

    /// Returns the table that results from applying a difference to this one.
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

/// Changes between two versions of a route table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteDifference {
    /// Version of the resulting table.
    pub version: u64,
    /// New and changed routes.
    pub changed: Vec<Route>,
    /// Service addresses whose route was removed.
    pub removed: Vec<SocketAddrV4>,
    /// All services of the resulting table.
    pub services: Vec<RoutedService>,
    /// Idle timeout of the resulting table, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A published route table, with the document that it was parsed from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePublication {
    /// The document as the operator sent it; reads return it unchanged.
    pub document: Arc<Vec<u8>>,
    /// The parsed document.
    pub table: Arc<RouteTable>,
}

impl RoutePublication {
    /// Builds a publication from a document and the table parsed from it.
    ///
    /// # Errors
    /// The document exceeds [`MAX_PUBLICATION_BYTES`], or the table [`MAX_TABLE_BYTES`].
    pub fn new(document: Vec<u8>, table: RouteTable) -> Result<Self, RouteError> {
        check_size("document", document.len(), MAX_PUBLICATION_BYTES)?;
        let encoded = postcard::to_stdvec(&table);
        let encoded = encoded.map_err(|error| RouteError::Unreadable(error.to_string()))?;
        check_size("route table", encoded.len(), MAX_TABLE_BYTES)?;
        Ok(Self { document: Arc::new(document), table: Arc::new(table) })
    }
}

fn check_size(part: &'static str, bytes: usize, limit: usize) -> Result<(), RouteError> {
    if bytes > limit { Err(RouteError::TooLarge { part, bytes, limit }) } else { Ok(()) }
}

/// Services that each service address has led to in any publication so far. Packets of open flows are
/// forwarded to these services only.
pub type FormerServices = BTreeMap<SocketAddrV4, BTreeSet<String>>;

/// State that operators have declared: the newest routes and the withdrawn failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedState {
    /// Number of changes so far. A state with a higher number includes all changes of a state with a lower one.
    pub change: u64,
    /// The newest publication.
    pub publication: Option<RoutePublication>,
    /// Services that each service address has led to, including former ones.
    pub former: Arc<FormerServices>,
    /// Failure domains that take no new flows.
    pub withdrawn: BTreeSet<DomainName>,
}

/// Change of the shared state by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateChange {
    /// Puts routes into effect, unless those in effect have the same or a higher version.
    Publish(RoutePublication),
    /// Withdraws or restores a failure domain.
    Withdraw {
        /// Name of the failure domain.
        domain: DomainName,
        /// Whether the domain is withdrawn (`true`) or restored.
        out: bool,
    },
}

impl SharedState {
    /// Version of the routes in effect; `None` before the first publication.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.publication.as_ref().map(|publication| publication.table.version)
    }

    /// Services that the newest publication declares, and those that earlier ones have led routes to.
    pub fn named_services(&self) -> impl Iterator<Item = &str> {
        let declared = self.publication.iter().flat_map(|p| p.table.services.keys());
        declared.chain(self.former.values().flatten()).map(String::as_str)
    }

    /// Whether a failure domain can be withdrawn without exceeding the limits of the state.
    #[must_use]
    pub fn can_withdraw(&self, domain: &DomainName) -> bool {
        self.withdrawn.contains(domain)
            || (self.withdrawn.len() < MAX_WITHDRAWN && domain.0.len() <= MAX_DOMAIN_NAME_BYTES)
    }

    /// Applies a change and returns whether the state differs afterwards. A repeated change has no effect.
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
        limit_former(former, &publication.table.routes);
        self.publication = Some(publication.clone());
        true
    }
}

/// Drops services that addresses have led to, until the limits hold: first those of addresses without a route.
pub fn limit_former(former: &mut FormerServices, routes: &BTreeMap<SocketAddrV4, Arc<Route>>) {
    let size = |names: &BTreeSet<String>| {
        FORMER_ADDRESS_BYTES + names.iter().map(|name| name.len() + 1).sum::<usize>()
    };
    let mut addresses = former.len();
    let mut bytes: usize = former.values().map(size).sum();
    let max_addresses = MAX_FORMER_ADDRESSES.max(routes.len());
    former.retain(|address, names| {
        let is_kept = (addresses <= max_addresses && bytes <= MAX_FORMER_BYTES)
            || routes.contains_key(address);
        if !is_kept {
            addresses -= 1;
            bytes -= size(names);
        }
        is_kept
    });
    if bytes > MAX_FORMER_BYTES {
        for (address, names) in former {
            names.retain(|name| routes.get(address).is_some_and(|route| route.leads_to(name)));
        }
    }
}
