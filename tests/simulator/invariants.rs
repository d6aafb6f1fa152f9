//! Invariants of the protocol, checked in every run against what users and workers observe.
//! Violations are collected as text; tests assert that there are none. Checks of task starts are in
//! `start_checks`, those of waiting jobs in `waiting_work`.

use super::users::{Job, UserRequest};
use super::waiting_work::WaitingJob;
use super::worker_heartbeats::SMALL_FLEET;
use super::SimulatedCluster;
use std::collections::{BTreeMap, VecDeque};
use tillercleat::protocol::state::StoreRequest;
use tillercleat::protocol::users::JobState;
use tillercleat::protocol::workers::TaskName;
use tillercleat::units::JobId;

/// How long an open job may go without an answer, counted from the last answer or the end of the
/// started faults, whichever is later (milliseconds).
const MAX_UNANSWERED_MS: u64 = 75_000;

/// Interval between two checks, in a small cluster and in a large one (milliseconds).
const CHECK_PAUSE_MS: u64 = 2000;
const LARGE_CHECK_PAUSE_MS: u64 = 10_000;

/// A task that ended recently: the controllers may still count its resources as used.
pub(super) struct EndedTask {
    pub(super) at: u64,
    pub(super) worker: usize,
    pub(super) job: JobId,
}

/// State of the checks. Times are in milliseconds.
#[derive(Default)]
pub(super) struct InvariantChecks {
    last_check: u64,
    /// Jobs that wait although there is room for them.
    pub(super) waiting: BTreeMap<JobId, WaitingJob>,
    pub(super) recently_ended: VecDeque<EndedTask>,
    /// All workers that ever received a start command for each task.
    pub(super) placements: BTreeMap<TaskName, Vec<usize>>,
    /// Time of the last check for tasks of cancelled jobs (seconds).
    cancelled_checked_s: u64,
    /// Time of the last check of team quotas (seconds).
    pub(super) quota_checked_s: u64,
}

impl InvariantChecks {
    pub(super) fn record_ended_task(&mut self, at: u64, worker: usize, job: &JobId) {
        self.recently_ended.push_back(EndedTask { at, worker, job: job.clone() });
    }
}

impl SimulatedCluster {
    /// Checks jobs periodically, while no fault is active. Waiting jobs are checked only after the
    /// end of all injected faults.
    pub(super) fn check_invariants(&mut self) {
        let large = self.workers.len() > SMALL_FLEET;
        let pause = if large { LARGE_CHECK_PAUSE_MS } else { CHECK_PAUSE_MS };
        if self.now < self.checks.last_check + pause || self.now < self.faults_end.active {
            return;
        }
        self.checks.last_check = self.now;
        self.check_unanswered_jobs();
        if self.now >= self.faults_end.all.max(self.faults_end.active) {
            self.check_waiting_jobs();
        }
    }

    /// Checks that no open job goes without an answer for too long.
    fn check_unanswered_jobs(&mut self) {
        let now = self.now;
        let unanswered = |(id, job): &(&JobId, &Job)| {
            job.is_open() && !self.users_given_up.contains(*id) && self.is_unanswered_for_long(job)
        };
        let unanswered = self.jobs.iter().filter(unanswered);
        let violations: Vec<String> =
            unanswered.map(|(id, _)| format!("forgotten: {id} is not answered at {now}")).collect();
        self.violations.extend(violations);
    }

    fn is_unanswered_for_long(&self, job: &Job) -> bool {
        self.now > self.faults_end.active.max(job.last_answer_at) + MAX_UNANSWERED_MS
    }

    /// Checks a reported job state against earlier reports and against the job's tasks.
    pub(super) fn check_reported_state(&mut self, request: &UserRequest, status: u16, state: JobState) {
        let (id, now) = (&request.job, self.now);
        let job = &self.jobs[id];
        if request.job_was_accepted && status == 201 {
            self.violations.push(format!("accepted twice: {id} at {now}"));
        }
        if state == JobState::Done && !job.is_done() {
            self.violations.push(format!("not_done: {id} at {now}"));
        }
        let no_longer_done = job.done_reported && state != JobState::Done;
        let no_longer_cancelled = job.cancel_reported_at.is_some() && state != JobState::Cancelled;
        if no_longer_done || no_longer_cancelled {
            self.violations.push(format!("went_back: {id} is {state:?} at {now}"));
        }
        let open = matches!(state, JobState::Queued | JobState::Running);
        if open && job.dependency_cancelled_at.is_some_and(|at| now > at + self.config.cancel_ms) {
            self.violations.push(format!("orphaned: {id} is {state:?} at {now}"));
        }
        let newly_cancelled = state == JobState::Cancelled && job.cancel_reported_at.is_none();
        let by_a_dependency = job.dependency_cancelled_at.is_some() || !job.spec.dependencies.is_empty();
        if newly_cancelled && !job.cancel_requested && !by_a_dependency {
            self.violations.push(format!("went_back: nobody cancelled {id} at {now}"));
        }
    }

    /// Checks that an accepted job is never reported unknown or invalid, and is not refused for
    /// too long.
    pub(super) fn check_refusal(&mut self, request: &UserRequest, status: u16) {
        if !request.job_was_accepted {
            return;
        }
        let (id, now) = (&request.job, self.now);
        if matches!(status, 400 | 404 | 422) {
            self.violations.push(format!("forgotten: {id} gets {status} at {now}"));
        }
        let job = &self.jobs[id];
        if self.is_unanswered_for_long(job) {
            self.violations.push(format!("forgotten: {id} at {now}, last heard of at {}", job.last_answer_at));
        }
    }

    /// Checks that every transaction has conditions: without them, a delayed one would overwrite
    /// newer changes.
    pub(super) fn check_conditions(&mut self, call: &StoreRequest) {
        let StoreRequest::Transaction(transaction) = call else { return };
        if !transaction.changes.is_empty() && transaction.conditions.is_empty() {
            self.violations.push(format!("unconditional: {:?} at {}", transaction.changes, self.now));
        }
    }

    /// Checks tasks of cancelled jobs: at each call in a small fleet, once a second in a large one.
    pub(super) fn check_cancelled_tasks_if_due(&mut self) {
        let second = self.now / 1000;
        if self.checks.cancelled_checked_s < second || self.workers.len() < SMALL_FLEET {
            self.checks.cancelled_checked_s = second;
            self.check_cancelled_tasks();
        }
    }

    /// Checks that no task still runs once the cancellation limit has passed after a user learned of
    /// its job's cancellation.
    pub(super) fn check_cancelled_tasks(&mut self) {
        for index in 0..self.workers.len() {
            if self.workers[index].alive {
                self.advance_worker(index);
            }
        }
        let (now, cancel_ms) = (self.now, self.config.cancel_ms);
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            for (name, task) in &worker.tasks {
                let cancelled_at = self.jobs.get(&name.job).and_then(Job::cancelled_at);
                if task.is_running() && cancelled_at.is_some_and(|at| now > at + cancel_ms) {
                    self.violations.push(format!("ran_cancelled: {}/{} at {now}", name.job, name.index));
                }
            }
        }
    }
}
