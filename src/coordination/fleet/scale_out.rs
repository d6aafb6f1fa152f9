//! Scaling out: rents the machines that demand is short of from the pool where they cost least.
//!
//! Run by the leader, one rental at a time. The request id of a rental is stored before it is used. A
//! rental without an answer is retried under the same id, so the cloud never performs it twice.

use crate::coordination::fleet::catalog::price_per_hour;
use crate::coordination::fleet::demand::Demand;
use crate::coordination::fleet::inventory::RentedMachine;
use crate::coordination::fleet::machine_pool::MachinePool;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudCall, CloudResponse, Core};
use crate::protocol::cloud::{MachineType, RentRequest, MAX_MACHINES_PER_RENT};
use crate::protocol::state::{StoreRequest, StoreResponse, Transaction};
use crate::storage::records::FLEET_KEY;
use std::collections::BTreeMap;

/// Assumed time for which a machine is kept and paid for.
const TYPICAL_RENTAL_S: f64 = 300.0;

/// Minimum share of a machine's cores that counts as useful, however little memory it has.
const MIN_USEFUL_SHARE: f64 = 0.3;

/// Share of the image fetch time that counts towards cost, since tasks share some images.
const UNSHARED_FETCH_SHARE: f64 = 0.5;

/// Cost surcharge of a zone that holds the whole fleet, as a share of the cost.
const ZONE_SPREAD_COST_SHARE: f64 = 0.05;

/// Maximum number of retries of a rental that got no definite answer.
const MAX_RENTAL_RETRIES: u32 = 3;

/// Lower bound of divisors that are a task's cores or gigabytes of memory.
const MIN_TASK_SIZE: f64 = 1e-3;

/// Lower bound of a divisor that is a sum of run times weighted by cores.
const MIN_RUN_S: f64 = 1e-6;

/// A rental that is being recorded or requested.
#[derive(Debug, Clone)]
pub(crate) struct PendingRental {
    request: RentRequest,
    /// Number of retries left if the cloud gives no definite answer.
    retries_left: u32,
}

impl PendingRental {
    fn pool(&self) -> MachinePool {
        MachinePool {
            machine_type: self.request.machine_type.clone(),
            zone: self.request.zone.clone(),
            spot: self.request.spot,
        }
    }
}

/// Cores that a group is short of.
struct GroupShortage<'a> {
    group: &'a Demand,
    /// Total, on spot or on-demand machines.
    any_cpus: f64,
    /// Cores for urgent work, which can't wait for spot machines.
    urgent_cpus: f64,
}

/// Machines that could be rented for a group, and the cost by which offers are compared.
struct Offer {
    pool: MachinePool,
    count: u32,
    cost: f64,
}

/// Cores of the fleet per zone, and their total.
struct ZoneCpus<'a> {
    by_zone: BTreeMap<&'a str, f64>,
    total: f64,
}

impl ZoneCpus<'_> {
    /// Factor that raises the cost of a zone with the share of the fleet that it holds already.
    fn cost_factor(&self, zone: &str) -> f64 {
        let cpus = self.by_zone.get(zone).copied().unwrap_or(0.0);
        1.0 + ZONE_SPREAD_COST_SHARE * cpus / self.total.max(1.0)
    }
}

impl Core {
    /// Rents for the first group that is short of cores and has an offer.
    pub(super) fn scale_out(&mut self, demand: &[Demand]) {
        let any = self.shortfall(demand, |group| group.cpus).missing_cpus;
        let urgent = self.shortfall(demand, |group| group.urgent_cpus).missing_cpus;
        let zones = self.zone_cpus();
        let shortages = demand.iter().zip(any.into_iter().zip(urgent));
        let offer = shortages
            .map(|(group, (any_cpus, urgent_cpus))| GroupShortage { group, any_cpus, urgent_cpus })
            .filter(|shortage| shortage.any_cpus > 0.0)
            .find_map(|shortage| self.cheapest_offer(&shortage, &zones));
        if let Some(offer) = offer {
            self.record_rental(offer);
        }
    }

    /// Handles the store's answer; requests the rental if its id is stored now.
    pub(crate) fn handle_rental_record_response(
        &mut self,
        rental: PendingRental,
        transaction: Transaction,
        answer: StoreResponse,
    ) {
        self.store.release_key(FLEET_KEY);
        match answer {
            StoreResponse::Committed(revision) => {
                self.apply_committed(&transaction, revision);
                self.request_rental(rental);
            }
            StoreResponse::Conflict(failed) => {
                self.fleet.renting = false;
                self.reread_keys(failed, None);
            }
            _ => self.fleet.renting = false,
        }
    }

    /// Handles the cloud's answer to a rental.
    pub(super) fn handle_rental_response(&mut self, rental: PendingRental, answer: CloudResponse) {
        self.fleet.renting = false;
        let pool = rental.pool();
        match answer {
            CloudResponse::Rented(names) => {
                let (rented, requested) = (names.machines.len(), rental.request.count);
                tracing::info!(
                    rented,
                    requested,
                    kind = %pool.machine_type,
                    zone = %pool.zone,
                    spot = pool.spot,
                    "rented machines"
                );
                for name in names.machines {
                    self.fleet.inventory.add_rented(name, RentedMachine::rented(&pool, self.now));
                }
                if (rented as u32) < requested {
                    self.fleet.pool_backoffs.record_partial_rental(pool, self.now);
                } else {
                    self.fleet.pool_backoffs.record_full_rental(&pool);
                }
            }
            CloudResponse::NoCapacity => self.fleet.pool_backoffs.record_refusal(pool, self.now),
            // The cloud may have performed the rental: a retry under the same id gets the same machines.
            _ if rental.retries_left > 0 && self.is_leader() => {
                self.fleet.renting = true;
                self.request_rental(PendingRental { retries_left: rental.retries_left - 1, ..rental });
            }
            _ => self.fleet.pool_backoffs.record_no_answer(pool, self.now),
        }
    }

    fn zone_cpus(&self) -> ZoneCpus<'_> {
        let mut by_zone: BTreeMap<&str, f64> = BTreeMap::new();
        for (_, machine) in self.fleet.machines() {
            let cpus = self.catalog.get(&machine.machine_type).map_or(0.0, |machine_type| machine_type.cpus);
            *by_zone.entry(machine.zone.as_str()).or_default() += cpus;
        }
        let total = by_zone.values().sum();
        ZoneCpus { by_zone, total }
    }

    /// Returns the offer of least cost for the group among all pools; of equal offers the first.
    fn cheapest_offer(&self, shortage: &GroupShortage, zones: &ZoneCpus) -> Option<Offer> {
        let waits_for_spot = self.may_wait_for_spot(shortage);
        let mut cheapest: Option<Offer> = None;
        for machine_type in self.catalog.types() {
            for (zone, spot) in machine_type.zones.iter().flat_map(|zone| [(zone, true), (zone, false)]) {
                let pool = MachinePool { machine_type: machine_type.name.clone(), zone: zone.clone(), spot };
                let missing_cpus = if waits_for_spot && !spot { shortage.urgent_cpus } else { shortage.any_cpus };
                if missing_cpus <= 0.0 || !self.may_rent(shortage.group, machine_type, &pool) {
                    continue;
                }
                let offer = self.offer(shortage.group, missing_cpus, machine_type, pool, zones);
                if cheapest.as_ref().is_none_or(|cheapest| offer.cost < cheapest.cost) {
                    cheapest = Some(offer);
                }
            }
        }
        cheapest
    }

    /// True if work that is not urgent is left to spot machines. False if the group has no machine at
    /// all and a pool of spot machines is backing off: waiting could leave it without machines.
    fn may_wait_for_spot(&self, shortage: &GroupShortage) -> bool {
        let spot_sold = self.catalog.types().any(|machine_type| machine_type.spot_price.is_some());
        let spot_unavailable =
            shortage.any_cpus >= shortage.group.cpus && self.fleet.pool_backoffs.any_spot_backing_off(self.now);
        shortage.group.spot_allowed && spot_sold && !spot_unavailable
    }

    /// True if the cloud offers the pool, and the pool suits the group and is not backing off.
    fn may_rent(&self, group: &Demand, machine_type: &MachineType, pool: &MachinePool) -> bool {
        let sold = !pool.spot || machine_type.spot_price.is_some();
        sold && self.suits(group, pool) && !self.fleet.pool_backoffs.is_backing_off(pool, self.now)
    }

    /// Returns the offer of the pool. Its cost is the price per useful core, raised by the time that is
    /// paid for but lost to image fetches and late boots.
    fn offer(
        &self,
        group: &Demand,
        missing_cpus: f64,
        machine_type: &MachineType,
        pool: MachinePool,
        zones: &ZoneCpus,
    ) -> Offer {
        let useful_cpus = useful_cpus(machine_type, group);
        let count = (missing_cpus / useful_cpus).ceil().clamp(1.0, f64::from(MAX_MACHINES_PER_RENT));
        let fetch_s =
            if machine_type.fetch_gb_per_s > 0.0 { group.weighted_image_gb / machine_type.fetch_gb_per_s } else { 0.0 };
        let typical_boot_s =
            self.fleet.provisioning_times.typical_s(&pool.machine_type, &pool.zone, machine_type.provisioning_s);
        let late_boot = (typical_boot_s - machine_type.provisioning_s).max(0.0) / TYPICAL_RENTAL_S;
        let slowdown = 1.0 + UNSHARED_FETCH_SHARE * fetch_s / group.weighted_run_s.max(MIN_RUN_S) + late_boot;
        let price = price_per_hour(machine_type, pool.spot);
        let cost = count * price * slowdown / (count * useful_cpus).min(missing_cpus);
        // At about equal cost, prefer the zone with less of the fleet, so that the loss of a zone does
        // not take most machines.
        let cost = cost * zones.cost_factor(&pool.zone);
        Offer { pool, count: count as u32, cost }
    }

    /// Stores the rental's id before it is used. The counter behind the ids only rises, so that no id
    /// is used twice.
    fn record_rental(&mut self, offer: Offer) {
        if self.store.is_key_busy(FLEET_KEY) {
            return;
        }
        let mut record = self.fitted_fleet_record();
        record.rentals += 1;
        let Some(transaction) = self.fleet_transaction(&record) else { return };
        let MachinePool { machine_type, zone, spot } = offer.pool;
        let request =
            RentRequest { request_id: format!("r-{}", record.rentals), machine_type, zone, spot, count: offer.count };
        self.store.charge_transaction(self.now, 1);
        self.store.reserve_key(FLEET_KEY);
        self.fleet.renting = true;
        let rental = PendingRental { request, retries_left: MAX_RENTAL_RETRIES };
        self.call_store(
            StoreRequest::Transaction(transaction.clone()),
            PendingRequest::RentalRecord { rental, transaction },
        );
    }

    fn request_rental(&mut self, rental: PendingRental) {
        self.call_cloud(CloudCall::Rent(rental.request.clone()), PendingRequest::Rent(rental));
    }
}

/// Number of a machine's cores that tasks of the group can use, given its memory.
fn useful_cpus(machine_type: &MachineType, group: &Demand) -> f64 {
    let task = &group.largest_task;
    let tasks =
        (machine_type.cpus / task.cpus.max(MIN_TASK_SIZE)).min(machine_type.mem_gb / task.mem_gb.max(MIN_TASK_SIZE));
    (tasks.floor() * task.cpus).clamp(machine_type.cpus * MIN_USEFUL_SHARE, machine_type.cpus)
}
