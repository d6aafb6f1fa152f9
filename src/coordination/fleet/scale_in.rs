//! Scaling in: chooses machines to drain, and returns drained machines to the cloud.
//!
//! Run by the leader. The fleet record first names a machine as draining, so that its owner places no
//! more tasks on it. The machine is returned when it is empty, or when it failed and its worker's
//! lease has expired.

use crate::coordination::fleet::catalog::price_per_hour;
use crate::coordination::fleet::demand::Demand;
use crate::coordination::fleet::inventory::RentedMachine;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudCall, Core};
use crate::protocol::cloud::{MachineType, MAX_MACHINES_PER_RETURN};
use crate::storage::records::FLEET_KEY;
use crate::units::{MachineId, Millis};
use foldhash::fast::FixedState;
use std::collections::{HashMap, HashSet};

/// Minimum time between marking a machine as draining and returning it, so that its owner learns of
/// the drain.
const MIN_DRAIN_TIME: Millis = Millis(2000);

/// Divisor of the minimum idle time for on-demand machines, which cost several times as much as spot
/// machines.
const ON_DEMAND_IDLE_DIVISOR: u64 = 4;

/// Time after the catalog's provisioning time before an on-demand machine may be drained for low use.
const SETTLING_TIME_S: f64 = 45.0;

/// An on-demand machine may be drained for low use if less than this share of its cores is in use.
const LOW_USE_SHARE: f64 = 0.6;

/// Spare cores required beyond those of an on-demand machine before it is drained for low use, as a
/// share of its cores.
const ON_DEMAND_MARGIN_SHARE: f64 = 0.25;

/// A group that is short of at most this many cores does not keep machines from being drained.
const NEGLIGIBLE_CPUS: f64 = 0.5;

/// Cores in excess of demand, and the groups that are still short of cores.
struct Surplus<'a> {
    spare_cpus: f64,
    unmet_groups: Vec<&'a Demand>,
}

/// A machine that is considered for draining, with its type and the cores in use.
struct DrainCandidate<'a> {
    name: &'a MachineId,
    machine: &'a RentedMachine,
    machine_type: &'a MachineType,
    used_cpus: f64,
}

impl Core {
    /// Starts to drain machines that demand does not need, that failed or that never came up.
    pub(super) fn drain_unneeded(&mut self, demand: &[Demand]) {
        if self.store.is_key_busy(FLEET_KEY) {
            return;
        }
        let names = self.machines_to_drain(demand);
        if names.is_empty() {
            return;
        }
        for name in names {
            self.start_drain(&name);
        }
        self.write_fleet_record();
    }

    /// Returns machines that have been draining long enough for their owners to know, and that are empty
    /// or failed.
    pub(super) fn return_drained(&mut self, busy: &HashSet<MachineId, FixedState>) {
        self.write_fleet_record();
        if self.fleet.returning {
            return;
        }
        let mut names = self.returnable_machines(busy);
        // Owners learn of returns from the record, so return no more than it can name.
        names.truncate(MAX_MACHINES_PER_RETURN.min(self.fleet_record_capacity().gone));
        if !names.is_empty() && self.take_cloud_call() {
            self.fleet.returning = true;
            self.call_cloud(CloudCall::Return(names.clone()), PendingRequest::Return(names));
        }
    }

    fn machines_to_drain(&self, demand: &[Demand]) -> Vec<MachineId> {
        let used = self.resources_in_use();
        let mut surplus = self.surplus(demand);
        let mut names = vec![];
        for (name, machine) in self.machines_by_descending_price(&used) {
            let Some(machine_type) = self.catalog.get(&machine.machine_type).filter(|_| !self.is_draining(name)) else {
                continue;
            };
            let candidate = DrainCandidate { name, machine, machine_type, used_cpus: used_cpus(&used, name) };
            let unneeded = self.is_unneeded(&candidate, &surplus);
            if unneeded {
                surplus.spare_cpus -= machine_type.cpus;
            }
            if unneeded || machine.failed || self.is_stuck(machine) {
                names.push(name.clone());
            }
        }
        names
    }

    fn surplus<'a>(&self, demand: &'a [Demand]) -> Surplus<'a> {
        let shortfall = self.shortfall(demand, |group| group.cpus);
        let groups = demand.iter().zip(&shortfall.missing_cpus);
        let unmet_groups = groups.filter(|(_, missing)| **missing > NEGLIGIBLE_CPUS).map(|(group, _)| group).collect();
        Surplus { spare_cpus: shortfall.spare_cpus, unmet_groups }
    }

    /// Returns all machines by price per core, highest first, and by use among equal prices, least used
    /// first.
    fn machines_by_descending_price(
        &self,
        used: &HashMap<&MachineId, Resources, FixedState>,
    ) -> Vec<(&MachineId, &RentedMachine)> {
        let price_per_core = |machine: &RentedMachine| {
            self.catalog
                .get(&machine.machine_type)
                .map_or(0.0, |machine_type| price_per_hour(machine_type, machine.spot) / machine_type.cpus)
        };
        let mut order: Vec<(&MachineId, &RentedMachine)> = self.fleet.machines().collect();
        order.sort_by(|a, b| {
            let by_price = price_per_core(b.1).total_cmp(&price_per_core(a.1));
            by_price.then_with(|| used_cpus(used, a.0).total_cmp(&used_cpus(used, b.0)))
        });
        order
    }

    /// True if demand does not need the machine. Keeps machines that serve a group which is short of
    /// cores. Other machines are not kept for such a group: they may use up the capacity of the cloud
    /// from which machines for it could be rented.
    fn is_unneeded(&self, candidate: &DrainCandidate, surplus: &Surplus) -> bool {
        let covered = surplus.spare_cpus >= candidate.machine_type.cpus && self.is_idle(candidate.machine);
        let serves_unmet_group =
            || surplus.unmet_groups.iter().any(|group| self.serves(group, candidate.name, candidate.machine));
        (covered || self.is_dispensable(candidate, surplus)) && !serves_unmet_group()
    }

    /// True if the machine has been without tasks for long enough to be returned.
    fn is_idle(&self, machine: &RentedMachine) -> bool {
        let spot_idle = Millis::from_secs(self.tuning.min_idle_s);
        let min_idle = if machine.spot { spot_idle } else { Millis(spot_idle.0 / ON_DEMAND_IDLE_DIVISOR) };
        machine.idle_since.is_some_and(|since| self.now.since(since) >= min_idle)
    }

    /// True for an on-demand machine that is little used while other machines have room for its tasks.
    /// Draining lets it run empty; otherwise new tasks would keep refilling it.
    fn is_dispensable(&self, candidate: &DrainCandidate, surplus: &Surplus) -> bool {
        let DrainCandidate { machine, machine_type, used_cpus, .. } = candidate;
        let settled = machine.up
            && self.now.since(machine.created_at) > Millis::from_secs(machine_type.provisioning_s + SETTLING_TIME_S);
        let margin_cpus = machine_type.cpus * ON_DEMAND_MARGIN_SHARE;
        settled
            && !machine.spot
            && used_cpus / machine_type.cpus < LOW_USE_SHARE
            && surplus.spare_cpus >= machine_type.cpus + margin_cpus
    }

    /// True if the machine's boot should be given up.
    fn is_stuck(&self, machine: &RentedMachine) -> bool {
        let Some(machine_type) = self.catalog.get(&machine.machine_type).filter(|_| !machine.up) else { return false };
        let overtaken = self.fleet.machines().any(|(_, other)| {
            other.up
                && other.created_at > machine.created_at
                && other.machine_type == machine.machine_type
                && other.zone == machine.zone
        });
        let age_s = self.now.since(machine.created_at).as_secs();
        let times = &self.fleet.provisioning_times;
        times.should_give_up(&machine.machine_type, &machine.zone, machine_type.provisioning_s, age_s, overtaken)
    }

    /// Marks the machine as draining, and records its boot as given up if it is still booting.
    fn start_drain(&mut self, name: &MachineId) {
        if let Some(machine) = self.fleet.inventory.machine(name).filter(|machine| machine.is_watched_boot()) {
            let age_s = self.now.since(machine.created_at).as_secs();
            self.fleet.provisioning_times.record_given_up(&machine.machine_type, &machine.zone, age_s);
        }
        self.fleet.inventory.start_drain(name, self.now);
    }

    fn returnable_machines(&mut self, busy: &HashSet<MachineId, FixedState>) -> Vec<MachineId> {
        let Some(record) = &self.cache.fleet.record else { return vec![] };
        let lost_after = self.timing.worker_lease + self.timing.worker_lease;
        let mut names = vec![];
        for name in record.draining.iter().filter(|name| !record.returned.contains(name)) {
            let Some(since) = self.fleet.inventory.drain_since(name, self.now) else { continue };
            let drained_for = self.now.since(since);
            // The worker of a failed machine receives no answers, so its lease has expired by now.
            // Returning the machine ensures that no task is left on it.
            let failed = self.fleet.machine(name).is_some_and(|machine| machine.failed);
            let lost = failed && drained_for >= lost_after;
            if drained_for >= MIN_DRAIN_TIME && (lost || !busy.contains(name)) {
                names.push(name.clone());
            }
        }
        names
    }
}

/// Number of the machine's cores that tasks use.
fn used_cpus(used: &HashMap<&MachineId, Resources, FixedState>, name: &MachineId) -> f64 {
    used.get(name).map_or(0.0, |taken| taken.cpus)
}
