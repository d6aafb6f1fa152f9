//! State of one job while a scheduling cycle places its tasks.
//!
//! The shard's cycle creates one for each job that may start or wait, and drops it after the job's
//! last task. It reserves no capacity itself.

use crate::coordination::scheduling::candidate_machine::CandidateMachine;
use crate::coordination::scheduling::candidates::RankedCandidate;
use crate::coordination::scheduling::placement_request::PlacementRequest;
use crate::coordination::scheduling::scheduling_cycle::UnplacedTasks;
use crate::coordination::scheduling::zone_occupancy::ZoneOccupancy;
use crate::coordination::shards::shard_quota::TeamQuota;
use crate::units::{ComputeAmount, JobId, Millis, MonotonicTime};
use std::collections::BinaryHeap;

/// Maximum number of waiting tasks of one job that a cycle considers.
pub(super) const MAX_WAITING_TASKS: usize = 32;

/// Time for which a job avoids a machine on which it failed, if there are other machines.
const AVOID_AFTER_FAILURE: Millis = Millis(60_000);

/// Time for which a job avoids such a machine even if there is no other. Meanwhile the machine
/// counts as capacity, so that no other is rented: a limit keeps the job from waiting indefinitely.
const MIN_AVOID_AFTER_FAILURE: Millis = Millis(10_000);

/// Placement state of one job.
pub(super) struct JobPlacement<'a> {
    pub id: &'a JobId,
    pub request: PlacementRequest<'a>,
    /// Share of the team's limit that the shard may use.
    quota: TeamQuota,
    /// Usage of the team in the shard, including the job's tasks that start now.
    pub used: ComputeAmount,
    /// Zones of its tasks, including those placed in this cycle.
    pub occupancy: ZoneOccupancy,
    /// Candidate machines for the next task, best on top.
    pub candidates: BinaryHeap<RankedCandidate>,
    /// Tasks that do not start now because capacity is lacking.
    pub unplaced: UnplacedTasks,
    /// True if the job failed on every machine that ran it. Then only one task at a time starts, as
    /// a probe.
    pub fails_everywhere: bool,
    /// True if the cycle considers no further task of the job. For a gang, also: not all of its
    /// tasks can start now.
    pub ended: bool,
    /// Time for which the job avoids a machine on which it failed.
    avoid_after_failure: Millis,
    /// Number of considered tasks that have to wait.
    waiting_tasks: usize,
}

impl<'a> JobPlacement<'a> {
    /// Creates the state of a job with no task considered and no machine ranked.
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

    /// Adds a task that starts now to the team's usage.
    pub fn add_quota_usage(&mut self) {
        self.used.cpus += self.request.need.cpus;
        self.used.gpus += self.request.need.gpus;
    }

    /// True if the job failed on the machine too recently to be placed there. A job that fails
    /// everywhere avoids no machine.
    pub fn avoids(&self, machine: &CandidateMachine, now: MonotonicTime) -> bool {
        let failed_at = machine.reported.failed_jobs.get(self.id);
        !self.fails_everywhere && failed_at.is_some_and(|at| now.since(*at) < self.avoid_after_failure)
    }

    /// Reduces the time for which the job avoids machines on which it failed to the minimum.
    pub fn shorten_failure_avoidance(&mut self) {
        self.avoid_after_failure = MIN_AVOID_AFTER_FAILURE;
    }

    /// Counts a task that has to wait. Ends the placement of a gang, and of any other job after
    /// [`MAX_WAITING_TASKS`].
    pub fn record_waiting_task(&mut self) {
        self.waiting_tasks += 1;
        self.ended = self.request.is_gang() || self.waiting_tasks >= MAX_WAITING_TASKS;
    }

    /// Counts a task that no machine can run, now or later, and ends the job's placement.
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
