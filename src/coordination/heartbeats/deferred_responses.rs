//! Answers to reports that wait a moment for something worth saying.
//!
//! Starts travel only in answers to reports, and a worker with nothing new to
//! tell reports again after `report_s` only: a core that came free with one
//! report stood idle until the next, however soon its next task was written. So
//! an answer with nothing in it is held back for a moment. What makes that safe:
//!
//! - It is made when it is sent, from the records of that moment, and only if
//!   the node is still entitled to answer; a newer report of the machine takes
//!   the older one's place, which then starts nothing.
//! - A worker drops answers after 4 s and counts its lease from when it sent
//!   the report, as the owner does from when it came: neither changes.
//! - A worker with tasks tells of changes every half second at most, so that is
//!   as long as it is kept waiting; one without tasks has nothing to tell.

use crate::coordination::shards::owned_shard::Machine;
use crate::coordination::{Core, Response};
use crate::protocol::workers::{Command, Heartbeat, TaskState};
use crate::units::{MachineId, Millis, MonotonicTime, RequestId, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// Workers tell of changes no more often than this.
const WORKER_PAUSE: Millis = Millis(450);

/// The longest that a worker without tasks waits: well within the 4 s after
/// which it would turn to another node, also if this one is slow.
const LONGEST: Millis = Millis(2000);

/// Room left before a machine counts as silent, for a report on its way.
const MARGIN: Millis = Millis(500);

/// Where workers report so often that the pause between reports is not this
/// many times theirs between changes, the next report comes about as soon.
const WORTHWHILE: f64 = 4.0;

/// Share of the pause between a worker's reports that its answer may take.
const SHARE: f64 = 0.75;

/// A report whose answer is held back.
#[derive(Debug)]
struct DeferredResponse {
    request: RequestId,
    heartbeat: Heartbeat,
    until: MonotonicTime,
}

/// Answers held back, one a machine.
#[derive(Debug, Default)]
pub(crate) struct DeferredResponses {
    held: BTreeMap<MachineId, DeferredResponse>,
    /// By when each is to be given.
    due: BTreeSet<(MonotonicTime, MachineId)>,
    /// Machines for which there may be something to say now.
    ready: BTreeSet<MachineId>,
}

impl DeferredResponses {
    fn hold(&mut self, held: DeferredResponse) {
        let machine = held.heartbeat.machine.clone();
        self.due.insert((held.until, machine.clone()));
        self.held.insert(machine, held);
    }

    fn take(&mut self, machine: &MachineId) -> Option<DeferredResponse> {
        let held = self.held.remove(machine)?;
        self.due.remove(&(held.until, machine.clone()));
        Some(held)
    }

    /// Something about the machine's tasks has become durable.
    pub fn mark_ready(&mut self, machine: &MachineId) {
        if self.held.contains_key(machine) {
            self.ready.insert(machine.clone());
        }
    }
}

impl Core {
    /// How long the answer to this machine's report may wait; none if there is
    /// nothing to wait for.
    fn patience(&self, shard: ShardId, machine: &Machine, heartbeat: &Heartbeat) -> Option<Millis> {
        let owned_shard = self.owned_shards.get(&shard)?;
        let report_ms = self.settings.cluster.workers.report_s * 1000.0;
        if report_ms < WORTHWHILE * WORKER_PAUSE.0 as f64 {
            return None;
        }
        // The worker's next report may come a whole pause and a quarter after the
        // answer: it must not count as silent by then.
        let before_silence = self.heartbeat_overdue_after().0 as f64 - 1.25 * report_ms - MARGIN.0 as f64;
        let within = |most: Millis| Millis(most.0.min((report_ms * SHARE).min(before_silence).max(0.0) as u64));
        let lives = heartbeat.tasks.iter().any(|t| t.state != TaskState::Exited);
        let usable = machine.token_acknowledged
            && machine.notice.is_none()
            && !machine.faulty
            && !self.is_downlink_lost(machine)
            && !owned_shard.releasing;
        if !usable || self.draining(&heartbeat.machine) || !self.records_fresh() {
            return None;
        }
        let exits = heartbeat.tasks.iter().any(|t| t.state == TaskState::Exited);
        let unsent = owned_shard
            .placed_tasks
            .get(&heartbeat.machine)
            .is_some_and(|on| on.iter().any(|k| !machine.reported_tasks.contains_key(k)));
        if !lives && !exits {
            return Some(within(LONGEST));
        }
        (exits || unsent).then(|| within(WORKER_PAUSE))
    }

    /// Answers a report of one of our machines, now or in a moment.
    pub(crate) fn answer_heartbeat(&mut self, shard: ShardId, request: RequestId, heartbeat: Heartbeat, fresh: bool) {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return };
        let (token, ready) = (owned_shard.token, owned_shard.ready);
        // A worker that asks again does not wait for the older answer any more.
        if let Some(older) = self.deferred_responses.take(&heartbeat.machine) {
            self.response(older.request, Response::Commands { token, commands: vec![] });
        }
        let commands = self.orders(shard, &heartbeat, fresh, ready);
        if commands.is_empty() && fresh && ready {
            let machine = self.owned_shards.get(&shard).and_then(|m| m.machines.get(&heartbeat.machine));
            if let Some(patience) = machine.and_then(|m| self.patience(shard, m, &heartbeat)) {
                let until = self.now + patience;
                return self.deferred_responses.hold(DeferredResponse { request, heartbeat, until });
            }
        }
        self.response(request, Response::Commands { token, commands });
    }

    /// What a machine of ours is told. An owner whose records are not as new as its
    /// ownership yet renews the machine's lease too, so it stops what it knows to be over.
    fn orders(&mut self, shard: ShardId, heartbeat: &Heartbeat, newest: bool, ready: bool) -> Vec<Command> {
        match (newest, ready) {
            (true, true) => self.commands(shard, heartbeat),
            (true, false) => self.stop_commands_of_ended_jobs(heartbeat),
            (false, _) => vec![],
        }
    }

    /// Gives the answers that are due, and those that have something to say.
    pub(crate) fn send_due_responses(&mut self) {
        for machine in std::mem::take(&mut self.deferred_responses.ready) {
            self.give_answer(&machine, false);
        }
        while let Some((until, machine)) = self.deferred_responses.due.first().cloned() {
            if until > self.now {
                break;
            }
            self.give_answer(&machine, true);
        }
    }

    /// All answers for a shard that is no longer ours are due.
    pub(crate) fn expire_deferred_responses(&mut self, shard: ShardId) {
        let of_shard: Vec<MachineId> =
            self.deferred_responses.held.keys().filter(|name| self.shard_of(name) == shard).cloned().collect();
        for machine in of_shard {
            if let Some(held) = self.deferred_responses.take(&machine) {
                self.deferred_responses.hold(DeferredResponse { until: self.now, ..held });
            }
        }
    }

    fn give_answer(&mut self, machine: &MachineId, due: bool) {
        let Some(held) = self.deferred_responses.take(machine) else { return };
        let shard = self.shard_of(machine);
        let Some((token, ready)) = self.owned_shards.get(&shard).map(|m| (m.token, m.ready)) else {
            let response = self.answer_foreign_heartbeat(shard, &held.heartbeat);
            return self.response(held.request, response);
        };
        if !self.may_answer_workers() || held.heartbeat.token > token {
            return self.response(held.request, Response::Redirect(None));
        }
        // The shard may have been lost and won again meanwhile: then this owner
        // has not heard of the machine, and knows nothing of what is on it.
        let newest = self.owned_shards.get(&shard).and_then(|m| m.machines.get(machine));
        let newest = newest.is_some_and(|m| m.heartbeat_id() == held.heartbeat.id());
        let commands = self.orders(shard, &held.heartbeat, newest, ready);
        if commands.is_empty() && !due {
            return self.deferred_responses.hold(held);
        }
        self.response(held.request, Response::Commands { token, commands });
    }
}

#[cfg(test)]
mod tests;
