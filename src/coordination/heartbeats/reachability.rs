//! Machines whose reports arrive while answers don't reach them.
//!
//! Such a machine kills its tasks at the end of each lease and goes on with the
//! next session, and its reports keep coming. Nothing that is sent to it is
//! carried out, so it is no room for anything until it shows that it hears. What
//! shows that: a worker stays with a node that it had an answer from, and its
//! reports are numbered; without an answer it tries the next node first. So a
//! report that follows the last one of the same session by one was sent after
//! an answer came. Where there is no other node to try, the number tells nothing,
//! and a session that outlives a lease shows the same.
//!
//! All of this decides where work goes, never what is proof: see `keeping`.

use crate::coordination::Core;
use crate::protocol::workers::HeartbeatId;
use crate::units::{MachineId, Millis, MonotonicTime};

/// What tells whether a machine hears this owner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reachability {
    /// When it last showed that an answer had come; none: not yet, and it was
    /// given up before.
    heard: Option<MonotonicTime>,
    /// When the current session was first seen.
    session_since: MonotonicTime,
    /// When it reported last.
    last: MonotonicTime,
}

impl Reachability {
    /// Of a machine that reports for the first time. One that is not known to
    /// have been given up before is trusted for a lease.
    pub fn new(now: MonotonicTime, given_up: bool) -> Reachability {
        Reachability { heard: (!given_up).then_some(now), session_since: now, last: now }
    }

    /// Takes in a report that is newer than the last one; true if it shows
    /// that an answer came.
    pub fn record_heartbeat(
        &mut self,
        now: MonotonicTime,
        last: HeartbeatId,
        heartbeat: HeartbeatId,
        others: bool,
        lease: Millis,
    ) -> bool {
        self.last = now;
        if heartbeat.agent_epoch != last.agent_epoch {
            self.session_since = now;
            return false;
        }
        let next = others && heartbeat.heartbeat_number.0 == last.heartbeat_number.0 + 1;
        let shown = next || now.since(self.session_since) > lease;
        if shown {
            self.heard = Some(now);
        }
        shown
    }

    /// True if what is sent there would not be carried out, as far as is known. A
    /// machine that does not report either is silent, which is another matter.
    pub fn is_downlink_lost(&self, now: MonotonicTime, lease: Millis) -> bool {
        self.heard.is_none_or(|at| now.since(at) > lease && self.last > at)
    }
}

impl Core {
    /// True if a machine of ours reports but does not hear.
    pub(crate) fn is_downlink_lost(&self, machine: &crate::coordination::shards::owned_shard::Machine) -> bool {
        machine.reachability.is_downlink_lost(self.now, self.timing.worker_lease)
    }

    /// Notes since when machines hear nothing, and gives up for good what has
    /// heard nothing for so long that no earlier owner's answers can matter.
    pub(crate) fn update_reachability(&mut self) {
        let (now, lease) = (self.now, self.timing.worker_lease);
        let long = self.timing.store_isolation_limit + lease + lease;
        for owned_shard in self.owned_shards.values_mut().filter(|m| m.ready) {
            let heartbeats =
                |m: &crate::coordination::shards::owned_shard::Machine| now.since(m.last_heartbeat) <= long;
            let downlink_lost = |name: &MachineId| {
                owned_shard.machines.get(name).is_some_and(|m| m.reachability.is_downlink_lost(now, lease))
            };
            owned_shard.downlink_lost.retain(|name, since| {
                owned_shard.machines.get(name).map_or(now.since(*since) < long + long, |_| downlink_lost(name))
            });
            for (name, machine) in owned_shard.machines.iter_mut() {
                if !machine.reachability.is_downlink_lost(now, lease) || !heartbeats(machine) {
                    continue;
                }
                let since = *owned_shard.downlink_lost.entry(name.clone()).or_insert_with(|| {
                    tracing::info!("{name} reports but hears nothing: it gets no work");
                    now
                });
                if now.since(since) > long && !machine.faulty {
                    tracing::info!("{name} has heard nothing for {:.0} s: it is given back", long.as_secs());
                    machine.faulty = true;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
