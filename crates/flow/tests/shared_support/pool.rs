//! Open flows that the callers at one address share, as a client with a pool of connections does.
//!
//! In a burst such callers send more requests on the flows that are open, which no entry holds up, and keep those that
//! they open in use without a pause.

use super::Play;
use super::deployment::Kind;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Idle flows by address and kind, the latest used last.
#[derive(Default)]
pub struct Pool(BTreeMap<(Ipv4Addr, Kind), Vec<usize>>);

impl Play {
    /// Number of requests that a new flow takes, if flows are shared.
    pub(super) fn draw_pooled_requests(&mut self, kind: Kind) -> Option<u32> {
        self.scenario.pools_flows.then(|| kind.requests_per_pooled_flow(&mut self.rng))
    }

    /// Takes an idle flow for a caller.
    pub(super) fn take_pooled(&mut self, caller: usize) -> Option<usize> {
        let key = (self.callers[caller].address, self.callers[caller].kind);
        self.pool.0.get_mut(&key)?.pop()
    }

    /// Whether a flow ends with the answer that its caller has just got.
    pub(super) fn is_last_on_flow(&mut self, flow: usize, caller: usize) -> bool {
        let Some(left) = self.flows[flow].requests_left.as_mut() else {
            return self.callers[caller].requests_left == 0;
        };
        *left = left.saturating_sub(1);
        *left == 0
    }

    /// Leaves a caller's open flow to others.
    pub(super) fn return_to_pool(&mut self, caller: usize) {
        if !self.scenario.pools_flows {
            return;
        }
        let key = (self.callers[caller].address, self.callers[caller].kind);
        let flow = self.callers[caller].flow.take();
        if let Some(flow) = flow.filter(|flow| !self.flows[*flow].is_over) {
            self.pool.0.entry(key).or_default().push(flow);
        }
    }
}
