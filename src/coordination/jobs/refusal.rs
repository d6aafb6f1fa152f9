//! Reasons for refusing a user's request.
//!
//! Each refusal has a message for the user, an HTTP status and, if a retry can succeed, the delay
//! before it in seconds. The modules of `jobs` create refusals and the transport renders them. The
//! messages are part of the interface and must not change, because users' tools may parse them.

use crate::units::JobId;
use thiserror::Error;

/// Delay in seconds before a refused request may be retried.
const RETRY_AFTER_S: u32 = 1;

/// Retry delay in seconds while some controllers do not support dependencies yet, a condition that
/// takes longer to change.
const RETRY_DEPENDENCIES_AFTER_S: u32 = 2;

/// Class of a refusal, by what the user can do about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalKind {
    /// Correct the request.
    BadRequest,
    /// Correct the job's id.
    NotFound,
    /// Change the job: it can never run.
    Unprocessable,
    /// Repeat the request later.
    Unavailable,
}

impl RefusalKind {
    /// Returns the HTTP status code of a refusal of this kind.
    pub fn http_status(self) -> u16 {
        match self {
            RefusalKind::BadRequest => 400,
            RefusalKind::NotFound => 404,
            RefusalKind::Unprocessable => 422,
            RefusalKind::Unavailable => 503,
        }
    }
}

/// Why a job can never run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InfeasibleJob {
    /// No team of this name is in the settings.
    #[error("unknown team")]
    UnknownTeam,
    /// No single machine type, in a zone that sells it, has all that a task needs.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// The tasks that must run at the same time exceed the team's limit.
    #[error("more than the team's limit")]
    OverTeamLimit,
    /// The tasks must run in different zones, but only one zone is allowed or offers a suitable machine
    /// type.
    #[error("the tasks must be spread, and may only be in one zone")]
    OneZoneOnly,
    /// The record of the job would exceed the store's limit on values.
    #[error("the job and the names it awaits are too large to be kept")]
    RecordTooLarge,
    /// The job depends on itself.
    #[error("a job cannot await itself")]
    DependsOnItself,
    /// The job depends on a service, whose tasks never end.
    #[error("{0} is a service, which is never done")]
    DependsOnService(JobId),
    /// The job depends on a job that was never accepted by any controller.
    #[error("{0} was never accepted")]
    DependencyNotFound(JobId),
}

/// Reason why a user's request is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The submission is not valid; contains the reason.
    #[error("{0}")]
    Malformed(String),
    /// The job's record cannot be serialized.
    #[error("not a job")]
    NotSerializable,
    /// The store rejected the record of the job.
    #[error("too large to keep")]
    RejectedByStore,
    /// No controller has accepted a job with this id.
    #[error("no such job")]
    JobNotFound,
    /// The job can never run.
    #[error(transparent)]
    Infeasible(#[from] InfeasibleJob),
    /// The job records or the machine types are not loaded yet.
    #[error("starting")]
    Starting,
    /// The store's rate limit is exhausted, or too many requests are waiting.
    #[error("busy")]
    Busy,
    /// The store did not answer, or its answer could not be used.
    #[error("the state service does not answer")]
    StoreUnavailable,
    /// Each attempt to cancel the job conflicted with another change of its record.
    #[error("the job is changing")]
    JobChanging,
    /// The record of the job cannot be read.
    #[error("the job cannot be read")]
    JobUnreadable,
    /// The record of a job that this one depends on cannot be read.
    #[error("a job it names cannot be read")]
    DependencyUnreadable,
    /// Whether the job is cancelled depends on a job that is still being looked up.
    #[error("a job before it is being looked up")]
    DependencyUnresolved,
    /// Some controllers don't support dependencies yet.
    #[error("jobs that await others are taken once all controllers know of them")]
    DependenciesNotEnabled,
}

impl Refusal {
    /// Returns the class of this refusal.
    pub fn kind(&self) -> RefusalKind {
        match self {
            Refusal::Malformed(_) | Refusal::NotSerializable | Refusal::RejectedByStore => RefusalKind::BadRequest,
            Refusal::JobNotFound => RefusalKind::NotFound,
            Refusal::Infeasible(_) => RefusalKind::Unprocessable,
            Refusal::Starting
            | Refusal::Busy
            | Refusal::StoreUnavailable
            | Refusal::JobChanging
            | Refusal::JobUnreadable
            | Refusal::DependencyUnreadable
            | Refusal::DependencyUnresolved
            | Refusal::DependenciesNotEnabled => RefusalKind::Unavailable,
        }
    }

    /// Returns the HTTP status code of the response.
    pub fn http_status(&self) -> u16 {
        self.kind().http_status()
    }

    /// Returns the delay in seconds before a retry, or `None` if a retry cannot succeed.
    pub fn retry_after_s(&self) -> Option<u32> {
        match (self, self.kind()) {
            (Refusal::DependenciesNotEnabled, _) => Some(RETRY_DEPENDENCIES_AFTER_S),
            (_, RefusalKind::Unavailable) => Some(RETRY_AFTER_S),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
