//! The rented machines as this controller knows them, from the cloud's list, from the reports of
//! shard owners, and from its own rentals and returns.
//!
//! The leader keeps the inventory; other controllers follow only the names in the stored record. This
//! module holds state only: the other modules of this folder update it, other folders read it through
//! `Fleet`.

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
    pub(crate) machine_type: String,
    /// Name of the zone.
    pub(crate) zone: String,
    /// True for spot machines, which the cloud may terminate at any time.
    pub(crate) spot: bool,
    /// When it was rented according to the cloud, or else when this controller first observed it.
    pub(crate) created_at: MonotonicTime,
    /// True once the cloud's list or its owner has reported it as running.
    pub(crate) up: bool,
    /// True once the cloud lists it as failed or its owner reports it as faulty.
    pub(crate) failed: bool,
    /// True once the cloud has announced its termination.
    pub(crate) terminating: bool,
    /// True while its owner receives its heartbeats but the answers do not reach the machine.
    pub(crate) downlink_lost: bool,
    /// True if this process rented it, and so has observed its boot from the start.
    pub(super) rented_here: bool,
    last_listed: Option<MonotonicTime>,
    /// Since when it has been up without tasks; absent while it is busy or not up.
    pub(super) idle_since: Option<MonotonicTime>,
    /// Since when it has been draining, as seen by this process; absent if it is not draining.
    drain_since: Option<MonotonicTime>,
}

impl RentedMachine {
    /// Creates a machine that is not known to be up.
    fn new(pool: &MachinePool, created_at: MonotonicTime) -> RentedMachine {
        RentedMachine {
            machine_type: pool.machine_type.clone(),
            zone: pool.zone.clone(),
            spot: pool.spot,
            created_at,
            up: false,
            failed: false,
            terminating: false,
            downlink_lost: false,
            rented_here: false,
            last_listed: None,
            idle_since: None,
            drain_since: None,
        }
    }

    /// Creates a machine that this process has just rented.
    pub(super) fn rented(pool: &MachinePool, now: MonotonicTime) -> RentedMachine {
        RentedMachine { rented_here: true, ..RentedMachine::new(pool, now) }
    }

    /// Creates a machine that sends heartbeats to its owner.
    pub(super) fn running(pool: &MachinePool, created_at: MonotonicTime) -> RentedMachine {
        RentedMachine { up: true, ..RentedMachine::new(pool, created_at) }
    }

    /// True if the machine is booting and this process has observed the boot from its start.
    pub(super) fn is_watched_boot(&self) -> bool {
        !self.up && self.rented_here
    }

    /// True if tasks may be placed on the machine, now or once it is up.
    pub(super) fn is_usable(&self) -> bool {
        !self.failed && !self.terminating && !self.downlink_lost
    }
}

/// All known rented machines, and the names of those that are draining or returned.
#[derive(Debug, Default)]
pub(super) struct Inventory {
    machines: BTreeMap<MachineId, RentedMachine>,
    /// Draining machines in the stored record. Hashed, because each scheduling cycle and heartbeat
    /// looks up every machine.
    recorded_drains: HashSet<MachineId, FixedState>,
    /// Returned machines in the stored record.
    recorded_returns: HashSet<MachineId, FixedState>,
    /// Machines whose return the cloud confirmed, but which the stored record may not name yet.
    confirmed_returns: BTreeSet<MachineId>,
    /// All recently returned machines, with the time of their return. The cloud's list lags and still
    /// names them, and the stored record has no room for all that a shrinking fleet returns.
    recent_returns: BTreeMap<MachineId, MonotonicTime>,
}

impl Inventory {
    /// Iterates over all machines in the order of their names.
    pub(super) fn machines(&self) -> impl Iterator<Item = (&MachineId, &RentedMachine)> {
        self.machines.iter()
    }

    /// Returns the machine with this name, if it is known.
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

    /// Iterates over the machines chosen for return that the stored record does not name as draining.
    pub(super) fn unrecorded_drains(&self) -> impl Iterator<Item = &MachineId> {
        let draining = self.machines.iter().filter(|(_, machine)| machine.drain_since.is_some());
        draining.map(|(name, _)| name).filter(|name| !self.recorded_drains.contains(*name))
    }

    /// Machines whose return the cloud confirmed, but which the stored record may not name yet.
    pub(super) fn confirmed_returns(&self) -> &BTreeSet<MachineId> {
        &self.confirmed_returns
    }

    /// Drops confirmed returns, lowest name first, until at most `max_count` are left.
    pub(super) fn trim_confirmed_returns(&mut self, max_count: usize) {
        while self.confirmed_returns.len() > max_count {
            self.confirmed_returns.pop_first();
        }
    }

    /// Applies the draining and returned machines of the stored record.
    pub(super) fn apply_record(&mut self, record: &FleetRecord) {
        for name in &record.returned {
            self.machines.remove(name);
        }
        self.recorded_drains = record.draining.iter().cloned().collect();
        self.recorded_returns = record.returned.iter().cloned().collect();
    }

    /// Adds a machine that this process rented, unless it is known already.
    pub(super) fn add_rented(&mut self, name: MachineId, machine: RentedMachine) {
        self.machines.entry(name).or_insert(machine);
    }

    /// Adds a machine that sends heartbeats to its owner, unless it is known already or was recently
    /// returned: the knowledge of owners lags too.
    pub(super) fn add_reported(&mut self, name: &MachineId, machine: impl FnOnce() -> RentedMachine) {
        if !self.machines.contains_key(name) && !self.was_recently_returned(name) {
            self.machines.insert(name.clone(), machine());
        }
    }

    /// Iterates over the machines that are reported as up for the first time and whose boot this process
    /// observed from its start.
    pub(super) fn finished_boots<'a>(
        &'a self,
        reported: &'a ReportedMachines,
    ) -> impl Iterator<Item = &'a RentedMachine> {
        let booting = self.machines.iter().filter(|(_, machine)| machine.is_watched_boot());
        booting.filter(|(name, _)| reported.up.contains(*name)).map(|(_, machine)| machine)
    }

    /// Applies the reports of the shard owners.
    pub(super) fn apply_reports(&mut self, reported: &ReportedMachines) {
        for (name, machine) in &mut self.machines {
            machine.up |= reported.up.contains(name);
            machine.terminating |= reported.terminating.contains(name);
            machine.failed |= reported.faulty.contains(name);
            machine.downlink_lost = reported.downlink_lost.contains(name);
        }
    }

    /// Applies an entry of the cloud's list, unless the machine was returned.
    pub(super) fn apply_listed(&mut self, listed: ListedMachine, now: MonotonicTime) {
        if self.was_recently_returned(&listed.machine) || self.is_returned(&listed.machine) {
            return;
        }
        let pool = MachinePool { machine_type: listed.machine_type, zone: listed.zone, spot: listed.spot };
        let created_at = now - Millis::from_secs(listed.age_s);
        let machine = self.machines.entry(listed.machine).or_insert_with(|| RentedMachine::new(&pool, created_at));
        machine.up |= listed.state == ListedMachineState::Running;
        machine.failed |= listed.state == ListedMachineState::Failed;
        machine.last_listed = Some(now);
    }

    /// Removes machines that no list has named for `retention`, and forgets returns of that age.
    pub(super) fn forget_unlisted(&mut self, now: MonotonicTime, retention: Millis) {
        self.machines.retain(|_, machine| now.since(machine.last_listed.unwrap_or(machine.created_at)) < retention);
        self.recent_returns.retain(|_, returned_at| now.since(*returned_at) < retention);
    }

    /// Updates since when each machine has been up without tasks.
    pub(super) fn update_idle(&mut self, busy: &HashSet<MachineId, FixedState>, now: MonotonicTime) {
        for (name, machine) in &mut self.machines {
            if busy.contains(name) || !machine.up {
                machine.idle_since = None;
            } else {
                machine.idle_since.get_or_insert(now);
            }
        }
    }

    /// Marks the machine as draining from now on.
    pub(super) fn start_drain(&mut self, name: &MachineId, now: MonotonicTime) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.drain_since = Some(now);
        }
    }

    /// Returns since when a machine of the record has been draining, as seen by this process. A new
    /// leader counts from its first call.
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

    /// Excludes a gap in which this process was suspended from the time that machines have been idle or
    /// unlisted.
    pub(super) fn handle_clock_jump(&mut self, gap: Millis) {
        for machine in self.machines.values_mut() {
            for time in [&mut machine.last_listed, &mut machine.idle_since].into_iter().flatten() {
                *time = *time + gap;
            }
        }
    }

    /// True if the cloud recently confirmed the return of the machine.
    fn was_recently_returned(&self, name: &MachineId) -> bool {
        self.confirmed_returns.contains(name) || self.recent_returns.contains_key(name)
    }
}

#[cfg(test)]
mod tests;
