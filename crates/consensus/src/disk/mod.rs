//! The data folder: log segments, snapshots and the folder's identity.

mod error;
mod folder;
mod record;
mod store;

pub use error::StoreError;
pub use folder::{DataFolder, Folder};
pub use record::{ReadEnd, encode_record, read_records};
pub use store::LogStore;
