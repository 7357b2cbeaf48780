//! The error type of all commands, and the result code that each error is printed with.

use comfreyhold_daemon::settings::SettingsError;
use comfreyhold_types::api::ResultBody;
use comfreyhold_types::document::DocumentError;
use comfreyhold_types::prelude::ResultCode;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the read.
        source: std::io::Error,
    },
    /// A declaration file is invalid.
    #[error("{}: {source}", path.display())]
    Document {
        /// The file.
        path: PathBuf,
        /// First invalid document or field.
        source: DocumentError,
    },
    /// A settings file of a daemon is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The file with the deployment's members, or a file of fleet settings, is invalid.
    #[error("{}: {message}", path.display())]
    Deployment {
        /// The file.
        path: PathBuf,
        /// What is invalid in it.
        message: String,
    },
    /// No process of the required role responded.
    #[error("no {role} responded: {reasons}")]
    NoResponse {
        /// Role of the processes that were called.
        role: String,
        /// Name of each process with its error, separated by semicolons.
        reasons: String,
    },
    /// The leader refused the request.
    #[error("{}: {}", .0.name, .0.message)]
    Refused(ResultBody),
    /// A publication was refused. The results of all publications have already been printed.
    #[error("{message}")]
    PublicationRefused {
        /// Result code of the first refused publication.
        code: u16,
        /// Subject, version and reason of the refusal.
        message: String,
    },
    /// Some entries refused to explain or did not respond. The answers of the others have been printed.
    #[error("{message}")]
    EntriesFailed {
        /// Result code of the first of them.
        code: u16,
        /// Address and reason of each.
        message: String,
    },
    /// An argument is invalid.
    #[error("{0}")]
    Argument(String),
    /// A response isn't the expected JSON.
    #[error("malformed response: {0}")]
    BadResponse(#[from] serde_json::Error),
    /// The async runtime can't be started.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Result code that is printed with an error, for scripts. A number, since daemons send it as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorCode(u16);

impl ErrorCode {
    /// The result code as it is printed.
    pub fn number(self) -> u16 {
        self.0
    }
}

impl CliError {
    /// Result code of the error; that of a refusal is the leader's.
    pub fn code(&self) -> ErrorCode {
        let code = match self {
            Self::Read { .. } | Self::Deployment { .. } => ResultCode::BadDocument,
            Self::Document { source, .. } => source.code(),
            Self::Settings(source) => source.code(),
            Self::NoResponse { .. } => ResultCode::OutcomePending,
            Self::Refused(body) => return ErrorCode(body.code),
            Self::PublicationRefused { code, .. } | Self::EntriesFailed { code, .. } => {
                return ErrorCode(*code);
            }
            Self::Argument(_) => ResultCode::BadField,
            Self::BadResponse(_) | Self::Io(_) => ResultCode::BadFrame,
        };
        ErrorCode(code.number())
    }
}
