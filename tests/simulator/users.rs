//! Users: submit, poll and cancel jobs, retry requests that fail, and remember the answers for the
//! invariant checks.

use super::events::ScheduledEvent;
use super::requests::PendingRequest;
use super::SimulatedCluster;
use std::collections::BTreeSet;
use tillercleat::coordination::{ClientRequest, Input, Response};
use tillercleat::protocol::users::{JobSpec, JobState};
use tillercleat::units::JobId;

/// Maximum number of retries of a submission or a cancellation.
const MAX_RETRIES: u32 = 90;
/// Delay before a submission or a cancellation is retried (milliseconds).
const RETRY_MS: u64 = 1000;
/// Interval between two polls of a job (milliseconds).
const POLL_MS: u64 = 3000;
/// How long a submission is postponed while a dependency is not accepted yet (milliseconds).
const DEPENDENCY_PAUSE_MS: u64 = 200;

/// A job as its users know it, and the progress of its tasks. Times are in milliseconds.
pub struct Job {
    pub spec: JobSpec,
    /// When its user submitted it for the first time.
    pub(super) submitted_at: u64,
    pub(super) accepted: bool,
    pub(super) cancel_requested: bool,
    /// When a user first received the state cancelled.
    pub(super) cancel_reported_at: Option<u64>,
    /// When a user first received the state cancelled of a job that it depends on, directly or not;
    /// when it was submitted, if that was later.
    pub(super) dependency_cancelled_at: Option<u64>,
    pub(super) last_answer_at: u64,
    pub(super) done_reported: bool,
    pub(super) first_start_at: Option<u64>,
    pub(super) last_start_at: u64,
    pub(super) finished_tasks: BTreeSet<u32>,
}

impl Job {
    fn new(spec: JobSpec, now: u64, dependency_cancelled: bool) -> Job {
        Job {
            spec,
            submitted_at: now,
            accepted: false,
            cancel_requested: false,
            cancel_reported_at: None,
            dependency_cancelled_at: dependency_cancelled.then_some(now),
            last_answer_at: now,
            done_reported: false,
            first_start_at: None,
            last_start_at: 0,
            finished_tasks: BTreeSet::new(),
        }
    }

    /// Returns when a user first learned that the job, or one that it depends on, is cancelled.
    pub(super) fn cancelled_at(&self) -> Option<u64> {
        self.cancel_reported_at.into_iter().chain(self.dependency_cancelled_at).min()
    }

    pub(super) fn is_done(&self) -> bool {
        self.finished_tasks.len() == self.spec.task_count as usize
    }

    /// True if the job was accepted and was reported neither done nor cancelled.
    pub(super) fn is_open(&self) -> bool {
        self.accepted && !self.done_reported && self.cancel_reported_at.is_none()
    }
}

/// Kind of a user's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestKind {
    Submit,
    Cancel,
    /// A query that is repeated for as long as the user polls the job.
    Poll,
    /// A query that is never repeated.
    QueryOnce,
}

/// A user's request that has not been answered yet.
#[derive(Debug, Clone)]
pub(super) struct UserRequest {
    pub(super) job: JobId,
    pub(super) kind: RequestKind,
    retries: u32,
    /// Whether the job had been accepted when the request was sent.
    pub(super) job_was_accepted: bool,
}

impl SimulatedCluster {
    /// Schedules the submission of a job for the time `at` (milliseconds).
    pub fn submit(&mut self, at: u64, spec: JobSpec) {
        self.schedule(at, ScheduledEvent::Submit { spec, retries: 0 });
    }

    /// Schedules the cancellation of a job for the time `at` (milliseconds).
    pub fn cancel(&mut self, at: u64, job: &JobId) {
        self.schedule(at, ScheduledEvent::Cancel { job: job.clone(), retries: 0 });
    }

    /// Polls a job from the time `at` on (milliseconds).
    pub fn poll(&mut self, at: u64, job: &JobId) {
        self.schedule(at, ScheduledEvent::Poll { job: job.clone() });
    }

    /// Runs until `at` (milliseconds); from then on the job's user retries no unanswered or refused
    /// request.
    pub fn user_gives_up(&mut self, at: u64, job: &JobId) {
        self.run(at);
        self.users_given_up.insert(job.clone());
    }

    pub(super) fn send_submission(&mut self, spec: JobSpec, retries: u32) {
        let jobs = &self.jobs;
        let mut dependencies = spec.dependencies.iter().filter_map(|id| jobs.get(id));
        if dependencies.clone().any(|job| !job.accepted) {
            // Users submit a job only once its dependencies are accepted.
            return self.schedule(self.now + DEPENDENCY_PAUSE_MS, ScheduledEvent::Submit { spec, retries });
        }
        let dependency_cancelled = dependencies.any(|job| job.cancelled_at().is_some());
        let (id, now) = (spec.id.clone(), self.now);
        self.jobs.entry(id.clone()).or_insert_with(|| Job::new(spec.clone(), now, dependency_cancelled));
        self.send_request(ClientRequest::Submit(Box::new(spec)), id, RequestKind::Submit, retries);
    }

    pub(super) fn send_cancellation(&mut self, id: JobId, retries: u32) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancel_requested = true;
        }
        self.send_request(ClientRequest::Cancel(id.clone()), id, RequestKind::Cancel, retries);
    }

    pub(super) fn send_query(&mut self, id: JobId, kind: RequestKind) {
        self.send_request(ClientRequest::Query(id.clone()), id, kind, 0);
    }

    /// Sends a request to a random node; schedules a retry if that node is not reachable.
    fn send_request(&mut self, request: ClientRequest, job: JobId, kind: RequestKind, retries: u32) {
        let node = self.random_node();
        let job_was_accepted = self.jobs.get(&job).is_some_and(|job| job.accepted);
        let pending = UserRequest { job, kind, retries, job_was_accepted };
        let controller = &self.controllers[node];
        if !controller.is_running() || self.now < controller.users_cut_until {
            return self.retry_request(pending);
        }
        let id = self.requests.add(node, PendingRequest::User(pending));
        let (to, at) = (self.process(node), self.now + self.link_delay());
        self.schedule(at, ScheduledEvent::DeliverInput { to, input: Input::ClientRequest(id, request) });
    }

    pub(super) fn retry_request(&mut self, request: UserRequest) {
        let UserRequest { job, kind, retries, .. } = request;
        if self.users_given_up.contains(&job) {
            return;
        }
        let retry_at = self.now + RETRY_MS;
        match kind {
            RequestKind::Submit if retries < MAX_RETRIES => {
                let spec = self.jobs[&job].spec.clone();
                self.schedule(retry_at, ScheduledEvent::Submit { spec, retries: retries + 1 });
            }
            RequestKind::Cancel if retries < MAX_RETRIES => {
                self.schedule(retry_at, ScheduledEvent::Cancel { job, retries: retries + 1 });
            }
            RequestKind::Poll => self.schedule(self.now + POLL_MS, ScheduledEvent::Poll { job }),
            RequestKind::Submit | RequestKind::Cancel | RequestKind::QueryOnce => {}
        }
    }

    pub(super) fn handle_user_response(&mut self, request: UserRequest, response: Response) {
        if !self.jobs.contains_key(&request.job) {
            if matches!(response, Response::Job { .. }) {
                self.violations.push(format!("invented: {}", request.job));
            }
            return;
        }
        match response {
            Response::Job { status, state, .. } => self.handle_job_state(request, status.http_status(), state),
            Response::Error(refusal) => self.handle_refusal(request, refusal.http_status()),
            _ => {}
        }
    }

    /// Records the state of a job that a user received.
    fn handle_job_state(&mut self, request: UserRequest, status: u16, state: JobState) {
        self.check_reported_state(&request, status, state);
        let now = self.now;
        let id = request.job;
        let job = self.jobs.get_mut(&id).expect("only known jobs are reported");
        job.done_reported |= state == JobState::Done;
        job.last_answer_at = now;
        let newly_cancelled = state == JobState::Cancelled && job.cancel_reported_at.is_none();
        if newly_cancelled {
            job.cancel_reported_at = Some(now);
        }
        let newly_accepted = !std::mem::replace(&mut job.accepted, true);
        if newly_cancelled {
            self.mark_dependents_cancelled(&id);
        }
        if newly_accepted || request.kind == RequestKind::Poll {
            self.schedule(now + POLL_MS, ScheduledEvent::Poll { job: id });
        }
    }

    /// Records a permanent refusal, or retries after a temporary one.
    fn handle_refusal(&mut self, request: UserRequest, status: u16) {
        self.check_refusal(&request, status);
        if request.kind == RequestKind::Submit && matches!(status, 400 | 422) {
            self.rejections.insert(request.job, status);
            return;
        }
        self.statistics.unavailable_answers += usize::from(status == 503);
        self.retry_request(request);
    }

    /// Marks all direct and indirect dependents of a cancelled job as cancelled.
    fn mark_dependents_cancelled(&mut self, id: &JobId) {
        let mut cancelled = vec![id.clone()];
        while let Some(id) = cancelled.pop() {
            for (dependent, job) in &mut self.jobs {
                if job.dependency_cancelled_at.is_none() && job.spec.dependencies.contains(&id) {
                    job.dependency_cancelled_at = Some(self.now);
                    cancelled.push(dependent.clone());
                }
            }
        }
    }
}
