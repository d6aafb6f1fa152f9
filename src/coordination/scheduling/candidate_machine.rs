//! The machines of a shard as one scheduling cycle sees them.
//!
//! A cycle and preemption each take a snapshot of the machines that may get new tasks, with
//! the capacity that the tasks on them leave over time. Reservations are made on the
//! snapshot only: the shard's own records do not change here.

use crate::coordination::scheduling::capacity_timeline::CapacityTimeline;
use crate::coordination::scheduling::lifetimes::LifetimeHistory;
use crate::coordination::scheduling::placement_request::PlacementRequest;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::scheduling::zone_occupancy::ZoneOccupancy;
use crate::coordination::shards::owned_shard::{Machine, OwnedShard, TaskKey};
use crate::coordination::Core;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobKind, JobSpec};
use crate::protocol::workers::TaskState;
use crate::storage::cache::Job;
use crate::units::{JobId, MachineId, Millis, ShardId};
use std::collections::BTreeSet;

/// The least number of cores that a price is divided by.
const MIN_CPUS: f64 = 1e-6;

/// Seconds until a shape fits a machine; none if it never does.
type CachedWait = Option<f64>;

/// A machine that may get new tasks, with its capacity as planned so far.
#[derive(Clone)]
pub(crate) struct CandidateMachine<'a> {
    /// The name under which the shard knows it.
    pub name: &'a MachineId,
    /// What its heartbeats said, and what the shard's owner remembers of it.
    pub reported: &'a Machine,
    pub machine_type: &'a MachineType,
    /// Lifetimes of machines like this one, if any ended and they are to be regarded.
    pub history: Option<&'a LifetimeHistory>,
    /// Time since the machine was created, in seconds.
    pub age_s: f64,
    /// Price per core, in the cloud's unit of price.
    pub price_per_cpu: f64,
    /// What is free now and later, the cycle's reservations included.
    pub capacity: CapacityTimeline,
    /// Waits worked out so far, by number of the request's shape; dropped with each
    /// reservation.
    waits: Vec<Option<CachedWait>>,
}

impl CandidateMachine<'_> {
    /// Reserves capacity from `start_s` until `end_s`, both in seconds from now.
    pub fn reserve(&mut self, need: &Resources, start_s: f64, end_s: f64) {
        self.capacity.reserve(need, start_s, end_s);
        self.waits.clear();
    }

    /// Seconds until there is capacity for one task of the request; none if never.
    pub fn wait_s(&mut self, request: &PlacementRequest) -> Option<f64> {
        let Some(shape) = request.shape else { return self.capacity.wait_s(&request.need) };
        if self.waits.len() <= shape.0 {
            self.waits.resize(shape.0 + 1, None);
        }
        *self.waits[shape.0].get_or_insert_with(|| self.capacity.wait_s(&request.need))
    }

    /// Seconds that fetching the job's image takes here: none if the machine has it.
    pub fn image_fetch_s(&self, job: &Job) -> f64 {
        let has_image = self.reported.images.iter().any(|image| image.name == job.image);
        if has_image || self.machine_type.fetch_gb_per_s <= 0.0 {
            0.0
        } else {
            job.record.spec.image_gb / self.machine_type.fetch_gb_per_s
        }
    }

    /// True if the job's constraints on machine type, zone and spot machines allow one more
    /// of its tasks here. Capacity is another matter.
    pub fn satisfies(&self, spec: &JobSpec, occupancy: &ZoneOccupancy) -> bool {
        spec.types.as_ref().is_none_or(|types| types.contains(&self.reported.kind))
            && (spec.spot_allowed || !self.reported.spot)
            && occupancy.allows(spec, &self.reported.zone)
    }
}

impl Core {
    /// How old a machine's last heartbeat may be for it to get new tasks: a third of the
    /// workers' lease.
    pub(crate) fn heartbeat_overdue_after(&self) -> Millis {
        Millis(self.timing.worker_lease.0 / 3)
    }

    /// The machines of an owned shard that may get new tasks, in the order of their names.
    pub(crate) fn candidate_machines(&self, shard: ShardId) -> Vec<CandidateMachine<'_>> {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return vec![] };
        let mut candidates = Vec::with_capacity(owned_shard.machines.len());
        for (name, machine) in &owned_shard.machines {
            let Some(machine_type) = self.catalog.get(&machine.kind) else { continue };
            if self.may_get_tasks(name, machine) {
                candidates.push(self.candidate_machine(owned_shard, name, machine, machine_type));
            }
        }
        candidates
    }

    /// False for machines that are faulty, about to go, silent, unreachable, or to be drained.
    fn may_get_tasks(&self, name: &MachineId, machine: &Machine) -> bool {
        !machine.faulty
            && !self.is_downlink_lost(machine)
            && machine.notice.is_none()
            && self.now >= machine.cordoned_until
            && self.now.since(machine.last_heartbeat) < self.heartbeat_overdue_after()
            && !self.draining(name)
    }

    /// A snapshot of one machine.
    fn candidate_machine<'a>(
        &'a self,
        owned_shard: &'a OwnedShard,
        name: &'a MachineId,
        machine: &'a Machine,
        machine_type: &'a MachineType,
    ) -> CandidateMachine<'a> {
        let desired_tasks = owned_shard.placed_tasks.get(name);
        let mut capacity = CapacityTimeline::new(Resources::of_machine(machine_type));
        self.add_desired_tasks(&mut capacity, owned_shard, desired_tasks);
        self.add_other_tasks(&mut capacity, machine, desired_tasks);
        capacity.sort_changes();
        let spot_price = machine_type.spot_price.filter(|_| machine.spot);
        CandidateMachine {
            name,
            reported: machine,
            machine_type,
            history: self.estimates.history(machine).filter(|_| self.tuning.use_lifetimes),
            age_s: self.now.since(machine.born).as_secs(),
            price_per_cpu: spot_price.unwrap_or(machine_type.price) / machine_type.cpus.max(MIN_CPUS),
            capacity,
            waits: vec![],
        }
    }

    /// Takes the capacity of the tasks that are desired on the machine. A service's task
    /// holds it for ever.
    fn add_desired_tasks(
        &self,
        capacity: &mut CapacityTimeline,
        owned_shard: &OwnedShard,
        tasks: Option<&BTreeSet<TaskKey>>,
    ) {
        // The tasks of a job stand side by side: each job is looked up once.
        let mut last: Option<(&JobId, Option<(&Job, f64)>)> = None;
        for key in tasks.into_iter().flatten() {
            let found = match last {
                Some((id, found)) if *id == key.0 => found,
                _ => {
                    let found = self.cache.jobs.get(&key.0).map(|job| (job, self.estimates.run_time(job)));
                    last = Some((&key.0, found));
                    found
                }
            };
            let Some((job, run_s)) = found else { continue };
            let ends = job.record.spec.kind != JobKind::Service;
            let remaining_s = ends.then(|| self.remaining_s_of_run(owned_shard, run_s, key));
            capacity.add_task(&Resources::of_task(&job.record.spec), remaining_s);
        }
    }

    /// Takes the capacity of tasks that the machine lists though they are not desired there
    /// (any more): when they will end is not known.
    fn add_other_tasks(
        &self,
        capacity: &mut CapacityTimeline,
        machine: &Machine,
        desired_tasks: Option<&BTreeSet<TaskKey>>,
    ) {
        // Both lists are sorted, so one pass over both finds the difference.
        let mut desired = desired_tasks.into_iter().flatten().peekable();
        for (key, reported) in &machine.reported_tasks {
            while desired.next_if(|task| *task < key).is_some() {}
            if reported.state == TaskState::Exited || desired.peek() == Some(&key) {
                continue;
            }
            if let Some(job) = self.cache.jobs.get(&key.0) {
                capacity.add_task(&Resources::of_task(&job.record.spec), None);
            }
        }
    }
}
