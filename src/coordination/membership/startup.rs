//! Startup milestones: the steps after a restart that users wait for. Each milestone is logged once at `info` with the
//! time since the first input, so that a slow start can be diagnosed from the log. Checked at each tick, and reported
//! by the code for submissions, heartbeats and the loading of records. Milestones only affect the log.

use crate::coordination::Core;
use crate::units::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// Share of the machines named in the owned shards' records that must have sent a heartbeat before the workers count as
/// reporting. Less than 1 because some machines never come back.
const REPORTING_SHARE: f64 = 0.9;

/// Startup milestones in their usual order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Milestone {
    /// All durable records are in the cache.
    RecordsRead,
    /// This controller can validate and write submissions.
    AcceptingSubmissions,
    /// The first owned shard is ready for scheduling.
    ShardReady,
    /// Most machines named in the records of the owned shards have sent a heartbeat.
    WorkersReporting,
    /// The first submission was accepted.
    SubmissionAccepted,
    /// The first command to start a task was sent.
    StartSent,
}

impl Milestone {
    /// Returns the milestone's name in log lines.
    fn name(self) -> &'static str {
        match self {
            Milestone::RecordsRead => "records read",
            Milestone::AcceptingSubmissions => "accepting submissions",
            Milestone::ShardReady => "first shard ready",
            Milestone::WorkersReporting => "workers reporting",
            Milestone::SubmissionAccepted => "first submission accepted",
            Milestone::StartSent => "first start sent",
        }
    }
}

/// The milestones that this process has reached, and when.
#[derive(Debug, Default)]
pub(crate) struct StartupProgress {
    /// When the first input arrived.
    started_at: Option<MonotonicTime>,
    /// Time from `started_at` to each milestone reached.
    reached: BTreeMap<Milestone, Millis>,
}

impl StartupProgress {
    /// Sets the start time if it is not set yet, and returns it.
    fn begin(&mut self, now: MonotonicTime) -> MonotonicTime {
        *self.started_at.get_or_insert(now)
    }

    fn has_reached(&self, milestone: Milestone) -> bool {
        self.reached.contains_key(&milestone)
    }

    /// Records and logs a milestone unless it has been reached before.
    fn reach(&mut self, milestone: Milestone, now: MonotonicTime) {
        let started_at = self.begin(now);
        if self.has_reached(milestone) {
            return;
        }
        let elapsed = now.since(started_at);
        self.reached.insert(milestone, elapsed);
        tracing::info!(milestone = milestone.name(), elapsed_s = elapsed.as_secs(), "reached startup milestone");
    }
}

impl Core {
    /// Records that a milestone is reached; later calls for the same milestone have no effect.
    pub(crate) fn milestone_reached(&mut self, milestone: Milestone) {
        self.membership.startup.reach(milestone, self.now);
    }

    /// Checks the milestones that no event reports.
    pub(crate) fn check_milestones(&mut self) {
        self.membership.startup.begin(self.now);
        if self.is_pending(Milestone::AcceptingSubmissions) && self.can_accept_jobs() {
            self.milestone_reached(Milestone::AcceptingSubmissions);
        }
        if self.is_pending(Milestone::ShardReady) && self.owned_shards.values().any(|owned_shard| owned_shard.ready) {
            self.milestone_reached(Milestone::ShardReady);
        }
        if self.is_pending(Milestone::WorkersReporting) && self.are_workers_reporting() {
            self.milestone_reached(Milestone::WorkersReporting);
        }
    }

    fn is_pending(&self, milestone: Milestone) -> bool {
        !self.membership.startup.has_reached(milestone)
    }

    /// True if at least [`REPORTING_SHARE`] of the machines with placed tasks in owned, ready shards, and at least one,
    /// have sent a heartbeat.
    fn are_workers_reporting(&self) -> bool {
        let (mut named, mut reporting) = (0, 0);
        for owned_shard in self.owned_shards.values().filter(|owned_shard| owned_shard.ready) {
            named += owned_shard.placed_tasks.len();
            let reports = |name: &&_| owned_shard.machines.contains_key(*name);
            reporting += owned_shard.placed_tasks.keys().filter(reports).count();
        }
        reporting > 0 && reporting as f64 >= REPORTING_SHARE * named as f64
    }
}

#[cfg(test)]
mod tests;
