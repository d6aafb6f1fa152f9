//! Starvation: jobs of the lowest priority begin too, however much goes before them.
//!
//! The order of the queue is strict, so on a full fleet the jobs at its end would not begin
//! for as long as other work comes. A job of which nothing has begun within the operators'
//! `starvation_limit_s` therefore gets its first task before others. One task only, on the
//! next capacity that comes free (nothing is stopped for it), the longest wait first, and
//! within a share of the shard's cores, so that a flood of such jobs does not invert the
//! order. The rest of the job waits in its place again. Called by the scheduling cycle.

use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::storage::cache::{Job, Slice};
use crate::units::{JobId, Millis, ShardId};

/// The share of a shard's cores that first tasks of starving jobs may take.
const CPU_SHARE: f64 = 0.1;

/// The least number of cores that the share is computed as, so as not to divide by 0.
const MIN_SHARE_CPUS: f64 = 1e-3;

impl Core {
    /// The index of the job, among a shard's pending ones, that has waited longest without
    /// anything of it begun; none if none has waited too long, or if the shard has used up
    /// its share for such jobs.
    pub(crate) fn starving_job(&self, shard: ShardId, jobs: &[(&JobId, &Job)]) -> Option<usize> {
        if self.owned_shards.get(&shard).is_none_or(|owned_shard| self.now < owned_shard.next_starving_job) {
            return None;
        }
        let starving = jobs.iter().enumerate().filter(|(_, (_, job))| self.is_starving(job));
        starving.min_by_key(|(_, (id, job))| (job.record.eligible_since_ms(), *id)).map(|(index, _)| index)
    }

    /// True if nothing of the job has begun for too long. A gang never counts: it cannot begin
    /// with one task.
    fn is_starving(&self, job: &Job) -> bool {
        // Most jobs are too young, which is known without a look at their slices.
        self.age_s(job) > self.tuning.starvation_limit_s
            && job.record.spec.kind != JobKind::Gang
            && job.done_and_placed() == (0, 0)
            && job.slices().iter().all(|slice| Slice::tried_tasks(slice) == 0)
    }

    /// The first task of a starving job, of `cpus` cores for `hold_s` seconds, got capacity in
    /// a shard of `shard_cpus` cores: the next such job waits until the share would have done
    /// that work.
    pub(crate) fn starving_job_started(&mut self, shard: ShardId, cpus: f64, hold_s: f64, shard_cpus: f64) {
        let share_cpus = (CPU_SHARE * shard_cpus).max(MIN_SHARE_CPUS);
        let pause = Millis::from_secs((cpus * hold_s / share_cpus).min(self.tuning.starvation_limit_s));
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.next_starving_job = self.now + pause;
        }
    }
}
