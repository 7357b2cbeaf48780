//! The one error type of the command line.

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
        /// Why.
        source: std::io::Error,
    },
    /// A declaration file is wrong.
    #[error("{}: {source}", path.display())]
    Document {
        /// The file.
        path: PathBuf,
        /// Why.
        source: DocumentError,
    },
    /// A settings file is wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The deployment file is wrong.
    #[error("{}: {message}", path.display())]
    Deployment {
        /// The file.
        path: PathBuf,
        /// Why.
        message: String,
    },
    /// No process that could answer was reached.
    #[error("no {role} answered: {reasons}")]
    NoAnswer {
        /// Which processes were asked.
        role: String,
        /// Why each didn't answer.
        reasons: String,
    },
    /// The system refused.
    #[error("{}: {}", .0.name, .0.message)]
    Refused(ResultBody),
    /// A publication was refused; the table has shown which.
    #[error("{message}")]
    PublicationRefused {
        /// The numbered result.
        code: u16,
        /// Explanation.
        message: String,
    },
    /// An argument is wrong.
    #[error("{0}")]
    Argument(String),
    /// The response can't be read.
    #[error("response can't be read: {0}")]
    BadResponse(#[from] serde_json::Error),
    /// The runtime can't start.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// A number for the shell and for scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Code(u16);

impl Code {
    /// The number.
    pub fn number(self) -> u16 {
        self.0
    }
}

impl CliError {
    /// The numbered result.
    pub fn code(&self) -> Code {
        let code = match self {
            Self::Read { .. } | Self::Deployment { .. } => ResultCode::BadDocument,
            Self::Document { source, .. } => source.code(),
            Self::Settings(source) => source.code(),
            Self::NoAnswer { .. } => ResultCode::OutcomePending,
            Self::Refused(body) => return Code(body.code),
            Self::PublicationRefused { code, .. } => return Code(*code),
            Self::Argument(_) => ResultCode::BadField,
            Self::BadResponse(_) | Self::Io(_) => ResultCode::BadFrame,
        };
        Code(code.number())
    }
}
