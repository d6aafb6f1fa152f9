//! The fleet: which machines are rented, how many are needed, renting and returning them, and what
//! this controller has learned of run times, lifetimes and faults.
//!
//! Only the leader keeps the inventory, rents and returns. Every controller follows the stored record
//! of the fleet, by which owners of shards know the machines that are draining or returned.

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

/// The share of the cloud's rate limit that this controller uses; the rest is a margin.
const CLOUD_RATE_SHARE: f64 = 0.8;

/// The state of renting and returning machines. Only the modules of this folder open its fields.
#[derive(Debug)]
pub(crate) struct Fleet {
    inventory: Inventory,
    listing: MachineListing,
    pool_backoffs: PoolBackoffs,
    provisioning_times: ProvisioningTimes,
    /// Calls per second that the cloud takes from this controller.
    cloud_calls: RateLimiter,
    /// A rental is being recorded or requested. There is one at a time.
    renting: bool,
    /// A return has been requested and not answered yet. There is one at a time.
    returning: bool,
}

impl Fleet {
    /// An empty fleet in a cloud that takes so many calls per second.
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

    /// All rented machines that are known, by name.
    pub(crate) fn machines(&self) -> impl Iterator<Item = (&MachineId, &RentedMachine)> {
        self.inventory.machines()
    }

    /// The machine of this name, if it is known.
    pub(crate) fn machine(&self, name: &MachineId) -> Option<&RentedMachine> {
        self.inventory.machine(name)
    }

    /// Takes over which machines the stored record names as draining and as returned.
    pub(crate) fn apply_record(&mut self, record: &FleetRecord) {
        self.inventory.apply_record(record);
    }

    /// Excludes time in which this process did not run from idleness and absence of machines.
    pub(crate) fn clock_jumped(&mut self, gap: Millis) {
        self.inventory.clock_jumped(gap);
    }
}

impl Core {
    /// True if the stored record names the machine as draining or as returned.
    pub(crate) fn is_draining(&self, name: &MachineId) -> bool {
        self.fleet.inventory.is_draining(name)
    }

    /// True if the return of the machine was confirmed by the cloud and recorded.
    pub(crate) fn is_returned(&self, name: &MachineId) -> bool {
        self.fleet.inventory.is_returned(name)
    }

    /// Follows a change of the stored record of the fleet.
    pub(crate) fn fleet_changed(&mut self) {
        if let Some(record) = &self.cache.fleet.record {
            self.fleet.apply_record(record);
        }
    }

    /// Takes one call from the cloud's rate. False if none is left: the call waits for the next pass.
    fn take_cloud_call(&mut self) -> bool {
        self.fleet.cloud_calls.try_take(self.now, 1.0)
    }
}
