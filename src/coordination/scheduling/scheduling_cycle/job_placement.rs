//! The state of one job while a scheduling cycle places its tasks.
//!
//! Made by the shard's cycle for each job that may start or wait, and dropped when the job
//! has been gone through. It reserves nothing itself.

use crate::coordination::scheduling::candidate_machine::CandidateMachine;
use crate::coordination::scheduling::candidates::RankedCandidate;
use crate::coordination::scheduling::placement_request::PlacementRequest;
use crate::coordination::scheduling::scheduling_cycle::UnplacedTasks;
use crate::coordination::scheduling::zone_occupancy::ZoneOccupancy;
use crate::coordination::shards::shard_quota::TeamQuota;
use crate::units::{ComputeAmount, JobId, Millis, MonotonicTime};
use std::collections::BinaryHeap;

/// The most tasks of one job that a cycle looks at to find that they wait.
pub(super) const MAX_WAITING_TASKS: usize = 32;

/// For how long a job goes to other machines after it failed on one, if there are any.
const AVOID_AFTER_FAILURE: Millis = Millis(60_000);

/// For how long it does not go there in any case. The machine counts as room meanwhile, for
/// which none is rented: the job must not wait for ever.
const MIN_AVOID_AFTER_FAILURE: Millis = Millis(10_000);

/// One job while its tasks are placed.
pub(super) struct JobPlacement<'a> {
    pub id: &'a JobId,
    pub request: PlacementRequest<'a>,
    /// What the shard may use of the team's limit.
    quota: TeamQuota,
    /// What the team uses in the shard, with the job's tasks that start now.
    pub used: ComputeAmount,
    /// Where its tasks are, those placed in this cycle included.
    pub occupancy: ZoneOccupancy,
    /// Machines for the next task, the best on top.
    pub candidates: BinaryHeap<RankedCandidate>,
    /// Its tasks that do not start now for want of capacity.
    pub unplaced: UnplacedTasks,
    /// The job failed wherever it ran: one task at a time shows whether it still does.
    pub fails_everywhere: bool,
    /// No further task of the job is looked at in this cycle. For a gang: not all of its
    /// tasks can start now.
    pub ended: bool,
    /// For how long the job avoids a machine on which it failed.
    avoid_after_failure: Millis,
    /// Tasks that were looked at and have to wait.
    waiting_tasks: usize,
}

impl<'a> JobPlacement<'a> {
    /// A job of which no task is looked at yet and no machine ranked.
    pub fn new(
        id: &'a JobId,
        request: PlacementRequest<'a>,
        quota: TeamQuota,
        used: ComputeAmount,
        occupancy: ZoneOccupancy,
        fails_everywhere: bool,
    ) -> JobPlacement<'a> {
        JobPlacement {
            id,
            request,
            quota,
            used,
            occupancy,
            candidates: BinaryHeap::new(),
            unplaced: UnplacedTasks { job: id.clone(), tasks: 0, wait_s: f64::INFINITY },
            fails_everywhere,
            ended: false,
            avoid_after_failure: AVOID_AFTER_FAILURE,
            waiting_tasks: 0,
        }
    }

    /// True if one more task is within the team's quota.
    pub fn is_within_quota(&self) -> bool {
        self.quota.has_room_for(self.used, self.request.need.compute_amount())
    }

    /// Counts a task that starts now towards the quota.
    pub fn add_quota_usage(&mut self) {
        self.used.cpus += self.request.need.cpus;
        self.used.gpus += self.request.need.gpus;
    }

    /// True if the job failed on the machine so lately that it goes elsewhere. A job that
    /// fails everywhere avoids none.
    pub fn avoids(&self, machine: &CandidateMachine, now: MonotonicTime) -> bool {
        let failed_at = machine.reported.failed_jobs.get(self.id);
        !self.fails_everywhere && failed_at.is_some_and(|at| now.since(*at) < self.avoid_after_failure)
    }

    /// Lets the job go to machines on which it failed, but for the latest of them.
    pub fn shorten_failure_avoidance(&mut self) {
        self.avoid_after_failure = MIN_AVOID_AFTER_FAILURE;
    }

    /// Counts a task that has to wait. A gang ends there; other jobs after so many.
    pub fn record_waiting_task(&mut self) {
        self.waiting_tasks += 1;
        self.ended = self.request.is_gang() || self.waiting_tasks >= MAX_WAITING_TASKS;
    }

    /// Counts a task for which there is no machine, now or later.
    pub fn record_unplaceable_task(&mut self) {
        self.unplaced.tasks += 1;
        self.ended = true;
    }

    /// Counts a task that is planned to start in `wait_s` seconds.
    pub fn record_planned_task(&mut self, wait_s: f64) {
        self.unplaced.tasks += 1;
        self.unplaced.wait_s = self.unplaced.wait_s.min(wait_s);
        self.record_waiting_task();
    }
}
