//! Errors of the protocol between processes.

use comfreyhold_types::prelude::ResultCode;
use thiserror::Error;

/// Reason why a message was refused, could not be sent or got no response.
#[derive(Debug, Error)]
pub enum WireError {
    /// The frame or its body can't be decoded.
    #[error("frame can't be decoded: {0}")]
    BadFrame(String),
    /// The sender uses another protocol version.
    #[error("protocol version {found} is not supported, expected {expected}")]
    BadVersion {
        /// Version of the sender.
        found: u16,
        /// Version of the receiver.
        expected: u16,
    },
    /// The envelope is for another instance, whose number is given.
    #[error("envelope for instance {0} was received by another instance")]
    WrongReceiver(u16),
    /// The body exceeds [`MAX_BODY_BYTES`](crate::envelope::MAX_BODY_BYTES). Holds its size in bytes.
    #[error("body of {0} bytes exceeds the limit of {limit}", limit = crate::envelope::MAX_BODY_BYTES)]
    FrameTooLarge(usize),
    /// No connection to the peer could be established, the connection broke, or the response timed out.
    #[error("disconnected: {0}")]
    Disconnected(String),
    /// The peer refused the request with the result code of this number.
    #[error("the peer refused the request with code {0}")]
    Refused(u16),
    /// An operation on a socket failed.
    #[error("socket error: {0}")]
    Io(#[from] std::io::Error),
    /// Cap'n Proto reported an error.
    #[error("Cap'n Proto error: {0}")]
    Capnp(#[from] capnp::Error),
}

impl WireError {
    /// Result code that stands for the error.
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
