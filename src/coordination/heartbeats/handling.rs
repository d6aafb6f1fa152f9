//! Receives heartbeats: checks that this controller may respond, and records the reported state of the machine.
//!
//! Called by the core for each worker heartbeat. `reconciliation` decides on the commands, and `deferred_responses`
//! on when they are sent. The desired state of tasks is not changed here.

use crate::coordination::heartbeats::reachability::Reachability;
use crate::coordination::heartbeats::reconciliation::task_key;
use crate::coordination::shards::owned_shard::{Machine, OwnedShard, ReportedTask};
use crate::coordination::{Core, Response};
use crate::protocol::workers::{Heartbeat, TaskState};
use crate::units::{AgentEpoch, HeartbeatNumber, Millis, MonotonicTime, RequestId, ShardId};
use std::collections::BTreeMap;

impl Core {
    /// Records a heartbeat and responds, either immediately or after a short deferral.
    pub(crate) fn handle_heartbeat(&mut self, request: RequestId, heartbeat: Heartbeat) {
        let shard = self.shard_of(&heartbeat.machine);
        self.membership.heartbeat_arrived(self.now);
        let Some(owned_shard) = self.owned_shards.get(&shard) else {
            let response = self.answer_unowned_heartbeat(shard, &heartbeat);
            return self.respond(request, response);
        };
        // A worker that has seen a newer token follows a later owner of the shard.
        if !self.may_answer_workers() || heartbeat.token > owned_shard.token {
            return self.respond(request, Response::Redirect(None));
        }
        let is_newest = self.record_heartbeat(shard, &heartbeat);
        self.answer_heartbeat(shard, request, heartbeat, is_newest);
    }

    /// False if the last read of the records is older than the store isolation limit. Another controller may then own
    /// the shard, so workers' leases must be allowed to expire.
    pub(crate) fn may_answer_workers(&self) -> bool {
        self.store.last_read().is_some_and(|at| self.now.since(at) <= self.timing.store_isolation_limit)
    }

    /// Records the machine state in a heartbeat. Returns false and records nothing if the heartbeat is a duplicate or
    /// arrived after a newer one: the worker counts its lease from when it sent the heartbeat, so an old heartbeat
    /// does not renew the lease.
    fn record_heartbeat(&mut self, shard: ShardId, heartbeat: &Heartbeat) -> bool {
        let now = self.now;
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return false };
        let removed = owned_shard.removed_machines.get(&heartbeat.machine).copied();
        if removed.is_some_and(|newest| heartbeat.id() <= newest) {
            return false;
        }
        let new_machine = || machine_from_heartbeat(heartbeat, now, removed.is_some());
        let machine = owned_shard.machines.entry(heartbeat.machine.clone()).or_insert_with(new_machine);
        let previous = machine.heartbeat_id();
        if heartbeat.id() <= previous {
            return false;
        }
        // The response to this heartbeat renews the worker's lease.
        machine.last_heartbeat = now;
        let has_peers = !self.membership.peers().is_empty();
        let lease = self.timing.worker_lease;
        let received_response = machine.reachability.record_heartbeat(now, previous, heartbeat.id(), has_peers, lease);
        self.membership.heartbeat_accepted(now, &heartbeat.machine, received_response);
        if heartbeat.agent_epoch > machine.agent_epoch {
            machine.reported_tasks.clear();
            machine.starts_sent.clear();
            // All runs of the earlier epoch have ended; the same attempts may be started again.
            for key in owned_shard.placed_tasks.get(&heartbeat.machine).into_iter().flatten() {
                owned_shard.running_since.remove(key);
            }
        }
        machine.agent_epoch = heartbeat.agent_epoch;
        machine.heartbeat_number = heartbeat.heartbeat_number;
        machine.token_acknowledged = heartbeat.token == owned_shard.token;
        // Only the first termination notice counts, because later heartbeats repeat it.
        let known_notice = machine.termination_at;
        let notice_s = heartbeat.termination_notice_s;
        machine.termination_at = notice_s.map(|seconds| known_notice.unwrap_or(now + Millis::from_secs(seconds)));
        record_reported_tasks(owned_shard, heartbeat, now);
        true
    }
}

/// Creates a machine from its first heartbeat, before that heartbeat is recorded.
fn machine_from_heartbeat(heartbeat: &Heartbeat, now: MonotonicTime, removed_before: bool) -> Machine {
    Machine {
        addr: heartbeat.addr.clone(),
        machine_type: heartbeat.machine_type.clone(),
        zone: heartbeat.zone.clone(),
        spot: heartbeat.spot,
        agent_epoch: AgentEpoch(0),
        heartbeat_number: HeartbeatNumber(0),
        token_acknowledged: false,
        last_heartbeat: now,
        started_at: now,
        termination_at: None,
        reported_tasks: BTreeMap::new(),
        starts_sent: BTreeMap::new(),
        images: vec![],
        failed_jobs: BTreeMap::new(),
        faulty: false,
        reachability: Reachability::new(now, removed_before),
        cordoned_until: MonotonicTime(0),
    }
}

/// Replaces the machine's reported tasks with those in this heartbeat. A task whose attempt and state are unchanged
/// keeps its `since` time.
fn record_reported_tasks(owned_shard: &mut OwnedShard, heartbeat: &Heartbeat, now: MonotonicTime) {
    let Some(machine) = owned_shard.machines.get_mut(&heartbeat.machine) else { return };
    let placed_tasks = owned_shard.placed_tasks.get(&heartbeat.machine);
    let previous = std::mem::take(&mut machine.reported_tasks);
    for task in &heartbeat.tasks {
        let key = task_key(task);
        let unchanged = previous.get(&key).filter(|last| last.attempt == task.attempt && last.state == task.state);
        let since = unchanged.map_or(now, |last| last.since);
        if task.state == TaskState::Running && placed_tasks.is_some_and(|placed| placed.contains(&key)) {
            owned_shard.running_since.entry(key.clone()).or_insert(now);
        }
        machine.reported_tasks.insert(key, ReportedTask { attempt: task.attempt, state: task.state, since });
    }
}

#[cfg(test)]
mod tests;
