//! Messages of entries about their own state.

use comfreyhold_types::prelude::Revision;
use serde::{Deserialize, Serialize};

/// What an entry tells others about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LifecycleMessage {
    /// To entries: the sender has ended its dispatchers and stops once its requests have ended.
    Leaving,
    /// To control daemons: the sender holds this revision, which was therefore accepted.
    Holds(Revision),
}
