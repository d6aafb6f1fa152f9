//! Downlink lost: machines whose heartbeats arrive while responses don't reach them.
//!
//! The worker on such a machine kills its tasks at the end of each lease and goes on in a new agent epoch, and its
//! heartbeats keep coming. Nothing that is sent to it is carried out, so it gets no work until a heartbeat shows
//! that responses arrive again. A worker stays with a controller that answered it and numbers its heartbeats;
//! without a response it tries the next controller first. So a heartbeat whose number follows the last one of the
//! same epoch was sent after a response came. With a single controller there is no other to try and the number
//! shows nothing; an epoch that outlives a lease shows the same there.
//!
//! Used by `handling`, the scheduling cycle and the fleet. It decides where work goes and is never proof that a
//! task has ended: see `shards::lease_proxy`.

use crate::coordination::shards::owned_shard::{Machine, OwnedShard};
use crate::coordination::Core;
use crate::protocol::workers::HeartbeatId;
use crate::units::{Millis, MonotonicTime};

/// What an owner knows of whether its responses reach a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reachability {
    /// When a heartbeat last showed that a response had arrived. None if none did yet and the machine was removed
    /// before.
    last_response_seen: Option<MonotonicTime>,
    /// When the current agent epoch was first seen.
    epoch_since: MonotonicTime,
    /// When the newest heartbeat arrived.
    last_heartbeat: MonotonicTime,
}

impl Reachability {
    /// Of a machine whose first heartbeat arrives now. Unless it was removed before, it counts as reachable for a
    /// lease.
    pub fn new(now: MonotonicTime, removed_before: bool) -> Reachability {
        Reachability { last_response_seen: (!removed_before).then_some(now), epoch_since: now, last_heartbeat: now }
    }

    /// Records a heartbeat that is newer than the `previous` one. True if it shows that a response arrived.
    /// `has_peers` tells whether the worker has another controller to try.
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

    /// True if, as far as is known, commands sent to the machine are not carried out. A machine whose heartbeats
    /// have stopped as well is silent rather than this.
    pub fn is_downlink_lost(&self, now: MonotonicTime, lease: Millis) -> bool {
        self.last_response_seen.is_none_or(|at| now.since(at) > lease && self.last_heartbeat > at)
    }
}

impl Core {
    /// True if heartbeats of a machine in an owned shard arrive but responses don't reach it.
    pub(crate) fn is_downlink_lost(&self, machine: &Machine) -> bool {
        machine.reachability.is_downlink_lost(self.now, self.timing.worker_lease)
    }

    /// Notes since when machines have lost their downlink, and gives up machines for which that has lasted so long
    /// that no earlier owner's responses can matter any more.
    pub(crate) fn update_reachability(&mut self) {
        let lease = self.timing.worker_lease;
        let give_up_after = self.timing.store_isolation_limit + lease + lease;
        for owned_shard in self.owned_shards.values_mut().filter(|owned_shard| owned_shard.ready) {
            forget_restored_downlinks(owned_shard, self.now, lease, give_up_after);
            note_lost_downlinks(owned_shard, self.now, lease, give_up_after);
        }
    }
}

/// Drops the machines that receive responses again. One that is no longer known is dropped after a while: it may
/// come back and still not receive any.
fn forget_restored_downlinks(owned_shard: &mut OwnedShard, now: MonotonicTime, lease: Millis, give_up_after: Millis) {
    let machines = &owned_shard.machines;
    owned_shard.downlink_lost.retain(|name, since| match machines.get(name) {
        Some(machine) => machine.reachability.is_downlink_lost(now, lease),
        None => now.since(*since) < give_up_after + give_up_after,
    });
}

/// Notes the machines that have lost their downlink, and marks as faulty those that have been without it for long.
fn note_lost_downlinks(owned_shard: &mut OwnedShard, now: MonotonicTime, lease: Millis, give_up_after: Millis) {
    for (name, machine) in &mut owned_shard.machines {
        let is_silent = now.since(machine.last_heartbeat) > give_up_after;
        if is_silent || !machine.reachability.is_downlink_lost(now, lease) {
            continue;
        }
        let since = *owned_shard.downlink_lost.entry(name.clone()).or_insert_with(|| {
            tracing::info!(machine = %name, "downlink lost: the machine gets no work");
            now
        });
        if now.since(since) > give_up_after && !machine.faulty {
            let lost_s = now.since(since).as_secs();
            tracing::info!(machine = %name, lost_s, "downlink lost for too long: the machine is returned");
            machine.faulty = true;
        }
    }
}

#[cfg(test)]
mod tests;
