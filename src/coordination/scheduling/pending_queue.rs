//! Which jobs wait, in what order they are served, and who is within a guarantee.

use crate::coordination::scheduling::queue_order::{serve_order, QueuedJob};
use crate::coordination::Core;
use crate::protocol::users::Priority;
use crate::storage::cache::Job;
use crate::units::JobId;
use foldhash::fast::FixedState;
use std::collections::HashSet;

/// Where a job stands in the cache, until one is dropped from it: found without
/// comparing names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place(pub usize);

/// Jobs that are asked about often, in no order that means anything.
pub(crate) type JobSet = HashSet<JobId, FixedState>;

/// Not of a high priority, not within a guarantee, the priority: less first.
type Precedence = (bool, bool, std::cmp::Reverse<Priority>);

impl Core {
    /// Jobs with work left, in the order they are served: priority first,
    /// then work within a guarantee, then the least time to spare. What cannot
    /// be in time with all that goes before it yields.
    pub(crate) fn waiting_jobs(&self, guaranteed: &JobSet) -> Vec<Place> {
        // With its place, and whether tasks of ours wait.
        let mut queue: Vec<QueuedJob<Precedence, (&JobId, Place, bool)>> = vec![];
        let mut any_ours = false;
        for (place, (id, job)) in self.cache.jobs.iter().enumerate() {
            if job.record.end.is_some() || job.record.waits() || self.in_retry_backoff(id, job) {
                continue;
            }
            let ours = job.pending_tasks() > 0;
            any_ours |= ours;
            let spec = &job.record.spec;
            let run_s = self.estimates.run_time(job);
            let (done, on) = job.counts();
            let left = f64::from(spec.task_count.saturating_sub(done + on)) + f64::from(on) * 0.5;
            queue.push(QueuedJob {
                rank: (job.priority() < Priority::High, !guaranteed.contains(id), std::cmp::Reverse(job.priority())),
                left_s: (self.allowed_s(job) - self.age_s(job)).clamp(-1e6, 1e6),
                run_s,
                work: left * spec.cpus * run_s,
                at: job.record.since(),
                id: (id, Place(place), ours),
            });
        }
        if !any_ours {
            return vec![];
        }
        let order = serve_order(queue, self.cluster_cpus());
        order.into_iter().filter(|(.., ours)| *ours).map(|(_, place, _)| place).collect()
    }

    /// Cores of all shards, judged by ours: machines hash to shards evenly.
    fn cluster_cpus(&self) -> f64 {
        let machines = self.owned_shards.values().flat_map(|m| m.machines.values());
        let ours: f64 = machines.filter_map(|m| self.catalog.get(&m.kind)).map(|t| t.cpus).sum();
        ours * f64::from(self.shard_count) / self.owned_shards.len().max(1) as f64
    }

    /// Time since a job was accepted, or since it may start if it waited for
    /// others, estimated by the time of day.
    pub(crate) fn age_s(&self, job: &Job) -> f64 {
        self.time_of_day_ms.saturating_sub(job.record.since()) as f64 / 1000.0
    }

    /// Time a job may take from then, as its user or those that need it say,
    /// or the nearest of the aims that it can still meet.
    pub(crate) fn allowed_s(&self, job: &Job) -> f64 {
        let spec = &job.record.spec;
        let since = job.record.since();
        let after = |due_ms: u64| (due_ms as f64 - since as f64) / 1000.0;
        // A deadline counts from the submission, however long the job waited.
        let own = spec.deadline_s.map(|deadline| deadline + after(job.record.at));
        let own = own.unwrap_or_else(|| {
            let soonest_s = self.age_s(job) + 0.5 * self.estimates.run_time(job);
            self.objectives.finish_within_s(&job.class, soonest_s).unwrap_or(600.0 + spec.estimated_run_s * 3.0)
        });
        job.effective_priority
            .and_then(|effective_priority| effective_priority.due_ms)
            .map_or(own, |due| own.min(after(due)))
    }

    /// Jobs that fit into their team's guarantee along with its earlier ones.
    pub(crate) fn guaranteed_jobs(&self) -> JobSet {
        // A handful of teams: looked through faster than a map.
        let mut left = self.guarantees.clone();
        if left.is_empty() {
            return JobSet::default();
        }
        let mut jobs: Vec<(&JobId, &Job)> = self
            .cache
            .jobs
            .iter()
            .filter(|(id, j)| {
                j.record.end.is_none()
                    && !j.record.waits()
                    && left.iter().any(|guarantee| guarantee.team == j.team)
                    && !self.fails_everywhere(id)
            })
            .collect();
        jobs.sort_by(|(a_id, a), (b_id, b)| (a.record.since(), a_id).cmp(&(b.record.since(), b_id)));
        let mut within = JobSet::default();
        for (id, job) in jobs {
            let spec = &job.record.spec;
            let Some(guarantee) = left.iter_mut().find(|guarantee| guarantee.team == job.team) else { continue };
            let room = &mut guarantee.amount;
            let tasks = f64::from(spec.task_count);
            room.cpus -= spec.cpus * tasks;
            room.gpus -= spec.gpus * tasks;
            if room.cpus >= -1e-6 && room.gpus >= -1e-6 {
                within.insert(id.clone());
            }
        }
        within
    }
}
