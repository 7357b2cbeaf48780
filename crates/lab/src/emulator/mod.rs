//! Discrete-event emulator of flow placement, in virtual time and without sockets. It models callers, entries
//! and targets with slots and a short queue, and compares placement schemes on the same load.
//!
//! Under [`SchemeName::LeastWork`] and [`SchemeName::LeastWorkAtOnce`] the entries run the production decision
//! code. Not modelled are packet loss, network latency, processor time of entries, and control daemons: each
//! entry knows all targets from the start.

mod load;
mod placement;
mod queue;
mod report;
mod run;

pub use load::{Pattern, Settings};
pub use placement::SchemeName;
pub use report::{Outcomes, draw};
pub use run::run;
