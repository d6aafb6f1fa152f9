//! Long poll: defers responses to heartbeats briefly until there are commands for the worker.
//!
//! Start commands are sent only in responses to heartbeats, and a worker whose state has not changed sends the next
//! heartbeat only after `report_s`. Without the long poll, a machine whose task had ended stayed idle until then,
//! however soon its next task was written. A response without commands is therefore deferred. Three rules keep that
//! safe:
//!
//! - The commands of a deferred response are computed when it is sent, from the records at that time, and only if
//!   this controller may still respond. A newer heartbeat of the machine replaces the older one, and the response to
//!   the older one then contains no commands.
//! - A worker drops responses after 4 s and counts its lease from when it sent the heartbeat, and the owner counts
//!   the lease from when the heartbeat arrived. The long poll changes neither.
//! - A worker with tasks reports changes at most every half second, so its response is deferred no longer than
//!   that. A worker without tasks has nothing to report.
//!
//! `handling` passes in each recorded heartbeat, `store_client` marks machines whose placed tasks have become durable,
//! and the core sends due responses after each input.

use crate::coordination::shards::owned_shard::Machine;
use crate::coordination::{Core, Response};
use crate::protocol::workers::{Command, Heartbeat, TaskState};
use crate::units::{MachineId, Millis, MonotonicTime, RequestId, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// Workers report changes at most this often, so responses to workers with tasks are deferred no longer.
const CHANGE_INTERVAL: Millis = Millis(450);

/// Upper bound on the deferral for a worker without tasks. Leaves a margin to the 4 s after which the worker would
/// try another controller, even if this controller is slow.
const MAX_IDLE_WAIT: Millis = Millis(2000);

/// Time allowed for a heartbeat in transit before its machine counts as silent.
const SILENCE_MARGIN: Millis = Millis(500);

/// Responses are not deferred if the interval between heartbeats is shorter than this multiple of
/// [`CHANGE_INTERVAL`]: the next heartbeat then arrives about as soon as a deferred response would be sent.
const MIN_INTERVAL_RATIO: f64 = 4.0;

/// Upper bound on the deferral, as a share of the interval between heartbeats.
const MAX_INTERVAL_SHARE: f64 = 0.75;

/// A heartbeat whose response is deferred.
#[derive(Debug)]
struct DeferredResponse {
    request: RequestId,
    heartbeat: Heartbeat,
    due_at: MonotonicTime,
}

/// Deferred responses, at most one per machine.
#[derive(Debug, Default)]
pub(crate) struct DeferredResponses {
    by_machine: BTreeMap<MachineId, DeferredResponse>,
    /// Latest time at which each response must be sent, earliest first.
    deadlines: BTreeSet<(MonotonicTime, MachineId)>,
    /// Machines for which there may be commands now; their heartbeats are evaluated after the input.
    ready: BTreeSet<MachineId>,
}

impl DeferredResponses {
    /// Marks a machine as having new commands, because tasks placed on it have become durable.
    pub(crate) fn mark_ready(&mut self, machine: &MachineId) {
        if self.by_machine.contains_key(machine) {
            self.ready.insert(machine.clone());
        }
    }

    fn insert(&mut self, deferred: DeferredResponse) {
        let machine = deferred.heartbeat.machine.clone();
        self.deadlines.insert((deferred.due_at, machine.clone()));
        self.by_machine.insert(machine, deferred);
    }

    fn remove(&mut self, machine: &MachineId) -> Option<DeferredResponse> {
        let deferred = self.by_machine.remove(machine)?;
        self.deadlines.remove(&(deferred.due_at, machine.clone()));
        Some(deferred)
    }

    /// Returns the machine with the earliest deadline, if that has passed.
    fn first_due(&self, now: MonotonicTime) -> Option<MachineId> {
        let (due_at, machine) = self.deadlines.first()?;
        (*due_at <= now).then(|| machine.clone())
    }
}

impl Core {
    /// Responds to a recorded heartbeat of a machine in an owned shard, now or as a long poll.
    pub(super) fn answer_heartbeat(
        &mut self,
        shard: ShardId,
        request: RequestId,
        heartbeat: Heartbeat,
        is_newest: bool,
    ) {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return };
        let (token, ready) = (owned_shard.token, owned_shard.ready);
        // A worker that sends another heartbeat no longer waits for the older response.
        if let Some(older) = self.deferred_responses.remove(&heartbeat.machine) {
            self.respond(older.request, Response::Commands { token, commands: vec![] });
        }
        let commands = self.commands_for(shard, &heartbeat, is_newest, ready);
        if commands.is_empty() && is_newest && ready {
            let machine = self.owned_shards.get(&shard).and_then(|owned| owned.machines.get(&heartbeat.machine));
            if let Some(wait) = machine.and_then(|machine| self.long_poll_wait(shard, machine, &heartbeat)) {
                let due_at = self.now + wait;
                return self.deferred_responses.insert(DeferredResponse { request, heartbeat, due_at });
            }
        }
        self.respond(request, Response::Commands { token, commands });
    }

    /// Sends the deferred responses that are due or have commands by now.
    pub(crate) fn send_due_responses(&mut self) {
        for machine in std::mem::take(&mut self.deferred_responses.ready) {
            self.answer_deferred(&machine, false);
        }
        while let Some(machine) = self.deferred_responses.first_due(self.now) {
            self.answer_deferred(&machine, true);
        }
    }

    /// Makes all deferred responses of a shard due, because the shard is no longer owned.
    pub(crate) fn expire_deferred_responses(&mut self, shard: ShardId) {
        let machines = self.deferred_responses.by_machine.keys();
        let of_shard: Vec<MachineId> = machines.filter(|name| self.shard_of(name) == shard).cloned().collect();
        for machine in of_shard {
            if let Some(deferred) = self.deferred_responses.remove(&machine) {
                self.deferred_responses.insert(DeferredResponse { due_at: self.now, ..deferred });
            }
        }
    }

    /// Returns how long the response to this heartbeat may be deferred; `None` if there is nothing to wait for.
    fn long_poll_wait(&self, shard: ShardId, machine: &Machine, heartbeat: &Heartbeat) -> Option<Millis> {
        let owned_shard = self.owned_shards.get(&shard)?;
        let interval_ms = self.settings.cluster.workers.report_s * 1000.0;
        if interval_ms < MIN_INTERVAL_RATIO * CHANGE_INTERVAL.0 as f64 {
            return None;
        }
        let may_get_starts = machine.token_acknowledged
            && !owned_shard.releasing
            && self.is_usable(&heartbeat.machine, machine)
            && self.records_fresh();
        if !may_get_starts {
            return None;
        }
        // The worker's next heartbeat may arrive 1.25 intervals after the response. The machine must not count as
        // silent by then.
        let before_silence = self.max_heartbeat_age().0 as f64 - 1.25 * interval_ms - SILENCE_MARGIN.0 as f64;
        let limit = Millis((interval_ms * MAX_INTERVAL_SHARE).min(before_silence).max(0.0) as u64);
        if heartbeat.tasks.is_empty() {
            return Some(limit.min(MAX_IDLE_WAIT));
        }
        let has_exits = heartbeat.tasks.iter().any(|task| task.state == TaskState::Exited);
        let placed_tasks = owned_shard.placed_tasks.get(&heartbeat.machine);
        let has_unreported =
            placed_tasks.is_some_and(|placed| placed.iter().any(|key| !machine.reported_tasks.contains_key(key)));
        (has_exits || has_unreported).then_some(limit.min(CHANGE_INTERVAL))
    }

    /// Returns the commands for a machine of an owned shard. An owner whose cache has not yet caught up with its
    /// fencing token still renews the machine's lease, so it at least stops the tasks of jobs known to have ended.
    fn commands_for(&mut self, shard: ShardId, heartbeat: &Heartbeat, is_newest: bool, ready: bool) -> Vec<Command> {
        if !is_newest {
            return vec![];
        }
        if ready {
            self.reconcile(shard, heartbeat)
        } else {
            self.stop_commands_of_ended_jobs(heartbeat)
        }
    }

    /// Responds to a deferred heartbeat if there are commands for its worker or the response is due. Otherwise the
    /// response stays deferred.
    fn answer_deferred(&mut self, machine: &MachineId, is_due: bool) {
        let Some(deferred) = self.deferred_responses.remove(machine) else { return };
        let shard = self.shard_of(machine);
        let Some((token, ready)) = self.owned_shards.get(&shard).map(|owned| (owned.token, owned.ready)) else {
            let response = self.answer_unowned_heartbeat(shard, &deferred.heartbeat);
            return self.respond(deferred.request, response);
        };
        if !self.may_answer_workers() || deferred.heartbeat.token > token {
            return self.respond(deferred.request, Response::Redirect(None));
        }
        // This controller may have lost and regained the shard in the meantime; the machine is then unknown to it.
        let known = self.owned_shards.get(&shard).and_then(|owned| owned.machines.get(machine));
        let is_newest = known.is_some_and(|known| known.heartbeat_id() == deferred.heartbeat.id());
        let commands = self.commands_for(shard, &deferred.heartbeat, is_newest, ready);
        if commands.is_empty() && !is_due {
            return self.deferred_responses.insert(deferred);
        }
        self.respond(deferred.request, Response::Commands { token, commands });
    }
}

#[cfg(test)]
mod tests;
