//! Services some of whose replicas run while their shard has no capacity for the rest.
//!
//! All replicas of a service are placed by one owner, that of its shard, and the service
//! cannot move to another shard while one of them runs. If machines of a zone are lost, the
//! shard may have none left where the others may go, though other shards have: those replicas
//! would wait for ever. So the leader rents for them until a machine of that shard has come.
//! The names of machines, and so their shards, are the cloud's choice; a machine of another
//! shard is used there or given back. The leader alone calls this module.

use crate::coordination::fleet::demand::Demand;
use crate::coordination::leader::shard_capacity::ShardCapacity;
use crate::coordination::scheduling::zone_occupancy::ZoneOccupancy;
use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::storage::cache::Job;
use crate::storage::records::TaskRecord;
use crate::units::{JobId, Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// Capacity that comes free by itself within this time needs no machine.
const MIN_WAIT: Millis = Millis(10_000);

/// The most services that are rented for at the same time.
const MAX_SERVICES: usize = 8;

/// A service that lacks capacity.
#[derive(Debug)]
struct UnplaceableService {
    /// When this leader first saw that it lacks capacity.
    since: MonotonicTime,
    /// The zone to rent in, if the service may be in any.
    zone: Option<String>,
}

/// The services that lack capacity, as this leader has seen them.
#[derive(Debug, Default)]
pub(crate) struct UnplaceableServices(BTreeMap<JobId, UnplaceableService>);

impl Core {
    /// Looks at the services of which some replicas run and others are pending, and remembers
    /// since when their shards have no capacity for one more.
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

    /// None if a machine of the service's shard has capacity for one more replica.
    fn unplaceable_service(&self, id: &JobId, job: &Job, capacity: &ShardCapacity) -> Option<UnplaceableService> {
        let shard = job.shard_of(0)?;
        let zones = self.open_zones(job);
        if zones.iter().any(|zone| capacity.startable_in_zone(zone, shard, &job.record, 1) > 0) {
            return None;
        }
        let known = self.unplaceable_services.0.get(id);
        Some(UnplaceableService {
            since: known.map_or(self.now, |service| service.since),
            zone: zones.into_iter().next(),
        })
    }

    /// Zones in which one more replica may be beside those that run, the emptiest first.
    fn open_zones(&self, job: &Job) -> Vec<String> {
        let replicas = self.replica_zones(job);
        let sold: BTreeSet<&String> = self.catalog.types().flat_map(|machine_type| &machine_type.zones).collect();
        let mut open: Vec<String> =
            sold.into_iter().filter(|zone| replicas.allows(&job.record.spec, zone)).cloned().collect();
        open.sort_by_key(|zone| replicas.tasks_in(zone));
        open
    }

    /// Where a service's replicas are, as far as the leader knows the machines.
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

    /// What the services demand that have lacked capacity for long: capacity for one replica
    /// each, in their shard.
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
    let (done, on) = job.done_and_placed();
    let is_service = job.record.spec.kind == JobKind::Standing && job.record.outcome.is_none();
    is_service && on > 0 && done + on < job.record.spec.task_count
}
