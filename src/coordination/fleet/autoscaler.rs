//! One pass of the autoscaler. The leader runs it with each housekeeping: it refreshes the
//! inventory, computes demand, scales out, scales in and returns drained machines.
//!
//! This module only orders the steps; each step is implemented in its own module.

use crate::coordination::fleet::demand::Demand;
use crate::coordination::fleet::provisioning_times::TypeInZone;
use crate::coordination::Core;
use crate::storage::records::TaskRecord;
use crate::units::MachineId;
use foldhash::fast::FixedState;
use std::collections::{BTreeMap, HashSet};

impl Core {
    /// Runs one pass. Rents and returns nothing until the full machine list and the catalog are known.
    pub(crate) fn manage_fleet(&mut self) {
        self.apply_machine_statuses();
        self.refresh_machine_list();
        if !self.fleet.listing.is_complete() || self.catalog.is_empty() {
            return;
        }
        self.learn_provisioning_times();
        let busy = self.busy_machines();
        self.fleet.inventory.update_idle(&busy, self.now);
        self.record_unplaceable_services();
        let demand = self.demand();
        self.log_fleet(&demand);
        if !self.fleet.renting {
            self.scale_out(&demand);
        }
        self.drain_unneeded(&demand);
        self.return_drained(&busy);
    }

    /// Updates the typical boot times from finished boots and from the ages of unfinished ones.
    fn learn_provisioning_times(&mut self) {
        let mut under_way: BTreeMap<TypeInZone, Vec<f64>> = BTreeMap::new();
        let booting = self.fleet.machines().filter(|(_, machine)| machine.is_watched_boot() && !machine.failed);
        for (_, machine) in booting {
            let ages = under_way.entry(TypeInZone::new(&machine.machine_type, &machine.zone)).or_default();
            ages.push(self.now.since(machine.created_at).as_secs());
        }
        self.fleet.provisioning_times.learn(&under_way);
    }

    /// Returns the machines that a task may be on, according to the stored or the desired slices.
    fn busy_machines(&self) -> HashSet<MachineId, FixedState> {
        let mut busy: HashSet<&MachineId, FixedState> = HashSet::default();
        let jobs = self.cache.active.iter().filter_map(|id| self.cache.jobs.get(id));
        for job in jobs.filter(|job| job.holds_machines()) {
            let records = job.slices().iter().flat_map(|slice| slice.record().into_iter().chain(slice.desired()));
            for task in records.flat_map(|record| &record.tasks) {
                if let TaskRecord::Placed(_, machine) = task {
                    busy.insert(machine);
                }
            }
        }
        busy.into_iter().cloned().collect()
    }

    fn log_fleet(&self, demand: &[Demand]) {
        let cpus = |up: bool, spot: bool| -> f64 {
            let machines = self
                .fleet
                .machines()
                .filter(|(name, machine)| machine.up == up && machine.spot == spot && !self.is_draining(name));
            machines.filter_map(|(_, machine)| self.catalog.get(&machine.machine_type)).map(|kind| kind.cpus).sum()
        };
        let jobs = self.cache.active.iter().filter_map(|id| self.cache.jobs.get(id));
        let used_cpus: f64 = jobs
            .filter(|job| job.holds_machines())
            .map(|job| f64::from(job.done_and_placed().1) * job.record.spec.cpus)
            .sum();
        let desired_cpus: f64 = demand.iter().map(|group| group.cpus).sum();
        tracing::debug!(
            desired_cpus,
            used_cpus,
            up_spot_cpus = cpus(true, true),
            up_on_demand_cpus = cpus(true, false),
            booting_spot_cpus = cpus(false, true),
            booting_on_demand_cpus = cpus(false, false),
            "compared demand with the fleet"
        );
    }
}
