//! The load that entries share about the targets and services that they use.
//!
//! Each entry sees only its own flows. What comes in: a [`LoadReport`] of each entry about its flows in the last
//! interval, to one control daemon, and a [`LoadSum`] of each other control daemon over its own entries. Who decides:
//! [`LoadBook`] in each control daemon checks and ages them, and says whether load is shared, which is so for a while
//! after any entry was under pressure. What goes out: the daemon's own [`LoadSum`] for the other daemons, and
//! [`LoadTotals`] over all entries for its own entries, which place flows and limit openings by them. An entry that
//! gets no totals decides by what it sees itself. Decisions only: no sockets, threads or clocks.

pub mod book;
pub mod messages;
pub mod sums;

pub use book::LoadBook;
pub use messages::{
    DomainDemand, IncludedEntry, LoadError, LoadReport, LoadSum, LoadTotals, SenderStart,
    ServiceDemand, ServiceId, ServiceTotal, TargetLoad, TargetMark,
};
