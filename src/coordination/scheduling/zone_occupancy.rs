//! Zones of a job's tasks, and the zones in which further tasks are allowed.
//!
//! The scheduling cycle and preemption check a zone before they place a task, and the leader before
//! it rents a machine for a service. The caller adds each task that it places.

use crate::coordination::Core;
use crate::protocol::users::JobSpec;
use crate::storage::cache::Job;
use crate::units::{JobId, ShardId};
use std::collections::BTreeMap;

/// Number of a job's tasks on machines, by zone.
#[derive(Default)]
pub(crate) struct ZoneOccupancy {
    tasks_by_zone: BTreeMap<String, usize>,
    /// True if some tasks are on machines whose zone is not known yet. Until it is known, no
    /// further task of the job may be placed.
    pub incomplete: bool,
}

impl ZoneOccupancy {
    /// Adds tasks that are placed in a zone.
    pub fn add(&mut self, zone: &str, tasks: usize) {
        *self.tasks_by_zone.entry(zone.to_string()).or_default() += tasks;
    }

    /// Returns the number of tasks in the zone.
    pub fn tasks_in(&self, zone: &str) -> usize {
        self.tasks_by_zone.get(zone).copied().unwrap_or(0)
    }

    /// True if one more task of the job may be placed in the zone. If the job names a zone, it must
    /// be that one; if all tasks must share a zone, it must be the one that the other tasks are in;
    /// if the tasks must be apart, it must hold less than half of them (rounded up).
    pub fn allows(&self, spec: &JobSpec, zone: &str) -> bool {
        let half = spec.task_count.div_ceil(2) as usize;
        spec.zone.as_ref().is_none_or(|required| required == zone)
            && (!spec.one_zone || self.tasks_by_zone.keys().all(|used| used == zone))
            && (!spec.apart || self.tasks_in(zone) < half)
    }
}

impl Core {
    /// Returns the zones of a job's tasks in the shard, as its owner desires them. Empty for jobs
    /// with no constraint on the zones of their tasks relative to each other.
    pub(crate) fn zone_occupancy(&self, shard: ShardId, id: &JobId, job: &Job) -> ZoneOccupancy {
        let mut occupancy = ZoneOccupancy::default();
        if !job.record.spec.one_zone && !job.record.spec.apart {
            return occupancy;
        }
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return occupancy };
        for (name, tasks) in &owned_shard.placed_tasks {
            let tasks_here = tasks.iter().filter(|task| task.0 == *id).count();
            if tasks_here == 0 {
                continue;
            }
            match owned_shard.machines.get(name) {
                Some(machine) => occupancy.add(&machine.zone, tasks_here),
                None => occupancy.incomplete = true,
            }
        }
        occupancy
    }
}
