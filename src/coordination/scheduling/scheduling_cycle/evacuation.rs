//! Stops tasks on machines that are about to be taken away, in time for a checkpoint.
//!
//! Runs before the cycles of the shards, and marks tasks to be stopped for machines that are
//! faulty or of which the cloud has given notice. Where the tasks go then is decided by a
//! later cycle.

use crate::coordination::scheduling::task_stop::TaskStop;
use crate::coordination::shards::owned_shard::{Machine, OwnedShard, TaskKey};
use crate::coordination::Core;
use crate::protocol::users::{JobKind, JobSpec};
use crate::units::{MonotonicTime, ShardId};

/// A task that will end at least so many seconds before its machine does is left to run.
const COMPLETION_MARGIN_S: f64 = 0.5;

/// A checkpoint begins this many times what one takes before the machine's end, and
/// [`COMMAND_MARGIN_S`] earlier.
const CHECKPOINT_TIME_FACTOR: f64 = 1.5;

/// Seconds for the command to reach the machine.
const COMMAND_MARGIN_S: f64 = 3.0;

/// The least grace time of a task that writes checkpoints, in seconds.
const MIN_GRACE_S: f64 = 1.0;

impl Core {
    /// Marks tasks on machines that are faulty or have a notice of their end: when the last
    /// moment for a checkpoint has come, or at once if they write none and will not end by
    /// themselves before.
    pub(super) fn stop_tasks_on_leaving_machines(&mut self) {
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

    /// The grace time in seconds with which a task is to be stopped now; none if it may run
    /// on.
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
        if has_checkpoints && !machine.faulty && left_s >= last_checkpoint_s(spec) {
            return None;
        }
        Some(if has_checkpoints { spec.checkpoint_save_s.max(MIN_GRACE_S) } else { 0.0 })
    }
}

/// Seconds until a machine is taken away, or 0 if it is faulty and has no notice; none if it
/// stays.
fn time_left_s(machine: &Machine, now: MonotonicTime) -> Option<f64> {
    machine.notice.map(|at| at.since(now).as_secs()).or(machine.faulty.then_some(0.0))
}

/// Seconds before a machine's end at which a checkpoint has to begin.
fn last_checkpoint_s(spec: &JobSpec) -> f64 {
    spec.checkpoint_save_s * CHECKPOINT_TIME_FACTOR + COMMAND_MARGIN_S
}
