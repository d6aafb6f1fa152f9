//! Jobs and their users.

use super::*;

pub struct Job {
    pub spec: JobSpec,
    /// When its user first asked.
    pub(super) came: u64,
    pub(super) accepted: bool,
    pub(super) cancel_asked: bool,
    pub(super) cancel_told: Option<u64>,
    /// When a user was told that a job before it is cancelled.
    pub(super) doomed: Option<u64>,
    /// When a question about it was answered last.
    pub(super) answered: u64,
    pub(super) done_told: bool,
    /// When its first task was started, and when the last one so far.
    pub(super) began: Option<u64>,
    pub(super) last_start: u64,
    pub(super) finished: BTreeSet<u32>,
}

impl Job {
    /// When its user was told that it is cancelled, or that one before it is.
    pub(super) fn cancelled(&self) -> Option<u64> {
        self.cancel_told.into_iter().chain(self.doomed).min()
    }
}

impl World {
    pub fn submit(&mut self, at: u64, spec: JobSpec) {
        self.at(at, Due::Submit(spec, 0));
    }

    pub fn cancel(&mut self, at: u64, job: &JobId) {
        self.at(at, Due::Cancel(job.clone(), 0));
    }

    /// Users ask about a job, this once.
    pub fn poll(&mut self, at: u64, job: &JobId) {
        self.at(at, Due::Poll(job.clone()));
    }

    /// The user of a job no longer asks, but keeps in mind what it sent.
    pub fn forget_user(&mut self, at: u64, id: &JobId) {
        self.run(at);
        self.given_up.insert(id.clone());
    }

    pub(super) fn ask(&mut self, ask: ClientRequest, job: JobId, what: &'static str, tries: u32) {
        let node = self.random_node();
        if self.nodes[node].core.is_none() || self.now < self.nodes[node].hidden_until {
            return self.ask_again(job, what, tries);
        }
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let accepted = self.jobs.get(&job).is_some_and(|j| j.accepted);
        self.requests.insert((node, id), Asked::User(job, what, tries, accepted));
        let (life, at) = (self.nodes[node].life, self.now + self.link());
        self.at(at, Due::ToNode(node, life, Input::ClientRequest(id, ask)));
    }

    pub(super) fn ask_again(&mut self, job: JobId, what: &'static str, tries: u32) {
        let at = self.now + 1000;
        if self.given_up.contains(&job) {
            return;
        }
        match what {
            "submit" if tries < 90 => {
                let spec = self.jobs[&job].spec.clone();
                self.at(at, Due::Submit(spec, tries + 1));
            }
            "cancel" if tries < 90 => self.at(at, Due::Cancel(job, tries + 1)),
            "poll" => self.at(self.now + 3000, Due::Poll(job)),
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
        let (cancel_ms, calm_from) = (self.shape.cancel_ms, self.calm_from);
        let Some(job) = self.jobs.get_mut(&id) else {
            if matches!(response, Response::Job { .. }) {
                self.broken.push(format!("invented: {id}"));
            }
            return;
        };
        match response {
            Response::Job { status, state, .. } => {
                if accepted && status == 201 {
                    self.broken.push(format!("accepted twice: {id} at {now}"));
                }
                if state == JobState::Done && job.finished.len() < job.spec.task_count as usize {
                    self.broken.push(format!("not_done: {id} at {now}"));
                }
                let back = (job.done_told && state != JobState::Done)
                    || (job.cancel_told.is_some() && state != JobState::Cancelled);
                if back {
                    self.broken.push(format!("went_back: {id} is {state:?} at {now}"));
                }
                job.done_told |= state == JobState::Done;
                job.answered = now;
                let open = matches!(state, JobState::Queued | JobState::Running);
                if open && job.doomed.is_some_and(|at| now > at + cancel_ms) {
                    self.broken.push(format!("orphaned: {id} is {state:?} at {now}"));
                }
                let told = state == JobState::Cancelled && job.cancel_told.is_none();
                if told {
                    job.cancel_told = Some(now);
                    if !job.cancel_asked && job.doomed.is_none() && job.spec.dependencies.is_empty() {
                        self.broken.push(format!("went_back: nobody cancelled {id} at {now}"));
                    }
                }
                let first = !job.accepted;
                job.accepted = true;
                if told {
                    self.doom_after(&id);
                }
                if first || what == "poll" {
                    self.at(now + 3000, Due::Poll(id));
                }
            }
            Response::Error { status, .. } => {
                if accepted && matches!(status, 400 | 404 | 422) {
                    self.broken.push(format!("forgotten: {id} gets {status} at {now}"));
                }
                if accepted && now > calm_from.max(job.answered) + FORGOTTEN {
                    self.broken.push(format!("forgotten: {id} at {now}, last heard of at {}", job.answered));
                }
                if what == "submit" && matches!(status, 400 | 422) {
                    self.final_no.insert(id, status);
                    return;
                }
                self.refused += usize::from(status == 503);
                self.ask_again(id, what, tries);
            }
            _ => {}
        }
    }

    /// All that needs a cancelled job is cancelled with it.
    pub(super) fn doom_after(&mut self, id: &JobId) {
        let mut next = vec![id.clone()];
        while let Some(id) = next.pop() {
            for (follower, job) in &mut self.jobs {
                if job.doomed.is_none() && job.spec.dependencies.contains(&id) {
                    job.doomed = Some(self.now);
                    next.push(follower.clone());
                }
            }
        }
    }
}
