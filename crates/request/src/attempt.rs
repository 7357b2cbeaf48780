//! Life cycle of an attempt as a typestate: queued, granted, written, finished. Once the first byte
//! is written, only a [`TargetRefusal`] can lead to a not-run code.

use crate::message::{AttemptId, GrantId, Pool, SlotOutcome};
use comfreyhold_types::prelude::*;
use std::net::SocketAddr;
use std::time::Instant;

/// Response header in which a target states whether it ran the request.
pub const EXECUTED_HEADER: &str = "X-Request-Executed";

/// Why an attempt ended before anything was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// A dispatcher refused with this code.
    Refused(RefusalCode),
    /// No dispatcher replied.
    NoDispatcher,
    /// The deadline passed.
    Deadline,
    /// The caller disconnected.
    Cancelled,
    /// The connection to the target failed.
    Unreachable,
    /// This entry is stopping.
    Stopping,
}

/// A refusal code of a dispatcher, checked to be of family 1xxx.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalCode(ResultCode);

impl RefusalCode {
    /// Checks the code. A code of any other family becomes [`ResultCode::NoDispatcher`], which
    /// holds for every request without a grant.
    #[must_use]
    pub fn new(code: ResultCode) -> Self {
        if code.family() == Family::NotRun { Self(code) } else { Self(ResultCode::NoDispatcher) }
    }
}

impl NotRunCause {
    fn code(self) -> ResultCode {
        match self {
            Self::Refused(code) => code.0,
            Self::NoDispatcher => ResultCode::NoDispatcher,
            Self::Deadline => ResultCode::DeadlineBeforeStart,
            Self::Cancelled => ResultCode::CancelledBeforeStart,
            Self::Unreachable => ResultCode::TargetUnreachable,
            Self::Stopping => ResultCode::Stopping,
        }
    }
}

/// Why the outcome of a written attempt is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownCause {
    /// No complete response arrived.
    AnswerLost,
    /// The deadline passed.
    Deadline,
    /// The caller disconnected.
    Cancelled,
    /// The target's failure domain was withdrawn.
    DomainOut,
}

impl UnknownCause {
    fn code(self) -> ResultCode {
        match self {
            Self::AnswerLost => ResultCode::AnswerLost,
            Self::Deadline => ResultCode::DeadlineWhileRunning,
            Self::Cancelled => ResultCode::CancelledWhileRunning,
            Self::DomainOut => ResultCode::DomainOutWhileRunning,
        }
    }

    fn outcome(self) -> SlotOutcome {
        match self {
            Self::AnswerLost => SlotOutcome::Unknown,
            Self::Deadline | Self::Cancelled | Self::DomainOut => SlotOutcome::Cancelled,
        }
    }
}

/// Proof that a target refused a request before it ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetRefusal(());

impl TargetRefusal {
    /// Reads the refusal from a response's status and its [`EXECUTED_HEADER`].
    #[must_use]
    pub fn from_response(status: u16, executed: Option<&str>) -> Option<Self> {
        let refused = executed.is_some_and(|value| value.trim().eq_ignore_ascii_case("false"));
        (status == 503 && refused).then_some(Self(()))
    }
}

/// Stage of an attempt that waits for a slot at a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Queued;

/// Stage of an attempt that holds a slot and has written nothing.
#[derive(Clone, Copy, Debug)]
pub struct Granted {
    /// Identifier of the grant.
    pub grant: GrantId,
    /// Address of the target.
    pub target: SocketAddr,
}

/// Stage of an attempt that has written at least one byte.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    /// Identifier of the grant.
    pub grant: GrantId,
    /// Address of the target.
    pub target: SocketAddr,
    /// When the first byte was written.
    pub at: Instant,
}

/// Stage of an attempt that has its result.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// Result code of the attempt.
    pub code: ResultCode,
    /// The grant to release and how its use ended; `None` if no slot was held.
    pub release: Option<(GrantId, SlotOutcome)>,
}

/// An attempt in one stage of its life cycle.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<S> {
    /// Identifier of the attempt.
    pub id: AttemptId,
    /// Pool that the slot was requested from.
    pub pool: Pool,
    /// Data of the stage.
    pub stage: S,
}

impl<S> Attempt<S> {
    fn into<T>(self, stage: T) -> Attempt<T> {
        Attempt { id: self.id, pool: self.pool, stage }
    }
}

impl Attempt<Queued> {
    /// Creates an attempt that waits at the pool's dispatcher.
    #[must_use]
    pub fn new(id: AttemptId, pool: Pool) -> Self {
        Self { id, pool, stage: Queued }
    }

    /// Records the grant of a slot.
    #[must_use]
    pub fn granted(self, grant: GrantId, target: SocketAddr) -> Attempt<Granted> {
        self.into(Granted { grant, target })
    }

    /// Ends the attempt without a slot.
    #[must_use]
    pub fn not_run(self, cause: NotRunCause) -> Attempt<Finished> {
        self.into(Finished { code: cause.code(), release: None })
    }
}

impl Attempt<Granted> {
    /// Records that the first byte is being written.
    #[must_use]
    pub fn written(self, at: Instant) -> Attempt<Written> {
        let Granted { grant, target } = self.stage;
        self.into(Written { grant, target, at })
    }

    /// Ends the attempt with nothing written.
    #[must_use]
    pub fn not_run(self, cause: NotRunCause) -> Attempt<Finished> {
        let unreachable = cause == NotRunCause::Unreachable;
        let outcome = if unreachable { SlotOutcome::Failed } else { SlotOutcome::Unused };
        let release = Some((self.stage.grant, outcome));
        self.into(Finished { code: cause.code(), release })
    }

    /// Ends the attempt with nothing written, since the register refused the request's key with
    /// this code.
    #[must_use]
    pub fn key_not_won(self, code: ResultCode) -> Attempt<Finished> {
        let release = Some((self.stage.grant, SlotOutcome::Unused));
        self.into(Finished { code, release })
    }
}

impl Attempt<Written> {
    /// Ends the attempt with a complete response.
    #[must_use]
    pub fn answered(self, now: Instant) -> Attempt<Finished> {
        let took = now.saturating_duration_since(self.stage.at);
        let release = Some((self.stage.grant, SlotOutcome::Answered { took }));
        self.into(Finished { code: ResultCode::Ok, release })
    }

    /// Ends the attempt with the target's refusal to run the request.
    #[must_use]
    pub fn refused(self, _proof: TargetRefusal) -> Attempt<Finished> {
        let release = Some((self.stage.grant, SlotOutcome::Refused));
        self.into(Finished { code: ResultCode::TargetRefused, release })
    }

    /// Ends the attempt without a complete response.
    #[must_use]
    pub fn unknown(self, cause: UnknownCause) -> Attempt<Finished> {
        let release = Some((self.stage.grant, cause.outcome()));
        self.into(Finished { code: cause.code(), release })
    }
}
