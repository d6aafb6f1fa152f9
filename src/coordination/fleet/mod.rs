//! The fleet: the rented machines as the leader knows them, how many are needed, renting and
//! returning them, and what this controller has learned of run times, lifetimes and faults.

pub(crate) mod catalog;
pub(crate) mod demand;
pub(crate) mod estimates;
pub(crate) mod fault_attribution;
pub(crate) mod inventory;
pub(crate) mod provisioning_times;
pub(crate) mod scale_in;
pub(crate) mod scale_out;

use crate::coordination::fleet::inventory::RentedMachine;
use crate::coordination::fleet::provisioning_times::ProvisioningTimes;
use crate::coordination::store_client::rate_limiter::RateLimiter;
use crate::storage::records::FleetRecord;
use crate::units::{MachineId, Millis, MonotonicTime};
use foldhash::fast::FixedState;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// The state of renting and returning machines. Only this folder opens its fields.
#[derive(Debug)]
pub(crate) struct Fleet {
    machines: BTreeMap<MachineId, RentedMachine>,
    cloud_calls: RateLimiter,
    listing: bool,
    /// A full list was read since this node leads.
    known: bool,
    list_at: MonotonicTime,
    renting: bool,
    returning: bool,
    /// No capacity of a kind, zone and sort until then.
    refused: BTreeMap<(String, String, bool), (MonotonicTime, u32)>,
    provisioning_times: ProvisioningTimes,
    /// What the record names, for looking up: asked for every machine in
    /// every round and report.
    drained: HashSet<MachineId, FixedState>,
    returned: HashSet<MachineId, FixedState>,
    /// Returned for certain, but perhaps not in the record yet.
    gone: BTreeSet<MachineId>,
    /// All that were returned of late, and when: lists that lag still name them,
    /// and the record has no room for as many as a shrinking fleet returns.
    left: BTreeMap<MachineId, MonotonicTime>,
}

/// The share of the cloud's rate limit that this controller uses, so that nothing is refused for calls
/// that arrive closer together than they were made.
const CLOUD_RATE_SHARE: f64 = 0.8;

impl Fleet {
    /// An empty fleet; the cloud takes so many calls per second.
    pub(crate) fn new(cloud_calls_per_s: f64) -> Fleet {
        Fleet {
            machines: BTreeMap::new(),
            cloud_calls: RateLimiter::new((cloud_calls_per_s * CLOUD_RATE_SHARE).max(1.0)),
            listing: false,
            known: false,
            list_at: MonotonicTime(0),
            renting: false,
            returning: false,
            refused: BTreeMap::new(),
            provisioning_times: ProvisioningTimes::default(),
            drained: HashSet::default(),
            returned: HashSet::default(),
            gone: BTreeSet::new(),
            left: BTreeMap::new(),
        }
    }

    /// All rented machines that are known, by name.
    pub(crate) fn machines(&self) -> impl Iterator<Item = (&MachineId, &RentedMachine)> {
        self.machines.iter()
    }

    /// The machine of this name, if it is known.
    pub(crate) fn machine(&self, name: &MachineId) -> Option<&RentedMachine> {
        self.machines.get(name)
    }

    /// Takes over which machines the stored record names as draining and as returned.
    pub(crate) fn apply_record(&mut self, record: &FleetRecord) {
        for name in &record.gone {
            self.machines.remove(name);
        }
        self.drained = record.drain.iter().cloned().collect();
        self.returned = record.gone.iter().cloned().collect();
    }

    /// Does not count the time in which this process did not run as idleness or absence of machines.
    pub(crate) fn clock_jumped(&mut self, gap: Millis) {
        for machine in self.machines.values_mut() {
            for time in [&mut machine.last_listed, &mut machine.idle_since].into_iter().flatten() {
                *time = *time + gap;
            }
        }
    }
}
