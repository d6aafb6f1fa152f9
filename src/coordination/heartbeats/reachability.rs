//! Detects one-way partitions: the downlink of a machine is lost if its heartbeats arrive but responses do not reach
//! it.
//!
//! The worker on such a machine kills its tasks at the end of each lease, continues in a new agent epoch and keeps
//! sending heartbeats. It receives no commands, so it gets no work until a heartbeat shows that responses arrive
//! again. Workers number their heartbeats and keep sending to a controller that responds; without a response, a worker
//! tries the next controller first. A heartbeat with the next number of the same epoch was therefore sent after a
//! response arrived. With a single controller there is no other one to try, so the number proves nothing. There, an
//! epoch that is longer than a lease is the proof.
//!
//! Used by `handling`, the scheduling cycle and the fleet. Reachability affects only where work is placed. It does not
//! prove that a task has ended: see `shards::lease_proxy`.

use crate::coordination::shards::owned_shard::{Machine, OwnedShard};
use crate::coordination::Core;
use crate::protocol::workers::HeartbeatId;
use crate::units::{Millis, MonotonicTime};

/// Evidence that an owner has on whether its responses reach a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reachability {
    /// When a heartbeat last showed that a response had arrived. `None` if the machine was removed before and no
    /// heartbeat has shown it since.
    last_response_seen: Option<MonotonicTime>,
    /// When the current agent epoch was first seen.
    epoch_since: MonotonicTime,
    /// When the newest heartbeat arrived.
    last_heartbeat: MonotonicTime,
}

impl Reachability {
    /// Creates the state for a machine whose first heartbeat arrives now. The machine counts as reachable for the
    /// duration of a lease, unless it was removed before.
    pub fn new(now: MonotonicTime, removed_before: bool) -> Reachability {
        Reachability { last_response_seen: (!removed_before).then_some(now), epoch_since: now, last_heartbeat: now }
    }

    /// Records a heartbeat that is newer than `previous`. Returns true if it shows that a response arrived.
    /// `has_peers` is true if the worker has another controller to try.
    pub fn record_heartbeat(
        &mut self,
        now: MonotonicTime,
        previous: HeartbeatId,
        heartbeat: HeartbeatId,
        has_peers: bool,
        lease: Millis,
    ) -> bool {
        self.last_heartbeat = now;
        if heartbeat.agent_epoch != previous.agent_epoch {
            self.epoch_since = now;
            return false;
        }
        let follows = heartbeat.heartbeat_number.0 == previous.heartbeat_number.0 + 1;
        let epoch_outlives_lease = now.since(self.epoch_since) > lease;
        let received_response = (has_peers && follows) || epoch_outlives_lease;
        if received_response {
            self.last_response_seen = Some(now);
        }
        received_response
    }

    /// True if heartbeats arrive but show no response received for longer than a lease. False for a machine whose
    /// heartbeats have stopped too: it counts as silent instead.
    pub fn is_downlink_lost(&self, now: MonotonicTime, lease: Millis) -> bool {
        self.last_response_seen.is_none_or(|at| now.since(at) > lease && self.last_heartbeat > at)
    }
}

impl Core {
    /// True if heartbeats of a machine in an owned shard arrive but responses do not reach it.
    pub(crate) fn is_downlink_lost(&self, machine: &Machine) -> bool {
        machine.reachability.is_downlink_lost(self.now, self.timing.worker_lease)
    }

    /// Tracks since when machines have lost their downlink. Marks a machine as faulty once the loss has lasted so long
    /// that responses of earlier owners can no longer have an effect.
    pub(crate) fn update_reachability(&mut self) {
        let lease = self.timing.worker_lease;
        let give_up_after = self.timing.store_isolation_limit + lease + lease;
        for owned_shard in self.owned_shards.values_mut().filter(|owned_shard| owned_shard.ready) {
            forget_restored_downlinks(owned_shard, self.now, lease, give_up_after);
            record_lost_downlinks(owned_shard, self.now, lease, give_up_after);
        }
    }
}

/// Removes machines that receive responses again. Keeps a machine that is no longer known for twice `give_up_after`,
/// because it may send heartbeats again and still not receive responses.
fn forget_restored_downlinks(owned_shard: &mut OwnedShard, now: MonotonicTime, lease: Millis, give_up_after: Millis) {
    let machines = &owned_shard.machines;
    owned_shard.downlink_lost.retain(|name, since| match machines.get(name) {
        Some(machine) => machine.reachability.is_downlink_lost(now, lease),
        None => now.since(*since) < give_up_after + give_up_after,
    });
}

/// Records machines that have lost their downlink, and marks as faulty those that lost it more than `give_up_after`
/// ago.
fn record_lost_downlinks(owned_shard: &mut OwnedShard, now: MonotonicTime, lease: Millis, give_up_after: Millis) {
    for (name, machine) in &mut owned_shard.machines {
        let is_silent = now.since(machine.last_heartbeat) > give_up_after;
        if is_silent || !machine.reachability.is_downlink_lost(now, lease) {
            continue;
        }
        let since = *owned_shard.downlink_lost.entry(name.clone()).or_insert_with(|| {
            tracing::info!(machine = %name, "machine does not receive responses; assigning no new work to it");
            now
        });
        if now.since(since) > give_up_after && !machine.faulty {
            let lost_s = now.since(since).as_secs();
            tracing::info!(machine = %name, lost_s, "machine has not received responses for too long; returning it");
            machine.faulty = true;
        }
    }
}

#[cfg(test)]
mod tests;
