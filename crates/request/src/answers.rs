//! Answers that a dispatcher gave, kept so that a resent acquire gets the same one.

use crate::message::{AttemptId, GrantId, Message, Pool, PoolLoad};
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

/// Answers kept at most, about 10 MB. Beyond it the one that expires first is dropped. A resend of its
/// acquire would then get a second grant, which the entry returns unused.
pub const MAX_ANSWERS: usize = 65_536;

/// The final answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It got a slot.
    Granted {
        /// The grant.
        grant: GrantId,
        /// The target.
        target: SocketAddr,
        /// The target's start number.
        incarnation: Incarnation,
    },
    /// It got none.
    Refused {
        /// Why.
        code: ResultCode,
        /// Whether another failure domain may have room.
        elsewhere: bool,
    },
}

impl Answer {
    /// The grant, if it is one.
    #[must_use]
    pub fn grant(self) -> Option<GrantId> {
        match self {
            Self::Granted { grant, .. } => Some(grant),
            Self::Refused { .. } => None,
        }
    }

    /// The message that carries the answer.
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

/// The kept answers.
#[derive(Debug, Default)]
pub struct Answers {
    by_attempt: BTreeMap<AttemptId, (Answer, Instant)>,
    expiries: BTreeSet<(Instant, AttemptId)>,
}

impl Answers {
    /// The answer that the attempt got.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<Answer> {
        self.by_attempt.get(&attempt).map(|(answer, _)| *answer)
    }

    /// Keeps an answer until the attempt's deadline.
    pub fn insert(&mut self, attempt: AttemptId, answer: Answer, until: Instant) {
        if let Some((_, old)) = self.by_attempt.insert(attempt, (answer, until)) {
            self.expiries.remove(&(old, attempt));
        }
        self.expiries.insert((until, attempt));
        if self.by_attempt.len() > MAX_ANSWERS {
            self.drop_first();
        }
    }

    /// Drops an answer that was not sent.
    pub fn remove(&mut self, attempt: AttemptId) {
        if let Some((_, until)) = self.by_attempt.remove(&attempt) {
            self.expiries.remove(&(until, attempt));
        }
    }

    /// Drops answers whose attempts have ended.
    pub fn expire(&mut self, now: Instant) {
        while self.expiries.first().is_some_and(|(until, _)| *until <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, attempt)) = self.expiries.pop_first() {
            self.by_attempt.remove(&attempt);
        }
    }
}
