//! State of a request without a final result.

use crate::attempt::{Attempt, Granted, Queued, Written};
use crate::client::{INITIAL_RESEND_INTERVAL, NewRequest};
use crate::dispatcher::MAX_LOAD_REPORT_AGE;
use crate::message::{AttemptId, GrantId, HeldGrant, Pool, RequestId};
use comfreyhold_types::prelude::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Stage of a request's current attempt.
#[derive(Debug)]
pub(crate) enum AttemptStage {
    Queued(Attempt<Queued>, ResendTimer),
    Granted(Attempt<Granted>),
    Written(Attempt<Written>),
}

/// Next resend of an acquire.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResendTimer {
    pub at: Instant,
    pub interval: Duration,
}

/// A request without a final result, and its current attempt.
#[derive(Debug)]
pub(crate) struct Request {
    pub params: NewRequest,
    pub stage: AttemptStage,
    /// Number of attempts that got a slot.
    pub granted_attempts: u8,
    /// Pools that have refused and are not asked again for now.
    pub tried_pools: BTreeSet<Pool>,
    pub last_attempt_number: u32,
    /// When the current attempt first requested a slot.
    pub requested_at: Instant,
}

impl Request {
    /// Records the refusal of the current attempt. Earlier refusals are forgotten when the attempt
    /// waited longer than load reports are valid, since they no longer reflect the load.
    pub fn record_refusal(&mut self, now: Instant, pool: Pool) {
        if now.saturating_duration_since(self.requested_at) >= MAX_LOAD_REPORT_AGE {
            self.tried_pools.clear();
        }
        self.tried_pools.insert(pool);
    }

    pub fn wake_at(&self) -> Instant {
        match &self.stage {
            AttemptStage::Queued(_, resend) => resend.at.min(self.params.deadline),
            _ => self.params.deadline,
        }
    }

    pub fn held_grant(&self, now: Instant) -> Option<HeldGrant> {
        let remaining = self.params.deadline.saturating_duration_since(now);
        let (grant, target) = match &self.stage {
            AttemptStage::Queued(..) => return None,
            AttemptStage::Granted(granted) => (granted.stage.grant, granted.stage.target),
            AttemptStage::Written(written) => (written.stage.grant, written.stage.target),
        };
        Some(HeldGrant { grant, target, remaining })
    }
}

impl AttemptStage {
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

impl ResendTimer {
    pub fn first(now: Instant) -> Self {
        Self { at: now + INITIAL_RESEND_INTERVAL, interval: INITIAL_RESEND_INTERVAL }
    }
}

/// The placeholder attempt of a request that has not been assigned to a dispatcher yet.
pub(crate) fn unassigned_attempt(request: RequestId, service: ServiceId) -> Attempt<Queued> {
    let pool = Pool { service, domain: DomainId::default() };
    Attempt::new(AttemptId { request, number: 0 }, pool)
}

/// Requests that wait at one pool's dispatcher.
#[derive(Debug)]
pub(crate) struct PoolWaiters {
    pub requests: BTreeSet<RequestId>,
    /// When the next message to the dispatcher is due.
    pub keepalive_at: Instant,
}

impl PoolWaiters {
    pub fn new(now: Instant) -> Self {
        Self { requests: BTreeSet::new(), keepalive_at: now }
    }
}
