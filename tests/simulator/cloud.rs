//! The cloud: its catalog, its list of machines, which lags behind, and renting and returning machines.

use super::SimulatedCluster;
use std::collections::BTreeMap;
use tillercleat::coordination::{CloudCall, CloudResponse};
use tillercleat::protocol::cloud::{Catalog, ListedMachine, ListedMachineState, MachineIds, MachinePage, RentRequest};
use tillercleat::units::MachineId;

/// Time from renting a machine until the list includes it (milliseconds).
const LIST_LAG_MS: u64 = 2000;
/// Minimum boot time of a machine and its random excess (milliseconds).
const MIN_BOOT_MS: u64 = 2000;
const BOOT_SPREAD_MS: u64 = 6000;
/// Boot time of machines that never come up (milliseconds): later than the end of any run.
const NEVER_MS: u64 = u64::MAX / 2;

/// A fault that makes machines rented before `until` come up late, or never.
#[derive(Debug, Clone, Copy)]
struct SlowProvisioning {
    until: u64,
    factor: u64,
    /// Every nth of these machines never comes up; 0 if all of them come up.
    every_nth_never_boots: usize,
}

/// State of the cloud apart from the machines, which are in the workers.
pub(super) struct Cloud {
    /// Machines of each rental by request id, so that a repeated request gets the same machines.
    rentals: BTreeMap<String, Vec<MachineId>>,
    slow: SlowProvisioning,
}

impl Default for Cloud {
    fn default() -> Cloud {
        Cloud { rentals: BTreeMap::new(), slow: SlowProvisioning { until: 0, factor: 1, every_nth_never_boots: 0 } }
    }
}

impl Cloud {
    pub(super) fn slow_provisioning(&mut self, until: u64, factor: u64, every_nth_never_boots: usize) {
        self.slow = SlowProvisioning { until, factor, every_nth_never_boots };
    }

    /// Returns when a machine that is rented now comes up, given its usual boot time.
    fn up_at(&self, now: u64, index: usize, boot_ms: u64) -> u64 {
        let SlowProvisioning { until, factor, every_nth_never_boots } = self.slow;
        if now >= until {
            now + boot_ms
        } else if every_nth_never_boots > 0 && index % every_nth_never_boots == 0 {
            NEVER_MS
        } else {
            now + boot_ms * factor
        }
    }
}

impl SimulatedCluster {
    pub(super) fn call_cloud(&mut self, call: CloudCall) -> CloudResponse {
        match call {
            CloudCall::Catalog => CloudResponse::Catalog(Catalog { types: self.config.machine_types.clone() }),
            CloudCall::List { .. } => CloudResponse::Page(self.list_machines()),
            CloudCall::Rent(request) => self.rent_machines(request),
            CloudCall::Return(names) => {
                let returned = self.workers.iter_mut().filter(|worker| names.contains(&worker.name));
                returned.for_each(|worker| worker.terminate());
                CloudResponse::Returned
            }
        }
    }

    fn list_machines(&self) -> MachinePage {
        let listed = |worker: &&super::workers::Worker| worker.alive && self.now >= worker.rented_at + LIST_LAG_MS;
        let machines = self.workers.iter().filter(listed).map(|worker| ListedMachine {
            machine: worker.name.clone(),
            machine_type: worker.machine_type.clone(),
            zone: self.config.zones[worker.zone].clone(),
            spot: worker.spot,
            state: if self.now >= worker.up_at { ListedMachineState::Running } else { ListedMachineState::Booting },
            age_s: (self.now - worker.rented_at) as f64 / 1000.0,
        });
        MachinePage { machines: machines.collect(), truncated: false }
    }

    fn rent_machines(&mut self, request: RentRequest) -> CloudResponse {
        if let Some(machines) = self.cloud.rentals.get(&request.request_id) {
            return CloudResponse::Rented(MachineIds { machines: machines.clone() });
        }
        let room = self.config.machines.saturating_sub(self.running_machines());
        let count = (request.count as usize).min(room);
        if count == 0 {
            return CloudResponse::NoCapacity;
        }
        let zone = self.config.zones.iter().position(|zone| *zone == request.zone).expect("a zone of the catalog");
        let mut machines = vec![];
        for _ in 0..count {
            let boot_ms = MIN_BOOT_MS + self.random.below(BOOT_SPREAD_MS);
            let up_at = self.cloud.up_at(self.now, self.workers.len(), boot_ms);
            machines.push(self.add_worker(request.machine_type.clone(), zone, request.spot, up_at));
        }
        self.cloud.rentals.insert(request.request_id, machines.clone());
        CloudResponse::Rented(MachineIds { machines })
    }
}
