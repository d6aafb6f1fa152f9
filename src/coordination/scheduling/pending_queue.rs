//! Pending queue: jobs with pending tasks in the order in which they are served, and the jobs that
//! their team's guarantee covers.
//!
//! Rebuilt for each scheduling cycle from the state cache; nothing is kept between cycles. The
//! leader and the fleet query a job's age and allowed time.

use crate::coordination::scheduling::queue_order::{serve_order, QueuedJob};
use crate::coordination::Core;
use crate::protocol::users::Priority;
use crate::storage::cache::Job;
use crate::units::{ComputeAmount, JobId};
use foldhash::fast::FixedState;
use std::cmp::Reverse;
use std::collections::HashSet;

/// Bound on the absolute value of the time left by which jobs are ordered, in seconds.
const MAX_TIME_LEFT_S: f64 = 1e6;

/// Average share of its work that a task on a machine still has to do.
const RUNNING_TASK_REMAINING_SHARE: f64 = 0.5;

/// Allowed time in seconds of a job without a deadline and without an objective, plus
/// [`DEFAULT_ALLOWED_RUN_FACTOR`] times its run time.
const DEFAULT_ALLOWED_S: f64 = 600.0;

/// Multiple of its estimated run time that is added to the allowed time of such a job.
const DEFAULT_ALLOWED_RUN_FACTOR: f64 = 3.0;

/// Share of a job's run time after which its first tasks may be complete.
const EARLIEST_COMPLETION_RUN_SHARE: f64 = 0.5;

/// Tolerance for rounding errors when usage is compared with a guarantee, in cores or GPUs.
const GUARANTEE_TOLERANCE: f64 = 1e-6;

/// A job's index in the cache: gives access without a comparison of names. Valid until a job is
/// dropped from the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CacheIndex(pub usize);

/// A set of jobs with fast lookups; its iteration order has no meaning.
pub(crate) type JobSet = HashSet<JobId, FixedState>;

/// Ordering keys that precede the time left in the queue's order. Smaller goes first; fields are
/// compared in declaration order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    /// False for jobs of high or critical priority, which go before jobs within a guarantee.
    below_high_priority: bool,
    /// False for jobs that their team's guarantee covers.
    beyond_guarantee: bool,
    /// Priority of the job, or of any job that depends on it; highest first.
    priority: Reverse<Priority>,
}

/// Reference to a queued job. Its order, by name, breaks ties between jobs that are otherwise
/// equal.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedJobRef<'a> {
    id: &'a JobId,
    index: CacheIndex,
    /// True if tasks of the job are pending in a shard of this node.
    pending_here: bool,
}

impl Core {
    /// Returns the jobs with tasks pending in shards of this node, in the order in which they are
    /// served: high priorities first, then jobs within a guarantee, then by priority, then by the
    /// least spare time. Jobs that cannot be on time after all the work before them go last within
    /// their rank.
    ///
    /// Jobs that are pending in other shards are ordered too, because their work may make other
    /// jobs late.
    pub(crate) fn pending_queue(&self, guaranteed: &JobSet) -> Vec<CacheIndex> {
        let mut queue = vec![];
        let mut any_pending_here = false;
        for (index, (id, job)) in self.cache.jobs.iter().enumerate() {
            if job.record.outcome.is_some() || job.record.waits_for_dependencies() || self.in_retry_backoff(id, job) {
                continue;
            }
            let pending_here = job.pending_tasks() > 0;
            any_pending_here |= pending_here;
            let job_ref = QueuedJobRef { id, index: CacheIndex(index), pending_here };
            queue.push(self.queued_job(job_ref, job, guaranteed));
        }
        if !any_pending_here {
            return vec![];
        }
        let order = serve_order(queue, self.cluster_cpus());
        order.into_iter().filter(|job| job.pending_here).map(|job| job.index).collect()
    }

    /// Collects the values by which a job is ordered in the queue.
    fn queued_job<'a>(
        &self,
        job_ref: QueuedJobRef<'a>,
        job: &Job,
        guaranteed: &JobSet,
    ) -> QueuedJob<QueueRank, QueuedJobRef<'a>> {
        let spec = &job.record.spec;
        let run_s = self.estimates.expected_run_s(job);
        let (done, on_machines) = job.done_and_placed();
        let tasks_left = f64::from(spec.task_count.saturating_sub(done + on_machines))
            + f64::from(on_machines) * RUNNING_TASK_REMAINING_SHARE;
        QueuedJob {
            rank: QueueRank {
                below_high_priority: job.priority() < Priority::High,
                beyond_guarantee: !guaranteed.contains(job_ref.id),
                priority: Reverse(job.priority()),
            },
            time_left_s: (self.allowed_s(job) - self.age_s(job)).clamp(-MAX_TIME_LEFT_S, MAX_TIME_LEFT_S),
            run_s,
            work_cpu_s: tasks_left * spec.cpus * run_s,
            accepted_at_ms: job.record.eligible_since_ms(),
            id: job_ref,
        }
    }

    /// Estimates the cores of all shards from those of this node's shards: machines hash to shards
    /// evenly.
    fn cluster_cpus(&self) -> f64 {
        let machines = self.owned_shards.values().flat_map(|owned_shard| owned_shard.machines.values());
        let types = machines.filter_map(|machine| self.catalog.get(&machine.machine_type));
        let owned_cpus: f64 = types.map(|machine_type| machine_type.cpus).sum();
        owned_cpus * f64::from(self.shard_count) / self.owned_shards.len().max(1) as f64
    }

    /// Returns the seconds since a job was accepted or, if it waited for dependencies, since it may
    /// start. Approximate: it compares the wall clocks of different machines.
    pub(crate) fn age_s(&self, job: &Job) -> f64 {
        self.time_of_day_ms.saturating_sub(job.record.eligible_since_ms()) as f64 / 1000.0
    }

    /// Returns the seconds, counted like [`Core::age_s`], within which a job should be complete: by
    /// its deadline, else by the nearest objective that it can still meet, else by a default.
    /// Shorter if a job that depends on it is due sooner.
    pub(crate) fn allowed_s(&self, job: &Job) -> f64 {
        let spec = &job.record.spec;
        let since_ms = job.record.eligible_since_ms();
        let seconds_after = |due_ms: u64| (due_ms as f64 - since_ms as f64) / 1000.0;
        // A deadline counts from the submission, even if the job waited for dependencies.
        let deadline_s = spec.deadline_s.map(|deadline_s| deadline_s + seconds_after(job.record.accepted_at_ms));
        let own_s = deadline_s.unwrap_or_else(|| {
            let earliest_completion_s =
                self.age_s(job) + EARLIEST_COMPLETION_RUN_SHARE * self.estimates.expected_run_s(job);
            let objective_s = self.objectives.finish_within_s(&job.class, earliest_completion_s);
            objective_s.unwrap_or(DEFAULT_ALLOWED_S + spec.estimated_run_s * DEFAULT_ALLOWED_RUN_FACTOR)
        });
        let inherited_due_ms = job.effective_priority.and_then(|effective_priority| effective_priority.due_ms);
        inherited_due_ms.map_or(own_s, |due_ms| own_s.min(seconds_after(due_ms)))
    }

    /// Returns the jobs that their team's guarantee covers. Each team's jobs are counted in the
    /// order in which they were accepted or, with dependencies, became ready to start.
    pub(crate) fn guaranteed_jobs(&self) -> JobSet {
        // There are few teams, so a linear search is faster than a map.
        let mut left = self.guarantees.clone();
        if left.is_empty() {
            return JobSet::default();
        }
        let may_be_covered = |id: &JobId, job: &Job| {
            job.record.outcome.is_none()
                && !job.record.waits_for_dependencies()
                && left.iter().any(|guarantee| guarantee.team == job.team)
                && !self.fails_everywhere(id)
        };
        let mut jobs: Vec<(&JobId, &Job)> =
            self.cache.jobs.iter().filter(|(id, job)| may_be_covered(id, job)).collect();
        jobs.sort_by(|(a_id, a), (b_id, b)| {
            (a.record.eligible_since_ms(), a_id).cmp(&(b.record.eligible_since_ms(), b_id))
        });
        let mut covered = JobSet::default();
        for (id, job) in jobs {
            let guarantee = left.iter_mut().find(|guarantee| guarantee.team == job.team);
            if guarantee.is_some_and(|guarantee| deduct_from_guarantee(&mut guarantee.amount, job)) {
                covered.insert(id.clone());
            }
        }
        covered
    }
}

/// Deducts all tasks of a job from the rest of its team's guarantee, which may become negative.
/// True if the guarantee covers them.
fn deduct_from_guarantee(left: &mut ComputeAmount, job: &Job) -> bool {
    let spec = &job.record.spec;
    let tasks = f64::from(spec.task_count);
    left.cpus -= spec.cpus * tasks;
    left.gpus -= spec.gpus * tasks;
    left.cpus >= -GUARANTEE_TOLERANCE && left.gpus >= -GUARANTEE_TOLERANCE
}
