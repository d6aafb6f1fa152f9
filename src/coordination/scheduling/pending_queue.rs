//! Which jobs have pending tasks, in what order they are served, and which are within their
//! team's guarantee.
//!
//! Worked out anew for each scheduling cycle from the state cache; the leader and the fleet
//! ask for a job's age and allowed time. Nothing is stored here.

use crate::coordination::scheduling::queue_order::{serve_order, QueuedJob};
use crate::coordination::Core;
use crate::protocol::users::Priority;
use crate::storage::cache::Job;
use crate::units::{ComputeAmount, JobId};
use foldhash::fast::FixedState;
use std::cmp::Reverse;
use std::collections::HashSet;

/// Bounds of the time left that jobs are ordered by, in seconds either way.
const MAX_TIME_LEFT_S: f64 = 1e6;

/// The share of its work that a task on a machine still has to do, on average.
const RUNNING_WORK_SHARE: f64 = 0.5;

/// Seconds that a job without a deadline and without an objective is allowed, beside
/// [`DEFAULT_ALLOWED_RUNS`].
const DEFAULT_ALLOWED_S: f64 = 600.0;

/// How many times its estimated run time such a job is allowed.
const DEFAULT_ALLOWED_RUNS: f64 = 3.0;

/// Of a job's run time, the share after which its first tasks may be complete.
const SOONEST_COMPLETION_SHARE: f64 = 0.5;

/// Rounding errors by which a guarantee may be exceeded.
const GUARANTEE_TOLERANCE: f64 = 1e-6;

/// A job's index in the cache: found without comparing names, and valid until a job is
/// dropped from the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CacheIndex(pub usize);

/// A set of jobs that is asked often, in no order that means anything.
pub(crate) type JobSet = HashSet<JobId, FixedState>;

/// What goes before the time left in the queue's order. Less goes first, the fields compared
/// in their order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    /// False for high priorities, which go before guarantees.
    below_high_priority: bool,
    /// False for jobs that their team's guarantee covers.
    beyond_guarantee: bool,
    /// The job's priority, or that of any job that depends on it; the highest first.
    priority: Reverse<Priority>,
}

/// What the queue knows a job by; jobs that are equal otherwise go by their names.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedJobRef<'a> {
    id: &'a JobId,
    index: CacheIndex,
    /// Tasks of the job are pending in a shard of this node.
    pending_here: bool,
}

impl Core {
    /// Jobs with tasks pending in shards of this node, in the order they are served: high
    /// priorities, then work within a guarantee, then the priority, then the least time to
    /// spare. What cannot be in time with all that goes before it yields.
    ///
    /// Jobs that are pending in other shards are ordered too: with their work, others may be
    /// late and yield.
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

    /// A job as the queue's order sees it.
    fn queued_job<'a>(
        &self,
        job_ref: QueuedJobRef<'a>,
        job: &Job,
        guaranteed: &JobSet,
    ) -> QueuedJob<QueueRank, QueuedJobRef<'a>> {
        let spec = &job.record.spec;
        let run_s = self.estimates.run_time(job);
        let (done, on) = job.done_and_placed();
        let tasks_left = f64::from(spec.task_count.saturating_sub(done + on)) + f64::from(on) * RUNNING_WORK_SHARE;
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

    /// Cores of all shards, estimated from those of this node's: machines hash to shards
    /// evenly.
    fn cluster_cpus(&self) -> f64 {
        let machines = self.owned_shards.values().flat_map(|owned_shard| owned_shard.machines.values());
        let types = machines.filter_map(|machine| self.catalog.get(&machine.kind));
        let owned_cpus: f64 = types.map(|machine_type| machine_type.cpus).sum();
        owned_cpus * f64::from(self.shard_count) / self.owned_shards.len().max(1) as f64
    }

    /// Seconds since a job was accepted, or since it may start if it waited for dependencies.
    /// An estimate: it compares times of day of different machines.
    pub(crate) fn age_s(&self, job: &Job) -> f64 {
        self.time_of_day_ms.saturating_sub(job.record.eligible_since_ms()) as f64 / 1000.0
    }

    /// Seconds from then within which a job is to be complete: by its deadline, or else by the
    /// nearest objective that it can still meet, or by a default; sooner if a job that depends
    /// on it needs that.
    pub(crate) fn allowed_s(&self, job: &Job) -> f64 {
        let spec = &job.record.spec;
        let since_ms = job.record.eligible_since_ms();
        let seconds_after = |due_ms: u64| (due_ms as f64 - since_ms as f64) / 1000.0;
        // A deadline counts from the submission, however long the job waited.
        let deadline_s = spec.deadline_s.map(|deadline_s| deadline_s + seconds_after(job.record.accepted_at_ms));
        let own_s = deadline_s.unwrap_or_else(|| {
            let soonest_s = self.age_s(job) + SOONEST_COMPLETION_SHARE * self.estimates.run_time(job);
            let objective_s = self.objectives.finish_within_s(&job.class, soonest_s);
            objective_s.unwrap_or(DEFAULT_ALLOWED_S + spec.estimated_run_s * DEFAULT_ALLOWED_RUNS)
        });
        let inherited_due_ms = job.effective_priority.and_then(|effective_priority| effective_priority.due_ms);
        inherited_due_ms.map_or(own_s, |due_ms| own_s.min(seconds_after(due_ms)))
    }

    /// Jobs that their team's guarantee covers along with the team's earlier ones.
    pub(crate) fn guaranteed_jobs(&self) -> JobSet {
        // There are few teams: a list is looked through faster than a map.
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
            if guarantee.is_some_and(|guarantee| take_from_guarantee(&mut guarantee.amount, job)) {
                covered.insert(id.clone());
            }
        }
        covered
    }
}

/// Takes all tasks of a job from what is left of its team's guarantee, which may go below
/// zero; true if the guarantee covers them.
fn take_from_guarantee(left: &mut ComputeAmount, job: &Job) -> bool {
    let spec = &job.record.spec;
    let tasks = f64::from(spec.task_count);
    left.cpus -= spec.cpus * tasks;
    left.gpus -= spec.gpus * tasks;
    left.cpus >= -GUARANTEE_TOLERANCE && left.gpus >= -GUARANTEE_TOLERANCE
}
