//! Giving machines back: marked first, so that their owners know, and returned
//! when nothing is on them.

use crate::coordination::fleet::demand::Demand;
use crate::coordination::fleet::inventory::RentedMachine;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudCall, Core};
use crate::protocol::cloud::RETURN_LIMIT;
use crate::storage::records::{FleetRecord, FLEET_KEY};
use crate::units::{MachineId, Millis};
use foldhash::fast::FixedState;
use std::collections::HashSet;

/// How many machines the record of a fleet may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FleetRecordCapacity {
    /// On their way out.
    drain: usize,
    /// Returned of late.
    gone: usize,
}

impl FleetRecordCapacity {
    /// What a value of `value_kb` KiB holds of names so long: of a large fleet not all.
    fn within(value_kb: f64, longest: usize) -> FleetRecordCapacity {
        // With quotes and comma.
        let all = (value_kb * 1024.0 * 0.9 / (longest + 3) as f64) as usize;
        let gone = (all / 4).max(1);
        FleetRecordCapacity { drain: all.saturating_sub(gone).max(1), gone }
    }

    /// Keeps of the machines that are gone the last ones.
    fn keep_newest(&self, gone: &mut Vec<MachineId>) {
        let over = gone.len().saturating_sub(self.gone);
        gone.drain(..over);
    }
}

impl Core {
    /// True if a machine should have been up long ago.
    pub(crate) fn is_stuck(&self, m: &RentedMachine) -> bool {
        let Some(t) = self.catalog.get(&m.kind).filter(|_| !m.up) else { return false };
        let overtaken =
            self.fleet.machines.values().any(|other| {
                other.up && other.created_at > m.created_at && other.kind == m.kind && other.zone == m.zone
            });
        let age_s = self.now.since(m.created_at).as_secs();
        self.fleet.provisioning_times.should_give_up(&m.kind, &m.zone, t.provisioning_s, age_s, overtaken)
    }

    /// Marks for return what is idle beyond need, failed or never came up.
    pub(crate) fn drain_idle(&mut self, demand: &[Demand]) {
        if self.store.is_key_busy(FLEET_KEY) {
            return;
        }
        let (lacks, spare) = self.missing(demand, |d| d.cpus);
        // Machines that suit work without room are kept; others are not: they
        // may be what keeps the cloud from having any that would do.
        let lacking = |name: &MachineId, m: &RentedMachine| {
            let mut groups = demand.iter().zip(&lacks);
            groups.any(|(group, lack)| *lack > 0.5 && self.serves(group, name, m))
        };
        let idle_for = Millis::secs(self.tuning.min_idle_s);
        let mut surplus: f64 = spare.values().sum();
        let mut drain = vec![];
        let mut order: Vec<(&MachineId, &RentedMachine)> = self.fleet.machines.iter().collect();
        let price = |m: &RentedMachine| {
            self.catalog
                .get(&m.kind)
                .map_or(0.0, |t| if m.spot { t.spot_price.unwrap_or(t.price) } else { t.price } / t.cpus)
        };
        let used = self.resources_in_use();
        let wanted: f64 = demand.iter().map(|d| d.cpus).sum();
        let load = |n: &MachineId| used.get(n).map_or(0.0, |taken| taken.cpus);
        order.sort_by(|a, b| price(b.1).total_cmp(&price(a.1)).then(load(a.0).total_cmp(&load(b.0))));
        for (name, fleet_machine) in order {
            if self.draining(name) {
                continue;
            }
            let Some(t) = self.catalog.get(&fleet_machine.kind) else { continue };
            let stuck = self.is_stuck(fleet_machine);
            // Ordinary machines cost several times as much to keep.
            let idle_for = if fleet_machine.spot { idle_for } else { Millis(idle_for.0 / 4) };
            let idle = fleet_machine.idle_since.is_some_and(|at| self.now.since(at) >= idle_for);
            // Surplus ordinary machines are left to run out, rather than
            // refilled for as long as there is any work.
            let settled =
                fleet_machine.up && self.now.since(fleet_machine.created_at) > Millis::secs(t.provisioning_s + 45.0);
            let in_use = load(name) / t.cpus;
            let margin = if fleet_machine.spot { wanted * 0.1 } else { t.cpus * 0.25 };
            let dear = settled && !fleet_machine.spot && in_use < 0.6 && surplus >= t.cpus + margin;
            let unneeded = !lacking(name, fleet_machine) && (idle && surplus >= t.cpus || dear);
            if fleet_machine.failed || stuck || unneeded {
                if unneeded {
                    surplus -= t.cpus;
                }
                drain.push(name.clone());
            }
        }
        if drain.is_empty() {
            return;
        }
        for name in drain {
            if let Some(fleet_machine) = self.fleet.machines.get_mut(&name) {
                if !fleet_machine.up && fleet_machine.rented_here {
                    let after_s = self.now.since(fleet_machine.created_at).as_secs();
                    self.fleet.provisioning_times.record_given_up(&fleet_machine.kind, &fleet_machine.zone, after_s);
                }
                fleet_machine.drain_since = Some(self.now);
            }
        }
        self.write_fleet();
    }

    /// How many names the fleet's record may hold, as long as names are here.
    fn record_capacity(&self) -> FleetRecordCapacity {
        /// Of a name, before any is known.
        const USUAL: usize = 12;
        let record = self.cache.fleet.record.iter().flat_map(|r| r.drain.iter().chain(&r.gone));
        let names = record.chain(self.fleet.machines.keys()).chain(&self.fleet.gone);
        let longest = names.map(|name| name.as_str().len()).max().unwrap_or(0).max(USUAL);
        FleetRecordCapacity::within(self.settings.cluster.state.value_kb, longest)
    }

    /// The record as it fits into one value, whatever was written before.
    pub(crate) fn fitted_fleet(&self, mut record: FleetRecord) -> FleetRecord {
        let most = self.record_capacity();
        record.drain.truncate(most.drain);
        most.keep_newest(&mut record.gone);
        record
    }

    /// Writes which machines are on their way out, and which are gone.
    pub(crate) fn write_fleet(&mut self) {
        if self.store.is_key_busy(FLEET_KEY) || !self.is_leader() {
            return;
        }
        let before = self.cache.fleet.record.clone().unwrap_or_default();
        let mut record = self.fitted_fleet(before.clone());
        // Of a large fleet only so many fit into one record; the rest are
        // named when these are gone.
        let most = self.record_capacity();
        for (name, fleet_machine) in &self.fleet.machines {
            if record.drain.len() >= most.drain {
                break;
            }
            if fleet_machine.drain_since.is_some() && !self.fleet.drained.contains(name) && !record.drain.contains(name)
            {
                record.drain.push(name.clone());
            }
        }
        for name in &self.fleet.gone {
            record.drain.retain(|n| n != name);
            if !record.gone.contains(name) {
                record.gone.push(name.clone());
            }
        }
        // Drained machines that ended otherwise need not be remembered.
        if self.fleet.known {
            record.drain.retain(|n| self.fleet.machines.contains_key(n));
        }
        most.keep_newest(&mut record.gone);
        while self.fleet.gone.len() > most.gone {
            self.fleet.gone.pop_first();
        }
        if record != before {
            if let Some(transaction) = self.fleet_transaction(&record) {
                self.submit_transaction(transaction);
            }
        }
    }

    /// Returns machines that were marked long enough for their owners to know
    /// and that nothing is on, or that failed.
    pub(crate) fn return_drained(&mut self, busy: &HashSet<MachineId, FixedState>) {
        self.write_fleet();
        if self.fleet.returning {
            return;
        }
        let Some(record) = &self.cache.fleet.record else { return };
        let lost_after = self.timing.worker_lease + self.timing.worker_lease;
        let mut names = vec![];
        for name in record.drain.iter().filter(|n| !record.gone.contains(n)) {
            let Some(fleet_machine) = self.fleet.machines.get_mut(name) else { continue };
            let since = *fleet_machine.drain_since.get_or_insert(self.now);
            // What is on a machine that failed should have been stopped long ago:
            // it does not hear. Its return is the proof that nothing is left there.
            let lost = fleet_machine.failed && self.now.since(since) >= lost_after;
            if self.now.since(since) >= Millis(2000) && (lost || !busy.contains(name)) {
                names.push(name.clone());
            }
        }
        // Owners learn from the record which are gone: no more than it holds.
        names.truncate(RETURN_LIMIT.min(self.record_capacity().gone));
        if !names.is_empty() && self.afford_cloud() {
            self.fleet.returning = true;
            self.call_cloud(CloudCall::Return(names.clone()), PendingRequest::Return(names));
        }
    }
}
