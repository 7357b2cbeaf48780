//! Errors of the data folder.

use comfreyhold_types::codes::ResultCode;
use std::io;
use thiserror::Error;

/// Why a data folder can't be opened, read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A record before the tail of a segment, or a file that was synced completely, is damaged.
    #[error("{file}: damaged record at byte {offset}")]
    Corrupt {
        /// Name of the file.
        file: String,
        /// Offset of the record, in bytes.
        offset: u64,
    },
    /// No space or quota is left.
    #[error("the disk is full: {0}")]
    DiskFull(io::Error),
    /// A sync failed. What was written before it may or may not be on the disk.
    #[error("a write could not be synced: {0}")]
    Sync(io::Error),
    /// Any other operation on the folder or its files failed.
    #[error("the data folder can't be used: {0}")]
    Folder(io::Error),
    /// Another process holds the lock of the folder.
    #[error("the data folder is in use by another process")]
    InUse,
    /// The store accepts no writes after an earlier error with this result.
    #[error("the data folder is stopped after an earlier fault")]
    Stopped(ResultCode),
}

impl StoreError {
    /// Whether writes may succeed again later without a restart. A disk that is full gets room; after any other
    /// error, what the folder holds is unknown.
    #[must_use]
    pub fn is_temporary(&self) -> bool {
        matches!(self, Self::DiskFull(_) | Self::Stopped(ResultCode::DiskFull))
    }

    /// Result code for operators.
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

    /// Converts the error of a write.
    pub(crate) fn from_write(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::DiskFull(error),
            _ => Self::Folder(error),
        }
    }

    /// Converts the error of a sync.
    pub(crate) fn from_sync(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::DiskFull(error),
            _ => Self::Sync(error),
        }
    }
}
