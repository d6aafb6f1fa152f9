//! Renting machines: what is lacking, where it is cheapest, and a name that is
//! durable before it is asked for.

use crate::coordination::fleet::demand::Demand;
use crate::coordination::fleet::inventory::RentedMachine;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudAnswer, CloudCall, Core};
use crate::protocol::cloud::{RentRequest, RENT_LIMIT};
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::records::{FleetRecord, FLEET_KEY, LEADER_KEY};
use crate::units::{MachineId, Millis};
use std::collections::{BTreeMap, HashMap};

/// For how long a machine is paid for, usually.
const PAID_FOR_S: f64 = 300.0;

/// A rental that is requested and not confirmed yet.
#[derive(Debug, Clone)]
pub struct PendingRental {
    pub request: RentRequest,
    pub(crate) tries: u32,
}

impl Core {
    /// Cores that a machine may be counted on for: a late boot may never end.
    pub(crate) fn counted_cpus(&self, m: &RentedMachine) -> Option<f64> {
        let t = self.catalog.get(&m.kind)?;
        let age_s = self.now.since(m.created_at).as_secs();
        let share = if m.up {
            1.0
        } else {
            self.fleet.provisioning_times.countable_share(&m.kind, &m.zone, t.provisioning_s, age_s)
        };
        Some(t.cpus * share)
    }

    pub(crate) fn suits(&self, demand: &Demand, kind: &str, zone: &str, spot: bool) -> bool {
        let big_enough = self.catalog.get(kind).is_some_and(|t| demand.shape.fits_into(&Resources::of_machine(t)));
        big_enough
            && demand.types.as_ref().is_none_or(|types| types.iter().any(|t| t == kind))
            && demand.zone.as_ref().is_none_or(|z| z == zone)
            && (demand.spot || !spot)
    }

    /// True if the machine may do work of the group.
    pub(crate) fn serves(&self, demand: &Demand, name: &MachineId, m: &RentedMachine) -> bool {
        demand.shard.is_none_or(|shard| self.shard_of(name) == shard) && self.suits(demand, &m.kind, &m.zone, m.spot)
    }

    /// True if a task that takes so much fits beside what is used of the machine.
    fn has_room(&self, m: &RentedMachine, used: Resources, need: &Resources) -> bool {
        let Some(t) = self.catalog.get(&m.kind) else { return false };
        let mut taken = used;
        taken += *need;
        taken.fits_into(&Resources::of_machine(t))
    }

    /// Cores missing per group, after each took what suits it, and cores spare.
    pub(crate) fn missing(
        &self,
        demand: &[Demand],
        wanted: fn(&Demand) -> f64,
    ) -> (Vec<f64>, BTreeMap<MachineId, f64>) {
        let mut left: BTreeMap<MachineId, f64> = self
            .fleet
            .machines
            .iter()
            .filter(|(name, m)| !m.failed && !m.leaving && !m.downlink_lost && !self.draining(name))
            .filter_map(|(name, m)| Some((name.clone(), self.counted_cpus(m)?)))
            .collect();
        let by_shard = demand.iter().any(|group| group.shard.is_some());
        let taken = if by_shard { self.resources_in_use() } else { HashMap::default() };
        let mut lacks = vec![];
        for group in demand {
            // Whoever needs room in one shard needs it whole, and no more of it.
            let mut lack = wanted(group) * if group.shard.is_some() { 1.0 } else { 1.05 };
            for (name, cpus) in &mut left {
                let m = &self.fleet.machines[name];
                if lack > 0.0 && self.serves(group, name, m) {
                    let used = taken.get(name).copied().unwrap_or_default();
                    if group.shard.is_some() && !self.has_room(m, used, &group.shape) {
                        continue;
                    }
                    let take = cpus.min(lack);
                    *cpus -= take;
                    lack -= take;
                }
            }
            lacks.push(lack.max(0.0));
        }
        (lacks, left)
    }

    pub(crate) fn rent_for(&mut self, demand: &[Demand]) {
        let (lacks, _) = self.missing(demand, |d| d.cpus);
        let (pressing, _) = self.missing(demand, |d| d.urgent);
        let mut in_zone: BTreeMap<&str, f64> = BTreeMap::new();
        for m in self.fleet.machines.values() {
            *in_zone.entry(m.zone.as_str()).or_default() += self.catalog.get(&m.kind).map_or(0.0, |t| t.cpus);
        }
        let total: f64 = in_zone.values().sum();
        for (group, (any, urgent)) in demand.iter().zip(lacks.into_iter().zip(pressing)) {
            if any <= 0.0 {
                continue;
            }
            // Without any spot machines to be had, or any machine at all, work
            // that could wait for cheap room would wait for nothing.
            let cheap = group.spot && self.catalog.types().any(|t| t.spot_price.is_some());
            let nothing =
                any >= group.cpus && self.fleet.refused.iter().any(|(slot, until)| slot.2 && self.now < until.0);
            let mut best: Option<(f64, RentRequest)> = None;
            for t in self.catalog.types() {
                for zone in &t.zones {
                    for spot in [true, false] {
                        let lack = if spot || !cheap || nothing { any } else { urgent };
                        if lack <= 0.0 {
                            continue;
                        }
                        if !self.suits(group, &t.name, zone, spot) || (spot && t.spot_price.is_none()) {
                            continue;
                        }
                        let slot = (t.name.clone(), zone.clone(), spot);
                        if self.fleet.refused.get(&slot).is_some_and(|r| self.now < r.0) {
                            continue;
                        }
                        let price = if spot { t.spot_price.unwrap_or(t.price) } else { t.price };
                        // Cores that memory lets the tasks use.
                        let each = (t.cpus / group.shape.cpus.max(1e-3)).min(t.mem_gb / group.shape.mem_gb.max(1e-3));
                        let useful = (each.floor() * group.shape.cpus).clamp(t.cpus * 0.3, t.cpus);
                        let count = (lack / useful).ceil().clamp(1.0, f64::from(RENT_LIMIT));
                        // Time lost to fetching images, some of which are shared.
                        let fetch = if t.fetch_gb_per_s > 0.0 { group.fetch_gb / t.fetch_gb_per_s } else { 0.0 };
                        // Boots that are slower than they should be are paid for.
                        let late =
                            self.fleet.provisioning_times.usual_s(&t.name, zone, t.provisioning_s) - t.provisioning_s;
                        let boot = late.max(0.0) / PAID_FOR_S;
                        let slow = 1.0 + 0.5 * fetch / group.run_s.max(1e-6) + boot;
                        let cost = count * price * slow / (count * useful).min(lack);
                        // At about the same price, the zone with less of ours:
                        // a lost zone should not take everything.
                        let here = in_zone.get(zone.as_str()).copied().unwrap_or(0.0);
                        let cost = cost * (1.0 + 0.05 * here / total.max(1.0));
                        if best.as_ref().is_none_or(|b| cost < b.0) {
                            let request = RentRequest {
                                request_id: String::new(),
                                kind: t.name.clone(),
                                zone: zone.clone(),
                                spot,
                                count: count as u32,
                            };
                            best = Some((cost, request));
                        }
                    }
                }
            }
            if let Some((_, request)) = best {
                return self.name_rental(request);
            }
        }
    }

    /// Makes the rental's name durable before it is used; the count behind
    /// names only rises, so that none is ever used again.
    pub(crate) fn name_rental(&mut self, mut request: RentRequest) {
        if self.store.is_key_busy(FLEET_KEY) {
            return;
        }
        let mut record = self.fitted_fleet(self.cache.fleet.record.clone().unwrap_or_default());
        record.rentals += 1;
        request.request_id = format!("r-{}", record.rentals);
        let Some(transaction) = self.fleet_transaction(&record) else { return };
        self.store.charge_transaction(self.now, 1);
        self.store.reserve_key(FLEET_KEY);
        self.fleet.renting = true;
        let rental = PendingRental { request, tries: 3 };
        self.call_state(
            StoreRequest::Transaction(transaction.clone()),
            PendingRequest::RentName { rental, transaction },
        );
    }

    pub(crate) fn fleet_transaction(&self, record: &FleetRecord) -> Option<Transaction> {
        let conditions = vec![
            Condition { key: LEADER_KEY.into(), version: self.cache.leader.version },
            Condition { key: FLEET_KEY.into(), version: self.cache.fleet.version },
        ];
        let value = serde_json::to_value(record).ok()?;
        Some(Transaction { conditions, changes: vec![Change::put(FLEET_KEY.into(), value)] })
    }

    pub(crate) fn rental_recorded(&mut self, rental: PendingRental, transaction: Transaction, answer: StoreResponse) {
        self.store.release_key(FLEET_KEY);
        match answer {
            StoreResponse::Committed(revision) => {
                self.committed(&transaction, revision);
                self.call_cloud(CloudCall::Rent(rental.request.clone()), PendingRequest::Rent(rental));
            }
            StoreResponse::Conflict(failed) => {
                self.fleet.renting = false;
                self.reread(failed, None);
            }
            _ => self.fleet.renting = false,
        }
    }

    pub(crate) fn rent_answer(&mut self, rental: PendingRental, answer: CloudAnswer) {
        self.fleet.renting = false;
        let RentRequest { kind, zone, spot, count, .. } = rental.request.clone();
        let slot = (kind.clone(), zone.clone(), spot);
        match answer {
            CloudAnswer::Rented(names) => {
                tracing::info!("rented {} of {count} {kind} in {zone}, spot: {spot}", names.machines.len());
                if (names.machines.len() as u32) < count {
                    self.fleet.refused.insert(slot, (self.now + Millis(10_000), 0));
                } else {
                    self.fleet.refused.remove(&slot);
                }
                for name in names.machines {
                    let fleet_machine =
                        RentedMachine { rented_here: true, ..RentedMachine::new(&kind, &zone, spot, self.now) };
                    self.fleet.machines.entry(name).or_insert(fleet_machine);
                }
            }
            CloudAnswer::NoCapacity => {
                let times = self.fleet.refused.get(&slot).map_or(0, |r| r.1) + 1;
                let pause = Millis::secs((5.0 * 2f64.powi(times.min(4) as i32 - 1)).min(40.0));
                self.fleet.refused.insert(slot, (self.now + pause, times));
            }
            // Perhaps carried out: the same name asks for the same machines.
            _ if rental.tries > 0 && self.is_leader() => {
                self.fleet.renting = true;
                let again = PendingRental { tries: rental.tries - 1, ..rental };
                self.call_cloud(CloudCall::Rent(again.request.clone()), PendingRequest::Rent(again));
            }
            _ => {
                self.fleet.refused.insert(slot, (self.now + Millis(3000), 0));
            }
        }
    }
}
