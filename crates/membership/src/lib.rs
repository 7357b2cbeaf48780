//! Decision cores for membership: failure detection, target registry, installation of revisions with
//! entry leases, grow-only counters and the event ring. All of them are sans-I/O state machines: an
//! event and the current time go in, actions come out.

pub mod announcements;
pub mod collector;
pub mod counters;
pub mod detector;
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
