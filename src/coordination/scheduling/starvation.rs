//! Aging: work of the lowest priority begins too, however much goes before it.
//!
//! The order of service is strict, so on a full fleet the jobs at its end would not
//! begin for as long as higher work comes. A job of which nothing has begun for
//! `starvation_limit_s` therefore gets its first task before others: one task, at the next room that
//! opens (nothing is stopped for it), the longest wait first, and within a share of the
//! shard's cores, so that no flood of such jobs turns the order round. What has begun
//! waits in its place again.

use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::storage::cache::{Job, Slice};
use crate::units::{JobId, Millis, ShardId};

/// Of a shard's cores, what first tasks of aged jobs may take.
const SHARE: f64 = 0.1;

impl Core {
    /// Of these waiting jobs, which one has waited longest without anything of it begun,
    /// if that is too long and the shard has cores to give it.
    pub(crate) fn starving_job(&self, shard: ShardId, order: &[(&JobId, &Job)]) -> Option<usize> {
        if self.owned_shards.get(&shard).is_none_or(|owned_shard| self.now < owned_shard.next_starving_job) {
            return None;
        }
        let unbegun = |job: &Job| job.counts() == (0, 0) && job.slices().iter().all(|s| Slice::tried(s) == 0);
        // Most are too young: that is known at once.
        let old = |job: &Job| {
            self.age_s(job) > self.tuning.starvation_limit_s && job.record.spec.kind != JobKind::Gang && unbegun(job)
        };
        let starving_job = order.iter().enumerate().filter(|(_, (_, job))| old(job));
        starving_job.min_by_key(|(_, (id, job))| (job.record.since(), *id)).map(|(at, _)| at)
    }

    /// The first task of an aged job, of so many cores, got room in the shard: others wait
    /// until it has used up its share.
    pub(crate) fn starving_job_started(&mut self, shard: ShardId, cpus: f64, run_s: f64, cores: f64) {
        let pause = Millis::secs((cpus * run_s / (SHARE * cores).max(1e-3)).min(self.tuning.starvation_limit_s));
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.next_starving_job = self.now + pause;
        }
    }
}
