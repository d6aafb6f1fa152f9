//! How a start goes: when each thing that users wait for was reached.
//!
//! After all controllers end, what counts is how soon submissions are taken and
//! tasks start again. Each milestone is logged once a life, at `info`, with the
//! time since this life began, so that a slow start can be told from its log.

use crate::coordination::Core;
use crate::units::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// Share of the machines named in the records of our shards that must have
/// reported for our workers to count as held: some are gone for good.
const HELD: f64 = 0.9;

/// What a start reaches, in the usual order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Milestone {
    /// All durable records are in the cache.
    RecordsRead,
    /// Users' submissions can be judged and written.
    CanTake,
    /// A shard is ours and ready to work.
    ShardReady,
    /// Most machines that our shards' records name have reported.
    WorkersHeld,
    /// A submission was accepted.
    Accepted,
    /// A task's start was sent.
    StartSent,
}

impl Milestone {
    fn name(self) -> &'static str {
        match self {
            Milestone::RecordsRead => "records read",
            Milestone::CanTake => "can take submissions",
            Milestone::ShardReady => "first part ready",
            Milestone::WorkersHeld => "workers held",
            Milestone::Accepted => "first submission accepted",
            Milestone::StartSent => "first start sent",
        }
    }
}

/// Milestones reached by this life of the node, and when.
#[derive(Debug, Default)]
pub(crate) struct Start {
    /// When the first input came.
    began: Option<MonotonicTime>,
    reached: BTreeMap<Milestone, Millis>,
}

impl Start {
    fn reach(&mut self, what: Milestone, now: MonotonicTime) {
        let began = *self.began.get_or_insert(now);
        if self.reached.contains_key(&what) {
            return;
        }
        let after = now.since(began);
        self.reached.insert(what, after);
        tracing::info!("start: {} after {:.2} s", what.name(), after.as_secs());
    }
}

impl Core {
    pub(crate) fn reached(&mut self, what: Milestone) {
        self.start.reach(what, self.now);
    }

    /// Looks for what is reached without anybody's doing; nothing once all is.
    pub(crate) fn check_milestones(&mut self) {
        let now = self.now;
        self.start.began.get_or_insert(now);
        if !self.start.reached.contains_key(&Milestone::CanTake) && self.can_accept_jobs() {
            self.reached(Milestone::CanTake);
        }
        if !self.start.reached.contains_key(&Milestone::ShardReady) && self.owned_shards.values().any(|m| m.ready) {
            self.reached(Milestone::ShardReady);
        }
        if !self.start.reached.contains_key(&Milestone::WorkersHeld) && self.workers_held() {
            self.reached(Milestone::WorkersHeld);
        }
    }

    fn workers_held(&self) -> bool {
        let ready = self.owned_shards.values().filter(|m| m.ready);
        let (mut named, mut heard) = (0, 0);
        for owned_shard in ready {
            named += owned_shard.on.len();
            heard += owned_shard.on.keys().filter(|name| owned_shard.machines.contains_key(*name)).count();
        }
        heard > 0 && heard as f64 >= HELD * named as f64
    }
}

#[cfg(test)]
mod tests;
