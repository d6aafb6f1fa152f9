//! Jobs and their users.

use super::*;

pub struct Job {
    pub spec: JobSpec,
    /// When its user first asked.
    pub(super) submitted_at: u64,
    pub(super) accepted: bool,
    pub(super) cancel_requested: bool,
    pub(super) cancel_reported_at: Option<u64>,
    /// When a user was told that a job before it is cancelled.
    pub(super) dependency_cancelled_at: Option<u64>,
    /// When a question about it was answered last.
    pub(super) last_answer_at: u64,
    pub(super) done_reported: bool,
    /// When its first task was started, and when the last one so far.
    pub(super) first_start_at: Option<u64>,
    pub(super) last_start_at: u64,
    pub(super) finished_tasks: BTreeSet<u32>,
}

impl Job {
    /// When its user was told that it is cancelled, or that one before it is.
    pub(super) fn cancelled(&self) -> Option<u64> {
        self.cancel_reported_at.into_iter().chain(self.dependency_cancelled_at).min()
    }
}

impl SimulatedCluster {
    pub fn submit(&mut self, at: u64, spec: JobSpec) {
        self.schedule(at, ScheduledEvent::Submit(spec, 0));
    }

    pub fn cancel(&mut self, at: u64, job: &JobId) {
        self.schedule(at, ScheduledEvent::Cancel(job.clone(), 0));
    }

    /// Users ask about a job, this once.
    pub fn poll(&mut self, at: u64, job: &JobId) {
        self.schedule(at, ScheduledEvent::Poll(job.clone()));
    }

    /// The user of a job no longer asks, but keeps in mind what it sent.
    pub fn user_gives_up(&mut self, at: u64, id: &JobId) {
        self.run(at);
        self.users_given_up.insert(id.clone());
    }

    pub(super) fn ask(&mut self, ask: ClientRequest, job: JobId, what: &'static str, tries: u32) {
        let node = self.random_node();
        if self.nodes[node].core.is_none() || self.now < self.nodes[node].users_cut_until {
            return self.ask_again(job, what, tries);
        }
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let accepted = self.jobs.get(&job).is_some_and(|j| j.accepted);
        self.requests.insert((node, id), PendingRequest::User(job, what, tries, accepted));
        let (incarnation, at) = (self.nodes[node].incarnation, self.now + self.link());
        self.schedule(at, ScheduledEvent::ToNode(node, incarnation, Input::ClientRequest(id, ask)));
    }

    pub(super) fn ask_again(&mut self, job: JobId, what: &'static str, tries: u32) {
        let at = self.now + 1000;
        if self.users_given_up.contains(&job) {
            return;
        }
        match what {
            "submit" if tries < 90 => {
                let spec = self.jobs[&job].spec.clone();
                self.schedule(at, ScheduledEvent::Submit(spec, tries + 1));
            }
            "cancel" if tries < 90 => self.schedule(at, ScheduledEvent::Cancel(job, tries + 1)),
            "poll" => self.schedule(self.now + 3000, ScheduledEvent::Poll(job)),
            _ => {}
        }
    }

    pub(super) fn user_answered(
        &mut self,
        id: JobId,
        what: &'static str,
        tries: u32,
        accepted: bool,
        response: Response,
    ) {
        let now = self.now;
        let (cancel_ms, active_faults_end) = (self.config.cancel_ms, self.active_faults_end);
        let Some(job) = self.jobs.get_mut(&id) else {
            if matches!(response, Response::Job { .. }) {
                self.violations.push(format!("invented: {id}"));
            }
            return;
        };
        match response {
            Response::Job { status, state, .. } => {
                if accepted && status == 201 {
                    self.violations.push(format!("accepted twice: {id} at {now}"));
                }
                if state == JobState::Done && job.finished_tasks.len() < job.spec.task_count as usize {
                    self.violations.push(format!("not_done: {id} at {now}"));
                }
                let back = (job.done_reported && state != JobState::Done)
                    || (job.cancel_reported_at.is_some() && state != JobState::Cancelled);
                if back {
                    self.violations.push(format!("went_back: {id} is {state:?} at {now}"));
                }
                job.done_reported |= state == JobState::Done;
                job.last_answer_at = now;
                let open = matches!(state, JobState::Queued | JobState::Running);
                if open && job.dependency_cancelled_at.is_some_and(|at| now > at + cancel_ms) {
                    self.violations.push(format!("orphaned: {id} is {state:?} at {now}"));
                }
                let told = state == JobState::Cancelled && job.cancel_reported_at.is_none();
                if told {
                    job.cancel_reported_at = Some(now);
                    if !job.cancel_requested
                        && job.dependency_cancelled_at.is_none()
                        && job.spec.dependencies.is_empty()
                    {
                        self.violations.push(format!("went_back: nobody cancelled {id} at {now}"));
                    }
                }
                let first = !job.accepted;
                job.accepted = true;
                if told {
                    self.mark_dependents_cancelled(&id);
                }
                if first || what == "poll" {
                    self.schedule(now + 3000, ScheduledEvent::Poll(id));
                }
            }
            Response::Error { status, .. } => {
                if accepted && matches!(status, 400 | 404 | 422) {
                    self.violations.push(format!("forgotten: {id} gets {status} at {now}"));
                }
                if accepted && now > active_faults_end.max(job.last_answer_at) + MAX_UNANSWERED_MS {
                    self.violations.push(format!("forgotten: {id} at {now}, last heard of at {}", job.last_answer_at));
                }
                if what == "submit" && matches!(status, 400 | 422) {
                    self.rejections.insert(id, status);
                    return;
                }
                self.statistics.unavailable_answers += usize::from(status == 503);
                self.ask_again(id, what, tries);
            }
            _ => {}
        }
    }

    /// All that needs a cancelled job is cancelled with it.
    pub(super) fn mark_dependents_cancelled(&mut self, id: &JobId) {
        let mut next = vec![id.clone()];
        while let Some(id) = next.pop() {
            for (follower, job) in &mut self.jobs {
                if job.dependency_cancelled_at.is_none() && job.spec.dependencies.contains(&id) {
                    job.dependency_cancelled_at = Some(self.now);
                    next.push(follower.clone());
                }
            }
        }
    }
}
