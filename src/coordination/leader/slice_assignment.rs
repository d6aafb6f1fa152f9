//! Assigns the slices of job arrays to shards, by what each shard could start now, and moves waiting slices from
//! shards without room to shards with.
//!
//! Called by the leader's cycle. Writes only the plans in job records, on condition that this controller is still
//! the leader and that no task of a moved slice has started meanwhile. Tasks are placed by the shards' owners.

use crate::coordination::leader::shard_capacity::ShardCapacity;
use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::cache::Job;
use crate::storage::records::{job_key, slice_key, JobRecord, SlicePlan, LEADER_KEY};
use crate::units::{JobId, Revision, ShardId};
use std::collections::BTreeMap;

/// The most slices that one pass looks at; the others follow in the next one.
const MAX_SLICES: usize = 400;

/// The most plans that one pass writes.
const MAX_PLANS: usize = 4;

/// Conditions that a transaction may have for each operation that the store allows in one.
const CONDITIONS_PER_OPERATION: usize = 4;

/// Conditions of a plan's transaction that are kept free for other keys than those of moved slices.
const OTHER_CONDITIONS: usize = 4;

/// A job whose tasks must stay together is moved only if it is older, in seconds: its owner has that long to
/// place it.
const MIN_AGE_OF_MOVED_JOB_S: f64 = 2.0;

/// A move must at least double the tasks that can start, or it is not worth its write.
const WORTHWHILE_FACTOR: usize = 2;

/// Which slices a pass assigns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AssignmentScope {
    /// Those of jobs that have no plan yet.
    NewSlices,
    /// Those, and slices of which no task has started.
    NewAndWaitingSlices,
}

/// A job with slices to assign. The one with the least time left comes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct JobToAssign {
    /// How much of the time that the job may take is left, in milliseconds.
    time_left_ms: i64,
    id: JobId,
}

/// A new plan of a job.
struct PlanChange {
    plan: SlicePlan,
    /// Slices that had been assigned to another shard before.
    moved_slices: Vec<usize>,
}

/// How many tasks a shard could start. Of shards that could start as many, the last one is the greatest.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Startable {
    count: usize,
    shard: ShardId,
}

/// How well a new slice suits a shard: the greater, the better.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ShardScore {
    /// Tasks of the slice that the shard could start now.
    startable: usize,
    /// The shard's queue in relation to its size, negated.
    negative_queue: i64,
    shard: ShardId,
}

/// What a pass knows of the shards, with the slices that it has assigned so far.
struct AssignmentPass<'a> {
    shard_count: u32,
    capacity: ShardCapacity<'a>,
    /// Cores of the assigned tasks that their shards can't start now.
    queued_cpus: BTreeMap<ShardId, f64>,
}

impl AssignmentPass<'_> {
    fn shard_ids(&self) -> impl Iterator<Item = ShardId> {
        (0..self.shard_count).map(ShardId)
    }

    /// The shard that could start most of a new slice now; failing that, the one whose queue is shortest for its
    /// size. The slice counts as assigned to it.
    fn assign_new_slice(&mut self, record: &JobRecord, tasks: usize) -> ShardId {
        let score = |shard: ShardId| {
            let queued = self.queued_cpus.get(&shard).copied().unwrap_or(0.0);
            let queue = queued / self.capacity.suitable_cpus(shard, record).max(0.1);
            let startable = self.capacity.startable(shard, record, tasks);
            ShardScore { startable, negative_queue: (-queue * 1000.0) as i64, shard }
        };
        let Some(best) = self.shard_ids().map(score).max() else { return ShardId(0) };
        self.capacity.reserve(best.shard, record, best.startable);
        self.queue(best.shard, record, tasks - best.startable);
        best.shard
    }

    /// The shard that a waiting slice is to move to, if it is to move. The slice counts as assigned to that shard,
    /// or else to its current one.
    fn reassign_slice(
        &mut self,
        record: &JobRecord,
        tasks: usize,
        current: ShardId,
        may_move: bool,
    ) -> Option<ShardId> {
        let here = self.capacity.startable(current, record, tasks);
        if here * WORTHWHILE_FACTOR >= tasks || !may_move {
            self.capacity.reserve(current, record, here);
            return None;
        }
        let others = self.shard_ids().filter(|shard| *shard != current);
        let best = others.map(|shard| self.startable(shard, record, tasks)).max();
        let Some(best) = best.filter(|best| best.count > here * WORTHWHILE_FACTOR) else {
            self.queue(current, record, tasks);
            return None;
        };
        self.capacity.reserve(best.shard, record, best.count);
        Some(best.shard)
    }

    /// The shard that a job whose tasks must stay together is to move to, if another could start more of it.
    fn reassign_whole_job(&mut self, record: &JobRecord, current: ShardId) -> Option<ShardId> {
        let tasks = record.spec.task_count as usize;
        let here = self.capacity.startable(current, record, tasks);
        let best = self.shard_ids().map(|shard| self.startable(shard, record, tasks)).max()?;
        if best.shard == current || best.count <= here {
            return None;
        }
        self.capacity.reserve(best.shard, record, best.count);
        Some(best.shard)
    }

    fn startable(&self, shard: ShardId, record: &JobRecord, tasks: usize) -> Startable {
        Startable { count: self.capacity.startable(shard, record, tasks), shard }
    }

    fn queue(&mut self, shard: ShardId, record: &JobRecord, tasks: usize) {
        *self.queued_cpus.entry(shard).or_default() += tasks as f64 * record.spec.cpus;
    }
}

impl Core {
    /// Assigns the slices in scope, as many as one pass may, and writes the changed plans.
    pub(super) fn assign_slices(&mut self, scope: AssignmentScope) {
        let jobs = self.jobs_to_assign(scope);
        if jobs.is_empty() {
            return;
        }
        for transaction in self.plan_transactions(&jobs) {
            self.submit_transaction(transaction);
        }
    }

    /// The jobs with slices in scope, the one with the least time left first.
    fn jobs_to_assign(&self, scope: AssignmentScope) -> Vec<JobToAssign> {
        let mut jobs: Vec<JobToAssign> = vec![];
        for id in &self.cache.active {
            let Some(job) = self.cache.jobs.get(id).filter(|job| job.record.outcome.is_none()) else { continue };
            let is_waiting = || job.slices().iter().any(|slice| slice.is_reassignable());
            let in_scope = job.record.plan.is_none() || (scope == AssignmentScope::NewAndWaitingSlices && is_waiting());
            if in_scope {
                let time_left_ms = ((self.allowed_s(job) - self.age_s(job)) * 1000.0) as i64;
                jobs.push(JobToAssign { time_left_ms, id: id.clone() });
            }
        }
        jobs.sort();
        jobs
    }

    /// The transactions that write the changed plans of these jobs.
    fn plan_transactions(&self, jobs: &[JobToAssign]) -> Vec<Transaction> {
        let mut pass = AssignmentPass {
            shard_count: self.shard_count,
            capacity: self.available_capacity(),
            queued_cpus: BTreeMap::new(),
        };
        let mut slices_seen = 0;
        let mut transactions: Vec<Transaction> = vec![];
        for JobToAssign { id, .. } in jobs {
            if slices_seen >= MAX_SLICES || transactions.len() >= MAX_PLANS {
                break;
            }
            let Some(job) = self.cache.jobs.get(id) else { continue };
            let change = match &job.record.plan {
                None => Some(self.new_plan(job, &mut pass)),
                Some(plan) if job.record.spec.whole() => self.move_whole_job(job, plan, &mut pass),
                Some(plan) => self.move_waiting_slices(job, plan, &mut pass),
            };
            let plan = change.as_ref().map(|change| &change.plan).or(job.record.plan.as_ref());
            slices_seen += plan.map_or(0, |plan| plan.shards.len());
            transactions.extend(change.and_then(|change| self.plan_transaction(id, job, change)));
        }
        transactions
    }

    /// The transaction that writes a changed plan. None while another one writes the job's record.
    fn plan_transaction(&self, id: &JobId, job: &Job, change: PlanChange) -> Option<Transaction> {
        let key = job_key(id);
        if self.store.is_key_busy(&key) {
            return None;
        }
        let mut conditions = vec![
            Condition { key: LEADER_KEY.into(), version: self.cache.leader.version },
            Condition { key: key.clone(), version: job.version },
        ];
        // A slice of which a task has started meanwhile must not move.
        let version = |index: usize| job.slices().get(index).map_or(Revision(0), |slice| slice.durable().version);
        let unchanged = |index: &usize| Condition { key: slice_key(id, *index), version: version(*index) };
        conditions.extend(change.moved_slices.iter().map(unchanged));
        let record = JobRecord { plan: Some(change.plan), ..job.record.clone() };
        let value = serde_json::to_value(record).ok()?;
        Some(Transaction { conditions, changes: vec![Change::put(key, value)] })
    }

    /// Cuts a job into slices and assigns each.
    fn new_plan(&self, job: &Job, pass: &mut AssignmentPass) -> PlanChange {
        let task_count = job.record.spec.task_count;
        let size = self.slice_size(task_count);
        let mut plan = SlicePlan { tasks_per_slice: size, shards: vec![] };
        for index in 0..task_count.div_ceil(size) as usize {
            let tasks = plan.slice_len(index, task_count);
            plan.shards.push(pass.assign_new_slice(&job.record, tasks));
        }
        PlanChange { plan, moved_slices: vec![] }
    }

    /// Moves slices of which no task has started to shards that could start many more of them.
    fn move_waiting_slices(&self, job: &Job, plan: &SlicePlan, pass: &mut AssignmentPass) -> Option<PlanChange> {
        let max_moved = self.max_moved_slices();
        let mut change = PlanChange { plan: plan.clone(), moved_slices: vec![] };
        for (index, &current) in plan.shards.iter().enumerate().take(MAX_SLICES) {
            let slice = job.slices().get(index).filter(|slice| slice.is_reassignable());
            let Some(slice) = slice else { continue };
            let all = plan.slice_len(index, job.record.spec.task_count);
            let tasks = slice.record().map_or(all, |record| all - record.count_done());
            let may_move = change.moved_slices.len() < max_moved;
            if let Some(shard) = pass.reassign_slice(&job.record, tasks, current, may_move) {
                change.plan.shards[index] = shard;
                change.moved_slices.push(index);
            }
        }
        (!change.moved_slices.is_empty()).then_some(change)
    }

    /// Moves a job whose tasks must stay together, while none of them has started, to a shard that could start more
    /// of it.
    fn move_whole_job(&self, job: &Job, plan: &SlicePlan, pass: &mut AssignmentPass) -> Option<PlanChange> {
        let may_move = job.slices().iter().all(|slice| slice.is_reassignable())
            && plan.shards.len() <= self.max_moved_slices()
            && self.age_s(job) > MIN_AGE_OF_MOVED_JOB_S;
        let current = *plan.shards.first().filter(|_| may_move)?;
        let shard = pass.reassign_whole_job(&job.record, current)?;
        let shards = vec![shard; plan.shards.len()];
        let moved_slices = (0..shards.len()).collect();
        Some(PlanChange { plan: SlicePlan { tasks_per_slice: plan.tasks_per_slice, shards }, moved_slices })
    }

    /// The most slices that one transaction can move: each takes a condition.
    fn max_moved_slices(&self) -> usize {
        self.settings.cluster.state.txn_ops * CONDITIONS_PER_OPERATION - OTHER_CONDITIONS
    }
}
