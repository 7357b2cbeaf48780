//! Emulator of a fabric with flow cookies, in virtual time and without sockets: callers, entries and
//! targets with slots and a short queue. It compares schemes of placement on the same load.
//!
//! Entries run the real decision code where the scheme is [`SchemeName::LeastWork`]. What it leaves out:
//! lost packets, time on the network, processor time of entries, and control daemons; each entry knows all
//! targets from the start.

mod load;
mod placement;
mod queue;
mod report;
mod run;

pub use load::{Pattern, Settings};
pub use placement::SchemeName;
pub use report::{Outcomes, draw};
pub use run::run;
