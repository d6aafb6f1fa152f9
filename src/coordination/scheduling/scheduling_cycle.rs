//! Scheduling cycle: one pass over the pending queue for each owned shard.
//!
//! The core's tick calls `run_scheduling_cycles`. For each shard, a [`ShardCycle`] decides on a
//! snapshot of the shard's machines which pending tasks start now and which wait for a busy
//! machine; this module then applies its [`CycleOutcome`]. Placements become durable with the
//! shard's next transaction. This module sends nothing to workers.

mod evacuation;
mod exhausted_shapes;
mod job_placement;
mod limits;
mod quick_start_reserve;
mod shard_cycle;

use crate::coordination::scheduling::candidate_machine::CandidateMachine;
use crate::coordination::scheduling::pending_queue::{CacheIndex, JobSet};
use crate::coordination::shards::owned_shard::{QuotaShortage, TaskKey};
use crate::coordination::Core;
use crate::storage::cache::{Job, Slice};
use crate::storage::records::TaskRecord;
use crate::units::{Attempt, JobId, MachineId, ShardId};
use shard_cycle::ShardCycle;
use std::collections::BTreeMap;

/// A task that starts on a machine.
struct Placement {
    task: TaskKey,
    /// Number of the attempt that begins.
    attempt: Attempt,
    machine: MachineId,
}

/// Tasks of one job that found no free capacity in a cycle.
pub(crate) struct UnplacedTasks {
    pub job: JobId,
    /// Number of its tasks that the cycle considered without starting them.
    pub tasks: usize,
    /// Seconds until the first of them is planned to start; infinite if none is planned.
    pub wait_s: f64,
}

/// Start of the first task of a starving job.
struct StarvingStart {
    /// Cores that the task uses.
    cpus: f64,
    /// Seconds for which the task will use them.
    hold_s: f64,
    /// Cores of all candidate machines of the shard.
    shard_cpus: f64,
}

/// Decisions of one cycle of one shard.
#[derive(Default)]
struct CycleOutcome {
    placements: Vec<Placement>,
    /// Jobs with tasks that wait for capacity, in the order of the queue.
    unplaced: Vec<UnplacedTasks>,
    /// Quota that the shard lacks, by team, for tasks that have a machine to start on.
    quota_shortages: BTreeMap<String, QuotaShortage>,
    /// Set if the starving job, which was served first, got its task.
    starving_start: Option<StarvingStart>,
}

impl Core {
    /// Runs one cycle in each shard that is owned and ready. Does nothing if the cached records are
    /// too stale to start new work.
    pub(crate) fn run_scheduling_cycles(&mut self) {
        if !self.records_fresh() {
            return;
        }
        self.rebuild_histories();
        self.evacuate_machines();
        let guaranteed = self.guaranteed_jobs();
        let queue = self.pending_queue(&guaranteed);
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            if self.may_schedule(shard) {
                self.run_scheduling_cycle(shard, &queue, &guaranteed);
            }
        }
    }

    fn may_schedule(&self, shard: ShardId) -> bool {
        self.owned_shards.get(&shard).is_some_and(|owned_shard| owned_shard.ready && !owned_shard.releasing)
    }

    /// Plans and applies one cycle of one shard.
    fn run_scheduling_cycle(&mut self, shard: ShardId, queue: &[CacheIndex], guaranteed: &JobSet) {
        let jobs = self.jobs_pending_in(shard, queue);
        if jobs.is_empty() {
            self.set_quota_shortages(shard, BTreeMap::new());
            return;
        }
        let outcome = ShardCycle::new(self, shard).run(jobs);
        self.apply(shard, outcome, guaranteed);
    }

    /// Returns the jobs of the queue with pending tasks in the shard, in the queue's order.
    fn jobs_pending_in(&self, shard: ShardId, queue: &[CacheIndex]) -> Vec<(&JobId, &Job)> {
        // If this node owns a single shard, all tasks that are pending here are pending in that
        // shard.
        let only_shard = self.owned_shards.len() == 1;
        let is_pending_in = |job: &Job| pending_slices_in(job, shard).next().is_some();
        let jobs = queue.iter().filter_map(|index| self.cache.jobs.get_index(index.0));
        jobs.filter(|(_, job)| job.pending_tasks() > 0 && (only_shard || is_pending_in(job))).collect()
    }

    /// Applies the decisions of a cycle, then preempts tasks for jobs that it could not place.
    fn apply(&mut self, shard: ShardId, outcome: CycleOutcome, guaranteed: &JobSet) {
        if let Some(start) = outcome.starving_start {
            self.record_starving_start(shard, start.cpus, start.hold_s, start.shard_cpus);
        }
        for Placement { task, attempt, machine } in outcome.placements {
            tracing::debug!(job = %task.0, task = task.1, %attempt, %machine, "placed task");
            self.set_task(&task, TaskRecord::Placed(attempt, machine));
        }
        self.set_quota_shortages(shard, outcome.quota_shortages);
        self.preempt_tasks(shard, &outcome.unplaced, guaranteed);
    }

    fn set_quota_shortages(&mut self, shard: ShardId, shortages: BTreeMap<String, QuotaShortage>) {
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.quota_shortages = shortages;
        }
    }

    /// Logs the shard's idle cores and the cores that its jobs lack, at level `debug`.
    fn log_cycle(&self, shard: ShardId, machines: &[CandidateMachine], outcome: &CycleOutcome) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let idle_cpus: f64 = machines.iter().map(|machine| machine.capacity.free.cpus.max(0.0)).sum();
        let total_cpus: f64 = machines.iter().map(|machine| machine.machine_type.cpus).sum();
        let lacking_cpus: f64 = outcome.unplaced.iter().map(|unplaced| self.unplaced_cpus(unplaced)).sum();
        let unwritten_slices = self.owned_shards.get(&shard).map_or(0, |owned_shard| owned_shard.dirty.len());
        tracing::debug!(
            %shard,
            idle_cpus,
            total_cpus,
            placed = outcome.placements.len(),
            lacking_cpus,
            unwritten_slices,
            "completed scheduling cycle"
        );
    }

    fn unplaced_cpus(&self, unplaced: &UnplacedTasks) -> f64 {
        let job = self.cache.jobs.get(&unplaced.job);
        job.map_or(0.0, |job| job.record.spec.cpus * unplaced.tasks as f64)
    }
}

/// Returns the job's slices that have pending tasks in the shard, with their indexes.
fn pending_slices_in(job: &Job, shard: ShardId) -> impl Iterator<Item = (usize, &Slice)> {
    let slices = job.slices().iter().enumerate();
    slices.filter(move |(index, slice)| slice.pending_tasks() > 0 && job.shard_of(*index) == Some(shard))
}

/// Returns the number of the job's tasks that are pending in the shard.
fn pending_tasks_in(job: &Job, shard: ShardId) -> usize {
    pending_slices_in(job, shard).map(|(_, slice)| slice.pending_tasks() as usize).sum()
}
