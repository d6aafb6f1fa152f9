//! Preemption: stops tasks so that tasks of a higher priority, or of a team within its guarantee,
//! can start.
//!
//! Runs after a scheduling cycle, for the jobs that the cycle could not place. A [`PreemptionPlan`]
//! selects the tasks whose stop loses the least work, which are then marked to be stopped. The
//! freed capacity is not reserved: a later cycle places the jobs.

use crate::coordination::scheduling::candidate_machine::CandidateMachine;
use crate::coordination::scheduling::pending_queue::JobSet;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::scheduling::scheduling_cycle::UnplacedTasks;
use crate::coordination::scheduling::task_stop::TaskStop;
use crate::coordination::scheduling::zone_occupancy::ZoneOccupancy;
use crate::coordination::shards::owned_shard::{OwnedShard, TaskKey};
use crate::coordination::Core;
use crate::protocol::users::Priority;
use crate::storage::cache::Job;
use crate::units::ShardId;

/// Maximum number of tasks stopped after one cycle.
const MAX_STOPS_PER_CYCLE: usize = 24;

/// Maximum number of jobs for which tasks are stopped after one cycle.
const MAX_JOBS_PER_CYCLE: usize = 32;

/// Seconds: a task that ends sooner is not worth stopping, and a wait that is not longer is not
/// worth stopping another task for.
const NEARLY_DONE_S: f64 = 5.0;

/// Planned wait in seconds beyond which tasks are stopped for a job within its team's guarantee.
const MIN_RECLAIM_WAIT_S: f64 = 20.0;

/// A job that will be late by more than this, in seconds, preempts no task: it is late in any case.
const LATE_TOLERANCE_S: f64 = 5.0;

/// A job preempts tasks only if its planned wait leaves it less spare time than this, in seconds.
const SPARE_MARGIN_S: f64 = 15.0;

/// Run time in seconds up to which a task has no checkpoint to write yet.
const MIN_CHECKPOINT_RUN_S: f64 = 1.0;

/// Grace time of a task that writes a checkpoint, as a multiple of the time to save one.
const GRACE_FACTOR: f64 = 1.5;

/// Minimum time assumed to save a checkpoint, in seconds.
const MIN_CHECKPOINT_SAVE_S: f64 = 1.0;

/// Loss in core seconds of any stop, added to the lost work.
const STOP_LOSS_CPU_S: f64 = 1.0;

/// A task that may be stopped to make room for another.
struct PreemptibleTask<'a> {
    key: &'a TaskKey,
    /// Work that is lost if the task is stopped, in core seconds.
    loss_cpu_s: f64,
    priority: Priority,
    team: &'a str,
    /// True if its job is within its own team's guarantee.
    guaranteed: bool,
    /// Grace time to write a checkpoint, in seconds.
    grace_s: f64,
    /// Resources that it uses on its machine.
    need: Resources,
    /// True if the plan already stops it.
    chosen: bool,
}

/// A job for which tasks may be stopped.
struct Preemptor<'a> {
    job: &'a Job,
    /// True if the job is within its team's guarantee.
    guaranteed: bool,
    /// Resources that one of its tasks needs.
    need: Resources,
    occupancy: ZoneOccupancy,
}

impl Preemptor<'_> {
    /// True if the task may be stopped for this job: because its priority is lower, or because it
    /// uses capacity that its team borrowed beyond its own guarantee.
    fn may_stop(&self, task: &PreemptibleTask) -> bool {
        let lower_priority = task.priority < self.job.priority();
        let borrowed = self.guaranteed && task.team != self.job.record.spec.team && !task.guaranteed;
        !task.chosen && (lower_priority || borrowed)
    }
}

/// A machine and the tasks on it that may be stopped.
struct PreemptionMachine<'a> {
    candidate: CandidateMachine<'a>,
    /// Free capacity after all tasks being stopped have ended, less the capacity that the plan has
    /// given to preemptors.
    free_after_stops: Resources,
    /// Ordered by ascending priority, then by ascending loss.
    tasks: Vec<PreemptibleTask<'a>>,
}

impl PreemptionMachine<'_> {
    /// Returns the loss in core seconds and the indexes of the tasks to stop, in order, so that one
    /// of the preemptor's tasks fits; `None` if stopping all of them does not suffice.
    fn cheapest_stops(&self, preemptor: &Preemptor) -> Option<(f64, Vec<usize>)> {
        let mut free = self.free_after_stops;
        let mut chosen = vec![];
        let mut loss_cpu_s = 0.0;
        for (index, task) in self.tasks.iter().enumerate().filter(|(_, task)| preemptor.may_stop(task)) {
            if preemptor.need.fits_into(&free) {
                break;
            }
            free += task.need;
            loss_cpu_s += task.loss_cpu_s;
            chosen.push(index);
        }
        preemptor.need.fits_into(&free).then_some((loss_cpu_s, chosen))
    }
}

/// Tasks to be stopped in one shard, and the machines that they are on.
struct PreemptionPlan<'a> {
    machines: Vec<PreemptionMachine<'a>>,
    stops: Vec<TaskStop>,
}

impl PreemptionPlan<'_> {
    /// Frees capacity for up to `tasks` tasks of a job, as far as other tasks may be stopped.
    fn free_capacity_for_job(&mut self, preemptor: &Preemptor, tasks: usize) {
        for _ in 0..tasks {
            if self.stops.len() >= MAX_STOPS_PER_CYCLE || !self.free_capacity_for_task(preemptor) {
                break;
            }
        }
    }

    /// Frees capacity for one task; false if that is impossible.
    fn free_capacity_for_task(&mut self, preemptor: &Preemptor) -> bool {
        let spec = &preemptor.job.record.spec;
        let is_suitable = |machine: &PreemptionMachine| machine.candidate.satisfies(spec, &preemptor.occupancy);
        // Uses capacity that is free, or that earlier stops release, before stopping more tasks.
        let free = |machine: &&mut PreemptionMachine| {
            preemptor.need.fits_into(&machine.free_after_stops) && is_suitable(machine)
        };
        if let Some(machine) = self.machines.iter_mut().find(free) {
            machine.free_after_stops -= preemptor.need;
            return true;
        }
        let best = self
            .machines
            .iter_mut()
            .filter(|machine| is_suitable(machine))
            .filter_map(|machine| {
                machine.cheapest_stops(preemptor).map(|(loss_cpu_s, chosen)| (loss_cpu_s, machine, chosen))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, machine, chosen)) = best else { return false };
        for index in chosen {
            let task = &mut machine.tasks[index];
            task.chosen = true;
            machine.free_after_stops += task.need;
            self.stops.push(TaskStop { task: task.key.clone(), grace_s: task.grace_s });
        }
        machine.free_after_stops -= preemptor.need;
        true
    }
}

impl Core {
    /// Marks tasks to be stopped so that unplaced tasks start sooner. Serves the jobs in the order
    /// of `unplaced`.
    pub(crate) fn preempt_tasks(&mut self, shard: ShardId, unplaced: &[UnplacedTasks], guaranteed: &JobSet) {
        let stops = self.plan_preemption(shard, unplaced, guaranteed);
        for TaskStop { task, grace_s } in &stops {
            tracing::debug!(%shard, job = %task.0, task = task.1, grace_s, "preempting task");
        }
        self.mark_tasks_to_stop(shard, stops);
    }

    fn plan_preemption(&self, shard: ShardId, unplaced: &[UnplacedTasks], guaranteed: &JobSet) -> Vec<TaskStop> {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return vec![] };
        let is_eligible = |unplaced: &&UnplacedTasks| self.is_worth_preempting_for(unplaced, guaranteed);
        let unplaced: Vec<&UnplacedTasks> = unplaced.iter().filter(is_eligible).take(MAX_JOBS_PER_CYCLE).collect();
        if unplaced.is_empty() {
            return vec![];
        }
        // The snapshot of the machines is shared by all jobs.
        let candidates = self.candidate_machines(shard).into_iter();
        let machines = candidates.map(|candidate| self.preemption_machine(owned_shard, candidate, guaranteed));
        let mut plan = PreemptionPlan { machines: machines.collect(), stops: vec![] };
        for UnplacedTasks { job: id, tasks, .. } in unplaced {
            let Some(job) = self.cache.jobs.get(id) else { continue };
            let preemptor = Preemptor {
                job,
                guaranteed: guaranteed.contains(id),
                need: Resources::of_task(&job.record.spec),
                occupancy: self.zone_occupancy(shard, id, job),
            };
            plan.free_capacity_for_job(&preemptor, *tasks);
        }
        plan.stops
    }

    /// True if tasks may be stopped for a job. False if it would be late in any case, or if it can
    /// still wait.
    fn is_worth_preempting_for(&self, unplaced: &UnplacedTasks, guaranteed: &JobSet) -> bool {
        let Some(job) = self.cache.jobs.get(&unplaced.job) else { return false };
        if job.priority() >= Priority::High {
            return unplaced.wait_s > NEARLY_DONE_S;
        }
        // Reclaiming borrowed capacity loses work, so it is done only where capacity is not
        // released in time without it.
        if guaranteed.contains(&unplaced.job) {
            return unplaced.wait_s > MIN_RECLAIM_WAIT_S;
        }
        let spare_s = self.allowed_s(job) - self.age_s(job) - self.estimates.expected_run_s(job);
        spare_s > -LATE_TOLERANCE_S && unplaced.wait_s + SPARE_MARGIN_S > spare_s && unplaced.wait_s > NEARLY_DONE_S
    }

    /// Collects the tasks on a machine that may be stopped at all.
    fn preemption_machine<'a>(
        &'a self,
        owned_shard: &'a OwnedShard,
        candidate: CandidateMachine<'a>,
        guaranteed: &JobSet,
    ) -> PreemptionMachine<'a> {
        let mut free_after_stops = candidate.capacity.free;
        let mut tasks = vec![];
        for key in owned_shard.placed_tasks.get(candidate.name).into_iter().flatten() {
            let Some(job) = self.cache.jobs.get(&key.0) else { continue };
            if owned_shard.stopping.contains_key(key) {
                free_after_stops += Resources::of_task(&job.record.spec);
            } else if self.remaining_s(owned_shard, job, key) >= NEARLY_DONE_S {
                tasks.push(self.preemptible_task(owned_shard, key, job, guaranteed));
            }
        }
        tasks.sort_by(|a, b| a.priority.cmp(&b.priority).then(a.loss_cpu_s.total_cmp(&b.loss_cpu_s)));
        PreemptionMachine { candidate, free_after_stops, tasks }
    }

    fn preemptible_task<'a>(
        &'a self,
        owned_shard: &OwnedShard,
        key: &'a TaskKey,
        job: &'a Job,
        guaranteed: &JobSet,
    ) -> PreemptibleTask<'a> {
        let spec = &job.record.spec;
        let ran_s = owned_shard.running_since.get(key).map_or(0.0, |at| self.now.since(*at).as_secs());
        let writes_checkpoint = spec.checkpoint_interval_s > 0.0 && ran_s > MIN_CHECKPOINT_RUN_S;
        let lost_run_s = if writes_checkpoint { spec.checkpoint_save_s } else { ran_s };
        PreemptibleTask {
            key,
            loss_cpu_s: lost_run_s * spec.cpus + STOP_LOSS_CPU_S,
            priority: job.priority(),
            team: &spec.team,
            guaranteed: guaranteed.contains(&key.0),
            grace_s: if writes_checkpoint {
                spec.checkpoint_save_s.max(MIN_CHECKPOINT_SAVE_S) * GRACE_FACTOR
            } else {
                0.0
            },
            need: Resources::of_task(spec),
            chosen: false,
        }
    }
}
