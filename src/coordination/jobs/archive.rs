//! Archive of ended jobs, stored under keys that no controller watches.
//!
//! The leader moves ended jobs into the archive. A controller reads an archived job when a user asks
//! for it and caches the result. Archived jobs are never deleted.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{Core, Refusal};
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::cache::Job;
use crate::storage::records::{archived_job_key, job_key, ArchivedJob, JobOutcome, LEADER_KEY};
use crate::units::{JobId, RequestId};

/// Minimum age of an ended job before it is archived, in seconds. Younger jobs are still queried by
/// their users and used to estimate the usual load.
const ARCHIVE_AFTER_S: f64 = 300.0;

/// Maximum number of jobs that one transaction archives.
const MAX_PER_TRANSACTION: usize = 6;

/// Store changes needed to archive one job: putting the archive record and deleting the job record.
const CHANGES_PER_JOB: usize = 2;

/// Jobs are archived only while the unused write budget exceeds this many seconds' worth of writes.
const MIN_UNUSED_WRITES_S: f64 = 0.8;

/// Maximum writes of one archiving transaction, in seconds' worth of the write rate.
const MAX_WRITES_S: f64 = 0.5;

impl Core {
    /// Moves old ended jobs from the watched records to the archive, using spare write capacity. Does
    /// nothing unless this node is the leader.
    pub(crate) fn archive_ended_jobs(&mut self) {
        let idle = self.store.write_budget_above(self.now, MIN_UNUSED_WRITES_S);
        if !self.is_leader() || !idle || !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        let leads = Condition { key: LEADER_KEY.into(), version: self.cache.leader.version };
        let mut transaction = Transaction { conditions: vec![leads], changes: vec![] };
        let jobs = self.cache.jobs.iter();
        let archivable = jobs.filter_map(|(id, job)| Some((id, job, self.archivable_outcome(id, job)?)));
        for (id, job, end) in archivable.take(self.max_jobs_per_transaction()) {
            let value = match serde_json::to_value(ArchivedJob { outcome: end, tasks: job.record.spec.task_count }) {
                Ok(value) => value,
                Err(error) => {
                    tracing::error!(job = %id, %error, "failed to serialize archived job");
                    continue;
                }
            };
            transaction.conditions.push(Condition { key: job_key(id), version: job.version });
            transaction.changes.push(Change::put(archived_job_key(id), value));
            transaction.changes.push(Change::delete(job_key(id)));
        }
        if !transaction.changes.is_empty() {
            self.submit_transaction(transaction);
        }
    }

    /// Returns the outcome of a job that can be archived now: it ended long enough ago, has no write
    /// in flight, and no waiting job depends on it.
    fn archivable_outcome(&self, id: &JobId, job: &Job) -> Option<JobOutcome> {
        let end = job.record.outcome.filter(|_| !self.cache.active.contains(id))?;
        let archivable = self.age_s(job) >= ARCHIVE_AFTER_S
            && !self.store.is_key_busy(&job_key(id))
            && !self.dependency_graph.is_needed(id);
        archivable.then_some(end)
    }

    fn max_jobs_per_transaction(&self) -> usize {
        let usable_writes = (MAX_WRITES_S * self.store.writes_per_s()) as usize;
        let allowed = self.settings.cluster.state.txn_ops.min(usable_writes);
        MAX_PER_TRANSACTION.min(allowed / CHANGES_PER_JOB)
    }

    /// Answers with the state of a job that has no record, reading the archive if the job is not
    /// cached. `accepted` is true if the job may already have been submitted; a missing archive record
    /// is then answered as a store failure, not as an unknown job.
    pub(crate) fn look_up_archived(&mut self, request: RequestId, job: JobId, accepted: bool) {
        if self.cache.archived(&job).is_some() {
            return self.answer_known_job(request, &job);
        }
        if self.try_charge_request(request) {
            let call = StoreRequest::Get { key: archived_job_key(&job) };
            self.call_store(call, PendingRequest::ArchiveLookUp { request, job, known: accepted });
        }
    }

    /// Handles the response to an archive read and answers with the state of the job.
    pub(crate) fn handle_archive_read(
        &mut self,
        request: RequestId,
        job: JobId,
        accepted: bool,
        answer: StoreResponse,
    ) {
        match answer {
            StoreResponse::Missing(_) if !accepted => self.refuse(request, Refusal::JobNotFound),
            StoreResponse::Found(_) => match self.cache_archived_job(&job, answer) {
                Some(_) => self.answer_known_job(request, &job),
                None => self.refuse(request, Refusal::JobUnreadable),
            },
            // A submission with an unknown outcome whose record is missing was not committed: the
            // user can retry it.
            _ => self.refuse(request, Refusal::StoreUnavailable),
        }
    }

    /// Caches an archived job that was read from the store. Returns `None` if the answer contains no
    /// readable record.
    pub(crate) fn cache_archived_job(&mut self, id: &JobId, answer: StoreResponse) -> Option<ArchivedJob> {
        let StoreResponse::Found(item) = answer else { return None };
        match serde_json::from_value::<ArchivedJob>(item.value) {
            Ok(record) => {
                self.cache.cache_archived(id, record);
                Some(record)
            }
            Err(error) => {
                tracing::error!(key = %item.key, %error, "failed to read archived job");
                None
            }
        }
    }
}
