//! Jobs that ended long ago: put away where no node reads or watches them,
//! and looked up one by one when somebody asks.

use super::*;
use crate::bookkeeping::records::{job_key, past_key, PastRecord, LEADER_KEY};

/// Age from which an ended job is put away: until then its user still asks,
/// and the usual load is learned from it.
const PUT_AWAY_AFTER_S: f64 = 300.0;

/// Jobs put away in one transaction at the most.
const MOST_AT_ONCE: usize = 6;

impl Core {
    /// The leader moves old ended jobs out of the watched records, with writes
    /// that nobody else has use for.
    pub(super) fn put_away(&mut self) {
        let idle = self.writes.level(self.now) > 0.8 * self.writes.per_s();
        if !self.leading() || !idle || !self.state_fresh() || self.now < self.retry_state_at {
            return;
        }
        // Two changes a job, and no more than is idle.
        let spare = (0.5 * self.writes.per_s()) as usize;
        let most = MOST_AT_ONCE.min(self.settings.cluster.state.txn_ops / 2).min(spare / 2);
        let mut txn = Txn {
            conditions: vec![Condition { key: LEADER_KEY.into(), version: self.view.leader.version }],
            changes: vec![],
        };
        for (id, job) in &self.view.jobs {
            let Some(end) = job.record.end.filter(|_| !self.view.active.contains(id)) else { continue };
            if self.age_s(job) < PUT_AWAY_AFTER_S || self.busy_keys.contains(&job_key(id)) || self.chains.is_needed(id)
            {
                continue;
            }
            if txn.changes.len() + 2 > 2 * most {
                break;
            }
            let Ok(value) = serde_json::to_value(PastRecord { end, tasks: job.record.spec.tasks }) else { continue };
            txn.conditions.push(Condition { key: job_key(id), version: job.version });
            txn.changes.push(Change::put(past_key(id), value));
            txn.changes.push(Change::delete(job_key(id)));
        }
        if !txn.changes.is_empty() {
            self.simple_txn(txn);
        }
    }

    /// Looks up a job that has no record among those put away.
    pub(super) fn ask_past(&mut self, request: RequestId, job: JobRef, known: bool) {
        if self.view.past(&job).is_some() {
            return self.answer_job(request, 200, &job, None);
        }
        if self.afford(request, 1.0) {
            self.call_state(StateCall::Get { key: past_key(&job) }, Pending::Past { request, job, known });
        }
    }

    pub(super) fn past_answer(&mut self, request: RequestId, job: JobRef, known: bool, answer: StateAnswer) {
        let reply = match answer {
            // A submission whose outcome was unknown was not carried out.
            StateAnswer::Missing(_) if !known => Reply::problem(404, "no such job"),
            StateAnswer::Found(_) => match self.take_past(&job, answer) {
                Some(_) => return self.answer_job(request, 200, &job, None),
                None => Reply::later("the job cannot be read"),
            },
            _ => Reply::later("the state service does not answer"),
        };
        self.reply(request, reply);
    }

    /// Takes the record of a job that was put away, if that is what came.
    pub(super) fn take_past(&mut self, id: &JobRef, answer: StateAnswer) -> Option<PastRecord> {
        let StateAnswer::Found(item) = answer else { return None };
        match serde_json::from_value::<PastRecord>(item.value) {
            Ok(record) => {
                self.view.remember_past(id, record);
                Some(record)
            }
            Err(error) => {
                tracing::error!("record {} makes no sense: {error}", item.key);
                None
            }
        }
    }
}
