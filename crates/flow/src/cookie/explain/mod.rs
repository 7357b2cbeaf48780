//! Explains where a packet would go now, and why.
//!
//! In comes a [`Query`] for an opening, or for a packet of an open flow if it has a cookie. [`Balancer::explain`] takes
//! the balancer by shared reference and makes the decision with the functions that decide on packets; of the state that
//! a decision on an opening changes, the admission of one service and the surge, it uses a copy. Out comes an
//! [`Explanation`], with a bounded list of targets. Nothing changes. No sockets, threads or clocks; time is passed in.
//!
//! [`Balancer::explain`]: super::Balancer::explain

mod answer;
mod bounds;
mod decide;
mod query;

pub use answer::{
    Action, AdmissionAction, AdmissionAnswer, AdmissionReason, Decision, DestinationWeight,
    Explanation, InputAges, LinkAction, LinkAnswer, RouteAnswer, Standing, TargetAnswer,
    TargetList,
};
pub use bounds::{MAX_DESTINATIONS, MAX_LISTED, MAX_NAME_BYTES};
pub use query::{ExplainError, Query};
