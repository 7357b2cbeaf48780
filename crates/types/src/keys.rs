//! Small `Copy` keys that name instances, failure domains, services and positions in the log.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! key {
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

key!(
    /// A process of the system (entry or control daemon), as numbered in its settings.
    InstanceId, u16, "i"
);
key!(
    /// A failure domain, as numbered in the settings.
    DomainId, u16, "d"
);
key!(
    /// A service, numbered in the order of its declaration and never reused.
    ServiceId, u16, "s"
);
key!(
    /// Start number of a process or target. A higher one replaces every lower one.
    Incarnation, u64, "n"
);
key!(
    /// Election term of the replicated log.
    Term, u64, "t"
);
key!(
    /// Index of the last log entry that a state includes.
    Revision, u64, "r"
);

key!(
    /// Identity that a target was given; a later start of a target may have the same one.
    TargetId, u64, "g"
);

/// Name of a failure domain, where domains have no numbers.
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
