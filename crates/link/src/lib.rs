//! Scheduler for the packets that an entry sends over a link of a stated rate.
//!
//! In: each datagram that the entry is about to send, with the header of the caller's packet that it forwards or
//! answers, and the time. [`LinkScheduler::offer`] lets it pass at once while the link has room, and otherwise queues
//! or drops it. Out: [`LinkScheduler::next`] returns the queued datagrams in their order as the link gets room, and
//! [`LinkScheduler::take_drops`] those that were dropped after they had been queued. Before a flow is opened,
//! [`LinkScheduler::admits`] says whether the link can carry it within the objective of its requests; the entry refuses
//! it otherwise.
//!
//! Nothing here sends, waits or reads a clock: the entry does. What a flow costs is learned from the packets that pass
//! (`costs`), the order and the drops are decided in `queue`, the rate in `bucket`. All state is bounded.

mod bucket;
mod costs;
mod packet;
mod queue;
mod scheduler;
mod settings;

pub use costs::{FLOW_WINDOW, MAX_TRACKED_FLOWS, MIN_SAMPLES};
pub use packet::{
    Class, DropReason, DroppedPacket, HEADER_BYTES, Outgoing, PacketMeta, RouteTerms,
};
pub use queue::{
    MAX_QUEUE_TIME, MAX_QUEUED_BYTES, MAX_QUEUED_PACKETS, MAX_QUEUED_RESETS, PACKETS_PER_LOWER,
};
pub use scheduler::{LinkScheduler, LinkStatus, Next, OBJECTIVE_PARTS, Offer};
pub use settings::{LinkError, LinkSettings, MAX_LINK_MBPS};
