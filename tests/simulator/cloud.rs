//! The cloud of the simulated cluster.

use super::*;

impl SimulatedCluster {
    pub(super) fn cloud_call(&mut self, call: CloudCall) -> CloudAnswer {
        match call {
            CloudCall::Catalog => CloudAnswer::Catalog(Catalog { types: self.config.machine_types.clone() }),
            CloudCall::List { .. } => {
                let machines = self.workers.iter().filter(|w| w.alive && self.now >= w.rented_at + 2000);
                let machines = machines
                    .map(|w| ListedMachine {
                        machine: w.name.clone(),
                        kind: w.kind.clone(),
                        zone: self.config.zones[w.zone].clone(),
                        spot: w.spot,
                        state: if self.now >= w.up_at {
                            ListedMachineState::Running
                        } else {
                            ListedMachineState::Booting
                        },
                        age_s: (self.now - w.rented_at) as f64 / 1000.0,
                    })
                    .collect();
                CloudAnswer::Page(MachinePage { machines, more: false })
            }
            CloudCall::Rent(request) => {
                if let Some(names) = self.rentals.get(&request.request) {
                    return CloudAnswer::Rented(MachineNames { machines: names.clone() });
                }
                let alive = self.workers.iter().filter(|w| w.alive).count();
                let count = (request.count as usize).min(self.config.machines.saturating_sub(alive));
                if count == 0 {
                    return CloudAnswer::NoCapacity;
                }
                let zone = self.config.zones.iter().position(|z| *z == request.zone).expect("a zone of the catalog");
                let mut names = vec![];
                for _ in 0..count {
                    let index = self.workers.len();
                    let boot = 2000 + self.random.below(6000);
                    let up_at = match self.slow_provisioning {
                        (until, ..) if self.now >= until => self.now + boot,
                        (_, _, never_each) if never_each > 0 && index % never_each == 0 => u64::MAX / 2,
                        (_, times, _) => self.now + boot * times,
                    };
                    names.push(self.add_worker(request.kind.clone(), zone, request.spot, up_at));
                }
                self.rentals.insert(request.request, names.clone());
                CloudAnswer::Rented(MachineNames { machines: names })
            }
            CloudCall::Return(names) => {
                for worker in self.workers.iter_mut().filter(|w| names.contains(&w.name)) {
                    worker.alive = false;
                    worker.tasks.clear();
                }
                CloudAnswer::Returned
            }
        }
    }
}
