//! State machines for membership: failure detection, target registry, installation of revisions with
//! entry leases, grow-only counters and the event ring. None of them does I/O: each takes an event and
//! the current time, and returns actions for the caller to perform.

pub mod announcements;
pub mod collector;
pub mod counters;
pub mod detector;
mod digests;
pub mod effects;
pub mod groups;
pub mod installer;
pub mod members;
pub mod messages;
pub mod probes;
pub mod recovery;
pub mod registry;
pub mod relay;
pub mod rollout;
pub mod staging;
pub mod targets;
pub mod timeline;
