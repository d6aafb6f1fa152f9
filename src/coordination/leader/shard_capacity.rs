//! The free resources of the machines that may take work, by shard, and how many tasks of a job they could start.
//!
//! A snapshot that its caller makes and changes: the leader assigns slices by it and reserves what they would use,
//! and `scheduling::unplaceable_services` asks it. It reserves nothing outside itself.

use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::storage::records::{JobRecord, TaskRecord};
use crate::units::{MachineId, ShardId};
use foldhash::fast::FixedState;
use std::collections::{BTreeSet, HashMap};

/// What is free on the machines of each shard.
pub(crate) struct ShardCapacity<'a> {
    /// The machines of each shard, by the shard's number.
    shards: Vec<Vec<MachineCapacity<'a>>>,
}

/// What is free on one machine.
struct MachineCapacity<'a> {
    kind: &'a str,
    zone: &'a str,
    spot: bool,
    free: Resources,
    /// Cores of the whole machine, free or not.
    cpus: f64,
}

/// Tasks that could start in a zone.
struct ZoneTasks<'a> {
    zone: &'a str,
    count: usize,
}

impl MachineCapacity<'_> {
    /// True if the job may run on the machine, whether or not it has room.
    fn suits(&self, record: &JobRecord) -> bool {
        let spec = &record.spec;
        spec.types.as_ref().is_none_or(|types| types.iter().any(|name| name == self.kind))
            && spec.zone.as_ref().is_none_or(|zone| zone == self.zone)
            && (spec.spot_allowed || !self.spot)
    }

    fn is_in(&self, zone: Option<&str>) -> bool {
        zone.is_none_or(|zone| zone == self.zone)
    }
}

impl<'a> ShardCapacity<'a> {
    /// Tasks of the job, up to `limit`, that the shard could start now under the job's rules on zones.
    pub(crate) fn startable(&self, shard: ShardId, record: &JobRecord, limit: usize) -> usize {
        if !has_zone_rules(record) {
            return self.startable_in(None, shard, record, limit);
        }
        self.startable_by_zone(shard, record, limit).iter().map(|tasks| tasks.count).sum()
    }

    /// Tasks of the job, up to `limit`, that the shard could start now in this zone.
    pub(crate) fn startable_in_zone(&self, zone: &str, shard: ShardId, record: &JobRecord, limit: usize) -> usize {
        self.startable_in(Some(zone), shard, record, limit)
    }

    /// Takes away what the tasks that [`ShardCapacity::startable`] counts would use.
    pub(crate) fn reserve(&mut self, shard: ShardId, record: &JobRecord, limit: usize) {
        if !has_zone_rules(record) {
            return self.reserve_in(None, shard, record, limit);
        }
        for tasks in self.startable_by_zone(shard, record, limit) {
            self.reserve_in(Some(tasks.zone), shard, record, tasks.count);
        }
    }

    /// Cores of the shard's machines that the job may run on, free or not.
    pub(crate) fn suitable_cpus(&self, shard: ShardId, record: &JobRecord) -> f64 {
        self.machines(shard).filter(|machine| machine.suits(record)).map(|machine| machine.cpus).sum()
    }

    fn machines(&self, shard: ShardId) -> impl Iterator<Item = &MachineCapacity<'a>> {
        self.shards.get(shard.0 as usize).into_iter().flatten()
    }

    /// In which zones the tasks of a job with rules on zones could start now: in the one that could start the most,
    /// or spread over several.
    fn startable_by_zone(&self, shard: ShardId, record: &JobRecord, limit: usize) -> Vec<ZoneTasks<'a>> {
        let spec = &record.spec;
        let zones: BTreeSet<&'a str> = self.machines(shard).map(|machine| machine.zone).collect();
        // Of tasks that must be spread, at most half may be in one zone.
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

    /// Tasks of the job, up to `limit`, that the shard could start now in the zone, or anywhere if none is named.
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

    /// Takes away what as many tasks, up to `limit`, use on the first machines in the zone, or anywhere if none is
    /// named, that have room for them.
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

/// True if the job says in which zones its tasks may be in relation to one another.
fn has_zone_rules(record: &JobRecord) -> bool {
    record.spec.one_zone || record.spec.apart
}

/// Takes from what is free as many tasks as fit, up to `limit`, and returns how many those are.
fn take_tasks(free: &mut Resources, need: Resources, limit: usize) -> usize {
    let mut count = 0;
    while count < limit && need.fits_into(free) {
        *free -= need;
        count += 1;
    }
    count
}

impl Core {
    /// What is free on the machines that may take work. Of owned shards the desired state counts, which is newer
    /// than the durable one.
    pub(crate) fn available_capacity(&self) -> ShardCapacity<'_> {
        let used = self.resources_in_use();
        let mut shards: Vec<Vec<MachineCapacity>> = (0..self.shard_count).map(|_| vec![]).collect();
        for (name, machine) in self.fleet.machines() {
            let Some(machine_type) = self.catalog.get(&machine.kind) else { continue };
            if !machine.up || machine.leaving || machine.downlink_lost || self.draining(name) {
                continue;
            }
            let mut free = Resources::of_machine(machine_type);
            free -= used.get(name).copied().unwrap_or_default();
            shards[self.shard_of(name).0 as usize].push(MachineCapacity {
                kind: &machine.kind,
                zone: &machine.zone,
                spot: machine.spot,
                free,
                cpus: machine_type.cpus,
            });
        }
        ShardCapacity { shards }
    }

    /// What placed tasks use of each machine, by their desired or else their durable state.
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
