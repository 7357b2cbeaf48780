//! Flow routing on entries: decides for each packet which target it goes to, and keeps flows on
//! their targets through changes of targets, entries and failure domains.
//!
//! Pure state machines without sockets, threads or clocks: events and the current time go in,
//! actions come out.

pub mod control;
pub mod cookie;
pub mod decide;
pub mod flow;
mod handover;
mod merge;
pub mod message;
mod outbox;
pub mod packet;
pub mod router;

mod records;
pub mod reply;
mod report;
pub mod scheme;
mod sync;
pub mod table;
pub mod targets;
mod view;

pub use flow::{FiveTuple, FlowHash, FlowHasher, Protocol};
pub use message::{Frame, Message, Outgoing};
pub use packet::{Packet, PacketError};
pub use router::{Action, DropReason, FlowRouter, Peer, PeerState, RouterSettings};
pub use table::{SLOTS_PER_SERVICE, SlotTable};
pub use targets::{ServiceTargets, TargetSets, TargetSpec};
