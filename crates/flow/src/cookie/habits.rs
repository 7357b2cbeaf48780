//! Learns for each route whether its callers open a flow for each request or send several on one flow.
//!
//! An entry sees only the callers' packets. On a flow with one request, its end shows that the request was
//! answered; on a flow with several, a short answer shows only with the next request.

use comfreyhold_types::routes::RouteTable;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Flows counted before the habit of a route is known.
const MIN_FLOWS: u32 = 8;

/// Flows after which both counts are halved, so that a changed habit is learned.
const MAX_FLOWS: u32 = 128;

/// A route has flows with one request if at most one in this many flows has had more.
const SINGLE_PER_REPEATED: u32 = 8;

/// Maximum number of routes whose habits are kept; further ones count as unknown.
const MAX_ROUTES: usize = 4_096;

#[derive(Clone, Copy, Debug, Default)]
struct Habit {
    single: u32,
    repeated: u32,
}

/// Habits of the callers, by service address.
#[derive(Debug, Default)]
pub struct Habits(BTreeMap<SocketAddrV4, Habit>);

impl Habits {
    /// Records a flow that has ended after one request, or on which a second one has started.
    pub fn record(&mut self, service: SocketAddrV4, is_single: bool) {
        if self.0.len() >= MAX_ROUTES && !self.0.contains_key(&service) {
            return;
        }
        let habit = self.0.entry(service).or_default();
        if is_single {
            habit.single += 1;
        } else {
            habit.repeated += 1;
        }
        if habit.single + habit.repeated > MAX_FLOWS {
            habit.single /= 2;
            habit.repeated /= 2;
        }
    }

    /// Forgets routes that the declarations no longer name.
    pub fn forget_removed(&mut self, table: &RouteTable) {
        self.0.retain(|address, _| table.routes.contains_key(address));
    }

    /// Whether flows to the service address have one request each. False while that is unknown.
    #[must_use]
    pub fn is_single(&self, service: SocketAddrV4) -> bool {
        self.0.get(&service).is_some_and(|habit| {
            habit.single >= MIN_FLOWS && habit.repeated * SINGLE_PER_REPEATED <= habit.single
        })
    }
}
