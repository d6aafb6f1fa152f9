//! Messages of users: submissions and the status of jobs.
//!
//! The protocol's words stand here only, as serde renames and in the reasons that users read. `transport` parses
//! submissions with [`JobSpec::parse`]; `storage` keeps a [`JobSpec`] in each job's record.

use crate::units::JobId;
use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer, Serialize};

/// How much a job matters, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Runs on what is left over.
    #[serde(rename = "idle")]
    Low,
    /// The usual priority.
    #[serde(rename = "normal")]
    Normal,
    /// Before usual work.
    #[serde(rename = "high")]
    High,
    /// Before all other work.
    #[serde(rename = "critical")]
    Critical,
}

/// How the tasks of a job belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Tasks that are independent of one another.
    #[serde(rename = "array")]
    Array,
    /// A service: replicas that never end by themselves.
    #[serde(rename = "standing")]
    Service,
    /// Tasks that start together or not at all.
    #[serde(rename = "ensemble")]
    Gang,
}

/// A job as its user describes it. This is the form of records, in which what an
/// earlier version left out has a default; see `JobSpec::parse` for submissions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its unique id, chosen by its user.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// The class, which objectives and estimates go by.
    #[serde(rename = "haul")]
    pub class: String,
    /// The team that it belongs to.
    #[serde(rename = "crew")]
    pub team: String,
    /// How its tasks belong together.
    #[serde(rename = "rig")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// How many tasks it has, at most [`MAX_TASKS`].
    #[serde(rename = "loads")]
    pub task_count: u32,
    /// Processor cores of a task.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// Graphics processors of a task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of a task in gigabytes.
    pub mem_gb: f64,
    /// The container image of its tasks.
    #[serde(rename = "kit")]
    pub image: String,
    /// The size of the image in gigabytes.
    pub image_gb: f64,
    /// The machine types that its tasks may run on; none: any.
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The availability zone that its tasks must run in; none: any.
    #[serde(rename = "berth", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must run in the same zone.
    #[serde(default)]
    pub one_zone: bool,
    /// The tasks must be spread over zones, at most half of them in one.
    #[serde(default)]
    pub apart: bool,
    /// Its tasks may run on spot machines.
    #[serde(rename = "driftwood", default)]
    pub spot_allowed: bool,
    /// How long a task is estimated to run, in seconds.
    #[serde(rename = "reckon_s")]
    pub estimated_run_s: f64,
    /// How often a task saves a checkpoint, in seconds; 0: never.
    #[serde(rename = "mark_s", default)]
    pub checkpoint_interval_s: f64,
    /// How long saving a checkpoint takes when the task is stopped, in seconds.
    #[serde(rename = "stow_s", default)]
    pub checkpoint_save_s: f64,
    /// By when it should be done, in seconds from its acceptance; none: no deadline.
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

/// The part of a malformed submission that names its job.
#[derive(Deserialize)]
struct Named {
    #[serde(rename = "ref")]
    id: JobId,
}

/// A malformed submission. A job that was accepted before stays known, whatever its repeated submission says.
#[derive(Debug, Clone, PartialEq)]
pub struct MalformedSubmission {
    /// The job that it names, if that can be read and is a job id.
    pub id: Option<JobId>,
    /// What is wrong with it, shortened, for its user.
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

/// The longest reason that a user gets, in characters.
const MAX_REASON_CHARS: usize = 160;

/// The most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;

const JOB_ID_PREFIX: &str = "wk-";

/// The part of a job's id after the prefix that all ids share.
pub fn job_id_suffix(id: &JobId) -> &str {
    id.as_str().strip_prefix(JOB_ID_PREFIX).unwrap_or(id.as_str())
}

/// The job id with this part after the prefix.
pub fn job_id_from_suffix(rest: &str) -> JobId {
    JobId::new(&format!("{JOB_ID_PREFIX}{rest}"))
}

/// True for a text that may be a job id: the prefix and up to 40 ASCII letters and digits.
pub fn is_valid_job_id(text: &str) -> bool {
    text.strip_prefix(JOB_ID_PREFIX)
        .is_some_and(|rest| !rest.is_empty() && rest.len() <= 40 && rest.bytes().all(|b| b.is_ascii_alphanumeric()))
}

impl JobSpec {
    /// Parses and checks a submission.
    ///
    /// # Errors
    ///
    /// [`MalformedSubmission`] if it is no JSON object, lacks a field, or has a value of the wrong type or out of range.
    pub fn parse(body: &[u8]) -> Result<JobSpec, MalformedSubmission> {
        JobSpec::read(body).map_err(|error| {
            let mut reason = error.to_string();
            reason.truncate(reason.char_indices().nth(MAX_REASON_CHARS).map_or(reason.len(), |(at, _)| at));
            let named = serde_json::from_slice::<Named>(body).ok().map(|named| named.id);
            MalformedSubmission { id: named.filter(|id| is_valid_job_id(id.as_str())), reason }
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

    /// True if all tasks must be placed together, by the owner of one shard.
    pub fn requires_single_shard(&self) -> bool {
        self.one_zone || self.apart || self.kind != JobKind::Array
    }
}

/// The state of a job, as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task runs.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// It was cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission, a query or a cancellation.
#[derive(Debug, Serialize)]
pub struct JobStatus<'a> {
    /// The job.
    #[serde(rename = "ref")]
    pub id: &'a JobId,
    /// Its state.
    #[serde(rename = "trim")]
    pub state: JobState,
    /// How many of its tasks are done, if that is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// How many of its tasks run, if that is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
