//! Unplaceable services: some of their replicas run while their shard has no capacity for the rest.
//!
//! The owner of one shard places all replicas of a service, and the service cannot move to another
//! shard while a replica runs. If machines of a zone are lost, the shard may have no machine left
//! for the other replicas even though other shards have; those replicas would wait indefinitely.
//! The leader therefore rents machines for them until one belongs to that shard. The cloud chooses
//! the names of machines, and so their shards; a machine of another shard is used there or
//! returned. Only the leader calls this module.

use crate::coordination::fleet::demand::Demand;
use crate::coordination::leader::shard_capacity::ShardCapacity;
use crate::coordination::scheduling::zone_occupancy::ZoneOccupancy;
use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::storage::cache::Job;
use crate::storage::records::TaskRecord;
use crate::units::{JobId, Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a service must lack capacity before a machine is rented for it: capacity may be
/// released sooner.
const MIN_WAIT: Millis = Millis(10_000);

/// Maximum number of services for which machines are rented at the same time.
const MAX_SERVICES: usize = 8;

/// A service that lacks capacity for a replica.
#[derive(Debug)]
struct UnplaceableService {
    /// Time at which this leader first saw that it lacks capacity.
    since: MonotonicTime,
    /// Zone to rent in; `None` if no zone is allowed.
    zone: Option<String>,
}

/// Services that lack capacity, as observed by this leader.
#[derive(Debug, Default)]
pub(crate) struct UnplaceableServices(BTreeMap<JobId, UnplaceableService>);

impl Core {
    /// Checks the services with both running and pending replicas, and records since when their
    /// shards have no capacity for one more.
    pub(crate) fn record_unplaceable_services(&mut self) {
        let active = self.cache.active.iter().filter_map(|id| Some((id, self.cache.jobs.get(id)?)));
        let incomplete: Vec<(&JobId, &Job)> = active.filter(|(_, job)| is_incomplete_service(job)).collect();
        let mut unplaceable = BTreeMap::new();
        if !incomplete.is_empty() {
            let capacity = self.available_capacity();
            for (id, job) in incomplete {
                if let Some(service) = self.unplaceable_service(id, job, &capacity) {
                    unplaceable.insert(id.clone(), service);
                }
            }
        }
        self.unplaceable_services.0 = unplaceable;
    }

    /// Returns the record of a service that lacks capacity; `None` if a machine of its shard has
    /// capacity for one more replica.
    fn unplaceable_service(&self, id: &JobId, job: &Job, capacity: &ShardCapacity) -> Option<UnplaceableService> {
        let shard = job.shard_of(0)?;
        let zones = self.allowed_zones(job);
        if zones.iter().any(|zone| capacity.startable_in_zone(zone, shard, &job.record, 1) > 0) {
            return None;
        }
        let known = self.unplaceable_services.0.get(id);
        Some(UnplaceableService {
            since: known.map_or(self.now, |service| service.since),
            zone: zones.into_iter().next(),
        })
    }

    /// Returns the zones in which one more replica is allowed beside the running ones, those with
    /// the fewest replicas first.
    fn allowed_zones(&self, job: &Job) -> Vec<String> {
        let replicas = self.replica_zones(job);
        let offered_zones: BTreeSet<&String> =
            self.catalog.types().flat_map(|machine_type| &machine_type.zones).collect();
        let mut allowed: Vec<String> =
            offered_zones.into_iter().filter(|zone| replicas.allows(&job.record.spec, zone)).cloned().collect();
        allowed.sort_by_key(|zone| replicas.tasks_in(zone));
        allowed
    }

    /// Counts a service's replicas by zone, as far as the leader knows their machines.
    fn replica_zones(&self, job: &Job) -> ZoneOccupancy {
        let mut replicas = ZoneOccupancy::default();
        for task in job.slices().iter().filter_map(|slice| slice.desired_or_durable()).flat_map(|record| &record.tasks)
        {
            let TaskRecord::Placed(_, name) = task else { continue };
            if let Some(machine) = self.fleet.machine(name) {
                replicas.add(&machine.zone, 1);
            }
        }
        replicas
    }

    /// Returns the demand of the services that have lacked capacity for longer than [`MIN_WAIT`]:
    /// one replica each, in the service's shard.
    pub(crate) fn unplaceable_demand(&self) -> Vec<Demand> {
        let services = self.unplaceable_services.0.iter();
        services
            .filter(|(_, service)| self.now.since(service.since) > MIN_WAIT)
            .filter_map(|(id, service)| self.replica_demand(id, service))
            .take(MAX_SERVICES)
            .collect()
    }

    fn replica_demand(&self, id: &JobId, service: &UnplaceableService) -> Option<Demand> {
        let job = self.cache.jobs.get(id)?;
        Some(Demand::of_replica(&job.record.spec, service.zone.clone(), job.shard_of(0)?))
    }
}

/// True for a service that runs with fewer replicas than it should.
fn is_incomplete_service(job: &Job) -> bool {
    let (done, on_machines) = job.done_and_placed();
    let is_service = job.record.spec.kind == JobKind::Service && job.record.outcome.is_none();
    is_service && on_machines > 0 && done + on_machines < job.record.spec.task_count
}
