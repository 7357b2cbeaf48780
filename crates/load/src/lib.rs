//! The load that entries share about the targets and services that they use.
//!
//! Each entry sees only its own flows. It sends a [`LoadReport`] about them to a control daemon of its failure
//! domain, which adds the reports of its entries up, exchanges the sums with the other control daemons, and answers
//! with [`LoadTotals`] over all entries. Decisions only: no sockets, threads or clocks.

pub mod messages;

pub use messages::{
    DomainDemand, LoadReport, LoadTotals, ServiceDemand, ServiceId, ServiceTotal, TargetLoad,
    TargetMark,
};
