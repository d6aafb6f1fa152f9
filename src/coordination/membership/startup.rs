//! Startup milestones: when this process reached what users wait for after a restart. Each milestone is logged once,
//! at `info`, with the time since the first input, so that a slow start can be explained from its log. Looked for at
//! each tick, and reported by submissions and heartbeats. Nothing depends on milestones.

use crate::coordination::Core;
use crate::units::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// Share of the machines named in our shards' records that must have sent a heartbeat before the workers count as
/// reporting: some machines are gone for good.
const REPORTING_SHARE: f64 = 0.9;

/// What a start reaches, in the usual order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Milestone {
    /// All durable records are in the cache.
    RecordsRead,
    /// Users' submissions can be validated and written.
    AcceptingSubmissions,
    /// This controller owns a shard and is ready to work on it.
    ShardReady,
    /// Most machines that the records of our shards name have sent a heartbeat.
    WorkersReporting,
    /// A submission was accepted.
    SubmissionAccepted,
    /// The command to start a task was sent.
    StartSent,
}

impl Milestone {
    /// The milestone's name in log lines.
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
    /// When the first input came.
    began: Option<MonotonicTime>,
    /// The milestones reached, with the time that each took from `began`.
    reached: BTreeMap<Milestone, Millis>,
}

impl StartupProgress {
    /// Starts the clock, unless it runs already.
    fn begin(&mut self, now: MonotonicTime) -> MonotonicTime {
        *self.began.get_or_insert(now)
    }

    fn has_reached(&self, milestone: Milestone) -> bool {
        self.reached.contains_key(&milestone)
    }

    /// Records and logs a milestone, the first time only.
    fn reach(&mut self, milestone: Milestone, now: MonotonicTime) {
        let began = self.begin(now);
        if self.has_reached(milestone) {
            return;
        }
        let elapsed = now.since(began);
        self.reached.insert(milestone, elapsed);
        tracing::info!(milestone = milestone.name(), elapsed_s = elapsed.as_secs(), "reached startup milestone");
    }
}

impl Core {
    /// Records that a milestone is reached; only its first time counts.
    pub(crate) fn milestone_reached(&mut self, milestone: Milestone) {
        self.membership.startup.reach(milestone, self.now);
    }

    /// Looks for the milestones that no event reports.
    pub(crate) fn check_milestones(&mut self) {
        self.membership.startup.begin(self.now);
        if self.is_missing(Milestone::AcceptingSubmissions) && self.can_accept_jobs() {
            self.milestone_reached(Milestone::AcceptingSubmissions);
        }
        if self.is_missing(Milestone::ShardReady) && self.owned_shards.values().any(|owned_shard| owned_shard.ready) {
            self.milestone_reached(Milestone::ShardReady);
        }
        if self.is_missing(Milestone::WorkersReporting) && self.are_workers_reporting() {
            self.milestone_reached(Milestone::WorkersReporting);
        }
    }

    fn is_missing(&self, milestone: Milestone) -> bool {
        !self.membership.startup.has_reached(milestone)
    }

    /// True if most machines with placed tasks in our ready shards have sent a heartbeat.
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
