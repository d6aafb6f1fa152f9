//! One scheduling cycle of one shard: decides which pending tasks start now, and on which machine.
//!
//! Visits the jobs in the order of the queue. For each job, [`ShardCycle::place_job`] checks
//! whether it can start or may wait and whether it is within its team's quota, ranks the machines,
//! then places task by task; a gang is rolled back if not all of its tasks can start now. The cycle
//! only reads the core and changes its own plan; the parent module applies the outcome.

use crate::coordination::scheduling::candidate_machine::CandidateMachine;
use crate::coordination::scheduling::candidates::{rank_candidate, ranked_candidates, RankedCandidate};
use crate::coordination::scheduling::placement_request::{PlacementRequest, RequestShapes};
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::scheduling::scheduling_cycle::exhausted_shapes::ExhaustedShapes;
use crate::coordination::scheduling::scheduling_cycle::job_placement::{JobPlacement, MAX_WAITING_TASKS};
use crate::coordination::scheduling::scheduling_cycle::limits::{PromisedCapacity, ScoreBudget};
use crate::coordination::scheduling::scheduling_cycle::quick_start_reserve::QuickStartReserve;
use crate::coordination::scheduling::scheduling_cycle::{
    pending_slices_in, pending_tasks_in, CycleOutcome, Placement, StarvingStart,
};
use crate::coordination::shards::shard_quota::TeamQuota;
use crate::coordination::Core;
use crate::storage::cache::{Job, Slice};
use crate::storage::records::TaskRecord;
use crate::units::{Attempt, ComputeAmount, JobId, MachineId, ShardId};
use std::collections::BTreeMap;

/// State of one cycle of one shard.
pub(super) struct ShardCycle<'a> {
    /// Read only.
    core: &'a Core,
    shard: ShardId,
    /// Machines that may get tasks, with the capacity left after the cycle's reservations.
    machines: Vec<CandidateMachine<'a>>,
    /// Cores of all these machines.
    shard_cpus: f64,
    reserve: QuickStartReserve,
    /// Cores and GPUs in use by team, including the cycle's own placements.
    usage: BTreeMap<String, ComputeAmount>,
    scores: ScoreBudget,
    /// Capacity promised to waiting tasks.
    promised: PromisedCapacity,
    shapes: RequestShapes,
    exhausted: ExhaustedShapes,
    /// Shortest provisioning time of any machine type, in seconds.
    shortest_provisioning_s: f64,
    /// Maximum number of tasks of a slice that may be on machines or tried before, so that the
    /// slice's record fits into one value of the store.
    max_tried_per_slice: usize,
    /// Starving job, which is served first; `None` if there is none.
    starving_job: Option<&'a JobId>,
    outcome: CycleOutcome,
}

/// State to which a cycle is rolled back if not all tasks of a gang can start now.
struct GangSavepoint<'a> {
    machines: Vec<CandidateMachine<'a>>,
    /// Number of placements before the gang.
    placements: usize,
    promised_cpus: f64,
}

impl<'a> ShardCycle<'a> {
    /// Creates a cycle without decisions, from a snapshot of the shard's machines.
    pub fn new(core: &'a Core, shard: ShardId) -> ShardCycle<'a> {
        let machines = core.candidate_machines(shard);
        let shard_cpus: f64 = machines.iter().map(|machine| machine.machine_type.cpus).sum();
        let usage = core.owned_shards.get(&shard).map(|owned_shard| owned_shard.usage.clone());
        ShardCycle {
            core,
            shard,
            shard_cpus,
            reserve: QuickStartReserve::new(core.quick_start_reserve_cpus(shard_cpus), &machines),
            usage: usage.unwrap_or_default(),
            scores: ScoreBudget::new(core.scores_per_cycle()),
            promised: PromisedCapacity::new(shard_cpus),
            shapes: RequestShapes::default(),
            exhausted: ExhaustedShapes::default(),
            shortest_provisioning_s: core.shortest_provisioning_s(),
            max_tried_per_slice: core.max_started_tasks(),
            starving_job: None,
            outcome: CycleOutcome::default(),
            machines,
        }
    }

    /// Runs the cycle over `jobs`, which have pending tasks in the shard, in their order, after the
    /// starving job if there is one.
    pub fn run(mut self, mut jobs: Vec<(&'a JobId, &'a Job)>) -> CycleOutcome {
        self.move_starving_job_to_front(&mut jobs);
        for (id, job) in jobs {
            if self.has_placed_enough() || self.scores.is_exhausted() {
                break;
            }
            self.place_job(id, job);
        }
        self.core.log_cycle(self.shard, &self.machines, &self.outcome);
        self.outcome
    }

    /// Moves the starving job, if there is one, before all others.
    fn move_starving_job_to_front(&mut self, jobs: &mut [(&'a JobId, &'a Job)]) {
        if let Some(index) = self.core.starving_job(self.shard, jobs) {
            jobs[..=index].rotate_right(1);
            self.starving_job = Some(jobs[0].0);
        }
    }

    fn has_placed_enough(&self) -> bool {
        self.outcome.placements.len() >= self.core.tuning.max_placements_per_cycle
    }

    /// Places the job's pending tasks in the shard, as far as capacity and quota allow.
    fn place_job(&mut self, id: &'a JobId, job: &'a Job) {
        let need = Resources::of_task(&job.record.spec);
        let quick_start = self.core.objectives.requires_start_before(&job.class, self.shortest_provisioning_s);
        let can_start = self.can_start_now(&need, quick_start);
        let may_wait = self.may_wait();
        if !can_start && !may_wait {
            return;
        }
        let request = self.core.placement_request(job, quick_start, may_wait, &mut self.shapes);
        if is_still_on_machines(&request) {
            return;
        }
        let team = &job.record.spec.team;
        let (quota, used) = (self.core.quota(self.shard, team), self.used_by(team));
        if !quota.has_room_for(used, need.compute_amount()) {
            // A shard needs more of the team's quota only if it has capacity for a task.
            if can_start {
                let max_tasks = if request.is_gang() { 1 } else { MAX_WAITING_TASKS };
                self.add_quota_shortage(&request, pending_tasks_in(job, self.shard).min(max_tasks));
            }
            return;
        }
        let savepoint = request.is_gang().then(|| self.savepoint());
        let mut placement = self.begin_placement(id, request, quota, used, may_wait);
        self.place_tasks(&mut placement);
        match savepoint {
            Some(savepoint) if placement.ended => self.roll_back(savepoint),
            _ => {
                self.usage.insert(team.clone(), placement.used);
            }
        }
        if may_wait {
            self.record_unplaced(placement);
        }
    }

    /// True if a task can start now on any machine that it may use.
    fn can_start_now(&mut self, need: &Resources, quick_start: bool) -> bool {
        if self.exhausted.contains(need, quick_start) {
            return false;
        }
        let closed = self.reserve.is_closed_to(need, quick_start);
        let has_capacity = |machine: &CandidateMachine| {
            need.fits_into(&machine.capacity.free) && !(closed && self.reserve.is_held_by(machine))
        };
        let found = self.machines.iter().any(has_capacity);
        if !found {
            self.exhausted.insert(need, quick_start);
        }
        found
    }

    /// True if a job may be planned on busy machines. Behind many other waiting jobs, such a plan
    /// is of no use: the next cycle has newer data.
    fn may_wait(&self) -> bool {
        self.promised.allows_waiting() && self.scores.allows_waiting()
    }

    /// Returns the team's usage in the shard, including this cycle's placements.
    fn used_by(&self, team: &str) -> ComputeAmount {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Records that tasks could start if the shard had more of the team's quota.
    fn add_quota_shortage(&mut self, request: &PlacementRequest, tasks: usize) {
        let team = request.job.record.spec.team.clone();
        let shortage = self.outcome.quota_shortages.entry(team).or_default();
        shortage.add_tasks(request.need.compute_amount(), tasks as f64);
    }

    /// Saves the state that placing a gang changes, before its first task is placed.
    fn savepoint(&self) -> GangSavepoint<'a> {
        GangSavepoint {
            machines: self.machines.clone(),
            placements: self.outcome.placements.len(),
            promised_cpus: self.promised.promised_cpus(),
        }
    }

    /// Rolls back the reservations and placements of a gang if not all of its tasks can start now.
    fn roll_back(&mut self, savepoint: GangSavepoint<'a>) {
        self.machines = savepoint.machines;
        self.outcome.placements.truncate(savepoint.placements);
        self.promised.restore_promised_cpus(savepoint.promised_cpus);
    }

    /// Ranks the machines for a job. If the job may wait and the only machines that suit it are
    /// ones on which it failed recently, ranks again with a shorter avoidance time.
    fn begin_placement(
        &mut self,
        id: &'a JobId,
        request: PlacementRequest<'a>,
        quota: TeamQuota,
        used: ComputeAmount,
        may_wait: bool,
    ) -> JobPlacement<'a> {
        let occupancy = self.core.zone_occupancy(self.shard, id, request.job);
        let fails_everywhere = self.core.fails_everywhere(id);
        let mut placement = JobPlacement::new(id, request, quota, used, occupancy, fails_everywhere);
        self.rank_machines(&mut placement);
        let now = self.core.now;
        if may_wait
            && placement.candidates.is_empty()
            && self.machines.iter().any(|machine| placement.avoids(machine, now))
        {
            placement.shorten_failure_avoidance();
            self.rank_machines(&mut placement);
        }
        placement
    }

    /// Ranks all machines for the job's next task.
    fn rank_machines(&mut self, placement: &mut JobPlacement) {
        let now = self.core.now;
        let allowed = |machine: &CandidateMachine| !placement.avoids(machine, now);
        let candidates = ranked_candidates(&mut self.machines, &placement.request, &placement.occupancy, allowed);
        placement.candidates = candidates;
        self.scores.spend(self.machines.len());
    }

    /// Places the job's pending tasks, slice by slice.
    fn place_tasks(&mut self, placement: &mut JobPlacement) {
        for (index, slice) in pending_slices_in(placement.request.job, self.shard) {
            if placement.ended {
                break;
            }
            self.place_slice(placement, index, slice);
        }
    }

    /// Places the pending tasks of one slice of the job.
    fn place_slice(&mut self, placement: &mut JobPlacement, index: usize, slice: &Slice) {
        let Some(desired) = slice.desired() else { return };
        let mut first_attempts_left = self.max_tried_per_slice.saturating_sub(slice.tried_tasks());
        let first_task = placement.request.job.record.plan.as_ref().map_or(0, |plan| plan.first_task(index));
        for (offset, task) in desired.tasks.iter().enumerate() {
            let TaskRecord::Pending(Attempt(attempts)) = *task else { continue };
            let is_first_attempt = attempts == 0;
            if is_first_attempt && first_attempts_left == 0 {
                continue;
            }
            if placement.ended || (!placement.request.is_gang() && self.has_placed_enough()) {
                break;
            }
            let Some(machine) = self.place_task(placement) else { continue };
            first_attempts_left = first_attempts_left.saturating_sub(usize::from(is_first_attempt));
            self.outcome.placements.push(Placement {
                task: (placement.id.clone(), first_task + offset as u32),
                attempt: Attempt(attempts + 1),
                machine,
            });
        }
    }

    /// Reserves capacity for the job's next task. Returns the machine if the task starts now.
    fn place_task(&mut self, placement: &mut JobPlacement) -> Option<MachineId> {
        self.drop_reserved_candidates(placement);
        let Some(best) = placement.candidates.peek().copied() else {
            placement.record_unplaceable_task();
            return None;
        };
        let starts_now = best.wait_s <= 0.0;
        if !placement.is_within_quota() {
            if starts_now {
                self.add_quota_shortage(&placement.request, 1);
            }
            placement.record_waiting_task();
            return None;
        }
        placement.candidates.pop();
        self.reserve_capacity(placement, &best);
        if !starts_now {
            self.promised.promise(placement.request.need.cpus);
            placement.record_planned_task(best.wait_s);
            return None;
        }
        self.start_task(placement, &best);
        Some(self.machines[best.machine_index].name.clone())
    }

    /// Drops the best candidates while they hold a quick-start reserve that is closed to the job.
    /// The reserve stays closed, because its free cores only shrink during a cycle.
    fn drop_reserved_candidates(&self, placement: &mut JobPlacement) {
        if !self.reserve.is_closed_to(&placement.request.need, placement.request.quick_start) {
            return;
        }
        let is_reserved = |best: &RankedCandidate| self.reserve.is_held_by(&self.machines[best.machine_index]);
        while placement.candidates.peek().is_some_and(is_reserved) {
            placement.candidates.pop();
        }
    }

    /// Reserves capacity on the machine and ranks it again for the job's next task.
    fn reserve_capacity(&mut self, placement: &mut JobPlacement, best: &RankedCandidate) {
        let machine = &mut self.machines[best.machine_index];
        machine.reserve(&placement.request.need, best.wait_s, best.wait_s + best.hold_s);
        placement.candidates.extend(rank_candidate(best.machine_index, machine, &placement.request));
        self.scores.spend(1);
    }

    /// Records a task that starts now on a machine where its capacity is reserved.
    fn start_task(&mut self, placement: &mut JobPlacement, best: &RankedCandidate) {
        let need = placement.request.need;
        let machine = &self.machines[best.machine_index];
        placement.add_quota_usage();
        self.reserve.record_start(machine, &need);
        if placement.request.job.record.spec.requires_single_shard() {
            placement.occupancy.add(&machine.reported.zone, 1);
            self.rank_machines(placement);
        }
        placement.ended |= placement.fails_everywhere && !placement.request.is_gang();
        if self.starving_job == Some(placement.id) {
            // Only one task is served first; the rest of the job waits in its normal place in the
            // queue.
            let start = StarvingStart { cpus: need.cpus, hold_s: best.hold_s, shard_cpus: self.shard_cpus };
            self.outcome.starving_start = Some(start);
            placement.ended = true;
        }
    }

    /// Records the tasks of a job that wait for capacity. No task is preempted for a job that fails
    /// everywhere.
    fn record_unplaced(&mut self, placement: JobPlacement) {
        if placement.unplaced.tasks == 0 {
            return;
        }
        self.promised.add_waiting_job();
        if !placement.fails_everywhere {
            self.outcome.unplaced.push(placement.unplaced);
        }
    }
}

/// True for a gang with tasks still on machines: the tasks of an earlier attempt must end before it
/// starts again.
fn is_still_on_machines(request: &PlacementRequest) -> bool {
    request.is_gang() && request.job.has_placed_tasks()
}
