//! A request of an entry that has no final result yet.

use crate::attempt::{Attempt, Granted, Queued, Written};
use crate::client::{NewRequest, RESEND_FIRST};
use crate::dispatcher::LOAD_STALE;
use crate::message::{AttemptId, GrantId, HeldGrant, Pool, RequestId};
use comfreyhold_types::prelude::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Where the current attempt is.
#[derive(Debug)]
pub(crate) enum Stage {
    Queued(Attempt<Queued>, Resend),
    Granted(Attempt<Granted>),
    Written(Attempt<Written>),
}

/// When the acquire is sent again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Resend {
    pub at: Instant,
    pub interval: Duration,
}

/// A request without a final result.
#[derive(Debug)]
pub(crate) struct Request {
    pub new: NewRequest,
    pub stage: Stage,
    /// Attempts that held a slot.
    pub tries: u8,
    /// Pools that refused or were silent since the last try.
    pub tried: BTreeSet<Pool>,
    pub last_attempt: u32,
    /// When the current attempt asked for a slot.
    pub asked: Instant,
}

impl Request {
    /// Notes the refusal of the current attempt. Refusals from before a long wait tell nothing about
    /// the load now.
    pub fn note_refusal(&mut self, now: Instant, pool: Pool) {
        if now.saturating_duration_since(self.asked) >= LOAD_STALE {
            self.tried.clear();
        }
        self.tried.insert(pool);
    }

    pub fn wake_at(&self) -> Instant {
        match &self.stage {
            Stage::Queued(_, resend) => resend.at.min(self.new.deadline),
            _ => self.new.deadline,
        }
    }

    pub fn held_grant(&self, now: Instant) -> Option<HeldGrant> {
        let remaining = self.new.deadline.saturating_duration_since(now);
        let (grant, target) = match &self.stage {
            Stage::Queued(..) => return None,
            Stage::Granted(granted) => (granted.stage.grant, granted.stage.target),
            Stage::Written(written) => (written.stage.grant, written.stage.target),
        };
        Some(HeldGrant { grant, target, remaining })
    }
}

impl Stage {
    pub fn pool(&self) -> Pool {
        match self {
            Self::Queued(attempt, _) => attempt.pool,
            Self::Granted(attempt) => attempt.pool,
            Self::Written(attempt) => attempt.pool,
        }
    }

    pub fn is_written(&self) -> bool {
        matches!(self, Self::Written(_))
    }

    pub fn grant(&self) -> Option<GrantId> {
        match self {
            Self::Queued(..) => None,
            Self::Granted(attempt) => Some(attempt.stage.grant),
            Self::Written(attempt) => Some(attempt.stage.grant),
        }
    }
}

impl Resend {
    pub fn first(now: Instant) -> Self {
        Self { at: now + RESEND_FIRST, interval: RESEND_FIRST }
    }
}

/// The attempt of a request that has not asked any dispatcher yet.
pub(crate) fn unplaced(request: RequestId, service: ServiceId) -> Attempt<Queued> {
    let pool = Pool { service, domain: DomainId::default() };
    Attempt::new(AttemptId { request, number: 0 }, pool)
}

/// Requests that wait at one pool.
#[derive(Debug)]
pub(crate) struct WaitingAt {
    /// The requests.
    pub requests: BTreeSet<RequestId>,
    /// When the dispatcher must hear from this entry again.
    pub heard_until: Instant,
}

impl WaitingAt {
    pub fn new(now: Instant) -> Self {
        Self { requests: BTreeSet::new(), heard_until: now }
    }
}
