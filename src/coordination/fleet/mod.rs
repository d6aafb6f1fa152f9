//! The fleet: the inventory of rented machines, the demand for them, renting and returning them, and
//! this controller's estimates of run times, lifetimes and faults.
//!
//! Only the leader keeps the inventory, rents and returns. Every controller follows the stored record
//! of the fleet, from which shard owners learn which machines are draining or returned.

pub(crate) mod autoscaler;
pub(crate) mod catalog;
pub(crate) mod cloud_answers;
pub(crate) mod demand;
pub(crate) mod estimates;
pub(crate) mod fault_attribution;
pub(crate) mod fleet_record;
pub(crate) mod inventory;
pub(crate) mod machine_list;
pub(crate) mod machine_pool;
pub(crate) mod machine_status;
pub(crate) mod provisioning_times;
pub(crate) mod scale_in;
pub(crate) mod scale_out;
pub(crate) mod shortfall;

use crate::coordination::fleet::inventory::{Inventory, RentedMachine};
use crate::coordination::fleet::machine_list::MachineListing;
use crate::coordination::fleet::machine_pool::PoolBackoffs;
use crate::coordination::fleet::provisioning_times::ProvisioningTimes;
use crate::coordination::store_client::rate_limiter::RateLimiter;
use crate::coordination::Core;
use crate::storage::records::FleetRecord;
use crate::units::{MachineId, Millis};

/// Share of the cloud's rate limit that this controller uses; the rest is a safety margin.
const CLOUD_RATE_SHARE: f64 = 0.8;

/// State of renting and returning machines. Only the modules of this folder access its fields.
#[derive(Debug)]
pub(crate) struct Fleet {
    inventory: Inventory,
    listing: MachineListing,
    pool_backoffs: PoolBackoffs,
    provisioning_times: ProvisioningTimes,
    /// Limits the calls per second to the cloud.
    cloud_calls: RateLimiter,
    /// True while a rental is being recorded or requested; there is one at a time.
    renting: bool,
    /// True while a return request is unanswered; there is one at a time.
    returning: bool,
}

impl Fleet {
    /// Creates an empty fleet in a cloud whose rate limit is `cloud_calls_per_s`.
    pub(crate) fn new(cloud_calls_per_s: f64) -> Fleet {
        Fleet {
            inventory: Inventory::default(),
            listing: MachineListing::default(),
            pool_backoffs: PoolBackoffs::default(),
            provisioning_times: ProvisioningTimes::default(),
            cloud_calls: RateLimiter::new((cloud_calls_per_s * CLOUD_RATE_SHARE).max(1.0)),
            renting: false,
            returning: false,
        }
    }

    /// Iterates over all known rented machines in the order of their names.
    pub(crate) fn machines(&self) -> impl Iterator<Item = (&MachineId, &RentedMachine)> {
        self.inventory.machines()
    }

    /// Returns the machine with this name, if it is known.
    pub(crate) fn machine(&self, name: &MachineId) -> Option<&RentedMachine> {
        self.inventory.machine(name)
    }

    /// Applies the draining and returned machines of the stored record.
    pub(crate) fn apply_record(&mut self, record: &FleetRecord) {
        self.inventory.apply_record(record);
    }

    /// Excludes a gap in which this process was suspended from the time that machines have been idle or
    /// unlisted.
    pub(crate) fn handle_clock_jump(&mut self, gap: Millis) {
        self.inventory.handle_clock_jump(gap);
    }
}

impl Core {
    /// True if the stored record names the machine as draining or as returned.
    pub(crate) fn is_draining(&self, name: &MachineId) -> bool {
        self.fleet.inventory.is_draining(name)
    }

    /// True if the stored record names the machine as returned, which the cloud has confirmed.
    pub(crate) fn is_returned(&self, name: &MachineId) -> bool {
        self.fleet.inventory.is_returned(name)
    }

    /// Applies a change of the stored fleet record.
    pub(crate) fn fleet_changed(&mut self) {
        if let Some(record) = &self.cache.fleet.record {
            self.fleet.apply_record(record);
        }
    }

    /// Takes one call from the cloud's rate limit. Returns false if none is left; the call then waits
    /// for the next pass.
    fn take_cloud_call(&mut self) -> bool {
        self.fleet.cloud_calls.try_take(self.now, 1.0)
    }
}
