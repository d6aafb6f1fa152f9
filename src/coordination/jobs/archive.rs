//! Jobs that ended long ago: put away where no node reads or watches them,
//! and looked up one by one when somebody asks.

use crate::coordination::jobs::refusal::Refusal;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::records::{archived_job_key, job_key, ArchivedJob, LEADER_KEY};
use crate::units::{JobId, RequestId};

/// Age from which an ended job is put away: until then its user still asks,
/// and the usual load is learned from it.
const PUT_AWAY_AFTER_S: f64 = 300.0;

/// Jobs put away in one transaction at the most.
const MOST_AT_ONCE: usize = 6;

impl Core {
    /// The leader moves old ended jobs out of the watched records, with writes
    /// that nobody else has use for.
    pub(crate) fn archive_ended_jobs(&mut self) {
        let idle = self.store.writes_above(self.now, 0.8);
        if !self.is_leader() || !idle || !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        // Two changes a job, and no more than is idle.
        let spare = (0.5 * self.store.writes_per_s()) as usize;
        let most = MOST_AT_ONCE.min(self.settings.cluster.state.txn_ops / 2).min(spare / 2);
        let mut transaction = Transaction {
            conditions: vec![Condition { key: LEADER_KEY.into(), version: self.cache.leader.version }],
            changes: vec![],
        };
        for (id, job) in &self.cache.jobs {
            let Some(end) = job.record.end.filter(|_| !self.cache.active.contains(id)) else { continue };
            if self.age_s(job) < PUT_AWAY_AFTER_S
                || self.store.is_key_busy(&job_key(id))
                || self.dependency_graph.is_needed(id)
            {
                continue;
            }
            if transaction.changes.len() + 2 > 2 * most {
                break;
            }
            let Ok(value) = serde_json::to_value(ArchivedJob { end, tasks: job.record.spec.task_count }) else {
                continue;
            };
            transaction.conditions.push(Condition { key: job_key(id), version: job.version });
            transaction.changes.push(Change::put(archived_job_key(id), value));
            transaction.changes.push(Change::delete(job_key(id)));
        }
        if !transaction.changes.is_empty() {
            self.submit_transaction(transaction);
        }
    }

    /// Looks up a job that has no record among those put away.
    pub(crate) fn look_up_archived(&mut self, request: RequestId, job: JobId, known: bool) {
        if self.cache.archived(&job).is_some() {
            return self.answer_known_job(request, &job);
        }
        if self.afford(request, 1.0) {
            self.call_state(
                StoreRequest::Get { key: archived_job_key(&job) },
                PendingRequest::Archived { request, job, known },
            );
        }
    }

    pub(crate) fn archived_answer(&mut self, request: RequestId, job: JobId, known: bool, answer: StoreResponse) {
        let response = match answer {
            // A submission whose outcome was unknown was not carried out.
            StoreResponse::Missing(_) if !known => Refusal::JobNotFound.into(),
            StoreResponse::Found(_) => match self.take_archived(&job, answer) {
                Some(_) => return self.answer_known_job(request, &job),
                None => Refusal::JobUnreadable.into(),
            },
            _ => Refusal::StoreUnavailable.into(),
        };
        self.response(request, response);
    }

    /// Takes the record of a job that was put away, if that is what came.
    pub(crate) fn take_archived(&mut self, id: &JobId, answer: StoreResponse) -> Option<ArchivedJob> {
        let StoreResponse::Found(item) = answer else { return None };
        match serde_json::from_value::<ArchivedJob>(item.value) {
            Ok(record) => {
                self.cache.remember_archived(id, record);
                Some(record)
            }
            Err(error) => {
                tracing::error!("record {} makes no sense: {error}", item.key);
                None
            }
        }
    }
}
