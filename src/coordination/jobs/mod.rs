//! What users ask for: submission, status, cancellation, dependencies and the archive.
//!
//! A submission passes `validation` and `dependency_check` before `submission` stores its record.
//! `status_query` and `cancellation` answer later requests, through `responses`. `dependency_graph`
//! says which jobs wait for which; `dependency_release` writes what follows from it. `completion`
//! writes the end of jobs whose tasks are done, `archive` moves old ones away. Where tasks run is
//! decided in `scheduling`, never here.

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

/// The change that stores a job's record. None, with a log line, if the record has no JSON form.
fn put_job_record(id: &JobId, record: &JobRecord) -> Option<Change> {
    match serde_json::to_value(record) {
        Ok(value) => Some(Change::put(job_key(id), value)),
        Err(error) => {
            tracing::error!(job = %id, %error, "failed to serialize job record");
            None
        }
    }
}
