//! Snapshot of a shard's machines for one scheduling cycle.
//!
//! The scheduling cycle and preemption each take a snapshot of the machines that may get new tasks,
//! with the capacity that the tasks on each machine leave over time. Reservations change only the
//! snapshot, never the shard's own records.

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

/// Minimum number of cores by which a price is divided, to avoid a division by 0.
const MIN_CPUS: f64 = 1e-6;

/// Seconds until a shape fits a machine; `None` if it never does.
type CachedWait = Option<f64>;

/// A machine that may get new tasks, with its planned capacity.
#[derive(Clone)]
pub(crate) struct CandidateMachine<'a> {
    pub name: &'a MachineId,
    /// State from the machine's heartbeats and the shard owner's own records of it.
    pub reported: &'a Machine,
    pub machine_type: &'a MachineType,
    /// Lifetimes of similar machines; `None` if none has ended or if the tuning disables their use.
    pub history: Option<&'a LifetimeHistory>,
    /// Time since the machine was created, in seconds.
    pub age_s: f64,
    /// Price per core, in the cloud's unit of price.
    pub price_per_cpu: f64,
    /// Free capacity now and later, after this cycle's reservations.
    pub capacity: CapacityTimeline,
    /// Cached waits, indexed by `ShapeId`; cleared by each reservation.
    waits: Vec<Option<CachedWait>>,
}

impl CandidateMachine<'_> {
    /// Reserves capacity from `start_s` until `end_s`, both in seconds from now.
    pub fn reserve(&mut self, need: &Resources, start_s: f64, end_s: f64) {
        self.capacity.reserve(need, start_s, end_s);
        self.waits.clear();
    }

    /// Returns the seconds until there is capacity for one task of the request; `None` if there
    /// never is.
    pub fn wait_s(&mut self, request: &PlacementRequest) -> Option<f64> {
        let Some(shape) = request.shape else { return self.capacity.wait_s(&request.need) };
        if self.waits.len() <= shape.0 {
            self.waits.resize(shape.0 + 1, None);
        }
        *self.waits[shape.0].get_or_insert_with(|| self.capacity.wait_s(&request.need))
    }

    /// Returns the seconds that it takes to fetch the job's image; 0 if the machine already has it
    /// or if its fetch rate is not positive.
    pub fn image_fetch_s(&self, job: &Job) -> f64 {
        let has_image = self.reported.images.iter().any(|image| image.name == job.image);
        if has_image || self.machine_type.fetch_gb_per_s <= 0.0 {
            0.0
        } else {
            job.record.spec.image_gb / self.machine_type.fetch_gb_per_s
        }
    }

    /// True if the job's constraints on machine type, zone and spot machines allow one more of its
    /// tasks on this machine. Does not check capacity.
    pub fn satisfies(&self, spec: &JobSpec, occupancy: &ZoneOccupancy) -> bool {
        spec.types.as_ref().is_none_or(|types| types.contains(&self.reported.machine_type))
            && (spec.spot_allowed || !self.reported.spot)
            && occupancy.allows(spec, &self.reported.zone)
    }
}

impl Core {
    /// Maximum age of the last heartbeat of a machine that gets new tasks: a third of the workers'
    /// lease.
    pub(crate) fn max_heartbeat_age(&self) -> Millis {
        Millis(self.timing.worker_lease.0 / 3)
    }

    /// Returns the machines of an owned shard that may get new tasks, ordered by name.
    pub(crate) fn candidate_machines(&self, shard: ShardId) -> Vec<CandidateMachine<'_>> {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return vec![] };
        let mut candidates = Vec::with_capacity(owned_shard.machines.len());
        for (name, machine) in &owned_shard.machines {
            let Some(machine_type) = self.catalog.get(&machine.machine_type) else { continue };
            if self.is_schedulable(name, machine) {
                candidates.push(self.candidate_machine(owned_shard, name, machine, machine_type));
            }
        }
        candidates
    }

    /// False for a machine that is faulty, unreachable, cordoned or draining, that has a
    /// termination notice, or whose last heartbeat is too old.
    fn is_schedulable(&self, name: &MachineId, machine: &Machine) -> bool {
        !machine.faulty
            && !self.is_downlink_lost(machine)
            && machine.termination_at.is_none()
            && self.now >= machine.cordoned_until
            && self.now.since(machine.last_heartbeat) < self.max_heartbeat_age()
            && !self.is_draining(name)
    }

    /// Builds the snapshot of one machine.
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
            age_s: self.now.since(machine.started_at).as_secs(),
            price_per_cpu: spot_price.unwrap_or(machine_type.price) / machine_type.cpus.max(MIN_CPUS),
            capacity,
            waits: vec![],
        }
    }

    /// Subtracts the capacity of the tasks that are desired on the machine. A service's task holds
    /// its capacity indefinitely.
    fn add_desired_tasks(
        &self,
        capacity: &mut CapacityTimeline,
        owned_shard: &OwnedShard,
        tasks: Option<&BTreeSet<TaskKey>>,
    ) {
        // Tasks are sorted by job, so each job is looked up once.
        let mut last: Option<(&JobId, Option<(&Job, f64)>)> = None;
        for key in tasks.into_iter().flatten() {
            let found = match last {
                Some((id, found)) if *id == key.0 => found,
                _ => {
                    let found = self.cache.jobs.get(&key.0).map(|job| (job, self.estimates.expected_run_s(job)));
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

    /// Subtracts the capacity of tasks that the machine reports but that are not, or no longer,
    /// desired there. Their remaining time is unknown.
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
