//! The machine types that the cloud offers, and a stored copy of them for controllers that start
//! while the cloud does not answer.
//!
//! Every controller reads the catalog once; the leader refreshes it periodically and stores it.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudCall, Core};
use crate::protocol::cloud::{Catalog, MachineType};
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::records::CATALOG_KEY;
use crate::units::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// Interval at which the leader refreshes a known catalog.
const REFRESH_INTERVAL: Millis = Millis(15_000);

/// Interval at which a controller without a catalog requests it.
const RETRY_INTERVAL: Millis = Millis(1000);

/// The machine types on offer, by name.
#[derive(Debug, Default)]
pub(crate) struct MachineCatalog {
    types: BTreeMap<String, MachineType>,
    /// Time of the last request to the cloud; absent before the first one.
    requested_at: Option<MonotonicTime>,
}

impl MachineCatalog {
    /// Replaces all types.
    pub(crate) fn set_types(&mut self, types: &[MachineType]) {
        self.types = types.iter().map(|machine_type| (machine_type.name.clone(), machine_type.clone())).collect();
    }

    /// True until the types are known, from the cloud or from the store.
    pub(crate) fn is_empty(&self) -> bool {
        self.types.is_empty()
    }

    /// Returns the type with this name, if the cloud offers it.
    pub(crate) fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.get(name)
    }

    /// Iterates over all types in the order of their names.
    pub(crate) fn types(&self) -> impl Iterator<Item = &MachineType> {
        self.types.values()
    }

    fn is_due(&self, now: MonotonicTime) -> bool {
        let interval = if self.is_empty() { RETRY_INTERVAL } else { REFRESH_INTERVAL };
        self.requested_at.is_none_or(|at| now.since(at) >= interval)
    }
}

/// Price of a machine of the type per hour. A type without a spot price costs the on-demand price.
pub(super) fn price_per_hour(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.spot_price.unwrap_or(machine_type.price)
    } else {
        machine_type.price
    }
}

/// True if both catalogs offer the same sizes in the same zones. Prices are not compared: they change
/// too often to write each change to the store.
fn same_sizes_and_zones(a: &Catalog, b: &Catalog) -> bool {
    let same = |a: &MachineType, b: &MachineType| {
        a.name == b.name && a.cpus == b.cpus && a.gpus == b.gpus && a.mem_gb == b.mem_gb && a.zones == b.zones
    };
    a.types.len() == b.types.len() && a.types.iter().zip(&b.types).all(|(a, b)| same(a, b))
}

impl Core {
    /// Requests the catalog from the cloud if a refresh is due.
    pub(crate) fn refresh_catalog(&mut self) {
        let needed = self.catalog.is_empty() || self.is_leader();
        if needed && self.catalog.is_due(self.now) {
            self.catalog.requested_at = Some(self.now);
            self.call_cloud(CloudCall::Catalog, PendingRequest::Catalog);
        }
    }

    /// Applies the cloud's catalog. The leader stores it if sizes or zones changed, so that a
    /// controller that starts during a cloud outage knows them.
    pub(super) fn apply_catalog(&mut self, catalog: Catalog) {
        self.catalog.set_types(&catalog.types);
        let stored = self.cache.catalog.record.as_ref();
        let unchanged = stored.is_some_and(|stored| same_sizes_and_zones(stored, &catalog));
        if unchanged || !self.is_leader() || self.store.is_key_busy(CATALOG_KEY) {
            return;
        }
        let value = match serde_json::to_value(&catalog) {
            Ok(value) => value,
            Err(error) => {
                tracing::error!(%error, "failed to encode the catalog");
                return;
            }
        };
        let conditions = vec![Condition { key: CATALOG_KEY.into(), version: self.cache.catalog.version }];
        let changes = vec![Change::put(CATALOG_KEY.into(), value)];
        self.submit_transaction(Transaction { conditions, changes });
    }

    /// Applies the stored catalog unless the catalog is known already.
    pub(crate) fn catalog_changed(&mut self) {
        if let (true, Some(stored)) = (self.catalog.is_empty(), &self.cache.catalog.record) {
            self.catalog.set_types(&stored.types);
        }
    }
}
