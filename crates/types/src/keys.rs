//! Identifiers of instances, failure domains, services and targets, and the numbers that order restarts,
//! elections and log entries.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Defines a numeric key that displays as a letter and its number, such as `i3`.
macro_rules! define_key {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

define_key!(
    /// Number of an instance (entry or control daemon), as given in the settings.
    InstanceId, u16, "i"
);
define_key!(
    /// Number of a failure domain, as given in the settings.
    DomainId, u16, "d"
);
define_key!(
    /// Number of a service, assigned in the order of declaration and never reused.
    ServiceId, u16, "s"
);
define_key!(
    /// Incarnation of a process or target, raised at every start. A higher one supersedes all lower ones.
    Incarnation, u64, "n"
);
define_key!(
    /// Election term of the replicated log.
    Term, u64, "t"
);
define_key!(
    /// Index of the last log entry that a state includes.
    Revision, u64, "r"
);

define_key!(
    /// Identity assigned to a target. It may stay the same when the target restarts.
    TargetId, u64, "g"
);

/// Name of a failure domain, for deployments that don't number their domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DomainName(pub Arc<str>);

impl fmt::Display for DomainName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for DomainName {
    fn from(name: &str) -> Self {
        Self(name.into())
    }
}

impl Revision {
    /// The revision that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Term {
    /// The term that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
