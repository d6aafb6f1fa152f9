//! Free resources of schedulable machines, by shard, and the number of tasks of a job that they could start.
//!
//! [`ShardCapacity`] is a snapshot owned by its caller. The leader assigns slices by it and reserves what they would
//! use; `scheduling::unplaceable_services` only reads it. Reservations affect the snapshot alone.

use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::storage::records::{JobRecord, TaskRecord};
use crate::units::{MachineId, ShardId};
use foldhash::fast::FixedState;
use std::collections::{BTreeSet, HashMap};

/// Free resources of the schedulable machines of each shard.
pub(crate) struct ShardCapacity<'a> {
    /// Machines of each shard, indexed by shard number.
    shards: Vec<Vec<MachineCapacity<'a>>>,
}

/// Free resources of one machine.
struct MachineCapacity<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
    free: Resources,
    /// All cores of the machine, free or in use.
    cpus: f64,
}

/// Number of tasks that could start in a zone.
struct ZoneTasks<'a> {
    zone: &'a str,
    count: usize,
}

impl MachineCapacity<'_> {
    /// True if the job's constraints allow the machine, regardless of its free resources.
    fn suits(&self, record: &JobRecord) -> bool {
        let spec = &record.spec;
        spec.types.as_ref().is_none_or(|types| types.iter().any(|name| name == self.machine_type))
            && spec.zone.as_ref().is_none_or(|zone| zone == self.zone)
            && (spec.spot_allowed || !self.spot)
    }

    /// True if the machine is in the zone, or if no zone is given.
    fn is_in(&self, zone: Option<&str>) -> bool {
        zone.is_none_or(|zone| zone == self.zone)
    }
}

impl<'a> ShardCapacity<'a> {
    /// Returns how many tasks of the job, up to `limit`, the shard could start now under the job's zone rules.
    pub(crate) fn startable(&self, shard: ShardId, record: &JobRecord, limit: usize) -> usize {
        if !has_zone_rules(record) {
            return self.startable_in(None, shard, record, limit);
        }
        self.startable_by_zone(shard, record, limit).iter().map(|tasks| tasks.count).sum()
    }

    /// Returns how many tasks of the job, up to `limit`, the shard could start now in this zone.
    pub(crate) fn startable_in_zone(&self, zone: &str, shard: ShardId, record: &JobRecord, limit: usize) -> usize {
        self.startable_in(Some(zone), shard, record, limit)
    }

    /// Reserves the resources of the tasks that [`ShardCapacity::startable`] counts.
    pub(crate) fn reserve(&mut self, shard: ShardId, record: &JobRecord, limit: usize) {
        if !has_zone_rules(record) {
            return self.reserve_in(None, shard, record, limit);
        }
        for tasks in self.startable_by_zone(shard, record, limit) {
            self.reserve_in(Some(tasks.zone), shard, record, tasks.count);
        }
    }

    /// Returns the total cores, free or in use, of the shard's machines that the job may run on.
    pub(crate) fn suitable_cpus(&self, shard: ShardId, record: &JobRecord) -> f64 {
        self.machines(shard).filter(|machine| machine.suits(record)).map(|machine| machine.cpus).sum()
    }

    fn machines(&self, shard: ShardId) -> impl Iterator<Item = &MachineCapacity<'a>> {
        self.shards.get(shard.0 as usize).into_iter().flatten()
    }

    /// Returns the zones in which tasks of a job with zone rules could start now: the single zone that could start the
    /// most, or several zones if the job may span them.
    fn startable_by_zone(&self, shard: ShardId, record: &JobRecord, limit: usize) -> Vec<ZoneTasks<'a>> {
        let spec = &record.spec;
        let zones: BTreeSet<&'a str> = self.machines(shard).map(|machine| machine.zone).collect();
        // A job whose tasks must be spread may have at most half of them in one zone.
        let zone_limit = if spec.apart { limit.min(spec.task_count.div_ceil(2) as usize) } else { limit };
        let in_zone = |zone: &'a str, limit: usize| {
            let count = self.startable_in(Some(zone), shard, record, limit);
            ZoneTasks { zone, count }
        };
        if spec.one_zone {
            let best = zones.into_iter().map(|zone| in_zone(zone, zone_limit)).max_by_key(|tasks| tasks.count);
            return best.into_iter().collect();
        }
        let mut spread: Vec<ZoneTasks<'a>> = vec![];
        let mut remaining = limit;
        for zone in zones {
            let tasks = in_zone(zone, zone_limit.min(remaining));
            remaining -= tasks.count;
            spread.push(tasks);
        }
        spread
    }

    /// Returns how many tasks of the job, up to `limit`, the shard could start now in the zone, or in any zone if none
    /// is given.
    fn startable_in(&self, zone: Option<&str>, shard: ShardId, record: &JobRecord, limit: usize) -> usize {
        let need = Resources::of_task(&record.spec);
        let mut count = 0;
        for machine in self.machines(shard).filter(|machine| machine.suits(record) && machine.is_in(zone)) {
            if count >= limit {
                break;
            }
            let mut free = machine.free;
            count += take_tasks(&mut free, need, limit - count);
        }
        count
    }

    /// Reserves the resources of up to `limit` tasks on the first machines with room in the zone, or in any zone if
    /// none is given.
    fn reserve_in(&mut self, zone: Option<&str>, shard: ShardId, record: &JobRecord, limit: usize) {
        let need = Resources::of_task(&record.spec);
        let Some(machines) = self.shards.get_mut(shard.0 as usize) else { return };
        let mut remaining = limit;
        for machine in machines.iter_mut().filter(|machine| machine.suits(record) && machine.is_in(zone)) {
            if remaining == 0 {
                break;
            }
            remaining -= take_tasks(&mut machine.free, need, remaining);
        }
    }
}

/// True if the job restricts its tasks to one zone or requires them to be spread over zones.
fn has_zone_rules(record: &JobRecord) -> bool {
    record.spec.one_zone || record.spec.apart
}

/// Subtracts from `free` the resources of as many tasks as fit, up to `limit`, and returns their number.
fn take_tasks(free: &mut Resources, need: Resources, limit: usize) -> usize {
    let mut count = 0;
    while count < limit && need.fits_into(free) {
        *free -= need;
        count += 1;
    }
    count
}

impl Core {
    /// Returns the free resources of schedulable machines. Owned shards count by their desired state, which is newer
    /// than the durable one.
    pub(crate) fn available_capacity(&self) -> ShardCapacity<'_> {
        let used = self.resources_in_use();
        let mut shards: Vec<Vec<MachineCapacity>> = (0..self.shard_count).map(|_| vec![]).collect();
        for (name, machine) in self.fleet.machines() {
            let Some(machine_type) = self.catalog.get(&machine.machine_type) else { continue };
            if !machine.up || machine.terminating || machine.downlink_lost || self.is_draining(name) {
                continue;
            }
            let mut free = Resources::of_machine(machine_type);
            free -= used.get(name).copied().unwrap_or_default();
            shards[self.shard_of(name).0 as usize].push(MachineCapacity {
                machine_type: &machine.machine_type,
                zone: &machine.zone,
                spot: machine.spot,
                free,
                cpus: machine_type.cpus,
            });
        }
        ShardCapacity { shards }
    }

    /// Returns the resources that placed tasks use on each machine, by their desired state or, where there is none,
    /// their durable state.
    pub(crate) fn resources_in_use(&self) -> HashMap<&MachineId, Resources, FixedState> {
        let mut used: HashMap<&MachineId, Resources, FixedState> = HashMap::default();
        let jobs = self.cache.active.iter().filter_map(|id| self.cache.jobs.get(id));
        for job in jobs.filter(|job| job.holds_machines()) {
            let need = Resources::of_task(&job.record.spec);
            let slices = job.slices().iter().filter(|slice| slice.has_placed_task());
            for task in slices.filter_map(|slice| slice.desired_or_durable()).flat_map(|record| &record.tasks) {
                if let TaskRecord::Placed(_, machine) = task {
                    *used.entry(machine).or_default() += need;
                }
            }
        }
        used
    }
}
