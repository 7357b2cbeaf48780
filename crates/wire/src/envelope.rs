//! Envelopes and their conversion to and from Cap'n Proto.

use crate::error::WireError;
use crate::peer_capnp::envelope;
use comfreyhold_types::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::{Display, FromRepr};

/// Protocol version of this build.
pub const PROTOCOL_VERSION: u16 = 1;

/// Largest message body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Which core a message is for.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    FromRepr,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum Topic {
    /// Packet flows.
    Flow = 1,
    /// Request admission and idempotency keys.
    Request = 2,
    /// Replicated log.
    Consensus = 3,
    /// Failure detection.
    Detector = 4,
    /// Target registry.
    Registry = 5,
    /// Installation of revisions.
    Rollout = 6,
    /// Counters.
    Counters = 7,
    /// Planned stops of entries.
    Lifecycle = 8,
    /// An envelope to be passed on to a process that its sender can't reach.
    Relay = 9,
}

/// One message from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: InstanceId,
    /// Receiver.
    pub to: InstanceId,
    /// Start number of the sender.
    pub incarnation: Incarnation,
    /// When it was sent, on the hybrid logical clock.
    pub stamp: HybridTimestamp,
    /// Which core it is for.
    pub topic: Topic,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// Encodes a message body.
///
/// # Errors
/// The message can't be encoded, or exceeds [`MAX_BODY_BYTES`].
pub fn encode_body<T: Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    let body = postcard::to_stdvec(message).map_err(|e| WireError::BadFrame(e.to_string()))?;
    if body.len() > MAX_BODY_BYTES {
        return Err(WireError::FrameTooLarge(body.len()));
    }
    Ok(body)
}

/// Decodes a message body; trailing bytes are refused.
///
/// # Errors
/// The bytes aren't a message of this type.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, WireError> {
    let (message, rest) =
        postcard::take_from_bytes(body).map_err(|e| WireError::BadFrame(e.to_string()))?;
    if rest.is_empty() {
        return Ok(message);
    }
    Err(WireError::BadFrame(format!("{} bytes follow the message", rest.len())))
}

impl Envelope {
    /// Writes the envelope into a Cap'n Proto builder.
    pub fn write(&self, mut out: envelope::Builder<'_>) {
        out.set_version(PROTOCOL_VERSION);
        out.set_from(self.from.0);
        out.set_to(self.to.0);
        out.set_incarnation(self.incarnation.0);
        out.set_wall_ms(self.stamp.wall_ms);
        out.set_counter(self.stamp.counter);
        out.set_topic(self.topic as u16);
        out.set_body(&self.body);
    }

    /// Reads and checks an envelope for the instance `local`.
    ///
    /// # Errors
    /// Another version, another receiver, an unknown topic, or a body that is too large.
    pub fn read(from: envelope::Reader<'_>, local: InstanceId) -> Result<Self, WireError> {
        if from.get_version() != PROTOCOL_VERSION {
            let found = from.get_version();
            return Err(WireError::BadVersion { found, expected: PROTOCOL_VERSION });
        }
        if from.get_to() != local.0 {
            return Err(WireError::WrongReceiver(from.get_to()));
        }
        let topic = Topic::from_repr(from.get_topic())
            .ok_or_else(|| WireError::BadFrame(format!("unknown topic {}", from.get_topic())))?;
        let body = from.get_body()?;
        if body.len() > MAX_BODY_BYTES {
            return Err(WireError::FrameTooLarge(body.len()));
        }
        Ok(Self {
            from: InstanceId(from.get_from()),
            to: local,
            incarnation: Incarnation(from.get_incarnation()),
            stamp: HybridTimestamp { wall_ms: from.get_wall_ms(), counter: from.get_counter() },
            topic,
            body: body.to_vec(),
        })
    }
}
