//! Messages by which entries report their lifecycle state to other processes.

use comfreyhold_types::prelude::Revision;
use serde::{Deserialize, Serialize};

/// State that an entry reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LifecycleMessage {
    /// To entries: the sender has stopped its dispatchers and exits once its requests have ended.
    Leaving,
    /// To control daemons: the sender has prepared this revision, so the control daemons have committed it.
    Holds(Revision),
}
