//! Re-exports the types that nearly every module uses.

pub use crate::clock::Clock;
pub use crate::codes::{Family, ResultCode};
pub use crate::declarations::{Command, Declarations};
pub use crate::event::{Event, EventKind};
pub use crate::hlc::{HybridClock, HybridTimestamp};
pub use crate::keys::{DomainId, Incarnation, InstanceId, Revision, ServiceId, Term};
pub use crate::profile::{Priority, Profile};
pub use crate::target::{TargetRecord, TargetState};
