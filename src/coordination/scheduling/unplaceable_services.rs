//! Services some of whose replicas run while their part has no room for the rest.
//!
//! All replicas of a service are placed by one owner, that of its shard, and while one
//! of them runs the service can't move. If machines of a zone are lost, the shard may
//! have none left where the others may go, though other shards have: those replicas
//! would wait for ever beside room. So the leader rents for them until a machine of
//! that shard has come. Names, and so shards, are the cloud's choice; a machine of another shard
//! is used there or given back.

use crate::coordination::fleet::demand::Demand;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::storage::cache::Job;
use crate::storage::records::TaskRecord;
use crate::units::{JobId, Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// Room that comes free by itself within this time needs no machine.
const PATIENCE: Millis = Millis(10_000);

/// Services rented for at the same time.
const MOST: usize = 8;

/// Since when, as seen by this leader, and in which zone each needs room.
#[derive(Debug, Default)]
pub(crate) struct UnplaceableServices(BTreeMap<JobId, (MonotonicTime, Option<String>)>);

impl Core {
    /// Looks at services that wait beside replicas that run.
    pub(crate) fn record_unplaceable_services(&mut self) {
        let waits = |job: &Job| {
            let (done, on) = job.counts();
            let service = job.record.spec.kind == JobKind::Standing && job.record.end.is_none();
            service && on > 0 && done + on < job.record.spec.task_count
        };
        let jobs = || self.cache.active.iter().filter_map(|id| Some((id, self.cache.jobs.get(id)?)));
        let waiting: Vec<(&JobId, &Job)> = jobs().filter(|(_, job)| waits(job)).collect();
        let mut unplaceable_services = BTreeMap::new();
        if !waiting.is_empty() {
            let mut capacity = self.available_capacity();
            for (id, job) in waiting {
                let Some(shard) = job.shard_of(0) else { continue };
                let zones = self.open_zones(job);
                let record = &job.record;
                if zones.iter().any(|zone| capacity.startable_in_zone(zone, shard, record, 1) > 0) {
                    continue;
                }
                let since = self.unplaceable_services.0.get(id).map_or(self.now, |(since, _)| *since);
                unplaceable_services.insert(id.clone(), (since, zones.into_iter().next()));
            }
        }
        self.unplaceable_services.0 = unplaceable_services;
    }

    /// Zones in which one more replica may be beside those that run, the emptiest first.
    fn open_zones(&self, job: &Job) -> Vec<String> {
        let spec = &job.record.spec;
        let mut on: BTreeMap<&str, usize> = BTreeMap::new();
        for task in job.slices().iter().filter_map(|s| s.newest()).flat_map(|r| &r.tasks) {
            let TaskRecord::Placed(_, machine) = task else { continue };
            if let Some(fleet_machine) = self.fleet.machine(machine) {
                *on.entry(&fleet_machine.zone).or_default() += 1;
            }
        }
        let half = spec.task_count.div_ceil(2) as usize;
        let at = |zone: &str| on.get(zone).copied().unwrap_or(0);
        let sold: BTreeSet<&String> = self.catalog.types().flat_map(|t| &t.zones).collect();
        let mut open: Vec<String> = sold
            .into_iter()
            .filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone))
            .filter(|zone| !spec.one_zone || on.keys().all(|used| used == zone))
            .filter(|zone| !spec.apart || at(zone) < half)
            .cloned()
            .collect();
        open.sort_by_key(|zone| at(zone));
        open
    }

    /// What they want: room for one replica each, in their part.
    pub(crate) fn unplaceable_demand(&self) -> Vec<Demand> {
        let long = self.unplaceable_services.0.iter().filter(|(_, (since, _))| self.now.since(*since) > PATIENCE);
        let demand = long.filter_map(|(id, (_, zone))| {
            let job = self.cache.jobs.get(id)?;
            let spec = &job.record.spec;
            Some(Demand {
                cpus: spec.cpus,
                urgent: spec.cpus,
                shape: Resources::of_task(spec),
                fetch_gb: spec.cpus * spec.image_gb,
                run_s: spec.cpus,
                types: spec.types.clone(),
                zone: zone.clone(),
                spot: spec.spot_allowed,
                shard: Some(job.shard_of(0)?),
            })
        });
        demand.take(MOST).collect()
    }
}
