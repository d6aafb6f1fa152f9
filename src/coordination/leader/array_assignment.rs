//! What the leader does for all shards: cut large arrays into slices, deal
//! them by room, and move slices that no task of has started.

use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::cache::Job;
use crate::storage::records::{job_key, slice_key, JobRecord, SlicePlan, TaskRecord, LEADER_KEY};
use crate::units::{JobId, MachineId, Revision, ShardId};
use foldhash::fast::FixedState;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Slices looked at in one turn.
const MOST_SLICES: usize = 400;

/// What is free on each machine, by part.
pub(crate) struct ShardCapacity<'a> {
    shards: Vec<Vec<MachineCapacity<'a>>>,
}

struct MachineCapacity<'a> {
    kind: &'a str,
    zone: &'a str,
    spot: bool,
    free: Resources,
    cpus: f64,
}

impl ShardCapacity<'_> {
    fn suits(at: &MachineCapacity, record: &JobRecord) -> bool {
        let spec = &record.spec;
        spec.types.as_ref().is_none_or(|types| types.iter().any(|t| t == at.kind))
            && spec.zone.as_ref().is_none_or(|z| z == at.zone)
            && (spec.spot_allowed || !at.spot)
    }

    /// Tasks of the job, up to `most`, that the shard could start now; with
    /// `take`, their room is booked.
    fn tasks(&mut self, shard: ShardId, record: &JobRecord, most: usize, take: bool) -> usize {
        let spec = &record.spec;
        if !spec.one_zone && !spec.apart {
            return self.tasks_in(None, shard, record, most, take);
        }
        let machines = self.shards.get(shard.0 as usize).into_iter().flatten();
        let zones: BTreeSet<&str> = machines.map(|at| at.zone).collect();
        // Of tasks that must be spread, at most half may be in one zone.
        let each = if spec.apart { most.min(spec.task_count.div_ceil(2) as usize) } else { most };
        if spec.one_zone {
            let best = zones.into_iter().max_by_key(|zone| self.tasks_in(Some(zone), shard, record, each, false));
            return best.map_or(0, |zone| self.tasks_in(Some(zone), shard, record, each, take));
        }
        zones
            .into_iter()
            .fold(0, |sum, zone| sum + self.tasks_in(Some(zone), shard, record, each.min(most - sum), take))
    }

    /// Tasks of the job, up to `most`, that the shard could start now in this zone.
    pub(crate) fn startable_in_zone(&mut self, zone: &str, shard: ShardId, record: &JobRecord, most: usize) -> usize {
        self.tasks_in(Some(zone), shard, record, most, false)
    }

    /// The same, in this zone if one is named.
    fn tasks_in(&mut self, zone: Option<&str>, shard: ShardId, record: &JobRecord, most: usize, take: bool) -> usize {
        let spec = &record.spec;
        let need = Resources::of_task(spec);
        let mut count = 0;
        let Some(machines) = self.shards.get_mut(shard.0 as usize) else { return 0 };
        let there =
            |at: &&mut MachineCapacity| ShardCapacity::suits(at, record) && zone.is_none_or(|zone| zone == at.zone);
        for at in machines.iter_mut().filter(there) {
            if count >= most {
                break;
            }
            let mut free = at.free;
            while count < most && need.fits_into(&free) {
                free -= need;
                count += 1;
            }
            if take {
                at.free = free;
            }
        }
        count
    }

    /// Cores of the shard that may ever run the job.
    fn cpus(&self, shard: ShardId, record: &JobRecord) -> f64 {
        let machines = self.shards.get(shard.0 as usize).into_iter().flatten();
        machines.filter(|m| ShardCapacity::suits(m, record)).map(|m| m.cpus).sum()
    }
}

impl Core {
    pub(crate) fn run_leader_cycle(&mut self) {
        if !self.is_leader() || !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        self.deal(true);
        self.manage_fleet();
    }

    /// Deals jobs as they come, between two housekeepings.
    pub(crate) fn assign_new_slices(&mut self) {
        if self.is_leader() && self.records_fresh() && self.store.may_send(self.now) {
            self.deal(false);
        }
    }

    pub(crate) fn available_capacity(&self) -> ShardCapacity<'_> {
        // Our own shards' wishes are newer than what is durable.
        let used = self.resources_in_use();
        let mut shards: Vec<Vec<MachineCapacity>> = (0..self.shard_count).map(|_| vec![]).collect();
        for (name, m) in self.fleet.machines() {
            let Some(t) = self.catalog.get(&m.kind) else { continue };
            if !m.up || m.leaving || m.downlink_lost || self.draining(name) {
                continue;
            }
            let mut free = Resources::of_machine(t);
            free -= used.get(name).copied().unwrap_or_default();
            shards[self.shard_of(name).0 as usize].push(MachineCapacity {
                kind: &m.kind,
                zone: &m.zone,
                spot: m.spot,
                free,
                cpus: t.cpus,
            });
        }
        ShardCapacity { shards }
    }

    /// What tasks take of each machine: cores, GPUs and memory, as wanted or
    /// else as is durable.
    pub(crate) fn resources_in_use(&self) -> HashMap<&MachineId, Resources, FixedState> {
        let mut taken: HashMap<&MachineId, Resources, FixedState> = HashMap::default();
        for job in self.cache.active.iter().filter_map(|id| self.cache.jobs.get(id)).filter(|j| j.holds_machines()) {
            let spec = &job.record.spec;
            let on = job.slices().iter().filter(|s| s.has_placed_task()).filter_map(|s| s.newest());
            for task in on.flat_map(|r| &r.tasks) {
                if let TaskRecord::Placed(_, machine) = task {
                    *taken.entry(machine).or_default() += Resources::of_task(spec);
                }
            }
        }
        taken
    }

    /// Deals new large arrays, and moves idle slices from shards without
    /// room for them to shards with.
    fn deal(&mut self, move_too: bool) {
        let mut jobs: Vec<(i64, JobId)> = vec![];
        for id in &self.cache.active {
            let Some(job) = self.cache.jobs.get(id) else { continue };
            let is_reassignable = move_too && job.slices().iter().any(|s| s.is_reassignable());
            if job.record.end.is_none() && (job.record.plan.is_none() || is_reassignable) {
                jobs.push((((self.allowed_s(job) - self.age_s(job)) * 1000.0) as i64, id.clone()));
            }
        }
        if jobs.is_empty() {
            return;
        }
        jobs.sort();
        let mut room = self.available_capacity();
        let mut queued: BTreeMap<ShardId, f64> = BTreeMap::new();
        let mut looked = 0;
        let mut writes: Vec<Transaction> = vec![];
        for (_, id) in jobs {
            if looked >= MOST_SLICES || writes.len() >= 4 {
                break;
            }
            let Some(job) = self.cache.jobs.get(&id) else { continue };
            let (plan, moved) = match &job.record.plan {
                None => self.new_plan(job, &mut room, &mut queued),
                Some(plan) => self.better_plan(job, plan, &mut room, &mut queued),
            };
            looked += plan.shards.len();
            let (Some(moved), key) = (moved, job_key(&id)) else { continue };
            if self.store.is_key_busy(&key) {
                continue;
            }
            let mut conditions = vec![
                Condition { key: LEADER_KEY.into(), version: self.cache.leader.version },
                Condition { key: key.clone(), version: job.version },
            ];
            // A slice of which a task has started meanwhile must not move.
            let version = |s: usize| job.slices().get(s).map_or(Revision(0), |slice| slice.held().version);
            conditions.extend(moved.iter().map(|&s| Condition { key: slice_key(&id, s), version: version(s) }));
            let record = JobRecord { plan: Some(plan), ..job.record.clone() };
            if let Ok(value) = serde_json::to_value(record) {
                writes.push(Transaction { conditions, changes: vec![Change::put(key, value)] });
            }
        }
        drop(room);
        for transaction in writes {
            self.submit_transaction(transaction);
        }
    }

    fn new_plan(
        &self,
        job: &Job,
        room: &mut ShardCapacity,
        queued: &mut BTreeMap<ShardId, f64>,
    ) -> (SlicePlan, Option<Vec<usize>>) {
        let size = self.slice_size(job.record.spec.task_count);
        let count = job.record.spec.task_count.div_ceil(size) as usize;
        let mut plan = SlicePlan { size, shards: vec![] };
        for slice in 0..count {
            let tasks = plan.len(slice, job.record.spec.task_count);
            let shard = self.best_shard(&job.record, tasks, room, queued);
            plan.shards.push(shard);
        }
        (plan, Some(vec![]))
    }

    /// The shard that could start most of a slice now; failing that, the one
    /// whose queue is shortest for its size.
    fn best_shard(
        &self,
        record: &JobRecord,
        tasks: usize,
        room: &mut ShardCapacity,
        queued: &mut BTreeMap<ShardId, f64>,
    ) -> ShardId {
        let shards = (0..self.shard_count).map(ShardId);
        let Some((startable, _, shard)) = shards
            .map(|shard| {
                let startable = room.tasks(shard, record, tasks, false);
                let wait = queued.get(&shard).copied().unwrap_or(0.0) / room.cpus(shard, record).max(0.1);
                (startable, (-wait * 1000.0) as i64, shard)
            })
            .max()
        else {
            return ShardId(0);
        };
        room.tasks(shard, record, startable, true);
        *queued.entry(shard).or_default() += (tasks - startable) as f64 * record.spec.cpus;
        shard
    }

    fn better_plan(
        &self,
        job: &Job,
        plan: &SlicePlan,
        room: &mut ShardCapacity,
        queued: &mut BTreeMap<ShardId, f64>,
    ) -> (SlicePlan, Option<Vec<usize>>) {
        let mut better = plan.clone();
        let mut moved = vec![];
        if job.record.spec.whole() {
            return self.move_whole(job, better, room);
        }
        // At most as many conditions as one transaction may have.
        let most = self.settings.cluster.state.txn_ops * 4 - 4;
        for slice in 0..plan.shards.len().min(MOST_SLICES) {
            if !job.slices().get(slice).is_some_and(|s| s.is_reassignable()) {
                continue;
            }
            let all = plan.len(slice, job.record.spec.task_count);
            let tasks = job.slices()[slice].record().map_or(all, |r| all - r.count_done());
            let shard = plan.shards[slice];
            let here = room.tasks(shard, &job.record, tasks, false);
            if here * 2 >= tasks || moved.len() >= most {
                room.tasks(shard, &job.record, here, true);
                continue;
            }
            let to = (0..self.shard_count)
                .map(ShardId)
                .filter(|p| *p != shard)
                .map(|p| (room.tasks(p, &job.record, tasks, false), p))
                .max();
            match to {
                // Worth the write: much more of it could start there.
                Some((there, to)) if there > here * 2 => {
                    room.tasks(to, &job.record, there, true);
                    better.shards[slice] = to;
                    moved.push(slice);
                }
                _ => *queued.entry(shard).or_default() += tasks as f64 * job.record.spec.cpus,
            }
        }
        let changed = !moved.is_empty();
        (better, changed.then_some(moved))
    }

    /// A job that must stay whole moves only while nothing of it has started,
    /// to a shard that could start more of it.
    fn move_whole(&self, job: &Job, mut plan: SlicePlan, room: &mut ShardCapacity) -> (SlicePlan, Option<Vec<usize>>) {
        let tasks = job.record.spec.task_count as usize;
        let all: Vec<usize> = (0..plan.shards.len()).collect();
        let is_reassignable = job.slices().iter().all(|s| s.is_reassignable())
            && all.len() <= self.settings.cluster.state.txn_ops * 4 - 4
            && self.age_s(job) > 2.0;
        let Some(&shard) = plan.shards.first().filter(|_| is_reassignable) else { return (plan, None) };
        let here = room.tasks(shard, &job.record, tasks, false);
        let best = (0..self.shard_count).map(ShardId).map(|p| (room.tasks(p, &job.record, tasks, false), p)).max();
        match best {
            Some((there, to)) if to != shard && there > here => {
                room.tasks(to, &job.record, there, true);
                plan.shards.fill(to);
                (plan, Some(all))
            }
            _ => (plan, None),
        }
    }
}
