//! Matches the fleet with demand: which machines serve which group, how many cores each group is short
//! of, and how many cores are spare.
//!
//! Read-only; used by scale-out and scale-in.

use crate::coordination::fleet::demand::Demand;
use crate::coordination::fleet::inventory::RentedMachine;
use crate::coordination::fleet::machine_pool::MachinePool;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::units::MachineId;
use foldhash::fast::FixedState;
use std::collections::HashMap;

/// Factor on demand that compensates for fragmentation: tasks don't fill machines completely.
const FRAGMENTATION_FACTOR: f64 = 1.05;

/// Cores that the fleet is short of for each group, and cores in excess of demand.
pub(super) struct Shortfall {
    /// Cores that each group is short of, in the order of the demand.
    pub(super) missing_cpus: Vec<f64>,
    /// Cores that no group was allocated.
    pub(super) spare_cpus: f64,
}

/// A usable machine, with its cores that are not allocated to a group yet.
struct AvailableMachine<'a> {
    name: &'a MachineId,
    machine: &'a RentedMachine,
    cpus: f64,
}

/// Resources of each machine that tasks use.
type TakenResources<'a> = HashMap<&'a MachineId, Resources, FixedState>;

impl Core {
    /// Allocates machines to the groups in order; `desired_cpus` returns the cores that a group needs.
    pub(super) fn shortfall(&self, demand: &[Demand], desired_cpus: fn(&Demand) -> f64) -> Shortfall {
        let mut available = self.available_machines();
        let has_shard_groups = demand.iter().any(|group| group.shard.is_some());
        let taken = if has_shard_groups { self.resources_in_use() } else { HashMap::default() };
        let missing_cpus =
            demand.iter().map(|group| self.allocate(group, desired_cpus(group), &mut available, &taken)).collect();
        Shortfall { missing_cpus, spare_cpus: available.iter().map(|machine| machine.cpus).sum() }
    }

    /// True if the group allows machines of the pool, and its largest task fits into one.
    pub(super) fn suits(&self, group: &Demand, pool: &MachinePool) -> bool {
        self.allows(group, &pool.machine_type, &pool.zone, pool.spot)
    }

    /// True if the machine may run tasks of the group, regardless of the tasks it runs now.
    pub(super) fn serves(&self, group: &Demand, name: &MachineId, machine: &RentedMachine) -> bool {
        group.shard.is_none_or(|shard| self.shard_of(name) == shard)
            && self.allows(group, &machine.machine_type, &machine.zone, machine.spot)
    }

    fn allows(&self, group: &Demand, kind: &str, zone: &str, spot: bool) -> bool {
        let large_enough =
            self.catalog.get(kind).is_some_and(|kind| group.largest_task.fits_into(&Resources::of_machine(kind)));
        large_enough
            && group.types.as_ref().is_none_or(|types| types.iter().any(|name| name == kind))
            && group.zone.as_ref().is_none_or(|only| only == zone)
            && (group.spot_allowed || !spot)
    }

    /// Returns the machines that new tasks may be placed on, with the cores they are expected to provide.
    fn available_machines(&self) -> Vec<AvailableMachine<'_>> {
        self.fleet
            .machines()
            .filter(|(name, machine)| machine.is_usable() && !self.is_draining(name))
            .filter_map(|(name, machine)| Some(AvailableMachine { name, machine, cpus: self.expected_cpus(machine)? }))
            .collect()
    }

    /// Number of cores that a machine is expected to provide; reduced for a late boot, which may never
    /// finish. Absent if its type is unknown.
    fn expected_cpus(&self, machine: &RentedMachine) -> Option<f64> {
        let kind = self.catalog.get(&machine.machine_type)?;
        if machine.up {
            return Some(kind.cpus);
        }
        let age_s = self.now.since(machine.created_at).as_secs();
        let times = &self.fleet.provisioning_times;
        Some(kind.cpus * times.expected_share(&machine.machine_type, &machine.zone, kind.provisioning_s, age_s))
    }

    /// Allocates cores to the group, and returns how many are still missing.
    fn allocate(
        &self,
        group: &Demand,
        desired_cpus: f64,
        available: &mut [AvailableMachine],
        taken: &TakenResources,
    ) -> f64 {
        // A group of one shard needs room for a whole task and no margin.
        let margin = if group.shard.is_some() { 1.0 } else { FRAGMENTATION_FACTOR };
        let mut missing = desired_cpus * margin;
        for AvailableMachine { name, machine, cpus } in available {
            if missing <= 0.0 {
                break;
            }
            if !self.serves(group, name, machine) || !self.has_room_for(group, name, machine, taken) {
                continue;
            }
            let allocated = cpus.min(missing);
            *cpus -= allocated;
            missing -= allocated;
        }
        missing.max(0.0)
    }

    /// True if the group is not bound to a shard, or if a whole task of it fits beside the machine's
    /// current tasks.
    fn has_room_for(&self, group: &Demand, name: &MachineId, machine: &RentedMachine, taken: &TakenResources) -> bool {
        if group.shard.is_none() {
            return true;
        }
        let Some(kind) = self.catalog.get(&machine.machine_type) else { return false };
        let mut with_task = taken.get(name).copied().unwrap_or_default();
        with_task += group.largest_task;
        with_task.fits_into(&Resources::of_machine(kind))
    }
}
