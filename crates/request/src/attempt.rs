//! Life cycle of an attempt as a typestate: queued, granted, written, finished. Once the first byte is
//! written, a not-run code can only come from a [`TargetRefusal`].

use crate::message::{AttemptId, GrantId, Pool, SlotOutcome};
use comfreyhold_types::prelude::*;
use std::net::SocketAddr;
use std::time::Instant;

/// Header by which a target states whether it ran a request.
pub const EXECUTED_HEADER: &str = "X-Request-Executed";

/// Why an attempt that was never written ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// A dispatcher refused with this code.
    Refused(RefusalCode),
    /// No dispatcher answered.
    NoDispatcher,
    /// The deadline passed.
    Deadline,
    /// The caller left.
    Cancelled,
    /// The target could not be connected to.
    Unreachable,
    /// This entry is stopping.
    Stopping,
}

/// A dispatcher's code, checked to be of family 1xxx.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalCode(ResultCode);

impl RefusalCode {
    /// Checks the code; any other family counts as [`ResultCode::NoDispatcher`], which is true of a
    /// request that was not granted.
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
    /// No whole response came.
    AnswerLost,
    /// The deadline passed.
    Deadline,
    /// The caller left.
    Cancelled,
    /// The target's failure domain was taken out.
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

/// Waits at a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Queued;

/// Holds a slot; nothing is written.
#[derive(Clone, Copy, Debug)]
pub struct Granted {
    /// The grant.
    pub grant: GrantId,
    /// Its target.
    pub target: SocketAddr,
}

/// At least one byte is written.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    /// The grant.
    pub grant: GrantId,
    /// Its target.
    pub target: SocketAddr,
    /// When the first byte was written.
    pub at: Instant,
}

/// Has its result.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// The result.
    pub code: ResultCode,
    /// The grant to release and how its use ended.
    pub release: Option<(GrantId, SlotOutcome)>,
}

/// An attempt in a stage of its life.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<S> {
    /// The attempt.
    pub id: AttemptId,
    /// Targets that were asked for.
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
    /// Begins an attempt.
    #[must_use]
    pub fn new(id: AttemptId, pool: Pool) -> Self {
        Self { id, pool, stage: Queued }
    }

    /// The dispatcher granted a slot.
    #[must_use]
    pub fn granted(self, grant: GrantId, target: SocketAddr) -> Attempt<Granted> {
        self.into(Granted { grant, target })
    }

    /// Ends without a slot.
    #[must_use]
    pub fn not_run(self, cause: NotRunCause) -> Attempt<Finished> {
        self.into(Finished { code: cause.code(), release: None })
    }
}

impl Attempt<Granted> {
    /// The first byte is written.
    #[must_use]
    pub fn written(self, at: Instant) -> Attempt<Written> {
        let Granted { grant, target } = self.stage;
        self.into(Written { grant, target, at })
    }

    /// Ends with nothing written.
    #[must_use]
    pub fn not_run(self, cause: NotRunCause) -> Attempt<Finished> {
        let unreachable = cause == NotRunCause::Unreachable;
        let outcome = if unreachable { SlotOutcome::Failed } else { SlotOutcome::Unused };
        let release = Some((self.stage.grant, outcome));
        self.into(Finished { code: cause.code(), release })
    }

    /// Ends with nothing written, since the request's key was not won. `code` is the register's.
    #[must_use]
    pub fn key_not_won(self, code: ResultCode) -> Attempt<Finished> {
        let release = Some((self.stage.grant, SlotOutcome::Unused));
        self.into(Finished { code, release })
    }
}

impl Attempt<Written> {
    /// A whole response arrived.
    #[must_use]
    pub fn answered(self, now: Instant) -> Attempt<Finished> {
        let took = now.saturating_duration_since(self.stage.at);
        let release = Some((self.stage.grant, SlotOutcome::Answered { took }));
        self.into(Finished { code: ResultCode::Ok, release })
    }

    /// The target refused before running.
    #[must_use]
    pub fn refused(self, _proof: TargetRefusal) -> Attempt<Finished> {
        let release = Some((self.stage.grant, SlotOutcome::Refused));
        self.into(Finished { code: ResultCode::TargetRefused, release })
    }

    /// No whole response arrived.
    #[must_use]
    pub fn unknown(self, cause: UnknownCause) -> Attempt<Finished> {
        let release = Some((self.stage.grant, cause.outcome()));
        self.into(Finished { code: cause.code(), release })
    }
}
