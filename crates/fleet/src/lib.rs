//! Control daemons and entries for deployments that are configured with three seeds instead of a list of
//! members, on a fabric whose packets carry flow cookies.
//!
//! Control daemons discover each other through the seeds. They replicate the operators' declarations in a
//! register with a quorum of voters, and share the targets' announcements by gossip. Each entry watches two
//! control daemons and forwards packets as [`comfreyhold_flow::cookie`] decides. Every process runs on one
//! thread, with a second one for the disk in control daemons, since instances have a fraction of one core.

pub mod backoff;
pub mod connections;
pub mod control;
pub mod counters;
pub mod decisions;
pub mod entry;
pub mod logging;
pub mod messages;
pub mod settings;
