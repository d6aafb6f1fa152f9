//! The archive: jobs that ended some time ago, under keys that no controller watches.
//!
//! The leader moves ended jobs there; each controller reads one when a user asks for it and keeps it
//! in its cache. Nothing is ever removed from the archive.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{Core, Refusal};
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::cache::Job;
use crate::storage::records::{archived_job_key, job_key, ArchivedJob, JobOutcome, LEADER_KEY};
use crate::units::{JobId, RequestId};

/// Age from which an ended job is archived, in seconds: until then its user still asks for it, and
/// the usual load is learned from it.
const ARCHIVE_AFTER_S: f64 = 300.0;

/// The most jobs that one transaction archives.
const MAX_PER_TRANSACTION: usize = 6;

/// Changes that archiving one job takes: the new record, and the end of the old one.
const CHANGES_PER_JOB: usize = 2;

/// Jobs are archived only while more than this share of a second's writes is unused.
const IDLE_S: f64 = 0.8;

/// The share of a second's writes that one transaction may use.
const USABLE_S: f64 = 0.5;

impl Core {
    /// Moves old ended jobs out of the watched records, with writes that nothing else needs. Does
    /// nothing unless this node leads.
    pub(crate) fn archive_ended_jobs(&mut self) {
        let idle = self.store.writes_above(self.now, IDLE_S);
        if !self.is_leader() || !idle || !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        let leads = Condition { key: LEADER_KEY.into(), version: self.cache.leader.version };
        let mut transaction = Transaction { conditions: vec![leads], changes: vec![] };
        let jobs = self.cache.jobs.iter();
        let archivable = jobs.filter_map(|(id, job)| Some((id, job, self.archivable_outcome(id, job)?)));
        for (id, job, end) in archivable.take(self.max_archived_at_once()) {
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

    /// How a job ended, if it is to be archived now.
    fn archivable_outcome(&self, id: &JobId, job: &Job) -> Option<JobOutcome> {
        let end = job.record.outcome.filter(|_| !self.cache.active.contains(id))?;
        let archivable = self.age_s(job) >= ARCHIVE_AFTER_S
            && !self.store.is_key_busy(&job_key(id))
            && !self.dependency_graph.is_needed(id);
        archivable.then_some(end)
    }

    fn max_archived_at_once(&self) -> usize {
        let usable_writes = (USABLE_S * self.store.writes_per_s()) as usize;
        let allowed = self.settings.cluster.state.txn_ops.min(usable_writes);
        MAX_PER_TRANSACTION.min(allowed / CHANGES_PER_JOB)
    }

    /// Answers with the state of a job that has no record, from the archive. `accepted` if the job is
    /// known to have been submitted, so that it cannot be missing for good.
    pub(crate) fn look_up_archived(&mut self, request: RequestId, job: JobId, accepted: bool) {
        if self.cache.archived(&job).is_some() {
            return self.answer_known_job(request, &job);
        }
        if self.try_charge_request(request) {
            let call = StoreRequest::Get { key: archived_job_key(&job) };
            self.call_state(call, PendingRequest::Archived { request, job, known: accepted });
        }
    }

    /// Answers with the state of a job that was looked up in the archive.
    pub(crate) fn archived_answer(&mut self, request: RequestId, job: JobId, accepted: bool, answer: StoreResponse) {
        match answer {
            StoreResponse::Missing(_) if !accepted => self.refuse(request, Refusal::JobNotFound),
            StoreResponse::Found(_) => match self.take_archived(&job, answer) {
                Some(_) => self.answer_known_job(request, &job),
                None => self.refuse(request, Refusal::JobUnreadable),
            },
            // A submission whose outcome was unknown and that is missing was not carried out: its
            // user may repeat it.
            _ => self.refuse(request, Refusal::StoreUnavailable),
        }
    }

    /// Takes an archived job that was read into the cache. None if the answer holds no such record.
    pub(crate) fn take_archived(&mut self, id: &JobId, answer: StoreResponse) -> Option<ArchivedJob> {
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
