//! Starvation prevention: jobs of the lowest priority start too, even if higher priorities keep the
//! fleet full.
//!
//! The order of the queue is strict, so on a full fleet the jobs at its end would not start while
//! other work arrives. A job of which no task has started within the operators'
//! `starvation_limit_s` therefore gets its first task before other jobs: one task only, on the next
//! capacity that is released (no task is preempted for it), the longest wait first, and within a
//! share of the shard's cores, so that a flood of such jobs does not invert the order. The rest of
//! the job waits in its normal place in the queue. The scheduling cycle calls this module.

use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::storage::cache::{Job, Slice};
use crate::units::{JobId, Millis, ShardId};

/// Share of a shard's cores that first tasks of starving jobs may use.
const STARVING_CPU_SHARE: f64 = 0.1;

/// Minimum of that share in cores, to avoid a division by 0.
const MIN_STARVING_CPUS: f64 = 1e-3;

impl Core {
    /// Returns the index of the starving job, among a shard's pending jobs, that has waited
    /// longest; `None` if no job is starving, or if the shard has used up its share for such jobs.
    pub(crate) fn starving_job(&self, shard: ShardId, jobs: &[(&JobId, &Job)]) -> Option<usize> {
        if self.owned_shards.get(&shard).is_none_or(|owned_shard| self.now < owned_shard.next_starving_job_at) {
            return None;
        }
        let starving = jobs.iter().enumerate().filter(|(_, (_, job))| self.is_starving(job));
        starving.min_by_key(|(_, (id, job))| (job.record.eligible_since_ms(), *id)).map(|(index, _)| index)
    }

    /// True if no task of the job has started within the starvation limit. Always false for a gang,
    /// which cannot start with one task.
    fn is_starving(&self, job: &Job) -> bool {
        // Checks the age first: it excludes most jobs without a look at their slices.
        self.age_s(job) > self.tuning.starvation_limit_s
            && job.record.spec.kind != JobKind::Gang
            && job.done_and_placed() == (0, 0)
            && job.slices().iter().all(|slice| Slice::tried_tasks(slice) == 0)
    }

    /// Records that the first task of a starving job, with `cpus` cores for `hold_s` seconds, got
    /// capacity in a shard of `shard_cpus` cores. The next starving job is delayed for the time in
    /// which the share would do that work, up to the starvation limit.
    pub(crate) fn record_starving_start(&mut self, shard: ShardId, cpus: f64, hold_s: f64, shard_cpus: f64) {
        let share_cpus = (STARVING_CPU_SHARE * shard_cpus).max(MIN_STARVING_CPUS);
        let pause = Millis::from_secs((cpus * hold_s / share_cpus).min(self.tuning.starvation_limit_s));
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.next_starving_job_at = self.now + pause;
        }
    }
}
