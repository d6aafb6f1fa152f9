//! Scaling out: renting what demand lacks from the pool where it costs least.
//!
//! Run by the leader, one rental at a time. The name of a rental is durable before it is used, so
//! that a rental which got no answer is repeated under the same name and never carried out twice.

use crate::coordination::fleet::catalog::price_per_hour;
use crate::coordination::fleet::demand::Demand;
use crate::coordination::fleet::inventory::RentedMachine;
use crate::coordination::fleet::machine_pool::MachinePool;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudAnswer, CloudCall, Core};
use crate::protocol::cloud::{MachineType, RentRequest, MAX_MACHINES_PER_RENT};
use crate::protocol::state::{StoreRequest, StoreResponse, Transaction};
use crate::storage::records::FLEET_KEY;
use std::collections::BTreeMap;

/// How long a machine is usually kept and paid for, in seconds.
const USUAL_RENTAL_S: f64 = 300.0;

/// The share of a machine's cores that counts as of use at the least, however little memory it has.
const LEAST_USEFUL_SHARE: f64 = 0.3;

/// The share of the time for image fetches that counts: some images are shared by tasks.
const UNSHARED_FETCHES: f64 = 0.5;

/// What is added to the cost in a zone that holds the whole fleet, as a share of it.
const ZONE_SPREAD_WEIGHT: f64 = 0.05;

/// How often a rental is repeated that got no answer.
const RENTAL_RETRIES: u32 = 3;

/// Divisors below this are taken as this: cores and memory of a task, and run time.
const LEAST_TASK_SIZE: f64 = 1e-3;
const LEAST_RUN_S: f64 = 1e-6;

/// A rental that is being recorded or requested.
#[derive(Debug, Clone)]
pub(crate) struct PendingRental {
    request: RentRequest,
    /// How often it may still be repeated.
    retries_left: u32,
}

impl PendingRental {
    fn pool(&self) -> MachinePool {
        MachinePool {
            kind: self.request.machine_type.clone(),
            zone: self.request.zone.clone(),
            spot: self.request.spot,
        }
    }
}

/// Cores that a group is short of.
struct GroupShortage<'a> {
    group: &'a Demand,
    /// Of any kind of machine.
    any_cpus: f64,
    /// Of these, what can't wait for spot machines.
    urgent_cpus: f64,
}

/// Machines that could be rented for a group, and the cost by which offers compare.
struct Offer {
    pool: MachinePool,
    count: u32,
    cost: f64,
}

/// Cores of the fleet by zone.
struct ZoneCpus<'a> {
    by_zone: BTreeMap<&'a str, f64>,
    total: f64,
}

impl ZoneCpus<'_> {
    /// The factor by which cost is raised in a zone for what of the fleet is there already.
    fn cost_factor(&self, zone: &str) -> f64 {
        let cpus = self.by_zone.get(zone).copied().unwrap_or(0.0);
        1.0 + ZONE_SPREAD_WEIGHT * cpus / self.total.max(1.0)
    }
}

impl Core {
    /// Rents for the first group that lacks machines and for which there are any.
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

    /// Requests a rental whose name is durable now.
    pub(crate) fn rental_recorded(&mut self, rental: PendingRental, transaction: Transaction, answer: StoreResponse) {
        self.store.release_key(FLEET_KEY);
        match answer {
            StoreResponse::Committed(revision) => {
                self.committed(&transaction, revision);
                self.request_rental(rental);
            }
            StoreResponse::Conflict(failed) => {
                self.fleet.renting = false;
                self.reread(failed, None);
            }
            _ => self.fleet.renting = false,
        }
    }

    /// Takes the cloud's answer to a rental.
    pub(super) fn rental_answer(&mut self, rental: PendingRental, answer: CloudAnswer) {
        self.fleet.renting = false;
        let pool = rental.pool();
        match answer {
            CloudAnswer::Rented(names) => {
                let (rented, requested) = (names.machines.len(), rental.request.count);
                tracing::info!(
                    rented,
                    requested,
                    kind = %pool.kind,
                    zone = %pool.zone,
                    spot = pool.spot,
                    "rented machines"
                );
                for name in names.machines {
                    self.fleet.inventory.add_rented(name, RentedMachine::rented(&pool, self.now));
                }
                if (rented as u32) < requested {
                    self.fleet.pool_backoffs.rented_some(pool, self.now);
                } else {
                    self.fleet.pool_backoffs.rented_all(&pool);
                }
            }
            CloudAnswer::NoCapacity => self.fleet.pool_backoffs.refused(pool, self.now),
            // It may have been carried out: a repetition under the same name gets the same machines.
            _ if rental.retries_left > 0 && self.is_leader() => {
                self.fleet.renting = true;
                self.request_rental(PendingRental { retries_left: rental.retries_left - 1, ..rental });
            }
            _ => self.fleet.pool_backoffs.failed(pool, self.now),
        }
    }

    fn zone_cpus(&self) -> ZoneCpus<'_> {
        let mut by_zone: BTreeMap<&str, f64> = BTreeMap::new();
        for (_, machine) in self.fleet.machines() {
            let cpus = self.catalog.get(&machine.kind).map_or(0.0, |kind| kind.cpus);
            *by_zone.entry(machine.zone.as_str()).or_default() += cpus;
        }
        let total = by_zone.values().sum();
        ZoneCpus { by_zone, total }
    }

    /// The offer of least cost for the group among all pools; of equal ones the first.
    fn cheapest_offer(&self, shortage: &GroupShortage, zones: &ZoneCpus) -> Option<Offer> {
        let waits_for_spot = self.may_wait_for_spot(shortage);
        let mut cheapest: Option<Offer> = None;
        for kind in self.catalog.types() {
            for (zone, spot) in kind.zones.iter().flat_map(|zone| [(zone, true), (zone, false)]) {
                let pool = MachinePool { kind: kind.name.clone(), zone: zone.clone(), spot };
                let missing_cpus = if waits_for_spot && !spot { shortage.urgent_cpus } else { shortage.any_cpus };
                if missing_cpus <= 0.0 || !self.may_rent(shortage.group, kind, &pool) {
                    continue;
                }
                let offer = self.offer(shortage.group, missing_cpus, kind, pool, zones);
                if cheapest.as_ref().is_none_or(|cheapest| offer.cost < cheapest.cost) {
                    cheapest = Some(offer);
                }
            }
        }
        cheapest
    }

    /// True if work that is not urgent is left to spot machines. If the group has no machine at
    /// all and spot machines were refused of late, it would wait for nothing.
    fn may_wait_for_spot(&self, shortage: &GroupShortage) -> bool {
        let spot_sold = self.catalog.types().any(|kind| kind.spot_price.is_some());
        let has_nothing = shortage.any_cpus >= shortage.group.cpus && self.fleet.pool_backoffs.any_spot(self.now);
        shortage.group.spot_allowed && spot_sold && !has_nothing
    }

    /// True if machines of the pool serve the group and are to be had, as far as is known.
    fn may_rent(&self, group: &Demand, kind: &MachineType, pool: &MachinePool) -> bool {
        let sold = !pool.spot || kind.spot_price.is_some();
        sold && self.suits(group, pool) && !self.fleet.pool_backoffs.is_backing_off(pool, self.now)
    }

    /// What renting from the pool costs per core of use, with the time that is paid for in vain.
    fn offer(
        &self,
        group: &Demand,
        missing_cpus: f64,
        kind: &MachineType,
        pool: MachinePool,
        zones: &ZoneCpus,
    ) -> Offer {
        let useful_cpus = useful_cpus(kind, group);
        let count = (missing_cpus / useful_cpus).ceil().clamp(1.0, f64::from(MAX_MACHINES_PER_RENT));
        let fetch_s = if kind.fetch_gb_per_s > 0.0 { group.weighted_image_gb / kind.fetch_gb_per_s } else { 0.0 };
        let usual_boot_s = self.fleet.provisioning_times.usual_s(&pool.kind, &pool.zone, kind.provisioning_s);
        let late_boot = (usual_boot_s - kind.provisioning_s).max(0.0) / USUAL_RENTAL_S;
        let slowdown = 1.0 + UNSHARED_FETCHES * fetch_s / group.weighted_run_s.max(LEAST_RUN_S) + late_boot;
        let price = price_per_hour(kind, pool.spot);
        let cost = count * price * slowdown / (count * useful_cpus).min(missing_cpus);
        // At about equal cost the zone with less of the fleet: the loss of a zone should not take
        // everything.
        let cost = cost * zones.cost_factor(&pool.zone);
        Offer { pool, count: count as u32, cost }
    }

    /// Makes the rental's name durable before it is used. The count behind the names only rises, so
    /// that none is used twice.
    fn record_rental(&mut self, offer: Offer) {
        if self.store.is_key_busy(FLEET_KEY) {
            return;
        }
        let mut record = self.fitted_fleet_record();
        record.rentals += 1;
        let Some(transaction) = self.fleet_transaction(&record) else { return };
        let MachinePool { kind, zone, spot } = offer.pool;
        let request = RentRequest {
            request_id: format!("r-{}", record.rentals),
            machine_type: kind,
            zone,
            spot,
            count: offer.count,
        };
        self.store.charge_transaction(self.now, 1);
        self.store.reserve_key(FLEET_KEY);
        self.fleet.renting = true;
        let rental = PendingRental { request, retries_left: RENTAL_RETRIES };
        self.call_state(
            StoreRequest::Transaction(transaction.clone()),
            PendingRequest::RentName { rental, transaction },
        );
    }

    fn request_rental(&mut self, rental: PendingRental) {
        self.call_cloud(CloudCall::Rent(rental.request.clone()), PendingRequest::Rent(rental));
    }
}

/// Cores of a machine that its memory lets tasks of the group use.
fn useful_cpus(kind: &MachineType, group: &Demand) -> f64 {
    let task = &group.largest_task;
    let tasks = (kind.cpus / task.cpus.max(LEAST_TASK_SIZE)).min(kind.mem_gb / task.mem_gb.max(LEAST_TASK_SIZE));
    (tasks.floor() * task.cpus).clamp(kind.cpus * LEAST_USEFUL_SHARE, kind.cpus)
}
