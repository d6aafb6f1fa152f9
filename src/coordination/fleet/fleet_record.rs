//! The stored record of the fleet: draining machines, recently returned machines, and the counter
//! that rental request ids are made from.
//!
//! Only the leader writes it, under its fencing condition; owners of shards follow it. The store
//! bounds the size of a value, so the names of a large fleet do not all fit at once.

use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::records::{FleetRecord, FLEET_KEY, LEADER_KEY};
use crate::units::MachineId;

/// Share of the store's maximum value size that the record is planned to fill.
const USED_VALUE_SHARE: f64 = 0.9;

/// Bytes that the encoding adds to each name: two quotes and a comma.
const NAME_OVERHEAD_BYTES: usize = 3;

/// Lower bound for the assumed length of the longest name.
const MIN_ASSUMED_NAME_BYTES: usize = 12;

/// Maximum number of machines that the record may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FleetRecordCapacity {
    /// Maximum number of draining machines.
    pub(super) drain: usize,
    /// Maximum number of recently returned machines.
    pub(super) gone: usize,
}

impl FleetRecordCapacity {
    /// Returns the capacity of a value of `value_kb` KiB if no name exceeds `longest_name_bytes`.
    fn within(value_kb: f64, longest_name_bytes: usize) -> FleetRecordCapacity {
        let all = (value_kb * 1024.0 * USED_VALUE_SHARE / (longest_name_bytes + NAME_OVERHEAD_BYTES) as f64) as usize;
        let gone = (all / 4).max(1);
        FleetRecordCapacity { drain: all.saturating_sub(gone).max(1), gone }
    }

    /// Drops the oldest returned machines in excess of the capacity.
    fn keep_newest(&self, gone: &mut Vec<MachineId>) {
        let excess = gone.len().saturating_sub(self.gone);
        gone.drain(..excess);
    }
}

impl Core {
    /// Returns the capacity of the record, given the longest name that is known.
    pub(super) fn fleet_record_capacity(&self) -> FleetRecordCapacity {
        let recorded = self.cache.fleet.record.iter().flat_map(|record| record.draining.iter().chain(&record.returned));
        let known = self.fleet.machines().map(|(name, _)| name);
        let names = recorded.chain(known).chain(self.fleet.inventory.confirmed_returns());
        let longest_name_bytes = names.map(|name| name.as_str().len()).max().unwrap_or(0).max(MIN_ASSUMED_NAME_BYTES);
        FleetRecordCapacity::within(self.settings.cluster.state.value_kb, longest_name_bytes)
    }

    /// Returns the stored record, truncated to the current capacity: the stored one may exceed it.
    pub(super) fn fitted_fleet_record(&self) -> FleetRecord {
        let capacity = self.fleet_record_capacity();
        let mut record = self.cache.fleet.record.clone().unwrap_or_default();
        record.draining.truncate(capacity.drain);
        capacity.keep_newest(&mut record.returned);
        record
    }

    /// Stores which machines are draining and which were returned, if that changed.
    pub(super) fn write_fleet_record(&mut self) {
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

    /// Returns the transaction that stores the record, on condition that this node still leads and the
    /// stored record has not changed.
    pub(super) fn fleet_transaction(&self, record: &FleetRecord) -> Option<Transaction> {
        let conditions = vec![
            Condition { key: LEADER_KEY.into(), version: self.cache.leader.version },
            Condition { key: FLEET_KEY.into(), version: self.cache.fleet.version },
        ];
        let value = serde_json::to_value(record)
            .inspect_err(|error| tracing::error!(%error, "failed to encode the fleet record"))
            .ok()?;
        Some(Transaction { conditions, changes: vec![Change::put(FLEET_KEY.into(), value)] })
    }

    /// Adds the machines chosen for return up to the capacity; later writes add the rest once these
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

    /// Moves returned machines from the draining to the returned ones, and drops draining machines
    /// that are gone for another reason.
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
