//! Scaling in: choosing machines for return, and returning those that nothing is on.
//!
//! Run by the leader. A machine is first named in the fleet's record, so that its owner places
//! nothing on it any more, and is returned when it is empty, or when it failed and its worker's
//! lease has run out.

use crate::coordination::fleet::catalog::price_per_hour;
use crate::coordination::fleet::demand::Demand;
use crate::coordination::fleet::inventory::RentedMachine;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudCall, Core};
use crate::protocol::cloud::{MachineType, RETURN_LIMIT};
use crate::storage::records::FLEET_KEY;
use crate::units::{MachineId, Millis};
use foldhash::fast::FixedState;
use std::collections::{HashMap, HashSet};

/// How long a machine is named as draining before it is returned, so that its owner knows.
const DRAIN_NOTICE: Millis = Millis(2000);

/// An ordinary machine is kept idle for a fraction of the time that a spot machine is: it costs
/// several times as much.
const ON_DEMAND_IDLE_DIVISOR: u64 = 4;

/// How long beyond its boot an ordinary machine is left alone.
const SETTLING_S: f64 = 45.0;

/// An ordinary machine is left to run empty if less than this share of its cores is in use.
const LOW_USE: f64 = 0.6;

/// Cores that must be spare beyond those of an ordinary machine before it is left to run empty, as a
/// share of its own.
const ON_DEMAND_MARGIN: f64 = 0.25;

/// A group that lacks no more than this many cores does not keep machines from being returned.
const NEGLIGIBLE_CPUS: f64 = 0.5;

/// Cores that could be done without, and the groups that still lack some.
struct Surplus<'a> {
    spare_cpus: f64,
    lacking_groups: Vec<&'a Demand>,
}

/// What is looked at when a machine is judged.
struct DrainCandidate<'a> {
    name: &'a MachineId,
    machine: &'a RentedMachine,
    kind: &'a MachineType,
    used_cpus: f64,
}

impl Core {
    /// Chooses for return what demand does not need, what failed and what never came up.
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
        self.write_fleet();
    }

    /// Returns machines that have been draining long enough for their owners to know and that
    /// nothing is on, or that failed.
    pub(super) fn return_drained(&mut self, busy: &HashSet<MachineId, FixedState>) {
        self.write_fleet();
        if self.fleet.returning {
            return;
        }
        let mut names = self.returnable_machines(busy);
        // Owners learn from the record which machines were returned: no more than it holds.
        names.truncate(RETURN_LIMIT.min(self.fleet_record_capacity().gone));
        if !names.is_empty() && self.take_cloud_call() {
            self.fleet.returning = true;
            self.call_cloud(CloudCall::Return(names.clone()), PendingRequest::Return(names));
        }
    }

    fn machines_to_drain(&self, demand: &[Demand]) -> Vec<MachineId> {
        let used = self.resources_in_use();
        let mut surplus = self.surplus(demand);
        let mut names = vec![];
        for (name, machine) in self.machines_dearest_first(&used) {
            let Some(kind) = self.catalog.get(&machine.kind).filter(|_| !self.draining(name)) else { continue };
            let candidate = DrainCandidate { name, machine, kind, used_cpus: used_cpus(&used, name) };
            let unneeded = self.is_unneeded(&candidate, &surplus);
            if unneeded {
                surplus.spare_cpus -= kind.cpus;
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
        let lacking_groups =
            groups.filter(|(_, missing)| **missing > NEGLIGIBLE_CPUS).map(|(group, _)| group).collect();
        Surplus { spare_cpus: shortfall.spare_cpus, lacking_groups }
    }

    /// All machines in the order in which they are considered: by price per core, the highest first,
    /// and of equal price the least used first.
    fn machines_dearest_first(
        &self,
        used: &HashMap<&MachineId, Resources, FixedState>,
    ) -> Vec<(&MachineId, &RentedMachine)> {
        let price_per_core = |machine: &RentedMachine| {
            self.catalog.get(&machine.kind).map_or(0.0, |kind| price_per_hour(kind, machine.spot) / kind.cpus)
        };
        let mut order: Vec<(&MachineId, &RentedMachine)> = self.fleet.machines().collect();
        order.sort_by(|a, b| {
            let by_price = price_per_core(b.1).total_cmp(&price_per_core(a.1));
            by_price.then_with(|| used_cpus(used, a.0).total_cmp(&used_cpus(used, b.0)))
        });
        order
    }

    /// True if demand does without the machine. Machines that serve a group without room are kept;
    /// others are not, for they may be what keeps the cloud from having any that would serve it.
    fn is_unneeded(&self, candidate: &DrainCandidate, surplus: &Surplus) -> bool {
        let covered = surplus.spare_cpus >= candidate.kind.cpus && self.is_idle(candidate.machine);
        let serves_lacking =
            || surplus.lacking_groups.iter().any(|group| self.serves(group, candidate.name, candidate.machine));
        (covered || self.is_dispensable(candidate, surplus)) && !serves_lacking()
    }

    /// True if the machine has been without tasks for long enough to be returned.
    fn is_idle(&self, machine: &RentedMachine) -> bool {
        let spot_idle = Millis::from_secs(self.tuning.min_idle_s);
        let min_idle = if machine.spot { spot_idle } else { Millis(spot_idle.0 / ON_DEMAND_IDLE_DIVISOR) };
        machine.idle_since.is_some_and(|since| self.now.since(since) >= min_idle)
    }

    /// True for an ordinary machine that is little used while there is room for its tasks elsewhere:
    /// it is left to run empty, rather than refilled for as long as there is any work.
    fn is_dispensable(&self, candidate: &DrainCandidate, surplus: &Surplus) -> bool {
        let DrainCandidate { machine, kind, used_cpus, .. } = candidate;
        let settled =
            machine.up && self.now.since(machine.created_at) > Millis::from_secs(kind.provisioning_s + SETTLING_S);
        let margin_cpus = kind.cpus * ON_DEMAND_MARGIN;
        settled && !machine.spot && used_cpus / kind.cpus < LOW_USE && surplus.spare_cpus >= kind.cpus + margin_cpus
    }

    /// True if a machine should have been up long ago.
    fn is_stuck(&self, machine: &RentedMachine) -> bool {
        let Some(kind) = self.catalog.get(&machine.kind).filter(|_| !machine.up) else { return false };
        let overtaken = self.fleet.machines().any(|(_, other)| {
            other.up
                && other.created_at > machine.created_at
                && other.kind == machine.kind
                && other.zone == machine.zone
        });
        let age_s = self.now.since(machine.created_at).as_secs();
        let times = &self.fleet.provisioning_times;
        times.should_give_up(&machine.kind, &machine.zone, kind.provisioning_s, age_s, overtaken)
    }

    /// Chooses the machine for return, and learns from a boot that is given up.
    fn start_drain(&mut self, name: &MachineId) {
        if let Some(machine) = self.fleet.inventory.machine(name).filter(|machine| machine.is_watched_boot()) {
            let age_s = self.now.since(machine.created_at).as_secs();
            self.fleet.provisioning_times.record_given_up(&machine.kind, &machine.zone, age_s);
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
            // The worker of a machine that failed receives nothing, and its lease ran out long ago.
            // The return is the proof that nothing is left there.
            let failed = self.fleet.machine(name).is_some_and(|machine| machine.failed);
            let lost = failed && drained_for >= lost_after;
            if drained_for >= DRAIN_NOTICE && (lost || !busy.contains(name)) {
                names.push(name.clone());
            }
        }
        names
    }
}

/// Cores that tasks take of the machine.
fn used_cpus(used: &HashMap<&MachineId, Resources, FixedState>, name: &MachineId) -> f64 {
    used.get(name).map_or(0.0, |taken| taken.cpus)
}
