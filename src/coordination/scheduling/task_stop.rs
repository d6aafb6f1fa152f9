//! Tasks of a shard that are to be stopped.
//!
//! Evacuation and preemption decide on them. Marked tasks are told to stop by the answers to
//! their machines' heartbeats; nothing is sent from here.

use crate::coordination::shards::owned_shard::TaskKey;
use crate::coordination::Core;
use crate::units::ShardId;

/// A task that is to be stopped.
pub(crate) struct TaskStop {
    pub task: TaskKey,
    /// Seconds that it gets to write a checkpoint; 0 if it writes none.
    pub grace_s: f64,
}

impl Core {
    /// Marks tasks to be stopped. One that is marked already keeps its grace time.
    pub(crate) fn mark_tasks_to_stop(&mut self, shard: ShardId, stops: Vec<TaskStop>) {
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        for TaskStop { task, grace_s } in stops {
            owned_shard.stopping.entry(task).or_insert(grace_s);
        }
    }
}
