//! Control daemons and entries that are given three seeds and no list of members, on a fabric that carries
//! flow cookies.
//!
//! Control daemons find each other from the seeds, share the operators' declarations through a replicated
//! register and the targets' announcements by gossip. Entries watch two control daemons and decide about
//! packets with [`comfreyhold_flow::cookie`]. Every process runs one thread, and control daemons a second
//! one for the disk: the instances have a fraction of one core.

pub mod control;
pub mod decisions;
pub mod entry;
pub mod links;
pub mod logging;
pub mod messages;
pub mod settings;
