//! In which zones a job's tasks are, and in which further ones may go.
//!
//! Asked by the scheduling cycle and by preemption before a task goes to a machine, and by the
//! leader before it rents for a service. Whoever places a task counts it here.

use crate::coordination::Core;
use crate::protocol::users::JobSpec;
use crate::storage::cache::Job;
use crate::units::{JobId, ShardId};
use std::collections::BTreeMap;

/// The tasks of one job on machines, by zone.
#[derive(Default)]
pub(crate) struct ZoneOccupancy {
    tasks_by_zone: BTreeMap<String, usize>,
    /// Some tasks are on machines whose zone is not known yet: nothing more of the job may
    /// be placed until it is.
    pub incomplete: bool,
}

impl ZoneOccupancy {
    /// Counts tasks that are placed in a zone.
    pub fn add(&mut self, zone: &str, tasks: usize) {
        *self.tasks_by_zone.entry(zone.to_string()).or_default() += tasks;
    }

    /// The number of tasks in the zone.
    pub fn tasks_in(&self, zone: &str) -> usize {
        self.tasks_by_zone.get(zone).copied().unwrap_or(0)
    }

    /// True if one more task of the job may go to the zone: it is the one that the job names,
    /// if it names one; the one that its other tasks are in, if all must be in one; and holds
    /// less than half of the tasks, if they must be apart.
    pub fn allows(&self, spec: &JobSpec, zone: &str) -> bool {
        let half = spec.task_count.div_ceil(2) as usize;
        spec.zone.as_ref().is_none_or(|required| required == zone)
            && (!spec.one_zone || self.tasks_by_zone.keys().all(|used| used == zone))
            && (!spec.apart || self.tasks_in(zone) < half)
    }
}

impl Core {
    /// Where the tasks of a job are in the shard, as its owner desires them. Empty for jobs
    /// whose tasks need be neither in one zone nor apart: where they are means nothing.
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
