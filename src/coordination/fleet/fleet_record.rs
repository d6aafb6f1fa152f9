//! The stored record of the fleet: which machines are draining, which were returned of late, and
//! the count behind the names of rentals.
//!
//! Written by the leader only, under its fencing condition; owners of shards follow it. A value of
//! the store is bounded, so of a large fleet not all names fit at a time.

use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::records::{FleetRecord, FLEET_KEY, LEADER_KEY};
use crate::units::MachineId;

/// The share of a value that is planned to be used.
const USED_SHARE_OF_VALUE: f64 = 0.9;

/// Bytes around each name: two quotes and a comma.
const NAME_OVERHEAD: usize = 3;

/// The length in bytes that names are taken to have at the least.
const USUAL_NAME_LENGTH: usize = 12;

/// How many machines the record may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FleetRecordCapacity {
    /// As draining.
    pub(super) drain: usize,
    /// As returned of late.
    pub(super) gone: usize,
}

impl FleetRecordCapacity {
    /// What a value of `value_kb` KiB holds if no name is longer than `longest` bytes.
    fn within(value_kb: f64, longest: usize) -> FleetRecordCapacity {
        let all = (value_kb * 1024.0 * USED_SHARE_OF_VALUE / (longest + NAME_OVERHEAD) as f64) as usize;
        let gone = (all / 4).max(1);
        FleetRecordCapacity { drain: all.saturating_sub(gone).max(1), gone }
    }

    /// Drops the oldest of the returned machines that do not fit.
    fn keep_newest(&self, gone: &mut Vec<MachineId>) {
        let over = gone.len().saturating_sub(self.gone);
        gone.drain(..over);
    }
}

impl Core {
    /// How many names the record may hold, given the length of those that are known.
    pub(super) fn fleet_record_capacity(&self) -> FleetRecordCapacity {
        let recorded = self.cache.fleet.record.iter().flat_map(|record| record.draining.iter().chain(&record.returned));
        let known = self.fleet.machines().map(|(name, _)| name);
        let names = recorded.chain(known).chain(self.fleet.inventory.confirmed_returns());
        let longest = names.map(|name| name.as_str().len()).max().unwrap_or(0).max(USUAL_NAME_LENGTH);
        FleetRecordCapacity::within(self.settings.cluster.state.value_kb, longest)
    }

    /// The stored record, cut to what fits into one value now, whatever was written before.
    pub(super) fn fitted_fleet_record(&self) -> FleetRecord {
        let capacity = self.fleet_record_capacity();
        let mut record = self.cache.fleet.record.clone().unwrap_or_default();
        record.draining.truncate(capacity.drain);
        capacity.keep_newest(&mut record.returned);
        record
    }

    /// Writes which machines are draining and which were returned, if that changed.
    pub(super) fn write_fleet(&mut self) {
        if self.store.is_key_busy(FLEET_KEY) || !self.is_leader() {
            return;
        }
        let capacity = self.fleet_record_capacity();
        let mut record = self.fitted_fleet_record();
        self.add_drains(&mut record, capacity);
        self.add_returns(&mut record, capacity);
        self.fleet.inventory.trim_confirmed_returns(capacity.gone);
        if record == self.cache.fleet.record.clone().unwrap_or_default() {
            return;
        }
        if let Some(transaction) = self.fleet_transaction(&record) {
            self.submit_transaction(transaction);
        }
    }

    /// The transaction that stores the record if this node still leads and nobody wrote meanwhile.
    pub(super) fn fleet_transaction(&self, record: &FleetRecord) -> Option<Transaction> {
        let conditions = vec![
            Condition { key: LEADER_KEY.into(), version: self.cache.leader.version },
            Condition { key: FLEET_KEY.into(), version: self.cache.fleet.version },
        ];
        let value = serde_json::to_value(record)
            .inspect_err(|error| tracing::error!(%error, "could not encode the fleet record"))
            .ok()?;
        Some(Transaction { conditions, changes: vec![Change::put(FLEET_KEY.into(), value)] })
    }

    /// Names machines chosen for return, as far as there is room; the rest are named when these
    /// are gone.
    fn add_drains(&self, record: &mut FleetRecord, capacity: FleetRecordCapacity) {
        for name in self.fleet.inventory.unrecorded_drains() {
            if record.draining.len() >= capacity.drain {
                break;
            }
            if !record.draining.contains(name) {
                record.draining.push(name.clone());
            }
        }
    }

    /// Moves returned machines from the draining ones to the returned ones, and drops draining ones
    /// that ended otherwise.
    fn add_returns(&self, record: &mut FleetRecord, capacity: FleetRecordCapacity) {
        for name in self.fleet.inventory.confirmed_returns() {
            record.draining.retain(|draining| draining != name);
            if !record.returned.contains(name) {
                record.returned.push(name.clone());
            }
        }
        if self.fleet.listing.is_complete() {
            record.draining.retain(|name| self.fleet.machine(name).is_some());
        }
        capacity.keep_newest(&mut record.returned);
    }
}
