//! What the sender of packets asks about openings that it can't send.

use super::Balancer;
use crate::cookie::flows::FlowStage;
use crate::cookie::{CallerPacket, FlowKey};
use comfreyhold_types::routes::Route;

/// What is known of an opening before it is routed.
#[derive(Clone, Copy, Debug)]
pub struct OpeningRoute<'a> {
    /// Route of the opening.
    pub route: &'a Route,
    /// Whether this entry has forwarded a packet of the flow.
    pub is_known: bool,
}

impl Balancer {
    /// Returns the route of an opening and whether its flow is known. `None` without a route.
    #[must_use]
    pub fn opening_route(&self, packet: &CallerPacket) -> Option<OpeningRoute<'_>> {
        let route = self.routing.table.as_ref()?.routes.get(&packet.flow.service)?;
        let is_known = self.flows.get(&packet.flow).is_some();
        Some(OpeningRoute { route, is_known })
    }

    /// Forgets a flow whose opening was routed, but not sent. Otherwise the caller's retransmission would count as
    /// a missing answer of the target. Flows that were sent to another target before are kept.
    pub fn forget_unsent(&mut self, key: &FlowKey) {
        let Some(flow) = self.flows.get(key) else { return };
        if flow.stage != FlowStage::Opening || !flow.tried.is_empty() {
            return;
        }
        if let Some(admitted) = flow.admitted {
            self.admission.record_ended(admitted);
        }
        self.flows.remove(key, &mut self.directory);
    }
}
