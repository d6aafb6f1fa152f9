//! Messages of users: submissions and the status of jobs.
//!
//! The protocol's words stand here only, as serde renames and in the reasons that users read. `transport` parses
//! submissions with [`JobSpec::parse`]; `storage` keeps a [`JobSpec`] in each job's record.

use crate::units::JobId;
use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "critical")]
    Critical,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "standing")]
    Standing,
    /// Tasks that start together or not at all.
    #[serde(rename = "ensemble")]
    Gang,
}

/// A job as its user describes it. This is the form of records, in which what an
/// earlier version left out has a default; see `JobSpec::parse` for submissions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "ref")]
    pub id: JobId,
    #[serde(rename = "haul")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "rig")]
    pub kind: JobKind,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "loads")]
    pub task_count: u32,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub mem_gb: f64,
    #[serde(rename = "kit")]
    pub image: String,
    pub image_gb: f64,
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "berth", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default)]
    pub one_zone: bool,
    #[serde(default)]
    pub apart: bool,
    #[serde(rename = "driftwood", default)]
    pub spot_allowed: bool,
    #[serde(rename = "reckon_s")]
    pub estimated_run_s: f64,
    #[serde(rename = "mark_s", default)]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "stow_s", default)]
    pub checkpoint_save_s: f64,
    #[serde(rename = "tide_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts, each once.
    #[serde(rename = "awaits", default, skip_serializing, deserialize_with = "job_ids")]
    pub dependencies: Vec<JobId>,
}

/// Fields without which a submission is malformed, though a record may lack them.
/// Only what may be null may be missing there.
#[derive(Deserialize)]
struct Required {
    #[serde(rename = "gpus")]
    _gpus: IgnoredAny,
    #[serde(rename = "one_zone")]
    _one_zone: IgnoredAny,
    #[serde(rename = "apart")]
    _apart: IgnoredAny,
    #[serde(rename = "driftwood")]
    _spot: IgnoredAny,
    #[serde(rename = "mark_s")]
    _checkpoint_s: IgnoredAny,
    #[serde(rename = "stow_s")]
    _save_s: IgnoredAny,
}

/// What of a submission that is no valid one tells which job it is about.
#[derive(Deserialize)]
struct Named {
    #[serde(rename = "ref")]
    id: JobId,
}

/// Why a submission is no valid one, and the job that it names if that can be
/// read: one that was accepted before stays known, whatever its repeat says.
#[derive(Debug, Clone, PartialEq)]
pub struct Malformed {
    pub id: Option<JobId>,
    pub reason: String,
}

/// What is wrong with a submission, in the words of its fields on the wire.
#[derive(Debug, thiserror::Error)]
enum SubmissionError {
    #[error("the body is not an object")]
    NotAnObject,
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("ref is not a job id")]
    NotAJobId,
    #[error("awaits names what is not a job id")]
    DependencyNotAJobId,
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    #[error("{0} is empty or too long")]
    EmptyOrTooLong(&'static str),
    #[error("hulls or berth is too long")]
    PlacementTooLong,
    #[error("the tasks take nothing")]
    NoResources,
}

/// A list of job ids or null.
fn job_ids<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    let mut refs = Option::<Vec<JobId>>::deserialize(deserializer)?.unwrap_or_default();
    refs.sort();
    refs.dedup();
    Ok(refs)
}

/// The most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;

const JOB_ID_PREFIX: &str = "wk-";

/// What a job's id has after the prefix that all of them share.
pub fn job_id_suffix(id: &JobId) -> &str {
    id.as_str().strip_prefix(JOB_ID_PREFIX).unwrap_or(id.as_str())
}

/// The id that has this after its prefix.
pub fn job_id_from_suffix(rest: &str) -> JobId {
    JobId::new(&format!("{JOB_ID_PREFIX}{rest}"))
}

/// Ids are `wk-` and digits; anything else was never accepted.
pub fn is_valid_job_id(text: &str) -> bool {
    text.strip_prefix(JOB_ID_PREFIX)
        .is_some_and(|rest| !rest.is_empty() && rest.len() <= 40 && rest.bytes().all(|b| b.is_ascii_alphanumeric()))
}

impl JobSpec {
    /// Reads and checks a submission; the error has a short reason for its user.
    pub fn parse(body: &[u8]) -> Result<JobSpec, Malformed> {
        JobSpec::read(body).map_err(|error| {
            let mut reason = error.to_string();
            reason.truncate(reason.char_indices().nth(160).map_or(reason.len(), |(at, _)| at));
            let named = serde_json::from_slice::<Named>(body).ok().map(|named| named.id);
            Malformed { id: named.filter(|id| is_valid_job_id(id.as_str())), reason }
        })
    }

    fn read(body: &[u8]) -> Result<JobSpec, SubmissionError> {
        // serde would read a struct from a list of its fields' values too.
        if body.iter().find(|byte| !byte.is_ascii_whitespace()) != Some(&b'{') {
            return Err(SubmissionError::NotAnObject);
        }
        let spec: JobSpec = serde_json::from_slice(body)?;
        serde_json::from_slice::<Required>(body)?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), SubmissionError> {
        let amount = |name: &'static str, value: f64, least: f64| {
            if value.is_finite() && value >= least && value < 1e9 {
                Ok(())
            } else {
                Err(SubmissionError::OutOfRange(name))
            }
        };
        if !is_valid_job_id(self.id.as_str()) {
            return Err(SubmissionError::NotAJobId);
        }
        if self.dependencies.iter().any(|name| !is_valid_job_id(name.as_str())) {
            return Err(SubmissionError::DependencyNotAJobId);
        }
        if self.task_count == 0 || self.task_count > MAX_TASKS {
            return Err(SubmissionError::OutOfRange("loads"));
        }
        for (name, text) in [("haul", &self.class), ("crew", &self.team), ("kit", &self.image)] {
            if text.is_empty() || text.len() > 128 {
                return Err(SubmissionError::EmptyOrTooLong(name));
            }
        }
        let named = self.types.iter().flatten().chain(self.zone.iter());
        if named.clone().any(|n| n.len() > 128) || named.count() > 65 {
            return Err(SubmissionError::PlacementTooLong);
        }
        amount("cores", self.cpus, 0.0)?;
        amount("gpus", self.gpus, 0.0)?;
        amount("mem_gb", self.mem_gb, 0.0)?;
        if self.cpus + self.gpus + self.mem_gb <= 0.0 {
            return Err(SubmissionError::NoResources);
        }
        amount("image_gb", self.image_gb, 0.0)?;
        amount("reckon_s", self.estimated_run_s, 0.0)?;
        amount("mark_s", self.checkpoint_interval_s, 0.0)?;
        amount("stow_s", self.checkpoint_save_s, 0.0)?;
        if let Some(deadline) = self.deadline_s {
            amount("tide_s", deadline, 0.0)?;
        }
        Ok(())
    }

    /// True if all tasks must be decided on in one place.
    pub fn whole(&self) -> bool {
        self.one_zone || self.apart || self.kind != JobKind::Array
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "queued")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

#[derive(Debug, Serialize)]
pub struct JobStatus<'a> {
    #[serde(rename = "ref")]
    pub id: &'a JobId,
    #[serde(rename = "trim")]
    pub state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
