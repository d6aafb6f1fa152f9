//! Matching of the fleet with demand: which machines serve which group, how many cores each group
//! is short of, and how many cores are spare.
//!
//! Asked by scale-out and scale-in. Changes nothing.

use crate::coordination::fleet::demand::Demand;
use crate::coordination::fleet::inventory::RentedMachine;
use crate::coordination::fleet::machine_pool::MachinePool;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::units::MachineId;
use foldhash::fast::FixedState;
use std::collections::HashMap;

/// What is sought beyond demand, since cores are spread over machines that tasks don't fill.
const FRAGMENTATION_FACTOR: f64 = 1.05;

/// What demand lacks of the fleet, and what the fleet has beyond demand.
pub(super) struct Shortfall {
    /// Cores that each group is short of, in the order of the groups.
    pub(super) missing_cpus: Vec<f64>,
    /// Cores that no group takes.
    pub(super) spare_cpus: f64,
}

/// Cores of a machine that no group has taken yet.
struct AvailableMachine<'a> {
    name: &'a MachineId,
    machine: &'a RentedMachine,
    cpus: f64,
}

/// What tasks take of each machine.
type TakenResources<'a> = HashMap<&'a MachineId, Resources, FixedState>;

impl Core {
    /// Lets each group in turn take what serves it; `desired_cpus` says how much it asks for.
    pub(super) fn shortfall(&self, demand: &[Demand], desired_cpus: fn(&Demand) -> f64) -> Shortfall {
        let mut available = self.available_machines();
        let has_shard_groups = demand.iter().any(|group| group.shard.is_some());
        let taken = if has_shard_groups { self.resources_in_use() } else { HashMap::default() };
        let missing_cpus =
            demand.iter().map(|group| self.allocate(group, desired_cpus(group), &mut available, &taken)).collect();
        Shortfall { missing_cpus, spare_cpus: available.iter().map(|machine| machine.cpus).sum() }
    }

    /// True if a machine of the pool has room for a task of the group, and the group allows it.
    pub(super) fn suits(&self, group: &Demand, pool: &MachinePool) -> bool {
        self.allows(group, &pool.kind, &pool.zone, pool.spot)
    }

    /// True if the machine may do work of the group.
    pub(super) fn serves(&self, group: &Demand, name: &MachineId, machine: &RentedMachine) -> bool {
        group.shard.is_none_or(|shard| self.shard_of(name) == shard)
            && self.allows(group, &machine.kind, &machine.zone, machine.spot)
    }

    fn allows(&self, group: &Demand, kind: &str, zone: &str, spot: bool) -> bool {
        let large_enough =
            self.catalog.get(kind).is_some_and(|kind| group.largest_task.fits_into(&Resources::of_machine(kind)));
        large_enough
            && group.types.as_ref().is_none_or(|types| types.iter().any(|name| name == kind))
            && group.zone.as_ref().is_none_or(|only| only == zone)
            && (group.spot_allowed || !spot)
    }

    /// Machines that work may be placed on, with the cores they may be counted on for.
    fn available_machines(&self) -> Vec<AvailableMachine<'_>> {
        self.fleet
            .machines()
            .filter(|(name, machine)| machine.is_usable() && !self.is_draining(name))
            .filter_map(|(name, machine)| Some(AvailableMachine { name, machine, cpus: self.expected_cpus(machine)? }))
            .collect()
    }

    /// Cores that a machine may be counted on for: a late boot may never end.
    fn expected_cpus(&self, machine: &RentedMachine) -> Option<f64> {
        let kind = self.catalog.get(&machine.kind)?;
        if machine.up {
            return Some(kind.cpus);
        }
        let age_s = self.now.since(machine.created_at).as_secs();
        let times = &self.fleet.provisioning_times;
        Some(kind.cpus * times.expected_share(&machine.kind, &machine.zone, kind.provisioning_s, age_s))
    }

    /// Takes cores that serve the group, and returns how many are still missing.
    fn allocate(
        &self,
        group: &Demand,
        desired_cpus: f64,
        available: &mut [AvailableMachine],
        taken: &TakenResources,
    ) -> f64 {
        // A group of one shard asks for room for whole tasks, and for no more than that.
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

    /// True if the group takes parts of machines, or if a whole task of it fits beside the tasks there.
    fn has_room_for(&self, group: &Demand, name: &MachineId, machine: &RentedMachine, taken: &TakenResources) -> bool {
        if group.shard.is_none() {
            return true;
        }
        let Some(kind) = self.catalog.get(&machine.kind) else { return false };
        let mut with_task = taken.get(name).copied().unwrap_or_default();
        with_task += group.largest_task;
        with_task.fits_into(&Resources::of_machine(kind))
    }
}
