//! Learns what a flow of each route costs the link, and how much of it the open flows still need.

use crate::packet::{PacketMeta, RouteTerms};
use comfreyhold_flow::cookie::{FlowKey, PacketKind};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Age up to which an open flow is expected to cost something. By then a flow with one request has been answered or
/// abandoned; flows with several requests spread theirs over a longer time.
pub const FLOW_WINDOW: Duration = Duration::from_secs(3);

/// Flows observed from opening to end before the mean of a route is used.
pub const MIN_SAMPLES: u32 = 8;

/// Weight of a new flow in a route's mean, as the number of flows that it is the mean of.
const MEAN_FLOWS: u32 = 64;

/// Capacity in flows that were opened within [`FLOW_WINDOW`], 1,365 per second. Further ones are not observed, and
/// count as if they cost nothing.
pub const MAX_TRACKED_FLOWS: usize = 4_096;

/// Capacity in routes. Beyond it, the route that was unused for the longest time is replaced.
const MAX_ROUTES: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct RouteCost {
    priority: u8,
    /// Mean bytes of a flow.
    mean: f64,
    samples: u32,
    /// Open flows, and the bytes that they have cost so far, each up to the mean.
    open: u32,
    spent: f64,
    last_used: Instant,
}

impl RouteCost {
    fn known_mean(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean)
    }

    fn remaining(&self) -> f64 {
        let total = self.known_mean().map(|mean| mean * f64::from(self.open));
        total.map_or(0.0, |total| (total - self.spent).max(0.0))
    }

    fn learn(&mut self, bytes: f64) {
        self.samples = self.samples.saturating_add(1);
        self.mean += (bytes - self.mean) / f64::from(self.samples.min(MEAN_FLOWS));
    }
}

#[derive(Clone, Copy, Debug)]
struct OpenFlow {
    opened: Instant,
    objective: Duration,
    bytes: f64,
    /// Part of `bytes` that is included in [`RouteCost::spent`].
    counted: f64,
}

/// Costs by route, and the open flows.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowCosts {
    routes: BTreeMap<SocketAddrV4, RouteCost>,
    flows: BTreeMap<FlowKey, OpenFlow>,
    /// Openings of the last [`FLOW_WINDOW`], the oldest first.
    opened: VecDeque<(Instant, FlowKey)>,
}

impl FlowCosts {
    /// Records a packet that the link carries.
    pub(crate) fn record(&mut self, meta: &PacketMeta, bytes: usize, now: Instant) {
        let key = meta.packet.flow;
        if matches!(meta.packet.kind, PacketKind::Open { .. }) && !self.flows.contains_key(&key) {
            self.open(key, meta.terms, now);
        }
        let Some(flow) = self.flows.get_mut(&key) else { return };
        let Some(route) = self.routes.get_mut(&key.service) else { return };
        flow.bytes += bytes as f64;
        let counted = route.known_mean().map_or(flow.bytes, |mean| mean.min(flow.bytes));
        route.spent += counted - flow.counted;
        flow.counted = counted;
        match meta.packet.kind {
            PacketKind::Finish => {
                let bytes = flow.bytes;
                route.learn(bytes);
                self.close(&key);
            }
            PacketKind::Abort => {
                self.close(&key);
            }
            _ => {}
        }
    }

    fn open(&mut self, key: FlowKey, terms: RouteTerms, now: Instant) {
        if self.opened.len() >= MAX_TRACKED_FLOWS || !self.ensure_route(key.service, now) {
            return;
        }
        if let Some(route) = self.routes.get_mut(&key.service) {
            route.priority = terms.priority;
            route.open += 1;
            route.last_used = now;
        }
        let objective = terms.objective;
        self.flows.insert(key, OpenFlow { opened: now, objective, bytes: 0.0, counted: 0.0 });
        self.opened.push_back((now, key));
    }

    /// Adds a route unless it exists. Returns false if there is no room, because all others have open flows.
    fn ensure_route(&mut self, address: SocketAddrV4, now: Instant) -> bool {
        if self.routes.contains_key(&address) {
            return true;
        }
        if self.routes.len() >= MAX_ROUTES {
            let unused = self.routes.iter().filter(|(_, route)| route.open == 0);
            let oldest = unused.min_by_key(|(_, route)| route.last_used).map(|(key, _)| *key);
            let Some(oldest) = oldest else { return false };
            self.routes.remove(&oldest);
        }
        let cost =
            RouteCost { priority: 0, mean: 0.0, samples: 0, open: 0, spent: 0.0, last_used: now };
        self.routes.insert(address, cost);
        true
    }

    fn close(&mut self, key: &FlowKey) -> Option<OpenFlow> {
        let flow = self.flows.remove(key)?;
        if let Some(route) = self.routes.get_mut(&key.service) {
            route.open = route.open.saturating_sub(1);
            route.spent = if route.open == 0 { 0.0 } else { route.spent - flow.counted };
        }
        Some(flow)
    }

    /// Stops counting flows that are older than [`FLOW_WINDOW`]. Those that are still open then have several
    /// requests; of their bytes, the mean includes what falls into one objective. They are learned only if
    /// nothing was queued since their opening, since a full link makes short flows long as well.
    pub(crate) fn expire(&mut self, last_queued: Option<Instant>, now: Instant) {
        while let Some((opened, key)) =
            self.opened.pop_front_if(|(opened, _)| now >= *opened + FLOW_WINDOW)
        {
            if self.flows.get(&key).is_none_or(|flow| flow.opened != opened) {
                continue;
            }
            let Some(flow) = self.close(&key) else { continue };
            let is_undisturbed = last_queued.is_none_or(|last| last < opened);
            if let Some(route) = self.routes.get_mut(&key.service).filter(|_| is_undisturbed) {
                let part = flow.objective.as_secs_f64() / FLOW_WINDOW.as_secs_f64();
                route.learn(flow.bytes * part.min(1.0));
            }
        }
    }

    /// Mean bytes of a flow of the route; `None` until enough flows were observed.
    pub(crate) fn mean(&self, route: SocketAddrV4) -> Option<f64> {
        self.routes.get(&route)?.known_mean()
    }

    /// Bytes that the open flows of routes of this priority and above still cost.
    pub(crate) fn remaining(&self, priority: u8) -> f64 {
        let counted = self.routes.values().filter(|route| route.priority <= priority);
        counted.map(RouteCost::remaining).sum()
    }

    /// Number of flows for which there is state.
    pub(crate) fn tracked(&self) -> usize {
        self.opened.len()
    }
}
