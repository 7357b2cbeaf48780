//! Errors of the protocol between processes.

use comfreyhold_types::prelude::ResultCode;
use thiserror::Error;

/// Why a frame was refused or could not be sent.
#[derive(Debug, Error)]
pub enum WireError {
    /// The frame or its body can't be decoded.
    #[error("frame can't be decoded: {0}")]
    BadFrame(String),
    /// The sender speaks another protocol version.
    #[error("protocol version {found} is not supported, expected {expected}")]
    BadVersion {
        /// Version of the sender.
        found: u16,
        /// Version spoken here.
        expected: u16,
    },
    /// The envelope is for another instance.
    #[error("envelope for instance {0} reached another one")]
    WrongReceiver(u16),
    /// The body exceeds the size limit.
    #[error("body of {0} bytes exceeds the limit of {limit}", limit = crate::envelope::MAX_BODY_BYTES)]
    FrameTooLarge(usize),
    /// The peer could not be connected to, or did not respond in time.
    #[error("disconnected: {0}")]
    Disconnected(String),
    /// The peer refused the request with a numbered result.
    #[error("refused with code {0}")]
    Refused(u16),
    /// A socket failed.
    #[error("socket: {0}")]
    Io(#[from] std::io::Error),
    /// Cap'n Proto failed.
    #[error("capnp: {0}")]
    Capnp(#[from] capnp::Error),
}

impl WireError {
    /// The numbered result.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::BadVersion { .. } => ResultCode::BadVersion,
            Self::WrongReceiver(_) => ResultCode::WrongReceiver,
            Self::FrameTooLarge(_) => ResultCode::FrameTooLarge,
            Self::BadFrame(_)
            | Self::Disconnected(_)
            | Self::Refused(_)
            | Self::Io(_)
            | Self::Capnp(_) => ResultCode::BadFrame,
        }
    }
}
