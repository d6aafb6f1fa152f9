//! The machine types that the cloud offers, and the stored copy of them for controllers that start
//! while the cloud does not answer.
//!
//! Every controller reads the catalog once; the leader reads it again now and then and stores it.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudCall, Core};
use crate::protocol::cloud::{Catalog, MachineType};
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::records::CATALOG_KEY;
use crate::units::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// How long a leader that knows the catalog waits until it asks again.
const REFRESH_INTERVAL: Millis = Millis(15_000);

/// How long a controller that does not know it waits until it asks again.
const RETRY_INTERVAL: Millis = Millis(1000);

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
        self.types = types.iter().map(|kind| (kind.name.clone(), kind.clone())).collect();
    }

    /// True as long as no types are known, neither from the cloud nor from the store.
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

    fn is_due(&self, now: MonotonicTime) -> bool {
        let interval = if self.is_empty() { RETRY_INTERVAL } else { REFRESH_INTERVAL };
        self.requested_at.is_none_or(|at| now.since(at) >= interval)
    }
}

/// What an hour of a machine of the type costs. A type without spot machines has its ordinary price.
pub(super) fn price_per_hour(kind: &MachineType, spot: bool) -> f64 {
    if spot {
        kind.spot_price.unwrap_or(kind.price)
    } else {
        kind.price
    }
}

/// True if both offer the same sizes in the same zones. Prices change all the time and are not
/// worth a write.
fn same_sizes_and_zones(a: &Catalog, b: &Catalog) -> bool {
    let same = |a: &MachineType, b: &MachineType| {
        a.name == b.name && a.cpus == b.cpus && a.gpus == b.gpus && a.mem_gb == b.mem_gb && a.zones == b.zones
    };
    a.types.len() == b.types.len() && a.types.iter().zip(&b.types).all(|(a, b)| same(a, b))
}

impl Core {
    /// Asks the cloud for its catalog if it is time to.
    pub(crate) fn refresh_catalog(&mut self) {
        let needed = self.catalog.is_empty() || self.is_leader();
        if needed && self.catalog.is_due(self.now) {
            self.catalog.requested_at = Some(self.now);
            self.call_cloud(CloudCall::Catalog, PendingRequest::Catalog);
        }
    }

    /// Takes the cloud's catalog. The leader stores it if sizes or zones changed, so that a
    /// controller that starts in an outage of the cloud knows them.
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
                tracing::error!(%error, "could not encode the catalog");
                return;
            }
        };
        let conditions = vec![Condition { key: CATALOG_KEY.into(), version: self.cache.catalog.version }];
        let changes = vec![Change::put(CATALOG_KEY.into(), value)];
        self.submit_transaction(Transaction { conditions, changes });
    }

    /// Takes the stored catalog until the cloud has answered with its own.
    pub(crate) fn catalog_changed(&mut self) {
        if let (true, Some(stored)) = (self.catalog.is_empty(), &self.cache.catalog.record) {
            self.catalog.set_types(&stored.types);
        }
    }
}
