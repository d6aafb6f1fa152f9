//! Users who cancel jobs at the moments that are hardest to handle: many at once, and at the
//! end of the last task.

use super::events::ScheduledEvent;
use super::workers::WorkerTask;
use super::SimulatedCluster;
use std::collections::BTreeMap;
use tillercleat::units::JobId;

/// Tasks that end later than this are cancelled while they run (milliseconds).
const LONG_TASK_MS: u64 = 5000;
/// Within what time jobs are cancelled that are cancelled at once (milliseconds).
const CANCEL_SPREAD_MS: u64 = 200;
/// Within what time their machines begin to hang, and how many of them do.
const HANG_SPREAD_MS: u64 = 400;
const MAX_HANGING: usize = 8;
/// A job whose end is further away is left alone (milliseconds).
const MAX_TIME_TO_END_MS: u64 = 200_000;
/// From how long before the end users act, and for how long (milliseconds).
const BEFORE_END_MS: u64 = 300;
const AROUND_END_MS: u64 = 1800;

impl SimulatedCluster {
    /// Running jobs are cancelled within a fifth of a second; some of their machines hang.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang_ms: u64) {
        for (number, (job, worker)) in self.long_running_jobs().into_iter().take(count).enumerate() {
            let at = self.now + self.random.below(CANCEL_SPREAD_MS);
            self.schedule(at, ScheduledEvent::Cancel { job, retries: 0 });
            if hang_ms > 0 && number < MAX_HANGING {
                let at = self.now + self.random.below(HANG_SPREAD_MS);
                self.schedule(at, ScheduledEvent::HangWorker { worker, for_ms: hang_ms });
            }
        }
    }

    /// Jobs with a task that has long to go, and the last worker that runs one.
    fn long_running_jobs(&self) -> BTreeMap<JobId, usize> {
        let open = |job: &JobId| {
            let job = self.jobs.get(job);
            job.is_some_and(|job| job.accepted && !job.cancel_requested && job.dependency_cancelled_at.is_none())
        };
        let long = |task: &WorkerTask| task.is_running() && task.ends_at > self.now + LONG_TASK_MS;
        let mut running = BTreeMap::new();
        for (index, worker) in self.workers.iter().enumerate().filter(|(_, worker)| worker.alive) {
            for (name, task) in &worker.tasks {
                if long(task) && open(&name.job) {
                    running.insert(name.job.clone(), index);
                }
            }
        }
        running
    }

    /// If a job's last tasks run, its user cancels it, asks about it and submits it again
    /// before, in and after the transaction that ends it.
    pub(super) fn schedule_cancel_at_completion(&mut self, id: &JobId) {
        let Some(end) = self.end_of_last_tasks(id).filter(|end| *end <= self.now + MAX_TIME_TO_END_MS) else { return };
        let spec = self.jobs[id].spec.clone();
        let (from, random) = (end.saturating_sub(BEFORE_END_MS).max(self.now), &mut self.random);
        let mut moment = || from + random.below(AROUND_END_MS);
        let (cancel, polls, again) = (moment(), [moment(), moment()], moment());
        self.schedule(cancel, ScheduledEvent::Cancel { job: id.clone(), retries: 0 });
        for at in polls {
            self.schedule(at, ScheduledEvent::QueryOnce { job: id.clone() });
        }
        self.schedule(again, ScheduledEvent::Submit { spec, retries: 0 });
    }

    /// When the last task of a job ends, if all that is left of it runs.
    fn end_of_last_tasks(&self, id: &JobId) -> Option<u64> {
        let job = self.jobs.get(id).filter(|job| job.accepted && !job.cancel_requested)?;
        let alive = || self.workers.iter().filter(|worker| worker.alive);
        let running: usize = alive().map(|worker| worker.running_tasks_of(id)).sum();
        if job.finished_tasks.len() + running < job.spec.task_count as usize {
            return None;
        }
        let tasks = alive().flat_map(|worker| &worker.tasks).filter(|(name, _)| name.job == *id);
        tasks.map(|(_, task)| task.ends_at).max()
    }
}
