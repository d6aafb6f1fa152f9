//! The machines that are ours, as the leader knows them: from the cloud's list,
//! from what owners say, and from its own dealings.

use crate::coordination::fleet::demand::Demand;
use crate::coordination::store_client::pending_requests::{PendingRequest, SentRequest};
use crate::coordination::{CloudAnswer, CloudCall, Core};
use crate::protocol::cloud::{ListedMachine, ListedMachineState};
use crate::storage::records::TaskRecord;
use crate::units::{CallId, MachineId, Millis, MonotonicTime};
use foldhash::fast::FixedState;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// A machine that is ours, as far as the leader knows.
#[derive(Debug, Clone)]
pub struct RentedMachine {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub created_at: MonotonicTime,
    pub up: bool,
    pub failed: bool,
    /// The cloud has announced that it takes it.
    pub leaving: bool,
    /// It reports, but does not hear its owner.
    pub downlink_lost: bool,
    /// Rented by this node, which has watched it boot since.
    pub(crate) rented_here: bool,
    pub(crate) last_listed: Option<MonotonicTime>,
    pub(crate) idle_since: Option<MonotonicTime>,
    pub(crate) drain_since: Option<MonotonicTime>,
}

impl RentedMachine {
    /// A machine that is not known to be up.
    pub(crate) fn new(kind: &str, zone: &str, spot: bool, created_at: MonotonicTime) -> RentedMachine {
        RentedMachine {
            kind: kind.into(),
            zone: zone.into(),
            spot,
            created_at,
            up: false,
            failed: false,
            leaving: false,
            downlink_lost: false,
            rented_here: false,
            last_listed: None,
            idle_since: None,
            drain_since: None,
        }
    }
}

impl Core {
    pub(crate) fn draining(&self, name: &MachineId) -> bool {
        self.fleet.drained.contains(name) || self.fleet.returned.contains(name)
    }

    /// True if the machine was returned of late, whoever still names it.
    fn has_left(&self, name: &MachineId) -> bool {
        self.fleet.gone.contains(name) || self.fleet.left.contains_key(name)
    }

    /// True if the return of the machine was confirmed.
    pub(crate) fn returned(&self, name: &MachineId) -> bool {
        self.fleet.returned.contains(name)
    }

    pub(crate) fn fleet_changed(&mut self) {
        if let Some(record) = &self.cache.fleet.record {
            self.fleet.apply_record(record);
        }
    }

    /// Takes from the cloud's rate; the rest is for the next turn.
    pub(crate) fn afford_cloud(&mut self) -> bool {
        self.fleet.cloud_calls.try_take(self.now, 1.0)
    }

    pub(crate) fn manage_fleet(&mut self) {
        self.apply_peer_statuses();
        if !self.fleet.listing && self.now.since(self.fleet.list_at) >= Millis(2000) && self.afford_cloud() {
            self.fleet.listing = true;
            self.fleet.list_at = self.now;
            self.call_cloud(CloudCall::List { after: None }, PendingRequest::List { seen: vec![] });
        }
        if !self.fleet.known || self.catalog.is_empty() {
            return;
        }
        self.learn_provisioning_times();
        let busy = self.busy_machines();
        self.note_idle(&busy);
        self.record_unplaceable_services();
        let demand = self.demand();
        self.log_fleet(&demand);
        if !self.fleet.renting {
            self.rent_for(&demand);
        }
        self.drain_idle(&demand);
        self.return_drained(&busy);
    }

    pub(crate) fn learn_provisioning_times(&mut self) {
        let mut under_way: BTreeMap<(String, String), Vec<f64>> = BTreeMap::new();
        for m in self.fleet.machines.values().filter(|m| !m.up && !m.failed && m.rented_here) {
            let ages = under_way.entry((m.kind.clone(), m.zone.clone())).or_default();
            ages.push(self.now.since(m.created_at).as_secs());
        }
        self.fleet.provisioning_times.learn(&under_way);
    }

    pub(crate) fn log_fleet(&mut self, demand: &[Demand]) {
        let cores = |up: bool, spot: bool| -> f64 {
            let machines =
                self.fleet.machines.iter().filter(|(n, m)| m.up == up && m.spot == spot && !self.draining(n));
            machines.filter_map(|(_, m)| self.catalog.get(&m.kind)).map(|t| t.cpus).sum()
        };
        let used: f64 = self
            .cache
            .active
            .iter()
            .filter_map(|id| self.cache.jobs.get(id))
            .filter(|j| j.holds_machines())
            .map(|j| f64::from(j.counts().1) * j.record.spec.cpus)
            .sum();
        let wanted: f64 = demand.iter().map(|d| d.cpus).sum();
        tracing::debug!(
            "cores: {wanted:.0} wanted, {used:.0} used; up {} spot and {} ordinary, booting {} and {}",
            cores(true, true),
            cores(true, false),
            cores(false, true),
            cores(false, false),
        );
    }

    /// What other owners say of their machines.
    pub(crate) fn apply_peer_statuses(&mut self) {
        let mut up: BTreeSet<MachineId> = BTreeSet::new();
        let mut leaving: BTreeSet<MachineId> = BTreeSet::new();
        let mut faulty: BTreeSet<MachineId> = BTreeSet::new();
        let mut downlink_lost: BTreeSet<MachineId> = BTreeSet::new();
        for owned_shard in self.owned_shards.values() {
            downlink_lost.extend(owned_shard.downlink_lost.keys().cloned());
            for (name, machine) in &owned_shard.machines {
                up.insert(name.clone());
                if machine.notice.is_some() {
                    leaving.insert(name.clone());
                }
                if machine.faulty {
                    faulty.insert(name.clone());
                }
            }
            for (name, machine) in &owned_shard.machines {
                if !self.fleet.machines.contains_key(name) && !self.has_left(name) {
                    let found = RentedMachine::new(&machine.kind, &machine.zone, machine.spot, machine.born);
                    let fleet_machine = RentedMachine { up: true, ..found };
                    self.fleet.machines.insert(name.clone(), fleet_machine);
                }
            }
        }
        for status in self.peers.values().filter_map(|p| p.status.as_ref()) {
            faulty.extend(status.faulty_machines.iter().map(|n| MachineId::new(n)));
            for load in &status.shards {
                up.extend(load.reporting_machines.iter().map(|n| MachineId::new(n)));
                downlink_lost.extend(load.downlink_lost_machines.iter().map(|n| MachineId::new(n)));
                leaving.extend(load.terminating_machines.iter().map(|n| MachineId::new(n)));
            }
        }
        for (name, fleet_machine) in &mut self.fleet.machines {
            if !fleet_machine.up && fleet_machine.rented_here && up.contains(name) {
                self.fleet.provisioning_times.record_ready(
                    &fleet_machine.kind,
                    &fleet_machine.zone,
                    self.now.since(fleet_machine.created_at).as_secs(),
                );
            }
            fleet_machine.up |= up.contains(name);
            fleet_machine.leaving |= leaving.contains(name);
            fleet_machine.failed |= faulty.contains(name);
            fleet_machine.downlink_lost = downlink_lost.contains(name);
        }
    }

    /// Machines that a task may be on.
    pub(crate) fn busy_machines(&self) -> HashSet<MachineId, FixedState> {
        let mut busy: HashSet<&MachineId, FixedState> = HashSet::default();
        for job in self.cache.active.iter().filter_map(|id| self.cache.jobs.get(id)).filter(|j| j.holds_machines()) {
            let records = job.slices().iter().flat_map(|s| s.record().into_iter().chain(s.desired()));
            for task in records.flat_map(|r| &r.tasks) {
                if let TaskRecord::Placed(_, machine) = task {
                    busy.insert(machine);
                }
            }
        }
        busy.into_iter().cloned().collect()
    }

    pub(crate) fn note_idle(&mut self, busy: &HashSet<MachineId, FixedState>) {
        for (name, fleet_machine) in &mut self.fleet.machines {
            if busy.contains(name) || !fleet_machine.up {
                fleet_machine.idle_since = None;
            } else {
                fleet_machine.idle_since.get_or_insert(self.now);
            }
        }
    }

    pub(crate) fn cloud_answer(&mut self, id: CallId, answer: CloudAnswer) {
        let Some(SentRequest { what, .. }) = self.store.take_request(id) else { return };
        match (what, answer) {
            (PendingRequest::Catalog, CloudAnswer::Catalog(catalog)) => self.take_catalog(catalog),
            (PendingRequest::List { seen }, answer) => self.list_answer(seen, answer),
            (PendingRequest::Rent(rental), answer) => self.rent_answer(rental, answer),
            (PendingRequest::Return(names), answer) => {
                self.fleet.returning = false;
                if matches!(answer, CloudAnswer::Returned) {
                    for name in names {
                        self.fleet.machines.remove(&name);
                        self.fleet.left.insert(name.clone(), self.now);
                        self.fleet.gone.insert(name);
                    }
                    self.write_fleet();
                }
            }
            _ => {}
        }
    }

    pub(crate) fn list_answer(&mut self, mut seen: Vec<ListedMachine>, answer: CloudAnswer) {
        let CloudAnswer::Page(page) = answer else {
            self.fleet.listing = false;
            return;
        };
        seen.extend(page.machines);
        if let (true, Some(last)) = (page.truncated, seen.last()) {
            let call = CloudCall::List { after: Some(last.machine.clone()) };
            return self.call_cloud(call, PendingRequest::List { seen });
        }
        self.fleet.listing = false;
        self.fleet.known = true;
        for listed in seen {
            if self.has_left(&listed.machine) || self.returned(&listed.machine) {
                continue;
            }
            let fleet_machine =
                RentedMachine::new(&listed.kind, &listed.zone, listed.spot, self.now - Millis::secs(listed.age_s));
            let fleet_machine = self.fleet.machines.entry(listed.machine).or_insert(fleet_machine);
            fleet_machine.up |= listed.state == ListedMachineState::Running;
            fleet_machine.failed |= listed.state == ListedMachineState::Failed;
            fleet_machine.last_listed = Some(self.now);
        }
        // The list lags, and may be older than the one before it: only what
        // is missing for long is gone.
        let patience = Millis::secs(self.settings.cluster.cloud.list_lag_s * 2.5 + 5.0);
        let now = self.now;
        self.fleet.machines.retain(|_, m| now.since(m.last_listed.unwrap_or(m.created_at)) < patience);
        self.fleet.left.retain(|_, at| now.since(*at) < patience);
    }
}

#[cfg(test)]
mod tests;
