//! The machine types that the cloud offers, and the record of them for nodes
//! that start while the cloud cannot be reached.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudCall, Core};
use crate::protocol::cloud::{Catalog, MachineType};
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::records;
use crate::units::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// The machine types on offer, by name.
#[derive(Debug, Default)]
pub(crate) struct MachineCatalog {
    types: BTreeMap<String, MachineType>,
    /// When the cloud was last asked for its catalog.
    requested_at: Option<MonotonicTime>,
}

impl MachineCatalog {
    /// Replaces all types.
    pub(crate) fn set_types(&mut self, types: &[MachineType]) {
        self.types = types.iter().map(|machine_type| (machine_type.name.clone(), machine_type.clone())).collect();
    }

    /// True as long as neither the cloud nor the stored record has told the types.
    pub(crate) fn is_empty(&self) -> bool {
        self.types.is_empty()
    }

    /// The type of this name.
    pub(crate) fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.get(name)
    }

    /// All types, by name.
    pub(crate) fn types(&self) -> impl Iterator<Item = &MachineType> {
        self.types.values()
    }
}

impl Core {
    pub(crate) fn refresh_catalog(&mut self) {
        let known = !self.catalog.is_empty();
        if known && !self.is_leader() {
            return;
        }
        let pause = if known { 15.0 } else { 1.0 };
        if self.catalog.requested_at.is_none_or(|at| self.now.since(at) >= Millis::secs(pause)) {
            self.catalog.requested_at = Some(self.now);
            self.call_cloud(CloudCall::Catalog, PendingRequest::Catalog);
        }
    }

    /// A catalog from the cloud; the leader keeps its lasting shards in the
    /// state service, so that a node that starts in a cloud outage knows them.
    pub(crate) fn take_catalog(&mut self, catalog: Catalog) {
        self.catalog.set_types(&catalog.types);
        let same = self.cache.catalog.record.as_ref().is_some_and(|old| {
            let lasting = |c: &Catalog| {
                c.types.iter().map(|t| (t.name.clone(), t.cpus, t.gpus, t.mem_gb, t.zones.clone())).collect::<Vec<_>>()
            };
            lasting(old) == lasting(&catalog)
        });
        if same || !self.is_leader() || self.store.is_key_busy(records::CATALOG_KEY) {
            return;
        }
        let Ok(value) = serde_json::to_value(&catalog) else { return };
        let conditions = vec![Condition { key: records::CATALOG_KEY.into(), version: self.cache.catalog.version }];
        self.submit_transaction(Transaction {
            conditions,
            changes: vec![Change::put(records::CATALOG_KEY.into(), value)],
        });
    }

    pub(crate) fn catalog_changed(&mut self) {
        if let (true, Some(stored)) = (self.catalog.is_empty(), &self.cache.catalog.record) {
            self.catalog.set_types(&stored.types);
        }
    }
}
