//! Applies the machine states that shard owners report to the inventory of the leader. They come from
//! this controller's own shards and from the statuses that its peers broadcast.

use crate::coordination::fleet::inventory::RentedMachine;
use crate::coordination::fleet::machine_pool::MachinePool;
use crate::coordination::shards::owned_shard::OwnedShard;
use crate::coordination::Core;
use crate::protocol::peer::PeerStatus;
use crate::units::MachineId;
use std::collections::BTreeSet;

/// Names of the machines that owners report, by reported state.
#[derive(Debug, Default)]
pub(super) struct ReportedMachines {
    /// Machines that send heartbeats.
    pub(super) up: BTreeSet<MachineId>,
    /// Machines whose termination the cloud has announced.
    pub(super) terminating: BTreeSet<MachineId>,
    /// Machines on which jobs fail that succeed elsewhere.
    pub(super) faulty: BTreeSet<MachineId>,
    /// Machines that send heartbeats but do not receive the answers.
    pub(super) downlink_lost: BTreeSet<MachineId>,
}

impl ReportedMachines {
    fn add_owned_shard(&mut self, shard: &OwnedShard) {
        self.downlink_lost.extend(shard.downlink_lost.keys().cloned());
        for (name, machine) in &shard.machines {
            self.up.insert(name.clone());
            if machine.termination_at.is_some() {
                self.terminating.insert(name.clone());
            }
            if machine.faulty {
                self.faulty.insert(name.clone());
            }
        }
    }

    fn add_peer(&mut self, status: &PeerStatus) {
        let names = |names: &[String]| -> Vec<MachineId> { names.iter().map(|name| MachineId::new(name)).collect() };
        self.faulty.extend(names(&status.faulty_machines));
        for shard in &status.shards {
            self.up.extend(names(&shard.reporting_machines));
            self.downlink_lost.extend(names(&shard.downlink_lost_machines));
            self.terminating.extend(names(&shard.terminating_machines));
        }
    }
}

impl Core {
    /// Applies the reports of all owners to the inventory, and records the duration of finished boots.
    pub(super) fn apply_machine_statuses(&mut self) {
        let reported = self.reported_machines();
        self.add_own_machines();
        for machine in self.fleet.inventory.finished_boots(&reported) {
            let boot_s = self.now.since(machine.created_at).as_secs();
            self.fleet.provisioning_times.record_ready(&machine.machine_type, &machine.zone, boot_s);
        }
        self.fleet.inventory.apply_reports(&reported);
    }

    fn reported_machines(&self) -> ReportedMachines {
        let mut reported = ReportedMachines::default();
        for shard in self.owned_shards.values() {
            reported.add_owned_shard(shard);
        }
        for status in self.membership.peers().statuses() {
            reported.add_peer(status);
        }
        reported
    }

    /// Adds machines that report to this controller before the cloud's list names them.
    fn add_own_machines(&mut self) {
        for (name, machine) in self.owned_shards.values().flat_map(|shard| &shard.machines) {
            self.fleet.inventory.add_reported(name, || {
                let pool = MachinePool {
                    machine_type: machine.machine_type.clone(),
                    zone: machine.zone.clone(),
                    spot: machine.spot,
                };
                RentedMachine::running(&pool, machine.started_at)
            });
        }
    }
}
