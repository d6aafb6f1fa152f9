//! Evacuation: stops tasks on machines that will be taken away, in time to write a checkpoint.
//!
//! Runs before the shards' scheduling cycles and marks tasks to be stopped on machines that are
//! faulty or have a termination notice. A later cycle places the tasks again.

use crate::coordination::scheduling::task_stop::TaskStop;
use crate::coordination::shards::owned_shard::{Machine, OwnedShard, TaskKey};
use crate::coordination::Core;
use crate::protocol::users::{JobKind, JobSpec};
use crate::units::{MonotonicTime, ShardId};

/// A task is left to run if it will end at least this many seconds before its machine is taken
/// away.
const COMPLETION_MARGIN_S: f64 = 0.5;

/// Time before the machine's end at which a checkpoint begins, as a multiple of the time to save
/// one, plus [`COMMAND_MARGIN_S`].
const CHECKPOINT_TIME_FACTOR: f64 = 1.5;

/// Time allowed for the stop command to reach the machine, in seconds.
const COMMAND_MARGIN_S: f64 = 3.0;

/// Minimum grace time of a task that writes checkpoints, in seconds.
const MIN_GRACE_S: f64 = 1.0;

impl Core {
    /// Marks tasks to be stopped on machines that are faulty or have a termination notice. On a
    /// faulty machine, all tasks are stopped at once. With a notice, a task that cannot complete
    /// before the machine's end is stopped at the last time at which a checkpoint can still be
    /// saved, or at once if it writes none.
    pub(super) fn evacuate_machines(&mut self) {
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            let stops = self.plan_evacuation(shard);
            self.mark_tasks_to_stop(shard, stops);
        }
    }

    fn plan_evacuation(&self, shard: ShardId) -> Vec<TaskStop> {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return vec![] };
        let mut stops = vec![];
        for (name, machine) in &owned_shard.machines {
            let Some(left_s) = time_left_s(machine, self.now) else { continue };
            for task in owned_shard.placed_tasks.get(name).into_iter().flatten() {
                if let Some(grace_s) = self.evacuation_grace_s(owned_shard, machine, left_s, task) {
                    stops.push(TaskStop { task: task.clone(), grace_s });
                }
            }
        }
        stops
    }

    /// Returns the grace time in seconds if the task must be stopped now; `None` if it may continue
    /// to run.
    fn evacuation_grace_s(
        &self,
        owned_shard: &OwnedShard,
        machine: &Machine,
        left_s: f64,
        key: &TaskKey,
    ) -> Option<f64> {
        let job = self.cache.jobs.get(&key.0)?;
        let spec = &job.record.spec;
        let remaining_s = self.remaining_s(owned_shard, job, key);
        let ends_in_time = spec.kind != JobKind::Service && remaining_s + COMPLETION_MARGIN_S < left_s;
        if ends_in_time && !machine.faulty {
            return None;
        }
        let has_checkpoints = spec.checkpoint_interval_s > 0.0;
        if has_checkpoints && !machine.faulty && left_s >= checkpoint_lead_s(spec) {
            return None;
        }
        Some(if has_checkpoints { spec.checkpoint_save_s.max(MIN_GRACE_S) } else { 0.0 })
    }
}

/// Returns the seconds until a machine is taken away, or 0 if it is faulty and has no notice;
/// `None` if it stays.
fn time_left_s(machine: &Machine, now: MonotonicTime) -> Option<f64> {
    machine.termination_at.map(|at| at.since(now).as_secs()).or(machine.faulty.then_some(0.0))
}

/// Returns the seconds before a machine's end at which a checkpoint must begin.
fn checkpoint_lead_s(spec: &JobSpec) -> f64 {
    spec.checkpoint_save_s * CHECKPOINT_TIME_FACTOR + COMMAND_MARGIN_S
}
