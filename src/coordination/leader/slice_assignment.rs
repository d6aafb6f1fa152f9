//! Assigns the slices of job arrays to shards by the number of tasks that each shard could start now, and moves waiting
//! slices from shards without room to shards that have it.
//!
//! Called by the leader cycle. Writes only the plans in job records, on condition that this controller is still the
//! leader and that no task of a moved slice has started meanwhile. The owners of the shards place the tasks.

use crate::coordination::leader::shard_capacity::ShardCapacity;
use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::cache::Job;
use crate::storage::records::{job_key, slice_key, JobRecord, SlicePlan, LEADER_KEY};
use crate::units::{JobId, Revision, ShardId};
use std::collections::BTreeMap;

/// Maximum number of slices that one pass considers; the next pass continues with the rest.
const MAX_SLICES_PER_PASS: usize = 400;

/// Maximum number of plans that one pass writes.
const MAX_PLANS_PER_PASS: usize = 4;

/// Number of conditions that a transaction may have per operation that the store allows in a transaction.
const CONDITIONS_PER_OPERATION: usize = 4;

/// Conditions of a plan's transaction that are reserved for keys other than those of moved slices.
const RESERVED_CONDITIONS: usize = 4;

/// A job whose tasks must stay together is moved to another shard only if it is older than this.
const MIN_MOVED_JOB_AGE_S: f64 = 2.0;

/// A move is worth its write only if it increases the number of startable tasks by more than this factor.
const MIN_MOVE_GAIN_FACTOR: usize = 2;

/// The slices that a pass assigns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AssignmentScope {
    /// Slices of jobs that have no plan yet.
    NewSlices,
    /// Slices of jobs without a plan, and planned slices of which no task has started.
    NewAndWaitingSlices,
}

/// A job with slices to assign, ordered by the time left, least first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct JobToAssign {
    /// Allowed time of the job minus its age, in milliseconds; negative once the job is late.
    time_left_ms: i64,
    id: JobId,
}

/// A new plan of a job.
struct PlanChange {
    plan: SlicePlan,
    /// Indexes of the slices that the plan moves to another shard.
    moved_slices: Vec<usize>,
}

/// Number of tasks that a shard could start. Ties are ordered by shard number.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Startable {
    count: usize,
    shard: ShardId,
}

/// Score of a shard as the target of a new slice; the greatest wins.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ShardScore {
    /// Number of tasks of the slice that the shard could start now.
    startable: usize,
    /// Queued cores per suitable core of the shard, in thousandths, negated.
    negative_queue: i64,
    shard: ShardId,
}

/// State of the shards during one pass, including the slices that it has assigned so far.
struct AssignmentPass<'a> {
    shard_count: u32,
    capacity: ShardCapacity<'a>,
    /// Cores of tasks that are assigned to each shard but can't start there now.
    queued_cpus: BTreeMap<ShardId, f64>,
}

impl AssignmentPass<'_> {
    fn shard_ids(&self) -> impl Iterator<Item = ShardId> {
        (0..self.shard_count).map(ShardId)
    }

    /// Assigns a new slice to the shard that could start the most of it now and returns that shard. Ties go to the
    /// shard with the shortest queue relative to its size.
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

    /// Returns the shard that a waiting slice should move to, or `None` if it should stay. The pass then counts the
    /// slice as assigned to that shard, or else to its current one.
    fn reassign_slice(
        &mut self,
        record: &JobRecord,
        tasks: usize,
        current: ShardId,
        may_move: bool,
    ) -> Option<ShardId> {
        let startable_here = self.capacity.startable(current, record, tasks);
        if startable_here * MIN_MOVE_GAIN_FACTOR >= tasks || !may_move {
            self.capacity.reserve(current, record, startable_here);
            return None;
        }
        let others = self.shard_ids().filter(|shard| *shard != current);
        let best = others.map(|shard| self.startable(shard, record, tasks)).max();
        let Some(best) = best.filter(|best| best.count > startable_here * MIN_MOVE_GAIN_FACTOR) else {
            self.queue(current, record, tasks);
            return None;
        };
        self.capacity.reserve(best.shard, record, best.count);
        Some(best.shard)
    }

    /// Returns the shard that a job whose tasks must stay together should move to, if another shard could start more
    /// of it.
    fn reassign_whole_job(&mut self, record: &JobRecord, current: ShardId) -> Option<ShardId> {
        let tasks = record.spec.task_count as usize;
        let startable_here = self.capacity.startable(current, record, tasks);
        let best = self.shard_ids().map(|shard| self.startable(shard, record, tasks)).max()?;
        if best.shard == current || best.count <= startable_here {
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
    /// Assigns the slices in scope, within the limits of one pass, and writes the changed plans.
    pub(super) fn assign_slices(&mut self, scope: AssignmentScope) {
        let jobs = self.jobs_to_assign(scope);
        if jobs.is_empty() {
            return;
        }
        for transaction in self.plan_transactions(&jobs) {
            self.submit_transaction(transaction);
        }
    }

    /// Returns the jobs with slices in scope, ordered by the time left, least first.
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

    /// Returns the transactions that write the changed plans of these jobs.
    fn plan_transactions(&self, jobs: &[JobToAssign]) -> Vec<Transaction> {
        let mut pass = AssignmentPass {
            shard_count: self.shard_count,
            capacity: self.available_capacity(),
            queued_cpus: BTreeMap::new(),
        };
        let mut slices_seen = 0;
        let mut transactions: Vec<Transaction> = vec![];
        for JobToAssign { id, .. } in jobs {
            if slices_seen >= MAX_SLICES_PER_PASS || transactions.len() >= MAX_PLANS_PER_PASS {
                break;
            }
            let Some(job) = self.cache.jobs.get(id) else { continue };
            let change = match &job.record.plan {
                None => Some(self.new_plan(job, &mut pass)),
                Some(plan) if job.record.spec.requires_single_shard() => self.move_whole_job(job, plan, &mut pass),
                Some(plan) => self.move_waiting_slices(job, plan, &mut pass),
            };
            let plan = change.as_ref().map(|change| &change.plan).or(job.record.plan.as_ref());
            slices_seen += plan.map_or(0, |plan| plan.shards.len());
            transactions.extend(change.and_then(|change| self.plan_transaction(id, job, change)));
        }
        transactions
    }

    /// Returns the transaction that writes a changed plan, or `None` while another one writes the job's record.
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

    /// Splits a job into slices and assigns each to a shard.
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

    /// Moves slices of which no task has started to shards that could start more than [`MIN_MOVE_GAIN_FACTOR`] times
    /// as many of their tasks.
    fn move_waiting_slices(&self, job: &Job, plan: &SlicePlan, pass: &mut AssignmentPass) -> Option<PlanChange> {
        let max_moved = self.max_moved_slices();
        let mut change = PlanChange { plan: plan.clone(), moved_slices: vec![] };
        for (index, &current) in plan.shards.iter().enumerate().take(MAX_SLICES_PER_PASS) {
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
            && self.age_s(job) > MIN_MOVED_JOB_AGE_S;
        let current = *plan.shards.first().filter(|_| may_move)?;
        let shard = pass.reassign_whole_job(&job.record, current)?;
        let shards = vec![shard; plan.shards.len()];
        let moved_slices = (0..shards.len()).collect();
        Some(PlanChange { plan: SlicePlan { tasks_per_slice: plan.tasks_per_slice, shards }, moved_slices })
    }

    /// Returns the maximum number of slices that one transaction can move: each needs a condition.
    fn max_moved_slices(&self) -> usize {
        self.settings.cluster.state.txn_ops * CONDITIONS_PER_OPERATION - RESERVED_CONDITIONS
    }
}
