//! Replies to acquires, kept so that a resent acquire gets the same reply as the first one.

use crate::message::{AttemptId, GrantId, Message, Pool, PoolLoad};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

/// Maximum number of cached replies, about 10 MB. Beyond it the one that expires first is dropped;
/// a resend of its acquire then gets a second grant, which the entry returns unused.
pub const MAX_CACHED_REPLIES: usize = 65_536;

/// The final reply to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireReply {
    /// The attempt got a slot.
    Granted {
        /// Identifier of the grant.
        grant: GrantId,
        /// Address of the target.
        target: SocketAddr,
        /// Incarnation of the target.
        incarnation: Incarnation,
    },
    /// The attempt got no slot.
    Refused {
        /// Reason for the refusal.
        code: ResultCode,
        /// Whether another failure domain may have free slots.
        elsewhere: bool,
    },
}

impl AcquireReply {
    /// The granted slot; `None` for a refusal.
    #[must_use]
    pub fn grant(self) -> Option<GrantId> {
        match self {
            Self::Granted { grant, .. } => Some(grant),
            Self::Refused { .. } => None,
        }
    }

    /// Builds the message that carries the reply.
    #[must_use]
    pub fn message(self, attempt: AttemptId, pool: Pool, load: PoolLoad) -> Message {
        match self {
            Self::Granted { grant, target, incarnation } => {
                Message::Grant { attempt, pool, grant, target, incarnation, load }
            }
            Self::Refused { code, elsewhere } => {
                Message::Refuse { attempt, pool, code, elsewhere, load }
            }
        }
    }
}

/// Cached replies, indexed by attempt and expiry.
#[derive(Debug, Default)]
pub struct ReplyCache {
    by_attempt: BTreeMap<AttemptId, (AcquireReply, Instant)>,
    expiries: BTreeSet<(Instant, AttemptId)>,
}

impl ReplyCache {
    /// The reply that was sent to the attempt, if it is still cached.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<AcquireReply> {
        self.by_attempt.get(&attempt).map(|(reply, _)| *reply)
    }

    /// Caches a reply until the attempt's deadline.
    pub fn insert(&mut self, attempt: AttemptId, reply: AcquireReply, until: Instant) {
        if let Some((_, old)) = self.by_attempt.insert(attempt, (reply, until)) {
            self.expiries.remove(&(old, attempt));
        }
        self.expiries.insert((until, attempt));
        if self.by_attempt.len() > MAX_CACHED_REPLIES {
            self.remove_earliest();
        }
    }

    /// Drops a reply that was never sent.
    pub fn remove(&mut self, attempt: AttemptId) {
        if let Some((_, until)) = self.by_attempt.remove(&attempt) {
            self.expiries.remove(&(until, attempt));
        }
    }

    /// Drops replies whose attempts are past their deadlines.
    pub fn expire(&mut self, now: Instant) {
        while self.expiries.first().is_some_and(|(until, _)| *until <= now) {
            self.remove_earliest();
        }
    }

    fn remove_earliest(&mut self) {
        if let Some((_, attempt)) = self.expiries.pop_first() {
            self.by_attempt.remove(&attempt);
        }
    }
}
