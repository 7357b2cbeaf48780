//! Faults of the data folder.

use comfreyhold_types::codes::ResultCode;
use std::io;
use thiserror::Error;

/// A fault of the data folder.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A record before the tail of a segment, or a file that was synced whole, is damaged.
    #[error("{file}: damaged record at byte {offset}")]
    Corrupt {
        /// Name of the file.
        file: String,
        /// Offset of the record, in bytes.
        offset: u64,
    },
    /// No space is left.
    #[error("the disk is full: {0}")]
    DiskFull(io::Error),
    /// A write could not be synced. What it wrote may or may not be on the disk.
    #[error("a write could not be synced: {0}")]
    Sync(io::Error),
    /// The folder can't be opened, read or changed.
    #[error("the data folder can't be used: {0}")]
    Folder(io::Error),
    /// Another process uses the folder.
    #[error("the data folder is in use by another process")]
    InUse,
    /// An earlier fault stopped the store.
    #[error("the data folder is stopped after an earlier fault")]
    Stopped(ResultCode),
}

impl StoreError {
    /// The numbered result.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Corrupt { .. } => ResultCode::LogCorrupt,
            Self::DiskFull(_) => ResultCode::DiskFull,
            Self::Sync(_) => ResultCode::SyncFailed,
            Self::Folder(_) | Self::InUse => ResultCode::DataFolder,
            Self::Stopped(code) => *code,
        }
    }

    /// Sorts an error of a write.
    pub(crate) fn write(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::DiskFull(error),
            _ => Self::Folder(error),
        }
    }

    /// Sorts an error of a sync.
    pub(crate) fn sync(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::DiskFull(error),
            _ => Self::Sync(error),
        }
    }
}
