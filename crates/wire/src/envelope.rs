//! Message envelopes and their conversion to and from Cap'n Proto, and the encoding of message bodies.

use crate::error::WireError;
use crate::peer_capnp::envelope;
use comfreyhold_types::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::{Display, FromRepr};

/// Protocol version of this build. Messages of other versions are refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum size of a message body, in bytes. Larger ones are neither sent nor accepted. The largest message carries the
/// whole state that operators have declared.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Subsystem that handles a message.
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
    /// Request counters.
    Counters = 7,
    /// Planned stops of entries.
    Lifecycle = 8,
    /// An envelope to be forwarded to a process that its sender can't reach.
    Relay = 9,
}

/// One message from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sending instance.
    pub from: InstanceId,
    /// The receiving instance.
    pub to: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Time at which it was sent, on the hybrid logical clock.
    pub stamp: HybridTimestamp,
    /// Subsystem that handles the body.
    pub topic: Topic,
    /// The encoded message, whose type depends on the topic.
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

/// Decodes a message body.
///
/// # Errors
/// The bytes aren't a message of this type, or further bytes follow it.
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

    /// Reads an envelope and checks that it is for the instance `local`.
    ///
    /// # Errors
    /// Another version, another receiver, an unknown topic, or a body that is too large.
    pub fn read(reader: envelope::Reader<'_>, local: InstanceId) -> Result<Self, WireError> {
        if reader.get_version() != PROTOCOL_VERSION {
            let found = reader.get_version();
            return Err(WireError::BadVersion { found, expected: PROTOCOL_VERSION });
        }
        if reader.get_to() != local.0 {
            return Err(WireError::WrongReceiver(reader.get_to()));
        }
        let topic = Topic::from_repr(reader.get_topic())
            .ok_or_else(|| WireError::BadFrame(format!("unknown topic {}", reader.get_topic())))?;
        let body = reader.get_body()?;
        if body.len() > MAX_BODY_BYTES {
            return Err(WireError::FrameTooLarge(body.len()));
        }
        Ok(Self {
            from: InstanceId(reader.get_from()),
            to: local,
            incarnation: Incarnation(reader.get_incarnation()),
            stamp: HybridTimestamp { wall_ms: reader.get_wall_ms(), counter: reader.get_counter() },
            topic,
            body: body.to_vec(),
        })
    }
}
