//! Why a request of a user is not carried out.
//!
//! Each refusal has a text for its user, an HTTP status and, if repeating the request can help, the
//! seconds to wait before. All modules of `jobs` build them, and the transport renders them. Users'
//! tools may read the texts, so they don't change.

use crate::units::JobId;
use thiserror::Error;

/// Seconds after which a refused request may be repeated.
const RETRY_AFTER_S: u32 = 1;

/// The same while some controllers don't support dependencies yet: that takes longer to change.
const RETRY_DEPENDENCIES_AFTER_S: u32 = 2;

/// What a user can do about a refusal.
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
    /// The HTTP status of a response of this kind.
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
    /// What has to run at the same time exceeds the team's limit.
    #[error("more than the team's limit")]
    OverTeamLimit,
    /// The tasks need several zones and only one is allowed or sells their machines.
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
    /// The job depends on one that no controller accepted.
    #[error("{0} was never accepted")]
    DependencyNotFound(JobId),
}

/// Why a request of a user is not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The submission is not valid, for this reason.
    #[error("{0}")]
    Malformed(String),
    /// The job has no form that can be stored.
    #[error("not a job")]
    NotSerializable,
    /// The store rejected the record of the job.
    #[error("too large to keep")]
    RejectedByStore,
    /// No controller accepted a job of this id.
    #[error("no such job")]
    JobNotFound,
    /// The job can never run.
    #[error(transparent)]
    Infeasible(#[from] InfeasibleJob),
    /// The records or the machine types are not loaded yet.
    #[error("starting")]
    Starting,
    /// The request would take more of the store's rate limit than is left, or too many wait.
    #[error("busy")]
    Busy,
    /// The store did not answer, or answered what cannot be read.
    #[error("the state service does not answer")]
    StoreUnavailable,
    /// Other changes of the job's record came before the cancellation each time.
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
    /// What the user can do about it.
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

    /// The HTTP status of the response.
    pub fn http_status(&self) -> u16 {
        self.kind().http_status()
    }

    /// Seconds after which the request may be repeated; none if repeating it cannot help.
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
