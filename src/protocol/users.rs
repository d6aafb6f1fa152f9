//! Messages of users: job submissions and job status.
//!
//! Serde renames map the fields to the names on the wire, which error messages to users also use. `transport` parses
//! submissions with [`JobSpec::parse`]; `storage` keeps a [`JobSpec`] in the record of each job.

use crate::units::JobId;
use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer, Serialize};

/// Priority of a job, from lowest to highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Uses the capacity that other jobs leave over.
    #[serde(rename = "idle")]
    Low,
    /// Usual priority.
    #[serde(rename = "normal")]
    Normal,
    /// Takes precedence over normal jobs.
    #[serde(rename = "high")]
    High,
    /// Takes precedence over all other jobs.
    #[serde(rename = "critical")]
    Critical,
}

/// How the tasks of a job relate to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks.
    #[serde(rename = "array")]
    Array,
    /// Replicas of a service, which run until they are stopped.
    #[serde(rename = "standing")]
    Service,
    /// Tasks of which either all start together or none.
    #[serde(rename = "ensemble")]
    Gang,
}

/// Specification of a job as submitted by its user.
///
/// Deserializing it accepts stored records, in which fields that an earlier version did not write have defaults.
/// [`JobSpec::parse`] applies the stricter rules for submissions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id, chosen by the user.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Job class, which selects the service-level objectives and the estimates for the job.
    #[serde(rename = "haul")]
    pub class: String,
    /// Name of the team whose quota the job uses.
    #[serde(rename = "crew")]
    pub team: String,
    /// How the tasks relate to one another.
    #[serde(rename = "rig")]
    pub kind: JobKind,
    /// Scheduling priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    #[serde(rename = "loads")]
    pub task_count: u32,
    /// Processor cores per task.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs per task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory per task in gigabytes.
    pub mem_gb: f64,
    /// Container image of the tasks.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image in gigabytes.
    pub image_gb: f64,
    /// Machine types that the tasks may run on; `None` allows all.
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Availability zone that the tasks must run in; `None` allows all.
    #[serde(rename = "berth", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// True if all tasks must run in the same zone.
    #[serde(default)]
    pub one_zone: bool,
    /// True if the tasks must be spread over zones, with at most half of them in one zone.
    #[serde(default)]
    pub apart: bool,
    /// True if the tasks may run on spot machines.
    #[serde(rename = "driftwood", default)]
    pub spot_allowed: bool,
    /// Estimated run time of a task in seconds.
    #[serde(rename = "reckon_s")]
    pub estimated_run_s: f64,
    /// Interval between checkpoints of a task in seconds; 0 if the tasks save no checkpoints.
    #[serde(rename = "mark_s", default)]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "stow_s", default)]
    pub checkpoint_save_s: f64,
    /// Deadline in seconds after the job was accepted; `None` if it has no deadline.
    #[serde(rename = "tide_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this job starts, sorted and without duplicates.
    #[serde(rename = "awaits", default, skip_serializing, deserialize_with = "deserialize_job_ids")]
    pub dependencies: Vec<JobId>,
}

/// Fields that a submission must have although a stored record may lack them. The only fields that a submission may
/// omit are those that may be null.
#[derive(Deserialize)]
struct RequiredFields {
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

/// The job id of a submission that is otherwise malformed.
#[derive(Deserialize)]
struct SubmittedId {
    #[serde(rename = "ref")]
    id: JobId,
}

/// A malformed submission. Keeps the job id, because a job that was accepted earlier stays valid even if a repeated
/// submission of it is malformed.
#[derive(Debug, Clone, PartialEq)]
pub struct MalformedSubmission {
    /// The submission's job id, if it can be parsed and is valid.
    pub id: Option<JobId>,
    /// Error message for the user, truncated.
    pub reason: String,
}

/// Reason why a submission is malformed. The messages use the field names on the wire.
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

/// Deserializes a list of job ids or null, and returns the ids sorted and without duplicates.
fn deserialize_job_ids<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    let mut ids = Option::<Vec<JobId>>::deserialize(deserializer)?.unwrap_or_default();
    ids.sort();
    ids.dedup();
    Ok(ids)
}

/// Error messages to users are truncated to this length.
const MAX_REASON_CHARS: usize = 160;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// Prefix of every job id.
const JOB_ID_PREFIX: &str = "wk-";

/// Returns the part of a job id after the common prefix.
pub fn job_id_suffix(id: &JobId) -> &str {
    id.as_str().strip_prefix(JOB_ID_PREFIX).unwrap_or(id.as_str())
}

/// Returns the job id with the given part after the common prefix.
pub fn job_id_from_suffix(suffix: &str) -> JobId {
    JobId::new(&format!("{JOB_ID_PREFIX}{suffix}"))
}

/// True if the text is a valid job id: the prefix followed by 1 to 40 ASCII letters and digits.
pub fn is_valid_job_id(text: &str) -> bool {
    text.strip_prefix(JOB_ID_PREFIX).is_some_and(|suffix| {
        !suffix.is_empty() && suffix.len() <= 40 && suffix.bytes().all(|b| b.is_ascii_alphanumeric())
    })
}

impl JobSpec {
    /// Parses and validates a submission.
    ///
    /// # Errors
    ///
    /// [`MalformedSubmission`] if the body is not a JSON object, a field is missing, or a value has the wrong type
    /// or is out of range.
    pub fn parse(body: &[u8]) -> Result<JobSpec, MalformedSubmission> {
        JobSpec::parse_and_validate(body).map_err(|error| {
            let mut reason = error.to_string();
            reason.truncate(reason.char_indices().nth(MAX_REASON_CHARS).map_or(reason.len(), |(at, _)| at));
            let id = serde_json::from_slice::<SubmittedId>(body).ok().map(|submitted| submitted.id);
            MalformedSubmission { id: id.filter(|id| is_valid_job_id(id.as_str())), reason }
        })
    }

    /// Like [`JobSpec::parse`], but returns the typed error without the job id.
    fn parse_and_validate(body: &[u8]) -> Result<JobSpec, SubmissionError> {
        // serde would also deserialize a struct from a JSON array of its field values.
        if body.iter().find(|byte| !byte.is_ascii_whitespace()) != Some(&b'{') {
            return Err(SubmissionError::NotAnObject);
        }
        let spec: JobSpec = serde_json::from_slice(body)?;
        serde_json::from_slice::<RequiredFields>(body)?;
        spec.validate()?;
        Ok(spec)
    }

    /// Checks the ids, the lengths of texts and the ranges of numbers.
    fn validate(&self) -> Result<(), SubmissionError> {
        let check_range = |name: &'static str, value: f64, min: f64| {
            if value.is_finite() && value >= min && value < 1e9 {
                Ok(())
            } else {
                Err(SubmissionError::OutOfRange(name))
            }
        };
        if !is_valid_job_id(self.id.as_str()) {
            return Err(SubmissionError::NotAJobId);
        }
        if self.dependencies.iter().any(|id| !is_valid_job_id(id.as_str())) {
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
        let placement_names = self.types.iter().flatten().chain(self.zone.iter());
        if placement_names.clone().any(|name| name.len() > 128) || placement_names.count() > 65 {
            return Err(SubmissionError::PlacementTooLong);
        }
        check_range("cores", self.cpus, 0.0)?;
        check_range("gpus", self.gpus, 0.0)?;
        check_range("mem_gb", self.mem_gb, 0.0)?;
        if self.cpus + self.gpus + self.mem_gb <= 0.0 {
            return Err(SubmissionError::NoResources);
        }
        check_range("image_gb", self.image_gb, 0.0)?;
        check_range("reckon_s", self.estimated_run_s, 0.0)?;
        check_range("mark_s", self.checkpoint_interval_s, 0.0)?;
        check_range("stow_s", self.checkpoint_save_s, 0.0)?;
        if let Some(deadline) = self.deadline_s {
            check_range("tide_s", deadline, 0.0)?;
        }
        Ok(())
    }

    /// True if the owner of a single shard must place all tasks together: the job is not an array, or it constrains
    /// the zones of its tasks relative to one another.
    pub fn requires_single_shard(&self) -> bool {
        self.one_zone || self.apart || self.kind != JobKind::Array
    }
}

/// State of a job as reported to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task is running.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Response to a submission, a status query or a cancellation.
#[derive(Debug, Serialize)]
pub struct JobStatus<'a> {
    /// Id of the job.
    #[serde(rename = "ref")]
    pub id: &'a JobId,
    /// Current state of the job.
    #[serde(rename = "trim")]
    pub state: JobState,
    /// Number of tasks that are done; `None` if unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks that are running; `None` if unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
