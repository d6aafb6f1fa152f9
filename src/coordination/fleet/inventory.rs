//! The rented machines as this controller knows them: from the cloud's list, from what owners of
//! shards report, and from its own rentals and returns.
//!
//! Kept by the leader; other controllers follow only the names of the stored record. Makes no calls
//! and decides nothing: the modules of this folder change it, other folders read it through `Fleet`.

use crate::coordination::fleet::machine_pool::MachinePool;
use crate::coordination::fleet::machine_status::ReportedMachines;
use crate::protocol::cloud::{ListedMachine, ListedMachineState};
use crate::storage::records::FleetRecord;
use crate::units::{MachineId, Millis, MonotonicTime};
use foldhash::fast::FixedState;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// A rented machine, as far as this controller knows.
#[derive(Debug, Clone)]
pub(crate) struct RentedMachine {
    /// Name of the machine type.
    pub(crate) kind: String,
    /// Name of the zone.
    pub(crate) zone: String,
    /// True if the cloud may take it away.
    pub(crate) spot: bool,
    /// When it was rented: by the cloud's word, or else when this controller first knew of it.
    pub(crate) created_at: MonotonicTime,
    /// It has been seen running, in the cloud's list or by its owner.
    pub(crate) up: bool,
    /// The cloud lists it as failed, or its owner holds it for faulty.
    pub(crate) failed: bool,
    /// The cloud has announced that it takes it away.
    pub(crate) leaving: bool,
    /// Its heartbeats arrive, but it receives no answer from its owner.
    pub(crate) downlink_lost: bool,
    /// This process rented it and has watched it boot since.
    pub(super) rented_here: bool,
    last_listed: Option<MonotonicTime>,
    /// Since when it has been up without any task.
    pub(super) idle_since: Option<MonotonicTime>,
    /// When it was chosen for return.
    drain_since: Option<MonotonicTime>,
}

impl RentedMachine {
    /// A machine that is not known to be up.
    fn new(pool: &MachinePool, created_at: MonotonicTime) -> RentedMachine {
        RentedMachine {
            kind: pool.kind.clone(),
            zone: pool.zone.clone(),
            spot: pool.spot,
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

    /// A machine that this process has just rented.
    pub(super) fn rented(pool: &MachinePool, now: MonotonicTime) -> RentedMachine {
        RentedMachine { rented_here: true, ..RentedMachine::new(pool, now) }
    }

    /// A machine that reports to its owner.
    pub(super) fn running(pool: &MachinePool, created_at: MonotonicTime) -> RentedMachine {
        RentedMachine { up: true, ..RentedMachine::new(pool, created_at) }
    }

    /// True if this process has seen its whole boot, and the boot is not over.
    pub(super) fn is_watched_boot(&self) -> bool {
        !self.up && self.rented_here
    }

    /// True if tasks may be placed on it, now or once it is up.
    pub(super) fn is_usable(&self) -> bool {
        !self.failed && !self.leaving && !self.downlink_lost
    }
}

/// All rented machines, and the names of those that are draining or returned.
#[derive(Debug, Default)]
pub(super) struct Inventory {
    machines: BTreeMap<MachineId, RentedMachine>,
    /// Names of the stored record, hashed: every machine is looked up in every scheduling cycle
    /// and heartbeat.
    recorded_drains: HashSet<MachineId, FixedState>,
    recorded_returns: HashSet<MachineId, FixedState>,
    /// Returned for certain, but perhaps not in the stored record yet.
    confirmed_returns: BTreeSet<MachineId>,
    /// All machines returned of late, and when. The cloud's list lags and still names them, and the
    /// stored record has no room for as many as a shrinking fleet returns.
    recent_returns: BTreeMap<MachineId, MonotonicTime>,
}

impl Inventory {
    /// All machines, by name.
    pub(super) fn machines(&self) -> impl Iterator<Item = (&MachineId, &RentedMachine)> {
        self.machines.iter()
    }

    /// The machine of this name, if it is known.
    pub(super) fn machine(&self, name: &MachineId) -> Option<&RentedMachine> {
        self.machines.get(name)
    }

    /// True if the stored record names the machine as draining or as returned.
    pub(super) fn is_draining(&self, name: &MachineId) -> bool {
        self.recorded_drains.contains(name) || self.recorded_returns.contains(name)
    }

    /// True if the stored record names the machine as returned.
    pub(super) fn is_returned(&self, name: &MachineId) -> bool {
        self.recorded_returns.contains(name)
    }

    /// Machines that are to be drained and that the stored record does not name as draining.
    pub(super) fn unrecorded_drains(&self) -> impl Iterator<Item = &MachineId> {
        let draining = self.machines.iter().filter(|(_, machine)| machine.drain_since.is_some());
        draining.map(|(name, _)| name).filter(|name| !self.recorded_drains.contains(*name))
    }

    /// Machines returned for certain that the stored record may not name yet.
    pub(super) fn confirmed_returns(&self) -> &BTreeSet<MachineId> {
        &self.confirmed_returns
    }

    /// Forgets the first confirmed returns, by name, until so many are left.
    pub(super) fn trim_confirmed_returns(&mut self, most: usize) {
        while self.confirmed_returns.len() > most {
            self.confirmed_returns.pop_first();
        }
    }

    /// Takes over which machines the stored record names as draining and as returned.
    pub(super) fn apply_record(&mut self, record: &FleetRecord) {
        for name in &record.returned {
            self.machines.remove(name);
        }
        self.recorded_drains = record.draining.iter().cloned().collect();
        self.recorded_returns = record.returned.iter().cloned().collect();
    }

    /// Adds a machine that this process rented, unless it is known.
    pub(super) fn add_rented(&mut self, name: MachineId, machine: RentedMachine) {
        self.machines.entry(name).or_insert(machine);
    }

    /// Adds a machine that reports to its owner, unless it is known or was returned of late: what
    /// owners know lags too.
    pub(super) fn add_reported(&mut self, name: &MachineId, machine: impl FnOnce() -> RentedMachine) {
        if !self.machines.contains_key(name) && !self.was_returned_lately(name) {
            self.machines.insert(name.clone(), machine());
        }
    }

    /// Machines that are reported for the first time and whose boot was watched from its start.
    pub(super) fn finished_boots<'a>(
        &'a self,
        reported: &'a ReportedMachines,
    ) -> impl Iterator<Item = &'a RentedMachine> {
        let booting = self.machines.iter().filter(|(_, machine)| machine.is_watched_boot());
        booting.filter(|(name, _)| reported.up.contains(*name)).map(|(_, machine)| machine)
    }

    /// Takes over what the owners report.
    pub(super) fn apply_reports(&mut self, reported: &ReportedMachines) {
        for (name, machine) in &mut self.machines {
            machine.up |= reported.up.contains(name);
            machine.leaving |= reported.leaving.contains(name);
            machine.failed |= reported.faulty.contains(name);
            machine.downlink_lost = reported.downlink_lost.contains(name);
        }
    }

    /// Takes over an entry of the cloud's list, unless the machine was returned.
    pub(super) fn apply_listed(&mut self, listed: ListedMachine, now: MonotonicTime) {
        if self.was_returned_lately(&listed.machine) || self.is_returned(&listed.machine) {
            return;
        }
        let pool = MachinePool { kind: listed.kind, zone: listed.zone, spot: listed.spot };
        let created_at = now - Millis::from_secs(listed.age_s);
        let machine = self.machines.entry(listed.machine).or_insert_with(|| RentedMachine::new(&pool, created_at));
        machine.up |= listed.state == ListedMachineState::Running;
        machine.failed |= listed.state == ListedMachineState::Failed;
        machine.last_listed = Some(now);
    }

    /// Forgets machines that no list has named for so long, and returns as old as that.
    pub(super) fn forget_unlisted(&mut self, now: MonotonicTime, patience: Millis) {
        self.machines.retain(|_, machine| now.since(machine.last_listed.unwrap_or(machine.created_at)) < patience);
        self.recent_returns.retain(|_, returned_at| now.since(*returned_at) < patience);
    }

    /// Notes which machines are without any task.
    pub(super) fn update_idle(&mut self, busy: &HashSet<MachineId, FixedState>, now: MonotonicTime) {
        for (name, machine) in &mut self.machines {
            if busy.contains(name) || !machine.up {
                machine.idle_since = None;
            } else {
                machine.idle_since.get_or_insert(now);
            }
        }
    }

    /// Chooses the machine for return from now on.
    pub(super) fn start_drain(&mut self, name: &MachineId, now: MonotonicTime) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.drain_since = Some(now);
        }
    }

    /// Since when a machine of the record is draining, as seen by this process: a new leader counts
    /// from the first time it asks.
    pub(super) fn drain_since(&mut self, name: &MachineId, now: MonotonicTime) -> Option<MonotonicTime> {
        self.machines.get_mut(name).map(|machine| *machine.drain_since.get_or_insert(now))
    }

    /// Removes machines whose return the cloud has confirmed.
    pub(super) fn confirm_returns(&mut self, names: Vec<MachineId>, now: MonotonicTime) {
        for name in names {
            self.machines.remove(&name);
            self.recent_returns.insert(name.clone(), now);
            self.confirmed_returns.insert(name);
        }
    }

    /// Excludes time in which this process did not run from idleness and absence of machines.
    pub(super) fn clock_jumped(&mut self, gap: Millis) {
        for machine in self.machines.values_mut() {
            for time in [&mut machine.last_listed, &mut machine.idle_since].into_iter().flatten() {
                *time = *time + gap;
            }
        }
    }

    /// True if the machine was returned of late, whoever still names it.
    fn was_returned_lately(&self, name: &MachineId) -> bool {
        self.confirmed_returns.contains(name) || self.recent_returns.contains_key(name)
    }
}

#[cfg(test)]
mod tests;
