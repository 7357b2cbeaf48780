//! Deployments, loads and disturbances of the plays.

use comfreyhold_flow::cookie::balancer::Routing;
use comfreyhold_flow::cookie::directory::TargetSpec;
use comfreyhold_flow::cookie::{Balancer, BalancerSettings};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{Destination, RequestClass, Route, RouteList, RoutedService};
use rand::RngExt;
use rand::rngs::StdRng;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "orders";

/// Addresses that the callers of a failure domain share.
pub const HOSTS_PER_DOMAIN: u8 = 40;

/// Longest timeout of a request.
pub const LONGEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Kind of a request, each with its own route to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Idempotent, several on a flow.
    Feed,
    /// Not idempotent, of the higher priority, one on a flow.
    Order,
}

impl Kind {
    pub const ALL: [Self; 2] = [Self::Feed, Self::Order];

    pub fn address(self) -> SocketAddrV4 {
        let host = if self == Self::Feed { 1 } else { 2 };
        SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, host), 443)
    }

    pub fn work(self) -> Duration {
        Duration::from_millis(if self == Self::Feed { 40 } else { 52 })
    }

    pub fn objective(self) -> Duration {
        Duration::from_millis(500)
    }

    pub fn timeout(self) -> Duration {
        Duration::from_secs(if self == Self::Feed { 4 } else { 5 })
    }

    /// Share of the requests.
    pub fn share(self) -> f64 {
        if self == Self::Feed { 0.78 } else { 0.22 }
    }

    fn mean_requests_per_flow(self) -> f64 {
        if self == Self::Feed { 3.0 } else { 1.0 }
    }

    pub fn requests_per_flow(self, rng: &mut StdRng) -> u32 {
        if self == Self::Feed { rng.random_range(1..=5) } else { 1 }
    }

    /// Requests on a flow that is shared by callers.
    pub fn requests_per_pooled_flow(self, rng: &mut StdRng) -> u32 {
        if self == Self::Feed { rng.random_range(6..=18) } else { 1 }
    }

    fn route(self) -> Route {
        let (class, priority) = match self {
            Self::Feed => (RequestClass::Idempotent, 2),
            Self::Order => (RequestClass::NonIdempotent, 1),
        };
        Route {
            name: format!("{self:?}"),
            address: self.address(),
            class,
            timeout_ms: self.timeout().as_millis() as u64,
            objective_ms: self.objective().as_millis() as u64,
            priority,
            destinations: vec![Destination { service: SERVICE.to_owned(), weight: 1 }],
        }
    }
}

/// A burst of all callers or of those of one failure domain.
#[derive(Clone, Debug)]
pub struct Burst {
    pub time: Range<Duration>,
    pub factor: f64,
    pub domain: Option<usize>,
}

/// A deployment with its load and disturbances. Times are from the first request.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub entries: usize,
    pub domains: usize,
    pub targets: usize,
    pub slots: u32,
    /// Share of the slots in use without a burst.
    pub utilisation: f64,
    /// Whether half of the entries get a third of the callers that the others get, and domains differ by a third.
    pub is_uneven: bool,
    pub burst: Option<Burst>,
    /// Whether the callers at one address share open flows: a request takes an idle one, and opens another only if there
    /// is none. Otherwise each caller sends a few requests one after another on a flow of its own.
    pub pools_flows: bool,
    /// Whether entries share their load. Without it they decide by late answers alone.
    pub shares: bool,
    /// Whether they share it also without signs of pressure.
    pub always_shares: bool,
    /// Whether totals also tell entries the load of each target, by which flows are placed.
    pub places_by_totals: bool,
    pub length: Duration,
    /// Whether the service has a route of the highest priority that nobody uses.
    pub has_unused_route: bool,
    /// An entry that starts anew, and when.
    pub joins: Option<(usize, Duration)>,
    /// An entry that neither reports nor gets totals, and when.
    pub cut_off: Option<(usize, Range<Duration>)>,
    /// An entry that is frozen, and when.
    pub frozen: Option<(usize, Range<Duration>)>,
}

impl Scenario {
    /// A deployment as entries, domains and targets of two slots, with a burst of all from 1 s to 4 s.
    pub fn burst((entries, domains, targets): (usize, usize, usize), factor: f64) -> Self {
        let time = Duration::from_secs(1)..Duration::from_secs(4);
        Self {
            entries,
            domains,
            targets,
            slots: 2,
            utilisation: 0.3,
            is_uneven: false,
            pools_flows: false,
            burst: Some(Burst { time, factor, domain: None }),
            shares: true,
            always_shares: false,
            places_by_totals: false,
            length: Duration::from_secs(5),
            has_unused_route: false,
            joins: None,
            cut_off: None,
            frozen: None,
        }
    }

    pub fn without_sharing(&self) -> Self {
        Self { shares: false, ..self.clone() }
    }

    /// New callers a second by failure domain and kind.
    pub fn caller_rates(&self, time: Duration) -> Vec<(usize, Kind, f64)> {
        let slots = f64::from(self.slots) * self.targets as f64;
        let mean_work: f64 = Kind::ALL.iter().map(|k| k.share() * k.work().as_secs_f64()).sum();
        let requests_per_s = slots * self.utilisation / mean_work;
        let mut rates = Vec::new();
        for domain in 0..self.domains {
            let in_burst = self.burst.as_ref().filter(|burst| {
                burst.time.contains(&time) && burst.domain.is_none_or(|d| d == domain)
            });
            let factor = in_burst.map_or(1.0, |burst| burst.factor);
            let part = requests_per_s * factor / self.domains as f64;
            for kind in Kind::ALL {
                let is_one = self.pools_flows;
                let per_caller = if is_one { 1.0 } else { kind.mean_requests_per_flow() };
                rates.push((domain, kind, part * kind.share() / per_caller));
            }
        }
        rates
    }

    /// Chooses the entry that a caller of a domain opens a flow at.
    pub fn choose_entry(&self, domain: usize, rng: &mut StdRng) -> usize {
        let in_domain = (self.entries - domain).div_ceil(self.domains);
        loop {
            let index = rng.random_range(0..in_domain);
            if !self.is_uneven || index % 2 == 0 || rng.random_range(0..3) == 0 {
                return domain + index * self.domains;
            }
        }
    }

    /// Time at which an entry is resumed, if it is frozen now.
    pub fn frozen_until(&self, entry: usize, now: Duration) -> Option<Duration> {
        let (frozen, time) = self.frozen.as_ref()?;
        (*frozen == entry && time.contains(&now)).then_some(time.end)
    }

    /// Whether an entry takes part in the exchange of totals.
    pub fn is_connected(&self, entry: usize, now: Duration) -> bool {
        let is_cut_off =
            self.cut_off.as_ref().is_some_and(|(e, t)| *e == entry && t.contains(&now));
        !is_cut_off && self.frozen_until(entry, now).is_none()
    }
}

pub fn domain_name(domain: usize) -> DomainName {
    DomainName::from(domain.to_string().as_str())
}

/// An entry of a domain that knows all routes and targets.
pub fn balancer(scenario: &Scenario, domain: usize, now: Instant) -> Balancer {
    let settings = BalancerSettings::builder()
        .domain(domain_name(domain))
        .remote_penalty(1.0)
        .restore_period(Duration::from_secs(2))
        .build();
    let mut balancer = Balancer::new(settings);
    let service =
        RoutedService { name: SERVICE.to_owned(), max_flows: 2_000, cold_requests_per_1000_s: 0 };
    let mut routes: Vec<Route> = Kind::ALL.into_iter().map(Kind::route).collect();
    if scenario.has_unused_route {
        let address = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 200), 443);
        let name = "unused".to_owned();
        routes.push(Route { name, address, priority: 0, ..Kind::Order.route() });
    }
    let list = RouteList { version: 1, routes, services: vec![service], idle_timeout_ms: 15_000 };
    let table = Some(Arc::new(list.into_checked().unwrap()));
    balancer.set_routing(Routing { change: 1, table, ..Routing::default() }, now);
    for number in 0..scenario.targets {
        let spec = TargetSpec {
            id: TargetId(number as u64 + 1),
            born_ms: 1,
            service: SERVICE.to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number as u32), 80),
            domain: domain_name(number % scenario.domains),
            slots: scenario.slots,
            availability: Availability::Serving,
            cold_until: now,
            silent: false,
        };
        balancer.set_target(spec, now);
    }
    balancer
}
