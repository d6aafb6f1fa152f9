//! Users: submissions, queries and cancellations.

use crate::coordination::jobs::refusal::{InfeasibleJob, Refusal};
use crate::coordination::membership::startup::Milestone;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{ClientRequest, Core, JobProgress, JobResponseStatus, Response};
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::protocol::users::{JobSpec, JobState};
use crate::storage::records::{archived_job_key, job_key, JobOutcome, JobRecord, SlicePlan};
use crate::units::{JobId, Millis, MonotonicTime, RequestId, Revision, ShardId};

/// Tries of a cancellation that meets other changes of its job.
const CANCEL_TRIES: u32 = 4;

/// Slices that a large job has for each shard: enough to deal them by room.
const SLICES_A_PART: u32 = 16;

/// What is written into a job's record when it becomes ready and ends.
const END_BYTES: usize = 64;

/// What a running task takes of its slice's record at the most, about.
pub(crate) const TASK_BYTES: u32 = 32;

impl Core {
    pub(crate) fn handle_client_request(&mut self, request: RequestId, ask: ClientRequest) {
        match ask {
            ClientRequest::Health => {
                let response = if self.can_take() { Response::Healthy } else { Refusal::Starting.into() };
                self.response(request, response);
            }
            ClientRequest::Submit(spec) => self.submit(request, spec),
            ClientRequest::Malformed { id, reason } => {
                self.refuse_unless_known(request, id, Refusal::Malformed(reason))
            }
            ClientRequest::Query(job) => self.query(request, job),
            ClientRequest::Cancel(job) => self.cancel(request, job),
        }
    }

    /// True if submissions can be judged and the records can be reached, or
    /// if others do not reach them either: then it is not this node's trouble.
    /// One that hears no other at all is left alone, as far as it can tell.
    pub(crate) fn can_take(&self) -> bool {
        let lately = |at: Option<MonotonicTime>| at.is_some_and(|at| self.now.since(at) < Millis(3000));
        let not_ours = self.membership.peers().none_reaches_store(self.now);
        self.store.is_loaded() && !self.catalog.is_empty() && (lately(self.store.last_answer()) || not_ours)
    }

    fn known_final(&self, job: &JobId) -> Option<JobState> {
        self.final_state(job).map(state_of)
    }

    /// Answers with the state of a job that was accepted before.
    pub(crate) fn answer_known_job(&mut self, request: RequestId, id: &JobId) {
        self.answer_job(request, JobResponseStatus::Known, id, None);
    }

    pub(crate) fn answer_job(
        &mut self,
        request: RequestId,
        status: JobResponseStatus,
        id: &JobId,
        record: Option<&JobRecord>,
    ) {
        // A wrong answer could not be taken back: not before those that it
        // follows are looked up.
        if self.dependency_graph.unsettled(id) {
            return self.refuse(request, Refusal::DependencyUnresolved);
        }
        let ended = record.and_then(|r| r.end).map(state_of).or_else(|| self.known_final(id));
        let (done, running) = self.cache.jobs.get(id).map_or((0, 0), |job| job.counts());
        let (state, progress) = match ended {
            Some(JobState::Done) => {
                let all = record
                    .map(|r| r.spec.task_count)
                    .or(self.cache.jobs.get(id).map(|j| j.record.spec.task_count))
                    .or(self.cache.archived(id).map(|p| p.tasks));
                (JobState::Done, all.map(|tasks| JobProgress { done: tasks, running: 0 }))
            }
            Some(state) => (state, Some(JobProgress { done, running: 0 })),
            None if running > 0 => (JobState::Running, Some(JobProgress { done, running })),
            None => (JobState::Queued, Some(JobProgress { done, running })),
        };
        self.response(request, Response::Job { status, id: id.clone(), state, progress });
    }

    /// Takes from the share of reads what a user's request needs.
    pub(crate) fn afford(&mut self, request: RequestId, cost: f64) -> bool {
        if self.store.may_send(self.now) && self.store.try_charge_reads(self.now, cost) {
            return true;
        }
        self.refuse(request, Refusal::Busy);
        false
    }

    fn submit(&mut self, request: RequestId, spec: Box<JobSpec>) {
        if self.known_final(&spec.id).is_some() {
            let id = spec.id.clone();
            return self.answer_known_job(request, &id);
        }
        if self.cache.jobs.contains_key(&spec.id) {
            return self.query_status(request, spec.id);
        }
        if !self.store.is_loaded() || self.catalog.is_empty() {
            return self.refuse(request, Refusal::Starting);
        }
        if let Some(reason) = self.impossible(&spec) {
            return self.refuse_unless_known(request, spec.id, reason.into());
        }
        // Acceptance goes first: on credit, as far as the share bears it.
        if !self.store.may_send(self.now) || self.store.reads_below(self.now, -0.5) {
            return self.refuse(request, Refusal::Busy);
        }
        if !spec.dependencies.is_empty() {
            return self.submit_after(request, spec);
        }
        let record = JobRecord { plan: self.first_plan(&spec), ..JobRecord::new((*spec).clone(), self.time_of_day_ms) };
        self.write_submission(request, spec, record);
    }

    /// Accepts a job with its record.
    pub(crate) fn write_submission(&mut self, request: RequestId, spec: Box<JobSpec>, record: JobRecord) {
        let Ok(value) = serde_json::to_value(&record) else {
            return self.refuse(request, Refusal::NotSerializable);
        };
        // With room for its plan, if that comes later, and for its end.
        let plan = if record.plan.is_none() { self.plan_bytes(spec.task_count) } else { 0 };
        if !self.fits(value.to_string().len() + plan + END_BYTES) {
            return self.refuse_unless_known(request, spec.id, InfeasibleJob::RecordTooLarge.into());
        }
        self.store.charge_transaction(self.now, 1);
        let key = job_key(&spec.id);
        let transaction = Transaction {
            // A retry may come when the job is long over and put away.
            conditions: vec![
                Condition { key: key.clone(), version: Revision(0) },
                Condition { key: archived_job_key(&spec.id), version: Revision(0) },
            ],
            changes: vec![Change::put(key, value)],
        };
        self.call_state(
            StoreRequest::Transaction(transaction.clone()),
            PendingRequest::SubmitWrite { request, transaction, spec },
        );
    }

    /// A job of one slice, or one that must stay whole, goes to the shard its
    /// name hashes to; larger arrays are left to the leader.
    pub(crate) fn first_plan(&self, spec: &JobSpec) -> Option<SlicePlan> {
        let size = self.slice_size(spec.task_count);
        let home = ShardId::of(spec.id.as_str(), self.shard_count);
        let slices = spec.task_count.div_ceil(size) as usize;
        (slices == 1 || spec.whole()).then(|| SlicePlan { size, shards: vec![home; slices] })
    }

    /// Tasks per slice; more for large jobs, whose tasks then share writes,
    /// as far as a slice with all of them running stays one value, and for
    /// huge ones, so that their plan does.
    pub(crate) fn slice_size(&self, tasks: u32) -> u32 {
        let value = (self.settings.cluster.state.value_kb * 1024.0 * 0.6) as u32;
        let digits = self.shard_count.to_string().len() as u32 + 1;
        let shared = tasks.div_ceil(self.shard_count.max(1) * SLICES_A_PART).min(value / TASK_BYTES);
        self.tuning.slice_tasks.max(shared).max(tasks.div_ceil((value / digits).max(1)))
    }

    /// True if the state service takes a value now and when its limits change.
    pub(crate) fn fits_value(&self, value: &serde_json::Value) -> bool {
        serde_json::to_vec(value).is_ok_and(|bytes| self.fits(bytes.len()))
    }

    pub(crate) fn fits(&self, bytes: usize) -> bool {
        bytes as f64 <= self.settings.cluster.state.value_kb * 1024.0
    }

    /// What the plan of a job with so many tasks takes.
    fn plan_bytes(&self, tasks: u32) -> usize {
        let digits = self.shard_count.to_string().len() + 1;
        tasks.div_ceil(self.slice_size(tasks)) as usize * digits + 32
    }

    pub(crate) fn submit_written(
        &mut self,
        request: RequestId,
        transaction: Transaction,
        spec: Box<JobSpec>,
        answer: StoreResponse,
    ) {
        let key = job_key(&spec.id);
        match answer {
            StoreResponse::Committed(revision) => {
                self.committed(&transaction, revision);
                self.send_revision_hint(revision);
                self.milestone_reached(Milestone::SubmissionAccepted);
                self.answer_job(request, JobResponseStatus::Accepted, &spec.id, None);
            }
            // Known already, or our own transaction after all.
            StoreResponse::Conflict(_) => {
                self.store.charge_read(self.now);
                self.call_state(
                    StoreRequest::Get { key },
                    PendingRequest::SubmitRead { request, job: spec.id, fresh: false },
                );
            }
            StoreResponse::Unknown => {
                self.store.charge_read(self.now);
                self.call_state(
                    StoreRequest::Get { key },
                    PendingRequest::SubmitRead { request, job: spec.id, fresh: true },
                );
            }
            StoreResponse::Invalid(_) => self.refuse(request, Refusal::RejectedByStore),
            _ => self.refuse(request, Refusal::StoreUnavailable),
        }
    }

    pub(crate) fn submit_read(&mut self, request: RequestId, job: JobId, fresh: bool, answer: StoreResponse) {
        if matches!(answer, StoreResponse::Missing(_)) {
            return self.look_up_archived(request, job, true);
        }
        match self.take_job(answer) {
            Some((id, record)) => {
                let status = if fresh { JobResponseStatus::Accepted } else { JobResponseStatus::Known };
                self.answer_job(request, status, &id, Some(&record))
            }
            None => self.refuse(request, Refusal::StoreUnavailable),
        }
    }

    /// Takes a job that was read into the cache.
    pub(crate) fn take_job(&mut self, answer: StoreResponse) -> Option<(JobId, JobRecord)> {
        let StoreResponse::Found(item) = answer else { return None };
        let record: JobRecord = serde_json::from_value(item.value.clone()).ok()?;
        let changed = self.cache.apply(&item.key, Some(item.value), item.version);
        self.changed(changed);
        Some((record.spec.id.clone(), record))
    }

    fn query(&mut self, request: RequestId, job: JobId) {
        if self.known_final(&job).is_some() {
            return self.answer_known_job(request, &job);
        }
        self.query_status(request, job);
    }

    /// Answers from the cache once it is provably as new as the question.
    pub(crate) fn answer_from_cache(&mut self, request: RequestId, job: &JobId) {
        if self.cache.jobs.contains_key(job) {
            self.answer_known_job(request, job);
        } else {
            self.look_up_archived(request, job.clone(), false);
        }
    }

    fn cancel(&mut self, request: RequestId, job: JobId) {
        if self.known_final(&job).is_some() {
            return self.answer_known_job(request, &job);
        }
        if self.afford(request, 1.0) {
            let call = StoreRequest::Get { key: job_key(&job) };
            self.call_state(call, PendingRequest::CancelRead { request, job, tries: CANCEL_TRIES });
        }
    }

    pub(crate) fn cancel_read(&mut self, request: RequestId, job: JobId, tries: u32, answer: StoreResponse) {
        if matches!(answer, StoreResponse::Missing(_)) && !self.cache.jobs.contains_key(&job) {
            return self.look_up_archived(request, job, false);
        }
        let version = match &answer {
            StoreResponse::Found(item) => item.version,
            _ => Revision(0),
        };
        let Some((id, record)) = self.take_job(answer) else {
            return self.refuse(request, Refusal::StoreUnavailable);
        };
        if self.final_state(&id).is_some() {
            return self.answer_known_job(request, &id);
        }
        if record.end.is_some() || tries == 0 {
            if record.end.is_none() {
                return self.refuse(request, Refusal::JobChanging);
            }
            return self.answer_job(request, JobResponseStatus::Known, &id, Some(&record));
        }
        let record = JobRecord { end: Some(JobOutcome::Cancelled), ..record };
        let key = job_key(&id);
        let Ok(value) = serde_json::to_value(record) else { return };
        let transaction = Transaction {
            conditions: vec![Condition { key: key.clone(), version }],
            changes: vec![Change::put(key, value)],
        };
        self.store.charge_transaction(self.now, 1);
        self.call_state(
            StoreRequest::Transaction(transaction.clone()),
            PendingRequest::CancelWrite { request, job, transaction, tries: tries - 1 },
        );
    }

    pub(crate) fn cancel_written(
        &mut self,
        request: RequestId,
        job: JobId,
        transaction: Transaction,
        tries: u32,
        answer: StoreResponse,
    ) {
        match answer {
            StoreResponse::Committed(revision) => {
                self.committed(&transaction, revision);
                self.send_revision_hint(revision);
                self.answer_known_job(request, &job);
            }
            StoreResponse::Conflict(_) | StoreResponse::Unknown => {
                self.store.charge_read(self.now);
                self.call_state(
                    StoreRequest::Get { key: job_key(&job) },
                    PendingRequest::CancelRead { request, job, tries },
                );
            }
            _ => self.refuse(request, Refusal::StoreUnavailable),
        }
    }
}

fn state_of(end: JobOutcome) -> JobState {
    match end {
        JobOutcome::Done => JobState::Done,
        JobOutcome::Cancelled => JobState::Cancelled,
    }
}

#[cfg(test)]
mod tests;
