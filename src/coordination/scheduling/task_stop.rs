//! Marks on a shard's tasks that are to be stopped.
//!
//! Evacuation and preemption select the tasks. The responses to the machines' heartbeats carry the
//! stop commands; this module sends nothing.

use crate::coordination::shards::owned_shard::TaskKey;
use crate::coordination::Core;
use crate::units::ShardId;

/// A task to be stopped.
pub(crate) struct TaskStop {
    pub task: TaskKey,
    /// Grace time to write a checkpoint, in seconds; 0 if it writes none.
    pub grace_s: f64,
}

impl Core {
    /// Marks tasks to be stopped. A task that is already marked keeps its grace time.
    pub(crate) fn mark_tasks_to_stop(&mut self, shard: ShardId, stops: Vec<TaskStop>) {
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        for TaskStop { task, grace_s } in stops {
            owned_shard.stopping.entry(task).or_insert(grace_s);
        }
    }
}
