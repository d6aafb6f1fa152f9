//! User requests and the job life cycle: submission, status, cancellation, dependencies and archiving.
//!
//! A submission passes `validation` and `dependency_check` before `submission` stores its record.
//! `status_query` and `cancellation` serve later requests, through `responses`. `dependency_graph`
//! tracks which jobs wait for which others, and `dependency_release` writes the resulting record
//! changes. `completion` records the outcome of jobs whose tasks are done, and `archive` moves old
//! ended jobs to the archive. Task placement is decided in `scheduling`.

pub(crate) mod archive;
pub(crate) mod cancellation;
pub(crate) mod completion;
pub(crate) mod dependency_check;
pub(crate) mod dependency_graph;
pub(crate) mod dependency_lookup;
pub(crate) mod dependency_release;
pub(crate) mod health;
pub(crate) mod refusal;
pub(crate) mod replicas;
pub(crate) mod responses;
pub(crate) mod slice_sizing;
pub(crate) mod status_query;
pub(crate) mod submission;
pub(crate) mod validation;

use crate::protocol::state::Change;
use crate::storage::records::{job_key, JobRecord};
use crate::units::JobId;

/// Returns the change that stores a job's record. Logs an error and returns `None` if the record
/// cannot be serialized to JSON.
fn put_job_record(id: &JobId, record: &JobRecord) -> Option<Change> {
    match serde_json::to_value(record) {
        Ok(value) => Some(Change::put(job_key(id), value)),
        Err(error) => {
            tracing::error!(job = %id, %error, "failed to serialize job record");
            None
        }
    }
}
