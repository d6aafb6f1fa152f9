//! What the leader does for all parts: cut large arrays into slices, deal
//! them by room, and move slices that no task of has started.

use super::*;
use crate::bookkeeping::records::{job_key, slice_key, JobRecord, Plan, TaskRecord, LEADER_KEY};
use crate::bookkeeping::view::Job;
use foldhash::fast::FixedState;
use std::collections::HashMap;

/// Slices looked at in one turn.
const MOST_SLICES: usize = 400;

/// What is free on each machine, by part.
pub(super) struct Room<'a> {
    parts: Vec<Vec<RoomAt<'a>>>,
}

struct RoomAt<'a> {
    kind: &'a str,
    zone: &'a str,
    spot: bool,
    free: [f64; 3],
    cpus: f64,
}

impl Room<'_> {
    fn suits(at: &RoomAt, record: &JobRecord) -> bool {
        let spec = &record.spec;
        spec.types.as_ref().is_none_or(|types| types.iter().any(|t| t == at.kind))
            && spec.zone.as_ref().is_none_or(|z| z == at.zone)
            && (spec.spot || !at.spot)
    }

    /// Tasks of the job, up to `most`, that the part could start now; with
    /// `take`, their room is booked.
    fn tasks(&mut self, part: PartId, record: &JobRecord, most: usize, take: bool) -> usize {
        let spec = &record.spec;
        if !spec.one_zone && !spec.apart {
            return self.tasks_in(None, part, record, most, take);
        }
        let machines = self.parts.get(part.0 as usize).into_iter().flatten();
        let zones: BTreeSet<&str> = machines.map(|at| at.zone).collect();
        // Of tasks that must be spread, at most half may be in one zone.
        let each = if spec.apart { most.min(spec.tasks.div_ceil(2) as usize) } else { most };
        if spec.one_zone {
            let best = zones.into_iter().max_by_key(|zone| self.tasks_in(Some(zone), part, record, each, false));
            return best.map_or(0, |zone| self.tasks_in(Some(zone), part, record, each, take));
        }
        zones.into_iter().fold(0, |sum, zone| sum + self.tasks_in(Some(zone), part, record, each.min(most - sum), take))
    }

    /// The same, in this zone if one is named.
    pub(super) fn tasks_in(
        &mut self,
        zone: Option<&str>,
        part: PartId,
        record: &JobRecord,
        most: usize,
        take: bool,
    ) -> usize {
        let spec = &record.spec;
        let need = [spec.cpus, spec.gpus, spec.mem_gb];
        let mut count = 0;
        let Some(machines) = self.parts.get_mut(part.0 as usize) else { return 0 };
        let there = |at: &&mut RoomAt| Room::suits(at, record) && zone.is_none_or(|zone| zone == at.zone);
        for at in machines.iter_mut().filter(there) {
            if count >= most {
                break;
            }
            let mut free = at.free;
            while count < most && free.iter().zip(&need).all(|(f, n)| *f + 1e-6 >= *n) {
                free.iter_mut().zip(&need).for_each(|(f, n)| *f -= n);
                count += 1;
            }
            if take {
                at.free = free;
            }
        }
        count
    }

    /// Cores of the part that may ever run the job.
    fn cpus(&self, part: PartId, record: &JobRecord) -> f64 {
        let machines = self.parts.get(part.0 as usize).into_iter().flatten();
        machines.filter(|m| Room::suits(m, record)).map(|m| m.cpus).sum()
    }
}

impl Core {
    pub(super) fn lead(&mut self) {
        if !self.leading() || !self.state_fresh() || self.now < self.retry_state_at {
            return;
        }
        self.deal(true);
        self.run_fleet();
    }

    /// Deals jobs as they come, between two housekeepings.
    pub(super) fn deal_new(&mut self) {
        if self.leading() && self.state_fresh() && self.now >= self.retry_state_at {
            self.deal(false);
        }
    }

    pub(super) fn room(&self) -> Room<'_> {
        // Our own parts' wishes are newer than what is durable.
        let used = self.taken();
        let mut parts: Vec<Vec<RoomAt>> = (0..self.parts).map(|_| vec![]).collect();
        for (name, m) in &self.cloud.machines {
            let Some(t) = self.catalog.get(&m.kind) else { continue };
            if !m.up || m.leaving || m.deaf || self.draining(name) {
                continue;
            }
            let u = used.get(name).copied().unwrap_or_default();
            parts[self.part_of(name).0 as usize].push(RoomAt {
                kind: &m.kind,
                zone: &m.zone,
                spot: m.spot,
                free: [t.cpus - u[0], t.gpus - u[1], t.mem_gb - u[2]],
                cpus: t.cpus,
            });
        }
        Room { parts }
    }

    /// What tasks take of each machine: cores, GPUs and memory, as wanted or
    /// else as is durable.
    pub(super) fn taken(&self) -> HashMap<&MachineId, [f64; 3], FixedState> {
        let mut taken: HashMap<&MachineId, [f64; 3], FixedState> = HashMap::default();
        for job in self.view.active.iter().filter_map(|id| self.view.jobs.get(id)).filter(|j| j.holds_machines()) {
            let spec = &job.record.spec;
            let on = job.slices().iter().filter(|s| s.any_on()).filter_map(|s| s.newest());
            for task in on.flat_map(|r| &r.tasks) {
                if let TaskRecord::On(_, machine) = task {
                    let sum = taken.entry(machine).or_default();
                    sum[0] += spec.cpus;
                    sum[1] += spec.gpus;
                    sum[2] += spec.mem_gb;
                }
            }
        }
        taken
    }

    /// Deals new large arrays, and moves idle slices from parts without
    /// room for them to parts with.
    fn deal(&mut self, move_too: bool) {
        let mut jobs: Vec<(i64, JobRef)> = vec![];
        for id in &self.view.active {
            let Some(job) = self.view.jobs.get(id) else { continue };
            let movable = move_too && job.slices().iter().any(|s| s.movable());
            if job.record.end.is_none() && (job.record.plan.is_none() || movable) {
                jobs.push((((self.allowed_s(job) - self.age_s(job)) * 1000.0) as i64, id.clone()));
            }
        }
        if jobs.is_empty() {
            return;
        }
        jobs.sort();
        let mut room = self.room();
        let mut queued: BTreeMap<PartId, f64> = BTreeMap::new();
        let mut looked = 0;
        let mut writes: Vec<Txn> = vec![];
        for (_, id) in jobs {
            if looked >= MOST_SLICES || writes.len() >= 4 {
                break;
            }
            let Some(job) = self.view.jobs.get(&id) else { continue };
            let (plan, moved) = match &job.record.plan {
                None => self.new_plan(job, &mut room, &mut queued),
                Some(plan) => self.better_plan(job, plan, &mut room, &mut queued),
            };
            looked += plan.parts.len();
            let (Some(moved), key) = (moved, job_key(&id)) else { continue };
            if self.busy_keys.contains(&key) {
                continue;
            }
            let mut conditions = vec![
                Condition { key: LEADER_KEY.into(), version: self.view.leader.version },
                Condition { key: key.clone(), version: job.version },
            ];
            // A slice of which a task has started meanwhile must not move.
            let version = |s: usize| job.slices().get(s).map_or(Revision(0), |slice| slice.held().version);
            conditions.extend(moved.iter().map(|&s| Condition { key: slice_key(&id, s), version: version(s) }));
            let record = JobRecord { plan: Some(plan), ..job.record.clone() };
            if let Ok(value) = serde_json::to_value(record) {
                writes.push(Txn { conditions, changes: vec![Change::put(key, value)] });
            }
        }
        drop(room);
        for txn in writes {
            self.simple_txn(txn);
        }
    }

    fn new_plan(&self, job: &Job, room: &mut Room, queued: &mut BTreeMap<PartId, f64>) -> (Plan, Option<Vec<usize>>) {
        let size = self.slice_size(job.record.spec.tasks);
        let count = job.record.spec.tasks.div_ceil(size) as usize;
        let mut plan = Plan { size, parts: vec![] };
        for slice in 0..count {
            let tasks = plan.len(slice, job.record.spec.tasks);
            let part = self.best_part(&job.record, tasks, room, queued);
            plan.parts.push(part);
        }
        (plan, Some(vec![]))
    }

    /// The part that could start most of a slice now; failing that, the one
    /// whose queue is shortest for its size.
    fn best_part(
        &self,
        record: &JobRecord,
        tasks: usize,
        room: &mut Room,
        queued: &mut BTreeMap<PartId, f64>,
    ) -> PartId {
        let parts = (0..self.parts).map(PartId);
        let Some((startable, _, part)) = parts
            .map(|part| {
                let startable = room.tasks(part, record, tasks, false);
                let wait = queued.get(&part).copied().unwrap_or(0.0) / room.cpus(part, record).max(0.1);
                (startable, (-wait * 1000.0) as i64, part)
            })
            .max()
        else {
            return PartId(0);
        };
        room.tasks(part, record, startable, true);
        *queued.entry(part).or_default() += (tasks - startable) as f64 * record.spec.cpus;
        part
    }

    fn better_plan(
        &self,
        job: &Job,
        plan: &Plan,
        room: &mut Room,
        queued: &mut BTreeMap<PartId, f64>,
    ) -> (Plan, Option<Vec<usize>>) {
        let mut better = plan.clone();
        let mut moved = vec![];
        if job.record.spec.whole() {
            return self.move_whole(job, better, room);
        }
        // At most as many conditions as one transaction may have.
        let most = self.settings.cluster.state.txn_ops * 4 - 4;
        for slice in 0..plan.parts.len().min(MOST_SLICES) {
            if !job.slices().get(slice).is_some_and(|s| s.movable()) {
                continue;
            }
            let all = plan.len(slice, job.record.spec.tasks);
            let tasks = job.slices()[slice].record().map_or(all, |r| all - r.count_done());
            let part = plan.parts[slice];
            let here = room.tasks(part, &job.record, tasks, false);
            if here * 2 >= tasks || moved.len() >= most {
                room.tasks(part, &job.record, here, true);
                continue;
            }
            let to = (0..self.parts)
                .map(PartId)
                .filter(|p| *p != part)
                .map(|p| (room.tasks(p, &job.record, tasks, false), p))
                .max();
            match to {
                // Worth the write: much more of it could start there.
                Some((there, to)) if there > here * 2 => {
                    room.tasks(to, &job.record, there, true);
                    better.parts[slice] = to;
                    moved.push(slice);
                }
                _ => *queued.entry(part).or_default() += tasks as f64 * job.record.spec.cpus,
            }
        }
        let changed = !moved.is_empty();
        (better, changed.then_some(moved))
    }

    /// A job that must stay whole moves only while nothing of it has started,
    /// to a part that could start more of it.
    fn move_whole(&self, job: &Job, mut plan: Plan, room: &mut Room) -> (Plan, Option<Vec<usize>>) {
        let tasks = job.record.spec.tasks as usize;
        let all: Vec<usize> = (0..plan.parts.len()).collect();
        let movable = job.slices().iter().all(|s| s.movable())
            && all.len() <= self.settings.cluster.state.txn_ops * 4 - 4
            && self.age_s(job) > 2.0;
        let Some(&part) = plan.parts.first().filter(|_| movable) else { return (plan, None) };
        let here = room.tasks(part, &job.record, tasks, false);
        let best = (0..self.parts).map(PartId).map(|p| (room.tasks(p, &job.record, tasks, false), p)).max();
        match best {
            Some((there, to)) if to != part && there > here => {
                room.tasks(to, &job.record, there, true);
                plan.parts.fill(to);
                (plan, Some(all))
            }
            _ => (plan, None),
        }
    }
}
