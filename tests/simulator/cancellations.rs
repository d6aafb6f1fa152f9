//! Cancellations at the moments that are hardest to handle: many at once, and around the end of a
//! job's last task.

use super::events::ScheduledEvent;
use super::workers::WorkerTask;
use super::SimulatedCluster;
use std::collections::BTreeMap;
use tillercleat::units::JobId;

/// Minimum remaining run time of a task for its job to be cancelled while it runs (milliseconds).
const MIN_REMAINING_MS: u64 = 5000;
/// Period over which simultaneous cancellations are spread (milliseconds).
const CANCEL_SPREAD_MS: u64 = 200;
/// Period over which the starts of their machines' hangs are spread (milliseconds), and the maximum
/// number of machines that hang.
const HANG_SPREAD_MS: u64 = 400;
const MAX_HANGING: usize = 8;
/// Jobs that end later than this are not cancelled at completion (milliseconds).
const MAX_TIME_TO_END_MS: u64 = 200_000;
/// How long before the end of the last task users start to act, and for how long (milliseconds).
const BEFORE_END_MS: u64 = 300;
const AROUND_END_MS: u64 = 1800;

impl SimulatedCluster {
    /// Cancels up to `count` running jobs within 200 ms. Some of their machines hang if `hang_ms` is
    /// not 0.
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

    /// Returns the open jobs with a long-running task, each with the last worker that runs one.
    fn long_running_jobs(&self) -> BTreeMap<JobId, usize> {
        let open = |job: &JobId| {
            let job = self.jobs.get(job);
            job.is_some_and(|job| job.accepted && !job.cancel_requested && job.dependency_cancelled_at.is_none())
        };
        let long = |task: &WorkerTask| task.is_running() && task.ends_at > self.now + MIN_REMAINING_MS;
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

    /// If a job's last tasks are running, schedules a cancellation, queries and a resubmission at
    /// random times before, during and after the transaction that completes the job.
    pub(super) fn schedule_cancel_at_completion(&mut self, id: &JobId) {
        let Some(end) = self.end_of_last_tasks(id).filter(|end| *end <= self.now + MAX_TIME_TO_END_MS) else { return };
        let spec = self.jobs[id].spec.clone();
        let (from, random) = (end.saturating_sub(BEFORE_END_MS).max(self.now), &mut self.random);
        let mut random_time = || from + random.below(AROUND_END_MS);
        let (cancel, queries, resubmit) = (random_time(), [random_time(), random_time()], random_time());
        self.schedule(cancel, ScheduledEvent::Cancel { job: id.clone(), retries: 0 });
        for at in queries {
            self.schedule(at, ScheduledEvent::QueryOnce { job: id.clone() });
        }
        self.schedule(resubmit, ScheduledEvent::Submit { spec, retries: 0 });
    }

    /// Returns when the last task of a job ends, or None unless all unfinished tasks are running.
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
